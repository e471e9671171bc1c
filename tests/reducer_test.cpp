#include "core/reducer.hpp"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <set>

#include "config/config.hpp"
#include "sample_config.hpp"

namespace curlewdoor::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'700'000'000)};

class ReducerTest : public ::testing::Test {
 protected:
  ReducerTest() {
    reducer_.emplace(SampleSettings(), 7);
    SetMembers({Host(1), Host(2)});
  }

  static Member Host(std::uint64_t id, HostState state = HostState::kReady) {
    Member member;
    member.entry.host = HostId{id};
    member.entry.zone = "b";
    member.entry.state = state;
    member.address = Address{0x7f000001, static_cast<std::uint16_t>(id)};
    return member;
  }

  static RequestArrived Request(std::uint64_t id, const std::string& kind, const std::string& plan = "open") {
    RequestArrived request;
    request.id = RequestId{id};
    request.customer = "00000000b4d65521";
    request.plan = plan;
    request.request_class = kind;
    request.set_size = 2;
    request.time_left = milliseconds(1000);
    return request;
  }

  void Handle(Input input) { reducer_->Handle(now_, std::move(input), effects_); }
  void SetMembers(std::vector<Member> members, bool all = true) {
    MembersReceived received;
    received.members.all = all;
    received.members.members = std::move(members);
    Handle(std::move(received));
  }
  // Removes and returns the effects of one type, in order.
  template <typename E>
  std::vector<E> Take() {
    std::vector<E> taken;
    std::erase_if(effects_, [&](const Effect& effect) {
      const auto* each = std::get_if<E>(&effect);
      if (each != nullptr) taken.push_back(*each);
      return each != nullptr;
    });
    return taken;
  }
  template <typename E>
  E TakeOne() {
    const std::vector<E> taken = Take<E>();
    EXPECT_EQ(taken.size(), 1u);
    return taken.empty() ? E{} : taken.front();
  }
  AttemptId StartRequest(std::uint64_t id, const std::string& kind) {
    Handle(RequestRead{Request(id, kind)});
    return TakeOne<StartAttempt>().attempt;
  }
  void ExpectNothingOpen() const {
    EXPECT_EQ(reducer_->open_requests(), 0u);
    EXPECT_EQ(reducer_->attempts_in_flight(), 0u);
  }

  TimePoint now_ = kStart;
  std::optional<Reducer> reducer_;
  std::vector<Effect> effects_;
};

TEST_F(ReducerTest, AGoodAnswerGoesToTheClient) {
  Handle(RequestRead{Request(1, "checkout")});
  const auto start = TakeOne<StartAttempt>();
  EXPECT_EQ(start.attempt, (AttemptId{RequestId{1}, 0}));
  EXPECT_EQ(start.expires, now_ + milliseconds(1000));
  EXPECT_EQ(start.address.port, start.host.value);
  Handle(AttemptWritten{start.attempt});
  now_ += milliseconds(50);
  Handle(AttemptAnswered{start.attempt, 200, false, {}});
  EXPECT_EQ(TakeOne<DeliverAnswer>().attempt, start.attempt);
  EXPECT_TRUE(effects_.empty());
  ExpectNothingOpen();
}

// A request that was not completely written was not processed, so it may be retried on another host even if
// it is not safe to repeat.
TEST_F(ReducerTest, BrokenBeforeTheLastByteCouldNotConnect) {
  const AttemptId first = StartRequest(1, "checkout");
  Handle(AttemptFailed{first});
  EXPECT_EQ(TakeOne<StartAttempt>().attempt.number, 1);
  EXPECT_TRUE(Take<RespondFailed>().empty());
}

TEST_F(ReducerTest, BrokenAfterTheLastByteMayHaveRun) {
  const AttemptId first = StartRequest(1, "checkout");
  Handle(AttemptWritten{first});
  Handle(AttemptFailed{first});
  EXPECT_TRUE(Take<StartAttempt>().empty());
  EXPECT_EQ(TakeOne<RespondFailed>().request, RequestId{1});
  ExpectNothingOpen();
}

