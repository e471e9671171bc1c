// One number, one content; an order that was confirmed is confirmed again, whatever has happened since.
#include <fmt/format.h>

#include <algorithm>

#include "history_scene.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr int kRaces = 60;

// Two operators, one number, two contents, at two gateways at once; each sends again until its answer is
// clear. Now and then a machine is killed in the middle.
BOOST_AUTO_TEST_CASE(two_contents_under_one_number) {
  HistoryScene scene(3, 2);
  BOOST_REQUIRE(scene.Begin({.operators = 0, .reads = true}));
  int both = 0, neither = 0, down = -1;
  for (int race = 0; race < kRaces; ++race) {
    const Sent first = scene.Next("a"), second{first.version, "b"};
    if (down >= 0 && race % 5 == 0) scene.Start(std::exchange(down, -1));
    const auto asking = scene.Asking();
    const int here = asking[static_cast<std::size_t>(race) % asking.size()];
    const int there = asking[static_cast<std::size_t>(race + 1 + race / 7 % 2) % asking.size()];
    std::vector<AskedPtr> asked{scene.Order(here, first), scene.Order(there, second)};
    if (race % 10 == 2) {
      scene.Last(0.001 * (race / 10));
      down = race / 10 % 3;
      scene.Kill({down});
    }
    BOOST_REQUIRE(scene.Over(asked));
    const int a = scene.OrderUntilClear(first, here), b = scene.OrderUntilClear(second, there);
    both += a == 200 && b == 200;
    neither += a != 200 && b != 200;
    BOOST_TEST(((a == 200 && b == 409) || (a == 409 && b == 200)),
               "race " << race << ": " << a << " and " << b);
  }
  BOOST_TEST_MESSAGE(both << " of " << kRaces << " races ended with both confirmed, " << neither
                          << " with neither");
  if (down >= 0) scene.Start(down);
  scene.Judge();
}

// The answer of a conflict names the number in force, and the operators' own words tell what to do.
BOOST_AUTO_TEST_CASE(a_conflict_names_the_number_in_force) {
  HistoryScene scene(3, 1);
  BOOST_REQUIRE(scene.Begin({.operators = 0, .reads = false}));
  const Sent taken = scene.Next("a");
  BOOST_TEST(scene.OrderUntilClear(taken, 0) == 200);
  const Sent newest{taken.version + 4711, "a"};
  BOOST_TEST(scene.OrderUntilClear(newest, 1) == 200);
  for (const int gateway : {0, 1, 2, 3}) {
    AskedPtr asked;
    BOOST_TEST(scene.Until([&] {
      if (asked == nullptr || asked->refused_5xx()) asked = scene.Order(gateway, {taken.version, "b"});
      return asked->over && !asked->refused_5xx();
    }));
    BOOST_TEST(asked->status == 409);
    BOOST_TEST(asked->body.find(std::to_string(newest.version)) != std::string::npos, asked->body);
  }
  scene.Judge();
}

// Every order that was confirmed, at every gateway; and another content under its number.
void ResendAll(HistoryScene& scene, const std::vector<Sent>& orders) {
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const int gateway = static_cast<int>(i);
    BOOST_TEST(scene.OrderUntilClear(orders[i], gateway) == 200, "resent " << orders[i].version);
    BOOST_TEST(scene.OrderUntilClear({orders[i].version, "other"}, gateway + 1) == 409,
               "another content under " << orders[i].version);
  }
}

BOOST_AUTO_TEST_CASE(resent_after_restarts_and_replacements) {
  HistoryScene scene(3, 1, 1);
  BOOST_REQUIRE(scene.Begin({.operators = 0, .reads = true}));
  std::vector<Sent> orders;
  for (int i = 0; i < 8; ++i) {
    orders.push_back(scene.Next(fmt::format("c{}", i)));
    BOOST_TEST(scene.OrderUntilClear(orders.back(), i) == 200);
  }
  ResendAll(scene, orders);  // after later versions
  scene.Kill({0, 1, 2, 3});
  for (const int m : {0, 1, 2, 3}) scene.Start(m);
  ResendAll(scene, orders);  // after the restart of all
  scene.KillAndWipe({1});
  scene.Start(1);
  BOOST_REQUIRE(scene.UntilRedundant(1, 3) >= 0);
  ResendAll(scene, orders);
  scene.KillAndWipe({0});  // for good: an empty one takes its place, then another the next one's
  scene.Start(4);
  BOOST_REQUIRE(scene.UntilRedundant(4, 3) >= 0);
  scene.KillAndWipe({2});
  ResendAll(scene, orders);
  scene.Judge();
}

