// The quota rule (QUOTA) over all gateways that share a counter, in virtual time.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "quota_simulation.hpp"

namespace curlewdoor::quota {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kSeeds = 2, kFewSeeds = 1;
#else
constexpr int kSeeds = 12, kFewSeeds = 4;
#endif
constexpr Duration kRun = QuotaSimulation::kRun;

struct Result {
  double worst = 0, let_in = 0, refused = 0,
         adds = 0;     // relative to the bound, the rate, requests within the quota, requests
  double wait_ms = 0;  // the 99th percentile
  std::uint64_t worst_seed = 0;
  int beyond = 0;
};

Result RunCase(Quota quota, const Case& test_case, int seeds) {
  Result result;
  std::vector<Duration> waits;
  double asked = 0;
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(seeds); ++seed) {
    QuotaSimulation simulation(quota, test_case, seed);
    const double part = simulation.Run();
    result.beyond += part > 1;
    if (part > result.worst) result.worst_seed = seed;
    result.worst = std::max(result.worst, part);
    result.let_in += static_cast<double>(simulation.admitted()) / seeds / (Seconds(kRun) * quota.rate);
    result.refused += simulation.RefusedWithin() / seeds;
    result.adds += static_cast<double>(simulation.adds());
    asked += static_cast<double>(simulation.asked());
    if (seed <= 20) waits.insert(waits.end(), simulation.waits().begin(), simulation.waits().end());
  }
  result.adds /= std::max(1.0, asked);
  if (!waits.empty()) {
    const auto at = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 99 / 100);
    std::nth_element(waits.begin(), at, waits.end());
    result.wait_ms = Seconds(*at) * 1e3;
  }
  BOOST_TEST_MESSAGE(test_case.gateways
                     << " gateways, rate " << quota.rate << " burst " << quota.burst << ": at most "
                     << result.worst << " of the bound (seed " << result.worst_seed << "), " << result.beyond
                     << " of " << seeds << " beyond; let in " << result.let_in
                     << " of the rate, refused within " << result.refused << ", adds a request "
                     << result.adds << ", wait " << result.wait_ms << " ms");
  BOOST_TEST(result.worst <= 1);
  return result;
}

void SearchSeeds(Quota quota, const Case& test_case) {
  BOOST_TEST(RunCase(quota, test_case, kSeeds).let_in >= 0.7);  // and the quota is used
}

// `bursts` are multiples of the rate.
void SearchAll(const std::vector<double>& bursts, const Case& test_case) {
  for (const double rate : {32.0, 150.0, 1000.0})
    for (const double burst : bursts) SearchSeeds({rate, burst * rate}, test_case);
}

// Message delays of up to 30 ms each way, and of up to 5 ms.
void SearchFarAndNear(Case test_case) {
  SearchAll({0}, test_case);
  test_case.max_delay = milliseconds(5);
  SearchAll({0}, test_case);
}

const std::vector<double> kBursts{0.5, 1, 2, 3, 4, 10};
constexpr Case kCalm{}, kSurge{.demand = Demand::kSudden}, kPartition{.fault = Fault::kPartition},
    kHolderLost{.fault = Fault::kHolderDown};

BOOST_AUTO_TEST_CASE(QuotaInCalm) { SearchAll(kBursts, kCalm); }
BOOST_AUTO_TEST_CASE(QuotaWhereDemandIsSudden) { SearchAll(kBursts, kSurge); }
// Partitioned gateways keep eleven as the fleet size, as the node does.
BOOST_AUTO_TEST_CASE(QuotaWithThreeOfElevenCutOff) { SearchAll(kBursts, kPartition); }
BOOST_AUTO_TEST_CASE(QuotaWithTheHolderGone) { SearchAll(kBursts, kHolderLost); }

// Without a burst a window lasts half a second, and eleven windows fill the bound: only the slack is left.
BOOST_AUTO_TEST_CASE(QuotaWithoutABurstInCalm) { SearchFarAndNear(kCalm); }
BOOST_AUTO_TEST_CASE(QuotaWithoutABurstWhereDemandIsSudden) { SearchFarAndNear(kSurge); }
BOOST_AUTO_TEST_CASE(QuotaWithoutABurstWithThreeOfElevenCutOff) { SearchFarAndNear(kPartition); }
BOOST_AUTO_TEST_CASE(QuotaWithoutABurstWithTheHolderGone) { SearchFarAndNear(kHolderLost); }

// ---- Large fleets and sums of shares -------------------------------------------------------------

constexpr std::initializer_list<Fault> kFaults{
    Fault::kCalm,           Fault::kPartition,   Fault::kHolderDown, Fault::kHolderIsolated,
    Fault::kRollingRestart, Fault::kMassRestart, Fault::kPaused,     Fault::kRestartAll};
