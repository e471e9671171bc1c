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

#include <algorithm>
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
#include "coordination/log.hpp"
#include "coordination/replica_message.hpp"
#include "coordination/replica_records.hpp"

namespace curlewdoor::coordination {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using agreement::Incarnation;
using agreement::Member;

struct ReplicaOptions {
  Duration heartbeat = std::chrono::milliseconds(80);
  Duration election_least = std::chrono::milliseconds(400), election_most = std::chrono::milliseconds(800);
  Duration quorum_lost =
      std::chrono::milliseconds(700);                // a leader that hears no majority for so long steps down
  Duration resend = std::chrono::milliseconds(200);  // entries without an answer; the pause doubles
  Duration resend_most = std::chrono::milliseconds(1000);
  Duration gather = std::chrono::milliseconds(3);  // group commit: entries and reads wait so long for more
  std::size_t append_bytes = 256u << 10;           // of one message
  std::size_t snapshot_chunk = 128u << 10;         // bytes of one message
  std::size_t uncommitted = 4096;                  // entries; Propose() beyond gives nullopt
  std::uint64_t catch_up_gap = 64;                 // entries that a new voter may lack
  enum class Fault : std::uint8_t {                // for tests of the tests
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
  std::optional<Records> write;
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
  // `from_disk` is what the disk of `self.incarnation` held (DecodeReplicaState), empty for a new one.
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
  void Compact(Time now, std::uint64_t index, std::string snapshot, ReplicaOut& out);
  // Hands leadership to a voter that has all; for a process that is about to end, and for a leader whose disk
  // stalls. Does nothing where this one doesn't lead.
  void TransferLeadership(Time now, ReplicaOut& out);

  bool serving() const { return role_ == Role::kLeader && commit_ >= first_of_term_; }
  std::uint64_t term() const { return term_; }
  std::optional<Member> leader() const { return leader_; }  // that it last heard of in this term
  const std::vector<Member>& voters() const { return log_.voters(); }
  std::uint64_t applied() const { return commit_; }  // highest index told as committed
  std::uint64_t log_begin() const { return log_.begin(); }
  std::uint64_t log_last() const { return log_.last(); }
  std::size_t log_bytes() const { return log_.bytes(); }  // held in memory
  const Member& self() const { return self_; }
  std::uint64_t elections() const { return elections_; }  // that this one stood in

 private:
  enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
  struct Peer {  // as a leader sees it
    Member member;
    std::uint64_t match = 0, next = 1;
    std::uint64_t round = 0;  // the highest that it has answered
    bool probing = false;     // one message at a time, until it has answered
    bool installing = false;  // it is sent the snapshot
    std::uint64_t snapshot_index = 0, snapshot_offset = 0;
    Time heard{}, sent{}, data_sent{}, progressed{};
    Duration resend_pause{};
  };
  struct WaitingVote {  // until the disk holds the promise
    std::uint64_t version = 0, term = 0;
    Member to;
  };
  struct WaitingRead {
    std::uint64_t token = 0, round = 0;
  };
  struct Incoming {  // a snapshot that is being received
    Incarnation from;
    std::uint64_t term = 0, index = 0, size = 0;
    std::string bytes;
  };

  // replica.cpp: messages, elections, following, the disk.
  void Handle(Time now, const ReplicaMessage& m, ReplicaOut& out);
  void On(Time now, const ReplicaMessage& m, const RequestVote& request, ReplicaOut& out);
  void On(Time now, const ReplicaMessage& m, const Vote& vote, ReplicaOut& out);
  void On(Time now, const ReplicaMessage& m, const AppendEntries& append, ReplicaOut& out);
  void On(Time now, const ReplicaMessage& m, const Appended& appended, ReplicaOut& out);
  void On(Time now, const ReplicaMessage& m, const InstallSnapshot& install, ReplicaOut& out);
  void On(Time now, const ReplicaMessage& m, const SnapshotInstalled& installed, ReplicaOut& out);
  void On(Time now, const ReplicaMessage& m, const TimeoutNow& timeout, ReplicaOut& out);
  bool HoldsBack(Time now, const ReplicaMessage& m, const RequestVote& request) const;
  bool TakeEntries(const AppendEntries& append, ReplicaOut& out);
  void TakeSnapshot(Time now, const ReplicaMessage& m, const InstallSnapshot& install, ReplicaOut& out);
  void Send(const Member& to, ReplicaBody body, ReplicaOut& out);
  void SendInTerm(const Member& to, std::uint64_t term, ReplicaBody body, ReplicaOut& out);
  void BecomeFollower(Time now, std::uint64_t term, ReplicaOut& out);
  void SetLeader(std::optional<Member> leader, ReplicaOut& out);
  void Stand(Time now, bool pre_vote, bool transfer, ReplicaOut& out);
  void CountVotes(Time now, ReplicaOut& out);
  void ResetElection(Time now);
  void Acknowledge(ReplicaOut& out);
  void Commit(std::uint64_t index, ReplicaOut& out);
  void Changed() { ++version_; }
  void StartWrite(Time now, ReplicaOut& out);
  void NoteTruncated(std::uint64_t last);
  bool IsVoter(const Incarnation& life) const;
  bool MayStand() const;
  template <typename Predicate>
  bool MajorityOf(Predicate&& agrees) const {  // of the voters
    const auto count = std::count_if(log_.voters().begin(), log_.voters().end(),
                                     [&](const Member& voter) { return agrees(voter.incarnation); });
    return 2 * static_cast<std::size_t>(count) > log_.voters().size();
  }
  bool Does(ReplicaOptions::Fault fault) const { return options_.fault == fault; }

