// Releases that arrive late: rule ONE where a caller sends `finish`, dies before its answer, starts again and
// begins the lock under its name, which gives it its fence again. Real processes, judged by what callers were
// answered.
#include <csignal>

#include "coordination_deployment.hpp"
#include "systemkit/environment.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr int kCore = 3, kGateways = 3;
constexpr double kDiesAfter = 0.04;    // seconds from its finish to the end of a caller's process
constexpr double kStartsAfter = 0.02;  // ... until that runs again
constexpr double kWatched = 1;         // ... for which another caller goes on asking
constexpr double kReleased = 1.5;      // ... until a lock that was given back is free: release_ms
constexpr int kShortHoldMs = 2000;

Machines::Options SixMachines() {
  Machines::Options options = Of(kCore, kGateways);
  options.program = ProgramToPlay(CURLEWDOOR_PROGRAM);
  return options;
}

// Where a round is played: machines by number, members of the core first.
struct Round {
  int asleep = 0, finish_at = 0, begin_at = 0, other_at = 0;
  double pause_s = 0;
};

class LateFinish : public Deployment {
 public:
  LateFinish() : Deployment(SixMachines()) {}

  void Play(const Round& round) {
    BOOST_TEST_CONTEXT("machine " << round.asleep << " asleep for " << round.pause_s << " s, finish at "
                                  << round.finish_at << ", begin at " << round.begin_at) {
      PlayRound(round, "lock-" + std::to_string(++locks_));
    }
  }
  bool IsGranted(int machine, const std::string& lock, const std::string& holder) {
    return At(machine, Begin(lock, holder, kShortHoldMs), kSilence).status == 200;
  }
  void Wait(double seconds) {
    Until([] { return false; }, std::max(0.0, seconds));
  }
  void CheckFreed(const std::string& lock) {
    BOOST_TEST(Until([&] { return IsGranted(kCore, lock, "next"); }, kReleased), lock << " is still held");
  }

 private:
  void PlayRound(const Round& round, const std::string& lock) {
    const std::uint64_t first = NumberIn(Repeated(Begin(lock, "x", kLongHoldMs)), "fence");
    machines.Signal(round.asleep, SIGSTOP);
    const double wakes = pace.Now() + round.pause_s;
    Send(round.finish_at, Finish(lock, "x", first), kDiesAfter, [](const Answer&) {});
    Wait(kDiesAfter + kStartsAfter);
    std::optional<Answer> again;
    Send(round.begin_at, Begin(lock, "x", kLongHoldMs), kSilence,
         [&](const Answer& answer) { again = answer; });
    Wait(wakes - pace.Now());
    machines.Signal(round.asleep, SIGCONT);
    BOOST_REQUIRE(Until([&] { return again.has_value(); }, 2 * kSilence));
    if (again->status != 200) again = Repeated(Begin(lock, "x", kLongHoldMs));
    BOOST_REQUIRE(again->status == 200);
    const std::uint64_t second = NumberIn(*again, "fence");

    bool two_holders = false;
    const double watched_until = pace.Now() + kWatched;
    while (!two_holders && pace.Now() < watched_until) two_holders = IsGranted(round.other_at, lock, "y");
    BOOST_TEST(!two_holders, "ONE: y got " << lock << " while x counts itself holder by fence " << second);
    BOOST_TEST(Repeated(Renew(lock, "x", second, kLongHoldMs)).status == 200);
    BOOST_TEST(Repeated(Finish(lock, "x", second)).status == 200);
    CheckFreed(lock);
  }
  int locks_ = 0;
};

// Guards against two holders of a lock (ONE) after any pause of the gateway at which the finish lay.
BOOST_AUTO_TEST_CASE(a_finish_that_lay_at_a_paused_gateway_ends_no_hold_that_was_begun_again) {
  LateFinish deployment;
  BOOST_REQUIRE(deployment.Start());
  for (const double pause_s : {0.1, 0.2, 0.35, 0.45, 0.7})
    deployment.Play({.asleep = 3, .finish_at = 3, .begin_at = 4, .other_at = 5, .pause_s = pause_s});
}

// Guards against the same where the finish lay at a member of the core, by way of a gateway or sent to it.
BOOST_AUTO_TEST_CASE(a_finish_that_lay_at_a_paused_member_ends_no_hold_that_was_begun_again) {
  LateFinish deployment;
  BOOST_REQUIRE(deployment.Start());
  for (int member = 0; member < kCore; ++member) {
    for (const double pause_s : {0.1, 0.35}) {
      deployment.Play({.asleep = member, .finish_at = 3, .begin_at = 4, .other_at = 5, .pause_s = pause_s});
      deployment.Play(
          {.asleep = member, .finish_at = member, .begin_at = 4, .other_at = 5, .pause_s = pause_s});
    }
  }
}

// Guards against calls of callers that have died which take effect after all: a lock that nobody holds, a
// value that overwrites a later one.
BOOST_AUTO_TEST_CASE(a_call_that_lay_at_a_paused_gateway_is_not_begun_once_its_caller_has_gone) {
  constexpr int kPaused = 3;
  LateFinish deployment;
  BOOST_REQUIRE(deployment.Start());
  for (const double pause_s : {0.1, 0.35}) {
    const std::string lock = fmt::format("abandoned-{}", pause_s);
    deployment.machines.Signal(kPaused, SIGSTOP);
    deployment.Send(kPaused, Begin(lock, "dead", kLongHoldMs), kDiesAfter, [](const Answer&) {});
    deployment.Send(kPaused, Put("g.a", "early" + lock), kDiesAfter, [](const Answer&) {});
    deployment.Wait(kDiesAfter);
    BOOST_TEST(deployment.Repeated(Put("g.a", "late" + lock)).status == 200);
    deployment.Wait(pause_s - kDiesAfter);
    deployment.machines.Signal(kPaused, SIGCONT);
    deployment.Wait(kStartsAfter);
    BOOST_TEST(deployment.At(kPaused, TakeNumber("n"), kSilence).whole());  // it goes on
    deployment.CheckFreed(lock);
    const Answer read = deployment.Repeated(ReadKey("g.a"));
    BOOST_TEST(read.body.find("late" + lock) != std::string::npos, "read " << read.body);
  }
}

// Guards against locks that stay held after their finish, however often and wherever the hold was begun or
// renewed.
BOOST_AUTO_TEST_CASE(a_finish_ends_a_hold_that_was_begun_twice_and_renewed) {
  LateFinish deployment;
  BOOST_REQUIRE(deployment.Start());
  for (const int machine : deployment.machines.all()) {
    const std::string lock = "twice-" + std::to_string(machine);
    std::optional<Answer> copy;
    deployment.Send((machine + 1) % deployment.machines.count(), Begin(lock, "x", kLongHoldMs), kSilence,
                    [&](const Answer& answer) { copy = answer; });
    const std::uint64_t fence = NumberIn(deployment.Repeated(Begin(lock, "x", kLongHoldMs)), "fence");
    BOOST_TEST(deployment.Until([&] { return copy.has_value(); }, 2 * kSilence));
    BOOST_TEST(deployment.Repeated(Renew(lock, "x", fence, kLongHoldMs)).status == 200);
    BOOST_TEST(deployment.Repeated(Begin(lock, "x", kLongHoldMs)).status == 200);
    const Answer finished = deployment.At(machine, Finish(lock, "x", fence), kSilence);
    BOOST_TEST(finished.status == 200, "finish at " << machine << " is answered " << finished.status);
    deployment.CheckFreed(lock);
  }
}

}  // namespace
}  // namespace curlewdoor::systemkit
