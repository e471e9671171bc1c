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

std::vector<Host> Hosts(int count, int slots = 4) {
  std::vector<Host> hosts;
  for (int i = 0; i < count; ++i)
    hosts.push_back({.id = HostId{static_cast<std::uint64_t>(i + 1)}, .slots = slots});
  return hosts;
}

// Chooses, and ends at once as `how`.
HostId Visit(Chooser& chooser, TimePoint now, End how = End::kAnswered) {
  const auto host = chooser.Choose(now, {});
  BOOST_REQUIRE(host);
  chooser.Started(*host);
  chooser.Ended(now, *host, how, 1);
  return *host;
}

int CountOf(Chooser& chooser, TimePoint now, HostId id, int visits) {
  int count = 0;
  for (int i = 0; i < visits; ++i) count += Visit(chooser, now) == id;
  return count;
}

BOOST_AUTO_TEST_CASE(NoHostsNoChoice) {
  Chooser chooser({}, 1);
  BOOST_TEST(!chooser.Choose(kStart, {}));
  chooser.SetHosts(kStart, Hosts(1));
  BOOST_TEST(chooser.Choose(kStart, {}).has_value());
  chooser.SetHosts(kStart, {});
  BOOST_TEST(!chooser.Choose(kStart, {}));
}

// Gateways that know nothing of each other, each with few requests: hosts get their part by slots.
BOOST_AUTO_TEST_CASE(ManyGatewaysLoadHostsEvenly) {
  auto hosts = Hosts(12);
  for (std::size_t i = 0; i < hosts.size(); ++i) hosts[i].slots = 1 + static_cast<int>(i % 3);  // 24 in all
  for (const int each : {3, 10, 100}) {
    std::map<HostId, double> visits;
    for (std::uint64_t gateway = 0; gateway < 60; ++gateway) {
      Chooser chooser({}, 77 + gateway);
      chooser.SetHosts(kStart, hosts);
      for (int i = 0; i < each; ++i) ++visits[Visit(chooser, kStart)];
    }
    for (const Host& host : hosts) {
      const double part = visits[host.id] / (60.0 * each * host.slots / 24);
      BOOST_TEST_CONTEXT("requests " << each << " host " << host.id.value << " slots " << host.slots) {
        BOOST_TEST(part > (each < 10 ? 0.3 : 0.8));
        BOOST_TEST(part < (each < 10 ? 1.8 : 1.25));
      }
    }
  }
}

// Many at once: none is sent on to one host before all others have as much by their slots.
BOOST_AUTO_TEST_CASE(ABurstIsSpread) {
  Chooser chooser({}, 5);
  chooser.SetHosts(kStart, Hosts(10));
  for (int i = 0; i < 40; ++i) chooser.Started(*chooser.Choose(kStart, {}));
  for (const auto& view : chooser.Look(kStart)) {
    BOOST_TEST(view.out >= 3);
    BOOST_TEST(view.out <= 5);
  }
}

BOOST_AUTO_TEST_CASE(OneThatFailsIsLeftAloneAndComesBack) {
  for (const End how : {End::kFailed, End::kNoConnect, End::kElsewhere}) {
    Chooser chooser({}, 3);
    chooser.SetHosts(kStart, Hosts(5));
    const HostId bad{2};
    const auto fail = [&](TimePoint now) {
      int met = 0;
      for (int i = 0; i < 200; ++i) {
        const auto host = chooser.Choose(now, {});
        met += *host == bad;
        chooser.Started(*host);
        chooser.Ended(now, *host, *host == bad ? how : End::kAnswered, 1);
      }
      return met;
    };
    const int met = fail(kStart);
    BOOST_TEST(met <= 3);  // of 200, where its part is 40
    BOOST_TEST(met >= 1);
    BOOST_TEST(CountOf(chooser, kStart + milliseconds(100), bad, 100) == 0);
    int tried = 0;  // while it fails on, it is asked now and then, ever less often
    for (int i = 1; i <= 60; ++i) tried += fail(kStart + i * seconds(1));
    BOOST_TEST(tried >= 5);
    BOOST_TEST(tried <= 40);
    const TimePoint well = kStart + seconds(70);
    BOOST_TEST(CountOf(chooser, well, bad, 100) >= 1);
    int back = 0;
    for (int i = 0; i < 30; ++i) back = CountOf(chooser, well + i * seconds(1), bad, 100);
    BOOST_TEST(back >= 15);
  }
}

