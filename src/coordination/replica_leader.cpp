// The leader's part of Replica: replication, reads and membership changes.
#include <algorithm>
#include <functional>
#include <utility>

#include "coordination/replica.hpp"

namespace curlewdoor::coordination {
namespace {

constexpr std::uint64_t kMaxInFlightEntries = 1024;  // unanswered entries per peer
constexpr auto kTransferTimeout = std::chrono::milliseconds(400);
constexpr auto kDiskStallTimeout = std::chrono::milliseconds(1000);  // after which leadership is transferred

}  // namespace

void Replica::BecomeLeader(Time now, ReplicaOutput& out) {
  role_ = Role::kLeader;
  SetLeader(self_, out);
  leader_since_ = now;
  transfer_deadline_.reset();
  flush_due_.reset();
  round_ = 0;
  batched_reads_.clear();
  pending_reads_.clear();
  peers_.clear();
  time_base_ = log_.TimeAt(log_.last_index());
  time_base_taken_at_ = now;
  UpdatePeers(now);
  out.log_lines.push_back("became leader of term " + std::to_string(term_) + ", first entry " +
                          std::to_string(log_.last_index() + 1));
  // The first entry of the term carries the voters, so that followers without a configuration learn it.
  first_of_term_ = log_.last_index() + 1;
  LogEntry first;
  first.voters = log_.voters();
  AppendAsLeader(now, std::move(first));
  Flush(now, out);
}

void Replica::StepDown(Time now, ReplicaOutput& out) {
  role_ = Role::kFollower;
  SetLeader(std::nullopt, out);
  out.log_lines.push_back("stopped leading term " + std::to_string(term_) + ": stepped down");
  out.lost_leadership = true;
  FailReads(out);
  peers_.clear();
  flush_due_.reset();
  matched_index_ = commit_index_;
  ResetElectionTimer(now);
}

void Replica::AppendAsLeader(Time now, LogEntry entry) {
  entry.term = term_;
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - time_base_taken_at_);
  entry.logged_time = std::max(log_.TimeAt(log_.last_index()), time_base_ + since);
  log_.Append(std::move(entry));
  if (dirty_from_ == 0) dirty_from_ = log_.last_index();
}

std::optional<std::uint64_t> Replica::Propose(Time now, std::string command, ReplicaOutput& out) {
  const bool room = log_.last_index() - commit_index_ < options_.max_uncommitted &&
                    log_.last_index() - log_.snapshot_index() + 1 < kLogSlots;
  if (!serving() || transfer_deadline_ || !room || command.empty() || command.size() > kMaxCommandBytes)
    return std::nullopt;
  LogEntry entry;
  entry.command = std::move(command);
  AppendAsLeader(now, std::move(entry));
  ScheduleFlush(now);
  if (now >= *flush_due_) Flush(now, out);
  return log_.last_index();
}

bool Replica::Read(Time now, std::uint64_t token, ReplicaOutput& out) {
  if (!serving()) return false;
  if (HasFault(ReplicaOptions::Fault::kReadWithoutQuorum)) {
    out.confirmed_reads.push_back(token);
    return true;
  }
  batched_reads_.push_back(token);
  ScheduleFlush(now);
  if (now >= *flush_due_) Flush(now, out);
  return true;
}

void Replica::Compact(Time now, std::uint64_t index, std::string snapshot, ReplicaOutput& out) {
  if (index > commit_index_ || index <= log_.snapshot_index()) return;
  log_.Compact(index, std::move(snapshot));
  if (dirty_from_ != 0) dirty_from_ = std::max(dirty_from_, index + 1);
  if (dirty_from_ > log_.last_index()) dirty_from_ = 0;
  snapshot_dirty_ = true;
  MarkHardStateChanged();
  StartWrite(now, out);
}

// Propose() refuses commands during a transfer, so that a voter can catch up completely.
void Replica::TransferLeadership(Time now, ReplicaOutput& out) {
  if (role_ != Role::kLeader || transfer_deadline_) return;
  transfer_deadline_ = now + kTransferTimeout;
  transfer_sent_ = false;
  ContinueTransfer(now, out);
}

void Replica::ContinueTransfer(Time now, ReplicaOutput& out) {
  if (role_ != Role::kLeader || !transfer_deadline_) return;
  if (now >= *transfer_deadline_) return transfer_deadline_.reset();
  if (transfer_sent_) return;
  const auto able = std::find_if(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    return peer.match == log_.last_index() && IsVoter(peer.member.incarnation) &&
           HeardRecently(now, peer.member.incarnation);
  });
  if (able == peers_.end()) return;
  transfer_sent_ = true;
  out.log_lines.push_back("transferring leadership to " + able->member.incarnation.node);
  Send(able->member, TimeoutNow{}, out);
}

