// A rehearsal as its file tells it (rehearsals/*.toml): fleet, plans, load, length and the faults to come.
// Read, checked as a whole and given defaults here, and nowhere else. docs/operators/rehearsal.md lists every
// key.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "logic.hpp"
#include "standin/counter.hpp"
#include "standin/crowd.hpp"
#include "standin/node.hpp"

namespace curlewdoor::rehearsal {

struct Range {
  double low = 0, high = 0;
};

struct Fleet {
  int nodes = 9;
  int zones = 2;
  standin::NodeKind kind;  // its speed is drawn for each node
  Range speed{0.9, 1.1};
};

struct ClassPlan {
  standin::CrowdClass asked;
  standin::WorkClass work;
};

struct TariffPlan {
  standin::CrowdPlan crowd;
  double price = 1;
  double ceiling_rate = 0, ceiling_burst = 0, ceiling_slack = 0;  // 0: no ceiling
};

enum class LoadShape { kSteady, kRamp, kMatch };

struct Load {
  // What is asked inside quotas over what the fleet can do. When given, all quotas, ceilings and demands are
  // multiplied by the one factor that makes it so.
  std::optional<double> of_capacity;
  LoadShape shape = LoadShape::kSteady;
};

struct Network {
  Duration same = std::chrono::microseconds(200);    // one way, within a zone
  Duration cross = std::chrono::microseconds(1500);  // and between two
  Duration client = std::chrono::microseconds(800);
  double jitter = 0.2;  // part by which a way varies
};

enum class FaultKind {
  kBurst,
  kNodeSlow,
  kNodeStall,
  kNodeSilent,
  kNodeErrors,
  kNodeSpoilt,
  kNodeResets,
  kNodeDie,
  kNodeRestart,
  kNodeReborn,
  kNodeDrain,
  kNodeReplace,
  kCounterSilent,
  kCounterSlow,
  kCounterLose,
  kCounterReplace,
  kCounterSplit,
  kCounterNoNumber,
  kDiscoverySilent,
  kDiscoveryLate,
  kDiscoveryStale,
  kDiscoveryMove,
  kGatewayKill,
  kGatewayRestart,
  kGatewayReload,
  kNetworkSlow,
  kNetworkLoss,
  kNetworkCut
};

enum class Target { kClients, kNode, kCounter, kDiscovery, kGateway, kNetwork };

struct FaultWord {
  FaultKind kind;
  std::string_view word;
  Target target;
  bool lasts;             // takes `for`
  std::string_view size;  // what `size` means; empty: takes none
  double least = 0, most = 0;
  std::string_view does;
};
// Every kind of fault, for checks, help and reports.
const std::vector<FaultWord>& FaultWords();
const FaultWord& WordOf(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::kBurst;
  double at = 0, lasts = 0;        // seconds
  double part = 0;                 // of the nodes or gateways, chosen by the seed
  std::vector<std::string> names;  // or these: "node-1", "gateway-0"
  double size = 0;
  double every = 0;  // seconds from one target to the next
};

struct Scenario {
  std::string name, shows;
  std::uint64_t seed = 1;
  double length_s = 30;
  int gateways = 3;
  int sockets = 1024;  // descriptors of a gateway
  Fleet fleet;
  std::vector<ClassPlan> classes;
  std::vector<TariffPlan> plans;
  Load load;
  standin::CrowdHabits habits;
  Network network;
  standin::CounterKind counter;
  bool has_counter = true;
  Duration counter_timeout = std::chrono::milliseconds(30);
  Duration presence_slot{};  // zero: gateways do not count one another
  Range discovery_late_s{0.3, 1.5};
  Duration drain_grace = std::chrono::milliseconds(500);
  std::vector<Fault> faults;

  // Requests a second that the fleet can do of the classes' mix at speed 1 each.
  double Capacity() const;
  // The most by which faults of kind `burst` may multiply demand at one time.
  double MostBurst() const;
  // Demand at a time as a factor, and its highest value.
  double ShapeAt(double seconds) const;
};

// On nullopt, `error` names file, line and key, and says what was expected.
std::optional<Scenario> LoadScenario(const std::string& path, std::string& error);
std::optional<Scenario> ParseScenario(std::string_view text, const std::string& path, std::string& error);

struct GatewayAddresses {
  std::string listen, discovery, counter;
};
// The configuration of one gateway as `curlewdoor serve` reads it. `known`: the list of nodes at the start.
nlohmann::json GatewayConfig(const Scenario& scenario, int gateway, std::uint64_t seed,
                             const GatewayAddresses& addresses, const nlohmann::json& known);

std::string NodeName(int index);
std::string ZoneName(int zone);
std::string GatewayName(int index);
inline std::uint64_t GatewaySeed(std::uint64_t seed, int gateway, int life) {
  return StableHash("gateway", seed + 1000 * static_cast<std::uint64_t>(gateway) +
                                   static_cast<std::uint64_t>(life) * 1'000'000);
}

}  // namespace curlewdoor::rehearsal
