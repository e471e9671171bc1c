// What is counted, and how a process's memory is divided.
#include "memory/account.hpp"

#include <gtest/gtest.h>

#include <memory>

#include "http/buffer.hpp"
#include "memory/budget.hpp"

namespace curlewdoor::memory {
namespace {

TEST(Account, CountsInAllAboveIt) {
  Account top(nullptr, 100);
  Account connection(&top), ahead(&connection);
  ahead.Add(30);
  connection.Add(50);
  EXPECT_EQ(ahead.held(), 30u);
  EXPECT_EQ(connection.held(), 80u);
  EXPECT_EQ(top.held(), 80u);
  EXPECT_FALSE(top.over());
  EXPECT_TRUE(top.tight());
  EXPECT_TRUE(top.HasRoomFor(20));
  EXPECT_FALSE(top.HasRoomFor(21));
  ahead.Add(21);
  EXPECT_TRUE(top.over());
  EXPECT_FALSE(top.HasRoomFor(0));
  ahead.Remove(51);
  connection.Remove(50);
  EXPECT_EQ(top.held(), 0u);
}

TEST(Account, WhatEndsIsCountedNoMore) {
  Account top;
  {
    Account connection(&top);
    connection.Add(7);
    EXPECT_EQ(top.held(), 7u);
  }
  EXPECT_EQ(top.held(), 0u);
  EXPECT_FALSE(top.tight());  // without a limit
}

TEST(Charge, IsOneAmountThatIsGivenBack) {
  Account account;
  {
    Charge charge(&account);
    charge.Set(10);
    charge.Set(4);
    EXPECT_EQ(account.held(), 4u);
    Charge other(&account);
    other.Set(5);
    EXPECT_EQ(account.held(), 9u);
  }
  EXPECT_EQ(account.held(), 0u);
  Charge nowhere(nullptr);
  nowhere.Set(10);
  EXPECT_EQ(nowhere.bytes(), 0u);
}

// Guards against bytes that are held and counted by nobody: a buffer counts what it allocates, not its
// contents.
TEST(Buffer, CountsWhatItAllocates) {
  Account account;
  {
    http::Buffer buffer(&account);
    EXPECT_EQ(account.held(), 0u);
    buffer.Append(std::string(100'000, 'x'));
    EXPECT_EQ(account.held(), buffer.capacity());
    http::Buffer moved(std::move(buffer));
    EXPECT_EQ(account.held(), moved.capacity());
    moved.Consume(100'000);
    EXPECT_EQ(account.held(), 0u);
    moved.Append("abc");
    EXPECT_EQ(account.held(), moved.capacity());
  }
  EXPECT_EQ(account.held(), 0u);
}

TEST(Budget, LeavesAPartForTheProgramItself) {
  constexpr std::size_t kTotal = 256 * 1024 * 1024;
  Budget budget(kTotal);
  std::size_t shares = 0;
  for (const Share share : {Share::kClients, Share::kHosts, Share::kControl, Share::kPeers})
    shares += budget.account(share).limit();
  EXPECT_LE(shares, kTotal / 4 * 3);
  EXPECT_GT(budget.account(Share::kClients).limit(), budget.account(Share::kHosts).limit());
  budget.account(Share::kClients).Add(3);
  budget.account(Share::kPeers).Add(4);
  EXPECT_EQ(budget.held(), 7u);
  EXPECT_EQ(budget.account(Share::kHosts).held(), 0u);
}

// All receive buffers together are a part of their share, as long as each one is large enough to work.
TEST(Budget, SocketBuffersFitTheShare) {
  for (const std::size_t megabytes : {64, 160, 260, 2048}) {
    for (const std::size_t clients : {1, 200, 1330, 100'000}) {
      Budget budget(megabytes * 1024 * 1024);
      const SocketBuffers buffers = SocketBuffersFor(budget, clients);
      EXPECT_GE(buffers.client_receive, 16u * 1024);
      EXPECT_LE(buffers.client_receive, 64u * 1024);
      EXPECT_TRUE(buffers.client_receive == 16 * 1024 ||
                  buffers.client_receive * clients <= budget.account(Share::kClients).limit() / 4);
      EXPECT_GE(buffers.backlog, 128);
      EXPECT_TRUE(buffers.backlog == 128 ||
                  static_cast<std::size_t>(buffers.backlog) * buffers.client_receive <= budget.total() / 32);
    }
  }
  EXPECT_EQ(SocketBuffersFor(Budget(), 100).backlog, 4096);
}

}  // namespace
}  // namespace curlewdoor::memory