// Asks the most up-to-date voter to stand for election, so that the others need not wait for their election
// timeouts. Sent by a leader that stops leading because it was removed, or because it has lost contact with a
// majority but may still be heard.
void Replica::SendTimeoutNow(ReplicaOutput& out) const {
  const Peer* best = nullptr;
  for (const Peer& peer : peers_)
    if (IsVoter(peer.member.incarnation) && (best == nullptr || peer.match > best->match)) best = &peer;
  if (best != nullptr)
    out.messages.push_back({best->member, {self_, best->member.incarnation, term_, TimeoutNow{}}});
}

// ---- Batching and sending ----

void Replica::ScheduleFlush(Time now) {
  if (!flush_due_) flush_due_ = now + options_.batch_delay;
}

// Sends the current batch: reads as a heartbeat round, entries to the disk and to all peers.
void Replica::Flush(Time now, ReplicaOutput& out) {
  flush_due_.reset();
  if (!batched_reads_.empty()) {
    ++round_;
    for (const std::uint64_t token : batched_reads_) pending_reads_.push_back({token, round_});
    batched_reads_.clear();
    for (Peer& peer : peers_)
      if (peer.next > log_.last_index() || peer.probing || peer.installing) SendHeartbeat(now, peer, out);
  }
  for (Peer& peer : peers_) Replicate(now, peer, out);
  StartWrite(now, out);
  AdvanceCommit(now, out);
  ConfirmReads(out);
}

void Replica::TickLeader(Time now, ReplicaOutput& out) {
  if (flush_due_ && now >= *flush_due_) Flush(now, out);
  const bool heard = MajorityOf([&](const Incarnation& incarnation) {
    return incarnation == self_.incarnation || HeardRecently(now, incarnation);
  });
  if (!heard && now - leader_since_ >= options_.quorum_timeout) {
    SendTimeoutNow(out);
    return BecomeFollower(now, term_, out);
  }
  ContinueTransfer(now, out);
  for (Peer& peer : peers_) {
    const bool unanswered = peer.next > peer.match + 1 || peer.probing || peer.installing;
    if (unanswered && now - std::max(peer.last_progress, peer.last_data_sent) >= peer.resend_backoff)
      Resend(now, peer, out);
    if (now - peer.last_sent >= options_.heartbeat_interval) SendHeartbeat(now, peer, out);
  }
  const bool disk_stalled = writing_ && now - write_started_at_ >= kDiskStallTimeout;
  if (disk_stalled) TransferLeadership(now, out);
  ReconcileVoters(now, out);
}

// Restarts after the last entry the peer is known to hold, one message at a time until it answers.
void Replica::Resend(Time now, Peer& peer, ReplicaOutput& out) {
  peer.resend_backoff = std::min(2 * peer.resend_backoff, options_.resend_interval_max);
  peer.next = peer.match + 1;
  Probe(now, peer, out);
}

void Replica::Probe(Time now, Peer& peer, ReplicaOutput& out) {
  peer.probing = true;
  peer.installing = false;
  if (peer.next <= log_.snapshot_index()) return SendSnapshotChunk(now, peer, out);
  if (peer.next <= log_.last_index()) SendEntries(now, peer, out);
}

void Replica::Replicate(Time now, Peer& peer, ReplicaOutput& out) {
  if (peer.probing || peer.installing) return;
  if (peer.next <= log_.snapshot_index()) return SendSnapshotChunk(now, peer, out);
  while (peer.next <= log_.last_index() && peer.next - peer.match <= kMaxInFlightEntries && !peer.probing)
    SendEntries(now, peer, out);
}

void Replica::SendEntries(Time now, Peer& peer, ReplicaOutput& out) {
  AppendEntries append;
  append.previous_index = peer.next - 1;
  append.previous_term = log_.TermAt(peer.next - 1);
  append.commit = commit_index_;
  append.round = round_;
  std::size_t size = 0;
  while (peer.next <= log_.last_index() && (append.entries.empty() || size < options_.max_append_bytes)) {
    const LogEntry& entry = log_.At(peer.next++);
    size += entry.command.size() + 32;
    append.entries.push_back(entry);
  }
  peer.last_sent = peer.last_data_sent = now;
  Send(peer.member, std::move(append), out);
}

void Replica::SendHeartbeat(Time now, Peer& peer, ReplicaOutput& out) {
  const std::uint64_t known = std::max(peer.match, log_.snapshot_index());
  peer.last_sent = now;
  // The peer's log is unknown, so there is no common entry to refer to.
  if (peer.match < log_.snapshot_index()) {
    Send(peer.member, AppendEntries{0, 0, 0, round_, {}}, out);
    return;
  }
  Send(peer.member, AppendEntries{known, log_.TermAt(known), std::min(commit_index_, known), round_, {}},
       out);
}

