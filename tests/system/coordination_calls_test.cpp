// Calls of applications at a gateway: who is asked, and that a 503 or 429 promises what it says. Cases by
// hand, and members that reply, lose and take their time in every order up to a depth and in many longer
// ones.
#include "system/coordination_calls.hpp"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <utility>

namespace curlewdoor::system {
namespace {

using namespace coordination;
using std::chrono::milliseconds;
using End = CoordinationCalls::End;
using Fault = CoordinationCalls::Options::Fault;
using Time = CoordinationCalls::Time;

constexpr std::uint64_t kHere = 0;

// What a gateway sends, and the members that it reaches.
struct Gateway : CoordinationCalls::Owner {
  struct Asked {
    std::uint64_t stream = 0, number = 0;
    Call call;
    ProvenRenewals proven;
  };
  std::vector<CoordinationCalls::Candidate> ReachedMembers() override { return members; }
  void SendTo(std::uint64_t stream, const Message& message) override {
    if (const auto* call = std::get_if<CoordinationCall>(&message))
      asked.push_back(
          {stream, call->number, *DecodeCall(call->call), static_cast<std::uint64_t>(call->proven_renewals)});
    if (const auto* forget = std::get_if<CoordinationForget>(&message))
      forgotten.emplace_back(stream, forget->number);
  }
  void CallHere(std::uint64_t number, const Call& call, ProvenRenewals proven) override {
    asked.push_back({kHere, number, call, proven});
    if (on_here) on_here(number);
  }
  void ForgetHere(std::uint64_t number) override { forgotten.emplace_back(kHere, number); }

  void Begin(std::uint64_t number, Call call = TakeNumber{"n"}) {
    const auto answer = [this, number](CoordinationCalls::Answer ended) {
      answers.emplace(number, std::move(ended));
      if (on_answer) on_answer(number);
    };
    calls.Begin(now, number, std::move(call), {[this] { return caller_waits; }, answer});
  }
  void Reply(std::uint64_t stream, std::uint64_t number, coordination::Reply reply) {
    calls.OnReply(now, stream, number, std::move(reply));
  }
  void Pass(milliseconds time) {
    const Time until = now + time;
    while (now < until) {
      now = std::min(until, now + milliseconds(10));
      calls.Tick(now);
    }
  }
  std::optional<End> EndOf(std::uint64_t number) const {
    const auto found = answers.find(number);
    return found == answers.end() ? std::nullopt : std::optional(found->second.end);
  }
  std::uint64_t last() const { return asked.back().stream; }

