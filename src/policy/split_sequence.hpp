// Distributes the requests of a route over the services of its `traffic_split`, at one gateway. Pure.
//
// Each route has a sequence of points in [0, 1) that advances by the golden ratio. Among any number of
// consecutive points, the share in each interval is close to the interval's length, so each service gets
// close to its weight. With random selection, shares would be off by about 3 percentage points over 300
// requests. Each gateway starts its sequences at other points.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "policy/policy.hpp"

namespace curlewdoor::policy {

// The sequences of all routes that split their traffic.
class SplitSequence {
 public:
  // `seed` must differ between processes.
  explicit SplitSequence(std::uint64_t seed) : seed_(seed) {}

  // The service for the route's next request, an index into Policy::services().
  std::size_t Next(const Route& route);
  // Removes the sequences of routes that this policy does not have or does not split.
  void OnPolicy(const Policy& policy);
  std::size_t size() const { return points_.size(); }

 private:
  const std::uint64_t seed_;
  std::unordered_map<std::string, std::uint64_t>
      points_;  // by route name: the latest point, as a fraction of 2^64
};

}  // namespace curlewdoor::policy
