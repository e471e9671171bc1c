#include "net/socket_io.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cstring>

namespace curlewdoor::net {
namespace {

bool MayContinue(int error) { return error == EAGAIN || error == EINTR; }

// A write to a connection that broke must not raise SIGPIPE.
WriteResult Send(int fd, const iovec* pieces, std::size_t count) {
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(pieces);
  message.msg_iovlen = std::min<std::size_t>(count, IOV_MAX);
  const ssize_t sent = ::sendmsg(fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent >= 0) return {static_cast<std::size_t>(sent), false};
  return {0, !MayContinue(errno)};
}

ReadStatus StatusOf(ssize_t count) {
  if (count < 0) return MayContinue(errno) ? ReadStatus::kNothing : ReadStatus::kBroken;
  return count == 0 ? ReadStatus::kEnd : ReadStatus::kBytes;
}

}  // namespace

int ListenOn(const Address& address, Address& bound, std::string& error) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto fail = [&](const char* what) {
    error = fmt::format("{} {}: {}", what, address.ToText(), std::strerror(errno));
    if (fd >= 0) ::close(fd);
    return -1;
  };
  if (fd < 0) return fail("no socket for");
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in socket = address.ToSocket();
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&socket), sizeof socket) != 0) return fail("can't bind");
  if (::listen(fd, SOMAXCONN) != 0) return fail("can't listen on");
  socklen_t size = sizeof socket;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&socket), &size);
  bound = Address{address.ip, ntohs(socket.sin_port)};
  return fd;
}

void LimitSocket(int socket, const SocketLimits& limits) {
  const int receive = static_cast<int>(limits.receive), unsent = static_cast<int>(limits.unsent);
  if (receive > 0) ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive, sizeof receive);
  if (unsent > 0) ::setsockopt(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent, sizeof unsent);
}

void LimitBacklog(int listening_socket, int backlog) { ::listen(listening_socket, backlog); }

bool CheckInherited(int fd, const Address& address, std::string& error) {
  const auto fail = [&](const std::string& what) {
    error = fmt::format("inherited descriptor {} {}", fd, what);
    return false;
  };
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  int type = 0, listens = 0;
  socklen_t type_size = sizeof type, listens_size = sizeof listens;
  const int flags = ::fcntl(fd, F_GETFL);
  if (flags < 0) return fail("is not open");
  if (::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &type_size) != 0 || type != SOCK_STREAM ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size) != 0 || bound.sin_family != AF_INET)
    return fail("is not a TCP socket over IPv4");
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listens_size) != 0 || listens == 0)
    return fail("does not listen");
  const Address at{ntohl(bound.sin_addr.s_addr), ntohs(bound.sin_port)};
  const bool any = at.ip == INADDR_ANY && at.port == address.port;
  if (at != address && !any)
    return fail(fmt::format("listens on {}, not on {}", at.ToText(), address.ToText()));
  // Two processes accept from it in turn: one that finds nothing there must not wait.
  if (::fcntl(fd, F_SETFL, flags | O_NONBLOCK) != 0 || ::fcntl(fd, F_SETFD, FD_CLOEXEC) != 0)
    return fail(std::strerror(errno));
  return true;
}

WriteResult WritePieces(int fd, std::span<const iovec> pieces, http::Buffer& rest) {
  WriteResult result;
  if (rest.empty()) result = Send(fd, pieces.data(), pieces.size());
  std::size_t skip = result.written;
  for (const iovec& piece : pieces) {
    const std::size_t taken = std::min(skip, piece.iov_len);
    skip -= taken;
    rest.Append({static_cast<const char*>(piece.iov_base) + taken, piece.iov_len - taken});
  }
  return result;
}

WriteResult FlushBuffer(int fd, http::Buffer& rest) {
  const iovec piece = http::Piece(rest.view());
  const WriteResult result = Send(fd, &piece, 1);
  rest.Consume(result.written);
  return result;
}

ReadStatus ReadInto(int fd, http::Buffer& buffer, std::size_t least) {
  char* const at = buffer.Prepare(least);
  const ssize_t count = ::recv(fd, at, buffer.free(), MSG_DONTWAIT);
  const ReadStatus status = StatusOf(count);
  if (status == ReadStatus::kBytes) buffer.Commit(static_cast<std::size_t>(count));
  return status;
}

ReadStatus Discard(int fd) {
  static std::array<char, 64 * 1024> nobodys;
  return StatusOf(::recv(fd, nobodys.data(), nobodys.size(), MSG_DONTWAIT));
}

ReadStatus Peek(int fd) {
  char byte = 0;
  return StatusOf(::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT));
}

void ResetOnClose(int socket) {
  const linger at_once{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

std::size_t Unacknowledged(int socket) {
  int bytes = 0;
  return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(std::max(0, bytes)) : 0;
}

bool HasEnded(int socket) {
  pollfd state{socket, POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void LimitSilence(int socket, Duration longest) {
  const auto set = [&](int level, int option, int value) {
    ::setsockopt(socket, level, option, &value, sizeof value);
  };
  const auto ms = static_cast<int>(longest / std::chrono::milliseconds(1));
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, ms);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, 1);
  set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
  set(IPPROTO_TCP, TCP_KEEPCNT, std::max(1, ms / 1000));
}

std::optional<Duration> SinceReceived(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace curlewdoor::net
