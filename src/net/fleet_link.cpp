#include "net/fleet_link.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "fleet/message.hpp"
#include "net/socket_io.hpp"

namespace curlewdoor::net {
namespace {

constexpr int kDatagramsAtOnce = 64, kAcceptAtOnce = 8;  // then others get their turn
constexpr std::chrono::seconds kLongestExchange{2};
constexpr std::size_t kFrameHead = 4;  // the length of what follows, little-endian

std::string Frame(std::string_view bytes) {
  const auto size = static_cast<std::uint32_t>(bytes.size());
  std::string frame(kFrameHead, '\0');
  std::memcpy(frame.data(), &size, sizeof size);
  return frame.append(bytes);
}

}  // namespace

FleetLink::FleetLink(struct ev_loop* loop, Descriptors& descriptors, Owner& owner)
    : loop_(loop),
      descriptors_(descriptors),
      owner_(owner),
      udp_io_(loop, [this](int) { ReadDatagrams(); }),
      tcp_io_(loop, [this](int) { Accept(); }) {}

FleetLink::~FleetLink() { Close(); }

bool FleetLink::Open(const Address& address, std::string& error) {
  tcp_ = ListenOn(address, address_, error);
  if (tcp_ < 0) return false;
  udp_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in socket = address_.ToSocket();
  if (udp_ < 0 || ::bind(udp_, reinterpret_cast<const sockaddr*>(&socket), sizeof socket) != 0) {
    error = fmt::format("can't bind {} for datagrams: {}", address_.ToText(), std::strerror(errno));
    Close();
    return false;
  }
  udp_io_.Want(udp_, EV_READ);
  tcp_io_.Want(tcp_, EV_READ);
  return true;
}

void FleetLink::Close() {
  udp_io_.Stop();
  tcp_io_.Stop();
  talks_.clear();
  for (int* fd : {&udp_, &tcp_})
    if (*fd >= 0) ::close(std::exchange(*fd, -1));
}

// ---- Datagrams ----------------------------------------------------------------------------------------

void FleetLink::Send(const Address& to, std::string_view datagram) {
  if (!open()) return;
  const sockaddr_in socket = to.ToSocket();
  const ssize_t sent = ::sendto(udp_, datagram.data(), datagram.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                                reinterpret_cast<const sockaddr*>(&socket), sizeof socket);
  if (sent < 0) {
    ++counts_.not_sent;  // as if it had been lost on its way
    return;
  }
  ++counts_.sent;
  counts_.sent_bytes += datagram.size();
}

void FleetLink::ReadDatagrams() {
  std::array<char, fleet::kMaxDatagramBytes + 1> bytes;  // one byte more shows one that is too long
  for (int i = 0; i < kDatagramsAtOnce && open(); ++i) {
    const ssize_t size = ::recv(udp_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0) return;
    ++counts_.got;
    counts_.got_bytes += static_cast<std::uint64_t>(size);
    owner_.OnDatagram({bytes.data(), static_cast<std::size_t>(size)});
  }
}

// ---- Exchanges ----------------------------------------------------------------------------------------

void FleetLink::Exchange(const Address& with, std::string_view bytes) {
  const auto same = [&](const Talk& talk) { return !talk.ended && talk.asker && talk.with == with; };
  if (std::any_of(talks_.begin(), talks_.end(), same)) return;
  auto descriptor = descriptors_.Take(Use::kFleet);
  const int fd = descriptor ? ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
  if (fd < 0) {
    ++counts_.refused_exchanges;
    return owner_.OnExchangeEnd(with, {});
  }
  descriptor->Set(fd);
  // From the address that this gateway listens on, so that whoever stands between can tell who asks.
  sockaddr_in from = Address{address_.ip, 0}.ToSocket();
  const sockaddr_in to = with.ToSocket();
  ::bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof from);
  ++counts_.exchanges;
  const bool failed =
      ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS;
  Talk& talk = talks_.emplace_back(*this, std::move(*descriptor), true);
  talk.with = with;
  talk.out = Frame(bytes);
  if (failed) return End(talk, {});
  talk.io.Want(talk.descriptor.fd(), EV_WRITE);
}

void FleetLink::Accept() {
  for (int i = 0; i < kAcceptAtOnce; ++i) {
    const int fd = ::accept4(tcp_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto descriptor = descriptors_.Take(Use::kFleet);
    if (!descriptor) {
      ++counts_.refused_exchanges;
      ::close(fd);
      continue;
    }
    descriptor->Set(fd);
    Talk& talk = talks_.emplace_back(*this, std::move(*descriptor), false);
    talk.io.Want(talk.descriptor.fd(), EV_READ);
  }
}

void FleetLink::Reap() {
  talks_.remove_if([](const Talk& talk) { return talk.ended; });
}

void FleetLink::End(Talk& talk, std::string_view answer) {
  if (std::exchange(talk.ended, true)) return;
  talk.io.Stop();
  talk.timer.Stop();
  talk.descriptor.Close();
  if (!talk.asker) return;
  if (answer.empty()) ++counts_.failed_exchanges;
  owner_.OnExchangeEnd(talk.with, answer);
}

FleetLink::Talk::Talk(FleetLink& owner, Descriptor given, bool asks)
    : link(owner),
      descriptor(std::move(given)),
      io(owner.loop_, [this](int events) { OnEvent(events); }),
      timer(owner.loop_, [this](int) { link.End(*this, {}); }),
      asker(asks) {
  ev_now_update(owner.loop_);
  timer.StartIn(kLongestExchange);
}

void FleetLink::Talk::OnEvent(int events) {
  if ((events & EV_WRITE) != 0) Write();
  if (!ended && (events & EV_READ) != 0) Read();
}

void FleetLink::Talk::Write() {
  const ssize_t sent = ::send(descriptor.fd(), out.data(), out.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN && errno != EINTR) return link.End(*this, {});
  if (sent > 0) out.erase(0, static_cast<std::size_t>(sent));
  if (!out.empty()) return io.Want(descriptor.fd(), EV_READ | EV_WRITE);
  if (!asker) return link.End(*this, {});
  io.Want(descriptor.fd(), EV_READ);
}

void FleetLink::Talk::Read() {
  std::array<char, 16 * 1024> bytes;
  const ssize_t size = ::recv(descriptor.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (size <= 0) return link.End(*this, {});
  in.append(bytes.data(), static_cast<std::size_t>(size));
  if (in.size() < kFrameHead) return;
  std::uint32_t length = 0;
  std::memcpy(&length, in.data(), sizeof length);
  if (length > fleet::kMaxExchangeBytes) return link.End(*this, {});
  if (in.size() < kFrameHead + length) return;
  const std::string_view message = std::string_view(in).substr(kFrameHead, length);
  if (asker) return link.End(*this, message);
  if (!out.empty()) return;  // answered already
  const std::string answer = link.owner_.OnExchange(message);
  if (ended) return;
  if (answer.empty()) return link.End(*this, {});
  out = Frame(answer);
  Write();
}

}  // namespace curlewdoor::net
