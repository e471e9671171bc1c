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
  Limits limits;
  std::uint64_t compact_after = 2048;  // entries since the last snapshot
  std::size_t compact_bytes = 512u << 10;
  std::size_t most_calls = 4096;  // commands and reads that wait
  WatchTable::Limits watches;
  std::size_t watch_bytes = 64u << 10;  // of names and values in one answer; the rest comes with the next
  // For tests of the tests: a coordinator that does something wrong.
  enum class Fault : std::uint8_t {
    kNone,
    kNewLeaderDoesNotWait,  // a hold of an earlier leader is over at once
    kHoldFromSending,       // a hold ends earlier than the caller's own count
    kRenewalNotNoted,       // a hold's end is counted from its begin
    kRefusedAfterProposal,  // NotServed where a command may yet be committed
    kReadWithoutAsking,     // a leader answers from what it has
    kReadAtFollower,        // anyone answers from what it has
    kWatchTellsNewest,      // a watch is told the newest event alone
    kWatchEndsAhead,        // a watch's answer names a revision above its events
    kSnapshotNotRestored    // a leader's snapshot is taken for the log, not for the state
  } fault = Fault::kNone;
};

// Names a call until it is answered; the owner's.
using CallId = std::uint64_t;

struct CoordinatorOut {
  std::vector<ReplicaSending> sends;
  std::optional<Records> write;  // then OnWritten()
  std::vector<std::pair<CallId, Reply>> replies;
  bool leader_changed = false;  // leader() is another one
  std::vector<std::string> notes;
};

class Coordinator {
 public:
  Coordinator(Member self, ReplicaState from_disk, CoordinatorOptions options, std::uint64_t seed);

  void Found(Time now, std::vector<Member> voters, CoordinatorOut& out);
  void SetTarget(Time now, std::uint64_t epoch, std::vector<Member> members, CoordinatorOut& out);
  void OnMessage(Time now, const ReplicaMessage& message, CoordinatorOut& out);
  void OnWritten(Time now, bool ok, CoordinatorOut& out);
  void Tick(Time now, CoordinatorOut& out);  // at NextDue(), and about every 50 ms
  std::optional<Time> NextDue() const;

  // Ends in one reply with this id, at once or later; a command's or a read's within a few seconds, unless
  // Forget() comes before.
  void OnCall(Time now, CallId id, const Call& call, CoordinatorOut& out);
  void Forget(CallId id);  // nobody waits for its reply; a command takes effect all the same
  // The process is about to end: hands leadership on. leaving() stays; done once it leads no more.
  void Leave(Time now, CoordinatorOut& out);

  const Replica& replica() const { return replica_; }
  const StateMachine& state() const { return state_; }
  std::size_t waiting() const { return commands_.size() + reads_.size() + watches_.size(); }

 private:
  struct Waiting {  // a command, for the entry at its index
    CallId id = 0;
    std::uint64_t term = 0;
  };
  struct Holding {  // until when a hold lasts here at least
    Fence fence = 0;
    std::uint64_t renewals = 0;
    Time ends{};
    bool end_proposed = false;
  };

  void TakeSnapshot(const std::string& snapshot, std::vector<std::string>& notes);
  void Settle(Time now, ReplicaOut& from, CoordinatorOut& out);
  void ApplyEntry(Time now, const CommittedEntry& entry, CoordinatorOut& out);
  void NoteHold(Time now, const std::string& lock);
  void BeginToServe(Time now);
  void StopServing(CoordinatorOut& out);
  void AnswerRead(Time now, CallId id, CoordinatorOut& out);
  void AnswerWatch(CallId id, const std::string& group, Revision after, CoordinatorOut& out);
  void AnswerWatchers(const std::string& group, CoordinatorOut& out);
  void ExpireHolds(Time now, ReplicaOut& from);
  void MaybeCompact(Time now, ReplicaOut& from);
  void Execute(Time now, CallId id, const Command& command, ReplicaOut& from, CoordinatorOut& out);
  void AskToRead(Time now, CallId id, const Call& call, ReplicaOut& from, CoordinatorOut& out);
  NotServed NotHere() const;
  bool Does(CoordinatorOptions::Fault fault) const { return options_.fault == fault; }

  const CoordinatorOptions options_;
  Replica replica_;
  StateMachine state_;
  std::map<std::uint64_t, Waiting> commands_;  // by index of the log
  std::unordered_map<CallId, Call> reads_;     // ReadKey and WatchGroup that wait for a majority
  WatchTable watches_;
  std::map<std::string, Holding> holdings_;  // by lock, while it serves
  bool leaving_ = false;
  // The replica's snapshot can't be read here: the state is not the log's. It answers nothing and hands
  // leadership on, until a snapshot comes that can be read.
  bool unreadable_ = false;
};

}  // namespace curlewdoor::coordination
