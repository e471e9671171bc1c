// Replica as a leader: replication, reads, and changes of voters.
#include <algorithm>
#include <functional>
#include <utility>

#include "coordination/replica.hpp"

namespace curlewdoor::coordination {
namespace {

constexpr std::uint64_t kWindow = 1024;  // entries that are out to one peer without an answer
constexpr auto kTransferEnds = std::chrono::milliseconds(400);
constexpr auto kDiskStalls = std::chrono::milliseconds(1000);  // then leadership is handed on

}  // namespace

void Replica::Lead(Time now, ReplicaOut& out) {
  role_ = Role::kLeader;
  SetLeader(self_, out);
  led_since_ = now;
  transfer_until_.reset();
  flush_due_.reset();
  round_ = 0;
  gathered_reads_.clear();
  waiting_reads_.clear();
  peers_.clear();
  time_base_ = log_.TimeAt(log_.last());
  time_base_at_ = now;
  RefreshPeers(now);
  out.notes.push_back("leads term " + std::to_string(term_) + " from entry " +
                      std::to_string(log_.last() + 1));
  // Tells all followers the voters, also those that begin without any.
  first_of_term_ = log_.last() + 1;
  LogEntry first;
  first.voters = log_.voters();
  AppendOwn(now, std::move(first));
  Flush(now, out);
}

void Replica::StepDown(Time now, ReplicaOut& out) {
  role_ = Role::kFollower;
  SetLeader(std::nullopt, out);
  out.notes.push_back("leads term " + std::to_string(term_) + " no more");
  out.lost_leadership = true;
  LoseReads(out);
  peers_.clear();
  flush_due_.reset();
  verified_ = commit_;
  ResetElection(now);
}

void Replica::AppendOwn(Time now, LogEntry entry) {
  entry.term = term_;
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - time_base_at_);
  entry.logged_time = std::max(log_.TimeAt(log_.last()), time_base_ + since);
  log_.Append(std::move(entry));
  if (dirty_from_ == 0) dirty_from_ = log_.last();
}

std::optional<std::uint64_t> Replica::Propose(Time now, std::string command, ReplicaOut& out) {
  const bool room =
      log_.last() - commit_ < options_.uncommitted && log_.last() - log_.begin() + 1 < kLogSlots;
  if (!serving() || transfer_until_ || !room || command.empty() || command.size() > kMaxCommand)
    return std::nullopt;
  LogEntry entry;
  entry.command = std::move(command);
  AppendOwn(now, std::move(entry));
  Gather(now);
  if (now >= *flush_due_) Flush(now, out);
  return log_.last();
}

bool Replica::Read(Time now, std::uint64_t token, ReplicaOut& out) {
  if (!serving()) return false;
  if (Does(ReplicaOptions::Fault::kReadWithoutQuorum)) {
    out.reads.push_back(token);
    return true;
  }
  gathered_reads_.push_back(token);
  Gather(now);
  if (now >= *flush_due_) Flush(now, out);
  return true;
}

void Replica::Compact(Time now, std::uint64_t index, std::string snapshot, ReplicaOut& out) {
  if (index > commit_ || index <= log_.begin()) return;
  log_.Compact(index, std::move(snapshot));
  if (dirty_from_ != 0) dirty_from_ = std::max(dirty_from_, index + 1);
  if (dirty_from_ > log_.last()) dirty_from_ = 0;
  snapshot_dirty_ = true;
  Changed();
  StartWrite(now, out);
}

// Nothing more is proposed meanwhile, so that a voter comes to have all.
void Replica::TransferLeadership(Time now, ReplicaOut& out) {
  if (role_ != Role::kLeader || transfer_until_) return;
  transfer_until_ = now + kTransferEnds;
  transfer_sent_ = false;
  ContinueTransfer(now, out);
}

void Replica::ContinueTransfer(Time now, ReplicaOut& out) {
  if (role_ != Role::kLeader || !transfer_until_) return;
  if (now >= *transfer_until_) return transfer_until_.reset();
  if (transfer_sent_) return;
  const auto able = std::find_if(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    return peer.match == log_.last() && IsVoter(peer.member.incarnation) &&
           HeardOf(now, peer.member.incarnation);
  });
  if (able == peers_.end()) return;
  transfer_sent_ = true;
  out.notes.push_back("hands leadership to " + able->member.incarnation.node);
  Send(able->member, TimeoutNow{}, out);
}

