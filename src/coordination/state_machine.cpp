#include "coordination/state_machine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/packing.hpp"

namespace curlewdoor::coordination {
namespace {

constexpr std::uint32_t kSnapshotFormat = 1;
// What an entry of a table takes beside its texts.
constexpr std::size_t kOverhead = 64;  // bytes

}  // namespace

// The state as it stands in a snapshot.
struct StateMachine::Image {
  struct NamedHold {
    std::string lock, holder;
    Fence fence = 0;
    std::uint64_t hold_ms = 0, renewals = 0;
  };
  struct NamedNumber {
    std::string name;
    std::uint64_t value = 0;
  };
  struct NamedKey {
    std::string name, value;
    Revision revision = 0, dropped = 0;
  };
  struct PastPut {
    std::string key, value;
    Revision revision = 0;
    LoggedTime at{};
  };
  struct NamedGroup {
    std::string name;
    Revision revision = 0, floor = 0;
    std::vector<PastPut> history;
  };
  struct RefusedPut {
    std::string key, value;
    Revision expected = 0;
  };
  std::uint32_t format = kSnapshotFormat;
  Fence last_fence = 0;
  std::vector<NamedHold> holds;
  std::vector<NamedNumber> numbers;
  std::vector<NamedKey> keys;
  std::vector<NamedGroup> groups;
  std::vector<RefusedPut> refusals;

  // As Snapshot() writes it: by name, each once.
  bool InOrder() const;

