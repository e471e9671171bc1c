// Epochs: which voters come next, and how the current ones agree on them.
#include <algorithm>
#include <bit>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

using std::chrono::milliseconds;

namespace {

constexpr auto kProposalTimeout = milliseconds(1000);
// A member that is sealed for this long proposes the accepted successor itself.
constexpr auto kSealedRetryAfter = milliseconds(400);
constexpr auto kRankDelay = milliseconds(700);      // extra wait per live member of a lower address
constexpr auto kLearnRankDelay = milliseconds(30);  // extra wait per rank before the first read of an epoch

bool ContainsIncarnation(const std::vector<Member>& members, const Incarnation& incarnation) {
  return std::any_of(members.begin(), members.end(),
                     [&incarnation](const Member& m) { return m.incarnation == incarnation; });
}

}  // namespace

// Enters a newer epoch. If the record held here is newer than `record`, it was proposed in an earlier epoch
// and contains all that was chosen, so it is kept.
void Core::EnterEpoch(Time now, Membership membership, RecordPtr record, const Stamp& stamp,
                      CoreOutput& out) {
  if (stamp > state_.stamp) ReplaceHeldRecord(std::move(record), stamp);
  state_.membership = std::move(membership);
  state_.promised = {};
  state_.accepted.reset();
  state_.accepted_proposers.clear();
  const std::uint64_t epoch = state_.membership.epoch;
  state_.register_promised = state_.stamp.epoch == epoch ? state_.stamp.ballot : Ballot{};
  MarkStateChanged();
  learned_ = false;
  asking_since_.reset();
  recent_committed_.assign(1, state_.stamp);
  next_learn_at_ = now + std::max(0, MemberIndex(self_.incarnation)) * kLearnRankDelay;
  attempt_.reset();
  proposal_.reset();
  pending_offer_.reset();
  sealed_since_.reset();
  change_wanted_since_.reset();
  highest_round_ = 0;
  register_round_ = state_.register_promised.round;
  out.membership_changed = true;
  out.log_messages.push_back("epoch " + std::to_string(epoch) + " of " +
                             std::to_string(state_.membership.members.size()) +
                             (member() ? " members" : " members, this one not among them"));
  std::vector<std::uint64_t> keys;
  for (const Call& call : calls_) keys.push_back(call.key);
  for (std::uint64_t key : keys) {
    Call& call = *FindCall(key);
    if (member()) {
      RestartCall(now, call, out);
    } else {
      FinishCall(key, call.put ? CallOutcome::kUncertain : CallOutcome::kNoMajority, out);
    }
  }
  Ping(now, out);
}

// ---- Successor ----

void Core::TickProposal(Time now, CoreOutput& out) {
  if (!member()) return;
  if (proposal_) {
    if (now >= proposal_->deadline) {
      FailProposal(now);
    } else if (now >= proposal_->next_send_at) {
      SendProposal(now, out);
    }
    return;
  }
  if (sealed()) {
    if (!sealed_since_) sealed_since_ = now;
    Duration wait = kSealedRetryAfter + MemberIndex(self_.incarnation) * milliseconds(150);
    if (now - *sealed_since_ >= wait && now >= next_proposal_at_) Propose(now, state_.accepted->members, out);
    return;
  }
  if (forget_order_ && now >= forget_order_->until) forget_order_.reset();
  if (auto remaining =
          forget_order_ && now >= next_proposal_at_ ? MembersWithoutForgotten(now) : std::nullopt)
    return Propose(now, std::move(*remaining), out);
  auto desired = majority(now) ? DesiredMembers(now) : std::nullopt;
  if (!desired) {
    change_wanted_since_.reset();
    return;
  }
  if (!change_wanted_since_) change_wanted_since_ = now;
  int before = 0;
  for (const Member& m : state_.membership.members) {
    if (m.address < self_.address && IsAlive(m.incarnation)) ++before;
  }
  if (now - *change_wanted_since_ >= before * kRankDelay && now >= next_proposal_at_)
    Propose(now, *desired, out);
}

void Core::SendProposal(Time now, CoreOutput& out) {
  proposal_->next_send_at = now + options_.resend_interval;
  if (proposal_->fetching)
    return Send(*proposal_->held_by, proposal_->request, RecordRequest{proposal_->held}, out);
  CoreMessageBody body = EpochPrepare{proposal_->ballot};
  if (proposal_->accepting) body = EpochAccept{proposal_->ballot, proposal_->members};
  SendAll(proposal_->request, body, out);
}

