#include "quota/share_allocator.hpp"

#include <iterator>

#include "logic/leases.hpp"

namespace curlewdoor::quota {
namespace {

constexpr double kMinUse = 0.25;         // windows of quota: a tenant of less use leaves shares unallocated
constexpr double kNegligibleUse = 0.01;  // units

}  // namespace

void ShareAllocator::Take(Entry& entry, double share, TimePoint now) {
  allocated_ += share - entry.share;
  entry.share = share;
  entry.expires = now + ShareLifetime(window_) + kUnreachableDetection;
}

void ShareAllocator::Record(TimePoint now, const std::string& gateway, const ShareReport& report) {
  quota_ = report.quota;
  window_ = std::max<Duration>(report.window, std::chrono::milliseconds(1));
  const double use = std::max(0.0, report.use);
  Entry& entry = entries_[gateway];
  total_use_ *= Leases::Kept(now - total_at_, window_);
  total_use_ -= entry.use * Leases::Kept(now - entry.used_at, window_);
  total_use_ = std::max(0.0, total_use_) + use;
  entry.use = use;
  total_at_ = entry.used_at = now;
  Take(entry, std::clamp(report.held_share, 0.0, 1 - kEvenShare), now);
}

double ShareAllocator::Allocate(TimePoint now, const std::string& gateway) {
  Entry& entry = entries_[gateway];
  const double all = std::max(total_use_, kMinUse * quota_);
  const double by_use = all > 0 ? (1 - kEvenShare) * entry.use / all : 0;
  const double left = (1 - kEvenShare) - (allocated_ - entry.share);
  const double share = std::clamp(by_use, 0.0, std::max(0.0, left));
  // The reply may be lost: until the gateway reports the new share it may hold the old one.
  Take(entry, std::max(share, entry.share), now);
  return share;
}

double ShareAllocator::Held(const std::string& gateway) const {
  const auto entry = entries_.find(gateway);
  return entry != entries_.end() ? entry->second.share : 0;
}

void ShareAllocator::Expire(TimePoint now, const IsUnreachable& unreachable) {
  allocated_ = total_use_ = 0;
  total_at_ = now;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    if (entry.expires <= now && !unreachable(it->first)) entry.share = 0;
    entry.use *= Leases::Kept(now - entry.used_at, window_);
    entry.used_at = now;
    total_use_ += entry.use;
    allocated_ += entry.share;
    it = entry.share == 0 && entry.use < kNegligibleUse ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace curlewdoor::quota
