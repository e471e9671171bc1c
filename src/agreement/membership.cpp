// Epochs: which voters come next, and how the present ones agree on them.
#include <algorithm>
#include <bit>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

using std::chrono::milliseconds;

namespace {

constexpr auto kProposalTimeout = milliseconds(1000);
constexpr auto kSealedFor = milliseconds(400);   // then the successor is found again
constexpr auto kNextInLine = milliseconds(700);  // each further member waits so much longer
constexpr auto kLearnInTurn = milliseconds(30);  // ... with the first ballot of an epoch

bool Holds(const std::vector<Member>& members, const Life& life) {
  return std::any_of(members.begin(), members.end(), [&life](const Member& m) { return m.life == life; });
}

}  // namespace

// Where the own record is the higher one it was proposed in an earlier epoch, and holds all that was chosen.
void Core::Adopt(Time now, Roster roster, RecordPtr record, const Stamp& stamp, Out& out) {
  if (stamp > state_.stamp) Replace(std::move(record), stamp);
  state_.roster = std::move(roster);
  state_.promised = {};
  state_.accepted.reset();
  state_.bound.clear();
  const std::uint64_t epoch = state_.roster.epoch;
  state_.register_promised = state_.stamp.epoch == epoch ? state_.stamp.ballot : Ballot{};
  Changed();
  learned_ = false;
  asks_since_.reset();
  committed_before_.assign(1, state_.stamp);
  learn_next_ = now + std::max(0, Index(self_.life)) * kLearnInTurn;
  attempt_.reset();
  proposal_.reset();
  offering_.reset();
  sealed_since_.reset();
  wish_since_.reset();
  highest_round_ = 0;
  register_round_ = state_.register_promised.round;
  out.roster_changed = true;
  out.notes.push_back("epoch " + std::to_string(epoch) + " of " +
                      std::to_string(state_.roster.members.size()) +
                      (member() ? " members" : " members, this one not among them"));
  std::vector<std::uint64_t> keys;
  for (const Call& call : calls_) keys.push_back(call.key);
  for (std::uint64_t key : keys) {
    Call& call = *FindCall(key);
    if (member()) {
      Restart(now, call, out);
    } else {
      Finish(key, call.put ? Outcome::kUncertain : Outcome::kNoMajority, out);
    }
  }
  Ping(now, out);
}

// ---- The successor ----

void Core::TickProposal(Time now, Out& out) {
  if (!member()) return;
  if (proposal_) {
    if (now >= proposal_->deadline) {
      FailProposal(now);
    } else if (now >= proposal_->next) {
      SendProposal(now, out);
    }
    return;
  }
  if (sealed()) {
    if (!sealed_since_) sealed_since_ = now;
    Duration wait = kSealedFor + Index(self_.life) * milliseconds(150);
    if (now - *sealed_since_ >= wait && now >= propose_after_) Propose(now, state_.accepted->members, out);
    return;
  }
  if (forgotten_ && now >= forgotten_->until) forgotten_.reset();
  if (auto without = forgotten_ && now >= propose_after_ ? WithoutForgotten(now) : std::nullopt)
    return Propose(now, std::move(*without), out);
  auto wish = majority(now) ? Wish(now) : std::nullopt;
  if (!wish) {
    wish_since_.reset();
    return;
  }
  if (!wish_since_) wish_since_ = now;
  int before = 0;
  for (const Member& m : state_.roster.members) {
    if (m.address < self_.address && Alive(m.life)) ++before;
  }
  if (now - *wish_since_ >= before * kNextInLine && now >= propose_after_) Propose(now, *wish, out);
}

void Core::SendProposal(Time now, Out& out) {
  proposal_->next = now + options_.again;
  if (proposal_->fetching) return Send(*proposal_->held_by, proposal_->request, Fetch{proposal_->held}, out);
  Body body = PrepareEpoch{proposal_->ballot};
  if (proposal_->accepting) body = AcceptEpoch{proposal_->ballot, proposal_->members};
  SendAll(proposal_->request, body, out);
}

void Core::FailProposal(Time now) {
  proposal_.reset();
  propose_after_ = now + milliseconds(100 + random_() % 300);
}

bool Core::Answers(Time now, const Life& life) const {
  auto peer = peers_.find(life);
  return peer != peers_.end() && peer->second.epoch == state_.roster.epoch &&
         peer->second.answered != Time{} && now - peer->second.answered <= options_.heard_for;
}

struct Core::Situation {
  std::uint32_t answering = 0;  // a bit a member of the roster
  int dead = -1;                // the member that is dead for the longest time
  bool all_alive = true;
  // Alive, heard of late and caught up; those of other machines than the members', the longest there first.
  std::vector<const Watch*> spares;
  std::optional<std::pair<std::size_t, const Watch*>> other_disk;  // a member's machine with another disk
};

