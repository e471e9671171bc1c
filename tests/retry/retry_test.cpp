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
using How = Ending::How;

constexpr TimePoint kStart{seconds(1000)};

bool IsPromise(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

std::vector<Ending> AllEndings() {
  std::vector<Ending> all;
  for (const How how : {How::kNoConnect, How::kBroken, How::kAnswered, How::kTimedOut})
    for (const int status : {200, 204, 299, 301, 400, 404, 408, 413, 421, 429, 500, 502, 503, 504})
      for (const Sent sent : {Sent::kNothing, Sent::kPart, Sent::kAll})
        for (int flags = 0; flags < 8; ++flags)
          all.push_back({.how = how,
                         .sent = sent,
                         .status = status,
                         .not_run = (flags & 1) != 0,
                         .sealed = (flags & 2) != 0,
                         .whole = (flags & 4) != 0});
  return all;
}

// Said apart from the code under test: only these show that a host has not run the request.
bool SurelyNotRun(const Ending& ending) {
  if (ending.how == How::kAnswered) return ending.not_run || ending.status == 421;
  return ending.sent == Sent::kNothing;
}

template <typename Do>
void WalkAll(Do&& act) {
  for (const Ending& ending : AllEndings())
    for (int flags = 0; flags < 32; ++flags)
      for (const int attempts : {1, 2, 3})
        for (const int most : {1, 2, 3}) {
          Record record;
          record.repeatable = (flags & 1) != 0;
          record.bound = (flags & 2) != 0;
          record.may_have_run = (flags & 4) != 0;
          record.attempts = attempts;
          record.most_attempts = most;
          act(record, ending, (flags & 8) != 0, (flags & 16) != 0);
        }
}

BOOST_AUTO_TEST_CASE(NoEndingBreaksAPromise) {
  WalkAll([](Record record, const Ending& ending, bool budget, bool time) {
    const bool may_have_run = record.may_have_run || !SurelyNotRun(ending);
    const Next next = Follow(record, ending, budget, time);
    BOOST_TEST_CONTEXT("how " << static_cast<int>(ending.how) << " status " << ending.status << " sent "
                              << static_cast<int>(ending.sent) << " not_run " << ending.not_run << " sealed "
                              << ending.sealed << " whole " << ending.whole) {
      BOOST_REQUIRE_EQUAL(record.may_have_run, may_have_run);
      if (next == Next::kAgain) {
        BOOST_REQUIRE(record.repeatable || !may_have_run);
        BOOST_REQUIRE(!record.bound);
        BOOST_REQUIRE(record.attempts < record.most_attempts);
        BOOST_REQUIRE(time);
        BOOST_REQUIRE(budget || !Arrived(ending));
      }
      if (next == Next::kDecline) BOOST_REQUIRE(!may_have_run);
      if (next == Next::kPass) {
        BOOST_REQUIRE(ending.how == How::kAnswered && ending.whole && !IsPromise(ending.status));
        if (ending.status < 300) BOOST_REQUIRE(ending.sealed);
      }
    }
  });
}

// What may be tried again is, and what a host has told the client is told.
BOOST_AUTO_TEST_CASE(NothingIsGivenUpWithoutNeed) {
  WalkAll([](Record record, const Ending& ending, bool budget, bool time) {
    const Next next = Follow(record, ending, budget, time);
    const bool could = (record.repeatable || !record.may_have_run) && !record.bound && time && budget &&
                       record.attempts < record.most_attempts;
    if (could) BOOST_REQUIRE(next == Next::kAgain || next == Next::kPass);
    if (!record.may_have_run) BOOST_REQUIRE(next != Next::kFail);
    const bool good = ending.how == How::kAnswered && ending.status < 300 && ending.sealed && ending.whole &&
                      !ending.not_run;
    if (good) BOOST_REQUIRE(next == Next::kPass);
  });
}

BOOST_AUTO_TEST_CASE(EachArrivalCountsAgainstTheBudget) {
  for (const Ending& ending : AllEndings())
    if (ending.how == How::kAnswered || ending.sent != Sent::kNothing) BOOST_REQUIRE(Arrived(ending));
}

// ---- Budget -------------------------------------------------------------------------------------------

// Gateways, each with its own budget, and all that was asked for and spent.
class Fleet {
 public:
  Fleet(Budget::Options options, int gateways, bool fresh) : options_(options) {
    options_.gateways = gateways;
    for (int i = 0; i < gateways; ++i) budgets_.emplace_back(options_, fresh, now_);
  }
  void Wait(Duration time) { now_ += time; }
  void Request(std::size_t gateway, int tries) {
    budgets_[gateway].OnRequest(now_);
    asked_.push_back(now_);
    for (int i = 0; i < tries && budgets_[gateway].Covers(now_); ++i) {
      budgets_[gateway].Spend(now_);
      spent_.push_back(now_);
    }
  }
  std::size_t spent() const { return spent_.size(); }
  // The most that any window has beyond what the rule allows; requests count in the window, in the one
  // before or half a window before.
  double MostBeyond() const {
    double most = -1e9;
    for (std::size_t i = 0, last = 0; i < spent_.size(); ++i) {
      const TimePoint from = spent_[i], to = from + options_.window;
      last = std::max(last, i);
      while (last < spent_.size() && spent_[last] < to) ++last;
      const auto asked = [&](Duration before) {
        return std::lower_bound(asked_.begin(), asked_.end(), to - before) -
               std::lower_bound(asked_.begin(), asked_.end(), from - before);
      };
      const auto requests = std::max({asked({}), asked(options_.window / 2), asked(options_.window)});
      most = std::max(most, static_cast<double>(last - i) - options_.slack -
                                options_.ratio * static_cast<double>(requests));
    }
    return most;
  }

 private:
  Budget::Options options_;
  TimePoint now_ = kStart;
  std::vector<Budget> budgets_;
  std::vector<TimePoint> asked_, spent_;
};

// Times of failure and of calm, busy and idle, evenly or at few gateways.
BOOST_AUTO_TEST_CASE(AllGatewaysTogetherKeepToTheBudget) {
  for (const int gateways : {1, 11, 91})
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      std::mt19937_64 rng(seed);
      const auto random = [&](double most) { return most * (static_cast<double>(rng() >> 11) * 0x1.0p-53); };
      Fleet fleet({.ratio = 0.2, .slack = 62, .window = seconds(10)}, gateways, seed % 2 == 0);
      for (int phase = 0; phase < 12; ++phase) {
        const double rate = std::pow(10, random(3)), fails = random(1) < 0.5 ? 1 : random(0.3);
        const auto used = 1 + rng() % static_cast<std::uint64_t>(gateways);
        const double length = random(1) < 0.2 ? 60 : random(12);
        for (double at = 0; at < length;) {
          const double gap = std::exponential_distribution<double>(rate)(rng);
          at += gap;
          fleet.Wait(FromSeconds(gap));
          fleet.Request(rng() % used, random(1) < fails ? 2 : 0);
        }
      }
      BOOST_TEST_CONTEXT("gateways " << gateways << " seed " << seed) { BOOST_TEST(fleet.MostBeyond() <= 0); }
    }
}

