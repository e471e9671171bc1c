// API calls, merging of reports about hosts, the journal and its index, and the encoding of entries.
#include "service_registry/service_registry.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <numeric>
#include <random>
#include <sstream>
#include <variant>

#include "service_registry/codec.hpp"
#include "service_registry/command.hpp"
#include "service_registry/hosts_by_service.hpp"

using namespace curlewdoor::service_registry;
using namespace std::chrono_literals;

namespace {

const Time kStart = Time{} + 1000h;

Heartbeat MakeHeartbeat(const std::string& id, std::uint64_t sequence, bool draining = false,
                        const std::string& address = "10.0.0.1:80", const std::string& service = "s") {
  Heartbeat heartbeat;
  heartbeat.id = id;
  heartbeat.service = service;
  heartbeat.address = address;
  heartbeat.zone = "z";
  heartbeat.slots = 2;
  heartbeat.draining = draining;
  heartbeat.sequence = sequence;
  return heartbeat;
}

HostEntry UnresponsiveEntry(const std::string& id, std::uint64_t sequence,
                            const std::string& address = "10.0.0.1:80") {
  ServiceRegistry other;
  other.Apply(kStart, MakeHeartbeat(id, sequence, false, address));
  other.MarkUnresponsive(kStart + 10s, 5s);
  return *other.Find(id);
}

// The merged state, without times.
std::string Text(const ServiceRegistry& registry) {
  auto all = registry.All();
  std::sort(all.begin(), all.end(), [](const HostEntry& a, const HostEntry& b) { return a.id < b.id; });
  std::ostringstream out;
  for (const HostEntry& e : all) {
    out << e.id << ' ' << e.service << ' ' << e.address << ' ' << e.slots << ' ' << static_cast<int>(e.state)
        << e.draining << e.deregistered << e.unresponsive << ' ' << e.sequence << ' ' << e.details_sequence
        << '\n';
  }
  return out.str();
}

std::string Text(const HostsByService& view) {
  std::ostringstream out;
  for (const auto& [service, entries] : view.all()) {
    out << service << ':';
    for (const HostEntry& e : entries) {
      out << ' ' << e.id << static_cast<int>(e.state) << e.unresponsive << e.address;
    }
    out << '\n';
  }
  return out.str();
}

int StatusOf(const std::string& method, const std::string& path, const std::string& body,
             const std::string& field = "") {
  try {
    Decode(method, path, body);
    return 200;
  } catch (const CallError& error) {
    BOOST_TEST(error.text.find(field) != std::string::npos, error.text << " doesn't name " << field);
    return error.status;
  }
}

const std::string kHeartbeatPath = "/v1/instances/i-7f3a91c2/heartbeat";
const std::string kHeartbeatBody =
    R"({"address":"10.128.0.9:8080","details":{"service":"huvo11a","config_version":"v1",)"
    R"("zone":"muenchen-nord","capacity_slots":2},"status":{"oper_state":"ready","call_sequence":4,)"
    R"("warmup_left_ms":1500}})";

std::string With(std::string body, const std::string& from, const std::string& to) {
  const auto at = body.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return body.replace(at, from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(calls)

BOOST_AUTO_TEST_CASE(heartbeat_is_decoded) {
  const auto heartbeat = std::get<Heartbeat>(Decode("POST", kHeartbeatPath, kHeartbeatBody));
  BOOST_TEST(heartbeat.id == "i-7f3a91c2");
  BOOST_TEST(heartbeat.service == "huvo11a");
  BOOST_TEST(heartbeat.address == "10.128.0.9:8080");
  BOOST_TEST(heartbeat.zone == "muenchen-nord");
  BOOST_TEST(heartbeat.version == "v1");
  BOOST_TEST(heartbeat.slots == 2);
  BOOST_TEST(!heartbeat.draining);
  BOOST_TEST(heartbeat.sequence == 4u);
  BOOST_TEST(heartbeat.warmup_left.count() == 1500);
}

BOOST_AUTO_TEST_CASE(optional_fields) {
  const std::string body = R"({"x":[1,{"y":null}],"address":"1.2.3.4:5","details":{"service":"s","x":1},)"
                           R"("status":{"oper_state":"draining","call_sequence":0}} )";
  const auto heartbeat = std::get<Heartbeat>(Decode("POST", kHeartbeatPath + "?a=b", body));
  BOOST_TEST(heartbeat.draining);
  BOOST_TEST(heartbeat.slots == 1);
  BOOST_TEST(heartbeat.warmup_left.count() == 0);
  const auto huge = With(kHeartbeatBody, ":1500", ":1e300");
  BOOST_TEST((std::get<Heartbeat>(Decode("POST", kHeartbeatPath, huge)).warmup_left == kMaxWarmup));
}

BOOST_AUTO_TEST_CASE(other_calls) {
  BOOST_TEST(std::get<Deregistration>(Decode("POST", "/v1/instances/a/deregister", "")).id == "a");
  BOOST_TEST(std::get<Deregistration>(Decode("POST", "/v1/instances/a/deregister", "{}")).id == "a");
  BOOST_TEST(std::get<ReplaceConfig>(Decode("POST", "/v1/config/replace", "text")).text == "text");
  BOOST_TEST(std::holds_alternative<ReadConfig>(Decode("GET", "/v1/config/read", "")));
  BOOST_TEST(StatusOf("GET", "/v1/config/replace", "") == 405);
  BOOST_TEST(StatusOf("POST", "/v1/config/read", "") == 405);
  BOOST_TEST(StatusOf("PUT", kHeartbeatPath, kHeartbeatBody) == 405);
  for (const char* path : {"", "/", "/v1/config", "/v1/config/read/", "/v1/instances/", "/v1/instances/a",
                           "/v1/instances/a/b/heartbeat", "/v1/instances/a/heartbeat/"}) {
    BOOST_TEST(StatusOf("POST", path, kHeartbeatBody) == 404, path);
  }
}

BOOST_AUTO_TEST_CASE(invalid_fields_are_named) {
  const auto wrong = [](const std::string& from, const std::string& to, const std::string& field) {
    BOOST_TEST(StatusOf("POST", kHeartbeatPath, With(kHeartbeatBody, from, to), field) == 400, to);
  };
  wrong(R"("address":"10.128.0.9:8080",)", "", "address");
  wrong("10.128.0.9:8080", "10.128.0.9", "address");
  wrong("10.128.0.9:8080", "10.128.0.9:0", "address");
  wrong("10.128.0.9:8080", "10.128.0.9:70000", "address");
  wrong("10.128.0.9:8080", "host:80", "address");
  wrong(R"("service":"huvo11a",)", "", "details.service");
  wrong(R"("huvo11a")", R"("")", "details.service");
  wrong(R"("huvo11a")", "7", "details.service");
  wrong(R"("huvo11a")", R"("a\nb")", "details.service");
  wrong("huvo11a", std::string(kMaxNameBytes + 1, 'a'), "details.service");
  wrong(R"("muenchen-nord")", "null", "details.zone");
  wrong(R"("v1")", "{}", "details.config_version");
  wrong(R"("capacity_slots":2)", R"("capacity_slots":"2")", "details.capacity_slots");
  wrong(R"("capacity_slots":2)", R"("capacity_slots":-2)", "details.capacity_slots");
  wrong(R"("capacity_slots":2)", R"("capacity_slots":2.5)", "details.capacity_slots");
  wrong(R"("capacity_slots":2)", R"("capacity_slots":1e9)", "details.capacity_slots");
  wrong("ready", "gone", "status.oper_state");
  wrong(R"("oper_state":"ready",)", "", "status.oper_state");
  wrong(R"("call_sequence":4,)", "", "status.call_sequence");
  wrong(R"("call_sequence":4)", R"("call_sequence":-1)", "status.call_sequence");
  wrong(R"("call_sequence":4)", R"("call_sequence":1e17)", "status.call_sequence");
  wrong(R"("call_sequence":4)", R"("call_sequence":1e999)", "status.call_sequence");
  wrong(":1500", ":-1", "status.warmup_left_ms");
  wrong(":1500", ":true", "status.warmup_left_ms");
  wrong(R"("status":{)", R"("status":[],"x":{)", "status");
  wrong(R"("details":{)", R"("other":{)", "details");
  BOOST_TEST(StatusOf("POST", "/v1/instances//heartbeat", kHeartbeatBody, "instance_id") == 400);
  BOOST_TEST(StatusOf("POST", "/v1/instances/a%0d/heartbeat", kHeartbeatBody, "instance_id") == 400);
  BOOST_TEST(StatusOf("POST", "/v1/instances/a\r\n/heartbeat", kHeartbeatBody, "instance_id") == 400);
  const std::string longest(kMaxNameBytes + 1, 'i');
  BOOST_TEST(StatusOf("POST", "/v1/instances/" + longest + "/heartbeat", kHeartbeatBody, "instance_id") ==
             400);
}

BOOST_AUTO_TEST_CASE(invalid_bodies) {
  for (std::size_t size = 0; size < kHeartbeatBody.size(); ++size) {
    BOOST_TEST(StatusOf("POST", kHeartbeatPath, kHeartbeatBody.substr(0, size)) == 400, size);
  }
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, kHeartbeatBody + "}") == 400);
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, std::string(1, '\0') + kHeartbeatBody) == 400);
  for (const char* body : {"[]", "null", "1", "\"a\"", "{", "\xff\xfe"}) {
    BOOST_TEST(StatusOf("POST", kHeartbeatPath, body) == 400, body);
  }
  const auto padded = [](std::size_t size) {
    return kHeartbeatBody + std::string(size - kHeartbeatBody.size(), ' ');
  };
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, padded(kMaxHeartbeatBytes)) == 200);
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, padded(kMaxHeartbeatBytes + 1)) == 413);
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, padded(1024 * 1024)) == 413);
  BOOST_TEST(StatusOf("POST", "/v1/instances/a/deregister", std::string(1024 * 1024, 'a')) == 413);
}

