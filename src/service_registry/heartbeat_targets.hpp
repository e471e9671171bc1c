// Selects the gateway that receives the heartbeats of a host, by rendezvous hashing among the gateways of the
// host's zone. Hosts spread evenly over the gateways of a zone, also after a restart of all of them. A new
// gateway takes its share, the hosts of a removed gateway move to others, and no other host moves. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace curlewdoor::service_registry {

// Assigns hosts to gateways of their zone.
class HeartbeatTargets {
 public:
  struct Gateway {
    std::string name;
    std::string zone;
    std::string address;  // "ip:port" of its control server
  };

  // Replaces the set of available gateways.
  void SetGateways(const std::vector<Gateway>& gateways);
  // The heartbeat address for this host, or nullopt if its zone has no gateway. `excluded`: name of a gateway
  // that must not be chosen.
  std::optional<std::string_view> TargetFor(std::string_view host, std::string_view zone,
                                            std::string_view excluded = {}) const;

 private:
  struct Target {
    std::string name;
    std::uint64_t seed = 0;  // for hashing host ids
    std::string address;
  };
  std::map<std::string, std::vector<Target>, std::less<>> by_zone_;
};

}  // namespace curlewdoor::service_registry
