// Pending watches: which are ready, which have expired, and how many are allowed.
#include "coordination/watch_table.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace curlewdoor::coordination {
namespace {

using std::chrono::milliseconds;
using Time = WatchTable::Time;
using Ids = std::vector<std::uint64_t>;

constexpr Time kStart{std::chrono::hours(1)};

Ids IdsOf(const std::vector<WatchTable::Watch>& waiters) {
  Ids ids;
  for (const auto& waiter : waiters) ids.push_back(waiter.id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

BOOST_AUTO_TEST_CASE(watches_below_the_revision_are_ready_once) {
  WatchTable table({});
  table.Add(kStart, 1, "g.", 4, milliseconds(100));
  table.Add(kStart, 2, "g.", 5, milliseconds(100));
  table.Add(kStart, 3, "h.", 4, milliseconds(100));
  BOOST_TEST(IdsOf(table.TakeReady("g.", 4)).empty());
  BOOST_TEST(IdsOf(table.TakeReady("g", 9)).empty());
  const auto ready = table.TakeReady("g.", 5);
  BOOST_REQUIRE_EQUAL(ready.size(), 1u);
  BOOST_TEST(ready[0].id == 1u);
  BOOST_TEST(ready[0].group == "g.");
  BOOST_TEST(ready[0].after == 4u);
  BOOST_TEST(IdsOf(table.TakeReady("g.", 5)).empty());
  BOOST_TEST(table.size() == 2u);
}

BOOST_AUTO_TEST_CASE(expired_watches_are_returned_in_deadline_order) {
  WatchTable table({});
  table.Add(kStart, 1, "g.", 4, milliseconds(300));
  table.Add(kStart, 2, "h.", 4, milliseconds(100));
  table.Add(kStart, 3, "g.", 9, milliseconds(200));
  BOOST_TEST((table.NextDue() == kStart + milliseconds(100)));
  BOOST_TEST(table.TakeExpired(kStart + milliseconds(99)).empty());
  const auto due = table.TakeExpired(kStart + milliseconds(200));
  BOOST_REQUIRE_EQUAL(due.size(), 2u);
  BOOST_TEST(due[0].id == 2u);
  BOOST_TEST(due[1].id == 3u);
  BOOST_TEST((table.NextDue() == kStart + milliseconds(300)));
  BOOST_TEST(IdsOf(table.TakeReady("g.", 99)) == Ids{1}, boost::test_tools::per_element());
  BOOST_TEST(!table.NextDue().has_value());
}

BOOST_AUTO_TEST_CASE(bounds) {
  WatchTable::Limits limits;
  limits.watches = 2;
  limits.max_wait = milliseconds(50);
  WatchTable table(limits);
  BOOST_TEST(table.Add(kStart, 1, "g.", 4, std::chrono::hours(9)));
  BOOST_TEST((table.NextDue() == kStart + milliseconds(50)));
  BOOST_TEST(!table.Add(kStart, 1, "g.", 5, milliseconds(1)));  // the id is in use
  BOOST_TEST(table.Add(kStart, 2, "g.", 4, milliseconds(0)));
  BOOST_TEST(!table.Add(kStart, 3, "g.", 4, milliseconds(1)));
  table.Remove(9);
  table.Remove(1);
  table.Remove(1);
  BOOST_TEST(table.Add(kStart, 3, "g.", 4, milliseconds(1)));
  BOOST_TEST(IdsOf(table.TakeAll()) == (Ids{2, 3}), boost::test_tools::per_element());
  BOOST_TEST(table.size() == 0u);
  BOOST_TEST(!table.NextDue().has_value());
  BOOST_TEST(table.TakeReady("g.", 99).empty());
}

// Compares the table with a plain list under random operations.
BOOST_AUTO_TEST_CASE(thousands_of_watches_match_a_plain_list) {
  struct ReferenceWatch {
    std::string group;
    Revision after = 0;
    Time due{};
  };
  std::mt19937_64 random(7);
  const auto below = [&](std::uint64_t n) { return random() % n; };
  WatchTable table({});
  std::map<std::uint64_t, ReferenceWatch> list;
  std::map<std::string, Revision> revisions;
  Time now = kStart;
  std::uint64_t next_id = 1;
  std::size_t most = 0;
  const auto take = [&](const auto& matches) {
    Ids ids;
    for (const auto& [id, each] : list)
      if (matches(each)) ids.push_back(id);
    for (const std::uint64_t id : ids) list.erase(id);
    return ids;
  };
  for (int step = 0; step < 60'000; ++step) {
    const std::string group = "g" + std::to_string(below(40)) + ".";
    const auto what = below(100);
    if (what < 80) {
      const Revision after = revisions[group] + below(3);
      const milliseconds wait(below(20'000));
      BOOST_REQUIRE(table.Add(now, next_id, group, after, wait));
      list[next_id++] = {group, after, now + wait};
    } else if (what < 85) {
      const std::uint64_t id = 1 + below(next_id);
      table.Remove(id);
      list.erase(id);
    } else if (what < 88) {
      const Revision revision = ++revisions[group];
      const Ids ready =
          take([&](const ReferenceWatch& each) { return each.group == group && each.after < revision; });
      BOOST_REQUIRE(IdsOf(table.TakeReady(group, revision)) == ready);
    } else {
      now += milliseconds(below(10));
      BOOST_REQUIRE(IdsOf(table.TakeExpired(now)) ==
                    take([&](const ReferenceWatch& each) { return each.due <= now; }));
    }
    BOOST_REQUIRE_EQUAL(table.size(), list.size());
    most = std::max(most, list.size());
  }
  BOOST_TEST(most > 2000u);
  BOOST_TEST(IdsOf(table.TakeAll()) == take([](const ReferenceWatch&) { return true; }),
             boost::test_tools::per_element());
}

}  // namespace
}  // namespace curlewdoor::coordination
