// Stand-ins as pure state machines: what they do when pushed, cut off, drained, split and restarted.
#include <gtest/gtest.h>

#include <algorithm>

#include "standin/counter.hpp"
#include "standin/crowd.hpp"
#include "standin/discovery.hpp"
#include "standin/node.hpp"

namespace curlewdoor::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'700'000'000)};

class NodeTest : public ::testing::Test {
 protected:
  NodeTest() { Make(false); }
  void Make(bool cold) {
    kind_.thrash = 0;
    node_.emplace(kind_, std::vector<WorkClass>{{milliseconds(100), 0.0, WorkTimes::kLognormal}}, 2, 1);
    node_->Start(kStart, cold);
    now_ = kStart;
  }
  JobId Take(int gateway = 0, std::uint64_t request = 0) {
    Job job;
    job.id = next_++;
    job.request = request != 0 ? request : job.id;
    job.gateway = gateway;
    node_->Take(now_, job, out_);
    return job.id;
  }
  void AdvanceTo(Duration at) {
    now_ = kStart + at;
    node_->Advance(now_, out_);
  }
  std::size_t Said(NodeSays says) const {
    return static_cast<std::size_t>(
        std::count_if(out_.begin(), out_.end(), [&](const NodeOutput& o) { return o.says == says; }));
  }

  NodeKind kind_;
  std::optional<Node> node_;
  TimePoint now_;
  JobId next_ = 1;
  std::vector<NodeOutput> out_;
};

TEST_F(NodeTest, CoresAreShared) {
  for (int i = 0; i < 4; ++i) Take();  // 0.4 s of work on two cores
  AdvanceTo(milliseconds(199));
  EXPECT_EQ(Said(NodeSays::kAnswer), 0u);
  AdvanceTo(milliseconds(201));
  EXPECT_EQ(Said(NodeSays::kAnswer), 4u);
}

TEST_F(NodeTest, TellsWhenItsNextAnswerIsDue) {
  Take();
  ASSERT_TRUE(node_->NextDue());
  EXPECT_NEAR(Seconds(*node_->NextDue() - kStart), 0.1, 1e-6);
}

TEST_F(NodeTest, NineTimesSlowerInTheMiddleOfAJob) {
  Take();
  AdvanceTo(milliseconds(50));
  NodeTrouble slow;
  slow.slowness = 9;
  node_->SetTrouble(now_, slow);
  AdvanceTo(milliseconds(490));
  EXPECT_EQ(Said(NodeSays::kAnswer), 0u);
  AdvanceTo(milliseconds(510));
  EXPECT_EQ(Said(NodeSays::kAnswer), 1u);
}

TEST_F(NodeTest, TurnsAwayBeyondSlotsAndQueue) {
  const auto places = static_cast<std::size_t>(kind_.cores * (kind_.slots_per_core + kind_.queue_per_core));
  for (std::size_t i = 0; i < places + 3; ++i) Take();
  EXPECT_EQ(Said(NodeSays::kTurnedAway), 3u);
  EXPECT_EQ(node_->in_hand(), places);
}

TEST_F(NodeTest, DroppedJobsGiveTheirPlaceAndAreNotRun) {
  const JobId first = Take();
  node_->Drop(now_, first);
  EXPECT_EQ(node_->in_hand(), 0u);
  AdvanceTo(seconds(1));
  EXPECT_TRUE(node_->TakeRan().empty());
}

TEST_F(NodeTest, KnowsAnIdThatItHasRunBeforeEvenAfterARestart) {
  Take(0, 42);
  AdvanceTo(seconds(1));
  node_->Kill(now_, out_);
  node_->Start(now_, false);
  Take(0, 42);
  AdvanceTo(seconds(2));
  const auto ran = node_->TakeRan();
  ASSERT_EQ(ran.size(), 2u);
  EXPECT_EQ(ran[1].times, 2);
}

TEST_F(NodeTest, DyingResetsWhatItHasInHand) {
  for (int i = 0; i < 30; ++i) Take();  // some of them wait
  node_->Kill(now_, out_);
  EXPECT_EQ(Said(NodeSays::kReset), 30u);
  Take();
  EXPECT_EQ(Said(NodeSays::kReset), 31u);
}

