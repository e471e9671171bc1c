#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>

#include "core_simulation.hpp"

namespace curlewdoor::agreement::test {
namespace {

std::string RunSeed(std::uint64_t seed, CoreOptions options, const FaultMix& faults) {
  return CoreSimulation(seed, options, 3 + seed % 3, faults).RunWithFaults(milliseconds(20000));
}

std::uint64_t EnvNumber(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// Median, 99th percentile and maximum of these times.
std::string Percentiles(std::vector<Duration> times) {
  std::sort(times.begin(), times.end());
  auto at = [&times](double share) {
    auto i = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
    return std::to_string(times[i] / milliseconds(1));
  };
  return times.empty() ? "none" : at(0.5) + " / " + at(0.99) + " / " + at(1) + " ms";
}

// CURLEWDOOR_SEED sets the first seed, CURLEWDOOR_SEEDS the number of seeds per fault mix.
void RunMix(const char* name, const FaultMix& faults, std::uint64_t seeds) {
  std::uint64_t begin = EnvNumber("CURLEWDOOR_SEED", 0), acknowledged = 0, epochs = 0, conflicts = 0,
                again = 0;
  seeds = EnvNumber("CURLEWDOOR_SEEDS", seeds);
  std::vector<Duration> times;
  for (std::uint64_t seed = begin; seed < begin + seeds; ++seed) {
    CoreSimulation simulation(seed, {}, 3 + seed % 3, faults);
    std::string failure = simulation.RunWithFaults(milliseconds(20000));
    acknowledged += simulation.acknowledged();
    epochs += simulation.epochs();
    conflicts += simulation.conflicts();
    again += simulation.confirmed_again();
    times.insert(times.end(), simulation.recovery_times().begin(), simulation.recovery_times().end());
    BOOST_CHECK_MESSAGE(failure.empty(), name << ", seed " << seed << ": " << failure);
  }
  BOOST_TEST_MESSAGE(name << ": " << seeds << " seeds, " << acknowledged << " acknowledged, " << again
                          << " of them repeated, " << conflicts << " conflicts, " << epochs
                          << " epochs; fault to next acknowledgement (median / 99% / longest) "
                          << Percentiles(std::move(times)));
  BOOST_TEST(acknowledged > 20 * seeds);  // enough puts succeed despite the faults
  BOOST_TEST(conflicts > seeds);
  BOOST_TEST(again > seeds);
  if (&faults == &kAllFaults || &faults == &kMembershipFaults)
    BOOST_TEST(epochs > 4 * seeds);  // ... and memberships change
}

BOOST_AUTO_TEST_CASE(no_seed_breaks_a_promise) { RunMix("all faults", kAllFaults, 150); }
BOOST_AUTO_TEST_CASE(disks_and_power) { RunMix("disks and power", kDiskFaults, 50); }
BOOST_AUTO_TEST_CASE(cuts_and_slow_paths) { RunMix("partitions and slow links", kNetworkFaults, 50); }
BOOST_AUTO_TEST_CASE(wiped_and_replaced) { RunMix("wiped and replaced", kMembershipFaults, 50); }

// With many concurrent proposers ballots are refused now and then, but every put gets a clear answer soon.
BOOST_AUTO_TEST_CASE(eight_operators_at_once_all_get_clear_answers) {
  for (std::size_t machines : {3u, 5u, 8u}) {
    std::vector<Duration> times;
    for (std::uint64_t seed = 0; seed < 40; seed += 2) {  // odd seeds add a machine
      CoreSimulation simulation(seed, {}, machines);
      const std::string failure = simulation.ConcurrentPuts(10);
      BOOST_CHECK_MESSAGE(failure.empty(), machines << " members, seed " << seed << ": " << failure);
      BOOST_TEST(simulation.conflicts() == 40u);
      times.insert(times.end(), simulation.round_times().begin(), simulation.round_times().end());
    }
    BOOST_TEST_MESSAGE(machines << " members, eight puts at once, all clear (median / 99% / longest): "
                                << Percentiles(std::move(times)));
  }
}

// Interrupts every message to or from a machine that receives the snapshot, and every write of its disk.
BOOST_AUTO_TEST_CASE(the_install_of_a_snapshot_may_be_hit_anywhere) {
  for (CoreSimulation::Interruption kind :
       {CoreSimulation::Interruption::kLost, CoreSimulation::Interruption::kCrashBefore,
        CoreSimulation::Interruption::kCrashAfter}) {
    int event = 1;
    for (bool interrupted = true; event <= 1000; ++event) {
      const std::string failure = CoreSimulation(0, {}, 3).InterruptInstallAt(event, kind, interrupted);
      BOOST_CHECK_MESSAGE(failure.empty(),
                          "event " << event << ", kind " << static_cast<int>(kind) << ": " << failure);
      if (!interrupted) break;
    }
    BOOST_TEST_MESSAGE("interrupted at " << event - 1 << " events, kind " << static_cast<int>(kind));
    BOOST_TEST((event > 20 && event < 1000));
  }
}

// A machine that does not see the seeds must not start a core of its own, and joins the core that the others
// have started.
BOOST_AUTO_TEST_CASE(a_cut_at_the_first_start_makes_no_two_cores) {
  for (std::uint64_t seed = 0; seed < 20; seed += 2) {  // odd seeds add a machine
    std::string failure = CoreSimulation(seed, {}, 3).StartPartitioned(std::chrono::seconds(30));
    BOOST_CHECK_MESSAGE(failure.empty(), "seed " << seed << ": " << failure);
  }
}

BOOST_AUTO_TEST_CASE(an_idle_core_sends_few_messages) {
  for (std::size_t machines : {3u, 5u}) {
    CoreSimulation::Traffic traffic = CoreSimulation(0, {}, machines).MeasureIdle(std::chrono::seconds(60));
    BOOST_TEST_MESSAGE(machines << " idle members: " << static_cast<double>(traffic.messages) / 60
                                << " messages, " << traffic.bytes / 60 << " bytes a second");
    BOOST_TEST(traffic.messages <= 60 * 8 * machines * machines);
  }
}

BOOST_AUTO_TEST_CASE(a_faulty_core_is_caught) {
  constexpr std::uint64_t kSeedsToSearch = 10000;
  using Fault = CoreOptions::Fault;
  // Replaced machines on slow links reveal a put that is accepted while sealed.
  const FaultMix slow_and_replaced{3, 4, 7, 8, 8, 9, 9, 11, 11, 12, 13};
  // The search starts a little before the first seed that reveals the fault, to save time.
  for (auto [fault, seed] : {std::pair<Fault, std::uint64_t>{Fault::kAckBeforeSync, 0},
                             {Fault::kIgnoreIncarnation, 1000},
                             {Fault::kAcceptWhileSealed, 25100},
                             {Fault::kConfirmConflictingPut, 0},
                             {Fault::kSnapshotWithoutOutcomes, 0},
                             {Fault::kProposeFromLocalRecord, 0},
                             {Fault::kReadWithoutQuorum, 0},
                             {Fault::kMajorityOfVisible, 0},
                             {Fault::kPromiseNotPersisted, 3270}}) {
    const FaultMix& faults = fault == Fault::kAcceptWhileSealed ? slow_and_replaced : kAllFaults;
    CoreOptions options;
    options.fault = fault;
    std::string failure;
    const std::uint64_t end = seed + kSeedsToSearch;
    while (seed < end && (failure.empty() || failure.starts_with("no Put")))
      failure = RunSeed(seed++, options, faults);
    BOOST_TEST_MESSAGE("fault " << static_cast<int>(fault) << ", seed " << seed - 1 << ": " << failure);
    BOOST_TEST(!failure.empty());
  }
}

// A spare stays known as long as it is present, and fills a place that becomes vacant later.
BOOST_AUTO_TEST_CASE(a_spare_is_not_forgotten) {
  CoreSimulation simulation(0, {}, 3);
  BOOST_TEST(simulation.ReplaceAfter(std::chrono::seconds(10)) == "");
}

BOOST_AUTO_TEST_CASE(the_second_replacement_waits_until_the_members_are_complete) {
  BOOST_TEST(CoreSimulation(0, {}, 3).SecondReplacementWaits() == "");
  CoreOptions early;
  early.fault = CoreOptions::Fault::kChangeBeforeComplete;
  BOOST_TEST(CoreSimulation(0, early, 3)
                 .SecondReplacementWaits()
                 .starts_with("the second replacement does not wait"));
}

// Assigned field by field: g++ 12 warns about nested braces with strings.
Member MemberOf(const char* name, std::uint64_t disk) {
  Member member;
  member.incarnation.node = name;
  member.incarnation.number = disk;
  member.address = std::string("10.0.0.1:7101") + name;
  return member;
}

CoreMessage MessageOf(CoreMessageBody body) {
  CoreMessage message;
  message.from = MemberOf("a", 1);
  message.id = 77;
  message.epoch = 3;
  message.body = std::move(body);
  return message;
}

std::vector<CoreMessage> Samples() {
  std::vector<Member> members;
  members.push_back(MemberOf("a", 1));
  members.push_back(MemberOf("b", ~0ull));
  AcceptedProposal accepting{{7, 8}, members};
  const ConfigValue value{9, std::string("{\"x\":\0}", 7)};
  const std::vector<PutOutcome> outcomes{{7, {1, 2}, true}, {8, {3, 4}, false}};
  const Record record = MakeRecord(value, {11, 6, outcomes});
  const Stamp stamp{3, {5, 6}};
  const std::vector<CoreMessageBody> bodies{MembershipOffer{members},
                                            MembershipOfferReply{true, false},
                                            InstallEpoch{members, 2, stamp, record},
                                            InstallEpoch{members, 2, stamp, {}},
                                            StatusQuery{stamp},
                                            StatusReply{true, 3, stamp, {2, {1, 1}}},
                                            StatusReply{},
                                            RecordRequest{stamp},
                                            RecordReply{stamp, true, record},
                                            RegisterPrepare{{5, 6}},
                                            RegisterPromise{true, {5, 6}, stamp},
                                            RegisterPromise{},
                                            RegisterAccept{{5, 6}, stamp, outcomes, value, {}},
                                            RegisterAccept{{5, 6}, stamp, {}, {}, record},
                                            RegisterAccepted{true, false, {5, 6}},
                                            EpochPrepare{{5, 6}},
                                            EpochPromise{true, {5, 6}, accepting},
                                            EpochPromise{},
                                            EpochAccept{{5, 6}, members},
                                            EpochAccepted{true, {5, 6}, stamp},
                                            EpochAccepted{}};
  std::vector<CoreMessage> samples;
  for (const CoreMessageBody& body : bodies) samples.push_back(MessageOf(body));
  return samples;
}

BOOST_AUTO_TEST_CASE(messages_come_back_and_cut_ones_are_refused) {
  for (const CoreMessage& sample : Samples()) {
    std::string bytes = Encode(sample);
    BOOST_TEST((DecodeMessage(bytes) == sample));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      BOOST_TEST(!DecodeMessage(std::string_view(bytes).substr(0, size)));
    }
    BOOST_TEST(!DecodeMessage(bytes + "x"));
    std::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i) {  // corrupted input is rejected or decodes to some message
      std::string other = bytes;
      other[random() % other.size()] = static_cast<char>(random());
      if (auto message = DecodeMessage(other)) BOOST_TEST((DecodeMessage(Encode(*message)) == message));
    }
  }
  BOOST_TEST(!DecodeMessage(std::string(100000, '\x9f')));  // deeply nested arrays
  std::vector<Member> many(kMaxMembers + 1);
  BOOST_TEST(!DecodeMessage(Encode(MessageOf(MembershipOffer{many}))));
  many.pop_back();
  BOOST_TEST(DecodeMessage(Encode(MessageOf(MembershipOffer{many}))).has_value());
}

ReadRecord ReaderOf(const std::map<std::string, std::string>& disk) {
  return [&disk](const std::string& key) -> std::optional<std::string> {
    const auto found = disk.find(key);
    return found == disk.end() ? std::nullopt : std::optional(found->second);
  };
}

CoreState SampleState(std::size_t outcomes) {
  CoreState state;
  state.membership.epoch = 4;
  state.membership.members.push_back(MemberOf("a", 1));
  state.membership.initial_size = 3;
  state.promised = {1, 2};
  state.accepted = AcceptedProposal{{1, 2}, state.membership.members};
  state.accepted_proposers.push_back(MemberOf("b", 3).incarnation);
  state.register_promised = {9, 9};
  state.stamp = {4, {8, 8}};
  for (std::uint64_t version = 1; version <= outcomes; ++version)
    state.outcome_log.Append({version, ContentDigest(std::to_string(version)), version % 3 != 0});
  state.value = {outcomes, "five"};
  return state;
}

BOOST_AUTO_TEST_CASE(what_a_disk_holds_comes_back_and_what_is_cut_or_missing_is_refused) {
  for (std::size_t outcomes : {0u, 1u, 64u, 65u, 4096u, 4097u, 9000u}) {
    const CoreState state = SampleState(outcomes);
    std::map<std::string, std::string> disk;
    for (auto& [key, bytes] : EncodeAll(state)) disk[key] = bytes;
    BOOST_TEST((DecodeState(ReaderOf(disk)) == state));
    BOOST_TEST(disk.size() <= 2 + kMaxOutcomes / kOutcomesPerPage + 1);
    for (const auto& [key, bytes] : disk) {
      auto damaged = disk;
      // Truncated at every length, or at some lengths for records of thousands of outcomes.
      const std::size_t step = outcomes <= 1 ? 1 : 1 + bytes.size() / 50;
      for (std::size_t size = 0; size < bytes.size(); size += step) {
        damaged[key] = bytes.substr(0, size);
        BOOST_TEST(!DecodeState(ReaderOf(damaged)));
      }
      damaged.erase(key);
      if (key.starts_with(kPageKeyPrefix)) BOOST_TEST(!DecodeState(ReaderOf(damaged)));
    }
  }
  BOOST_TEST((DecodeState({}, {}) == CoreState{}));
}

std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < hex.size(); at += 2)
    bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(at, 2)), nullptr, 16)));
  return bytes;
}

