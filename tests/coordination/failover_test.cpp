// How long nothing is served once a leader is lost, in virtual time and with the options as they are by
// default. Callers ask each member that believes it serves, every 20 ms. FAILOVER_SEEDS chooses how many are
// played.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <memory>

#include "cluster.hpp"

namespace curlewdoor::coordination::testing {
namespace {

// For 99 of 100.
constexpr Duration kAim = std::chrono::seconds(2);
constexpr Duration kHandedOn = milliseconds(400);  // where the leader can name the next one

// From now until the first call that is sent from now on is answered; ten seconds where none is.
Duration UntilServed(Cluster& cluster) {
  const Time began = cluster.now();
  // Replies may come after this.
  const auto served = std::make_shared<std::optional<Time>>();
  while (!*served && cluster.now() - began < std::chrono::seconds(10)) {
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      if (!cluster.running(i) || !cluster.coordinator(i)->replica().serving()) continue;
      cluster.Call(i, TakeNumber{"n"}, [&cluster, served](const Reply& reply) {
        if (!*served && std::holds_alternative<Result>(reply)) *served = cluster.now();
      });
    }
    cluster.Run(milliseconds(20));
  }
  return served->value_or(cluster.now()) - began;
}

using Loss = void (*)(Cluster& cluster, std::size_t leader);

void Kill(Cluster& cluster, std::size_t leader) { cluster.Kill(leader); }
void Freeze(Cluster& cluster, std::size_t leader) { cluster.Freeze(leader); }
void CutBothWays(Cluster& cluster, std::size_t leader) {
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cluster.Cut(leader, i);
    cluster.Cut(i, leader);
  }
}
void CutFromIt(Cluster& cluster, std::size_t leader) {
  for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Cut(leader, i);
}
void CutToIt(Cluster& cluster, std::size_t leader) {
  for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Cut(i, leader);
}
void StallDisk(Cluster& cluster, std::size_t leader) { cluster.StallDisk(leader, std::chrono::seconds(30)); }
void WipeTwo(Cluster& cluster, std::size_t leader) {
  cluster.Wipe(leader);
  cluster.Wipe((leader + 1) % cluster.size());
}
// Until it has been taken out of the voters.
void LeaveOut(Cluster& cluster, std::size_t leader) {
  std::vector<std::size_t> members;
  for (std::size_t i = 0; i < cluster.size(); ++i)
    if (i != leader) members.push_back(i);
  cluster.SetRoster(members);
  while (cluster.coordinator(leader)->replica().serving()) cluster.Run(milliseconds(2));
}
void AllLosePower(Cluster& cluster, std::size_t) {
  for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Kill(i);
  for (std::size_t i = 0; i < cluster.size(); ++i) cluster.Start(i);
}

BOOST_AUTO_TEST_CASE(calls_are_served_again_soon_after_a_leader_is_lost) {
  const char* text = std::getenv("FAILOVER_SEEDS");
  const std::uint64_t seeds = text == nullptr ? 200 : std::strtoull(text, nullptr, 10);
  const std::vector<std::pair<const char*, Loss>> losses{{"killed", Kill},
                                                         {"frozen", Freeze},
                                                         {"cut both ways", CutBothWays},
                                                         {"cut from it", CutFromIt},
                                                         {"cut to it", CutToIt},
                                                         {"disk stalls", StallDisk},
                                                         {"two wiped", WipeTwo},
                                                         {"left out of the roster", LeaveOut},
                                                         {"all lose power", AllLosePower}};
  ClusterOptions slow;
  slow.most_sync = milliseconds(100);
  slow.most_way = milliseconds(20);
  for (const ClusterOptions& options : {ClusterOptions{}, slow}) {
    for (const auto& [name, loss] : losses) {
      std::vector<Duration> spans;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Cluster cluster(6, options, seed);
        BOOST_REQUIRE(UntilServed(cluster) < std::chrono::seconds(5));
        cluster.Run(std::chrono::seconds(1) + milliseconds(seed));
        const auto leader = cluster.Leader();
        if (!leader) continue;
        loss(cluster, *leader);
        spans.push_back(UntilServed(cluster));
      }
      BOOST_REQUIRE(spans.size() > seeds * 9 / 10);
      std::sort(spans.begin(), spans.end());
      const auto at = [&](std::size_t percent) {
        return std::chrono::duration_cast<milliseconds>(spans[(spans.size() - 1) * percent / 100]);
      };
      BOOST_TEST_MESSAGE(name << (options.most_sync == slow.most_sync ? ", slow disks and ways" : "")
                              << ": median " << at(50).count() << " ms, 99% " << at(99).count()
                              << " ms, most " << at(100).count() << " ms");
      const Duration aim = loss == LeaveOut ? kHandedOn : kAim;
      BOOST_TEST((at(99) < aim), name << ": 99% " << at(99).count() << " ms");
    }
  }
}

}  // namespace
}  // namespace curlewdoor::coordination::testing
