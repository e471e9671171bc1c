// An upgrade's protocol and codec: torn, changed and cut bytes, and what follows each failure.
#include <gtest/gtest.h>

#include <random>

#include "handover/frames.hpp"
#include "handover/protocol.hpp"
#include "handover/snapshot.hpp"
#include "sample_config.hpp"

namespace curlewdoor::handover {
namespace {

using std::chrono::milliseconds;

Snapshot Sample(std::size_t customers = 3) {
  Snapshot snapshot;
  snapshot.memory.local.work_limit = 12.5;
  snapshot.memory.local.counter_down = true;
  for (std::size_t i = 0; i < customers; ++i) {
    CustomerState customer;
    customer.name = "customer " + std::to_string(i);
    customer.plan_name = "team";
    customer.ceiling = 1.5;
    customer.leased = 2;
    snapshot.memory.customers.push_back(customer);
  }
  snapshot.memory.hosts.push_back({HostId{7}, TimePoint(milliseconds(5)), {}});
  snapshot.memory.classes.push_back({"read", {0.25, 1}});
  Member member;
  member.entry.host = HostId{7};
  member.entry.zone = "b";
  member.address = Address{0x7f000001, 9000};
  snapshot.members = MemberList{41, true, {member}};
  snapshot.out_by_hand = {HostId{7}};
  snapshot.open_ids = {"9b1f03aa5c7e2d41"};
  return snapshot;
}

std::optional<Snapshot> Read(std::string_view bytes) {
  std::string error;
  auto snapshot = Decode(bytes, error);
  EXPECT_EQ(snapshot.has_value(), error.empty()) << error;
  return snapshot;
}

TEST(SnapshotTest, ComesBackAsItWas) {
  const std::string bytes = Encode(Sample(), TimePoint{});
  const auto read = Read(bytes);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->memory.customers.size(), 3u);
  EXPECT_EQ(read->memory.customers[2].name, "customer 2");
  EXPECT_EQ(read->memory.local.work_limit, 12.5);
  EXPECT_EQ(read->members.version, 41u);
  EXPECT_EQ(read->members.members[0].address, (Address{0x7f000001, 9000}));
  EXPECT_EQ(read->out_by_hand, std::vector{HostId{7}});
  EXPECT_EQ(Encode(*read, TimePoint{}), bytes);
}

TEST(SnapshotTest, CutOrChangedAnywhereItIsNone) {
  const std::string bytes = Encode(Sample(), TimePoint{});
  for (std::size_t size = 0; size < bytes.size(); ++size) EXPECT_FALSE(Read(bytes.substr(0, size))) << size;
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    std::mt19937 random(seed);
    std::string changed = bytes;
    changed[random() % changed.size()] ^= static_cast<char>(1 + random() % 255);
    EXPECT_FALSE(Read(changed)) << seed;
  }
  std::string error;
  std::string other = bytes;
  other[0] = 2;
  EXPECT_FALSE(Decode(other, error));
  EXPECT_EQ(error, "has version 2, not 1");
}

