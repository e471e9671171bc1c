// Converts a tenant's configured quota to a plan of fixed windows. Pure.
#pragma once

#include <string>

#include "logic.hpp"
#include "logic/leases.hpp"

namespace curlewdoor::quota {

// How long a request waits for a lease before the measured share decides.
inline constexpr Duration kCounterWait = std::chrono::milliseconds(50);
// Of its share, what a gateway admits while the others' use is unknown. The rest covers the window in which a
// counter is lost, which is given out in part by the counter and in part by shares.
inline constexpr double kShareFactor = 0.85;

// Chooses the tenant's counter window: `span`, the quota rule's window, is divided so that one more window,
// which a span of that length may touch, is no more than the burst. A tenant without a burst gets windows of
// half a second and slightly less than its rate. A tenant with a small rate gets windows of five units, as
// far as a quarter of the rule's `slack` covers them, since a window below one unit would admit nothing. A
// rate of 0 means no limit.
Plan MakePlan(const std::string& name, double rate_per_s, double burst_size, Duration span, double slack);

// Options for a gateway where `gateways` share the counters, itself included. `salt` differs per gateway.
Leases::Options MakeLeaseOptions(int gateways, Duration wait, std::uint64_t salt);

}  // namespace curlewdoor::quota
