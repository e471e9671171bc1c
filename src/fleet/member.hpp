// What gateways tell one another of a gateway, and which word of two goes before the other. Pure values.
// Source: SWIM (Das, Gupta, Motivala, 2002), 4.2; `boot` and `left` are ours. docs/fleet-view.md.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "util/address.hpp"

namespace curlewdoor::fleet {

// Time of the view: monotonic, of this process alone. It never meets the wall clock, which may be set back.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

inline constexpr std::size_t kMostName = 64;       // bytes of a gateway's or a fleet's name; 1 at the least
inline constexpr std::size_t kMostAbout = 64;      // bytes of what a gateway tells of itself
inline constexpr std::size_t kMostMembers = 1024;  // of a view, the dead that are remembered included

// In the order of how far a word goes, at one incarnation.
enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
constexpr std::string_view Word(State state) {
  constexpr std::string_view kWords[] = {"alive", "suspect", "dead", "left"};
  return kWords[static_cast<std::size_t>(state)];
}

// A word about a member, as it passes between gateways.
struct Record {
  std::string name;
  std::uint64_t boot = 0;         // of one life of that name; a later life has a higher one
  std::uint32_t incarnation = 0;  // raised by the member itself alone, to refute what is said of it
  State state = State::kAlive;
  Address address;    // where it is reached
  std::string about;  // its own words: zone, version; only beside kAlive
  std::string by;     // whose word it is that it is not alive

  bool present() const { return state == State::kAlive || state == State::kSuspect; }
  bool operator==(const Record&) const = default;
};

// Whether `word` goes before what is known. A later life goes before all that was said of an earlier one; who
// has left can't be talked back in one life; else the higher incarnation, and at the same one the worse word.
constexpr bool GoesBefore(const Record& word, const Record& known) {
  if (word.boot != known.boot) return word.boot > known.boot;
  if (known.state == State::kLeft) return false;
  if (word.state == State::kLeft) return true;
  if (word.incarnation != known.incarnation) return word.incarnation > known.incarnation;
  return word.state > known.state;
}

}  // namespace curlewdoor::fleet
