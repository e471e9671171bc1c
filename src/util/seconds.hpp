// Durations as seconds and back.
#pragma once

#include <algorithm>
#include <chrono>

namespace curlewdoor {

inline double Seconds(std::chrono::nanoseconds d) { return std::chrono::duration<double>(d).count(); }
inline std::chrono::nanoseconds FromSeconds(double s) {
  constexpr double kMost = 1e9;  // keeps the conversion in range
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(std::clamp(s, 0.0, kMost)));
}

}  // namespace curlewdoor