  std::vector<CoordinationCalls::Candidate> members{{"a", 1}, {"b", 2}, {"c", 3}};
  std::vector<Asked> asked;
  bool caller_waits = true;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> forgotten;  // stream, number
  std::map<std::uint64_t, CoordinationCalls::Answer> answers;
  std::function<void(std::uint64_t)> on_here, on_answer;
  CoordinationCalls::Options options;
  Time now{std::chrono::hours(1)};
  CoordinationCalls calls{*this, options};
};

coordination::Reply Number(std::uint64_t value) { return CommandResult(NumberTaken{value}); }
coordination::Reply Unproven(std::uint64_t renewals) { return ReleaseUnproven{renewals}; }

BOOST_AUTO_TEST_CASE(a_hint_leads_to_the_leader_and_the_next_call_goes_there_first) {
  Gateway gateway;
  gateway.Begin(1);
  BOOST_TEST(gateway.last() == 1u);
  gateway.Reply(1, 1, NotServed{"c"});
  BOOST_TEST(gateway.last() == 3u);
  gateway.Reply(3, 1, Number(5));
  BOOST_REQUIRE(gateway.EndOf(1) == End::kReply);
  BOOST_TEST(std::get<NumberTaken>(std::get<CommandResult>(*gateway.answers.at(1).reply)).value == 5u);
  gateway.Begin(2);
  BOOST_TEST(gateway.last() == 3u);
}

// Guards against a late release that ends a hold which its holder began again (ONE), at the gateway.
BOOST_AUTO_TEST_CASE(a_release_proves_later_renewals_only_while_its_caller_waits) {
  for (const bool caller_waits : {true, false}) {
    Gateway gateway;
    gateway.caller_waits = caller_waits;
    gateway.Begin(1, ReleaseLock{"l", "x", 5});
    BOOST_TEST(gateway.asked.back().proven.value() == 0u);
    gateway.Reply(gateway.last(), 1, Unproven(3));
    gateway.Pass(milliseconds(400));
    BOOST_TEST(gateway.asked.size() > 1u);
    BOOST_TEST(gateway.asked.back().proven.value() == (caller_waits ? 3u : 0u));
  }
}

BOOST_AUTO_TEST_CASE(an_unproven_release_has_done_nothing) {
  Gateway gateway;
  gateway.members = {{"a", 1}};
  gateway.caller_waits = false;
  gateway.Begin(1, ReleaseLock{"l", "x", 5});
  for (int i = 0; i < 200 && !gateway.EndOf(1); ++i) {
    gateway.Reply(1, 1, Unproven(1));
    gateway.Pass(milliseconds(10));
  }
  BOOST_TEST((gateway.EndOf(1) == End::kNothingDone));
}

BOOST_AUTO_TEST_CASE(hints_in_a_circle_end_and_nothing_was_done) {
  Gateway gateway;
  gateway.Begin(1);
  for (int i = 0; i < 2000 && !gateway.EndOf(1); ++i) {
    const auto last = gateway.asked.back();
    gateway.Reply(last.stream, 1, NotServed{last.stream == 1 ? "b" : "a"});
    gateway.Pass(milliseconds(10));
  }
  BOOST_TEST((gateway.EndOf(1) == End::kNothingDone));
  BOOST_TEST(gateway.asked.size() <= 18u);  // three a turn, after 0, 60, 120, 240 and twice 250 ms
}

BOOST_AUTO_TEST_CASE(without_a_member_in_reach_nothing_is_done_at_once) {
  Gateway gateway;
  gateway.members.clear();
  gateway.Begin(1);
  BOOST_TEST((gateway.EndOf(1) == End::kNothingDone));
  BOOST_TEST(gateway.calls.size() == 0u);
}

BOOST_AUTO_TEST_CASE(a_command_that_left_and_got_no_reply_is_unclear) {
  for (const bool stream_breaks : {false, true}) {
    Gateway gateway;
    gateway.members = {{"a", 1}};
    gateway.Begin(1);
    if (stream_breaks) {
      gateway.members.clear();
      gateway.calls.OnStreamDown(gateway.now, 1);
    }
    gateway.Pass(milliseconds(900));
    BOOST_TEST((gateway.EndOf(1) == End::kUnclear));
  }
}

BOOST_AUTO_TEST_CASE(a_read_without_a_reply_has_done_nothing) {
  Gateway gateway;
  gateway.Begin(1, ReadKey{"g.a"});
  gateway.Pass(milliseconds(900));
  BOOST_TEST((gateway.EndOf(1) == End::kNothingDone));
}

BOOST_AUTO_TEST_CASE(not_served_for_one_of_two_copies_promises_nothing) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.Pass(milliseconds(300));  // the second member has it too
  gateway.Reply(2, 1, NotServed{});
  gateway.Reply(3, 1, NotServed{});
  gateway.members.clear();
  gateway.Pass(milliseconds(900));
  BOOST_TEST((gateway.EndOf(1) == End::kUnclear));
}

BOOST_AUTO_TEST_CASE(unclear_then_not_served_or_no_room_elsewhere_is_unclear) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.Begin(2);
  for (const std::uint64_t number : {1u, 2u}) gateway.Reply(1, number, OutcomeUnknown{});
  gateway.Reply(2, 1, NotServed{});
  gateway.Reply(3, 1, NotServed{});
  gateway.Reply(2, 2, CommandResult(LimitReached{}));
  BOOST_TEST((gateway.EndOf(2) == End::kUnclear));
  gateway.Pass(milliseconds(900));
  BOOST_TEST((gateway.EndOf(1) == End::kUnclear));
}

