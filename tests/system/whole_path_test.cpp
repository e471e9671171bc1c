// The whole path, played by real processes of curlewdoor-system on loopback: clients and hosts, an operator
// and the platform are stand-ins written from the protocol, and only what they saw from outside is judged.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>
#include <string>
#include <vector>

#include "logs_on_failure.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr double kSoon = 20;  // seconds that anything may take at most: the machine may be busy

Machines::Options Deployment(int core, int others) {
  Machines::Options options;
  options.program = CURLEWDOOR_PROGRAM;
  options.core = core;
  options.others = others;
  return options;
}

// A world whose gateways' logs are printed where a check has failed.
struct Played : World {
  explicit Played(const Machines::Options& options, const Host::Options& like = {}) : World(options, like) {}
  // The rules that hold for every scenario.
  void Judge() {
    BOOST_TEST(Settle());
    Say(sightings.Breaches());
    BOOST_TEST(calls.unasked() == 0);
    BOOST_TEST(oper.refused() == "");
  }
  static void Say(const std::vector<std::string>& breaches) {
    for (std::size_t i = 0; i < breaches.size() && i < 10; ++i) BOOST_ERROR(breaches[i]);
    BOOST_TEST(breaches.size() == 0u);
  }
  void ReadBack() {
    oper.Read();
    BOOST_TEST(Until([this] { return oper.has_read(); }, kSoon));
    BOOST_TEST(oper.JudgeRead() == "");
  }
  // Asks through each of these gateways until it has sent a request of this kind to a host of `service`.
  bool ServedThrough(const Clients::Kind& kind, const std::string& service,
                     const std::vector<int>& gateways) {
    const double began = pace.Now();
    double asked = -1;
    return Until(
        [&] {
          bool all = true;
          const bool ask = pace.Now() - asked > 0.1;
          if (ask) asked = pace.Now();
          for (const int g : gateways) {
            if (sightings.Ran(kind.prefix, g, service, began) > 0) continue;
            all = false;
            if (ask) clients.AskAt(kind, g);
          }
          return all;
        },
        kSoon);
  }

  const LogsOnFailure logs{machines};
};

// A calm day in short: all start together, a configuration is taken, hosts are known, requests are served by
// all gateways; a host leaves in order and a second version moves a route, both under load.
BOOST_AUTO_TEST_CASE(a_calm_day) {
  Played world(Deployment(3, 1));
  BOOST_REQUIRE(world.Start());
  world.clients.Begin({Reads(100), Writes(40), Moving(60)});
  BOOST_TEST(world.Until([&] { return world.clients.figures().served >= 200; }, kSoon));
  for (const int g : world.machines.all()) BOOST_TEST(world.sightings.Ran("/read/", g, "first", 0) > 0);

  Host& leaving = *world.hosts.front();
  world.AddHost("first");
  leaving.Drain();
  ConfigOptions second{.version = 5, .moving = "second"};
  world.oper.Replace(5, ConfigText(second));
  BOOST_TEST(world.Until([&] { return world.oper.Acknowledged(5); }, kSoon));
  BOOST_TEST(world.Until([&] { return leaving.ended(); }, kSoon));
  world.For(0.5);  // further load, in which what is late would show
  world.Judge();
  if (world.oper.Acknowledged(5))
    Played::Say(world.sightings.WentBack("/moving/", "first", "second", world.oper.AcknowledgedAt(5) + 2));
  const auto& figures = world.clients.figures();
  BOOST_TEST_MESSAGE("served " << figures.served << " of " << figures.asked);
  BOOST_TEST(figures.ServedShare() > 0.99);
  world.ReadBack();
}

// One core member dies at any moment and comes back: clients hardly notice, and the operator doesn't wait.
// Hosts break off now and then, or send an answer twice: nothing that may run once only runs again for that,
// and no request gets another's answer.
BOOST_AUTO_TEST_CASE(a_core_member_is_killed_under_load_and_comes_back) {
  Played world(Deployment(3, 1), {.breaks_every = 30, .doubles_every = 10});
  BOOST_REQUIRE(world.Start());
  world.clients.Begin({Reads(120), Writes(80)});
  BOOST_TEST(world.Until([&] { return world.clients.figures().served >= 100; }, kSoon));
  world.machines.Kill({0});
  world.oper.Replace(3, ConfigText({.version = 3, .added_route = true}));
  BOOST_TEST(world.Until([&] { return world.oper.Acknowledged(3); }, kSoon));
  world.machines.Start(0, false);
  world.ReadBack();
  BOOST_TEST(world.ServedThrough(Added(0), "second", world.machines.all()));
  // Both kinds have been broken off by hosts.
  BOOST_TEST(world.Until(
      [&] {
        return std::all_of(world.hosts.begin(), world.hosts.end(),
                           [](const auto& host) { return host->broken_off() >= 2; });
      },
      kSoon));
  world.Judge();
  const auto& figures = world.clients.figures();
  BOOST_TEST_MESSAGE("served " << figures.served << " of " << figures.asked);
  BOOST_TEST(figures.ServedShare() > 0.95);
}

