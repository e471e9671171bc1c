// A batch of entries as bytes (msgpack), for the link. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "service_registry/service_registry.hpp"

namespace curlewdoor::service_registry {

inline constexpr std::size_t kMostBatch = 8 * 1024 * 1024;  // bytes; kMostEntries of the longest fit in

// Times pass as spans: milliseconds until warm, and since it fell silent or went. `heard` isn't passed.
// At most kMostEntries are written.
std::string Encode(const std::vector<Entry>& entries, Time now);

// Never throws: nullopt if the bytes are cut, too long, foreign, or hold an entry beyond a bound.
std::optional<std::vector<Entry>> Decode(std::string_view bytes, Time now);

}  // namespace curlewdoor::service_registry
