#include "policy/split_sequence.hpp"

#include <utility>

#include "util/hash.hpp"

namespace curlewdoor::policy {
namespace {

constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15ull;  // its fractional part, as a fraction of 2^64

}  // namespace

std::size_t SplitSequence::Next(const Route& route) {
  if (route.split.size() == 1) return route.split.front().service;
  const auto [point, first] = points_.try_emplace(route.name, StableHash(route.name, seed_));
  point->second += kGoldenRatio;
  return route.ServiceAt(Fraction(point->second));
}

void SplitSequence::OnPolicy(const Policy& policy) {
  std::unordered_map<std::string, std::uint64_t> kept;
  for (const Route& route : policy.routes()) {
    const auto known = points_.find(route.name);
    if (route.split.size() > 1 && known != points_.end()) kept.insert(*known);
  }
  points_ = std::move(kept);
}

}  // namespace curlewdoor::policy
