// A gateway's side of the feed, in virtual time: one question at a time, the newest only, another member
// after silence, a bounded pace, never back.
#include "system/config_feed.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

#include "system/config_source.hpp"
#include "util/text_delta.hpp"

namespace curlewdoor::system {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = ConfigFeed::Time;

const Time kStart = Time{} + seconds(100);

std::string TextOf(std::uint64_t version, std::size_t size = 500) {
  return "{\"config_version\":" + std::to_string(version) + "}" + std::string(size, 'x');
}
ConfigId IdOfVersion(std::uint64_t version, std::size_t size = 500) {
  return IdOf(version, TextOf(version, size));
}

Fetched Whole(const Fetch& fetch, std::uint64_t version) {
  const std::string text = TextOf(version);
  return {fetch.number, static_cast<std::uint8_t>(FetchOutcome::kWhole),
          version,      IdOf(version, text).digest,
          text.size(),  0,
          text};
}
Fetched Plain(const Fetch& fetch, FetchOutcome outcome, ConfigId id = {}) {
  return {fetch.number, static_cast<std::uint8_t>(outcome), id.version, id.digest, 0, 0, {}};
}

struct Gateway {
  explicit Gateway(const ConfigFeed::Options& options = {}) : feed(options) {}

  std::optional<ConfigFeed::Question> Next(milliseconds later = {}) {
    now += later;
    return feed.Next(now, members);
  }
  bool Take(const std::string& from, const Fetched& fetched) {
    const auto taken = feed.OnFetched(now, from, fetched, text);
    if (!taken) return false;
    BOOST_REQUIRE(taken->id > id);  // never back
    BOOST_REQUIRE(StableHash(taken->text) == taken->id.digest);
    id = taken->id;
    text = taken->text;
    feed.OnInForce(now, id);
    return true;
  }
  // Has this version in force, from a first question on.
  void Begin(std::uint64_t version) {
    const auto question = Next();
    BOOST_REQUIRE(question);
    BOOST_REQUIRE(Take(question->to, Whole(question->fetch, version)));
  }

