// The channel between two processes of one gateway: a Unix socket that carries frames, some with a
// descriptor; and the port where the process that serves is found.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "handover/frames.hpp"
#include "net/descriptors.hpp"
#include "net/watcher.hpp"

namespace curlewdoor::net {

class HandoverLink {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // `fd`: the descriptor that came with it, the owner's from now on; -1 with frames that have none.
    virtual void OnFrame(HandoverLink& link, const handover::Frame& frame, int fd) = 0;
    // The other side ended, died or said what is no frame. The link is not used again.
    virtual void OnEnd(HandoverLink& link) = 0;
  };

  HandoverLink(struct ev_loop* loop, int fd, Owner& owner);
  ~HandoverLink();
  HandoverLink(const HandoverLink&) = delete;
  HandoverLink& operator=(const HandoverLink&) = delete;

  void Send(handover::Kind kind, std::string_view payload = {}, Descriptor descriptor = {});
  bool flushed() const { return out_.empty(); }

 private:
  struct Out {
    std::string bytes;
    std::size_t sent = 0;
    Descriptor descriptor;  // goes with the first byte
  };

  void OnEvent(int events);
  void Flush();
  void Read();
  bool TakeFrames();
  void End();

  int fd_;
  Owner& owner_;
  IoWatcher io_;
  std::deque<Out> out_;  // as many as there are connections to pass, at the most
  std::string in_;
  std::deque<int> fds_;
  bool ended_ = false;
};

class HandoverPort {
 public:
  HandoverPort(struct ev_loop* loop, std::function<void(int fd)> on_link);
  ~HandoverPort();

  // Takes the place of whoever was found at `path` before.
  bool Listen(const std::string& path, std::string& error);
  // While a link is there, further ones wait.
  void Pause(bool on);

 private:
  void Accept();

  const std::function<void(int fd)> on_link_;
  int fd_ = -1;
  IoWatcher io_;
};

// Connects to the process that is found at `path`. -1: nobody is there; `error` tells of any other reason.
int ConnectToPort(const std::string& path, std::string& error);

}  // namespace curlewdoor::net