// Written by the last version without ballots: epoch 4 with members a and b, sealed, version 5.
BOOST_AUTO_TEST_CASE(a_disk_from_before_ballots_is_read_and_messages_are_refused) {
  const std::string state = FromHex(
      "95019304929292c4016101c40d31302e302e302e313a373130319292c40162cfffffffffffffffffc40d31302e302e302e323a"
      "373130310392010292920102929292c4016101c40d31302e302e302e313a373130319292c40162cfffffffffffffffffc40d31"
      "302e302e302e323a373130319192c4016203");
  const std::string value = FromHex("92019205c40466697665");
  const auto read = DecodeState(state, value);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->membership.epoch == 4u);
  BOOST_TEST(read->membership.members.size() == 2u);
  BOOST_TEST(read->accepted.has_value());
  BOOST_TEST((read->value == ConfigValue{5, "five"}));
  BOOST_TEST((read->stamp == LegacyStamp({5, "five"})));
  BOOST_TEST(read->outcome_log.highest_evicted == 4u);  // the outcomes of lower versions are unknown
  BOOST_TEST(!DecodeMessage(FromHex("96019292c4016101c4017807040592920102920304")));
}

BOOST_AUTO_TEST_CASE(digests_are_the_published_ones) {
  BOOST_TEST(ToText(ContentDigest("")) == "930255c71472f66de6a825ba047f81a3");
  BOOST_TEST((ContentDigest("a") != ContentDigest(std::string("a\0", 2))));
}

