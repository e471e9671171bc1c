#include "counting/held_counts.hpp"

#include <algorithm>
#include <cmath>

#include "util/seconds.hpp"

namespace curlewdoor::counting {
namespace {

constexpr double kMemory = 2;  // windows, as the gateways measure their shares
constexpr double kPrior = 1;   // windows of a quota: weight of one over all gateways
constexpr Duration kBackAfter =
    std::chrono::seconds(3);           // from the beginning: all that are heard have called
constexpr double kMostReserved = 0.9;  // of a quota: those that are heard are never starved

double Faded(double units, Duration since, Duration window) {
  return units * std::exp(-Seconds(since) / std::max(1e-3, kMemory * Seconds(window)));
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

void HeldCounts::SetAway(std::set<std::string> away, std::set<std::string> all) {
  away_ = std::move(away);
  all_ = std::move(all);
}

// What is measured of one that is away is what it measured last itself: neither side has seen more since.
double HeldCounts::Reserved(TimePoint now, const Call& call) const {
  if (call.quota <= 0) return 0;
  // Just after the beginning those that haven't called yet still go by their shares.
  const bool early = now - *begun_ < kBackAfter;
  if (away_.empty() && !early) return 0;
  const auto tenant = tenants_.find(call.tenant);
  double reserved = 0;
  const auto gateways = static_cast<double>(std::max<std::size_t>(1, all_.size()));
  for (const std::string& gateway : early ? all_ : away_) {
    if (early && heard_.contains(gateway) && !away_.contains(gateway)) continue;
    double own = 0, all = 0;
    if (tenant != tenants_.end()) {
      const auto use = tenant->second.by_gateway.find(gateway);
      if (use != tenant->second.by_gateway.end()) {
        // As of its last add: what all used meanwhile it has not seen.
        own = use->second.units;
      }
      all = tenant->second.all.units;
    }
    const double prior = kPrior * call.quota;
    reserved += (own + prior / gateways) / (std::max(own, all) + prior) * call.quota;
  }
  return std::min(reserved, kMostReserved * call.quota);
}

void HeldCounts::Note(TimePoint now, const Call& call) {
  const auto add = [&](Use& use) {
    use.units = Faded(use.units, now - use.at, call.lifetime / 2) + call.amount;
    use.at = now;
  };
  Tenant& tenant = tenants_[call.tenant];
  add(tenant.all);
  if (!tenant.by_gateway.contains(call.gateway) && uses_ >= kMostUses) return;
  const auto [it, first] = tenant.by_gateway.try_emplace(call.gateway);
  uses_ += first;
  add(it->second);
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
