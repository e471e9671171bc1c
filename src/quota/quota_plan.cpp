#include "quota/quota_plan.hpp"

#include <algorithm>
#include <cmath>

#include "quota/share_allocator.hpp"
#include "util/seconds.hpp"

namespace curlewdoor::quota {
namespace {

constexpr double kNoBurstFactor =
    0.88;  // of the rate, where no burst covers a window by counter plus one by shares
constexpr double kMinWindow = 0.5;   // seconds: a smaller burst is rounded up to it
constexpr double kMinUnits = 5;      // per window ...
constexpr double kSlackPart = 0.25;  // ... up to this part of the rule's slack
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);  // after a failed call

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
  const bool no_headroom = std::max(burst_size, few_units) < min_units;
  plan.burst = whole / windows * (no_headroom ? kNoBurstFactor : 1);
  return plan;
}

Leases::Options MakeLeaseOptions(int gateways, Duration wait, std::uint64_t salt) {
  Leases::Options options;
  options.gateways = gateways;
  options.wait = wait;
  options.fixed_windows = true;
  options.retry_interval = kRetryInterval;
  options.even_share = kEvenShare;
  options.share_lifetime = kShareLifetime;
  options.share_factor = kShareFactor;
  options.salt = salt;
  return options;
}

}  // namespace curlewdoor::quota