TEST_F(NodeTest, CutOffItDoesTheWorkAndNobodyHears) {
  Take();
  NodeTrouble cut;
  cut.silent = true;
  node_->SetTrouble(now_, cut);
  Take();
  AdvanceTo(seconds(1));
  EXPECT_TRUE(out_.empty());
  EXPECT_EQ(node_->TakeRan().size(), 1u);  // what had come before
}

TEST_F(NodeTest, StalledItHasNothingDue) {
  Take();
  NodeTrouble stalled;
  stalled.stalled = true;
  node_->SetTrouble(now_, stalled);
  EXPECT_FALSE(node_->NextDue());
  AdvanceTo(seconds(5));
  EXPECT_TRUE(out_.empty());
}

TEST_F(NodeTest, ResetsAfterTheWorkHaveRun) {
  NodeTrouble resets;
  resets.resets = 1;
  node_->SetTrouble(now_, resets);
  Take();
  AdvanceTo(seconds(1));
  EXPECT_EQ(Said(NodeSays::kReset), 1u);
  EXPECT_EQ(node_->TakeRan().size(), 1u);
}

TEST_F(NodeTest, ServesAWhileWhenDrainingThenTurnsAway) {
  node_->SetDraining(now_, true);
  Take();
  AdvanceTo(seconds(3));
  EXPECT_EQ(Said(NodeSays::kAnswer), 1u);
  Take();
  EXPECT_EQ(Said(NodeSays::kTurnedAway), 1u);
}

TEST_F(NodeTest, ColdItIsSlowAndWarmsUp) {
  Make(true);
  Take();
  AdvanceTo(milliseconds(250));
  EXPECT_EQ(Said(NodeSays::kAnswer), 0u);  // at 0.3 of its pace
  AdvanceTo(milliseconds(340));
  EXPECT_EQ(Said(NodeSays::kAnswer), 1u);
}

TEST_F(NodeTest, PushedWhileColdItFallsAndTellsByWhom) {
  Make(true);
  // 4 times 0.3 of two cores over 3 s is 7.2 s of work.
  for (int i = 0; i < 70; ++i) Take(i % 2);
  EXPECT_TRUE(node_->up());
  EXPECT_GT(node_->nearest_fall(), 0.9);
  for (int i = 0; i < 10; ++i) Take(1);
  EXPECT_FALSE(node_->up());
  const auto fall = node_->TakeFall();
  ASSERT_TRUE(fall);
  EXPECT_GT(fall->work_by_gateway[1], fall->work_by_gateway[0]);
  EXPECT_EQ(Said(NodeSays::kReset) + Said(NodeSays::kTurnedAway), 80u);
}

TEST_F(NodeTest, WarmItDoesNotFall) {
  for (int i = 0; i < 500; ++i) Take();
  EXPECT_TRUE(node_->up());
}

class CounterTest : public ::testing::Test {
 protected:
  std::optional<double> Add(int gateway, std::uint64_t name, double amount, Duration at = {}) {
    const auto answer = counter_.Add(kStart + at, gateway, name, amount, seconds(4));
    return answer ? answer->total : std::nullopt;
  }
  CounterKind kind_;
  Counter counter_{kind_, 4, 1};
};

TEST_F(CounterTest, AddsByNameAndForgetsAtTheEndOfItsLife) {
  EXPECT_EQ(Add(0, 1, 2), 2);
  EXPECT_EQ(Add(1, 1, 3), 5);
  EXPECT_EQ(Add(0, 2, 1), 1);
  EXPECT_EQ(Add(0, 1, 1, seconds(4)), 1);
}

TEST_F(CounterTest, SilentItAddsNothing) {
  Add(0, 1, 2);
  CounterTrouble silent;
  silent.silent = true;
  counter_.SetTrouble(silent);
  EXPECT_FALSE(counter_.Add(kStart, 0, 1, 5, seconds(4)));
  counter_.SetTrouble({});
  EXPECT_EQ(Add(0, 1, 1), 3);
}