// A leader's last word, so that the others needn't wait for their time: it is no voter any more, or hears
// nobody but may be heard.
void Replica::AskToStand(ReplicaOut& out) const {
  const Peer* best = nullptr;
  for (const Peer& peer : peers_)
    if (IsVoter(peer.member.incarnation) && (best == nullptr || peer.match > best->match)) best = &peer;
  if (best != nullptr)
    out.sends.push_back({best->member, {self_, best->member.incarnation, term_, TimeoutNow{}}});
}

// ---- Gathering and sending ----

void Replica::Gather(Time now) {
  if (!flush_due_) flush_due_ = now + options_.gather;
}

// What has gathered goes out at once: reads by a round of questions, entries to the disk and to all.
void Replica::Flush(Time now, ReplicaOut& out) {
  flush_due_.reset();
  if (!gathered_reads_.empty()) {
    ++round_;
    for (const std::uint64_t token : gathered_reads_) waiting_reads_.push_back({token, round_});
    gathered_reads_.clear();
    for (Peer& peer : peers_)
      if (peer.next > log_.last() || peer.probing || peer.installing) SendHeartbeat(now, peer, out);
  }
  for (Peer& peer : peers_) Replicate(now, peer, out);
  StartWrite(now, out);
  AdvanceCommit(now, out);
  ConfirmReads(out);
}

void Replica::TickLeader(Time now, ReplicaOut& out) {
  if (flush_due_ && now >= *flush_due_) Flush(now, out);
  const bool heard =
      MajorityOf([&](const Incarnation& life) { return life == self_.incarnation || HeardOf(now, life); });
  if (!heard && now - led_since_ >= options_.quorum_lost) {
    AskToStand(out);
    return BecomeFollower(now, term_, out);
  }
  ContinueTransfer(now, out);
  for (Peer& peer : peers_) {
    const bool unanswered = peer.next > peer.match + 1 || peer.probing || peer.installing;
    if (unanswered && now - std::max(peer.progressed, peer.data_sent) >= peer.resend_pause)
      SendAgain(now, peer, out);
    if (now - peer.sent >= options_.heartbeat) SendHeartbeat(now, peer, out);
  }
  const bool stalls = writing_ && now - write_began_ >= kDiskStalls;
  if (stalls) TransferLeadership(now, out);
  SteerVoters(now, out);
}

// From where it is known to be, one message at a time until it answers.
void Replica::SendAgain(Time now, Peer& peer, ReplicaOut& out) {
  peer.resend_pause = std::min(2 * peer.resend_pause, options_.resend_most);
  peer.next = peer.match + 1;
  Probe(now, peer, out);
}

void Replica::Probe(Time now, Peer& peer, ReplicaOut& out) {
  peer.probing = true;
  peer.installing = false;
  if (peer.next <= log_.begin()) return SendChunk(now, peer, out);
  if (peer.next <= log_.last()) SendEntries(now, peer, out);
}

void Replica::Replicate(Time now, Peer& peer, ReplicaOut& out) {
  if (peer.probing || peer.installing) return;
  if (peer.next <= log_.begin()) return SendChunk(now, peer, out);
  while (peer.next <= log_.last() && peer.next - peer.match <= kWindow && !peer.probing)
    SendEntries(now, peer, out);
}

void Replica::SendEntries(Time now, Peer& peer, ReplicaOut& out) {
  AppendEntries append;
  append.previous_index = peer.next - 1;
  append.previous_term = log_.TermAt(peer.next - 1);
  append.commit = commit_;
  append.round = round_;
  std::size_t size = 0;
  while (peer.next <= log_.last() && (append.entries.empty() || size < options_.append_bytes)) {
    const LogEntry& entry = log_.At(peer.next++);
    size += entry.command.size() + 32;
    append.entries.push_back(entry);
  }
  peer.sent = peer.data_sent = now;
  Send(peer.member, std::move(append), out);
}

void Replica::SendHeartbeat(Time now, Peer& peer, ReplicaOut& out) {
  const std::uint64_t known = std::max(peer.match, log_.begin());
  peer.sent = now;
  if (peer.match < log_.begin()) {  // nothing that it holds is known: no place to begin from
    Send(peer.member, AppendEntries{0, 0, 0, round_, {}}, out);
    return;
  }
  Send(peer.member, AppendEntries{known, log_.TermAt(known), std::min(commit_, known), round_, {}}, out);
}

