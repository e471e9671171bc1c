#include "agreement/bootstrapper.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "util/address.hpp"

namespace curlewdoor::agreement::founding {
namespace {

constexpr std::size_t kMostWaiting = 64;  // replies that wait for the disk
constexpr int kMostPauses = 6;

}  // namespace

Electorate ElectorateOf(const std::vector<std::uint32_t>& seeds, std::uint32_t self) {
  Electorate electorate = seeds;
  if (electorate.empty()) electorate.push_back(self);
  std::sort(electorate.begin(), electorate.end());
  electorate.erase(std::unique(electorate.begin(), electorate.end()), electorate.end());
  if (electorate.size() > kMostSeeds) electorate.resize(kMostSeeds);
  return electorate;
}

Founding::Founding(std::uint32_t ip, State state, bool durable, Options options, std::uint64_t seed)
    : ip_(ip), durable_(durable), options_(options), random_(seed), state_(std::move(state)) {
  highest_round_ = state_.promised.round;
}

std::uint32_t Founding::SeedBit(std::uint32_t seed) const {
  const auto& seeds = state_.electorate;
  const auto found = std::find(seeds.begin(), seeds.end(), seed);
  return found == seeds.end() ? 0 : 1u << (found - seeds.begin());
}

bool Founding::IsMajority(std::uint32_t votes) const {
  const std::size_t all =
      options_.fault == Options::Fault::kMajorityOfSeen ? SeedsSeen() : state_.electorate.size();
  return 2 * static_cast<std::size_t>(std::popcount(votes)) > all;
}

std::size_t Founding::SeedsSeen() const {
  std::uint32_t seen = SeedBit(ip_);
  for (const Member& member : view_)
    if (const auto address = ParseAddress(member.address)) seen |= SeedBit(address->ip);
  return static_cast<std::size_t>(std::popcount(seen));
}

// ---- Inputs ----

void Founding::SetCandidate(Time now, Member self) {
  self_ = std::move(self);
  proposes_ = true;
  began_ = still_since_ = now;
  view_ = {*self_};
}

void Founding::StopProposing() {
  proposes_ = false;
  attempt_.reset();
}

void Founding::OnView(Time now, const std::vector<Seen>& view) {
  if (!self_) return;
  std::vector<Member> alive{*self_};
  for (const Seen& seen : view)
    if (seen.alive && seen.member.life != self_->life) alive.push_back(seen.member);
  std::sort(alive.begin(), alive.end(),
            [](const Member& a, const Member& b) { return a.address < b.address; });
  if (alive.size() > kMostMembers) alive.resize(kMostMembers);
  if (alive == view_) return;
  view_ = std::move(alive);
  still_since_ = now;
}

void Founding::OnMessage(Time now, std::uint64_t peer, const Message& message, Out& out) {
  if (message.electorate != state_.electorate) {
    ++dropped_;
    return;
  }
  Handle(now, peer, message.body, out);
  Settle(now, out);
}

void Founding::OnWritten(Time now, bool ok, Out& out) {
  if (!std::exchange(writing_, false)) return;
  if (ok) {
    written_version_ = writing_version_;
    while (!waiting_.empty() && waiting_.front().version <= written_version_) {
      ToPeer reply = std::move(waiting_.front().reply);
      waiting_.pop_front();
      Deliver(std::move(reply), out);
    }
  } else {
    write_after_ = now + options_.write_again;
  }
  Settle(now, out);
}

void Founding::Tick(Time now, Out& out) {
  TickProposer(now, out);
  Settle(now, out);
}

// What it says to itself is taken in, and the disk is given what has changed.
void Founding::Settle(Time now, Out& out) {
  while (!local_.empty()) {
    const Body body = std::move(local_.front());
    local_.pop_front();
    Handle(now, kSelf, body, out);
  }
  StartWrite(now, out);
}

void Founding::Handle(Time now, std::uint64_t peer, const Body& body, Out& out) {
  if (const auto* prepare = std::get_if<Prepare>(&body)) return OnPrepare(peer, *prepare, out);
  if (const auto* accept = std::get_if<Accept>(&body)) return OnAccept(peer, *accept, out);
  if (const auto* promise = std::get_if<Promise>(&body)) return OnPromise(now, *promise, out);
  if (const auto* accepted = std::get_if<Accepted>(&body)) return OnAccepted(now, *accepted, out);
  if (const auto* chosen = std::get_if<Chosen>(&body)) return OnChosen(*chosen, out);
}

// ---- Acceptor ----

void Founding::OnPrepare(std::uint64_t peer, const Prepare& prepare, Out& out) {
  if (!is_acceptor() || prepare.ballot.round == 0) {
    ++dropped_;
    return;
  }
  if (prepare.ballot > state_.promised) {
    state_.promised = prepare.ballot;
    ++state_version_;
  }
  Reply(peer, Promise{ip_, prepare.ballot, state_.promised, state_.accepted}, out);
}

void Founding::OnAccept(std::uint64_t peer, const Accept& accept, Out& out) {
  if (!is_acceptor() || accept.ballot.round == 0 || accept.members.empty()) {
    ++dropped_;
    return;
  }
  const bool older = accept.ballot < state_.promised && options_.fault != Options::Fault::kAcceptOlder;
  const bool known = state_.accepted && state_.accepted->ballot == accept.ballot;
  if (!older && !known) {
    state_.promised = accept.ballot;
    state_.accepted = Accepting{accept.ballot, accept.members};
    ++state_version_;
  }
  Reply(peer, Accepted{ip_, accept.ballot, state_.promised}, out);
}

void Founding::Reply(std::uint64_t peer, Body body, Out& out) {
  ToPeer reply{peer, {state_.electorate, std::move(body)}};
  const bool synced = !durable_ || written_version_ == state_version_;
  if (synced || options_.fault == Options::Fault::kReplyBeforeSync) return Deliver(std::move(reply), out);
  const bool is_there = std::any_of(waiting_.begin(), waiting_.end(), [&](const Waiting& each) {
    return each.reply.peer == peer && each.reply.message == reply.message;  // asked again meanwhile
  });
  if (!is_there && waiting_.size() < kMostWaiting) waiting_.push_back({state_version_, std::move(reply)});
}

void Founding::Deliver(ToPeer reply, Out& out) {
  if (reply.peer == kSelf) {
    local_.push_back(std::move(reply.message.body));
  } else {
    out.replies.push_back(std::move(reply));
  }
}

void Founding::StartWrite(Time now, Out& out) {
  if (!durable_ || writing_ || written_version_ == state_version_ || now < write_after_) return;
  writing_ = true;
  writing_version_ = state_version_;
  out.write = state_;
}

// ---- Proposer ----

Duration Founding::Still(Time now) const {
  // A view that never stands still doesn't hold up the start for ever.
  return std::max(now - still_since_, now - began_ - options_.least_wait);
}

bool Founding::HasEnough(Time now) const {
  return view_.size() >= options_.least_members || now - began_ >= options_.least_wait;
}

bool Founding::MayPrepare(Time now) const {
  if (now < begin_after_ || !HasEnough(now)) return false;
  const auto before = std::count_if(view_.begin(), view_.end(),
                                    [this](const Member& each) { return each.address < self_->address; });
  if (before == 0) return Still(now) >= options_.prepare_after;
  return Still(now) >= options_.settle + before * options_.next_in_line;
}

bool Founding::MayAccept(Time now) const { return HasEnough(now) && Still(now) >= options_.settle; }

void Founding::TickProposer(Time now, Out& out) {
  if (!proposes_) return;
  if (!attempt_) {
    if (MayPrepare(now)) Begin(now, out);
    return;
  }
  TryAccept(now, out);
  if (now >= attempt_->next) SendAttempt(now, out);
}

void Founding::Begin(Time now, Out& out) {
  attempt_ = Attempt{};
  attempt_->ballot = {++highest_round_, random_()};
  SendAttempt(now, out);
}

void Founding::SendAttempt(Time now, Out& out) {
  attempt_->next = now + options_.resend;
  if (!attempt_->accepting && IsMajority(attempt_->votes)) return;  // waits for the view
  Message message{state_.electorate, Prepare{attempt_->ballot}};
  if (attempt_->accepting) message.body = Accept{attempt_->ballot, attempt_->members};
  for (const std::uint32_t seed : state_.electorate) {
    if (attempt_->votes & SeedBit(seed)) continue;
    if (seed == ip_) {
      local_.push_back(message.body);
    } else {
      out.requests.push_back({seed, message});
    }
  }
}

void Founding::OnPromise(Time now, const Promise& promise, Out& out) {
  highest_round_ = std::max(highest_round_, promise.promised.round);
  if (!attempt_ || attempt_->accepting || promise.asked != attempt_->ballot) return;
  if (promise.promised != promise.asked) return GiveWay(now);
  attempt_->votes |= SeedBit(promise.seed);
  const bool higher =
      promise.accepted && (!attempt_->best || promise.accepted->ballot > attempt_->best->ballot);
  if (higher && options_.fault != Options::Fault::kIgnoreAccepted) attempt_->best = promise.accepted;
  TryAccept(now, out);
}

void Founding::TryAccept(Time now, Out& out) {
  if (attempt_->accepting || !IsMajority(attempt_->votes)) return;
  if (!attempt_->best && !MayAccept(now)) return;
  attempt_->members = attempt_->best ? attempt_->best->members : view_;
  attempt_->accepting = true;
  attempt_->votes = 0;
  SendAttempt(now, out);
}

void Founding::OnAccepted(Time now, const Accepted& accepted, Out& out) {
  highest_round_ = std::max(highest_round_, accepted.promised.round);
  if (!attempt_ || !attempt_->accepting || accepted.asked != attempt_->ballot) return;
  if (accepted.promised != accepted.asked) return GiveWay(now);
  attempt_->votes |= SeedBit(accepted.seed);
  if (!IsMajority(attempt_->votes)) return;
  std::vector<Member> members = std::move(attempt_->members);
  for (const Member& member : members) {
    if (member.life != self_->life)
      out.announcements.push_back({member, {state_.electorate, Chosen{members}}});
  }
  Found(std::move(members), out);
}

void Founding::OnChosen(const Chosen& chosen, Out& out) {
  if (chosen.members.empty()) {
    ++dropped_;
    return;
  }
  Found(chosen.members, out);
}

void Founding::Found(std::vector<Member> members, Out& out) {
  StopProposing();
  out.founded = std::move(members);
}

// Another one is at work: it is left the time that it needs, each time a longer one.
void Founding::GiveWay(Time now) {
  attempt_.reset();
  refusals_ = std::min(refusals_ + 1, kMostPauses);
  const auto pause = refusals_ * options_.give_way;
  begin_after_ = now + pause + Duration(random_() % static_cast<std::uint64_t>(pause.count() + 1));
}

}  // namespace curlewdoor::agreement::founding