void Core::FailProposal(Time now) {
  proposal_.reset();
  next_proposal_at_ = now + milliseconds(100 + random_() % 300);
}

bool Core::IsResponsive(Time now, const Incarnation& incarnation) const {
  auto peer = peers_.find(incarnation);
  return peer != peers_.end() && peer->second.epoch == state_.membership.epoch &&
         peer->second.last_answered != Time{} && now - peer->second.last_answered <= options_.response_window;
}

struct Core::MembershipSurvey {
  std::uint32_t responsive_voters = 0;  // one bit per voter
  int dead = -1;  // the voter that has been dead longest, for at least replace_dead_after; -1: none
  bool all_alive = true;
  // Machines other than those of the voters that are alive, heard from recently and caught up; the ones
  // present longest first.
  std::vector<const ObservedPeer*> spares;
  // A voter's index, and its machine as another incarnation that was heard from more recently.
  std::optional<std::pair<std::size_t, const ObservedPeer*>> replacement;
};

ForgetResult Core::Forget(Time now, const std::string& node, bool forced, CoreOutput& out) {
  const auto& members = state_.membership.members;
  if (!member() || sealed() || proposal_ || !majority(now) || !IsEpochInstalled())
    return ForgetResult::kNoMajority;
  auto found = std::find_if(members.begin(), members.end(),
                            [&node](const Member& each) { return each.incarnation.node == node; });
  if (found == members.end()) return ForgetResult::kNoMember;
  if (found->incarnation == self_.incarnation) return ForgetResult::kItself;
  // It would be added again right after its removal.
  if (IsAlive(found->incarnation) || IsResponsive(now, found->incarnation)) return ForgetResult::kAlive;
  forget_order_ = ForgetOrder{found->incarnation, forced, now + options_.forget_timeout};
  auto remaining = MembersWithoutForgotten(now);
  if (!remaining) {
    forget_order_.reset();
    return ForgetResult::kTooFew;
  }
  Propose(now, std::move(*remaining), out);
  ProcessPending(now, out);
  return ForgetResult::kProposed;
}

// The voters without the member that an operator has given up; nullopt: the request is no longer valid.
std::optional<std::vector<Member>> Core::MembersWithoutForgotten(Time now) const {
  const Incarnation& incarnation = forget_order_->incarnation;
  if (MemberIndex(incarnation) < 0 || IsAlive(incarnation) || IsResponsive(now, incarnation) ||
      !majority(now))
    return std::nullopt;
  std::vector<Member> rest = state_.membership.members;
  std::erase_if(rest, [&incarnation](const Member& m) { return m.incarnation == incarnation; });
  bool all = std::all_of(rest.begin(), rest.end(), [&](const Member& m) {
    return m.incarnation == self_.incarnation || IsResponsive(now, m.incarnation);
  });
  const bool enough_remain = all && rest.size() >= options_.min_members &&
                             HasCompleteQuorum(SurveyMembership(now).responsive_voters);
  if (!forget_order_->forced && !enough_remain) return std::nullopt;
  return rest;
}

Core::MembershipSurvey Core::SurveyMembership(Time now) const {
  const std::vector<Member>& members = state_.membership.members;
  MembershipSurvey seen;
  Time longest_dead_since{};
  for (std::size_t i = 0; i < members.size(); ++i) {
    const Incarnation& incarnation = members[i].incarnation;
    if (incarnation == self_.incarnation || IsResponsive(now, incarnation)) seen.responsive_voters |= 1u << i;
    const auto observed = observed_.find(incarnation);
    if (incarnation == self_.incarnation || observed == observed_.end() || observed->second.alive)
      continue;  // alive, or not in a view yet
    seen.all_alive = false;
    const Time since = std::max(observed->second.since, LastHeardFrom(incarnation));
    if (now - since < options_.replace_dead_after || (seen.dead >= 0 && since >= longest_dead_since))
      continue;
    seen.dead = static_cast<int>(i);
    longest_dead_since = since;
  }
  for (const auto& [incarnation, observed] : observed_) {
    const Time heard = LastHeardFrom(incarnation);
    if (!observed.alive || MemberIndex(incarnation) >= 0 || heard == Time{} ||
        now - heard > 2 * options_.response_window)
      continue;
    if (!CaughtUp(incarnation)) continue;  // it first has to learn what is chosen
    bool other = true;
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i].incarnation.node != incarnation.node && members[i].address != observed.member.address)
        continue;
      other = false;
      if (!seen.replacement && members[i].incarnation != self_.incarnation &&
          heard > LastHeardFrom(members[i].incarnation))
        seen.replacement = {i, &observed};
    }
    if (other) seen.spares.push_back(&observed);
  }
  std::stable_sort(seen.spares.begin(), seen.spares.end(),
                   [](const ObservedPeer* a, const ObservedPeer* b) { return a->since < b->since; });
  return seen;
}

