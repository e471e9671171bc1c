#include "system/call_door.hpp"

#include <utility>

namespace curlewdoor::system {
namespace {
constexpr std::size_t kAhead = 64 * 1024;
constexpr std::size_t kShortAnswer = 16 * 1024;  // bytes; longer ones are given only where there is room
constexpr std::string_view kLater = "Retry-After: 0.5\r\n";
}  // namespace

CallDoor::CallDoor(struct ev_loop* loop, net::Descriptors& descriptors, OnCall on_call, std::size_t most_body,
                   net::Use use)
    : Door(loop, descriptors, *this, kAhead, {use, memory::Share::kControl, true}),
      on_call_(std::move(on_call)),
      most_body_(most_body) {}

void CallDoor::OnRequest(net::Client& client) {
  last_came_ = Now();
  const http::Message& request = client.request();
  const RequestId id = Wait(client);
  const std::uint64_t length = request.length().value_or(0);
  if (length > most_body_) return RefuseLength(id);
  Call call{id, http_method_str(request.method()), std::string(request.target()), {}};
  if (client.uploading())
    return BeginUpload(client, std::move(call),
                       request.length() ? static_cast<std::size_t>(length) : most_body_);
  if (request.body().size() > most_body_) return RefuseLength(id);
  call.body = request.body();
  Take(std::move(call));
}

// The one place where whole calls go on from here.
void CallDoor::Take(Call call) {
  if (declines_) return Refuse(call.id, 503, "this gateway is about to end\n");
  on_call_(std::move(call));
}

void CallDoor::DeclineCalls() {
  if (!std::exchange(declines_, true)) Drain();
}

// All that the body may become is set aside at once, so that nothing is copied as it grows: what isn't
// written to takes no memory.
void CallDoor::BeginUpload(net::Client& client, Call call, std::size_t size) {
  const RequestId id = client.id;
  if (held_ + size > kMostAtOnce * most_body_)
    return Refuse(id, 503, "body: too many long ones at once, send it again later\n");
  held_ += size;
  reserved_.try_emplace(id, &client.account()).first->second.Set(size);
  call.body.reserve(size);
  uploads_[id].call = std::move(call);
  OnUpload(id);
}

void CallDoor::OnUpload(RequestId id) {
  const auto found = uploads_.find(id);
  if (found == uploads_.end() || std::exchange(found->second.pumping, true)) return;
  for (;;) {
    const auto it = uploads_.find(id);
    if (it == uploads_.end()) return;
    if (Append(id, it->second)) continue;
    if (!uploads_.contains(id)) return;
    if (!uploading(id)) return Finish(id);
    if (!upload_full(id)) break;
    it->second.fed = 0;
    TakeUpload(id);
  }
  if (const auto it = uploads_.find(id); it != uploads_.end()) it->second.pumping = false;
}

// Tells whether there was something new. A body that is too long is refused, and its upload gone.
bool CallDoor::Append(RequestId id, Upload& upload) {
  const std::string_view here = RequestOf(id)->body();
  if (upload.fed >= here.size()) return false;
  const std::string_view more = here.substr(upload.fed);
  std::string& body = upload.call.body;
  if (body.size() + more.size() > most_body_) {
    RefuseLength(id);
    return false;
  }
  body.append(more);
  upload.fed = here.size();
  return true;
}

void CallDoor::Finish(RequestId id) {
  const auto it = uploads_.find(id);
  Call call = std::move(it->second.call);
  uploads_.erase(it);
  if (call.body.size() < call.body.capacity() / 2) call.body.shrink_to_fit();
  Take(std::move(call));
}

// Answered, refused, or left by its client.
void CallDoor::OnTaken(net::Client& client) {
  uploads_.erase(client.id);
  const auto it = reserved_.find(client.id);
  if (it == reserved_.end()) return;
  held_ -= it->second.bytes();
  reserved_.erase(it);
}

void CallDoor::RefuseLength(RequestId id) {
  Refuse(id, 413, "body: too large, at most " + std::to_string(most_body_) + " bytes\n");
}

void CallDoor::Refuse(RequestId id, int status, const std::string& text) {
  net::Client* client = TakeWaiting(id);
  if (client == nullptr) return;
  client->EndAfterAnswer();
  const iovec type = http::Piece("Content-Type: text/plain\r\n");
  client->Answer(status, {&type, 1}, text);
}

void CallDoor::Reply(RequestId id, int status, std::string_view body, std::string_view type) {
  net::Client* client = TakeWaiting(id);
  if (client == nullptr) return;
  if (body.size() > kShortAnswer && !account().HasRoomFor(body.size())) {
    client->EndAfterAnswer();
    const iovec later = http::Piece(kLater);
    return client->Answer(503, {&later, 1}, {});
  }
  const std::string line = type.empty() ? std::string() : "Content-Type: " + std::string(type) + "\r\n";
  const iovec piece = http::Piece(line);
  client->Answer(status, {&piece, line.empty() ? 0u : 1u}, body);
}

}  // namespace curlewdoor::system
