// The list of hosts as published by service discovery, and its JSON parser.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "logic.hpp"
#include "util/address.hpp"

namespace curlewdoor {

// One listed host and the address at which it serves.
struct Member {
  HostEntry entry;
  Address address;
};

// A list of hosts, complete or incremental.
struct MemberList {
  std::uint64_t version = 0;
  bool all = true;  // true: the complete list; false: only the entries that changed
  std::vector<Member> members;
};

// Parses a list. Returns nullopt if it is invalid; `error` then names the invalid key.
std::optional<MemberList> ReadMembers(const nlohmann::json& json, std::string& error);
std::optional<MemberList> ReadMembers(std::string_view text, std::string& error);

}  // namespace curlewdoor