void Replica::SendSnapshotChunk(Time now, Peer& peer, ReplicaOutput& out) {
  const std::string& bytes = log_.snapshot();
  if (peer.sent_snapshot_index != log_.snapshot_index()) {
    peer.sent_snapshot_index = log_.snapshot_index();
    peer.snapshot_offset = 0;
  }
  InstallSnapshot install;
  install.index = log_.snapshot_index();
  install.last_term = log_.TermAt(log_.snapshot_index());
  install.time = log_.snapshot_time();
  install.voters = log_.snapshot_voters();
  install.size = bytes.size();
  install.offset = std::min<std::uint64_t>(peer.snapshot_offset, bytes.size());
  install.round = round_;
  install.bytes = bytes.substr(install.offset, options_.snapshot_chunk_bytes);
  peer.installing = true;
  peer.last_sent = peer.last_data_sent = now;
  Send(peer.member, std::move(install), out);
}

void Replica::Handle(Time now, const ReplicaMessage& m, const AppendResponse& appended, ReplicaOutput& out) {
  Peer* peer = role_ == Role::kLeader ? FindPeer(m.from.incarnation) : nullptr;
  if (peer == nullptr) return;
  peer->last_heard = now;
  peer->round = std::max(peer->round, appended.round);
  if (!appended.ok) {
    if (appended.index < peer->match || appended.index >= peer->next) return;  // outdated
    peer->next = std::min(peer->next, appended.index + 1);
    return Probe(now, *peer, out);
  }
  const std::uint64_t index = std::min(appended.index, log_.last_index());
  if (index > peer->match) {
    peer->match = index;
    peer->last_progress = now;
    peer->resend_backoff = options_.resend_interval;
    peer->probing = peer->installing = false;
    peer->next = std::max(peer->next, index + 1);
    AdvanceCommit(now, out);
  }
  ConfirmReads(out);
  ContinueTransfer(now, out);
  if (role_ == Role::kLeader) Replicate(now, *peer, out);
}

void Replica::Handle(Time now, const ReplicaMessage& m, const InstallSnapshotResponse& installed,
                     ReplicaOutput& out) {
  Peer* peer = role_ == Role::kLeader ? FindPeer(m.from.incarnation) : nullptr;
  if (peer == nullptr) return;
  peer->last_heard = now;
  peer->round = std::max(peer->round, installed.round);
  ConfirmReads(out);
  if (!peer->installing || installed.index != log_.snapshot_index()) return;
  const bool complete = installed.offset >= log_.snapshot().size();
  if (complete) return;  // it sends AppendResponse once the snapshot is synced
  peer->sent_snapshot_index = installed.index;
  peer->snapshot_offset = installed.offset;
  SendSnapshotChunk(now, *peer, out);
}

// ---- Commit and reads ----

// Only an entry of the leader's own term is committed by counting copies; earlier entries are committed with
// it.
void Replica::AdvanceCommit(Time now, ReplicaOutput& out) {
  if (role_ != Role::kLeader) return;
  const bool was_serving = serving();
  std::vector<std::uint64_t> replicated;
  for (const Member& voter : log_.voters()) {
    const Peer* peer = FindPeer(voter.incarnation);
    const std::uint64_t own =
        HasFault(ReplicaOptions::Fault::kAckBeforeSync) ? log_.last_index() : written_index_;
    replicated.push_back(voter.incarnation == self_.incarnation ? own : peer != nullptr ? peer->match : 0);
  }
  std::sort(replicated.begin(), replicated.end(), std::greater<>());
  const std::uint64_t by_majority = replicated[replicated.size() / 2];
  const bool own_term = by_majority > commit_index_ && log_.TermAt(by_majority) == term_;
  if (own_term || HasFault(ReplicaOptions::Fault::kCommitOlderTerm)) Commit(by_majority, out);
  if (!was_serving && serving()) out.became_leader = true;
  // A leader that removed itself from the voters leads until the removal is committed.
  if (log_.voters_index() <= commit_index_ && !IsVoter(self_.incarnation)) {
    SendTimeoutNow(out);
    BecomeFollower(now, term_, out);
  }
}

void Replica::ConfirmReads(ReplicaOutput& out) {
  while (!pending_reads_.empty()) {
    const std::uint64_t round = pending_reads_.front().round;
    const bool confirmed = MajorityOf([&](const Incarnation& incarnation) {
      const Peer* peer = FindPeer(incarnation);
      return incarnation == self_.incarnation || (peer != nullptr && peer->round >= round);
    });
    if (!confirmed) return;
    const auto later = std::find_if(pending_reads_.begin(), pending_reads_.end(),
                                    [&](const PendingRead& each) { return each.round > round; });
    for (auto it = pending_reads_.begin(); it != later; ++it) out.confirmed_reads.push_back(it->token);
    pending_reads_.erase(pending_reads_.begin(), later);
  }
}

