// How a tenant's quota is counted: from what its configuration allows to a plan of windows. Pure.
#pragma once

#include <string>

#include "logic.hpp"
#include "logic/leases.hpp"

namespace curlewdoor::counting {

// How long a request waits for a lease; then the measured share decides.
inline constexpr Duration kCountWait = std::chrono::milliseconds(50);

// The windows of a tenant's count: so many in `span`, the rule's window, that one more of them, which a span
// of that length may touch, is no more than the burst. A tenant without a burst gets windows of half a second
// all the same, and a little less than its rate; one of a small rate windows of five units, as far as a
// quarter of the rule's `slack` covers them: a window of less than one would let in nothing. A rate of 0: no
// limit.
Plan MakePlan(const std::string& name, double rate_per_s, double burst_size, Duration span, double slack);

// How a gateway counts where `gateways` share the counts, itself included. `salt`: another one in each;
// `slack`: the rule's, in requests.
Leases::Options LeaseOptions(int gateways, Duration wait, std::uint64_t salt, double slack);

}  // namespace curlewdoor::counting