// Operators whose calls end before their answers, eight orders under way at once.
BOOST_AUTO_TEST_CASE(eight_at_once_with_lost_answers) {
  HistoryScene scene(3, 2);
  BOOST_REQUIRE(scene.Begin({.operators = 2}));
  for (int round = 0; round < 12; ++round) {
    std::vector<AskedPtr> asked;
    for (int i = 0; i < 8; ++i)
      asked.push_back(scene.Order(i % 5, scene.Next(fmt::format("e{}", i)), 0.003 * (round % 4 + 1)));
    BOOST_REQUIRE(scene.Over(asked));
    for (const AskedPtr& each : asked)
      if (!each->confirmed()) BOOST_TEST(scene.OrderUntilClear(each->sent, each->gateway + 1) == 200);
  }
  scene.Judge();
}

// From the call to the answer, of the median, of 99 in 100 and of the longest.
std::string TimesOf(const std::vector<AskedPtr>& asked) {
  std::vector<double> took;
  for (const AskedPtr& each : asked) took.push_back(each->took);
  std::sort(took.begin(), took.end());
  return fmt::format("{:.0f} / {:.0f} / {:.0f} ms", 1e3 * took[took.size() / 2],
                     1e3 * took[took.size() * 99 / 100], 1e3 * took.back());
}

// In calm: one by one, then eight at once, at members and others in turn. All are proposed by the first
// voter, so no ballot gives way to another; on a busy machine an order may be so late that the next voter is
// asked.
void PlayCalmOrders(int core) {
  constexpr int kAtOnce = 8, kRounds = 12;
  HistoryScene scene(core, 2);
  BOOST_REQUIRE(scene.Begin({.operators = 0, .reads = false}));
  BOOST_REQUIRE(scene.UntilRedundant(0, core) >= 0);
  const auto refused = [&] {
    int sum = 0;
    for (int m = 0; m < core; ++m) sum += scene.Core(m).ballots_refused;
    return sum;
  };
  const int before = refused();
  std::vector<AskedPtr> one_by_one, together;
  for (int i = 0; i < 40; ++i) {
    one_by_one.push_back(scene.Order(i % (core + 2), scene.Next()));
    BOOST_REQUIRE(scene.Over({one_by_one.back()}));
  }
  for (int round = 0; round < kRounds; ++round) {
    std::vector<AskedPtr> asked;
    for (int i = 0; i < kAtOnce; ++i)
      asked.push_back(scene.Order((round + i) % (core + 2), scene.Next(fmt::format("e{}", i))));
    BOOST_REQUIRE(scene.Over(asked));
    together.insert(together.end(), asked.begin(), asked.end());
  }
  const int gave_way = refused() - before;
  BOOST_TEST_MESSAGE(core << " members: one by one " << TimesOf(one_by_one) << ", eight at once "
                          << TimesOf(together) << " (median / 99% / longest), " << gave_way
                          << " ballots gave way");
  constexpr double kNextVoterSoon = 0.25;  // seconds
  const auto late = std::count_if(together.begin(), together.end(),
                                  [](const AskedPtr& each) { return each->took > kNextVoterSoon; });
  BOOST_TEST(gave_way <= kAtOnce * late);
  scene.Judge();
}
BOOST_AUTO_TEST_CASE(calm_ones_have_one_proposer_of_three) { PlayCalmOrders(3); }
BOOST_AUTO_TEST_CASE(calm_ones_have_one_proposer_of_five) { PlayCalmOrders(5); }

}  // namespace
}  // namespace curlewdoor::systemkit
