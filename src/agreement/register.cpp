// The register of an epoch, decided by ballots (CASPaxos).
#include <algorithm>
#include <bit>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

namespace {
constexpr int kMaxBackoffDoublings = 5;  // of the pause after a refused ballot
// Large values take time to transfer, read and write: if they are resent too early, the copies queue up
// behind the original.
constexpr std::int64_t kBytesPerMillisecond = 2'000;

Duration TransferTime(std::size_t bytes) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(bytes) / kBytesPerMillisecond);
}
}  // namespace

// ---- Proposer ----

// Only one ballot is in progress at a time, for all waiting calls: their puts are applied together once a
// majority has promised.
bool Core::StartAttempt(Time now, CoreOutput& out) {
  if (!member() || sealed() || retired_ || attempt_ || now < next_attempt_at_) return false;
  BallotAttempt attempt;
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

void Core::TickAttempt(Time now, CoreOutput& out) {
  if (!attempt_) return;
  if (now >= attempt_->deadline) return FailAttempt(now);
  if (now >= attempt_->resend_at) SendAttempt(now, out);
}

// Sends the request of the current phase to the members that have not replied yet.
void Core::SendAttempt(Time now, CoreOutput& out) {
  attempt_->resend_at = now + options_.resend_interval;
  if (attempt_->phase == Phase::kFetch)
    return Send(*attempt_->best_from, attempt_->request, RecordRequest{attempt_->best}, out);
  CoreMessageBody body = RegisterPrepare{attempt_->ballot};
  if (attempt_->phase == Phase::kBallot) {
    RegisterAccept accept{attempt_->ballot, attempt_->best, attempt_->added_outcomes, {}, {}};
    if (!(attempt_->next_record->value == attempt_->base_record->value))
      accept.value = attempt_->next_record->value;
    if (accept.value) attempt_->resend_at += TransferTime(accept.value->text.size());
    body = std::move(accept);
  }
  for (std::size_t i = 0; i < state_.membership.members.size(); ++i) {
    if (!(attempt_->votes >> i & 1)) Send(state_.membership.members[i], attempt_->request, body, out);
  }
}

// A competing ballot is higher. Both proposers wait for a random time, so that one of them succeeds.
void Core::FailAttempt(Time now) {
  attempt_.reset();
  ++ballots_refused_;
  const Duration pause =
      options_.ballot_backoff * (1 << std::min(consecutive_refusals_++, kMaxBackoffDoublings));
  next_attempt_at_ = now + pause / 2 + pause * static_cast<int>(random_() % 1024) / 1024;
}

void Core::OnRegisterPromise(Time now, const CoreMessage& m, const RegisterPromise& promised,
                             CoreOutput& out) {
  register_round_ = std::max(register_round_, promised.promised.round);
  if (promised.ok) UpdateReportedRecord(m.from.incarnation, promised.held);
  if (!attempt_ || attempt_->request != m.id || attempt_->phase != Phase::kQuery) return;
  if (!promised.ok) {
    if (promised.promised > attempt_->ballot) FailAttempt(now);
    return;  // or the sender is sealed: the next epoch starts soon, or a majority is not sealed
  }
  attempt_->votes |= 1u << MemberIndex(m.from.incarnation);
  if (!attempt_->best_from || promised.held > attempt_->best) {
    attempt_->best = promised.held;
    attempt_->best_from = m.from;
  }
  if (!IsQuorum(attempt_->votes)) return;
  if (HasFault(CoreOptions::Fault::kProposeFromLocalRecord)) attempt_->best = state_.stamp;
  if (attempt_->best == committed_stamp_) return ProposeNextRecord(now, committed_, out);
  if (attempt_->best == state_.stamp) return ProposeNextRecord(now, held_record_, out);
  if (attempt_->best < committed_stamp_)
    return FailAttempt(now);  // a newer record was chosen under a higher ballot
  attempt_->phase = Phase::kFetch;
  SendAttempt(now, out);
}

// Applies the waiting puts in order to the record reported by a majority. If nothing changes and that record
// is known to be chosen, no second phase is needed.
void Core::ProposeNextRecord(Time now, RecordPtr base, CoreOutput& out) {
  auto next = std::make_shared<Record>(*base);
  for (const Call& call : calls_) {
    if (!call.put || call.phase != Phase::kBallot) continue;
    const PutDecision decision = ApplyPut(*next, call.put_value, call.digest);
    attempt_->decisions.emplace_back(call.key, decision);
    if (AddsOutcome(decision)) attempt_->added_outcomes.push_back(next->outcome_log.entries.back());
  }
  attempt_->base_record = std::move(base);
  attempt_->next_record = std::move(next);
  if (attempt_->added_outcomes.empty() && attempt_->best == committed_stamp_)
    return CompleteAttempt(now, out);
  attempt_->phase = Phase::kBallot;
  attempt_->votes = 0;
  attempt_->request = next_id_++;
  // The ballot continues after its callers have timed out: the same put, sent again, finds it decided.
  attempt_->deadline =
      now + options_.call_timeout + 2 * TransferTime(attempt_->next_record->value.text.size());
  SendAttempt(now, out);
}

void Core::OnRegisterAccepted(Time now, const CoreMessage& m, const RegisterAccepted& accepted,
                              CoreOutput& out) {
  register_round_ = std::max(register_round_, accepted.promised.round);
  if (accepted.ok) UpdateReportedRecord(m.from.incarnation, {state_.membership.epoch, accepted.promised});
  if (!attempt_ || attempt_->request != m.id || attempt_->phase != Phase::kBallot) return;
  if (accepted.needs_snapshot) {
    RegisterAccept accept{attempt_->ballot, attempt_->best, {}, {}, *Snapshot(attempt_->next_record)};
    return Send(m.from, attempt_->request, std::move(accept), out);
  }
  if (!accepted.ok) {
    if (accepted.promised > attempt_->ballot) FailAttempt(now);
    return;
  }
  attempt_->votes |= 1u << MemberIndex(m.from.incarnation);
  if (!IsQuorum(attempt_->votes)) return;
  Commit(attempt_->next_record, {state_.membership.epoch, attempt_->ballot}, out);
  CompleteAttempt(now, out);
}

// The record is chosen, so the decisions hold. Reads are answered if they began before the ballot did.
void Core::CompleteAttempt(Time now, CoreOutput& out) {
  const BallotAttempt ended = std::move(*attempt_);
  attempt_.reset();
  consecutive_refusals_ = 0;
  learned_ = true;
  for (const auto& [key, decision] : ended.decisions) AnswerPut(key, decision, out);
  for (std::uint64_t key : ended.reads) {
    if (FindCall(key) != nullptr) FinishCall(key, CallOutcome::kInForce, out);
  }
  Ping(now, out);
}

// ---- Acceptor ----

void Core::OnRegisterPrepare(const CoreMessage& m, const RegisterPrepare& prepare, CoreOutput& out) {
  if (retired_) return;
  register_round_ = std::max(register_round_, prepare.ballot.round);
  if (sealed() || prepare.ballot < state_.register_promised)
    return Send(m.from, m.id, RegisterPromise{false, state_.register_promised, {}}, out);
  if (prepare.ballot > state_.register_promised) {
    state_.register_promised = prepare.ballot;
    if (!HasFault(CoreOptions::Fault::kPromiseNotPersisted)) MarkStateChanged();
  }
  Reply(m, RegisterPromise{true, state_.register_promised, state_.stamp}, out);
}

void Core::OnRegisterAccept(const CoreMessage& m, const RegisterAccept& accept, CoreOutput& out) {
  if (retired_) return;
  register_round_ = std::max(register_round_, accept.ballot.round);
  const bool closed = sealed() && !HasFault(CoreOptions::Fault::kAcceptWhileSealed);
  if (closed || accept.ballot < state_.register_promised)
    return Send(m.from, m.id, RegisterAccepted{false, false, state_.register_promised}, out);
  if (!StoreAcceptedRecord(accept))
    return Send(m.from, m.id, RegisterAccepted{false, true, state_.register_promised}, out);
  Reply(m, RegisterAccepted{true, false, accept.ballot}, out);
}

// Returns false if the base record is not held here.
bool Core::StoreAcceptedRecord(const RegisterAccept& accept) {
  const Stamp stamp{state_.membership.epoch, accept.ballot};
  if (state_.stamp == stamp) return true;
  if (accept.snapshot) {
    state_.register_promised = accept.ballot;
    ReplaceHeldRecord(std::make_shared<Record>(*accept.snapshot), stamp);
    return true;
  }
  const bool on_held = accept.base == state_.stamp;
  if (!on_held && accept.base != committed_stamp_) return false;
  auto next = std::make_shared<Record>(on_held ? *held_record_ : *committed_);
  for (const PutOutcome& outcome : accept.added_outcomes) next->outcome_log.Append(outcome);
  if (accept.value) *next = MakeRecord(*accept.value, std::move(next->outcome_log));
  state_.register_promised = accept.ballot;
  if (on_held) {
    const std::uint64_t unchanged_below = held_record_->outcome_log.end();
    SetHeldRecord(std::move(next), stamp, unchanged_below, accept.value.has_value());
  } else {
    ReplaceHeldRecord(std::move(next), stamp);
  }
  return true;
}

}  // namespace curlewdoor::agreement
