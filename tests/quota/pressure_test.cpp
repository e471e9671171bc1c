// Tests of PriorityThrottle. A window's units go to the first requests that ask; the simulated tenant sends
// evenly mixed requests of three ranks.
#include <array>
#include <boost/test/unit_test.hpp>
#include <random>

#include "quota/priority_throttle.hpp"

namespace curlewdoor::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kWindow = seconds(1);

struct Served {
  std::array<int, 3> asked{}, served{};
  double ServedPart(int step) const { return static_cast<double>(served[step]) / std::max(1, asked[step]); }
  int all() const { return served[0] + served[1] + served[2]; }
};

// Requests `demand` times 100 units per window, for `windows` windows starting with `from`.
Served RunWindows(PriorityThrottle& throttle, double demand, int from, int windows, std::mt19937_64& rng) {
  Served result;
  std::uniform_real_distribution<double> chance(0, 1);
  const int asks = static_cast<int>(demand * 100);
  for (int w = from; w < from + windows; ++w) {
    int units = 100;
    for (int i = 0; i < asks; ++i) {
      const TimePoint now = kStart + w * kWindow + i * kWindow / asks;
      const int step = static_cast<int>(rng() % 3);
      ++result.asked[step];
      if (!throttle.Allow(now, "tenant", kWindow, step, chance(rng))) continue;
      if (units > 0) {
        --units;
        ++result.served[step];
      } else if (step == 0) {
        throttle.RecordRefusal(now, "tenant", kWindow);
      }
    }
  }
  return result;
}

BOOST_AUTO_TEST_SUITE(Beyond)

BOOST_AUTO_TEST_CASE(TheUnitsGoToTheFirstStepAndNoneIsLeft) {
  PriorityThrottle throttle;
  std::mt19937_64 rng(7);
  RunWindows(throttle, 8, 0, 2, rng);
  const Served hot = RunWindows(throttle, 8, 2, 20, rng);
  BOOST_TEST(hot.all() == 2000);  // as many as without throttling, differently distributed
  BOOST_TEST(hot.served[0] > 1300);
  BOOST_TEST(hot.served[1] > 2 * hot.served[2]);
  BOOST_TEST(hot.served[2] > 0);  // no rank is shut out
}

BOOST_AUTO_TEST_CASE(WithinTheQuotaNothingIsHeldBack) {
  PriorityThrottle throttle;
  std::mt19937_64 rng(7);
  const Served calm = RunWindows(throttle, 0.95, 0, 50, rng);
  BOOST_TEST(calm.all() == calm.asked[0] + calm.asked[1] + calm.asked[2]);
}

BOOST_AUTO_TEST_CASE(ALittleBeyondCostsFewUnits) {
  PriorityThrottle throttle;
  std::mt19937_64 rng(7);
  const Served slight = RunWindows(throttle, 1.1, 0, 100, rng);
  BOOST_TEST(slight.all() > 9500);  // of 10,000
  BOOST_TEST(slight.ServedPart(0) > 0.95);
}

BOOST_AUTO_TEST_CASE(ItIsOverSoonAfterTheDemand) {
  PriorityThrottle throttle;
  std::mt19937_64 rng(7);
  RunWindows(throttle, 8, 0, 10, rng);
  BOOST_TEST(throttle.ThrottleLevel(kStart + 10 * kWindow, "tenant", kWindow) > 0.9);
  const Served first = RunWindows(throttle, 0.9, 10, 3, rng), then = RunWindows(throttle, 0.9, 13, 10, rng);
  BOOST_TEST(first.ServedPart(2) > 0.4);
  BOOST_TEST(then.ServedPart(2) > 0.97);
  // A pause has the same effect, and another tenant was never throttled.
  RunWindows(throttle, 8, 30, 10, rng);
  BOOST_TEST(throttle.ThrottleLevel(kStart + 60 * kWindow, "tenant", kWindow) < 0.01);
  BOOST_TEST(throttle.ThrottleLevel(kStart + 40 * kWindow, "other", kWindow) == 0);
}

BOOST_AUTO_TEST_CASE(TheTimeSpentIsToldByTheLongestDeadline) {
  PriorityThrottle throttle;
  const auto time_spent = [&](int second, int left) {
    return throttle.TimeSpent(kStart + seconds(second), "reads", milliseconds(left)) / milliseconds(1);
  };
  BOOST_TEST(time_spent(0, 500) == 0);
  BOOST_TEST(time_spent(1, 350) == 150);
  BOOST_TEST(time_spent(2, 2500) == 0);  // another client's
  BOOST_TEST(time_spent(3, 500) == 2000);
  BOOST_TEST(time_spent(31, 500) == 2000);  // remembered for two periods at most
  BOOST_TEST(time_spent(100, 500) == 0);
  BOOST_TEST(throttle.TimeSpent(kStart, "writes", milliseconds(80)) / milliseconds(1) == 0);
}

BOOST_AUTO_TEST_CASE(TablesAreBounded) {
  PriorityThrottle throttle({.max_tenants = 2, .max_routes = 2});
  for (int i = 0; i < 8; ++i) throttle.RecordRefusal(kStart, "hot", kWindow);
  BOOST_TEST(throttle.ThrottleLevel(kStart, "hot", kWindow) == 1.0);
  for (const char* other : {"b", "c"}) throttle.Allow(kStart, other, kWindow, 0, 0);
  BOOST_TEST(throttle.ThrottleLevel(kStart, "hot", kWindow) == 0);  // evicted, so not throttled
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace curlewdoor::quota
