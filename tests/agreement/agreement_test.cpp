#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>

#include "core_simulation.hpp"

namespace curlewdoor::agreement::test {
namespace {

std::string PlaySeed(std::uint64_t seed, Options options, const Mix& mix) {
  return World(seed, options, 3 + seed % 3, mix).Play(milliseconds(20000));
}

std::uint64_t Given(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Time from a fault to the next acknowledgement, of all runs.
std::string TimesOf(std::vector<Duration> times) {
  std::sort(times.begin(), times.end());
  auto at = [&times](double share) {
    auto i = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
    return std::to_string(times[i] / milliseconds(1));
  };
  return times.empty() ? "none" : at(0.5) + " / " + at(0.99) + " / " + at(1) + " ms";
}

// CURLEWDOOR_SEED, CURLEWDOOR_SEEDS: the first one, and how many of each mix.
void PlayMix(const char* name, const Mix& mix, std::uint64_t seeds) {
  std::uint64_t begin = Given("CURLEWDOOR_SEED", 0), acked = 0, epochs = 0, conflicts = 0, again = 0;
  seeds = Given("CURLEWDOOR_SEEDS", seeds);
  std::vector<Duration> times;
  for (std::uint64_t seed = begin; seed < begin + seeds; ++seed) {
    World world(seed, {}, 3 + seed % 3, mix);
    std::string broken = world.Play(milliseconds(20000));
    acked += world.acked();
    epochs += world.epochs();
    conflicts += world.conflicts();
    again += world.confirmed_again();
    times.insert(times.end(), world.to_next().begin(), world.to_next().end());
    BOOST_CHECK_MESSAGE(broken.empty(), name << ", seed " << seed << ": " << broken);
  }
  BOOST_TEST_MESSAGE(name << ": " << seeds << " seeds, " << acked << " acknowledged, " << again
                          << " of them again, " << conflicts << " conflicts, " << epochs
                          << " epochs; fault to next acknowledgement (median / 99% / longest) "
                          << TimesOf(std::move(times)));
  BOOST_TEST(acked > 20 * seeds);  // the trouble leaves something to lose
  BOOST_TEST(conflicts > seeds);
  BOOST_TEST(again > seeds);
  if (&mix == &kAllTroubles || &mix == &kMembers) BOOST_TEST(epochs > 4 * seeds);  // ... and rosters change
}

BOOST_AUTO_TEST_CASE(no_seed_breaks_a_promise) { PlayMix("all troubles", kAllTroubles, 150); }
BOOST_AUTO_TEST_CASE(disks_and_power) { PlayMix("disks and power", kDisks, 50); }
BOOST_AUTO_TEST_CASE(cuts_and_slow_paths) { PlayMix("cuts and slow paths", kPaths, 50); }
BOOST_AUTO_TEST_CASE(wiped_and_replaced) { PlayMix("wiped and replaced", kMembers, 50); }

// Many proposers at once: each is refused now and then, and all have a clear answer soon.
BOOST_AUTO_TEST_CASE(eight_operators_at_once_all_get_clear_answers) {
  for (std::size_t machines : {3u, 5u, 8u}) {
    std::vector<Duration> times;
    for (std::uint64_t seed = 0; seed < 40; seed += 2) {  // odd ones have a further machine
      World world(seed, {}, machines);
      const std::string broken = world.Rush(10);
      BOOST_CHECK_MESSAGE(broken.empty(), machines << " members, seed " << seed << ": " << broken);
      BOOST_TEST(world.conflicts() == 40u);
      times.insert(times.end(), world.rush_times().begin(), world.rush_times().end());
    }
    BOOST_TEST_MESSAGE(machines << " members, eight orders at once, all clear (median / 99% / longest): "
                                << TimesOf(std::move(times)));
  }
}

// Every message to or from a machine that is brought the snapshot, and every write of its disk.
BOOST_AUTO_TEST_CASE(the_install_of_a_snapshot_may_be_hit_anywhere) {
  for (World::Hit how : {World::Hit::kLost, World::Hit::kDiesBefore, World::Hit::kDiesAfter}) {
    int event = 1;
    for (bool hit = true; event <= 1000; ++event) {
      const std::string broken = World(0, {}, 3).InstallHitAt(event, how, hit);
      BOOST_CHECK_MESSAGE(broken.empty(),
                          "event " << event << ", how " << static_cast<int>(how) << ": " << broken);
      if (!hit) break;
    }
    BOOST_TEST_MESSAGE("hit at " << event - 1 << " events, how " << static_cast<int>(how));
    BOOST_TEST((event > 20 && event < 1000));
  }
}

// Who doesn't see the seeds doesn't found a core of its own, and is taken into the one that the others found.
BOOST_AUTO_TEST_CASE(a_cut_at_the_first_start_makes_no_two_cores) {
  for (std::uint64_t seed = 0; seed < 20; seed += 2) {  // odd ones have a further machine
    std::string broken = World(seed, {}, 3).StartInCut(std::chrono::seconds(30));
    BOOST_CHECK_MESSAGE(broken.empty(), "seed " << seed << ": " << broken);
  }
}

BOOST_AUTO_TEST_CASE(a_calm_core_says_little) {
  for (std::size_t machines : {3u, 5u}) {
    World::Traffic said = World(0, {}, machines).Calm(std::chrono::seconds(60));
    BOOST_TEST_MESSAGE(machines << " members in calm: " << static_cast<double>(said.messages) / 60
                                << " messages, " << said.bytes / 60 << " bytes a second");
    BOOST_TEST(said.messages <= 60 * 8 * machines * machines);
  }
}

BOOST_AUTO_TEST_CASE(a_core_that_does_wrong_is_caught) {
  constexpr std::uint64_t kSeedsToSearch = 10000;
  using Fault = Options::Fault;
  // Replaced machines on slow paths: what shows an order that is accepted while sealed.
  const Mix slow_and_replaced{3, 4, 7, 8, 8, 9, 9, 11, 11, 12, 13};
  // Where the search begins: a little before the first seed that shows it, to save time.
  for (auto [fault, seed] : {std::pair<Fault, std::uint64_t>{Fault::kAckBeforeSync, 0},
                             {Fault::kAnyDisk, 851},
                             {Fault::kAcceptWhileSealed, 20748},
                             {Fault::kConfirmSecond, 0},
                             {Fault::kForgetOutcomes, 0},
                             {Fault::kBehind, 0},
                             {Fault::kReadOne, 0},
                             {Fault::kMajorityOfSeen, 0},
                             {Fault::kBallotForgotten, 2073}}) {
    const Mix& mix = fault == Fault::kAcceptWhileSealed ? slow_and_replaced : kAllTroubles;
    Options options;
    options.fault = fault;
    std::string broken;
    const std::uint64_t end = seed + kSeedsToSearch;
    while (seed < end && (broken.empty() || broken.starts_with("no Put")))
      broken = PlaySeed(seed++, options, mix);
    BOOST_TEST_MESSAGE("fault " << static_cast<int>(fault) << ", seed " << seed - 1 << ": " << broken);
    BOOST_TEST(!broken.empty());
  }
}

// A machine outside the roster is heard of as long as it is there: it takes a place that gets free later.
BOOST_AUTO_TEST_CASE(who_waits_outside_is_not_forgotten) {
  World world(0, {}, 3);
  BOOST_TEST(world.ReplaceAfter(std::chrono::seconds(10)) == "");
}

BOOST_AUTO_TEST_CASE(the_second_exchange_waits_until_the_members_are_complete) {
  BOOST_TEST(World(0, {}, 3).SecondExchangeWaits() == "");
  Options early;
  early.fault = Options::Fault::kChangeIncomplete;
  BOOST_TEST(World(0, early, 3).SecondExchangeWaits().starts_with("the second exchange doesn't wait"));
}

// One by one: g++ 12 warns of nested braces with strings.
Member MemberOf(const char* name, std::uint64_t disk) {
  Member member;
  member.life.node = name;
  member.life.disk = disk;
  member.address = std::string("10.0.0.1:7101") + name;
  return member;
}

Message MessageOf(Body body) {
  Message message;
  message.from = MemberOf("a", 1);
  message.id = 77;
  message.epoch = 3;
  message.body = std::move(body);
  return message;
}

std::vector<Message> Samples() {
  std::vector<Member> members;
  members.push_back(MemberOf("a", 1));
  members.push_back(MemberOf("b", ~0ull));
  Accepting accepting{{7, 8}, members};
  const Value value{9, std::string("{\"x\":\0}", 7)};
  const std::vector<OrderOutcome> outcomes{{7, {1, 2}, true}, {8, {3, 4}, false}};
  const Record record = RecordOf(value, {11, 6, outcomes});
  const Stamp stamp{3, {5, 6}};
  const std::vector<Body> bodies{Offer{members},
                                 OfferTaken{true, false},
                                 InstallEpoch{members, 2, stamp, record},
                                 InstallEpoch{members, 2, stamp, {}},
                                 Query{stamp},
                                 QueryReply{true, 3, stamp, {2, {1, 1}}},
                                 QueryReply{},
                                 Fetch{stamp},
                                 Fetched{stamp, true, record},
                                 Prepare{{5, 6}},
                                 Promised{true, {5, 6}, stamp},
                                 Promised{},
                                 Accept{{5, 6}, stamp, outcomes, value, {}},
                                 Accept{{5, 6}, stamp, {}, {}, record},
                                 Accepted{true, false, {5, 6}},
                                 PrepareEpoch{{5, 6}},
                                 EpochPromised{true, {5, 6}, accepting},
                                 EpochPromised{},
                                 AcceptEpoch{{5, 6}, members},
                                 EpochAccepted{true, {5, 6}, stamp},
                                 EpochAccepted{}};
  std::vector<Message> samples;
  for (const Body& body : bodies) samples.push_back(MessageOf(body));
  return samples;
}

BOOST_AUTO_TEST_CASE(messages_come_back_and_cut_ones_are_refused) {
  for (const Message& sample : Samples()) {
    std::string bytes = Encode(sample);
    BOOST_TEST((DecodeMessage(bytes) == sample));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      BOOST_TEST(!DecodeMessage(std::string_view(bytes).substr(0, size)));
    }
    BOOST_TEST(!DecodeMessage(bytes + "x"));
    std::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i) {  // foreign: refused, or some message; never more
      std::string other = bytes;
      other[random() % other.size()] = static_cast<char>(random());
      if (auto message = DecodeMessage(other)) BOOST_TEST((DecodeMessage(Encode(*message)) == message));
    }
  }
  BOOST_TEST(!DecodeMessage(std::string(100000, '\x9f')));  // arrays of arrays
  std::vector<Member> many(kMostMembers + 1);
  BOOST_TEST(!DecodeMessage(Encode(MessageOf(Offer{many}))));
  many.pop_back();
  BOOST_TEST(DecodeMessage(Encode(MessageOf(Offer{many}))).has_value());
}

ReadRecord ReaderOf(const std::map<std::string, std::string>& disk) {
  return [&disk](const std::string& key) -> std::optional<std::string> {
    const auto found = disk.find(key);
    return found == disk.end() ? std::nullopt : std::optional(found->second);
  };
}

State SampleState(std::size_t outcomes) {
  State state;
  state.roster.epoch = 4;
  state.roster.members.push_back(MemberOf("a", 1));
  state.roster.first_size = 3;
  state.promised = {1, 2};
  state.accepted = Accepting{{1, 2}, state.roster.members};
  state.bound.push_back(MemberOf("b", 3).life);
  state.register_promised = {9, 9};
  state.stamp = {4, {8, 8}};
  for (std::uint64_t version = 1; version <= outcomes; ++version)
    state.ledger.Append({version, ContentDigest(std::to_string(version)), version % 3 != 0});
  state.value = {outcomes, "five"};
  return state;
}

BOOST_AUTO_TEST_CASE(what_a_disk_holds_comes_back_and_what_is_cut_or_missing_is_refused) {
  for (std::size_t outcomes : {0u, 1u, 64u, 65u, 4096u, 4097u, 9000u}) {
    const State state = SampleState(outcomes);
    std::map<std::string, std::string> disk;
    for (auto& [key, bytes] : EncodeAll(state)) disk[key] = bytes;
    BOOST_TEST((DecodeState(ReaderOf(disk)) == state));
    BOOST_TEST(disk.size() <= 2 + kOutcomesKept / kOutcomesPerPage + 1);
    for (const auto& [key, bytes] : disk) {
      auto damaged = disk;
      // At every length, but for the records of thousands of outcomes.
      const std::size_t step = outcomes <= 1 ? 1 : 1 + bytes.size() / 50;
      for (std::size_t size = 0; size < bytes.size(); size += step) {
        damaged[key] = bytes.substr(0, size);
        BOOST_TEST(!DecodeState(ReaderOf(damaged)));
      }
      damaged.erase(key);
      if (key.starts_with(kPageKeys)) BOOST_TEST(!DecodeState(ReaderOf(damaged)));
    }
  }
  BOOST_TEST((DecodeState({}, {}) == State{}));
}

std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < hex.size(); at += 2)
    bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(at, 2)), nullptr, 16)));
  return bytes;
}

