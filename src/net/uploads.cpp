#include "net/uploads.hpp"

#include <utility>

namespace curlewdoor::net {

bool Uploads::Start(const StartAttempt& effect) {
  const RequestId id = effect.attempt.request;
  const http::Message* request = door_.RequestOf(id);
  if (request == nullptr) return false;
  const auto known = uploads_.find(id);
  if (known == uploads_.end() && !door_.uploading(id)) {
    upstream_.Start(effect, *request);
    return true;
  }
  uploads_[id] = Upload{effect.attempt};
  upstream_.Start(effect, *request, Upstream::Streamed{request->length()});
  Pump(id);
  return true;
}

void Uploads::Pump(RequestId id) {
  const auto found = uploads_.find(id);
  if (found == uploads_.end() || found->second.pumping) return;
  found->second.pumping = true;
  for (;;) {
    const auto it = uploads_.find(id);
    const http::Message* request = door_.RequestOf(id);
    if (it == uploads_.end()) return;
    Upload& upload = it->second;
    if (request == nullptr) {
      uploads_.erase(it);
      return;
    }
    const AttemptId attempt = upload.attempt;
    if (upload.ended || !upstream_.CanFeed(attempt)) break;
    const std::string_view body = request->body();
    if (upload.fed < body.size()) {
      const std::string_view rest = body.substr(upload.fed);
      upload.fed = body.size();
      upstream_.Feed(attempt, rest);
    } else if (!door_.uploading(id)) {
      upload.ended = true;
      owner_.OnWhole(id);
      upstream_.EndFeed(attempt);
    } else if (upload.bound || door_.upload_full(id)) {
      if (body.empty()) break;
      if (!std::exchange(upload.bound, true)) owner_.OnBound(attempt);
      upload.fed = 0;
      door_.TakeUpload(id);
    } else {
      break;
    }
  }
  if (const auto it = uploads_.find(id); it != uploads_.end()) it->second.pumping = false;
}

}  // namespace curlewdoor::net
