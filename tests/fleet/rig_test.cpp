// Runs each rehearsal with several real daemon processes, with relays between them and signals to them, using
// the seed that its file names. The outcome is checked from what the daemons report and log; a failure prints
// the command that repeats the run.
#include <gtest/gtest.h>

#include "fleetkit/virtual_fleet.hpp"
#include "load.hpp"
#include "playing/fleet_rig.hpp"

namespace curlewdoor::fleetkit {
namespace {

std::string TestNameOf(const ::testing::TestParamInfo<const char*>& info) {
  std::string name = info.param;
  std::erase(name, '-');
  return name;
}

void RunWithRealProcesses(const char* name) {
  const Scenario scenario = LoadRehearsal(name);
  const Result result = playing::FleetRig(scenario, scenario.seed, {CURLEWDOOR_PROGRAM, ""}).Play();
  EXPECT_TRUE(result.AllHeld()) << TextReport(result) << "again: curlewdoor-kit fleet rehearsals/" << name
                                << ".toml --logs FOLDER";
}

void RunInVirtualTime(const char* name) {
  const Scenario scenario = LoadRehearsal(name);
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
                         TestNameOf);

TEST_P(FleetRig, AllHeldWithRealProcesses) { RunWithRealProcesses(GetParam()); }

// Duties: at most one holder at a time, according to the logs of the daemons and the entries in the ledger.
class DutyRig : public ::testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Rehearsals, DutyRig,
                         ::testing::Values("duty-crash", "duty-cut-holder", "duty-deaf-holder",
                                           "duty-handover", "duty-late-act", "duty-ledger-cut", "duty-loss",
                                           "duty-new-voters", "duty-split", "duty-stall", "duty-voters"),
                         TestNameOf);

TEST_P(DutyRig, AllHeldWithRealProcesses) { RunWithRealProcesses(GetParam()); }

TEST_P(DutyRig, AllHeldInVirtualTime) { RunInVirtualTime(GetParam()); }

// With client requests during the run; the five rules for requests are checked too.
class FleetRigWithLoad : public ::testing::TestWithParam<const char*> {};
INSTANTIATE_TEST_SUITE_P(Rehearsals, FleetRigWithLoad,
                         ::testing::Values("fleet-load-stall", "fleet-load-breaks"), TestNameOf);

TEST_P(FleetRigWithLoad, AllHeldWithRealProcesses) { RunWithRealProcesses(GetParam()); }

TEST_P(FleetRig, AllHeldInVirtualTime) { RunInVirtualTime(GetParam()); }

}  // namespace
}  // namespace curlewdoor::fleetkit
