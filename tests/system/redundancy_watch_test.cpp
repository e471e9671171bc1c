#include "system/redundancy_watch.hpp"

#include <boost/test/unit_test.hpp>

namespace curlewdoor::system {
namespace {

using std::chrono::milliseconds;

struct Watched {
  RedundancyWatch watch{milliseconds(1000)};
  RedundancyWatch::Time now{};
  // Whether anything was told while it stood at this for so long; the last that was.
  std::optional<RedundancyWatch::Change> Stand(int further_losses, milliseconds time) {
    std::optional<RedundancyWatch::Change> last;
    for (const auto end = now + time; now < end; now += milliseconds(100))
      if (const auto change = watch.Look(now, further_losses)) last = change;
    return last;
  }
};

BOOST_AUTO_TEST_CASE(a_loss_is_told_once_and_so_is_the_return) {
  Watched core;
  BOOST_TEST(!core.Stand(1, milliseconds(3000)).has_value());
  const auto lost = core.Stand(0, milliseconds(5000));
  BOOST_REQUIRE(lost.has_value());
  BOOST_TEST(lost->before == 1);
  BOOST_TEST(lost->now == 0);
  BOOST_TEST(core.watch.losses() == 1u);
  const auto back = core.Stand(1, milliseconds(5000));
  BOOST_REQUIRE(back.has_value());
  BOOST_TEST(back->now == 1);
  BOOST_TEST(core.watch.losses() == 1u);
  BOOST_TEST(core.watch.further_losses().value() == 1);
}

BOOST_AUTO_TEST_CASE(a_voter_that_is_behind_for_a_moment_is_no_loss) {
  Watched core;
  core.Stand(1, milliseconds(1000));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(!core.Stand(0, milliseconds(600)).has_value());
    BOOST_TEST(!core.Stand(1, milliseconds(200)).has_value());
  }
  BOOST_TEST(core.watch.losses() == 0u);
}

BOOST_AUTO_TEST_CASE(the_majority_may_go_too_and_who_is_no_voter_begins_anew) {
  Watched core;
  core.Stand(2, milliseconds(1000));
  BOOST_TEST(core.Stand(0, milliseconds(2000))->now == 0);
  BOOST_TEST(core.Stand(-1, milliseconds(2000))->before == 0);
  BOOST_TEST(core.watch.losses() == 2u);
  core.watch.Reset();
  BOOST_TEST(!core.watch.further_losses().has_value());
  BOOST_TEST(!core.Stand(1, milliseconds(2000)).has_value());
}

}  // namespace
}  // namespace curlewdoor::system
