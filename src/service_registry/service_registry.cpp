#include "service_registry/service_registry.hpp"

#include <algorithm>
#include <tuple>

namespace curlewdoor::service_registry {
namespace {

auto Said(const Entry& entry) {
  return std::tie(entry.said_at, entry.draining, entry.service, entry.address, entry.zone, entry.slots);
}

// Here, silent, gone: the worse is the larger.
int Absence(const Entry& entry) { return entry.gone() ? 2 : entry.silent ? 1 : 0; }

void SetAbsence(Entry& entry, int absence) {
  entry.silent = absence == 1 && !entry.left;
  entry.state = entry.left || absence == 2 ? HostState::kGone
                : entry.draining           ? HostState::kDraining
                                           : HostState::kReady;
}

bool Differs(const Entry& a, const Entry& b) {
  if (a.gone() && b.gone()) return a.left != b.left;  // where it was no longer matters
  return std::tie(a.state, a.left, a.silent, a.service, a.address, a.zone, a.slots) !=
         std::tie(b.state, b.left, b.silent, b.service, b.address, b.zone, b.slots);
}

// `known` joined with `told`; the larger of each part.
Entry Join(Time now, const Entry& known, const Entry& told) {
  Entry next = known;
  if (Said(told) > Said(known)) {
    next.said_at = told.said_at;
    next.draining = told.draining;
    next.service = told.service;
    next.address = told.address;
    next.zone = told.zone;
    next.slots = told.slots;
    next.warm_at = told.warm_at;
  }
  int absence = Absence(known);
  if (told.sequence > known.sequence) {
    next.sequence = told.sequence;
    next.heard = now;
    absence = Absence(told);
  } else if (told.sequence == known.sequence) {
    absence = std::max(absence, Absence(told));
  }
  next.left = known.left || told.left;
  next.stamp = std::max(known.stamp, told.stamp);
  next.leave_watermark = next.leaves() ? std::max(known.leave_watermark, told.leave_watermark) : 0;
  if (next.leaves() && !known.leaves()) next.leaving_since = now;
  SetAbsence(next, absence);
  if (next.gone() != known.gone() || next.silent != known.silent) next.since = now;
  return next;
}

}  // namespace

bool Directory::Apply(Time now, const Beat& beat) {
  Entry told;
  told.id = beat.id;
  told.service = beat.service;
  told.address = beat.address;
  told.zone = beat.zone;
  told.slots = beat.slots;
  told.draining = beat.draining;
  told.sequence = told.said_at = beat.sequence;
  told.warm_at = now + beat.warmup_left;
  return Take(now, std::move(told));
}

bool Directory::Apply(Time now, const Leave& leave) {
  Entry told;
  told.id = leave.id;
  told.left = true;
  told.since = now;
  return Take(now, std::move(told));
}

bool Directory::Merge(Time now, const Entry& told) {
  // Others may still list what has been forgotten here: it must not come round for ever.
  const bool long_gone = told.gone() && !told.leaves() && now - told.since >= kKeepGone;
  const bool too_old = told.stamp != 0 && TooOld(told, told.stamp);
  if (!Find(told.id) && (long_gone || too_old || Forgettable(told))) return false;
  return Take(now, told);
}

// A claim that a life is here, from before what may have been forgotten since.
bool Directory::TooOld(const Entry& entry, std::uint64_t stamp) const {
  if (fault_ == Fault::kTakesOldClaims) return false;
  return !entry.leaves() && stamp + kValidPeriods < watermark_;
}

bool Directory::Forgettable(const Entry& entry) const {
  return entry.leaves() && entry.leave_watermark != 0 && entry.leave_watermark + kForgetPeriods <= watermark_;
}

bool Directory::Take(Time now, Entry told) {
  if (told.id.empty()) return false;
  if (told.stamp == 0) told.stamp = watermark_;
  SetAbsence(told, Absence(told));
  const auto place = entries_.find(told.id);
  if (place == entries_.end()) {
    if (!MakeRoom(told)) return false;
    told.heard = told.leaving_since = now;
    if (!told.gone() && !told.silent) told.since = now;
    if (told.since > now) told.since = now;
    entries_.insert(told);
    journal_.Append({Event::Kind::kNew, told});
    Settle(now, told.id);
    return true;
  }
  Entry next = Join(now, *place, told);
  const bool changed = Differs(*place, next);
  const bool came = !next.gone() && (place->gone() || place->address != next.address);
  Put(place, std::move(next), changed);
  if (came) Settle(now, told.id);
  return changed;
}

Directory::Refreshed Directory::Refresh(Time now, const std::string& id, std::uint64_t sequence) {
  const auto place = entries_.find(id);
  if (place == entries_.end()) return Refreshed::kUnknown;
  if (sequence <= place->sequence || sequence > kMostSequence) return Refreshed::kSame;
  // `said_at` stays: a draining beat between the two may still be on its way here.
  Entry next = *place;
  next.sequence = sequence;
  next.heard = now;
  SetAbsence(next, 0);
  const bool changed = Differs(*place, next);
  const bool came = place->gone() && !next.gone();
  if (changed) next.since = now;
  Put(place, std::move(next), changed);
  if (came) Settle(now, id);
  return changed ? Refreshed::kChanged : Refreshed::kSame;
}

std::vector<Entry> Directory::Silence(Time now, Duration after) {
  std::vector<Entry> fallen;
  for (const Entry& entry : entries_) {
    if (entry.gone() || entry.silent || now - entry.heard < after) continue;
    fallen.push_back(entry);
  }
  for (Entry& entry : fallen) {
    entry.silent = true;
    entry.since = now;
    Put(entries_.find(entry.id), entry, true);
  }
  return fallen;
}

void Directory::Raise(std::uint64_t watermark) {
  if (watermark <= watermark_) return;
  watermark_ = watermark;
  for (auto place = entries_.begin(); place != entries_.end();) {
    const auto each = place++;
    if (TooOld(*each, std::max(each->stamp, confirmed_))) Drop(each);
  }
}

void Directory::ConfirmHosts(std::uint64_t watermark) {
  confirmed_ = std::max(confirmed_, std::min(watermark, watermark_));
}

void Directory::ConfirmLeaves(Time proved) {
  auto& order = entries_.get<DropTag>();
  for (auto place = order.lower_bound(std::pair{Entry::kLeavingRank, Time::min()}); place != order.end();) {
    const auto each = place++;
    if (each->leaving_since + kMostCallDelay > proved) break;  // and so all that follow
    if (each->leave_watermark != 0) continue;
    Entry next = *each;
    next.leave_watermark = watermark_;
    Put(entries_.project<0>(each), std::move(next), false);
  }
}

void Directory::Drop(Place place) {
  journal_.Append({Event::Kind::kForgotten, *place});
  entries_.erase(place);
}

void Directory::SetGone(Time now, Place place) {
  Entry next = *place;
  SetAbsence(next, 2);
  next.since = now;
  Put(place, std::move(next), true);
}

// Silent ones that leave are gone in the end like others.
void Directory::ForgetLeaves(Time now) {
  auto& order = entries_.get<DropTag>();
  for (auto place = order.lower_bound(std::pair{Entry::kLeavingRank, Time::min()}); place != order.end();) {
    const auto each = place++;
    if (each->gone()) {
      const bool too_soon = fault_ == Fault::kForgetsLeaves && now - each->since >= kKeepGone;
      if (Forgettable(*each) || too_soon) Drop(entries_.project<0>(each));
    } else if (each->silent && now - each->since >= kKeepSilent) {
      SetGone(now, entries_.project<0>(each));
    }
  }
}

void Directory::Forget(Time now) {
  ForgetLeaves(now);
  auto& order = entries_.get<DropTag>();
  while (!order.empty() && order.begin()->drop_order().first == Entry::kGoneRank &&
         now - order.begin()->since >= kKeepGone) {
    Drop(entries_.project<0>(order.begin()));
  }
  for (;;) {
    const auto oldest = order.lower_bound(std::pair{Entry::kSilentRank, Time::min()});
    if (oldest == order.end() || oldest->drop_order().first != Entry::kSilentRank ||
        now - oldest->since < kKeepSilent)
      break;
    SetGone(now, entries_.project<0>(oldest));
  }
}

const Entry* Directory::Find(const std::string& id) const {
  const auto place = entries_.find(id);
  return place == entries_.end() ? nullptr : &*place;
}

const Entry* Directory::At(const std::string& address) const {
  auto [it, end] = entries_.get<AddressTag>().equal_range(address);
  for (; it != end; ++it) {
    if (!it->gone()) return &*it;
  }
  return nullptr;
}

std::vector<Entry> Directory::All() const {
  std::vector<Entry> all{entries_.begin(), entries_.end()};
  for (Entry& entry : all) entry.stamp = std::max(entry.stamp, confirmed_);
  return all;
}

// Ready ones push out gone and silent ones; gone and silent ones push out only gone ones. Nobody pushes out
// one that leaves: a claim that it is here would bring it back.
bool Directory::MakeRoom(const Entry& incoming) {
  if (entries_.size() < kMostEntries) return true;
  auto& order = entries_.get<DropTag>();
  const auto first = order.begin();
  const Entry::DropRank rank = first->drop_order().first;
  const bool ready = !incoming.gone() && !incoming.silent;
  if (rank >= Entry::kHereRank || (rank == Entry::kSilentRank && !ready)) {
    ++refused_;
    return false;
  }
  Drop(entries_.project<0>(first));
  return true;
}

void Directory::Put(Place place, Entry next, bool changed) {
  if (changed) journal_.Append({Event::Kind::kChanged, next});
  entries_.replace(place, std::move(next));
}

// One life at an address: `id` has come to its own just now. Who is silent gives way to who is not.
void Directory::Settle(Time now, const std::string& id) {
  const auto comer = entries_.find(id);
  if (comer->gone() || comer->address.empty()) return;
  std::vector<std::string> others;
  bool yields = false;
  auto [it, end] = entries_.get<AddressTag>().equal_range(comer->address);
  for (; it != end; ++it) {
    if (it->gone() || it->id == id) continue;
    others.push_back(it->id);
    if (comer->silent && !it->silent) yields = true;
  }
  if (yields) others = {id};
  for (const auto& other : others) SetGone(now, entries_.find(other));
}

}  // namespace curlewdoor::service_registry
