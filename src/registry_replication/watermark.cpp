#include "registry_replication/watermark.hpp"

#include <algorithm>

namespace curlewdoor::registry_replication {

bool Watermark::Adopt(Time now, std::uint64_t value) {
  if (value <= value_) return false;
  value_ = value;
  since_ = now;
  return true;
}

void Watermark::OnAnswer(const MemberStatus& status) { statuses_[status.member] = status; }

bool Watermark::Tick(Time now, const Membership& membership, const MemberStatus& local) {
  std::erase_if(statuses_, [&](const auto& entry) { return !membership.Contains(entry.first); });
  if (!local.votes || local.epoch != membership.epoch) return false;
  if (since_ == Time{}) since_ = now;
  if (now - since_ < period_) return false;
  statuses_[local.member] = local;
  const auto holder_count = std::count_if(statuses_.begin(), statuses_.end(), [&](const auto& entry) {
    const MemberStatus& status = entry.second;
    return status.votes && status.epoch == membership.epoch && status.watermark >= value_;
  });
  if (static_cast<std::size_t>(holder_count) < membership.majority()) return false;
  return Adopt(now, value_ + 1);
}

}  // namespace curlewdoor::registry_replication
