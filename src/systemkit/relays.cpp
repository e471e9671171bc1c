#include "systemkit/relays.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

#include "net/socket_io.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr std::size_t kMostDatagram = 65'536;
constexpr std::size_t kMostHeld = 256 * 1024;  // bytes of a stream, each way

bool HasClosed(int fd) {
  pollfd asked{fd, POLLRDHUP, 0};
  return ::poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void CloseReset(int fd) {
  const linger at_once{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::close(fd);
}

}  // namespace

struct Relays::Door {
  Door(Relays& relays, int which, const Ends& given)
      : machine(which),
        ends(given),
        datagram_io(relays.loop_, [this, &relays](int) { relays.ReadDatagrams(*this); }),
        exchange_io(relays.loop_,
                    [this, &relays](int) { relays.Accept(*this, exchange, relays.first_port_); }),
        link_io(relays.loop_, [this, &relays](int) {
          relays.Accept(*this, link, static_cast<std::uint16_t>(relays.first_port_ + 1));
        }) {}
  ~Door() { Close(); }
  void Close() {
    for (net::IoWatcher* io : {&datagram_io, &exchange_io, &link_io}) io->Stop();
    for (int* fd : {&datagram, &exchange, &link})
      if (*fd >= 0) ::close(std::exchange(*fd, -1));
  }
  const int machine;
  const Ends ends;
  int datagram = -1, exchange = -1, link = -1;
  net::IoWatcher datagram_io, exchange_io, link_io;
};

// Dialled by the machine `from` (near) to the machine `to` (far).
struct Relays::Stream {
  Stream(Relays& relays, int dialler, Door& door, std::uint16_t port, int fd)
      : from(dialler),
        to(door.machine),
        target{door.ends.bound, port},
        near_fd(fd),
        near_io(relays.loop_, [this, &relays](int events) { relays.OnEvent(*this, true, events); }),
        far_io(relays.loop_, [this, &relays](int events) { relays.OnEvent(*this, false, events); }) {}
  const int from, to;
  const Address target;
  int near_fd, far_fd = -1;  // far: -1 until both ways were joined
  bool near_over = false, far_over = false, ended = false;
  http::Buffer to_far, to_near;
  net::IoWatcher near_io, far_io;
};

Relays::Relays(struct ev_loop* loop, const std::vector<Ends>& machines, std::uint16_t first_port)
    : loop_(loop),
      first_port_(first_port),
      reap_(loop, [this](int) { streams_.remove_if([](const Stream& stream) { return stream.ended; }); }) {
  for (const Ends& ends : machines)
    Open(*doors_.emplace_back(std::make_unique<Door>(*this, static_cast<int>(doors_.size()), ends)));
  reap_.Start();
}

Relays::~Relays() {
  for (Stream& stream : streams_) End(stream, true);
}

void Relays::Open(Door& door) {
  const auto listen = [](const Address& address) {
    Address bound;
    std::string error;
    const int fd = net::ListenOn(address, bound, error);
    if (fd < 0) throw std::runtime_error(error);
    return fd;
  };
  const Address first{door.ends.reached, first_port_};
  door.exchange = listen(first);
  door.link = listen({door.ends.reached, static_cast<std::uint16_t>(first_port_ + 1)});
  door.datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in socket = first.ToSocket();
  if (::bind(door.datagram, reinterpret_cast<const sockaddr*>(&socket), sizeof socket) != 0)
    throw std::runtime_error("can't bind " + first.ToText() + " for datagrams");
  door.datagram_io.Want(door.datagram, EV_READ);
  door.exchange_io.Want(door.exchange, EV_READ);
  door.link_io.Want(door.link, EV_READ);
}

void Relays::SetOpen(int machine, bool open) {
  Door& door = *doors_.at(static_cast<std::size_t>(machine));
  if (open == (door.link >= 0)) return;
  open ? Open(door) : door.Close();
}

int Relays::MachineBoundAt(std::uint32_t ip) const {
  for (const auto& door : doors_)
    if (door->ends.bound == ip) return door->machine;
  return -1;
}

// ---- Ways ---------------------------------------------------------------------------------------------

void Relays::Cut(int from, int to) {
  cuts_.insert({from, to});
  WaysChanged();
}

void Relays::Join(int from, int to) {
  cuts_.erase({from, to});
  WaysChanged();
}

void Relays::Separate(const std::vector<int>& side) {
  const auto inside = [&](int m) { return std::find(side.begin(), side.end(), m) != side.end(); };
  for (const auto& one : doors_)
    for (const auto& other : doors_)
      if (inside(one->machine) != inside(other->machine)) cuts_.insert({one->machine, other->machine});
  WaysChanged();
}

void Relays::JoinAll() {
  cuts_.clear();
  WaysChanged();
}

void Relays::Reset(int machine) {
  for (Stream& stream : streams_)
    if (stream.from == machine || stream.to == machine) End(stream, true);
}

void Relays::WaysChanged() {
  for (Stream& stream : streams_) {
    if (stream.ended) continue;
    if (stream.far_fd >= 0) {
      Move(stream);
    } else if (!IsCut(stream.from, stream.to) && !IsCut(stream.to, stream.from)) {
      // Who gave up while it was cut never came through.
      HasClosed(stream.near_fd) ? End(stream, false) : Connect(stream);
    }
  }
}

// ---- Datagrams ----------------------------------------------------------------------------------------

void Relays::ReadDatagrams(Door& door) {
  std::array<char, kMostDatagram> bytes;
  for (;;) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t count = ::recvfrom(door.datagram, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                     reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0) return;
    const int sender = MachineBoundAt(ntohl(from.sin_addr.s_addr));
    if (sender < 0 || IsCut(sender, door.machine)) {
      ++datagrams_lost_;
      continue;
    }
    const sockaddr_in to = Address{door.ends.bound, first_port_}.ToSocket();
    ::sendto(door.datagram, bytes.data(), static_cast<std::size_t>(count), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
}

// ---- Streams ------------------------------------------------------------------------------------------

void Relays::Accept(Door& door, int listener, std::uint16_t port) {
  for (;;) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const int fd =
        ::accept4(listener, reinterpret_cast<sockaddr*>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const int from = MachineBoundAt(ntohl(address.sin_addr.s_addr));
    if (from < 0) {
      CloseReset(fd);
      continue;
    }
    Stream& stream = streams_.emplace_back(*this, from, door, port, fd);
    if (!IsCut(from, door.machine) && !IsCut(door.machine, from)) Connect(stream);
  }
}

void Relays::Connect(Stream& stream) {
  stream.far_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in to = stream.target.ToSocket();
  const bool refused = ::connect(stream.far_fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 &&
                       errno != EINPROGRESS;
  if (refused) return End(stream, true);  // nobody listens there
  Move(stream);
}

void Relays::OnEvent(Stream& stream, bool near, int events) {
  if ((events & EV_READ) != 0) {
    auto& held = near ? stream.to_far : stream.to_near;
    auto& over = near ? stream.near_over : stream.far_over;
    over = over || net::Over(net::ReadInto(near ? stream.near_fd : stream.far_fd, held));
  }
  Move(stream);
}

// Passes on what may be passed on, then waits for what can come next.
void Relays::Move(Stream& stream) {
  if (stream.ended) return;
  const bool forth = !IsCut(stream.from, stream.to), back = !IsCut(stream.to, stream.from);
  if (forth && !stream.to_far.empty() && net::FlushBuffer(stream.far_fd, stream.to_far).broken)
    return End(stream, true);
  if (back && !stream.to_near.empty() && net::FlushBuffer(stream.near_fd, stream.to_near).broken)
    return End(stream, true);
  if (forth && stream.near_over && stream.to_far.empty()) return End(stream, false);
  if (back && stream.far_over && stream.to_near.empty()) return End(stream, false);
  const auto wanted = [](bool reads, bool writes) { return (reads ? EV_READ : 0) | (writes ? EV_WRITE : 0); };
  const int near =
      wanted(forth && !stream.near_over && stream.to_far.size() < kMostHeld, back && !stream.to_near.empty());
  const int far =
      wanted(back && !stream.far_over && stream.to_near.size() < kMostHeld, forth && !stream.to_far.empty());
  near != 0 ? stream.near_io.Want(stream.near_fd, near) : stream.near_io.Stop();
  far != 0 ? stream.far_io.Want(stream.far_fd, far) : stream.far_io.Stop();
}

void Relays::End(Stream& stream, bool reset) {
  if (std::exchange(stream.ended, true)) return;
  stream.near_io.Stop();
  stream.far_io.Stop();
  for (int* fd : {&stream.near_fd, &stream.far_fd})
    if (*fd >= 0) reset ? CloseReset(std::exchange(*fd, -1)) : void(::close(std::exchange(*fd, -1)));
}

}  // namespace curlewdoor::systemkit
