#include "coordination/replica.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::coordination {
namespace {

constexpr auto kWriteRetryDelay = std::chrono::milliseconds(200);  // after a failed write
constexpr std::size_t kMaxPendingVotes = 64;

}  // namespace

Replica::Replica(Member self, ReplicaState from_disk, ReplicaOptions options, std::uint64_t seed)
    : self_(std::move(self)),
      options_(options),
      random_(seed),
      term_(from_disk.term),
      voted_for_(std::move(from_disk.voted_for)),
      log_(from_disk),
      commit_index_(log_.snapshot_index()),
      writing_index_(log_.last_index()),
      written_index_(log_.last_index()),
      // The disk may still hold the snapshot of another incarnation.
      snapshot_dirty_(!from_disk.found) {}

const std::string& Replica::snapshot() const { return log_.snapshot(); }

void Replica::Bootstrap(Time now, std::vector<Member> voters, ReplicaOutput& out) {
  // This replica may already have voted: another member may have been bootstrapped, and stood, earlier.
  const bool known = !log_.voters().empty() || log_.last_index() > 0;
  if (known || voters.empty() || voters.size() > kMaxVoters) return;
  log_.Bootstrap(std::move(voters));
  snapshot_dirty_ = true;
  MarkHardStateChanged();
  ResetElectionTimer(now);
  StartWrite(now, out);
}

void Replica::SetTargetVoters(Time now, std::uint64_t epoch, std::vector<Member> members,
                              ReplicaOutput& out) {
  if (epoch <= target_epoch_ || members.empty()) return;
  target_epoch_ = epoch;
  target_voters_ = std::move(members);
  if (role_ != Role::kLeader) return;
  UpdatePeers(now);
  ReconcileVoters(now, out);
}

void Replica::OnMessage(Time now, const ReplicaMessage& message, ReplicaOutput& out) {
  const bool any_disk =
      HasFault(ReplicaOptions::Fault::kIgnoreDiskNumber) && message.to.node == self_.incarnation.node;
  if ((message.to != self_.incarnation && !any_disk) || message.from.incarnation == self_.incarnation) return;
  Dispatch(now, message, out);
  StartWrite(now, out);
}

void Replica::OnWritten(Time now, bool ok, ReplicaOutput& out) {
  if (!writing_) return;
  writing_ = false;
  if (ok) {
    written_version_ = writing_version_;
    written_index_ = writing_index_;
  } else {
    write_retry_at_ = now + kWriteRetryDelay;
    if (writing_from_ != 0)
      dirty_from_ = dirty_from_ == 0 ? writing_from_ : std::min(dirty_from_, writing_from_);
    snapshot_dirty_ = snapshot_dirty_ || writing_snapshot_;
    MarkHardStateChanged();
  }
  std::vector<PendingVote> waiting = std::exchange(pending_votes_, {});
  for (PendingVote& vote : waiting) {
    if (vote.version > written_version_) {
      pending_votes_.push_back(std::move(vote));
    } else if (vote.term == term_) {
      Send(vote.to, VoteResponse{false, true}, out);
    }
  }
  if (role_ == Role::kCandidate) CountVotes(now, out);
  if (role_ == Role::kLeader) AdvanceCommit(now, out);
  if (role_ == Role::kFollower) AcknowledgeEntries(out);
  StartWrite(now, out);
}

void Replica::Tick(Time now, ReplicaOutput& out) {
  if (!election_deadline_) ResetElectionTimer(now);
  if (role_ == Role::kLeader) {
    TickLeader(now, out);
  } else if (now >= *election_deadline_) {
    if (CanStandForElection()) {
      StartElection(now, true, false, out);
    } else {
      ResetElectionTimer(now);
    }
  }
  StartWrite(now, out);
}

std::optional<Time> Replica::NextDue() const { return flush_due_; }

// ---- Messages ----

void Replica::Send(const Member& to, ReplicaBody body, ReplicaOutput& out) {
  SendWithTerm(to, term_, std::move(body), out);
}

void Replica::SendWithTerm(const Member& to, std::uint64_t term, ReplicaBody body, ReplicaOutput& out) {
  out.messages.push_back({to, {self_, to.incarnation, term, std::move(body)}});
}

void Replica::Dispatch(Time now, const ReplicaMessage& m, ReplicaOutput& out) {
  const auto* request = std::get_if<RequestVote>(&m.body);
  if (request != nullptr && IgnoresVoteRequest(now, m, *request)) return;
  const auto* vote = std::get_if<VoteResponse>(&m.body);
  const bool pre_vote =
      (request != nullptr && request->pre_vote) || (vote != nullptr && vote->pre_vote && vote->granted);
  if (m.term > term_ && !pre_vote) BecomeFollower(now, m.term, out);
  if (m.term < term_) {
    if (request != nullptr) return Send(m.from, VoteResponse{request->pre_vote, false}, out);
    const bool from_leader =
        std::holds_alternative<AppendEntries>(m.body) || std::holds_alternative<InstallSnapshot>(m.body);
    if (from_leader) Send(m.from, AppendResponse{false, log_.last_index(), 0}, out);
    return;
  }
  std::visit([&](const auto& body) { Handle(now, m, body, out); }, m.body);
}

