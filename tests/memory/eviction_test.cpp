// Who goes first when descriptors or memory run out.
#include "memory/eviction.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>

namespace curlewdoor::memory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ConnectionState Of(Phase phase, std::chrono::nanoseconds waited, bool served = false) {
  return {.phase = phase, .served = served, .waited = waited};
}

// In the order in which they go, as each of them makes room.
std::vector<std::size_t> Order(std::vector<ConnectionState> connections) {
  std::vector<std::size_t> numbers(connections.size()), order;
  std::iota(numbers.begin(), numbers.end(), std::size_t{0});
  while (const auto chosen = ChooseForDescriptor(connections)) {
    order.push_back(numbers[*chosen]);
    numbers.erase(numbers.begin() + static_cast<std::ptrdiff_t>(*chosen));
    connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(*chosen));
  }
  return order;
}

TEST(ChooseForDescriptor, GoesByWhatAConnectionIsAt) {
  const std::vector<ConnectionState> connections{
      Of(Phase::kServing, seconds(9)),                // 0: never
      Of(Phase::kIdle, milliseconds(110)),            // 1: is yet to ask
      Of(Phase::kIdle, seconds(5), true),             // 2: was served
      Of(Phase::kReceiving, seconds(2)),              // 3: keeps its request waiting
      Of(Phase::kIdle, seconds(1)),                   // 4: never asked
      Of(Phase::kSending, seconds(3)),                // 5: doesn't take its answer
      Of(Phase::kReceiving, milliseconds(20)),        // 6: is sending
      Of(Phase::kClosing, milliseconds(700), true)};  // 7: has all
  EXPECT_EQ(Order(connections), (std::vector<std::size_t>{4, 5, 3, 7, 2, 6, 1}));
}

// Guards against an ordinary client that is closed before its request is read, for one of a crowd that came
// earlier.
TEST(ChooseForDescriptor, WhoHasJustComeDoesNotGo) {
  std::vector<ConnectionState> connections;
  for (int i = 0; i < 100; ++i) connections.push_back(Of(Phase::kReceiving, milliseconds(1 + i)));
  connections.push_back(Of(Phase::kIdle, milliseconds(99)));
  const auto order = Order(connections);
  EXPECT_EQ(order.size(), 100u);
  EXPECT_EQ(order.front(), 99u);
  EXPECT_EQ(ChooseForDescriptor(std::vector{Of(Phase::kIdle, milliseconds(99))}), std::nullopt);
}

TEST(ChooseForDescriptor, WhoWaitsForAnAnswerStaysUnlessItAsksElsewhereByThen) {
  std::vector<ConnectionState> connections{Of(Phase::kServing, seconds(60)), Of(Phase::kServing, seconds(2))};
  EXPECT_EQ(ChooseForDescriptor(connections), std::nullopt);
  for (ConnectionState& connection : connections) connection.repeats = true;
  connections.push_back(Of(Phase::kServing, milliseconds(900)));
  connections.back().repeats = true;
  EXPECT_EQ(Order(connections), (std::vector<std::size_t>{0, 1}));
  EXPECT_EQ(ChooseForDescriptor({}), std::nullopt);
}

// Guards against clients that have left behind a slow answer: what they sent ahead hides their end.
TEST(ChooseForDescriptor, WhoIsTooFarAheadGoesBeforeThoseAtWork) {
  std::vector<ConnectionState> connections{
      Of(Phase::kServing, seconds(9)), Of(Phase::kServing, seconds(1)), Of(Phase::kServing, seconds(2)),
      Of(Phase::kReceiving, milliseconds(9)), Of(Phase::kIdle, seconds(1), true)};
  connections[1].too_far_ahead = connections[2].too_far_ahead = true;
  EXPECT_EQ(Order(connections), (std::vector<std::size_t>{4, 2, 1, 3}));
}

TEST(ChooseForMemory, WhoHoldsMostGoesFirst) {
  std::vector<ConnectionState> connections(4);
  connections[0].held = 10;
  connections[1].held = 500;
  connections[2].held = 10;
  connections[2].waited = seconds(1);
  connections[3].held = 80;
  EXPECT_EQ(ChooseForMemory(connections, 1), (std::vector<std::size_t>{1}));
  EXPECT_EQ(ChooseForMemory(connections, 501), (std::vector<std::size_t>{1, 3}));
  EXPECT_EQ(ChooseForMemory(connections, 10'000), (std::vector<std::size_t>{1, 3, 2, 0}));
  EXPECT_TRUE(ChooseForMemory({}, 1).empty());
}

// Seeds 1 to 300: enough is freed with as few connections as that takes, and whoever stays holds no more than
// whoever goes.
TEST(ChooseForMemory, FreesEnoughAndNoMore) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    Account account(nullptr, 1'000'000);
    std::vector<ConnectionState> connections(1 + random() % 200);
    std::size_t held = 0;
    for (ConnectionState& connection : connections) {
      connection.held = random() % 20'000;
      connection.waited = milliseconds(random() % 3000);
      held += connection.held;
    }
    account.Add(held);
    const std::size_t excess = ExcessOf(account);
    EXPECT_EQ(excess > 0, held > account.limit());
    const auto chosen = ChooseForMemory(connections, excess);
    std::size_t freed = 0;
    for (const std::size_t each : chosen) freed += connections[each].held;
    EXPECT_GE(freed, excess) << seed;
    EXPECT_TRUE(chosen.empty() || freed - connections[chosen.back()].held < excess) << seed;
    std::vector<bool> goes(connections.size());
    for (const std::size_t each : chosen) goes[each] = true;
    for (std::size_t i = 0; i < connections.size() && !chosen.empty(); ++i)
      EXPECT_TRUE(goes[i] || connections[i].held <= connections[chosen.back()].held) << seed;
    account.Remove(held);
  }
}

}  // namespace
}  // namespace curlewdoor::memory
