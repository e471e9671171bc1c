#include "quota/presence.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "util/hash.hpp"

namespace curlewdoor::counting {
namespace {

// Adds come in the first part of a slot, reads when all adds should be in.
constexpr double kAddWithin = 0.4, kReadAt = 0.75, kReadWithin = 0.15;
// Slots that must agree before anything is believed: a lost add, or a loss of all counts in mid-slot, is one
// slot.
constexpr std::size_t kAgree = 2;
constexpr std::size_t kRemembered = 20;    // slots: how long "lately" is
constexpr std::size_t kArrivalSlots = 16;  // remembered ...
constexpr std::size_t kFreshSlots = 2;     // ... of which the usual pace leaves out the last
// Gateways are taken as dead once this much of what their requests would add has come over so many slots, and
// more than chance brings.
constexpr double kMovedPart = 0.5, kMovedDeviations = 4;
constexpr std::size_t kMovedSlots = 8;
constexpr std::int64_t kLives = 4;  // slots that a count lives

Duration Part(Duration whole, double part) {
  return Duration(static_cast<std::int64_t>(part * static_cast<double>(whole.count())));
}

// From 0 to below 1, the same for a gateway's whole life.
double Spread(std::uint64_t seed, std::string_view what) { return Fraction(StableHash(what, seed)); }

}  // namespace

Presence::Presence(Duration slot, std::uint64_t seed)
    : slot_(slot),
      add_at_(Part(slot, kAddWithin * Spread(seed, "add"))),
      read_at_(Part(slot, kReadAt + kReadWithin * Spread(seed, "read"))) {}

CountName Presence::NameOf(std::int64_t slot) const {
  return CountName{StableHash("presence", static_cast<std::uint64_t>(slot)) >> 1 | 1};
}

TimePoint Presence::NextDue(TimePoint now) {
  const std::int64_t slot = SlotOf(now);
  const TimePoint begins{slot * slot_};
  if (added_ < slot) return std::max(now, begins + add_at_);
  if (read_ < slot) return std::max(now, begins + read_at_);
  return begins + slot_ + add_at_;
}

std::optional<PresenceCall> Presence::Poll(TimePoint now) {
  const std::int64_t slot = SlotOf(now);
  const Duration within = now - TimePoint{slot * slot_};
  if (added_ < slot && within >= add_at_) {
    added_ = slot;
    return PresenceCall{NameOf(slot), 1, kLives * slot_};
  }
  if (added_ == slot && read_ < slot && within >= read_at_) {
    read_ = slot;
    return PresenceCall{NameOf(slot), 0, kLives * slot_};
  }
  return std::nullopt;
}

void Presence::Answered(TimePoint now, CountName name, std::optional<double> total) {
  // Only a slot's read tells of all; an add tells who came before it.
  if (!total || read_ != SlotOf(now) || name != NameOf(read_)) return;
  TakeIn(now, std::max(1.0, *total));
}

void Presence::NoteArrival(TimePoint now) {
  CloseArrivals(SlotOf(now));
  arrivals_ += 1;
}

void Presence::CloseArrivals(std::int64_t slot) {
  if (arrival_slot_ == 0) arrival_slot_ = slot;
  for (std::size_t i = 0; arrival_slot_ < slot && i <= kArrivalSlots; ++i, ++arrival_slot_) {
    arrived_.push_back(std::exchange(arrivals_, 0));
    if (arrived_.size() > kArrivalSlots) arrived_.pop_front();
  }
  arrival_slot_ = std::max(arrival_slot_, slot);
}

// The usual pace, by slots in which nobody was missing yet as far as is known.
double Presence::ArrivalsBefore() const {
  if (arrived_.size() <= kFreshSlots) return 0;
  const auto end = arrived_.end() - static_cast<std::ptrdiff_t>(kFreshSlots);
  return std::accumulate(arrived_.begin(), end, 0.0) / static_cast<double>(arrived_.size() - kFreshSlots);
}

// Whether the requests of those that are missing come here: `more` times the usual is all of them.
bool Presence::Moved(double more) const {
  if (arrivals_usual_ <= 0 || arrived_.size() < kMovedSlots) return false;
  const double came = std::accumulate(arrived_.end() - kMovedSlots, arrived_.end(), 0.0);
  const double usual = arrivals_usual_ * kMovedSlots;
  // Both counts vary by chance, the usual one by less since it is a mean over more slots.
  const double chance = std::sqrt(usual * (1 + static_cast<double>(kMovedSlots) / kArrivalSlots));
  return came >= usual * (1 + kMovedPart * (more - 1)) && came >= usual + kMovedDeviations * chance;
}

void Presence::TakeIn(TimePoint now, double gateways) {
  CloseArrivals(SlotOf(now));
  seen_.push_back({SlotOf(now), gateways});
  if (seen_.size() > kRemembered) seen_.pop_front();
  if (seen_.size() <= kAgree) return;
  double fresh = 0, lately = 0;  // each the most that was seen: a slot may miss some, none has too many
  for (std::size_t i = 0; i < seen_.size(); ++i) {
    double& most = i + kAgree >= seen_.size() ? fresh : lately;
    most = std::max(most, seen_[i].gateways);
  }
  if (part_ < 1) lately = usual_;
  if (fresh >= lately) {
    part_ = 1;
    return;
  }
  if (part_ == 1) {  // those that are missing were last seen in the slot before the ones that agree
    usual_ = lately;
    arrivals_usual_ = ArrivalsBefore();
    unseen_for_ = static_cast<std::int64_t>(kAgree + 1) * slot_;
  }
  part_ = fresh / lately;
  if (!Moved(lately / fresh)) return;
  // They died: their clients are here. What was lately is forgotten.
  seen_.assign(kAgree + 1, Seen{SlotOf(now), fresh});
  part_ = 1;
}

}  // namespace curlewdoor::counting
