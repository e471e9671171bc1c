#include "memory/eviction.hpp"

#include <algorithm>
#include <numeric>

namespace curlewdoor::memory {
namespace {

// Whoever connects to ask has done so by then, and whoever reads has gone on.
constexpr std::chrono::milliseconds kPromptly{500};
// Until then a first request may be on its way; that of a caller which repeats comes right behind its
// connection.
constexpr std::chrono::milliseconds kJustCome{100}, kJustCalled{20};
// Whoever repeats has turned to another gateway by then.
constexpr std::chrono::seconds kRepeatsAfter{1};

// Of a limit: once one is met, so much is freed below it, so that the next bytes don't meet it again.
constexpr std::size_t kFreedPart = 16;

enum Rank : std::uint8_t {
  kNeverAsked,
  kKeepsWaiting,
  kServedAndIdle,
  kTooFarAhead,
  kAtWork,
  kIsYetToAsk,
  kAsksElsewhere,
  kStays
};

Rank RankOf(const ConnectionState& connection) {
  const bool prompt = connection.waited < kPromptly;
  switch (connection.phase) {
    case Phase::kIdle:
      if (connection.served) return kServedAndIdle;
      if (connection.waited < (connection.repeats ? kJustCalled : kJustCome)) return kStays;
      return prompt ? kIsYetToAsk : kNeverAsked;
    case Phase::kReceiving:
    case Phase::kSending:
    case Phase::kClosing:
      return prompt ? kAtWork : kKeepsWaiting;
    case Phase::kServing:
      if (connection.too_far_ahead) return kTooFarAhead;
      return connection.repeats && connection.waited >= kRepeatsAfter ? kAsksElsewhere : kStays;
  }
  return kStays;
}

}  // namespace

std::size_t ExcessOf(const Account& account) {
  if (!account.over()) return 0;
  return account.held() - account.limit() + account.limit() / kFreedPart;
}

std::optional<std::size_t> ChooseForDescriptor(std::span<const ConnectionState> connections) {
  std::optional<std::size_t> chosen;
  Rank chosen_rank = kStays;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const Rank rank = RankOf(connections[i]);
    if (rank == kStays) continue;
    const bool longer = chosen && rank == chosen_rank && connections[i].waited > connections[*chosen].waited;
    if (chosen && rank >= chosen_rank && !longer) continue;
    chosen = i;
    chosen_rank = rank;
  }
  return chosen;
}

std::vector<std::size_t> ChooseForMemory(std::span<const ConnectionState> connections, std::size_t excess) {
  std::vector<std::size_t> order(connections.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    if (connections[a].held != connections[b].held) return connections[a].held > connections[b].held;
    return connections[a].waited > connections[b].waited;
  });
  std::size_t freed = 0, count = 0;
  while (count < order.size() && freed < excess) freed += connections[order[count++]].held;
  order.resize(count);
  return order;
}

}  // namespace curlewdoor::memory
