#include "quota/quota_plan.hpp"

#include <algorithm>
#include <cmath>

#include "util/seconds.hpp"

namespace curlewdoor::quota {
namespace {

constexpr double kNoBurstFactor =
    0.88;  // of the rate, where no burst covers a window by counter plus one by shares
constexpr double kMinWindow = 0.5;       // seconds: a smaller burst is rounded up to it
constexpr double kMinUnits = 5;          // per window ...
constexpr double kSlackPart = 0.25;      // ... up to this part of the rule's slack
constexpr double kSharePrior = 1;        // windows of a quota
constexpr double kShareFactor = 0.85;    // shares are estimates whose sum may exceed one
constexpr double kMinUse = 1.5;          // windows: the smoothed use at a demand of 0.6 of the quota
constexpr double kMinUseNoHeadroom = 2;  // windows: with the prior, shares sum to about one

}  // namespace

Plan MakePlan(const std::string& name, double rate_per_s, double burst_size, Duration span, double slack) {
  Plan plan;
  plan.name = name;
  plan.rate = rate_per_s;
  if (plan.rate <= 0) return plan;
  const double whole = plan.rate * Seconds(span);
  const double min_units = plan.rate * kMinWindow, few_units = std::min(kMinUnits, kSlackPart * slack);
  const double windows = std::ceil(whole / std::max({burst_size, min_units, few_units}) - 1e-9);
  plan.window = FromSeconds(Seconds(span) / windows);
  plan.no_burst_headroom = std::max(burst_size, few_units) < min_units;
  plan.burst = whole / windows * (plan.no_burst_headroom ? kNoBurstFactor : 1);
  return plan;
}

// A gateway sees the others' use when it adds. In a large fleet each adds rarely and early in a window, sees
// too little and takes too large a share, by a unit each. The slack covers that only for as many gateways.
Leases::Options MakeLeaseOptions(int gateways, Duration wait, std::uint64_t salt, double slack) {
  Leases::Options options;
  options.gateways = gateways;
  options.wait = wait;
  options.fixed_windows = true;
  options.share_prior = kSharePrior;
  options.share_factor = kShareFactor;
  options.share_floor = 0;  // the prior acts as a floor whose sum is bounded
  options.min_use = gateways > slack ? kMinUse : 0;
  options.min_use_no_headroom = kMinUseNoHeadroom;
  options.salt = salt;
  return options;
}

}  // namespace curlewdoor::quota
