// The service registry's watermark: a number that rises by one a period and says what is old. Pure.
//
// What has left is forgotten after some time, and a process that was stopped, cut off or restarted meanwhile
// would bring it back. So each claim that a host is here is stamped with the watermark of the process that
// read the host's beat, or had its list proved (directory/directory.hpp), and claims whose stamps are too far
// behind aren't taken.
//
// A member raises it once a majority of the epoch's members, voting, hold the present one on disk and the
// period has passed here. So no watermark is anywhere that is more than one above what a majority holds, and
// a proof by a majority's answers (registry_replication/lease.hpp) names the one that a majority held, or a
// higher one. Nothing rests on who raises it, how many do, or whose clock says that the period has passed; a
// fast clock makes periods shorter. Everyone takes over a higher one from whoever names it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "registry_replication/votes.hpp"

namespace curlewdoor::registry_replication {

class Watermark {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  explicit Watermark(Duration period) : period_(period) {}

  std::uint64_t value() const { return value_; }  // 1 at first
  Time since() const { return since_; }           // that it is what it is, here
  // Heard of, or read from the disk. True: it has risen here.
  bool Adopt(Time now, std::uint64_t value);
  // A member's answer: what its disk holds.
  void OnAnswer(const Standing& standing);
  // At a member, regularly; `own` is its standing. True: it has risen.
  bool Tick(Time now, const Roster& roster, const Standing& own);

 private:
  const Duration period_;
  std::uint64_t value_ = 1;
  Time since_{};
  std::map<MemberId, Standing> held_;  // of the roster's members, as they answered last
};

}  // namespace curlewdoor::registry_replication
