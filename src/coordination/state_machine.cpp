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
  std::uint32_t format = kSnapshotFormat;
  Fence last_fence = 0;
  std::vector<NamedHold> holds;
  std::vector<NamedNumber> numbers;
  std::vector<NamedKey> keys;
  std::vector<NamedGroup> groups;

  bool Sound() const;

  friend auto Fields(NamedHold& v) { return std::tie(v.lock, v.holder, v.fence, v.hold_ms, v.renewals); }
  friend auto Fields(NamedNumber& v) { return std::tie(v.name, v.value); }
  friend auto Fields(NamedKey& v) { return std::tie(v.name, v.value, v.revision, v.dropped); }
  friend auto Fields(PastPut& v) { return std::tie(v.key, v.value, v.revision, v.at); }
  friend auto Fields(NamedGroup& v) { return std::tie(v.name, v.revision, v.floor, v.history); }
  friend auto Fields(Image& v) {
    return std::tie(v.format, v.last_fence, v.holds, v.numbers, v.keys, v.groups);
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

// As Snapshot() writes it: in order, each once, keys and histories with their groups, and revisions that
// agree.
bool StateMachine::Image::Sound() const {
  const auto name = [](const auto& each) -> const std::string& { return each.name; };
  const auto revision = [](const PastPut& each) { return each.revision; };
  const bool ordered = RiseBy(holds, [](const NamedHold& each) -> const std::string& { return each.lock; }) &&
                       RiseBy(numbers, name) && RiseBy(keys, name) && RiseBy(groups, name);
  const auto find = [&](const auto& items, std::string_view wanted) {
    const auto found =
        std::lower_bound(items.begin(), items.end(), wanted,
                         [](const auto& each, std::string_view text) { return each.name < text; });
    return found != items.end() && found->name == wanted ? &*found : nullptr;
  };
  if (!ordered) return false;
  const bool keys_sound = std::all_of(keys.begin(), keys.end(), [&](const NamedKey& key) {
    const NamedGroup* group = find(groups, GroupOf(key.name));
    return group != nullptr && key.dropped < key.revision && key.revision <= group->revision;
  });
  return keys_sound && std::all_of(groups.begin(), groups.end(), [&](const NamedGroup& group) {
           if (!RiseBy(group.history, revision)) return false;
           return std::all_of(group.history.begin(), group.history.end(), [&](const PastPut& put) {
             return GroupOf(put.key) == group.name && find(keys, put.key) != nullptr &&
                    put.revision > group.floor && put.revision <= group.revision;
           });
         });
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
    return KeyConflict{present};
  }
  if (!HasRoom(put, key)) return NoRoom{};
  return KeyPut{Store(at, put)};
}

// The revision of the same put where it came before.
std::optional<Revision> StateMachine::FirstRevision(const PutKey& put, const Key* key) const {
  if (key == nullptr || Does(Limits::Fault::kResendAppliedTwice)) return std::nullopt;
  if (key->value == put.value) return key->revision;
  const auto group = groups_.find(std::string(GroupOf(put.key)));
  const auto& history = group->second.history;
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
  Group& group = groups_[std::string(GroupOf(put.key))];
  const Revision revision = ++group.revision;
  auto [entry, is_new] = keys_.try_emplace(put.key);
  Key& key = entry->second;
  if (!is_new) key_bytes_ -= put.key.size() + key.value.size() + kOverhead;
  // A present put that the history has lost already is no longer known as the key's newest.
  if (!is_new && key.revision <= group.floor) key.dropped = std::max(key.dropped, key.revision);
  key.value = put.value;
  key.revision = revision;
  key_bytes_ += size;
  group.history.push_back({{put.key, put.value, revision}, at});
  history_bytes_ += size;
  return revision;
}

// Puts whose time is over. A group's history rises in time, so only its begin is looked at.
void StateMachine::DropHistory(LoggedTime now) {
  for (auto& [name, group] : groups_) {
    while (!group.history.empty() && group.history.front().at + limits_.history <= now) {
      const Event& event = group.history.front().event;
      Key& key = keys_.at(event.key);
      if (key.revision != event.revision) key.dropped = std::max(key.dropped, event.revision);
      group.floor = event.revision;
      history_bytes_ -= event.key.size() + event.value.size() + kOverhead;
      group.history.pop_front();
    }
  }
}

std::optional<StateMachine::Read> StateMachine::Find(const std::string& key) const {
  const auto found = keys_.find(key);
  if (found == keys_.end()) return std::nullopt;
  return Read{found->second.value, found->second.revision};
}

// ---- Watches ----

StateMachine::Events StateMachine::EventsAfter(const std::string& group, Revision after) const {
  Events events;
  const auto found = groups_.find(group);
  if (found == groups_.end()) return events;
  const Group& known = found->second;
  events.revision = known.revision;
  if (after == 0) return events;
  if (after < known.floor) {
    events.too_old = true;
    return events;
  }
  const auto first = std::partition_point(known.history.begin(), known.history.end(),
                                          [&](const Recorded& each) { return each.event.revision <= after; });
  for (auto it = first; it != known.history.end(); ++it) events.events.push_back(it->event);
  return events;
}

Revision StateMachine::GroupRevision(const std::string& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.revision;
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
  for (const auto& [name, group] : groups_) {
    Image::NamedGroup named{name, group.revision, group.floor, {}};
    if (!Does(Limits::Fault::kHistoryNotInSnapshot)) {
      for (const Recorded& each : group.history)
        named.history.push_back({each.event.key, each.event.value, each.event.revision, each.at});
    }
    image.groups.push_back(std::move(named));
  }
  return packing::Pack(image, key_bytes_ + history_bytes_ + 1024);
}

bool StateMachine::Restore(std::string_view bytes) {
  auto image = packing::Unpack<Image>(bytes);
  if (!image || image->format != kSnapshotFormat || !image->Sound()) return false;
  *this = StateMachine(limits_);
  last_fence_ = image->last_fence;
  for (auto& hold : image->holds)
    holds_[hold.lock] = {std::move(hold.holder), hold.fence, hold.hold_ms, hold.renewals};
  for (auto& number : image->numbers) numbers_[std::move(number.name)] = number.value;
  for (auto& key : image->keys) {
    key_bytes_ += key.name.size() + key.value.size() + kOverhead;
    keys_[std::move(key.name)] = {std::move(key.value), key.revision, key.dropped};
  }
  for (auto& named : image->groups) {
    Group& group = groups_[named.name];
    group.revision = named.revision;
    group.floor = named.floor;
    for (auto& put : named.history) {
      history_bytes_ += put.key.size() + put.value.size() + kOverhead;
      group.history.push_back({{std::move(put.key), std::move(put.value), put.revision}, put.at});
    }
  }
  return true;
}

}  // namespace curlewdoor::coordination