void Replica::FailReads(ReplicaOutput& out) {
  for (const std::uint64_t token : batched_reads_) out.failed_reads.push_back(token);
  for (const PendingRead& read : pending_reads_) out.failed_reads.push_back(read.token);
  batched_reads_.clear();
  pending_reads_.clear();
}

// ---- Voters ----

Replica::Peer* Replica::FindPeer(const Incarnation& incarnation) {
  const auto found = std::find_if(peers_.begin(), peers_.end(),
                                  [&](const Peer& peer) { return peer.member.incarnation == incarnation; });
  return found == peers_.end() ? nullptr : &*found;
}

bool Replica::HeardRecently(Time now, const Incarnation& incarnation) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    return peer.member.incarnation == incarnation && peer.last_heard != Time{} &&
           now - peer.last_heard < options_.quorum_timeout;
  });
}

// Keeps one peer for each other voter and each member that is to become one.
void Replica::UpdatePeers(Time now) {
  const auto is_needed = [&](const Incarnation& incarnation) {
    const auto same = [&](const Member& each) { return each.incarnation == incarnation; };
    return std::any_of(target_voters_.begin(), target_voters_.end(), same) ||
           std::any_of(log_.voters().begin(), log_.voters().end(), same);
  };
  std::erase_if(peers_, [&](const Peer& peer) { return !is_needed(peer.member.incarnation); });
  const auto add = [&](const Member& member) {
    if (member.incarnation == self_.incarnation) return;
    Peer* known = FindPeer(member.incarnation);
    if (known != nullptr) {
      known->member.address = member.address;
      return;
    }
    Peer peer;
    peer.member = member;
    peer.next = log_.last_index() + 1;
    peer.last_sent = now - options_.heartbeat_interval;
    peer.resend_backoff = options_.resend_interval;
    peers_.push_back(std::move(peer));
  };
  for (const Member& member : log_.voters()) add(member);
  for (const Member& member : target_voters_) add(member);
}

bool Replica::CanChangeVoters() const {
  if (HasFault(ReplicaOptions::Fault::kConcurrentVoterChanges)) return role_ == Role::kLeader;
  return serving() && !transfer_deadline_ && log_.voters_index() <= commit_index_;
}

// Makes at most one change towards the target: adds a member that has nearly the whole log, otherwise removes
// a voter that is not in the target.
void Replica::ReconcileVoters(Time now, ReplicaOutput& out) {
  if (target_voters_.empty() || !CanChangeVoters()) return;
  std::vector<Member> voters = log_.voters();
  bool catching_up = false, missing = false;
  for (const Member& member : target_voters_) {
    if (IsVoter(member.incarnation) || voters.size() >= kMaxVoters) continue;
    missing = true;
    const Peer* peer = FindPeer(member.incarnation);
    const bool ready = member.incarnation == self_.incarnation ||
                       (peer != nullptr && HeardRecently(now, member.incarnation) && !peer->installing &&
                        peer->match >= log_.snapshot_index() &&
                        peer->match + options_.max_catch_up_gap >= log_.last_index());
    if (!ready && !HasFault(ReplicaOptions::Fault::kPromoteBeforeCatchUp)) {
      catching_up = catching_up || HeardRecently(now, member.incarnation);
      continue;
    }
    voters.push_back(member);
    return ChangeVoters(now, std::move(voters), out);
  }
  if (catching_up) return;  // add it first, so that there are never fewer copies than necessary
  for (const Member& voter : log_.voters()) {
    const bool stays = std::any_of(target_voters_.begin(), target_voters_.end(),
                                   [&](const Member& each) { return each.incarnation == voter.incarnation; });
    // While a member is still missing, only unresponsive voters are removed: a reachable voter is a copy.
    const bool reachable = voter.incarnation == self_.incarnation || HeardRecently(now, voter.incarnation);
    if (stays || (missing && reachable) || voters.size() <= 1) continue;
    std::erase_if(voters, [&](const Member& each) { return each.incarnation == voter.incarnation; });
    return ChangeVoters(now, std::move(voters), out);
  }
}

void Replica::ChangeVoters(Time now, std::vector<Member> voters, ReplicaOutput& out) {
  std::string names;
  for (const Member& voter : voters) names += " " + voter.incarnation.node;
  out.log_lines.push_back("voters from entry " + std::to_string(log_.last_index() + 1) + ":" + names);
  LogEntry entry;
  entry.voters = std::move(voters);
  AppendAsLeader(now, std::move(entry));
  UpdatePeers(now);
  Flush(now, out);
}

}  // namespace curlewdoor::coordination