// A core member that stands still is to the others as one that was cut off: they go on without it. It comes
// back to the newest version, and having served that it never serves an older one.
BOOST_AUTO_TEST_CASE(a_core_member_stands_still_and_catches_up) {
  Played world(Deployment(3, 0));
  BOOST_REQUIRE(world.Start());
  world.clients.Begin({Moving(80), Writes(40)});
  BOOST_TEST(world.Until([&] { return world.clients.figures().served >= 60; }, kSoon));
  world.machines.Signal(2, SIGSTOP);
  const double stopped = world.pace.Now();
  world.oper.Replace(4, ConfigText({.version = 4, .moving = "second"}));
  BOOST_TEST(world.Until([&] { return world.oper.Acknowledged(4); }, kSoon));
  BOOST_TEST(world.ServedThrough(Moving(0), "second", {0, 1}));
  world.Until([&] { return world.pace.Now() > stopped + 3; }, kSoon);  // how long it stands still
  world.machines.Signal(2, SIGCONT);
  BOOST_TEST(world.ServedThrough(Moving(0), "second", {2}));
  world.For(0.5);
  world.ReadBack();
  world.Judge();
  Played::Say(world.sightings.WentBack("/moving/", "first", "second"));
  for (const int g : world.machines.all()) BOOST_TEST(world.machines.life(g) == 1);
}

// The closing fault: every process dies at the moment of an acknowledgement, and one disk is lost. What was
// acknowledged is read back, and there is traffic again.
BOOST_AUTO_TEST_CASE(all_die_after_an_acknowledgement_and_one_disk_is_lost) {
  Played world(Deployment(3, 1));
  BOOST_REQUIRE(world.Start());
  world.clients.Begin({Reads(60), Writes(30)});
  BOOST_TEST(world.Until([&] { return world.clients.figures().served >= 60; }, kSoon));
  world.oper.Replace(9, ConfigText({.version = 9, .added_route = true}),
                     [&] { world.machines.Kill(world.machines.all()); });
  BOOST_REQUIRE(world.Until([&] { return world.oper.Acknowledged(9); }, kSoon));
  world.machines.WipeDisk(1);
  for (const int m : world.machines.all()) world.machines.Start(m, false);
  world.ReadBack();
  BOOST_TEST(world.ServedThrough(Added(0), "second", world.machines.all()));
  BOOST_TEST(world.ServedThrough(Reads(0), "first", world.machines.all()));
  world.Judge();
}

// Planned work: a gateway that is told to end answers all that it has read, lets the platform notice, and
// ends by itself in time. Hosts take their time, so that much is under way.
BOOST_AUTO_TEST_CASE(a_gateway_ends_in_order_under_load) {
  Played world(Deployment(3, 1), {.work_most_s = 0.3});
  BOOST_REQUIRE(world.Start());
  world.clients.Begin({Reads(80), Writes(40)});
  BOOST_TEST(world.Until([&] { return world.clients.figures().served >= 80; }, kSoon));
  for (const int ending : {3, 2}) {  // one without a disk, then a core member
    const int pid = world.machines.pid(ending);
    const double told = world.pace.Now();
    BOOST_TEST(pid > 0);
    world.machines.Signal(ending, SIGTERM);
    BOOST_TEST(world.Until([&] { return !world.machines.Running(ending); }, kSoon));
    BOOST_TEST(world.pace.Now() - told < 6);  // grace_s
    BOOST_TEST(world.machines.exit_code(ending) == 0);
    BOOST_TEST(world.Until([&] { return !world.clients.In(ending); }, kSoon));
    Played::Say(world.sightings.Lost(ending, world.machines.life(ending), told));
  }
  world.Judge();
  const auto& figures = world.clients.figures();
  BOOST_TEST_MESSAGE("served " << figures.served << " of " << figures.asked);
  BOOST_TEST(figures.ServedShare() > 0.98);
}

// Hosts' beats go where they are told: to more than one gateway, and away from one that ends.
BOOST_AUTO_TEST_CASE(hosts_call_where_they_are_told_and_are_handed_on) {
  constexpr std::size_t kHosts = 12;
  constexpr int kEnding = 3;
  Played world(Deployment(3, 1), {.follows_target = true});
  BOOST_REQUIRE(world.Start());
  while (world.hosts.size() < kHosts) world.AddHost("first");
  const auto told = [&] {
    std::set<std::string> targets;
    for (const auto& host : world.hosts) targets.insert(host->target());
    return targets;
  };
  const std::string ending = world.machines.control(kEnding).ToText();
  BOOST_TEST(world.Until([&] { return !told().contains("") && told().contains(ending); }, kSoon));
  BOOST_TEST(told().size() >= 3U);
  world.machines.Signal(kEnding, SIGTERM);
  BOOST_TEST(world.Until([&] { return !told().contains("") && !told().contains(ending); }, kSoon));
  BOOST_TEST(world.Until([&] { return !world.machines.Running(kEnding); }, kSoon));
  BOOST_TEST(world.ServedThrough(Reads(0), "first", {0, 1, 2}));
  world.Judge();
}

