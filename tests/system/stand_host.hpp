// A host on loopback for tests: reads requests and answers each as it is told, bytes and ends alike.
#pragma once

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <utility>

#include "http/message.hpp"
#include "loop.hpp"
#include "net/socket_io.hpp"

namespace curlewdoor::system {

inline void LimitBuffer(int fd, int option, int size) {
  ::setsockopt(fd, SOL_SOCKET, option, &size, sizeof size);
}

class StandHost {
 public:
  struct Request {
    std::string method, target, head, body;  // `head`: all its lines
    // Of all lines of that name, in lower case, joined by "|".
    std::string Find(const std::string& name) const {
      std::string found;
      for (std::size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 2)) {
        const std::size_t colon = head.find(':', at);
        if (colon == std::string::npos || !http::SameName(head.substr(at + 2, colon - at - 2), name))
          continue;
        if (!found.empty()) found += '|';
        found += http::Trimmed(head.substr(colon + 1, head.find("\r\n", colon) - colon - 1));
      }
      return found;
    }
  };

  class Link {
   public:
    Link(StandHost& host, int fd)
        : host_(host), fd_(fd), io_(host.loop_, [this](int events) { OnEvent(events); }) {
      Want();
    }
    ~Link() { End(); }
    // As far as it is read on the other side, and the rest as that goes on.
    void Write(std::string_view bytes) {
      out_.append(bytes);
      Flush();
    }
    // Once all is written.
    void Close() {
      closing_ = true;
      Flush();
    }
    void Reset() {
      if (open()) net::ResetOnClose(fd_);
      End();
    }
    void Pause() {
      paused_ = true;
      Want();
    }
    void GoOn() {
      paused_ = false;
      Want();
    }
    bool open() const { return fd_ >= 0; }

   private:
    void OnEvent(int events) {
      if ((events & EV_WRITE) != 0) Flush();
      if (!open() || (events & EV_READ) == 0) return;
      char bytes[16 * 1024];
      const ssize_t count = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
      if (count == 0 || (count < 0 && errno != EAGAIN)) return End();
      if (count > 0) in_.append(bytes, static_cast<std::size_t>(count));
      if (host_.came) host_.came(*this, in_.size());
      Request request;
      while (open() && !paused_ && TakeRequest(request)) host_.handle(*this, request);
    }
    bool TakeRequest(Request& request) {
      const std::size_t end = in_.find("\r\n\r\n");
      if (end == std::string::npos) return false;
      request.head = in_.substr(0, end + 2);
      std::size_t at = end + 4;
      request.body.clear();
      if (request.Find("Transfer-Encoding").empty()) {
        const std::size_t length = std::strtoul(request.Find("Content-Length").c_str(), nullptr, 10);
        if (in_.size() < at + length) return false;
        request.body = in_.substr(at, length);
        at += length;
      } else {
        for (std::size_t size = 1; size > 0;) {
          const std::size_t line = in_.find("\r\n", at);
          if (line == std::string::npos) return false;
          size = std::strtoul(in_.c_str() + at, nullptr, 16);
          if (in_.size() < line + 4 + size) return false;
          request.body += in_.substr(line + 2, size);
          at = line + 4 + size;
        }
      }
      request.method = request.head.substr(0, request.head.find(' '));
      request.target = request.head.substr(request.method.size() + 1);
      request.target.resize(request.target.find(' '));
      in_.erase(0, at);
      return true;
    }
    void Flush() {
      while (open() && !out_.empty()) {
        const ssize_t sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN) return End();
        if (sent <= 0) break;
        out_.erase(0, static_cast<std::size_t>(sent));
      }
      if (closing_ && out_.empty()) return End();
      Want();
    }
    void Want() {
      if (open()) io_.Want(fd_, (paused_ ? 0 : EV_READ) | (out_.empty() ? 0 : EV_WRITE));
    }
    void End() {
      if (!open()) return;
      io_.Stop();
      ::close(std::exchange(fd_, -1));
    }

    StandHost& host_;
    int fd_;
    net::IoWatcher io_;
    std::string in_, out_;
    bool closing_ = false, paused_ = false;
  };

  explicit StandHost(struct ev_loop* loop) : loop_(loop), io_(loop, [this](int) { Accept(); }) {
    std::string error;
    fd_ = net::ListenOn({0x7f000001, 0}, address_, error);
    io_.Want(fd_, EV_READ);
  }
  ~StandHost() { Refuse(); }
  // Whoever connects from now on is refused.
  void Refuse() {
    io_.Stop();
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  Address address() const { return address_; }
  std::size_t open_links() const {
    return static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(), [](const Link& link) { return link.open(); }));
  }

  std::function<void(Link&, const Request&)> handle;
  std::function<void(Link&)> accepted;
  std::function<void(Link&, std::size_t)> came;  // so many bytes of a request that may not be whole

 private:
  void Accept() {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    links_.remove_if([](const Link& link) { return !link.open(); });
    Link& link = links_.emplace_back(*this, fd);
    if (accepted) accepted(link);
  }

  struct ev_loop* loop_;
  Address address_;
  int fd_ = -1;
  net::IoWatcher io_;
  std::list<Link> links_;
};

}  // namespace curlewdoor::system