BOOST_AUTO_TEST_CASE(OneThatIsFullRestsForAMoment) {
  Chooser chooser({}, 3);
  chooser.SetHosts(kStart, Hosts(5));
  chooser.Started(HostId{1});
  chooser.Ended(kStart, HostId{1}, End::kFull, 0);
  BOOST_TEST(CountOf(chooser, kStart + milliseconds(20), HostId{1}, 50) == 0);
  BOOST_TEST(CountOf(chooser, kStart + milliseconds(40), HostId{1}, 50) >= 1);
}

BOOST_AUTO_TEST_CASE(WhereAllFailOneIsStillChosen) {
  Chooser chooser({}, 9);
  chooser.SetHosts(kStart, Hosts(4));
  std::map<HostId, int> met;
  for (int i = 0; i < 400; ++i) ++met[Visit(chooser, kStart + i * milliseconds(1), End::kNoConnect)];
  BOOST_TEST(met.size() == 4u);  // and not always the same one
  for (const auto& [id, count] : met) BOOST_TEST(count >= 20);
  auto hosts = Hosts(4);
  for (Host& host : hosts) host.silent = true;
  chooser.SetHosts(kStart, hosts);
  BOOST_TEST(chooser.Choose(kStart + seconds(1), {}).has_value());
}

BOOST_AUTO_TEST_CASE(TriedHostsAreNeverChosenAgain) {
  std::mt19937_64 rng(4);
  Chooser chooser({}, 11);
  chooser.SetHosts(kStart, Hosts(6));
  for (int round = 0; round < 500; ++round) {
    const TimePoint now = kStart + round * milliseconds(10);
    std::vector<HostId> tried;
    while (const auto host = chooser.Choose(now, tried)) {
      BOOST_REQUIRE(std::find(tried.begin(), tried.end(), *host) == tried.end());
      tried.push_back(*host);
      chooser.Started(*host);
      chooser.Ended(now, *host, static_cast<End>(rng() % 6), 1);
    }
    BOOST_REQUIRE_EQUAL(tried.size(), 6u);
  }
}

// A rest must not send a second attempt to nobody: the one that rests is better than none.
BOOST_AUTO_TEST_CASE(TheLastUntriedIsChosenThoughItRests) {
  Chooser chooser({}, 11);
  chooser.SetHosts(kStart, Hosts(3));
  chooser.Started(HostId{3});
  chooser.Ended(kStart, HostId{3}, End::kNoConnect, 0);
  const HostId tried[] = {HostId{1}, HostId{2}};
  BOOST_TEST(chooser.Choose(kStart, tried).value().value == 3u);
}

BOOST_AUTO_TEST_CASE(NearHostsGoFirstWhileTheyHaveRoom) {
  Chooser chooser({}, 21);
  auto hosts = Hosts(4, 8);
  hosts[0].near = hosts[1].near = true;
  chooser.SetHosts(kStart, hosts);
  const int near = CountOf(chooser, kStart, HostId{1}, 400) + CountOf(chooser, kStart, HostId{2}, 400);
  BOOST_TEST(near >= 280);  // of 400 each: three quarters together
  // Filled beyond their slots, the others are sooner.
  for (const HostId id : {HostId{1}, HostId{2}})
    for (int i = 0; i < 14; ++i) chooser.Started(id);
  int far = 0;
  for (int i = 0; i < 8; ++i) {
    const HostId host = *chooser.Choose(kStart, {});
    far += host.value > 2;
    chooser.Started(host);
  }
  BOOST_TEST(far >= 4);
}

BOOST_AUTO_TEST_CASE(ASilentHostIsLast) {
  Chooser chooser({}, 2);
  auto hosts = Hosts(4);
  hosts[1].silent = true;
  chooser.SetHosts(kStart, hosts);
  BOOST_TEST(CountOf(chooser, kStart, HostId{2}, 200) == 0);
  const HostId tried[] = {HostId{1}, HostId{3}, HostId{4}};
  BOOST_TEST(chooser.Choose(kStart, tried).value().value == 2u);
  hosts[1].silent = false;
  chooser.SetHosts(kStart, hosts);
  BOOST_TEST(CountOf(chooser, kStart, HostId{2}, 200) >= 30);
}

