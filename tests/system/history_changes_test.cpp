// Hundreds of changes, a member that comes back behind them, and configurations of megabytes.
#include <fmt/format.h>

#include "history_scene.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr int kChanges = 500, kAtOnce = 8;
constexpr int kRoutesOfAMebibyte = 5'400;  // with 3 times as many it stays below the door's 3 MiB

void SendChanges(HistoryScene& scene, int gateway, int changes) {
  for (int sent = 0; sent < changes; sent += kAtOnce) {
    std::vector<AskedPtr> asked;
    for (int i = 0; i < kAtOnce; ++i)
      asked.push_back(scene.Order(gateway, scene.Next(fmt::format("w{}", i))));
    BOOST_REQUIRE(scene.Over(asked));
    for (const AskedPtr& each : asked)
      if (!each->confirmed()) BOOST_TEST(scene.OrderUntilClear(each->sent, gateway) == 200);
  }
}

// A member is down during all of them; when it is back, the one that wrote them is killed.
BOOST_AUTO_TEST_CASE(back_after_500_changes_and_the_writer_is_killed) {
  HistoryScene scene(3, 1);
  BOOST_REQUIRE(scene.Begin({.operators = 0, .reads = true}));
  scene.Kill({0});
  const double begun = scene.pace.Now();
  SendChanges(scene, 1, kChanges);
  BOOST_TEST_MESSAGE(kChanges << " changes, " << kAtOnce << " at once, in " << scene.pace.Now() - begun
                              << " s");
  scene.Start(0);
  // The moment in which the two that are left can agree on something: it is the one that was down that asks.
  BOOST_TEST(scene.Until([&] { return scene.Core(0).majority; }));
  scene.Kill({1});
  AskedPtr read;
  BOOST_TEST(scene.Until([&] {
    if (read == nullptr || (read->over && read->status != 200)) read = scene.Read(0);
    return read->confirmed();
  }));
  BOOST_TEST(read->read.version == scene.floor());
  BOOST_TEST(scene.OrderUntilClear(scene.Next(), 0) == 200);
  scene.Start(1);
  scene.Judge();
}

// Before it has learned: it reaches nobody, then only one that is behind as well, then one that knows.
BOOST_AUTO_TEST_CASE(a_restarted_member_neither_votes_nor_coordinates_before_it_has_learned) {
  HistoryScene scene(3, 1);
  BOOST_REQUIRE(scene.Begin({.operators = 1}));
  scene.Kill({0});
  BOOST_TEST(scene.Confirms(10));
  scene.relays.Separate({0});
  scene.LeaveAlone(0);
  scene.Start(0);
  std::vector<AskedPtr> asked;
  scene.LastWith(3, 0.2, [&] {
    asked.push_back(scene.Read(0));
    asked.push_back(scene.Order(0, scene.Next("alone")));
  });
  BOOST_TEST(scene.Over(asked));
  for (const AskedPtr& each : asked)
    BOOST_TEST((each->refused_5xx() || each->status == 0), "answered " << each->status);
  BOOST_TEST(!scene.Core(0).majority);
  scene.Kill({1});
  scene.relays.JoinAll();
  scene.UseAgain(0);
  BOOST_TEST(scene.Confirms(3));
  scene.Kill({2});
  scene.Start(1);
  BOOST_TEST(scene.Confirms(3));
  scene.Start(2);
  scene.Judge();
}

// At a gateway that holds nothing, and at a member; then a member that has lost its disk learns it.
void PlayLarge(int mebibytes) {
  HistoryScene scene(3, 1);
  BOOST_REQUIRE(scene.Begin({.operators = 1}));
  const int routes = mebibytes * kRoutesOfAMebibyte;
  for (const int gateway : {3, 0}) {
    const Sent large = scene.Next("large");
    const double begun = scene.pace.Now();
    BOOST_TEST(scene.OrderUntilClear(large, gateway, routes) == 200);
    BOOST_TEST_MESSAGE(scene.ConfigText(large).size()
                       << " bytes at gateway " << gateway << " in " << scene.pace.Now() - begun << " s");
    scene.KillAndWipe({1});
    scene.Start(1);
    BOOST_REQUIRE(scene.UntilRedundant(1, 3) >= 0);
  }
  BOOST_TEST(scene.Confirms(3));
  scene.Judge();
}
BOOST_AUTO_TEST_CASE(one_mebibyte_is_taken) { PlayLarge(1); }
BOOST_AUTO_TEST_CASE(three_mebibytes_are_taken) { PlayLarge(3); }

// The newest is a large one, and stays: the gateways serve it, and it is read as it was sent.
BOOST_AUTO_TEST_CASE(a_large_one_is_read_as_it_was_sent) {
  HistoryScene scene(3, 1);
  BOOST_REQUIRE(scene.Begin({.operators = 0, .reads = false}));
  const Sent large = scene.Next("large");
  BOOST_TEST(scene.OrderUntilClear(large, 3, 2 * kRoutesOfAMebibyte) == 200);
  scene.KillAndWipe({0});
  scene.Start(0);
  BOOST_REQUIRE(scene.UntilRedundant(0, 3) >= 0);
  scene.Kill({1});
  for (const int gateway : {0, 2, 3}) {
    AskedPtr read;
    BOOST_TEST(scene.Until([&] {
      if (read == nullptr || (read->over && read->status != 200)) read = scene.Read(gateway);
      return read->confirmed();
    }));
    BOOST_TEST((read->read == large));
    BOOST_TEST(scene.Until([&] { return scene.InForce(gateway) == large.version; }));
  }
  scene.Start(1);
  scene.Judge();
}

}  // namespace
}  // namespace curlewdoor::systemkit
