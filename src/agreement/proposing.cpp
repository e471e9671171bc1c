// Rosters: the first one, and each one's successor.
#include <algorithm>
#include <bit>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

using std::chrono::milliseconds;

namespace {

constexpr auto kOfferTimeout = milliseconds(600);
constexpr auto kProposalTimeout = milliseconds(1000);
constexpr auto kSealedFor = milliseconds(400);   // then the successor is found again
constexpr auto kNextInLine = milliseconds(700);  // each further member waits so much longer

bool Holds(const std::vector<Member>& members, const Life& life) {
  return std::any_of(members.begin(), members.end(), [&life](const Member& m) { return m.life == life; });
}

}  // namespace

void Core::Adopt(Time now, std::uint64_t epoch, std::vector<Member> members, std::uint32_t first, Out& out) {
  state_.roster = {epoch, std::move(members), first};
  state_.promised = {};
  state_.accepted.reset();
  state_.bound.clear();
  Changed();
  learned_ = false;
  learn_next_ = now;
  proposal_.reset();
  offering_.reset();
  sealed_since_.reset();
  wish_since_.reset();
  highest_round_ = 0;
  out.roster_changed = true;
  out.notes.push_back("epoch " + std::to_string(epoch) + " of " +
                      std::to_string(state_.roster.members.size()) +
                      (member() ? " members" : " members, this one not among them"));
  std::vector<std::uint64_t> requests;
  for (const Call& call : calls_) requests.push_back(call.request);
  for (std::uint64_t request : requests) {
    if (member()) {
      Restart(now, *FindCall(request), out);
    } else {
      Finish(request, Outcome::kNoMajority, {}, out);
    }
  }
  Ping(now, out);
}

void Core::Found(Time now, std::vector<Member> members, Out& out) {
  if (state_.roster.epoch != 0 || members.empty() || members.size() > kMostMembers) return;
  const auto size = static_cast<std::uint32_t>(members.size());
  Adopt(now, 1, std::move(members), size, out);
  Settle(now, out);
}

// ---- The first roster ----
//
// Epoch 1 starts with an offer that all in it have taken. Two offers that share a taker can't both start: who
// has taken P's offer takes Q's only when P is in Q's list; so P has taken Q's, and had to drop its own
// attempt for that (and one that has started doesn't take offers). Attempts are in memory: a proposer that
// starts anew has none. Offers without a common taker are kept apart by least_members alone.

std::vector<Member> Core::First() const {
  std::vector<Member> members{self_};
  for (const auto& [life, watch] : watch_) {
    bool never = std::find(never_.begin(), never_.end(), life) != never_.end();
    if (watch.alive && !never && members.size() < kMostMembers) members.push_back(watch.member);
  }
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.address < b.address; });
  return members;
}

void Core::TickOffer(Time now, Out& out) {
  if (state_.roster.epoch != 0 || !bootstrap_) return;
  if (!first_seen_) first_seen_ = now;
  if (offering_) {
    if (now >= offering_->deadline) {
      offering_.reset();
    } else if (now >= offering_->next) {
      offering_->next = now + options_.again;
      for (const Member& m : offering_->members) Send(m, offering_->request, Offer{offering_->members}, out);
    }
    return;
  }
  std::vector<Member> members = First();
  if (members != first_view_) {
    first_view_ = members;
    first_since_ = now;
  }
  const Duration waited = now - *first_seen_;
  bool enough = members.size() >= options_.least_members || waited >= options_.least_wait;
  if (!seeds_seen_ &&
      waited < (members.size() >= options_.least_members ? options_.least_wait : options_.seeds_wait))
    enough = false;
  if (members.front().life != self_.life || !enough || now - first_since_ < options_.settle) return;
  offering_ = Offering{next_id_++, members, 0, now + kOfferTimeout, now + options_.again};
  for (const Member& m : offering_->members) Send(m, offering_->request, Offer{offering_->members}, out);
}