// The worst for a large fleet: each gateway has saved up what it can, and gets one request that fails.
BOOST_AUTO_TEST_CASE(WhatAllHaveSavedUpIsWithinTheSlack) {
  for (const int gateways : {1, 11, 50, 91, 300})
    for (const bool busy : {false, true}) {
      Fleet fleet({.ratio = 0.2, .slack = 62, .window = seconds(10)}, gateways, true);
      const auto all = [&](int requests, int tries) {
        for (int i = 0; i < gateways; ++i)
          for (int k = 0; k < requests; ++k) fleet.Request(static_cast<std::size_t>(i), tries);
      };
      if (busy) all(30, 0);
      fleet.Wait(seconds(120));
      all(1, 2);
      BOOST_TEST_CONTEXT("gateways " << gateways << " busy " << busy) { BOOST_TEST(fleet.MostBeyond() <= 0); }
    }
}

BOOST_AUTO_TEST_CASE(ALargeFleetStillTriesAgain) {
  Fleet fleet({.ratio = 0.2, .slack = 62, .window = seconds(10)}, 91, false);
  for (int i = 0; i < 91 * 100; ++i) {  // five a second at each gateway, one in ten fails
    fleet.Wait(microseconds(2198));
    fleet.Request(static_cast<std::size_t>(i % 91), i % 10 == 0 ? 1 : 0);
  }
  BOOST_TEST(fleet.spent() > 700u);
  BOOST_TEST(fleet.MostBeyond() <= 0);
}

BOOST_AUTO_TEST_CASE(OneThatIsNotFreshStartsEmpty) {
  Budget fresh({}, true, kStart), later({}, false, kStart);
  BOOST_TEST(fresh.Covers(kStart));
  BOOST_TEST(!later.Covers(kStart));
  BOOST_TEST(!later.Covers(kStart + milliseconds(1)));
  BOOST_TEST(later.Covers(kStart + seconds(10)));  // the slack comes back by time
  Budget driven({.slack = 0}, false, kStart);
  for (int i = 0; i < 4; ++i) driven.OnRequest(kStart);
  BOOST_TEST(!driven.Covers(kStart + seconds(1)));
  for (int i = 0; i < 4; ++i) driven.OnRequest(kStart + seconds(1));
  BOOST_TEST(driven.Covers(kStart + seconds(1)));  // requests drive it
}

BOOST_AUTO_TEST_CASE(MoreGatewaysTakeAwayWhatWasSaved) {
  Budget budget({}, true, kStart);
  budget.SetGateways(1000);
  int covered = 0;
  for (; budget.Covers(kStart) && covered < 100; ++covered) budget.Spend(kStart);
  BOOST_TEST(covered <= 1);
  BOOST_TEST(!budget.Covers(kStart - seconds(100)));  // a time that goes back gives nothing
}

}  // namespace
}  // namespace curlewdoor::retry
