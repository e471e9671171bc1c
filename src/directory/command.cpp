#include "directory/command.hpp"

#include <cjson/cJSON.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "util/address.hpp"

namespace curlewdoor::directory {
namespace {

constexpr std::string_view kInstances = "/v1/instances/";

struct Free {
  void operator()(cJSON* json) const { cJSON_Delete(json); }
};
using Json = std::unique_ptr<cJSON, Free>;

[[noreturn]] void Bad(const std::string& text) { throw CallError(400, text); }

// Before it is parsed: cJSON goes deeper with each bracket.
bool TooDeep(std::string_view text) {
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMostDepth) return true;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

Json Parse(std::string_view body) {
  if (body.find('\0') != std::string_view::npos) Bad("body: a zero byte");  // blank to cJSON
  if (TooDeep(body)) Bad("body: nested too deep");
  const char* end = nullptr;
  Json json(cJSON_ParseWithLengthOpts(body.data(), body.size(), &end, false));
  if (!json) Bad("body: not JSON");
  const auto rest = body.substr(static_cast<std::size_t>(end - body.data()));
  if (rest.find_first_not_of(" \t\r\n") != std::string_view::npos) Bad("body: more than one value");
  if (!cJSON_IsObject(json.get())) Bad("body: not an object");
  return json;
}

// An object's fields, with the path that errors name.
class Fields {
 public:
  Fields(const cJSON* object, std::string prefix) : object_(object), prefix_(std::move(prefix)) {}

  Fields Object(const char* name) const {
    const cJSON* found = Get(name, true);
    if (!cJSON_IsObject(found)) Bad(Path(name) + ": not an object");
    return Fields(found, Path(name) + ".");
  }

  // Empty if it is missing and not `needed`.
  std::string Text(const char* name, bool needed) const {
    const cJSON* found = Get(name, needed);
    if (!found) return {};
    if (!cJSON_IsString(found)) Bad(Path(name) + ": not a string");
    std::string text = found->valuestring;
    if (needed && text.empty()) Bad(Path(name) + ": empty");
    if (text.size() > kMostName) Bad(Path(name) + ": too long");
    if (std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; })) {
      Bad(Path(name) + ": control characters");
    }
    return text;
  }

  // `absent` if it is missing, unless that is negative: then it is needed.
  double Number(const char* name, double absent) const {
    const cJSON* found = Get(name, absent < 0);
    if (!found) return absent;
    if (!cJSON_IsNumber(found)) Bad(Path(name) + ": not a number");
    if (!std::isfinite(found->valuedouble)) Bad(Path(name) + ": too large");
    if (found->valuedouble < 0) Bad(Path(name) + ": negative");
    return found->valuedouble;
  }

  double Whole(const char* name, double absent, double most) const {
    const double number = Number(name, absent);
    if (number != std::floor(number)) Bad(Path(name) + ": not a whole number");
    if (number > most) Bad(Path(name) + ": too large");
    return number;
  }

  std::string Path(const char* name) const { return prefix_ + name; }

 private:
  const cJSON* Get(const char* name, bool needed) const {
    const cJSON* found = cJSON_GetObjectItemCaseSensitive(object_, name);
    if (!found && needed) Bad(Path(name) + ": missing");
    return found;
  }

  const cJSON* object_;
  std::string prefix_;
};

Beat DecodeBeat(std::string id, std::string_view body) {
  const Json json = Parse(body);
  const Fields top(json.get(), "");
  Beat beat;
  beat.id = std::move(id);
  const auto address = ParseAddress(top.Text("address", true));
  if (!address || address->ip == 0 || address->port == 0) Bad("address: not ip:port");
  beat.address = address->ToText();

  const Fields details = top.Object("details");
  beat.service = details.Text("service", true);
  beat.zone = details.Text("zone", false);
  beat.version = details.Text("config_version", false);
  beat.slots = static_cast<int>(details.Whole("capacity_slots", 1, kMostSlots));

  const Fields status = top.Object("status");
  const std::string state = status.Text("oper_state", true);
  if (state != "ready" && state != "draining") Bad("status.oper_state: neither ready nor draining");
  beat.draining = state == "draining";
  beat.sequence =
      static_cast<std::uint64_t>(status.Whole("call_sequence", -1, static_cast<double>(kMostSequence)));
  const double most = static_cast<double>(std::chrono::milliseconds(kMostWarmup).count());
  beat.warmup_left = std::chrono::milliseconds(
      static_cast<std::int64_t>(std::min(status.Number("warmup_left_ms", 0), most)));
  return beat;
}

void NeedMethod(std::string_view method, std::string_view needed) {
  if (method != needed) throw CallError(405, "method: not " + std::string(needed));
}

Command DecodeInstance(std::string_view method, std::string_view rest, const std::string& body) {
  const auto slash = rest.find('/');
  const auto verb = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
  if (verb != "heartbeat" && verb != "deregister") throw CallError(404, "path: no such call");
  NeedMethod(method, "POST");
  std::string id(rest.substr(0, slash));
  if (id.empty()) Bad("instance_id: missing");
  if (id.size() > kMostName) Bad("instance_id: too long");
  if (std::any_of(id.begin(), id.end(), [](char c) { return c <= ' ' || c > '~' || c == '%'; })) {
    Bad("instance_id: characters that no id has");
  }
  if (body.size() > kMostBeat) throw CallError(413, "body: too large");
  if (verb == "deregister") return Leave{std::move(id)};
  return DecodeBeat(std::move(id), body);
}

}  // namespace

Command Decode(std::string_view method, std::string_view path, std::string body) {
  path = path.substr(0, path.find('?'));
  if (path.starts_with(kInstances)) return DecodeInstance(method, path.substr(kInstances.size()), body);
  if (path == "/v1/config/replace") {
    NeedMethod(method, "POST");
    return PutConfig{std::move(body)};
  }
  if (path == "/v1/config/read") {
    NeedMethod(method, "GET");
    return ReadConfig{};
  }
  throw CallError(404, "path: no such call");
}

}  // namespace curlewdoor::directory
