// Rehearsals on sockets, with real gateway processes on loopback. Short ones: CI plays them all.
#include <gtest/gtest.h>

#include <cstdlib>

#include "playing/messages.hpp"
#include "playing/socket_run.hpp"
#include "rehearsal/report.hpp"
#include "rehearsal/virtual_run.hpp"
#include "scenarios.hpp"

namespace curlewdoor::kit {
namespace {

using rehearsal::RunResult;

RunResult Play(const rehearsal::Scenario& scenario, const std::string& sabotage = "") {
  playing::SocketOptions options;
  options.gateway_program = sabotage.empty() ? CURLEWDOOR_PROGRAM : CURLEWDOOR_FAULTY;
  if (!sabotage.empty()) ::setenv("SABOTAGE", sabotage.c_str(), 1);
  return playing::SocketRun(scenario, 2, options).Play();
}

// A machine too slow for the load gives no verdict, and then this test has none to give either.
#define SKIP_IF_NOT_JUDGED(run) \
  if (!(run).not_judged.empty()) GTEST_SKIP() << (run).not_judged

const std::string kTop = "length_s = 6\ngateways = 3\n";

TEST(SocketRun, SeveralFaultsAtOnceAndEveryRuleHeld) {
  const auto scenario = Parsed(ScenarioText(
      kTop,
      "[[fault]]\nkind = \"node_replace\"\nat = 1\nfor = 2\npart = 0.2\n"
      "[[fault]]\nkind = \"gateway_kill\"\nat = 2\nfor = 1\nnames = [\"gateway-1\"]\n"
      "[[fault]]\nkind = \"counter_replace\"\nat = 3\n[[fault]]\nkind = \"discovery_move\"\nat = 3.5\n"
      "[[fault]]\nkind = \"node_resets\"\nat = 1\nfor = 4\nsize = 0.1\npart = 0.3\n"));
  const RunResult run = Play(scenario);
  SKIP_IF_NOT_JUDGED(run);
  EXPECT_EQ(BrokenRules(run.verdicts), "") << rehearsal::TextReport(run);
  EXPECT_EQ(run.crash, "");
  EXPECT_GT(run.totals.served, 400u);
  EXPECT_GT(run.totals.calls, 100u);
}

// Both ways of playing meet the same demand and serve it alike.
TEST(SocketRun, AgreesWithVirtualTime) {
  const auto scenario = Parsed(ScenarioText(kTop));
  const RunResult real = Play(scenario), simulated = rehearsal::VirtualRun(scenario, 2, false).Play();
  SKIP_IF_NOT_JUDGED(real);
  EXPECT_EQ(real.totals.offered, simulated.totals.offered);
  EXPECT_NEAR(real.totals.Service(), simulated.totals.Service(), 0.1);
}

struct Faulty {
  std::string name, sabotage, faults, broken;
};

class FaultyGatewayOnSockets : public ::testing::TestWithParam<Faulty> {};

TEST_P(FaultyGatewayOnSockets, IsCaughtByItsRuleAndNoOther) {
  const RunResult run = Play(Parsed(ScenarioText(kTop, GetParam().faults)), GetParam().sabotage);
  SKIP_IF_NOT_JUDGED(run);
  EXPECT_EQ(BrokenRules(run.verdicts), GetParam().broken) << rehearsal::TextReport(run);
}

INSTANTIATE_TEST_SUITE_P(
    All, FaultyGatewayOnSockets,
    ::testing::Values(Faulty{"SendsToDrained", "sends-to-drained",
                             "[[fault]]\nkind = \"node_drain\"\nat = 1\nfor = 4\npart = 0.3\n", "drain"},
                      Faulty{"RepeatsUnsafe", "repeats-unsafe",
                             "[[fault]]\nkind = \"node_silent\"\nat = 1\nfor = 2.5\nnames = [\"node-5\"]\n"
                             "[[fault]]\nkind = \"node_resets\"\nat = 1\nfor = 4\npart = 0.5\nsize = 0.3\n",
                             "duplicate"},
                      Faulty{"SwallowsAnswers", "swallows-answers", "", "lost"},
                      Faulty{"IgnoresCeiling", "ignores-ceiling", "", "ceiling"}),
    [](const auto& info) { return info.param.name; });

TEST(SocketRun, GatewayThatCrashesIsNamed) {
  const RunResult run = Play(Parsed(ScenarioText(kTop)), "none");
  SKIP_IF_NOT_JUDGED(run);
  EXPECT_EQ(run.crash, "");
  // One that can't even start: no verdict at all, and an error that says so.
  EXPECT_THROW(Play(Parsed(ScenarioText(kTop)), "no-such-sabotage"), std::runtime_error);
}

TEST(Messages, ClientKnowsTheBodyMadeForItsRequest) {
  const std::string body = playing::NodeBody(17, 4);
  EXPECT_TRUE(playing::IsBodyOf(17, body));
  EXPECT_FALSE(playing::IsBodyOf(18, body));
  EXPECT_FALSE(playing::IsBodyOf(17, body.substr(0, body.size() - 1)));
  EXPECT_FALSE(playing::IsBodyOf(17, ""));
}

}  // namespace
}  // namespace curlewdoor::kit
