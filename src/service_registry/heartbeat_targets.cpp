#include "service_registry/heartbeat_targets.hpp"

#include "util/hash.hpp"

namespace curlewdoor::service_registry {

void HeartbeatTargets::SetGateways(const std::vector<Gateway>& gateways) {
  by_zone_.clear();
  for (const Gateway& gateway : gateways)
    by_zone_[gateway.zone].push_back({gateway.name, StableHash(gateway.name), gateway.address});
}

std::optional<std::string_view> HeartbeatTargets::TargetFor(std::string_view host, std::string_view zone,
                                                            std::string_view excluded) const {
  const auto targets = by_zone_.find(zone);
  if (targets == by_zone_.end()) return std::nullopt;
  const Target* best = nullptr;
  std::uint64_t best_hash = 0;
  for (const Target& target : targets->second) {
    if (target.name == excluded) continue;
    const std::uint64_t hash = StableHash(host, target.seed);
    if (best != nullptr && hash <= best_hash) continue;
    best = &target;
    best_hash = hash;
  }
  if (best == nullptr) return std::nullopt;
  return best->address;
}

}  // namespace curlewdoor::service_registry
