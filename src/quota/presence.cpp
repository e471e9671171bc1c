#include "quota/presence.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "util/hash.hpp"

namespace curlewdoor::quota {
namespace {

// Adds happen early in a slot, reads when all adds should have arrived.
constexpr double kAddPart = 0.4, kReadAt = 0.75, kReadSpread = 0.15;
// Slots that must agree before the fraction is reduced: a lost add, or the loss of all counters within a
// slot, affects one slot.
constexpr std::size_t kAgreeingSlots = 2;
constexpr std::size_t kReadingSlots = 20;  // slots of remembered readings
constexpr std::size_t kArrivalSlots = 16;  // slots of remembered arrivals ...
constexpr std::size_t kExcludedSlots = 2;  // ... of which the usual rate excludes the last
// Missing gateways are taken as dead once this fraction of their requests has arrived here over kMovedSlots,
// by more standard deviations than chance explains.
constexpr double kMovedFraction = 0.5, kMovedDeviations = 4;
constexpr std::size_t kMovedSlots = 8;
constexpr std::int64_t kCounterSlots = 4;  // lifetime of a counter, in slots

Duration PartOf(Duration whole, double part) {
  return Duration(static_cast<std::int64_t>(part * static_cast<double>(whole.count())));
}

// From 0 to below 1, constant for the lifetime of a gateway process.
double Spread(std::uint64_t seed, std::string_view what) { return Fraction(StableHash(what, seed)); }

}  // namespace

Presence::Presence(Duration slot, std::uint64_t seed)
    : slot_(slot),
      add_at_(PartOf(slot, kAddPart * Spread(seed, "add"))),
      read_at_(PartOf(slot, kReadAt + kReadSpread * Spread(seed, "read"))) {}

CounterName Presence::CounterFor(std::int64_t slot) const {
  return CounterName{StableHash("presence", static_cast<std::uint64_t>(slot)) >> 1 | 1};
}

TimePoint Presence::NextDue(TimePoint now) {
  const std::int64_t slot = SlotOf(now);
  const TimePoint begins{slot * slot_};
  if (added_ < slot) return std::max(now, begins + add_at_);
  if (read_ < slot) return std::max(now, begins + read_at_);
  return begins + slot_ + add_at_;
}

std::optional<PresenceRequest> Presence::Poll(TimePoint now) {
  const std::int64_t slot = SlotOf(now);
  const Duration within = now - TimePoint{slot * slot_};
  if (added_ < slot && within >= add_at_) {
    added_ = slot;
    return PresenceRequest{CounterFor(slot), 1, kCounterSlots * slot_};
  }
  if (added_ == slot && read_ < slot && within >= read_at_) {
    read_ = slot;
    return PresenceRequest{CounterFor(slot), 0, kCounterSlots * slot_};
  }
  return std::nullopt;
}

void Presence::OnReply(TimePoint now, CounterName name, std::optional<double> total) {
  // Only the read shows all gateways; an add's total shows those that added earlier.
  if (!total || read_ != SlotOf(now) || name != CounterFor(read_)) return;
  ApplyReading(now, std::max(1.0, *total));
}

void Presence::RecordArrival(TimePoint now) {
  CloseArrivalSlots(SlotOf(now));
  arrivals_ += 1;
}

void Presence::CloseArrivalSlots(std::int64_t slot) {
  if (arrival_slot_ == 0) arrival_slot_ = slot;
  for (std::size_t i = 0; arrival_slot_ < slot && i <= kArrivalSlots; ++i, ++arrival_slot_) {
    past_arrivals_.push_back(std::exchange(arrivals_, 0));
    if (past_arrivals_.size() > kArrivalSlots) past_arrivals_.pop_front();
  }
  arrival_slot_ = std::max(arrival_slot_, slot);
}

// Usual arrivals per slot, from slots in which no gateway was known to be missing.
double Presence::UsualArrivals() const {
  if (past_arrivals_.size() <= kExcludedSlots) return 0;
  const auto end = past_arrivals_.end() - static_cast<std::ptrdiff_t>(kExcludedSlots);
  return std::accumulate(past_arrivals_.begin(), end, 0.0) /
         static_cast<double>(past_arrivals_.size() - kExcludedSlots);
}

// Whether the missing gateways' requests arrive here; `ratio` times the usual rate would be all of them.
bool Presence::ClientsMoved(double ratio) const {
  if (usual_arrivals_ <= 0 || past_arrivals_.size() < kMovedSlots) return false;
  const double came = std::accumulate(past_arrivals_.end() - kMovedSlots, past_arrivals_.end(), 0.0);
  const double usual = usual_arrivals_ * kMovedSlots;
  // Both rates vary randomly, the usual one less since it is a mean over more slots.
  const double chance = std::sqrt(usual * (1 + static_cast<double>(kMovedSlots) / kArrivalSlots));
  return came >= usual * (1 + kMovedFraction * (ratio - 1)) && came >= usual + kMovedDeviations * chance;
}

void Presence::ApplyReading(TimePoint now, double gateways) {
  CloseArrivalSlots(SlotOf(now));
  readings_.push_back({SlotOf(now), gateways});
  if (readings_.size() > kReadingSlots) readings_.pop_front();
  if (readings_.size() <= kAgreeingSlots) return;
  double recent = 0, before = 0;  // each the maximum: a slot may miss gateways but never has too many
  for (std::size_t i = 0; i < readings_.size(); ++i) {
    double& most = i + kAgreeingSlots >= readings_.size() ? recent : before;
    most = std::max(most, readings_[i].gateways);
  }
  if (visible_fraction_ < 1) before = usual_gateways_;
  if (recent >= before) {
    visible_fraction_ = 1;
    return;
  }
  if (visible_fraction_ == 1) {  // missing gateways were last seen in the slot before the agreeing ones
    usual_gateways_ = before;
    usual_arrivals_ = UsualArrivals();
    undetected_for_ = static_cast<std::int64_t>(kAgreeingSlots + 1) * slot_;
  }
  visible_fraction_ = recent / before;
  if (!ClientsMoved(before / recent)) return;
  // The gateways died and their clients moved here: restart from the lower number.
  readings_.assign(kAgreeingSlots + 1, Reading{SlotOf(now), recent});
  visible_fraction_ = 1;
}

}  // namespace curlewdoor::quota
