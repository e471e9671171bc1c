#include "quota/quota_counters.hpp"

#include <algorithm>
#include <iterator>

#include "quota/quota_plan.hpp"

namespace curlewdoor::quota {
namespace {

constexpr Duration kExpireInterval = std::chrono::seconds(1);
constexpr double kMaxReserved = 0.9;  // of a quota: reachable gateways are never starved

}  // namespace

void QuotaCounters::Begin(TimePoint now) {
  counters_.clear();
  by_expiry_.clear();
  shares_.clear();
  heard_.clear();
  unheard_ = unreachable_;
  share_count_ = 0;
  started_at_ = shares_expire_at_ = now;
}

void QuotaCounters::SetUnreachable(std::set<std::string> unreachable, std::set<std::string> all) {
  unreachable_ = std::move(unreachable);
  all_ = std::move(all);
  unheard_.clear();
  std::set_difference(unreachable_.begin(), unreachable_.end(), heard_.begin(), heard_.end(),
                      std::inserter(unheard_, unheard_.end()));
}

void QuotaCounters::MarkHeard(const std::string& gateway) {
  if (heard_.insert(gateway).second) unheard_.erase(gateway);
}

// What unreachable gateways may admit. Of one that has not been heard since the start only the mean is known.
double QuotaCounters::Reserved(const Call& call) const {
  if (call.quota <= 0 || unreachable_.empty()) return 0;
  const double even = 1.0 / static_cast<double>(std::max<std::size_t>(1, all_.size()));
  const auto shares = shares_.find(call.tenant);
  double reserved = 0;
  for (const std::string& gateway : unreachable_) {
    const double held = shares != shares_.end() ? shares->second.Held(gateway) : 0;
    reserved += unheard_.contains(gateway) ? even : kEvenShare * even + held;
  }
  return std::min(kShareFactor * reserved, kMaxReserved) * call.quota;
}

ShareAllocator* QuotaCounters::SharesOf(const Call& call) {
  const auto known = shares_.find(call.tenant);
  const bool first = known == shares_.end() || !known->second.Knows(call.gateway);
  if (first && share_count_ >= kMaxShares) return nullptr;
  share_count_ += first;
  return known != shares_.end() ? &known->second : &shares_[call.tenant];
}

void QuotaCounters::ExpireShares(TimePoint now) {
  if (now < shares_expire_at_) return;
  shares_expire_at_ = now + kExpireInterval;
  share_count_ = 0;
  const auto unreachable = [this](const std::string& gateway) { return unreachable_.contains(gateway); };
  for (auto it = shares_.begin(); it != shares_.end();) {
    it->second.Expire(now, unreachable);
    share_count_ += it->second.size();
    it = it->second.size() == 0 ? shares_.erase(it) : std::next(it);
  }
}

bool QuotaCounters::KnowsAllocations(TimePoint now, Duration window) const {
  return unheard_.empty() && now - *started_at_ >= ShareLifetime(window) + kUnreachableDetection;
}

std::optional<QuotaCounters::Added> QuotaCounters::Add(TimePoint now, const Call& call) {
  if (!started_at_) {
    ++figures_.refused;
    return std::nullopt;
  }
  MarkHeard(call.gateway);
  ExpireShares(now);
  ShareAllocator* shares = SharesOf(call);
  if (shares != nullptr)
    shares->Record(now, call.gateway, {call.use, call.held_share, call.quota, call.lifetime / 2});
  if (call.window_began <= *started_at_) {
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
    const double reserved = Reserved(call);
    it = counters_.emplace(call.name, Counter{reserved, expires}).first;
    figures_.reserved_units += reserved;
    by_expiry_.emplace(expires, call.name);
  }
  ++figures_.counted;
  figures_.units += call.amount;
  it->second.total += call.amount;
  Added added{it->second.total};
  if (shares != nullptr)
    added.share = KnowsAllocations(now, call.lifetime / 2) ? shares->Allocate(now, call.gateway)
                                                           : shares->Held(call.gateway);  // as reported
  return added;
}

}  // namespace curlewdoor::quota