  ConfigFeed feed;
  std::vector<ConfigFeed::Candidate> members{{"far", milliseconds(40), false},
                                             {"near", milliseconds(1), false},
                                             {"middle", milliseconds(20), false}};
  Time now = kStart;
  ConfigId id;
  std::string text;
};

BOOST_AUTO_TEST_CASE(TheNearestIsAskedOnceAndAtOnce) {
  Gateway gateway;
  const auto question = gateway.Next();
  BOOST_REQUIRE(question);
  BOOST_TEST(question->to == "near");
  BOOST_TEST(question->fetch.base_version == 0u);
  gateway.feed.OnAnnounce(gateway.now, "far", IdOfVersion(9));
  BOOST_TEST(!gateway.Next(milliseconds(300)));  // one under way
  BOOST_TEST(gateway.Take("near", Whole(question->fetch, 3)));
  BOOST_TEST((gateway.feed.contact() == kStart));  // as of the question, not of the answer
}

BOOST_AUTO_TEST_CASE(AnnouncementsThatWaitAreOneQuestionAfterTheGap) {
  Gateway gateway;
  gateway.Begin(1);
  for (std::uint64_t version = 2; version <= 9; ++version)
    gateway.feed.OnAnnounce(gateway.now, "far", IdOfVersion(version));
  BOOST_TEST(!gateway.Next(milliseconds(249)));
  const auto question = gateway.Next(milliseconds(1));
  BOOST_REQUIRE(question);
  BOOST_TEST(question->fetch.base_version == 1u);
  BOOST_TEST(gateway.Take("near", Whole(question->fetch, 9)));
  BOOST_TEST(!gateway.Next(milliseconds(500)));
  // In calm the next one is asked for at once.
  gateway.feed.OnAnnounce(gateway.now, "far", IdOfVersion(10));
  BOOST_TEST(gateway.Next().has_value());
}

BOOST_AUTO_TEST_CASE(SilenceAndNotNowLeadToAnotherMemberInBoundedTime) {
  Gateway gateway;
  auto question = gateway.Next();
  BOOST_TEST(question.value().to == "near");
  BOOST_TEST(!gateway.Next(milliseconds(399)));
  question = gateway.Next(milliseconds(1));
  BOOST_TEST(question.value().to == "middle");
  BOOST_TEST(!gateway.Take("near", Whole(question->fetch, 4)));  // of a question that was given up
  BOOST_TEST(!gateway.Take("middle", Plain(question->fetch, FetchOutcome::kNotNow)));
  question = gateway.Next(milliseconds(100));
  BOOST_TEST(question.value().to == "far");
  BOOST_TEST(!gateway.feed.contact().has_value());
  BOOST_TEST(gateway.Take("far", Whole(question->fetch, 4)));
}

BOOST_AUTO_TEST_CASE(WhereNobodyHasContactTheyAreAskedWithPauses) {
  Gateway gateway;
  int questions = 0;
  for (int i = 0; i < 200; ++i) {
    const auto question = gateway.Next(milliseconds(50));
    if (!question) continue;
    ++questions;
    gateway.Take(question->to, Plain(question->fetch, FetchOutcome::kNotNow));
  }
  BOOST_TEST(questions >= 20);
  BOOST_TEST(questions <= 30);
  gateway.feed.OnAnnounce(gateway.now, "far", IdOfVersion(1));  // who announces is in contact again
  BOOST_TEST(gateway.Next(milliseconds(100)).value().to == "far");
}

BOOST_AUTO_TEST_CASE(AMemberThatGoesDownIsNotWaitedFor) {
  Gateway gateway;
  BOOST_TEST(gateway.Next().value().to == "near");
  gateway.feed.OnDown(gateway.now, "near");
  BOOST_TEST(!gateway.feed.asking());
  BOOST_TEST(gateway.Next(milliseconds(100)).value().to == "middle");
}

BOOST_AUTO_TEST_CASE(ContactIsConfirmedNowAndThenAndAsSoonAsAMemberIsThere) {
  Gateway gateway;
  gateway.Begin(1);
  BOOST_TEST(!gateway.Next(milliseconds(1999)));
  auto question = gateway.Next(milliseconds(1));
  BOOST_REQUIRE(question);
  gateway.now += milliseconds(10);
  BOOST_TEST(!gateway.Take("near", Plain(question->fetch, FetchOutcome::kCurrent, IdOfVersion(1))));
  BOOST_TEST((gateway.feed.contact() == kStart + seconds(2)));
  BOOST_TEST(!gateway.Next(milliseconds(300)));
  gateway.feed.OnMember(gateway.now);
  BOOST_TEST(gateway.Next().has_value());
}

BOOST_AUTO_TEST_CASE(AnAnnouncementThatNoMajorityKnowsOfIsNotAskedForWithoutEnd) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.feed.OnAnnounce(gateway.now, "far", IdOfVersion(99));
  const auto question = gateway.Next(milliseconds(300));
  BOOST_REQUIRE(question);
  gateway.Take("near", Plain(question->fetch, FetchOutcome::kCurrent, IdOfVersion(1)));
  BOOST_TEST(!gateway.Next(milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(AnOlderOneIsNotTaken) {
  Gateway gateway;
  gateway.Begin(5);
  gateway.feed.OnAnnounce(gateway.now, "far", IdOfVersion(6));
  const auto question = gateway.Next(milliseconds(300));
  BOOST_REQUIRE(question);
  BOOST_TEST(!gateway.Take("near", Whole(question->fetch, 4)));
  BOOST_TEST((gateway.id == IdOfVersion(5)));
  BOOST_TEST(gateway.Next(milliseconds(100)).has_value());  // the announced one still is wanted
}

BOOST_AUTO_TEST_CASE(AWrongDifferenceIsFetchedWhole) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.feed.OnAnnounce(gateway.now, "near", IdOfVersion(2));
  auto question = gateway.Next(milliseconds(300));
  Fetched wrong = Whole(question.value().fetch, 2);
  wrong.outcome = static_cast<std::uint8_t>(FetchOutcome::kDelta);
  wrong.bytes = MakeDelta(TextOf(1), TextOf(3), 10'000).value();
  wrong.size = wrong.bytes.size();
  BOOST_TEST(!gateway.Take("near", wrong));
  question = gateway.Next(milliseconds(100));
  BOOST_REQUIRE(question);
  BOOST_TEST(question->fetch.base_version == 0u);
  BOOST_TEST(gateway.Take("near", Whole(question->fetch, 2)));
  BOOST_TEST(gateway.feed.figures().unusable == 1u);
}

BOOST_AUTO_TEST_CASE(WhatIsNoConfigurationIsNotAskedForAgain) {
  Gateway gateway;
  gateway.feed.OnAnnounce(gateway.now, "near", IdOfVersion(2));
  const auto question = gateway.Next();
  const auto taken = gateway.feed.OnFetched(gateway.now, "near", Whole(question.value().fetch, 2), {});
  BOOST_REQUIRE(taken);
  gateway.feed.OnRefused(taken->id);
  BOOST_TEST(!gateway.Next(milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(GarbageIsRefusedAndNeverTaken) {
  std::mt19937_64 random(7);
  Gateway gateway;
  gateway.Begin(1);
  for (int i = 0; i < 20'000; ++i) {
    gateway.feed.OnAnnounce(gateway.now, "near", IdOfVersion(2 + random() % 3));
    const auto question = gateway.Next(milliseconds(50));
    if (!question) continue;
    Fetched garbage{question->fetch.number - (random() % 8 == 0),
                    static_cast<std::uint8_t>(random() % 6),
                    random() % 5,
                    random() % 3 == 0 ? IdOfVersion(2).digest : random(),
                    random() % 3 == 0 ? ~std::uint64_t{0} : random() % 64,
                    random() % 2 == 0 ? 0 : random(),
                    std::string(random() % 64, 'z')};
    BOOST_REQUIRE(!gateway.Take(question->to, garbage));
  }
}

// Real source and feed, one after the other, at the pace of a 2 Mbit/s link.
struct Storm {
  explicit Storm(std::size_t text_bytes) : size(text_bytes), gateway(Options()) { gateway.members.resize(1); }
  static ConfigFeed::Options Options() {
    ConfigFeed::Options options;
    options.bytes_per_s = 2e6 / 8 / 4;
    return options;
  }
  void Set(std::uint64_t version) {
    source.SetNewest(IdOfVersion(version, size), TextOf(version, size));
    chosen_at = gateway.now;
    gateway.feed.OnAnnounce(gateway.now, "far", source.newest());
  }
  void Step() {
    gateway.now += milliseconds(10);
    const auto question = gateway.Next();
    if (!question) return;
    BOOST_REQUIRE(!source.OnFetch(1, question->fetch, true));
    BOOST_REQUIRE(source.BeginRead());
    for (const auto& answer : source.OnRead(true, source.newest().version)) {
      bytes += answer.fetched.bytes.size();
      in_force += gateway.Take(question->to, answer.fetched);
    }
  }

  const std::size_t size;
  Gateway gateway;
  ConfigSource source;
  Time chosen_at;
  std::size_t bytes = 0;
  int in_force = 0;
};

BOOST_AUTO_TEST_CASE(AStormIsTakenFourTimesASecondAndCostsWhatHasChanged) {
  Storm storm(12'000);
  storm.Set(1);
  storm.Step();
  const std::size_t first = storm.bytes;
  for (std::uint64_t version = 2; version <= 201; ++version) {  // 200 changes in 24 s
    storm.Set(version);
    for (int i = 0; i < 12; ++i) storm.Step();
  }
  for (int i = 0; i < 30; ++i) storm.Step();
  BOOST_TEST((storm.gateway.id == IdOfVersion(201, storm.size)));
  BOOST_TEST(storm.in_force <= 1 + 24 * 4 + 1);
  BOOST_TEST(storm.in_force >= 60);
  BOOST_TEST(storm.bytes - first < 100u * 64, storm.bytes - first << " bytes");
}

BOOST_AUTO_TEST_CASE(WholeTextsGoNoFasterThanTheirShareOfTheLink) {
  Storm storm(1'000'000);
  storm.gateway.id = IdOfVersion(1);
  storm.gateway.feed.OnInForce(storm.gateway.now, storm.gateway.id);  // of another text: no base there
  storm.Set(2);
  const Time begun = storm.gateway.now;
  while (storm.in_force == 0) {
    storm.Step();
    const double passed = std::chrono::duration<double>(storm.gateway.now - begun).count();
    BOOST_REQUIRE_LE(static_cast<double>(storm.bytes),
                     2 * 32 * 1024 + 2 * Storm::Options().bytes_per_s * passed);
    BOOST_REQUIRE_LE(passed, 10);
  }
  BOOST_TEST((storm.gateway.id == IdOfVersion(2, storm.size)));
}

// The pieces of TextOf(version, size), as a member tells them.
Fetched PieceOf(const Fetch& fetch, std::uint64_t version, std::size_t size, std::size_t piece) {
  const std::string text = TextOf(version, size);
  return {fetch.number,
          static_cast<std::uint8_t>(FetchOutcome::kWhole),
          version,
          IdOf(version, text).digest,
          text.size(),
          fetch.offset,
          text.substr(fetch.offset, piece)};
}

// A member that was silent some time ago and answers again is asked for the next piece at once.
BOOST_AUTO_TEST_CASE(PiecesOfAMemberThatWasAvoidedOnceComeWithoutPauses) {
  Gateway gateway;
  gateway.members.resize(2);  // far and near
  gateway.Begin(1);
  gateway.feed.OnAnnounce(gateway.now, "far", IdOfVersion(2, 4000));
  auto question = gateway.Next(milliseconds(300));
  BOOST_TEST(question.value().to == "near");
  gateway.feed.OnDown(gateway.now, "near");
  gateway.now += seconds(2);  // it isn't avoided any more
  for (int pieces = 0; gateway.id.version < 2; ++pieces) {
    question = gateway.Next(milliseconds(1));
    BOOST_REQUIRE(question);
    BOOST_TEST(question->to == "near");
    BOOST_REQUIRE(pieces < 10);
    gateway.Take("near", PieceOf(question->fetch, 2, 4000, 1000));
  }
}

BOOST_AUTO_TEST_CASE(AnotherMemberGoesOnWithThePiecesThatHaveCome) {
  Gateway gateway;
  gateway.Begin(1);
  gateway.feed.OnAnnounce(gateway.now, "far", IdOfVersion(2, 4000));
  auto question = gateway.Next(milliseconds(300));
  BOOST_TEST(question.value().to == "near");
  gateway.Take("near", PieceOf(question->fetch, 2, 4000, 1000));
  BOOST_TEST(gateway.Next().value().to == "near");
  gateway.feed.OnDown(gateway.now, "near");
  question = gateway.Next(milliseconds(100));
  BOOST_TEST(question.value().to == "middle");
  BOOST_TEST(question->fetch.offset == 1000u);
  gateway.Take("middle", PieceOf(question->fetch, 2, 4000, 1000));
  BOOST_TEST(gateway.Next().value().to == "middle");
  question = gateway.Next(milliseconds(400));  // silent
  BOOST_TEST(question.value().to == "far");
  BOOST_TEST(question->fetch.offset == 2000u);
  gateway.Take("far", PieceOf(question->fetch, 2, 4000, 4000));
  BOOST_TEST((gateway.id == IdOfVersion(2, 4000)));
}

BOOST_AUTO_TEST_CASE(AGatewayThatServesNothingYetDoesNotWait) {
  Storm storm(1'000'000);
  storm.Set(2);
  int steps = 0;
  for (; storm.in_force == 0; ++steps) storm.Step();
  BOOST_TEST(steps < 40);
}

}  // namespace
}  // namespace curlewdoor::system
