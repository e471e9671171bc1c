// A member's part in coordination: its replica of the log, its state machine, and, while it leads, the calls
// that wait: commands for their entries, reads for a majority's word, watches for events, and the ends of
// holds. Pure.
//
// Holds: the caller counts hold_ms from its sending. Here a hold ends hold_ms after the member that leads has
// applied it, by this process's steady clock, so later than the caller's. A new leader knows of no earlier
// time, and begins each hold anew when it begins to serve. The end itself is a command in the log, which does
// nothing if the hold was renewed before it.
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

struct CoordinatorOptions {
  ReplicaOptions replica;
  StateMachineLimits limits;
  std::uint64_t compact_after_entries = 2048;  // entries since the last snapshot
  std::size_t compact_after_bytes = 512u << 10;
  std::size_t max_pending_calls = 4096;  // commands and reads that wait
  WatchTable::Limits watches;
  std::size_t max_watch_bytes = 64u << 10;  // of names and values in one answer; the rest comes with the next
  // For tests of the tests: a coordinator that does something wrong.
  enum class Fault : std::uint8_t {
    kNone,
    kNewLeaderExpiresHolds,    // a hold of an earlier leader is over at once
    kHoldExpiresEarly,         // a hold ends earlier than the caller's own count
    kRenewalIgnored,           // a hold's end is counted from its begin
    kRefusedAfterProposal,     // NotServed where a command may yet be committed
    kReadWithoutConfirmation,  // a leader answers from what it has
    kReadAtFollower,           // anyone answers from what it has
    kWatchReturnsNewestOnly,   // a watch is told the newest event alone
    kWatchRevisionAhead,       // a watch's answer names a revision above its events
    kSnapshotNotRestored       // a leader's snapshot is taken for the log, not for the state
  } fault = Fault::kNone;
};

// Names a call until it is answered; the owner's.
using CallId = std::uint64_t;

struct CoordinatorOutput {
  std::vector<OutgoingMessage> messages;
  std::optional<RecordBatch> write;  // then OnWritten()
  std::vector<std::pair<CallId, Reply>> replies;
  bool leader_changed = false;  // leader() is another one
  std::vector<std::string> log_lines;
};

class Coordinator {
 public:
  Coordinator(Member self, ReplicaState from_disk, CoordinatorOptions options, std::uint64_t seed);

  void Bootstrap(Time now, std::vector<Member> voters, CoordinatorOutput& out);
  void SetTargetVoters(Time now, std::uint64_t epoch, std::vector<Member> members, CoordinatorOutput& out);
  void OnMessage(Time now, const ReplicaMessage& message, CoordinatorOutput& out);
  void OnWritten(Time now, bool ok, CoordinatorOutput& out);
  void Tick(Time now, CoordinatorOutput& out);  // at NextDue(), and about every 50 ms
  std::optional<Time> NextDue() const;

  // Ends in one reply with this id, at once or later; a command's or a read's within a few seconds, unless
  // Forget() comes before.
  void OnCall(Time now, CallId id, const Call& call, CoordinatorOutput& out);
  void Forget(CallId id);  // nobody waits for its reply; a command takes effect all the same
  // The process is about to end: hands leadership on. leaving() stays; done once it leads no more.
  void BeginShutdown(Time now, CoordinatorOutput& out);

  const Replica& replica() const { return replica_; }
  const StateMachine& state() const { return state_; }
  std::size_t pending() const { return pending_commands_.size() + pending_reads_.size() + watches_.size(); }

 private:
  struct PendingCommand {  // a command, for the entry at its index
    CallId id = 0;
    std::uint64_t term = 0;
  };
  struct HoldDeadline {  // until when a hold lasts here at least
    FencingToken fence = 0;
    std::uint64_t renewals = 0;
    Time deadline{};
    bool expiry_proposed = false;
  };

  void RestoreSnapshot(const std::string& snapshot, std::vector<std::string>& log_lines);
  void HandleReplicaOutput(Time now, ReplicaOutput& replica_output, CoordinatorOutput& out);
  void ApplyEntry(Time now, const CommittedEntry& entry, CoordinatorOutput& out);
  void UpdateHoldDeadline(Time now, const std::string& lock);
  void StartServing(Time now);
  void StopServing(CoordinatorOutput& out);
  void ReplyToRead(Time now, CallId id, CoordinatorOutput& out);
  void ReplyToWatch(CallId id, const std::string& group, Revision after, CoordinatorOutput& out);
  void ReplyToReadyWatches(const std::string& group, CoordinatorOutput& out);
  void ExpireHolds(Time now, ReplicaOutput& replica_output);
  void MaybeCompact(Time now, ReplicaOutput& replica_output);
  void Execute(Time now, CallId id, const Command& command, ReplicaOutput& replica_output,
               CoordinatorOutput& out);
  void StartRead(Time now, CallId id, const Call& call, ReplicaOutput& replica_output,
                 CoordinatorOutput& out);
  NotServed NotServedReply() const;
  bool HasFault(CoordinatorOptions::Fault fault) const { return options_.fault == fault; }

  const CoordinatorOptions options_;
  Replica replica_;
  StateMachine state_;
  std::map<std::uint64_t, PendingCommand> pending_commands_;  // by index of the log
  std::unordered_map<CallId, Call> pending_reads_;  // ReadKey and WatchGroup that wait for a majority
  WatchTable watches_;
  std::map<std::string, HoldDeadline> hold_deadlines_;  // by lock, while it serves
  bool shutting_down_ = false;
  // The replica's snapshot can't be read here: the state is not the log's. It answers nothing and hands
  // leadership on, until a snapshot comes that can be read.
  bool snapshot_unreadable_ = false;
};

}  // namespace curlewdoor::coordination