void Core::OnOffer(Time now, const Message& m, const Offer& offer, Out& out) {
  if (state_.roster.epoch != 0) return;
  if (!bootstrap_) return Send(m.from, m.id, OfferTaken{false, true}, out);
  bool mine = m.from.life == self_.life;
  if (mine && (!offering_ || offering_->request != m.id)) return;
  // Last resort: a proposer that is gone for good would hold all that took its offer.
  std::erase_if(state_.bound, [&](const Life& life) {
    auto watch = watch_.find(life);
    if (life == self_.life || life == m.from.life) return false;
    if (watch == watch_.end()) return first_seen_ && now - *first_seen_ >= options_.unbound_after;
    return !watch->second.alive && now - watch->second.since >= options_.unbound_after;
  });
  bool taken = Holds(offer.members, self_.life) &&
               std::all_of(state_.bound.begin(), state_.bound.end(), [&](const Life& life) {
                 return life == m.from.life || Holds(offer.members, life);
               });
  if (!taken) return Send(m.from, m.id, OfferTaken{false, false}, out);
  if (!mine) offering_.reset();
  if (std::find(state_.bound.begin(), state_.bound.end(), m.from.life) == state_.bound.end()) {
    if (state_.bound.size() >= kMostMembers) return;
    state_.bound.push_back(m.from.life);
    Changed();
  }
  Reply(m, OfferTaken{true, false}, out);
}

void Core::OnOfferTaken(Time now, const Message& m, const OfferTaken& taken, Out& out) {
  if (state_.roster.epoch != 0 || !offering_ || offering_->request != m.id) return;
  if (taken.never) never_.push_back(m.from.life);
  if (!taken.taken) {
    offering_.reset();
    return;
  }
  for (std::size_t i = 0; i < offering_->members.size(); ++i) {
    if (offering_->members[i].life == m.from.life) offering_->votes |= 1u << i;
  }
  if (static_cast<std::size_t>(std::popcount(offering_->votes)) < offering_->members.size()) return;
  auto members = offering_->members;
  auto size = static_cast<std::uint32_t>(members.size());
  Adopt(now, 1, members, size, out);
  for (const Member& to : members) {
    if (to.life != self_.life) Bring(now, to, out);  // waits for its own disk
  }
}

// ---- The successor ----

void Core::TickProposal(Time now, Out& out) {
  if (!member()) return;
  if (proposal_) {
    if (now >= proposal_->deadline) {
      proposal_.reset();
      propose_after_ = now + milliseconds(100 + random_() % 300);
    } else if (now >= proposal_->next) {
      proposal_->next = now + options_.again;
      if (proposal_->accepting) {
        SendAll(proposal_->request, Accept{proposal_->ballot, proposal_->members, rank_}, out);
      } else {
        SendAll(proposal_->request, Prepare{proposal_->ballot}, out);
      }
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

bool Core::Answers(Time now, const Life& life) const {
  auto peer = peers_.find(life);
  return peer != peers_.end() && peer->second.epoch == state_.roster.epoch &&
         peer->second.answered != Time{} && now - peer->second.answered <= options_.heard_for;
}

Forgetting Core::Forget(Time now, const std::string& node, bool forced, Out& out) {
  const auto& members = state_.roster.members;
  if (!member() || sealed() || proposal_ || !majority(now)) return Forgetting::kNoMajority;
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
  if (!forgotten_->forced && (!all || rest.size() < options_.least_members)) return std::nullopt;
  return rest;
}

// The roster that the view calls for; none: this one is right, or isn't in force at a majority yet.
std::optional<std::vector<Member>> Core::Wish(Time now) const {
  const std::vector<Member>& members = state_.roster.members;
  std::uint32_t here = 0;
  int dead = -1;  // for the longest time
  Time dead_since{};
  bool all_alive = true;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const Life& life = members[i].life;
    if (life == self_.life) {
      here |= 1u << i;
      continue;
    }
    if (Answers(now, life)) here |= 1u << i;
    auto watch = watch_.find(life);
    if (watch == watch_.end()) continue;  // not viewed yet
    if (watch->second.alive) continue;
    all_alive = false;
    Time since = std::max(watch->second.since, HeardFrom(life));
    if (now - since >= options_.dead_for && (dead < 0 || since < dead_since)) {
      dead = static_cast<int>(i);
      dead_since = since;
    }
  }
  if (!IsQuorum(here)) return std::nullopt;

  auto swapped = [&members](std::size_t out, const Member& in) {
    std::vector<Member> next = members;
    next[out] = in;
    return next;
  };
  const Watch* spare = nullptr;
  for (const auto& [life, watch] : watch_) {
    Time heard = HeardFrom(life);
    if (!watch.alive || Index(life) >= 0 || heard == Time{} || now - heard > 2 * options_.heard_for) continue;
    bool other = true;
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i].life.node != life.node && members[i].address != watch.member.address) continue;
      other = false;  // the same machine with another disk
      if (members[i].life != self_.life && heard > HeardFrom(members[i].life))
        return swapped(i, watch.member);
    }
    if (other && (spare == nullptr || watch.since < spare->since)) spare = &watch;
  }
  if (dead >= 0 && spare != nullptr) return swapped(static_cast<std::size_t>(dead), spare->member);
  std::vector<Member> next = members;
  // Not while another is away: a smaller roster can bear less.
  if (dead >= 0 && members.size() > state_.roster.first_size && std::popcount(here) + 1u == members.size()) {
    next.erase(next.begin() + dead);
    return next;
  }
  // Views lag: who doesn't answer may be lost already, and a larger roster asks for more of the rest.
  if (all_alive && static_cast<std::size_t>(std::popcount(here)) == members.size() && spare != nullptr &&
      now - spare->since >= options_.grow_after && next.size() < kMostMembers) {
    next.push_back(spare->member);
    return next;
  }
  return std::nullopt;
}

