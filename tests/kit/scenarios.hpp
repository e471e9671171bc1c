// Scenarios of the kit's tests: small, with what a test is about written into them.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "rehearsal/judge.hpp"
#include "rehearsal/scenario.hpp"

namespace curlewdoor::kit {

// Faults and settings that a test adds come behind or before this.
inline std::string ScenarioText(const std::string& top = "", const std::string& faults = "",
                                const std::string& fleet = "nodes = 6") {
  return top + "\n[fleet]\n" + fleet + R"(
[load]
of_capacity = 0.6
[[class]]
name = "article-read"
share = 0.6
work_ms = 50
[[class]]
name = "paid-unlock"
share = 0.4
work_ms = 80
aim_ms = 800
deadline_ms = 2500
worth = 3
repeat = "unsafe"
[[plan]]
name = "sedang"
customers = 12
rate = 4
burst = 16
[[plan]]
name = "besar"
customers = 3
rate = 15
burst = 30
demand = "heavy"
ceiling_rate = 20
ceiling_burst = 20
ceiling_slack = 2
)" + faults;
}

inline rehearsal::Scenario Parsed(const std::string& text) {
  std::string error;
  auto scenario = rehearsal::ParseScenario(text, "test.toml", error);
  EXPECT_TRUE(scenario) << error;
  return scenario.value_or(rehearsal::Scenario{});
}

inline rehearsal::Scenario Shipped(const std::string& name) {
  std::string error;
  auto scenario = rehearsal::LoadScenario(CURLEWDOOR_REHEARSALS "/" + name + ".toml", error);
  EXPECT_TRUE(scenario) << error;
  return scenario.value_or(rehearsal::Scenario{});
}

// The rules that a run broke, by name, for readable failures.
inline std::string BrokenRules(const std::vector<rehearsal::RuleVerdict>& verdicts) {
  std::string names;
  for (const auto& verdict : verdicts)
    if (!verdict.held()) names += (names.empty() ? "" : " ") + std::string(RuleName(verdict.rule));
  return names;
}

}  // namespace curlewdoor::kit