Forgetting Core::Forget(Time now, const std::string& node, bool forced, Out& out) {
  const auto& members = state_.roster.members;
  if (!member() || sealed() || proposal_ || !majority(now) || !Installed()) return Forgetting::kNoMajority;
  auto found = std::find_if(members.begin(), members.end(),
                            [&node](const Member& each) { return each.life.node == node; });
  if (found == members.end()) return Forgetting::kNoMember;
  if (found->life == self_.life) return Forgetting::kItself;
  // It would be taken in again as soon as it is out.
  if (Alive(found->life) || Answers(now, found->life)) return Forgetting::kAlive;
  forgotten_ = Forgotten{found->life, forced, now + options_.forget_for};
  auto without = WithoutForgotten(now);
  if (!without) {
    forgotten_.reset();
    return Forgetting::kTooFew;
  }
  Propose(now, std::move(*without), out);
  Settle(now, out);
  return Forgetting::kProposed;
}

// None: the order doesn't hold any more.
std::optional<std::vector<Member>> Core::WithoutForgotten(Time now) const {
  const Life& life = forgotten_->life;
  if (Index(life) < 0 || Alive(life) || Answers(now, life) || !majority(now)) return std::nullopt;
  std::vector<Member> rest = state_.roster.members;
  std::erase_if(rest, [&life](const Member& m) { return m.life == life; });
  bool all = std::all_of(rest.begin(), rest.end(),
                         [&](const Member& m) { return m.life == self_.life || Answers(now, m.life); });
  const bool bears = all && rest.size() >= options_.least_members && CompleteAmong(Look(now).answering);
  if (!forgotten_->forced && !bears) return std::nullopt;
  return rest;
}

Core::Situation Core::Look(Time now) const {
  const std::vector<Member>& members = state_.roster.members;
  Situation seen;
  Time dead_since{};
  for (std::size_t i = 0; i < members.size(); ++i) {
    const Life& life = members[i].life;
    if (life == self_.life || Answers(now, life)) seen.answering |= 1u << i;
    const auto watch = watch_.find(life);
    if (life == self_.life || watch == watch_.end() || watch->second.alive) continue;  // or not viewed yet
    seen.all_alive = false;
    const Time since = std::max(watch->second.since, HeardFrom(life));
    if (now - since < options_.dead_for || (seen.dead >= 0 && since >= dead_since)) continue;
    seen.dead = static_cast<int>(i);
    dead_since = since;
  }
  for (const auto& [life, watch] : watch_) {
    const Time heard = HeardFrom(life);
    if (!watch.alive || Index(life) >= 0 || heard == Time{} || now - heard > 2 * options_.heard_for) continue;
    if (!CaughtUp(life)) continue;  // first it learns what is chosen
    bool other = true;
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i].life.node != life.node && members[i].address != watch.member.address) continue;
      other = false;
      if (!seen.other_disk && members[i].life != self_.life && heard > HeardFrom(members[i].life))
        seen.other_disk = {i, &watch};
    }
    if (other) seen.spares.push_back(&watch);
  }
  std::stable_sort(seen.spares.begin(), seen.spares.end(),
                   [](const Watch* a, const Watch* b) { return a->since < b->since; });
  return seen;
}

std::vector<Place> Core::Places() const {
  std::vector<Place> places;
  for (const Member& m : state_.roster.members) {
    const auto watch = watch_.find(m.life);
    places.push_back(m.life == self_.life ? place_ : watch != watch_.end() ? watch->second.place : Place{});
  }
  return places;
}

// The roster that the view calls for; none: this one is right, or isn't in force at a majority yet.
std::optional<std::vector<Member>> Core::Wish(Time now) const {
  const std::vector<Member>& members = state_.roster.members;
  const Situation seen = Look(now);
  if (!IsQuorum(seen.answering) || !Installed() || !CompleteAmong(seen.answering)) return std::nullopt;
  std::vector<Member> next = members;
  if (seen.other_disk) {
    next[seen.other_disk->first] = seen.other_disk->second->member;
    return next;
  }
  std::vector<Place> spares;
  for (const Watch* spare : seen.spares) spares.push_back(spare->place);
  const auto dead = static_cast<std::size_t>(std::max(0, seen.dead));
  if (seen.dead >= 0 && !spares.empty()) {
    next[dead] = seen.spares[*BestSpare(Places(), spares, options_.spread, dead)]->member;
    return next;
  }
  // Not while another is away: a smaller roster can bear less.
  const auto answering = static_cast<std::size_t>(std::popcount(seen.answering));
  if (seen.dead >= 0 && members.size() > state_.roster.first_size && answering + 1 == members.size()) {
    next.erase(next.begin() + seen.dead);
    return next;
  }
  // Views lag: who doesn't answer may be lost already, and a larger roster asks for more of the rest.
  if (!seen.all_alive || answering != members.size()) return std::nullopt;
  return WishForSpread(now, seen);
}

