// A member's part in the log, with real disks' records in memory: who leads, and what outlives which losses.
#include <boost/test/unit_test.hpp>

#include "cluster.hpp"

namespace curlewdoor::coordination::testing {
namespace {

std::optional<Reply> Ask(Cluster& cluster, const Call& call, Duration patience = std::chrono::seconds(3)) {
  const Time ends = cluster.now() + patience;
  while (cluster.now() < ends) {
    std::optional<Reply> reply;
    if (const auto leader = cluster.Leader())
      cluster.Call(*leader, call, [&](const Reply& each) { reply = each; });
    for (int i = 0; i < 25 && !reply; ++i) cluster.Run(milliseconds(20));
    const bool clear =
        reply && !std::holds_alternative<NotServed>(*reply) && !std::holds_alternative<Unclear>(*reply);
    if (clear) return reply;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> Take(Cluster& cluster) {
  const auto reply = Ask(cluster, TakeNumber{"n"});
  if (!reply) return std::nullopt;
  return std::get<NumberTaken>(std::get<Result>(*reply)).value;
}

BOOST_AUTO_TEST_CASE(numbers_go_on_rising_through_lost_leaders_and_two_wiped_disks) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(6, {}, seed);
    std::uint64_t last = 0;
    for (int round = 0; round < 6; ++round) {
      const auto value = Take(cluster);
      BOOST_REQUIRE_MESSAGE(value, "seed " << seed << " round " << round);
      BOOST_TEST(*value > last);
      last = *value;
      const auto leader = cluster.Leader();
      if (round == 2) {
        for (std::size_t i = 0; i < 6; ++i) (i < 2 ? cluster.Wipe(i) : cluster.Kill(i));
        for (std::size_t i = 0; i < 6; ++i) cluster.Start(i);
        cluster.SetRoster({0, 1, 2, 3, 4, 5});
      } else if (leader) {
        cluster.Kill(*leader);
        cluster.Run(milliseconds(200));
        cluster.Start(*leader);
      }
    }
  }
}

}  // namespace
}  // namespace curlewdoor::coordination::testing
