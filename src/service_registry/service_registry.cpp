#include "service_registry/service_registry.hpp"

#include <algorithm>
#include <tuple>

namespace curlewdoor::service_registry {
namespace {

auto Details(const HostEntry& entry) {
  return std::tie(entry.details_sequence, entry.draining, entry.service, entry.address, entry.zone,
                  entry.slots);
}

// Present (0), unresponsive (1), removed (2).
int AbsenceLevel(const HostEntry& entry) { return entry.removed() ? 2 : entry.unresponsive ? 1 : 0; }

void SetAbsenceLevel(HostEntry& entry, int absence_level) {
  entry.unresponsive = absence_level == 1 && !entry.deregistered;
  entry.state = entry.deregistered || absence_level == 2 ? HostState::kRemoved
                : entry.draining                         ? HostState::kDraining
                                                         : HostState::kReady;
}

bool Differs(const HostEntry& a, const HostEntry& b) {
  if (a.removed() && b.removed())
    return a.deregistered != b.deregistered;  // details of a removed host are irrelevant
  return std::tie(a.state, a.deregistered, a.unresponsive, a.service, a.address, a.zone, a.slots) !=
         std::tie(b.state, b.deregistered, b.unresponsive, b.service, b.address, b.zone, b.slots);
}

// Merges `reported` into `known`, taking the greater value of each part.
HostEntry MergeEntries(Time now, const HostEntry& known, const HostEntry& reported) {
  HostEntry next = known;
  if (Details(reported) > Details(known)) {
    next.details_sequence = reported.details_sequence;
    next.draining = reported.draining;
    next.service = reported.service;
    next.address = reported.address;
    next.zone = reported.zone;
    next.slots = reported.slots;
    next.warm_at = reported.warm_at;
  }
  int absence_level = AbsenceLevel(known);
  if (reported.sequence > known.sequence) {
    next.sequence = reported.sequence;
    next.last_heard = now;
    absence_level = AbsenceLevel(reported);
  } else if (reported.sequence == known.sequence) {
    absence_level = std::max(absence_level, AbsenceLevel(reported));
  }
  next.deregistered = known.deregistered || reported.deregistered;
  next.stamp = std::max(known.stamp, reported.stamp);
  next.departure_watermark =
      next.departing() ? std::max(known.departure_watermark, reported.departure_watermark) : 0;
  if (next.departing() && !known.departing()) next.departing_since = now;
  SetAbsenceLevel(next, absence_level);
  if (next.removed() != known.removed() || next.unresponsive != known.unresponsive)
    next.unavailable_since = now;
  return next;
}

}  // namespace

bool ServiceRegistry::Apply(Time now, const Heartbeat& heartbeat) {
  HostEntry reported;
  reported.id = heartbeat.id;
  reported.service = heartbeat.service;
  reported.address = heartbeat.address;
  reported.zone = heartbeat.zone;
  reported.slots = heartbeat.slots;
  reported.draining = heartbeat.draining;
  reported.sequence = reported.details_sequence = heartbeat.sequence;
  reported.warm_at = now + heartbeat.warmup_left;
  return MergeReport(now, std::move(reported));
}

bool ServiceRegistry::Apply(Time now, const Deregistration& deregistration) {
  HostEntry reported;
  reported.id = deregistration.id;
  reported.deregistered = true;
  reported.unavailable_since = now;
  return MergeReport(now, std::move(reported));
}

bool ServiceRegistry::Merge(Time now, const HostEntry& reported) {
  // Other gateways may still list a host that was purged here; without this check it would circulate for
  // ever.
  const bool removed_long_ago =
      reported.removed() && !reported.departing() && now - reported.unavailable_since >= kRemovedRetention;
  const bool stale = reported.stamp != 0 && IsStale(reported, reported.stamp);
  if (!Find(reported.id) && (removed_long_ago || stale || CanPurge(reported))) return false;
  return MergeReport(now, reported);
}

// True for a claim that a host is present if it is so old that a later departure may have been purged.
bool ServiceRegistry::IsStale(const HostEntry& entry, std::uint64_t stamp) const {
  if (injected_fault_ == InjectedFault::kAcceptsStaleClaims) return false;
  return !entry.departing() && stamp + kClaimValidPeriods < watermark_;
}

bool ServiceRegistry::CanPurge(const HostEntry& entry) const {
  return entry.departing() && entry.departure_watermark != 0 &&
         entry.departure_watermark + kDeparturePurgePeriods <= watermark_;
}

bool ServiceRegistry::MergeReport(Time now, HostEntry reported) {
  if (reported.id.empty()) return false;
  if (reported.stamp == 0) reported.stamp = watermark_;
  SetAbsenceLevel(reported, AbsenceLevel(reported));
  const auto position = entries_.find(reported.id);
  if (position == entries_.end()) {
    if (!MakeRoom(reported)) return false;
    reported.last_heard = reported.departing_since = now;
    if (!reported.removed() && !reported.unresponsive) reported.unavailable_since = now;
    if (reported.unavailable_since > now) reported.unavailable_since = now;
    entries_.insert(reported);
    journal_.Append({HostEvent::Kind::kAdded, reported});
    ResolveAddressConflict(now, reported.id);
    return true;
  }
  HostEntry next = MergeEntries(now, *position, reported);
  const bool changed = Differs(*position, next);
  const bool appeared = !next.removed() && (position->removed() || position->address != next.address);
  Replace(position, std::move(next), changed);
  if (appeared) ResolveAddressConflict(now, reported.id);
  return changed;
}

ServiceRegistry::RefreshResult ServiceRegistry::Refresh(Time now, const std::string& id,
                                                        std::uint64_t sequence) {
  const auto position = entries_.find(id);
  if (position == entries_.end()) return RefreshResult::kUnknown;
  if (sequence <= position->sequence || sequence > kMaxSequence) return RefreshResult::kUnchanged;
  // Keeps `details_sequence`: a draining heartbeat between the two sequences may still be on its way.
  HostEntry next = *position;
  next.sequence = sequence;
  next.last_heard = now;
  SetAbsenceLevel(next, 0);
  const bool changed = Differs(*position, next);
  const bool appeared = position->removed() && !next.removed();
  if (changed) next.unavailable_since = now;
  Replace(position, std::move(next), changed);
  if (appeared) ResolveAddressConflict(now, id);
  return changed ? RefreshResult::kChanged : RefreshResult::kUnchanged;
}

std::vector<HostEntry> ServiceRegistry::MarkUnresponsive(Time now, Duration after) {
  std::vector<HostEntry> newly_unresponsive;
  for (const HostEntry& entry : entries_) {
    if (entry.removed() || entry.unresponsive || now - entry.last_heard < after) continue;
    newly_unresponsive.push_back(entry);
  }
  for (HostEntry& entry : newly_unresponsive) {
    entry.unresponsive = true;
    entry.unavailable_since = now;
    Replace(entries_.find(entry.id), entry, true);
  }
  return newly_unresponsive;
}

void ServiceRegistry::RaiseWatermark(std::uint64_t watermark) {
  if (watermark <= watermark_) return;
  watermark_ = watermark;
  for (auto position = entries_.begin(); position != entries_.end();) {
    const auto each = position++;
    if (IsStale(*each, std::max(each->stamp, confirmed_))) Erase(each);
  }
}

void ServiceRegistry::ConfirmHosts(std::uint64_t watermark) {
  confirmed_ = std::max(confirmed_, std::min(watermark, watermark_));
}

void ServiceRegistry::ConfirmDepartures(Time confirmed_at) {
  auto& order = entries_.get<EvictionTag>();
  for (auto position = order.lower_bound(std::pair{HostEntry::kDepartingRank, Time::min()});
       position != order.end();) {
    const auto each = position++;
    if (each->departing_since + kMaxCallDelay > confirmed_at) break;  // all following entries are later
    if (each->departure_watermark != 0) continue;
    HostEntry next = *each;
    next.departure_watermark = watermark_;
    Replace(entries_.project<0>(each), std::move(next), false);
  }
}

void ServiceRegistry::Erase(Position position) {
  journal_.Append({HostEvent::Kind::kPurged, *position});
  entries_.erase(position);
}

void ServiceRegistry::MarkRemoved(Time now, Position position) {
  HostEntry next = *position;
  SetAbsenceLevel(next, 2);
  next.unavailable_since = now;
  Replace(position, std::move(next), true);
}

// Departing hosts that stay unresponsive are removed like any other.
void ServiceRegistry::PurgeDepartures(Time now) {
  auto& order = entries_.get<EvictionTag>();
  for (auto position = order.lower_bound(std::pair{HostEntry::kDepartingRank, Time::min()});
       position != order.end();) {
    const auto each = position++;
    if (each->removed()) {
      const bool purged_early = injected_fault_ == InjectedFault::kPurgesDeparturesEarly &&
                                now - each->unavailable_since >= kRemovedRetention;
      if (CanPurge(*each) || purged_early) Erase(entries_.project<0>(each));
    } else if (each->unresponsive && now - each->unavailable_since >= kUnresponsiveRetention) {
      MarkRemoved(now, entries_.project<0>(each));
    }
  }
}

void ServiceRegistry::PurgeExpired(Time now) {
  PurgeDepartures(now);
  auto& order = entries_.get<EvictionTag>();
  while (!order.empty() && order.begin()->eviction_order().first == HostEntry::kRemovedRank &&
         now - order.begin()->unavailable_since >= kRemovedRetention) {
    Erase(entries_.project<0>(order.begin()));
  }
  for (;;) {
    const auto oldest = order.lower_bound(std::pair{HostEntry::kUnresponsiveRank, Time::min()});
    if (oldest == order.end() || oldest->eviction_order().first != HostEntry::kUnresponsiveRank ||
        now - oldest->unavailable_since < kUnresponsiveRetention)
      break;
    MarkRemoved(now, entries_.project<0>(oldest));
  }
}

const HostEntry* ServiceRegistry::Find(const std::string& id) const {
  const auto position = entries_.find(id);
  return position == entries_.end() ? nullptr : &*position;
}

const HostEntry* ServiceRegistry::FindByAddress(const std::string& address) const {
  auto [it, end] = entries_.get<AddressTag>().equal_range(address);
  for (; it != end; ++it) {
    if (!it->removed()) return &*it;
  }
  return nullptr;
}

std::vector<HostEntry> ServiceRegistry::All() const {
  std::vector<HostEntry> all{entries_.begin(), entries_.end()};
  for (HostEntry& entry : all) entry.stamp = std::max(entry.stamp, confirmed_);
  return all;
}

// Ready hosts evict removed and unresponsive ones; removed and unresponsive hosts evict only removed ones.
// Departing hosts are never evicted, because a stale claim that they are present would bring them back.
bool ServiceRegistry::MakeRoom(const HostEntry& incoming) {
  if (entries_.size() < kMaxEntries) return true;
  auto& order = entries_.get<EvictionTag>();
  const auto first = order.begin();
  const HostEntry::EvictionRank rank = first->eviction_order().first;
  const bool ready = !incoming.removed() && !incoming.unresponsive;
  if (rank >= HostEntry::kPresentRank || (rank == HostEntry::kUnresponsiveRank && !ready)) {
    ++refused_;
    return false;
  }
  Erase(entries_.project<0>(first));
  return true;
}

void ServiceRegistry::Replace(Position position, HostEntry next, bool changed) {
  if (changed) journal_.Append({HostEvent::Kind::kChanged, next});
  entries_.replace(position, std::move(next));
}

// Allows one host per address, after `id` appeared at its address: the other host is removed, or `id` itself
// if it is unresponsive and the other is not.
void ServiceRegistry::ResolveAddressConflict(Time now, const std::string& id) {
  const auto newcomer = entries_.find(id);
  if (newcomer->removed() || newcomer->address.empty()) return;
  std::vector<std::string> others;
  bool yields = false;
  auto [it, end] = entries_.get<AddressTag>().equal_range(newcomer->address);
  for (; it != end; ++it) {
    if (it->removed() || it->id == id) continue;
    others.push_back(it->id);
    if (newcomer->unresponsive && !it->unresponsive) yields = true;
  }
  if (yields) others = {id};
  for (const auto& other : others) MarkRemoved(now, entries_.find(other));
}

}  // namespace curlewdoor::service_registry