// All are there: one is exchanged, or goes, where that puts the spread right, or one more comes.
std::optional<std::vector<Member>> Core::WishForSpread(Time now, const Situation& seen) const {
  const std::vector<Place> places = Places();
  std::vector<Member> next = state_.roster.members;
  std::vector<Place> spares;
  std::vector<const Watch*> settled;  // a view of them that has just changed may change again
  for (const Watch* spare : seen.spares) {
    if (now - spare->since < options_.grow_after) continue;
    settled.push_back(spare);
    spares.push_back(spare->place);
  }
  const auto self = static_cast<std::size_t>(Index(self_.life));
  const auto change = BetterPlacement(places, spares, options_.spread, self, options_.least_members);
  if (change && change->in) {
    next[*change->out] = settled[*change->in]->member;
    return next;
  }
  if (change) {
    next.erase(next.begin() + static_cast<std::ptrdiff_t>(*change->out));
    return next;
  }
  const auto more = BestSpare(places, spares, options_.spread, std::nullopt);
  if (!more || next.size() >= kMostMembers) return std::nullopt;
  std::vector<Place> grown = places;
  grown.push_back(spares[*more]);
  if (ExcessOf(grown, options_.spread) > ExcessOf(places, options_.spread)) return std::nullopt;
  next.push_back(settled[*more]->member);
  return next;
}

void Core::Propose(Time now, std::vector<Member> members, Out& out) {
  Proposal proposal;
  proposal.ballot = {++highest_round_, random_()};
  proposal.request = next_id_++;
  proposal.members = std::move(members);
  proposal.deadline = now + kProposalTimeout;
  proposal_ = std::move(proposal);
  SendProposal(now, out);
}

void Core::OnPrepareEpoch(const Message& m, const PrepareEpoch& prepare, Out& out) {
  highest_round_ = std::max(highest_round_, prepare.ballot.round);
  const bool ok = prepare.ballot >= state_.promised;
  if (prepare.ballot > state_.promised) {
    state_.promised = prepare.ballot;
    if (!Does(Options::Fault::kBallotForgotten)) Changed();
  }
  Reply(m, EpochPromised{ok, state_.promised, state_.accepted}, out);
}

void Core::OnEpochPromised(Time now, const Message& m, const EpochPromised& promised, Out& out) {
  highest_round_ = std::max(highest_round_, promised.ballot.round);
  if (!proposal_ || proposal_->request != m.id || proposal_->accepting) return;
  if (!promised.ok || promised.ballot != proposal_->ballot) return FailProposal(now);
  proposal_->votes |= 1u << Index(m.from.life);
  if (promised.accepted && (!proposal_->best || promised.accepted->ballot > proposal_->best->ballot)) {
    proposal_->best = promised.accepted;
  }
  if (!Does(Options::Fault::kEpochAlone) && !IsQuorum(proposal_->votes)) return;
  if (proposal_->best) proposal_->members = proposal_->best->members;
  proposal_->accepting = true;
  proposal_->votes = 0;
  proposal_->request = next_id_++;
  SendProposal(now, out);
}

// From here on this epoch is sealed here: its register takes nothing more, so what is told stays the highest.
void Core::OnAcceptEpoch(Time now, const Message& m, const AcceptEpoch& accept, Out& out) {
  highest_round_ = std::max(highest_round_, accept.ballot.round);
  if (accept.members.empty()) {
    ++dropped_;
    return;
  }
  const bool ok = accept.ballot >= state_.promised;
  if (ok && (!state_.accepted || state_.accepted->ballot != accept.ballot)) {
    state_.promised = accept.ballot;
    state_.accepted = Accepting{accept.ballot, accept.members};
    sealed_since_ = now;
    Changed();
  }
  Reply(m, EpochAccepted{ok, state_.promised, state_.stamp}, out);
}

void Core::OnEpochAccepted(Time now, const Message& m, const EpochAccepted& accepted, Out& out) {
  highest_round_ = std::max(highest_round_, accepted.ballot.round);
  if (!proposal_ || proposal_->request != m.id || !proposal_->accepting || proposal_->fetching) return;
  if (!accepted.ok) return FailProposal(now);
  proposal_->votes |= 1u << Index(m.from.life);
  if (!proposal_->held_by || accepted.held > proposal_->held) {
    proposal_->held = accepted.held;
    proposal_->held_by = m.from;
  }
  if (!Does(Options::Fault::kEpochAlone) && !IsQuorum(proposal_->votes)) return;
  if (proposal_->held <= committed_stamp_) return ChooseEpoch(now, committed_, committed_stamp_, out);
  if (proposal_->held == state_.stamp) return ChooseEpoch(now, held_, state_.stamp, out);
  proposal_->fetching = true;
  proposal_->request = next_id_++;
  SendProposal(now, out);
}

