// The judge of histories: good ones are clean, each rule is broken by one history of its own, and on small
// histories it agrees with a search for an order that explains them.
#include "systemkit/register_history.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace curlewdoor::systemkit {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

OrderSeen Order(std::uint64_t version, const char* content, double called, double answered,
                OrderOutcome outcome = OrderOutcome::kConfirmed) {
  return {{version, content}, {called, answered}, outcome, 0};
}
OrderSeen Unclear(std::uint64_t version, const char* content, double called) {
  return Order(version, content, called, kNever, OrderOutcome::kUnclear);
}
ReadSeen Read(std::uint64_t version, const char* content, double called, double answered) {
  return {{version, content}, {called, answered}, 0};
}
ServedSeen Served(int gateway, std::uint64_t version, const char* content, double called,
                  double started = 0) {
  return {{version, content}, {called, called + 0.5}, gateway, started};
}

template <typename... Seen>
RegisterHistory Of(const Seen&... seen) {
  RegisterHistory history;
  (history.Add(seen), ...);
  return history;
}

void CheckClean(const RegisterHistory& history) {
  for (const Violation& violation : history.Judge()) BOOST_ERROR(violation.text);
}

void CheckBreaks(const RegisterHistory& history, Rule rule) {
  const auto found = history.Judge();
  BOOST_TEST(!found.empty());
  for (const Violation& violation : found)
    BOOST_TEST((violation.rule == rule),
               violation.text << " breaks rule " << static_cast<int>(violation.rule));
}

BOOST_AUTO_TEST_CASE(GoodHistoriesAreClean) {
  CheckClean(Of());
  CheckClean(Of(Read(0, "", 1, 2), Order(1, "a", 3, 4), Read(1, "a", 5, 6)));
  // Concurrent: either may come first.
  CheckClean(Of(Order(1, "a", 1, 9), Read(0, "", 2, 3), Read(1, "a", 4, 5), Read(1, "a", 6, 10)));
  // One without an answer takes effect late, or never.
  CheckClean(Of(Unclear(2, "a", 1), Order(1, "a", 2, 3), Read(1, "a", 4, 5), Read(2, "a", 6, 7)));
  CheckClean(Of(Unclear(2, "a", 1), Order(1, "a", 2, 3), Read(1, "a", 4, 5)));
  // Overtaken before it was sent: confirmed, without effect; and again.
  CheckClean(Of(Order(5, "a", 1, 2), Order(3, "a", 3, 4), Order(3, "a", 5, 6), Read(5, "a", 7, 8)));
  // Two contents under one number: one is confirmed, the other conflicts; resent, both again.
  CheckClean(Of(Order(1, "a", 1, 4), Order(1, "b", 2, 3, OrderOutcome::kConflict), Order(1, "a", 5, 6),
                Order(1, "b", 7, 8, OrderOutcome::kConflict), Read(1, "a", 9, 10)));
  // A conflict with one whose own call had no clear answer.
  CheckClean(Of(Unclear(1, "a", 1), Order(1, "b", 2, 3, OrderOutcome::kConflict)));
  // Gateways lag behind each other, not behind themselves; one that starts begins with what was known.
  CheckClean(Of(Order(1, "a", 1, 2), Order(2, "a", 3, 4), Served(0, 2, "a", 5), Served(1, 1, "a", 5),
                Served(1, 2, "a", 6), Served(2, 2, "a", 8, 7)));
}