// Written by the last version without ballots: epoch 4 of a and b, sealed, version 5.
BOOST_AUTO_TEST_CASE(a_disk_from_before_ballots_is_read_and_messages_are_refused) {
  const std::string state = FromHex(
      "95019304929292c4016101c40d31302e302e302e313a373130319292c40162cfffffffffffffffffc40d31302e302e302e323a"
      "373130310392010292920102929292c4016101c40d31302e302e302e313a373130319292c40162cfffffffffffffffffc40d31"
      "302e302e302e323a373130319192c4016203");
  const std::string value = FromHex("92019205c40466697665");
  const auto read = DecodeState(state, value);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->roster.epoch == 4u);
  BOOST_TEST(read->roster.members.size() == 2u);
  BOOST_TEST(read->accepted.has_value());
  BOOST_TEST((read->value == Value{5, "five"}));
  BOOST_TEST((read->stamp == LegacyStamp({5, "five"})));
  BOOST_TEST(read->ledger.forgotten_below == 4u);  // what became of lower numbers isn't known
  BOOST_TEST(!DecodeMessage(FromHex("96019292c4016101c4017807040592920102920304")));
}

BOOST_AUTO_TEST_CASE(digests_are_the_published_ones) {
  BOOST_TEST(ToText(ContentDigest("")) == "930255c71472f66de6a825ba047f81a3");
  BOOST_TEST((ContentDigest("a") != ContentDigest(std::string("a\0", 2))));
}