TEST_F(ReducerTest, OnlyAnswersMarkedNotProcessedAreRetried) {
  const AttemptId marked = StartRequest(1, "checkout");
  Handle(AttemptWritten{marked});
  Handle(AttemptAnswered{marked, 503, true, {}});
  EXPECT_EQ(TakeOne<StartAttempt>().attempt.number, 1);
  const std::vector<std::pair<int, bool>> others{
      {503, false}, {504, false}, {500, false}, {500, true}, {404, true}};
  std::uint64_t id = 2;
  for (const auto& [status, mark] : others) {
    const AttemptId attempt = StartRequest(id, "checkout");
    Handle(AttemptWritten{attempt});
    Handle(AttemptAnswered{attempt, status, mark, {}});
    EXPECT_TRUE(Take<StartAttempt>().empty()) << status;
    EXPECT_EQ(TakeOne<RespondFailed>().request, RequestId{id}) << status;
    ++id;
  }
}

TEST_F(ReducerTest, TimeOutGivesUpAndAnswersByTheDeadline) {
  const AttemptId attempt = StartRequest(1, "checkout");
  Handle(AttemptWritten{attempt});
  ASSERT_TRUE(reducer_->NextDue());
  EXPECT_EQ(*reducer_->NextDue(), now_ + milliseconds(1000));
  now_ += milliseconds(999);
  Handle(TimePassed{});
  EXPECT_TRUE(effects_.empty());
  now_ += milliseconds(1);
  Handle(TimePassed{});
  EXPECT_EQ(TakeOne<DropAttempt>().attempt, attempt);
  EXPECT_EQ(TakeOne<RespondFailed>().request, RequestId{1});
  ExpectNothingOpen();
  // A late answer is ignored.
  Handle(AttemptAnswered{attempt, 200, false, {}});
  EXPECT_TRUE(effects_.empty());
}

// A request that was not completely written by its deadline was not processed, so it is answered as refused
// rather than failed.
TEST_F(ReducerTest, TimeOutBeforeTheLastByteIsARefusal) {
  const AttemptId attempt = StartRequest(1, "checkout");
  now_ += milliseconds(1000);
  Handle(TimePassed{});
  EXPECT_EQ(TakeOne<DropAttempt>().attempt, attempt);
  EXPECT_EQ(TakeOne<RespondRefused>().request, RequestId{1});
}

// Guards against discarding, after a stall of the gateway, an answer that had arrived in time.
TEST_F(ReducerTest, AnArrivedAnswerIsHandledBeforeItsTimeOut) {
  const AttemptId attempt = StartRequest(1, "checkout");
  Handle(AttemptWritten{attempt});
  now_ += milliseconds(1010);
  Handle(AttemptAnswered{attempt, 200, false, {}});
  Handle(TimePassed{});
  EXPECT_EQ(TakeOne<DeliverAnswer>().attempt, attempt);
  EXPECT_TRUE(Take<RespondFailed>().empty());
}

TEST_F(ReducerTest, ClientDisconnectDropsItsAttempts) {
  const AttemptId attempt = StartRequest(1, "read");
  Handle(AttemptWritten{attempt});
  Handle(ClientDisconnected{RequestId{1}});
  EXPECT_EQ(TakeOne<DropAttempt>().attempt, attempt);
  EXPECT_TRUE(effects_.empty());
  ExpectNothingOpen();
  Handle(ClientDisconnected{RequestId{1}});
  EXPECT_TRUE(effects_.empty());
}

// No wake-up is scheduled for ended attempts and calls. Most of them end long before their timeout.
TEST_F(ReducerTest, TimersOfEndedAttemptsAreDropped) {
  const AttemptId attempt = StartRequest(1, "read");
  Handle(AttemptWritten{attempt});
  EXPECT_TRUE(reducer_->NextDue());
  Handle(AttemptAnswered{attempt, 200, false, {}});
  EXPECT_EQ(reducer_->NextDue(), std::nullopt);
}

// ---- Hosts --------------------------------------------------------------------------------------------

