// Strict numbers: the whole text or nothing, in range and finite. All that reads numbers from outside uses
// it.
#pragma once

#include <charconv>
#include <cmath>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace curlewdoor {

template <typename T>
bool ParseNumber(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return false;
  if constexpr (std::is_floating_point_v<T>) return std::isfinite(value);
  return true;
}

}  // namespace curlewdoor
