// What a gateway still promises after it was told to end: DrainSchedule, and attempts of a real Front on
// loopback.
#include <boost/test/unit_test.hpp>
#include <memory>

#include "kitchen.hpp"
#include "net/drain_schedule.hpp"

namespace curlewdoor::system {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kSignal{std::chrono::hours(1)};

net::DrainSchedule TwoOfSixSeconds() {
  return net::DrainSchedule(
      {.begun_at = kSignal, .likely_for = seconds(2), .answers_end_at = kSignal + milliseconds(5500)});
}

BOOST_AUTO_TEST_CASE(what_expires_before_the_end_is_always_passed_on) {
  const auto schedule = TwoOfSixSeconds();
  for (const milliseconds now :
       {milliseconds(0), milliseconds(1999), milliseconds(3000), milliseconds(5400)}) {
    BOOST_TEST(schedule.MayPassOn(kSignal + now, kSignal + milliseconds(5500), seconds(9)));
    BOOST_TEST(schedule.MayPassOn(kSignal + now, kSignal + now, seconds(9)));
  }
}

BOOST_AUTO_TEST_CASE(what_expires_later_is_passed_on_early_and_if_it_is_likely_to_end) {
  const auto schedule = TwoOfSixSeconds();
  const TimePoint later = kSignal + milliseconds(5501);
  BOOST_TEST(schedule.MayPassOn(kSignal, later, milliseconds(2750)));
  BOOST_TEST(!schedule.MayPassOn(kSignal, later, milliseconds(2751)));
  BOOST_TEST(schedule.MayPassOn(kSignal + milliseconds(1999), later, milliseconds(1)));
  BOOST_TEST(!schedule.MayPassOn(kSignal + milliseconds(2000), later, milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(nothing_that_lasts_is_passed_on_once_it_is_closed) {
  auto schedule = TwoOfSixSeconds();
  schedule.Close(kSignal + seconds(1));
  BOOST_TEST(schedule.Over(kSignal + seconds(1)));
  BOOST_TEST(!schedule.MayPassOn(kSignal + seconds(1), kSignal + milliseconds(1001), {}));
}

// One request; its first host does `first` some time after it has read it.
struct Shutdown {
  explicit Shutdown(Way first) {
    for (auto& host : kitchen.hosts) {
      host->handle = [this, first](StandHost::Link& link, const StandHost::Request& request) {
        const std::string id = request.Find("X-Attempt-Id");
        if (++attempts > 1) return kitchen.Do(link, id, Way::kGood);
        later = std::make_unique<net::TimerWatcher>(
            kitchen.loop.get(), [this, &link, id, first](int) { kitchen.Do(link, id, first); });
        later->StartIn(milliseconds(500));
      };
    }
    const TimePoint now(std::chrono::steady_clock::now().time_since_epoch());
    kitchen.front->BeginShutdown(net::DrainSchedule(
        {.begun_at = now, .likely_for = milliseconds(300), .answers_end_at = now + milliseconds(1500)}));
  }
  int Play(int left_ms) {
    const Answers answers = kitchen.Call(Kitchen::Ask("/read/x", "a", "", "key-a1", "GET", "", left_ms));
    return answers.whole.empty() ? 0 : answers.whole[0].status;
  }

  Kitchen kitchen;
  int attempts = 0;
  std::unique_ptr<net::TimerWatcher> later;
};

// Guards against a second attempt that a leaving gateway can't live to see answered (LOST).
BOOST_AUTO_TEST_CASE(a_second_attempt_is_made_only_if_it_can_end_in_time) {
  for (const Way first : {Way::kResetRead, Way::kNotRun503}) {
    BOOST_TEST_CONTEXT("first attempt " << static_cast<int>(first)) {
      Shutdown late(first);
      BOOST_TEST(late.Play(4000) == (first == Way::kNotRun503 ? 503 : 502));
      BOOST_TEST(late.attempts == 1);
      Shutdown in_time(first);
      BOOST_TEST(in_time.Play(1000) == 200);
      BOOST_TEST(in_time.attempts == 2);
    }
  }
}

}  // namespace
}  // namespace curlewdoor::system
