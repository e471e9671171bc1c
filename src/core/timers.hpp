// Time: a monotonic wall clock, a measure of input delay caused by stalls, and a timer queue.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "logic.hpp"

namespace curlewdoor {

// Unix time that never goes back. It follows the system clock because quota windows must agree across
// gateways and hosts report their start in Unix time. If the system clock is set back, time runs at half
// speed until both agree, so that pending timers still make progress.
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

// Measures how long input may have waited before the event loop reads it: the duration of the loop's last
// iteration plus the lateness of its wake-up. A client's time limit runs from when it sends the request.
// Without this correction, a gateway that stalled (machine paused, CPU quota used up) would allow more than
// is left.
class StallMeter {
 public:
  // Called before the loop waits. `latest_wake`: when it must wake at the latest.
  void BeforeWait(TimePoint now, TimePoint latest_wake) {
    busy_ = woke_ == TimePoint{} ? Duration::zero() : now - woke_;
    latest_wake_ = latest_wake;
  }
  // Called when the loop has woken.
  void AfterWake(TimePoint now) {
    woke_ = now;
    iteration_delay_ = busy_ + std::max(Duration::zero(), now - latest_wake_);
    if (iteration_delay_ < kReceiveTimeResolution || now < catch_up_until_) return;
    stall_began_ = now - iteration_delay_;
    catch_up_until_ = now + iteration_delay_;
  }
  // Longest delay of input that this iteration finds, unless it is still catching up with a stall.
  Duration iteration_delay() const { return iteration_delay_; }
  // True for as long after a stall as the stall lasted. The backlog is read over several iterations: one
  // accepts, the next reads, and input beyond the limit of an iteration waits for a third. Until then, input
  // may be as old as the stall, and only the kernel knows its age.
  bool catching_up(TimePoint now) const { return now < catch_up_until_; }
  // Delay of input read now. `age`: age of the data according to the kernel, absent if unknown. Ignoring
  // it, a stalled gateway forwarded requests after their deadline (rehearsal fleet-load-stall, 8 of 8 seeds,
  // up to 2.6 s).
  Duration InputDelay(TimePoint now, std::optional<Duration> age) const {
    if (!catching_up(now) || !age) return iteration_delay_;
    return std::max(iteration_delay_, std::min(*age, now - stall_began_));
  }

 private:
  static constexpr Duration kReceiveTimeResolution = std::chrono::milliseconds(10);  // of the kernel

  TimePoint woke_, latest_wake_, stall_began_, catch_up_until_;
  Duration busy_{}, iteration_delay_{};
};

// Timer queue, earliest first. Items due at the same time are returned in the order in which they were added.
template <typename Item>
class TimerQueue {
 public:
  void Add(TimePoint due, Item item) { entries_.push({due, next_++, std::move(item)}); }
  std::optional<TimePoint> NextDue() const {
    return entries_.empty() ? std::nullopt : std::optional(entries_.top().due);
  }
  // Removes items from the front while `predicate` holds, so that no wake-up is scheduled for obsolete items.
  template <typename Predicate>
  void DropFrontWhile(Predicate predicate) {
    while (!entries_.empty() && predicate(entries_.top().item)) entries_.pop();
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
