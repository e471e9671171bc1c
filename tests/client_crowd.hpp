// Many clients at once that send, read and leave as a script tells them: plain sockets on loopback, driven by
// calls of Step(). Shared by the tests of both programs.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "util/address.hpp"

namespace curlewdoor {

struct ClientScript {
  enum class Leaves { kNever, kByEnd, kByReset };

  // In `opening`, this mark is replaced by a text that no other connection of the crowd has there.
  static constexpr std::string_view kOwnName = "%own-name%";

  std::string opening;             // sent first
  std::string repeated{};          // then this, over and over ...
  std::size_t repeats = 0;         // ... so many times
  bool reads = false;              // what comes is read and dropped; else it stays in the socket
  Leaves leaves = Leaves::kNever;  // once all is sent, as far as the other side takes it
  int comebacks = 0;               // new connections of each client after it has left, or was cut off
};

class ClientCrowd {
 public:
  ClientCrowd(const Address& to, ClientScript script, std::size_t count)
      : to_(to), script_(std::move(script)), clients_(count) {}
  ~ClientCrowd() { LeaveAll(); }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Connects, sends and reads as far as that goes without waiting.
  void Step() {
    bool moved = false;
    std::size_t connects = kConnectsAtOnce;
    for (Client& client : clients_) moved = StepOne(client, connects) || moved;
    quiet_steps_ = moved ? 0 : quiet_steps_ + 1;
  }
  // Nothing could be sent, read or opened in the latest steps.
  bool quiet() const { return quiet_steps_ >= kQuietSteps; }
  void LeaveAll() {
    for (Client& client : clients_) {
      Close(client, script_.leaves == ClientScript::Leaves::kByReset);
      client.comebacks_left = 0;
      client.gone = true;
    }
  }
  std::size_t open() const {
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(), [](const Client& client) { return client.fd >= 0; }));
  }

 private:
  static constexpr std::size_t kConnectsAtOnce = 64, kQuietSteps = 50;
  static constexpr std::size_t kMostInAWrite = 64 * 1024;
  static constexpr int kOwnReceiveBuffer = 4096;  // what isn't read shall stay with the gateway

  struct Client {
    int fd = -1;
    bool gone = false, started = false;
    int comebacks_left = 0;
    std::string opening;
    std::size_t sent = 0;  // bytes of the whole script
  };

  std::size_t SizeOf(const Client& client) const {
    return client.opening.size() + script_.repeats * script_.repeated.size();
  }

  // The script's bytes from `at` on, some of them.
  std::string BytesFrom(const Client& client, std::size_t at) const {
    const std::string& opening = client.opening;
    std::string bytes;
    if (at < opening.size()) bytes = opening.substr(at);
    const std::size_t left = SizeOf(client) - at;
    if (script_.repeated.empty()) return bytes;
    std::size_t in_piece = at < opening.size() ? 0 : (at - opening.size()) % script_.repeated.size();
    while (bytes.size() < std::min(left, kMostInAWrite)) {
      bytes.append(std::string_view(script_.repeated).substr(in_piece));
      in_piece = 0;
    }
    bytes.resize(std::min(bytes.size(), left));
    return bytes;
  }

  bool StepOne(Client& client, std::size_t& connects) {
    if (client.gone) return false;
    if (client.fd < 0) return connects > 0 && Connect(client, connects);
    bool moved = Send(client);
    if (client.fd >= 0 && script_.reads) moved = Read(client) || moved;
    if (client.fd >= 0 && client.sent == SizeOf(client) && script_.leaves != ClientScript::Leaves::kNever)
      return Leave(client), true;
    return moved;
  }
  bool Connect(Client& client, std::size_t& connects) {
    --connects;
    if (!std::exchange(client.started, true)) client.comebacks_left = script_.comebacks;
    client.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client.fd < 0) return false;
    if (!script_.reads)
      ::setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &kOwnReceiveBuffer, sizeof kOwnReceiveBuffer);
    const sockaddr_in to = to_.ToSocket();
    client.sent = 0;
    client.opening = script_.opening;
    if (const auto at = client.opening.find(ClientScript::kOwnName); at != std::string::npos)
      client.opening.replace(at, ClientScript::kOwnName.size(), std::to_string(++names_));
    if (::connect(client.fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS)
      Leave(client);
    return true;
  }
  bool Send(Client& client) {
    bool moved = false;
    while (client.sent < SizeOf(client)) {
      const std::string bytes = BytesFrom(client, client.sent);
      const ssize_t sent = ::send(client.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN && errno != ENOTCONN) return Leave(client), true;
      if (sent <= 0) break;
      client.sent += static_cast<std::size_t>(sent);
      moved = true;
    }
    return moved;
  }
  bool Read(Client& client) {
    bool moved = false;
    char bytes[16 * 1024];
    for (;;) {
      const ssize_t count = ::recv(client.fd, bytes, sizeof bytes, MSG_DONTWAIT);
      if (count < 0 && (errno == EAGAIN || errno == ENOTCONN)) return moved;
      if (count <= 0) return Leave(client), true;
      moved = true;
    }
  }
  // Whoever comes again ends by a reset: else its ports would run out.
  void Leave(Client& client) {
    Close(client, script_.leaves == ClientScript::Leaves::kByReset || client.comebacks_left > 0);
    client.gone = client.comebacks_left-- <= 0;
  }
  static void Close(Client& client, bool reset) {
    if (client.fd < 0) return;
    const linger at_once{1, 0};
    if (reset) ::setsockopt(client.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(std::exchange(client.fd, -1));
  }

  const Address to_;
  const ClientScript script_;
  std::vector<Client> clients_;
  std::size_t quiet_steps_ = 0, names_ = 0;
};

}  // namespace curlewdoor
