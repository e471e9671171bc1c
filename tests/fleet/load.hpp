// Loads a shipped rehearsal of a fleet by name.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "fleetkit/scenario.hpp"

namespace curlewdoor::fleetkit {

inline Scenario LoadRehearsal(const std::string& name) {
  std::string error;
  const auto scenario = LoadScenario(std::string(CURLEWDOOR_REHEARSALS) + "/" + name + ".toml", error);
  EXPECT_TRUE(scenario) << error;
  return scenario.value_or(Scenario{});
}

}  // namespace curlewdoor::fleetkit
