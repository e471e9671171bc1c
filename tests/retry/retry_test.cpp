#include "retry/retry.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <vector>

#include "util/seconds.hpp"

namespace curlewdoor::retry {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Result = AttemptOutcome::Result;

constexpr TimePoint kStart{seconds(1000)};

bool IsNotExecutedStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::vector<AttemptOutcome> AllOutcomes() {
  std::vector<AttemptOutcome> all;
  for (const Result result :
       {Result::kConnectFailed, Result::kConnectionLost, Result::kAnswered, Result::kTimedOut})
    for (const int status : {200, 204, 299, 301, 400, 404, 408, 413, 421, 429, 500, 502, 503, 504})
      for (const BytesSent sent : {BytesSent::kNothing, BytesSent::kPartial, BytesSent::kAll})
        for (int flags = 0; flags < 8; ++flags)
          all.push_back({.result = result,
                         .sent = sent,
                         .status = status,
                         .not_executed = (flags & 1) != 0,
                         .sealed = (flags & 2) != 0,
                         .complete = (flags & 4) != 0});
  return all;
}

// Independent of the code under test: only these outcomes prove that a host has not executed the request.
bool IsCertainlyNotExecuted(const AttemptOutcome& outcome) {
  if (outcome.result == Result::kAnswered) return outcome.not_executed || outcome.status == 421;
  return outcome.sent == BytesSent::kNothing;
}

template <typename Check>
void ForEachCase(Check&& check) {
  for (const AttemptOutcome& outcome : AllOutcomes())
    for (int flags = 0; flags < 32; ++flags)
      for (const int attempts : {1, 2, 3})
        for (const int limit : {1, 2, 3}) {
          AttemptHistory history;
          history.idempotent = (flags & 1) != 0;
          history.body_released = (flags & 2) != 0;
          history.may_have_executed = (flags & 4) != 0;
          history.attempts = attempts;
          history.max_attempts = limit;
          check(history, outcome, (flags & 8) != 0, (flags & 16) != 0);
        }
}

BOOST_AUTO_TEST_CASE(NoOutcomeBreaksAPromise) {
  ForEachCase([](AttemptHistory history, const AttemptOutcome& outcome, bool budget_allows, bool time_left) {
    const bool may_have_executed = history.may_have_executed || !IsCertainlyNotExecuted(outcome);
    const NextStep next = DecideNextStep(history, outcome, budget_allows, time_left);
    BOOST_TEST_CONTEXT("result " << static_cast<int>(outcome.result) << " status " << outcome.status
                                 << " sent " << static_cast<int>(outcome.sent) << " not_executed "
                                 << outcome.not_executed << " sealed " << outcome.sealed << " complete "
                                 << outcome.complete) {
      BOOST_REQUIRE_EQUAL(history.may_have_executed, may_have_executed);
      if (next == NextStep::kRetry) {
        BOOST_REQUIRE(history.idempotent || !may_have_executed);
        BOOST_REQUIRE(!history.body_released);
        BOOST_REQUIRE(history.attempts < history.max_attempts);
        BOOST_REQUIRE(time_left);
        BOOST_REQUIRE(budget_allows || !MayHaveReachedHost(outcome));
      }
      if (next == NextStep::kDecline) BOOST_REQUIRE(!may_have_executed);
      if (next == NextStep::kForward) {
        BOOST_REQUIRE(outcome.result == Result::kAnswered && outcome.complete &&
                      !IsNotExecutedStatus(outcome.status));
        if (outcome.status < 300) BOOST_REQUIRE(outcome.sealed);
      }
    }
  });
}

// A request that may be retried is retried, and a success is forwarded to the client.
BOOST_AUTO_TEST_CASE(NothingIsGivenUpWithoutNeed) {
  ForEachCase([](AttemptHistory history, const AttemptOutcome& outcome, bool budget_allows, bool time_left) {
    const NextStep next = DecideNextStep(history, outcome, budget_allows, time_left);
    const bool could = (history.idempotent || !history.may_have_executed) && !history.body_released &&
                       time_left && budget_allows && history.attempts < history.max_attempts;
    if (could) BOOST_REQUIRE(next == NextStep::kRetry || next == NextStep::kForward);
    if (!history.may_have_executed) BOOST_REQUIRE(next != NextStep::kFail);
    const bool good = outcome.result == Result::kAnswered && outcome.status < 300 && outcome.sealed &&
                      outcome.complete && !outcome.not_executed;
    if (good) BOOST_REQUIRE(next == NextStep::kForward);
  });
}

BOOST_AUTO_TEST_CASE(EachAttemptThatMayHaveArrivedCountsAgainstTheBudget) {
  for (const AttemptOutcome& outcome : AllOutcomes())
    if (outcome.result == Result::kAnswered || outcome.sent != BytesSent::kNothing)
      BOOST_REQUIRE(MayHaveReachedHost(outcome));
}

// ---- Retry budget
// -------------------------------------------------------------------------------------------

// Gateways, each with its own budget, and the times of all requests and retries.
class SimulatedFleet {
 public:
  SimulatedFleet(RetryBudget::Options options, int gateways, bool start_full) : options_(options) {
    options_.gateways = gateways;
    for (int i = 0; i < gateways; ++i) budgets_.emplace_back(options_, start_full, now_);
  }
  void AdvanceTime(Duration duration) { now_ += duration; }
  void Request(std::size_t gateway, int retries) {
    budgets_[gateway].OnRequest(now_);
    request_times_.push_back(now_);
    for (int i = 0; i < retries && budgets_[gateway].Allows(now_); ++i) {
      budgets_[gateway].Spend(now_);
      retry_times_.push_back(now_);
    }
  }
  std::size_t retry_count() const { return retry_times_.size(); }
  // The largest excess of retries over the limit in any window. The requests that earn the retries are
  // counted in the same window, the previous one, or the one half a window earlier, whichever has the most.
  double MaxExcess() const {
    double excess = -1e9;
    for (std::size_t i = 0, last = 0; i < retry_times_.size(); ++i) {
      const TimePoint from = retry_times_[i], to = from + options_.window;
      last = std::max(last, i);
      while (last < retry_times_.size() && retry_times_[last] < to) ++last;
      const auto requests_within = [&](Duration before) {
        return std::lower_bound(request_times_.begin(), request_times_.end(), to - before) -
               std::lower_bound(request_times_.begin(), request_times_.end(), from - before);
      };
      const auto requests = std::max(
          {requests_within({}), requests_within(options_.window / 2), requests_within(options_.window)});
      excess = std::max(excess, static_cast<double>(last - i) - options_.slack -
                                    options_.ratio * static_cast<double>(requests));
    }
    return excess;
  }

