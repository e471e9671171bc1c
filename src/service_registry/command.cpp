#include "service_registry/command.hpp"

#include <algorithm>
#include <utility>

#include "service_registry/json_body.hpp"
#include "util/address.hpp"

namespace curlewdoor::service_registry {
namespace {

constexpr std::string_view kInstancesPath = "/v1/instances/";

Heartbeat DecodeHeartbeat(std::string id, std::string_view body) {
  const JsonBody json(body);
  const JsonFields top = json.fields();
  Heartbeat heartbeat;
  heartbeat.id = std::move(id);
  const auto address = ParseAddress(top.Text("address", true));
  if (!address || address->ip == 0 || address->port == 0) ThrowBadRequest("address: expected ip:port");
  heartbeat.address = address->ToText();

  const JsonFields details = top.Object("details");
  heartbeat.service = details.Text("service", true);
  heartbeat.zone = details.Text("zone", false);
  heartbeat.version = details.Text("config_version", false);
  heartbeat.slots = static_cast<int>(details.Integer("capacity_slots", 1, kMaxSlots));

  const JsonFields status = top.Object("status");
  const std::string state = status.Text("oper_state", true);
  if (state != "ready" && state != "draining")
    ThrowBadRequest("status.oper_state: expected ready or draining");
  heartbeat.draining = state == "draining";
  heartbeat.sequence =
      static_cast<std::uint64_t>(status.Integer("call_sequence", -1, static_cast<double>(kMaxSequence)));
  const double max = static_cast<double>(std::chrono::milliseconds(kMaxWarmup).count());
  heartbeat.warmup_left =
      std::chrono::milliseconds(static_cast<std::int64_t>(std::min(status.Number("warmup_left_ms", 0), max)));
  return heartbeat;
}

void RequireMethod(std::string_view method, std::string_view required) {
  if (method != required) throw CallError(405, "method: not " + std::string(required));
}

Command DecodeInstance(std::string_view method, std::string_view rest, const std::string& body) {
  const auto slash = rest.find('/');
  const auto verb = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
  if (verb != "heartbeat" && verb != "deregister") throw CallError(404, "path: no such call");
  RequireMethod(method, "POST");
  std::string id(rest.substr(0, slash));
  if (id.empty()) ThrowBadRequest("instance_id: missing");
  if (id.size() > kMaxNameBytes) ThrowBadRequest("instance_id: too long");
  if (std::any_of(id.begin(), id.end(), [](char c) { return c <= ' ' || c > '~' || c == '%'; })) {
    ThrowBadRequest("instance_id: contains characters that are not allowed");
  }
  if (body.size() > kMaxHeartbeatBytes) throw CallError(413, "body: too large");
  if (verb == "deregister") return Deregistration{std::move(id)};
  return DecodeHeartbeat(std::move(id), body);
}

}  // namespace

Command Decode(std::string_view method, std::string_view path, std::string body) {
  path = path.substr(0, path.find('?'));
  if (path.starts_with(kInstancesPath))
    return DecodeInstance(method, path.substr(kInstancesPath.size()), body);
  if (path == "/v1/config/replace") {
    RequireMethod(method, "POST");
    return ReplaceConfig{std::move(body)};
  }
  if (path == "/v1/config/read") {
    RequireMethod(method, "GET");
    return ReadConfig{};
  }
  throw CallError(404, "path: no such call");
}

}  // namespace curlewdoor::service_registry
