// Whether what is read now may have lain in a socket while this process stood still (SIGSTOP, a frozen
// machine, swapped memory): a host's beat that was read late may say that a host is here that has left, and
// has been forgotten, since. Pure.
//
// Together with CallDoor's bound on idle connections it keeps service_registry::kMaxCallDelay: who calls
// gives up after a second, and what is still under way then comes to a connection that was closed.
#pragma once

#include <chrono>
#include <optional>

namespace curlewdoor::system {

class PauseWatch {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  static constexpr std::chrono::seconds kPause{5};  // that matters for hosts' beats
  static constexpr std::chrono::seconds kDrained{3};

  // `pause`: shorter ones don't matter. `drained`: after one, by when all that had come meanwhile was read.
  explicit PauseWatch(Time now, Duration pause = kPause, Duration drained = kDrained)
      : pause_(pause), drained_(drained), turned_at_(now) {}

  // Each time before the event loop waits; it waits for a part of a second at most.
  void OnTurn(Time now) {
    if (now - turned_at_ >= pause_) resumed_at_ = now;
    turned_at_ = now;
  }

  // Also right after a pause within a turn.
  bool InputMayBeOld(Time now) const {
    return now - turned_at_ >= pause_ || (resumed_at_ && now - *resumed_at_ < drained_);
  }

 private:
  const Duration pause_, drained_;
  Time turned_at_;
  std::optional<Time> resumed_at_;
};

}  // namespace curlewdoor::system