// A replica that hears from a leader ignores vote requests, unless the leader itself started a transfer.
bool Replica::IgnoresVoteRequest(Time now, const ReplicaMessage& m, const RequestVote& request) const {
  if (request.transfer || m.term < term_) return false;
  if (role_ == Role::kLeader) return serving();
  return leader_ && leader_last_heard_ && now - *leader_last_heard_ < options_.election_timeout_min;
}

void Replica::Handle(Time now, const ReplicaMessage& m, const RequestVote& request, ReplicaOutput& out) {
  const bool at_least_as_new =
      request.last_term > log_.last_term() ||
      (request.last_term == log_.last_term() && request.last_index >= log_.last_index());
  const bool up_to_date = at_least_as_new || HasFault(ReplicaOptions::Fault::kVoteForOutdatedLog);
  if (request.pre_vote) {
    if (m.term == term_) return Send(m.from, VoteResponse{true, false}, out);
    if (up_to_date) SendWithTerm(m.from, m.term, VoteResponse{true, true}, out);
    return;
  }
  const bool can_vote = !voted_for_ || *voted_for_ == m.from.incarnation;
  if (!up_to_date || !can_vote || role_ == Role::kLeader)
    return Send(m.from, VoteResponse{false, false}, out);
  if (!voted_for_) {
    voted_for_ = m.from.incarnation;
    if (!HasFault(ReplicaOptions::Fault::kVoteNotWritten)) MarkHardStateChanged();
  }
  ResetElectionTimer(now);
  if (written_version_ >= hard_state_version_) return Send(m.from, VoteResponse{false, true}, out);
  if (pending_votes_.size() < kMaxPendingVotes)
    pending_votes_.push_back({hard_state_version_, term_, m.from});
}

void Replica::Handle(Time now, const ReplicaMessage& m, const VoteResponse& vote, ReplicaOutput& out) {
  const bool expected = vote.pre_vote ? role_ == Role::kPreCandidate && m.term == term_ + 1
                                      : role_ == Role::kCandidate && m.term == term_;
  if (!expected || !vote.granted) return;
  if (std::find(votes_.begin(), votes_.end(), m.from.incarnation) != votes_.end()) return;
  votes_.push_back(m.from.incarnation);
  CountVotes(now, out);
}

void Replica::Handle(Time now, const ReplicaMessage&, const TimeoutNow&, ReplicaOutput& out) {
  if (role_ == Role::kFollower && IsVoter(self_.incarnation)) StartElection(now, false, true, out);
}

void Replica::BecomeFollower(Time now, std::uint64_t term, ReplicaOutput& out) {
  if (role_ == Role::kLeader) StepDown(now, out);
  if (term > term_) {
    term_ = term;
    voted_for_.reset();
    MarkHardStateChanged();
    SetLeader(std::nullopt, out);
    matched_index_ = commit_index_;
    acknowledged_index_ = 0;
    leader_round_ = 0;
    incoming_.reset();
  }
  role_ = Role::kFollower;
  ResetElectionTimer(now);
}

void Replica::SetLeader(std::optional<Member> leader, ReplicaOutput& out) {
  if (leader == leader_) return;
  leader_ = std::move(leader);
  out.leader_changed = true;
}

// ---- Elections ----

void Replica::ResetElectionTimer(Time now) {
  const auto span = (options_.election_timeout_max - options_.election_timeout_min).count();
  const auto extra =
      std::uniform_int_distribution<Duration::rep>(0, std::max<Duration::rep>(span, 0))(random_);
  election_deadline_ = now + options_.election_timeout_min + Duration(extra);
}

void Replica::StartElection(Time now, bool pre_vote, bool transfer, ReplicaOutput& out) {
  ResetElectionTimer(now);
  votes_.clear();
  incoming_.reset();
  if (pre_vote) {
    SetLeader(std::nullopt, out);
    role_ = Role::kPreCandidate;
    votes_.push_back(self_.incarnation);
  } else {
    SetLeader(std::nullopt, out);
    role_ = Role::kCandidate;
    transfer_requested_ = transfer;
    ++term_;
    ++elections_started_;
    voted_for_ = self_.incarnation;
    matched_index_ = commit_index_;
    acknowledged_index_ = 0;
    leader_round_ = 0;
    if (!HasFault(ReplicaOptions::Fault::kVoteNotWritten)) MarkHardStateChanged();
  }
  const RequestVote request{pre_vote, transfer, log_.last_index(), log_.last_term()};
  for (const Member& voter : log_.voters())
    if (voter.incarnation != self_.incarnation)
      SendWithTerm(voter, pre_vote ? term_ + 1 : term_, request, out);
  CountVotes(now, out);
}

