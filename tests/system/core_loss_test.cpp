// What the core has acknowledged survives, played by real processes on loopback. `Kill` stands for a loss of
// power, where files keep what was written; what the disk itself may lose is tests/storage/crash_test.cpp's.
#include "core_scene.hpp"

namespace curlewdoor::systemkit {
namespace {

Machines::Options Of(int core, int others = 0, int spares = 0) {
  Machines::Options options;
  options.program = CURLEWDOOR_PROGRAM;
  options.core = core;
  options.others = others;
  options.spares = spares;
  options.machine_failures = core >= 5 ? 2 : core >= 3 || core == 0 ? 1 : 0;
  return options;
}

BOOST_AUTO_TEST_CASE(all_are_killed_and_back_within_a_second) {
  CoreScene scene(Of(3, 2));
  BOOST_REQUIRE(scene.Begin());
  for (int round = 0; round < 2; ++round) {
    BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill(scene.machines.all()); }));
    const double killed = scene.pace.Now();
    scene.Last(0.3 + 0.4 * round);
    for (const int m : scene.machines.all()) scene.Restart(m);
    BOOST_REQUIRE(scene.Acknowledges(1));
    BOOST_TEST_MESSAGE("next acknowledgement " << scene.pace.Now() - killed << " s after the kill");
  }
  scene.Judge();
}

// As many disks as may be lost, at the moment of an acknowledgement, with all processes.
BOOST_AUTO_TEST_CASE(acknowledged_then_all_killed_and_disks_wiped) {
  CoreScene scene(Of(5));
  BOOST_REQUIRE(scene.Begin());
  for (const auto& wiped : {std::vector<int>{0, 3}, std::vector<int>{1}}) {
    BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill(scene.machines.all()); }));
    for (const int m : wiped) scene.machines.WipeDisk(m);
    const std::uint64_t epoch = scene.Epoch(2);
    for (const int m : scene.machines.all()) scene.Restart(m);
    BOOST_REQUIRE(scene.Acknowledges(1));
    // The wiped ones are members again, by other lives.
    BOOST_TEST(scene.All([&](int m) { return scene.Epoch(m) >= epoch + wiped.size(); }));
  }
  scene.Judge();
}

BOOST_AUTO_TEST_CASE(wiped_again_while_it_catches_up) {
  CoreScene scene(Of(3));
  BOOST_REQUIRE(scene.Begin());
  for (const double later : {0.0, 0.4, 1.0}) {
    scene.machines.Kill({1});
    scene.machines.WipeDisk(1);
    scene.Restart(1);
    scene.Last(later);
  }
  const std::uint64_t epoch = scene.Epoch(0);
  scene.machines.Kill({1});
  scene.machines.WipeDisk(1);
  scene.Restart(1);
  BOOST_TEST(scene.Until([&] { return scene.Epoch(1) > epoch && scene.IsMember(1); }));
  // Its copy counts now: another one may be lost.
  BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill({2}); }));
  BOOST_TEST(scene.Acknowledges(3));
  scene.machines.WipeDisk(2);
  scene.Restart(2);
  scene.Judge();
}

// The new machine is there before anybody knows that the old one is lost, and the old one comes back.
BOOST_AUTO_TEST_CASE(a_replacement_comes_early_and_the_lost_one_returns) {
  CoreScene scene(Of(3, 0, 1));
  BOOST_REQUIRE(scene.Begin());
  scene.Restart(3);
  BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill({1}); }));
  BOOST_TEST(scene.Until([&] { return scene.Lists(0, 3) && scene.Lists(2, 3); }));
  scene.Restart(1);
  BOOST_TEST(scene.Until([&] { return scene.Epoch(1) >= 2; }));  // it learns of the roster, with its old disk
  BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill({0}); }));
  BOOST_TEST(scene.Acknowledges(3));
  scene.Restart(0);
  scene.Judge();
}

BOOST_AUTO_TEST_CASE(a_second_replacement_during_the_first) {
  CoreScene scene(Of(3, 0, 2));
  BOOST_REQUIRE(scene.Begin());
  scene.machines.Kill({0});
  scene.Restart(3);
  // The first one dies in the moment in which the roster that names it is in force, or a little before.
  BOOST_TEST(scene.Until([&] { return scene.Lists(1, 3) || scene.Lists(2, 3); }));
  scene.machines.Kill({3});
  scene.Restart(4);
  BOOST_TEST(scene.Until([&] { return scene.Lists(1, 4) && scene.Lists(2, 4); }));
  BOOST_TEST(scene.Acknowledges(3));
  BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill({2}); }));
  BOOST_TEST(scene.Acknowledges(2));
  scene.Restart(2);
  scene.Judge();
}

