// The lease under which a gateway sends requests to the hosts in its list. Pure: the time is an argument.
//
// The gateway queries all core members periodically. A member answers on the stream that carries its updates,
// after all updates that it held when the query arrived. An answer therefore proves that the list here holds
// everything that the member held at the time of the query. With answers from a majority, the list holds
// every leave that was acknowledged before the oldest of these queries. The lease runs from that time for
// `validity`, which is shorter than drain_ms. Only this gateway's clock is involved: after a pause of any
// kind, a process finds its lease expired at the next request.
//
// While the process runs and queries but no majority answers, the list can't be proved. Requests are then
// sent without a proof: the gateway is cut off from the core, and refusing all requests would be worse.
#pragma once

#include <chrono>
#include <map>
#include <optional>

#include "registry_replication/votes.hpp"

namespace curlewdoor::registry_replication {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Tracks queries, answers and the proof of the local host list.
class RegistryLease {
 public:
  struct Options {
    Duration validity = std::chrono::milliseconds(1200);
    Duration query_interval = std::chrono::milliseconds(350);
    // After this much running time without a proof, requests are sent without one.
    Duration max_wait = std::chrono::milliseconds(500);
    // The same after a pause of `validity` or more: the list is then older than any valid proof, and the
    // streams are being re-established.
    Duration max_wait_after_long_pause = std::chrono::milliseconds(2000);
    Duration pause_threshold = std::chrono::milliseconds(250);  // a longer time between two ticks is a pause
  };
  // Options for a drain time (drain_ms). The rest of the drain time is left for delivery to the host and for
  // slow processes.
  static Options OptionsFor(Duration drain_time);

  explicit RegistryLease(Options options) : options_(options) {}

  // Epochs only increase; an older or equal epoch changes nothing.
  void SetMembership(Membership membership);
  // Called regularly while the process runs, at least every pause_threshold / 2. Returns true if all members
  // must be queried now.
  bool Tick(Time now);
  void OnQuerySent(Time now);
  // A member answered a query of this process. `asked_at` is the time of the query, as echoed by the answer.
  void OnAnswer(Time now, Time asked_at, const MemberStatus& status);

  // A majority has proved the list, and the lease has not expired.
  bool IsProved(Time now) const { return proved_at_ && now < *proved_at_ + options_.validity; }
  // Requests may be sent to the hosts in the list: it is proved, or a proof is unavailable.
  bool MaySend(Time now) const { return IsProved(now) || IsProofUnavailable(now); }
  bool IsProofUnavailable(Time now) const;
  std::optional<Duration> ProofAge(Time now) const;             // since the list was proved
  std::optional<Time> proved_at() const { return proved_at_; }  // the oldest query of the proof
  std::uint64_t epoch() const { return membership_.epoch; }

 private:
  void UpdateProof();

  const Options options_;
  Membership membership_;
  std::map<MemberId, Time>
      answered_queries_;  // by member of membership_: the time of the latest query that it has answered
  std::optional<Time> proved_at_;
  std::optional<Time> unanswered_since_;  // time of the oldest query since the proof
  std::optional<Time> last_query_at_, last_tick_at_;
  Duration waited_{};        // running time since unanswered_since_
  bool long_pause_ = false;  // a pause of `validity` or more since the last proof
};

}  // namespace curlewdoor::registry_replication
