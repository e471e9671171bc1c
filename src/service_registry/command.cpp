#include "service_registry/command.hpp"

#include <algorithm>
#include <utility>

#include "service_registry/json_body.hpp"
#include "util/address.hpp"

namespace curlewdoor::service_registry {
namespace {

constexpr std::string_view kInstances = "/v1/instances/";

Beat DecodeBeat(std::string id, std::string_view body) {
  const JsonBody json(body);
  const JsonFields top = json.fields();
  Beat beat;
  beat.id = std::move(id);
  const auto address = ParseAddress(top.Text("address", true));
  if (!address || address->ip == 0 || address->port == 0) BadCall("address: not ip:port");
  beat.address = address->ToText();

  const JsonFields details = top.Object("details");
  beat.service = details.Text("service", true);
  beat.zone = details.Text("zone", false);
  beat.version = details.Text("config_version", false);
  beat.slots = static_cast<int>(details.Whole("capacity_slots", 1, kMostSlots));

  const JsonFields status = top.Object("status");
  const std::string state = status.Text("oper_state", true);
  if (state != "ready" && state != "draining") BadCall("status.oper_state: neither ready nor draining");
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
  if (id.empty()) BadCall("instance_id: missing");
  if (id.size() > kMostName) BadCall("instance_id: too long");
  if (std::any_of(id.begin(), id.end(), [](char c) { return c <= ' ' || c > '~' || c == '%'; })) {
    BadCall("instance_id: characters that no id has");
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

}  // namespace curlewdoor::service_registry
