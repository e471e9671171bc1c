// Several processes of the shipped daemon, relays between them, signals to them: each rehearsal with the seed
// that its file names, judged by what the daemons show and log. A failure prints how to play it again.
#include <gtest/gtest.h>

#include "fleetkit/virtual_fleet.hpp"
#include "load.hpp"
#include "playing/fleet_rig.hpp"

namespace curlewdoor::fleetkit {
namespace {

std::string NameOfRehearsal(const ::testing::TestParamInfo<const char*>& info) {
  std::string name = info.param;
  std::erase(name, '-');
  return name;
}

void PlayWithRealProcesses(const char* name) {
  const Scenario scenario = Load(name);
  const Result result = playing::FleetRig(scenario, scenario.seed, {CURLEWDOOR_PROGRAM, ""}).Play();
  EXPECT_TRUE(result.AllHeld()) << TextReport(result) << "again: curlewdoor-kit fleet rehearsals/" << name
                                << ".toml --logs FOLDER";
}

void PlayInVirtualTime(const char* name) {
  const Scenario scenario = Load(name);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    VirtualFleet fleet(scenario, seed);
    const Result result = fleet.Play();
    EXPECT_TRUE(result.AllHeld()) << TextReport(result) << fleet.Views();
  }
}

class FleetRig : public ::testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Rehearsals, FleetRig,
                         ::testing::Values("fleet-crash", "fleet-join", "fleet-leave", "fleet-split",
                                           "fleet-three-parts", "fleet-one-way", "fleet-stall", "fleet-roll",
                                           "fleet-upgrade", "fleet-loss", "fleet-twin"),
                         NameOfRehearsal);

TEST_P(FleetRig, AllHeldWithRealProcesses) { PlayWithRealProcesses(GetParam()); }

// Duties: one holder at a time, by what the daemons log and by what comes to the ledger.
class DutyRig : public ::testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Rehearsals, DutyRig,
                         ::testing::Values("duty-crash", "duty-cut-holder", "duty-deaf-holder",
                                           "duty-handover", "duty-late-act", "duty-ledger-cut", "duty-loss",
                                           "duty-new-voters", "duty-split", "duty-stall", "duty-voters"),
                         NameOfRehearsal);

TEST_P(DutyRig, AllHeldWithRealProcesses) { PlayWithRealProcesses(GetParam()); }

TEST_P(DutyRig, AllHeldInVirtualTime) { PlayInVirtualTime(GetParam()); }

// Clients ask meanwhile, and the five rules are judged too.
class FleetRigWithLoad : public ::testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Rehearsals, FleetRigWithLoad,
                         ::testing::Values("fleet-load-stall", "fleet-load-breaks"), NameOfRehearsal);

TEST_P(FleetRigWithLoad, AllHeldWithRealProcesses) { PlayWithRealProcesses(GetParam()); }

TEST_P(FleetRig, AllHeldInVirtualTime) { PlayInVirtualTime(GetParam()); }

}  // namespace
}  // namespace curlewdoor::fleetkit
