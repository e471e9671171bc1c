#include "load_balancing/load_balancer.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace curlewdoor::load_balancing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

std::vector<BackendHost> Hosts(int count, int slots = 4) {
  std::vector<BackendHost> hosts;
  for (int i = 0; i < count; ++i)
    hosts.push_back({.id = HostId{static_cast<std::uint64_t>(i + 1)}, .slots = slots});
  return hosts;
}

// Sends one attempt that ends at once with `feedback`.
HostId Visit(LoadBalancer& balancer, TimePoint now, AttemptFeedback feedback = AttemptFeedback::kAnswered) {
  const auto host = balancer.Choose(now, {});
  BOOST_REQUIRE(host);
  balancer.OnAttemptStart(*host);
  balancer.OnAttemptEnd(now, *host, feedback, 1);
  return *host;
}

int CountOf(LoadBalancer& balancer, TimePoint now, HostId id, int visits) {
  int count = 0;
  for (int i = 0; i < visits; ++i) count += Visit(balancer, now) == id;
  return count;
}

BOOST_AUTO_TEST_CASE(NoHostsNoChoice) {
  LoadBalancer balancer({}, 1);
  BOOST_TEST(!balancer.Choose(kStart, {}));
  balancer.SetHosts(kStart, Hosts(1));
  BOOST_TEST(balancer.Choose(kStart, {}).has_value());
  balancer.SetHosts(kStart, {});
  BOOST_TEST(!balancer.Choose(kStart, {}));
}

// Gateways don't coordinate, and each has few requests. Hosts still get requests in proportion to their
// slots.
BOOST_AUTO_TEST_CASE(ManyGatewaysLoadHostsEvenly) {
  auto hosts = Hosts(12);
  for (std::size_t i = 0; i < hosts.size(); ++i) hosts[i].slots = 1 + static_cast<int>(i % 3);  // 24 in all
  for (const int each : {3, 10, 100}) {
    std::map<HostId, double> visits;
    for (std::uint64_t gateway = 0; gateway < 60; ++gateway) {
      LoadBalancer balancer({}, 77 + gateway);
      balancer.SetHosts(kStart, hosts);
      for (int i = 0; i < each; ++i) ++visits[Visit(balancer, kStart)];
    }
    for (const BackendHost& host : hosts) {
      const double relative_load = visits[host.id] / (60.0 * each * host.slots / 24);
      BOOST_TEST_CONTEXT("requests " << each << " host " << host.id.value << " slots " << host.slots) {
        BOOST_TEST(relative_load > (each < 10 ? 0.3 : 0.8));
        BOOST_TEST(relative_load < (each < 10 ? 1.8 : 1.25));
      }
    }
  }
}

// Guards against a burst of concurrent attempts that is sent to few hosts: all hosts have equal slots, so all
// must get about equally many.
BOOST_AUTO_TEST_CASE(ABurstIsSpread) {
  LoadBalancer balancer({}, 5);
  balancer.SetHosts(kStart, Hosts(10));
  for (int i = 0; i < 40; ++i) balancer.OnAttemptStart(*balancer.Choose(kStart, {}));
  for (const auto& host_stats : balancer.Stats(kStart)) {
    BOOST_TEST(host_stats.in_flight >= 3);
    BOOST_TEST(host_stats.in_flight <= 5);
  }
}

BOOST_AUTO_TEST_CASE(AFailingHostIsEjectedAndComesBack) {
  for (const AttemptFeedback feedback :
       {AttemptFeedback::kFailed, AttemptFeedback::kConnectFailed, AttemptFeedback::kWrongHost}) {
    LoadBalancer balancer({}, 3);
    balancer.SetHosts(kStart, Hosts(5));
    const HostId bad{2};
    const auto fail = [&](TimePoint now) {
      int attempts = 0;
      for (int i = 0; i < 200; ++i) {
        const auto host = balancer.Choose(now, {});
        attempts += *host == bad;
        balancer.OnAttemptStart(*host);
        balancer.OnAttemptEnd(now, *host, *host == bad ? feedback : AttemptFeedback::kAnswered, 1);
      }
      return attempts;
    };
    const int attempts = fail(kStart);
    BOOST_TEST(attempts <= 3);  // of 200; its proportional share would be 40
    BOOST_TEST(attempts >= 1);
    BOOST_TEST(CountOf(balancer, kStart + milliseconds(100), bad, 100) == 0);
    int tried = 0;  // probes while it keeps failing, at growing intervals
    for (int i = 1; i <= 60; ++i) tried += fail(kStart + i * seconds(1));
    BOOST_TEST(tried >= 5);
    BOOST_TEST(tried <= 40);
    const TimePoint recovered = kStart + seconds(70);
    BOOST_TEST(CountOf(balancer, recovered, bad, 100) >= 1);
    int visits_after = 0;
    for (int i = 0; i < 30; ++i) visits_after = CountOf(balancer, recovered + i * seconds(1), bad, 100);
    BOOST_TEST(visits_after >= 15);
  }
}

