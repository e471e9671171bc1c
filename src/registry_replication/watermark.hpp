// The service registry's watermark: a logical clock that increases by one per period and dates entries. Pure.
//
// Leaves are forgotten after some time. A process that was stopped, cut off or restarted meanwhile could then
// bring a removed host back. Each claim that a host exists is therefore stamped with the watermark of the
// process that read the host's heartbeat or had its list proved (service_registry/service_registry.hpp), and
// claims with stamps too far behind are rejected.
//
// A member increases the watermark once a majority of the epoch's members, all voting, hold the current value
// on disk and the period has passed on its own clock. So no process has a watermark more than one above what
// a majority holds, and a proof by a majority's answers (registry_replication/lease.hpp) reports the value
// that a majority held, or a higher one. Correctness does not depend on which members increase it, how many
// do, or whose clock measures the period; a fast clock only makes periods shorter. Every process adopts any
// higher value that it receives.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "registry_replication/votes.hpp"

namespace curlewdoor::registry_replication {

// This process's view of the watermark.
class Watermark {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  explicit Watermark(Duration period) : period_(period) {}

  std::uint64_t value() const { return value_; }  // starts at 1
  Time since() const { return since_; }           // when this process reached the current value
  // Takes a value that was received or read from disk. Returns true if it is higher than the current one.
  bool Adopt(Time now, std::uint64_t value);
  // Records a member's answer, which tells what its disk holds.
  void OnAnswer(const MemberStatus& status);
  // Called regularly at a member; `local` is its own status. Returns true if the watermark was increased.
  bool Tick(Time now, const Membership& membership, const MemberStatus& local);

 private:
  const Duration period_;
  std::uint64_t value_ = 1;
  Time since_{};
  std::map<MemberId, MemberStatus> statuses_;  // latest status of each member
};

}  // namespace curlewdoor::registry_replication
