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
using agreement::Life;
using agreement::Member;

struct ReplicaOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(80);
  Duration election_timeout_min = std::chrono::milliseconds(400),
           election_timeout_max = std::chrono::milliseconds(800);
  Duration quorum_timeout =
      std::chrono::milliseconds(700);  // a leader that hears no majority for so long steps down
  Duration resend_interval = std::chrono::milliseconds(200);  // entries without an answer; the pause doubles
  Duration resend_interval_max = std::chrono::milliseconds(1000);
  Duration batch_delay =
      std::chrono::milliseconds(3);               // group commit: entries and reads wait so long for more
  std::size_t max_append_bytes = 256u << 10;      // of one message
  std::size_t snapshot_chunk_bytes = 128u << 10;  // bytes of one message
  std::size_t max_uncommitted = 4096;             // entries; Propose() beyond gives nullopt
  std::uint64_t max_catch_up_gap = 64;            // entries that a new voter may lack
  enum class Fault : std::uint8_t {               // for tests of the tests
    kNone,
    kVoteNotWritten,
    kAckBeforeSync,
    kCommitOlderTerm,    // counts copies of an entry of an earlier term
    kReadWithoutQuorum,  // a leader answers reads from what it has
    kIgnoreDiskNumber,   // votes are counted by machine name, whatever its disk
    kConcurrentVoterChanges,
    kPromoteBeforeCatchUp,  // a new voter is made before it has the log
    kKeepLogAfterSnapshot,  // installs a snapshot and keeps the entries that it had behind it, whatever their
                            // term
    kVoteForOutdatedLog
  } fault = Fault::kNone;
};

struct CommittedEntry {
  std::uint64_t index = 0, term = 0;
  std::chrono::milliseconds logged_time{};
  std::string command;  // never empty: entries of the replica itself aren't told
};

struct OutgoingMessage {
  Member to;
  ReplicaMessage message;
};

// Everything is added at the end; flags are only set. Order of use: restore the snapshot, then apply
// `committed`, then the rest.
struct ReplicaOutput {
  std::vector<OutgoingMessage> messages;
  // Records for the disk, all at once, synced. One write at a time: the next comes after OnWritten().
  std::optional<RecordBatch> write;
  std::optional<std::string> snapshot;  // replaces the state machine's whole state
  std::vector<CommittedEntry> committed;
  std::vector<std::uint64_t>
      confirmed_reads;                      // tokens of Read() that may be answered by the state as it is now
  std::vector<std::uint64_t> failed_reads;  // ... that were not confirmed: this one leads no more
  bool became_leader = false;               // an entry of its own term is committed: it may serve
  bool lost_leadership = false;
  bool leader_changed = false;         // leader() is another one
  std::vector<std::string> log_lines;  // for the log
};

class Replica {
 public:
  // `from_disk` is what the disk of `self.life` held (DecodeReplicaState), empty for a new one.
  Replica(Member self, ReplicaState from_disk, ReplicaOptions options, std::uint64_t seed);

  // The state machine's state at the start: restore it before anything else (empty: a new one).
  const std::string& snapshot() const;

  // The voters of epoch 1. Nothing where a configuration is known already.
  void Bootstrap(Time now, std::vector<Member> voters, ReplicaOutput& out);
  // The newest roster that the agreement has: who should vote. Epochs below the newest told are ignored.
  void SetTargetVoters(Time now, std::uint64_t epoch, std::vector<Member> members, ReplicaOutput& out);
  void OnMessage(Time now, const ReplicaMessage& message, ReplicaOutput& out);
  void OnWritten(Time now, bool ok,
                 ReplicaOutput& out);  // the write is synced, or was refused and is tried again
  // Due at NextDue(), or about every 20 ms.
  void Tick(Time now, ReplicaOutput& out);
  std::optional<Time> NextDue() const;  // of gathered entries or reads; nullopt: the regular tick will do

