// The register inside an epoch, decided by ballots (CASPaxos).
#include <algorithm>
#include <bit>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

namespace {
constexpr int kMostDoublings = 5;  // of the pause after a refusal
// A value takes time on its way, and to read and to write: what is sent again too soon stands behind itself.
constexpr std::int64_t kBytesAMillisecond = 2'000;

Duration TimeFor(std::size_t bytes) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(bytes) / kBytesAMillisecond);
}
}  // namespace

// ---- The proposer ----

// One at a time, for all calls that wait: orders are worked out together once a majority has promised.
bool Core::StartAttempt(Time now, Out& out) {
  if (!member() || sealed() || retired_ || attempt_ || now < attempt_after_) return false;
  Attempt attempt;
  bool wanted = false;
  for (const Call& call : calls_) {
    if (call.phase != Phase::kBallot) continue;
    wanted = true;
    if (!call.put) attempt.reads.push_back(call.key);
  }
  if (!wanted) return false;
  attempt.ballot = {++register_round_, random_()};
  attempt.request = next_id_++;
  attempt.deadline = now + options_.call_timeout;
  attempt_ = std::move(attempt);
  SendAttempt(now, out);
  return true;
}

void Core::TickAttempt(Time now, Out& out) {
  if (!attempt_) return;
  if (now >= attempt_->deadline) return FailAttempt(now);
  if (now >= attempt_->again) SendAttempt(now, out);
}

// To those that haven't answered yet.
void Core::SendAttempt(Time now, Out& out) {
  attempt_->again = now + options_.again;
  if (attempt_->phase == Phase::kFetch)
    return Send(*attempt_->best_from, attempt_->request, Fetch{attempt_->best}, out);
  Body body = Prepare{attempt_->ballot};
  if (attempt_->phase == Phase::kBallot) {
    Accept accept{attempt_->ballot, attempt_->best, attempt_->added, {}, {}};
    if (!(attempt_->next->value == attempt_->base->value)) accept.value = attempt_->next->value;
    if (accept.value) attempt_->again += TimeFor(accept.value->text.size());
    body = std::move(accept);
  }
  for (std::size_t i = 0; i < state_.roster.members.size(); ++i) {
    if (!(attempt_->votes >> i & 1)) Send(state_.roster.members[i], attempt_->request, body, out);
  }
}

// Another one's ballot is higher. Both wait, unlike long, so that one of them ends.
void Core::FailAttempt(Time now) {
  attempt_.reset();
  ++ballots_refused_;
  const Duration pause = options_.duel_pause * (1 << std::min(refusals_++, kMostDoublings));
  attempt_after_ = now + pause / 2 + pause * static_cast<int>(random_() % 1024) / 1024;
}

void Core::OnPromised(Time now, const Message& m, const Promised& promised, Out& out) {
  register_round_ = std::max(register_round_, promised.promised.round);
  if (promised.ok) NoteHolding(m.from.life, promised.held);
  if (!attempt_ || attempt_->request != m.id || attempt_->phase != Phase::kQuery) return;
  if (!promised.ok) {
    if (promised.promised > attempt_->ballot) FailAttempt(now);
    return;  // or sealed there: the next epoch begins soon, or a majority isn't
  }
  attempt_->votes |= 1u << Index(m.from.life);
  if (!attempt_->best_from || promised.held > attempt_->best) {
    attempt_->best = promised.held;
    attempt_->best_from = m.from;
  }
  if (!IsQuorum(attempt_->votes)) return;
  if (Does(Options::Fault::kBehind)) attempt_->best = state_.stamp;
  if (attempt_->best == committed_stamp_) return Evaluate(now, committed_, out);
  if (attempt_->best == state_.stamp) return Evaluate(now, held_, out);
  if (attempt_->best < committed_stamp_) return FailAttempt(now);  // chosen since, under a higher ballot
  attempt_->phase = Phase::kFetch;
  SendAttempt(now, out);
}

