#include "coordination/watch_table.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::coordination {

bool WatchTable::Add(Time now, std::uint64_t id, const std::string& group, Revision after,
                     std::chrono::milliseconds wait) {
  if (waiters_.size() >= limits_.watches) return false;
  const Time due = now + std::min(wait, limits_.longest_wait);
  if (!waiters_.try_emplace(id, Entry{{id, group, after}, due}).second) return false;
  by_group_[group].emplace(after, id);
  by_due_.emplace(due, id);
  return true;
}

void WatchTable::Remove(std::uint64_t id) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) return;
  const Entry& entry = found->second;
  const auto erase = [id](auto& index, const auto& key) {
    const auto [begin, end] = index.equal_range(key);
    index.erase(std::find_if(begin, end, [id](const auto& each) { return each.second == id; }));
  };
  const auto group = by_group_.find(entry.waiter.group);
  erase(group->second, entry.waiter.after);
  if (group->second.empty()) by_group_.erase(group);
  erase(by_due_, entry.due);
  waiters_.erase(found);
}

std::vector<WatchTable::Waiter> WatchTable::TakeReady(const std::string& group, Revision revision) {
  std::vector<Waiter> ready;
  const auto found = by_group_.find(group);
  if (found == by_group_.end()) return ready;
  for (auto it = found->second.begin(); it != found->second.end() && it->first < revision; ++it)
    ready.push_back(waiters_.at(it->second).waiter);
  for (const Waiter& waiter : ready) Remove(waiter.id);
  return ready;
}

std::vector<WatchTable::Waiter> WatchTable::TakeDue(Time now) {
  std::vector<Waiter> due;
  for (auto it = by_due_.begin(); it != by_due_.end() && it->first <= now; ++it)
    due.push_back(waiters_.at(it->second).waiter);
  for (const Waiter& waiter : due) Remove(waiter.id);
  return due;
}

std::vector<WatchTable::Waiter> WatchTable::TakeAll() {
  std::vector<Waiter> all;
  all.reserve(waiters_.size());
  for (const auto& [id, entry] : waiters_) all.push_back(entry.waiter);
  waiters_.clear();
  by_group_.clear();
  by_due_.clear();
  return all;
}

std::optional<WatchTable::Time> WatchTable::NextDue() const {
  if (by_due_.empty()) return std::nullopt;
  return by_due_.begin()->first;
}

}  // namespace curlewdoor::coordination