  // A serving leader's. The index under which the command may commit; whether it does is told by the entry
  // that is committed there: of this term() it is this command, of another one it is not. nullopt: not a
  // serving leader, or too many are under way; then nothing was done and never will be.
  std::optional<std::uint64_t> Propose(Time now, std::string command, ReplicaOutput& out);
  // Ends in out.reads or out.reads_lost with this token: once a majority has confirmed, after this call, that
  // this one still leads, and all that was committed before is applied. False: not a serving leader.
  bool Read(Time now, std::uint64_t token, ReplicaOutput& out);
  // The state machine's state after it has applied all entries up to `index`; the log before it may go.
  void Compact(Time now, std::uint64_t index, std::string snapshot, ReplicaOutput& out);
  // Hands leadership to a voter that has all; for a process that is about to end, and for a leader whose disk
  // stalls. Does nothing where this one doesn't lead.
  void TransferLeadership(Time now, ReplicaOutput& out);

  bool serving() const { return role_ == Role::kLeader && commit_index_ >= first_of_term_; }
  std::uint64_t term() const { return term_; }
  std::optional<Member> leader() const { return leader_; }  // that it last heard of in this term
  const std::vector<Member>& voters() const { return log_.voters(); }
  std::uint64_t applied() const { return commit_index_; }  // highest index told as committed
  std::uint64_t log_begin() const { return log_.snapshot_index(); }
  std::uint64_t log_last() const { return log_.last_index(); }
  std::size_t log_bytes() const { return log_.command_bytes(); }  // held in memory
  const Member& self() const { return self_; }
  std::uint64_t elections_started() const { return elections_started_; }  // that this one stood in

 private:
  enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
  struct Peer {  // as a leader sees it
    Member member;
    std::uint64_t match = 0, next = 1;
    std::uint64_t round = 0;  // the highest that it has answered
    bool probing = false;     // one message at a time, until it has answered
    bool installing = false;  // it is sent the snapshot
    std::uint64_t sent_snapshot_index = 0, snapshot_offset = 0;
    Time last_heard{}, last_sent{}, last_data_sent{}, last_progress{};
    Duration resend_backoff{};
  };
  struct PendingVote {  // until the disk holds the promise
    std::uint64_t version = 0, term = 0;
    Member to;
  };
  struct PendingRead {
    std::uint64_t token = 0, round = 0;
  };
  struct IncomingSnapshot {  // a snapshot that is being received
    Life from;
    std::uint64_t term = 0, index = 0, size = 0;
    std::string bytes;
  };

  // replica.cpp: messages, elections, following, the disk.
  void Dispatch(Time now, const ReplicaMessage& m, ReplicaOutput& out);
  void Handle(Time now, const ReplicaMessage& m, const RequestVote& request, ReplicaOutput& out);
  void Handle(Time now, const ReplicaMessage& m, const VoteResponse& vote, ReplicaOutput& out);
  void Handle(Time now, const ReplicaMessage& m, const AppendEntries& append, ReplicaOutput& out);
  void Handle(Time now, const ReplicaMessage& m, const AppendResponse& appended, ReplicaOutput& out);
  void Handle(Time now, const ReplicaMessage& m, const InstallSnapshot& install, ReplicaOutput& out);
  void Handle(Time now, const ReplicaMessage& m, const InstallSnapshotResponse& installed,
              ReplicaOutput& out);
  void Handle(Time now, const ReplicaMessage& m, const TimeoutNow& timeout, ReplicaOutput& out);
  bool IgnoresVoteRequest(Time now, const ReplicaMessage& m, const RequestVote& request) const;
  bool AcceptEntries(const AppendEntries& append, ReplicaOutput& out);
  void AcceptSnapshot(Time now, const ReplicaMessage& m, const InstallSnapshot& install, ReplicaOutput& out);
  void Send(const Member& to, ReplicaBody body, ReplicaOutput& out);
  void SendWithTerm(const Member& to, std::uint64_t term, ReplicaBody body, ReplicaOutput& out);
  void BecomeFollower(Time now, std::uint64_t term, ReplicaOutput& out);
  void SetLeader(std::optional<Member> leader, ReplicaOutput& out);
  void StartElection(Time now, bool pre_vote, bool transfer, ReplicaOutput& out);
  void CountVotes(Time now, ReplicaOutput& out);
  void ResetElectionTimer(Time now);
  void AcknowledgeEntries(ReplicaOutput& out);
  void Commit(std::uint64_t index, ReplicaOutput& out);
  void MarkHardStateChanged() { ++hard_state_version_; }
  void StartWrite(Time now, ReplicaOutput& out);
  void OnLogTruncated(std::uint64_t last);
  bool IsVoter(const Life& life) const;
  bool CanStandForElection() const;
  template <typename Predicate>
  bool MajorityOf(Predicate&& agrees) const {  // of the voters
    const auto count = std::count_if(log_.voters().begin(), log_.voters().end(),
                                     [&](const Member& voter) { return agrees(voter.life); });
    return 2 * static_cast<std::size_t>(count) > log_.voters().size();
  }
  bool HasFault(ReplicaOptions::Fault fault) const { return options_.fault == fault; }

