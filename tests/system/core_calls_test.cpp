// Orders and reads on their way to the core: who is asked, in which order, and which answers count.
#include "system/core_calls.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <utility>

namespace curlewdoor::system {
namespace {

using namespace std::chrono_literals;
using Voter = CoreCalls::Voter;

struct Asked {
  std::uint64_t stream = 0;  // 0: this process
  std::uint64_t number = 0;
  bool order = false;
  std::string text{};
};

// A gateway that keeps what it is to carry.
class Gateway : public CoreCalls::Owner {
 public:
  std::vector<Voter> ReachedVoters() override { return voters; }
  bool KnowsMajority() const override { return majority; }
  void SendTo(std::uint64_t stream, const Message& message) override {
    if (const auto* put = std::get_if<Put>(&message)) asked.push_back({stream, put->number, true, put->text});
    if (const auto* get = std::get_if<Get>(&message)) asked.push_back({stream, get->number, false});
  }
  void PutHere(std::uint64_t number, std::uint64_t, std::string text) override {
    asked.push_back({0, number, true, std::move(text)});
    if (refuses_here) calls.OnAnsweredHere(now, number, 503, {});
  }
  void GetHere(std::uint64_t number) override { asked.push_back({0, number, false}); }

  std::uint64_t Begin(CoreCalls::Kind kind, CoreCalls::From from = CoreCalls::From::kCaller,
                      std::string text = "text") {
    CoreCalls::Call call;
    call.kind = kind;
    call.from = from;
    call.version = 7;
    call.text = kind == CoreCalls::Kind::kOrder ? std::move(text) : std::string();
    call.answer = [this, number = ++numbers](int status, const std::string& body) {
      answered.emplace_back(number, status);
      last_body = body;
    };
    calls.Begin(now, numbers, std::move(call));
    return numbers;
  }
  std::uint64_t Order() { return Begin(CoreCalls::Kind::kOrder); }
  std::uint64_t Read() { return Begin(CoreCalls::Kind::kRead); }
  // The stream that the oldest question not looked at yet went out on; nullopt: there is none.
  std::optional<std::uint64_t> NextAsked() {
    if (asked.empty()) return std::nullopt;
    const Asked first = asked.front();
    asked.pop_front();
    return first.stream;
  }
  void Pass(CoreCalls::Duration span) {
    now += span;
    calls.Tick(now);
  }
  int StatusOf(std::uint64_t number) const {
    const auto found = std::find_if(answered.begin(), answered.end(),
                                    [number](const auto& each) { return each.first == number; });
    return found != answered.end() ? found->second : 0;
  }

