// What gateways tell one another about a member, and which of two records supersedes the other. Pure values.
// Based on SWIM (Das, Gupta, Motivala, 2002), section 4.2; `boot` and the state kLeft are additions. See
// docs/fleet-view.md.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "util/address.hpp"

namespace curlewdoor::fleet {

// Monotonic time of this process. Membership never uses the wall clock, which may be set back.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

inline constexpr std::size_t kMaxNameBytes = 64;  // length of a gateway or fleet name in bytes; at least 1
inline constexpr std::size_t kMaxMetadataBytes = 64;  // length of the metadata of a gateway in bytes
inline constexpr std::size_t kMaxMembers = 1024;      // of a view, including dead members that are remembered

// In order of precedence at the same incarnation.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
constexpr std::string_view StateName(MemberState state) {
  constexpr std::string_view kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

// State of a member, as it is gossiped between gateways.
struct MemberRecord {
  std::string name;
  // Identifies one start of the process under that name; higher for later starts.
  std::uint64_t boot = 0;
  // Raised only by the member itself, to refute a suspicion.
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  Address address;  // where the member is reached
  // Set by the member itself: zone, version. Only sent in state kAlive.
  std::string metadata;
  std::string reported_by;  // the member that reported a state other than kAlive

  bool present() const { return state == MemberState::kAlive || state == MemberState::kSuspect; }
  bool operator==(const MemberRecord&) const = default;
};

// Whether `update` supersedes `known`. A later boot supersedes everything known of an earlier one, and a
// member that has left stays so for that boot. Otherwise the higher incarnation wins, and at the same
// incarnation the worse state.
constexpr bool Supersedes(const MemberRecord& update, const MemberRecord& known) {
  if (update.boot != known.boot) return update.boot > known.boot;
  if (known.state == MemberState::kLeft) return false;
  if (update.state == MemberState::kLeft) return true;
  if (update.incarnation != known.incarnation) return update.incarnation > known.incarnation;
  return update.state > known.state;
}

}  // namespace curlewdoor::fleet
