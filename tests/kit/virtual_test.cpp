// Rehearsals in virtual time: the same every time, all rules held by the gateway as it is, and each rule
// broken by the gateway that breaks it.
#include <gtest/gtest.h>

#include <filesystem>
#include <set>

#include "faulty_core.hpp"
#include "rehearsal/report.hpp"
#include "rehearsal/search.hpp"
#include "rehearsal/virtual_run.hpp"
#include "scenarios.hpp"

namespace curlewdoor::kit {
namespace {

using rehearsal::RunResult;
using rehearsal::VirtualRun;

RunResult Play(const rehearsal::Scenario& scenario, std::uint64_t seed, Sabotage sabotage = Sabotage::kNone) {
  return VirtualRun(scenario, seed, false, MakeFaulty(sabotage)).Play();
}

TEST(VirtualRun, SameSeedSameEvents) {
  const auto scenario = Shipped("three-at-once");
  const RunResult first = Play(scenario, 5);
  EXPECT_GT(first.events, 10'000u);
  for (int i = 0; i < 19; ++i) ASSERT_EQ(Play(scenario, 5).event_hash, first.event_hash);
  EXPECT_NE(Play(scenario, 6).event_hash, first.event_hash);
}

class ShippedRehearsal : public ::testing::TestWithParam<std::string> {};

TEST_P(ShippedRehearsal, KeepsEveryRule) {
  const auto scenario = Shipped(GetParam());
  for (std::uint64_t seed : {scenario.seed, std::uint64_t{77}, std::uint64_t{4711}}) {
    const RunResult run = Play(scenario, seed);
    EXPECT_EQ(BrokenRules(run.verdicts), "") << rehearsal::TextReport(run);
    EXPECT_GT(run.totals.served, 0u);
  }
}

std::vector<std::string> ShippedNames() {
  std::set<std::string> names;
  // Those of gateways that see one another have a kit command and tests of their own (tests/fleet).
  for (const auto& entry : std::filesystem::directory_iterator(CURLEWDOOR_REHEARSALS))
    if (const std::string name = entry.path().stem().string();
        entry.path().extension() == ".toml" && !name.starts_with("fleet-") && !name.starts_with("duty-"))
      names.insert(entry.path().stem().string());
  return {names.begin(), names.end()};
}

INSTANTIATE_TEST_SUITE_P(All, ShippedRehearsal, ::testing::ValuesIn(ShippedNames()), [](const auto& info) {
  std::string name = info.param;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

TEST(Rehearsals, AreTwelveOrMore) { EXPECT_GE(ShippedNames().size(), 12u); }

// Each faulty gateway with a scenario in which its fault can show, and the one rule that it breaks.
struct Faulty {
  std::string name;
  Sabotage sabotage;
  std::string scenario;
  std::string broken;
};

class FaultyGateway : public ::testing::TestWithParam<Faulty> {};

TEST_P(FaultyGateway, IsCaughtByItsRuleAndNoOther) {
  const auto scenario = Parsed(GetParam().scenario);
  const RunResult sound = Play(scenario, 2);
  EXPECT_EQ(BrokenRules(sound.verdicts), "") << rehearsal::TextReport(sound);
  const RunResult run = Play(scenario, 2, GetParam().sabotage);
  EXPECT_EQ(BrokenRules(run.verdicts), GetParam().broken) << rehearsal::TextReport(run);
}

const std::string kTop = "length_s = 15\ngateways = 3\n";
const std::string kDrain = "[[fault]]\nkind = \"node_drain\"\nat = 3\nfor = 8\npart = 0.3\n";
const std::string kResets = "[[fault]]\nkind = \"node_resets\"\nat = 3\nfor = 9\npart = 0.5\nsize = 0.3\n";
const std::string kRestart = "[[fault]]\nkind = \"node_restart\"\nat = 2\nfor = 2\npart = 0.3\n";

INSTANTIATE_TEST_SUITE_P(
    All, FaultyGateway,
    ::testing::Values(
        Faulty{"SendsToDrained", Sabotage::kSendsToDrained, ScenarioText(kTop, kDrain), "drain"},
        Faulty{"RepeatsUnsafe", Sabotage::kRepeatsUnsafe, ScenarioText(kTop, kResets), "duplicate"},
        Faulty{"SwallowsAnswers", Sabotage::kSwallowsAnswers, ScenarioText(kTop), "lost"},
        Faulty{"AnswersTwice", Sabotage::kAnswersTwice, ScenarioText(kTop), "lost"},
        Faulty{"AnswersLate", Sabotage::kAnswersLate, ScenarioText(kTop), "lost"},
        Faulty{"IgnoresCold", Sabotage::kIgnoresCold,
               ScenarioText(kTop, kRestart, "nodes = 6\ncold_from = 0.05\ncold_s = 30\nfall_s = 1"),
               "fall-over"},
        Faulty{"IgnoresCeiling", Sabotage::kIgnoresCeiling, ScenarioText(kTop), "ceiling"}),
    [](const auto& info) { return info.param.name; });

TEST(Search, FindsTheSeedsThatBreakARule) {
  const auto scenario = Parsed(ScenarioText("length_s = 4\ngateways = 2"));
  const auto sound = rehearsal::Search(scenario, 1, 6, 2, {});
  EXPECT_EQ(sound.Broken(), 0u);
  ASSERT_EQ(sound.seeds.size(), 6u);
  const auto faulty = rehearsal::Search(scenario, 1, 6, 2, {}, MakeFaulty(Sabotage::kSwallowsAnswers));
  EXPECT_EQ(faulty.Broken(), 6u);
  EXPECT_NE(rehearsal::SearchReport(faulty, "x.toml").find("rehearse x.toml --virtual --seed"),
            std::string::npos);
}

TEST(Report, PageHoldsVerdictsPlotsAndFaultsAndNothingFromElsewhere) {
  const auto scenario = Parsed(ScenarioText(kTop, kDrain));
  const RunResult run = VirtualRun(scenario, 2, true).Play();
  const std::string page = rehearsal::HtmlReport(run);
  for (const char* needed : {"<svg", "fall-over", "node_drain", "Requests a second", "</html>"})
    EXPECT_NE(page.find(needed), std::string::npos) << needed;
  EXPECT_EQ(page.find("src="), std::string::npos);
  EXPECT_EQ(page.find("href="), std::string::npos);
}

// The same stand-in that a killed gateway leaves behind: an answer on its way is an answer, not a second one
// (gateways-restart, seed 25, took it for a break).
TEST(VirtualRun, AnswerOnItsWayFromAKilledGatewayCounts) {
  EXPECT_EQ(BrokenRules(Play(Shipped("gateways-restart"), 25).verdicts), "");
}

}  // namespace
}  // namespace curlewdoor::kit
