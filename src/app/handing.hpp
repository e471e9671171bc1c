// An upgrade, carried out: what the protocol of src/handover asks, done to the parts of one process.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "app/peers.hpp"
#include "handover/protocol.hpp"
#include "handover/snapshot.hpp"
#include "host_overrides/host_overrides.hpp"
#include "log/log.hpp"
#include "net/handover_link.hpp"
#include "net/listener.hpp"
#include "net/upstream.hpp"

namespace curlewdoor::app {

class Handing : net::HandoverLink::Owner {
 public:
  struct Parts {
    struct ev_loop* loop;
    net::Inputs& inputs;
    net::Descriptors& descriptors;
    net::Listener& listener;
    net::Upstream& upstream;
    GatewayCore& core;
    host_overrides::HostOverrides& by_hand;
    log::Logger& logger;
    std::function<void(handover::Kind kind, HostId host)> call_by_hand;  // made at the other process
    std::function<bool()> terminating;
    Peers* peers;  // nullptr: not in a fleet
  };
  explicit Handing(Parts parts);
  ~Handing() override;

  // Looks for a process that serves, at `path`; takes over from it, or serves at once. An empty path: serves,
  // and nobody is found here either.
  void Begin(const std::string& path);

  bool served() const { return served_; }  // now, or before it handed on
  bool handed_on() const { return predecessor_.handed_on(); }
  bool next_is_near() const { return down_ != nullptr; }
  bool flushed() const { return down_ == nullptr || down_->flushed(); }
  void NoteListTold() { list_told_ = true; }
  // A call was made here: the other process is told, while there is one.
  void Mirror(handover::Kind kind, HostId host);
  // To be called before each wait.
  void Look();

 private:
  void OnFrame(net::HandoverLink& link, const handover::Frame& frame, int fd) override;
  void OnEnd(net::HandoverLink& link) override;
  void OnLink(int fd);
  void Do(handover::Predecessor::Do what);
  void Do(handover::Successor::Do what);
  void Connect();
  void Serve();
  void HandOn();
  void PassStreams();
  void ListenForNext();
  void TakeOver(const std::string& bytes);
  void Pass(handover::Kind kind, std::string_view payload, net::Descriptor descriptor);

  Parts parts_;
  std::string path_;
  net::HandoverPort port_;
  net::TimerWatcher look_timer_;
  handover::Predecessor predecessor_;
  std::optional<handover::Successor> successor_;
  std::unique_ptr<net::HandoverLink> up_, down_;  // to the older process, to the newer one
  std::vector<std::unique_ptr<net::HandoverLink>> retired_;
  std::optional<RequestId> stream_;  // whose host's connection comes next
  bool list_told_ = false, served_ = false;
};

}  // namespace curlewdoor::app
