// Blocking HTTP/1.1 on loopback for the stand-ins of review/: no more than they need.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>

namespace standin {

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline sockaddr_in At(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = ::inet_addr(ip.c_str());
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

class Log {
 public:
  explicit Log(const std::string& path) : file_(path, std::ios::app) {}
  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    file_ << line << '\n' << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const std::string& ip, int port, int seconds)
      : Connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const timeval longest{seconds, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof longest);
    ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &longest, sizeof longest);
    const sockaddr_in to = At(ip, port);
    up_ = ::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  }
  ~Connection() { ::close(fd_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool up() const { return up_; }
  bool Send(const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t count = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (count <= 0) return false;
      at += static_cast<std::size_t>(count);
    }
    return true;
  }
  // Up to and with the blank line.
  std::optional<std::string> ReadHead() {
    for (;;) {
      if (const auto end = in_.find("\r\n\r\n"); end != std::string::npos) return Take(end + 4);
      if (!ReadMore()) return std::nullopt;
    }
  }
  std::optional<std::string> ReadLine() {
    for (;;) {
      if (const auto end = in_.find("\r\n"); end != std::string::npos) return Take(end + 2);
      if (!ReadMore()) return std::nullopt;
    }
  }
  std::optional<std::string> Read(std::size_t size) {
    while (in_.size() < size)
      if (!ReadMore()) return std::nullopt;
    return Take(size);
  }

 private:
  std::string Take(std::size_t size) {
    std::string taken = in_.substr(0, size);
    in_.erase(0, size);
    return taken;
  }
  bool ReadMore() {
    char bytes[64 * 1024];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    in_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  const int fd_;
  bool up_ = true;
  std::string in_;
};

// The value of a header; empty where it isn't there.
inline std::string HeaderOf(const std::string& head, const std::string& name) {
  std::string lower;
  for (const char c : head) lower += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  const auto at = lower.find("\r\n" + name + ":");
  if (at == std::string::npos) return {};
  auto begin = at + name.size() + 3;
  while (head[begin] == ' ') ++begin;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

inline int StatusOf(const std::string& head) { return head.size() > 12 ? std::atoi(head.c_str() + 9) : 0; }

}  // namespace standin