// Who has just been given a version stands still, somewhere between its sync and its answer; the others go
// on. The last time so long that another has taken its place when it goes on to work.
BOOST_AUTO_TEST_CASE(frozen_between_sync_and_answer) {
  CoreScene scene(Of(3, 0, 1));
  BOOST_REQUIRE(scene.Begin());
  for (int round = 0; round < 6; ++round) {
    const int m = round % 3;
    scene.PutAt(m);
    const double ends = scene.pace.Now() + 0.001 * round;
    scene.Until([&] { return scene.pace.Now() >= ends; });
    scene.Freeze(m);
    const double frozen = scene.pace.Now();
    BOOST_TEST(scene.Acknowledges(2));
    BOOST_TEST_MESSAGE("next acknowledgements " << scene.pace.Now() - frozen << " s after the freeze");
    scene.Thaw(m);
    BOOST_TEST(scene.Acknowledges(1));
  }
  scene.Restart(3);
  scene.PutAt(0);
  scene.Last(0.002);
  scene.Freeze(0);
  BOOST_TEST(scene.Until([&] { return scene.Lists(1, 3) && !scene.Lists(1, 0); }));
  scene.PutAt(0);  // its call waits in the frozen one's socket
  scene.Thaw(0);
  BOOST_TEST(scene.Until([&] { return scene.Epoch(0) >= 2; }));
  scene.Judge();
}

// Two of three are away: one frozen, one to be replaced. A minority acknowledges nothing and says so.
BOOST_AUTO_TEST_CASE(one_frozen_and_another_replaced) {
  CoreScene scene(Of(3, 0, 1));
  BOOST_REQUIRE(scene.Begin());
  scene.Freeze(0);
  scene.machines.Kill({2});
  scene.Restart(3);
  scene.Last(1.2);  // what is under way ends
  scene.ForgetAnswers();
  const std::size_t acknowledged = scene.acknowledged();
  BOOST_TEST(scene.Until([&] { return scene.answered_503(); }));
  scene.Last(1.5);
  BOOST_TEST(scene.acknowledged() == acknowledged);
  BOOST_TEST(!scene.Lists(1, 3));
  scene.Thaw(0);
  BOOST_TEST(scene.Acknowledges(1));
  BOOST_TEST(scene.Until([&] { return scene.Lists(0, 3) && scene.Lists(1, 3); }));
  scene.Restart(2);
  scene.Judge();
}

// All seeds point to machines that are gone: the members know each other from their disks.
BOOST_AUTO_TEST_CASE(seeds_that_are_gone) {
  CoreScene scene(Of(5, 2));
  BOOST_REQUIRE(scene.Begin());
  std::vector<Address> gone;
  for (int i = 0; i < 3; ++i) gone.push_back({scene.machines.StandInIp(i), scene.machines.control(0).port});
  scene.machines.SetSeeds(gone);
  BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill({0, 1, 2, 3, 4}); }));
  for (const int m : {0, 1, 2, 3, 4}) scene.Restart(m);
  BOOST_TEST(scene.Acknowledges(3));
  scene.Judge();
}

// The same for a new gateway without a disk, which knows nobody, nor does anybody know it: other seeds are
// taken while it runs.
BOOST_AUTO_TEST_CASE(seeds_of_a_new_gateway_are_named_anew) {
  CoreScene scene(Of(3, 2));
  scene.Begin({0, 1, 2, 3});
  BOOST_REQUIRE(scene.Acknowledges(3));
  std::vector<Address> gone, there;
  for (int i = 0; i < 3; ++i) {
    gone.push_back({scene.machines.StandInIp(i), scene.machines.control(0).port});
    there.push_back(scene.machines.control(i));
  }
  scene.machines.SetSeeds(gone);
  scene.Restart(4);
  scene.Last(5);
  BOOST_TEST(scene.Epoch(4) == 0U);
  scene.machines.SetSeeds(there);
  scene.machines.ChangeSettings(4);
  BOOST_TEST(scene.Until([&] { return scene.Epoch(4) > 0 && scene.InForce(4) > 0; }));
  BOOST_TEST(scene.ComesToSee(0, 4));
  scene.Judge();
}

// 9 machines, two of five disks lost one after the other, each with its machine.
BOOST_AUTO_TEST_CASE(two_of_five_are_replaced) {
  CoreScene scene(Of(5, 2, 2));
  BOOST_REQUIRE(scene.Begin());
  BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill({0, 1}); }));
  scene.Restart(7);
  scene.Restart(8);
  BOOST_TEST(scene.Acknowledges(3));
  BOOST_TEST(scene.Until([&] { return scene.Lists(2, 7) && scene.Lists(2, 8); }));
  BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill({2, 3}); }));
  BOOST_TEST(scene.Acknowledges(3));
  scene.Restart(2);
  scene.Restart(3);
  scene.Judge();
}