  CoreCalls::Time now{1h};
  std::vector<Voter> voters{{{1, 1}, 11}, {{2, 1}, 12}, {{3, 1}, 13}};
  bool majority = false, refuses_here = false;
  std::deque<Asked> asked;
  std::vector<std::pair<std::uint64_t, int>> answered;
  std::string last_body;
  std::uint64_t numbers = 0;
  CoreCalls calls{*this, {}};
};

BOOST_AUTO_TEST_CASE(an_order_goes_to_the_first_voter_that_is_reached) {
  Gateway gateway;
  gateway.Order();
  BOOST_TEST((gateway.NextAsked() == 11U));
  gateway.voters.erase(gateway.voters.begin());
  gateway.Order();
  BOOST_TEST((gateway.NextAsked() == 12U));
  BOOST_TEST(gateway.asked.empty());
}

BOOST_AUTO_TEST_CASE(a_voter_passes_an_order_on_to_the_first_one_too) {
  Gateway gateway;
  gateway.voters[1].stream = 0;
  gateway.majority = true;
  gateway.Order();
  BOOST_TEST((gateway.NextAsked() == 11U));
  gateway.voters[0].stream = 0;
  gateway.Order();
  BOOST_TEST((gateway.NextAsked() == 0U));
}

BOOST_AUTO_TEST_CASE(whoever_is_silent_refuses_or_breaks_off_is_followed_by_the_next_and_all_come_again) {
  Gateway gateway;
  const std::uint64_t order = gateway.Order();
  BOOST_TEST((gateway.NextAsked() == 11U));
  gateway.Pass(299ms);
  BOOST_TEST(gateway.asked.empty());
  gateway.Pass(1ms);
  BOOST_TEST((gateway.NextAsked() == 12U));
  gateway.calls.OnAnswered(gateway.now, 12, order, 503, {});
  BOOST_TEST((gateway.NextAsked() == 13U));
  gateway.calls.OnStreamDown(gateway.now, 12);  // not the one that is asked now
  gateway.Pass(1ms);
  BOOST_TEST(gateway.asked.empty());
  gateway.calls.OnStreamDown(gateway.now, 13);
  gateway.Pass(1ms);
  BOOST_TEST(gateway.asked.empty());
  gateway.Pass(150ms);
  BOOST_TEST((gateway.NextAsked() == 11U));
  BOOST_TEST(gateway.answered.empty());
  gateway.calls.OnAnswered(gateway.now, 12, order, 200, "late, but true");
  BOOST_TEST(gateway.StatusOf(order) == 200);
  BOOST_TEST(gateway.last_body == "late, but true");
}

BOOST_AUTO_TEST_CASE(a_refusal_of_the_member_here_is_followed_by_the_next_voter) {
  Gateway gateway;
  gateway.voters[0].stream = 0;
  gateway.majority = gateway.refuses_here = true;
  const std::uint64_t order = gateway.Order();
  BOOST_TEST((gateway.NextAsked() == 0U));
  gateway.Pass(0ms);
  BOOST_TEST((gateway.NextAsked() == 12U));
  gateway.calls.OnAnswered(gateway.now, 12, order, 200, "{}");
  BOOST_TEST(gateway.StatusOf(order) == 200);
}

BOOST_AUTO_TEST_CASE(a_member_without_a_majority_asks_itself_and_refuses_at_once) {
  Gateway gateway;
  gateway.voters[1].stream = 0;
  gateway.refuses_here = true;
  const std::uint64_t order = gateway.Order();
  BOOST_TEST((gateway.NextAsked() == 0U));
  BOOST_TEST(gateway.StatusOf(order) == 503);
  BOOST_TEST(gateway.asked.empty());
}

BOOST_AUTO_TEST_CASE(what_a_gateway_passed_on_is_answered_here_or_not_at_all) {
  Gateway gateway;
  const std::uint64_t outside = gateway.Begin(CoreCalls::Kind::kOrder, CoreCalls::From::kGateway);
  BOOST_TEST(gateway.StatusOf(outside) == 503);
  BOOST_TEST(gateway.asked.empty());
  gateway.voters[2].stream = 0;
  gateway.majority = true;
  const std::uint64_t order = gateway.Begin(CoreCalls::Kind::kOrder, CoreCalls::From::kGateway);
  BOOST_TEST((gateway.NextAsked() == 0U));
  gateway.Pass(500ms);
  BOOST_TEST(gateway.asked.empty());
  gateway.calls.OnAnsweredHere(gateway.now, order, 503, {});
  BOOST_TEST(gateway.StatusOf(order) == 503);
}

BOOST_AUTO_TEST_CASE(a_read_asks_the_member_here) {
  Gateway gateway;
  gateway.voters[2].stream = 0;
  gateway.majority = true;
  const std::uint64_t read = gateway.Read();
  BOOST_TEST((gateway.NextAsked() == 0U));
  gateway.calls.OnAnsweredHere(gateway.now, read, 404, "{}");
  BOOST_TEST(gateway.StatusOf(read) == 404);
}

// Numbers of an earlier life, of other streams and of what is over are nobody's.
BOOST_AUTO_TEST_CASE(an_answer_counts_on_a_stream_that_was_asked_and_once) {
  Gateway gateway;
  const std::uint64_t order = gateway.Order();
  gateway.calls.OnAnswered(gateway.now, 12, order, 200, {});
  gateway.calls.OnAnswered(gateway.now, 11, order + 1, 200, {});
  BOOST_TEST(gateway.answered.empty());
  gateway.calls.OnAnswered(gateway.now, 11, order, 409, "conflict");
  gateway.calls.OnAnswered(gateway.now, 11, order, 200, {});
  BOOST_TEST(gateway.answered.size() == 1U);
  BOOST_TEST(gateway.StatusOf(order) == 409);
}

BOOST_AUTO_TEST_CASE(every_call_ends_and_all_that_waits_is_bounded) {
  Gateway gateway;
  gateway.voters.clear();
  for (std::size_t i = 0; i < 256; ++i) gateway.Read();
  BOOST_TEST(gateway.answered.empty());
  BOOST_TEST(gateway.StatusOf(gateway.Read()) == 503);
  gateway.Pass(900ms);
  BOOST_TEST(gateway.answered.size() == 257U);
  BOOST_TEST(gateway.calls.size() == 0U);
  const std::string large(std::size_t{20} * 1024 * 1024, 'x');
  const std::uint64_t first = gateway.Begin(CoreCalls::Kind::kOrder, CoreCalls::From::kCaller, large);
  const std::uint64_t second = gateway.Begin(CoreCalls::Kind::kOrder, CoreCalls::From::kCaller, large);
  BOOST_TEST(gateway.StatusOf(first) == 0);
  BOOST_TEST(gateway.StatusOf(second) == 503);
}

}  // namespace
}  // namespace curlewdoor::system
