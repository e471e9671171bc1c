// Node: calls of hosts and operators, run here or passed on to a core member.
#include <algorithm>
#include <utility>

#include "system/json.hpp"
#include "system/node.hpp"
#include "system/node_limits.hpp"

namespace curlewdoor::system {

void Node::OnCall(CallDoor::Call call) {
  try {
    if (const auto report = DecodeReport(call.method, call.path))
      return std::visit([&](const auto& each) { Execute(call.id, each); }, *report);
    if (TakeCoordinationCall(call)) return;
    auto command = service_registry::Decode(call.method, call.path, std::move(call.body));
    std::visit([&](auto& each) { Execute(call.id, each); }, command);
  } catch (const service_registry::CallError& error) {
    Say(Event::kBeatRefused, call.path + ": " + error.text);
    control_.Reply(call.id, error.status, error.text + "\n", "text/plain");
  }
}

void Node::ReplyBeat(RequestId id) { control_.Reply(id, 200, "{}", "application/json"); }

// A gateway that leaves, or hears nothing of the core, hands its hosts on.
void Node::ReplyRefreshed(RequestId id, const service_registry::Heartbeat& beat) {
  const std::string_view without =
      leaving_ || !InContact() ? std::string_view(settings_.node_name) : std::string_view();
  const auto target = heartbeat_targets_.TargetFor(beat.id, beat.zone, without);
  if (!target) return ReplyBeat(id);
  json::Document body;
  body.Text("heartbeat_target", std::string(*target));
  ReplyJson(id, 200, body.Print());
}

// Ports are alike on all machines.
void Node::UpdateHeartbeatTargets() {
  std::vector<service_registry::HeartbeatTargets::Gateway> gateways;
  const auto add = [&](const fleet::MemberRecord& record) {
    if (!record.present()) return;
    const Address control{record.address.ip, settings_.listen_addresses.control_plane->port};
    gateways.push_back({record.name, ZoneOf(record), control.ToText()});
  };
  if (!settings_.listen_addresses.control_plane) return;
  add(fleet_->self());
  for (const auto& [name, member] : fleet_->others()) add(member.record);
  heartbeat_targets_.SetGateways(gateways);
}

void Node::Execute(RequestId id, const service_registry::Heartbeat& beat) {
  // The host has given up waiting for an answer long ago, and may have left since.
  if (!beat.draining && pause_watch_.InputMayBeOld(Now())) return control_.Reply(id, 503);
  const auto* known = directory_.Find(beat.id);
  const bool news = directory_.Apply(Now(), beat) || known == nullptr;
  if (!news && !beat.draining) {
    if (refreshed_.size() < kMostRefreshed) refreshed_.emplace_back(beat.id, beat.sequence);
    return ReplyRefreshed(id, beat);
  }
  Replicate(id, beat.id, beat.draining);
}

void Node::Execute(RequestId id, const service_registry::Deregistration& leave) {
  directory_.Apply(Now(), leave);
  Replicate(id, leave.id, true);
}

void Node::Execute(RequestId id, service_registry::ReplaceConfig& put) {
  std::uint64_t version = 0;
  try {
    checked_ = policy::Policy::Read(put.text);
    version = checked_->version();
  } catch (const policy::PolicyError& error) {
    Say(Event::kConfigRefused, error.what());
    return control_.Reply(id, 400, std::string(error.what()) + "\n", "text/plain");
  }
  Say(Event::kConfigTaken, "version " + std::to_string(version));
  CoreCalls::Call call;
  call.kind = CoreCalls::Kind::kOrder;
  call.version = version;
  call.text = std::move(put.text);
  call.answer = [this, id](int status, const std::string& body) {
    if (status != kConfirmed) checked_.reset();  // a confirmed one comes into force soon, and is used then
    ReplyJson(id, status, body);
  };
  core_calls_.Begin(Now(), next_number_++, std::move(call));
}

void Node::Execute(RequestId id, const service_registry::ReadConfig&) {
  CoreCalls::Call call;
  call.answer = [this, id](int status, const std::string& body) { ReplyJson(id, status, body); };
  core_calls_.Begin(Now(), next_number_++, std::move(call));
}

void Node::ReplyJson(RequestId id, int status, const std::string& body) {
  control_.Reply(id, status, body, "application/json");
}

// ---- The core's register, for CoreCalls -----------------------------------------------------------------

std::vector<CoreCalls::Voter> Node::ReachedVoters() {
  std::vector<CoreCalls::Voter> voters;
  for (const CoreMember& member : members_) {
    const bool here = core_member() && member.name == settings_.node_name && member.disk == disk_;
    const Link::Stream* stream = here ? nullptr : link_.To(member.address);
    if (here || stream != nullptr) voters.push_back({member.address, here ? 0 : stream->number});
  }
  return voters;
}

void Node::SendTo(std::uint64_t stream, const Message& message) {
  link_.ForEach([&](Link::Stream& each) {
    if (each.number == stream) each.Send(Encode(message));
  });
}

void Node::PutHere(std::uint64_t number, std::uint64_t version, std::string text) {
  agreement::CoreOutput out;
  core_->Put(Now(), number, {version, std::move(text)}, out);
  ExecuteCore(std::move(out));
}

void Node::GetHere(std::uint64_t number) {
  agreement::CoreOutput out;
  core_->Get(Now(), number, out);
  ExecuteCore(std::move(out));
}

}  // namespace curlewdoor::system
