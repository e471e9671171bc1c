#include "coordination/watch_table.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::coordination {

bool WatchTable::Add(Time now, std::uint64_t id, const std::string& group, Revision after,
                     std::chrono::milliseconds wait) {
  if (pending_.size() >= limits_.watches) return false;
  const Time due = now + std::min(wait, limits_.max_wait);
  if (!pending_.try_emplace(id, PendingWatch{{id, group, after}, due}).second) return false;
  by_group_[group].emplace(after, id);
  by_due_.emplace(due, id);
  return true;
}

void WatchTable::Remove(std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const PendingWatch& pending = found->second;
  const auto erase = [id](auto& index, const auto& key) {
    const auto [begin, end] = index.equal_range(key);
    index.erase(std::find_if(begin, end, [id](const auto& each) { return each.second == id; }));
  };
  const auto group = by_group_.find(pending.watch.group);
  erase(group->second, pending.watch.after);
  if (group->second.empty()) by_group_.erase(group);
  erase(by_due_, pending.due);
  pending_.erase(found);
}

std::vector<WatchTable::Watch> WatchTable::TakeReady(const std::string& group, Revision revision) {
  std::vector<Watch> ready;
  const auto found = by_group_.find(group);
  if (found == by_group_.end()) return ready;
  for (auto it = found->second.begin(); it != found->second.end() && it->first < revision; ++it)
    ready.push_back(pending_.at(it->second).watch);
  for (const Watch& watch : ready) Remove(watch.id);
  return ready;
}

std::vector<WatchTable::Watch> WatchTable::TakeExpired(Time now) {
  std::vector<Watch> due;
  for (auto it = by_due_.begin(); it != by_due_.end() && it->first <= now; ++it)
    due.push_back(pending_.at(it->second).watch);
  for (const Watch& watch : due) Remove(watch.id);
  return due;
}

std::vector<WatchTable::Watch> WatchTable::TakeAll() {
  std::vector<Watch> all;
  all.reserve(pending_.size());
  for (const auto& [id, pending] : pending_) all.push_back(pending.watch);
  pending_.clear();
  by_group_.clear();
  by_due_.clear();
  return all;
}

std::optional<WatchTable::Time> WatchTable::NextDue() const {
  if (by_due_.empty()) return std::nullopt;
  return by_due_.begin()->first;
}

}  // namespace curlewdoor::coordination
