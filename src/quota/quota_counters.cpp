#include "quota/quota_counters.hpp"

#include <algorithm>

#include "quota/quota_plan.hpp"

namespace curlewdoor::quota {
namespace {

constexpr Duration kGracePeriod =
    std::chrono::seconds(3);  // after the start: by then all reachable gateways have called
constexpr Duration kDetectionTime = std::chrono::seconds(2);  // until an unreachable gateway is detected
constexpr double kMaxReserved = 0.9;  // of a quota: reachable gateways are never starved

double Decayed(double units, Duration since, Duration window) {
  return units * Leases::Kept(since, std::max<Duration>(window, std::chrono::milliseconds(1)));
}

}  // namespace

void QuotaCounters::Begin(TimePoint now) {
  counters_.clear();
  by_expiry_.clear();
  tenants_.clear();
  heard_.clear();
  usage_count_ = 0;
  started_at_ = now;
}

void QuotaCounters::SetUnreachable(TimePoint now, const std::set<std::string>& unreachable,
                                   std::set<std::string> all) {
  std::erase_if(unreachable_, [&](const auto& each) { return !unreachable.contains(each.first); });
  for (const std::string& gateway : unreachable) unreachable_.try_emplace(gateway, now);
  all_ = std::move(all);
}

// Shares that unreachable gateways may still admit, each as the gateway itself measured it last. It may not
// have seen all use, and goes by its share from its first failed call on, before its loss is detected here.
double QuotaCounters::Reserved(TimePoint now, const Call& call) const {
  if (call.quota <= 0) return 0;
  // Just after the start, gateways that have not called yet still go by their shares.
  const bool early = now - *started_at_ < kGracePeriod;
  if (unreachable_.empty() && !early) return 0;
  const Leases::Options options = MakeLeaseOptions(static_cast<int>(all_.size()), {}, 0, slack_);
  const double even = call.quota / static_cast<double>(std::max<std::size_t>(1, all_.size()));
  Plan plan;
  plan.burst = call.quota;
  plan.no_burst_headroom = call.no_burst_headroom;
  const double all = call.no_burst_headroom ? 0 : TotalUse(call);
  double reserved = 0;
  const auto reserve = [&](const std::string& gateway, TimePoint since) {
    if (call.no_burst_headroom && !heard_.contains(gateway)) {  // its share dates from before the start
      reserved += even;
      return;
    }
    // Otherwise as of its last add: it has not seen later use.
    const double own =
        LocalUse(gateway, call, call.no_burst_headroom ? since - kDetectionTime : TimePoint::min());
    reserved += call.quota * Leases::ShareOf(own, std::max(own, all), plan, options.gateways, options);
  };
  for (const auto& [gateway, since] : unreachable_) reserve(gateway, since);
  if (early) {
    for (const std::string& gateway : all_)
      if (!unreachable_.contains(gateway) && !heard_.contains(gateway)) reserve(gateway, now);
  }
  return std::min(reserved, kMaxReserved * call.quota);
}

double QuotaCounters::LocalUse(const std::string& gateway, const Call& call, TimePoint at) const {
  const auto tenant = tenants_.find(call.tenant);
  if (tenant == tenants_.end()) return 0;
  const auto use = tenant->second.find(gateway);
  if (use == tenant->second.end()) return 0;
  return at <= use->second.at ? use->second.units
                              : Decayed(use->second.units, at - use->second.at, call.lifetime / 2);
}

double QuotaCounters::TotalUse(const Call& call) const {
  const auto tenant = tenants_.find(call.tenant);
  if (tenant == tenants_.end()) return 0;
  TimePoint last{};
  for (const auto& [gateway, use] : tenant->second) last = std::max(last, use.at);
  double all = 0;
  for (const auto& [gateway, use] : tenant->second)
    all += Decayed(use.units, last - use.at, call.lifetime / 2);
  return all;
}

void QuotaCounters::RecordUse(TimePoint now, const Call& call) {
  auto& tenant = tenants_[call.tenant];
  if (!tenant.contains(call.gateway) && usage_count_ >= kMaxUsageEntries) return;
  const auto [it, first] = tenant.try_emplace(call.gateway);
  usage_count_ += first;
  Usage& use = it->second;
  use.units = Decayed(use.units, now - use.at, call.lifetime / 2) + call.amount;
  use.at = now;
}

std::optional<double> QuotaCounters::Add(TimePoint now, const Call& call) {
  if (started_at_) heard_.insert(call.gateway);
  if (!started_at_ || now - *started_at_ < call.lifetime / 2) {
    ++figures_.refused;
    return std::nullopt;
  }
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    counters_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
  auto it = counters_.find(call.name);
  if (it == counters_.end()) {
    if (counters_.size() >= kMaxCounters) return std::nullopt;
    const TimePoint expires = now + std::max<Duration>(call.lifetime, std::chrono::milliseconds(1));
    const double reserved = Reserved(now, call);
    it = counters_.emplace(call.name, Counter{reserved, expires}).first;
    figures_.reserved_units += reserved;
    by_expiry_.emplace(expires, call.name);
  }
  RecordUse(now, call);
  ++figures_.counted;
  figures_.units += call.amount;
  return it->second.total += call.amount;
}

}  // namespace curlewdoor::quota
