// A second loss right after a repair, members lost while they catch up, members that leave as planned.
#include <csignal>

#include "history_scene.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr double kSyncTime = 4;  // sync_time_s of the settings: seconds from a return until a copy counts

// As many disks as may be lost go at once, right after an order was confirmed; their machines come back empty
// and are taken in. As soon as their copies count, the next ones are lost; and once more.
void PlaySecondLoss(int core) {
  HistoryScene scene(core, 1);
  BOOST_REQUIRE(scene.Begin({}));
  const int at_once = (core - 1) / 2;
  for (int round = 0; round < 3; ++round) {
    std::vector<int> lost;
    for (int i = 0; i < at_once; ++i) lost.push_back((round * at_once + i) % core);
    BOOST_REQUIRE(scene.AtConfirmation([&](int) { scene.KillAndWipe(lost); }));
    for (const int m : lost) scene.Start(m);
    double longest = 0;
    for (const int m : lost) {
      const double took = scene.UntilRedundant(m, core);
      BOOST_TEST(took >= 0);
      longest += took;
    }
    BOOST_TEST_MESSAGE(core << " members, loss " << round + 1 << " of " << at_once << ": redundant again "
                            << longest << " s after the return");
    BOOST_TEST(longest <= kSyncTime);
  }
  BOOST_TEST(scene.Confirms(2));
  scene.Judge();
}
BOOST_AUTO_TEST_CASE(second_loss_after_a_repair_of_three) { PlaySecondLoss(3); }
BOOST_AUTO_TEST_CASE(second_loss_after_a_repair_of_five) { PlaySecondLoss(5); }
BOOST_AUTO_TEST_CASE(second_loss_after_a_repair_of_eight) { PlaySecondLoss(8); }

// Lost again, with its disk, while it catches up; then, when it counts, another one.
BOOST_AUTO_TEST_CASE(lost_during_its_own_catch_up) {
  HistoryScene scene(3, 1);
  BOOST_REQUIRE(scene.Begin({.operators = 3}));
  for (const double later : {0.05, 0.4, 1.0, 1.6}) {
    scene.KillAndWipe({1});
    scene.Start(1);
    scene.Last(later);
  }
  scene.KillAndWipe({1});
  scene.Start(1);
  const double took = scene.UntilRedundant(1, 3);
  BOOST_TEST(took >= 0);
  BOOST_REQUIRE(scene.AtConfirmation([&](int) { scene.KillAndWipe({2}); }));
  BOOST_TEST(scene.Confirms(3));
  scene.Start(2);
  BOOST_REQUIRE(scene.UntilRedundant(2, 3) >= 0);
  scene.Judge();
}

// Who confirmed last is told to leave; once it has said goodbye, another is killed. At three nobody confirms
// anything then, until one is back with its disk; at five all goes on.
void PlayPlannedLeave(int core) {
  HistoryScene scene(core, 1);
  BOOST_REQUIRE(scene.Begin({}));
  int leaving = -1;
  while (leaving < 0 || leaving >= core)
    BOOST_REQUIRE(scene.AtConfirmation([&](int gateway) {
      leaving = gateway;
      if (gateway < core) scene.machines.Signal(gateway, SIGTERM);
    }));
  scene.LeaveAlone(leaving);
  BOOST_TEST(scene.Until([&] { return !scene.machines.Running(leaving); }, 10));
  BOOST_TEST(scene.machines.exit_code(leaving) == 0);
  const int killed = (leaving + 1) % core;
  scene.Kill({killed});
  if (core == 3) {
    scene.Last(2.5);  // what was under way has ended
    const std::size_t before = scene.confirmed();
    scene.Last(2);
    BOOST_TEST(scene.confirmed() == before);
  } else {
    BOOST_TEST(scene.Confirms(3));
  }
  scene.Start(leaving);
  scene.UseAgain(leaving);
  BOOST_TEST(scene.Confirms(3));
  scene.Start(killed);
  scene.Judge();
}
BOOST_AUTO_TEST_CASE(planned_leave_of_the_last_that_confirmed_of_three) { PlayPlannedLeave(3); }
BOOST_AUTO_TEST_CASE(planned_leave_of_the_last_that_confirmed_of_five) { PlayPlannedLeave(5); }

// The replacement of a lost one is lost as soon as a roster names it, and replaced; then an old one is lost.
BOOST_AUTO_TEST_CASE(second_replacement_while_the_first_is_under_way) {
  HistoryScene scene(3, 1, 2);
  BOOST_REQUIRE(scene.Begin({}));
  const auto lists = [&](int machine, int listed) {
    const auto members = scene.Core(machine).members;
    return std::find(members.begin(), members.end(), scene.machines.name(listed)) != members.end();
  };
  scene.KillAndWipe({0});
  scene.Start(4);
  BOOST_TEST(scene.Until([&] { return lists(1, 4) || lists(2, 4); }));
  scene.KillAndWipe({4});
  scene.Start(5);
  BOOST_TEST(scene.Until([&] { return lists(1, 5) && lists(2, 5); }));
  BOOST_REQUIRE(scene.UntilRedundant(5, 3) >= 0);
  BOOST_REQUIRE(scene.AtConfirmation([&](int) { scene.KillAndWipe({2}); }));
  BOOST_TEST(scene.Confirms(3));
  scene.Start(2);
  BOOST_REQUIRE(scene.UntilRedundant(2, 3) >= 0);
  scene.Judge();
}

}  // namespace
}  // namespace curlewdoor::systemkit
