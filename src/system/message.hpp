// What gateways say to each other on the link: values, and as bytes (msgpack). A message of another major
// version, cut, too large or not a message at all is none; nothing here throws. Old and new processes talk
// while a system is upgraded: fields are added behind, and are passed over by who doesn't know them, as are
// new kinds (up to number 127). What an older process must not pass over needs another kLinkVersion.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace curlewdoor::system {

inline constexpr std::uint8_t kLinkVersion = 1;
inline constexpr std::size_t kMostRefreshed = 8192;  // of one message
// No message has a time or an amount beyond, above or below 0: sums of them stay sums.
inline constexpr std::int64_t kMostMicros = 4'000'000'000'000'000;  // 126 years
inline constexpr double kMostAmount = 1e15;

struct Hello {  // the first on each stream, both ways
  std::string name;
  bool counted = false;  // a member of the core, or one that may become one
};
struct Clock {  // a question, and its answer with the other side's time
  std::int64_t asked_us = 0;
  std::int64_t told_us = -1;  // below 0: a question
};
struct Hosts {  // entries of the directory (directory/codec.hpp) that have changed
  std::string batch;
};
struct Refreshed {  // hosts that have beaten and said nothing new: id, sequence
  std::vector<std::pair<std::string, std::uint64_t>> beats;
};
struct Tell {  // the same as Hosts; owed: a Told once it has been passed on
  std::uint64_t number = 0;
  std::string batch;
};
struct Told {
  std::uint64_t number = 0;
};
struct Put {  // an operator's configuration, checked; owed: a Done
  std::uint64_t number = 0, version = 0;
  std::string text;
};
struct Get {
  std::uint64_t number = 0;
};
struct Done {
  std::uint64_t number = 0;
  int status = 0;
  std::string body;
};
struct Config {  // in force
  std::uint64_t version = 0;
  std::string text;
};
struct Members {  // of the core: name, disk's life, address of its link
  std::uint64_t epoch = 0;
  std::vector<std::tuple<std::string, std::uint64_t, std::string>> members;
  std::uint32_t gateways = 0;  // that were last seen at work; 0: not told
};
struct AddUnits {  // to a tenant's count; owed: a Total
  std::uint64_t number = 0;
  std::string tenant;
  std::uint64_t count = 0;  // its name
  std::int64_t lifetime_us = 0;
  double amount = 0;
  std::int64_t clock_us = 0;  // the holder's time, as the asker has it: its windows go by that
};
struct Total {
  std::uint64_t number = 0;
  bool counted = false;  // false: nothing was added
  double total = 0;
};
struct CoreBytes {  // of the agreement
  std::string bytes;
};

struct Digest {  // of all hosts that are here; whoever has another one asks
  std::uint64_t hosts = 0;
};
struct AskHosts {  // owed: Hosts, all of them
  std::uint64_t number = 0;
};

struct FoundingBytes {  // of the first start (agreement/founding.hpp)
  std::string bytes;
};

// In the order of their numbers on the wire: new ones come behind.
using Message = std::variant<Hello, Clock, Hosts, Refreshed, Tell, Told, Put, Get, Done, Config, Members,
                             AddUnits, Total, CoreBytes, Digest, AskHosts, FoundingBytes>;

std::string Encode(const Message& message);
std::optional<Message> Decode(std::string_view bytes);
// Of what is no message here: whether it is one of a kind that only later versions know.
bool IsOfLaterKind(std::string_view bytes);

}  // namespace curlewdoor::system
