// Whether what is read now may have lain in a socket while this process stood still (SIGSTOP, a frozen
// machine, swapped memory): a host's beat that was read late may say that a host is here that has left, and
// has been forgotten, since. Pure.
//
// Together with CallDoor's bound on idle connections it keeps directory::kMostCallDelay: who calls gives up
// after a second, and what is still under way then comes to a connection that was closed.
#pragma once

#include <chrono>
#include <optional>

namespace curlewdoor::system {

class PauseWatch {
 public:
  using Time = std::chrono::steady_clock::time_point;

  static constexpr std::chrono::seconds kPause{5};    // shorter ones don't matter
  static constexpr std::chrono::seconds kDrained{3};  // by then all that had come meanwhile was read

  explicit PauseWatch(Time now) : turned_at_(now) {}

  // Each time before the event loop waits; it waits for a part of a second at most.
  void OnTurn(Time now) {
    if (now - turned_at_ >= kPause) resumed_at_ = now;
    turned_at_ = now;
  }

  // Also right after a pause within a turn.
  bool InputMayBeOld(Time now) const {
    return now - turned_at_ >= kPause || (resumed_at_ && now - *resumed_at_ < kDrained);
  }

 private:
  Time turned_at_;
  std::optional<Time> resumed_at_;
};

}  // namespace curlewdoor::system
