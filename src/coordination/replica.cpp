#include "coordination/replica.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::coordination {
namespace {

constexpr auto kWriteAgain = std::chrono::milliseconds(200);  // after a disk's refusal
constexpr std::size_t kMostWaitingVotes = 64;

}  // namespace

Replica::Replica(Member self, ReplicaState from_disk, ReplicaOptions options, std::uint64_t seed)
    : self_(std::move(self)),
      options_(options),
      random_(seed),
      term_(from_disk.term),
      voted_for_(std::move(from_disk.voted_for)),
      log_(from_disk),
      commit_(log_.begin()),
      writing_last_(log_.last()),
      written_last_(log_.last()),
      // Another life's snapshot may stand there.
      snapshot_dirty_(!from_disk.found) {}

const std::string& Replica::snapshot() const { return log_.snapshot(); }

void Replica::Found(Time now, std::vector<Member> voters, ReplicaOut& out) {
  // It may have voted before: another one was founded earlier, and stood.
  const bool known = !log_.voters().empty() || log_.last() > 0;
  if (known || voters.empty() || voters.size() > kMaxVoters) return;
  log_.Found(std::move(voters));
  snapshot_dirty_ = true;
  Changed();
  ResetElection(now);
  StartWrite(now, out);
}

void Replica::SetTarget(Time now, std::uint64_t epoch, std::vector<Member> members, ReplicaOut& out) {
  if (epoch <= target_epoch_ || members.empty()) return;
  target_epoch_ = epoch;
  target_ = std::move(members);
  if (role_ != Role::kLeader) return;
  RefreshPeers(now);
  SteerVoters(now, out);
}

void Replica::OnMessage(Time now, const ReplicaMessage& message, ReplicaOut& out) {
  const bool any_disk = Does(ReplicaOptions::Fault::kAnyDisk) && message.to.node == self_.incarnation.node;
  if ((message.to != self_.incarnation && !any_disk) || message.from.incarnation == self_.incarnation) return;
  Handle(now, message, out);
  StartWrite(now, out);
}

void Replica::OnWritten(Time now, bool ok, ReplicaOut& out) {
  if (!writing_) return;
  writing_ = false;
  if (ok) {
    written_version_ = writing_version_;
    written_last_ = writing_last_;
  } else {
    write_after_ = now + kWriteAgain;
    if (writing_from_ != 0)
      dirty_from_ = dirty_from_ == 0 ? writing_from_ : std::min(dirty_from_, writing_from_);
    snapshot_dirty_ = snapshot_dirty_ || writing_snapshot_;
    Changed();
  }
  std::vector<WaitingVote> waiting = std::exchange(waiting_votes_, {});
  for (WaitingVote& vote : waiting) {
    if (vote.version > written_version_) {
      waiting_votes_.push_back(std::move(vote));
    } else if (vote.term == term_) {
      Send(vote.to, Vote{false, true}, out);
    }
  }
  if (role_ == Role::kCandidate) CountVotes(now, out);
  if (role_ == Role::kLeader) AdvanceCommit(now, out);
  if (role_ == Role::kFollower) Acknowledge(out);
  StartWrite(now, out);
}

void Replica::Tick(Time now, ReplicaOut& out) {
  if (!election_due_) ResetElection(now);
  if (role_ == Role::kLeader) {
    TickLeader(now, out);
  } else if (now >= *election_due_) {
    if (MayStand()) {
      Stand(now, true, false, out);
    } else {
      ResetElection(now);
    }
  }
  StartWrite(now, out);
}

std::optional<Time> Replica::NextDue() const { return flush_due_; }

// ---- Messages ----

void Replica::Send(const Member& to, ReplicaBody body, ReplicaOut& out) {
  SendInTerm(to, term_, std::move(body), out);
}

void Replica::SendInTerm(const Member& to, std::uint64_t term, ReplicaBody body, ReplicaOut& out) {
  out.sends.push_back({to, {self_, to.incarnation, term, std::move(body)}});
}