// The successor is chosen, and `record` is what it begins with. All of the new voters are told, and those
// that are out.
void Core::ChooseEpoch(Time now, RecordPtr record, const Stamp& stamp, Out& out) {
  std::vector<Member> next = proposal_->members, last = state_.roster.members;
  Adopt(now, {state_.roster.epoch + 1, next, state_.roster.first_size}, std::move(record), stamp, out);
  for (const Member& to : last) {
    if (!Holds(next, to.life)) next.push_back(to);
  }
  for (const Member& to : next) {
    if (to.life != self_.life) Bring(now, to, out);  // waits for its own disk
  }
}

// ---- Redundancy ----

bool Core::HasTold(const Life& life, const Stamp& stamp) const {
  const std::uint64_t epoch = state_.roster.epoch;
  if (life == self_.life) return written_epoch_ == epoch && written_stamp_ >= stamp;
  const auto holding = holdings_.find(life);
  return holding != holdings_.end() && holding->second.epoch == epoch && holding->second.stamp >= stamp;
}

// Changes may come faster than what is told of them. A successor's InstallEpoch brings the rest.
bool Core::CaughtUp(const Life& life) const {
  return HasTold(life, committed_before_.empty() ? committed_stamp_ : committed_before_.front());
}

// Told in this epoch, synced. Answers may be late: what is held only rises.
void Core::NoteHolding(const Life& life, const Stamp& stamp) {
  if (life == self_.life) return;
  Holding& holding = holdings_[life];
  if (holding.epoch != state_.roster.epoch) holding = {state_.roster.epoch, stamp};
  holding.stamp = std::max(holding.stamp, stamp);
}

bool Core::Installed() const {
  if (Does(Options::Fault::kChangeEarly)) return true;
  std::uint32_t installed = 0;
  for (std::size_t i = 0; i < state_.roster.members.size(); ++i) {
    const Life& life = state_.roster.members[i].life;
    const auto holding = holdings_.find(life);
    const bool told = holding != holdings_.end() && holding->second.epoch == state_.roster.epoch;
    const bool own = life == self_.life && written_epoch_ == state_.roster.epoch;
    if (told || own) installed |= 1u << i;
  }
  return IsQuorum(installed);
}

void Core::SetComplete(std::uint64_t epoch, std::vector<Life> members) {
  if (epoch == state_.roster.epoch) complete_ = {epoch, std::move(members)};
}

bool Core::IsComplete(const Life& life) const {
  if (!options_.waits_for_complete) return true;
  if (complete_.epoch != state_.roster.epoch) return false;
  return std::find(complete_.members.begin(), complete_.members.end(), life) != complete_.members.end();
}

// A member that is complete but lost can't tell the next epoch what it knew: only those that answer count.
bool Core::CompleteAmong(std::uint32_t answering) const {
  if (Does(Options::Fault::kChangeIncomplete)) return true;
  std::uint32_t complete = 0;
  for (std::size_t i = 0; i < state_.roster.members.size(); ++i) {
    const bool answers = (answering >> i & 1) != 0;
    if (answers && IsComplete(state_.roster.members[i].life)) complete |= 1u << i;
  }
  return IsQuorum(complete);
}

// What was accepted here may be chosen, whether this one has heard of it or not. As many others hold it as
// make a majority without this one (all of them, of two): what the core bears, it bears then. Who has told
// that it holds it may be lost by now, so fewer won't do.
bool Core::HandedOver(Time now) const { return HandedOver(now, state_.stamp); }

bool Core::HandedOver(Time now, const Stamp& stamp) const {
  if (!member() || Does(Options::Fault::kLeaveEarly)) return true;
  const std::size_t size = state_.roster.members.size();
  std::size_t holders = 0;
  for (const Member& m : state_.roster.members) {
    if (m.life == self_.life) continue;
    if (HasTold(m.life, stamp)) {
      ++holders;
    } else if (Answers(now, m.life)) {
      return false;
    }
  }
  return holders >= std::min(size / 2 + 1, size - 1) && !attempt_;
}

CoreStatus Core::Status(Time now) const {
  CoreStatus status;
  status.epoch = state_.roster.epoch;
  int caught_up = 0;
  for (const Member& m : state_.roster.members) {
    const bool answers = m.life == self_.life || Answers(now, m.life);
    const bool holds = CaughtUp(m.life) && IsComplete(m.life);
    status.voters.push_back({m, answers, holds});
    caught_up += answers && holds ? 1 : 0;
  }
  status.spread = SpreadOf(Places());
  status.wanted = options_.spread;
  status.further_losses = caught_up - static_cast<int>(state_.roster.members.size() / 2 + 1);
  return status;
}

}  // namespace curlewdoor::agreement
