// How a process's memory is divided: one account with a limit for each kind of peer that can make it hold
// bytes. The rest is for the program itself: its code, the configuration, the registry, storage and the
// allocator's losses.
#pragma once

#include <array>
#include <cstddef>

#include "memory/account.hpp"

namespace curlewdoor::memory {

enum class Share {
  kClients,  // connections of clients, what they have sent and what they have yet to read
  kHosts,    // connections to hosts, and what is on its way there and back
  kControl,  // connections at control and readiness, and their calls
  kPeers     // connections of other gateways
};
inline constexpr std::size_t kShares = 4;

class Budget {
 public:
  // `total`: bytes that the process may take.
  explicit Budget(std::size_t total = Account::kUnlimited);

  Account& account(Share share) { return accounts_[static_cast<std::size_t>(share)]; }
  std::size_t total() const { return total_; }
  std::size_t held() const;  // by all of them, in bytes

 private:
  const std::size_t total_;
  std::array<Account, kShares> accounts_;
};

// Sizes of sockets' buffers, in bytes. The system's own would let each connection take megabytes.
struct SocketBuffers {
  std::size_t client_receive = 0;  // of each client's connection, those not accepted yet included
  int backlog = 0;                 // connections that may wait to be accepted
};
// For so many connections of clients at most.
SocketBuffers SocketBuffersFor(const Budget& budget, std::size_t most_clients);

}  // namespace curlewdoor::memory
