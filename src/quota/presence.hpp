// Estimates how many gateways share this gateway's counter. Each adds one to a counter that is named after a
// time slot, early in the slot, and reads it late: the total is the number of gateways present. If it stays
// below its recent value, either the counter is partitioned, and this side may give out only its fraction of
// each quota, or gateways died. Arriving requests tell which: clients of dead gateways move to the live ones,
// while a counter partition moves no clients. Until clients have moved, the fraction is right in both cases:
// it is the fraction of the demand that arrives here.
//
// Pure: time is an argument. Two calls per slot; none where it is disabled. Design: docs/counting.md.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "logic.hpp"

namespace curlewdoor::quota {

// A counter call that Presence wants made.
struct PresenceRequest {
  CounterName name;
  double amount = 0;  // 1: announces this gateway; 0: reads the total
  Duration lifetime{};
};

// The presence estimate of one gateway.
class Presence {
 public:
  // `slot` is above zero. `seed` spreads the gateways' calls over the slot.
  Presence(Duration slot, std::uint64_t seed);

  // When Poll() is due next.
  TimePoint NextDue(TimePoint now);
  // The call to make now, if one is due. At most one add and one read per slot.
  std::optional<PresenceRequest> Poll(TimePoint now);
  // The result of a call. No total: it failed, came too late or was no number.
  void OnReply(TimePoint now, CounterName name, std::optional<double> total);
  void RecordArrival(TimePoint now);

  // Fraction of each quota that the gateways seen here may give out; 1 while none is missing.
  double visible_fraction() const { return visible_fraction_; }
  // How long gateways may have been missing before the fraction was reduced.
  Duration undetected_for() const { return undetected_for_; }

 private:
  struct Reading {
    std::int64_t slot = 0;
    double gateways = 0;
  };

  std::int64_t SlotOf(TimePoint at) const { return at.time_since_epoch() / slot_; }
  CounterName CounterFor(std::int64_t slot) const;
  void ApplyReading(TimePoint now, double gateways);
  void CloseArrivalSlots(std::int64_t slot);
  double UsualArrivals() const;
  bool ClientsMoved(double ratio) const;

  const Duration slot_, add_at_, read_at_;  // offsets within a slot
  std::int64_t added_ = 0, read_ = 0;       // slots of the last add and read
  std::deque<Reading> readings_;            // the latest last
  double visible_fraction_ = 1;
  double usual_gateways_ = 0;  // gateways before the fraction was reduced
  Duration undetected_for_{};
  std::int64_t arrival_slot_ = 0;
  double arrivals_ = 0;               // in the current slot
  std::deque<double> past_arrivals_;  // per complete slot, the latest last
  double usual_arrivals_ = 0;         // per slot, before the fraction was reduced
};

}  // namespace curlewdoor::quota
