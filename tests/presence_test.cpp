// Tests of Presence: a partition of the counter is detected and told apart from dead gateways, and other
// disturbances change nothing.
#include "quota/presence.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace curlewdoor::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSlot = milliseconds(500);
const TimePoint kStart{seconds(1'700'000'000)};

// Gateways and a counter on one or two sides, in steps of 5 ms.
class PresenceTest : public ::testing::Test {
 protected:
  static constexpr int kGateways = 4;
  PresenceTest() {
    for (int g = 0; g < kGateways; ++g) gateways_.emplace_back(kSlot, static_cast<std::uint64_t>(g + 1));
  }
  // Gateways in `second_half` see the second side; dead ones make no calls. `arrivals`: per gateway and 50
  // ms.
  void Run(Duration length, std::set<int> second_half = {}, std::set<int> dead = {}, int arrivals = 5) {
    for (const TimePoint until = now_ + length; now_ < until; now_ += milliseconds(5)) {
      for (int g = 0; g < kGateways; ++g) {
        if (dead.contains(g)) continue;
        Presence& gateway = gateways_[static_cast<std::size_t>(g)];
        if (now_.time_since_epoch() % milliseconds(50) == Duration::zero())
          for (int i = 0; i < arrivals; ++i) gateway.RecordArrival(now_);
        const auto call = gateway.Poll(now_);
        if (!call) continue;
        ++calls_;
        double& count = halves_[second_half.contains(g) ? 1 : 0][call->name.value];
        count += call->amount;
        gateway.OnReply(now_, call->name, replies_lost_ ? std::nullopt : std::optional(count));
      }
    }
  }
  double VisibleFraction(int g) const { return gateways_[static_cast<std::size_t>(g)].visible_fraction(); }

  std::vector<Presence> gateways_;
  std::map<std::uint64_t, double> halves_[2];
  TimePoint now_ = kStart;
  int calls_ = 0;
  bool replies_lost_ = false;
};

TEST_F(PresenceTest, AllPresentIsTheWholeAndCostsTwoCallsASlot) {
  Run(seconds(10));
  for (int g = 0; g < kGateways; ++g) EXPECT_EQ(VisibleFraction(g), 1);
  EXPECT_EQ(calls_, kGateways * 2 * 20);
}

TEST_F(PresenceTest, EachHalfOfASplitGetsItsPartWithinThreeSlotsAndTheWholeBackAfterIt) {
  Run(seconds(10));
  Run(3 * kSlot, {3});
  EXPECT_EQ(VisibleFraction(0), 0.75);
  EXPECT_EQ(VisibleFraction(3), 0.25);
  EXPECT_EQ(gateways_[0].undetected_for(), 3 * kSlot);
  Run(seconds(30), {3});  // longer than the remembered readings
  EXPECT_EQ(VisibleFraction(0), 0.75);
  EXPECT_EQ(VisibleFraction(3), 0.25);
  Run(3 * kSlot);
  for (int g = 0; g < kGateways; ++g) EXPECT_EQ(VisibleFraction(g), 1);
}

// Once their clients have moved to the live gateways, the whole quota is given out.
TEST_F(PresenceTest, DeadGatewaysAreTakenForASplitOnlyUntilTheirClientsHaveMoved) {
  Run(seconds(10));
  Run(seconds(2), {}, {3});
  EXPECT_EQ(VisibleFraction(0), 0.75);
  Run(seconds(5), {}, {3}, 7);
  EXPECT_EQ(VisibleFraction(0), 1);
  Run(seconds(5), {}, {3}, 7);
  EXPECT_EQ(VisibleFraction(0), 1);
  Run(seconds(5));
  EXPECT_EQ(VisibleFraction(0), 1);
}

// Random variation must not be taken for clients of a dead gateway (counter table, split to the end, seed 4:
// 17% beyond quotas).
TEST_F(PresenceTest, ArrivalsThatVaryDoNotEndASplit) {
  Run(seconds(10));
  for (int i = 0; i < 100; ++i) {
    Run(2 * kSlot, {2, 3}, {}, i % 2 == 0 ? 7 : 4);
    if (i > 3) {
      ASSERT_EQ(VisibleFraction(0), 0.5) << i;
    }
  }
}

TEST_F(PresenceTest, OneSlotWithLostCountsIsNoSplit) {
  Run(seconds(10) + kSlot / 2);
  halves_[0].clear();
  for (int i = 0; i < 10; ++i) {
    Run(kSlot);
    for (int g = 0; g < kGateways; ++g) EXPECT_EQ(VisibleFraction(g), 1);
  }
}

TEST_F(PresenceTest, SilenceChangesNothing) {
  Run(seconds(10));
  replies_lost_ = true;
  Run(seconds(10));
  for (int g = 0; g < kGateways; ++g) EXPECT_EQ(VisibleFraction(g), 1);
  replies_lost_ = false;
  Run(seconds(10));
  for (int g = 0; g < kGateways; ++g) EXPECT_EQ(VisibleFraction(g), 1);
}

}  // namespace
}  // namespace curlewdoor::quota
