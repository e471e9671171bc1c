// How many gateways see the counter that this one sees. Each adds one to a count named by a slot of time,
// early in the slot, and reads it late: the total is the number of gateways present. Where it stays below
// what it was lately, either the counter is split, and this half may give only its part of each quota, or
// gateways died. The counter can't tell which. The requests that arrive here can: those of dead gateways come
// to the ones that live; of a split no client knows. Until the front has moved them, the part is right in
// both cases: it is the part of the demand that arrives.
//
// Pure: time is told. Two calls a slot; nothing where it is not switched on. Design: docs/counting.md.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "logic.hpp"

namespace curlewdoor::counting {

struct PresenceCall {
  CountName name;
  double amount = 0;  // 1: here; 0: who is here?
  Duration lifetime{};
};

class Presence {
 public:
  // `slot` above zero. `seed` spreads the gateways over a slot, so that they do not call together.
  Presence(Duration slot, std::uint64_t seed);

  // When Poll() is wanted next.
  TimePoint NextDue(TimePoint now);
  // The call to make now, if one is due. At most one of a kind a slot.
  std::optional<PresenceCall> Poll(TimePoint now);
  // What came of a call; no total: it failed, came too late or told no number.
  void Answered(TimePoint now, CountName name, std::optional<double> total);
  void NoteArrival(TimePoint now);

  // The part of each quota that the gateways seen here may give: 1 while nobody is missing.
  double part() const { return part_; }
  // How long those that are missing may have been missing before the part fell.
  Duration unseen_for() const { return unseen_for_; }

 private:
  struct Seen {
    std::int64_t slot = 0;
    double gateways = 0;
  };

  std::int64_t SlotOf(TimePoint at) const { return at.time_since_epoch() / slot_; }
  CountName NameOf(std::int64_t slot) const;
  void TakeIn(TimePoint now, double gateways);
  void CloseArrivals(std::int64_t slot);
  double ArrivalsBefore() const;
  bool Moved(double more) const;

  const Duration slot_, add_at_, read_at_;  // within a slot
  std::int64_t added_ = 0, read_ = 0;       // slots, of the last call of each kind
  std::deque<Seen> seen_;                   // the latest last
  double part_ = 1;
  double usual_ = 0;  // gateways, when the part fell
  Duration unseen_for_{};
  std::int64_t arrival_slot_ = 0;
  double arrivals_ = 0;         // in the present slot
  std::deque<double> arrived_;  // in whole slots before, the latest last
  double arrivals_usual_ = 0;   // a slot, when the part fell
};

}  // namespace curlewdoor::counting
