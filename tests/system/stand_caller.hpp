// A client on loopback for tests, which reads as fast as it is told, and what its bytes say.
#pragma once

#include <netinet/tcp.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/message.hpp"
#include "loop.hpp"
#include "stand_host.hpp"

namespace curlewdoor::system {

class Caller {
 public:
  // `buffer`: bytes that its system takes for it; 0: as usual.
  Caller(struct ev_loop* loop, std::uint16_t port, bool reads = true, int buffer = 0)
      : Caller(loop, Address{0x7f000001, port}, reads, buffer) {}
  Caller(struct ev_loop* loop, const Address& address, bool reads = true, int buffer = 0)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), io_(loop, [this](int events) {
          if ((events & EV_WRITE) != 0) Flush();
          if ((events & EV_READ) != 0) Take(64 * 1024);
        }) {
    if (buffer > 0) LimitBuffer(fd_, SO_RCVBUF, buffer);
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in to = address.ToSocket();
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) over = true;
    reads_ = reads;
    Want();
  }
  ~Caller() { Close(); }

  void Write(std::string_view bytes) {
    out_.append(bytes);
    Flush();
  }
  // Reads so many bytes at the most, now.
  void Take(std::size_t most) {
    while (fd_ >= 0 && !over && most > 0) {
      char bytes[16 * 1024];
      const ssize_t count = ::recv(fd_, bytes, std::min(most, sizeof bytes), MSG_DONTWAIT);
      if (count < 0 && errno == EAGAIN) return;
      if (count <= 0) {
        over = true;
        return Want();
      }
      came.append(bytes, static_cast<std::size_t>(count));
      most -= static_cast<std::size_t>(count);
    }
  }
  void ReadOn() {
    reads_ = true;
    Want();
  }
  void Close() {
    io_.Stop();
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void Reset() {
    net::ResetOnClose(fd_);
    Close();
  }

  std::string came;
  bool over = false;  // the other side has ended

 private:
  void Flush() {
    while (fd_ >= 0 && !out_.empty()) {
      const ssize_t sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent <= 0) {
        if (sent < 0 && errno != EAGAIN) out_.clear();
        break;
      }
      out_.erase(0, static_cast<std::size_t>(sent));
    }
    Want();
  }
  void Want() {
    if (fd_ >= 0) io_.Want(fd_, (reads_ && !over ? EV_READ : 0) | (out_.empty() ? 0 : EV_WRITE));
  }

  int fd_;
  net::IoWatcher io_;
  std::string out_;
  bool reads_ = true;
};

struct Answer {
  int status = 0;
  std::string head, body;
  bool closes = false;
  std::string Find(std::string_view name) const {
    StandHost::Request lines;
    lines.head = head;
    return lines.Find(std::string(name));
  }
};

struct Answers {
  std::vector<Answer> whole;
  std::string rest;  // what is no whole answer
};

// All that stands in the bytes one behind another. One without a length goes up to the `end`, if that is it.
inline Answers Split(std::string_view bytes, bool end) {
  Answers answers;
  while (!bytes.empty()) {
    answers.rest = bytes;
    const std::size_t head = bytes.find("\r\n\r\n");
    if (!bytes.starts_with("HTTP/1.1 ") || head == std::string_view::npos) return answers;
    Answer answer;
    answer.head = bytes.substr(0, head + 2);
    answer.status = std::atoi(answer.head.c_str() + 9);
    answer.closes = answer.Find("Connection") == "close";
    const std::string length = answer.Find("Content-Length");
    std::size_t at = head + 4;
    if (answer.Find("Transfer-Encoding") == "chunked") {
      for (std::size_t size = 1; size > 0;) {
        const std::size_t line = bytes.find("\r\n", at);
        if (line == std::string_view::npos) return answers;
        size = std::strtoul(std::string(bytes.substr(at, line - at)).c_str(), nullptr, 16);
        if (bytes.size() < line + 4 + size || bytes.substr(line + 2 + size, 2) != "\r\n") return answers;
        answer.body += bytes.substr(line + 2, size);
        at = line + 4 + size;
      }
    } else if (!length.empty()) {
      const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
      if (bytes.size() < at + size) return answers;
      answer.body = bytes.substr(at, size);
      at += size;
    } else {
      if (!end) return answers;
      answer.body = bytes.substr(at);
      at = bytes.size();
    }
    bytes.remove_prefix(at);
    answers.whole.push_back(std::move(answer));
    answers.rest.clear();
  }
  return answers;
}

}  // namespace curlewdoor::system
