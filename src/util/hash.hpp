// A hash that is the same in every process and build, which std::hash does not promise.
#pragma once

#include <cstdint>
#include <string_view>

namespace curlewdoor {

// FNV-1a over the bytes, started from `seed`, with a final mix so that short names spread well.
constexpr std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0) {
  std::uint64_t h = 0xcbf29ce484222325ull ^ (seed * 0x9e3779b97f4a7c15ull);
  for (char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  h = (h ^ (h >> 33)) * 0xff51afd7ed558ccdull;
  h = (h ^ (h >> 33)) * 0xc4ceb9fe1a85ec53ull;
  return h ^ (h >> 33);
}

// From 0 to below 1, of bits that are all equally likely: a random number or a hash.
inline double Fraction(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }

}  // namespace curlewdoor