std::vector<Location> Core::MemberLocations() const {
  std::vector<Location> locations;
  for (const Member& m : state_.membership.members) {
    const auto observed = observed_.find(m.incarnation);
    locations.push_back(m.incarnation == self_.incarnation ? location_
                        : observed != observed_.end()      ? observed->second.location
                                                           : Location{});
  }
  return locations;
}

// The membership that the view calls for. nullopt: the current one is right, or is not installed at a
// majority yet.
std::optional<std::vector<Member>> Core::DesiredMembers(Time now) const {
  const std::vector<Member>& members = state_.membership.members;
  const MembershipSurvey seen = SurveyMembership(now);
  if (!IsQuorum(seen.responsive_voters) || !IsEpochInstalled() || !HasCompleteQuorum(seen.responsive_voters))
    return std::nullopt;
  std::vector<Member> next = members;
  if (seen.replacement) {
    next[seen.replacement->first] = seen.replacement->second->member;
    return next;
  }
  std::vector<Location> spares;
  for (const ObservedPeer* spare : seen.spares) spares.push_back(spare->location);
  const auto dead = static_cast<std::size_t>(std::max(0, seen.dead));
  if (seen.dead >= 0 && !spares.empty()) {
    next[dead] = seen.spares[*BestSpare(MemberLocations(), spares, options_.wanted_tolerance, dead)]->member;
    return next;
  }
  // Not while another voter is unresponsive: a smaller membership may tolerate less.
  const auto responsive = static_cast<std::size_t>(std::popcount(seen.responsive_voters));
  if (seen.dead >= 0 && members.size() > state_.membership.initial_size && responsive + 1 == members.size()) {
    next.erase(next.begin() + seen.dead);
    return next;
  }
  // Views lag: an unresponsive voter may be lost already, and a larger membership would need more of the
  // others.
  if (!seen.all_alive || responsive != members.size()) return std::nullopt;
  return DesiredMembersForTolerance(now, seen);
}

// All voters respond: replaces or removes one if that improves the fault tolerance, or adds one.
std::optional<std::vector<Member>> Core::DesiredMembersForTolerance(Time now,
                                                                    const MembershipSurvey& seen) const {
  const std::vector<Location> locations = MemberLocations();
  std::vector<Member> next = state_.membership.members;
  std::vector<Location> spares;
  // Spares that are present for long enough; a recent change may be reversed soon.
  std::vector<const ObservedPeer*> stable_spares;
  for (const ObservedPeer* spare : seen.spares) {
    if (now - spare->since < options_.grow_after) continue;
    stable_spares.push_back(spare);
    spares.push_back(spare->location);
  }
  const auto self = static_cast<std::size_t>(MemberIndex(self_.incarnation));
  const auto change =
      BetterPlacement(locations, spares, options_.wanted_tolerance, self, options_.min_members);
  if (change && change->in) {
    next[*change->out] = stable_spares[*change->in]->member;
    return next;
  }
  if (change) {
    next.erase(next.begin() + static_cast<std::ptrdiff_t>(*change->out));
    return next;
  }
  const auto addition = BestSpare(locations, spares, options_.wanted_tolerance, std::nullopt);
  if (!addition || next.size() >= kMaxMembers) return std::nullopt;
  std::vector<Location> extended = locations;
  extended.push_back(spares[*addition]);
  if (PlacementExcess(extended, options_.wanted_tolerance) >
      PlacementExcess(locations, options_.wanted_tolerance))
    return std::nullopt;
  next.push_back(stable_spares[*addition]->member);
  return next;
}

void Core::Propose(Time now, std::vector<Member> members, CoreOutput& out) {
  EpochProposal proposal;
  proposal.ballot = {++highest_round_, random_()};
  proposal.request = next_id_++;
  proposal.members = std::move(members);
  proposal.deadline = now + kProposalTimeout;
  proposal_ = std::move(proposal);
  SendProposal(now, out);
}

