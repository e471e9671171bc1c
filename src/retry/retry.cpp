#include "retry/retry.hpp"

#include <algorithm>
#include <cmath>

#include "util/seconds.hpp"

namespace curlewdoor::retry {
namespace {

// Only this share of the allowed retries is used: the number of gateways changes, and windows slide.
constexpr double kSafetyFactor = 0.7;
// Share of the slack that a gateway may accumulate; the rest refills the bucket.
constexpr double kSavedSlackShare = 0.6;
// Tokens earned by requests beyond the accumulated slack decay by a factor of e in this many windows.
constexpr double kEarnedDecayWindows = 0.5;

bool IsNotExecutedStatus(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

Execution ClassifyExecution(const AttemptOutcome& outcome) {
  switch (outcome.result) {
    case AttemptOutcome::Result::kConnectFailed:
    case AttemptOutcome::Result::kConnectionLost:
    case AttemptOutcome::Result::kTimedOut:
      return outcome.sent == BytesSent::kNothing ? Execution::kNotExecuted : Execution::kMayHaveExecuted;
    case AttemptOutcome::Result::kAnswered:
      break;
  }
  if (outcome.not_executed || outcome.status == 421) return Execution::kNotExecuted;
  return outcome.status >= 200 && outcome.status < 300 && outcome.sealed ? Execution::kExecuted
                                                                         : Execution::kMayHaveExecuted;
}

bool MayHaveReachedHost(const AttemptOutcome& outcome) {
  return outcome.sent != BytesSent::kNothing || outcome.result == AttemptOutcome::Result::kAnswered;
}

bool MayForward(const AttemptOutcome& outcome) {
  if (outcome.result != AttemptOutcome::Result::kAnswered || !outcome.complete) return false;
  if (outcome.status >= 200 && outcome.status < 300) return outcome.sealed;
  return outcome.status >= 300 && !IsNotExecutedStatus(outcome.status) && !outcome.not_executed;
}

NextStep DecideNextStep(AttemptHistory& history, const AttemptOutcome& outcome, bool budget_allows,
                        bool time_left) {
  const Execution execution = ClassifyExecution(outcome);
  history.may_have_executed = history.may_have_executed || execution != Execution::kNotExecuted;
  if (execution == Execution::kExecuted && MayForward(outcome)) return NextStep::kForward;
  const bool client_error =
      outcome.result == AttemptOutcome::Result::kAnswered && outcome.status >= 400 && outcome.status < 500;
  if (client_error && MayForward(outcome)) return NextStep::kForward;  // the request itself is at fault
  const bool allowed = history.idempotent || !history.may_have_executed;
  if (allowed && !history.body_released && history.attempts < history.max_attempts && time_left &&
      (budget_allows || !MayHaveReachedHost(outcome)))
    return NextStep::kRetry;
  if (MayForward(outcome)) return NextStep::kForward;
  return history.may_have_executed ? NextStep::kFail : NextStep::kDecline;
}

RetryBudget::RetryBudget(Options options, bool start_full, TimePoint now)
    : options_(options), updated_at_(now) {
  if (start_full) tokens_ = IdleCapacity();
}

double RetryBudget::IdleCapacity() const {
  return kSafetyFactor * kSavedSlackShare * options_.slack / std::max(1, options_.gateways);
}

double RetryBudget::MaxTokens() const { return std::max(1.0, IdleCapacity()); }

void RetryBudget::SetGateways(int gateways) {
  options_.gateways = std::max(1, gateways);
  tokens_ = std::min(tokens_, MaxTokens());
}

// Over one window, time alone refills the share of the slack that is not accumulated. In a large fleet a
// gateway's share of the slack is less than one retry; the remainder is earned by requests and decays when
// they stop. The decay keeps more gateways than the slack has retries from each holding a whole saved retry.
void RetryBudget::Refill(TimePoint now) {
  const double window = std::max(0.001, Seconds(options_.window)), elapsed = Seconds(now - updated_at_);
  if (elapsed <= 0) return;
  updated_at_ = now;
  const double rate =
      kSafetyFactor * (1 - kSavedSlackShare) * options_.slack / std::max(1, options_.gateways) / window;
  if (tokens_ < IdleCapacity()) {
    tokens_ = std::min(IdleCapacity(), tokens_ + rate * elapsed);
  } else {
    tokens_ =
        IdleCapacity() + (tokens_ - IdleCapacity()) * std::exp(-elapsed / (kEarnedDecayWindows * window));
  }
}

void RetryBudget::OnRequest(TimePoint now) {
  Refill(now);
  tokens_ = std::min(MaxTokens(), tokens_ + kSafetyFactor * options_.ratio);
}

bool RetryBudget::Allows(TimePoint now) {
  Refill(now);
  return tokens_ >= 1;
}

void RetryBudget::Spend(TimePoint now) {
  Refill(now);
  tokens_ -= 1;
}

}  // namespace curlewdoor::retry