// A gateway of a large fleet has fewer requests out at a host than that has slots; others have some there
// too.
BOOST_AUTO_TEST_CASE(WhatIsOutWeighsBeforeSlotsAreFull) {
  Chooser chooser({}, 6);
  chooser.SetHosts(kStart, Hosts(4, 6));
  for (int i = 0; i < 3; ++i) chooser.Started(HostId{1});
  BOOST_TEST(CountOf(chooser, kStart, HostId{1}, 200) <= 10);  // of 50
}

// It sees each host seldom, so the first answers must tell a slow one.
BOOST_AUTO_TEST_CASE(AFewAnswersTellASlowHost) {
  Chooser chooser({}, 6);
  chooser.SetHosts(kStart, Hosts(4));
  int slow = 0;
  for (int i = 0; i < 60; ++i) {
    const HostId host = *chooser.Choose(kStart, {});
    chooser.Started(host);
    chooser.Ended(kStart, host, End::kAnswered, host == HostId{1} ? 2 : 1);
    slow += host == HostId{1};
  }
  BOOST_TEST(slow <= 2);  // of 15
}

BOOST_AUTO_TEST_CASE(ColdHostsGetLess) {
  Chooser chooser({}, 2);
  auto hosts = Hosts(4);
  hosts[0].warm_at = kStart + seconds(5);
  chooser.SetHosts(kStart, hosts);
  const int cold = CountOf(chooser, kStart, HostId{1}, 400);
  BOOST_TEST(cold > 0);
  BOOST_TEST(cold < 70);
  BOOST_TEST(CountOf(chooser, kStart + seconds(5), HostId{1}, 400) > 85);
}

BOOST_AUTO_TEST_CASE(WhatWasLearntOutlivesNewLists) {
  Chooser chooser({}, 8);
  chooser.SetHosts(kStart, Hosts(3));
  for (int i = 0; i < 40; ++i) {
    chooser.Started(HostId{1});
    chooser.Ended(kStart, HostId{1}, End::kAnswered, 5);
  }
  chooser.Started(HostId{1});
  chooser.Started(HostId{2});
  chooser.Ended(kStart, HostId{2}, End::kNoConnect, 0);
  chooser.SetHosts(kStart, Hosts(5));
  const auto views = chooser.Look(kStart);
  BOOST_TEST(views[0].slowness > 3);
  BOOST_TEST(views[0].out == 1);
  BOOST_TEST(views[1].resting);
  BOOST_TEST(views[4].slowness == 1);
  BOOST_TEST(chooser.out() == 1);
  // New ones don't take all at once from those that stay.
  std::map<HostId, int> first;
  for (int i = 0; i < 20; ++i) ++first[Visit(chooser, kStart + seconds(1))];
  for (const auto& [id, count] : first) BOOST_TEST(count <= 9);
}

// What is out from here, through starts, ends in any order, hosts that go and come back meanwhile.
BOOST_AUTO_TEST_CASE(WhatIsOutIsNeverLost) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 rng(seed);
    Chooser chooser({}, seed);
    std::vector<HostId> out;
    TimePoint now = kStart;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(rng() % 50);
      switch (rng() % 8) {
        case 0: {
          std::vector<Host> hosts;
          for (const Host& host : Hosts(8))
            if (rng() % 4 != 0) hosts.push_back(host);
          chooser.SetHosts(now, hosts);
          break;
        }
        case 1:
        case 2:
        case 3:
          if (const auto host = chooser.Choose(now, {})) {
            chooser.Started(*host);
            out.push_back(*host);
          }
          break;
        default:
          if (out.empty()) break;
          std::swap(out[rng() % out.size()], out.back());
          chooser.Ended(now, out.back(), static_cast<End>(rng() % 6), 1);
          out.pop_back();
      }
      BOOST_REQUIRE(chooser.out() >= 0);
      BOOST_REQUIRE(chooser.out() <= static_cast<int>(out.size()));
      int sum = 0;
      for (const auto& view : chooser.Look(now)) {
        BOOST_REQUIRE(view.out >= 0);
        sum += view.out;
      }
      BOOST_REQUIRE_EQUAL(sum, chooser.out());
    }
    for (const HostId host : out) chooser.Ended(now, host, End::kNothing, 0);
    BOOST_REQUIRE_EQUAL(chooser.out(), 0);
  }
}

}  // namespace
}  // namespace curlewdoor::load_balancing
