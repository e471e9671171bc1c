// Placement of voters over zones and regions: what memberships tolerate, single changes that improve it, and
// simulated cores that reach the wanted tolerance and survive the loss of a whole zone.
#include "agreement/placement.hpp"

#include <boost/test/unit_test.hpp>

#include "core_simulation.hpp"

namespace curlewdoor::agreement {
namespace {

std::vector<Location> Zones(const std::string& names) {  // one letter per voter; zones A to C are in one
                                                         // region, the others in another
  std::vector<Location> locations;
  for (const char name : names) locations.push_back({std::string(1, name), name <= 'C' ? "west" : "east"});
  return locations;
}

BOOST_AUTO_TEST_CASE(what_a_membership_tolerates) {
  const auto zones = [](const std::string& names) { return FaultToleranceOf(Zones(names)).zones; };
  BOOST_TEST(zones("") == 0);
  BOOST_TEST(zones("A") == 0);
  BOOST_TEST(zones("AAA") == 0);
  BOOST_TEST(zones("AAB") == 0);
  BOOST_TEST(zones("ABC") == 1);
  BOOST_TEST(zones("AABC") == 0);  // four voters tolerate one loss
  BOOST_TEST(zones("AABBC") == 1);
  BOOST_TEST(zones("ABCDE") == 2);
  BOOST_TEST(zones("AABBCC") == 1);
  BOOST_TEST(zones("AABBCCDD") == 1);
  BOOST_TEST(zones("AAABCDEF") == 1);  // eight voters tolerate three losses
  BOOST_TEST(zones("ABCDEFGH") == 3);
  BOOST_TEST(FaultToleranceOf(Zones("ABCDE")).regions == 0);
  BOOST_TEST(FaultToleranceOf({{"a", "r"}, {"b", "s"}, {"c", "t"}}).regions == 1);
  BOOST_TEST(FaultToleranceOf({{}, {}, {"c", "t"}}).zones == 0);  // unknown zones count as one
}

BOOST_AUTO_TEST_CASE(single_changes_reach_the_wanted_tolerance_and_stop) {
  const FaultTolerance wanted{1, 0};
  std::vector<Location> voters = Zones("AAAAA"), spares = Zones("BBCC");
  int changes = 0;
  while (const auto change = BetterPlacement(voters, spares, wanted, 0, 5)) {
    BOOST_REQUIRE(++changes < 10);
    BOOST_REQUIRE(change->in.has_value());
    BOOST_TEST(*change->out != 0U);  // the proposer itself stays
    std::swap(voters[*change->out], spares[*change->in]);
  }
  BOOST_TEST(changes == 3);
  BOOST_TEST(FaultToleranceOf(voters).Covers(wanted));
  BOOST_TEST(!BetterPlacement(voters, spares, {0, 0}, 0, 1));  // no tolerance is wanted
}

BOOST_AUTO_TEST_CASE(without_spares_a_smaller_membership_may_tolerate_more) {
  const auto change = BetterPlacement(Zones("AABC"), {}, {1, 0}, 0, 3);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(!change->in.has_value());
  BOOST_TEST(*change->out == 1U);
  BOOST_TEST(!BetterPlacement(Zones("AABC"), {}, {1, 0}, 0, 4));  // but never below the minimum size
  BOOST_TEST(!BetterPlacement(Zones("AAB"), {}, {1, 0}, 0, 1).value_or(PlacementChange{}).in.has_value());
}

BOOST_AUTO_TEST_CASE(the_replacement_comes_from_the_right_zone) {
  const std::vector<Location> voters = Zones("ABC"), spares = Zones("AABC");
  BOOST_TEST(*BestSpare(voters, spares, {1, 0}, 1) == 2U);
  BOOST_TEST(*BestSpare(voters, spares, {1, 0}, 0) == 0U);  // the first of two equals
  BOOST_TEST(*BestSpare(voters, spares, {0, 0}, 1) == 0U);
  BOOST_TEST(!BestSpare(voters, {}, {1, 0}, 1));
}

CoreOptions ToleratingZones(int zones) {
  CoreOptions options;
  options.wanted_tolerance = {zones, 0};
  return options;
}

// For each size, with spares: the membership comes to tolerate the loss of a zone, and each zone is lost in
// turn.
BOOST_AUTO_TEST_CASE(cores_of_each_size_tolerate_the_loss_of_any_zone) {
  struct Case {
    std::size_t initial_members;
    std::string zones;  // of the initial members, then of those that join later
  };
  for (const Case& each :
       {Case{3, "AAABC"}, Case{5, "AAABBCC"}, Case{6, "AAAABBCC"}, Case{8, "AAAABBBBCCC"}}) {
    for (std::uint64_t seed = 2; seed <= 8; seed += 2) {  // odd seeds add a machine
      test::CoreSimulation simulation(seed, ToleratingZones(1), each.initial_members);
      BOOST_TEST(simulation.RunUntilStable(Zones(each.zones)).zones == 1, each.zones << " seed " << seed);
      BOOST_TEST(simulation.membership_size() >= 3U);
      for (const char zone : std::string("ABC")) {
        const std::string failure = simulation.StopZone(std::string(1, zone));
        BOOST_TEST(failure.empty(), each.zones << " seed " << seed << ": " << failure);
        simulation.RestartAll();
        BOOST_TEST(simulation.MembershipTolerance().zones == 1,
                   each.zones << " seed " << seed << " after " << zone);
      }
    }
  }
}

// The same machines without a wanted tolerance: shows that the check above can fail.
BOOST_AUTO_TEST_CASE(without_wanted_tolerance_a_zone_takes_the_majority) {
  test::CoreSimulation simulation(2, ToleratingZones(0), 3);
  BOOST_TEST(simulation.RunUntilStable(Zones("AAABC")).zones == 0);
  BOOST_TEST(!simulation.StopZone("A").empty());
}

// Two zones cannot tolerate the loss of one: the core stays as it is.
BOOST_AUTO_TEST_CASE(an_unreachable_tolerance_causes_no_endless_changes) {
  test::CoreSimulation simulation(2, ToleratingZones(1), 3);
  BOOST_TEST(simulation.RunUntilStable(Zones("AABB")).zones == 0);
  const std::uint64_t epochs = simulation.epochs();
  simulation.RestartAll();
  BOOST_TEST(simulation.epochs() == epochs);
}

}  // namespace
}  // namespace curlewdoor::agreement