void Replica::Handle(Time now, const ReplicaMessage& m, ReplicaOut& out) {
  const auto* request = std::get_if<RequestVote>(&m.body);
  if (request != nullptr && HoldsBack(now, m, *request)) return;
  const auto* vote = std::get_if<Vote>(&m.body);
  const bool pre_vote =
      (request != nullptr && request->pre_vote) || (vote != nullptr && vote->pre_vote && vote->granted);
  if (m.term > term_ && !pre_vote) BecomeFollower(now, m.term, out);
  if (m.term < term_) {
    if (request != nullptr) return Send(m.from, Vote{request->pre_vote, false}, out);
    const bool from_leader =
        std::holds_alternative<AppendEntries>(m.body) || std::holds_alternative<InstallSnapshot>(m.body);
    if (from_leader) Send(m.from, Appended{false, log_.last(), 0}, out);
    return;
  }
  std::visit([&](const auto& body) { On(now, m, body, out); }, m.body);
}

// Whoever hears a leader helps nobody against it, unless the leader itself has asked for that.
bool Replica::HoldsBack(Time now, const ReplicaMessage& m, const RequestVote& request) const {
  if (request.transfer || m.term < term_) return false;
  if (role_ == Role::kLeader) return serving();
  return leader_ && leader_heard_ && now - *leader_heard_ < options_.election_least;
}

void Replica::On(Time now, const ReplicaMessage& m, const RequestVote& request, ReplicaOut& out) {
  const bool longer = request.last_term > log_.last_term() ||
                      (request.last_term == log_.last_term() && request.last_index >= log_.last());
  const bool whole = longer || Does(ReplicaOptions::Fault::kVoteForShorterLog);
  if (request.pre_vote) {
    if (m.term == term_) return Send(m.from, Vote{true, false}, out);
    if (whole) SendInTerm(m.from, m.term, Vote{true, true}, out);
    return;
  }
  const bool free = !voted_for_ || *voted_for_ == m.from.incarnation;
  if (!whole || !free || role_ == Role::kLeader) return Send(m.from, Vote{false, false}, out);
  if (!voted_for_) {
    voted_for_ = m.from.incarnation;
    if (!Does(ReplicaOptions::Fault::kVoteNotWritten)) Changed();
  }
  ResetElection(now);
  if (written_version_ >= version_) return Send(m.from, Vote{false, true}, out);
  if (waiting_votes_.size() < kMostWaitingVotes) waiting_votes_.push_back({version_, term_, m.from});
}

void Replica::On(Time now, const ReplicaMessage& m, const Vote& vote, ReplicaOut& out) {
  const bool asked = vote.pre_vote ? role_ == Role::kPreCandidate && m.term == term_ + 1
                                   : role_ == Role::kCandidate && m.term == term_;
  if (!asked || !vote.granted) return;
  if (std::find(votes_.begin(), votes_.end(), m.from.incarnation) != votes_.end()) return;
  votes_.push_back(m.from.incarnation);
  CountVotes(now, out);
}

void Replica::On(Time now, const ReplicaMessage&, const TimeoutNow&, ReplicaOut& out) {
  if (role_ == Role::kFollower && IsVoter(self_.incarnation)) Stand(now, false, true, out);
}

void Replica::BecomeFollower(Time now, std::uint64_t term, ReplicaOut& out) {
  if (role_ == Role::kLeader) StepDown(now, out);
  if (term > term_) {
    term_ = term;
    voted_for_.reset();
    Changed();
    SetLeader(std::nullopt, out);
    verified_ = commit_;
    acknowledged_ = 0;
    leader_round_ = 0;
    incoming_.reset();
  }
  role_ = Role::kFollower;
  ResetElection(now);
}

void Replica::SetLeader(std::optional<Member> leader, ReplicaOut& out) {
  if (leader == leader_) return;
  leader_ = std::move(leader);
  out.leader_changed = true;
}

// ---- Elections ----

void Replica::ResetElection(Time now) {
  const auto span = (options_.election_most - options_.election_least).count();
  const auto extra =
      std::uniform_int_distribution<Duration::rep>(0, std::max<Duration::rep>(span, 0))(random_);
  election_due_ = now + options_.election_least + Duration(extra);
}

void Replica::Stand(Time now, bool pre_vote, bool transfer, ReplicaOut& out) {
  ResetElection(now);
  votes_.clear();
  incoming_.reset();
  if (pre_vote) {
    SetLeader(std::nullopt, out);
    role_ = Role::kPreCandidate;
    votes_.push_back(self_.incarnation);
  } else {
    SetLeader(std::nullopt, out);
    role_ = Role::kCandidate;
    transfer_vote_ = transfer;
    ++term_;
    ++elections_;
    voted_for_ = self_.incarnation;
    verified_ = commit_;
    acknowledged_ = 0;
    leader_round_ = 0;
    if (!Does(ReplicaOptions::Fault::kVoteNotWritten)) Changed();
  }
  const RequestVote request{pre_vote, transfer, log_.last(), log_.last_term()};
  for (const Member& voter : log_.voters())
    if (voter.incarnation != self_.incarnation) SendInTerm(voter, pre_vote ? term_ + 1 : term_, request, out);
  CountVotes(now, out);
}

