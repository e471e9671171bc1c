// Voters over zones and regions: what rosters bear, single changes towards that, and cores in virtual time
// that put their spread right and go on when a whole zone is lost.
#include "agreement/placement.hpp"

#include <boost/test/unit_test.hpp>

#include "core_simulation.hpp"

namespace curlewdoor::agreement {
namespace {

std::vector<Place> Zones(
    const std::string& names) {  // a letter a voter; A to C in one region, others in another
  std::vector<Place> places;
  for (const char name : names) places.push_back({std::string(1, name), name <= 'C' ? "west" : "east"});
  return places;
}

BOOST_AUTO_TEST_CASE(what_a_roster_bears) {
  const auto zones = [](const std::string& names) { return SpreadOf(Zones(names)).zones; };
  BOOST_TEST(zones("") == 0);
  BOOST_TEST(zones("A") == 0);
  BOOST_TEST(zones("AAA") == 0);
  BOOST_TEST(zones("AAB") == 0);
  BOOST_TEST(zones("ABC") == 1);
  BOOST_TEST(zones("AABC") == 0);  // four bear one loss
  BOOST_TEST(zones("AABBC") == 1);
  BOOST_TEST(zones("ABCDE") == 2);
  BOOST_TEST(zones("AABBCC") == 1);
  BOOST_TEST(zones("AABBCCDD") == 1);
  BOOST_TEST(zones("AAABCDEF") == 1);  // of eight three may go
  BOOST_TEST(zones("ABCDEFGH") == 3);
  BOOST_TEST(SpreadOf(Zones("ABCDE")).regions == 0);
  BOOST_TEST(SpreadOf({{"a", "r"}, {"b", "s"}, {"c", "t"}}).regions == 1);
  BOOST_TEST(SpreadOf({{}, {}, {"c", "t"}}).zones == 0);  // not known: together
}

BOOST_AUTO_TEST_CASE(single_changes_lead_to_the_spread_and_end_there) {
  const Spread wanted{1, 0};
  std::vector<Place> roster = Zones("AAAAA"), spares = Zones("BBCC");
  int changes = 0;
  while (const auto change = BetterPlacement(roster, spares, wanted, 0, 5)) {
    BOOST_REQUIRE(++changes < 10);
    BOOST_REQUIRE(change->in.has_value());
    BOOST_TEST(*change->out != 0U);  // the one that decides stays
    std::swap(roster[*change->out], spares[*change->in]);
  }
  BOOST_TEST(changes == 3);
  BOOST_TEST(SpreadOf(roster).Covers(wanted));
  BOOST_TEST(!BetterPlacement(roster, spares, {0, 0}, 0, 1));  // nothing is wanted
}

BOOST_AUTO_TEST_CASE(without_spares_a_smaller_roster_may_bear_more) {
  const auto change = BetterPlacement(Zones("AABC"), {}, {1, 0}, 0, 3);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(!change->in.has_value());
  BOOST_TEST(*change->out == 1U);
  BOOST_TEST(
      !BetterPlacement(Zones("AABC"), {}, {1, 0}, 0, 4));  // but not below what is to be borne otherwise
  BOOST_TEST(!BetterPlacement(Zones("AAB"), {}, {1, 0}, 0, 1).value_or(PlacementChange{}).in.has_value());
}

BOOST_AUTO_TEST_CASE(the_successor_comes_from_the_right_zone) {
  const std::vector<Place> roster = Zones("ABC"), spares = Zones("AABC");
  BOOST_TEST(*BestSpare(roster, spares, {1, 0}, 1) == 2U);
  BOOST_TEST(*BestSpare(roster, spares, {1, 0}, 0) == 0U);  // the first of two
  BOOST_TEST(*BestSpare(roster, spares, {0, 0}, 1) == 0U);
  BOOST_TEST(!BestSpare(roster, {}, {1, 0}, 1));
}

Options Wanting(int zones) {
  Options options;
  options.spread = {zones, 0};
  return options;
}

// Of each size, with spares: the roster comes to bear a zone, and goes on without each one in turn.
BOOST_AUTO_TEST_CASE(cores_of_each_size_bear_the_loss_of_any_zone) {
  struct Case {
    std::size_t founders;
    std::string zones;  // of the founders, then of those that come later
  };
  for (const Case& each :
       {Case{3, "AAABC"}, Case{5, "AAABBCC"}, Case{6, "AAAABBCC"}, Case{8, "AAAABBBBCCC"}}) {
    for (std::uint64_t seed = 2; seed <= 8; seed += 2) {  // odd ones have a machine of their own
      test::World world(seed, Wanting(1), each.founders);
      BOOST_TEST(world.SettleIn(Zones(each.zones)).zones == 1, each.zones << " seed " << seed);
      BOOST_TEST(world.roster_size() >= 3U);
      for (const char zone : std::string("ABC")) {
        const std::string broken = world.LoseZone(std::string(1, zone));
        BOOST_TEST(broken.empty(), each.zones << " seed " << seed << ": " << broken);
        world.ComeBack();
        BOOST_TEST(world.RosterSpread().zones == 1, each.zones << " seed " << seed << " after " << zone);
      }
    }
  }
}

// The same machines where no zone is to be borne: the mutant that shows that the scene can fail.
BOOST_AUTO_TEST_CASE(without_the_wish_a_zone_takes_the_majority) {
  test::World world(2, Wanting(0), 3);
  BOOST_TEST(world.SettleIn(Zones("AAABC")).zones == 0);
  BOOST_TEST(!world.LoseZone("A").empty());
}

// Two zones can't bear the loss of one: the core goes on as it is, and says so.
BOOST_AUTO_TEST_CASE(what_the_machines_do_not_allow_changes_nothing_for_ever) {
  test::World world(2, Wanting(1), 3);
  BOOST_TEST(world.SettleIn(Zones("AABB")).zones == 0);
  const std::uint64_t epochs = world.epochs();
  world.ComeBack();
  BOOST_TEST(world.epochs() == epochs);
}

}  // namespace
}  // namespace curlewdoor::agreement