BOOST_AUTO_TEST_CASE(AnOverloadedHostIsEjectedBriefly) {
  LoadBalancer balancer({}, 3);
  balancer.SetHosts(kStart, Hosts(5));
  balancer.OnAttemptStart(HostId{1});
  balancer.OnAttemptEnd(kStart, HostId{1}, AttemptFeedback::kOverloaded, 0);
  BOOST_TEST(CountOf(balancer, kStart + milliseconds(20), HostId{1}, 50) == 0);
  BOOST_TEST(CountOf(balancer, kStart + milliseconds(40), HostId{1}, 50) >= 1);
}

BOOST_AUTO_TEST_CASE(AHostIsChosenWhenAllFail) {
  LoadBalancer balancer({}, 9);
  balancer.SetHosts(kStart, Hosts(4));
  std::map<HostId, int> attempts;
  for (int i = 0; i < 400; ++i)
    ++attempts[Visit(balancer, kStart + i * milliseconds(1), AttemptFeedback::kConnectFailed)];
  BOOST_TEST(attempts.size() == 4u);  // the attempts are spread over all hosts
  for (const auto& [id, count] : attempts) BOOST_TEST(count >= 20);
  auto hosts = Hosts(4);
  for (BackendHost& host : hosts) host.unresponsive = true;
  balancer.SetHosts(kStart, hosts);
  BOOST_TEST(balancer.Choose(kStart + seconds(1), {}).has_value());
}

BOOST_AUTO_TEST_CASE(TriedHostsAreNeverChosenAgain) {
  std::mt19937_64 rng(4);
  LoadBalancer balancer({}, 11);
  balancer.SetHosts(kStart, Hosts(6));
  for (int round = 0; round < 500; ++round) {
    const TimePoint now = kStart + round * milliseconds(10);
    std::vector<HostId> tried;
    while (const auto host = balancer.Choose(now, tried)) {
      BOOST_REQUIRE(std::find(tried.begin(), tried.end(), *host) == tried.end());
      tried.push_back(*host);
      balancer.OnAttemptStart(*host);
      balancer.OnAttemptEnd(now, *host, static_cast<AttemptFeedback>(rng() % 6), 1);
    }
    BOOST_REQUIRE_EQUAL(tried.size(), 6u);
  }
}

// Guards against a second attempt that finds no host because the only untried one is ejected.
BOOST_AUTO_TEST_CASE(TheLastUntriedHostIsChosenThoughEjected) {
  LoadBalancer balancer({}, 11);
  balancer.SetHosts(kStart, Hosts(3));
  balancer.OnAttemptStart(HostId{3});
  balancer.OnAttemptEnd(kStart, HostId{3}, AttemptFeedback::kConnectFailed, 0);
  const HostId tried[] = {HostId{1}, HostId{2}};
  BOOST_TEST(balancer.Choose(kStart, tried).value().value == 3u);
}

BOOST_AUTO_TEST_CASE(SameZoneHostsGoFirstWhileTheyHaveRoom) {
  LoadBalancer balancer({}, 21);
  auto hosts = Hosts(4, 8);
  hosts[0].same_zone = hosts[1].same_zone = true;
  balancer.SetHosts(kStart, hosts);
  const int same_zone = CountOf(balancer, kStart, HostId{1}, 400) + CountOf(balancer, kStart, HostId{2}, 400);
  BOOST_TEST(same_zone >= 280);  // of 400 visits per count; equal shares would be 200
  // With the hosts of this zone loaded beyond their slots, the hosts of the other zone are faster.
  for (const HostId id : {HostId{1}, HostId{2}})
    for (int i = 0; i < 14; ++i) balancer.OnAttemptStart(id);
  int far = 0;
  for (int i = 0; i < 8; ++i) {
    const HostId host = *balancer.Choose(kStart, {});
    far += host.value > 2;
    balancer.OnAttemptStart(host);
  }
  BOOST_TEST(far >= 4);
}

BOOST_AUTO_TEST_CASE(AnUnresponsiveHostIsChosenLast) {
  LoadBalancer balancer({}, 2);
  auto hosts = Hosts(4);
  hosts[1].unresponsive = true;
  balancer.SetHosts(kStart, hosts);
  BOOST_TEST(CountOf(balancer, kStart, HostId{2}, 200) == 0);
  const HostId tried[] = {HostId{1}, HostId{3}, HostId{4}};
  BOOST_TEST(balancer.Choose(kStart, tried).value().value == 2u);
  hosts[1].unresponsive = false;
  balancer.SetHosts(kStart, hosts);
  BOOST_TEST(CountOf(balancer, kStart, HostId{2}, 200) >= 30);
}

