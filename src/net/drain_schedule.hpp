// What a process that has been told to end (SIGTERM) may still promise to its clients. Pure; both programs
// use it.
//
// The platform kills the process some time after the signal, so the process ends shortly before that,
// whatever its hosts are doing. A request that is at a host by then is lost to its client. Passing a request
// on therefore promises that the process lives until the final answer, which is sure only if the request
// expires before the end: then it is answered at its expiry at the latest. For a short while after the signal
// clients cannot know of the end, and a request is also passed on if it is likely to be answered in time. Any
// other request is to be declined while no host has run it, so that its client can turn to another gateway.
#pragma once

#include <algorithm>

#include "logic.hpp"

namespace curlewdoor::net {

class DrainSchedule {
 public:
  struct Times {
    TimePoint begun_at;        // when the signal came
    Duration likely_for{};     // from then on for so long, a likely answer in time is enough
    TimePoint answers_end_at;  // by when each final answer must have been written
  };

  explicit DrainSchedule(const Times& times) : times_(times) {}

  // Whether a request may be given to a host now. `expires_at`: when its final answer is written at the
  // latest. `expected`: how long a host usually takes.
  bool MayPassOn(TimePoint now, TimePoint expires_at, Duration expected) const {
    if (expires_at <= times_.answers_end_at) return true;
    return InLikelyTime(now) && now + kLikelyFactor * expected <= times_.answers_end_at;
  }
  bool InLikelyTime(TimePoint now) const { return now < times_.begun_at + times_.likely_for; }
  // Whether it is time for the last answers: what no host has got is declined.
  bool Over(TimePoint now) const { return now >= times_.answers_end_at; }
  // From now on nothing is passed on.
  void Close(TimePoint now) {
    times_.answers_end_at = std::min(times_.answers_end_at, now);
    times_.likely_for = Duration::zero();
  }

 private:
  static constexpr int kLikelyFactor = 2;  // of the usual time, for an answer to be likely

  Times times_;
};

}  // namespace curlewdoor::net
