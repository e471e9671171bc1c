// A process that was away for long doesn't bring back what has left meanwhile: real processes of
// curlewdoor-system, judged by what hosts have seen.
//
// CURLEWDOOR_SOAK_PROGRAM=FILE plays another version, to see it fail.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "logs_on_failure.hpp"
#include "systemkit/environment.hpp"
#include "systemkit/troubles.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr double kSoon = 20;  // seconds that anything may take at most: the machine may be busy
constexpr double kAskEvery = 0.05;
constexpr double kAskedFor = 8;
constexpr int kLeavers = 3;
constexpr int kAtWork = 0;  // a member that is never in trouble
constexpr double kProvedAgain = 2.5;
constexpr double kLongStop = 75;  // longer than leaves were remembered: 60 s

constexpr int kShortPeriod = 1500;
constexpr double kForgotten = 34;  // 15 s and nine short periods, rounded up

struct Away {
  std::vector<int> machines{};
  double seconds = 0;
  bool cut_off = false;     // else it is stopped
  bool loses_disk = false;  // and is started again at the end
  int period_ms = 20'000;   // of the watermark
};

Machines::Options Deployment(const Away& away) {
  Machines::Options options;
  options.program = ProgramToPlay(CURLEWDOOR_PROGRAM);
  options.core = 3;
  options.others = 2;
  options.relayed = true;
  options.heartbeat_ms = 1500;
  options.registry_period_ms = away.period_ms;
  return options;
}

class ReturnScene {
 public:
  explicit ReturnScene(const Away& away) : away_(away), world_(Deployment(away)) {}
  ~ReturnScene() { world_.machines.Kill(world_.machines.all()); }

  void Play() {
    BOOST_REQUIRE(world_.Start());
    for (int i = 0; i < kLeavers; ++i) leavers_.push_back(&AddLeaver());
    Ask(1);
    Begin();
    world_.For(1);
    for (Host* leaver : leavers_) {
      leaver->CallFirst(kAtWork);
      leaver->Drain();
    }
    for (Host* leaver : leavers_)
      BOOST_TEST(world_.Until([&] { return leaver->drain_acknowledged(); }, kSoon));
    world_.For(away_.seconds);
    if (away_.seconds == kForgotten) BOOST_TEST(HaveForgotten(kAtWork));
    End();
    // One that was cut off may send by what it knows until a majority has answered it again.
    if (away_.cut_off) world_.For(kProvedAgain);
    Ask(kAskedFor);
    Judge();
  }

 private:
  Host& AddLeaver() {
    Host& host = world_.AddHost("first", [this](Host::Options& options) {
      options.serves_on_s = away_.seconds + kAskedFor + kSoon;
      options.deregisters_first = true;
    });
    BOOST_REQUIRE(world_.Until([&] { return host.acknowledged(); }, kSoon));
    return host;
  }
  void Begin() {
    if (away_.cut_off) return world_.relays->Separate(away_.machines);
    if (away_.loses_disk) return world_.machines.Kill(away_.machines);
    for (const int machine : away_.machines) world_.machines.Signal(machine, SIGSTOP);
  }
  void End() {
    if (away_.cut_off) return world_.relays->JoinAll();
    for (const int machine : away_.machines) {
      if (!away_.loses_disk) {
        world_.machines.Signal(machine, SIGCONT);
        continue;
      }
      world_.machines.WipeDisk(machine);
      world_.machines.Start(machine, false);
    }
  }
  // That gateway remembers no leave any more: else the scene would show nothing.
  bool HaveForgotten(int gateway) {
    std::string hosts;
    const Address to = world_.machines.control(gateway);
    world_.calls.Call(to, RequestText("GET", "/v1/system/hosts", to.ToText(), "", ""), 2, false,
                      [&](const Answer& answer) { hosts = answer.body; });
    if (!world_.Until([&] { return !hosts.empty(); }, kSoon)) return false;
    return std::none_of(leavers_.begin(), leavers_.end(), [&](const Host* leaver) {
      return hosts.find("\"" + leaver->options().instance + "\"") != std::string::npos;
    });
  }
  void Ask(double seconds) {
    const double ends = world_.pace.Now() + seconds;
    while (world_.pace.Now() < ends) {
      for (const int gateway : world_.machines.all()) world_.clients.AskAt(Reads(0), gateway);
      world_.For(kAskEvery);
    }
  }
  void Judge() {
    const LogsOnFailure logs(world_.machines);
    BOOST_TEST(world_.Settle());
    const auto breaches = world_.sightings.Breaches();
    BOOST_TEST(breaches.empty(), breaches.size() << " breaches");
    for (std::size_t i = 0; i < breaches.size() && i < 5; ++i) BOOST_TEST_MESSAGE(breaches[i]);
    for (const int gateway : world_.machines.all())
      BOOST_TEST(world_.sightings.Ran("/read/", gateway, "first", 0) > 0);
  }

  const Away away_;
  World world_;
  std::vector<Host*> leavers_;
};

BOOST_AUTO_TEST_CASE(a_gateway_and_a_member_that_stood_still_for_75_s_bring_nobody_back) {
  ReturnScene({.machines = {4, 1}, .seconds = kLongStop}).Play();
}

// With short periods, so that the leaves are forgotten by all others when these come back.
Away UntilForgotten(std::vector<int> machines) {
  Away away;
  away.machines = std::move(machines);
  away.seconds = kForgotten;
  away.period_ms = kShortPeriod;
  return away;
}

BOOST_AUTO_TEST_CASE(a_gateway_and_a_member_that_stood_still_until_all_had_forgotten_bring_nobody_back) {
  ReturnScene(UntilForgotten({4, 1})).Play();
}

BOOST_AUTO_TEST_CASE(a_gateway_that_was_cut_off_until_all_had_forgotten_brings_nobody_back) {
  Away away = UntilForgotten({3});
  away.cut_off = true;
  ReturnScene(away).Play();
}

BOOST_AUTO_TEST_CASE(a_member_that_comes_back_without_its_disk_brings_nobody_back) {
  Away away = UntilForgotten({2});
  away.loses_disk = true;
  ReturnScene(away).Play();
}

}  // namespace
}  // namespace curlewdoor::systemkit
