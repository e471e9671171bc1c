// Takes calls over HTTP with short answers: hosts and operators on `control`, the platform on `readiness`.
// Whole bodies only, of a bounded length.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "net/door.hpp"

namespace curlewdoor::system {

class CallDoor : public net::Door, net::Inputs {
 public:
  struct Call {
    RequestId id;
    std::string method, path, body;
  };
  using OnCall = std::function<void(Call call)>;  // each is owed a Reply()

  CallDoor(struct ev_loop* loop, net::Descriptors& descriptors, OnCall on_call, std::size_t most_body);
  void Reply(RequestId id, int status, std::string_view body = {}, std::string_view type = {});

 private:
  struct Body {
    std::string bytes;
    std::size_t fed = 0;
    bool pumping = false;
  };
  void OnRequest(net::Client& client) override;
  void OnLeft(RequestId id) override { bodies_.erase(id); }
  using Door::OnUpload;
  void OnUpload(RequestId id) override;
  void Post(Input) override {}
  TimePoint Now() override { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }
  Duration Unseen(int) override { return {}; }
  void Finish(RequestId id, std::string body);

  const OnCall on_call_;
  const std::size_t most_body_;
  std::unordered_map<RequestId, Body, IdHash> bodies_;
};

}  // namespace curlewdoor::system