// A candidate leads only once its disk holds its own vote: else it could stand in the same term once more
// after a loss of power, win by the same votes, and lead the term twice.
void Replica::CountVotes(Time now, ReplicaOut& out) {
  if (role_ == Role::kCandidate) {
    if (written_version_ < version_) return;
    if (std::find(votes_.begin(), votes_.end(), self_.incarnation) == votes_.end())
      votes_.push_back(self_.incarnation);
  }
  const bool won = MajorityOf([this](const Incarnation& life) {
    return std::any_of(votes_.begin(), votes_.end(), [&](const Incarnation& each) {
      return each == life || (Does(ReplicaOptions::Fault::kAnyDisk) && each.node == life.node);
    });
  });
  if (!won) return;
  if (role_ == Role::kPreCandidate) return Stand(now, false, false, out);
  if (role_ == Role::kCandidate) Lead(now, out);
}

bool Replica::IsVoter(const Incarnation& life) const {
  return std::any_of(log_.voters().begin(), log_.voters().end(),
                     [&](const Member& each) { return each.incarnation == life; });
}

// Also a voter whose removal isn't committed yet: a majority may want its log, and it votes for no shorter
// one.
bool Replica::MayStand() const {
  const std::vector<Member>& settled = log_.VotersAt(commit_);
  return IsVoter(self_.incarnation) ||
         std::any_of(settled.begin(), settled.end(),
                     [this](const Member& each) { return each.incarnation == self_.incarnation; });
}

// ---- Following ----

void Replica::On(Time now, const ReplicaMessage& m, const AppendEntries& append, ReplicaOut& out) {
  if (role_ == Role::kLeader) return;  // no other one has this term
  role_ = Role::kFollower;
  SetLeader(m.from, out);
  leader_heard_ = now;
  ResetElection(now);
  leader_round_ = std::max(leader_round_, append.round);
  verified_ = std::max(verified_, commit_);
  if (!TakeEntries(append, out)) return;
  Commit(std::min(append.commit, verified_), out);
  const std::uint64_t synced = Does(ReplicaOptions::Fault::kAckBeforeSync) ? log_.last() : written_last_;
  acknowledged_ = std::min(verified_, synced);
  Send(m.from, Appended{true, acknowledged_, append.round}, out);
}

// False: the log here has something else before these entries, and the leader was told where to look.
bool Replica::TakeEntries(const AppendEntries& append, ReplicaOut& out) {
  const std::uint64_t previous = append.previous_index;
  const bool behind_snapshot = previous < log_.begin();
  const bool matches = behind_snapshot || previous <= commit_ ||
                       (previous <= log_.last() && log_.TermAt(previous) == append.previous_term);
  if (!matches) {
    std::uint64_t hint = std::min(previous - 1, log_.last());
    const std::uint64_t term = log_.TermAt(std::max(hint, log_.begin()));
    while (hint > commit_ && hint > log_.begin() && log_.TermAt(hint) == term && previous <= log_.last())
      --hint;
    Send(*leader_, Appended{false, std::max(hint, commit_), append.round}, out);
    return false;
  }
  std::uint64_t index = previous;
  for (const LogEntry& entry : append.entries) {
    ++index;
    if (index <= commit_) continue;
    if (index <= log_.last() && log_.TermAt(index) == entry.term) continue;
    if (index <= log_.last()) {
      log_.Truncate(index - 1);
      NoteTruncated(index - 1);
    }
    if (log_.last() - log_.begin() + 1 >= kLogSlots) {
      --index;
      break;
    }
    log_.Append(entry);
    if (dirty_from_ == 0) dirty_from_ = index;
  }
  verified_ = std::max(verified_, std::min(index, log_.last()));
  return true;
}

// What the disk holds behind `last` counts no more, also where a write is under way.
void Replica::NoteTruncated(std::uint64_t last) {
  written_last_ = std::min(written_last_, last);
  writing_last_ = std::min(writing_last_, last);
  if (dirty_from_ > last + 1) dirty_from_ = last + 1;
  verified_ = std::min(verified_, last);
  Changed();
}