void Replica::SendChunk(Time now, Peer& peer, ReplicaOut& out) {
  const std::string& bytes = log_.snapshot();
  if (peer.snapshot_index != log_.begin()) {
    peer.snapshot_index = log_.begin();
    peer.snapshot_offset = 0;
  }
  InstallSnapshot install;
  install.index = log_.begin();
  install.last_term = log_.TermAt(log_.begin());
  install.time = log_.snapshot_time();
  install.voters = log_.snapshot_voters();
  install.size = bytes.size();
  install.offset = std::min<std::uint64_t>(peer.snapshot_offset, bytes.size());
  install.round = round_;
  install.bytes = bytes.substr(install.offset, options_.snapshot_chunk);
  peer.installing = true;
  peer.sent = peer.data_sent = now;
  Send(peer.member, std::move(install), out);
}

void Replica::On(Time now, const ReplicaMessage& m, const Appended& appended, ReplicaOut& out) {
  Peer* peer = role_ == Role::kLeader ? FindPeer(m.from.incarnation) : nullptr;
  if (peer == nullptr) return;
  peer->heard = now;
  peer->round = std::max(peer->round, appended.round);
  if (!appended.ok) {
    if (appended.index < peer->match || appended.index >= peer->next) return;  // an old one
    peer->next = std::min(peer->next, appended.index + 1);
    return Probe(now, *peer, out);
  }
  const std::uint64_t index = std::min(appended.index, log_.last());
  if (index > peer->match) {
    peer->match = index;
    peer->progressed = now;
    peer->resend_pause = options_.resend;
    peer->probing = peer->installing = false;
    peer->next = std::max(peer->next, index + 1);
    AdvanceCommit(now, out);
  }
  ConfirmReads(out);
  ContinueTransfer(now, out);
  if (role_ == Role::kLeader) Replicate(now, *peer, out);
}

void Replica::On(Time now, const ReplicaMessage& m, const SnapshotInstalled& installed, ReplicaOut& out) {
  Peer* peer = role_ == Role::kLeader ? FindPeer(m.from.incarnation) : nullptr;
  if (peer == nullptr) return;
  peer->heard = now;
  peer->round = std::max(peer->round, installed.round);
  ConfirmReads(out);
  if (!peer->installing || installed.index != log_.begin()) return;
  const bool whole = installed.offset >= log_.snapshot().size();
  if (whole) return;  // it answers with Appended once its disk has it
  peer->snapshot_index = installed.index;
  peer->snapshot_offset = installed.offset;
  SendChunk(now, *peer, out);
}

// ---- Committing and reads ----

// Only an entry of the own term is committed by its copies; those before it are committed with it.
void Replica::AdvanceCommit(Time now, ReplicaOut& out) {
  if (role_ != Role::kLeader) return;
  const bool was_serving = serving();
  std::vector<std::uint64_t> held;
  for (const Member& voter : log_.voters()) {
    const Peer* peer = FindPeer(voter.incarnation);
    const std::uint64_t own = Does(ReplicaOptions::Fault::kAckBeforeSync) ? log_.last() : written_last_;
    held.push_back(voter.incarnation == self_.incarnation ? own : peer != nullptr ? peer->match : 0);
  }
  std::sort(held.begin(), held.end(), std::greater<>());
  const std::uint64_t by_majority = held[held.size() / 2];
  const bool own_term = by_majority > commit_ && log_.TermAt(by_majority) == term_;
  if (own_term || Does(ReplicaOptions::Fault::kCommitOlderTerm)) Commit(by_majority, out);
  if (!was_serving && serving()) out.became_leader = true;
  // A leader that is no voter any more leads until that is committed.
  if (log_.voters_index() <= commit_ && !IsVoter(self_.incarnation)) {
    AskToStand(out);
    BecomeFollower(now, term_, out);
  }
}

void Replica::ConfirmReads(ReplicaOut& out) {
  while (!waiting_reads_.empty()) {
    const std::uint64_t round = waiting_reads_.front().round;
    const bool confirmed = MajorityOf([&](const Incarnation& life) {
      const Peer* peer = FindPeer(life);
      return life == self_.incarnation || (peer != nullptr && peer->round >= round);
    });
    if (!confirmed) return;
    const auto later = std::find_if(waiting_reads_.begin(), waiting_reads_.end(),
                                    [&](const WaitingRead& each) { return each.round > round; });
    for (auto it = waiting_reads_.begin(); it != later; ++it) out.reads.push_back(it->token);
    waiting_reads_.erase(waiting_reads_.begin(), later);
  }
}