  friend auto Fields(NamedHold& v) { return std::tie(v.lock, v.holder, v.fence, v.hold_ms, v.renewals); }
  friend auto Fields(NamedNumber& v) { return std::tie(v.name, v.value); }
  friend auto Fields(NamedKey& v) { return std::tie(v.name, v.value, v.revision, v.dropped); }
  friend auto Fields(PastPut& v) { return std::tie(v.key, v.value, v.revision, v.at); }
  friend auto Fields(NamedGroup& v) { return std::tie(v.name, v.revision, v.floor, v.history); }
  friend auto Fields(RefusedPut& v) { return std::tie(v.key, v.value, v.expected); }
  friend auto Fields(Image& v) {
    return std::tie(v.format, v.last_fence, v.holds, v.numbers, v.keys, v.groups, v.refusals);
  }
};

namespace {

template <typename Items, typename Name>
bool RiseBy(const Items& items, Name name) {
  return std::adjacent_find(items.begin(), items.end(), [&](const auto& one, const auto& next) {
           return name(one) >= name(next);
         }) == items.end();
}

}  // namespace

bool StateMachine::Image::InOrder() const {
  const auto name = [](const auto& each) -> const std::string& { return each.name; };
  return RiseBy(holds, [](const NamedHold& each) -> const std::string& { return each.lock; }) &&
         RiseBy(numbers, name) && RiseBy(keys, name) && RiseBy(groups, name);
}

StateMachine::StateMachine(Limits limits) : limits_(limits) {}

Result StateMachine::Apply(LoggedTime at, const Command& command) {
  DropHistory(at);
  return std::visit([&](const auto& each) { return Do(at, each); }, command);
}

// ---- Locks ----

Result StateMachine::Do(LoggedTime, const AcquireLock& acquire) {
  const auto found = holds_.find(acquire.lock);
  if (found != holds_.end()) {
    Hold& hold = found->second;
    if (hold.holder != acquire.holder) return LockRefused{};
    Prolong(hold, acquire.hold_ms);
    return LockGranted{hold.fence};
  }
  if (holds_.size() >= limits_.locks) return NoRoom{};
  const Fence fence = Does(Limits::Fault::kFenceReused) ? last_fence_ : ++last_fence_;
  holds_[acquire.lock] = {acquire.holder, fence, acquire.hold_ms, 0};
  return LockGranted{fence};
}

Result StateMachine::Do(LoggedTime, const RenewLock& renew) {
  const auto found = FindHold(renew.lock, renew.holder, renew.fence);
  if (found == holds_.end()) return LockRefused{};
  Prolong(found->second, renew.hold_ms);
  return Done{};
}

Result StateMachine::Do(LoggedTime, const ReleaseLock& release) {
  const auto found = FindHold(release.lock, release.holder, release.fence);
  if (found != holds_.end()) holds_.erase(found);
  return Done{};
}

Result StateMachine::Do(LoggedTime, const ExpireLock& expire) {
  const auto found = holds_.find(expire.lock);
  if (found == holds_.end() || found->second.fence != expire.fence) return Done{};
  const bool renewed = found->second.renewals != expire.renewals;
  if (!renewed || Does(Limits::Fault::kExpireRenewed)) holds_.erase(found);
  return Done{};
}

StateMachine::Holds::iterator StateMachine::FindHold(const std::string& lock, const std::string& holder,
                                                     Fence fence) {
  const auto found = holds_.find(lock);
  if (found == holds_.end()) return found;
  const bool same = found->second.holder == holder && found->second.fence == fence;
  return same ? found : holds_.end();
}

void StateMachine::Prolong(Hold& hold, std::uint64_t hold_ms) {
  hold.hold_ms = std::max(hold.hold_ms, hold_ms);
  ++hold.renewals;
}

// ---- Numbers ----

Result StateMachine::Do(LoggedTime, const TakeNumber& take) {
  const auto found = numbers_.find(take.name);
  if (found == numbers_.end() && numbers_.size() >= limits_.numbers) return NoRoom{};
  return NumberTaken{++numbers_[take.name]};
}

// ---- Keys ----

Result StateMachine::Do(LoggedTime at, const PutKey& put) {
  const auto found = keys_.find(put.key);
  const Key* key = found == keys_.end() ? nullptr : &found->second;
  if (const auto first = FirstRevision(put, key)) return KeyPut{*first};
  const Revision present = key ? key->revision : 0;
  if (put.expected && *put.expected != present) {
    const bool forgotten = key && key->dropped > *put.expected;
    if (forgotten && !Does(Limits::Fault::kConflictBeyondHistory)) return OutcomeForgotten{};
    return Refuse(put, present);
  }
  if (WasRefused(put)) return KeyConflict{present};
  if (!HasRoom(put, key)) return NoRoom{};
  return KeyPut{Store(at, put)};
}

// KeyConflict, kept where a late copy could find its expected revision.
Result StateMachine::Refuse(const PutKey& put, Revision present) {
  if (*put.expected <= GroupRevision(std::string(GroupOf(put.key))) || WasRefused(put))
    return KeyConflict{present};
  if (refusals_.size() >= limits_.refusals) return OutcomeForgotten{};
  refusals_.push_back({put.key, put.value, *put.expected});
  return KeyConflict{present};
}

bool StateMachine::WasRefused(const PutKey& put) const {
  return std::any_of(refusals_.begin(), refusals_.end(), [&](const Refusal& each) {
    return put.expected == each.expected && put.key == each.key && put.value == each.value;
  });
}

// The key's next revision is this one: what expects a lower one is refused by that alone.
void StateMachine::DropRefusals(const std::string& key, Revision revision) {
  std::erase_if(refusals_, [&](const Refusal& each) { return each.expected < revision && each.key == key; });
}

// The revision of the same put where it came before.
std::optional<Revision> StateMachine::FirstRevision(const PutKey& put, const Key* key) const {
  if (key == nullptr || Does(Limits::Fault::kResendAppliedTwice)) return std::nullopt;
  if (key->value == put.value) return key->revision;
  const auto& history = FindGroup(GroupOf(put.key))->history;
  const auto same = std::find_if(history.rbegin(), history.rend(), [&](const Recorded& each) {
    return each.event.value == put.value && each.event.key == put.key;
  });
  if (same == history.rend()) return std::nullopt;
  return same->event.revision;
}

bool StateMachine::HasRoom(const PutKey& put, const Key* key) const {
  const std::size_t size = put.key.size() + put.value.size() + kOverhead;
  const std::size_t before = key ? put.key.size() + key->value.size() + kOverhead : 0;
  if (!key && keys_.size() >= limits_.keys) return false;
  return key_bytes_ - before + size <= limits_.key_bytes && history_bytes_ + size <= limits_.history_bytes;
}

Revision StateMachine::Store(LoggedTime at, const PutKey& put) {
  const std::size_t size = put.key.size() + put.value.size() + kOverhead;
  Group& group = FindOrAddGroup(GroupOf(put.key));
  const Revision revision = ++group.revision;
  auto [entry, is_new] = keys_.try_emplace(put.key);
  Key& key = entry->second;
  if (!is_new) key_bytes_ -= put.key.size() + key.value.size() + kOverhead;
  // A present put that the history has lost already is no longer known as the key's newest.
  if (!is_new && key.revision <= group.floor) key.dropped = std::max(key.dropped, key.revision);
  key.value = put.value;
  key.revision = revision;
  key_bytes_ += size;
  DropRefusals(put.key, revision);
  group.history.push_back({{put.key, put.value, revision}, at});
  history_bytes_ += size;
  drop_order_.push_back(group_numbers_.find(GroupOf(put.key))->second);
  return revision;
}

// Puts whose time is over. Logged time rises, so the oldest of all groups stand in front.
void StateMachine::DropHistory(LoggedTime now) {
  while (!drop_order_.empty()) {
    Group& group = groups_[drop_order_.front()];
    if (group.history.front().at + limits_.history > now) return;
    DropOldest(group);
    drop_order_.pop_front();
  }
}

void StateMachine::DropOldest(Group& group) {
  const Event& event = group.history.front().event;
  Key& key = keys_.at(event.key);
  if (key.revision != event.revision) key.dropped = std::max(key.dropped, event.revision);
  group.floor = event.revision;
  history_bytes_ -= event.key.size() + event.value.size() + kOverhead;
  group.history.pop_front();
}

const StateMachine::Group* StateMachine::FindGroup(std::string_view name) const {
  const auto found = group_numbers_.find(name);
  return found == group_numbers_.end() ? nullptr : &groups_[found->second];
}

StateMachine::Group& StateMachine::FindOrAddGroup(std::string_view name) {
  const auto found = group_numbers_.find(name);
  if (found != group_numbers_.end()) return groups_[found->second];
  group_numbers_.emplace(std::string(name), static_cast<std::uint32_t>(groups_.size()));
  return groups_.emplace_back();
}

std::optional<StateMachine::Read> StateMachine::Find(const std::string& key) const {
  const auto found = keys_.find(key);
  if (found == keys_.end()) return std::nullopt;
  return Read{found->second.value, found->second.revision};
}

// ---- Watches ----

StateMachine::Events StateMachine::EventsAfter(const std::string& group, Revision after,
                                               std::size_t most_bytes) const {
  Events events;
  const Group* found = FindGroup(group);
  if (found == nullptr) return events;
  const Group& known = *found;
  events.revision = known.revision;
  if (after == 0) return events;
  if (after < known.floor) {
    events.too_old = true;
    return events;
  }
  const auto first = std::partition_point(known.history.begin(), known.history.end(),
                                          [&](const Recorded& each) { return each.event.revision <= after; });
  std::size_t bytes = 0;
  for (auto it = first; it != known.history.end(); ++it) {
    bytes += it->event.key.size() + it->event.value.size();
    if (bytes > most_bytes && it != first) {
      events.revision = events.events.back().revision;
      break;
    }
    events.events.push_back(it->event);
  }
  return events;
}

Revision StateMachine::GroupRevision(const std::string& group) const {
  const Group* found = FindGroup(group);
  return found == nullptr ? 0 : found->revision;
}

std::string_view StateMachine::GroupOf(std::string_view key) {
  const auto dot = key.find('.');
  return dot == std::string_view::npos ? key : key.substr(0, dot + 1);
}

// ---- Snapshots ----

std::string StateMachine::Snapshot() const {
  Image image;
  if (!Does(Limits::Fault::kFenceNotInSnapshot)) image.last_fence = last_fence_;
  for (const auto& [lock, hold] : holds_)
    image.holds.push_back({lock, hold.holder, hold.fence, hold.hold_ms, hold.renewals});
  for (const auto& [name, value] : numbers_) image.numbers.push_back({name, value});
  for (const auto& [name, key] : keys_) image.keys.push_back({name, key.value, key.revision, key.dropped});
  for (const auto& [name, number] : group_numbers_) {
    const Group& group = groups_[number];
    Image::NamedGroup named{name, group.revision, group.floor, {}};
    if (!Does(Limits::Fault::kHistoryNotInSnapshot)) {
      for (const Recorded& each : group.history)
        named.history.push_back({each.event.key, each.event.value, each.event.revision, each.at});
    }
    image.groups.push_back(std::move(named));
  }
  for (const Refusal& each : refusals_) image.refusals.push_back({each.key, each.value, each.expected});
  return packing::Pack(image, key_bytes_ + history_bytes_ + 1024);
}

// What Apply() relies on: each key has its group, each past put its key, and a group's puts rise.
bool StateMachine::Consistent(const Image& image) {
  std::map<std::string_view, Revision> revisions, groups;
  for (const auto& group : image.groups) {
    if (!groups.emplace(group.name, group.revision).second || group.floor > group.revision) return false;
  }
  for (const auto& key : image.keys) {
    const auto group = groups.find(GroupOf(key.name));
    const bool possible =
        group != groups.end() && key.revision > key.dropped && key.revision <= group->second;
    if (!possible || !revisions.emplace(key.name, key.revision).second) return false;
  }
  for (const auto& group : image.groups) {
    Revision newest = group.floor;
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
  return std::all_of(image.holds.begin(), image.holds.end(),
                     [&](const auto& hold) { return hold.fence <= image.last_fence; });
}

bool StateMachine::Restore(std::string_view bytes) {
  auto image = packing::Unpack<Image>(bytes);
  if (!image || image->format != kSnapshotFormat || !image->InOrder()) return false;
  if (limits_.fault == Limits::Fault::kNone && !Consistent(*image)) return false;
  *this = StateMachine(limits_);
  last_fence_ = image->last_fence;
  for (auto& hold : image->holds)
    holds_[hold.lock] = {std::move(hold.holder), hold.fence, hold.hold_ms, hold.renewals};
  for (auto& number : image->numbers) numbers_[std::move(number.name)] = number.value;
  for (auto& key : image->keys) {
    key_bytes_ += key.name.size() + key.value.size() + kOverhead;
    keys_[std::move(key.name)] = {std::move(key.value), key.revision, key.dropped};
  }
  std::vector<std::pair<LoggedTime, std::uint32_t>> puts;
  for (auto& named : image->groups) {
    const auto number = static_cast<std::uint32_t>(groups_.size());
    Group& group = FindOrAddGroup(named.name);
    group.revision = named.revision;
    group.floor = named.floor;
    for (auto& put : named.history) {
      history_bytes_ += put.key.size() + put.value.size() + kOverhead;
      group.history.push_back({{std::move(put.key), std::move(put.value), put.revision}, put.at});
      puts.emplace_back(put.at, number);
    }
  }
  for (auto& each : image->refusals)
    refusals_.push_back({std::move(each.key), std::move(each.value), each.expected});
  std::sort(puts.begin(), puts.end());
  for (const auto& [at, number] : puts) drop_order_.push_back(number);
  return true;
}

}  // namespace curlewdoor::coordination
