#include "system/pause_watch.hpp"

#include <boost/test/unit_test.hpp>

namespace curlewdoor::system {
namespace {

using namespace std::chrono_literals;

const PauseWatch::Time kStart{std::chrono::hours(1000)};

BOOST_AUTO_TEST_CASE(what_came_during_a_pause_is_old_for_a_while) {
  PauseWatch watch(kStart);
  watch.OnTurn(kStart + 50ms);
  BOOST_TEST(!watch.InputMayBeOld(kStart + 60ms));
  watch.OnTurn(kStart + 4s);  // a short one
  BOOST_TEST(!watch.InputMayBeOld(kStart + 4s));
  watch.OnTurn(kStart + 79s);
  BOOST_TEST(watch.InputMayBeOld(kStart + 79s));
  watch.OnTurn(kStart + 79s + 50ms);
  BOOST_TEST(watch.InputMayBeOld(kStart + 81s));
  watch.OnTurn(kStart + 82s);
  BOOST_TEST(!watch.InputMayBeOld(kStart + 82s));
}

BOOST_AUTO_TEST_CASE(a_shorter_pause_counts_where_it_is_asked_for) {
  PauseWatch watch(kStart, 500ms, 300ms);
  watch.OnTurn(kStart + 450ms);
  BOOST_TEST(!watch.InputMayBeOld(kStart + 450ms));
  watch.OnTurn(kStart + 1450ms);
  BOOST_TEST(watch.InputMayBeOld(kStart + 1500ms));
  watch.OnTurn(kStart + 1500ms);
  BOOST_TEST(watch.InputMayBeOld(kStart + 1700ms));
  BOOST_TEST(!watch.InputMayBeOld(kStart + 1750ms));
}

// Between what the loop found ready and the call that is handled now.
BOOST_AUTO_TEST_CASE(a_pause_within_a_turn_counts_at_once) {
  PauseWatch watch(kStart);
  BOOST_TEST(!watch.InputMayBeOld(kStart + 1s));
  BOOST_TEST(watch.InputMayBeOld(kStart + 75s));
}

}  // namespace
}  // namespace curlewdoor::system
