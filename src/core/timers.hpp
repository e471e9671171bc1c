// Time: the wall clock that all gateways share, and a queue of what falls due.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "logic.hpp"

namespace curlewdoor {

// Unix time that never goes back. Windows of a quota must agree over gateways and hosts tell their start in
// Unix time, so it follows the system's clock; where that is set back, time runs at half speed until both
// agree, so that nothing that waits is stopped.
class WallClock {
 public:
  using System = std::chrono::system_clock;
  using Steady = std::chrono::steady_clock;

  TimePoint Now() { return Now(System::now().time_since_epoch(), Steady::now().time_since_epoch()); }

  TimePoint Now(Duration system, Duration steady) {
    const Duration passed = started_ ? std::max(Duration::zero(), steady - steady_) : Duration::zero();
    now_ = started_ ? std::max(system, now_ + passed / 2) : system;
    steady_ = steady;
    started_ = true;
    return TimePoint(now_);
  }

 private:
  bool started_ = false;
  Duration now_{}, steady_{};
};

// How long requests may have waited before they are read: the loop's last round took that long, or it woke
// later than it was to. A client's time runs from its sending, and a gateway that stood still (its machine
// paused, its share of CPU used up) would else promise it more than is left.
class StallMeter {
 public:
  // Before the loop waits, and when it was to wake at the latest.
  void Waits(TimePoint now, TimePoint until) {
    busy_ = woke_ == TimePoint{} ? Duration::zero() : now - woke_;
    until_ = until;
  }
  void Wakes(TimePoint now) {
    woke_ = now;
    unseen_ = busy_ + std::max(Duration::zero(), now - until_);
    if (unseen_ < kStep || now < behind_until_) return;
    behind_since_ = now - unseen_;
    behind_until_ = now + unseen_;
  }
  // Of what this turn finds.
  Duration unseen() const { return unseen_; }
  // What a stall has piled up is read over several turns: one accepts, the next reads, and what is more than
  // a turn takes waits for a third. So for as long as the stall was, what is read may be as old as the stall,
  // and only the system can tell: `age` is what it says of the data, absent where it says nothing. Guards
  // against what a stopped gateway held being sent on after its time (fleet-load-stall, 8 of 8 seeds, up
  // to 2.6 s).
  bool behind(TimePoint now) const { return now < behind_until_; }
  Duration Unseen(TimePoint now, std::optional<Duration> age) const {
    if (!behind(now) || !age) return unseen_;
    return std::max(unseen_, std::min(*age, now - behind_since_));
  }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(10);  // of the system's clock of arrivals

  TimePoint woke_, until_, behind_since_, behind_until_;
  Duration busy_{}, unseen_{};
};

// What falls due, earliest first; what falls due together comes in the order it was added.
template <typename Item>
class TimerQueue {
 public:
  void Add(TimePoint due, Item item) { entries_.push({due, next_++, std::move(item)}); }
  std::optional<TimePoint> NextDue() const {
    return entries_.empty() ? std::nullopt : std::optional(entries_.top().due);
  }
  // Takes those off the front that nobody waits for any more, so that nothing wakes for them.
  template <typename Unwanted>
  void DropFirst(Unwanted unwanted) {
    while (!entries_.empty() && unwanted(entries_.top().item)) entries_.pop();
  }
  std::optional<Item> PopDue(TimePoint now) {
    if (entries_.empty() || entries_.top().due > now) return std::nullopt;
    Item item = entries_.top().item;
    entries_.pop();
    return item;
  }

 private:
  struct Entry {
    TimePoint due;
    std::uint64_t order;
    Item item;
    bool operator<(const Entry& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };
  std::priority_queue<Entry> entries_;
  std::uint64_t next_ = 0;
};

}  // namespace curlewdoor
