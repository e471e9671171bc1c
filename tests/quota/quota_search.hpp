// Searches over seeds of QuotaSimulation, judged by the quota rule.
#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "quota_simulation.hpp"

namespace curlewdoor::quota {

#ifdef __SANITIZE_ADDRESS__
inline constexpr int kSeeds = 2, kFewSeeds = 1;
#else
inline constexpr int kSeeds = 12, kFewSeeds = 4;
#endif
inline constexpr Duration kRun = QuotaSimulation::kRun;

struct Result {
  double worst = 0, let_in = 0, refused = 0,
         adds = 0;     // relative to the bound, the rate, requests within the quota, requests
  double wait_ms = 0;  // the 99th percentile
  std::uint64_t worst_seed = 0;
  int beyond = 0;
};

inline Result RunCase(Quota quota, const Case& test_case, int seeds) {
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

}  // namespace curlewdoor::quota
