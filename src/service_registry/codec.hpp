// Encodes batches of host entries with msgpack, for messages between gateways and for storage. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "service_registry/service_registry.hpp"

namespace curlewdoor::service_registry {

// Holds kMaxEntries entries of the maximum size.
inline constexpr std::size_t kMaxBatchBytes = 8 * 1024 * 1024;

// Times are encoded as durations in milliseconds: until the end of the warm-up, and since the host became
// unresponsive or was removed. `last_heard` is not encoded. Writes at most kMaxEntries entries.
std::string Encode(const std::vector<HostEntry>& entries, Time now);

// Never throws. Returns nullopt if the bytes are truncated, too long, malformed or contain an entry that
// exceeds a bound.
std::optional<std::vector<HostEntry>> Decode(std::string_view bytes, Time now);

}  // namespace curlewdoor::service_registry
