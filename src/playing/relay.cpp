#include "playing/relay.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "net/socket_io.hpp"

namespace curlewdoor::playing {
namespace {

constexpr std::size_t kMostDatagram = 65'536;
constexpr std::size_t kMostLate = 100'000;
constexpr std::chrono::seconds kLongestTalk{5};
constexpr double kReorder_s = 0.3;

}  // namespace

Relay::Relay(struct ev_loop* loop, int gateway, Who who, Link link, std::uint64_t seed)
    : loop_(loop),
      gateway_(gateway),
      who_(std::move(who)),
      link_(std::move(link)),
      random_(standin::MakeRandom(seed, fmt::format("relay {}", gateway))),
      udp_io_(loop, [this](int) { ReadDatagrams(); }),
      tcp_io_(loop, [this](int) { Accept(); }) {}

Relay::~Relay() {
  for (Talk& talk : talks_) End(talk);
  for (int fd : {udp_, tcp_})
    if (fd >= 0) ::close(fd);
}

bool Relay::Open(std::uint32_t ip, std::string& error) {
  tcp_ = net::ListenOn(Address{ip, 0}, address_, error);
  if (tcp_ < 0) return false;
  udp_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in socket = address_.ToSocket();
  if (udp_ < 0 || ::bind(udp_, reinterpret_cast<const sockaddr*>(&socket), sizeof socket) != 0) {
    error = fmt::format("can't bind {} for datagrams: {}", address_.ToText(), std::strerror(errno));
    return false;
  }
  udp_io_.Want(udp_, EV_READ);
  tcp_io_.Want(tcp_, EV_READ);
  return true;
}

bool Relay::Cut(int from) const { return from < 0 || link_(from, gateway_).cut || link_(gateway_, from).cut; }

// ---- Datagrams ----------------------------------------------------------------------------------------

void Relay::ReadDatagrams() {
  static std::array<char, kMostDatagram> bytes;
  for (;;) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t count =
        ::recvfrom(udp_, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0) return;
    const int sender = who_(ntohl(from.sin_addr.s_addr));
    if (sender < 0) continue;
    const fleetkit::LinkTrouble& link = link_(sender, gateway_);
    if (link.cut || standin::Chance(random_, link.loss)) continue;
    std::string datagram(bytes.data(), static_cast<std::size_t>(count));
    if (!datagram.empty() && standin::Chance(random_, link.corrupt))
      datagram[standin::Below(random_, datagram.size())] ^=
          static_cast<char>(1 + standin::Below(random_, 255));
    const int copies = standin::Chance(random_, link.repeat) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      double delay = link.delay_s;
      if (standin::Chance(random_, link.reorder)) delay += standin::Uniform(random_, 0, kReorder_s);
      if (delay <= 0 || late_.size() >= kMostLate) {
        Pass(datagram);
        continue;
      }
      Late& late = late_.emplace_back();
      late.timer = std::make_unique<net::TimerWatcher>(loop_, [this, &late, datagram](int) {
        Pass(datagram);
        late.done = true;
      });
      ev_now_update(loop_);
      late.timer->StartIn(standin::FromSeconds(delay));
    }
  }
}

void Relay::Pass(const std::string& bytes) {
  if (target_.port == 0) return;
  const sockaddr_in to = target_.ToSocket();
  ::sendto(udp_, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void Relay::Reap() {
  late_.remove_if([](const Late& late) { return late.done; });
  talks_.remove_if([](const Talk& talk) { return talk.ended; });
}

// ---- Exchanges ----------------------------------------------------------------------------------------

void Relay::Accept() {
  for (;;) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const int fd = ::accept4(tcp_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    Talk& talk = talks_.emplace_back();
    talk.near_fd = fd;
    talk.from = who_(ntohl(from.sin_addr.s_addr));
    talk.timer = std::make_unique<net::TimerWatcher>(loop_, [this, &talk](int) { End(talk); });
    ev_now_update(loop_);
    talk.timer->StartIn(kLongestTalk);
    if (!Cut(talk.from)) Join(talk);  // else it stays open and silent, as with a machine that was cut off
  }
}

void Relay::Join(Talk& talk) {
  talk.far_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in to = target_.ToSocket();
  if (talk.far_fd < 0 || target_.port == 0 ||
      (::connect(talk.far_fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 &&
       errno != EINPROGRESS))
    return End(talk);
  talk.near_io =
      std::make_unique<net::IoWatcher>(loop_, [this, &talk](int) { Pump(talk, talk.near_fd, talk.far_fd); });
  talk.far_io = std::make_unique<net::IoWatcher>(loop_, [this, &talk](int events) {
    if ((events & EV_WRITE) != 0) {
      talk.far_io->Want(talk.far_fd, EV_READ);
      talk.near_io->Want(talk.near_fd, EV_READ);
    }
    if ((events & EV_READ) != 0) Pump(talk, talk.far_fd, talk.near_fd);
  });
  talk.far_io->Want(talk.far_fd, EV_READ | EV_WRITE);
}

// Exchanges are short: what the other side does not take at once is waited for by the sockets' own buffers.
void Relay::Pump(Talk& talk, int in, int out) {
  if (talk.ended) return;
  if (Cut(talk.from)) {
    talk.near_io->Stop();
    talk.far_io->Stop();
    return;
  }
  std::array<char, 64 * 1024> bytes;
  const ssize_t count = ::recv(in, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) return End(talk);
  if (::send(out, bytes.data(), static_cast<std::size_t>(count), MSG_DONTWAIT | MSG_NOSIGNAL) != count)
    End(talk);
}

void Relay::LinksChanged() {
  for (Talk& talk : talks_) {
    if (talk.ended || talk.near_io == nullptr || !Cut(talk.from)) continue;
    talk.near_io->Stop();
    talk.far_io->Stop();
  }
}

void Relay::End(Talk& talk) {
  if (std::exchange(talk.ended, true)) return;
  if (talk.near_io) talk.near_io->Stop();
  if (talk.far_io) talk.far_io->Stop();
  if (talk.timer) talk.timer->Stop();
  for (int* fd : {&talk.near_fd, &talk.far_fd})
    if (*fd >= 0) ::close(std::exchange(*fd, -1));
}

}  // namespace curlewdoor::playing
