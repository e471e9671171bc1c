// The parts of the network code that need no sockets.
#include <fcntl.h>
#include <gtest/gtest.h>

#include <string>

#include "core/timers.hpp"
#include "log/log.hpp"
#include "members/members.hpp"
#include "net/descriptors.hpp"
#include "net/keep_time.hpp"
#include "net/load_report.hpp"
#include "net/request.hpp"
#include "util/address.hpp"
#include "util/hash.hpp"

namespace curlewdoor::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Addresses, AreIpv4WithAPort) {
  EXPECT_EQ(ParseAddress("127.0.0.4:9000"), (Address{0x7f000004, 9000}));
  EXPECT_EQ(ParseAddress("127.0.0.4:9000")->ToText(), "127.0.0.4:9000");
  for (const char* bad :
       {"", "127.0.0.4", "127.0.0.4:", "127.0.0.4:70000", "host:80", "1.2.3:80", ":80", "1.2.3.4:8x"})
    EXPECT_FALSE(ParseAddress(bad)) << bad;
}

// ---- Time ---------------------------------------------------------------------------------------------

TEST(WallClock, IsUnixTime) {
  WallClock clock;
  EXPECT_EQ(clock.Now(seconds(1'700'000'000), seconds(5)).time_since_epoch(), seconds(1'700'000'000));
}

// A clock that is set forward is followed at once. One set back neither goes back nor stands still: what
// waits for a time must still come.
TEST(WallClock, NeverGoesBackAndNeverStops) {
  WallClock clock;
  clock.Now(seconds(1000), seconds(0));
  EXPECT_EQ(clock.Now(seconds(2000), seconds(1)).time_since_epoch(), seconds(2000));
  EXPECT_EQ(clock.Now(seconds(1990), seconds(3)).time_since_epoch(), seconds(2001));
  EXPECT_EQ(clock.Now(seconds(1992), seconds(5)).time_since_epoch(), seconds(2002));
  EXPECT_EQ(clock.Now(seconds(2012), seconds(25)).time_since_epoch(), seconds(2012));
  EXPECT_EQ(clock.Now(seconds(2013), seconds(26)).time_since_epoch(), seconds(2013));
}

TEST(StallMeter, CountsALongRoundAndALateWaking) {
  const TimePoint start{seconds(100)};
  StallMeter meter;
  meter.BeforeWait(start, start + seconds(1));
  meter.AfterWake(start + milliseconds(300));
  EXPECT_EQ(meter.iteration_delay(), Duration::zero());
  meter.BeforeWait(start + milliseconds(340), start + milliseconds(350));  // a round of 40 ms
  meter.AfterWake(start + milliseconds(360));                              // and 10 ms late
  EXPECT_EQ(meter.iteration_delay(), milliseconds(50));
  meter.BeforeWait(start + milliseconds(360), start + seconds(1));
  meter.AfterWake(start + milliseconds(400));
  EXPECT_EQ(meter.iteration_delay(), Duration::zero());
}

// fleet-load-stall: what a stall has piled up is read over several turns, and is as old as the system says.
TEST(StallMeter, WhatAStallPiledUpIsAsOldAsTheSystemSays) {
  const TimePoint start{seconds(100)};
  StallMeter meter;
  const auto turn = [&](TimePoint now) {
    meter.BeforeWait(now, now + milliseconds(100));
    meter.AfterWake(now);
  };
  meter.BeforeWait(start, start + milliseconds(100));
  meter.AfterWake(start + milliseconds(5100));
  EXPECT_EQ(meter.InputDelay(start + milliseconds(5100), std::nullopt), seconds(5));
  TimePoint now = start + milliseconds(5101);
  turn(now);
  EXPECT_TRUE(meter.catching_up(now));
  EXPECT_EQ(meter.InputDelay(now, milliseconds(2900)), milliseconds(2900));
  EXPECT_EQ(meter.InputDelay(now, std::nullopt), milliseconds(1));    // the turn's own
  EXPECT_EQ(meter.InputDelay(now, seconds(60)), milliseconds(5001));  // idle before: no older than the stall
  meter.BeforeWait(now, start + milliseconds(10200));
  now = start + milliseconds(10100);
  meter.AfterWake(now);
  EXPECT_FALSE(meter.catching_up(now));
}

TEST(StallMeter, OrdinaryTurnsAskTheSystemNothing) {
  TimePoint now{seconds(100)};
  StallMeter meter;
  for (int turn = 0; turn < 1000; ++turn) {
    meter.BeforeWait(now, now + seconds(1));
    meter.AfterWake(now);
    EXPECT_FALSE(meter.catching_up(now));
    now += milliseconds(1 + turn % 9);
  }
}

TEST(TimerQueue, EarliestFirstThenInOrder) {
  TimerQueue<int> queue;
  const TimePoint start{};
  queue.Add(start + seconds(2), 1);
  queue.Add(start + seconds(1), 2);
  queue.Add(start + seconds(2), 3);
  EXPECT_EQ(queue.NextDue(), start + seconds(1));
  EXPECT_EQ(queue.PopDue(start), std::nullopt);
  EXPECT_EQ(queue.PopDue(start + seconds(5)), 2);
  EXPECT_EQ(queue.PopDue(start + seconds(5)), 1);
  EXPECT_EQ(queue.PopDue(start + seconds(5)), 3);
  EXPECT_EQ(queue.NextDue(), std::nullopt);
}

// Guards against hosts that close idle connections early and without a word.
TEST(KeepTime, IsLearnedFromConnectionsThatBreakAtOnce) {
  KeepTime time(seconds(8));
  time.Broke(seconds(1), milliseconds(200));  // long after the writing: for another reason
  EXPECT_EQ(time.value(), seconds(8));
  time.Broke(seconds(1), milliseconds(2));
  EXPECT_EQ(time.value(), milliseconds(500));
  time.Served(milliseconds(100));  // tells nothing of old ones
  EXPECT_EQ(time.value(), milliseconds(500));
  for (int i = 0; i < 36; ++i) time.Served(time.value());
  EXPECT_GT(time.value(), milliseconds(1000));
  for (int i = 0; i < 1000; ++i) time.Served(time.value());
  EXPECT_EQ(time.value(), seconds(8));
  for (int i = 0; i < 20; ++i) time.Broke(time.value(), milliseconds(0));
  EXPECT_EQ(time.value(), milliseconds(50));
}

// ---- Descriptors --------------------------------------------------------------------------------------

TEST(Descriptors, OneBudgetForAllUses) {
  Descriptors budget(128);
  int all = 16;
  for (Use use : {Use::kClient, Use::kHost, Use::kCounter, Use::kDiscovery}) all += budget.most(use);
  EXPECT_EQ(all, 128);
  EXPECT_GE(budget.most(Use::kCounter), 8);  // as many as it opens
  EXPECT_EQ(Descriptors(128, true).most(Use::kAdmin), 8);
  EXPECT_EQ(Descriptors(1024, true).most(Use::kAdmin), kMostCallers);
  std::vector<Descriptor> held;
  while (auto descriptor = budget.Take(Use::kHost)) held.push_back(std::move(*descriptor));
  EXPECT_EQ(static_cast<int>(held.size()), budget.most(Use::kHost));
  EXPECT_TRUE(budget.Take(Use::kClient));  // taken and given back at once
  EXPECT_EQ(budget.held(Use::kClient), 0);
  held.pop_back();
  EXPECT_TRUE(budget.Take(Use::kHost));
}

// Guards the limit that two processes of one gateway share during an upgrade.
TEST(Descriptors, WhatAnotherProcessHoldsIsSetAsideAndGivenBack) {
  Descriptors budget(192, true, true);
  const int clients = budget.most(Use::kClient), hosts = budget.most(Use::kHost);
  EXPECT_EQ(clients + hosts + 16,
            Descriptors(192, true).most(Use::kClient) + Descriptors(192, true).most(Use::kHost));
  budget.SetAside(21);
  EXPECT_EQ(budget.most(Use::kClient) + budget.most(Use::kHost), clients + hosts - 21);
  budget.SetAside(100'000);
  EXPECT_GE(budget.most(Use::kClient), 8);
  EXPECT_GE(budget.most(Use::kHost), 8);
  budget.SetAside(0);
  EXPECT_EQ(budget.most(Use::kClient), clients);
  EXPECT_EQ(budget.most(Use::kHost), hosts);
}

// Guards against callers of control that take the descriptors of readiness, or of other gateways.
TEST(Descriptors, ControlReadinessAndPeersHavePartsOfTheirOwn) {
  for (const int total : {76, 210, 1140}) {
    memory::Budget memory;
    Descriptors budget(total, Descriptors::WithCalls{}, memory);
    int all = 16 + 2 + kMostExchanges;
    for (Use use :
         {Use::kClient, Use::kHost, Use::kCounter, Use::kDiscovery, Use::kControl, Use::kReadiness}) {
      EXPECT_GE(budget.most(use), 2) << total;
      all += budget.most(use);
    }
    EXPECT_LE(all, total);
    EXPECT_GE(budget.most(Use::kClient), budget.most(Use::kControl)) << total;  // peers that come
    EXPECT_GE(budget.most(Use::kHost), 10) << total;                            // ... and that are dialled
    std::vector<Descriptor> held;
    while (auto descriptor = budget.Take(Use::kControl)) held.push_back(std::move(*descriptor));
    EXPECT_TRUE(budget.Take(Use::kReadiness));
    EXPECT_TRUE(budget.Take(Use::kClient));
  }
}

TEST(Descriptors, GivenBackOnce) {
  Descriptors budget(128);
  const int fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  ASSERT_GE(fd, 0);
  Descriptor first = *budget.Take(Use::kHost);
  first.Set(fd);
  Descriptor second = std::move(first);
  EXPECT_FALSE(first.open());
  first.Close();
  EXPECT_EQ(budget.held(Use::kHost), 1);
  second.Close();
  second.Close();
  EXPECT_EQ(budget.held(Use::kHost), 0);
  EXPECT_EQ(::fcntl(fd, F_GETFD), -1);
}

// ---- What hosts and discovery say ---------------------------------------------------------------------

TEST(LoadReports, PairsInAnyNumber) {
  const LoadReport report = ReadLoadReport("TEXT inflight=7, queue=2,util=0.61");
  ASSERT_EQ(report.size(), 3u);
  EXPECT_EQ(report[0].name, "inflight");
  EXPECT_EQ(report[2].value, 0.61);
  EXPECT_TRUE(ReadLoadReport("").empty());
  EXPECT_TRUE(ReadLoadReport("TEXT a=, =1, b=x, nan=nan, ,,").empty());
}

const std::string kList =
    R"({"rev":41,"all":true,"targets":[{"uid":"s-5be2a07c","endpoint":"127.1.0.18:9000","az":"a","model":"m2",)"
    R"("pod_group":3,"state":"active","capacity_hint":1.5,"boot_ms":1700000000123}]})";

std::string With(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(Members, DiscoverysForm) {
  std::string error;
  const auto list = ReadMembers(kList, error);
  ASSERT_TRUE(list) << error;
  EXPECT_EQ(list->version, 41u);
  EXPECT_TRUE(list->all);
  ASSERT_EQ(list->members.size(), 1u);
  const Member& member = list->members[0];
  EXPECT_EQ(member.entry.host.value, StableHash("s-5be2a07c"));  // the same at every gateway
  EXPECT_EQ(member.entry.zone, "a");
  EXPECT_EQ(member.entry.kind, "m2");
  EXPECT_EQ(member.entry.cell, 3);
  EXPECT_EQ(member.entry.capacity_hint, 1.5);
  EXPECT_EQ(member.entry.started.time_since_epoch(), milliseconds(1700000000123));  // Unix time
  EXPECT_EQ(member.address.ToText(), "127.1.0.18:9000");
}

TEST(Members, LongAgoIsNoTime) {
  std::string error;
  const auto list = ReadMembers(With(kList, "1700000000123", "0"), error);
  ASSERT_TRUE(list) << error;
  EXPECT_EQ(list->members[0].entry.started, TimePoint{});
}

TEST(Members, OneThatLeftNeedsNoAddress) {
  std::string error;
  const auto list = ReadMembers(
      R"({"rev":42,"all":false,"targets":[{"uid":"x","state":"left"},{"uid":"y","state":"leaving","endpoint":"127.0.0.1:1"}]})",
      error);
  ASSERT_TRUE(list) << error;
  EXPECT_EQ(list->members[0].entry.state, HostState::kRemoved);
  EXPECT_EQ(list->members[1].entry.state, HostState::kDraining);
}

TEST(Members, FaultyKeysAreNamed) {
  const auto error_of = [](const std::string& text) {
    std::string error;
    EXPECT_FALSE(ReadMembers(text, error)) << text;
    return error;
  };
  EXPECT_EQ(error_of("{"), "is not JSON");
  EXPECT_EQ(error_of("[]"), "is not an object");
  EXPECT_EQ(error_of(With(kList, R"("all":true)", R"("all":1)")), "all is neither true nor false");
  EXPECT_EQ(error_of(R"({"rev":1,"all":true})"), "targets is missing");
  EXPECT_EQ(error_of(R"({"rev":1,"all":true,"targets":[7]})"), "targets[0] is not an object");
  EXPECT_EQ(error_of(With(kList, "active", "asleep")), "targets[0].state is not known");
  EXPECT_EQ(error_of(With(kList, "127.1.0.18:9000", "nowhere")),
            "targets[0].endpoint is not an address with a port");
  EXPECT_EQ(error_of(With(kList, "1.5", "\"big\"")), "targets[0].capacity_hint is not a number");
}

// ---- Clients' requests --------------------------------------------------------------------------------

class Requests : public ::testing::Test {
 protected:
  Requests() {
    settings_.classes.resize(2);
    settings_.classes[0].name = "read";
    settings_.classes[0].repeat = RepeatSafety::kSafe;
    settings_.classes[1].name = "checkout";
    settings_.gateways = 4;
    settings_.quota.largest_request = 4;
    settings_.plans.resize(1);
    settings_.plans[0].name = "team";
  }

  std::variant<RequestArrived, Rejection> Read(const std::string& text) {
    http::Buffer buffer;
    http::Message message(http::Kind::kRequest, buffer);
    buffer.Append(text);
    EXPECT_EQ(message.Read(), http::Progress::kDone) << text;
    return ReadRequest(message, settings_, RequestId{7});
  }
  int StatusOf(const std::string& text) {
    const auto read = Read(text);
    const auto* rejection = std::get_if<Rejection>(&read);
    return rejection != nullptr ? rejection->status : 0;
  }

  Settings settings_;
};

const std::string kRequest =
    "POST /checkout?account=00000000b4d65521 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f\r\n"
    "X-Tier: team\r\nX-Timeout: 480m\r\nX-Call-Terms: units=2.5,spread=3,first=1\r\nX-Retried: 1\r\n\r\n";

TEST_F(Requests, WhatAClientSays) {
  settings_.clients.marks_retry = true;
  const auto read = Read(kRequest);
  const RequestArrived& r = std::get<RequestArrived>(read);
  EXPECT_EQ(r.id, RequestId{7});
  EXPECT_EQ(r.customer, "00000000b4d65521");
  EXPECT_EQ(r.plan, "team");
  EXPECT_EQ(r.request_class, "checkout");
  EXPECT_EQ(r.units, 2.5);
  EXPECT_EQ(r.set_size, 3);
  EXPECT_EQ(r.set_first, 1);
  EXPECT_TRUE(r.is_retry);
  EXPECT_EQ(r.time_left, milliseconds(480));
  const auto micro = Read(With(With(kRequest, "480m", "1500u"), "b4d65521", "B4D65521"));
  EXPECT_EQ(std::get<RequestArrived>(micro).time_left, std::chrono::microseconds(1500));
  EXPECT_EQ(std::get<RequestArrived>(micro).customer, "00000000b4d65521");
}

TEST_F(Requests, HostileOnesGetA4xx) {
  EXPECT_EQ(StatusOf(kRequest), 0);
  EXPECT_EQ(StatusOf(With(kRequest, "/checkout", "/nothing")), 404);
  EXPECT_EQ(StatusOf(With(kRequest, "/checkout", "http://service.internal/checkout")), 400);
  EXPECT_EQ(StatusOf(With(kRequest, "POST", "GET")), 405);
  EXPECT_EQ(StatusOf(With(kRequest, "POST /checkout", "POST /read")), 405);
  EXPECT_EQ(StatusOf(With(kRequest, "POST /checkout", "GET /read")), 0);
  for (const char* bad : {"team", "X-Tier: team\r\n"})
    EXPECT_EQ(StatusOf(With(kRequest, bad, "")), 400) << bad;
  EXPECT_EQ(StatusOf(With(kRequest, "X-Tier: team", "X-Tier: team\r\nX-Tier: team")), 400);
  EXPECT_EQ(StatusOf(With(kRequest, "X-Request-ID: 9b1f\r\n", "")), 400);
  for (const char* bad : {"", "480", "m", "-1m", "nanm", "1e999m", "48s", "4 m"})
    EXPECT_EQ(StatusOf(With(kRequest, "480m", bad)), 400) << bad;
  for (const char* bad : {"",
                          "units=2",
                          "units=2,spread=3",
                          "units=x,spread=3,first=1",
                          "units=-1,spread=3,first=1",
                          "units=0,spread=3,first=1",
                          "units=nan,spread=3,first=1",
                          "units=2,spread=0,first=1",
                          "units=2,spread=3,first=-1",
                          "units=2,spread=99999999999,first=1",
                          "units=1e10,spread=3,first=1",
                          "units=4.01,spread=3,first=1",
                          "units=2,spread=5,first=1",
                          "units=2,spread=3,first=4",
                          "units=+2,spread=3,first=1",
                          "units=inf,spread=3,first=1",
                          "units=2x,spread=3,first=1",
                          "units=0x1,spread=3,first=1",
                          "units=2,spread=3.0,first=1",
                          "units=2,spread=-3,first=1",
                          "units=2,spread=3,first=1e0"})
    EXPECT_EQ(StatusOf(With(kRequest, "units=2.5,spread=3,first=1", bad)), 400) << bad;
  for (const char* bad : {"", "?account=", "?account=00000000b4d6552", "?account=00000000b4d65521f",
                          "?account=00000000b4d6552g", "?acc=00000000b4d65521", "?account=0000000200000000",
                          "?account=ffffffffffffffff"})
    EXPECT_EQ(StatusOf(With(kRequest, "?account=00000000b4d65521", bad)), 400) << bad;
}

// ---- The log ------------------------------------------------------------------------------------------

TEST(Logger, DropsAndCountsInsteadOfWaiting) {
  int ends[2];
  ASSERT_EQ(::pipe2(ends, O_CLOEXEC), 0);  // a blocking pipe that nobody reads
  log::Logger logger(ends[1]);
  logger.Info("first {}\nof two", 1);
  char text[200] = {};
  ASSERT_GT(::read(ends[0], text, sizeof text - 1), 0);
  EXPECT_NE(std::string(text).find("Z info first 1 of two\n"), std::string::npos) << text;
  for (int i = 0; i < 100 && logger.dropped() == 0; ++i) logger.Warning("{}", std::string(3000, 'x'));
  EXPECT_GT(logger.dropped(), 0u);
  ::close(ends[0]);
  ::close(ends[1]);
}

}  // namespace
}  // namespace curlewdoor::net
