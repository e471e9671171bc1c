#include "quota/quota_plan.hpp"

#include <algorithm>
#include <cmath>

#include "util/seconds.hpp"

namespace curlewdoor::counting {
namespace {

constexpr double kNoBurstPart = 0.88;  // of the rate, where no burst covers a window by count and by shares
constexpr double kLeastWindow = 0.5;   // seconds: a burst below that is rounded up to it
constexpr double kLeastUnits = 5;      // of a window ...
constexpr double kSlackPart = 0.25;    // ... as far as this part of the rule's slack covers them
constexpr double kSharePrior = 1;      // windows of a quota
constexpr double kSharePart = 0.85;    // shares are estimates, and their sum may be above one
constexpr double kLeastUse = 1.5;      // windows: what all use who ask for 0.6 of a quota
constexpr double kLeastUseTight = 2;   // windows: with the prior, all shares are one or little more

}  // namespace

Plan MakePlan(const std::string& name, double rate_per_s, double burst_size, Duration span, double slack) {
  Plan plan;
  plan.name = name;
  plan.rate = rate_per_s;
  if (plan.rate <= 0) return plan;
  const double whole = plan.rate * Seconds(span);
  const double least = plan.rate * kLeastWindow, few = std::min(kLeastUnits, kSlackPart * slack);
  const double windows = std::ceil(whole / std::max({burst_size, least, few}) - 1e-9);
  plan.window = FromSeconds(Seconds(span) / windows);
  plan.tight = std::max(burst_size, few) < least;
  plan.burst = whole / windows * (plan.tight ? kNoBurstPart : 1);
  return plan;
}

// A gateway sees what others use when it adds. Of many, each adds seldom and early in a window, sees too
// little and takes too large a share: by a unit each, which the slack covers only for as many gateways.
Leases::Options LeaseOptions(int gateways, Duration wait, std::uint64_t salt, double slack) {
  Leases::Options options;
  options.gateways = gateways;
  options.wait = wait;
  options.whole_windows = true;
  options.share_prior = kSharePrior;
  options.share_part = kSharePart;
  options.share_floor = 0;  // the prior's part is one, and the sum of these is bounded
  options.least_use = gateways > slack ? kLeastUse : 0;
  options.least_use_tight = kLeastUseTight;
  options.salt = salt;
  return options;
}

}  // namespace curlewdoor::counting