// What an order meets, whatever came before it.
BOOST_AUTO_TEST_CASE(an_order_is_judged_by_what_is_known_of_its_number) {
  Record record;
  const auto apply = [&record](std::uint64_t version, const std::string& text) {
    return Apply(record, {version, text}, ContentDigest(text));
  };
  BOOST_TEST((apply(5, "x") == Verdict::kTaken));
  BOOST_TEST((apply(5, "x") == Verdict::kAgain));
  BOOST_TEST((apply(5, "y") == Verdict::kConflict));
  BOOST_TEST((apply(3, "z") == Verdict::kOvertaken));
  BOOST_TEST((apply(3, "z") == Verdict::kAgain));
  BOOST_TEST((apply(3, "x") == Verdict::kConflict));
  BOOST_TEST((apply(7, "x") == Verdict::kTaken));
  BOOST_TEST((apply(5, "x") == Verdict::kAgain));
  BOOST_TEST((record.value == Value{7, "x"}));
  for (std::uint64_t version = 100; version < 100 + kOutcomesKept; ++version) apply(version, "t");
  BOOST_TEST(record.ledger.entries.size() == kOutcomesKept);
  BOOST_TEST(record.ledger.forgotten_below == 7u);
  BOOST_TEST((apply(5, "x") == Verdict::kForgotten));
  BOOST_TEST((apply(4, "x") == Verdict::kForgotten));
  BOOST_TEST((apply(50, "x") == Verdict::kOvertaken));
}