TEST_F(ReducerTest, DrainingAndRemovedHostsGetNothingPastTheGrace) {
  SetMembers({Host(1, HostState::kDraining)}, false);
  EXPECT_EQ(TakeOne<StopSending>().host, HostId{1});
  EXPECT_EQ(TakeOne<CloseIdleConnections>().host, HostId{1});
  for (std::uint64_t id = 1; id < 5; ++id) {
    Handle(RequestRead{Request(id, "read")});
    EXPECT_EQ(TakeOne<StartAttempt>().host, HostId{2});
  }
  SetMembers({Host(2, HostState::kRemoved)}, false);
  const auto stop = TakeOne<StopSending>();
  EXPECT_EQ(stop.host, HostId{2});
  EXPECT_EQ(stop.deadline, now_ + milliseconds(500));
  Handle(RequestRead{Request(9, "read")});
  EXPECT_TRUE(Take<StartAttempt>().empty());
  EXPECT_EQ(TakeOne<RespondRefused>().request, RequestId{9});
}

TEST_F(ReducerTest, OnlyAFullListRemovesMissingHosts) {
  SetMembers({Host(3)}, false);
  EXPECT_TRUE(Take<StopSending>().empty());
  SetMembers({Host(2), Host(3)});
  EXPECT_EQ(TakeOne<StopSending>().host, HostId{1});
  SetMembers({});
  EXPECT_EQ(Take<StopSending>().size(), 2u);
  EXPECT_FALSE(reducer_->knows_hosts());
}

// ---- The counter --------------------------------------------------------------------------------------

TEST_F(ReducerTest, RequestIsSentAfterTheCounterAnswers) {
  Handle(RequestRead{Request(1, "read", "team")});
  EXPECT_TRUE(Take<StartAttempt>().empty());
  const auto call = TakeOne<StartCall>();
  EXPECT_EQ(call.amount, 1);
  Handle(CallWritten{call.call});
  now_ += milliseconds(2);
  Handle(CallAnswered{call.call, 200, 1.0});
  EXPECT_EQ(TakeOne<StartAttempt>().attempt.request, RequestId{1});
}

// A slow counter still returns true totals. The request proceeds on this gateway's share without waiting, and
// the late answer confirms the units that were added. A call that still waits for a connection is abandoned
// at the timeout.
TEST_F(ReducerTest, ASlowCounterIsNotWaitedForAndItsLateAnswerCounts) {
  Handle(RequestRead{Request(1, "read", "team")});
  const auto call = TakeOne<StartCall>();
  Handle(CallWritten{call.call});
  now_ += milliseconds(25);  // 1/16 of the shortest latency target
  Handle(TimePassed{});
  EXPECT_EQ(TakeOne<StartAttempt>().attempt.request, RequestId{1});
  EXPECT_TRUE(Take<DropCall>().empty());
  now_ += milliseconds(50);  // well past the counter's timeout
  Handle(TimePassed{});
  EXPECT_TRUE(effects_.empty());
  Handle(CallAnswered{call.call, 200, 20.0});  // the whole quota, including use by other gateways
  Handle(RequestRead{Request(2, "read", "team")});
  EXPECT_EQ(TakeOne<RespondRefused>().request, RequestId{2});
  Handle(RequestRead{Request(3, "checkout", "team")});
  EXPECT_TRUE(Take<StartCall>().empty());

  reducer_.emplace(SampleSettings(), 7);
  SetMembers({Host(1), Host(2)});
  Handle(RequestRead{Request(1, "read", "team")});
  const auto unwritten = TakeOne<StartCall>();
  now_ += milliseconds(30);
  Handle(TimePassed{});
  EXPECT_EQ(TakeOne<DropCall>().call, unwritten.call);
}

