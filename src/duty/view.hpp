// Derives from the membership which gateways to contact about duties and which ones accept duties.
#pragma once

#include <string_view>

#include "duty/duty_manager.hpp"
#include "fleet/membership_protocol.hpp"

namespace curlewdoor::duty {

// Metadata tag of a gateway that accepts duties.
inline constexpr std::string_view kDutiesTag = ",duties";

// The part of the membership that duties use.
FleetView FleetViewOf(const fleet::MembershipProtocol& membership);

}  // namespace curlewdoor::duty