// Planned work: the settings file changes and SIGHUP says so, gateway by gateway; nobody notices.
BOOST_AUTO_TEST_CASE(a_changed_settings_file_costs_no_request) {
  Played world(Deployment(3, 1), {.work_most_s = 0.3});
  BOOST_REQUIRE(world.Start());
  world.clients.Begin({Reads(80), Writes(40)});
  BOOST_TEST(world.Until([&] { return world.clients.figures().served >= 80; }, kSoon));
  const auto changes = [&] {
    const std::string logs = world.machines.Logs(10'000), event = "settings-changed";
    std::size_t count = 0;
    for (auto at = logs.find(event); at != std::string::npos; at = logs.find(event, at + 1)) ++count;
    return count;
  };
  std::vector<double> told;
  for (const int g : world.machines.all()) {
    const std::size_t before = changes();
    const int served = world.clients.figures().served;
    told.push_back(world.pace.Now());
    world.machines.ChangeSettings(g);
    world.machines.Signal(g, SIGHUP);
    BOOST_TEST(world.Until([&] { return changes() > before; }, kSoon));
    BOOST_TEST(world.Until([&] { return world.clients.figures().served >= served + 40; }, kSoon));
  }
  world.Judge();
  for (const int g : world.machines.all()) {
    Played::Say(world.sightings.Lost(g, 1, told[static_cast<std::size_t>(g)]));
    BOOST_TEST(world.machines.Running(g));
    BOOST_TEST(world.machines.life(g) == 1);
  }
  const auto& figures = world.clients.figures();
  BOOST_TEST_MESSAGE("served " << figures.served << " of " << figures.asked);
  BOOST_TEST(figures.ServedShare() > 0.99);
}

// Eight orders under way at once, at all gateways; then each of them once more at another gateway, as an
// operator does whose answers were lost. Each is acknowledged both times, and the highest stays in force.
BOOST_AUTO_TEST_CASE(eight_orders_at_once_and_each_again) {
  Played world(Deployment(3, 1));
  BOOST_REQUIRE(world.Start());
  const std::uint64_t first = 11, last = 18;
  for (std::uint64_t version = first; version <= last; ++version)
    world.oper.Replace(version, ConfigText({.version = version, .added_route = version % 2 == 0}));
  for (std::uint64_t version = first; version <= last; ++version)
    BOOST_TEST(world.Until([&] { return world.oper.Acknowledged(version); }, kSoon));
  world.ReadBack();
  std::uint64_t again = 0;
  for (std::uint64_t version = first; version <= last; ++version)
    world.oper.Replace(version, ConfigText({.version = version, .added_route = version % 2 == 0}),
                       [&] { ++again; });
  BOOST_TEST(world.Until([&] { return again == last - first + 1; }, kSoon));
  BOOST_TEST(world.ServedThrough(Added(0), "second", world.machines.all()));
  world.ReadBack();
  world.Judge();
}

// A tenant at 8 times its rate over all gateways gets its quota and hardly more, whoever it asks; the tenant
// beside it isn't held up.
BOOST_AUTO_TEST_CASE(a_quota_holds_over_all_gateways) {
  Played world(Deployment(3, 1));
  BOOST_REQUIRE(world.Start());
  const double rate = 50, burst = 50, window = 1, span = 4;
  // Counting begins a window after the core's.
  world.For(1);
  world.clients.Begin({Metered(8 * rate), Reads(20)});
  world.For(span);
  world.Judge();
  const int most = world.sightings.MostWithin("metered", window), all = world.sightings.RunsOf("metered");
  BOOST_TEST_MESSAGE("metered: " << all << " ran, " << most << " within a second at most");
  BOOST_TEST(most <= (rate * window + burst) * 1.1 + 20);
  BOOST_TEST(all >= rate * span / 2);
  const auto& tries = world.sightings.tries();
  const auto refused = std::count_if(tries.begin(), tries.end(), [](const Try& one) {
    return one.tenant == "metered" && one.answer.status == 429;
  });
  BOOST_TEST(refused > 0);
  BOOST_TEST(!std::any_of(tries.begin(), tries.end(),
                          [](const Try& one) { return one.tenant == "gold" && one.answer.status == 429; }));
}

// Whatever is sent to the control door is refused by a 4xx, and the process lives on and serves.
BOOST_AUTO_TEST_CASE(bad_input_on_the_control_door_is_refused) {
  Played world(Deployment(3, 0));
  BOOST_REQUIRE(world.Start());
  const auto nested = [](std::size_t depth, char open, char close) {
    return std::string(depth, open) + std::string(depth, close);
  };
  const std::string beat = R"({"address":"127.0.0.1:9","details":{"service":"first","config_version":"v1",)"
                           R"("zone":"here","capacity_slots":2},"status":{"oper_state":"ready",)"
                           R"("call_sequence":4,"warmup_left_ms":0}})";
  const auto with = [](std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
  };
  const std::string config = ConfigText({.version = 77});
  const std::string heartbeat = "/v1/instances/i-bad/heartbeat", replace = "/v1/config/replace";
  const std::vector<std::pair<std::string, std::string>> bad = {
      {heartbeat, ""},
      {heartbeat, "null"},
      {heartbeat, "[]"},
      {heartbeat, std::string("\0\xff\xfe{", 4)},
      {heartbeat, beat.substr(0, beat.size() / 2)},
      {heartbeat, beat.substr(0, beat.size() - 1)},
      {heartbeat, with(beat, "\"v1\"", "\"" + std::string(1 << 20, 'v') + "\"")},
      {heartbeat, with(beat, "\"v1\"", nested(10'000, '[', ']'))},
      {heartbeat, nested(10'000, '[', ']')},
      {heartbeat, std::string(10'000, '{')},
      {heartbeat, with(beat, "\"first\"", "7")},
      {heartbeat, with(beat, "\"ready\"", "[1]")},
      {heartbeat, with(beat, "\"ready\"", "\"asleep\"")},
      {heartbeat, with(beat, "\"call_sequence\":4", "\"call_sequence\":\"four\"")},
      {heartbeat, with(beat, "\"call_sequence\":4", "\"call_sequence\":-1")},
      {heartbeat, with(beat, "\"capacity_slots\":2", "\"capacity_slots\":1e400")},
      {heartbeat, with(beat, "127.0.0.1:9", "127.0.0.1:99999")},
      {heartbeat, with(beat, "127.0.0.1:9", "localhost")},
      {"/v1/instances//heartbeat", beat},
      {"/v1/instances/i-bad/dance", beat},
      {replace, ""},
      {replace, "null"},
      {replace, "{}"},
      {replace, config.substr(0, config.size() / 2)},
      {replace, nested(10'000, '[', ']')},
      {replace, with(config, "\"config_version\":77", "\"config_version\":" + nested(10'000, '[', ']'))},
      {replace, with(config, "\"config_version\":77", "\"config_version\":\"77\"")},
      {replace, with(config, "\"max_attempts\":3", "\"max_attempts\":0")},
      {replace, with(config, "\"non_idempotent\"", "\"sometimes\"")},
      {replace, with(config, "\"service\":\"second\"", "\"service\":\"unknown\"")},
      {replace, with(config, "metered7key", "gold4k2key")},
      {replace, with(config, "\"timeout_ms\":3000", "\"timeout_ms\":{}")},
      {replace, "{\"config_version\":78,\"services\":[\"" + std::string(1 << 20, 's') + "\"]}"},
  };
  const std::vector<int> all = world.machines.all();
  std::vector<int> pids;
  for (const int g : all) pids.push_back(world.machines.pid(g));
  std::size_t answered = 0;
  for (std::size_t i = 0; i < bad.size(); ++i) {
    const auto& [path, body] = bad[i];
    const Address to = world.machines.control(static_cast<int>(i) % world.machines.count());
    world.calls.Call(to, RequestText("POST", path, to.ToText(), "Content-Type: application/json\r\n", body),
                     kSoon, false, [&, i](const Answer& answer) {
                       ++answered;
                       BOOST_TEST_CONTEXT(bad[i].first << " " << bad[i].second.substr(0, 60) << ", "
                                                       << bad[i].second.size() << " bytes") {
                         BOOST_TEST(answer.whole());
                         BOOST_TEST(answer.status >= 400);
                         BOOST_TEST(answer.status < 500);
                       }
                     });
  }
  BOOST_TEST(world.Until([&] { return answered == bad.size(); }, kSoon + 5));
  for (const int g : all) {
    BOOST_TEST(world.machines.Running(g));
    BOOST_TEST(world.machines.pid(g) == pids[static_cast<std::size_t>(g)]);
  }
  BOOST_TEST(world.ServedThrough(Reads(0), "first", all));
  BOOST_TEST(world.ServedThrough(Writes(0), "second", all));
  world.ReadBack();  // nothing of that is in force
  world.Judge();
}

}  // namespace
}  // namespace curlewdoor::systemkit