  // replica_leader.cpp: replication, reads, changes of voters.
  void BecomeLeader(Time now, ReplicaOutput& out);
  void StepDown(Time now, ReplicaOutput& out);
  void AppendAsLeader(Time now, LogEntry entry);
  void ScheduleFlush(Time now);
  void Flush(Time now, ReplicaOutput& out);
  void TickLeader(Time now, ReplicaOutput& out);
  void ContinueTransfer(Time now, ReplicaOutput& out);
  void SendTimeoutNow(ReplicaOutput& out) const;
  void Resend(Time now, Peer& peer, ReplicaOutput& out);
  void Probe(Time now, Peer& peer, ReplicaOutput& out);  // sends one message from `next` on
  void Replicate(Time now, Peer& peer, ReplicaOutput& out);
  void SendEntries(Time now, Peer& peer, ReplicaOutput& out);
  void SendHeartbeat(Time now, Peer& peer, ReplicaOutput& out);
  void SendSnapshotChunk(Time now, Peer& peer, ReplicaOutput& out);
  void AdvanceCommit(Time now, ReplicaOutput& out);
  void ConfirmReads(ReplicaOutput& out);
  void FailReads(ReplicaOutput& out);
  void UpdatePeers(Time now);
  void ReconcileVoters(Time now, ReplicaOutput& out);
  bool CanChangeVoters() const;
  void ChangeVoters(Time now, std::vector<Member> voters, ReplicaOutput& out);
  Peer* FindPeer(const Life& life);
  bool HeardRecently(Time now, const Life& life) const;

  const Member self_;
  const ReplicaOptions options_;
  std::mt19937_64 random_;

  std::uint64_t term_ = 0;
  std::optional<Life> voted_for_;
  Log log_;
  std::uint64_t commit_index_ = 0;
  Role role_ = Role::kFollower;
  std::optional<Member> leader_;
  std::optional<Time> leader_last_heard_, election_deadline_;
  std::vector<Life> votes_;
  bool transfer_requested_ = false;  // this candidacy was ordered by the leader
  std::uint64_t elections_started_ = 0;

  // A follower's: the entries up to here are the leader's.
  std::uint64_t matched_index_ = 0, acknowledged_index_ = 0, leader_round_ = 0;
  std::optional<IncomingSnapshot> incoming_;

  // The disk. Versions count changes of the hard state.
  std::uint64_t hard_state_version_ = 0, writing_version_ = 0, written_version_ = 0;
  std::uint64_t dirty_from_ = 0;  // the first entry that no write has begun to hold; 0: none
  std::uint64_t writing_index_ = 0, written_index_ = 0, writing_from_ = 0;
  bool snapshot_dirty_ = false, writing_snapshot_ = false;
  bool writing_ = false;
  Time write_started_at_{}, write_retry_at_{};
  std::vector<PendingVote> pending_votes_;

  // A leader's.
  std::vector<Peer> peers_;  // all others that vote or are to
  std::uint64_t first_of_term_ = 0;
  std::uint64_t round_ = 0;
  std::vector<std::uint64_t> batched_reads_;
  std::vector<PendingRead> pending_reads_;
  std::optional<Time> flush_due_;
  std::chrono::milliseconds time_base_{};
  Time time_base_taken_at_{}, leader_since_{};
  std::optional<Time> transfer_deadline_;
  bool transfer_sent_ = false;

  std::uint64_t target_epoch_ = 0;
  std::vector<Member> target_voters_;
};

}  // namespace curlewdoor::coordination
