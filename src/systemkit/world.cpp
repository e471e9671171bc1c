#include "systemkit/world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace curlewdoor::systemkit {
namespace {

constexpr char kSite[] = "shop.example";
constexpr char kGoldKey[] = "gold4k2key";
constexpr double kStarts_s = 25;  // generous: the machine may be busy
constexpr double kSettles_s = 10;

std::vector<Address> ControlOf(const Machines& machines) {
  std::vector<Address> control;
  for (const int m : machines.all()) control.push_back(machines.control(m));
  return control;
}

// Of a tenant with a limit.
std::string KeyOf(const std::string& tenant) { return tenant + "7key"; }

Clients::Kind OfGold(const char* prefix, double rate, bool repeatable) {
  return {kSite, prefix, "gold", kGoldKey, repeatable, rate, 4, 3000};
}

}  // namespace

LoopOwner::LoopOwner() : loop(ev_loop_new(unsigned{EVBACKEND_EPOLL} | unsigned{EVFLAG_NOENV})) {}
LoopOwner::~LoopOwner() { ev_loop_destroy(loop); }

Clients::Kind Reads(double rate) { return OfGold("/read/", rate, true); }
Clients::Kind Writes(double rate) { return OfGold("/write/", rate, false); }
Clients::Kind Moving(double rate) { return OfGold("/moving/", rate, true); }
Clients::Kind Added(double rate) { return OfGold("/added/", rate, true); }
Clients::Kind Metered(double rate) { return Limited("metered", rate); }
Clients::Kind Limited(const std::string& tenant, double rate) {
  return {kSite, "/read/", tenant, KeyOf(tenant), true, rate, 1, 3000};
}

std::string ConfigText(const ConfigOptions& options) {
  using nlohmann::json;
  const auto route = [&](const std::string& name, const std::string& type, const std::string& service) {
    return json{{"name", name},
                {"path_prefix", "/" + name + "/"},
                {"route_type", type},
                {"timeout_ms", options.timeout_ms},
                {"target_latency_ms", 300},
                {"priority", 1},
                {"service", service},
                {"max_attempts", 3},
                {"public_access", false}};
  };
  const auto service = [](const std::string& name) {
    return json{{"name", name},
                {"health_check", "/health"},
                {"max_connections", 140},
                {"protocol", "h1"},
                {"tls_enabled", false}};
  };
  json routes = {route("read", "idempotent", "first"), route("write", "non_idempotent", "second"),
                 route("moving", "idempotent", options.moving)};
  if (options.added_route) routes.push_back(route("added", "idempotent", "second"));
  const auto limited = [](const ConfigOptions::Limit& limit) {
    return json{{"name", limit.tenant},
                {"api_keys", json::array({KeyOf(limit.tenant)})},
                {"priority", 1},
                {"rate_per_s", limit.rate_per_s},
                {"burst_size", limit.burst_size}};
  };
  json tenants = {json{{"name", "gold"}, {"api_keys", json::array({kGoldKey})}, {"priority", 0}},
                  limited({"metered", options.metered_rate, options.metered_burst})};
  for (const ConfigOptions::Limit& limit : options.limits) tenants.push_back(limited(limit));
  const json config = {{"config_version", options.version},
                       {"services", json::array({service("first"), service("second")})},
                       {"limits",
                        {{"max_header_bytes", 16384},
                         {"max_body_bytes", 67108864},
                         {"header_timeout_ms", options.header_timeout_ms},
                         {"idle_timeout_ms", 15000}}},
                       {"tenants", tenants},
                       {"backend_hosts", json::array({json{{"host", kSite}, {"url_paths", routes}}})}};
  return config.dump();
}

World::World(const Machines::Options& options, const Host::Options& like)
    : machines(options),
      relays(options.relayed ? std::make_unique<Relays>(owner.loop, machines.ends(), machines.internal_port())
                             : nullptr),
      pace(owner.loop),
      calls(owner.loop, pace),
      clients(owner.loop, pace, calls, sightings, machines),
      oper(pace, calls, ControlOf(machines)),
      heartbeat_ms_(options.heartbeat_ms),
      like_(like) {}

World::~World() { machines.Kill(machines.all()); }

Host& World::AddHost(const std::string& service, const std::function<void(Host::Options&)>& adjust) {
  const auto number = static_cast<int>(hosts.size());
  Host::Options options = like_;
  options.service = service;
  options.instance = fmt::format("i-{}-{}", service, number);
  options.ip = machines.StandInIp(number);
  options.heartbeat_s = heartbeat_ms_ / 1000.0;
  options.control = ControlOf(machines);
  if (adjust) adjust(options);
  hosts.push_back(std::make_unique<Host>(owner.loop, pace, calls, sightings, std::move(options)));
  return *hosts.back();
}

bool World::Start(const ConfigOptions& first) {
  for (const int m : machines.all()) machines.Start(m, true);
  for (const char* service : {"first", "first", "second", "second"}) AddHost(service);
  oper.Replace(first.version, ConfigText(first));
  if (!Until(
          [&] {
            return oper.Acknowledged(first.version) && clients.in() == machines.count() &&
                   std::all_of(hosts.begin(), hosts.end(), [](auto& host) { return host->acknowledged(); });
          },
          kStarts_s))
    return false;
  // Known everywhere: each gateway has had each service answer.
  const auto served = [this](const char* prefix, int gateway) {
    const auto& tries = sightings.tries();
    return std::any_of(tries.begin(), tries.end(), [&](const Try& one) {
      return one.gateway == gateway && one.target.starts_with(prefix) && one.answer.good();
    });
  };
  double asked = -1;
  const bool known = Until(
      [&] {
        bool all = true;
        const bool ask = pace.Now() - asked > 0.2;
        if (ask) asked = pace.Now();
        for (const int m : machines.all())
          for (const auto& kind : {Reads(0), Writes(0)}) {
            if (served(kind.prefix.c_str(), m)) continue;
            all = false;
            if (ask) clients.AskAt(kind, m);
          }
        return all;
      },
      kStarts_s);
  const bool settled = Settle();
  clients.Forget();
  return known && settled;
}

bool World::Until(const std::function<bool()>& done, double within_s) {
  const double ends = pace.Now() + within_s;
  while (!done()) {
    if (pace.Now() >= ends) return false;
    OpenRelays();
    ev_run(owner.loop, EVRUN_ONCE);
  }
  return true;
}

void World::OpenRelays() {
  if (relays == nullptr) return;
  for (int m = 0; m < machines.count(); ++m) relays->SetOpen(m, machines.Running(m));
}

bool World::Settle() {
  clients.Stop();
  return Until([this] { return clients.open() == 0; }, kSettles_s);
}

}  // namespace curlewdoor::systemkit