// Guards against a table of customers that outgrows the channel: those left out begin with empty ceilings.
TEST(SnapshotTest, IsBoundedAndSaysSoByTheCeilings) {
  const TimePoint now(milliseconds(77));
  const std::string bytes = Encode(Sample(60'000), now);
  EXPECT_LE(bytes.size(), kMostSnapshot);
  const auto read = Read(bytes);
  ASSERT_TRUE(read);
  EXPECT_GT(read->memory.customers.size(), 1000u);
  EXPECT_EQ(read->memory.customers[0].name, "customer 0");  // seen last
  EXPECT_EQ(read->memory.local.last_eviction_at, now);
}

TEST(FrameTest, TornAnywhereTheyComeWhole) {
  const std::string stream = Encode(Kind::kHello) + Encode(Kind::kClient, "abc") + Encode(Kind::kSwitch);
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    std::string bytes, kinds;
    for (const std::string& part : {stream.substr(0, cut), stream.substr(cut)}) {
      bytes += part;
      bool broken = false;
      while (const auto frame = TakeFrame(bytes, broken))
        kinds += static_cast<char>('0' + static_cast<int>(frame->kind));
      EXPECT_FALSE(broken);
    }
    EXPECT_EQ(kinds, "143") << cut;
    EXPECT_TRUE(bytes.empty());
  }
}

TEST(FrameTest, WhatIsNoneIsBrokenAndPayloadsAreChecked) {
  bool broken = false;
  std::string huge = Encode(Kind::kHello);
  huge[3] = 0x7f;
  EXPECT_FALSE(TakeFrame(huge, broken));
  EXPECT_TRUE(broken);
  std::string unknown = Encode(Kind::kHello);
  unknown[4] = 99;
  EXPECT_FALSE(TakeFrame(unknown, broken));
  EXPECT_TRUE(broken);
  const PassedClient client{milliseconds(5), true, false, "GET /re"};
  const std::string payload = Encode(client);
  EXPECT_EQ(DecodeClient(payload)->read, "GET /re");
  for (std::size_t size = 0; size < payload.size(); ++size)
    EXPECT_FALSE(DecodeClient(payload.substr(0, size)));
  EXPECT_FALSE(DecodeClient(payload + "x"));
  const std::string stream = Encode(PassedStream{"read", true, false, "GET", "abc"});
  EXPECT_EQ(DecodeStream(stream)->written, "abc");
  const std::string rest = Encode(PassedStreamLink{HostId{9}, Address{1, 2}, "HTTP/1.1 200 OK"});
  EXPECT_EQ(DecodeStreamLink(rest)->rest, "HTTP/1.1 200 OK");
  for (std::size_t size = 0; size < stream.size(); ++size) EXPECT_FALSE(DecodeStream(stream.substr(0, size)));
  for (std::size_t size = 0; size < rest.size(); ++size) EXPECT_FALSE(DecodeStreamLink(rest.substr(0, size)));
  EXPECT_FALSE(DecodeLink("short"));
  EXPECT_EQ(DecodeHost(Encode(HostId{9})), HostId{9});
}

TEST(ProtocolTest, TheOldOneHoldsUntilAllIsDecidedAndNoLonger) {
  using Do = Predecessor::Do;
  Predecessor old;
  const TimePoint t0(std::chrono::seconds(1));
  EXPECT_EQ(old.Look(t0, 0), Do::kNothing);
  EXPECT_EQ(old.Hello(t0), Do::kHold);
  EXPECT_EQ(old.Hello(t0), Do::kNothing);
  EXPECT_EQ(old.Look(t0 + milliseconds(10), 1), Do::kNothing);
  EXPECT_EQ(old.Look(t0 + milliseconds(20), 0), Do::kHandOn);
  EXPECT_TRUE(old.handed_on());
  Predecessor slow;
  slow.Hello(t0);
  EXPECT_EQ(slow.Look(t0 + kLongestHold, 3), Do::kHandOn);
}

TEST(ProtocolTest, WhenTheNewOneDiesTheOldOneServesAgain) {
  using Do = Predecessor::Do;
  const TimePoint t0(std::chrono::seconds(1));
  Predecessor asked;
  EXPECT_EQ(asked.Ended(false), Do::kNothing);  // it came and went without a word
  asked.Hello(t0);
  EXPECT_EQ(asked.Ended(false), Do::kResume);  // before the switch
  asked.Hello(t0);
  asked.Look(t0, 0);
  EXPECT_EQ(asked.Ended(false), Do::kResume);  // after it
  asked.Hello(t0);
  asked.Look(t0, 0);
  EXPECT_EQ(asked.Ended(true), Do::kNothing);  // after SIGTERM it ends as it would
  Predecessor stalled;
  stalled.Hello(t0);
  EXPECT_EQ(stalled.Taken(), Do::kHandOn);
  EXPECT_EQ(stalled.Ended(false), Do::kNothing);  // the other serves without a channel
}

TEST(ProtocolTest, TheNewOneServesWhateverBecomesOfTheOldOne) {
  using Do = Successor::Do;
  const TimePoint t0(std::chrono::seconds(1));
  Successor next(t0);
  EXPECT_EQ(next.Look(t0, true, false), Do::kNothing);
  EXPECT_EQ(next.Look(t0, true, true), Do::kSayHello);
  EXPECT_EQ(next.Look(t0, true, true), Do::kNothing);
  next.Ended();
  EXPECT_EQ(next.Look(t0, false, true), Do::kConnect);
  EXPECT_EQ(next.NobodyThere(), Do::kServe);
  EXPECT_EQ(next.Switched(), Do::kNothing);
  Successor unheard(t0);
  EXPECT_EQ(unheard.Look(t0 + kListWait, true, false), Do::kSayHello);
  EXPECT_EQ(unheard.Look(t0 + kLongestWait, true, true), Do::kServeAlone);
}

// ---- The module ---------------------------------------------------------------------------------------

// A plan with a ceiling only: 10 units at once, 1 a second, all of it this gateway's.
Settings CeilingOnly() {
  Settings settings = SampleSettings();
  settings.counter.available = false;
  settings.plans = {Plan{"team", 0, 0, 1, 10, 0, 0, 1, 0, 0}};
  settings.gateways = 1;
  settings.own_index = 0;
  return settings;
}

struct Player {
  explicit Player(std::uint64_t seed) : gateway(CeilingOnly(), seed) {
    HostEntry host;
    host.host = HostId{1};
    Tell(HostList{HostListKind::kFull, 1, {host}});
  }
  std::vector<Action> Tell(const Event& event) {
    std::vector<Action> actions;
    gateway.handle(now, event, actions);
    return actions;
  }
  // How many of so many requests of one unit are sent to the host.
  int Sent(int requests) {
    int sent = 0;
    for (int i = 0; i < requests; ++i) {
      RequestArrived request;
      request.id = RequestId{++last};
      request.customer = "c";
      request.plan = "team";
      request.request_class = "read";
      request.time_left = std::chrono::seconds(1);
      for (const Action& action : Tell(request)) {
        if (!std::holds_alternative<SendAttempt>(action)) continue;
        ++sent;
        AttemptEnded ended;
        ended.id = request.id;
        ended.host = HostId{1};
        ended.closed = true;
        ended.latency = milliseconds(10);
        Tell(ended);
      }
    }
    return sent;
  }
  Gateway gateway;
  TimePoint now{std::chrono::hours(1000)};
  std::uint64_t last = 0;
};

// Guards rule 5 over an upgrade: what both processes let in together is what one may.
TEST(UpgradeOfTheModule, BothProcessesTogetherKeepOneCeiling) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Player old(seed), next(seed + 100);
    old.Sent(1);
    old.now += std::chrono::seconds(60);  // the part has filled up
    next.now = old.now;
    EXPECT_EQ(old.Sent(4), 4);
    const GatewaySnapshot memory = old.gateway.ExportState();
    next.gateway.ImportState(memory);
    EXPECT_EQ(old.Sent(20), 0) << "handed on";
    EXPECT_EQ(next.Sent(20), 6) << "what was left";
    next.now += std::chrono::seconds(3);
    EXPECT_EQ(next.Sent(20), 3);
  }
}