// An order to forget: what it asks for, and that the rest go on as the next roster.
BOOST_AUTO_TEST_CASE(a_member_is_forgotten_by_order) {
  for (bool forced : {false, true}) {
    const std::size_t size = 3;
    Options options;
    options.least_members = 3;
    State state;
    state.roster.epoch = 4;
    state.roster.first_size = 3;
    for (const char* name : {"a", "b", "c"}) state.roster.members.push_back(MemberOf(name, 1));
    const std::vector<Member> members = state.roster.members;
    std::vector<Core> cores;
    for (std::size_t i = 0; i < size; ++i) cores.emplace_back(members[i], false, state, options, i);
    Time now = Time{} + std::chrono::hours(1);
    // Carries between those that run until nobody says anything more; disks are quick.
    std::function<void(std::size_t, Out)> carry = [&](std::size_t from, Out out) {
      for (const Write& write : out.writes) {
        Out more;
        cores[from].OnWritten(now, write.id, true, more);
        carry(from, std::move(more));
      }
      for (const Sending& s : out.sends) {
        for (std::size_t to = 0; to < 2; ++to) {
          if (members[to].life != s.to.life) continue;
          Out more;
          cores[to].OnMessage(now, s.message, more);
          carry(to, std::move(more));
        }
      }
    };
    auto tick = [&](bool third) {
      now += milliseconds(50);
      for (std::size_t i = 0; i < 2; ++i) {
        Out out;
        cores[i].OnView(now, {{members[0], true}, {members[1], true}, {members[2], third}}, out);
        cores[i].Tick(now, out);
        carry(i, std::move(out));
      }
    };
    auto forget = [&](const char* name) {
      Out out;
      Forgetting verdict = cores[0].Forget(now, name, forced, out);
      carry(0, std::move(out));
      return verdict;
    };
    BOOST_TEST((forget("c") == Forgetting::kNoMajority));  // nobody has answered yet
    for (int i = 0; i < 10; ++i) tick(true);
    BOOST_TEST((forget("d") == Forgetting::kNoMember));
    BOOST_TEST((forget("a") == Forgetting::kItself));
    BOOST_TEST((forget("b") == Forgetting::kAlive));
    BOOST_TEST((forget("c") == Forgetting::kAlive));
    tick(false);
    BOOST_TEST((forget("c") == (forced ? Forgetting::kProposed : Forgetting::kTooFew)));
    for (int i = 0; i < 10; ++i) tick(false);
    for (std::size_t i = 0; i < 2; ++i) {
      BOOST_TEST(cores[i].roster().epoch == (forced ? 5u : 4u));
      BOOST_TEST(cores[i].roster().members.size() == (forced ? 2u : 3u));
    }
    BOOST_TEST((forget("c") == (forced ? Forgetting::kNoMember : Forgetting::kTooFew)));
  }
}

