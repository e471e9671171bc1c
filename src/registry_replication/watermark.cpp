#include "registry_replication/watermark.hpp"

#include <algorithm>

namespace curlewdoor::registry_replication {

bool Watermark::Adopt(Time now, std::uint64_t value) {
  if (value <= value_) return false;
  value_ = value;
  since_ = now;
  return true;
}

void Watermark::OnAnswer(const Standing& standing) { held_[standing.member] = standing; }

bool Watermark::Tick(Time now, const Roster& roster, const Standing& own) {
  std::erase_if(held_, [&](const auto& each) { return !roster.Holds(each.first); });
  if (!own.votes || own.epoch != roster.epoch) return false;
  if (since_ == Time{}) since_ = now;
  if (now - since_ < period_) return false;
  held_[own.member] = own;
  const auto holders = std::count_if(held_.begin(), held_.end(), [&](const auto& each) {
    const Standing& standing = each.second;
    return standing.votes && standing.epoch == roster.epoch && standing.watermark >= value_;
  });
  if (static_cast<std::size_t>(holders) < roster.majority()) return false;
  return Adopt(now, value_ + 1);
}

}  // namespace curlewdoor::registry_replication