void Replica::LoseReads(ReplicaOut& out) {
  for (const std::uint64_t token : gathered_reads_) out.reads_lost.push_back(token);
  for (const WaitingRead& read : waiting_reads_) out.reads_lost.push_back(read.token);
  gathered_reads_.clear();
  waiting_reads_.clear();
}

// ---- Voters ----

Replica::Peer* Replica::FindPeer(const Incarnation& life) {
  const auto found = std::find_if(peers_.begin(), peers_.end(),
                                  [&](const Peer& peer) { return peer.member.incarnation == life; });
  return found == peers_.end() ? nullptr : &*found;
}

bool Replica::HeardOf(Time now, const Incarnation& life) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    return peer.member.incarnation == life && peer.heard != Time{} && now - peer.heard < options_.quorum_lost;
  });
}

// Peers are all voters and all that are to become voters.
void Replica::RefreshPeers(Time now) {
  const auto wanted = [&](const Incarnation& life) {
    const auto same = [&](const Member& each) { return each.incarnation == life; };
    return std::any_of(target_.begin(), target_.end(), same) ||
           std::any_of(log_.voters().begin(), log_.voters().end(), same);
  };
  std::erase_if(peers_, [&](const Peer& peer) { return !wanted(peer.member.incarnation); });
  const auto add = [&](const Member& member) {
    if (member.incarnation == self_.incarnation) return;
    Peer* known = FindPeer(member.incarnation);
    if (known != nullptr) {
      known->member.address = member.address;
      return;
    }
    Peer peer;
    peer.member = member;
    peer.next = log_.last() + 1;
    peer.sent = now - options_.heartbeat;
    peer.resend_pause = options_.resend;
    peers_.push_back(std::move(peer));
  };
  for (const Member& member : log_.voters()) add(member);
  for (const Member& member : target_) add(member);
}

bool Replica::MayChangeVoters() const {
  if (Does(ReplicaOptions::Fault::kTwoChangesAtOnce)) return role_ == Role::kLeader;
  return serving() && !transfer_until_ && log_.voters_index() <= commit_;
}

// One change at a time towards the target: a new voter that has nearly all first, else one that is to go.
void Replica::SteerVoters(Time now, ReplicaOut& out) {
  if (target_.empty() || !MayChangeVoters()) return;
  std::vector<Member> voters = log_.voters();
  bool catching_up = false, missing = false;
  for (const Member& member : target_) {
    if (IsVoter(member.incarnation) || voters.size() >= kMaxVoters) continue;
    missing = true;
    const Peer* peer = FindPeer(member.incarnation);
    const bool ready = member.incarnation == self_.incarnation ||
                       (peer != nullptr && HeardOf(now, member.incarnation) && !peer->installing &&
                        peer->match >= log_.begin() && peer->match + options_.catch_up_gap >= log_.last());
    if (!ready && !Does(ReplicaOptions::Fault::kLearnerVotes)) {
      catching_up = catching_up || HeardOf(now, member.incarnation);
      continue;
    }
    voters.push_back(member);
    return ChangeVoters(now, std::move(voters), out);
  }
  if (catching_up) return;  // it comes first, so that there are never fewer copies than need be
  for (const Member& voter : log_.voters()) {
    const bool stays = std::any_of(target_.begin(), target_.end(),
                                   [&](const Member& each) { return each.incarnation == voter.incarnation; });
    // While another one is still to come, only those go that are gone: a voter that lives is a copy.
    const bool lives = voter.incarnation == self_.incarnation || HeardOf(now, voter.incarnation);
    if (stays || (missing && lives) || voters.size() <= 1) continue;
    std::erase_if(voters, [&](const Member& each) { return each.incarnation == voter.incarnation; });
    return ChangeVoters(now, std::move(voters), out);
  }
}

void Replica::ChangeVoters(Time now, std::vector<Member> voters, ReplicaOut& out) {
  std::string names;
  for (const Member& voter : voters) names += " " + voter.incarnation.node;
  out.notes.push_back("voters from entry " + std::to_string(log_.last() + 1) + ":" + names);
  LogEntry entry;
  entry.voters = std::move(voters);
  AppendOwn(now, std::move(entry));
  RefreshPeers(now);
  Flush(now, out);
}

}  // namespace curlewdoor::coordination
