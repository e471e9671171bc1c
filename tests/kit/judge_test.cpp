// The judge on sightings made by hand: where exactly each rule's line runs.
#include "rehearsal/judge.hpp"

#include <gtest/gtest.h>

#include "rehearsal/figures.hpp"
#include "scenarios.hpp"

namespace curlewdoor::kit {
namespace {

using rehearsal::AnswerKind;
using rehearsal::Judge;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'700'000'000)};

class JudgeTest : public ::testing::Test {
 protected:
  JudgeTest() : scenario_(Parsed(ScenarioText())), judge_(scenario_, kStart, customers_) {
    scenario_.plans[1].ceiling_rate = 10;
    scenario_.plans[1].ceiling_burst = 20;
    scenario_.plans[1].ceiling_slack = 2;
  }
  standin::Ask Ask(std::uint64_t id, bool safe = true, double units = 1) {
    standin::Ask ask;
    ask.id = ask.first = id;
    ask.request_class = safe ? 0 : 1;
    ask.units = units;
    ask.due = ask.asked_at = kStart;
    ask.patience = milliseconds(1000);
    judge_.Taken(kStart, ask);
    return ask;
  }
  std::string Broken() { return BrokenRules(judge_.Verdicts()); }
  void Attempt(Duration at, int node, std::uint64_t id) {
    judge_.AttemptBegins(kStart + at, node, 0, id);
    judge_.AttemptWhole(kStart + at, node, 0, id);
  }

