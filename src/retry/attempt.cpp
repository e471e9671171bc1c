#include "retry/attempt.hpp"

namespace curlewdoor::retry {
namespace {

using Kind = AttemptEvent::Kind;
using Result = AttemptOutcome::Result;

BytesSent BytesSentIn(AttemptState state) {
  switch (state) {
    case AttemptState::kNone:
    case AttemptState::kUnsent:
      return BytesSent::kNothing;
    case AttemptState::kPartSent:
      return BytesSent::kPartial;
    case AttemptState::kSent:
      return BytesSent::kAll;
  }
  return BytesSent::kAll;
}

AttemptOutcome ConnectionLost(AttemptState state) {
  const BytesSent sent = BytesSentIn(state);
  return {.result = sent == BytesSent::kNothing ? Result::kConnectFailed : Result::kConnectionLost,
          .sent = sent};
}

AttemptOutcome AnsweredOutcome(AttemptState state, const HostAnswer& answer) {
  if (state == AttemptState::kUnsent || !answer.matches_request) return ConnectionLost(state);
  return {.result = Result::kAnswered,
          .sent = BytesSentIn(state),
          .status = answer.status,
          .not_executed = answer.not_executed,
          .sealed = answer.sealed,
          .complete = answer.complete};
}

}  // namespace

Transition Advance(AttemptState state, const AttemptEvent& event) {
  if (state == AttemptState::kNone) return {state, std::nullopt};
  switch (event.kind) {
    case Kind::kBytesSent:
      return {state == AttemptState::kUnsent ? AttemptState::kPartSent : state, std::nullopt};
    case Kind::kAllSent:
      return {AttemptState::kSent, std::nullopt};
    case Kind::kConnectionLost:
      return {AttemptState::kNone, ConnectionLost(state)};
    case Kind::kAnswered:
      return {AttemptState::kNone, AnsweredOutcome(state, event.answer)};
    case Kind::kAbandoned:
      return {AttemptState::kNone, AttemptOutcome{.result = Result::kTimedOut, .sent = BytesSentIn(state)}};
  }
  return {state, std::nullopt};
}

int AttemptSequence::BeginAttempt() {
  state_ = AttemptState::kUnsent;
  return history_.attempts++;
}

std::optional<AttemptOutcome> AttemptSequence::OnEvent(const AttemptEvent& event) {
  if (!in_progress() || event.attempt != attempt()) return std::nullopt;
  const Transition transition = Advance(state_, event);
  state_ = transition.state;
  // No step follows an abandoned attempt, so its execution is recorded here. DecideNextStep() records the
  // others.
  const bool abandoned = event.kind == Kind::kAbandoned;
  if (abandoned && ClassifyExecution(*transition.outcome) != Execution::kNotExecuted)
    history_.may_have_executed = true;
  return transition.outcome;
}

NextStep AttemptSequence::DecideNextStep(const AttemptOutcome& outcome, bool budget_allows, bool time_left) {
  return retry::DecideNextStep(history_, outcome, budget_allows, time_left);
}

}  // namespace curlewdoor::retry
