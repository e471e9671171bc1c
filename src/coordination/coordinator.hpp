// A member of the coordination service: its replica of the log, its state machine and, while it leads, the
// pending calls (commands wait for their entries, reads for a majority's confirmation, watches for events)
// and the deadlines of holds. Does no I/O.
//
// A hold is the time for which a lock belongs to its holder. The caller counts hold_ms from when it sent the
// call. Here a hold ends hold_ms after the leader has applied the command, by this process's steady clock,
// and therefore later than for the caller. A new leader knows no earlier start, so it restarts each hold when
// it starts to serve. The end itself is a command in the log, which does nothing if the hold was renewed
// before.
//
// A release ends a hold only as it was when the release was sent. AcquireLock by the holder extends its hold
// under the same fence, so the fence alone does not tell a release that was sent before from one that was
// sent after. Each release therefore comes with the number of renewals that it is proven to have been sent
// after, and is proposed as ExpireLock for exactly that number.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/call.hpp"
#include "coordination/replica.hpp"
#include "coordination/state_machine.hpp"
#include "coordination/watch_table.hpp"

namespace curlewdoor::coordination {

// Limits of a member.
struct CoordinatorOptions {
  ReplicaOptions replica;
  StateMachineLimits limits;
  std::uint64_t compact_after_entries = 2048;  // entries since the last snapshot
  std::size_t compact_after_bytes = 512u << 10;
  std::size_t max_pending_calls = 4096;  // commands and reads
  WatchTable::Limits watches;
  std::size_t max_watch_bytes = 64u << 10;  // names and values in one reply; the next watch returns the rest
  // Injected faults, which the tests must detect.
  enum class Fault : std::uint8_t {
    kNone,
    kNewLeaderExpiresHolds,    // ends the holds of an earlier leader at once
    kHoldExpiresEarly,         // a hold ends before the time that its caller counts
    kRenewalIgnored,           // a renewal does not extend the hold
    kReleaseUnconditional,     // a release ends its hold however often that was extended since
    kRefusedAfterProposal,     // NotServed for a command that may still be committed
    kReadWithoutConfirmation,  // a leader answers reads without confirming its leadership
    kReadAtFollower,           // any member answers reads from its own state
    kWatchReturnsNewestOnly,   // a watch returns only the newest event
    kWatchRevisionAhead,       // a watch returns a revision above its events
    kSnapshotNotRestored       // a received snapshot is installed in the log, but not in the state machine
  } fault = Fault::kNone;
};

// Identifies a call until it is answered. Chosen by the caller of Coordinator.
using CallId = std::uint64_t;

// What the caller of a Coordinator must do.
struct CoordinatorOutput {
  std::vector<OutgoingMessage> messages;
  std::optional<RecordBatch> write;  // to be followed by OnWritten()
  std::vector<std::pair<CallId, Reply>> replies;
  bool leader_changed = false;  // the leader has changed, or this one starts to serve
  std::vector<std::string> log_lines;
};

// Releases that a member applied as the leader that had accepted them, by what they ended.
struct ReleaseCounts {
  std::uint64_t unextended = 0;  // a hold that no AcquireLock or RenewLock had extended
  std::uint64_t extended = 0;    // a hold that one had
  std::uint64_t none = 0;        // no hold with that holder and fence
  std::uint64_t unproven = 0;    // nothing: the hold had been extended more often than was proven
};

// One member. See the top of this file.
class Coordinator {
 public:
  Coordinator(Member self, ReplicaState from_disk, CoordinatorOptions options, std::uint64_t seed);

  // As in Replica.
  void Bootstrap(Time now, std::vector<Member> voters, CoordinatorOutput& out);
  void SetTargetVoters(Time now, std::uint64_t epoch, std::vector<Member> members, CoordinatorOutput& out);
  void OnMessage(Time now, const ReplicaMessage& message, CoordinatorOutput& out);
  void OnWritten(Time now, bool ok, CoordinatorOutput& out);
  void Tick(Time now, CoordinatorOutput& out);  // at NextDue(), and about every 50 ms
  std::optional<Time> NextDue() const;

  // Leads to one reply with this id, at once or later, unless Forget() is called first. A command or a read
  // is answered within a few seconds. `proven` matters for ReleaseLock only.
  void OnCall(Time now, CallId id, const Call& call, ProvenRenewals proven, CoordinatorOutput& out);
  void Forget(CallId id);  // drops the reply; a command still takes effect
  // Transfers leadership because the process is about to end. Complete once this member no longer leads.
  void BeginShutdown(Time now, CoordinatorOutput& out);

  const Replica& replica() const { return replica_; }
  const StateMachine& state() const { return state_; }
  const ReleaseCounts& release_counts() const { return release_counts_; }
  std::size_t pending() const { return pending_commands_.size() + pending_reads_.size() + watches_.size(); }

 private:
  struct PendingCommand {  // a command that waits for the entry at its index
    CallId id = 0;
    std::uint64_t term = 0;
    std::optional<ReleaseLock> release;  // as it was called, if it is one
  };
  struct HoldDeadline {  // the earliest time at which this leader ends a hold
    FencingToken fence = 0;
    std::uint64_t renewals = 0;
    Time deadline{};
    bool expiry_proposed = false;
  };

  void RestoreSnapshot(const std::string& snapshot, std::vector<std::string>& log_lines);
  void HandleReplicaOutput(Time now, ReplicaOutput& replica_output, CoordinatorOutput& out);
  void ApplyEntry(Time now, const CommittedEntry& entry, CoordinatorOutput& out);
  std::optional<std::uint64_t> RenewalsOf(
      const ReleaseLock& release) const;  // nullopt: there is no such hold
  void CountRelease(std::optional<std::uint64_t> before, std::optional<std::uint64_t> after);
  Reply ReplyToRelease(const ReleaseLock& release) const;
  void UpdateHoldDeadline(Time now, const std::string& lock);
  void StartServing(Time now);
  void StopServing(CoordinatorOutput& out);
  void ReplyToRead(Time now, CallId id, CoordinatorOutput& out);
  void ReplyToWatch(CallId id, const std::string& group, Revision after, CoordinatorOutput& out);
  void ReplyToReadyWatches(const std::string& group, CoordinatorOutput& out);
  void ExpireHolds(Time now, ReplicaOutput& replica_output);
  void MaybeCompact(Time now, ReplicaOutput& replica_output);
  void Propose(Time now, PendingCommand pending, const Command& command, ReplicaOutput& replica_output,
               CoordinatorOutput& out);
  void Release(Time now, CallId id, const ReleaseLock& release, ProvenRenewals proven,
               ReplicaOutput& replica_output, CoordinatorOutput& out);
  void StartRead(Time now, CallId id, const Call& call, ReplicaOutput& replica_output,
                 CoordinatorOutput& out);
  NotServed NotServedReply() const;
  bool HasFault(CoordinatorOptions::Fault fault) const { return options_.fault == fault; }

  const CoordinatorOptions options_;
  Replica replica_;
  StateMachine state_;
  std::map<std::uint64_t, PendingCommand> pending_commands_;  // by log index
  // ReadKey and WatchGroup calls awaiting a majority's confirmation.
  std::unordered_map<CallId, Call> pending_reads_;
  WatchTable watches_;
  std::map<std::string, HoldDeadline> hold_deadlines_;  // by lock, while serving
  ReleaseCounts release_counts_;
  bool shutting_down_ = false;
  // The replica's snapshot could not be restored, so the state does not match the log. The member serves no
  // calls and transfers leadership away until it receives a readable snapshot.
  bool snapshot_unreadable_ = false;
};

}  // namespace curlewdoor::coordination
