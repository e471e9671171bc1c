#include "net/ledger.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "util/number.hpp"

namespace curlewdoor::net {
namespace {

constexpr std::chrono::seconds kLongestCall{2};

}  // namespace

Ledger::Ledger(struct ev_loop* loop, Descriptors& descriptors, const Address& address, Owner& owner)
    : loop_(loop),
      descriptors_(descriptors),
      address_(address),
      owner_(owner),
      io_(loop, [this](int events) { OnEvent(events); }),
      timer_(loop, [this](int) { Fail("no answer in time"); }) {}

Ledger::~Ledger() { Close(); }

void Ledger::Close() {
  io_.Stop();
  timer_.Stop();
  descriptor_.Close();
  in_.clear();
  out_.clear();
  state_ = State::kClosed;
}

void Ledger::Fail(const std::string& why) {
  Close();
  owner_.OnFailed(why);
}

void Ledger::Append() {
  if (state_ == State::kIdle) return Write();
  if (state_ != State::kClosed) return;
  auto descriptor = descriptors_.Take(Use::kFleet);
  const int fd = descriptor ? ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
  if (fd < 0) return owner_.OnFailed("no descriptor is left");
  descriptor->Set(fd);
  descriptor_ = std::move(*descriptor);
  const sockaddr_in to = address_.ToSocket();
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS)
    return Fail(std::strerror(errno));
  state_ = State::kConnecting;
  ev_now_update(loop_);
  timer_.StartIn(kLongestCall);
  io_.Want(fd, EV_WRITE);
}

void Ledger::OnEvent(int events) {
  if ((events & EV_READ) != 0) return Read();
  if (state_ == State::kConnecting) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(descriptor_.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return Fail(std::strerror(error));
  }
  Write();
}

// The line is made only now. A line is short: the system takes it whole or the connection is given up.
void Ledger::Write() {
  const auto line = owner_.OnReady();
  timer_.Stop();
  if (!line || line->size() >= kMostLine) {
    state_ = State::kIdle;
    return io_.Want(descriptor_.fd(), EV_READ);
  }
  out_ = *line + "\n";
  const ssize_t sent = ::send(descriptor_.fd(), out_.data(), out_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent != static_cast<ssize_t>(out_.size())) return Fail("the connection takes no line");
  state_ = State::kWaiting;
  ev_now_update(loop_);
  timer_.StartIn(kLongestCall);
  io_.Want(descriptor_.fd(), EV_READ);
}

void Ledger::Read() {
  std::array<char, kMostLine> bytes;
  const ssize_t size = ::recv(descriptor_.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (size <= 0) return state_ == State::kWaiting ? Fail("the connection ended") : Close();
  in_.append(bytes.data(), static_cast<std::size_t>(size));
  const auto end = in_.find('\n');
  if (end == std::string::npos) return in_.size() < kMostLine ? void() : Fail("an answer too long");
  if (state_ != State::kWaiting) return Close();  // nobody asked
  const std::string line = in_.substr(0, end);
  in_.erase(0, end + 1);
  timer_.Stop();
  state_ = State::kIdle;
  std::uint64_t number = 0;
  if (line.starts_with("OK ") && ParseNumber(line.substr(3), number)) return owner_.OnTaken(number);
  if (line.starts_with("STALE ") && ParseNumber(line.substr(6), number)) return owner_.OnStale(number);
  Fail(fmt::format("answered \"{}\"", line.substr(0, 64)));
}

}  // namespace curlewdoor::net
