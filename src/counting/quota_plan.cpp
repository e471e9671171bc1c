#include "counting/quota_plan.hpp"

#include <algorithm>
#include <cmath>

#include "util/seconds.hpp"

namespace curlewdoor::counting {
namespace {

constexpr double kNoBurstPart = 0.93;  // of the rate, where no burst covers what is on its way
constexpr double kLeastWindow = 0.5;   // seconds: a burst below that is rounded up to it

}  // namespace

Plan MakePlan(const std::string& name, double rate_per_s, double burst_size, Duration span) {
  Plan plan;
  plan.name = name;
  plan.rate = rate_per_s;
  if (plan.rate <= 0) return plan;
  const double whole = plan.rate * Seconds(span);
  const double least = plan.rate * kLeastWindow;
  const double windows = std::ceil(whole / std::max(burst_size, least) - 1e-9);
  plan.window = FromSeconds(Seconds(span) / windows);
  plan.burst = whole / windows * (burst_size < least ? kNoBurstPart : 1);
  return plan;
}

}  // namespace curlewdoor::counting