// Tells the leader what the disk has come to hold of its entries.
void Replica::Acknowledge(ReplicaOut& out) {
  const std::uint64_t synced = std::min(verified_, written_last_);
  if (!leader_ || synced <= acknowledged_) return;
  acknowledged_ = synced;
  Send(*leader_, Appended{true, synced, leader_round_}, out);
}

void Replica::Commit(std::uint64_t index, ReplicaOut& out) {
  while (commit_ < index) {
    const LogEntry& entry = log_.At(++commit_);
    if (!entry.command.empty())
      out.committed.push_back({commit_, entry.term, entry.logged_time, entry.command});
  }
}

void Replica::On(Time now, const ReplicaMessage& m, const InstallSnapshot& install, ReplicaOut& out) {
  if (role_ == Role::kLeader) return;
  role_ = Role::kFollower;
  SetLeader(m.from, out);
  leader_heard_ = now;
  ResetElection(now);
  leader_round_ = std::max(leader_round_, install.round);
  verified_ = std::max(verified_, commit_);
  if (install.index <= commit_) {
    acknowledged_ = std::min(verified_, written_last_);
    return Send(m.from, Appended{true, acknowledged_, install.round}, out);
  }
  const bool other = !incoming_ || incoming_->from != m.from.incarnation || incoming_->term != m.term ||
                     incoming_->index != install.index || incoming_->size != install.size;
  if (other) incoming_ = Incoming{m.from.incarnation, m.term, install.index, install.size, {}};
  if (install.offset == incoming_->bytes.size() && install.bytes.size() <= install.size - install.offset)
    incoming_->bytes += install.bytes;
  const std::uint64_t here = incoming_->bytes.size();
  if (here == install.size) TakeSnapshot(now, m, install, out);
  Send(m.from, SnapshotInstalled{install.index, here, install.round}, out);
}

// All of it is here. Entries behind it are kept only where they are known to follow it.
void Replica::TakeSnapshot(Time, const ReplicaMessage&, const InstallSnapshot& install, ReplicaOut& out) {
  std::string bytes = std::move(incoming_->bytes);
  incoming_.reset();
  const bool follows =
      install.index <= log_.last() && install.index >= log_.begin() &&
      (log_.TermAt(install.index) == install.last_term || Does(ReplicaOptions::Fault::kSnapshotKeepsLog));
  if (follows) {
    log_.Compact(install.index, bytes);
    if (dirty_from_ != 0) dirty_from_ = std::max(dirty_from_, install.index + 1);
  } else {
    log_.Install(install.index, install.last_term, install.time, install.voters, bytes);
    NoteTruncated(commit_);  // the disk holds the snapshot only after the next write
    dirty_from_ = 0;
  }
  snapshot_dirty_ = true;
  Changed();
  commit_ = install.index;
  verified_ = std::max(verified_, commit_);
  out.committed.clear();
  out.snapshot = std::move(bytes);
}

// ---- The disk ----

void Replica::StartWrite(Time now, ReplicaOut& out) {
  const bool dirty = version_ != written_version_ || dirty_from_ != 0 || snapshot_dirty_;
  if (writing_ || out.write || !dirty || now < write_after_) return;
  // A leader's entries gather with others until they are sent.
  if (flush_due_ && version_ == written_version_ && !snapshot_dirty_) return;
  Records records = EncodeHardState(self_.incarnation.number, term_, voted_for_, log_.begin(), log_.last());
  if (snapshot_dirty_)
    records.push_back(EncodeSnapshot(log_.begin(), log_.TermAt(log_.begin()), log_.snapshot_time(),
                                     log_.snapshot_voters(), log_.snapshot()));
  writing_from_ = dirty_from_;
  if (dirty_from_ != 0)
    for (std::uint64_t index = std::max(dirty_from_, log_.begin() + 1); index <= log_.last(); ++index)
      records.push_back(EncodeEntry(index, log_.At(index)));
  writing_ = true;
  writing_snapshot_ = std::exchange(snapshot_dirty_, false);
  dirty_from_ = 0;
  writing_last_ = log_.last();
  writing_version_ = version_;
  write_began_ = now;
  out.write = std::move(records);
}

}  // namespace curlewdoor::coordination