// A call that fails before its last byte is written added nothing, so units admitted meanwhile are added by
// the next call. A call that fails later may have been added and is not repeated.
TEST_F(ReducerTest, OnlyFailedCallsThatWereNotWrittenAreAddedAgain) {
  std::map<bool, double> next_amount;
  for (const bool written : {false, true}) {
    reducer_.emplace(SampleSettings(), 7);
    SetMembers({Host(1), Host(2)});
    Handle(RequestRead{Request(1, "read", "team")});
    const auto call = TakeOne<StartCall>();
    if (written) Handle(CallWritten{call.call});
    Handle(CallFailed{call.call});
    EXPECT_EQ(Take<StartAttempt>().size(), 1u);  // admitted on this gateway's share
    Handle(RequestRead{Request(2, "read", "team")});
    next_amount[written] = TakeOne<StartCall>().amount;
  }
  EXPECT_EQ(next_amount[false], next_amount[true] + 1);
}

TEST_F(ReducerTest, CounterAnswersWithoutATotalDoNotBlockRequests) {
  for (const int status : {503, 400, 404, 200, 500}) {
    Handle(RequestRead{Request(static_cast<std::uint64_t>(status), "read", "team")});
    const auto calls = Take<StartCall>();
    if (!calls.empty()) Handle(CallAnswered{calls.front().call, status, std::nullopt});
    EXPECT_EQ(Take<StartAttempt>().size(), 1u) << status;  // no such answer delays the request
  }
}

// A 200 without a number means that the call was added and the counter is reachable: the amount is not added
// again, and the counter is not reported as unresponsive.
TEST_F(ReducerTest, CounterAnswersWithoutANumberAreAddedAndNotUnresponsive) {
  std::map<int, std::vector<double>> amounts;
  for (const int status : {200, 503}) {
    reducer_.emplace(SampleSettings(), 7);
    SetMembers({Host(1), Host(2)});
    for (std::uint64_t id = 1; id <= 3; ++id) {
      Handle(RequestRead{Request(id, "read", "team")});
      const auto call = TakeOne<StartCall>();
      amounts[status].push_back(call.amount);
      Handle(CallWritten{call.call});
      Handle(CallAnswered{call.call, status, std::nullopt});
      EXPECT_EQ(Take<StartAttempt>().size(), 1u) << id;
    }
    EXPECT_EQ(Take<WriteLog>().size(), status == 200 ? 0u : 1u);
  }
  EXPECT_EQ(amounts[200][1] + 1, amounts[503][1]);
}

// ---- Properties ---------------------------------------------------------------------------------------

