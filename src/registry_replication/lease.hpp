// How long a gateway may send requests by the list of hosts that it has. Pure: time comes in.
//
// The gateway asks all core members again and again. A member answers on the stream on which it sends news,
// behind all that it held when the question came, so an answer proves that the list here holds what that
// member held at the time of the question. With answers of a majority, the list holds every leave that was
// acknowledged before the oldest of these questions. The lease lasts from that time on; `lasts` is shorter
// than drain_ms, and only this gateway's clock counts. A process that was paused finds its lease run out at
// the next request, however it was paused.
//
// While no majority answers, though the process runs and asks, the list can't be proved and requests go on by
// it: such a gateway is out of touch with the core, and no service at all would be worse.
#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "registry_replication/votes.hpp"

namespace curlewdoor::registry_replication {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

class RegistryLease {
 public:
  struct Options {
    Duration lasts = std::chrono::milliseconds(1200);
    Duration ask_every = std::chrono::milliseconds(350);
    Duration wait = std::chrono::milliseconds(500);  // running time without a proof: then it is done without
    // The same after a pause of `lasts` or more: its list is older than any proof, and its streams come up
    // anew.
    Duration wait_long_away = std::chrono::milliseconds(2000);
    Duration run_gap = std::chrono::milliseconds(250);  // more than this between two ticks is a pause
  };
  // Of drain_ms: half of it is left for the way to the host and for a slow process.
  static Options OptionsFor(Duration drain);

  explicit RegistryLease(Options options) : options_(options) {}

  // Epochs only rise; an older or the same one changes nothing.
  void SetRoster(Roster roster);
  // Regularly while the process runs, at least every run_gap / 2. True: all members are to be asked now.
  bool Tick(Time now);
  void Asked(Time now);
  // A member of the roster answers a question of this process. `asked`: its time, as the answer echoes it.
  void OnAnswer(Time now, Time asked, const Standing& standing);

  // A majority has proved the list, of late.
  bool Proved(Time now) const { return proved_at_ && now < *proved_at_ + options_.lasts; }
  // Requests may be sent by the list: it is proved, or a proof can't be had.
  bool MaySend(Time now) const { return Proved(now) || GivenUp(now); }
  bool GivenUp(Time now) const;
  std::optional<Duration> Age(Time now) const;                  // of the list's proof
  std::optional<Time> proved_at() const { return proved_at_; }  // the oldest of the questions that prove it
  std::uint64_t epoch() const { return roster_.epoch; }

 private:
  void Weigh();

  const Options options_;
  Roster roster_;
  std::map<MemberId, Time>
      answered_;  // members of roster_: the time of the latest question that each answered
  std::optional<Time> proved_at_;
  std::optional<Time> open_since_;  // of the oldest question after the proof
  std::optional<Time> asked_at_, ticked_at_;
  Duration waited_{};       // running time since open_since_
  bool long_away_ = false;  // since the last proof
};

}  // namespace curlewdoor::registry_replication
