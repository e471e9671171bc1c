// One replica of the log: Raft with pre-vote, check-quorum, leadership transfer, read index, snapshots and
// changes of one voter at a time. Pure: messages, time and the disk's answers go in; messages, writes and
// committed entries come out. Safety rests on majorities of lives (a machine's name and its disk's number: a
// wiped disk is another life, and no voter until the log makes it one), never on time.
//
// The voters of the first configuration are those of the agreement's epoch 1, the same at all. From then on
// the log's own configuration entries say who votes. The agreement's newest roster is only what a leader
// steers to: a new life is sent the log first, becomes a voter once it has nearly all of it, and lives that
// left the roster are taken out, one change at a time, each committed before the next one begins and none
// before an entry of the leader's own term is committed.
//
// What waits for the disk: a vote, an acknowledgement of entries or of a snapshot. A leader counts itself
// only with what its disk holds, so a leader whose disk stalls commits by the others'.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "agreement/message.hpp"
#include "coordination/replica_message.hpp"

namespace curlewdoor::coordination {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using agreement::Life;
using agreement::Member;

struct ReplicaOptions {
  Duration heartbeat = std::chrono::milliseconds(80);
  Duration election_least = std::chrono::milliseconds(400), election_most = std::chrono::milliseconds(800);
  Duration quorum_lost =
      std::chrono::milliseconds(700);                // a leader that hears no majority for so long steps down
  Duration resend = std::chrono::milliseconds(200);  // entries without an answer
  Duration gather = std::chrono::milliseconds(3);    // group commit: entries and reads wait so long for more
  std::size_t append_bytes = 256u << 10;             // of one message
  std::size_t snapshot_chunk = 128u << 10;           // bytes of one message
  std::size_t uncommitted = 4096;                    // entries; Propose() beyond gives nullopt
  std::uint64_t catch_up_gap = 64;                   // entries that a new voter may lack
  enum class Fault : std::uint8_t {                  // for tests of the tests
    kNone,
    kVoteNotWritten,
    kAckBeforeSync,
    kCommitOlderTerm,    // counts copies of an entry of an earlier term
    kReadWithoutQuorum,  // a leader answers reads from what it has
    kAnyDisk,            // votes are counted by machine name, whatever its disk
    kTwoChangesAtOnce,
    kLearnerVotes,      // a new voter is made before it has the log
    kSnapshotKeepsLog,  // installs a snapshot and keeps the entries that it had behind it, whatever their
                        // term
    kVoteForShorterLog
  } fault = Fault::kNone;
};

struct CommittedEntry {
  std::uint64_t index = 0, term = 0;
  std::chrono::milliseconds logged_time{};
  std::string command;  // never empty: entries of the replica itself aren't told
};

struct ReplicaSending {
  Member to;
  ReplicaMessage message;
};

// Everything is added at the end; flags are only set. Order of use: restore the snapshot, then apply
// `committed`, then the rest.
struct ReplicaOut {
  std::vector<ReplicaSending> sends;
  // Records for the disk, all at once, synced. One write at a time: the next comes after OnWritten().
  std::optional<std::vector<std::pair<std::string, std::string>>> write;
  std::optional<std::string> snapshot;  // replaces the state machine's whole state
  std::vector<CommittedEntry> committed;
  std::vector<std::uint64_t> reads;       // tokens of Read() that may be answered by the state as it is now
  std::vector<std::uint64_t> reads_lost;  // ... that were not confirmed: this one leads no more
  bool became_leader = false;             // an entry of its own term is committed: it may serve
  bool lost_leadership = false;
  bool leader_changed = false;     // leader() is another one
  std::vector<std::string> notes;  // for the log
};

class Replica {
 public:
  // `from_disk` is what the disk of `self.life` held (DecodeReplicaState), empty for a new one.
  Replica(Member self, ReplicaState from_disk, ReplicaOptions options, std::uint64_t seed);

  // The state machine's state at the start: restore it before anything else (empty: a new one).
  const std::string& snapshot() const;

  // The voters of epoch 1. Nothing where a configuration is known already.
  void Found(Time now, std::vector<Member> voters, ReplicaOut& out);
  // The newest roster that the agreement has: who should vote. Epochs below the newest told are ignored.
  void SetTarget(Time now, std::uint64_t epoch, std::vector<Member> members, ReplicaOut& out);
  void OnMessage(Time now, const ReplicaMessage& message, ReplicaOut& out);
  void OnWritten(Time now, bool ok,
                 ReplicaOut& out);  // the write is synced, or was refused and is tried again
  // Due at NextDue(), or about every 20 ms.
  void Tick(Time now, ReplicaOut& out);
  std::optional<Time> NextDue() const;  // of gathered entries or reads; nullopt: the regular tick will do

  // A serving leader's. The index under which the command may commit; whether it does is told by the entry
  // that is committed there: of this term() it is this command, of another one it is not. nullopt: not a
  // serving leader, or too many are under way; then nothing was done and never will be.
  std::optional<std::uint64_t> Propose(Time now, std::string command, ReplicaOut& out);
  // Ends in out.reads or out.reads_lost with this token: once a majority has confirmed, after this call, that
  // this one still leads, and all that was committed before is applied. False: not a serving leader.
  bool Read(Time now, std::uint64_t token, ReplicaOut& out);
  // The state machine's state after it has applied all entries up to `index`; the log before it may go.
  void Compact(std::uint64_t index, std::string snapshot, ReplicaOut& out);
  // Hands leadership to a voter that has all; for a process that is about to end, and for a leader whose disk
  // stalls. Does nothing where this one doesn't lead.
  void TransferLeadership(Time now, ReplicaOut& out);

  bool serving() const;  // leads, and an entry of its term is committed
  std::uint64_t term() const;
  std::optional<Member> leader() const;  // that it last heard of in this term
  const std::vector<Member>& voters() const;
  std::uint64_t applied() const;        // highest index told as committed
  std::uint64_t log_begin() const;      // index of the snapshot
  std::size_t log_bytes() const;        // held in memory
  bool behind(const Life& life) const;  // a leader's: this voter lacks more than catch_up_gap
  const Member& self() const;
};

}  // namespace curlewdoor::coordination
