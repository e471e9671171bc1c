// Tests of QuotaCounters alone. quota_test.cpp covers them together with gateways.
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "quota/quota_counters.hpp"

namespace curlewdoor::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr TimePoint kCounted = kStart + std::chrono::hours(1);  // of windows that begin behind every start

QuotaCounters::Call AddBy(const std::string& gateway, std::uint64_t name, double amount, double quota = 0,
                          double use = 0, double held_share = 0) {
  return {"anna", gateway, CounterName{name}, seconds(2), amount, quota, use, held_share, kCounted};
}

std::set<std::string> Names(int gateways) {
  std::set<std::string> names;
  for (int i = 1; i <= gateways; ++i) names.insert("g" + std::to_string(i));
  return names;
}

// ---- Counters ----------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(NothingIsCountedBeforeBeginNorInAWindowThatHadBegunBefore) {
  QuotaCounters counts;
  const auto add = [&](Duration at, Duration window_began) {
    QuotaCounters::Call call = AddBy("g1", 1, 5);
    call.window_began = kStart + window_began;
    return counts.Add(kStart + at, call);
  };
  BOOST_TEST(!add(seconds(0), seconds(0)));
  counts.Begin(kStart + milliseconds(1));
  BOOST_TEST(!add(milliseconds(1), seconds(0)));
  BOOST_TEST(!add(milliseconds(999), seconds(0)));
  BOOST_TEST(!add(milliseconds(999), milliseconds(1)));                // at the start itself
  BOOST_TEST(add(milliseconds(1000), seconds(1)).value().total == 5);  // refused adds are not included
  counts.Begin(kStart + milliseconds(2500));
  BOOST_TEST(!add(milliseconds(2999), seconds(2)));
  BOOST_TEST(add(milliseconds(3000), seconds(3)).value().total == 5);
  counts.Stop();
  BOOST_TEST(!add(seconds(9), seconds(9)));
}

BOOST_AUTO_TEST_CASE(TotalsAreOfOneNameUntilItsTimeIsUp) {
  QuotaCounters counts;
  counts.Begin(kStart);
  const TimePoint at = kStart + seconds(1);
  BOOST_TEST(counts.Add(at, AddBy("g1", 1, 5)).value().total == 5);
  BOOST_TEST(counts.Add(at + milliseconds(1), AddBy("g2", 1, 2.5)).value().total == 7.5);
  BOOST_TEST(counts.Add(at + milliseconds(1), AddBy("g1", 2, 1)).value().total == 1);
  BOOST_TEST(counts.Add(at + milliseconds(1999), AddBy("g1", 1, 0)).value().total == 7.5);
  BOOST_TEST(counts.Add(at + milliseconds(2000), AddBy("g1", 1, 1)).value().total == 1);
  BOOST_TEST(counts.size() == 2u);
  counts.Add(at + seconds(60), AddBy("g1", 3, 1));
  BOOST_TEST(counts.size() == 1u);
}

BOOST_AUTO_TEST_CASE(NamesAreBounded) {
  QuotaCounters counts;
  counts.Begin(kStart);
  const TimePoint at = kStart + seconds(1);
  for (std::uint64_t i = 0; i < QuotaCounters::kMaxCounters; ++i)
    BOOST_REQUIRE(counts.Add(at, AddBy("g1", i, 1)));
  BOOST_TEST(!counts.Add(at, AddBy("g1", 1'000'000, 1)));
  BOOST_TEST(counts.Add(at, AddBy("g1", 0, 1)).value().total == 2);
  BOOST_TEST(counts.size() == QuotaCounters::kMaxCounters);
  BOOST_TEST(counts.Add(at + seconds(2), AddBy("g1", 1'000'000, 1)).value().total == 1);
}

