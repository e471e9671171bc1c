#include "playing/ledger_door.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "net/socket_io.hpp"

namespace curlewdoor::playing {

LedgerDoor::LedgerDoor(struct ev_loop* loop, OnLine on_line)
    : loop_(loop), on_line_(std::move(on_line)), io_(loop, [this](int) { Accept(); }) {}

LedgerDoor::~LedgerDoor() {
  io_.Stop();
  for (Line& line : lines_) End(line);
  if (fd_ >= 0) ::close(fd_);
}

bool LedgerDoor::Open(const Address& address, std::string& error) {
  fd_ = net::ListenOn(address, address_, error);
  if (fd_ >= 0) io_.Want(fd_, EV_READ);
  return fd_ >= 0;
}

void LedgerDoor::Accept() {
  const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  Line& line = lines_.emplace_back();
  line.fd = fd;
  line.io = std::make_unique<net::IoWatcher>(loop_, [this, &line](int) { Read(line); });
  line.io->Want(fd, EV_READ);
}

void LedgerDoor::Read(Line& line) {
  std::array<char, 4096> bytes;
  const ssize_t size = ::recv(line.fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (size <= 0) return End(line);
  line.in.append(bytes.data(), static_cast<std::size_t>(size));
  for (auto end = line.in.find('\n'); end != std::string::npos; end = line.in.find('\n')) {
    const std::string text = line.in.substr(0, end);
    line.in.erase(0, end + 1);
    if (holding_) {
      held_.push_back({&line, text});
    } else {
      Take(line, text);
    }
  }
}

// What has been sent arrives, also where its sender has gone meanwhile.
void LedgerDoor::Take(Line& line, const std::string& text) {
  const std::string answer = on_line_(text) + "\n";
  if (line.fd >= 0) ::send(line.fd, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void LedgerDoor::Hold(bool on) {
  holding_ = on;
  if (on) return;
  for (const Held& each : std::exchange(held_, {})) Take(*each.from, each.text);
}

void LedgerDoor::End(Line& line) {
  if (line.io) line.io->Stop();
  if (line.fd >= 0) ::close(std::exchange(line.fd, -1));
}

void LedgerDoor::Reap() {
  if (held_.empty()) lines_.remove_if([](const Line& line) { return line.fd < 0; });
}

}  // namespace curlewdoor::playing
