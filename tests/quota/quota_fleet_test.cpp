// The quota rule (QUOTA) in fleets whose gateways each have less than a unit of a window, in virtual time.
#include <boost/test/unit_test.hpp>

#include "quota_search.hpp"

namespace curlewdoor::quota {
namespace {

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
}  // namespace
}  // namespace curlewdoor::quota
