// Encoding of the service registry's state that a core member stores on disk (msgpack). Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "registry_replication/replica.hpp"

namespace curlewdoor::registry_replication {

// The stored state: the replica's record and the leaves that it holds.
struct StoredRegistry {
  ReplicaRecord record{};
  std::string leaves{};  // of hosts, as encoded by directory/codec.hpp
};

std::string Encode(const StoredRegistry& stored);
// Returns nullopt if the bytes are truncated, malformed or of a newer format. Does not throw.
std::optional<StoredRegistry> Decode(std::string_view bytes);

}  // namespace curlewdoor::registry_replication
