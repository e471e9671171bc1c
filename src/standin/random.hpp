// Random numbers of the stand-ins: each part has a stream of its own, so that one that draws more often does
// not change what the others meet.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <random>
#include <string_view>

#include "logic.hpp"
#include "util/hash.hpp"

namespace curlewdoor::standin {

using Random = pcg64;

inline Random MakeRandom(std::uint64_t seed, std::string_view part) { return Random(StableHash(part, seed)); }

inline double Uniform(Random& random, double low, double high) {
  return low < high ? std::uniform_real_distribution<double>(low, high)(random) : low;
}
inline bool Chance(Random& random, double part) { return part > 0 && Uniform(random, 0, 1) < part; }
inline std::size_t Below(Random& random, std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}
inline double Exponential(Random& random, double mean) {
  return std::exponential_distribution<double>(1 / mean)(random);
}
// `cv`: standard deviation over mean.
inline double Lognormal(Random& random, double mean, double cv) {
  const double variance = std::log1p(cv * cv);
  return std::lognormal_distribution<double>(std::log(mean) - variance / 2, std::sqrt(variance))(random);
}

inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
inline double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace curlewdoor::standin
