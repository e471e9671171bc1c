// What gateways tell one another about duties, as values and as the bytes of a payload of the fleet's link
// (channel kChannel). Each loss, repeat and reordering is harmless: docs/duties.md. Bounded and checked.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "duty/lease.hpp"

namespace curlewdoor::duty {

inline constexpr std::uint8_t kChannel = 1;
inline constexpr std::uint8_t kVersion = 1;
inline constexpr std::size_t kMostDuties = 16;  // of a fleet
inline constexpr std::size_t kMostName = 24;    // bytes of a duty's name; 1 at the least

enum class Kind : std::uint8_t {
  kLook = 1,  // to voters: what have you promised of these? owed: kSeen
  kSeen,
  kAsk,  // to voters: promise me; owed: kAnswer
  kAnswer,
  kPass,  // to voters, from a holder that has stopped: what was promised is `to`'s now; owed: kPassed
  kPassed,
  kTake  // to the successor: ask, the voters know
};
inline constexpr std::uint8_t kLastKind = static_cast<std::uint8_t>(Kind::kTake);

// The lists that a gateway goes by, as one number each; 0: none.
struct Lists {
  std::uint64_t voters = 0, before = 0;
  bool operator==(const Lists&) const = default;
};

struct Entry {
  std::string duty{};
  std::uint64_t question = 0, token = 0;  // of a voter: the highest token that it has seen
  bool yes = false;                       // kAnswer, kPassed
  Duration bound{};                       // of a voter: how long nobody else can be promised anything
  Life who = 0;                           // kSeen, kAnswer: whom it is promised to; kPass: to whom
  std::string holder{};                   // ... by name
};

struct Message {
  Kind kind = Kind::kLook;
  std::uint32_t round = 0;  // of a look, told back
  Lists lists{};            // that the sender goes by
  Duration lease{};         // and its lease
  std::vector<Entry> entries{};
};

std::string Encode(const Message& message);
std::optional<Message> Decode(std::string_view bytes);

}  // namespace curlewdoor::duty
