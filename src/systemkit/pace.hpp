// The time of a run, and what is to be done later in it.
#pragma once

#include <ev.h>

#include <chrono>
#include <functional>
#include <map>
#include <utility>

#include "net/watcher.hpp"

namespace curlewdoor::systemkit {

class Pace {
 public:
  explicit Pace(struct ev_loop* loop) : timer_(loop, [this](int) { RunDue(); }) {
    timer_.StartIn(kStep, kStep);
  }
  double Now() const { return std::chrono::duration<double>(Clock::now() - began_).count(); }  // seconds
  // `act` outlives whoever it speaks of: it has to look whether that is still there.
  void After(double seconds, std::function<void()> act) { due_.emplace(Now() + seconds, std::move(act)); }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::chrono::milliseconds kStep{2};

  void RunDue() {
    while (!due_.empty() && due_.begin()->first <= Now()) {
      const auto act = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      act();
    }
  }

  const Clock::time_point began_ = Clock::now();
  std::multimap<double, std::function<void()>> due_;
  net::TimerWatcher timer_;
};

}  // namespace curlewdoor::systemkit
