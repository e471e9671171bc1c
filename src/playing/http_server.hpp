// The serving side of stand-ins on sockets: listens on loopback, reads HTTP/1.1 requests and hands them on.
// What is answered, when, and whether at all, the owner says.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "http/buffer.hpp"
#include "http/message.hpp"
#include "logic.hpp"
#include "net/watcher.hpp"
#include "util/address.hpp"

namespace curlewdoor::playing {

using ConnectionId = std::uint64_t;

class HttpServer {
 public:
  struct Handler {
    // A request has come whole. It lasts for this call only.
    std::function<void(HttpServer&, ConnectionId, const http::Message&)> on_request;
    std::function<void(HttpServer&, ConnectionId)> on_open, on_close;  // closed by the other side, or broken
  };

  HttpServer(struct ev_loop* loop, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Port 0: one that the system gives. On false, `error` says why.
  bool Listen(const Address& address, std::string& error);
  const Address& address() const { return address_; }
  bool listening() const { return fd_ >= 0; }
  // From here on connections are refused; those that are open stay.
  void StopListening();
  // While deaf it neither accepts nor reads; the system goes on taking what fits.
  void SetDeaf(bool deaf);
  bool deaf() const { return deaf_; }

  void Send(ConnectionId connection, std::string_view bytes);
  // Ends it so that the other side sees a reset.
  void Reset(ConnectionId connection);
  void Close(ConnectionId connection);
  void ResetAll();
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Served {
    Served(struct ev_loop* loop, std::function<void(int)> on_event) : io(loop, std::move(on_event)) {}
    int fd = -1;
    http::Buffer in, out;
    http::Message request{http::Kind::kRequest, in};
    net::IoWatcher io;
    bool reading = false, ended = false;
  };

  void Accept();
  void OnEvent(ConnectionId id, int events);
  void ReadRequests(ConnectionId id, Served& served);
  void End(ConnectionId id, bool reset, bool tell);
  Served* Find(ConnectionId id);
  void Watch(Served& served);
  void Reap();

  struct ev_loop* loop_;
  const Handler handler_;
  net::IoWatcher io_;
  net::PrepareWatcher before_wait_;
  Address address_;
  int fd_ = -1;
  bool deaf_ = false;
  ConnectionId next_ = 1;
  std::unordered_map<ConnectionId, std::unique_ptr<Served>> connections_;
  std::list<std::unique_ptr<Served>> ended_;  // freed before the loop waits: one may be in its own event
};

std::string AnswerText(int status, std::string_view body, std::string_view headers = "");

}  // namespace curlewdoor::playing
