#include "quota/priority_throttle.hpp"

#include <algorithm>
#include <cmath>

namespace curlewdoor::quota {
namespace {

constexpr Duration kDeadlinePeriod = std::chrono::seconds(30);  // deadlines are kept for one to two
constexpr double kStepFactor = 0.25;                            // of the previous rank's probability
constexpr double kDecay = 0.5;   // factor on the throttle after a window without refusal
constexpr double kMinAsked = 4;  // fewer requests are no evidence

// Clamped, as an answer may come in the window after its request asked.
double RefusedPart(double refused, double asked) {
  return std::min(1.0, refused / std::max(asked, kMinAsked));
}

}  // namespace

Duration PriorityThrottle::TimeSpent(TimePoint now, const std::string& route, Duration left) {
  LongestDeadline* entry = longest_deadlines_.Find(route);
  if (entry == nullptr)
    entry = longest_deadlines_.Insert(route, {left, left, now}, [](const LongestDeadline&) { return true; })
                .first;
  if (now >= entry->since + kDeadlinePeriod) {
    entry->previous = now >= entry->since + 2 * kDeadlinePeriod ? left : entry->current;
    entry->current = left;
    entry->since = now;
  }
  entry->current = std::max(entry->current, left);
  return std::max(entry->current, entry->previous) - left;
}

PriorityThrottle::Tenant& PriorityThrottle::CurrentWindow(TimePoint now, const std::string& name,
                                                          Duration window) {
  const std::int64_t current = now.time_since_epoch() / std::max(window, Duration(1));
  Tenant* entry = tenants_.Find(name);
  if (entry == nullptr) entry = tenants_.Insert(name, {current}, [](const Tenant&) { return true; }).first;
  if (entry->window == current) return *entry;
  const double part = RefusedPart(entry->refused, entry->asked);
  entry->throttle = part > 0 ? std::min(1.0, entry->throttle + part) : entry->throttle * kDecay;
  // Idle windows decay the throttle as well.
  const std::int64_t idle = std::max<std::int64_t>(0, current - entry->window - 1);
  entry->throttle *= std::pow(kDecay, static_cast<double>(std::min<std::int64_t>(idle, 64)));
  entry->window = current;
  entry->asked = entry->refused = 0;
  return *entry;
}

double PriorityThrottle::ThrottleLevel(TimePoint now, const std::string& tenant, Duration window) {
  const Tenant& entry = CurrentWindow(now, tenant, window);
  return std::max(entry.throttle, RefusedPart(entry.refused, entry.asked));
}

bool PriorityThrottle::Allow(TimePoint now, const std::string& tenant, Duration window, int rank,
                             double chance) {
  if (rank > 0) return chance >= ThrottleLevel(now, tenant, window) * (1 - std::pow(kStepFactor, rank));
  CurrentWindow(now, tenant, window).asked += 1;
  return true;
}

void PriorityThrottle::RecordRefusal(TimePoint now, const std::string& tenant, Duration window) {
  CurrentWindow(now, tenant, window).refused += 1;
}

}  // namespace curlewdoor::quota
