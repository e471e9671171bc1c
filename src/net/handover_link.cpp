#include "net/handover_link.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <optional>
#include <vector>

namespace curlewdoor::net {
namespace {

constexpr std::size_t kReadAtOnce = 64 * 1024;
constexpr int kReadsAtOnce = 32;  // then others get their turn

// A Unix address for `path`. One that is too long goes by its folder's descriptor.
struct UnixAddress {
  explicit UnixAddress(const std::string& path) {
    address.sun_family = AF_UNIX;
    std::string name = path;
    const auto slash = path.rfind('/');
    if (path.size() >= sizeof address.sun_path && slash != std::string::npos) {
      folder = ::open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
      name = fmt::format("/proc/self/fd/{}{}", folder, path.substr(slash));
    }
    fits = name.size() < sizeof address.sun_path;
    if (fits) std::memcpy(address.sun_path, name.c_str(), name.size() + 1);
  }
  ~UnixAddress() {
    if (folder >= 0) ::close(folder);
  }
  UnixAddress(const UnixAddress&) = delete;
  UnixAddress& operator=(const UnixAddress&) = delete;
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&address); }

  sockaddr_un address{};
  int folder = -1;
  bool fits = false;
};

int NewSocket() { return ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

// Only a process of the same user is another process of this gateway.
bool SameUser(int fd) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::getuid();
}

}  // namespace

// ---- The link -----------------------------------------------------------------------------------------

HandoverLink::HandoverLink(struct ev_loop* loop, int fd, Owner& owner)
    : fd_(fd), owner_(owner), io_(loop, [this](int events) { OnEvent(events); }) {
  io_.GoFirst();
  io_.Want(fd_, EV_READ);
}

HandoverLink::~HandoverLink() {
  io_.Stop();
  ::close(fd_);
  for (int fd : fds_) ::close(fd);
}

void HandoverLink::Send(handover::Kind kind, std::string_view payload, Descriptor descriptor) {
  if (ended_) return;
  out_.push_back({handover::Encode(kind, payload), 0, std::move(descriptor)});
  Flush();
}

void HandoverLink::Flush() {
  while (!out_.empty()) {
    Out& next = out_.front();
    iovec piece{next.bytes.data() + next.sent, next.bytes.size() - next.sent};
    msghdr message{};
    message.msg_iov = &piece;
    message.msg_iovlen = 1;
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    if (next.sent == 0 && next.descriptor.open()) {
      message.msg_control = control;
      message.msg_controllen = sizeof control;
      cmsghdr* head = CMSG_FIRSTHDR(&message);
      head->cmsg_level = SOL_SOCKET;
      head->cmsg_type = SCM_RIGHTS;
      head->cmsg_len = CMSG_LEN(sizeof(int));
      const int fd = next.descriptor.fd();
      std::memcpy(CMSG_DATA(head), &fd, sizeof fd);
    }
    const ssize_t sent = ::sendmsg(fd_, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) break;  // the end is told by the read that finds it
    next.descriptor.Close();
    next.sent += static_cast<std::size_t>(sent);
    if (next.sent == next.bytes.size()) out_.pop_front();
  }
  io_.Want(fd_, out_.empty() ? EV_READ : EV_READ | EV_WRITE);
}

void HandoverLink::OnEvent(int events) {
  if ((events & EV_WRITE) != 0) Flush();
  if ((events & EV_READ) != 0) Read();
}

void HandoverLink::Read() {
  static std::vector<char> bytes(kReadAtOnce);
  for (int i = 0; i < kReadsAtOnce && !ended_; ++i) {
    iovec piece{bytes.data(), bytes.size()};
    msghdr message{};
    message.msg_iov = &piece;
    message.msg_iovlen = 1;
    alignas(cmsghdr) char control[CMSG_SPACE(4 * sizeof(int))] = {};
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    const ssize_t count = ::recvmsg(fd_, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    for (cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr; head = CMSG_NXTHDR(&message, head)) {
      if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
      for (std::size_t at = 0; CMSG_LEN(at + sizeof(int)) <= head->cmsg_len; at += sizeof(int)) {
        int fd = -1;
        std::memcpy(&fd, CMSG_DATA(head) + at, sizeof fd);
        fds_.push_back(fd);
      }
    }
    if (count <= 0) return End();
    in_.append(bytes.data(), static_cast<std::size_t>(count));
    if (!TakeFrames()) return End();
  }
}

bool HandoverLink::TakeFrames() {
  bool broken = false;
  while (const auto frame = handover::TakeFrame(in_, broken)) {
    int fd = -1;
    if (handover::HasDescriptor(frame->kind)) {
      if (fds_.empty()) return false;
      fd = fds_.front();
      fds_.pop_front();
    }
    owner_.OnFrame(*this, *frame, fd);
  }
  return !broken;
}

void HandoverLink::End() {
  ended_ = true;
  io_.Stop();
  out_.clear();
  owner_.OnEnd(*this);
}

// ---- The port -----------------------------------------------------------------------------------------

HandoverPort::HandoverPort(struct ev_loop* loop, std::function<void(int fd)> on_link)
    : on_link_(std::move(on_link)), io_(loop, [this](int) { Accept(); }) {
  io_.GoFirst();
}

HandoverPort::~HandoverPort() {
  io_.Stop();
  if (fd_ >= 0) ::close(fd_);
}

// Bound under a name of its own and then renamed, so that there is no moment without anybody there.
bool HandoverPort::Listen(const std::string& path, std::string& error) {
  const std::string own = fmt::format("{}.{}", path, ::getpid());
  const auto fail = [&](const char* what) {
    error = fmt::format("{} {}: {}", what, own, std::strerror(errno));
    ::unlink(own.c_str());
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    return false;
  };
  io_.Stop();
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  ::unlink(own.c_str());
  const UnixAddress address(own);
  errno = ENAMETOOLONG;
  if (!address.fits) return fail("no address for");
  fd_ = NewSocket();
  if (fd_ < 0) return fail("no socket for");
  const mode_t before = ::umask(0077);
  const int bound = ::bind(fd_, address.get(), sizeof address.address);
  ::umask(before);
  if (bound != 0) return fail("can't bind");
  if (::listen(fd_, 4) != 0) return fail("can't listen on");
  if (std::rename(own.c_str(), path.c_str()) != 0) return fail("can't rename");
  io_.Want(fd_, EV_READ);
  return true;
}

void HandoverPort::Pause(bool on) {
  if (fd_ >= 0) io_.Want(fd_, on ? 0 : EV_READ);
}

void HandoverPort::Accept() {
  const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  if (SameUser(fd)) return on_link_(fd);
  ::close(fd);
}

int ConnectToPort(const std::string& path, std::string& error) {
  const UnixAddress address(path);
  const int fd = address.fits ? NewSocket() : -1;
  if (fd < 0) {
    error = fmt::format("no address or socket for {}", path);
    return -1;
  }
  if (::connect(fd, address.get(), sizeof address.address) == 0 && SameUser(fd)) return fd;
  if (errno != ENOENT && errno != ECONNREFUSED) error = fmt::format("{}: {}", path, std::strerror(errno));
  ::close(fd);
  return -1;
}

}  // namespace curlewdoor::net