BOOST_AUTO_TEST_CASE(no_room_for_the_only_copy_is_no_room) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.Reply(1, 1, CommandResult(LimitReached{}));
  BOOST_TEST((gateway.EndOf(1) == End::kNoRoom));
}

BOOST_AUTO_TEST_CASE(one_stream_asked_twice_owes_two_refusals) {
  Gateway gateway;
  gateway.members = {{"a", 1}};
  gateway.Begin(1);
  gateway.Pass(milliseconds(400));
  BOOST_REQUIRE_GE(gateway.asked.size(), 2u);
  gateway.Reply(1, 1, NotServed{});
  gateway.members.clear();
  gateway.Pass(milliseconds(900));
  BOOST_TEST((gateway.EndOf(1) == End::kUnclear));
}

BOOST_AUTO_TEST_CASE(a_reply_on_a_stream_that_the_call_did_not_go_out_on_counts_for_nothing) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.Reply(2, 1, Number(5));
  gateway.Reply(kHere, 1, Number(5));
  gateway.Reply(2, 1, NotServed{});
  BOOST_TEST(!gateway.EndOf(1));
  gateway.members.clear();
  gateway.Pass(milliseconds(900));
  BOOST_TEST((gateway.EndOf(1) == End::kUnclear));
}

BOOST_AUTO_TEST_CASE(a_new_leader_is_asked_at_once_and_the_first_clear_reply_counts) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.calls.OnLeader(gateway.now, 7, "c");
  BOOST_TEST(gateway.last() == 3u);
  gateway.calls.OnLeader(gateway.now, 7, "c");  // told once more
  gateway.calls.OnLeader(gateway.now, 6, "b");  // of an earlier term
  BOOST_TEST(gateway.asked.size() == 2u);
  gateway.Reply(1, 1, OutcomeUnknown{});
  gateway.Reply(3, 1, Number(9));
  BOOST_TEST((gateway.EndOf(1) == End::kReply));
}

BOOST_AUTO_TEST_CASE(a_member_that_leads_here_answers_at_once) {
  Gateway gateway;
  gateway.members = {{"a", 1}, {"b", kHere}};
  gateway.on_here = [&](std::uint64_t number) {
    gateway.calls.OnReplyHere(gateway.now, number, Number(number));
  };
  gateway.calls.OnLeader(gateway.now, 1, "b");
  for (const std::uint64_t number : {1u, 2u, 3u}) gateway.Begin(number);
  BOOST_TEST(gateway.answers.size() == 3u);
  BOOST_TEST(gateway.calls.size() == 0u);
}

// What an answer sets off may end other calls that are about to be asked again.
BOOST_AUTO_TEST_CASE(a_stream_breaks_and_the_first_answer_ends_the_other_calls) {
  for (const bool by_leader : {false, true}) {
    Gateway gateway;
    gateway.members = {{"a", 1}};
    for (std::uint64_t number = 1; number <= 8; ++number) gateway.Begin(number);
    gateway.members = {{"b", kHere}};
    gateway.on_here = [&](std::uint64_t number) {
      gateway.calls.OnReplyHere(gateway.now, number, Number(number));
    };
    gateway.on_answer = [&](std::uint64_t answered) {
      for (std::uint64_t number = 1; number <= 8; ++number)
        if (number != answered) gateway.calls.Forget(number);
    };
    BOOST_CHECK_NO_THROW(by_leader ? gateway.calls.OnLeader(gateway.now, 2, "b")
                                   : gateway.calls.OnStreamDown(gateway.now, 1));
    BOOST_TEST(gateway.answers.size() == 1u);
    BOOST_TEST(gateway.calls.size() == 0u);
  }
}

