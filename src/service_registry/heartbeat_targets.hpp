// Where hosts send their heartbeats: each to one gateway of its own zone, chosen by rendezvous hashing. Hosts
// spread evenly over a zone's gateways, also behind a restart of all; a gateway that comes takes its share,
// one that goes hands on its own, and no other host moves. Pure: the gateways that are there go in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace curlewdoor::service_registry {

class HeartbeatTargets {
 public:
  struct Gateway {
    std::string name;
    std::string zone;
    std::string address;  // of its control door, "ip:port"
  };

  // All that are there now; replaces those before.
  void SetGateways(const std::vector<Gateway>& gateways);
  // The address for this host; `without`: the name of a gateway that isn't to be it. nullopt: its zone has
  // none.
  std::optional<std::string_view> For(std::string_view host, std::string_view zone,
                                      std::string_view without = {}) const;

 private:
  struct Target {
    std::string name;
    std::uint64_t seed = 0;  // of the hash of hosts
    std::string address;
  };
  std::map<std::string, std::vector<Target>, std::less<>> by_zone_;
};

}  // namespace curlewdoor::service_registry