BOOST_AUTO_TEST_CASE(EachRuleIsBrokenByOneHistory) {
  CheckBreaks(Of(Order(1, "a", 1, 2), Read(2, "a", 3, 4)), Rule::kReadOfNothingSent);
  CheckBreaks(Of(Read(1, "a", 1, 2), Order(1, "a", 3, 4)), Rule::kReadOfNothingSent);
  // Below what was confirmed, and below what was read.
  CheckBreaks(Of(Order(1, "a", 1, 2), Read(0, "", 3, 4)), Rule::kReadBack);
  CheckBreaks(Of(Order(1, "a", 1, 2), Unclear(2, "a", 3), Read(2, "a", 4, 5), Read(1, "a", 6, 7)),
              Rule::kReadBack);
  CheckBreaks(Of(Order(1, "a", 1, 2), Unclear(2, "a", 3), Served(0, 2, "a", 4), Read(1, "a", 6, 7)),
              Rule::kReadBack);
  // Concurrent with the higher one's call, so no read goes back; yet 3 was sent when 5 was known.
  CheckBreaks(Of(Order(5, "a", 3, 10), Order(3, "a", 15, 16), Read(3, "a", 9, 20)), Rule::kReadOvertaken);
  CheckBreaks(Of(Order(1, "a", 1, 3), Order(1, "b", 2, 4)), Rule::kTwoContents);
  CheckBreaks(Of(Order(1, "a", 1, 3), Unclear(1, "b", 2), Read(1, "b", 4, 5)), Rule::kTwoContents);
  CheckBreaks(Of(Order(1, "a", 1, 3), Unclear(1, "b", 2), Served(0, 1, "b", 4)), Rule::kTwoContents);
  // Refused when it was sent again, or beside: it was confirmed, or is in force.
  CheckBreaks(Of(Order(1, "a", 1, 2), Unclear(1, "b", 1), Order(1, "a", 3, 4, OrderOutcome::kConflict)),
              Rule::kResendRefused);
  CheckBreaks(Of(Order(1, "a", 1, 2), Order(1, "a", 3, 4, OrderOutcome::kRefused)), Rule::kResendRefused);
  CheckBreaks(Of(Unclear(1, "a", 1), Read(1, "a", 2, 3), Order(1, "a", 4, 5, OrderOutcome::kRefused)),
              Rule::kResendRefused);
  CheckBreaks(Of(Order(1, "a", 1, 2, OrderOutcome::kRefused)), Rule::kOrderRefused);
  CheckBreaks(Of(Order(1, "a", 1, 2, OrderOutcome::kConflict)), Rule::kConflictWithNone);
  CheckBreaks(Of(Order(1, "a", 1, 2, OrderOutcome::kConflict), Unclear(1, "b", 3)), Rule::kConflictWithNone);
  CheckBreaks(Of(Order(1, "a", 1, 2), Served(0, 7, "a", 3)), Rule::kServedNothingSent);
  CheckBreaks(Of(Order(1, "a", 1, 2), Order(2, "a", 3, 4), Served(0, 2, "a", 5), Served(0, 1, "a", 6)),
              Rule::kServedBack);
  CheckBreaks(Of(Order(1, "a", 1, 2), Order(2, "a", 3, 4), Served(0, 1, "a", 6, 5)), Rule::kServedStale);
  CheckBreaks(Of(Order(5, "a", 1, 2), Order(3, "a", 3, 4), Served(0, 3, "a", 5)), Rule::kServedOvertaken);
}

// Whether some order of the operations, each between its call and its answer, explains them. `left`: bits.
bool Explains(const std::vector<OrderSeen>& orders, const std::vector<ReadSeen>& reads, unsigned left,
              std::uint64_t held) {
  const std::size_t all = orders.size() + reads.size();
  const auto span = [&](std::size_t i) {
    return i < orders.size() ? orders[i].span : reads[i - orders.size()].span;
  };
  double first_answer = kNever;
  for (std::size_t i = 0; i < all; ++i)
    if ((left >> i & 1) != 0) first_answer = std::min(first_answer, span(i).answered);
  if (first_answer == kNever) return true;  // what is left had no answer
  for (std::size_t i = 0; i < all; ++i) {
    if ((left >> i & 1) == 0 || span(i).called > first_answer) continue;
    if (i >= orders.size() && reads[i - orders.size()].read.version != held) continue;
    const std::uint64_t next = i < orders.size() ? std::max(held, orders[i].sent.version) : held;
    if (Explains(orders, reads, left & ~(1U << i), next)) return true;
  }
  return false;
}

BOOST_AUTO_TEST_CASE(AgreesWithASearchForAnOrder) {
  std::mt19937_64 rng(48);
  const auto below = [&](int most) { return static_cast<int>(rng() % static_cast<unsigned>(most)); };
  int clean = 0, broken = 0;
  for (int round = 0; round < 40'000; ++round) {
    const int operations = 2 + below(5);
    std::vector<double> times;
    for (int i = 0; i < 2 * operations; ++i) times.push_back(i + 1);
    std::shuffle(times.begin(), times.end(), rng);
    std::vector<OrderSeen> orders;
    std::vector<ReadSeen> reads;
    RegisterHistory history;
    for (int i = 0; i < operations; ++i) {
      const auto [called, answered] =
          std::minmax(times[static_cast<std::size_t>(2 * i)], times[static_cast<std::size_t>(2 * i + 1)]);
      const auto version = static_cast<std::uint64_t>(below(4));
      if (below(2) == 0) {
        reads.push_back(Read(version, version == 0 ? "" : "a", called, answered));
        history.Add(reads.back());
      } else {
        orders.push_back(below(4) == 0 ? Unclear(version + 1, "a", called)
                                       : Order(version + 1, "a", called, answered));
        history.Add(orders.back());
      }
    }
    const bool explained = Explains(orders, reads, (1U << operations) - 1, 0);
    const bool judged_clean = history.Judge().empty();
    BOOST_REQUIRE_MESSAGE(explained == judged_clean, "round " << round << " of " << operations);
    ++(explained ? clean : broken);
  }
  BOOST_TEST_MESSAGE(clean << " explained, " << broken << " not");
  BOOST_TEST(clean > 2000);
  BOOST_TEST(broken > 2000);
}

}  // namespace
}  // namespace curlewdoor::systemkit
