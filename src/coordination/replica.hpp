// One replica of the log: Raft with pre-vote, check-quorum, leadership transfer, read index, snapshots and
// single-voter membership changes. Does no I/O: messages, the time and completed writes go in; messages,
// writes and committed entries come out. Safety depends on majorities of incarnations, never on time. An
// incarnation is a machine name with a disk number: a machine whose disk was wiped is a different one, and
// does not vote until the log makes it a voter.
//
// The first configuration is the membership of the agreement's epoch 1, which is the same on all members.
// After that, configuration entries in the log define the voters. The agreement's newest membership is only
// the target that a leader moves towards: a new member is sent the log first and becomes a voter once it has
// nearly all of it, and voters that left the membership are removed. Changes are made one at a time, each
// committed before the next one starts, and none before an entry of the leader's own term is committed.
//
// A vote and an acknowledgement of entries or of a snapshot are sent only after the disk has synced them. A
// leader counts itself only for the entries that its own disk holds, so a leader with a stalled disk commits
// through the disks of the others.
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

// Timeouts and limits of a replica.
struct ReplicaOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(80);
  Duration election_timeout_min = std::chrono::milliseconds(400),
           election_timeout_max = std::chrono::milliseconds(800);
  // A leader without answers from a majority for this long steps down.
  Duration quorum_timeout = std::chrono::milliseconds(700);
  Duration resend_interval = std::chrono::milliseconds(200);  // for unanswered entries; doubles each time
  Duration resend_interval_max = std::chrono::milliseconds(1000);
  // Group commit: how long entries and reads wait to be batched.
  Duration batch_delay = std::chrono::milliseconds(3);
  std::size_t max_append_bytes = 256u << 10;      // per message
  std::size_t snapshot_chunk_bytes = 128u << 10;  // per message
  std::size_t max_uncommitted = 4096;             // entries; Propose() returns nullopt beyond it
  std::uint64_t max_catch_up_gap = 64;            // entries that a new voter may still be missing
  enum class Fault : std::uint8_t {               // injected faults, which the tests must detect
    kNone,
    kVoteNotWritten,
    kAckBeforeSync,
    kCommitOlderTerm,    // counts copies of an entry of an earlier term
    kReadWithoutQuorum,  // a leader answers reads without confirming its leadership
    kIgnoreDiskNumber,   // counts votes by machine name, whatever the disk number
    kConcurrentVoterChanges,
    kPromoteBeforeCatchUp,  // makes a new member a voter before it has the log
    kKeepLogAfterSnapshot,  // installs a snapshot but keeps its own entries after it, whatever their term
    kVoteForOutdatedLog
  } fault = Fault::kNone;
};

// An entry to be applied to the state machine.
struct CommittedEntry {
  std::uint64_t index = 0, term = 0;
  std::chrono::milliseconds logged_time{};
  std::string command;  // never empty: the replica's own entries are not reported
};

// A message with its destination.
struct OutgoingMessage {
  Member to;
  ReplicaMessage message;
};

// What the caller of a Replica must do. Calls append to the lists and only ever set the flags. Order of use:
// restore the snapshot, then apply `committed`, then handle the rest.
struct ReplicaOutput {
  std::vector<OutgoingMessage> messages;
  // Records to write atomically and sync. One write at a time: the next one follows OnWritten().
  std::optional<RecordBatch> write;
  std::optional<std::string> snapshot;  // replaces the whole state of the state machine
  std::vector<CommittedEntry> committed;
  std::vector<std::uint64_t> confirmed_reads;  // tokens of Read() that may be answered from the current state
  std::vector<std::uint64_t> failed_reads;     // tokens whose read was not confirmed: leadership was lost
  bool became_leader = false;                  // an entry of its own term is committed: it may serve calls
  bool lost_leadership = false;
  bool leader_changed = false;         // leader() has changed
  std::vector<std::string> log_lines;  // for the event log
};

// The Raft state of one member. See the top of this file.
class Replica {
 public:
  // `from_disk` is the state stored on the disk of `self.incarnation` (DecodeReplicaState), empty for a new
  // disk.
  Replica(Member self, ReplicaState from_disk, ReplicaOptions options, std::uint64_t seed);

  // The newest snapshot. At start the state machine must be restored from it first; empty: a new state.
  const std::string& snapshot() const;

  // Sets the first configuration, the voters of epoch 1. Does nothing if a configuration is already known.
  void Bootstrap(Time now, std::vector<Member> voters, ReplicaOutput& out);
  // Sets the agreement's newest membership, which the voters should become. Epochs up to the newest one given
  // are ignored.
  void SetTargetVoters(Time now, std::uint64_t epoch, std::vector<Member> members, ReplicaOutput& out);
  void OnMessage(Time now, const ReplicaMessage& message, ReplicaOutput& out);
  // The write was synced, or failed and is retried.
  void OnWritten(Time now, bool ok, ReplicaOutput& out);
  // To be called at NextDue(), and about every 20 ms.
  void Tick(Time now, ReplicaOutput& out);
  // When batched entries or reads are due to be sent; nullopt: the regular tick is enough.
  std::optional<Time> NextDue() const;

