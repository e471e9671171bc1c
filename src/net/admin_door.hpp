// Where operators call: one line to a connection, one answer, and the end. Bounded in callers, bytes and
// time, with descriptors of its own, so that no load on the clients' side starves it.
#pragma once

#include <functional>
#include <list>
#include <string>

#include "http/buffer.hpp"
#include "net/descriptors.hpp"
#include "net/inputs.hpp"
#include "net/watcher.hpp"
#include "util/address.hpp"

namespace curlewdoor::net {

class AdminDoor {
 public:
  // Gives the whole answer to one line.
  using Answer = std::function<std::string(std::string_view line)>;

  AdminDoor(struct ev_loop* loop, Descriptors& descriptors, Inputs& inputs, Answer answer);
  ~AdminDoor();

  // Tells in `error` why it can't listen.
  bool Listen(const Address& address, std::string& error);
  std::uint16_t port() const { return port_; }

  // Ends callers that take too long. To be called now and then.
  void CheckTimes();
  void Reap() { retired_.clear(); }
  std::size_t callers() const { return callers_.size(); }

 private:
  struct Caller {
    Caller(AdminDoor& owner, Descriptor descriptor);
    void OnEvent(int events);
    void Read();
    void Say(const std::string& text);
    void Flush();

    AdminDoor& door;
    Descriptor descriptor;
    IoWatcher io;
    std::list<Caller>::iterator self;
    TimePoint since;
    http::Buffer in, out;
    bool answered = false;
  };

  void Accept();
  void ShedOldest();
  void Retire(Caller& caller);

  struct ev_loop* loop_;
  Descriptors& descriptors_;
  Inputs& inputs_;
  const Answer answer_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  IoWatcher io_;
  std::list<Caller> callers_, retired_;  // the oldest first
};

}  // namespace curlewdoor::net
