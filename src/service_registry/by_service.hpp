// A view folded from a directory's journal: the hosts of each service. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "service_registry/service_registry.hpp"

namespace curlewdoor::service_registry {

class ByService {
 public:
  // Takes in what has happened since the last call; from the whole directory if its journal no longer has it.
  // Always called with the same directory. True if something has changed.
  bool Fold(const Directory& directory);

  // Those of a service that are not gone, silent and draining ones too, sorted by id. Copies as of their last
  // event: sequence and heard may be older than the directory's. Valid until the next Fold.
  const std::vector<Entry>& Of(const std::string& service) const;
  // Only services that have a host.
  const std::map<std::string, std::vector<Entry>>& all() const { return services_; }

 private:
  void Remove(const std::string& id);
  void Add(const Entry& entry);

  std::uint64_t number_ = 0;
  std::map<std::string, std::vector<Entry>> services_;
  std::unordered_map<std::string, std::string> service_of_;  // by id
};

}  // namespace curlewdoor::service_registry
