#include "coordination/state_machine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/packing.hpp"

namespace curlewdoor::coordination {
namespace {

constexpr std::uint32_t kSnapshotFormat = 1;
// Estimated memory of a table entry besides its strings.
constexpr std::size_t kEntryOverheadBytes = 64;  // bytes

}  // namespace

// The layout of a snapshot.
struct StateMachine::SnapshotData {
  struct HoldRecord {
    std::string lock, holder;
    FencingToken fence = 0;
    std::uint64_t hold_ms = 0, renewals = 0;
  };
  struct NumberRecord {
    std::string name;
    std::uint64_t value = 0;
  };
  struct KeyRecord {
    std::string name, value;
    Revision revision = 0, newest_dropped = 0;
  };
  struct PutRecord {
    std::string key, value;
    Revision revision = 0;
    LoggedTime at{};
  };
  struct GroupRecord {
    std::string name;
    Revision revision = 0, trimmed_to = 0;
    std::vector<PutRecord> history;
  };
  struct RejectedPutRecord {
    std::string key, value;
    Revision expected = 0;
  };
  std::uint32_t format = kSnapshotFormat;
  FencingToken last_fence = 0;
  std::vector<HoldRecord> holds;
  std::vector<NumberRecord> numbers;
  std::vector<KeyRecord> keys;
  std::vector<GroupRecord> groups;
  std::vector<RejectedPutRecord> rejected_puts;

  // Whether the records are sorted by name without duplicates, as Snapshot() writes them.
  bool IsSorted() const;

