// ShareAllocator and AllocatedShare: what gateways hold together never exceeds what may be allocated.
#include "quota/share_allocator.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "logic/allocated_share.hpp"

namespace curlewdoor::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr double kQuota = 45;
constexpr Duration kWindow = milliseconds(500);

std::string Name(std::size_t gateway) { return "g" + std::to_string(gateway); }

// Gateways whose use moves; calls that fail for a while, and replies that are lost.
struct Fleet {
  Fleet(std::size_t gateways, std::uint64_t seed) : shares(gateways), uses(gateways), rng(seed) {}

  double Draw() { return std::uniform_real_distribution<double>(0, 1)(rng); }
  void Call(std::size_t gateway) {
    AllocatedShare& share = shares[gateway];
    const Duration lifetime = ShareLifetime(kWindow);
    allocator.Record(now, Name(gateway), {uses[gateway], share.Held(now, lifetime), kQuota, kWindow});
    const double allocated = allocator.Allocate(now, Name(gateway));
    if (Draw() < 0.2) return share.OnFailure(now, lifetime);  // the reply is lost
    share.OnReply(allocated, now);
  }
  double Held() const {
    double held = 0;
    for (const AllocatedShare& share : shares) held += share.Held(now, ShareLifetime(kWindow));
    return held;
  }

  ShareAllocator allocator;
  std::vector<AllocatedShare> shares;
  std::vector<double> uses;
  std::mt19937_64 rng;
  TimePoint now = kStart;
};

BOOST_AUTO_TEST_CASE(no_more_is_held_than_may_be_allocated_whatever_moves_or_is_lost) {
  for (const std::size_t gateways : {1u, 3u, 60u})
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      Fleet fleet(gateways, seed);
      double most = 0;
      for (int step = 0; step < 3000; ++step) {
        fleet.now += std::chrono::duration_cast<Duration>(milliseconds(20) * fleet.Draw());
        const std::size_t gateway = fleet.rng() % gateways;
        if (fleet.Draw() < 0.02) fleet.uses[gateway] = kQuota * fleet.Draw();
        if (fleet.Draw() < 0.02) fleet.now += seconds(1);
        fleet.Call(gateway);
        if (step % 20 == 0) fleet.allocator.Expire(fleet.now, [](const std::string&) { return false; });
        most = std::max(most, fleet.Held());
      }
      BOOST_TEST(most <= 1 - kEvenShare + 1e-9, gateways << " gateways, seed " << seed << ": " << most);
      BOOST_TEST(most > 0.3);
    }
}

BOOST_AUTO_TEST_CASE(shares_follow_use) {
  Fleet fleet(4, 1);
  fleet.uses = {30, 10, 0, 0};
  for (int step = 0; step < 400; ++step) {
    fleet.now += milliseconds(10);
    fleet.Call(static_cast<std::size_t>(step) % 4);
  }
  const Duration lifetime = ShareLifetime(kWindow);
  BOOST_TEST(fleet.shares[0].Held(fleet.now, lifetime) > 0.45);
  BOOST_TEST(fleet.shares[1].Held(fleet.now, lifetime) > 0.1);
  BOOST_TEST(fleet.shares[2].Held(fleet.now, lifetime) < 0.01);
}

BOOST_AUTO_TEST_CASE(a_share_is_valid_for_its_lifetime_and_stays_as_it_was_while_calls_fail) {
  const Duration lifetime = seconds(3);
  AllocatedShare share;
  BOOST_TEST(share.Held(kStart, lifetime) == 0);
  share.OnReply(0.5, kStart);
  BOOST_TEST(share.Held(kStart + lifetime, lifetime) == 0.5);
  BOOST_TEST(share.Held(kStart + lifetime + milliseconds(1), lifetime) == 0);
  for (int second = 2; second < 20; second += 2) share.OnFailure(kStart + seconds(second), lifetime);
  BOOST_TEST(share.Held(kStart + seconds(20), lifetime) == 0.5);
  BOOST_TEST(share.Held(kStart + seconds(22), lifetime) == 0);  // after a pause it may be another's
  share.OnFailure(kStart + seconds(22), lifetime);
  BOOST_TEST(share.Held(kStart + seconds(22), lifetime) == 0);
  share.OnReply(7, kStart + seconds(23));
  BOOST_TEST(share.Held(kStart + seconds(23), lifetime) == 1);
}

BOOST_AUTO_TEST_CASE(what_unreachable_gateways_hold_does_not_expire) {
  ShareAllocator allocator;
  allocator.Record(kStart, "g1", {20, 0, kQuota, kWindow});
  const double held = allocator.Allocate(kStart, "g1");
  BOOST_TEST(held > 0.5);
  const TimePoint later = kStart + seconds(60);
  allocator.Expire(later, [](const std::string& gateway) { return gateway == "g1"; });
  BOOST_TEST(allocator.Held("g1") == held);
  allocator.Expire(later, [](const std::string&) { return false; });
  BOOST_TEST(allocator.Held("g1") == 0);
  BOOST_TEST(allocator.size() == 0u);
  allocator.Record(later, "g2", {-5, -1, kQuota, kWindow});  // out of bounds: taken as none
  BOOST_TEST(allocator.Allocate(later, "g2") == 0);
}

}  // namespace
}  // namespace curlewdoor::quota