void Core::OnEpochPrepare(const CoreMessage& m, const EpochPrepare& prepare, CoreOutput& out) {
  highest_round_ = std::max(highest_round_, prepare.ballot.round);
  const bool ok = prepare.ballot >= state_.promised;
  if (prepare.ballot > state_.promised) {
    state_.promised = prepare.ballot;
    if (!HasFault(CoreOptions::Fault::kPromiseNotPersisted)) MarkStateChanged();
  }
  Reply(m, EpochPromise{ok, state_.promised, state_.accepted}, out);
}

void Core::OnEpochPromise(Time now, const CoreMessage& m, const EpochPromise& promised, CoreOutput& out) {
  highest_round_ = std::max(highest_round_, promised.ballot.round);
  if (!proposal_ || proposal_->request != m.id || proposal_->accepting) return;
  if (!promised.ok || promised.ballot != proposal_->ballot) return FailProposal(now);
  proposal_->votes |= 1u << MemberIndex(m.from.incarnation);
  if (promised.accepted && (!proposal_->best || promised.accepted->ballot > proposal_->best->ballot)) {
    proposal_->best = promised.accepted;
  }
  if (!HasFault(CoreOptions::Fault::kEpochWithoutQuorum) && !IsQuorum(proposal_->votes)) return;
  if (proposal_->best) proposal_->members = proposal_->best->members;
  proposal_->accepting = true;
  proposal_->votes = 0;
  proposal_->request = next_id_++;
  SendProposal(now, out);
}

// Accepting a successor seals this epoch here: its register accepts nothing more, so the record reported
// in the reply remains the highest.
void Core::OnEpochAccept(Time now, const CoreMessage& m, const EpochAccept& accept, CoreOutput& out) {
  highest_round_ = std::max(highest_round_, accept.ballot.round);
  if (accept.members.empty()) {
    ++dropped_;
    return;
  }
  const bool ok = accept.ballot >= state_.promised;
  if (ok && (!state_.accepted || state_.accepted->ballot != accept.ballot)) {
    state_.promised = accept.ballot;
    state_.accepted = AcceptedProposal{accept.ballot, accept.members};
    sealed_since_ = now;
    MarkStateChanged();
  }
  Reply(m, EpochAccepted{ok, state_.promised, state_.stamp}, out);
}

void Core::OnEpochAccepted(Time now, const CoreMessage& m, const EpochAccepted& accepted, CoreOutput& out) {
  highest_round_ = std::max(highest_round_, accepted.ballot.round);
  if (!proposal_ || proposal_->request != m.id || !proposal_->accepting || proposal_->fetching) return;
  if (!accepted.ok) return FailProposal(now);
  proposal_->votes |= 1u << MemberIndex(m.from.incarnation);
  if (!proposal_->held_by || accepted.held > proposal_->held) {
    proposal_->held = accepted.held;
    proposal_->held_by = m.from;
  }
  if (!HasFault(CoreOptions::Fault::kEpochWithoutQuorum) && !IsQuorum(proposal_->votes)) return;
  if (proposal_->held <= committed_stamp_) return ChooseEpoch(now, committed_, committed_stamp_, out);
  if (proposal_->held == state_.stamp) return ChooseEpoch(now, held_record_, state_.stamp, out);
  proposal_->fetching = true;
  proposal_->request = next_id_++;
  SendProposal(now, out);
}

// The successor is chosen and starts with `record`. Sends it to all new voters, and to the removed ones.
void Core::ChooseEpoch(Time now, RecordPtr record, const Stamp& stamp, CoreOutput& out) {
  std::vector<Member> next = proposal_->members, last = state_.membership.members;
  EnterEpoch(now, {state_.membership.epoch + 1, next, state_.membership.initial_size}, std::move(record),
             stamp, out);
  for (const Member& to : last) {
    if (!ContainsIncarnation(next, to.incarnation)) next.push_back(to);
  }
  for (const Member& to : next) {
    if (to.incarnation != self_.incarnation)
      SendInstallEpoch(now, to, out);  // held back until it is synced here
  }
}

// ---- Redundancy ----

bool Core::HasReported(const Incarnation& incarnation, const Stamp& stamp) const {
  const std::uint64_t epoch = state_.membership.epoch;
  if (incarnation == self_.incarnation) return written_epoch_ == epoch && written_stamp_ >= stamp;
  const auto holding = reported_records_.find(incarnation);
  return holding != reported_records_.end() && holding->second.epoch == epoch &&
         holding->second.stamp >= stamp;
}

