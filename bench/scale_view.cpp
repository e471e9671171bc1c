// What the fleet's view costs a gateway by the size of the fleet: bytes a second in calm, in virtual time, so
// that the machine's load changes nothing. Part of bench/scale.sh.   curlewdoor-scale-view GATEWAYS...
#include <fmt/format.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "fleet/message.hpp"
#include "fleetkit/virtual_fleet.hpp"

namespace curlewdoor::fleetkit {
namespace {

constexpr double kSettle_s = 10, kCalm_s = 20;
constexpr double kExchangeEvery_s = 30;  // 60 periods of 0.5 s: docs/fleet-view.md

Traffic TrafficOf(const Scenario& scenario, double calm_s) {
  VirtualFleet fleet(scenario, 1);
  fleet.Play(calm_s);
  return fleet.traffic();
}

// Of a full exchange, with names and words as long as those of machines are.
std::size_t ExchangeBytes(int gateways) {
  fleet::Message message{fleet::Kind::kExchange};
  for (int g = 0; g < gateways; ++g) {
    fleet::Record record;
    record.name = fmt::format("edge-muenchen-nord-{}", g);
    record.about = "- muenchen-nord";
    record.boot = 1'764'650'000'000;
    record.address = {0x0a010001u + static_cast<std::uint32_t>(g), 7100};
    if (g == 0) message.sender = record;
    if (g > 0) message.rumours.push_back(record);
  }
  return fleet::Encode(message, "curlewdoor").size();
}

void Row(int gateways) {
  std::string error;
  const auto scenario =
      ParseScenario(fmt::format("name = \"calm\"\nshows = \"calm\"\ngateways = {}\nseeds = 3\nwithin_s = 60\n"
                                "[[fault]]\nkind = \"wait\"\nafter_s = 8\n",
                                gateways),
                    "calm", error);
  if (!scenario) throw std::runtime_error(error);
  const Traffic before = TrafficOf(*scenario, kSettle_s), after = TrafficOf(*scenario, kSettle_s + kCalm_s);
  const double datagrams = static_cast<double>(after.datagrams - before.datagrams) / kCalm_s / gateways;
  const double bytes = static_cast<double>(after.bytes - before.bytes) / kCalm_s / gateways;
  const auto exchange = static_cast<double>(ExchangeBytes(gateways));
  // One question of its own, and on average one answer to another's, each all that is known.
  const double exchanges = 2 * exchange / kExchangeEvery_s;
  std::cout << fmt::format("| {} | {:.1f} | {:.2f} | {:.1f} | {:.2f} | {:.2f} |\n", gateways, datagrams,
                           bytes / 1024, exchange / 1024, exchanges / 1024, (bytes + exchanges) / 1024)
            << std::flush;
}

}  // namespace
}  // namespace curlewdoor::fleetkit

int main(int argc, char** argv) {
  try {
    std::cout
        << "| gateways | datagrams a second | KB a second | an exchange, KB | exchanges, KB a second | out, "
           "KB a second |\n|---|---|---|---|---|---|\n";
    for (int i = 1; i < argc; ++i) curlewdoor::fleetkit::Row(std::atoi(argv[i]));
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "curlewdoor-scale-view: " << error.what() << "\n";
    return 1;
  }
}