  // replica_leader.cpp: replication, reads, changes of voters.
  void Lead(Time now, ReplicaOut& out);
  void StepDown(Time now, ReplicaOut& out);
  void AppendOwn(Time now, LogEntry entry);
  void Gather(Time now);
  void Flush(Time now, ReplicaOut& out);
  void TickLeader(Time now, ReplicaOut& out);
  void ContinueTransfer(Time now, ReplicaOut& out);
  void AskToStand(ReplicaOut& out) const;
  void SendAgain(Time now, Peer& peer, ReplicaOut& out);
  void Probe(Time now, Peer& peer, ReplicaOut& out);  // sends one message from `next` on
  void Replicate(Time now, Peer& peer, ReplicaOut& out);
  void SendEntries(Time now, Peer& peer, ReplicaOut& out);
  void SendHeartbeat(Time now, Peer& peer, ReplicaOut& out);
  void SendChunk(Time now, Peer& peer, ReplicaOut& out);
  void AdvanceCommit(Time now, ReplicaOut& out);
  void ConfirmReads(ReplicaOut& out);
  void LoseReads(ReplicaOut& out);
  void RefreshPeers(Time now);
  void SteerVoters(Time now, ReplicaOut& out);
  bool MayChangeVoters() const;
  void ChangeVoters(Time now, std::vector<Member> voters, ReplicaOut& out);
  Peer* FindPeer(const Incarnation& life);
  bool HeardOf(Time now, const Incarnation& life) const;

  const Member self_;
  const ReplicaOptions options_;
  std::mt19937_64 random_;

  std::uint64_t term_ = 0;
  std::optional<Incarnation> voted_for_;
  Log log_;
  std::uint64_t commit_ = 0;
  Role role_ = Role::kFollower;
  std::optional<Member> leader_;
  std::optional<Time> leader_heard_, election_due_;
  std::vector<Incarnation> votes_;
  bool transfer_vote_ = false;  // this candidacy was ordered by the leader
  std::uint64_t elections_ = 0;

  // A follower's: the entries up to here are the leader's.
  std::uint64_t verified_ = 0, acknowledged_ = 0, leader_round_ = 0;
  std::optional<Incoming> incoming_;

  // The disk. Versions count changes of the hard state.
  std::uint64_t version_ = 0, writing_version_ = 0, written_version_ = 0;
  std::uint64_t dirty_from_ = 0;  // the first entry that no write has begun to hold; 0: none
  std::uint64_t writing_last_ = 0, written_last_ = 0, writing_from_ = 0;
  bool snapshot_dirty_ = false, writing_snapshot_ = false;
  bool writing_ = false;
  Time write_began_{}, write_after_{};
  std::vector<WaitingVote> waiting_votes_;

  // A leader's.
  std::vector<Peer> peers_;  // all others that vote or are to
  std::uint64_t first_of_term_ = 0;
  std::uint64_t round_ = 0;
  std::vector<std::uint64_t> gathered_reads_;
  std::vector<WaitingRead> waiting_reads_;
  std::optional<Time> flush_due_;
  std::chrono::milliseconds time_base_{};
  Time time_base_at_{}, led_since_{};
  std::optional<Time> transfer_until_;
  bool transfer_sent_ = false;

  std::uint64_t target_epoch_ = 0;
  std::vector<Member> target_;
};

}  // namespace curlewdoor::coordination