// Records may change faster than they are reported. The InstallEpoch of a successor carries the rest.
bool Core::CaughtUp(const Incarnation& incarnation) const {
  return HasReported(incarnation, recent_committed_.empty() ? committed_stamp_ : recent_committed_.front());
}

// Notes what a member reports to have on disk in this epoch. Replies may arrive late, but what is held only
// grows.
void Core::UpdateReportedRecord(const Incarnation& incarnation, const Stamp& stamp) {
  if (incarnation == self_.incarnation) return;
  ReportedRecord& holding = reported_records_[incarnation];
  if (holding.epoch != state_.membership.epoch) holding = {state_.membership.epoch, stamp};
  holding.stamp = std::max(holding.stamp, stamp);
}

bool Core::IsEpochInstalled() const {
  if (HasFault(CoreOptions::Fault::kChangeBeforeInstall)) return true;
  std::uint32_t installed_epoch = 0;
  for (std::size_t i = 0; i < state_.membership.members.size(); ++i) {
    const Incarnation& incarnation = state_.membership.members[i].incarnation;
    const auto holding = reported_records_.find(incarnation);
    const bool reported =
        holding != reported_records_.end() && holding->second.epoch == state_.membership.epoch;
    const bool own = incarnation == self_.incarnation && written_epoch_ == state_.membership.epoch;
    if (reported || own) installed_epoch |= 1u << i;
  }
  return IsQuorum(installed_epoch);
}

void Core::SetCompleteMembers(std::uint64_t epoch, std::vector<Incarnation> members) {
  if (epoch == state_.membership.epoch) complete_members_ = {epoch, std::move(members)};
}

bool Core::IsComplete(const Incarnation& incarnation) const {
  if (!options_.wait_for_complete) return true;
  if (complete_members_.epoch != state_.membership.epoch) return false;
  return std::find(complete_members_.members.begin(), complete_members_.members.end(), incarnation) !=
         complete_members_.members.end();
}

// A lost member cannot pass on what it knew, however complete it was: only responsive ones count.
bool Core::HasCompleteQuorum(std::uint32_t responsive_voters) const {
  if (HasFault(CoreOptions::Fault::kChangeBeforeComplete)) return true;
  std::uint32_t complete = 0;
  for (std::size_t i = 0; i < state_.membership.members.size(); ++i) {
    const bool responds = (responsive_voters >> i & 1) != 0;
    if (responds && IsComplete(state_.membership.members[i].incarnation)) complete |= 1u << i;
  }
  return IsQuorum(complete);
}

// What this member has accepted may be chosen even if it does not know that. The handover is complete when as
// many other voters hold it as form a majority (all of them if there are two): the core then tolerates as
// many losses as before. Fewer are not enough, because a voter that has reported to hold it may be lost by
// now.
bool Core::HandedOver(Time now) const { return HandedOver(now, state_.stamp); }

bool Core::HandedOver(Time now, const Stamp& stamp) const {
  if (!member() || HasFault(CoreOptions::Fault::kLeaveBeforeHandover)) return true;
  const std::size_t size = state_.membership.members.size();
  std::size_t holders = 0;
  for (const Member& m : state_.membership.members) {
    if (m.incarnation == self_.incarnation) continue;
    if (HasReported(m.incarnation, stamp)) {
      ++holders;
    } else if (IsResponsive(now, m.incarnation)) {
      return false;
    }
  }
  return holders >= std::min(size / 2 + 1, size - 1) && !attempt_;
}

CoreStatus Core::Status(Time now) const {
  CoreStatus status;
  status.epoch = state_.membership.epoch;
  int caught_up = 0;
  for (const Member& m : state_.membership.members) {
    const bool answers = m.incarnation == self_.incarnation || IsResponsive(now, m.incarnation);
    const bool holds = CaughtUp(m.incarnation) && IsComplete(m.incarnation);
    status.voters.push_back({m, answers, holds});
    caught_up += answers && holds ? 1 : 0;
  }
  status.tolerance = FaultToleranceOf(MemberLocations());
  status.wanted = options_.wanted_tolerance;
  status.further_losses = caught_up - static_cast<int>(state_.membership.members.size() / 2 + 1);
  return status;
}

}  // namespace curlewdoor::agreement
