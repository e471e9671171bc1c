// Hosts out by hand: they stay out whatever discovery says, until the call back.
#include <gtest/gtest.h>

#include "roster/by_hand.hpp"

namespace curlewdoor::roster {
namespace {

Member Host(const std::string& uid, HostState state = HostState::kReady, std::uint16_t port = 1) {
  Member member;
  member.entry.host = HostOf(uid);
  member.entry.state = state;
  member.address = Address{1, port};
  return member;
}

struct ByHandTest : ::testing::Test {
  HostState Told(MemberList list) {
    const MemberList passed = by_hand.Told(std::move(list));
    return passed.members.empty() ? HostState::kRemoved : passed.members.front().entry.state;
  }
  ByHand by_hand;
  std::optional<MemberList> change;
};

TEST_F(ByHandTest, AHostOutIsPassedOnAsDrainingWhateverIsToldOfIt) {
  Told({1, true, {Host("a"), Host("b")}});
  ASSERT_EQ(by_hand.Suspend(HostOf("a"), change), ByHand::Answer::kYes);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->members.front().entry.state, HostState::kDraining);
  EXPECT_EQ(Told({2, false, {Host("a", HostState::kReady, 9)}}), HostState::kDraining);  // a new address
  EXPECT_EQ(Told({3, false, {Host("a", HostState::kRemoved)}}), HostState::kRemoved);
  EXPECT_EQ(Told({4, false, {Host("a")}}), HostState::kDraining);  // gone and back
  EXPECT_EQ(Told({5, true, {Host("a"), Host("b")}}), HostState::kDraining);
  EXPECT_EQ(by_hand.listed_out(), 1u);
}

TEST_F(ByHandTest, OneCallBackUndoesTwoCallsOutAndTellsWhatDiscoverySaysByThen) {
  Told({1, true, {Host("a")}});
  by_hand.Suspend(HostOf("a"), change);
  change.reset();
  EXPECT_EQ(by_hand.Suspend(HostOf("a"), change), ByHand::Answer::kYes);
  EXPECT_FALSE(change);
  Told({2, false, {Host("a", HostState::kReady, 7)}});
  EXPECT_EQ(by_hand.Restore(HostOf("a"), change), ByHand::Answer::kYes);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->members.front().entry.state, HostState::kReady);
  EXPECT_EQ(change->members.front().address.port, 7);
  EXPECT_EQ(Told({3, false, {Host("a")}}), HostState::kReady);
}

TEST_F(ByHandTest, AHostOutThatIsNotListedComesBackInByOneCall) {
  Told({1, true, {Host("a")}});
  by_hand.Suspend(HostOf("a"), change);
  Told({2, true, {}});
  change.reset();
  EXPECT_EQ(by_hand.Restore(HostOf("a"), change), ByHand::Answer::kYes);
  EXPECT_FALSE(change);
  EXPECT_EQ(Told({3, true, {Host("a")}}), HostState::kReady);
}

TEST_F(ByHandTest, AnIdNeverSeenIsUnknownAndOneThatLeftIsNot) {
  Told({1, true, {Host("a")}});
  EXPECT_EQ(by_hand.Suspend(HostOf("x"), change), ByHand::Answer::kUnknown);
  EXPECT_EQ(by_hand.Restore(HostOf("x"), change), ByHand::Answer::kUnknown);
  Told({2, true, {}});
  EXPECT_EQ(by_hand.Suspend(HostOf("a"), change), ByHand::Answer::kYes);
  EXPECT_FALSE(change);
  EXPECT_EQ(Told({3, true, {Host("a")}}), HostState::kDraining);
}

// Guards against tables that grow with every host there has ever been.
TEST_F(ByHandTest, HostsThatLeftAndHostsOutAreBounded) {
  for (std::size_t i = 0; i <= ByHand::kMostLeft; ++i) Told({i, true, {Host("h" + std::to_string(i))}});
  EXPECT_EQ(by_hand.Suspend(HostOf("h1"), change), ByHand::Answer::kYes);
  Told({9999, true, {}});
  EXPECT_EQ(by_hand.Suspend(HostOf("h0"), change), ByHand::Answer::kUnknown);
  MemberList many{10000, true, {}};
  for (std::size_t i = 0; i <= ByHand::kMostOut; ++i) many.members.push_back(Host("m" + std::to_string(i)));
  Told(many);
  std::size_t yes = 0;
  for (std::size_t i = 0; i <= ByHand::kMostOut; ++i)
    yes += by_hand.Suspend(HostOf("m" + std::to_string(i)), change) == ByHand::Answer::kYes;
  EXPECT_EQ(yes, ByHand::kMostOut - 1);  // and h1
}

}  // namespace
}  // namespace curlewdoor::roster
