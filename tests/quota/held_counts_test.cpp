// The count that a member of the core holds, alone. With the gateways that draw on it: quota_test.cpp.
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "quota/quota_counters.hpp"

namespace curlewdoor::counting {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

HeldCounts::Call By(const std::string& gateway, std::uint64_t name, double amount, double quota = 0) {
  return {"anna", gateway, CountName{name}, seconds(2), amount, quota};
}

std::set<std::string> Names(int gateways) {
  std::set<std::string> names;
  for (int i = 1; i <= gateways; ++i) names.insert("g" + std::to_string(i));
  return names;
}

// ---- The count alone ----------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(NothingIsCountedBeforeBeginNorInTheFirstWindow) {
  HeldCounts counts;
  BOOST_TEST(!counts.Add(kStart, By("g1", 1, 5)));
  counts.Begin(kStart);
  BOOST_TEST(!counts.Add(kStart, By("g1", 1, 5)));
  BOOST_TEST(!counts.Add(kStart + milliseconds(999), By("g1", 1, 5)));
  BOOST_TEST(counts.Add(kStart + seconds(1), By("g1", 1, 5)).value() == 5);  // what was refused is not in it
  counts.Begin(kStart + seconds(2));
  BOOST_TEST(!counts.Add(kStart + seconds(2), By("g1", 1, 5)));
  counts.Stop();
  BOOST_TEST(!counts.Add(kStart + seconds(9), By("g1", 1, 5)));
}

BOOST_AUTO_TEST_CASE(TotalsAreOfOneNameUntilItsTimeIsUp) {
  HeldCounts counts;
  counts.Begin(kStart);
  const TimePoint at = kStart + seconds(1);
  BOOST_TEST(counts.Add(at, By("g1", 1, 5)).value() == 5);
  BOOST_TEST(counts.Add(at + milliseconds(1), By("g2", 1, 2.5)).value() == 7.5);
  BOOST_TEST(counts.Add(at + milliseconds(1), By("g1", 2, 1)).value() == 1);
  BOOST_TEST(counts.Add(at + milliseconds(1999), By("g1", 1, 0)).value() == 7.5);
  BOOST_TEST(counts.Add(at + milliseconds(2000), By("g1", 1, 1)).value() == 1);
  BOOST_TEST(counts.size() == 2u);
  counts.Add(at + seconds(60), By("g1", 3, 1));
  BOOST_TEST(counts.size() == 1u);
}

BOOST_AUTO_TEST_CASE(NamesAreBounded) {
  HeldCounts counts;
  counts.Begin(kStart);
  const TimePoint at = kStart + seconds(1);
  for (std::uint64_t i = 0; i < HeldCounts::kMostCounts; ++i) BOOST_REQUIRE(counts.Add(at, By("g1", i, 1)));
  BOOST_TEST(!counts.Add(at, By("g1", 1'000'000, 1)));
  BOOST_TEST(counts.Add(at, By("g1", 0, 1)).value() == 2);
  BOOST_TEST(counts.size() == HeldCounts::kMostCounts);
  BOOST_TEST(counts.Add(at + seconds(2), By("g1", 1'000'000, 1)).value() == 1);
}

BOOST_AUTO_TEST_CASE(SharesOfThoseAwayAreTakenOffNewCounts) {
  HeldCounts counts;
  counts.Begin(kStart);
  const TimePoint at = kStart + seconds(10);
  BOOST_TEST(counts.Add(at, By("g1", 1, 50, 100)).value() == 50);
  BOOST_TEST(counts.Add(at, By("g2", 1, 50, 100)).value() == 100);
  counts.SetAway(at, {"g2"}, Names(2));
  BOOST_TEST(counts.Add(at, By("g1", 1, 0, 100)).value() == 100);  // one that stands keeps its total
  BOOST_TEST(counts.Add(at, By("g1", 2, 0, 100)).value() == 50, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(counts.Add(at, By("g1", 3, 0, 0)).value() == 0);  // no quota is known
  // One that never used any has its part of the prior; and those that are heard are never starved.
  counts.SetAway(at, {"g3"}, Names(3));
  const double unknown = counts.Add(at, By("g1", 4, 0, 100)).value();
  BOOST_TEST(unknown > 0);
  BOOST_TEST(unknown < 100.0 / 3);
  // Where no burst covers shares of different ages, by what it used itself and no more.
  counts.SetAway(at, {"g2"}, Names(2));
  HeldCounts::Call tight = By("g1", 7, 0, 100);
  tight.tight = true;
  BOOST_TEST(counts.Add(at, tight).value() == 100.0 / 3, boost::test_tools::tolerance(1e-9));
  counts.SetAway(at, {"g1", "g2", "g3", "g4"}, Names(5));
  BOOST_TEST(counts.Add(at, By("g5", 5, 0, 100)).value() <= 90);
  counts.SetAway(at, {}, Names(5));
  BOOST_TEST(counts.Add(at, By("g1", 6, 0, 100)).value() == 0);
}

// Just after the beginning, those that haven't called yet may still go by their shares.
BOOST_AUTO_TEST_CASE(SharesOfThoseNotBackYetAreTakenOffNewCounts) {
  HeldCounts counts;
  counts.Begin(kStart);
  counts.SetAway(kStart, {}, Names(4));
  const TimePoint at = kStart + seconds(1);
  BOOST_TEST(!counts.Add(kStart, By("g1", 1, 0, 100)));  // refused, but heard
  BOOST_TEST(counts.Add(at, By("g1", 1, 0, 100)).value() == 75, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(counts.Add(at, By("g2", 2, 0, 100)).value() == 50, boost::test_tools::tolerance(1e-9));
  counts.Add(at, By("g3", 2, 0, 100));
  counts.Add(at, By("g4", 2, 0, 100));
  BOOST_TEST(counts.Add(at, By("g1", 3, 0, 100)).value() == 0);
  BOOST_TEST(counts.Add(at + seconds(9), By("g1", 4, 0, 100)).value() == 0);
}

}  // namespace
}  // namespace curlewdoor::counting