  friend auto Fields(HoldRecord& v) { return std::tie(v.lock, v.holder, v.fence, v.hold_ms, v.renewals); }
  friend auto Fields(NumberRecord& v) { return std::tie(v.name, v.value); }
  friend auto Fields(KeyRecord& v) { return std::tie(v.name, v.value, v.revision, v.newest_dropped); }
  friend auto Fields(PutRecord& v) { return std::tie(v.key, v.value, v.revision, v.at); }
  friend auto Fields(GroupRecord& v) { return std::tie(v.name, v.revision, v.trimmed_to, v.history); }
  friend auto Fields(RejectedPutRecord& v) { return std::tie(v.key, v.value, v.expected); }
  friend auto Fields(SnapshotData& v) {
    return std::tie(v.format, v.last_fence, v.holds, v.numbers, v.keys, v.groups, v.rejected_puts);
  }
};

namespace {

template <typename Items, typename Name>
bool IsStrictlyIncreasing(const Items& items, Name name) {
  return std::adjacent_find(items.begin(), items.end(), [&](const auto& one, const auto& next) {
           return name(one) >= name(next);
         }) == items.end();
}

}  // namespace

bool StateMachine::SnapshotData::IsSorted() const {
  const auto name = [](const auto& each) -> const std::string& { return each.name; };
  return IsStrictlyIncreasing(holds,
                              [](const HoldRecord& each) -> const std::string& { return each.lock; }) &&
         IsStrictlyIncreasing(numbers, name) && IsStrictlyIncreasing(keys, name) &&
         IsStrictlyIncreasing(groups, name);
}

StateMachine::StateMachine(StateMachineLimits limits) : limits_(limits) {}

CommandResult StateMachine::Apply(LoggedTime at, const Command& command) {
  TrimHistory(at);
  return std::visit([&](const auto& each) { return Execute(at, each); }, command);
}

// ---- Locks ----

CommandResult StateMachine::Execute(LoggedTime, const AcquireLock& acquire) {
  const auto found = holds_.find(acquire.lock);
  if (found != holds_.end()) {
    Hold& hold = found->second;
    if (hold.holder != acquire.holder) return LockRefused{};
    ExtendHold(hold, acquire.hold_ms);
    return LockGranted{hold.fence};
  }
  if (holds_.size() >= limits_.locks) return LimitReached{};
  const FencingToken fence = HasFault(StateMachineLimits::Fault::kFenceReused) ? last_fence_ : ++last_fence_;
  holds_[acquire.lock] = {acquire.holder, fence, acquire.hold_ms, 0};
  return LockGranted{fence};
}

CommandResult StateMachine::Execute(LoggedTime, const RenewLock& renew) {
  const auto found = holds_.find(renew.lock);
  if (found == holds_.end() || !found->second.BelongsTo(renew.holder, renew.fence)) return LockRefused{};
  ExtendHold(found->second, renew.hold_ms);
  return Done{};
}

CommandResult StateMachine::Execute(LoggedTime, const ReleaseLock& release) {
  const auto found = holds_.find(release.lock);
  if (found != holds_.end() && found->second.BelongsTo(release.holder, release.fence)) holds_.erase(found);
  return Done{};
}

CommandResult StateMachine::Execute(LoggedTime, const ExpireLock& expire) {
  const auto found = holds_.find(expire.lock);
  if (found == holds_.end() || found->second.fence != expire.fence) return Done{};
  const bool renewed = found->second.renewals != expire.renewals;
  if (!renewed || HasFault(StateMachineLimits::Fault::kExpireRenewed)) holds_.erase(found);
  return Done{};
}

void StateMachine::ExtendHold(Hold& hold, std::uint64_t hold_ms) {
  hold.hold_ms = std::max(hold.hold_ms, hold_ms);
  ++hold.renewals;
}

// ---- Numbers ----

CommandResult StateMachine::Execute(LoggedTime, const TakeNumber& take) {
  const auto found = numbers_.find(take.name);
  if (found == numbers_.end() && numbers_.size() >= limits_.numbers) return LimitReached{};
  return NumberTaken{++numbers_[take.name]};
}

// ---- Keys ----

CommandResult StateMachine::Execute(LoggedTime at, const PutKey& put) {
  const auto found = keys_.find(put.key);
  const KeyState* key = found == keys_.end() ? nullptr : &found->second;
  if (const auto first = FindAppliedRevision(put, key)) return KeyPut{*first};
  const Revision present = key ? key->revision : 0;
  if (put.expected && *put.expected != present) {
    const bool outcome_unknown = key && key->newest_dropped > *put.expected;
    if (outcome_unknown && !HasFault(StateMachineLimits::Fault::kConflictBeyondHistory))
      return OutcomeExpired{};
    return RejectPut(put, present);
  }
  if (WasRejected(put)) return KeyConflict{present};
  if (!FitsLimits(put, key)) return LimitReached{};
  return KeyPut{StorePut(at, put)};
}

// Returns KeyConflict. Stores the put if a delayed copy of it could still meet its expected revision.
CommandResult StateMachine::RejectPut(const PutKey& put, Revision present) {
  if (*put.expected <= GroupRevision(std::string(GroupOf(put.key))) || WasRejected(put))
    return KeyConflict{present};
  if (rejected_puts_.size() >= limits_.rejected_puts) return OutcomeExpired{};
  rejected_puts_.push_back({put.key, put.value, *put.expected});
  return KeyConflict{present};
}

bool StateMachine::WasRejected(const PutKey& put) const {
  return std::any_of(rejected_puts_.begin(), rejected_puts_.end(), [&](const RejectedPut& each) {
    return put.expected == each.expected && put.key == each.key && put.value == each.value;
  });
}

// `revision` is the key's new revision: puts that expect a lower one conflict without being stored.
void StateMachine::DropRejectedPuts(const std::string& key, Revision revision) {
  std::erase_if(rejected_puts_,
                [&](const RejectedPut& each) { return each.expected < revision && each.key == key; });
}

// The revision under which the same put was applied before, if it was.
std::optional<Revision> StateMachine::FindAppliedRevision(const PutKey& put, const KeyState* key) const {
  if (key == nullptr || HasFault(StateMachineLimits::Fault::kResendAppliedTwice)) return std::nullopt;
  if (key->value == put.value) return key->revision;
  const auto& history = FindGroup(GroupOf(put.key))->history;
  const auto matches = std::find_if(history.rbegin(), history.rend(), [&](const HistoryEntry& each) {
    return each.event.value == put.value && each.event.key == put.key;
  });
  if (matches == history.rend()) return std::nullopt;
  return matches->event.revision;
}

bool StateMachine::FitsLimits(const PutKey& put, const KeyState* key) const {
  const std::size_t size = put.key.size() + put.value.size() + kEntryOverheadBytes;
  const std::size_t before = key ? put.key.size() + key->value.size() + kEntryOverheadBytes : 0;
  if (!key && keys_.size() >= limits_.keys) return false;
  return key_bytes_ - before + size <= limits_.key_bytes && history_bytes_ + size <= limits_.history_bytes;
}

Revision StateMachine::StorePut(LoggedTime at, const PutKey& put) {
  const std::size_t size = put.key.size() + put.value.size() + kEntryOverheadBytes;
  KeyGroup& group = FindOrAddGroup(GroupOf(put.key));
  const Revision revision = ++group.revision;
  auto [entry, is_new] = keys_.try_emplace(put.key);
  KeyState& key = entry->second;
  if (!is_new) key_bytes_ -= put.key.size() + key.value.size() + kEntryOverheadBytes;
  // If the key's current put is no longer in the history, replacing it makes it a dropped one.
  if (!is_new && key.revision <= group.trimmed_to)
    key.newest_dropped = std::max(key.newest_dropped, key.revision);
  key.value = put.value;
  key.revision = revision;
  key_bytes_ += size;
  DropRejectedPuts(put.key, revision);
  group.history.push_back({{put.key, put.value, revision}, at});
  history_bytes_ += size;
  history_order_.push_back(group_indexes_.find(GroupOf(put.key))->second);
  return revision;
}

// Drops the puts older than limits_.history. Logged time does not decrease, so the oldest puts of all groups
// are first in history_order_.
void StateMachine::TrimHistory(LoggedTime now) {
  while (!history_order_.empty()) {
    KeyGroup& group = groups_[history_order_.front()];
    if (group.history.front().at + limits_.history > now) return;
    DropOldestPut(group);
    history_order_.pop_front();
  }
}

void StateMachine::DropOldestPut(KeyGroup& group) {
  const PutEvent& event = group.history.front().event;
  KeyState& key = keys_.at(event.key);
  if (key.revision != event.revision) key.newest_dropped = std::max(key.newest_dropped, event.revision);
  group.trimmed_to = event.revision;
  history_bytes_ -= event.key.size() + event.value.size() + kEntryOverheadBytes;
  group.history.pop_front();
}

const StateMachine::KeyGroup* StateMachine::FindGroup(std::string_view name) const {
  const auto found = group_indexes_.find(name);
  return found == group_indexes_.end() ? nullptr : &groups_[found->second];
}

StateMachine::KeyGroup& StateMachine::FindOrAddGroup(std::string_view name) {
  const auto found = group_indexes_.find(name);
  if (found != group_indexes_.end()) return groups_[found->second];
  group_indexes_.emplace(std::string(name), static_cast<std::uint32_t>(groups_.size()));
  return groups_.emplace_back();
}

std::optional<StateMachine::VersionedValue> StateMachine::Find(const std::string& key) const {
  const auto found = keys_.find(key);
  if (found == keys_.end()) return std::nullopt;
  return VersionedValue{found->second.value, found->second.revision};
}

// ---- Watches ----

StateMachine::EventBatch StateMachine::EventsAfter(const std::string& group, Revision after,
                                                   std::size_t max_bytes) const {
  EventBatch events;
  const KeyGroup* found = FindGroup(group);
  if (found == nullptr) return events;
  const KeyGroup& known = *found;
  events.revision = known.revision;
  if (after == 0) return events;
  if (after < known.trimmed_to) {
    events.too_old = true;
    return events;
  }
  const auto first =
      std::partition_point(known.history.begin(), known.history.end(),
                           [&](const HistoryEntry& each) { return each.event.revision <= after; });
  std::size_t bytes = 0;
  for (auto it = first; it != known.history.end(); ++it) {
    bytes += it->event.key.size() + it->event.value.size();
    if (bytes > max_bytes && it != first) {
      events.revision = events.events.back().revision;
      break;
    }
    events.events.push_back(it->event);
  }
  return events;
}

Revision StateMachine::GroupRevision(const std::string& group) const {
  const KeyGroup* found = FindGroup(group);
  return found == nullptr ? 0 : found->revision;
}

std::string_view StateMachine::GroupOf(std::string_view key) {
  const auto dot = key.find('.');
  return dot == std::string_view::npos ? key : key.substr(0, dot + 1);
}

// ---- Snapshots ----

std::string StateMachine::Snapshot() const {
  SnapshotData data;
  if (!HasFault(StateMachineLimits::Fault::kFenceNotInSnapshot)) data.last_fence = last_fence_;
  for (const auto& [lock, hold] : holds_)
    data.holds.push_back({lock, hold.holder, hold.fence, hold.hold_ms, hold.renewals});
  for (const auto& [name, value] : numbers_) data.numbers.push_back({name, value});
  for (const auto& [name, key] : keys_)
    data.keys.push_back({name, key.value, key.revision, key.newest_dropped});
  for (const auto& [name, number] : group_indexes_) {
    const KeyGroup& group = groups_[number];
    SnapshotData::GroupRecord named{name, group.revision, group.trimmed_to, {}};
    if (!HasFault(StateMachineLimits::Fault::kHistoryNotInSnapshot)) {
      for (const HistoryEntry& each : group.history)
        named.history.push_back({each.event.key, each.event.value, each.event.revision, each.at});
    }
    data.groups.push_back(std::move(named));
  }
  for (const RejectedPut& each : rejected_puts_)
    data.rejected_puts.push_back({each.key, each.value, each.expected});
  return packing::Pack(data, key_bytes_ + history_bytes_ + 1024);
}

// Checks the invariants that Apply() relies on: each key has its group, each put in a history has its key,
// and the revisions in a history are consecutive.
bool StateMachine::IsConsistent(const SnapshotData& data) {
  std::map<std::string_view, Revision> revisions, groups;
  for (const auto& group : data.groups) {
    if (!groups.emplace(group.name, group.revision).second || group.trimmed_to > group.revision) return false;
  }
  for (const auto& key : data.keys) {
    const auto group = groups.find(GroupOf(key.name));
    const bool possible =
        group != groups.end() && key.revision > key.newest_dropped && key.revision <= group->second;
    if (!possible || !revisions.emplace(key.name, key.revision).second) return false;
  }
  for (const auto& group : data.groups) {
    Revision newest = group.trimmed_to;
    LoggedTime latest{};
    for (const auto& put : group.history) {
      const auto key = revisions.find(put.key);
      const bool known =
          key != revisions.end() && GroupOf(put.key) == group.name && put.revision <= key->second;
      if (!known || put.revision != newest + 1 || put.at < latest) return false;
      newest = put.revision;
      latest = put.at;
    }
    if (newest != group.revision) return false;
  }
  return std::all_of(data.holds.begin(), data.holds.end(),
                     [&](const auto& hold) { return hold.fence <= data.last_fence; });
}

bool StateMachine::Restore(std::string_view bytes) {
  auto data = packing::Unpack<SnapshotData>(bytes);
  if (!data || data->format != kSnapshotFormat || !data->IsSorted()) return false;
  if (limits_.fault == StateMachineLimits::Fault::kNone && !IsConsistent(*data)) return false;
  *this = StateMachine(limits_);
  last_fence_ = data->last_fence;
  for (auto& hold : data->holds)
    holds_[hold.lock] = {std::move(hold.holder), hold.fence, hold.hold_ms, hold.renewals};
  for (auto& number : data->numbers) numbers_[std::move(number.name)] = number.value;
  for (auto& key : data->keys) {
    key_bytes_ += key.name.size() + key.value.size() + kEntryOverheadBytes;
    keys_[std::move(key.name)] = {std::move(key.value), key.revision, key.newest_dropped};
  }
  std::vector<std::pair<LoggedTime, std::uint32_t>> puts;
  for (auto& named : data->groups) {
    const auto number = static_cast<std::uint32_t>(groups_.size());
    KeyGroup& group = FindOrAddGroup(named.name);
    group.revision = named.revision;
    group.trimmed_to = named.trimmed_to;
    for (auto& put : named.history) {
      history_bytes_ += put.key.size() + put.value.size() + kEntryOverheadBytes;
      group.history.push_back({{std::move(put.key), std::move(put.value), put.revision}, put.at});
      puts.emplace_back(put.at, number);
    }
  }
  for (auto& each : data->rejected_puts)
    rejected_puts_.push_back({std::move(each.key), std::move(each.value), each.expected});
  std::sort(puts.begin(), puts.end());
  for (const auto& [at, number] : puts) history_order_.push_back(number);
  return true;
}

}  // namespace curlewdoor::coordination