// For any behaviour of hosts, counter, discovery and clients, each accepted request gets exactly one final
// answer by its deadline unless its client disconnects. No attempt starts after that, and at the end no
// request and no attempt is left.
TEST(ReducerProperty, EveryAcceptedRequestGetsOneFinalAnswerInTime) {
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
    Reducer reducer(SampleSettings(), seed);
    TimePoint now = kStart;
    std::map<RequestId, TimePoint> open;
    std::set<RequestId> seen;
    std::vector<AttemptId> attempts;
    std::vector<CallId> calls;
    std::vector<Effect> effects;
    const auto handle = [&](Input input) {
      reducer.Handle(now, std::move(input), effects);
      for (const Effect& effect : effects) {
        const auto close = [&](RequestId id) {
          EXPECT_EQ(open.erase(id), 1u) << "answered twice, seed " << seed;
        };
        if (const auto* e = std::get_if<StartAttempt>(&effect)) {
          EXPECT_TRUE(open.contains(e->attempt.request))
              << "attempt started after the final answer, seed " << seed;
          attempts.push_back(e->attempt);
        } else if (const auto* drop = std::get_if<DropAttempt>(&effect)) {
          std::erase(attempts, drop->attempt);
        } else if (const auto* answer = std::get_if<DeliverAnswer>(&effect)) {
          close(answer->attempt.request);
        } else if (const auto* refused = std::get_if<RespondRefused>(&effect)) {
          close(refused->request);
        } else if (const auto* failed = std::get_if<RespondFailed>(&effect)) {
          close(failed->request);
        } else if (const auto* call = std::get_if<StartCall>(&effect)) {
          calls.push_back(call->call);
        }
      }
      effects.clear();
      for (const auto& [id, deadline] : open) EXPECT_LE(now, deadline) << "overdue, seed " << seed;
    };
    const auto advance = [&](Duration most) {
      const TimePoint until = now + most;
      while (reducer.NextDue() && *reducer.NextDue() <= until) {
        now = std::max(now, *reducer.NextDue());
        handle(TimePassed{});
      }
      now = until;
    };
    const auto members = [&] {
      MembersReceived received;
      received.members.all = chance(30);
      for (std::uint64_t id = 1; id <= 4; ++id) {
        Member member;
        member.entry.host = HostId{id};
        member.entry.state = chance(75)   ? HostState::kReady
                             : chance(50) ? HostState::kDraining
                                          : HostState::kRemoved;
        if (chance(20)) member.entry.started = now - seconds(1);
        if (chance(70)) received.members.members.push_back(member);
      }
      return received;
    };
    handle(members());
    for (int step = 0; step < 3000; ++step) {
      advance(std::chrono::microseconds(random() % 8000));
      if (chance(30)) {
        RequestArrived request;
        request.id = RequestId{static_cast<std::uint64_t>(step) + 1};
        request.customer = "customer" + std::to_string(random() % 20);
        request.plan = chance(70) ? "team" : "open";
        request.request_class = chance(60) ? "read" : "checkout";
        request.set_size = 2;
        request.time_left = milliseconds(random() % 1500);
        open[request.id] = now + request.time_left;
        handle(RequestRead{request});
      }
      if (!attempts.empty() && chance(60)) {
        const std::size_t at = random() % attempts.size();
        const AttemptId id = attempts[at];
        if (chance(40)) {
          handle(AttemptWritten{id});
        } else {
          attempts.erase(attempts.begin() + static_cast<std::ptrdiff_t>(at));
          if (chance(60)) {
            handle(AttemptWritten{id});
            handle(AttemptAnswered{id, chance(80) ? 200 : chance(50) ? 503 : 500, chance(50), {}});
          } else {
            handle(AttemptFailed{id});
          }
        }
      }
      if (!calls.empty() && chance(50)) {
        const CallId id = calls.front();
        calls.erase(calls.begin());
        if (chance(50)) handle(CallWritten{id});
        if (chance(70)) {
          handle(CallAnswered{id, chance(90) ? 200 : 503, 3.0 + step});
        } else {
          handle(CallFailed{id});
        }
      }
      if (chance(3)) handle(members());
      if (!open.empty() && chance(3)) {
        const RequestId id = open.begin()->first;
        open.erase(open.begin());
        handle(ClientDisconnected{id});
      }
    }
    advance(seconds(5));
    EXPECT_TRUE(open.empty()) << "never answered, seed " << seed;
    EXPECT_EQ(reducer.open_requests(), 0u) << seed;
    EXPECT_EQ(reducer.attempts_in_flight(), 0u) << seed;
  }
}

// Disabled, presence makes no calls and sets no timers. Enabled, it makes two calls per slot that are not
// reported to the gateway logic.
TEST(ReducerPresence, CallsOnlyIfEnabled) {
  Settings settings = SampleSettings();
  const auto calls_in_two_seconds = [&] {
    Reducer reducer(settings, 7);
    std::vector<Effect> effects;
    TimePoint now = kStart;
    std::size_t calls = 0;
    reducer.Handle(now, MembersFetchFailed{}, effects);
    while (const auto due = reducer.NextDue()) {
      if (*due >= kStart + seconds(2)) break;
      now = *due;
      reducer.Handle(now, TimePassed{}, effects);
      for (std::size_t i = 0; i < effects.size(); ++i) {
        const auto* call = std::get_if<StartCall>(&effects[i]);
        if (call == nullptr) continue;
        ++calls;
        std::vector<Effect> further;
        reducer.Handle(now, CallWritten{call->call}, further);
        reducer.Handle(now, CallAnswered{call->call, 200, 2.0}, further);
        EXPECT_TRUE(further.empty());
      }
      effects.clear();
    }
    return calls;
  };
  EXPECT_EQ(calls_in_two_seconds(), 0u);
  settings.counting.presence_slot = milliseconds(500);
  EXPECT_EQ(calls_in_two_seconds(), 8u);
}

}  // namespace
}  // namespace curlewdoor::net