// An operator's order: refused while it is alive, and where the rest bears less unless it is forced; the rest
// go on as the next roster. Who was forgotten and comes back is taken in as a new machine is.
BOOST_AUTO_TEST_CASE(a_member_is_forgotten_by_order) {
  CoreScene scene(Of(3, 1));
  BOOST_REQUIRE(scene.Begin());
  BOOST_TEST(scene.Forget(3, 2, true) == 503);  // no member
  int status = 503;
  BOOST_TEST(scene.Until([&] {
    status = scene.Forget(0, 2, true);
    return status == 409;  // it is alive
  }));
  scene.machines.Kill({2});
  BOOST_TEST(scene.Until([&] {
    status = scene.Forget(0, 2, true);  // until its end has been noticed
    return status == 200;
  }));
  BOOST_TEST(scene.Until([&] { return scene.Epoch(1) == 2 && scene.Members(1).size() == 2; }));
  BOOST_TEST(scene.Forget(0, 2, false) == 404);
  BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill(scene.machines.all()); }));
  for (const int m : {0, 1, 3}) scene.Restart(m);
  BOOST_TEST(scene.Acknowledges(2));
  scene.machines.Kill({1});
  BOOST_TEST(scene.Until([&] {
    status = scene.Forget(0, 1, true);
    return status == 503;  // of two, one is no majority
  }));
  scene.Restart(1);
  scene.Restart(2);
  BOOST_TEST(scene.All([&](int m) { return scene.Epoch(m) >= 3 && scene.Members(m).size() == 3; }));
  scene.Judge();
}

// Two of three seeds are enough, and the third one comes when there is a core already.
BOOST_AUTO_TEST_CASE(first_start_without_a_seed) {
  CoreScene scene(Of(4));
  scene.Begin({1, 2, 3});
  BOOST_REQUIRE(scene.Acknowledges(3));
  BOOST_TEST(scene.All([&](int m) { return scene.Epoch(m) >= 1; }));
  scene.machines.Start(0, true);
  BOOST_TEST(scene.Until([&] { return scene.Epoch(0) >= 1 && scene.Lists(0, 0); }));
  scene.Judge();
}

// One of three isn't, however long it lasts and however many machines are there: no clock makes a core.
BOOST_AUTO_TEST_CASE(first_start_with_most_seeds_frozen) {
  Machines::Options options = Of(5);
  options.machine_failures = 1;
  CoreScene scene(options);
  scene.Begin(scene.machines.all());
  scene.Freeze(0);
  scene.Freeze(1);
  scene.Last(18);
  BOOST_TEST(scene.acknowledged() == 0u);
  for (const int m : {2, 3, 4}) BOOST_TEST(scene.Epoch(m) == 0u);
  scene.Thaw(0);
  scene.Thaw(1);
  BOOST_TEST(scene.Acknowledges(3));
  BOOST_TEST(scene.All([&](int m) { return scene.Epoch(m) >= 1 && scene.IsMember(m); }));
  scene.Judge();
}

void PlaySize(int core, int others) {
  CoreScene scene(Of(core, others));
  BOOST_REQUIRE(scene.Begin());
  if (core > 0) {
    BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill(scene.machines.all()); }));
    for (const int m : scene.machines.all()) scene.Restart(m);
    BOOST_TEST(scene.Acknowledges(2));
  } else {  // in memory: as many as may go, one after the other
    for (const int m : {0, 1}) {
      const std::uint64_t epoch = scene.Epoch(2);
      BOOST_REQUIRE(scene.AtAcknowledgement([&] { scene.machines.Kill({m}); }));
      BOOST_TEST(scene.Acknowledges(1));
      scene.Restart(m);
      BOOST_TEST(scene.Until([&] { return scene.Epoch(m) > epoch && scene.Lists(2, m); }));
    }
  }
  scene.Judge();
}
BOOST_AUTO_TEST_CASE(one_with_a_disk) { PlaySize(1, 1); }
BOOST_AUTO_TEST_CASE(two_with_a_disk) { PlaySize(2, 1); }
BOOST_AUTO_TEST_CASE(none_with_a_disk) { PlaySize(0, 3); }

// How quickly: a member dies or stands still, and versions reach all gateways.
BOOST_AUTO_TEST_CASE(times) {
  CoreScene scene(Of(3, 4));
  BOOST_REQUIRE(scene.Begin());
  scene.MeasureSpread(true);
  scene.Last(3);
  scene.MeasureSpread(false);
  BOOST_TEST_MESSAGE("from an acknowledgement to the last of 7 gateways, at most "
                     << scene.worst_spread() << " s, with looks of " << CoreScene::kStep << " s");
  for (const bool killed : {true, false}) {
    killed ? scene.machines.Kill({0}) : scene.Freeze(1);
    const double at = scene.pace.Now();
    BOOST_TEST(scene.Acknowledges(1));
    BOOST_TEST_MESSAGE((killed ? "killed: " : "frozen: ")
                       << scene.pace.Now() - at << " s to the next acknowledgement");
    killed ? scene.Restart(0) : scene.Thaw(1);
    BOOST_TEST(scene.All([&](int m) { return scene.InForce(m) > 0; }));
  }
  scene.Judge();
}

}  // namespace
}  // namespace curlewdoor::systemkit
