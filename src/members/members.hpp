// The list of hosts in discovery's form.
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

struct Member {
  HostEntry entry;
  Address address;
};

struct MemberList {
  std::uint64_t version = 0;
  bool all = true;  // the whole list, or the entries that changed
  std::vector<Member> members;
};

// On nullopt, `error` names the faulty key.
std::optional<MemberList> ReadMembers(const nlohmann::json& json, std::string& error);
std::optional<MemberList> ReadMembers(std::string_view text, std::string& error);

}  // namespace curlewdoor
