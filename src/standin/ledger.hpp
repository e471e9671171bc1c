// Stand-in for a fenced ledger: takes entries under a duty's token and refuses every token below the highest
// that it has taken of that duty. Written from the protocol in src/net/ledger.hpp. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace curlewdoor::standin {

class Ledger {
 public:
  static constexpr std::size_t kMostDuties = 64;

  struct Call {
    std::string duty, entry;
    std::uint64_t token = 0;
  };
  struct Answer {
    bool taken = false;
    std::uint64_t number = 0;  // of the entry, or the highest token where it was not taken
  };

  // "append DUTY TOKEN ENTRY" without its end; nullopt: it is none.
  static std::optional<Call> Read(std::string_view line);
  Answer Append(const Call& call);
  static std::string Text(const Answer& answer);  // without its end

  std::uint64_t entries() const { return entries_; }

 private:
  std::map<std::string, std::uint64_t> highest_;  // by duty
  std::uint64_t entries_ = 0;
};

}  // namespace curlewdoor::standin