TEST(UpgradeOfTheModule, WhoServesAgainBeginsWithEmptyCeilings) {
  Player old(1);
  old.Sent(1);
  old.now += std::chrono::seconds(60);
  old.gateway.ExportState();
  old.now += std::chrono::seconds(5);
  old.gateway.ResumeServing(old.now);
  EXPECT_EQ(old.Sent(20), 0);
  old.now += std::chrono::seconds(2);
  EXPECT_EQ(old.Sent(20), 2);
}

// Guards rule 5 and the quotas over a change of plans: what was spent stays spent.
TEST(RetuningOfTheModule, AChangedPlanKeepsWhatWasSpent) {
  Player player(1);
  player.Sent(1);
  player.now += std::chrono::seconds(60);
  EXPECT_EQ(player.Sent(8), 8);  // of ten
  Settings larger = CeilingOnly();
  larger.plans[0].ceiling_burst = 100;
  player.Tell(SettingsChanged{std::make_shared<Settings>(larger)});
  EXPECT_EQ(player.Sent(20), 2);
  Settings smaller = CeilingOnly();
  smaller.plans[0].ceiling_burst = 3;
  player.now += std::chrono::seconds(60);
  player.Tell(SettingsChanged{std::make_shared<Settings>(smaller)});
  EXPECT_EQ(player.Sent(20), 3);
}

TEST(RetuningOfTheModule, AnOpenRequestKeepsItsAttempts) {
  Settings settings = CeilingOnly();
  settings.plans[0].ceiling_rate = 0;
  settings.limits.max_attempts = 3;
  Gateway gateway(settings, 1);
  TimePoint now{std::chrono::hours(1000)};
  std::vector<Action> actions;
  HostList list{HostListKind::kFull, 1, {}};
  for (std::uint64_t i = 1; i <= 4; ++i)
    list.entries.push_back({HostId{i}, "b", "", 0, HostState::kReady, 1, {}});
  gateway.handle(now, list, actions);
  const auto attempts = [&](std::uint64_t id, bool retuned) {
    RequestArrived request;
    request.id = RequestId{id};
    request.customer = "c";
    request.plan = "team";
    request.request_class = "read";
    request.time_left = std::chrono::seconds(1);
    actions.clear();
    gateway.handle(now, request, actions);
    int sent = 0;
    while (!actions.empty()) {
      const auto* send = std::get_if<SendAttempt>(&actions.front());
      if (send == nullptr) break;
      if (retuned && sent == 0) {
        Settings fewer = settings;
        fewer.limits.max_attempts = 1;
        std::vector<Action> none;
        gateway.handle(now, SettingsChanged{std::make_shared<Settings>(fewer)}, none);
      }
      AttemptEnded ended;
      ended.id = request.id;
      ended.attempt = sent++;
      ended.host = send->host;
      ended.outcome = Outcome::kConnectFailed;
      actions.clear();
      gateway.handle(now, ended, actions);
    }
    return sent;
  };
  EXPECT_EQ(attempts(1, false), 3);
  EXPECT_EQ(attempts(2, true), 3);
  EXPECT_EQ(attempts(3, false), 1);
}

}  // namespace
}  // namespace curlewdoor::handover
