// The name of a configuration between processes: who holds its text can be told a difference to it.
#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "util/hash.hpp"

namespace curlewdoor::system {

// In the order of agreement: by version, then two texts under one number in an order that all share.
struct ConfigId {
  std::uint64_t version = 0, digest = 0;  // version 0: none
  auto operator<=>(const ConfigId&) const = default;
};

inline ConfigId IdOf(std::uint64_t version, std::string_view text) { return {version, StableHash(text)}; }

}  // namespace curlewdoor::system