 private:
  RetryBudget::Options options_;
  TimePoint now_ = kStart;
  std::vector<RetryBudget> budgets_;
  std::vector<TimePoint> request_times_, retry_times_;
};

// Random phases: high and low failure rates and loads, spread over all gateways or concentrated on a few.
BOOST_AUTO_TEST_CASE(AllGatewaysTogetherKeepToTheBudget) {
  for (const int gateways : {1, 11, 91})
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      std::mt19937_64 rng(seed);
      const auto random = [&](double limit) {
        return limit * (static_cast<double>(rng() >> 11) * 0x1.0p-53);
      };
      SimulatedFleet fleet({.ratio = 0.2, .slack = 62, .window = seconds(10)}, gateways, seed % 2 == 0);
      for (int phase = 0; phase < 12; ++phase) {
        const double rate = std::pow(10, random(3)), failure_share = random(1) < 0.5 ? 1 : random(0.3);
        const auto used = 1 + rng() % static_cast<std::uint64_t>(gateways);
        const double length = random(1) < 0.2 ? 60 : random(12);
        for (double at = 0; at < length;) {
          const double gap = std::exponential_distribution<double>(rate)(rng);
          at += gap;
          fleet.AdvanceTime(FromSeconds(gap));
          fleet.Request(rng() % used, random(1) < failure_share ? 2 : 0);
        }
      }
      BOOST_TEST_CONTEXT("gateways " << gateways << " seed " << seed) { BOOST_TEST(fleet.MaxExcess() <= 0); }
    }
}

// The worst case for a large fleet: each gateway has accumulated all the tokens it can and gets one request
// that fails.
BOOST_AUTO_TEST_CASE(AccumulatedTokensOfAllGatewaysStayWithinTheSlack) {
  for (const int gateways : {1, 11, 50, 91, 300})
    for (const bool busy : {false, true}) {
      SimulatedFleet fleet({.ratio = 0.2, .slack = 62, .window = seconds(10)}, gateways, true);
      const auto all = [&](int requests, int retries) {
        for (int i = 0; i < gateways; ++i)
          for (int k = 0; k < requests; ++k) fleet.Request(static_cast<std::size_t>(i), retries);
      };
      if (busy) all(30, 0);
      fleet.AdvanceTime(seconds(120));
      all(1, 2);
      BOOST_TEST_CONTEXT("gateways " << gateways << " busy " << busy) { BOOST_TEST(fleet.MaxExcess() <= 0); }
    }
}

BOOST_AUTO_TEST_CASE(ALargeFleetStillRetries) {
  SimulatedFleet fleet({.ratio = 0.2, .slack = 62, .window = seconds(10)}, 91, false);
  for (int i = 0; i < 91 * 100; ++i) {  // five requests per second at each gateway; one in ten fails
    fleet.AdvanceTime(microseconds(2198));
    fleet.Request(static_cast<std::size_t>(i % 91), i % 10 == 0 ? 1 : 0);
  }
  BOOST_TEST(fleet.retry_count() > 700u);
  BOOST_TEST(fleet.MaxExcess() <= 0);
}

BOOST_AUTO_TEST_CASE(ABudgetStartsEmptyUnlessNoRetriesWereMadeRecently) {
  RetryBudget full({}, true, kStart), empty({}, false, kStart);
  BOOST_TEST(full.Allows(kStart));
  BOOST_TEST(!empty.Allows(kStart));
  BOOST_TEST(!empty.Allows(kStart + milliseconds(1)));
  BOOST_TEST(empty.Allows(kStart + seconds(10)));  // the slack refills with time
  RetryBudget request_driven({.slack = 0}, false, kStart);
  for (int i = 0; i < 4; ++i) request_driven.OnRequest(kStart);
  BOOST_TEST(!request_driven.Allows(kStart + seconds(1)));
  for (int i = 0; i < 4; ++i) request_driven.OnRequest(kStart + seconds(1));
  BOOST_TEST(request_driven.Allows(kStart + seconds(1)));  // requests alone earn retries
}

BOOST_AUTO_TEST_CASE(MoreGatewaysReduceAccumulatedTokens) {
  RetryBudget budget({}, true, kStart);
  budget.SetGateways(1000);
  int allowed = 0;
  for (; budget.Allows(kStart) && allowed < 100; ++allowed) budget.Spend(kStart);
  BOOST_TEST(allowed <= 1);
  BOOST_TEST(!budget.Allows(kStart - seconds(100)));  // a time that goes back refills nothing
}

}  // namespace
}  // namespace curlewdoor::retry
