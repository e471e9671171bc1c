// Clusters with the stored records in memory: numbers and voters survive lost leaders and wiped disks.
#include <boost/test/unit_test.hpp>

#include "cluster.hpp"

namespace curlewdoor::coordination::testing {
namespace {

std::optional<Reply> CallUntilAnswered(Cluster& cluster, const Call& call,
                                       Duration patience = std::chrono::seconds(3)) {
  const Time deadline = cluster.now() + patience;
  while (cluster.now() < deadline) {
    std::optional<Reply> reply;
    if (const auto leader = cluster.Leader())
      cluster.Call(*leader, call, [&](const Reply& each) { reply = each; });
    for (int i = 0; i < 25 && !reply; ++i) cluster.Run(milliseconds(20));
    const bool definite = reply && !std::holds_alternative<NotServed>(*reply) &&
                          !std::holds_alternative<OutcomeUnknown>(*reply);
    if (definite) return reply;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> TakeNextNumber(Cluster& cluster) {
  const auto reply = CallUntilAnswered(cluster, TakeNumber{"n"});
  if (!reply) return std::nullopt;
  return std::get<NumberTaken>(std::get<CommandResult>(*reply)).value;
}

BOOST_AUTO_TEST_CASE(numbers_go_on_rising_through_lost_leaders_and_two_wiped_disks) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(6, {}, seed);
    std::uint64_t last = 0;
    for (int round = 0; round < 6; ++round) {
      const auto value = TakeNextNumber(cluster);
      BOOST_REQUIRE_MESSAGE(value, "seed " << seed << " round " << round);
      BOOST_TEST(*value > last);
      last = *value;
      const auto leader = cluster.Leader();
      if (round == 2) {
        for (std::size_t i = 0; i < 6; ++i) (i < 2 ? cluster.Wipe(i) : cluster.Kill(i));
        for (std::size_t i = 0; i < 6; ++i) cluster.Start(i);
        cluster.SetMembership({0, 1, 2, 3, 4, 5});
      } else if (leader) {
        cluster.Kill(*leader);
        cluster.Run(milliseconds(200));
        cluster.Start(*leader);
      }
    }
  }
}

std::set<std::string> VotersOf(const Cluster& cluster) {
  std::set<std::string> names;
  if (const auto leader = cluster.Leader())
    for (const Member& voter : cluster.coordinator(*leader)->replica().voters())
      names.insert(voter.incarnation.node);
  return names;
}

// Runs until the condition holds. Returns false if it does not within ten seconds.
template <typename Condition>
bool RunUntil(Cluster& cluster, Condition&& condition) {
  for (int i = 0; i < 500 && !condition(); ++i) cluster.Run(milliseconds(20));
  return condition();
}

BOOST_AUTO_TEST_CASE(a_reachable_voter_stays_until_its_replacement_votes) {
  Cluster cluster(6, {}, 1);
  BOOST_REQUIRE(TakeNextNumber(cluster));
  cluster.Kill(3);
  cluster.SetMembership({0, 1, 2, 4, 5});
  BOOST_REQUIRE(RunUntil(cluster, [&] { return VotersOf(cluster).size() == 5; }));
  // core-4 is in the membership again but not running yet; core-6, which is running, is to be removed.
  cluster.SetMembership({0, 1, 2, 3, 4});
  cluster.Run(std::chrono::seconds(5));
  BOOST_TEST(VotersOf(cluster).contains("core-6"));
  cluster.Start(3);
  BOOST_TEST(RunUntil(cluster, [&] {
    return VotersOf(cluster) == std::set<std::string>{"core-1", "core-2", "core-3", "core-4", "core-5"};
  }));
}

}  // namespace
}  // namespace curlewdoor::coordination::testing
