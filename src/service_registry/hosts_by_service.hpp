// Index of the hosts of each service, updated from the journal of a service registry. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "service_registry/service_registry.hpp"

namespace curlewdoor::service_registry {

// Hosts grouped by service.
class HostsByService {
 public:
  // Applies the changes since the last call, or rebuilds the index if the journal no longer contains them.
  // Must always be called with the same registry. Returns whether anything changed.
  bool Update(const ServiceRegistry& registry);

  // Hosts of a service that are not removed, including unresponsive and draining ones, sorted by id. The
  // copies date from the last event of each host, so `sequence` and `last_heard` may be older than in the
  // registry. Valid until the next Update().
  const std::vector<HostEntry>& HostsOf(const std::string& service) const;
  // Contains only services with at least one host.
  const std::map<std::string, std::vector<HostEntry>>& all() const { return services_; }

 private:
  void Remove(const std::string& id);
  void Add(const HostEntry& entry);

  std::uint64_t applied_version_ = 0;
  std::map<std::string, std::vector<HostEntry>> services_;
  std::unordered_map<std::string, std::string> service_of_;  // by host id
};

}  // namespace curlewdoor::service_registry