void Core::Propose(Time now, std::vector<Member> members, Out& out) {
  Proposal proposal;
  proposal.ballot = {++highest_round_, random_()};
  proposal.request = next_id_++;
  proposal.members = std::move(members);
  proposal.deadline = now + kProposalTimeout;
  proposal.next = now + options_.again;
  proposal_ = std::move(proposal);
  SendAll(proposal_->request, Prepare{proposal_->ballot}, out);
}

void Core::OnPrepare(const Message& m, const Prepare& prepare, Out& out) {
  highest_round_ = std::max(highest_round_, prepare.ballot.round);
  bool ok = prepare.ballot >= state_.promised;
  if (prepare.ballot > state_.promised) {
    state_.promised = prepare.ballot;
    if (options_.fault != Options::Fault::kBallotForgotten) Changed();
  }
  Reply(m, Promised{ok, state_.promised, state_.accepted}, out);
}

void Core::OnPromised(Time now, const Message& m, const Promised& promised, Out& out) {
  highest_round_ = std::max(highest_round_, promised.ballot.round);
  if (!proposal_ || proposal_->request != m.id || proposal_->accepting) return;
  if (!promised.ok || promised.ballot != proposal_->ballot) {
    proposal_.reset();
    propose_after_ = now + milliseconds(100 + random_() % 300);
    return;
  }
  proposal_->votes |= 1u << Index(m.from.life);
  if (promised.accepted && (!proposal_->best || promised.accepted->ballot > proposal_->best->ballot)) {
    proposal_->best = promised.accepted;
  }
  bool alone = options_.fault == Options::Fault::kRosterAlone;
  if (!alone && !IsQuorum(proposal_->votes)) return;
  if (proposal_->best) proposal_->members = proposal_->best->members;
  proposal_->accepting = true;
  proposal_->votes = 0;
  proposal_->request = next_id_++;
  proposal_->next = now + options_.again;
  SendAll(proposal_->request, Accept{proposal_->ballot, proposal_->members, rank_}, out);
}

void Core::OnAccept(Time now, const Message& m, const Accept& accept, Out& out) {
  highest_round_ = std::max(highest_round_, accept.ballot.round);
  if (accept.members.empty()) {
    ++dropped_;
    return;
  }
  bool ok = accept.ballot >= state_.promised;
  if (ok && (!state_.accepted || state_.accepted->ballot != accept.ballot)) {
    state_.promised = accept.ballot;
    state_.accepted = Accepting{accept.ballot, accept.members};
    sealed_since_ = now;
    Changed();
  }
  Accepted accepted{ok, state_.promised, {}};
  if (ok && rank_ > accept.above) accepted.value = state_.value;
  Reply(m, std::move(accepted), out);
}

void Core::OnAccepted(Time now, const Message& m, const Accepted& accepted, Out& out) {
  highest_round_ = std::max(highest_round_, accepted.ballot.round);
  if (!proposal_ || proposal_->request != m.id || !proposal_->accepting) return;
  if (!accepted.ok) {
    proposal_.reset();
    propose_after_ = now + milliseconds(100 + random_() % 300);
    return;
  }
  if (accepted.value) TakeValue(*accepted.value, RankOf(*accepted.value));
  proposal_->votes |= 1u << Index(m.from.life);
  bool alone = options_.fault == Options::Fault::kRosterAlone;
  if (!alone && !IsQuorum(proposal_->votes)) return;
  // Chosen. All of the new roster are told, and those that are out.
  std::vector<Member> next = proposal_->members, last = state_.roster.members;
  Adopt(now, state_.roster.epoch + 1, next, state_.roster.first_size, out);
  for (const Member& to : last) {
    if (!Holds(next, to.life)) next.push_back(to);
  }
  for (const Member& to : next) {
    if (to.life != self_.life) Bring(now, to, out);
  }
}

}  // namespace curlewdoor::agreement
