// The judge of histories of locks, numbers, keys and watches: good ones are clean, each rule is broken by
// histories of its own.
#include <boost/test/unit_test.hpp>

#include "systemkit/coordination_history.hpp"

namespace curlewdoor::systemkit {
namespace {

using Seen = CoordinationCallSeen;
using Kind = Seen::Kind;
using Rule = CoordinationRule;

Seen Lock(Kind kind, const char* holder, double sent, double answered, std::uint64_t fence,
          int status = 200) {
  Seen seen;
  seen.kind = kind;
  seen.name = "l1";
  seen.holder = holder;
  seen.sent = sent;
  seen.answered = answered;
  seen.status = status;
  seen.hold_ms = 1000;
  seen.fence = fence;
  return seen;
}
Seen Begin(const char* holder, double sent, double answered, std::uint64_t fence, int status = 200) {
  return Lock(Kind::kBegin, holder, sent, answered, fence, status);
}
Seen Heartbeat(const char* holder, double sent, double answered, std::uint64_t fence, int status = 200) {
  return Lock(Kind::kHeartbeat, holder, sent, answered, fence, status);
}
Seen Finish(const char* holder, double sent, double answered, std::uint64_t fence) {
  return Lock(Kind::kFinish, holder, sent, answered, fence);
}
Seen Number(double sent, double answered, std::uint64_t value) {
  Seen seen;
  seen.kind = Kind::kNumber;
  seen.name = "n1";
  seen.sent = sent;
  seen.answered = answered;
  seen.status = 200;
  seen.number = value;
  return seen;
}
Seen Key(Kind kind, const char* key, const char* value, double sent, double answered, std::uint64_t revision,
         int status = 200) {
  Seen seen;
  seen.kind = kind;
  seen.name = key;
  seen.value = value;
  seen.sent = sent;
  seen.answered = answered;
  seen.revision = revision;
  seen.status = status;
  return seen;
}
Seen Put(const char* key, const char* value, double sent, double answered, std::uint64_t revision,
         int status = 200) {
  return Key(Kind::kPut, key, value, sent, answered, revision, status);
}
Seen PutOver(std::uint64_t enabled, Seen put) {
  put.enabled = enabled;
  return put;
}
Seen Read(const char* key, const char* value, double sent, double answered, std::uint64_t revision,
          int status = 200) {
  return Key(Kind::kRead, key, value, sent, answered, revision, status);
}
Seen Watch(std::uint64_t after, double sent, double answered, std::uint64_t revision,
           std::vector<Seen::Event> events, int status = 200) {
  Seen seen = Key(Kind::kWatch, "g.", "", sent, answered, revision, status);
  seen.after = after;
  seen.events = std::move(events);
  return seen;
}

template <typename... Each>
CoordinationHistory Of(const Each&... seen) {
  CoordinationHistory history;
  (history.Add(seen), ...);
  return history;
}

std::string Text(const CoordinationHistory& history) {
  std::string text;
  for (const auto& each : history.Judge()) text += std::string(NameOf(each.rule)) + ": " + each.text + "\n";
  return text;
}
void Breaks(const CoordinationHistory& history, Rule rule) {
  const auto found = history.Judge();
  BOOST_REQUIRE(!found.empty());
  for (const auto& each : found)
    BOOST_TEST((each.rule == rule),
               "wanted " << NameOf(rule) << ", got " << NameOf(each.rule) << ": " << each.text);
}

BOOST_AUTO_TEST_CASE(good_histories_are_clean) {
  const auto locks =
      Of(Begin("a", 0, 0.1, 1), Heartbeat("a", 0.5, 0.6, 1), Begin("b", 0.7, 0.8, 0, 409),
         Finish("a", 1, 1.1, 1), Begin("b", 1.05, 1.2, 2), Begin("a", 2.3, 2.4, 3), Begin("a", 2.5, 2.6, 3));
  BOOST_TEST(Text(locks) == "");
  BOOST_TEST(locks.Linearizable("l1").value());
  const auto numbers = Of(Number(0, 1, 2), Number(0, 1, 1), Number(1.1, 1.2, 7));
  BOOST_TEST(Text(numbers) == "");
  BOOST_TEST(numbers.Linearizable("n1").value());
  const auto keys = Of(Read("g.a", "", 0, 0.1, 0, 404), PutOver(0, Put("g.a", "x", 0.2, 0.3, 1)),
                       Put("g.b", "y", 0.2, kUnanswered, 0, 0), PutOver(0, Put("g.a", "z", 0.4, 0.5, 1, 412)),
                       Put("g.b", "y", 1.2, 1.3, 2), Read("g.b", "y", 0.5, 0.6, 2),
                       Watch(1, 0.35, 0.6, 2, {{"g.b", "y", 2}}), Watch(2, 2, 2.5, 2, {}));
  BOOST_TEST(Text(keys) == "");
  BOOST_TEST(keys.Linearizable("g.a").value());
  BOOST_TEST(keys.Linearizable("g.b").value());
}

// ---- ONE ----

BOOST_AUTO_TEST_CASE(two_holders_at_one_moment) {
  Breaks(Of(Begin("a", 0, 0.1, 1), Begin("b", 0.5, 0.6, 2)), Rule::kOne);
}
BOOST_AUTO_TEST_CASE(a_renewal_keeps_the_lock_for_longer) {
  Breaks(Of(Begin("a", 0, 0.1, 1), Heartbeat("a", 0.8, 0.9, 1), Begin("b", 1.2, 1.3, 2)), Rule::kOne);
}
BOOST_AUTO_TEST_CASE(a_renewal_that_comes_too_late_keeps_nothing) {
  BOOST_TEST(Text(Of(Begin("a", 0, 0.1, 1), Heartbeat("a", 0.8, 1.1, 1), Begin("b", 1.2, 1.3, 2))) == "");
}
BOOST_AUTO_TEST_CASE(a_holder_that_died_counts_itself_holder_no_more) {
  Seen begin = Begin("a", 0, 0.1, 1);
  begin.stopped = 0.3;
  BOOST_TEST(Text(Of(begin, Begin("b", 0.5, 0.6, 2))) == "");
}
BOOST_AUTO_TEST_CASE(a_fence_below_an_earlier_one) {
  Breaks(Of(Begin("a", 0, 0.1, 5), Begin("b", 2, 2.1, 4)), Rule::kOne);
}
BOOST_AUTO_TEST_CASE(one_fence_for_two) {
  const auto history = Of(Begin("a", 0, 0.1, 5), Begin("b", 2, 2.1, 5));
  Breaks(history, Rule::kOne);
  BOOST_TEST(!history.Linearizable("l1").value());
}

// ---- ORDER ----

BOOST_AUTO_TEST_CASE(a_number_given_twice) { Breaks(Of(Number(0, 1, 2), Number(0, 1, 2)), Rule::kOrder); }
BOOST_AUTO_TEST_CASE(a_number_below_an_earlier_one) {
  const auto history = Of(Number(0, 1, 2), Number(1.1, 1.2, 1));
  Breaks(history, Rule::kOrder);
  BOOST_TEST(!history.Linearizable("n1").value());
}
BOOST_AUTO_TEST_CASE(a_revision_given_twice_in_a_group) {
  Breaks(Of(Put("g.a", "x", 0, 1, 1), Put("g.b", "y", 0, 1, 1)), Rule::kOrder);
}
BOOST_AUTO_TEST_CASE(a_revision_below_an_earlier_one) {
  Breaks(Of(Put("g.a", "x", 0, 1, 5), Put("g.b", "y", 1.1, 1.2, 4)), Rule::kOrder);
}
BOOST_AUTO_TEST_CASE(a_put_over_a_later_revision) {
  const auto history =
      Of(Put("g.a", "x", 0, 0.1, 1), Put("g.a", "y", 0.2, 0.3, 2), PutOver(1, Put("g.a", "z", 0.4, 0.5, 3)));
  Breaks(history, Rule::kOrder);
  BOOST_TEST(!history.Linearizable("g.a").value());
}
BOOST_AUTO_TEST_CASE(a_watch_that_skips_a_put) {
  Breaks(Of(Put("g.a", "x", 0, 0.1, 1), Put("g.a", "y", 0.2, 0.3, 2), Put("g.b", "z", 0.4, 0.5, 3),
            Watch(1, 0.6, 0.7, 3, {{"g.b", "z", 3}})),
         Rule::kOrder);
}
BOOST_AUTO_TEST_CASE(a_watch_whose_events_fall) {
  Breaks(Of(Put("g.a", "x", 0, 0.1, 1), Put("g.a", "y", 0.2, 0.3, 2), Put("g.b", "z", 0.4, 0.5, 3),
            Watch(1, 0.6, 0.7, 3, {{"g.b", "z", 3}, {"g.a", "y", 2}})),
         Rule::kOrder);
}

// ---- STALE ----

BOOST_AUTO_TEST_CASE(a_read_below_an_acknowledged_put) {
  const auto history =
      Of(Put("g.a", "x", 0, 0.1, 1), Put("g.a", "y", 0.2, 0.3, 2), Read("g.a", "x", 0.4, 0.5, 1));
  Breaks(history, Rule::kStale);
  BOOST_TEST(!history.Linearizable("g.a").value());
}
BOOST_AUTO_TEST_CASE(a_404_for_a_key_that_was_put) {
  Breaks(Of(Put("g.a", "x", 0, 0.1, 1), Read("g.a", "", 0.4, 0.5, 0, 404)), Rule::kStale);
}

// ---- MIXED ----

BOOST_AUTO_TEST_CASE(a_value_that_nobody_put) {
  Breaks(Of(Put("g.a", "x", 0, 0.1, 1), Read("g.a", "w", 0.4, 0.5, 2)), Rule::kMixed);
}
BOOST_AUTO_TEST_CASE(a_value_of_another_key) {
  Breaks(Of(Put("g.a", "x", 0, 0.1, 1), Put("g.b", "y", 0, kUnanswered, 0, 0), Read("g.a", "y", 0.4, 0.5, 2)),
         Rule::kMixed);
}
BOOST_AUTO_TEST_CASE(a_value_under_two_revisions) {
  Breaks(Of(Put("g.a", "x", 0, kUnanswered, 0, 0), Read("g.a", "x", 0.4, 0.5, 1), Put("g.a", "x", 1, 1.1, 2)),
         Rule::kMixed);
}
BOOST_AUTO_TEST_CASE(a_412_with_a_revision_of_no_put) {
  Breaks(Of(Put("g.a", "x", 0, 0.1, 1), PutOver(1, Put("g.a", "y", 0.2, 0.3, 2, 412))), Rule::kMixed);
}
BOOST_AUTO_TEST_CASE(a_412_with_another_keys_revision) {
  Breaks(Of(Put("g.a", "x", 0, 0.1, 1), Put("g.b", "z", 0, 0.1, 2),
            PutOver(0, Put("g.a", "y", 0.2, 0.3, 2, 412))),
         Rule::kMixed);
}

// ---- REFUSED ----

BOOST_AUTO_TEST_CASE(a_value_whose_put_was_turned_away) {
  for (const int status : {412, 429, 503})
    Breaks(
        Of(Put("g.a", "x", 0, 0.1, 1), Put("g.a", "y", 0.2, 0.3, 1, status), Read("g.a", "y", 0.4, 0.5, 2)),
        Rule::kRefused);
}
BOOST_AUTO_TEST_CASE(a_value_that_is_shown_before_it_is_sent_again) {
  Breaks(Of(Put("g.a", "x", 0, 0.1, 0, 503), Read("g.a", "x", 0.2, 0.3, 1), Put("g.a", "x", 0.4, 0.5, 1)),
         Rule::kRefused);
}
BOOST_AUTO_TEST_CASE(a_value_that_was_sent_again_may_be_shown) {
  BOOST_TEST(Text(Of(Put("g.a", "y", 0, kUnanswered, 0, 0), Put("g.a", "y", 1.2, 1.3, 0, 503),
                     Read("g.a", "y", 1.4, 1.5, 1))) == "");
}

// ---- LOST ----

BOOST_AUTO_TEST_CASE(a_410_for_a_revision_of_late) {
  Breaks(Of(Put("g.a", "x", 0, 0.1, 1), Watch(0, 1, 1.1, 1, {}), Watch(1, 15, 15.1, 0, {}, 410)),
         Rule::kLost);
}
BOOST_AUTO_TEST_CASE(a_410_for_an_old_revision) {
  BOOST_TEST(Text(Of(Put("g.a", "x", 0, 0.1, 1), Watch(0, 1, 1.1, 1, {}), Watch(1, 25, 25.1, 0, {}, 410))) ==
             "");
}
BOOST_AUTO_TEST_CASE(what_lags_behind_or_is_not_answered_after_the_end) {
  auto lags = Of(Put("g.a", "x", 0, 0.1, 1), Put("g.a", "y", 0.2, 0.3, 2), Watch(0, 5, 5.1, 1, {}));
  lags.SetClosing(4);
  Breaks(lags, Rule::kLost);
  auto silent =
      Of(Put("g.a", "x", 0, 0.1, 1), Read("g.a", "", 5, kUnanswered, 0, 0), Read("g.a", "", 6, 6.1, 0, 503));
  silent.SetClosing(4);
  Breaks(silent, Rule::kLost);
}

}  // namespace
}  // namespace curlewdoor::systemkit