  // Appends a command on a serving leader and returns its index. Whether it commits is shown by the entry
  // that is committed at that index: if that entry has the current term(), it is this command, otherwise it
  // is not. nullopt: this is not a serving leader, it is transferring leadership, a limit is reached, or the
  // command is empty or too long; the command is not appended and never takes effect.
  std::optional<std::uint64_t> Propose(Time now, std::string command, ReplicaOutput& out);
  // Starts a linearizable read. The token is later returned in `confirmed_reads`, once a majority has
  // confirmed after this call that this replica still leads and everything committed before is applied, or in
  // `failed_reads`. False: this is not a serving leader.
  bool Read(Time now, std::uint64_t token, ReplicaOutput& out);
  // Replaces the entries up to `index` by `snapshot`, the state after applying them.
  void Compact(Time now, std::uint64_t index, std::string snapshot, ReplicaOutput& out);
  // Transfers leadership to a voter that has the whole log. Used before a process ends and by a leader whose
  // disk stalls. Does nothing unless this replica leads.
  void TransferLeadership(Time now, ReplicaOutput& out);

  bool serving() const { return role_ == Role::kLeader && commit_index_ >= first_of_term_; }
  std::uint64_t term() const { return term_; }
  std::optional<Member> leader() const { return leader_; }  // of this term, as far as known
  const std::vector<Member>& voters() const { return log_.voters(); }
  std::uint64_t applied() const { return commit_index_; }  // highest index reported as committed
  std::uint64_t log_begin() const { return log_.snapshot_index(); }
  std::uint64_t log_last() const { return log_.last_index(); }
  std::size_t log_bytes() const { return log_.command_bytes(); }  // size of the commands held in memory
  const Member& self() const { return self_; }
  std::uint64_t elections_started() const { return elections_started_; }  // that this replica stood in

 private:
  enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
  struct Peer {  // replication progress of another member, kept by the leader
    Member member;
    std::uint64_t match = 0, next = 1;
    std::uint64_t round = 0;  // highest heartbeat round answered
    bool probing = false;     // one message at a time until it answers
    bool installing = false;  // the snapshot is being sent
    std::uint64_t sent_snapshot_index = 0, snapshot_offset = 0;
    Time last_heard{}, last_sent{}, last_data_sent{}, last_progress{};
    Duration resend_backoff{};
  };
  struct PendingVote {  // a granted vote, sent once the disk has synced it
    std::uint64_t version = 0, term = 0;
    Member to;
  };
  struct PendingRead {  // waits until a majority has answered `round`
    std::uint64_t token = 0, round = 0;
  };
  struct IncomingSnapshot {  // a snapshot being received
    Incarnation from;
    std::uint64_t term = 0, index = 0, size = 0;
    std::string bytes;
  };

  // replica.cpp: messages, elections, followers, writes.
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
  bool IsVoter(const Incarnation& incarnation) const;
  bool CanStandForElection() const;
  template <typename Predicate>
  bool MajorityOf(Predicate&& agrees) const {  // whether `agrees` holds for a majority of the voters
    const auto count = std::count_if(log_.voters().begin(), log_.voters().end(),
                                     [&](const Member& voter) { return agrees(voter.incarnation); });
    return 2 * static_cast<std::size_t>(count) > log_.voters().size();
  }
  bool HasFault(ReplicaOptions::Fault fault) const { return options_.fault == fault; }

  // replica_leader.cpp: replication, reads, membership changes.
  void BecomeLeader(Time now, ReplicaOutput& out);
  void StepDown(Time now, ReplicaOutput& out);
  void AppendAsLeader(Time now, LogEntry entry);
  void ScheduleFlush(Time now);
  void Flush(Time now, ReplicaOutput& out);
  void TickLeader(Time now, ReplicaOutput& out);
  void ContinueTransfer(Time now, ReplicaOutput& out);
  void SendTimeoutNow(ReplicaOutput& out) const;
  void Resend(Time now, Peer& peer, ReplicaOutput& out);
  void Probe(Time now, Peer& peer, ReplicaOutput& out);  // sends one message starting at `next`
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
  Peer* FindPeer(const Incarnation& incarnation);
  bool HeardRecently(Time now, const Incarnation& incarnation) const;

  const Member self_;
  const ReplicaOptions options_;
  std::mt19937_64 random_;

  std::uint64_t term_ = 0;
  std::optional<Incarnation> voted_for_;
  Log log_;
  std::uint64_t commit_index_ = 0;
  Role role_ = Role::kFollower;
  std::optional<Member> leader_;
  std::optional<Time> leader_last_heard_, election_deadline_;
  std::vector<Incarnation> votes_;
  bool transfer_requested_ = false;  // this candidacy was requested by the leader
  std::uint64_t elections_started_ = 0;

  // As a follower: entries up to matched_index_ are known to match the leader's log.
  std::uint64_t matched_index_ = 0, acknowledged_index_ = 0, leader_round_ = 0;
  std::optional<IncomingSnapshot> incoming_;

  // Writes. Versions count changes of the hard state.
  std::uint64_t hard_state_version_ = 0, writing_version_ = 0, written_version_ = 0;
  std::uint64_t dirty_from_ = 0;  // first entry not covered by a started write; 0: none
  std::uint64_t writing_index_ = 0, written_index_ = 0, writing_from_ = 0;
  bool snapshot_dirty_ = false, writing_snapshot_ = false;
  bool writing_ = false;
  Time write_started_at_{}, write_retry_at_{};
  std::vector<PendingVote> pending_votes_;

  // As a leader.
  std::vector<Peer> peers_;  // all other voters and future voters
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
