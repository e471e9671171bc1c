// How a tenant's quota is counted: from what its configuration allows to a plan of windows. Pure.
#pragma once

#include <string>

#include "logic.hpp"

namespace curlewdoor::counting {

// How long a request waits for a lease; then the measured share decides.
inline constexpr Duration kCountWait = std::chrono::milliseconds(50);

// The windows of a tenant's count: so many in `span`, the rule's window, that one more of them, which a span
// of that length may touch, is no more than the burst. A tenant without a burst gets windows of half a second
// all the same, and a little less than its rate. A rate of 0: no limit.
Plan MakePlan(const std::string& name, double rate_per_s, double burst_size, Duration span);

}  // namespace curlewdoor::counting