// The decision on a put depends only on what is known about its version.
BOOST_AUTO_TEST_CASE(a_put_is_decided_by_what_is_known_of_its_version) {
  Record record;
  const auto apply = [&record](std::uint64_t version, const std::string& text) {
    return ApplyPut(record, {version, text}, ContentDigest(text));
  };
  BOOST_TEST((apply(5, "x") == PutDecision::kApplied));
  BOOST_TEST((apply(5, "x") == PutDecision::kDuplicate));
  BOOST_TEST((apply(5, "y") == PutDecision::kConflict));
  BOOST_TEST((apply(3, "z") == PutDecision::kRecordedWithoutEffect));
  BOOST_TEST((apply(3, "z") == PutDecision::kDuplicate));
  BOOST_TEST((apply(3, "x") == PutDecision::kConflict));
  BOOST_TEST((apply(7, "x") == PutDecision::kApplied));
  BOOST_TEST((apply(5, "x") == PutDecision::kDuplicate));
  BOOST_TEST((record.value == ConfigValue{7, "x"}));
  for (std::uint64_t version = 100; version < 100 + kMaxOutcomes; ++version) apply(version, "t");
  BOOST_TEST(record.outcome_log.entries.size() == kMaxOutcomes);
  BOOST_TEST(record.outcome_log.highest_evicted == 7u);
  BOOST_TEST((apply(5, "x") == PutDecision::kUnknown));
  BOOST_TEST((apply(4, "x") == PutDecision::kUnknown));
  BOOST_TEST((apply(50, "x") == PutDecision::kRecordedWithoutEffect));
}