// One message a call would be thrown away.
BOOST_AUTO_TEST_CASE(whoever_has_replied_is_not_told_to_forget) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.Reply(1, 1, Number(5));
  BOOST_TEST(gateway.forgotten.empty());
  gateway.Begin(2);
  gateway.Pass(milliseconds(300));
  gateway.Reply(2, 2, Number(6));
  BOOST_REQUIRE_EQUAL(gateway.forgotten.size(), 1u);
  BOOST_TEST(gateway.forgotten[0].first == 1u);
}

// A gateway that stood still finds replies in its buffers that are older than its callers' patience.
BOOST_AUTO_TEST_CASE(a_call_whose_time_is_over_is_asked_nowhere_again) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.Begin(2);
  gateway.now += std::chrono::seconds(10);
  gateway.Reply(1, 1, NotServed{"b"});
  BOOST_TEST((gateway.EndOf(1) == End::kNothingDone));
  gateway.calls.OnLeader(gateway.now, 3, "c");
  BOOST_TEST((gateway.EndOf(2) == End::kUnclear));
  BOOST_TEST(gateway.asked.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_watch_is_asked_again_for_what_is_left_of_its_wait) {
  Gateway gateway;
  gateway.Begin(1, WatchGroup{"g.", 4, 2000});
  BOOST_TEST(std::get<WatchGroup>(gateway.asked[0].call).wait_ms == 2000u);
  gateway.Pass(milliseconds(1500));
  BOOST_TEST(gateway.asked.size() == 1u);  // it waits where it is
  gateway.calls.OnStreamDown(gateway.now, 1);
  BOOST_REQUIRE_EQUAL(gateway.asked.size(), 2u);
  BOOST_TEST((std::get<WatchGroup>(gateway.asked[1].call) == WatchGroup{"g.", 4, 500}));
  // That one stands still: the third one is asked once the wait and a moment are over.
  gateway.Pass(milliseconds(800));
  BOOST_REQUIRE_EQUAL(gateway.asked.size(), 3u);
  BOOST_TEST(std::get<WatchGroup>(gateway.asked[2].call).wait_ms == 0u);
  gateway.Reply(3, 1, WatchResult{{}, 4});
  BOOST_TEST((gateway.EndOf(1) == End::kReply));
}

// Guards against watches that hold up the end of a process, or end with it unanswered.
BOOST_AUTO_TEST_CASE(watches_end_with_the_process_and_commands_go_on) {
  Gateway gateway;
  gateway.Begin(1, WatchGroup{"g.", 4, 2000});
  gateway.Begin(2);
  gateway.calls.EndWatches();
  BOOST_TEST((gateway.EndOf(1) == End::kNothingDone));
  BOOST_TEST(gateway.forgotten.size() == 1u);
  BOOST_TEST(!gateway.EndOf(2).has_value());
  gateway.Reply(gateway.last(), 2, Number(7));
  BOOST_TEST((gateway.EndOf(2) == End::kReply));
}

BOOST_AUTO_TEST_CASE(whoever_leaves_is_forgotten_everywhere) {
  Gateway gateway;
  gateway.Begin(1, WatchGroup{"g.", 4, 2000});
  gateway.calls.OnLeader(gateway.now, 1, "b");
  gateway.calls.Forget(1);
  gateway.calls.Forget(1);
  BOOST_TEST(gateway.forgotten.size() == 2u);
  gateway.Reply(1, 1, WatchResult{{}, 4});
  BOOST_TEST(gateway.answers.empty());
}

BOOST_AUTO_TEST_CASE(beyond_the_bound_there_is_no_room) {
  Gateway gateway;
  const auto most = gateway.options.most_calls;
  for (std::uint64_t number = 1; number <= most + 1; ++number) gateway.Begin(number);
  BOOST_TEST(gateway.answers.size() == 1u);
  BOOST_TEST((gateway.EndOf(most + 1) == End::kNoRoom));
}

// ---- Every order ------------------------------------------------------------------------------------------

