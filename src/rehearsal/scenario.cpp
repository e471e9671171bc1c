#include "rehearsal/scenario.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "rehearsal/toml_table.hpp"

namespace curlewdoor::rehearsal {
namespace {

using nlohmann::json;
using standin::FromSeconds;
using standin::Seconds;

constexpr double kLongest = 3600;  // seconds of one rehearsal
constexpr int kMostGateways = 1000, kMostNodes = 5000, kMostCustomers = 1'000'000;

constexpr double kMs = 1e-3, kUs = 1e-6;

void ReadFleet(Table table, Fleet& fleet) {
  standin::NodeKind& kind = fleet.kind;
  fleet.nodes = table.Whole("nodes", fleet.nodes, 1, kMostNodes);
  fleet.zones = table.Whole("zones", fleet.zones, 1, 16);
  fleet.speed = table.Between("speed", fleet.speed, 0.01, 100);
  kind.cores = table.Whole("cores", kind.cores, 1, 1024);
  kind.slots_per_core = table.Whole("slots_per_core", kind.slots_per_core, 1, 10'000);
  kind.queue_per_core = table.Whole("queue_per_core", kind.queue_per_core, 0, 100'000);
  kind.thrash = table.Number("thrash", kind.thrash, 0, 10);
  kind.thrash_at = table.Number("thrash_at", kind.thrash_at, 1, 10'000);
  kind.cold_from = table.Number("cold_from", kind.cold_from, 0.01, 1);
  kind.cold_time = table.Time("cold_s", 1, kind.cold_time, 0.1, kLongest);
  kind.fall_multiple = table.Number("fall_multiple", kind.fall_multiple, 1, 100);
  kind.fall_time = table.Time("fall_s", 1, kind.fall_time, 0.1, 60);
  kind.connections = table.Whole("connections", kind.connections, 1, 1'000'000);
  kind.handshake = table.Time("handshake_us", kUs, kind.handshake, 0, 1e6);
  kind.error_rate = table.Number("error_rate", kind.error_rate, 0, 1);
  table.RefuseOthers();
}

ClassPlan ReadClass(Table& table) {
  ClassPlan plan;
  plan.asked.name = table.Text("name", "");
  if (plan.asked.name.empty() || plan.asked.name.find_first_of("/?# ") != std::string::npos)
    table.Fail("name", "must be given, with no space or /?#");
  plan.asked.share = table.Number("share", 1, 1e-6, 1e6);
  plan.asked.aim = table.Time("aim_ms", kMs, std::chrono::milliseconds(400), 1, 600'000);
  plan.asked.deadline = table.Time("deadline_ms", kMs, std::chrono::milliseconds(1500), 1, 600'000);
  if (plan.asked.deadline < plan.asked.aim) table.Fail("deadline_ms", "is below aim_ms");
  plan.asked.worth = table.Number("worth", 1, 0, 1e6);
  plan.asked.late_worth = table.Number("late_worth", 0, 0, 1e6);
  plan.asked.repeat = table.Word("repeat", RepeatSafety::kSafe,
                                 std::array<std::pair<std::string_view, RepeatSafety>, 2>{
                                     {{"safe", RepeatSafety::kSafe}, {"unsafe", RepeatSafety::kUnsafe}}});
  plan.work.mean = table.Time("work_ms", kMs, std::chrono::milliseconds(50), 0.001, 600'000);
  plan.work.cv = table.Number("work_cv", plan.work.cv, 0, 10);
  plan.work.times = table.Word("work_times", plan.work.times,
                               std::array<std::pair<std::string_view, standin::WorkTimes>, 2>{
                                   {{"lognormal", standin::WorkTimes::kLognormal},
                                    {"exponential", standin::WorkTimes::kExponential}}});
  table.RefuseOthers();
  return plan;
}

TariffPlan ReadPlan(Table& table, int gateways) {
  TariffPlan plan;
  standin::CrowdPlan& crowd = plan.crowd;
  crowd.name = table.Text("name", "");
  if (crowd.name.empty() || crowd.name.find(' ') != std::string::npos)
    table.Fail("name", "must be given, with no space");
  if (!table.Has("customers"))
    table.Fail("customers", "is missing: a plan that no customer has plays no part");
  crowd.customers = table.Whole("customers", 1, 1, kMostCustomers);
  crowd.rate = table.Number("rate", 0, 0, 1e9);
  crowd.burst = table.Number("burst", 2 * crowd.rate, 0, 1e9);
  if (crowd.rate > 0 && crowd.burst <= 0) table.Fail("burst", "is 0 beside a rate");
  if (crowd.rate <= 0 && !table.Has("asks")) table.Fail("asks", "is missing, and there is no rate to go by");
  crowd.asks = table.Number("asks", 0.6 * crowd.rate, 0, 1e9);
  crowd.demand = table.Word(
      "demand", standin::Demand::kCalm,
      std::array<std::pair<std::string_view, standin::Demand>, 3>{{{"calm", standin::Demand::kCalm},
                                                                   {"heavy", standin::Demand::kHeavy},
                                                                   {"spiky", standin::Demand::kSpiky}}});
  if (crowd.demand == standin::Demand::kHeavy && !table.Has("asks")) crowd.asks = 2 * crowd.rate;
  crowd.spikes = table.Number("spikes", crowd.spikes, 1, 5);
  crowd.spread = table.Whole("spread", gateways, 1, kMostGateways);
  crowd.skew = table.Number("skew", 0, 0, 1);
  crowd.most_units = table.Whole("most_units", 1, 1, 1000);
  plan.price = table.Number("price", 1, 0, 1e6);
  plan.ceiling_rate = table.Number("ceiling_rate", 0, 0, 1e9);
  plan.ceiling_burst = table.Number("ceiling_burst", plan.ceiling_rate, 0, 1e9);
  plan.ceiling_slack = table.Number("ceiling_slack", 0.1 * plan.ceiling_burst, 0, 1e9);
  if (plan.ceiling_rate > 0 && plan.ceiling_burst < crowd.most_units)
    table.Fail("ceiling_burst", "is below the largest request");
  table.RefuseOthers();
  return plan;
}

void CheckTargets(Table& table, const Fault& fault, const FaultWord& word, const Scenario& scenario) {
  const bool of_nodes = word.target == Target::kNode;
  const bool many = of_nodes || word.target == Target::kGateway || word.target == Target::kNetwork;
  if (!many && table.Has("part")) return table.Fail("part", fmt::format("is not for {}", word.word));
  if (!many && table.Has("names")) return table.Fail("names", fmt::format("is not for {}", word.word));
  if (many && table.Has("part") == table.Has("names"))
    return table.Fail("part", "or names must be given, and not both");
  for (const std::string& name : fault.names) {
    const int count = of_nodes ? scenario.fleet.nodes : scenario.gateways;
    bool found = false;
    for (int i = 0; i < count && !found; ++i) found = name == (of_nodes ? NodeName(i) : GatewayName(i));
    if (!found)
      return table.Fail("names", fmt::format("has \"{}\", and there are {} to {}", name,
                                             of_nodes ? NodeName(0) : GatewayName(0),
                                             of_nodes ? NodeName(count - 1) : GatewayName(count - 1)));
  }
}

Fault ReadFault(Table& table, const Scenario& scenario) {
  Fault fault;
  const std::string text = table.Text("kind", "");
  const auto& words = FaultWords();
  const auto word =
      std::find_if(words.begin(), words.end(), [&](const FaultWord& w) { return w.word == text; });
  if (word == words.end()) {
    std::string names;
    for (const FaultWord& each : words) names += (names.empty() ? "" : ", ") + std::string(each.word);
    table.Fail("kind", fmt::format("is \"{}\", and must be one of {}", text, names));
    return fault;
  }
  fault.kind = word->kind;
  if (!table.Has("at")) table.Fail("at", "is missing");
  fault.at = table.Number("at", 0, 0, kLongest);
  if (fault.at >= scenario.length_s)
    table.Fail("at", fmt::format("is {}, after the end at {}", fault.at, scenario.length_s));
  if (word->lasts && !table.Has("for")) table.Fail("for", "is missing");
  if (!word->lasts && table.Has("for"))
    table.Fail("for", fmt::format("is not for {}: it is over at once", text));
  fault.lasts = table.Number("for", 0, 0.001, kLongest);
  if (word->size.empty() && table.Has("size")) table.Fail("size", fmt::format("is not for {}", text));
  if (!word->size.empty() && !table.Has("size"))
    table.Fail("size", fmt::format("is missing: {}", word->size));
  fault.size = table.Number("size", 0, word->least, word->most);
  fault.part = table.Number("part", 0, 1e-9, 1);
  fault.names = table.Texts("names");
  fault.every = table.Number("every", 0, 0, kLongest);
  CheckTargets(table, fault, *word, scenario);
  table.RefuseOthers();
  return fault;
}

void ReadLoad(Table table, Scenario& scenario) {
  if (table.Has("of_capacity")) scenario.load.of_capacity = table.Number("of_capacity", 1, 0.001, 100);
  scenario.load.shape = table.Word(
      "shape", LoadShape::kSteady,
      std::array<std::pair<std::string_view, LoadShape>, 3>{
          {{"steady", LoadShape::kSteady}, {"ramp", LoadShape::kRamp}, {"match", LoadShape::kMatch}}});
  standin::CrowdHabits& habits = scenario.habits;
  habits.retry_share = table.Number("retry_share", habits.retry_share, 0, 1);
  habits.honour_share = table.Number("honour_share", habits.honour_share, 0, 1);
  habits.most_tries = table.Whole("most_tries", habits.most_tries, 1, 20);
  habits.backoff = table.Time("backoff_ms", kMs, habits.backoff, 1, 60'000);
  table.RefuseOthers();
}

void ReadNetwork(Table table, Network& network) {
  network.same = table.Time("same_ms", kMs, network.same, 0, 10'000);
  network.cross = table.Time("cross_ms", kMs, network.cross, 0, 10'000);
  network.client = table.Time("client_ms", kMs, network.client, 0, 10'000);
  network.jitter = table.Number("jitter", network.jitter, 0, 1);
  table.RefuseOthers();
}

void ReadCounter(Table table, Scenario& scenario) {
  scenario.has_counter = table.Flag("present", true);
  scenario.counter.calls_per_s = table.Number("calls_per_s", scenario.counter.calls_per_s, 1, 1e9);
  scenario.counter.latency = table.Time("latency_ms", kMs, scenario.counter.latency, 0, 10'000);
  scenario.counter_timeout = table.Time("timeout_ms", kMs, scenario.counter_timeout, 1, 60'000);
  scenario.presence_slot = table.Time("presence_slot_ms", kMs, scenario.presence_slot, 0, 60'000);
  table.RefuseOthers();
}

// Quotas, ceilings and demands in the one proportion that makes the load what the file wants.
void ScaleToCapacity(Scenario& scenario) {
  if (!scenario.load.of_capacity) return;
  double inside = 0;  // requests a second within quotas
  for (const TariffPlan& plan : scenario.plans) {
    const double asks = plan.crowd.rate > 0 ? std::min(plan.crowd.asks, plan.crowd.rate) : plan.crowd.asks;
    inside += plan.crowd.customers * asks / standin::MeanUnits(plan.crowd.most_units);
  }
  if (inside <= 0) return;
  const double factor = *scenario.load.of_capacity * scenario.Capacity() / inside;
  for (TariffPlan& plan : scenario.plans) {
    plan.crowd.rate *= factor;
    plan.crowd.asks *= factor;
    plan.crowd.burst = std::max(plan.crowd.burst * factor, plan.crowd.rate > 0 ? plan.crowd.most_units : 0);
    plan.ceiling_rate *= factor;
    plan.ceiling_burst =
        plan.ceiling_rate > 0 ? std::max(plan.ceiling_burst * factor, plan.crowd.most_units) : 0;
    plan.ceiling_slack *= factor;
  }
}

std::optional<Scenario> Read(const toml::table& file, const std::string& path, std::string& error) {
  Scenario scenario;
  Table top(&file, "", path, error);
  scenario.name = top.Text("name", "rehearsal");
  scenario.shows = top.Text("shows", "");
  scenario.seed = static_cast<std::uint64_t>(top.Number("seed", 1, 0, 1e15));
  scenario.length_s = top.Number("length_s", scenario.length_s, 1, kLongest);
  scenario.gateways = top.Whole("gateways", scenario.gateways, 1, kMostGateways);
  scenario.sockets = top.Whole("sockets", scenario.sockets, 128, 1'000'000);
  scenario.drain_grace = top.Time("drain_grace_ms", kMs, scenario.drain_grace, 1, 60'000);
  ReadFleet(top.Inner("fleet"), scenario.fleet);
  ReadLoad(top.Inner("load"), scenario);
  ReadNetwork(top.Inner("network"), scenario.network);
  ReadCounter(top.Inner("counter"), scenario);
  Table discovery = top.Inner("discovery");
  scenario.discovery_late_s = discovery.Between("late_s", scenario.discovery_late_s, 0, 600);
  discovery.RefuseOthers();
  for (Table& table : top.Inners("class")) scenario.classes.push_back(ReadClass(table));
  if (scenario.classes.empty()) top.Fail("class", "is missing: a rehearsal needs a class of request");
  for (Table& table : top.Inners("plan")) scenario.plans.push_back(ReadPlan(table, scenario.gateways));
  if (scenario.plans.empty()) top.Fail("plan", "is missing: a rehearsal needs a plan with customers");
  for (Table& table : top.Inners("fault")) scenario.faults.push_back(ReadFault(table, scenario));
  top.RefuseOthers();
  if (!error.empty()) return std::nullopt;
  ScaleToCapacity(scenario);
  return scenario;
}

const char* EffectWord(RepeatSafety repeat) {
  return repeat == RepeatSafety::kSafe ? "read_like" : "non_idempotent";
}

std::int64_t Ns(Duration duration) { return duration.count(); }

json ClassesJson(const Scenario& scenario) {
  json classes = json::array();
  for (const ClassPlan& plan : scenario.classes)
    classes.push_back({{"name", plan.asked.name},
                       {"aim_ns", Ns(plan.asked.aim)},
                       {"deadline_ns", Ns(plan.asked.deadline)},
                       {"effect", EffectWord(plan.asked.repeat)},
                       {"worth", plan.asked.worth},
                       {"late_worth", plan.asked.late_worth}});
  return classes;
}

json TariffsJson(const Scenario& scenario) {
  json tariffs = json::array();
  for (const TariffPlan& plan : scenario.plans)
    tariffs.push_back({{"name", plan.crowd.name},
                       {"quota_rate", plan.crowd.rate},
                       {"burst", plan.crowd.rate > 0 ? plan.crowd.burst : 0},
                       {"pays", plan.price},
                       {"never_over_rate", plan.ceiling_rate},
                       {"hard_burst", plan.ceiling_burst},
                       {"cap_slack", plan.ceiling_slack},
                       {"excess_cost", 1.0}});
  return tariffs;
}

}  // namespace

const std::vector<FaultWord>& FaultWords() {
  using K = FaultKind;
  using T = Target;
  static const std::vector<FaultWord> words{
      {K::kBurst, "burst", T::kClients, true, "times the usual demand", 0, 20, "all customers ask for more"},
      {K::kNodeSlow, "node_slow", T::kNode, true, "times slower", 1, 1000, "works so many times slower"},
      {K::kNodeStall, "node_stall", T::kNode, true, "", 0, 0, "takes requests and works on none"},
      {K::kNodeSilent, "node_silent", T::kNode, true, "", 0, 0, "is cut off: hears and says nothing"},
      {K::kNodeErrors, "node_errors", T::kNode, true, "part of the answers", 0, 1, "answers 500"},
      {K::kNodeSpoilt, "node_spoilt", T::kNode, true, "part of the answers", 0, 1, "answers what is none"},
      {K::kNodeResets, "node_resets", T::kNode, true, "part of the answers", 0, 1,
       "does the work, then resets"},
      {K::kNodeDie, "node_die", T::kNode, false, "", 0, 0, "dies for good"},
      {K::kNodeRestart, "node_restart", T::kNode, true, "", 0, 0, "dies and returns cold under its id"},
      {K::kNodeReborn, "node_reborn", T::kNode, true, "", 0, 0,
       "dies; a new id returns at its address, cold"},
      {K::kNodeDrain, "node_drain", T::kNode, true, "", 0, 0, "drains, then leaves"},
      {K::kNodeReplace, "node_replace", T::kNode, true, "", 0, 0, "drains and leaves; a new cold one comes"},
      {K::kCounterSilent, "counter_silent", T::kCounter, true, "", 0, 0, "answers nothing, adds nothing"},
      {K::kCounterSlow, "counter_slow", T::kCounter, true, "times slower", 1, 10'000,
       "serves so much slower"},
      {K::kCounterLose, "counter_lose", T::kCounter, false, "part of the counts", 0, 1, "forgets counts"},
      {K::kCounterReplace, "counter_replace", T::kCounter, false, "", 0, 0, "an empty one takes its place"},
      {K::kCounterSplit, "counter_split", T::kCounter, true, "part of the gateways in the second half", 0.001,
       0.999, "two halves that do not see each other"},
      {K::kCounterNoNumber, "counter_no_number", T::kCounter, true, "part of the answers", 0, 1,
       "adds, and answers no number"},
      {K::kDiscoverySilent, "discovery_silent", T::kDiscovery, true, "", 0, 0, "answers nothing"},
      {K::kDiscoveryLate, "discovery_late", T::kDiscovery, true, "seconds later", 0, 600,
       "changes come later"},
      {K::kDiscoveryStale, "discovery_stale", T::kDiscovery, true, "", 0, 0, "tells what was true before"},
      {K::kDiscoveryMove, "discovery_move", T::kDiscovery, false, "", 0, 0,
       "moves to a new address, told by SIGHUP"},
      {K::kGatewayKill, "gateway_kill", T::kGateway, true, "", 0, 0, "is killed and starts again empty"},
      {K::kGatewayRestart, "gateway_restart", T::kGateway, true, "", 0, 0, "SIGTERM, drains, starts again"},
      {K::kGatewayReload, "gateway_reload", T::kGateway, false, "", 0, 0, "SIGHUP"},
      {K::kNetworkSlow, "network_slow", T::kNetwork, true, "ms more each way", 0, 10'000,
       "between a gateway and all nodes"},
      {K::kNetworkLoss, "network_loss", T::kNetwork, true, "part of what is sent", 0, 1,
       "comes 200 ms later, sent again"},
      {K::kNetworkCut, "network_cut", T::kNetwork, true, "", 0, 0,
       "nothing passes between a gateway and nodes"},
  };
  return words;
}

const FaultWord& WordOf(FaultKind kind) {
  return *std::find_if(FaultWords().begin(), FaultWords().end(),
                       [&](const FaultWord& w) { return w.kind == kind; });
}

std::string NodeName(int index) { return fmt::format("node-{}", index); }
std::string ZoneName(int zone) { return fmt::format("zone-{}", static_cast<char>('a' + zone)); }
std::string GatewayName(int index) { return fmt::format("gateway-{}", index); }

double Scenario::Capacity() const {
  double shares = 0, work = 0;
  for (const ClassPlan& plan : classes) {
    shares += plan.asked.share;
    work += plan.asked.share * Seconds(plan.work.mean);
  }
  const double speed = (fleet.speed.low + fleet.speed.high) / 2;
  return fleet.nodes * fleet.kind.cores * speed * shares / work;
}

double Scenario::MostBurst() const {
  double most = 1;
  for (const Fault& fault : faults)
    if (fault.kind == FaultKind::kBurst) most *= std::max(1.0, fault.size);
  return most;
}

double Scenario::ShapeAt(double seconds) const {
  const double at = seconds / length_s;
  if (load.shape == LoadShape::kRamp) return std::min(1.0, 0.4 + 1.2 * at);
  // A match: readers come, a first half, a break in which everybody looks, a second half, the end.
  if (load.shape == LoadShape::kMatch)
    return at < 0.1 ? 0.6 + 4 * at : at < 0.45 ? 0.9 : at < 0.55 ? 1 : at < 0.9 ? 0.95 : 1;
  return 1;
}

std::optional<Scenario> ParseScenario(std::string_view text, const std::string& path, std::string& error) {
  return ParseWith(&Read, text, path, error);
}

std::optional<Scenario> LoadScenario(const std::string& path, std::string& error) {
  const auto text = ReadText(path, error);
  return text ? ParseScenario(*text, path, error) : std::nullopt;
}

json GatewayConfig(const Scenario& scenario, int gateway, std::uint64_t seed,
                   const GatewayAddresses& addresses, const json& known) {
  const standin::NodeKind& kind = scenario.fleet.kind;
  double most_units = 1;
  for (const TariffPlan& plan : scenario.plans) most_units = std::max(most_units, plan.crowd.most_units);
  json zones = json::array();
  for (int z = 0; z < scenario.fleet.zones; ++z) zones.push_back(ZoneName(z));
  json settings{{"azs", zones},
                {"zone", ZoneName(gateway % scenario.fleet.zones)},
                {"me", gateway},
                {"siblings", scenario.gateways},
                {"discovery", "pushed"},
                {"service_type", "gate"},
                {"domain",
                 {{"has_counter", scenario.has_counter},
                  {"count_wait_ns", Ns(scenario.counter_timeout)},
                  {"largest", most_units}}},
                {"limits",
                 {{"cancel", true},
                  {"max_attempts", 5},
                  {"retry_after", true},
                  {"max_retry_after_ns", Ns(scenario.habits.longest_retry_after)},
                  {"dial_timeout_ns", 250'000'000},
                  {"conn_idle_ns", 15'000'000'000},
                  {"probes", true},
                  {"second_copies", false}}},
                {"rules",
                 {{"answer_slack_ns", 8'000'000},
                  {"drain_grace_ns", Ns(scenario.drain_grace)},
                  {"cold_from", kind.cold_from},
                  {"cold_ns", Ns(kind.cold_time)},
                  {"overload_factor", kind.fall_multiple},
                  {"tip_after_ns", Ns(kind.fall_time)}}},
                {"prices", {{"cross_zone", 0.02}, {"waste", 0.05}, {"probe", 0.01}, {"late_fail", 0.1}}},
                {"goal", {{"whole", 0.65}, {"worst_window", 0.2}, {"worst_tenant", 0.15}}},
                {"request_classes", ClassesJson(scenario)},
                {"tariffs", TariffsJson(scenario)}};
  json config{{"name", GatewayName(gateway)},
              {"listen", addresses.listen},
              {"discovery", addresses.discovery},
              {"seed", fmt::format("{:x}", seed)},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", scenario.sockets}}},
              {"known", known},
              {"settings", settings}};
  if (scenario.presence_slot > Duration::zero())
    config["counting"] = {{"presence_slot_ms", 1e3 * Seconds(scenario.presence_slot)}};
  if (scenario.has_counter) config["counter"] = addresses.counter;
  return config;
}

}  // namespace curlewdoor::rehearsal
