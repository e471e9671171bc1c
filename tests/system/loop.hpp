// What tests on loopback share: a loop that runs until something holds, and a plain socket on the other side.
#pragma once

#include <ev.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "net/watcher.hpp"
#include "util/address.hpp"

namespace curlewdoor::system {

class Loop {
 public:
  ~Loop() { ev_loop_destroy(loop_); }
  struct ev_loop* get() {
    return loop_;
  }

  // Runs the loop until `holds` or the deadline; `each` is called about every 10 ms.
  bool Until(const std::function<bool()>& holds, const std::function<void()>& each = {},
             std::chrono::milliseconds deadline = std::chrono::seconds(10)) {
    bool over = false;
    net::TimerWatcher end(loop_, [&](int) { over = true; });
    net::TimerWatcher turn(loop_, [&](int) {
      if (each) each();
    });
    end.StartIn(deadline);
    turn.StartIn(std::chrono::milliseconds(10), std::chrono::milliseconds(10));
    while (!holds() && !over) ev_run(loop_, EVRUN_ONCE);
    return holds();
  }

 private:
  struct ev_loop* loop_ = ev_loop_new(EVFLAG_AUTO);
};

// Connects, writes when told and reads all that comes, unless it is told not to.
class Plain {
 public:
  Plain(struct ev_loop* loop, std::uint16_t port, bool reads = true)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), io_(loop, [this](int) { Read(); }) {
    const sockaddr_in to = Address{0x7f000001, port}.ToSocket();
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) over = true;
    if (reads) io_.Want(fd_, EV_READ);
  }
  ~Plain() {
    io_.Stop();
    ::close(fd_);
  }
  void ReadOn() { io_.Want(fd_, EV_READ); }
  // How many of the bytes the system has taken.
  std::size_t Write(std::string_view bytes) {
    std::size_t written = 0;
    while (written < bytes.size()) {
      const std::string_view rest = bytes.substr(written);
      const ssize_t sent = ::send(fd_, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent <= 0) break;
      written += static_cast<std::size_t>(sent);
    }
    return written;
  }

  std::string came;
  bool over = false;
  bool reset = false;  // over, and not by the other side's end

 private:
  void Read() {
    char bytes[16 * 1024];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count > 0) came.append(bytes, static_cast<std::size_t>(count));
    if (count > 0 || (count < 0 && errno == EAGAIN)) return;
    over = true;
    reset = count < 0;
    io_.Stop();
  }

  const int fd_;
  net::IoWatcher io_;
};

}  // namespace curlewdoor::system