TEST_F(CounterTest, WithoutANumberItHasAddedAllTheSame) {
  CounterTrouble spoilt;
  spoilt.no_number = 1;
  counter_.SetTrouble(spoilt);
  EXPECT_EQ(Add(0, 1, 2), std::nullopt);
  counter_.SetTrouble({});
  EXPECT_EQ(Add(0, 1, 1), 3);
}

TEST_F(CounterTest, LosesAboutTheStatedPart) {
  for (std::uint64_t name = 0; name < 1000; ++name) Add(0, name, 1);
  counter_.Lose(0.37);
  EXPECT_NEAR(static_cast<double>(counter_.names()), 630, 60);
  counter_.Lose(1);
  EXPECT_EQ(counter_.names(), 0u);
}

TEST_F(CounterTest, SplitEachHalfGoesOnFromWhatItHadAndTheMergeKeepsOne) {
  Add(0, 1, 10);
  CounterTrouble split;
  split.second_half = 0.25;  // gateway 3 alone
  counter_.SetTrouble(split);
  EXPECT_EQ(Add(0, 1, 1), 11);
  EXPECT_EQ(Add(3, 1, 5), 15);
  EXPECT_EQ(Add(2, 1, 1), 12);
  counter_.SetTrouble({});
  EXPECT_EQ(Add(3, 1, 1), 13);
}

TEST_F(CounterTest, CrowdedItAnswersLaterAndThenTurnsAway) {
  CounterTrouble slow;
  slow.slowness = 50;  // a hundred calls a second
  counter_.SetTrouble(slow);
  TimePoint last = kStart;
  int turned_away = 0;
  for (int i = 0; i < 80; ++i) {
    const auto answer = counter_.Add(kStart, 0, 1, 1, seconds(4));
    turned_away += answer->status == 503 ? 1 : 0;
    if (answer->status == 200) {
      EXPECT_GT(answer->at, last);
      last = answer->at;
    }
  }
  EXPECT_GT(last, kStart + milliseconds(400));
  EXPECT_NEAR(turned_away, 29, 3);  // the line holds half a second
}

TEST(DiscoveryTest, TellsChangesInOrderWhenTheyReachTheAgent) {
  Discovery discovery(2, milliseconds(100), milliseconds(100), 1);
  discovery.Change(kStart, {0, HostState::kReady, {}});
  discovery.Change(kStart + seconds(1), {0, HostState::kDraining, {}});
  EXPECT_TRUE(discovery.Read(kStart, 0, std::nullopt)->nodes.empty());
  const auto whole = discovery.Read(kStart + milliseconds(200), 0, std::nullopt);
  EXPECT_EQ(whole->version, 1u);
  EXPECT_TRUE(whole->all);
  EXPECT_FALSE(discovery.Read(kStart + milliseconds(1050), 0, 1));
  EXPECT_EQ(discovery.NextNews(0, 1), kStart + milliseconds(1100));
  const auto change = discovery.Read(kStart + milliseconds(1100), 0, 1);
  ASSERT_TRUE(change);
  EXPECT_FALSE(change->all);
  EXPECT_EQ(change->nodes.at(0).state, HostState::kDraining);
}

TEST(DiscoveryTest, SilentStaleAndLate) {
  Discovery discovery(1, {}, {}, 1);
  discovery.Change(kStart, {0, HostState::kReady, {}});
  DiscoveryTrouble stale;
  stale.stale = true;
  discovery.SetTrouble(kStart, stale);
  discovery.Change(kStart + seconds(1), {0, HostState::kRemoved, {}});
  EXPECT_EQ(discovery.Read(kStart + seconds(2), 0, std::nullopt)->nodes.size(), 1u);
  DiscoveryTrouble silent;
  silent.silent = true;
  discovery.SetTrouble(kStart + seconds(2), silent);
  EXPECT_FALSE(discovery.Read(kStart + seconds(2), 0, std::nullopt));
  DiscoveryTrouble late;
  late.late = seconds(3);
  discovery.SetTrouble(kStart + seconds(3), late);
  discovery.Change(kStart + seconds(3), {1, HostState::kReady, {}});
  EXPECT_TRUE(discovery.Read(kStart + seconds(5), 0, std::nullopt)->nodes.empty());
  EXPECT_EQ(discovery.Read(kStart + seconds(6), 0, std::nullopt)->nodes.size(), 1u);
}

