// A leave that was acknowledged binds every gateway: later than drain_ms no request reaches that host. Played
// by real processes of curlewdoor-system with relays between them; judged by what hosts and clients have
// seen.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <vector>

#include "logs_on_failure.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr double kSoon = 20;  // seconds that anything may take at most: the machine may be busy
constexpr double kAskEvery = 0.05;
constexpr double kDrain = 2;  // seconds of drain_ms
constexpr double kApply = 2;  // ... of config_apply_ms

Machines::Options Deployment(int core, int others) {
  Machines::Options options;
  options.program = CURLEWDOOR_PROGRAM;
  options.core = core;
  options.others = others;
  options.relayed = true;
  options.heartbeat_ms = 1500;  // a host that says nothing more isn't taken for silent meanwhile
  return options;
}

struct LeaveWorld : World {
  LeaveWorld(int core, int others) : World(Deployment(core, others)) {}
  ~LeaveWorld() {
    machines.Kill(machines.all());  // stopped ones too
  }

  // A host that serves on for long after its leave was acknowledged.
  Host& AddLeaver(bool deregisters_first = false) {
    Host& host = AddHost("first", [&](Host::Options& options) {
      options.serves_on_s = 3;
      options.deregisters_first = deregisters_first;
    });
    BOOST_REQUIRE(Until([&] { return host.acknowledged(); }, kSoon));
    return host;
  }
  void CutBetween(int from, const std::vector<int>& others) {
    for (const int other : others) {
      relays->Cut(from, other);
      relays->Cut(other, from);
    }
  }
  // Requests at each of these gateways, for so many seconds.
  void AskAll(const std::vector<int>& gateways, double seconds) {
    const double ends = pace.Now() + seconds;
    while (pace.Now() < ends) {
      for (const int gateway : gateways) clients.AskAt(Reads(0), gateway);
      For(kAskEvery);
    }
  }
  bool LeaveIsAcknowledged(Host& host) {
    return Until([&] { return host.drain_acknowledged(); }, kSoon);
  }
  void Judge() {
    BOOST_TEST(Settle());
    const auto breaches = sightings.Breaches();
    for (std::size_t i = 0; i < breaches.size() && i < 10; ++i) BOOST_ERROR(breaches[i]);
    BOOST_TEST(breaches.empty());
    BOOST_TEST(!sightings.runs().empty());
  }

  const LogsOnFailure logs{machines};
};

// Just after the cut the member believes that it has a majority still.
BOOST_AUTO_TEST_CASE(a_member_that_was_just_cut_off_acknowledges_no_leave) {
  LeaveWorld world(3, 2);
  BOOST_REQUIRE(world.Start());
  Host& leaver = world.AddLeaver(true);
  world.AskAll({1, 2, 3, 4}, 1);
  leaver.CallFirst(0);
  world.relays->Separate({0});
  leaver.Drain();
  BOOST_TEST(world.LeaveIsAcknowledged(leaver));
  world.AskAll({1, 2, 3, 4}, kDrain + 2);
  world.relays->JoinAll();
  world.Judge();
}

// Later it knows that it has none, and so does no gateway that reaches it alone.
BOOST_AUTO_TEST_CASE(a_gateway_acknowledges_no_leave_on_the_word_of_a_member_without_majority) {
  LeaveWorld world(3, 2);
  BOOST_REQUIRE(world.Start());
  Host& leaver = world.AddLeaver(true);
  world.AskAll({1, 2, 4}, 1);
  world.CutBetween(0, {1, 2});
  world.CutBetween(3, {1, 2});
  world.For(3);
  leaver.CallFirst(3);
  leaver.Drain();
  BOOST_TEST(world.LeaveIsAcknowledged(leaver));
  world.AskAll({1, 2, 4}, kDrain + 2);
  world.relays->JoinAll();
  world.Judge();
}

// What reached a stopped process is read when it goes on; by then hosts have left.
BOOST_AUTO_TEST_CASE(a_gateway_that_was_paused_sends_nothing_by_its_old_list) {
  LeaveWorld world(3, 2);
  BOOST_REQUIRE(world.Start());
  for (const int paused : {4, 1}) {
    Host& leaver = world.AddLeaver(paused == 1);
    world.AskAll({paused}, 1);
    world.machines.Signal(paused, SIGSTOP);
    leaver.CallFirst(0);
    leaver.Drain();
    BOOST_TEST(world.LeaveIsAcknowledged(leaver));
    world.For(kDrain + 0.3);
    for (int i = 0; i < 40; ++i) world.clients.AskAt(Reads(0), paused);
    world.For(0.2);
    world.machines.Signal(paused, SIGCONT);
    world.AskAll({paused}, 1);
  }
  world.Judge();
}

// The same with a change of the configuration: what was read late is routed by the newest.
BOOST_AUTO_TEST_CASE(a_gateway_that_was_paused_routes_nothing_by_its_old_configuration) {
  LeaveWorld world(3, 2);
  BOOST_REQUIRE(world.Start());
  std::uint64_t version = 1;
  for (const int paused : {4, 1}) {
    const std::string before = version == 1 ? "first" : "second", after = version == 1 ? "second" : "first";
    ++version;
    world.machines.Signal(paused, SIGSTOP);
    world.oper.Replace(version, ConfigText({.version = version, .moving = after}));
    BOOST_TEST(world.Until([&] { return world.oper.Acknowledged(version); }, kSoon));
    const double acknowledged = world.pace.Now();
    world.For(kApply + 0.3);
    const std::size_t first = world.sightings.runs().size();
    for (int i = 0; i < 40; ++i) world.clients.AskAt(Moving(0), paused);
    world.For(0.2);
    world.machines.Signal(paused, SIGCONT);
    world.For(1);
    std::size_t late = 0;
    for (std::size_t run = first; run < world.sightings.runs().size(); ++run)
      late += world.sightings.runs()[run].service == before ? 1 : 0;
    BOOST_TEST(late == 0U, late << " requests, sent " << kApply + 0.3 << " s after " << acknowledged
                                << ", ran at the old service by gateway " << paused);
    BOOST_TEST(world.sightings.Ran("/moving/", paused, after, acknowledged) > 0);
  }
  world.Judge();
}

// All processes are killed right behind the acknowledgement and come back with their disks. The host says
// nothing more.
BOOST_AUTO_TEST_CASE(an_acknowledged_leave_outlives_a_kill_of_all) {
  LeaveWorld world(3, 2);
  BOOST_REQUIRE(world.Start());
  Host& leaver = world.AddLeaver(true);
  world.AskAll(world.machines.all(), 1.5);  // by now it stands on the disks as one that is there
  leaver.Drain();
  BOOST_TEST(world.LeaveIsAcknowledged(leaver));
  world.machines.Kill(world.machines.all());
  for (const int m : world.machines.all()) world.machines.Start(m, false);
  world.AskAll(world.machines.all(), kDrain + 2.5);
  world.Judge();
}

}  // namespace
}  // namespace curlewdoor::systemkit
