// Takes calls over HTTP with short answers: hosts and operators on `control`, the platform on `readiness`.
// Whole bodies only, of a bounded length each and together.
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

  // Calls with long bodies hold at most this many times `most_body` together, from their heads to their
  // answers; one that would go beyond gets a 503.
  static constexpr std::size_t kMostAtOnce = 4;

  CallDoor(struct ev_loop* loop, net::Descriptors& descriptors, OnCall on_call, std::size_t most_body,
           net::Use use = net::Use::kClient);
  // Told of each call whose client has gone before its Reply().
  void SetOnLeft(std::function<void(RequestId)> on_left) { on_left_ = std::move(on_left); }
  void Reply(RequestId id, int status, std::string_view body = {}, std::string_view type = {});
  // The process is about to end: calls that come from now on are declined with 503, which is true as nothing
  // was done, and connections end with their answer.
  void DeclineCalls();
  // Bytes that calls with long bodies may take by now.
  std::size_t held() const { return held_; }

 private:
  // A call whose body comes in pieces. Its method and path are kept from the head on: the connection's buffer
  // is used again for the body.
  struct Upload {
    Call call;
    std::size_t fed = 0;  // of what the connection holds
    bool pumping = false;
  };
  void OnRequest(net::Client& client) override;
  void OnTaken(net::Client& client) override;
  void OnLeft(RequestId id) override {
    if (on_left_) on_left_(id);
  }
  using Door::OnUpload;
  void OnUpload(RequestId id) override;
  // Longer ones come here too: their refusal names the bound.
  std::uint64_t largest_body() const override { return ~std::uint64_t{0} / 2; }
  void Post(Input) override {}
  TimePoint Now() override { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }
  Duration Unseen(int) override { return {}; }
  void BeginUpload(net::Client& client, Call call, std::size_t size);
  bool Append(RequestId id, Upload& upload);
  void Finish(RequestId id);
  void Take(Call call);
  void Refuse(RequestId id, int status, const std::string& text);
  void RefuseLength(RequestId id);

  const OnCall on_call_;
  std::function<void(RequestId)> on_left_;
  const std::size_t most_body_;
  bool declines_ = false;
  std::unordered_map<RequestId, Upload, IdHash> uploads_;
  // By calls with long bodies, until answered: bytes of their connections' memory.
  std::unordered_map<RequestId, memory::Charge, IdHash> reserved_;
  std::size_t held_ = 0;  // the sum of these
};

}  // namespace curlewdoor::system