constexpr std::initializer_list<Demand> kDemands{Demand::kSudden, Demand::kHot, Demand::kMoving};

// The gateways' last uses must not sum to more than the quota: a tenant that moves between gateways until the
// counter is lost, and a large fleet in which each gateway has used one unit of a small quota.
BOOST_AUTO_TEST_CASE(SharesOfATenantThatMoves) {
  for (const Fault fault : {Fault::kHolderDown, Fault::kHolderIsolated})
    for (const double rate : {32.0, 150.0})
      for (const double burst : {0.0, 1.0})
        RunCase({rate, burst * rate},
                {.fault = fault, .demand = Demand::kMoving, .max_delay = milliseconds(5)}, kFewSeeds);
}
BOOST_AUTO_TEST_CASE(SmallQuotasOfALargeFleet) {
  for (const Fault fault : {Fault::kHolderDown, Fault::kHolderIsolated, Fault::kPartition})
    for (const double rate : {1.0, 5.0, 32.0})
      for (const Demand demand : {Demand::kSudden, Demand::kMoving})
        RunCase({rate, 0}, {.fault = fault, .demand = demand, .max_delay = milliseconds(5), .gateways = 91},
                kFewSeeds);
}
// Several windows within one span are then given by shares.
BOOST_AUTO_TEST_CASE(QuotaOfALargeFleetWhereTheHolderIsKilledInSeries) {
  for (const int gateways : {60, 300})
    for (const Quota quota : {Quota{90, 45}, Quota{60, 60}, Quota{110, 110}, Quota{90, 0}})
      for (const Demand demand : {Demand::kSpread, Demand::kHot})
        RunCase(quota,
                {.fault = Fault::kHolderSeries,
                 .demand = demand,
                 .max_delay = milliseconds(5),
                 .gateways = gateways},
                kFewSeeds);
}
// Each fault with each demand, and with one of several quotas.
BOOST_AUTO_TEST_CASE(AllTroubles) {
  std::uint64_t turn = 0;
  for (const Fault fault : kFaults)
    for (const Demand demand : kDemands) {
      const double rate = std::vector<double>{1, 5, 32, 150}[turn++ % 4], burst = turn % 3 == 0 ? 1 : 0;
      RunCase({rate, burst * rate}, {.fault = fault, .demand = demand, .max_delay = milliseconds(5)},
              kFewSeeds);
    }
}
// Guards against windows of less than one unit, which admit nothing.
BOOST_AUTO_TEST_CASE(SmallQuotasAreGivenOut) {
  for (const double rate : {1.0, 2.5, 5.0, 8.0})
    for (const double burst : {0.0, 1.0})
      BOOST_TEST(
          RunCase({rate, burst * rate}, {.demand = Demand::kWithin, .max_delay = milliseconds(5)}, kFewSeeds)
              .refused < 0.06);
}

// Run manually: QUOTA_GATEWAYS=91 QUOTA_SEEDS=1000 quota_test --run_test=Distance --log_level=message
BOOST_AUTO_TEST_SUITE(Distance, *boost::unit_test::disabled())
BOOST_AUTO_TEST_CASE(ByTrouble) {
  const auto number = [](const char* name, int otherwise) {
    const char* text = std::getenv(name);
    return text != nullptr ? std::atoi(text) : otherwise;
  };
  for (const Fault fault : kFaults)
    for (const Demand demand :
         {Demand::kWithin, Demand::kGathered, Demand::kHot, Demand::kSudden, Demand::kMoving})
      for (const double rate : {5.0, 32.0, 150.0})
        for (const double burst : {0.0, 1.0}) {
          BOOST_TEST_MESSAGE("trouble " << static_cast<int>(fault) << ", demand "
                                        << static_cast<int>(demand));
          RunCase({rate, burst * rate},
                  {.fault = fault,
                   .demand = demand,
                   .max_delay = milliseconds(number("QUOTA_LATE_MS", 5)),
                   .gateways = number("QUOTA_GATEWAYS", 11),
                   .wait = milliseconds(number("QUOTA_WAIT_MS", 50))},
                  number("QUOTA_SEEDS", 20));
        }
}
BOOST_AUTO_TEST_SUITE_END()

// Configurations that violate the rule: `quota_test --run_test=Broken --log_level=message`.
BOOST_AUTO_TEST_SUITE(Broken, *boost::unit_test::disabled())
// Partitioned gateways that divide the quota only among those that they still see.
BOOST_AUTO_TEST_CASE(CutOffOnesThatSeeNobody) {
  SearchAll({0, 1, 2, 3, 4, 10}, {.fault = Fault::kPartition, .views = Views::kShrunk});
}
BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace curlewdoor::quota