// A candidate becomes leader only after its own vote is synced. Otherwise it could stand in the same term
// again after a power loss, win with the same votes, and lead the term twice.
void Replica::CountVotes(Time now, ReplicaOutput& out) {
  if (role_ == Role::kCandidate) {
    if (written_version_ < hard_state_version_) return;
    if (std::find(votes_.begin(), votes_.end(), self_.incarnation) == votes_.end())
      votes_.push_back(self_.incarnation);
  }
  const bool won = MajorityOf([this](const Incarnation& incarnation) {
    return std::any_of(votes_.begin(), votes_.end(), [&](const Incarnation& each) {
      return each == incarnation ||
             (HasFault(ReplicaOptions::Fault::kIgnoreDiskNumber) && each.node == incarnation.node);
    });
  });
  if (!won) return;
  if (role_ == Role::kPreCandidate) return StartElection(now, false, false, out);
  if (role_ == Role::kCandidate) BecomeLeader(now, out);
}

bool Replica::IsVoter(const Incarnation& incarnation) const {
  return std::any_of(log_.voters().begin(), log_.voters().end(),
                     [&](const Member& each) { return each.incarnation == incarnation; });
}

// A voter whose removal is not committed yet may stand too: a majority may need its log, and it does not vote
// for a less complete one.
bool Replica::CanStandForElection() const {
  const std::vector<Member>& committed_voters = log_.VotersAt(commit_index_);
  return IsVoter(self_.incarnation) ||
         std::any_of(committed_voters.begin(), committed_voters.end(),
                     [this](const Member& each) { return each.incarnation == self_.incarnation; });
}

// ---- Followers ----

void Replica::Handle(Time now, const ReplicaMessage& m, const AppendEntries& append, ReplicaOutput& out) {
  if (role_ == Role::kLeader) return;  // a term has only one leader
  role_ = Role::kFollower;
  SetLeader(m.from, out);
  leader_last_heard_ = now;
  ResetElectionTimer(now);
  leader_round_ = std::max(leader_round_, append.round);
  matched_index_ = std::max(matched_index_, commit_index_);
  if (!AcceptEntries(append, out)) return;
  Commit(std::min(append.commit, matched_index_), out);
  const std::uint64_t synced =
      HasFault(ReplicaOptions::Fault::kAckBeforeSync) ? log_.last_index() : written_index_;
  acknowledged_index_ = std::min(matched_index_, synced);
  Send(m.from, AppendResponse{true, acknowledged_index_, append.round}, out);
}

// Returns false if the log does not match before these entries; the leader is sent the index to try next.
bool Replica::AcceptEntries(const AppendEntries& append, ReplicaOutput& out) {
  const std::uint64_t previous = append.previous_index;
  const bool behind_snapshot = previous < log_.snapshot_index();
  const bool matches = behind_snapshot || previous <= commit_index_ ||
                       (previous <= log_.last_index() && log_.TermAt(previous) == append.previous_term);
  if (!matches) {
    std::uint64_t hint = std::min(previous - 1, log_.last_index());
    const std::uint64_t term = log_.TermAt(std::max(hint, log_.snapshot_index()));
    while (hint > commit_index_ && hint > log_.snapshot_index() && log_.TermAt(hint) == term &&
           previous <= log_.last_index())
      --hint;
    Send(*leader_, AppendResponse{false, std::max(hint, commit_index_), append.round}, out);
    return false;
  }
  std::uint64_t index = previous;
  for (const LogEntry& entry : append.entries) {
    ++index;
    if (index <= commit_index_) continue;
    if (index <= log_.last_index() && log_.TermAt(index) == entry.term) continue;
    if (index <= log_.last_index()) {
      log_.Truncate(index - 1);
      OnLogTruncated(index - 1);
    }
    if (log_.last_index() - log_.snapshot_index() + 1 >= kLogSlots) {
      --index;
      break;
    }
    log_.Append(entry);
    if (dirty_from_ == 0) dirty_from_ = index;
  }
  matched_index_ = std::max(matched_index_, std::min(index, log_.last_index()));
  return true;
}

// Entries after `last` on the disk, or in a running write, no longer count as written.
void Replica::OnLogTruncated(std::uint64_t last) {
  written_index_ = std::min(written_index_, last);
  writing_index_ = std::min(writing_index_, last);
  if (dirty_from_ > last + 1) dirty_from_ = last + 1;
  matched_index_ = std::min(matched_index_, last);
  MarkHardStateChanged();
}

