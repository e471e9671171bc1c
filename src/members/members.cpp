#include "members/members.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "util/hash.hpp"

namespace curlewdoor {
namespace {

using nlohmann::json;

// Reads the members of a JSON object. `error` is set to the first one that is missing or invalid.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path, std::string& error)
      : object_(object), path_(std::move(path)), error_(error) {
    if (!object.is_object()) Fail("", "is not an object");
  }

  std::string Text(const char* key, bool required) {
    const json* value = Find(key, required);
    if (value == nullptr) return "";
    if (!value->is_string()) return Fail(key, "is not a string"), "";
    return value->get<std::string>();
  }
  template <typename NumberType>
  NumberType Number(const char* key, NumberType default_value) {
    const json* value = Find(key, false);
    if (value == nullptr) return default_value;
    if (!value->is_number()) return Fail(key, "is not a number"), default_value;
    return value->get<NumberType>();
  }
  bool Bool(const char* key) {
    const json* value = Find(key, true);
    if (value == nullptr) return false;
    if (!value->is_boolean()) Fail(key, "is neither true nor false");
    return value->is_boolean() && value->get<bool>();
  }
  const json* Find(const char* key, bool required) {
    const auto it = object_.is_object() ? object_.find(key) : object_.end();
    if (it != object_.end()) return &*it;
    if (required) Fail(key, "is missing");
    return nullptr;
  }
  void Fail(std::string_view key, std::string_view what) {
    if (!error_.empty()) return;
    error_ = path_;
    if (!key.empty()) error_.append(path_.empty() ? "" : ".").append(key);
    error_.append(error_.empty() ? "" : " ").append(what);
  }

 private:
  const json& object_;
  const std::string path_;
  std::string& error_;
};

constexpr std::array<std::pair<std::string_view, HostState>, 3> kStates{
    {{"active", HostState::kReady}, {"leaving", HostState::kDraining}, {"left", HostState::kRemoved}}};

Member ReadMember(const json& object, const std::string& path, std::string& error) {
  ObjectReader reader(object, path, error);
  Member member;
  HostEntry& entry = member.entry;
  entry.host = HostId{StableHash(reader.Text("uid", true))};
  entry.zone = reader.Text("az", false);
  entry.kind = reader.Text("model", false);
  entry.cell = reader.Number<std::int64_t>("pod_group", 0);
  entry.capacity_hint = reader.Number<double>("capacity_hint", 1);
  constexpr std::int64_t kMaxBootMs = std::int64_t{1} << 42;
  const auto boot_ms = std::clamp<std::int64_t>(reader.Number<std::int64_t>("boot_ms", 0), 0, kMaxBootMs);
  entry.started = TimePoint(std::chrono::milliseconds(boot_ms));
  const std::string state = reader.Text("state", true);
  const auto found = std::find_if(kStates.begin(), kStates.end(), [&](auto& s) { return s.first == state; });
  if (found == kStates.end()) {
    reader.Fail("state", "is not known");
  } else {
    entry.state = found->second;
  }
  const auto address = ParseAddress(reader.Text("endpoint", entry.state != HostState::kRemoved));
  if (!address && entry.state != HostState::kRemoved)
    reader.Fail("endpoint", "is not an address with a port");
  member.address = address.value_or(Address{});
  return member;
}

}  // namespace

std::optional<MemberList> ReadMembers(const json& object, std::string& error) {
  error.clear();
  ObjectReader reader(object, "", error);
  MemberList list;
  list.version = reader.Number<std::uint64_t>("rev", 0);
  list.all = reader.Bool("all");
  const json* targets = reader.Find("targets", true);
  if (targets != nullptr && !targets->is_array()) reader.Fail("targets", "is not a list");
  if (!error.empty()) return std::nullopt;
  for (const json& target : *targets)
    list.members.push_back(ReadMember(target, "targets[" + std::to_string(list.members.size()) + "]", error));
  if (!error.empty()) return std::nullopt;
  return list;
}

std::optional<MemberList> ReadMembers(std::string_view text, std::string& error) {
  const json object = json::parse(text, nullptr, false);
  if (object.is_discarded()) {
    error = "is not JSON";
    return std::nullopt;
  }
  return ReadMembers(object, error);
}

}  // namespace curlewdoor
