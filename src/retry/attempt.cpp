#include "retry/attempt.hpp"

namespace curlewdoor::retry {
namespace {

using Kind = AttemptEvent::Kind;
using How = Ending::How;

Sent SentIn(AttemptState state) {
  switch (state) {
    case AttemptState::kNone:
    case AttemptState::kUnsent:
      return Sent::kNothing;
    case AttemptState::kPartSent:
      return Sent::kPart;
    case AttemptState::kSent:
      return Sent::kAll;
  }
  return Sent::kAll;
}

Ending Broken(AttemptState state) {
  const Sent sent = SentIn(state);
  return {.how = sent == Sent::kNothing ? How::kNoConnect : How::kBroken, .sent = sent};
}

Ending Answered(AttemptState state, const HostAnswer& answer) {
  if (state == AttemptState::kUnsent || !answer.bound) return Broken(state);
  return {.how = How::kAnswered,
          .sent = SentIn(state),
          .status = answer.status,
          .not_run = answer.not_run,
          .sealed = answer.sealed,
          .whole = answer.whole};
}

}  // namespace

Transition Advance(AttemptState state, const AttemptEvent& event) {
  if (state == AttemptState::kNone) return {state, std::nullopt};
  switch (event.kind) {
    case Kind::kBytesSent:
      return {state == AttemptState::kUnsent ? AttemptState::kPartSent : state, std::nullopt};
    case Kind::kAllSent:
      return {AttemptState::kSent, std::nullopt};
    case Kind::kBroken:
      return {AttemptState::kNone, Broken(state)};
    case Kind::kAnswered:
      return {AttemptState::kNone, Answered(state, event.answer)};
    case Kind::kGivenUp:
      return {AttemptState::kNone, Ending{.how = How::kTimedOut, .sent = SentIn(state)}};
  }
  return {state, std::nullopt};
}

int Course::Begin() {
  state_ = AttemptState::kUnsent;
  return record_.attempts++;
}

std::optional<Ending> Course::Take(const AttemptEvent& event) {
  if (!out() || event.attempt != attempt()) return std::nullopt;
  const Transition transition = Advance(state_, event);
  state_ = transition.state;
  // Nothing follows on one that is given up; of the others Follow() judges.
  const bool given_up = event.kind == Kind::kGivenUp;
  if (given_up && Judge(*transition.ending) != Verdict::kNotRun) record_.may_have_run = true;
  return transition.ending;
}

Next Course::Follow(const Ending& ending, bool budget, bool time) {
  return retry::Follow(record_, ending, budget, time);
}

}  // namespace curlewdoor::retry
