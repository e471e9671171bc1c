// Answers belong to their questions: after resets, silences and earlier lives of a process.
#include <fmt/format.h>

#include "history_scene.hpp"

namespace curlewdoor::systemkit {
namespace {

// An operator's connection breaks in its head, in its body, or right after it; the order is sent again
// elsewhere, while the peers' connections are reset too.
BOOST_AUTO_TEST_CASE(resent_after_a_reset_in_the_middle) {
  HistoryScene scene(3, 2);
  BOOST_REQUIRE(scene.Begin({.operators = 2}));
  for (int round = 0; round < 30; ++round) {
    const Sent order = scene.Next("reset");
    scene.OrderAndReset(round % 5, order,
                        std::vector{0.02, 0.5, 0.99, 1.0, 1.0}[static_cast<std::size_t>(round % 5)]);
    if (round % 3 == 0) scene.relays.Reset(round % 4);
    BOOST_TEST(scene.OrderUntilClear(order, round + 1) == 200);
  }
  scene.Judge();
}

// Calls wait in the sockets of a stopped process; when it goes on, the world has gone on too.
void PlayStopped(int stopped) {
  HistoryScene scene(3, 2);
  BOOST_REQUIRE(scene.Begin({}));
  constexpr double kStopped = 5, kPatience = 12;
  std::vector<AskedPtr> waiting;
  waiting.push_back(scene.Read(stopped, kPatience));
  waiting.push_back(scene.Order(stopped, scene.Next("before"), kPatience));
  scene.Freeze(stopped);
  scene.LastWith(kStopped, 0.5, [&] {
    waiting.push_back(scene.Read(stopped, kPatience));
    waiting.push_back(scene.Order(stopped, scene.Next("stopped"), kPatience));
  });
  BOOST_TEST(scene.Confirms(3));
  const std::uint64_t floor = scene.floor();
  waiting.push_back(scene.Read(stopped, kPatience));
  scene.Thaw(stopped);
  BOOST_TEST(scene.Over(waiting));
  if (waiting.back()->status == 200) BOOST_TEST(waiting.back()->read.version >= floor);
  int answered = 0;
  for (const AskedPtr& each : waiting) answered += each->status != 0;
  BOOST_TEST_MESSAGE(answered << " of " << waiting.size() << " waiting calls were answered");
  scene.Judge();
}
BOOST_AUTO_TEST_CASE(a_stopped_gateway_wakes) { PlayStopped(3); }
BOOST_AUTO_TEST_CASE(a_stopped_member_wakes) { PlayStopped(0); }

// Answers to a gateway wait on their way while it is killed and started anew: its calls count from the
// beginning again, and what comes late is about other questions.
BOOST_AUTO_TEST_CASE(late_answers_of_an_earlier_life) {
  HistoryScene scene(3, 1);
  BOOST_REQUIRE(scene.Begin({.operators = 1}));
  scene.LeaveAlone(3);
  for (int round = 0; round < 6; ++round) {
    for (const int m : {0, 1, 2}) scene.relays.Cut(m, 3);
    std::vector<AskedPtr> asked;
    for (int i = 0; i < 6; ++i) asked.push_back(scene.Order(3, scene.Next(fmt::format("life{}", i))));
    for (int i = 0; i < 2; ++i) asked.push_back(scene.Read(3));
    scene.Last(0.2);
    scene.Kill({3});
    scene.Start(3);
    // The same numbers of calls, of other questions: a lone member can't confirm these.
    scene.Last(0.15 + 0.05 * round);
    for (int i = 0; i < 6; ++i) asked.push_back(scene.Order(3, scene.Next(fmt::format("next{}", i)), 0.9));
    for (int i = 0; i < 2; ++i) asked.push_back(scene.Read(3, 0.9));
    scene.relays.JoinAll();
    BOOST_TEST(scene.Over(asked));
    for (const AskedPtr& each : asked)
      if (!each->sent.content.empty() && !each->confirmed())
        BOOST_TEST(scene.OrderUntilClear(each->sent, round) == 200);
  }
  scene.UseAgain(3);
  scene.Judge();
}

// A member holds orders that it can't bring about, passed on by a gateway that is killed; its late answers
// and its late messages come when all others have gone on.
BOOST_AUTO_TEST_CASE(late_orders_of_a_member_that_was_cut_off) {
  HistoryScene scene(5, 1);
  BOOST_REQUIRE(scene.Begin({.operators = 2}));
  for (int round = 0; round < 4; ++round) {
    const int member = round;
    scene.LeaveAlone(member);
    for (int m = 0; m < 6; ++m)
      if (m != member) scene.relays.Cut(member, m);
    std::vector<AskedPtr> asked;
    for (int i = 0; i < 4; ++i) asked.push_back(scene.Order(member, scene.Next(fmt::format("late{}", i))));
    scene.Last(0.6);
    BOOST_TEST(scene.Confirms(3));
    if (round % 2 == 1) scene.Kill({member});
    scene.relays.JoinAll();
    BOOST_TEST(scene.Over(asked));
    if (round % 2 == 1) scene.Start(member);
    scene.UseAgain(member);
    for (const AskedPtr& each : asked) BOOST_TEST(scene.OrderUntilClear(each->sent, round + 2) == 200);
  }
  scene.Judge();
}

}  // namespace
}  // namespace curlewdoor::systemkit
