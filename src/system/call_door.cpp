#include "system/call_door.hpp"

#include <utility>

namespace curlewdoor::system {
namespace {
constexpr std::size_t kAhead = 64 * 1024;
}  // namespace

CallDoor::CallDoor(struct ev_loop* loop, net::Descriptors& descriptors, OnCall on_call, std::size_t most_body)
    : Door(loop, descriptors, *this, kAhead), on_call_(std::move(on_call)), most_body_(most_body) {}

void CallDoor::OnRequest(net::Client& client) {
  last_came_ = Now();
  if (client.request().length().value_or(0) > most_body_) return client.Answer(413, {}, "body: too large\n");
  const RequestId id = Wait(client);
  if (!client.uploading()) return Finish(id, std::string(client.request().body()));
  bodies_[id] = {};
  OnUpload(id);
}

void CallDoor::OnUpload(RequestId id) {
  const auto found = bodies_.find(id);
  if (found == bodies_.end() || std::exchange(found->second.pumping, true)) return;
  for (;;) {
    const auto it = bodies_.find(id);
    const http::Message* request = RequestOf(id);
    if (it == bodies_.end() || request == nullptr) return;
    Body& body = it->second;
    const std::string_view here = request->body();
    if (body.fed < here.size()) {
      body.bytes.append(here.substr(body.fed));
      body.fed = here.size();
      if (body.bytes.size() > most_body_) {
        bodies_.erase(it);
        return Decline(id, 413, {}, "body: too large\n");
      }
    } else if (!uploading(id)) {
      std::string whole = std::move(body.bytes);
      bodies_.erase(it);
      return Finish(id, std::move(whole));
    } else if (upload_full(id)) {
      body.fed = 0;
      TakeUpload(id);
    } else {
      break;
    }
  }
  if (const auto it = bodies_.find(id); it != bodies_.end()) it->second.pumping = false;
}

void CallDoor::Finish(RequestId id, std::string body) {
  const http::Message* request = RequestOf(id);
  if (request == nullptr) return;
  on_call_({id, http_method_str(request->method()), std::string(request->target()), std::move(body)});
}

void CallDoor::Reply(RequestId id, int status, std::string_view body, std::string_view type) {
  net::Client* client = TakeWaiting(id);
  if (client == nullptr) return;
  const std::string line = type.empty() ? std::string() : "Content-Type: " + std::string(type) + "\r\n";
  const iovec piece = http::Piece(line);
  client->Answer(status, {&piece, line.empty() ? 0u : 1u}, body);
}

}  // namespace curlewdoor::system
