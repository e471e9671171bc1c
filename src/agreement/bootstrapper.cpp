#include "agreement/bootstrapper.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "util/address.hpp"

namespace curlewdoor::agreement::bootstrap {
namespace {

constexpr std::size_t kMaxPendingReplies = 64;  // replies waiting for the disk
constexpr int kMaxBackoffSteps = 6;

}  // namespace

AcceptorSet MakeAcceptorSet(const std::vector<std::uint32_t>& seeds, std::uint32_t self) {
  AcceptorSet acceptors = seeds;
  if (acceptors.empty()) acceptors.push_back(self);
  std::sort(acceptors.begin(), acceptors.end());
  acceptors.erase(std::unique(acceptors.begin(), acceptors.end()), acceptors.end());
  if (acceptors.size() > kMaxSeeds) acceptors.resize(kMaxSeeds);
  return acceptors;
}

Bootstrapper::Bootstrapper(std::uint32_t ip, BootstrapState state, bool durable, BootstrapOptions options,
                           std::uint64_t seed)
    : ip_(ip), durable_(durable), options_(options), random_(seed), state_(std::move(state)) {
  highest_round_ = state_.promised.round;
}

std::uint32_t Bootstrapper::AcceptorBit(std::uint32_t seed) const {
  const auto& seeds = state_.acceptors;
  const auto found = std::find(seeds.begin(), seeds.end(), seed);
  return found == seeds.end() ? 0 : 1u << (found - seeds.begin());
}

bool Bootstrapper::IsMajority(std::uint32_t votes) const {
  const std::size_t all = options_.fault == BootstrapOptions::Fault::kMajorityOfVisible
                              ? VisibleSeeds()
                              : state_.acceptors.size();
  return 2 * static_cast<std::size_t>(std::popcount(votes)) > all;
}

std::size_t Bootstrapper::VisibleSeeds() const {
  std::uint32_t seen = AcceptorBit(ip_);
  for (const Member& member : view_)
    if (const auto address = ParseAddress(member.address)) seen |= AcceptorBit(address->ip);
  return static_cast<std::size_t>(std::popcount(seen));
}

// ---- Inputs ----

void Bootstrapper::SetCandidate(Time now, Member self) {
  self_ = std::move(self);
  proposes_ = true;
  started_at_ = view_stable_since_ = now;
  view_ = {*self_};
}

void Bootstrapper::StopProposing() {
  proposes_ = false;
  attempt_.reset();
}

void Bootstrapper::OnView(Time now, const std::vector<ObservedMachine>& view) {
  if (!self_) return;
  std::vector<Member> alive{*self_};
  for (const ObservedMachine& seen : view)
    if (seen.alive && seen.member.incarnation != self_->incarnation) alive.push_back(seen.member);
  std::sort(alive.begin(), alive.end(),
            [](const Member& a, const Member& b) { return a.address < b.address; });
  if (alive.size() > kMaxMembers) alive.resize(kMaxMembers);
  if (alive == view_) return;
  view_ = std::move(alive);
  view_stable_since_ = now;
}

void Bootstrapper::OnMessage(Time now, std::uint64_t peer, const BootstrapMessage& message,
                             BootstrapOutput& out) {
  if (message.acceptors != state_.acceptors) {
    ++dropped_;
    return;
  }
  Handle(now, peer, message.body, out);
  ProcessPending(now, out);
}

void Bootstrapper::OnWritten(Time now, bool ok, BootstrapOutput& out) {
  if (!std::exchange(writing_, false)) return;
  if (ok) {
    written_version_ = writing_version_;
    while (!pending_replies_.empty() && pending_replies_.front().version <= written_version_) {
      PeerReply reply = std::move(pending_replies_.front().reply);
      pending_replies_.pop_front();
      Deliver(std::move(reply), out);
    }
  } else {
    next_write_at_ = now + options_.write_retry_interval;
  }
  ProcessPending(now, out);
}

void Bootstrapper::Tick(Time now, BootstrapOutput& out) {
  TickProposer(now, out);
  ProcessPending(now, out);
}

// Handles the messages of this process to itself, then writes the state if it has changed.
void Bootstrapper::ProcessPending(Time now, BootstrapOutput& out) {
  while (!loopback_.empty()) {
    const BootstrapMessageBody body = std::move(loopback_.front());
    loopback_.pop_front();
    Handle(now, kSelf, body, out);
  }
  StartWrite(now, out);
}

void Bootstrapper::Handle(Time now, std::uint64_t peer, const BootstrapMessageBody& body,
                          BootstrapOutput& out) {
  if (const auto* prepare = std::get_if<BootstrapPrepare>(&body)) return OnPrepare(peer, *prepare, out);
  if (const auto* accept = std::get_if<BootstrapAccept>(&body)) return OnAccept(peer, *accept, out);
  if (const auto* promise = std::get_if<BootstrapPromise>(&body)) return OnPromise(now, *promise, out);
  if (const auto* accepted = std::get_if<BootstrapAccepted>(&body)) return OnAccepted(now, *accepted, out);
  if (const auto* chosen = std::get_if<BootstrapChosen>(&body)) return OnChosen(*chosen, out);
}

// ---- Acceptor ----

void Bootstrapper::OnPrepare(std::uint64_t peer, const BootstrapPrepare& prepare, BootstrapOutput& out) {
  if (!is_acceptor() || prepare.ballot.round == 0) {
    ++dropped_;
    return;
  }
  if (prepare.ballot > state_.promised) {
    state_.promised = prepare.ballot;
    ++state_version_;
  }
  Reply(peer, BootstrapPromise{ip_, prepare.ballot, state_.promised, state_.accepted}, out);
}

void Bootstrapper::OnAccept(std::uint64_t peer, const BootstrapAccept& accept, BootstrapOutput& out) {
  if (!is_acceptor() || accept.ballot.round == 0 || accept.members.empty()) {
    ++dropped_;
    return;
  }
  const bool older =
      accept.ballot < state_.promised && options_.fault != BootstrapOptions::Fault::kAcceptOlder;
  const bool known = state_.accepted && state_.accepted->ballot == accept.ballot;
  if (!older && !known) {
    state_.promised = accept.ballot;
    state_.accepted = AcceptedProposal{accept.ballot, accept.members};
    ++state_version_;
  }
  Reply(peer, BootstrapAccepted{ip_, accept.ballot, state_.promised}, out);
}

void Bootstrapper::Reply(std::uint64_t peer, BootstrapMessageBody body, BootstrapOutput& out) {
  PeerReply reply{peer, {state_.acceptors, std::move(body)}};
  const bool synced = !durable_ || written_version_ == state_version_;
  if (synced || options_.fault == BootstrapOptions::Fault::kReplyBeforeSync)
    return Deliver(std::move(reply), out);
  const bool is_there =
      std::any_of(pending_replies_.begin(), pending_replies_.end(), [&](const PendingReply& each) {
        return each.reply.peer == peer &&
               each.reply.message == reply.message;  // the request was resent meanwhile
      });
  if (!is_there && pending_replies_.size() < kMaxPendingReplies)
    pending_replies_.push_back({state_version_, std::move(reply)});
}

void Bootstrapper::Deliver(PeerReply reply, BootstrapOutput& out) {
  if (reply.peer == kSelf) {
    loopback_.push_back(std::move(reply.message.body));
  } else {
    out.replies.push_back(std::move(reply));
  }
}

void Bootstrapper::StartWrite(Time now, BootstrapOutput& out) {
  if (!durable_ || writing_ || written_version_ == state_version_ || now < next_write_at_) return;
  writing_ = true;
  writing_version_ = state_version_;
  out.write = state_;
}

// ---- Proposer ----

Duration Bootstrapper::ViewStableFor(Time now) const {
  // A view that keeps changing must not delay the start forever.
  return std::max(now - view_stable_since_, now - started_at_ - options_.undersized_start_after);
}

bool Bootstrapper::HasEnoughMembers(Time now) const {
  return view_.size() >= options_.min_members || now - started_at_ >= options_.undersized_start_after;
}

bool Bootstrapper::MayPrepare(Time now) const {
  if (now < next_attempt_at_ || !HasEnoughMembers(now)) return false;
  const auto before = std::count_if(view_.begin(), view_.end(),
                                    [this](const Member& each) { return each.address < self_->address; });
  if (before == 0) return ViewStableFor(now) >= options_.prepare_after;
  return ViewStableFor(now) >= options_.view_settle_time + before * options_.rank_delay;
}

bool Bootstrapper::MayAccept(Time now) const {
  return HasEnoughMembers(now) && ViewStableFor(now) >= options_.view_settle_time;
}

void Bootstrapper::TickProposer(Time now, BootstrapOutput& out) {
  if (!proposes_) return;
  if (!attempt_) {
    if (MayPrepare(now)) StartAttempt(now, out);
    return;
  }
  TryAccept(now, out);
  if (now >= attempt_->next) SendAttempt(now, out);
}

void Bootstrapper::StartAttempt(Time now, BootstrapOutput& out) {
  attempt_ = Attempt{};
  attempt_->ballot = {++highest_round_, random_()};
  SendAttempt(now, out);
}

void Bootstrapper::SendAttempt(Time now, BootstrapOutput& out) {
  attempt_->next = now + options_.resend_interval;
  if (!attempt_->accepting && IsMajority(attempt_->votes)) return;  // waits for the view to settle
  BootstrapMessage message{state_.acceptors, BootstrapPrepare{attempt_->ballot}};
  if (attempt_->accepting) message.body = BootstrapAccept{attempt_->ballot, attempt_->members};
  for (const std::uint32_t seed : state_.acceptors) {
    if (attempt_->votes & AcceptorBit(seed)) continue;
    if (seed == ip_) {
      loopback_.push_back(message.body);
    } else {
      out.requests.push_back({seed, message});
    }
  }
}

void Bootstrapper::OnPromise(Time now, const BootstrapPromise& promise, BootstrapOutput& out) {
  highest_round_ = std::max(highest_round_, promise.promised.round);
  if (!attempt_ || attempt_->accepting || promise.requested != attempt_->ballot) return;
  if (promise.promised != promise.requested) return BackOff(now);
  attempt_->votes |= AcceptorBit(promise.seed);
  const bool higher =
      promise.accepted && (!attempt_->best || promise.accepted->ballot > attempt_->best->ballot);
  if (higher && options_.fault != BootstrapOptions::Fault::kIgnoreAccepted) attempt_->best = promise.accepted;
  TryAccept(now, out);
}

void Bootstrapper::TryAccept(Time now, BootstrapOutput& out) {
  if (attempt_->accepting || !IsMajority(attempt_->votes)) return;
  if (!attempt_->best && !MayAccept(now)) return;
  attempt_->members = attempt_->best ? attempt_->best->members : view_;
  attempt_->accepting = true;
  attempt_->votes = 0;
  SendAttempt(now, out);
}

void Bootstrapper::OnAccepted(Time now, const BootstrapAccepted& accepted, BootstrapOutput& out) {
  highest_round_ = std::max(highest_round_, accepted.promised.round);
  if (!attempt_ || !attempt_->accepting || accepted.requested != attempt_->ballot) return;
  if (accepted.promised != accepted.requested) return BackOff(now);
  attempt_->votes |= AcceptorBit(accepted.seed);
  if (!IsMajority(attempt_->votes)) return;
  std::vector<Member> members = std::move(attempt_->members);
  for (const Member& member : members) {
    if (member.incarnation != self_->incarnation)
      out.announcements.push_back({member, {state_.acceptors, BootstrapChosen{members}}});
  }
  Finish(std::move(members), out);
}

void Bootstrapper::OnChosen(const BootstrapChosen& chosen, BootstrapOutput& out) {
  if (chosen.members.empty()) {
    ++dropped_;
    return;
  }
  Finish(chosen.members, out);
}

void Bootstrapper::Finish(std::vector<Member> members, BootstrapOutput& out) {
  StopProposing();
  out.chosen_members = std::move(members);
}

// Another proposer is active: waits to let it finish, longer after each refusal.
void Bootstrapper::BackOff(Time now) {
  attempt_.reset();
  consecutive_refusals_ = std::min(consecutive_refusals_ + 1, kMaxBackoffSteps);
  const auto pause = consecutive_refusals_ * options_.backoff;
  next_attempt_at_ = now + pause + Duration(random_() % static_cast<std::uint64_t>(pause.count() + 1));
}

}  // namespace curlewdoor::agreement::bootstrap
