// Measures how long calls are not served after the loss of a leader, in virtual time and with the default
// options. Callers try each member that believes it serves, every 20 ms. FAILOVER_SEEDS sets the number of
// seeds.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <memory>

#include "cluster.hpp"

namespace curlewdoor::coordination::testing {
namespace {

// Targets for the 99th percentile.
constexpr Duration kTarget = std::chrono::seconds(2);
constexpr Duration kTransferTarget = milliseconds(400);  // when the leader can transfer leadership

// Time until the first call sent from now on is answered; ten seconds if none is.
Duration TimeUntilServed(Cluster& cluster) {
  const Time began = cluster.now();
  // Replies may arrive after this function returns.
  const auto served = std::make_shared<std::optional<Time>>();
  while (!*served && cluster.now() - began < std::chrono::seconds(10)) {
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      if (!cluster.running(i) || !cluster.coordinator(i)->replica().serving()) continue;
      cluster.Call(i, TakeNumber{"n"}, [&cluster, served](const Reply& reply) {
        if (!*served && std::holds_alternative<CommandResult>(reply)) *served = cluster.now();
      });
    }
    cluster.Run(milliseconds(20));
  }
  return served->value_or(cluster.now()) - began;
}

using Failure = void (*)(Cluster& cluster, std::size_t leader);

void Kill(Cluster& cluster, std::size_t leader) { cluster.Kill(leader); }
void Freeze(Cluster& cluster, std::size_t leader) { cluster.Freeze(leader); }
void IsolateLeader(Cluster& cluster, std::size_t leader) {
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cluster.BlockPath(leader, i);
    cluster.BlockPath(i, leader);
  }
}
void BlockOutbound(Cluster& cluster, std::size_t leader) {
  for (std::size_t i = 0; i < cluster.size(); ++i) cluster.BlockPath(leader, i);
}
void BlockInbound(Cluster& cluster, std::size_t leader) {
  for (std::size_t i = 0; i < cluster.size(); ++i) cluster.BlockPath(i, leader);
}
void StallDisk(Cluster& cluster, std::size_t leader) { cluster.StallDisk(leader, std::chrono::seconds(30)); }
void WipeTwo(Cluster& cluster, std::size_t leader) {
  cluster.Wipe(leader);
  cluster.Wipe((leader + 1) % cluster.size());
}
// Removes the leader from the membership and waits until it has stopped serving.
void RemoveFromMembership(Cluster& cluster, std::size_t leader) {
  std::vector<std::size_t> members;
  for (std::size_t i = 0; i < cluster.size(); ++i)
    if (i != leader) members.push_back(i);
  cluster.SetMembership(members);
  while (cluster.coordinator(leader)->replica().serving()) cluster.Run(milliseconds(2));
}
void RestartAll(Cluster& cluster, std::size_t) {
  for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Kill(i);
  for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Start(i);
}

BOOST_AUTO_TEST_CASE(calls_are_served_again_soon_after_a_leader_is_lost) {
  const char* text = std::getenv("FAILOVER_SEEDS");
  const std::uint64_t seeds = text == nullptr ? 200 : std::strtoull(text, nullptr, 10);
  const std::vector<std::pair<const char*, Failure>> failures{
      {"killed", Kill},
      {"frozen", Freeze},
      {"cut both ways", IsolateLeader},
      {"cut from it", BlockOutbound},
      {"cut to it", BlockInbound},
      {"disk stalls", StallDisk},
      {"two wiped", WipeTwo},
      {"removed from the membership", RemoveFromMembership},
      {"all lose power", RestartAll}};
  ClusterOptions slow;
  slow.max_sync = milliseconds(100);
  slow.max_delay = milliseconds(20);
  for (const ClusterOptions& options : {ClusterOptions{}, slow}) {
    for (const auto& [name, fail_leader] : failures) {
      std::vector<Duration> spans;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Cluster cluster(6, options, seed);
        BOOST_REQUIRE(TimeUntilServed(cluster) < std::chrono::seconds(5));
        cluster.Run(std::chrono::seconds(1) + milliseconds(seed));
        const auto leader = cluster.Leader();
        if (!leader) continue;
        fail_leader(cluster, *leader);
        spans.push_back(TimeUntilServed(cluster));
      }
      BOOST_REQUIRE(spans.size() > seeds * 9 / 10);
      std::sort(spans.begin(), spans.end());
      const auto at = [&](std::size_t percent) {
        return std::chrono::duration_cast<milliseconds>(spans[(spans.size() - 1) * percent / 100]);
      };
      BOOST_TEST_MESSAGE(name << (options.max_sync == slow.max_sync ? ", slow disks and network" : "")
                              << ": median " << at(50).count() << " ms, 99% " << at(99).count()
                              << " ms, most " << at(100).count() << " ms");
      const Duration target = fail_leader == RemoveFromMembership ? kTransferTarget : kTarget;
      BOOST_TEST((at(99) < target), name << ": 99% " << at(99).count() << " ms");
    }
  }
}

}  // namespace
}  // namespace curlewdoor::coordination::testing
