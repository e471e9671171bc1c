#include "quota/quota_counters.hpp"

#include <algorithm>

#include "quota/quota_plan.hpp"

namespace curlewdoor::counting {
namespace {

constexpr Duration kBackAfter =
    std::chrono::seconds(3);  // from the beginning: all that are heard have called
constexpr Duration kMissedWithin = std::chrono::seconds(2);  // by then one that can't be heard is away
constexpr double kMostReserved = 0.9;  // of a quota: those that are heard are never starved

double Faded(double units, Duration since, Duration window) {
  return units * Leases::Kept(since, std::max<Duration>(window, std::chrono::milliseconds(1)));
}

}  // namespace

void HeldCounts::Begin(TimePoint now) {
  counts_.clear();
  by_end_.clear();
  tenants_.clear();
  heard_.clear();
  uses_ = 0;
  begun_ = now;
}

void HeldCounts::SetAway(TimePoint now, const std::set<std::string>& away, std::set<std::string> all) {
  std::erase_if(away_, [&](const auto& each) { return !away.contains(each.first); });
  for (const std::string& gateway : away) away_.try_emplace(gateway, now);
  all_ = std::move(all);
}

// Of one that is away: what it measured last itself, since neither side has seen more. It may not have seen
// all that was used, and goes by its share from its first failed call on, before it is missed here.
double HeldCounts::Reserved(TimePoint now, const Call& call) const {
  if (call.quota <= 0) return 0;
  // Just after the beginning those that haven't called yet still go by their shares.
  const bool early = now - *begun_ < kBackAfter;
  if (away_.empty() && !early) return 0;
  const Leases::Options options = LeaseOptions(static_cast<int>(all_.size()), {}, 0, slack_);
  const double even = call.quota / static_cast<double>(std::max<std::size_t>(1, all_.size()));
  Plan plan;
  plan.burst = call.quota;
  plan.tight = call.tight;
  const double all = call.tight ? 0 : AllUse(call);
  double reserved = 0;
  const auto reserve = [&](const std::string& gateway, TimePoint since) {
    if (call.tight && !heard_.contains(gateway)) {  // its share is from before the beginning
      reserved += even;
      return;
    }
    // Otherwise as of its last add: what all used meanwhile it has not seen.
    const double own = OwnUse(gateway, call, call.tight ? since - kMissedWithin : TimePoint::min());
    reserved += call.quota * Leases::ShareOf(own, std::max(own, all), plan, options.gateways, options);
  };
  for (const auto& [gateway, since] : away_) reserve(gateway, since);
  if (early) {
    for (const std::string& gateway : all_)
      if (!away_.contains(gateway) && !heard_.contains(gateway)) reserve(gateway, now);
  }
  return std::min(reserved, kMostReserved * call.quota);
}

double HeldCounts::OwnUse(const std::string& gateway, const Call& call, TimePoint at) const {
  const auto tenant = tenants_.find(call.tenant);
  if (tenant == tenants_.end()) return 0;
  const auto use = tenant->second.find(gateway);
  if (use == tenant->second.end()) return 0;
  return at <= use->second.at ? use->second.units
                              : Faded(use->second.units, at - use->second.at, call.lifetime / 2);
}

double HeldCounts::AllUse(const Call& call) const {
  const auto tenant = tenants_.find(call.tenant);
  if (tenant == tenants_.end()) return 0;
  TimePoint last{};
  for (const auto& [gateway, use] : tenant->second) last = std::max(last, use.at);
  double all = 0;
  for (const auto& [gateway, use] : tenant->second) all += Faded(use.units, last - use.at, call.lifetime / 2);
  return all;
}

void HeldCounts::Note(TimePoint now, const Call& call) {
  auto& tenant = tenants_[call.tenant];
  if (!tenant.contains(call.gateway) && uses_ >= kMostUses) return;
  const auto [it, first] = tenant.try_emplace(call.gateway);
  uses_ += first;
  Use& use = it->second;
  use.units = Faded(use.units, now - use.at, call.lifetime / 2) + call.amount;
  use.at = now;
}

std::optional<double> HeldCounts::Add(TimePoint now, const Call& call) {
  if (begun_) heard_.insert(call.gateway);
  if (!begun_ || now - *begun_ < call.lifetime / 2) return std::nullopt;
  while (!by_end_.empty() && by_end_.begin()->first <= now) {
    counts_.erase(by_end_.begin()->second);
    by_end_.erase(by_end_.begin());
  }
  auto it = counts_.find(call.name);
  if (it == counts_.end()) {
    if (counts_.size() >= kMostCounts) return std::nullopt;
    const TimePoint ends = now + std::max<Duration>(call.lifetime, std::chrono::milliseconds(1));
    it = counts_.emplace(call.name, Count{Reserved(now, call), ends}).first;
    by_end_.emplace(ends, call.name);
  }
  Note(now, call);
  return it->second.total += call.amount;
}

}  // namespace curlewdoor::counting