// One command, and members that do what they may with each copy of it: refuse it, or propose it and reply
// whenever they like, or never. Streams break and come again; what was on its way on one may have arrived.
class Play : CoordinationCalls::Owner {
 public:
  Play(Fault fault, bool first_is_here) : calls_(*this, WithFault(fault)), first_is_here_(first_is_here) {
    streams_ = {first_is_here ? kHere : next_stream_++, next_stream_++};
    calls_.Begin(
        now_, 1, TakeNumber{"n"},
        {[] { return true; }, [this](const CoordinationCalls::Answer& answer) { OnAnswer(answer); }});
  }

  // Does one of the things that may happen now; `choose`(n): below n. False: the call is over.
  template <typename Choose>
  bool Step(const Choose& choose) {
    if (answered_) return false;
    std::vector<std::function<void()>> may;
    for (std::size_t i = 0; i < copies_.size(); ++i) AddCopy(i, may);
    for (const std::size_t member : {0u, 1u}) {
      if (streams_[member] != kHere) may.push_back([this, member] { BreakOrMend(member); });
      may.push_back([this, member] { calls_.OnLeader(now_, ++term_, member == 0 ? "a" : "b"); });
      // No correct member sends it: to a question that it wasn't asked.
      if (streams_[member] != kHere)
        may.push_back([this, member] { calls_.OnReply(now_, 90 + member, 1, NotServed{}); });
    }
    for (const int wait : {60, 250})
      may.push_back([this, wait] {
        now_ += milliseconds(wait);
        calls_.Tick(now_);
      });
    may[choose(may.size())]();
    return !answered_;
  }
  bool broken() const { return broken_; }
  std::optional<End> end() const { return end_; }

 private:
  enum class Copy { kOnItsWay, kRefused, kProposed, kNoRoom };
  struct Sent {
    std::uint64_t stream = 0;
    Copy state = Copy::kOnItsWay;
    bool replied = false;
  };

  static CoordinationCalls::Options WithFault(Fault fault) {
    CoordinationCalls::Options options;
    options.fault = fault;
    return options;
  }
  std::vector<CoordinationCalls::Candidate> ReachedMembers() override {
    std::vector<CoordinationCalls::Candidate> reached;
    for (const std::size_t member : {0u, 1u})
      if (up_[member]) reached.push_back({member == 0 ? "a" : "b", streams_[member]});
    return reached;
  }
  void SendTo(std::uint64_t stream, const Message& message) override {
    if (std::holds_alternative<CoordinationCall>(message)) copies_.push_back({stream});
  }
  void CallHere(std::uint64_t, const Call&, ProvenRenewals) override { copies_.push_back({kHere}); }
  void ForgetHere(std::uint64_t) override {}

  bool Up(std::uint64_t stream) const {
    return (up_[0] && streams_[0] == stream) || (up_[1] && streams_[1] == stream);
  }
  void AddCopy(std::size_t i, std::vector<std::function<void()>>& may) {
    const Sent& copy = copies_[i];
    if (copy.state == Copy::kOnItsWay) {
      for (const Copy next : {Copy::kRefused, Copy::kProposed, Copy::kNoRoom})
        may.push_back([this, i, next] { copies_[i].state = next; });
    } else if (!copy.replied && Up(copy.stream)) {
      may.push_back([this, i] { Reply(i, false); });
      if (copy.state == Copy::kProposed) may.push_back([this, i] { Reply(i, true); });
    }
  }
  void Reply(std::size_t i, bool unclear) {
    copies_[i].replied = true;
    const Sent copy = copies_[i];
    coordination::Reply reply = CommandResult(NumberTaken{1});
    if (unclear) reply = OutcomeUnknown{};
    if (copy.state == Copy::kRefused) reply = NotServed{copy.stream % 2 == 0 ? "a" : ""};
    if (copy.state == Copy::kNoRoom) reply = CommandResult(LimitReached{});
    calls_.OnReply(now_, copy.stream, 1, std::move(reply));
  }
  void BreakOrMend(std::size_t member) {
    up_[member] = !up_[member];
    if (up_[member]) {
      streams_[member] = next_stream_++;
    } else {
      calls_.OnStreamDown(now_, streams_[member]);
    }
  }
  void OnAnswer(const CoordinationCalls::Answer& answer) {
    answered_ = true;
    end_ = answer.end;
    if (answer.end != End::kNothingDone && answer.end != End::kNoRoom) return;
    broken_ = std::any_of(copies_.begin(), copies_.end(), [](const Sent& copy) {
      return copy.state == Copy::kOnItsWay || copy.state == Copy::kProposed;
    });
  }

