// Heartbeat targets: hosts spread evenly within their zone, and few hosts move when gateways change.
#include "service_registry/heartbeat_targets.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace curlewdoor::service_registry {
namespace {

constexpr int kHosts = 9200;

std::vector<HeartbeatTargets::Gateway> Gateways(int count, const std::string& zone) {
  std::vector<HeartbeatTargets::Gateway> gateways;
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    gateways.push_back({"gateway-" + zone + "-" + number, zone, "10.0.0." + number + ":8042"});
  }
  return gateways;
}

std::string HostOf(int i) { return "i-" + std::to_string(i * 7919); }

std::map<std::string, int> Spread(const HeartbeatTargets& targets, const std::string& zone) {
  std::map<std::string, int> hosts;
  for (int i = 0; i < kHosts; ++i) ++hosts[std::string(targets.TargetFor(HostOf(i), zone).value())];
  return hosts;
}

BOOST_AUTO_TEST_CASE(hosts_spread_evenly_over_their_zone) {
  HeartbeatTargets targets;
  auto gateways = Gateways(125, "a");
  for (const auto& other : Gateways(3, "b")) gateways.push_back(other);
  targets.SetGateways(gateways);
  const auto spread = Spread(targets, "a");
  BOOST_TEST(spread.size() == 125U);
  const int mean = kHosts / 125;
  for (const auto& [address, hosts] : spread) BOOST_TEST(hosts < 2 * mean);
}

BOOST_AUTO_TEST_CASE(removed_gateway_moves_only_its_own_hosts) {
  HeartbeatTargets targets;
  const auto gateways = Gateways(20, "a");
  targets.SetGateways(gateways);
  HeartbeatTargets later;
  later.SetGateways({gateways.begin() + 1, gateways.end()});
  for (int i = 0; i < kHosts; ++i) {
    const auto before = targets.TargetFor(HostOf(i), "a");
    const auto after = later.TargetFor(HostOf(i), "a");
    BOOST_TEST((before == after || before == gateways.front().address));
    BOOST_TEST((after == targets.TargetFor(HostOf(i), "a", gateways.front().name)));
  }
}

BOOST_AUTO_TEST_CASE(zone_without_gateways_has_no_target) {
  HeartbeatTargets targets;
  BOOST_TEST(!targets.TargetFor("i-1", "a").has_value());
  targets.SetGateways(Gateways(1, "a"));
  BOOST_TEST(targets.TargetFor("i-1", "a").has_value());
  BOOST_TEST(!targets.TargetFor("i-1", "b").has_value());
  BOOST_TEST(!targets.TargetFor("i-1", "a", "gateway-a-0").has_value());
}

}  // namespace
}  // namespace curlewdoor::service_registry
