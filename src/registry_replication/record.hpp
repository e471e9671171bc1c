// What a core member keeps of the service registry on its disk, as bytes (msgpack). Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "registry_replication/replica.hpp"

namespace curlewdoor::registry_replication {

struct KeptRegistry {
  ReplicaRecord record{};
  std::string leaves{};  // of hosts, in the form of the directory's codec
};

std::string Encode(const KeptRegistry& kept);
// Never throws: nullopt if the bytes are cut, foreign or of a later format.
std::optional<KeptRegistry> Decode(std::string_view bytes);

}  // namespace curlewdoor::registry_replication
