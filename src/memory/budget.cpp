#include "memory/budget.hpp"

#include <algorithm>
#include <numeric>

namespace curlewdoor::memory {
namespace {

// In sixteenths of the total; five are left for the program itself.
constexpr std::size_t kParts = 16;
constexpr std::size_t kClientsParts = 5, kHostsParts = 2, kControlParts = 2, kPeersParts = 2;

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kLeastReceive = 16 * kKiB, kMostReceive = 64 * kKiB;
constexpr std::size_t kReceivePart = 4;   // of the clients' share, for all their receive buffers
constexpr std::size_t kBacklogPart = 32;  // of the total, for connections that wait to be accepted
constexpr std::size_t kLeastBacklog = 128, kMostBacklog = 4096;

std::size_t Part(std::size_t total, std::size_t parts) {
  return total == Account::kUnlimited ? total : total / kParts * parts;
}

}  // namespace

Budget::Budget(std::size_t total)
    : total_(total),
      accounts_{Account(nullptr, Part(total, kClientsParts)), Account(nullptr, Part(total, kHostsParts)),
                Account(nullptr, Part(total, kControlParts)), Account(nullptr, Part(total, kPeersParts))} {}

std::size_t Budget::held() const {
  return std::accumulate(accounts_.begin(), accounts_.end(), std::size_t{0},
                         [](std::size_t sum, const Account& account) { return sum + account.held(); });
}

SocketBuffers SocketBuffersFor(const Budget& budget, std::size_t most_clients) {
  const std::size_t clients = Part(budget.total(), kClientsParts);
  SocketBuffers buffers;
  buffers.client_receive = std::clamp(clients / kReceivePart / std::max<std::size_t>(1, most_clients),
                                      kLeastReceive, kMostReceive);
  const std::size_t waiting = budget.total() / kBacklogPart / buffers.client_receive;
  buffers.backlog = static_cast<int>(std::clamp(waiting, kLeastBacklog, kMostBacklog));
  return buffers;
}

}  // namespace curlewdoor::memory
