// The order in which one gateway spreads a route's requests over the parts of its `traffic_split`. Pure.
//
// Each route has a sequence of points from 0 to below 1 in steps of the golden ratio: of any so many points
// in a row, nearly the same part lies in each interval, and so goes to each service. Parts picked by chance
// would be off by some 3 in 100 over 300 requests. Gateways begin at points of their own.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "policy/policy.hpp"

namespace curlewdoor::policy {

class SplitSequence {
 public:
  // `seed`: another one in each process.
  explicit SplitSequence(std::uint64_t seed) : seed_(seed) {}

  // The service for the route's next request, an index into Policy::services().
  std::size_t Next(const Route& route);
  // Forgets routes that this policy doesn't have, or doesn't split.
  void OnPolicy(const Policy& policy);
  std::size_t size() const { return points_.size(); }

 private:
  const std::uint64_t seed_;
  std::unordered_map<std::string, std::uint64_t> points_;  // by route: the last one, in parts of 2^64
};

}  // namespace curlewdoor::policy
