// When a core member announces the newest configuration to one gateway. Pure. Who fetches here hears of it at
// once; the others, who hear of it from the member that they fetch from, later and less often: only where
// that one is silent do they need it from here.
#pragma once

#include <chrono>

#include "system/config_id.hpp"

namespace curlewdoor::system {

class AnnouncePace {
 public:
  using Time = std::chrono::steady_clock::time_point;
  static constexpr std::chrono::milliseconds kNear{200};  // at least between two, to who fetches here
  static constexpr std::chrono::milliseconds kFar{600};   // ... to others
  static constexpr std::chrono::seconds kFetchesFor{
      5};  // after its last fetch; contact is confirmed more often

  void OnFetch(Time now) { fetched_at_ = now; }

  // Whether `newest` is to be announced now; then it counts as announced.
  bool Take(Time now, ConfigId newest) {
    if (newest <= announced_) return false;
    const bool near = fetched_at_ != Time{} && now - fetched_at_ <= kFetchesFor;
    if (!near && waiting_ <= announced_) {  // seen for the first time: the other member goes first
      waiting_ = newest;
      waiting_since_ = now;
    }
    const Time since = near ? announced_at_ : waiting_since_;
    if (since != Time{} && now - since < (near ? kNear : kFar)) return false;
    announced_ = waiting_ = newest;
    announced_at_ = now;
    return true;
  }

 private:
  ConfigId announced_, waiting_;  // waiting_ above announced_: since waiting_since_
  Time announced_at_{}, waiting_since_{}, fetched_at_{};
};

}  // namespace curlewdoor::system