BOOST_AUTO_TEST_CASE(nesting) {
  const auto nested = [](int depth) {
    return With(kHeartbeatBody, R"({"address")",
                R"({"x":)" + std::string(depth, '[') + std::string(depth, ']') + R"(,"address")");
  };
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, nested(kMaxJsonDepth - 1)) == 200);
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, nested(kMaxJsonDepth)) == 400);
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, nested(8000)) == 400);
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, std::string(10'000, '[')) == 400);
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, std::string(10'000, '[') + std::string(10'000, ']')) == 413);
  const auto quoted =
      With(kHeartbeatBody, R"({"address")", R"({"x":"\")" + std::string(50, '[') + R"(","address")");
  BOOST_TEST(StatusOf("POST", kHeartbeatPath, quoted) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(merging)

// All orders of the reports, each report applied twice, lead to the same state, and the index by service
// agrees with it.
BOOST_AUTO_TEST_CASE(all_orders_converge) {
  using Step = std::function<void(ServiceRegistry&, Time)>;
  const auto heartbeat = [](const std::string& id, std::uint64_t sequence, bool draining,
                            const char* address) {
    return Step(
        [=](ServiceRegistry& d, Time now) { d.Apply(now, MakeHeartbeat(id, sequence, draining, address)); });
  };
  const auto unresponsive_at = [](const std::string& id, std::uint64_t sequence) {
    return Step([=](ServiceRegistry& d, Time now) { d.Merge(now, UnresponsiveEntry(id, sequence)); });
  };
  const auto deregister = [](const std::string& id) {
    return Step([=](ServiceRegistry& d, Time now) { d.Apply(now, Deregistration{id}); });
  };
  const std::vector<std::vector<Step>> sets = {
      {heartbeat("a", 1, false, "10.0.0.1:80"), heartbeat("a", 2, true, "10.0.0.1:80"),
       heartbeat("a", 2, false, "10.0.0.1:80"), unresponsive_at("a", 1), unresponsive_at("a", 2)},
      {heartbeat("a", 1, false, "10.0.0.1:80"), heartbeat("a", 3, false, "10.0.0.1:80"),
       unresponsive_at("a", 2), unresponsive_at("a", 1), heartbeat("a", 2, true, "10.0.0.1:80")},
      {heartbeat("a", 1, false, "10.0.0.1:80"), deregister("a"), heartbeat("a", 3, false, "10.0.0.1:80"),
       unresponsive_at("a", 2), heartbeat("a", 2, true, "10.0.0.1:80")},
      {heartbeat("a", 5, false, "10.0.0.1:80"), heartbeat("a", 5, false, "10.0.0.9:80"),
       heartbeat("a", 0, true, "10.0.0.3:80"), unresponsive_at("a", 5), deregister("b")},
      {heartbeat("a", 1, true, "10.0.0.1:80"), heartbeat("b", 1, false, "10.0.0.2:80"), deregister("b"),
       unresponsive_at("a", 1), heartbeat("a", 4, false, "10.0.0.1:80"),
       heartbeat("b", 2, true, "10.0.0.2:80")},
  };
  for (std::size_t s = 0; s < sets.size(); ++s) {
    std::vector<int> order(sets[s].size());
    std::iota(order.begin(), order.end(), 0);
    std::string first;
    do {
      ServiceRegistry registry;
      HostsByService folded, late;
      for (int i : order) {
        sets[s][i](registry, kStart);
        folded.Update(registry);
      }
      const std::string once = Text(registry);
      if (first.empty()) first = once;
      BOOST_REQUIRE_MESSAGE(once == first, "set " << s << ":\n" << once << "instead of\n" << first);
      late.Update(registry);
      BOOST_REQUIRE_EQUAL(Text(folded), Text(late));
      const auto version = registry.version();
      for (int i : order) sets[s][i](registry, kStart);
      BOOST_REQUIRE_EQUAL(Text(registry), first);
      BOOST_REQUIRE_EQUAL(registry.version(), version);
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

// Two registries that received different reports converge after they exchange all entries.
BOOST_AUTO_TEST_CASE(two_registries_converge) {
  std::mt19937 random(7);
  for (int round = 0; round < 2000; ++round) {
    ServiceRegistry sides[2];
    for (int step = 0; step < 12; ++step) {
      ServiceRegistry& side = sides[random() % 2];
      const std::string id(1, static_cast<char>('a' + random() % 3));
      const std::string address = "10.0.0." + std::to_string(id[0] - 'a' + 1) + ":80";
      const std::uint64_t sequence = random() % 6;
      switch (random() % 6) {
        case 0:
          if (random() % 3 == 0) side.Apply(kStart, Deregistration{id});
          break;
        case 1:
          side.Merge(kStart, UnresponsiveEntry(id, sequence, address));
          break;
        case 2:
          side.Refresh(kStart, id, sequence);
          break;
        default:
          side.Apply(kStart, MakeHeartbeat(id, sequence, random() % 4 == 0, address));
      }
    }
    const auto left = sides[0].All(), right = sides[1].All();
    for (const HostEntry& entry : right) sides[0].Merge(kStart, entry);
    for (const HostEntry& entry : left) sides[1].Merge(kStart, entry);
    BOOST_REQUIRE_EQUAL(Text(sides[0]), Text(sides[1]));
  }
}

BOOST_AUTO_TEST_CASE(changes_are_reported) {
  ServiceRegistry registry;
  BOOST_TEST(registry.Apply(kStart, MakeHeartbeat("a", 1)));
  BOOST_TEST(!registry.Apply(kStart, MakeHeartbeat("a", 1)));
  BOOST_TEST(!registry.Apply(kStart + 1s, MakeHeartbeat("a", 2)));
  BOOST_TEST((registry.Find("a")->last_heard == kStart + 1s));
  BOOST_TEST(registry.version() == 1u);
  BOOST_TEST(registry.Apply(kStart, MakeHeartbeat("a", 3, true)));
  BOOST_TEST(!registry.Apply(kStart, MakeHeartbeat("a", 2)));  // late
  BOOST_TEST(!registry.Apply(kStart, MakeHeartbeat("a", 3)));
  BOOST_TEST((registry.Find("a")->state == HostState::kDraining));
  BOOST_TEST(registry.Apply(kStart, MakeHeartbeat("a", 4)));  // reported by the host
  BOOST_TEST((registry.Find("a")->state == HostState::kReady));
  BOOST_TEST(registry.Apply(kStart, MakeHeartbeat("a", 5, false, "10.0.0.2:80")));
  BOOST_TEST(registry.Apply(kStart, MakeHeartbeat("a", 6, false, "10.0.0.2:80", "t")));
  BOOST_TEST(registry.Apply(kStart, Deregistration{"a"}));
  BOOST_TEST(!registry.Apply(kStart, Deregistration{"a"}));
  BOOST_TEST(!registry.Apply(kStart, MakeHeartbeat("a", 99)));
  BOOST_TEST(registry.Find("a")->removed());
  int listed = 0;
  registry.ForEachHostOf("s", [&](const HostEntry&) { ++listed; });
  BOOST_TEST(listed == 0);
}

BOOST_AUTO_TEST_CASE(unresponsive_host_is_removed_and_purged) {
  ServiceRegistry registry;
  registry.Apply(kStart, MakeHeartbeat("a", 7));
  registry.MarkUnresponsive(kStart + 5s, 5s);
  registry.PurgeExpired(kStart + 5s + kUnresponsiveRetention);
  BOOST_REQUIRE(registry.Find("a")->removed());
  const Time removed = kStart + 5s + kUnresponsiveRetention;
  registry.PurgeExpired(removed + 59s);
  BOOST_REQUIRE(registry.Find("a"));
  HostEntry reported = *registry.Find("a");
  registry.PurgeExpired(removed + 60s);
  BOOST_TEST(!registry.Find("a"));
  BOOST_TEST(!registry.Merge(removed + 61s, reported));  // reported by a gateway that still lists it
  BOOST_TEST(!registry.Find("a"));
}

// Guards against a process that was stopped while a host deregistered and was purged, and that then reports
// the host as present.
BOOST_AUTO_TEST_CASE(departure_is_kept_until_every_claim_is_stale) {
  ServiceRegistry registry, returning;
  registry.Apply(kStart, MakeHeartbeat("a", 7));
  returning.Merge(kStart, *registry.Find("a"));
  registry.Apply(kStart, Deregistration{"a"});
  registry.Apply(kStart, Deregistration{"unheard"});  // before any of its heartbeats
  BOOST_TEST(!registry.Apply(kStart + 59s, MakeHeartbeat("unheard", 7, false, "10.0.0.5:80")));
  const HostEntry claim = *returning.Find("a");
  for (const auto later : {75s, 600s}) {  // departures are not purged by time alone
    registry.PurgeExpired(kStart + later);
    BOOST_TEST(!registry.Merge(kStart + later, claim));
    BOOST_TEST(registry.Find("a")->deregistered);
    BOOST_TEST(registry.Find("unheard")->deregistered);
  }
  registry.ConfirmDepartures(kStart + kMaxCallDelay - 1s);
  BOOST_TEST(registry.Find("a")->departure_watermark == 0U);  // a heartbeat may still be in flight
  registry.RaiseWatermark(3);
  registry.ConfirmDepartures(kStart + kMaxCallDelay);
  BOOST_TEST(registry.Find("a")->departure_watermark == 3U);
  registry.RaiseWatermark(3 + kDeparturePurgePeriods - 1);
  registry.PurgeExpired(kStart + 700s);
  BOOST_TEST(registry.Find("a"));
  const HostEntry kept = *registry.Find("a");
  registry.RaiseWatermark(3 + kDeparturePurgePeriods);
  registry.PurgeExpired(kStart + 700s);
  BOOST_TEST(!registry.Find("a"));
  HostEntry latest = claim;
  latest.stamp = 3 + 1;  // the highest stamp of a claim
  for (const HostEntry& old : {claim, latest}) {
    BOOST_TEST(!registry.Merge(kStart + 701s, old));
    BOOST_TEST(!registry.Find("a"));
  }
  BOOST_TEST(!registry.Merge(kStart + 701s, kept));  // the departure does not circulate for ever
  BOOST_TEST(!registry.Find("a"));
  latest.stamp = 3 + kDeparturePurgePeriods - kClaimValidPeriods;  // received since
  latest.id = "b";
  BOOST_TEST(registry.Merge(kStart + 701s, latest));
}

// A process that was stopped drops its own stale entries as soon as it learns the current watermark.
BOOST_AUTO_TEST_CASE(entries_without_recent_heartbeat_are_dropped) {
  ServiceRegistry registry;
  HostsByService view;
  registry.Apply(kStart, MakeHeartbeat("old", 1));
  registry.Apply(kStart, MakeHeartbeat("beats", 1, false, "10.0.0.2:80"));
  registry.Apply(kStart, MakeHeartbeat("draining", 1, true, "10.0.0.3:80"));
  registry.Apply(kStart, Deregistration{"left"});
  view.Update(registry);
  registry.RaiseWatermark(1 + kClaimValidPeriods);
  BOOST_TEST(registry.size() == 4U);
  registry.Apply(kStart, MakeHeartbeat("beats", 2, false, "10.0.0.2:80"));
  BOOST_TEST(registry.Find("beats")->stamp == 1 + kClaimValidPeriods);
  registry.RaiseWatermark(2 + kClaimValidPeriods);
  BOOST_TEST(!registry.Find("old"));
  BOOST_TEST(registry.Find("beats"));
  BOOST_TEST(registry.Find("draining"));
  BOOST_TEST(registry.Find("left"));
  view.Update(registry);
  BOOST_TEST(view.HostsOf("s").size() == 2U);
  registry.RaiseWatermark(1);  // it only rises
  BOOST_TEST(registry.watermark() == 2 + kClaimValidPeriods);
}

// Heartbeats without changes are not forwarded to other gateways; confirmation of the list by a majority
// keeps their entries fresh instead.
BOOST_AUTO_TEST_CASE(confirmed_entries_count_as_recent) {
  ServiceRegistry registry;
  registry.Apply(kStart, MakeHeartbeat("a", 1));
  registry.RaiseWatermark(1 + kClaimValidPeriods);
  registry.ConfirmHosts(1 + kClaimValidPeriods);
  BOOST_TEST(registry.All().at(0).stamp == 1 + kClaimValidPeriods);
  registry.RaiseWatermark(1 + 2 * kClaimValidPeriods);
  BOOST_TEST(registry.Find("a"));
  registry.ConfirmHosts(1000);  // capped at the local watermark
  BOOST_TEST(registry.All().at(0).stamp == 1 + 2 * kClaimValidPeriods);
  registry.RaiseWatermark(2 + 3 * kClaimValidPeriods);
  BOOST_TEST(!registry.Find("a"));
}

BOOST_AUTO_TEST_CASE(unresponsive_draining_host_is_purged_like_a_deregistered_one) {
  ServiceRegistry registry;
  registry.Apply(kStart, MakeHeartbeat("a", 1, true));
  registry.MarkUnresponsive(kStart + 6s, 5s);
  registry.PurgeExpired(kStart + 6s + kUnresponsiveRetention);
  BOOST_REQUIRE(registry.Find("a")->removed());
  registry.PurgeExpired(kStart + 900s);
  BOOST_TEST(registry.Find("a"));
  registry.ConfirmDepartures(kStart + 900s);
  registry.RaiseWatermark(1 + kDeparturePurgePeriods);
  registry.PurgeExpired(kStart + 901s);
  BOOST_TEST(!registry.Find("a"));
}

BOOST_AUTO_TEST_CASE(unresponsive_hosts) {
  ServiceRegistry registry;
  registry.Apply(kStart, MakeHeartbeat("a", 1));
  registry.Apply(kStart + 3s, MakeHeartbeat("b", 1, false, "10.0.0.2:80"));
  BOOST_TEST(registry.MarkUnresponsive(kStart + 4s, 5s).empty());
  const auto newly_unresponsive = registry.MarkUnresponsive(kStart + 5s, 5s);
  BOOST_REQUIRE_EQUAL(newly_unresponsive.size(), 1u);
  BOOST_TEST(newly_unresponsive[0].id == "a");
  BOOST_TEST(newly_unresponsive[0].unresponsive);
  BOOST_TEST(registry.MarkUnresponsive(kStart + 5s, 5s).empty());
  BOOST_TEST(!registry.Apply(kStart + 6s, MakeHeartbeat("a", 1)));  // repeated
  BOOST_TEST(registry.Find("a")->unresponsive);
  BOOST_TEST(registry.Apply(kStart + 6s, MakeHeartbeat("a", 2)));
  BOOST_TEST(!registry.Find("a")->unresponsive);
  BOOST_TEST(!registry.Merge(kStart + 6s, newly_unresponsive[0]));  // late report
  BOOST_TEST(!registry.Find("a")->unresponsive);
  registry.MarkUnresponsive(kStart + 20s, 5s);
  BOOST_TEST((registry.Refresh(kStart + 21s, "a", 3) == ServiceRegistry::RefreshResult::kChanged));
  BOOST_TEST((registry.Refresh(kStart + 21s, "a", 4) == ServiceRegistry::RefreshResult::kUnchanged));
  BOOST_TEST((registry.Refresh(kStart + 21s, "c", 4) == ServiceRegistry::RefreshResult::kUnknown));
  registry.PurgeExpired(kStart + 139s);
  BOOST_TEST(!registry.Find("b")->removed());
  registry.PurgeExpired(kStart + 140s);
  BOOST_TEST(registry.Find("b")->removed());
  BOOST_TEST(
      registry.Apply(kStart + 150s, MakeHeartbeat("b", 2, false, "10.0.0.2:80")));  // it was only cut off
  BOOST_TEST(!registry.Find("b")->removed());
}

// The gateway that forwards a refresh knows of the draining; this registry learns of it later.
BOOST_AUTO_TEST_CASE(refresh_does_not_overtake_reported_details) {
  ServiceRegistry registry;
  registry.Apply(kStart, MakeHeartbeat("a", 4));
  registry.Refresh(kStart, "a", 6);
  BOOST_TEST(registry.Apply(kStart, MakeHeartbeat("a", 5, true)));
  BOOST_TEST((registry.Find("a")->state == HostState::kDraining));
  BOOST_TEST(registry.Find("a")->sequence == 6u);
}

BOOST_AUTO_TEST_CASE(address_moves_to_another_service) {
  ServiceRegistry registry;
  HostsByService view;
  registry.Apply(kStart, MakeHeartbeat("a", 9));
  view.Update(registry);
  BOOST_TEST(view.HostsOf("s").size() == 1u);
  BOOST_TEST(registry.Apply(kStart + 5s, MakeHeartbeat("b", 1, false, "10.0.0.1:80", "t")));
  BOOST_TEST(registry.Find("a")->removed());
  BOOST_TEST(registry.FindByAddress("10.0.0.1:80")->id == "b");
  view.Update(registry);
  BOOST_TEST(view.HostsOf("s").empty());
  BOOST_TEST(view.HostsOf("t").size() == 1u);
  BOOST_TEST(!registry.Apply(kStart + 6s, MakeHeartbeat("a", 9)));  // late
  BOOST_TEST(!registry.Apply(kStart + 6s, MakeHeartbeat("a", 8)));
  BOOST_TEST(registry.Find("a")->removed());
  // An unresponsive host that is reported does not take over the address.
  BOOST_TEST(registry.Merge(kStart + 7s, UnresponsiveEntry("c", 3)));
  BOOST_TEST(registry.Find("c")->removed());
  BOOST_TEST(registry.FindByAddress("10.0.0.1:80")->id == "b");
  // A host reported out of order does, until the next heartbeat of the actual owner.
  ServiceRegistry old;
  old.Apply(kStart, MakeHeartbeat("d", 3));
  BOOST_TEST(registry.Merge(kStart + 7s, *old.Find("d")));
  BOOST_TEST(registry.Find("b")->removed());
  BOOST_TEST(registry.Apply(kStart + 8s, MakeHeartbeat("b", 2, false, "10.0.0.1:80", "t")));
  BOOST_TEST(registry.FindByAddress("10.0.0.1:80")->id == "b");
  BOOST_TEST(registry.Find("d")->removed());
}

BOOST_AUTO_TEST_CASE(warm_up) {
  ServiceRegistry registry;
  Heartbeat heartbeat = MakeHeartbeat("a", 1);
  heartbeat.warmup_left = 3s;
  registry.Apply(kStart, heartbeat);
  BOOST_TEST((registry.Find("a")->warm_at == kStart + 3s));
  heartbeat.warmup_left = 9s;  // late
  heartbeat.sequence = 0;
  registry.Apply(kStart + 1s, heartbeat);
  BOOST_TEST((registry.Find("a")->warm_at == kStart + 3s));
}

BOOST_AUTO_TEST_CASE(bounds) {
  ServiceRegistry registry;
  HostsByService view;
  const auto nth = [](std::size_t i) {
    return MakeHeartbeat("i" + std::to_string(i), 1, false,
                         "10." + std::to_string(i / 60000) + ".0.1:" + std::to_string(1 + i % 60000));
  };
  for (std::size_t i = 0; i < kMaxEntries; ++i) registry.Apply(kStart + 1s * i, nth(i));
  BOOST_TEST(registry.size() == kMaxEntries);
  BOOST_TEST(!registry.Apply(kStart, nth(kMaxEntries)));
  BOOST_TEST(!registry.Apply(kStart, Deregistration{"x"}));
  BOOST_TEST(registry.refused() == 2u);
  view.Update(registry);  // the journal no longer contains all changes
  BOOST_TEST(view.HostsOf("s").size() == kMaxEntries);

  const Time later = kStart + 1s * kMaxEntries;
  registry.MarkUnresponsive(later, 1s * (kMaxEntries - 3));  // the first four
  registry.Apply(later, Deregistration{"i7"});
  const auto known_of_first_four = [&] {
    int known = 0;
    for (const char* id : {"i0", "i1", "i2", "i3"}) known += registry.Find(id) != nullptr ? 1 : 0;
    return known;
  };
  BOOST_TEST(!registry.Apply(later, Deregistration{"x"}));  // does not evict hosts that may return
  BOOST_TEST(registry.Apply(later, nth(kMaxEntries)));
  BOOST_TEST(registry.Apply(later, nth(kMaxEntries + 1)));
  BOOST_TEST(known_of_first_four() == 2);                 // ready hosts evict unresponsive ones
  registry.PurgeExpired(later + kUnresponsiveRetention);  // the other two are removed without deregistration
  BOOST_TEST(registry.Apply(later, Deregistration{"y"}));
  BOOST_TEST(known_of_first_four() == 1);
  BOOST_TEST(registry.Apply(later, nth(kMaxEntries + 2)));
  BOOST_TEST(known_of_first_four() == 0);
  BOOST_TEST(!registry.Apply(later, nth(kMaxEntries + 3)));
  BOOST_TEST(!registry.Apply(later, Deregistration{"x"}));
  BOOST_TEST(registry.Find("i7")->deregistered);  // departures are never evicted
  BOOST_TEST(registry.Find("y")->deregistered);
  BOOST_TEST(registry.size() == kMaxEntries);
  view.Update(registry);
  HostsByService fresh;
  fresh.Update(registry);
  BOOST_TEST((Text(view) == Text(fresh)));
}

BOOST_AUTO_TEST_CASE(journal) {
  Journal<int> journal(3);
  BOOST_TEST(journal.Since(0)->empty());
  BOOST_TEST(!journal.Since(1));
  for (int i = 1; i <= 5; ++i) BOOST_TEST(journal.Append(i) == static_cast<std::uint64_t>(i));
  BOOST_TEST(!journal.Since(1));
  BOOST_TEST(journal.Since(2)->size() == 3u);
  BOOST_TEST(journal.Since(2)->front() == 3);
  BOOST_TEST(journal.Since(5)->empty());
  BOOST_TEST(!journal.Since(6));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(codec)

namespace {

void Sample(ServiceRegistry& registry) {
  registry.RaiseWatermark(5);
  Heartbeat heartbeat = MakeHeartbeat("a", 700, false, "10.0.0.1:8080");
  heartbeat.warmup_left = 2500ms;
  registry.Apply(kStart, heartbeat);
  registry.Apply(kStart, MakeHeartbeat("b", 3, true, "10.0.0.2:8080", "t"));
  registry.Apply(kStart, MakeHeartbeat("c", kMaxSequence, false, "10.0.0.3:8080"));
  registry.Merge(kStart, UnresponsiveEntry("d", 5));
  registry.Apply(kStart, Deregistration{"c"});
  registry.Apply(kStart, Deregistration{"e"});
  registry.Refresh(kStart, "b", 8);
  registry.ConfirmDepartures(kStart + 1h);
}

}  // namespace

BOOST_AUTO_TEST_CASE(round_trip) {
  ServiceRegistry registry;
  Sample(registry);
  const Time there = Time{} + 7h;  // clock of another machine
  const auto entries = Decode(Encode(registry.All(), kStart + 1s), there);
  BOOST_REQUIRE(entries);
  ServiceRegistry copy;
  for (const HostEntry& entry : *entries) BOOST_TEST(copy.Merge(there, entry));
  BOOST_TEST(Text(copy) == Text(registry));
  BOOST_TEST(copy.Find("a")->stamp == 5U);
  BOOST_TEST(copy.Find("e")->departure_watermark == 5U);
  BOOST_TEST(copy.Find("c")->departure_watermark == 5U);
  BOOST_TEST((copy.Find("a")->warm_at == there + 1500ms));
  BOOST_TEST((copy.Find("a")->last_heard == there));
  BOOST_TEST((copy.Find("e")->unavailable_since == there - 1s));
  BOOST_TEST(Decode(Encode({}, kStart), kStart)->empty());
}

BOOST_AUTO_TEST_CASE(the_largest_batch) {
  std::vector<HostEntry> entries(kMaxEntries + 1);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    HostEntry& entry = entries[i];
    entry.id = std::to_string(i);
    entry.id.resize(kMaxNameBytes, 'i');
    entry.service = entry.zone = std::string(kMaxNameBytes, 's');
    entry.address = "255.255.255.255:65535";
    entry.slots = kMaxSlots;
    entry.sequence = entry.details_sequence = kMaxSequence;
    entry.warm_at = kStart + 24h;
  }
  const std::string bytes = Encode(entries, kStart);
  BOOST_TEST(bytes.size() <= kMaxBatchBytes);
  const auto decoded = Decode(bytes, kStart);
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->size() == kMaxEntries);
}

BOOST_AUTO_TEST_CASE(truncated_or_malformed) {
  ServiceRegistry registry;
  Sample(registry);
  const std::string bytes = Encode(registry.All(), kStart);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!Decode(std::string_view(bytes).substr(0, size), kStart), size);
  }
  BOOST_TEST(!Decode(bytes + "x", kStart));
  BOOST_TEST(!Decode(std::string(kMaxBatchBytes + 1, '\x91'), kStart));
  BOOST_TEST(!Decode(std::string(1024 * 1024, '\x91'), kStart));  // nested arrays
  using namespace std::string_literals;
  for (const std::string& foreign :
       {"\xdd\xff\xff\xff\xff"s, "\x92\x01\xdd\xff\xff\xff\xff"s, "\x92\x01\xdb\xff\xff\xff\xff"s,
        "\x92\x02\x90"s, "\x92\x01\xc0"s, "\x81\x01\x90"s, "\xc1"s, "GET / HTTP/1.1\r\n\r\n"s,
        "\x92\x01\x91\x90"s, "\x92\xa1\x31\x90"s}) {
    BOOST_TEST(!Decode(foreign, kStart));
  }
  // Randomly changed bytes: nothing is thrown, and decoded entries keep the bounds.
  std::mt19937 random(3);
  for (int i = 0; i < 50'000; ++i) {
    std::string changed = bytes;
    for (int k = 0; k < 3; ++k) changed[random() % changed.size()] = static_cast<char>(random());
    const auto entries = Decode(changed, kStart);
    if (!entries) continue;
    for (const HostEntry& entry : *entries) {
      BOOST_REQUIRE(!entry.id.empty());
      BOOST_REQUIRE(entry.details_sequence <= entry.sequence && entry.sequence <= kMaxSequence);
      BOOST_REQUIRE(entry.slots >= 0 && entry.slots <= kMaxSlots);
      BOOST_REQUIRE(!entry.unresponsive || !entry.removed());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