  Time now_{std::chrono::hours(1)};
  std::vector<Sent> copies_;
  std::uint64_t next_stream_ = 1, term_ = 0;
  std::array<std::uint64_t, 2> streams_{};
  std::array<bool, 2> up_{true, true};
  bool answered_ = false, broken_ = false;
  std::optional<End> end_;
  CoordinationCalls calls_;
  const bool first_is_here_;
};

struct Seen {
  std::size_t plays = 0, refused = 0;  // refused: with a 503 or 429
  bool broken = false;
};

void Note(Seen& seen, const Play& play) {
  ++seen.plays;
  seen.refused += play.end() == End::kNothingDone || play.end() == End::kNoRoom;
  seen.broken = seen.broken || play.broken();
}

// All sequences of this many steps.
Seen PlayAll(Fault fault, bool first_is_here, std::size_t depth) {
  Seen seen;
  std::vector<std::size_t> path, widths;
  for (;;) {
    Play play(fault, first_is_here);
    widths.clear();
    std::size_t step = 0;
    const auto choose = [&](std::size_t width) {
      widths.push_back(width);
      if (path.size() <= step) path.push_back(0);
      return path[step];
    };
    while (step < depth && play.Step(choose)) ++step;
    Note(seen, play);
    path.resize(widths.size());
    while (!path.empty() && path.back() + 1 >= widths[path.size() - 1]) path.pop_back();
    if (path.empty()) return seen;
    ++path.back();
  }
}

Seen PlaySeeds(Fault fault, std::size_t plays, std::size_t depth) {
  Seen seen;
  for (std::uint64_t seed = 1; seed <= plays; ++seed) {
    std::mt19937_64 random(seed);
    Play play(fault, seed % 2 == 0);
    const auto choose = [&](std::size_t width) { return static_cast<std::size_t>(random() % width); };
    for (std::size_t step = 0; step < depth && play.Step(choose); ++step) continue;
    Note(seen, play);
  }
  return seen;
}

constexpr std::size_t kDepth = 5, kLongDepth = 60, kPlays = 100'000;

BOOST_AUTO_TEST_CASE(no_order_of_few_steps_refuses_what_may_take_effect) {
  for (const bool first_is_here : {false, true}) {
    const Seen seen = PlayAll(Fault::kNone, first_is_here, kDepth);
    BOOST_TEST_MESSAGE(seen.plays << " plays, " << seen.refused << " refused");
    BOOST_TEST(!seen.broken);
    BOOST_TEST(seen.plays > 10'000u);
    BOOST_TEST(seen.refused > 0u);
  }
}

BOOST_AUTO_TEST_CASE(no_long_order_refuses_what_may_take_effect) {
  const Seen seen = PlaySeeds(Fault::kNone, kPlays, kLongDepth);
  BOOST_TEST_MESSAGE(seen.plays << " plays, " << seen.refused << " refused");
  BOOST_TEST(!seen.broken);
  BOOST_TEST(seen.refused > kPlays / 100);
}

BOOST_AUTO_TEST_CASE(what_goes_wrong_on_purpose_is_found) {
  for (const Fault fault :
       {Fault::kRefusesWhatIsOut, Fault::kTakesRepliesOfAnyStream, Fault::kUnclearIsNothingDone,
        Fault::kBrokenStreamIsNothingDone, Fault::kOneRefusalForAll})
    BOOST_TEST(PlaySeeds(fault, kPlays, kLongDepth).broken, "fault " << static_cast<int>(fault));
}

}  // namespace
}  // namespace curlewdoor::system