// An operator's request to forget a member: the cases in which it is refused, and that the remaining members
// form the next epoch.
BOOST_AUTO_TEST_CASE(a_member_is_forgotten_by_order) {
  for (bool forced : {false, true}) {
    const std::size_t size = 3;
    CoreOptions options;
    options.min_members = 3;
    CoreState state;
    state.membership.epoch = 4;
    state.membership.initial_size = 3;
    for (const char* name : {"a", "b", "c"}) state.membership.members.push_back(MemberOf(name, 1));
    const std::vector<Member> members = state.membership.members;
    std::vector<Core> cores;
    for (std::size_t i = 0; i < size; ++i) cores.emplace_back(members[i], false, state, options, i);
    Time now = Time{} + std::chrono::hours(1);
    // Delivers messages between the running members until there are no more; writes succeed at once.
    std::function<void(std::size_t, CoreOutput)> process = [&](std::size_t from, CoreOutput out) {
      for (const StorageWrite& write : out.writes) {
        CoreOutput more;
        cores[from].OnWritten(now, write.id, true, more);
        process(from, std::move(more));
      }
      for (const OutgoingMessage& s : out.sends) {
        for (std::size_t to = 0; to < 2; ++to) {
          if (members[to].incarnation != s.to.incarnation) continue;
          CoreOutput more;
          cores[to].OnMessage(now, s.message, more);
          process(to, std::move(more));
        }
      }
    };
    auto tick = [&](bool third) {
      now += milliseconds(50);
      for (std::size_t i = 0; i < 2; ++i) {
        CoreOutput out;
        cores[i].OnView(now, {{members[0], true}, {members[1], true}, {members[2], third}}, out);
        cores[i].Tick(now, out);
        process(i, std::move(out));
      }
    };
    auto forget = [&](const char* name) {
      CoreOutput out;
      ForgetResult decision = cores[0].Forget(now, name, forced, out);
      process(0, std::move(out));
      return decision;
    };
    BOOST_TEST((forget("c") == ForgetResult::kNoMajority));  // no member has replied yet
    for (int i = 0; i < 10; ++i) tick(true);
    BOOST_TEST((forget("d") == ForgetResult::kNoMember));
    BOOST_TEST((forget("a") == ForgetResult::kItself));
    BOOST_TEST((forget("b") == ForgetResult::kAlive));
    BOOST_TEST((forget("c") == ForgetResult::kAlive));
    tick(false);
    BOOST_TEST((forget("c") == (forced ? ForgetResult::kProposed : ForgetResult::kTooFew)));
    for (int i = 0; i < 10; ++i) tick(false);
    for (std::size_t i = 0; i < 2; ++i) {
      BOOST_TEST(cores[i].membership().epoch == (forced ? 5u : 4u));
      BOOST_TEST(cores[i].membership().members.size() == (forced ? 2u : 3u));
    }
    BOOST_TEST((forget("c") == (forced ? ForgetResult::kNoMember : ForgetResult::kTooFew)));
  }
}