// The quota is 100 units; gateways go by 0.85 of their shares.
BOOST_AUTO_TEST_CASE(SharesOfThoseAwayAreTakenOffNewCounts) {
  const auto near = boost::test_tools::tolerance(1e-9);
  QuotaCounters counts;
  counts.Begin(kStart);
  const TimePoint at = kStart + seconds(10);
  const auto first = counts.Add(at, AddBy("g1", 1, 50, 100, 50));
  BOOST_TEST(first.value().total == 50);
  BOOST_TEST(first.value().share == 2.0 / 3, near);
  // Nothing is left for the second gateway before the first one has reported that it holds less.
  BOOST_TEST(counts.Add(at, AddBy("g2", 1, 50, 100, 50)).value().share < 1e-9);
  BOOST_TEST(counts.Add(at, AddBy("g1", 1, 0, 100, 50, 2.0 / 3)).value().share == 1.0 / 3, near);
  BOOST_TEST(counts.Add(at, AddBy("g2", 1, 0, 100, 50)).value().share < 1e-9);
  counts.Add(at, AddBy("g1", 1, 0, 100, 50, 1.0 / 3));
  BOOST_TEST(counts.Add(at, AddBy("g2", 1, 0, 100, 50)).value().share == 1.0 / 3, near);
  counts.SetUnreachable({"g2"}, Names(2));
  BOOST_TEST(counts.Add(at, AddBy("g1", 1, 0, 100)).value().total == 100);  // an existing counter stays
  BOOST_TEST(counts.Add(at, AddBy("g1", 2, 0, 100)).value().total == 85 * (1.0 / 6 + 1.0 / 3), near);
  BOOST_TEST(counts.Add(at, AddBy("g1", 3, 0, 0)).value().total == 0);  // the quota is unknown
  // What an unreachable gateway holds doesn't expire; of one that was never heard the mean is reserved.
  const TimePoint later = at + seconds(30);
  BOOST_TEST(counts.Add(later, AddBy("g1", 4, 0, 100)).value().total == 85 * (1.0 / 6 + 1.0 / 3), near);
  counts.SetUnreachable({"g3"}, Names(4));
  BOOST_TEST(counts.Add(later, AddBy("g1", 5, 0, 100)).value().total == 85.0 / 4, near);
  counts.SetUnreachable(Names(9), Names(10));  // g2 holds a third, seven were never heard
  BOOST_TEST(counts.Add(later, AddBy("g10", 6, 0, 100)).value().total == 90, near);
  counts.SetUnreachable({}, Names(10));
  BOOST_TEST(counts.Add(later, AddBy("g1", 7, 0, 100)).value().total == 0);
}

// Just after the start, gateways that are not back yet may still go by shares of an earlier holder.
BOOST_AUTO_TEST_CASE(SharesOfThoseNotBackYetAreTakenOffNewCounts) {
  QuotaCounters counts;
  counts.Begin(kStart);
  counts.SetUnreachable({"g2", "g3", "g4"}, Names(4));
  const TimePoint at = kStart + seconds(1);
  const auto near = boost::test_tools::tolerance(1e-9);
  BOOST_TEST(counts.Add(at, AddBy("g1", 1, 0, 100)).value().total == 85 * 0.75, near);
  counts.SetUnreachable({"g3", "g4"}, Names(4));
  BOOST_TEST(counts.Add(at, AddBy("g2", 2, 0, 100)).value().total == 85 * 0.5, near);
  QuotaCounters::Call refused = AddBy("g3", 2, 0, 100);
  refused.window_began = kStart;
  BOOST_TEST(!counts.Add(at, refused));  // but the gateway was heard: it holds its even part
  BOOST_TEST(counts.Add(at, AddBy("g1", 4, 0, 100)).value().total == 85 * (0.25 + 1.0 / 12), near);
  counts.SetUnreachable({}, Names(4));
  BOOST_TEST(counts.Add(at, AddBy("g1", 3, 0, 100)).value().total == 0);
}

// A holder that has just begun doesn't know what an earlier one allocated to others.
BOOST_AUTO_TEST_CASE(ANewHolderRenewsSharesUntilThoseOfAnEarlierOneAreKnown) {
  QuotaCounters counts;
  counts.Begin(kStart);
  const auto share = [&](Duration after, const std::string& gateway, double held) {
    return counts.Add(kStart + after, AddBy(gateway, 1, 0, 100, 50, held)).value().share;
  };
  BOOST_TEST(share(seconds(1), "g1", 0.4) == 0.4);
  BOOST_TEST(share(seconds(2), "g2", 0) == 0);
  BOOST_TEST(share(milliseconds(4999), "g1", 0.4) == 0.4);
  BOOST_TEST(share(seconds(5), "g1", 0.4) > 0.4);
  counts.SetUnreachable({"g3"}, Names(3));  // not heard since the start
  BOOST_TEST(share(seconds(6), "g1", 0.1) == 0.1);
  counts.SetUnreachable({}, Names(3));
  BOOST_TEST(share(seconds(7), "g1", 0.1) > 0.1);
}

}  // namespace
}  // namespace curlewdoor::quota
