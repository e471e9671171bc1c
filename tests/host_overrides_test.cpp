// Suspended hosts stay suspended, whatever discovery reports, until an operator restores them.
#include "host_overrides/host_overrides.hpp"

#include <gtest/gtest.h>

namespace curlewdoor::host_overrides {
namespace {

Member Host(const std::string& uid, HostState state = HostState::kReady, std::uint16_t port = 1) {
  Member member;
  member.entry.host = HostIdFromUid(uid);
  member.entry.state = state;
  member.address = Address{1, port};
  return member;
}

struct HostOverridesTest : ::testing::Test {
  HostState StateAfter(MemberList list) {
    const MemberList applied = overrides.ApplyOverrides(std::move(list));
    return applied.members.empty() ? HostState::kRemoved : applied.members.front().entry.state;
  }
  HostOverrides overrides;
  std::optional<MemberList> change;
};

TEST_F(HostOverridesTest, ASuspendedHostIsPassedOnAsDrainingWhateverDiscoveryReports) {
  StateAfter({1, true, {Host("a"), Host("b")}});
  ASSERT_EQ(overrides.Suspend(HostIdFromUid("a"), change), HostOverrides::Result::kOk);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->members.front().entry.state, HostState::kDraining);
  EXPECT_EQ(StateAfter({2, false, {Host("a", HostState::kReady, 9)}}),
            HostState::kDraining);  // with a new address
  EXPECT_EQ(StateAfter({3, false, {Host("a", HostState::kRemoved)}}), HostState::kRemoved);
  EXPECT_EQ(StateAfter({4, false, {Host("a")}}), HostState::kDraining);  // removed and listed again
  EXPECT_EQ(StateAfter({5, true, {Host("a"), Host("b")}}), HostState::kDraining);
  EXPECT_EQ(overrides.listed_suspended_count(), 1u);
}

TEST_F(HostOverridesTest, OneRestoreUndoesTwoSuspendsAndPassesOnTheLatestState) {
  StateAfter({1, true, {Host("a")}});
  overrides.Suspend(HostIdFromUid("a"), change);
  change.reset();
  EXPECT_EQ(overrides.Suspend(HostIdFromUid("a"), change), HostOverrides::Result::kOk);
  EXPECT_FALSE(change);
  StateAfter({2, false, {Host("a", HostState::kReady, 7)}});
  EXPECT_EQ(overrides.Restore(HostIdFromUid("a"), change), HostOverrides::Result::kOk);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->members.front().entry.state, HostState::kReady);
  EXPECT_EQ(change->members.front().address.port, 7);
  EXPECT_EQ(StateAfter({3, false, {Host("a")}}), HostState::kReady);
}

TEST_F(HostOverridesTest, ASuspendedHostThatIsNotListedIsRestoredByOneCall) {
  StateAfter({1, true, {Host("a")}});
  overrides.Suspend(HostIdFromUid("a"), change);
  StateAfter({2, true, {}});
  change.reset();
  EXPECT_EQ(overrides.Restore(HostIdFromUid("a"), change), HostOverrides::Result::kOk);
  EXPECT_FALSE(change);
  EXPECT_EQ(StateAfter({3, true, {Host("a")}}), HostState::kReady);
}

TEST_F(HostOverridesTest, AnIdNeverSeenIsUnknownAndOneThatLeftIsNot) {
  StateAfter({1, true, {Host("a")}});
  EXPECT_EQ(overrides.Suspend(HostIdFromUid("x"), change), HostOverrides::Result::kUnknownHost);
  EXPECT_EQ(overrides.Restore(HostIdFromUid("x"), change), HostOverrides::Result::kUnknownHost);
  StateAfter({2, true, {}});
  EXPECT_EQ(overrides.Suspend(HostIdFromUid("a"), change), HostOverrides::Result::kOk);
  EXPECT_FALSE(change);
  EXPECT_EQ(StateAfter({3, true, {Host("a")}}), HostState::kDraining);
}

// Guards against tables that grow with every host that was ever listed.
TEST_F(HostOverridesTest, DepartedAndSuspendedHostsAreBounded) {
  for (std::size_t i = 0; i <= HostOverrides::kMaxDeparted; ++i)
    StateAfter({i, true, {Host("h" + std::to_string(i))}});
  EXPECT_EQ(overrides.Suspend(HostIdFromUid("h1"), change), HostOverrides::Result::kOk);
  StateAfter({9999, true, {}});
  EXPECT_EQ(overrides.Suspend(HostIdFromUid("h0"), change), HostOverrides::Result::kUnknownHost);
  MemberList many{10000, true, {}};
  for (std::size_t i = 0; i <= HostOverrides::kMaxSuspended; ++i)
    many.members.push_back(Host("m" + std::to_string(i)));
  StateAfter(many);
  std::size_t suspended_count = 0;
  for (std::size_t i = 0; i <= HostOverrides::kMaxSuspended; ++i)
    suspended_count +=
        overrides.Suspend(HostIdFromUid("m" + std::to_string(i)), change) == HostOverrides::Result::kOk;
  EXPECT_EQ(suspended_count, HostOverrides::kMaxSuspended - 1);  // h1 is suspended as well
}

}  // namespace
}  // namespace curlewdoor::host_overrides
