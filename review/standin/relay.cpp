// A relay between gateways on loopback, which holds back what one machine sends to another for a while.
//
//   relay PORT DELAYS REACHED:BOUND...
//
// Machine number i is reached by the others at REACHED and its process listens at BOUND (the setting
// internal_bind_address): streams at PORT and PORT + 1, datagrams at PORT. Who sends is told by the address
// that it sends from. The file DELAYS holds lines "FROM TO MILLISECONDS"; it is read again and again, and a
// way that it doesn't name isn't held back. Order is kept and nothing is lost.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

struct Machine {
  std::uint32_t reached = 0, bound = 0;
  int datagrams = -1, streams[2] = {-1, -1};
};

struct Piece {
  Time due;
  std::string bytes;  // empty: the end
};

struct Way {
  int from = -1, to = -1;
  std::deque<Piece> pieces;
};

struct Stream {
  int near = -1, far = -1;
  Way forth, back;
  bool near_over = false, far_over = false, ended = false;
};

struct Datagram {
  Time due;
  int to = -1;
  std::string bytes;
};

std::vector<Machine> machines;
std::map<std::pair<int, int>, int> delays;
std::uint16_t port = 0;

sockaddr_in At(std::uint32_t ip, int at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = ip;
  address.sin_port = htons(static_cast<std::uint16_t>(at));
  return address;
}

int Open(int type, std::uint32_t ip, int at) {
  const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = At(ip, at);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      (type == SOCK_STREAM && ::listen(fd, 64) != 0)) {
    std::perror("relay: bind");
    std::exit(2);
  }
  return fd;
}

int SenderAt(std::uint32_t ip) {
  for (std::size_t i = 0; i < machines.size(); ++i)
    if (machines[i].bound == ip) return static_cast<int>(i);
  return -1;
}

void ReadDelays(const char* path) {
  std::ifstream file(path);
  std::map<std::pair<int, int>, int> read;
  for (int from = 0, to = 0, ms = 0; file >> from >> to >> ms;) read[{from, to}] = ms;
  delays = std::move(read);
}

Time Due(int from, int to, Time not_before) {
  const auto delay = delays.find({from, to});
  const Time due = Clock::now() + std::chrono::milliseconds(delay != delays.end() ? delay->second : 0);
  return std::max(due, not_before);
}

void Take(Way& way, std::string bytes) {
  const Time last = way.pieces.empty() ? Time{} : way.pieces.back().due;
  way.pieces.push_back({Due(way.from, way.to, last), std::move(bytes)});
}

void End(Stream& stream, bool reset) {
  if (std::exchange(stream.ended, true)) return;
  const linger at_once{1, 0};
  for (const int fd : {stream.near, stream.far}) {
    if (reset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(fd);
  }
}

// Tells whether it goes on.
bool Read(Stream& stream, int fd, Way& way, bool& over) {
  static char bytes[64 * 1024];
  const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return true;
  if (count < 0) return End(stream, true), false;
  over = over || count == 0;
  Take(way, std::string(bytes, static_cast<std::size_t>(count)));
  return true;
}

void Write(Stream& stream, int fd, Way& way) {
  while (!stream.ended && !way.pieces.empty() && way.pieces.front().due <= Clock::now()) {
    std::string& bytes = way.pieces.front().bytes;
    if (bytes.empty()) return End(stream, false);
    const ssize_t count = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count < 0) return End(stream, true);
    bytes.erase(0, static_cast<std::size_t>(count));
    if (bytes.empty()) way.pieces.pop_front();
  }
}

void Accept(std::list<Stream>& streams, int listener, int to, int at) {
  sockaddr_in from{};
  socklen_t size = sizeof from;
  const int near =
      ::accept4(listener, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (near < 0) return;
  const int far = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  const sockaddr_in target = At(machines[static_cast<std::size_t>(to)].bound, at);
  if (::connect(far, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
    ::close(far);
    ::close(near);
    return;
  }
  ::fcntl(far, F_SETFL, O_NONBLOCK);
  for (const int fd : {near, far}) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  Stream& stream = streams.emplace_back();
  const int sender = SenderAt(from.sin_addr.s_addr);
  stream.near = near;
  stream.far = far;
  stream.forth.from = stream.back.to = sender;
  stream.forth.to = stream.back.from = to;
}

}  // namespace

int main(int count, char** words) {
  if (count < 4) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  port = static_cast<std::uint16_t>(std::atoi(words[1]));
  for (int i = 3; i < count; ++i) {
    const std::string pair = words[i];
    const auto colon = pair.find(':');
    Machine machine;
    machine.reached = ::inet_addr(pair.substr(0, colon).c_str());
    machine.bound = ::inet_addr(pair.substr(colon + 1).c_str());
    machine.datagrams = Open(SOCK_DGRAM, machine.reached, port);
    for (int k = 0; k < 2; ++k) machine.streams[k] = Open(SOCK_STREAM, machine.reached, port + k);
    machines.push_back(machine);
  }
  std::list<Stream> streams;
  std::deque<Datagram> datagrams;
  for (;;) {
    ReadDelays(words[2]);
    std::vector<pollfd> waits;
    for (const Machine& machine : machines)
      for (const int fd : {machine.datagrams, machine.streams[0], machine.streams[1]})
        waits.push_back({fd, POLLIN, 0});
    for (const Stream& stream : streams) {
      waits.push_back({stream.near, static_cast<short>(stream.near_over ? 0 : POLLIN), 0});
      waits.push_back({stream.far, static_cast<short>(stream.far_over ? 0 : POLLIN), 0});
    }
    ::poll(waits.data(), waits.size(), 5);
    for (std::size_t i = 0; i < machines.size(); ++i) {
      const int to = static_cast<int>(i);
      char bytes[65536];
      sockaddr_in from{};
      socklen_t size = sizeof from;
      ssize_t got = 0;
      while ((got = ::recvfrom(machines[i].datagrams, bytes, sizeof bytes, 0,
                               reinterpret_cast<sockaddr*>(&from), &size)) >= 0)
        datagrams.push_back({Due(SenderAt(from.sin_addr.s_addr), to, {}), to,
                             std::string(bytes, static_cast<std::size_t>(got))});
    }
    std::size_t at = machines.size() * 3;
    for (Stream& stream : streams) {
      const bool near = (waits[at].revents & (POLLIN | POLLHUP | POLLERR)) != 0 && !stream.near_over;
      const bool far = (waits[at + 1].revents & (POLLIN | POLLHUP | POLLERR)) != 0 && !stream.far_over;
      at += 2;
      if (near && !Read(stream, stream.near, stream.forth, stream.near_over)) continue;
      if (far && !Read(stream, stream.far, stream.back, stream.far_over)) continue;
      Write(stream, stream.far, stream.forth);
      Write(stream, stream.near, stream.back);
    }
    streams.remove_if([](const Stream& stream) { return stream.ended; });
    for (std::size_t i = 0; i < machines.size(); ++i)
      for (int k = 0; k < 2; ++k)
        if ((waits[3 * i + 1 + static_cast<std::size_t>(k)].revents & POLLIN) != 0)
          Accept(streams, machines[i].streams[k], static_cast<int>(i), port + k);
    for (auto each = datagrams.begin(); each != datagrams.end();) {
      if (each->due > Clock::now()) {
        ++each;
        continue;
      }
      const Machine& machine = machines[static_cast<std::size_t>(each->to)];
      const sockaddr_in target = At(machine.bound, port);
      ::sendto(machine.datagrams, each->bytes.data(), each->bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&target), sizeof target);
      each = datagrams.erase(each);
    }
  }
}
