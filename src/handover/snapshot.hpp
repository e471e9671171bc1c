// What the process that takes over is told: versioned, bounded, and checked by a sum over all of it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "logic.hpp"
#include "members/members.hpp"

namespace curlewdoor::handover {

struct Snapshot {
  GatewaySnapshot memory;
  MemberList members;                 // as discovery told them last
  std::vector<HostId> out_by_hand;    // and those that operators have taken out
  std::uint32_t descriptors = 0;      // that the old process still holds for what it has taken
  std::vector<std::string> open_ids;  // the clients' own, of requests that the old process still has open
};

// Customers that do not fit are left out, those seen longest ago first; their ceilings are then empty as of
// `now`.
std::string Encode(Snapshot snapshot, TimePoint now);

// On nullopt, `error` says what is wrong with it.
std::optional<Snapshot> Decode(std::string_view bytes, std::string& error);

}  // namespace curlewdoor::handover