// Sends the leader the newest index that is synced here, if it has advanced.
void Replica::AcknowledgeEntries(ReplicaOutput& out) {
  const std::uint64_t synced = std::min(matched_index_, written_index_);
  if (!leader_ || synced <= acknowledged_index_) return;
  acknowledged_index_ = synced;
  Send(*leader_, AppendResponse{true, synced, leader_round_}, out);
}

void Replica::Commit(std::uint64_t index, ReplicaOutput& out) {
  while (commit_index_ < index) {
    const LogEntry& entry = log_.At(++commit_index_);
    if (!entry.command.empty())
      out.committed.push_back({commit_index_, entry.term, entry.logged_time, entry.command});
  }
}

void Replica::Handle(Time now, const ReplicaMessage& m, const InstallSnapshot& install, ReplicaOutput& out) {
  if (role_ == Role::kLeader) return;
  role_ = Role::kFollower;
  SetLeader(m.from, out);
  leader_last_heard_ = now;
  ResetElectionTimer(now);
  leader_round_ = std::max(leader_round_, install.round);
  matched_index_ = std::max(matched_index_, commit_index_);
  if (install.index <= commit_index_) {
    acknowledged_index_ = std::min(matched_index_, written_index_);
    return Send(m.from, AppendResponse{true, acknowledged_index_, install.round}, out);
  }
  const bool is_new_transfer = !incoming_ || incoming_->from != m.from.incarnation ||
                               incoming_->term != m.term || incoming_->index != install.index ||
                               incoming_->size != install.size;
  if (is_new_transfer)
    incoming_ = IncomingSnapshot{m.from.incarnation, m.term, install.index, install.size, {}};
  if (install.offset == incoming_->bytes.size() && install.bytes.size() <= install.size - install.offset)
    incoming_->bytes += install.bytes;
  const std::uint64_t received = incoming_->bytes.size();
  if (received == install.size) AcceptSnapshot(now, m, install, out);
  Send(m.from, InstallSnapshotResponse{install.index, received, install.round}, out);
}

// Installs a completely received snapshot. Entries after it are kept only if they are known to follow it.
void Replica::AcceptSnapshot(Time, const ReplicaMessage&, const InstallSnapshot& install,
                             ReplicaOutput& out) {
  std::string bytes = std::move(incoming_->bytes);
  incoming_.reset();
  const bool follows = install.index <= log_.last_index() && install.index >= log_.snapshot_index() &&
                       (log_.TermAt(install.index) == install.last_term ||
                        HasFault(ReplicaOptions::Fault::kKeepLogAfterSnapshot));
  if (follows) {
    log_.Compact(install.index, bytes);
    if (dirty_from_ != 0) dirty_from_ = std::max(dirty_from_, install.index + 1);
  } else {
    log_.ReplaceWithSnapshot(install.index, install.last_term, install.time, install.voters, bytes);
    OnLogTruncated(commit_index_);  // the disk holds the snapshot only after the next write
    dirty_from_ = 0;
  }
  snapshot_dirty_ = true;
  MarkHardStateChanged();
  commit_index_ = install.index;
  matched_index_ = std::max(matched_index_, commit_index_);
  out.committed.clear();
  out.snapshot = std::move(bytes);
}

// ---- Writes ----

void Replica::StartWrite(Time now, ReplicaOutput& out) {
  const bool dirty = hard_state_version_ != written_version_ || dirty_from_ != 0 || snapshot_dirty_;
  if (writing_ || out.write || !dirty || now < write_retry_at_) return;
  // A leader's entries are written when the batch is sent.
  if (flush_due_ && hard_state_version_ == written_version_ && !snapshot_dirty_) return;
  RecordBatch records =
      EncodeHardState(self_.incarnation.number, term_, voted_for_, log_.snapshot_index(), log_.last_index());
  if (snapshot_dirty_)
    records.push_back(EncodeSnapshot(log_.snapshot_index(), log_.TermAt(log_.snapshot_index()),
                                     log_.snapshot_time(), log_.snapshot_voters(), log_.snapshot()));
  writing_from_ = dirty_from_;
  if (dirty_from_ != 0)
    for (std::uint64_t index = std::max(dirty_from_, log_.snapshot_index() + 1); index <= log_.last_index();
         ++index)
      records.push_back(EncodeEntry(index, log_.At(index)));
  writing_ = true;
  writing_snapshot_ = std::exchange(snapshot_dirty_, false);
  dirty_from_ = 0;
  writing_index_ = log_.last_index();
  writing_version_ = hard_state_version_;
  write_started_at_ = now;
  out.write = std::move(records);
}

}  // namespace curlewdoor::coordination
