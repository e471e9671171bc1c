#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <vector>

#include "wire/codec.hpp"

namespace curlewdoor::wire {
namespace {

Batch ReadOne(const std::string& text) {
  std::istringstream in(text);
  BatchReader reader(in);
  Batch batch;
  EXPECT_EQ(reader.Next(batch), ReadResult::kBatch) << reader.error();
  return batch;
}

std::string ErrorOf(const std::string& body) {
  std::istringstream in(body);
  BatchReader reader(in);
  Batch batch;
  EXPECT_EQ(reader.Next(batch), ReadResult::kMalformed) << body;
  return reader.error();
}

std::string ErrorOfLine(const std::string& line) {
  return ErrorOf("ROUND time_ns=1\nON i=3\n" + line + "\nEOB\n");
}

template <typename E>
E OneEvent(const std::string& line) {
  const Batch batch = ReadOne("ROUND time_ns=5\nON i=3\n" + line + "\nEOB\n");
  EXPECT_EQ(batch.entries.size(), 1u);
  return std::get<E>(std::get<Event>(batch.entries.at(0).message));
}

std::string Written(const Action& action) {
  std::string out;
  AppendAction(action, out);
  return out;
}

TEST(Batches, EmptyOneAndEndOfInput) {
  std::istringstream in("ROUND time_ns=8412250000\nEOB\n\nROUND time_ns=8412250001\nEOB\n");
  BatchReader reader(in);
  Batch batch;
  ASSERT_EQ(reader.Next(batch), ReadResult::kBatch);
  EXPECT_EQ(batch.now.time_since_epoch().count(), 8412250000);
  EXPECT_TRUE(batch.entries.empty());
  EXPECT_EQ(reader.Next(batch), ReadResult::kBatch);
  EXPECT_EQ(reader.Next(batch), ReadResult::kEnd);
}

TEST(Batches, LinesBelongToTheInstanceNamedLast) {
  const Batch batch =
      ReadOne("ROUND time_ns=1\nON i=3\nTIMER ctx=77\nON i=5\nLEFT ticket=9\nTIMER ctx=1\nEOB\n");
  ASSERT_EQ(batch.entries.size(), 3u);
  EXPECT_EQ(batch.entries[0].instance, 3u);
  EXPECT_EQ(batch.entries[1].instance, 5u);
  EXPECT_EQ(batch.entries[2].instance, 5u);
}

TEST(Batches, ManyEvents) {
  std::string text = "ROUND time_ns=1\nON i=0\n";
  for (int i = 0; i < 50'000; ++i) text += "TIMER ctx=" + std::to_string(i) + "\n";
  EXPECT_EQ(ReadOne(text + "EOB\n").entries.size(), 50'000u);
}

TEST(Batches, StopAndStartInOne) {
  const Batch batch = ReadOne(
      "ROUND time_ns=1\nON i=0\nDETACH\nPROVISION random_seed=4 me=1\nMEMBERS scope=disk seq_no=1 "
      "lines=0\nEOB\n");
  ASSERT_EQ(batch.entries.size(), 3u);
  EXPECT_TRUE(std::holds_alternative<Stopped>(batch.entries[0].message));
  EXPECT_TRUE(std::holds_alternative<Started>(batch.entries[1].message));
}

TEST(Events, RequestWithFieldsInAnyOrderAndUnknownOnes) {
  const auto r = OneEvent<RequestArrived>(
      "REQUEST user_key=u:a=b later=7 size_units=2.5 ticket=4294967295 bitmap=6 type=article-read "
      "contract=kecil "
      "spread=3 set_from=1 patience_left_ns=240000000");
  EXPECT_EQ(r.id.value, 4294967295u);
  EXPECT_EQ(r.customer, "u:a=b");
  EXPECT_EQ(r.plan, "kecil");
  EXPECT_EQ(r.request_class, "article-read");
  EXPECT_DOUBLE_EQ(r.units, 2.5);
  EXPECT_EQ(r.set_size, 3);
  EXPECT_EQ(r.set_first, 1);
  EXPECT_TRUE(r.is_retry);
  EXPECT_TRUE(r.is_write);
  EXPECT_EQ(r.time_left, std::chrono::milliseconds(240));
}

TEST(Events, AbsentFieldsTakeTheirDefaults) {
  const auto r = OneEvent<RequestArrived>("REQUEST ticket=1 type=x patience_left_ns=9");
  EXPECT_EQ(r.set_size, 1);
  EXPECT_DOUBLE_EQ(r.units, 1);
  EXPECT_FALSE(r.is_retry);
  EXPECT_TRUE(r.customer.empty());
}

TEST(Events, EveryOutcome) {
  const std::vector<std::pair<std::string, Outcome>> all{{"Ok", Outcome::kOk},
                                                         {"Failed", Outcome::kError},
                                                         {"QueueFull", Outcome::kQueueFull},
                                                         {"TimedOut", Outcome::kTimeout},
                                                         {"ConnectError", Outcome::kConnectFailed},
                                                         {"ResetByPeer", Outcome::kReset},
                                                         {"Canceled", Outcome::kCancelled},
                                                         {"Ignored", Outcome::kDiscarded}};
  for (const auto& [word, outcome] : all)
    EXPECT_EQ(OneEvent<AttemptEnded>("ANSWER ticket=1 host=2 how=" + word).outcome, outcome);
}

TEST(Events, AttemptEndedWithLoadReport) {
  const auto a = OneEvent<AttemptEnded>(
      "ANSWER ticket=1 fleet_use=86 actual=3 n=2 settled=1 lag_ns=18500000 host=51 how=Ok "
      "stats=inflight:3,queue:0.5");
  EXPECT_EQ(a.attempt, 2);
  EXPECT_TRUE(a.closed);
  EXPECT_DOUBLE_EQ(a.meter_reading, 86);
  EXPECT_DOUBLE_EQ(a.actual_units, 3);
  ASSERT_EQ(a.load.size(), 2u);
  EXPECT_EQ(a.load[1].name, "queue");
  EXPECT_DOUBLE_EQ(a.load[1].value, 0.5);
}

TEST(Events, HostListWithItsEntries) {
  const auto list = OneEvent<HostList>(
      "MEMBERS scope=disk seq_no=41 lines=2\n"
      "M host=51530247 dc=hall-a flavor=std-2c cell=0 availability=IN capacity_hint=1\n"
      "M host=747639282 dc=hall-b flavor=std-2c cell=4 availability=LAME capacity_hint=1.5 "
      "up_since_ns=6100000000");
  EXPECT_EQ(list.kind, HostListKind::kCached);
  EXPECT_EQ(list.version, 41u);
  ASSERT_EQ(list.entries.size(), 2u);
  EXPECT_EQ(list.entries[0].started, TimePoint{});
  EXPECT_EQ(list.entries[1].state, HostState::kDraining);
  EXPECT_EQ(list.entries[1].cell, 4);
  EXPECT_EQ(list.entries[1].started, TimePoint(std::chrono::milliseconds(6100)));
}

TEST(Events, TheOthers) {
  EXPECT_EQ(OneEvent<TimerFired>("TIMER ctx=9223372036854775808").token.value, 1ull << 63);
  EXPECT_EQ(OneEvent<RequestAbandoned>("LEFT ticket=7").id.value, 7u);
  EXPECT_EQ(OneEvent<AttemptStarted>("ACCEPTED ticket=7 n=1 host=3 lag_ns=5").attempt, 1);
  EXPECT_EQ(OneEvent<ProbeEnded>("HEALTH host=3 how=TimedOut lag_ns=5").outcome, Outcome::kTimeout);
  EXPECT_EQ(OneEvent<PeerMessage>("NOTE_FROM from=2 content=aGkgNw==").data, "hi 7");
  const auto c = OneEvent<CounterReply>("COUNTED how=Ok lag_ns=2150000 total=38.5 entry_name=9041552");
  EXPECT_EQ(c.name.value, 9041552u);
  EXPECT_DOUBLE_EQ(c.total, 38.5);
}

TEST(Settings, NestedOnesAndUnknownKeys) {
  const Batch batch = ReadOne(
      "ROUND time_ns=1\nON i=3\n"
      "PROVISION random_seed=5138197539985895 azs=hall-a,hall-b discovery=on_request "
      "domain.count_wait_ns=30000000 "
      "domain.has_counter=true made.up.key=1 limits.max_attempts=5 limits.second_copies=true me=1 kinds= "
      "request_classes.count=2 request_classes.0.aim_ns=400000000 request_classes.1.effect=idempotency_key "
      "request_classes.1.group=cell request_classes.0.effect=read_like request_classes.1.newish=2 "
      "stats.columns=inflight,queue stats.how=on_probe rules.cold_from=0.18 siblings=2 tariffs.count=1 "
      "tariffs.0.never_over_rate=35.0 tariffs.0.concurrency=3 weight_kind=rough zone=hall-b\nEOB\n");
  const auto& started = std::get<Started>(batch.entries.at(0).message);
  const Settings& s = started.settings;
  EXPECT_EQ(started.seed, 5138197539985895u);
  EXPECT_EQ(s.zones, (std::vector<std::string>{"hall-a", "hall-b"}));
  EXPECT_EQ(s.discovery, DiscoveryMode::kSubscribe);
  EXPECT_EQ(s.counter.timeout, std::chrono::milliseconds(30));
  EXPECT_TRUE(s.counter.available);
  EXPECT_EQ(s.limits.max_attempts, 5);
  EXPECT_TRUE(s.limits.second_copies);
  EXPECT_TRUE(s.kinds.empty());
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].repeat, RepeatSafety::kSafe);
  EXPECT_EQ(s.classes[1].repeat, RepeatSafety::kKeyed);
  EXPECT_EQ(s.classes[1].dedup_scope, DedupScope::kCell);
  EXPECT_EQ(s.load_reports.mode, LoadReportMode::kOnProbe);
  EXPECT_EQ(s.load_reports.fields.size(), 2u);
  EXPECT_EQ(s.gateways, 2);
  ASSERT_EQ(s.plans.size(), 1u);
  EXPECT_DOUBLE_EQ(s.plans[0].ceiling_rate, 35);
  EXPECT_EQ(s.plans[0].max_concurrent, 3);
  EXPECT_EQ(s.capacity_hint, CapacityHint::kRough);
}

TEST(Settings, AnUnknownEffectIsTakenAsTheMostCareful) {
  const Batch batch =
      ReadOne("ROUND time_ns=1\nON i=3\nPROVISION random_seed=1 request_classes.0.effect=novel\nEOB\n");
  EXPECT_EQ(std::get<Started>(batch.entries.at(0).message).settings.classes.at(0).repeat,
            RepeatSafety::kUnsafe);
}

TEST(Malformed, NamesLineAndField) {
  EXPECT_EQ(ErrorOf("BATCH\n"), "line 1: expected ROUND");
  EXPECT_EQ(ErrorOf("ROUND\nEOB\n"), "line 1: ROUND: missing field: time_ns");
  EXPECT_EQ(ErrorOf("ROUND time_ns=1\nON i=3\n"), "line 2: input ends before EOB");
  EXPECT_EQ(ErrorOf("ROUND time_ns=1\nTIMER ctx=1\nEOB\n"), "line 2: TIMER: no ON line before it");
  EXPECT_EQ(ErrorOfLine("NOVEL a=1"), "line 3: unknown message: NOVEL");
  EXPECT_EQ(ErrorOfLine("LEFT"), "line 3: LEFT: missing field: ticket");
  EXPECT_EQ(ErrorOfLine("LEFT ticket=x"), "line 3: LEFT: bad number: ticket");
  EXPECT_EQ(ErrorOfLine("LEFT ticket"), "line 3: LEFT: not a name=value pair: ticket");
  EXPECT_EQ(ErrorOfLine("ANSWER ticket=1 host=2 how=Odd"), "line 3: ANSWER: unknown word: how");
  EXPECT_EQ(ErrorOfLine("ANSWER ticket=1 host=2 how=Ok settled=yes"), "line 3: ANSWER: bad bool: settled");
  EXPECT_EQ(ErrorOfLine("ANSWER ticket=1 host=2 how=Ok stats=inflight"),
            "line 3: ANSWER: bad load report: stats");
  EXPECT_EQ(ErrorOfLine("NOTE_FROM from=1 content=abc"), "line 3: NOTE_FROM: bad base64: content");
  EXPECT_EQ(ErrorOfLine("MEMBERS scope=disk lines=2\nM host=1 availability=IN"),
            "line 5: expected a host list line (M)");
  EXPECT_EQ(ErrorOfLine("MEMBERS scope=disk lines=1\nM host=1 availability=UP"),
            "line 4: M: unknown word: availability");
  EXPECT_EQ(ErrorOfLine("PROVISION me=1"), "line 3: PROVISION: missing field: random_seed");
  EXPECT_EQ(ErrorOfLine("PROVISION random_seed=1 me=one"), "line 3: PROVISION: bad setting: me");
  EXPECT_EQ(ErrorOfLine("PROVISION random_seed=1 tariffs.99999999.burst=1"),
            "line 3: PROVISION: bad setting: tariffs.99999999.burst");
}

TEST(Malformed, NumbersOutOfRangeAreNotGuessed) {
  EXPECT_EQ(ErrorOfLine("LEFT ticket=4294967296"), "line 3: LEFT: bad number: ticket");
  EXPECT_EQ(ErrorOfLine("LEFT ticket=-1"), "line 3: LEFT: bad number: ticket");
  EXPECT_EQ(ErrorOfLine("TIMER ctx=99999999999999999999999"), "line 3: TIMER: bad number: ctx");
  EXPECT_EQ(ErrorOfLine("COUNTED how=Ok entry_name=1 total=1e999"), "line 3: COUNTED: bad number: total");
  EXPECT_EQ(ErrorOfLine("COUNTED how=Ok entry_name=1 total=nan"), "line 3: COUNTED: bad number: total");
  EXPECT_EQ(ErrorOfLine("REQUEST ticket=1 type=a patience_left_ns=9223372036854775807"),
            "line 3: REQUEST: bad time: patience_left_ns");
  EXPECT_EQ(ErrorOfLine("MEMBERS scope=disk lines=4294967296"), "line 3: MEMBERS: bad number: lines");
}

TEST(Actions, EachIsWrittenAsTheWirePutsIt) {
  EXPECT_EQ(Written(SendAttempt{{1564119492}, {51530247}, TimePoint(Duration(8492250000))}),
            "ISSUE ticket=1564119492 host=51530247 expire_at_ns=8492250000\n");
  EXPECT_EQ(Written(SendAttempt{{1}, {2}, {}}), "ISSUE ticket=1 host=2\n");
  EXPECT_EQ(Written(CancelAttempt{{1}, 2}), "UNDO_SEND ticket=1 n=2\n");
  EXPECT_EQ(Written(RefuseRequest{{1}, Duration(5)}), "BOUNCE ticket=1 hold_off_ns=5\n");
  EXPECT_EQ(Written(RefuseRequest{{1}, {}}), "BOUNCE ticket=1\n");
  EXPECT_EQ(Written(FailRequest{{1}}), "END_FAILED ticket=1\n");
  EXPECT_EQ(Written(SetTimer{{77}, Duration(500000000)}), "NOTIFY_ME ctx=77 in_ns=500000000\n");
  EXPECT_EQ(Written(SendProbe{{4}}), "TEST host=4\n");
  EXPECT_EQ(Written(CloseIdle{{4}}), "SHUT_IDLE host=4\n");
  EXPECT_EQ(Written(SendToPeer{-1, "hi 7"}), "ANNOUNCE target=-1 content=aGkgNw==\n");
  EXPECT_EQ(Written(SendToPeer{2, ""}), "ANNOUNCE target=2 content=-\n");
  EXPECT_EQ(Written(WatchHosts{true}), "KEEP_INFORMED want=1\n");
  EXPECT_EQ(Written(WatchHosts{false}), "KEEP_INFORMED want=0\n");
  EXPECT_EQ(Written(FetchHostList{}), "PULL\n");
  EXPECT_EQ(Written(AddToCounter{{9041552}, Duration(3000000000), -2.5}),
            "BUMP entry_name=9041552 lifetime_ns=3000000000 add=-2.5\n");
  EXPECT_EQ(Written(WriteLogLine{"two\nlines"}), "NOTE_DOWN body_text=two lines\n");
  std::string out;
  AppendInstance(3, out);
  AppendFault("broken", out);
  AppendEndOfReply(out);
  EXPECT_EQ(out, "BY i=3\nDIE body_text=broken\nACK\n");
}

TEST(Base64, RoundTripsEveryLength) {
  std::string bytes;
  for (int n = 0; n < 70; ++n) {
    std::string back = "old";
    ASSERT_TRUE(DecodeBase64(EncodeBase64(bytes), back));
    EXPECT_EQ(back, bytes);
    bytes += static_cast<char>(n * 37);
  }
  EXPECT_EQ(EncodeBase64("ab"), "YWI=");
  EXPECT_FALSE(DecodeBase64("a=b=", bytes));
}

}  // namespace
}  // namespace curlewdoor::wire
