// A core member's side of the feed: who waits for which read, what is told, what is kept.
#include "system/config_source.hpp"

#include <boost/test/unit_test.hpp>

#include "system/announce_pace.hpp"
#include "util/text_delta.hpp"

namespace curlewdoor::system {
namespace {

constexpr std::uint64_t kStream = 5, kOther = 6;

std::string TextOf(std::uint64_t version, std::size_t routes = 200) {
  std::string text = "{\"config_version\":" + std::to_string(version) + ",\"routes\":[";
  for (std::size_t i = 0; i < routes; ++i)
    text += "{\"path_prefix\":\"/p" + std::to_string(i * 7919) + "/\",\"timeout_ms\":500},";
  return text + "]}";
}

ConfigId Set(ConfigSource& source, std::uint64_t version, std::size_t routes = 200) {
  const std::string text = TextOf(version, routes);
  const ConfigId id = IdOf(version, text);
  source.SetNewest(id, text);
  return id;
}

Fetch FetchFor(std::uint64_t number, ConfigId base = {}) {
  Fetch fetch;
  fetch.number = number;
  fetch.base_version = base.version;
  fetch.base_digest = base.digest;
  return fetch;
}

FetchOutcome OutcomeOf(const Fetched& fetched) { return static_cast<FetchOutcome>(fetched.outcome); }

// Of one fetch in contact, confirmed by a read that begins after it.
Fetched Confirmed(ConfigSource& source, const Fetch& fetch) {
  BOOST_REQUIRE(!source.OnFetch(kStream, fetch, true));
  BOOST_REQUIRE(source.BeginRead());
  const auto answers = source.OnRead(true, source.newest().version);
  BOOST_REQUIRE(answers.size() == 1u);
  return answers.front().fetched;
}

BOOST_AUTO_TEST_CASE(AMemberWithoutContactSaysSoAtOnce) {
  ConfigSource source;
  Set(source, 1);
  const auto answer = source.OnFetch(kStream, FetchFor(7), false);
  BOOST_REQUIRE(answer);
  BOOST_TEST((OutcomeOf(*answer) == FetchOutcome::kNotNow));
  BOOST_TEST(answer->number == 7u);
  BOOST_TEST(answer->version == 0u);
  BOOST_TEST(answer->bytes.empty());
  BOOST_TEST(!source.BeginRead());
}

BOOST_AUTO_TEST_CASE(AReadThatBeganEarlierConfirmsNothing) {
  ConfigSource source;
  Set(source, 1);
  BOOST_TEST(!source.OnFetch(kStream, FetchFor(1), true));
  BOOST_TEST(source.BeginRead());
  BOOST_TEST(!source.OnFetch(kOther, FetchFor(2), true));  // while it is under way
  BOOST_TEST(!source.BeginRead());
  const auto first = source.OnRead(true, 1);
  BOOST_REQUIRE(first.size() == 1u);
  BOOST_TEST(first.front().stream == kStream);
  BOOST_TEST(source.BeginRead());
  const auto second = source.OnRead(true, 1);
  BOOST_REQUIRE(second.size() == 1u);
  BOOST_TEST(second.front().stream == kOther);
  BOOST_TEST(!source.BeginRead());
}

BOOST_AUTO_TEST_CASE(AReadThatFailsOrKnowsOfANewerOneIsNotNow) {
  ConfigSource source;
  Set(source, 3);
  for (const auto& [confirmed, version] : {std::pair(false, 3), std::pair(true, 4)}) {
    BOOST_TEST(!source.OnFetch(kStream, FetchFor(1), true));
    BOOST_TEST(source.BeginRead());
    const auto answers = source.OnRead(confirmed, static_cast<std::uint64_t>(version));
    BOOST_REQUIRE(answers.size() == 1u);
    BOOST_TEST((OutcomeOf(answers.front().fetched) == FetchOutcome::kNotNow));
  }
}

BOOST_AUTO_TEST_CASE(WhoIsDownIsForgotten) {
  ConfigSource source;
  Set(source, 1);
  BOOST_TEST(!source.OnFetch(kStream, FetchFor(1), true));
  BOOST_TEST(source.BeginRead());
  BOOST_TEST(!source.OnFetch(kStream, FetchFor(2), true));
  source.OnDown(kStream);
  BOOST_TEST(source.OnRead(true, 1).empty());
  BOOST_TEST(!source.BeginRead());
}

BOOST_AUTO_TEST_CASE(WhoHoldsAnEarlierTextIsToldTheDifference) {
  ConfigSource source;
  const ConfigId first = Set(source, 1), second = Set(source, 2);
  const Fetched delta = Confirmed(source, FetchFor(1, first));
  BOOST_TEST((OutcomeOf(delta) == FetchOutcome::kDelta));
  BOOST_TEST(delta.version == 2u);
  BOOST_TEST(delta.digest == second.digest);
  BOOST_TEST(delta.size == delta.bytes.size());
  BOOST_TEST(delta.size < 60u);
  BOOST_TEST((ApplyDelta(TextOf(1), delta.bytes, 1 << 20) == TextOf(2)));
  BOOST_TEST((OutcomeOf(Confirmed(source, FetchFor(2, second))) == FetchOutcome::kCurrent));
  const Fetched whole = Confirmed(source, FetchFor(3, {1, first.digest + 1}));
  BOOST_TEST((OutcomeOf(whole) == FetchOutcome::kWhole));
  BOOST_TEST(whole.bytes == TextOf(2));
}

BOOST_AUTO_TEST_CASE(WhoHoldsANewerOneIsCurrentAndNothingGoesBack) {
  ConfigSource source;
  const ConfigId newest = Set(source, 5);
  Set(source, 4);
  BOOST_TEST((source.newest() == newest));
  BOOST_TEST((OutcomeOf(Confirmed(source, FetchFor(1, {6, 1}))) == FetchOutcome::kCurrent));
}

BOOST_AUTO_TEST_CASE(WhereThereIsNoneYetItIsCurrent) {
  ConfigSource source;
  const Fetched none = Confirmed(source, FetchFor(1));
  BOOST_TEST((OutcomeOf(none) == FetchOutcome::kCurrent));
  BOOST_TEST(none.version == 0u);
}

BOOST_AUTO_TEST_CASE(ALongTextComesInPiecesOfItsOwnVersion) {
  ConfigSource::Options options;
  options.piece = 1000;
  ConfigSource source(options);
  const ConfigId first = Set(source, 1);
  Fetched piece = Confirmed(source, FetchFor(1));
  std::string text = piece.bytes;
  Set(source, 2);  // while its pieces are fetched
  while (text.size() < piece.size) {
    Fetch next = FetchFor(2);
    next.version = first.version;
    next.digest = first.digest;
    next.offset = text.size();
    piece = Confirmed(source, next);
    BOOST_REQUIRE(piece.version == 1u && piece.offset == text.size() && piece.bytes.size() <= 1000u);
    text += piece.bytes;
  }
  BOOST_TEST(text == TextOf(1));
  Fetch gone = FetchFor(3);
  gone.version = 77;
  gone.offset = 1000;
  piece = Confirmed(source, gone);
  BOOST_TEST(piece.version == 2u);
  BOOST_TEST(piece.offset == 0u);
}

// How often a storm of a change each 100 ms is announced in 6 s, and when the first is.
std::pair<int, int> Announced(bool fetches) {
  AnnouncePace pace;
  int count = 0, first = -1;
  for (int ms = 0; ms < 6000; ms += 50) {
    const AnnouncePace::Time now{std::chrono::seconds(50) + std::chrono::milliseconds(ms)};
    if (fetches) pace.OnFetch(now);
    if (!pace.Take(now, {static_cast<std::uint64_t>(1 + ms / 100), 1})) continue;
    if (count++ == 0) first = ms;
  }
  return {count, first};
}

BOOST_AUTO_TEST_CASE(WhoFetchesHereHearsAtOnceAndOthersLater) {
  BOOST_TEST((Announced(true) == std::pair(30, 0)));
  const auto [count, first] = Announced(false);
  BOOST_TEST(first == 600);
  BOOST_TEST(count >= 8);
  BOOST_TEST(count <= 10);
}

BOOST_AUTO_TEST_CASE(TheSameIsAnnouncedOnceAndNoneIsNotAnnounced) {
  AnnouncePace pace;
  const AnnouncePace::Time now{std::chrono::seconds(50)};
  BOOST_TEST(!pace.Take(now, {}));
  pace.OnFetch(now);
  BOOST_TEST(pace.Take(now, {3, 1}));
  BOOST_TEST(!pace.Take(now + std::chrono::seconds(1), {3, 1}));
  BOOST_TEST(!pace.Take(now + std::chrono::seconds(1), {2, 9}));
  // Whoever went on to fetch elsewhere is told later.
  BOOST_TEST(!pace.Take(now + std::chrono::seconds(6), {4, 1}));
  BOOST_TEST(pace.Take(now + std::chrono::milliseconds(6600), {4, 1}));
}

BOOST_AUTO_TEST_CASE(WhatIsKeptIsBounded) {
  ConfigSource::Options options;
  options.most_kept = 20'000;
  options.most_deltas = 2'000;
  ConfigSource source(options);
  std::vector<ConfigId> ids;
  for (std::uint64_t version = 1; version <= 300; ++version) {
    ids.push_back(Set(source, version, version % 2 == 0 ? 100 : 10));
    for (const ConfigId& id : ids) Confirmed(source, FetchFor(1, id));
    BOOST_REQUIRE_LE(source.kept_bytes(), options.most_kept + TextOf(300, 100).size() + options.most_deltas +
                                              TextOf(300, 100).size());
  }
  // One that is longer than all that is kept otherwise: the one before it is still a base.
  const ConfigId large = Set(source, 301, 2000);
  Set(source, 302, 2000);
  BOOST_TEST((OutcomeOf(Confirmed(source, FetchFor(1, large))) == FetchOutcome::kDelta));
  for (std::uint64_t number = 0; number < 2 * options.most_waiting; ++number)
    source.OnFetch(kStream, FetchFor(number), true);
  BOOST_TEST(source.waiting() <= options.most_waiting);
}

}  // namespace
}  // namespace curlewdoor::system