// Each order in its turn, on the record that a majority's promises name. Where nothing changes and that
// record is known to be chosen, it stands as it is.
void Core::Evaluate(Time now, RecordPtr base, Out& out) {
  auto next = std::make_shared<Record>(*base);
  for (const Call& call : calls_) {
    if (!call.put || call.phase != Phase::kBallot) continue;
    const Verdict verdict = Apply(*next, call.order, call.digest);
    attempt_->verdicts.emplace_back(call.key, verdict);
    if (Changes(verdict)) attempt_->added.push_back(next->ledger.entries.back());
  }
  attempt_->base = std::move(base);
  attempt_->next = std::move(next);
  if (attempt_->added.empty() && attempt_->best == committed_stamp_) return Conclude(now, out);
  attempt_->phase = Phase::kBallot;
  attempt_->votes = 0;
  attempt_->request = next_id_++;
  // It goes on when its caller has gone elsewhere: the same order, sent again, finds it decided.
  attempt_->deadline = now + options_.call_timeout + 2 * TimeFor(attempt_->next->value.text.size());
  SendAttempt(now, out);
}

void Core::OnAccepted(Time now, const Message& m, const Accepted& accepted, Out& out) {
  register_round_ = std::max(register_round_, accepted.promised.round);
  if (accepted.ok) NoteHolding(m.from.life, {state_.roster.epoch, accepted.promised});
  if (!attempt_ || attempt_->request != m.id || attempt_->phase != Phase::kBallot) return;
  if (accepted.needs_whole) {
    Accept accept{attempt_->ballot, attempt_->best, {}, {}, *Snapshot(attempt_->next)};
    return Send(m.from, attempt_->request, std::move(accept), out);
  }
  if (!accepted.ok) {
    if (accepted.promised > attempt_->ballot) FailAttempt(now);
    return;
  }
  attempt_->votes |= 1u << Index(m.from.life);
  if (!IsQuorum(attempt_->votes)) return;
  Commit(attempt_->next, {state_.roster.epoch, attempt_->ballot}, out);
  Conclude(now, out);
}

// Chosen: what was worked out holds. A read is answered if it began before the ballot did.
void Core::Conclude(Time now, Out& out) {
  const Attempt ended = std::move(*attempt_);
  attempt_.reset();
  refusals_ = 0;
  learned_ = true;
  for (const auto& [key, verdict] : ended.verdicts) Answer(key, verdict, out);
  for (std::uint64_t key : ended.reads) {
    if (FindCall(key) != nullptr) Finish(key, Outcome::kKept, out);
  }
  Ping(now, out);
}

// ---- The acceptor ----

void Core::OnPrepare(const Message& m, const Prepare& prepare, Out& out) {
  if (retired_) return;
  register_round_ = std::max(register_round_, prepare.ballot.round);
  if (sealed() || prepare.ballot < state_.register_promised)
    return Send(m.from, m.id, Promised{false, state_.register_promised, {}}, out);
  if (prepare.ballot > state_.register_promised) {
    state_.register_promised = prepare.ballot;
    if (!Does(Options::Fault::kBallotForgotten)) Changed();
  }
  Reply(m, Promised{true, state_.register_promised, state_.stamp}, out);
}

void Core::OnAccept(const Message& m, const Accept& accept, Out& out) {
  if (retired_) return;
  register_round_ = std::max(register_round_, accept.ballot.round);
  const bool closed = sealed() && !Does(Options::Fault::kAcceptWhileSealed);
  if (closed || accept.ballot < state_.register_promised)
    return Send(m.from, m.id, Accepted{false, false, state_.register_promised}, out);
  if (!TakeAccept(accept)) return Send(m.from, m.id, Accepted{false, true, state_.register_promised}, out);
  Reply(m, Accepted{true, false, accept.ballot}, out);
}

// False: the record that it changes isn't held here.
bool Core::TakeAccept(const Accept& accept) {
  const Stamp stamp{state_.roster.epoch, accept.ballot};
  if (state_.stamp == stamp) return true;
  if (accept.whole) {
    state_.register_promised = accept.ballot;
    Replace(std::make_shared<Record>(*accept.whole), stamp);
    return true;
  }
  const bool on_held = accept.base == state_.stamp;
  if (!on_held && accept.base != committed_stamp_) return false;
  auto next = std::make_shared<Record>(on_held ? *held_ : *committed_);
  for (const OrderOutcome& outcome : accept.added) next->ledger.Append(outcome);
  if (accept.value) *next = RecordOf(*accept.value, std::move(next->ledger));
  state_.register_promised = accept.ballot;
  if (on_held) {
    const std::uint64_t unchanged_below = held_->ledger.end();
    Hold(std::move(next), stamp, unchanged_below, accept.value.has_value());
  } else {
    Replace(std::move(next), stamp);
  }
  return true;
}

}  // namespace curlewdoor::agreement
