// Scenario files: every fault in one is named with its file, line and key, before anything starts.
#include "rehearsal/scenario.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>

#include "config/config.hpp"
#include "rehearsal/stage.hpp"
#include "scenarios.hpp"

namespace curlewdoor::kit {
namespace {

using rehearsal::ParseScenario;

std::string ErrorOf(const std::string& text) {
  std::string error;
  EXPECT_FALSE(ParseScenario(text, "night.toml", error));
  return error;
}

struct Wrong {
  std::string name, text, error;
};

class WrongScenario : public ::testing::TestWithParam<Wrong> {};

TEST_P(WrongScenario, IsRefusedByFileLineAndKey) { EXPECT_EQ(ErrorOf(GetParam().text), GetParam().error); }

const std::string kFault = "[[fault]]\nkind = \"node_slow\"\n";
// The first line of what ScenarioText() puts behind an empty top is line 2; what it adds last begins at
// line 35.
INSTANTIATE_TEST_SUITE_P(
    All, WrongScenario,
    ::testing::Values(
        Wrong{"NotToml", "name = \n",
              "night.toml:1: Error while parsing key-value pair: expected value, saw '\\n'"},
        Wrong{"UnknownKey", ScenarioText("lenght_s = 4"), "night.toml:1: lenght_s is not known"},
        Wrong{"NotANumber", ScenarioText("length_s = \"4\""), "night.toml:1: length_s is not a number"},
        Wrong{"OutOfRange", ScenarioText("gateways = 0"),
              "night.toml:1: gateways is 0, and must be from 1 to 1000"},
        Wrong{"NotWhole", ScenarioText("gateways = 2.5"), "night.toml:1: gateways is not a whole number"},
        Wrong{"InFleet", ScenarioText("", "", "nodes = 6\nspeed = [2, 1]"),
              "night.toml:4: fleet.speed must rise and stay from 0.01 to 100"},
        Wrong{"PartOverOne", ScenarioText("", kFault + "at = 1\nfor = 2\nsize = 3\npart = 1.5"),
              "night.toml:37: fault[0].part is 1.5, and must be from 1e-09 to 1"},
        Wrong{"AfterTheEnd", ScenarioText("length_s = 10", kFault + "at = 12\nfor = 2\nsize = 3\npart = 0.5"),
              "night.toml:34: fault[0].at is 12, after the end at 10"},
        Wrong{"NoTargets", ScenarioText("", kFault + "at = 1\nfor = 2\nsize = 3"),
              "night.toml:32: fault[0].part or names must be given, and not both"},
        Wrong{"NoSuchNode", ScenarioText("", kFault + "at = 1\nfor = 2\nsize = 3\nnames = [\"node-6\"]"),
              "night.toml:37: fault[0].names has \"node-6\", and there are node-0 to node-5"},
        Wrong{"NoLength", ScenarioText("", kFault + "at = 1\nsize = 3\npart = 0.5"),
              "night.toml:32: fault[0].for is missing"},
        Wrong{"SizeWithoutUse",
              ScenarioText("", "[[fault]]\nkind = \"node_stall\"\nat = 1\nfor = 1\nsize = 3\npart = 1"),
              "night.toml:36: fault[0].size is not for node_stall"},
        Wrong{"PlanThatNobodyHas", ScenarioText("", "[[plan]]\nname = \"x\"\nrate = 3"),
              "night.toml:32: plan[2].customers is missing: a plan that no customer has plays no part"},
        Wrong{"DeadlineBelowAim", ScenarioText("", "[[class]]\nname = \"x\"\naim_ms = 50\ndeadline_ms = 40"),
              "night.toml:35: class[2].deadline_ms is below aim_ms"}),
    [](const auto& info) { return info.param.name; });

TEST(Scenario, UnknownFaultNamesAllThatThereAre) {
  const std::string error = ErrorOf(ScenarioText("", "[[fault]]\nkind = \"node_sloow\"\nat = 1"));
  EXPECT_NE(error.find("fault[0].kind is \"node_sloow\""), std::string::npos) << error;
  for (const auto& word : rehearsal::FaultWords())
    EXPECT_NE(error.find(word.word), std::string::npos) << word.word;
}

TEST(Scenario, NoClassOrPlan) {
  EXPECT_EQ(ErrorOf("name = \"x\""), "night.toml:1: class is missing: a rehearsal needs a class of request");
}

TEST(Scenario, LoadIsScaledToTheFleet) {
  auto scenario = Parsed(ScenarioText());
  double inside = 0;
  for (const auto& plan : scenario.plans)
    inside += plan.crowd.customers * std::min(plan.crowd.asks, plan.crowd.rate);
  EXPECT_NEAR(inside, 0.6 * scenario.Capacity(), 1e-6);
  EXPECT_NEAR(scenario.plans[1].ceiling_rate / scenario.plans[1].crowd.rate, 20.0 / 15, 1e-9);
}

// The daemon's own reading takes what the kit writes.
TEST(Scenario, MakesAConfigurationThatTheDaemonTakes) {
  const auto scenario = Parsed(ScenarioText("gateways = 2"));
  const nlohmann::json none{{"rev", 0}, {"all", true}, {"targets", nlohmann::json::array()}};
  const auto json = GatewayConfig(scenario, 1, 7, {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}, none);
  std::string error;
  const auto config = config::ParseConfig(json.dump(), {}, error);
  ASSERT_TRUE(config) << error;
  EXPECT_EQ(config->settings.gateways, 2);
  EXPECT_EQ(config->settings.classes.at(1).repeat, RepeatSafety::kUnsafe);
  EXPECT_NEAR(config->settings.plans.at(1).ceiling_rate, scenario.plans[1].ceiling_rate, 1e-6);
  EXPECT_EQ(config->settings.rules.overload_factor, scenario.fleet.kind.fall_multiple);
}

// Counts what a stage asks of whoever plays it.
struct CountingHand : rehearsal::Stagehand {
  void NodeStarts(int) override { ++started; }
  void NodeDies(int, const std::vector<standin::NodeOutput>&) override { ++died; }
  void NodeChanges(int) override { ++changed; }
  void DiscoveryChanges() override {}
  void DiscoveryMoves() override {}
  void CounterMoves() override {}
  void GatewayStarts(int) override {}
  void GatewayDies(int) override {}
  void GatewayEnds(int) override {}
  void GatewayReloads(int) override {}
  int started = 0, died = 0, changed = 0;
};

// A fault that starts while another ends, and two that overlap on one node: what is left is what still lasts.
TEST(Stage, OverlappingFaultsOnOneNode) {
  const std::string slow = "[[fault]]\nkind = \"node_slow\"\nnames = [\"node-0\"]\n";
  const auto scenario =
      Parsed(ScenarioText("", slow + "at = 1\nfor = 4\nsize = 3\n" + slow + "at = 2\nfor = 1\nsize = 2\n" +
                                  slow + "at = 5\nfor = 1\nsize = 4\n"));
  const TimePoint start{std::chrono::seconds(1'700'000'000)};
  rehearsal::Stage stage(scenario, 1, start);
  CountingHand hand;
  rehearsal::Witness witness;
  const auto at = [&](double seconds) {
    stage.DoSteps(start + standin::FromSeconds(seconds), hand, witness);
    return hand.changed;
  };
  EXPECT_EQ(at(1), 1);  // 3
  EXPECT_EQ(at(2), 2);  // 6
  EXPECT_EQ(at(3), 3);  // 3 again
  EXPECT_EQ(at(5), 5);  // one ends and another begins at the same time
  EXPECT_EQ(at(6), 6);  // none
  EXPECT_FALSE(stage.NextStep());
}

// A node that is to die while it is dead, and to drain: it dies once, and starts once.
TEST(Stage, FaultsOnADeadNodeDoNothing) {
  const std::string target = "names = [\"node-0\"]\n";
  const auto scenario =
      Parsed(ScenarioText("", "[[fault]]\nkind = \"node_restart\"\nat = 1\nfor = 3\n" + target +
                                  "[[fault]]\nkind = \"node_die\"\nat = 2\n" + target +
                                  "[[fault]]\nkind = \"node_drain\"\nat = 2.5\nfor = 1\n" + target));
  const TimePoint start{std::chrono::seconds(1'700'000'000)};
  rehearsal::Stage stage(scenario, 1, start);
  CountingHand hand;
  rehearsal::Witness witness;
  stage.DoSteps(start + std::chrono::seconds(10), hand, witness);
  EXPECT_EQ(hand.died, 2);  // the drain's end kills the one that has returned
  EXPECT_EQ(hand.started, 1);
}

TEST(Stage, PartOfTheNodesIsChosenBySeed) {
  const auto scenario = Parsed(ScenarioText("", kFault + "at = 1\nfor = 2\nsize = 3\npart = 0.5"));
  const TimePoint start{std::chrono::seconds(1'700'000'000)};
  const auto struck = [&](std::uint64_t seed) {
    return rehearsal::Stage(scenario, seed, start).bands().at(0).text;
  };
  EXPECT_EQ(struck(1), struck(1));
  std::set<std::string> all;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) all.insert(struck(seed));
  EXPECT_GT(all.size(), 5u);
}

}  // namespace
}  // namespace curlewdoor::kit