  rehearsal::Scenario scenario_;
  // One customer, on the plan with a ceiling.
  std::vector<standin::Customer> customers_{{7, "0000000000000007", 1, 0, 3}};
  Judge judge_;
};

TEST_F(JudgeTest, AnswerAtTheBoundIsInTimeAndLaterIsLost) {
  judge_.Answered(kStart + milliseconds(1058), Ask(1), AnswerKind::kFailed, 502, true);
  EXPECT_EQ(Broken(), "");
  judge_.Answered(kStart + milliseconds(1059), Ask(2), AnswerKind::kFailed, 502, true);
  EXPECT_EQ(Broken(), "lost");
}

TEST_F(JudgeTest, SecondAnswerAForeignBodyAndNoAnswerAreLost) {
  const auto first = Ask(1);
  judge_.Answered(kStart, first, AnswerKind::kServed, 200, true);
  EXPECT_EQ(Broken(), "");
  judge_.Answered(kStart, first, AnswerKind::kFailed, 502, true);
  judge_.Answered(kStart, Ask(2), AnswerKind::kServed, 200, false);
  judge_.Unanswered(kStart, Ask(3), false);
  judge_.Unanswered(kStart, Ask(4), true);  // its gateway was killed
  EXPECT_EQ(judge_.Verdicts()[0].breaches, 3u);
  EXPECT_EQ(Broken(), "lost");
}

// What was due while a gateway stood still gets its answer soon after it goes on, and is sent nowhere then.
TEST_F(JudgeTest, AGatewayThatStoodStillOwesAnswersAtOnceAndSendsNothingLate) {
  const auto in_time = Ask(1), late = Ask(2), left = Ask(3), sent = Ask(4);
  judge_.GatewayStopped(kStart + milliseconds(500), 0);
  judge_.Unanswered(kStart + milliseconds(1600), left, false);
  judge_.GatewayContinued(kStart + milliseconds(5000), 0);
  judge_.Answered(kStart + milliseconds(5150), in_time, AnswerKind::kFailed, 504, true);
  EXPECT_EQ(Broken(), "");
  EXPECT_EQ(judge_.held_up(), 2u);
  judge_.Answered(kStart + milliseconds(5151), late, AnswerKind::kFailed, 504, true);
  EXPECT_EQ(judge_.Verdicts()[0].breaches, 1u);
  Attempt(milliseconds(5010), 0, left.id);
  EXPECT_EQ(judge_.Verdicts()[0].breaches, 2u);
  Attempt(milliseconds(5010), 0, sent.id);
  EXPECT_EQ(judge_.Verdicts()[0].breaches, 3u);
}

TEST_F(JudgeTest, NothingIsSentAfterTheAnswer) {
  judge_.Answered(kStart, Ask(1), AnswerKind::kRefused, 429, true);
  Attempt(milliseconds(50), 0, 1);
  EXPECT_EQ(Broken(), "");
  Attempt(milliseconds(51), 0, 1);
  EXPECT_EQ(Broken(), "lost");
}

TEST_F(JudgeTest, UnsafeRequestsRunOnce) {
  Ask(1, true);
  judge_.Ran(kStart, 0, 1);
  judge_.Ran(kStart, 1, 1);  // a read may
  Ask(2, false);
  judge_.Ran(kStart, 0, 2);
  EXPECT_EQ(Broken(), "");
  judge_.Ran(kStart, 1, 2);
  EXPECT_EQ(Broken(), "duplicate");
  EXPECT_EQ(judge_.Verdicts()[1].first->node, 1);
}

TEST_F(JudgeTest, WhatRanIsNotRefusedWhicheverComesFirst) {
  const auto refused_last = Ask(1, false), refused_first = Ask(2, false);
  judge_.Ran(kStart, 0, 1);
  judge_.Answered(kStart, refused_last, AnswerKind::kRefused, 429, true);
  EXPECT_EQ(judge_.Verdicts()[1].breaches, 1u);
  judge_.Answered(kStart, refused_first, AnswerKind::kRefused, 429, true);
  judge_.Ran(kStart, 0, 2);
  EXPECT_EQ(judge_.Verdicts()[1].breaches, 2u);
}

TEST_F(JudgeTest, DrainCountsFromWhenThisGatewayWasTold) {
  Ask(1);
  Ask(2);
  judge_.Told(kStart, 1, 0, HostState::kDraining);  // another gateway
  Attempt(seconds(5), 0, 1);
  judge_.Told(kStart + seconds(5), 0, 0, HostState::kDraining);
  judge_.Told(kStart + seconds(6), 0, 0, HostState::kRemoved);  // does not begin anew
  Attempt(milliseconds(5550), 0, 1);
  EXPECT_EQ(Broken(), "");
  Attempt(milliseconds(5551), 0, 1);
  EXPECT_EQ(Broken(), "drain");
}

TEST_F(JudgeTest, NodeThatIsBackOrToldToAnEarlierLifeDrainsNoMore) {
  Ask(1);
  judge_.Told(kStart, 0, 0, HostState::kRemoved);
  judge_.Told(kStart + seconds(1), 0, 0, HostState::kReady);
  Attempt(seconds(2), 0, 1);
  judge_.Told(kStart + seconds(2), 0, 0, HostState::kDraining);
  judge_.GatewayStarted(kStart + seconds(2), 0);
  Attempt(seconds(3), 0, 1);
  EXPECT_EQ(Broken(), "");
}

TEST_F(JudgeTest, FallCountsWhereTwoThirdsCameFromThoseThatKnew) {
  judge_.NodeStarted(kStart, 0);
  judge_.Told(kStart + seconds(1), 0, 0, HostState::kReady);
  judge_.NodeFell(kStart + seconds(2), 0, {0.6, 0.4});
  EXPECT_EQ(Broken(), "");
  judge_.NodeFell(kStart + seconds(2), 0, {0.7, 0.3});
  EXPECT_EQ(Broken(), "fall-over");
}

TEST_F(JudgeTest, CeilingIsDrawnByFirstAttemptsAndRefills) {
  Judge judge(scenario_, kStart, customers_);  // with the ceiling of 20 and 10 a second
  const auto draw = [&](std::uint64_t id, double units, Duration at) {
    standin::Ask ask;
    ask.id = ask.first = id;
    ask.units = units;
    ask.due = kStart;
    ask.patience = seconds(60);
    judge.Taken(kStart, ask);
    judge.AttemptWhole(kStart + at, 0, 0, id);
    judge.AttemptWhole(kStart + at, 1, 0, id);  // a further attempt draws nothing
  };
  draw(1, 20, {});
  draw(2, 10, seconds(1));
  draw(3, 3.5, seconds(1));  // the slack, and what the rate gives in 150 ms
  EXPECT_EQ(BrokenRules(judge.Verdicts()), "");
  EXPECT_NEAR(judge.Verdicts()[4].nearest, 1, 1e-9);
  draw(4, 0.1, seconds(1));
  EXPECT_EQ(BrokenRules(judge.Verdicts()), "ceiling");
  EXPECT_EQ(judge.Verdicts()[4].first->customer, "0000000000000007");
  EXPECT_NEAR(judge.Ceilings().at(0).admitted, 33.6, 1e-9);
}

TEST(Figures, ServiceCountsWhatIsInQuotaAndFromTheFirstTry) {
  const auto scenario = Parsed(ScenarioText());
  const std::vector<standin::Customer> customers{{7, "0000000000000007", 0, 0, 3}};
  rehearsal::Figures figures(scenario, kStart, customers, true);
  const auto ask = [&](std::uint64_t id, std::uint64_t first, bool in_quota) {
    standin::Ask asked;
    asked.id = id;
    asked.first = first;
    asked.due = asked.asked_at = kStart;
    asked.in_quota = in_quota;
    figures.Asked(asked);
    return asked;
  };
  const auto late = ask(1, 1, true);
  figures.Answered(kStart, late, AnswerKind::kRefused, 429, true);
  figures.Answered(kStart + milliseconds(500), ask(2, 1, true), AnswerKind::kServed, 200,
                   true);  // past the aim
  figures.Answered(kStart + milliseconds(100), ask(3, 3, true), AnswerKind::kServed, 200, true);
  figures.Answered(kStart + milliseconds(100), ask(4, 4, false), AnswerKind::kServed, 200, true);
  const auto totals = figures.Sum();
  EXPECT_EQ(totals.offered, 3u);
  EXPECT_EQ(totals.tries, 4u);
  EXPECT_EQ(totals.refused_in_quota, 1u);
  EXPECT_DOUBLE_EQ(totals.Service(), 0.5);
  EXPECT_EQ(figures.BySecond().at(0).served, 3u);
}

TEST(Latencies, QuantilesWithinTheirBins) {
  rehearsal::Latencies latencies;
  EXPECT_EQ(latencies.Quantile(0.5), 0);
  for (int ms = 1; ms <= 1000; ++ms) latencies.Add(milliseconds(ms));
  EXPECT_NEAR(latencies.Quantile(0.5), 500, 15);
  EXPECT_NEAR(latencies.Quantile(0.99), 990, 30);
  latencies.Add(seconds(1000));
  EXPECT_EQ(latencies.Quantile(1), 100'000);
}

}  // namespace
}  // namespace curlewdoor::kit