// In a large fleet a gateway has fewer requests in flight at a host than the host has slots, since other
// gateways use the same slots. These few must already lower the host's weight.
BOOST_AUTO_TEST_CASE(AttemptsInFlightCountBeforeSlotsAreFull) {
  LoadBalancer balancer({}, 6);
  balancer.SetHosts(kStart, Hosts(4, 6));
  for (int i = 0; i < 3; ++i) balancer.OnAttemptStart(HostId{1});
  BOOST_TEST(CountOf(balancer, kStart, HostId{1}, 200) <= 10);  // of 200; its proportional share would be 50
}

// In a large fleet a gateway sends few requests to each host, so the first answers must identify a slow one.
BOOST_AUTO_TEST_CASE(AFewAnswersIdentifyASlowHost) {
  LoadBalancer balancer({}, 6);
  balancer.SetHosts(kStart, Hosts(4));
  int slow = 0;
  for (int i = 0; i < 60; ++i) {
    const HostId host = *balancer.Choose(kStart, {});
    balancer.OnAttemptStart(host);
    balancer.OnAttemptEnd(kStart, host, AttemptFeedback::kAnswered, host == HostId{1} ? 2 : 1);
    slow += host == HostId{1};
  }
  BOOST_TEST(slow <= 2);  // of 60; its proportional share would be 15
}

BOOST_AUTO_TEST_CASE(HostsInSlowStartGetLess) {
  LoadBalancer balancer({}, 2);
  auto hosts = Hosts(4);
  hosts[0].slow_start_until = kStart + seconds(5);
  balancer.SetHosts(kStart, hosts);
  const int cold = CountOf(balancer, kStart, HostId{1}, 400);
  BOOST_TEST(cold > 0);
  BOOST_TEST(cold < 70);
  BOOST_TEST(CountOf(balancer, kStart + seconds(5), HostId{1}, 400) > 85);
}

BOOST_AUTO_TEST_CASE(StatisticsSurviveNewHostLists) {
  LoadBalancer balancer({}, 8);
  balancer.SetHosts(kStart, Hosts(3));
  for (int i = 0; i < 40; ++i) {
    balancer.OnAttemptStart(HostId{1});
    balancer.OnAttemptEnd(kStart, HostId{1}, AttemptFeedback::kAnswered, 5);
  }
  balancer.OnAttemptStart(HostId{1});
  balancer.OnAttemptStart(HostId{2});
  balancer.OnAttemptEnd(kStart, HostId{2}, AttemptFeedback::kConnectFailed, 0);
  balancer.SetHosts(kStart, Hosts(5));
  const auto stats = balancer.Stats(kStart);
  BOOST_TEST(stats[0].slowness > 3);
  BOOST_TEST(stats[0].in_flight == 1);
  BOOST_TEST(stats[1].ejected);
  BOOST_TEST(stats[4].slowness == 1);
  BOOST_TEST(balancer.in_flight() == 1);
  // New hosts don't take all requests away from the remaining ones at once.
  std::map<HostId, int> first;
  for (int i = 0; i < 20; ++i) ++first[Visit(balancer, kStart + seconds(1))];
  for (const auto& [id, count] : first) BOOST_TEST(count <= 9);
}

// Guards against counts of attempts in flight that drift: attempts start and end in any order, while hosts
// are removed and added again.
BOOST_AUTO_TEST_CASE(InFlightCountsNeverDrift) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 rng(seed);
    LoadBalancer balancer({}, seed);
    std::vector<HostId> in_flight;
    TimePoint now = kStart;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(rng() % 50);
      switch (rng() % 8) {
        case 0: {
          std::vector<BackendHost> hosts;
          for (const BackendHost& host : Hosts(8))
            if (rng() % 4 != 0) hosts.push_back(host);
          balancer.SetHosts(now, hosts);
          break;
        }
        case 1:
        case 2:
        case 3:
          if (const auto host = balancer.Choose(now, {})) {
            balancer.OnAttemptStart(*host);
            in_flight.push_back(*host);
          }
          break;
        default:
          if (in_flight.empty()) break;
          std::swap(in_flight[rng() % in_flight.size()], in_flight.back());
          balancer.OnAttemptEnd(now, in_flight.back(), static_cast<AttemptFeedback>(rng() % 6), 1);
          in_flight.pop_back();
      }
      BOOST_REQUIRE(balancer.in_flight() >= 0);
      BOOST_REQUIRE(balancer.in_flight() <= static_cast<int>(in_flight.size()));
      int sum = 0;
      for (const auto& host_stats : balancer.Stats(now)) {
        BOOST_REQUIRE(host_stats.in_flight >= 0);
        sum += host_stats.in_flight;
      }
      BOOST_REQUIRE_EQUAL(sum, balancer.in_flight());
    }
    for (const HostId host : in_flight) balancer.OnAttemptEnd(now, host, AttemptFeedback::kCancelled, 0);
    BOOST_REQUIRE_EQUAL(balancer.in_flight(), 0);
  }
}

}  // namespace
}  // namespace curlewdoor::load_balancing