BOOST_AUTO_TEST_CASE(calls_have_bounds) {
  Core outside(MemberOf("a", 1), false, {}, {}, 1);
  Out out;
  Time now{};
  outside.Put(now, 1, {1, "x"}, out);
  BOOST_TEST((out.done.at(0).outcome == Outcome::kNoMajority));
  outside.Put(now, 2, {1, std::string(kMostText + 1, 'x')}, out);
  BOOST_TEST((out.done.at(1).outcome == Outcome::kFailed));
  State state;
  state.roster.epoch = 1;
  state.roster.members.push_back(MemberOf("a", 1));
  state.roster.members.push_back(MemberOf("b", 1));
  Core alone(MemberOf("a", 1), false, state, {}, 1);
  out = {};
  for (std::uint64_t call = 0; call < Core::kMostCalls; ++call) alone.Get(now, call, out);
  BOOST_TEST(out.done.empty());
  alone.Get(now, 99, out);
  BOOST_TEST((out.done.at(0).outcome == Outcome::kFailed));
  out = {};
  alone.Tick(now + std::chrono::seconds(1), out);
  BOOST_TEST(out.done.size() == Core::kMostCalls);
  BOOST_TEST(!alone.majority(now + std::chrono::seconds(1)));
}

}  // namespace
}  // namespace curlewdoor::agreement::test