class CrowdTest : public ::testing::Test {
 protected:
  Crowd Make(CrowdPlan plan, CrowdHabits habits = {}) {
    plan.name = "p";
    CrowdClass read, unlock;
    read.name = "read";
    read.aim = milliseconds(400);
    read.deadline = milliseconds(1500);
    unlock = read;
    unlock.name = "unlock";
    unlock.repeat = RepeatSafety::kUnsafe;
    return Crowd(
        {plan}, {read, unlock}, habits, 3, kStart, seconds(60), [](double) { return 1.0; }, 1, 9);
  }
  static std::vector<Ask> All(Crowd& crowd) {
    std::vector<Ask> asks;
    crowd.Advance(kStart + seconds(100), asks);
    return asks;
  }
};

TEST_F(CrowdTest, AsksAsMuchAsPlannedAndMarksWhatIsWithinQuota) {
  CrowdPlan plan;
  plan.customers = 10;
  plan.rate = 2;
  plan.burst = 4;
  plan.asks = 4;
  plan.spread = 3;
  Crowd crowd = Make(plan);
  const auto asks = All(crowd);
  EXPECT_NEAR(static_cast<double>(asks.size()), 2400, 200);
  const auto inside = std::count_if(asks.begin(), asks.end(), [](const Ask& a) { return a.in_quota; });
  EXPECT_NEAR(static_cast<double>(inside), 10 * (60 * 2 + 4), 60);
}

TEST_F(CrowdTest, SpikyCustomersAskTheSameOnAverage) {
  CrowdPlan plan;
  plan.customers = 200;
  plan.asks = 2;
  plan.demand = Demand::kSpiky;
  Crowd crowd = Make(plan);
  EXPECT_NEAR(static_cast<double>(All(crowd).size()), 24'000, 1'500);
}

TEST_F(CrowdTest, DemandDoesNotHangOnAnswers) {
  CrowdPlan plan;
  plan.customers = 5;
  plan.asks = 4;
  Crowd quiet = Make(plan), busy = Make(plan);
  std::vector<Ask> first, second;
  while (const auto due = quiet.NextDue()) quiet.Advance(*due, first);
  while (const auto due = busy.NextDue()) {
    std::vector<Ask> asks;
    busy.Advance(*due, asks);
    for (const Ask& ask : asks) {
      if (ask.id == ask.first) second.push_back(ask);
      busy.Ended(ask.due, ask, Ending::kRefused, {});
    }
  }
  ASSERT_EQ(first.size(), second.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    ASSERT_EQ(first[i].due, second[i].due);
    ASSERT_EQ(first[i].gateway, second[i].gateway);
  }
}

TEST_F(CrowdTest, ComesBackAsToldAndNeverForAnUnsafeFailure) {
  CrowdPlan plan;
  plan.customers = 1;
  plan.asks = 0;
  CrowdHabits habits;
  habits.retry_share = habits.honour_share = 1;
  Crowd crowd = Make(plan, habits);
  Ask ask;
  ask.id = ask.first = 1;
  ask.due = ask.asked_at = kStart;
  crowd.Ended(kStart, ask, Ending::kRefused, milliseconds(700));
  EXPECT_EQ(crowd.NextDue(), kStart + milliseconds(700));
  const auto again = All(crowd);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].tries, 2);
  EXPECT_EQ(again[0].first, 1u);
  EXPECT_EQ(again[0].patience, milliseconds(800));
  ask.request_class = 1;
  crowd.Ended(kStart, ask, Ending::kFailed, {});
  EXPECT_FALSE(crowd.NextDue());
  crowd.Ended(kStart, ask, Ending::kRefused, seconds(2));  // back only after its time
  EXPECT_FALSE(crowd.NextDue());
}

TEST_F(CrowdTest, GoesRoundAGatewayThatIsDown) {
  CrowdPlan plan;
  plan.customers = 20;
  plan.asks = 2;
  plan.spread = 3;
  Crowd crowd = Make(plan);
  crowd.SetDown(1, true);
  for (const Ask& ask : All(crowd)) EXPECT_NE(ask.gateway, 1);
}

}  // namespace
}  // namespace curlewdoor::standin
