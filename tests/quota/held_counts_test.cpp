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

QuotaCounters::Call AddBy(const std::string& gateway, std::uint64_t name, double amount, double quota = 0) {
  return {"anna", gateway, CounterName{name}, seconds(2), amount, quota};
}

std::set<std::string> Names(int gateways) {
  std::set<std::string> names;
  for (int i = 1; i <= gateways; ++i) names.insert("g" + std::to_string(i));
  return names;
}

// ---- Counters ----------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(NothingIsCountedBeforeBeginNorInTheFirstWindow) {
  QuotaCounters counts;
  BOOST_TEST(!counts.Add(kStart, AddBy("g1", 1, 5)));
  counts.Begin(kStart);
  BOOST_TEST(!counts.Add(kStart, AddBy("g1", 1, 5)));
  BOOST_TEST(!counts.Add(kStart + milliseconds(999), AddBy("g1", 1, 5)));
  BOOST_TEST(counts.Add(kStart + seconds(1), AddBy("g1", 1, 5)).value() ==
             5);  // refused adds are not included
  counts.Begin(kStart + seconds(2));
  BOOST_TEST(!counts.Add(kStart + seconds(2), AddBy("g1", 1, 5)));
  counts.Stop();
  BOOST_TEST(!counts.Add(kStart + seconds(9), AddBy("g1", 1, 5)));
}

BOOST_AUTO_TEST_CASE(TotalsAreOfOneNameUntilItsTimeIsUp) {
  QuotaCounters counts;
  counts.Begin(kStart);
  const TimePoint at = kStart + seconds(1);
  BOOST_TEST(counts.Add(at, AddBy("g1", 1, 5)).value() == 5);
  BOOST_TEST(counts.Add(at + milliseconds(1), AddBy("g2", 1, 2.5)).value() == 7.5);
  BOOST_TEST(counts.Add(at + milliseconds(1), AddBy("g1", 2, 1)).value() == 1);
  BOOST_TEST(counts.Add(at + milliseconds(1999), AddBy("g1", 1, 0)).value() == 7.5);
  BOOST_TEST(counts.Add(at + milliseconds(2000), AddBy("g1", 1, 1)).value() == 1);
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
  BOOST_TEST(counts.Add(at, AddBy("g1", 0, 1)).value() == 2);
  BOOST_TEST(counts.size() == QuotaCounters::kMaxCounters);
  BOOST_TEST(counts.Add(at + seconds(2), AddBy("g1", 1'000'000, 1)).value() == 1);
}

BOOST_AUTO_TEST_CASE(SharesOfThoseAwayAreTakenOffNewCounts) {
  QuotaCounters counts;
  counts.Begin(kStart);
  const TimePoint at = kStart + seconds(10);
  BOOST_TEST(counts.Add(at, AddBy("g1", 1, 50, 100)).value() == 50);
  BOOST_TEST(counts.Add(at, AddBy("g2", 1, 50, 100)).value() == 100);
  counts.SetUnreachable(at, {"g2"}, Names(2));
  BOOST_TEST(counts.Add(at, AddBy("g1", 1, 0, 100)).value() == 100);  // an existing counter keeps its total
  BOOST_TEST(counts.Add(at, AddBy("g1", 2, 0, 100)).value() == 50, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(counts.Add(at, AddBy("g1", 3, 0, 0)).value() == 0);  // the quota is unknown
  // A gateway without use gets its part of the prior, and reachable gateways are never starved.
  counts.SetUnreachable(at, {"g3"}, Names(3));
  const double unknown = counts.Add(at, AddBy("g1", 4, 0, 100)).value();
  BOOST_TEST(unknown > 0);
  BOOST_TEST(unknown < 100.0 / 3);
  // With no_burst_headroom the reservation is based on the gateway's own use only.
  counts.SetUnreachable(at, {"g2"}, Names(2));
  QuotaCounters::Call no_burst_headroom = AddBy("g1", 7, 0, 100);
  no_burst_headroom.no_burst_headroom = true;
  BOOST_TEST(counts.Add(at, no_burst_headroom).value() == 100.0 / 3, boost::test_tools::tolerance(1e-9));
  counts.SetUnreachable(at, {"g1", "g2", "g3", "g4"}, Names(5));
  BOOST_TEST(counts.Add(at, AddBy("g5", 5, 0, 100)).value() <= 90);
  counts.SetUnreachable(at, {}, Names(5));
  BOOST_TEST(counts.Add(at, AddBy("g1", 6, 0, 100)).value() == 0);
}

// Just after the start, gateways that have not called yet may still go by their shares.
BOOST_AUTO_TEST_CASE(SharesOfThoseNotBackYetAreTakenOffNewCounts) {
  QuotaCounters counts;
  counts.Begin(kStart);
  counts.SetUnreachable(kStart, {}, Names(4));
  const TimePoint at = kStart + seconds(1);
  BOOST_TEST(!counts.Add(kStart, AddBy("g1", 1, 0, 100)));  // refused, but the gateway was heard
  BOOST_TEST(counts.Add(at, AddBy("g1", 1, 0, 100)).value() == 75, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(counts.Add(at, AddBy("g2", 2, 0, 100)).value() == 50, boost::test_tools::tolerance(1e-9));
  counts.Add(at, AddBy("g3", 2, 0, 100));
  counts.Add(at, AddBy("g4", 2, 0, 100));
  BOOST_TEST(counts.Add(at, AddBy("g1", 3, 0, 100)).value() == 0);
  BOOST_TEST(counts.Add(at + seconds(9), AddBy("g1", 4, 0, 100)).value() == 0);
}

}  // namespace
}  // namespace curlewdoor::quota
