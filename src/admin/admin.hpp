// The operators' calls: one line in, a call or the reason why it is none; and the text of each answer. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace curlewdoor::admin {

inline constexpr std::size_t kMostLine = 512;  // bytes of a call, its end of line left out

struct Status {};
struct Metrics {};
struct Suspend {
  std::string host;
};
struct Restore {
  std::string host;
};
struct Fleet {};
struct Duties {};
struct HandOver {
  std::string duty, to;  // `to` empty: to whoever holds least
};
struct Bad {
  std::string reason;
};
using Call = std::variant<Status, Metrics, Suspend, Restore, Fleet, Duties, HandOver, Bad>;

// Reads one line without its end. Words are separated by blanks or tabs. `with_fleet`: the calls of gateways
// that see one another are known too; `with_duties`: those of duties.
Call ParseCall(std::string_view line, bool with_fleet = false, bool with_duties = false);

// What ended, by class; a class that was dropped keeps its line.
struct ClassFigures {
  std::uint64_t succeeded = 0, declined = 0, aborted = 0;
};
struct Figures {
  std::map<std::string, ClassFigures> classes;
  std::uint64_t forwards = 0;
  std::size_t outstanding = 0, discovered = 0, ejected = 0;
  std::uint64_t sighup_applied = 0, sighup_rejected = 0;
  std::vector<std::pair<std::string, std::uint64_t>> more;  // of parts that are switched on, by whole name
};

// Whole answers, each line with its end.
std::string Yes(std::string_view what = {});
std::string No(std::string_view reason);
std::string Tell(const Figures& figures);

}  // namespace curlewdoor::admin
