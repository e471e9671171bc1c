// Classifies the outcome of an attempt and decides whether the request is retried at another host or what its
// client is told. Pure.
//
// The statuses 429, 503, 408 and 421 promise the client that its request has not been executed and never will
// be. Each such answer and each retry is decided by the Execution of the attempts that were made: a request
// that is not idempotent must never be executed twice, and the promise must never be wrong.
#pragma once

#include <cstdint>

#include "logic.hpp"

namespace curlewdoor::retry {

// Whether a host has executed the request of an attempt.
enum class Execution {
  kNotExecuted,      // it has not and never will
  kMayHaveExecuted,  // it may have, or may do so later
  kExecuted
};

// How much of an attempt's request was written to the socket. The operating system may deliver these bytes to
// the host at any later time.
enum class BytesSent { kNothing, kPartial, kAll };

// How an attempt ended, as observed on its connection.
struct AttemptOutcome {
  enum class Result {
    kConnectFailed,
    kConnectionLost,
    kAnswered,
    kTimedOut
  } result = Result::kConnectionLost;
  BytesSent sent = BytesSent::kNothing;
  int status = 0;             // kAnswered
  bool not_executed = false;  // kAnswered: the host states that it did not execute the request
  bool sealed = false;        // kAnswered: the answer carries the host's seal
  bool complete = true;       // kAnswered: the body has arrived, or arrives in chunks of known length
};

// What the outcome proves about the execution of the request.
Execution ClassifyExecution(const AttemptOutcome& outcome);
// Whether the request may have reached the host. A retry after such an attempt is charged to the retry
// budget.
bool MayHaveReachedHost(const AttemptOutcome& outcome);
// Whether the answer may be forwarded to the client unchanged. A success needs the host's seal. A status that
// promises that the request was not executed is never forwarded: the gateway makes this promise itself, once
// it is known to be true.
bool MayForward(const AttemptOutcome& outcome);

// What follows an attempt that has ended.
enum class NextStep {
  kForward,  // the answer is forwarded to the client
  kRetry,    // another attempt is made
  kFail,     // the client is told that the request failed; it may have been executed
  kDecline   // the client is told that the request was not executed
};

// The attempts of one request, taken together.
struct AttemptHistory {
  bool idempotent = false;
  int max_attempts = 1;
  int attempts = 0;
  // Part of the request body is no longer buffered: no further attempt is possible.
  bool body_released = false;
  bool may_have_executed = false;  // in any attempt that has ended
  auto operator<=>(const AttemptHistory&) const = default;
};

// Decides what follows an attempt. `budget_allows`: the retry budget covers another attempt. `time_left`:
// another attempt can still be served in time. Updates `history.may_have_executed`.
NextStep DecideNextStep(AttemptHistory& history, const AttemptOutcome& outcome, bool budget_allows,
                        bool time_left);

// Token bucket that limits this gateway's retries at one service. Retries are limited to a share of the
// service's requests plus a slack that all gateways share. Each gateway counts for itself; the sum over
// `gateways` gateways stays below ratio x requests + slack in every window.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.2;
    double slack = 60;
    Duration window = std::chrono::seconds(10);
    int gateways = 1;
  };
  // `start_full`: this gateway has made no retries recently. Otherwise the bucket starts empty, since an
  // earlier process may just have spent all of the slack.
  RetryBudget(Options options, bool start_full, TimePoint now);
  // The number of gateways that share the slack.
  void SetGateways(int gateways);
  // A request arrived; it earns a share of a token.
  void OnRequest(TimePoint now);
  bool Allows(TimePoint now);  // whether one more retry is covered
  void Spend(TimePoint now);   // takes the token of one retry

 private:
  double IdleCapacity() const;  // tokens that accumulate by time alone, at most
  double MaxTokens() const;
  void Refill(TimePoint now);
  Options options_;
  double tokens_ = 0;
  TimePoint updated_at_;
};

}  // namespace curlewdoor::retry