BOOST_AUTO_TEST_CASE(calls_have_bounds) {
  Core outside(MemberOf("a", 1), false, {}, {}, 1);
  CoreOutput out;
  Time now{};
  outside.Put(now, 1, {1, "x"}, out);
  BOOST_TEST((out.results.at(0).outcome == CallOutcome::kNoMajority));
  outside.Put(now, 2, {1, std::string(kMaxTextBytes + 1, 'x')}, out);
  BOOST_TEST((out.results.at(1).outcome == CallOutcome::kFailed));
  CoreState state;
  state.membership.epoch = 1;
  state.membership.members.push_back(MemberOf("a", 1));
  state.membership.members.push_back(MemberOf("b", 1));
  Core alone(MemberOf("a", 1), false, state, {}, 1);
  out = {};
  for (std::uint64_t call = 0; call < Core::kMaxCalls; ++call) alone.Get(now, call, out);
  BOOST_TEST(out.results.empty());
  alone.Get(now, 99, out);
  BOOST_TEST((out.results.at(0).outcome == CallOutcome::kFailed));
  out = {};
  alone.Tick(now + std::chrono::seconds(1), out);
  BOOST_TEST(out.results.size() == Core::kMaxCalls);
  BOOST_TEST(!alone.majority(now + std::chrono::seconds(1)));
}

}  // namespace
}  // namespace curlewdoor::agreement::test
