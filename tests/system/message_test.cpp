#include "system/message.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <random>

namespace {
std::size_t allocated = 0;  // bytes asked for since it was set to zero
}  // namespace

// All that asks for memory in this program, msgpack's own arena too.
#ifndef __SANITIZE_ADDRESS__
extern "C" void* __libc_malloc(std::size_t size);
extern "C" void* malloc(std::size_t size) noexcept {
  allocated += size;
  return __libc_malloc(size);
}
#endif

namespace curlewdoor::system {
namespace {

const std::string kBytes("a\0b\xff\xc1 text", 11);

std::vector<Message> Examples() {
  constexpr auto kMost = std::numeric_limits<std::uint64_t>::max();
  return {Hello{"edge-a-3", true, true},
          Hello{},
          Clock{-5, -kMostMicros},
          Hosts{kBytes},
          Refreshed{{{"i-1", 7}, {"i-2", kMost}, {"", 0}}},
          Refreshed{},
          ReplicateHosts{kMost, kBytes},
          HostsReplicated{12},
          HostsReplicated{kMost, kMost, 3, 2, true},
          Put{1, kMost, std::string(300, 'x')},
          Get{3},
          Done{4, 503, "late\n"},
          Config{9, std::string(70'000, '{')},
          Members{3, {{"core-1", kMost, "10.0.0.1:7001"}, {"core-2", 0, ""}}},
          AddUnits{5, "anna", kMost, 2'000'000, 12.25, 77, 3.5, 0.25, 76},
          Total{6, true, 99.5, 0.125},
          CoreBytes{kBytes},
          Digest{kMost},
          AskHosts{7},
          FoundingBytes{kBytes},
          Announce{3, 9, kMost},
          Fetch{1, 2, 3, kMost, 5, kMost, 32'768},
          Fetched{8, 2, 9, kMost, 70'000, 32'768, kBytes},
          RegistryQuery{-5, kMost},
          RegistryAnswer{kMostMicros, kMost, 3, 2, true},
          CoordinationBytes{kBytes},
          CoordinationCall{kMost, kBytes},
          CoordinationReply{kMost, kBytes},
          CoordinationLeader{kMost, "core-1"},
          CoordinationForget{kMost}};
}

// Of 24 bytes each: what arrays may claim before it is there, one within the other.
constexpr std::size_t kClaimed = 8 * 2 * kMostRefreshed * 24 + 64 * 1024;

// Reads it, whatever it is: what comes out can be written, and what it took is bounded by what came in.
std::optional<Message> Take(std::string_view bytes) {
  allocated = 0;
  auto message = Decode(bytes);
  const std::size_t taken = allocated;
  BOOST_REQUIRE_LE(taken, 64 * bytes.size() + kClaimed);
  if (message) {
    const auto again = Decode(Encode(*message));
    BOOST_REQUIRE(again);
    BOOST_REQUIRE_EQUAL(again->index(), message->index());
  }
  return message;
}

BOOST_AUTO_TEST_CASE(EachMessageComesBackAsItWas) {
  std::vector<bool> seen(std::variant_size_v<Message>);
  for (const Message& message : Examples()) {
    const std::string bytes = Encode(message);
    const auto back = Decode(bytes);
    BOOST_REQUIRE(back);
    BOOST_TEST(back->index() == message.index());
    BOOST_TEST(Encode(*back) == bytes);
    seen[message.index()] = true;
  }
  for (std::size_t kind = 0; kind < seen.size(); ++kind) BOOST_TEST(seen[kind], "no example of " << kind);
  const auto add = std::get<AddUnits>(*Decode(Encode(AddUnits{5, "anna", 6, -7, 12.25, 78})));
  BOOST_TEST(add.number == 5u);
  BOOST_TEST(add.tenant == "anna");
  BOOST_TEST(add.count == 6u);
  BOOST_TEST(add.lifetime_us == -7);
  BOOST_TEST(add.amount == 12.25);
  const auto members = std::get<Members>(*Decode(Encode(Members{3, {{"core-1", 8, "10.0.0.1:7001"}}})));
  BOOST_TEST((members.members.at(0) ==
              std::tuple(std::string("core-1"), std::uint64_t{8}, std::string("10.0.0.1:7001"))));
}

BOOST_AUTO_TEST_CASE(ARosterOfAnEarlierVersionTellsNoGateways) {
  const Members roster{3, {{"core-1", 8, "10.0.0.1:7001"}}, 11};
  BOOST_TEST(std::get<Members>(*Decode(Encode(roster))).gateways == 11u);
  std::string earlier = Encode(roster);
  BOOST_REQUIRE(earlier.at(3) == '\x93');  // of the fields; the last one is a byte
  earlier[3] = '\x92';
  earlier.pop_back();
  const auto back = Decode(earlier);
  BOOST_REQUIRE(back);
  BOOST_TEST(std::get<Members>(*back).epoch == 3u);
  BOOST_TEST(std::get<Members>(*back).gateways == 0u);
}

BOOST_AUTO_TEST_CASE(AHelloOfAnEarlierVersionFetchesNothing) {
  const Hello hello{"edge-a-3", true, true};
  BOOST_TEST(std::get<Hello>(*Decode(Encode(hello))).fetches);
  std::string earlier = Encode(hello);
  BOOST_REQUIRE(earlier.at(3) == '\x93');
  earlier[3] = '\x92';
  earlier.pop_back();
  const auto back = Decode(earlier);
  BOOST_REQUIRE(back);
  BOOST_TEST(std::get<Hello>(*back).counted);
  BOOST_TEST(!std::get<Hello>(*back).fetches);
}

BOOST_AUTO_TEST_CASE(AsManyBeatsAsAMessageMayCarryComeBack) {
  Refreshed refreshed;
  for (std::size_t i = 0; i < kMostRefreshed; ++i) refreshed.beats.emplace_back("i-" + std::to_string(i), i);
  const auto back = Decode(Encode(refreshed));
  BOOST_REQUIRE(back);
  BOOST_TEST(std::get<Refreshed>(*back).beats.size() == kMostRefreshed);
  const auto large = Decode(Encode(Put{1, 2, std::string(8 * 1024 * 1024, 'x')}));
  BOOST_REQUIRE(large);
  BOOST_TEST(std::get<Put>(*large).text.size() == 8u * 1024 * 1024);
}

BOOST_AUTO_TEST_CASE(NoTruncationIsAMessage) {
  for (const Message& message : Examples()) {
    const std::string bytes = Encode(message);
    const std::size_t step = bytes.size() > 1000 ? 997 : 1;
    for (std::size_t size = 0; size < bytes.size(); size += step)
      BOOST_REQUIRE(!Take(std::string_view(bytes).substr(0, size)));
    BOOST_TEST(!Take(bytes + '\0'));
  }
}

BOOST_AUTO_TEST_CASE(EachByteChangedIsAMessageOrNone) {
  for (const Message& message : Examples()) {
    std::string bytes = Encode(message);
    if (bytes.size() > 1000) continue;
    for (char& byte : bytes) {
      const char before = byte;
      for (int value = 0; value < 256; ++value) {
        byte = static_cast<char>(value);
        Take(bytes);
      }
      byte = before;
    }
  }
}

BOOST_AUTO_TEST_CASE(ForeignBytesAreNoMessage) {
  for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
    std::mt19937_64 rng(seed);
    std::string bytes(rng() % 60, '\0');
    for (char& byte : bytes) byte = static_cast<char>(rng());
    if (seed % 2 == 0) bytes = std::string("\x93\x01", 2) + bytes;  // begins as one of ours
    Take(bytes);
  }
  BOOST_TEST(!Take("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
  std::string other = Encode(Hello{"a", true});
  other[1] = 2;  // of another major version
  BOOST_TEST(!Take(other));
  other[1] = 1;
  other[2] = static_cast<char>(std::variant_size_v<Message>);  // a kind that isn't known here
  BOOST_TEST(!Take(other));
}

// Lengths that are claimed and not there, nesting without end, too many of small things.
BOOST_AUTO_TEST_CASE(ClaimsTakeNoMemory) {
  const std::string head("\x93\x01", 2);
  const std::string body_of_hosts = head + "\x02\x91", body_of_refreshed = head + "\x03\x91";
  for (const std::string& claim :
       {std::string("\xdd\xff\xff\xff\xff", 5), std::string("\xdd\x10\x00\x00\x00", 5),
        std::string("\xdf\xff\xff\xff\xff", 5), std::string("\xdb\xff\xff\xff\xff", 5),
        std::string("\xc6\xff\xff\xff\xff", 5), std::string("\xc9\xff\xff\xff\xff\x01", 6),
        std::string("\xdc\xff\xff", 3), std::string("\xde\xff\xff", 3)})
    for (const std::string& before : {std::string(), head, body_of_hosts, body_of_refreshed}) {
      BOOST_TEST(!Take(before + claim));
      BOOST_TEST(!Take(before + claim + std::string(5000, '\x90')));
    }
  BOOST_TEST(!Take(std::string(1'000'000, '\x91')));
  BOOST_TEST(!Take(body_of_refreshed + std::string(1'000'000, '\x91')));
  // A megabyte of arrays as large as are allowed, each of empty ones.
  std::string wide = head + std::string("\x03\x91\xdc\x40\x00", 5);
  for (int i = 0; i < 0x4000; ++i) wide += "\x90";
  Take(wide);
  std::string deep = head + std::string("\x03\x91\xdc\x00\x40", 5);
  for (int i = 0; i < 64; ++i) deep += std::string("\xdc\x40\x00", 3) + std::string(0x4000, '\xc0');
  Take(deep);
  Take(std::string(1'000'000, '\xc0'));
  std::string nested = head + "\x03\x91";
  for (int i = 0; i < 20; ++i) nested += std::string("\xdc\x40\x00", 3);
  BOOST_TEST(!Take(nested));
  BOOST_TEST_MESSAGE(nested.size() << " bytes of nested claims took " << allocated);
}

// Whoever sends them: a sum with one of these would be a count or a time no more.
BOOST_AUTO_TEST_CASE(AmountsAndTimesBeyondAllBoundsAreNoMessage) {
  constexpr double kNone = std::numeric_limits<double>::quiet_NaN(), kEndless = HUGE_VAL;
  for (const double amount : {kNone, kEndless, -kEndless, 2 * kMostAmount, -2 * kMostAmount}) {
    BOOST_TEST(!Take(Encode(AddUnits{5, "anna", 6, 7, amount, 78})), amount);
    BOOST_TEST(!Take(Encode(Total{6, true, amount})), amount);
  }
  for (const std::int64_t time : {std::numeric_limits<std::int64_t>::min(), kMostMicros + 1}) {
    BOOST_TEST(!Take(Encode(Clock{time, 1})), time);
    BOOST_TEST(!Take(Encode(Clock{1, time})), time);
    BOOST_TEST(!Take(Encode(AddUnits{5, "anna", 6, time, 1, 78})), time);
    BOOST_TEST(!Take(Encode(AddUnits{5, "anna", 6, 7, 1, time})), time);
  }
  BOOST_TEST(Take(Encode(AddUnits{5, "anna", 6, -7, -kMostAmount, kMostMicros})).has_value());
}

BOOST_AUTO_TEST_CASE(WrongTypesAndRangesAreNoMessage) {
  const std::string head("\x93\x01", 2);
  BOOST_TEST(!Take(head + std::string("\x05\x91\xa1x", 4)));  // HostsReplicated: a text for a number
  BOOST_TEST(!Take(head + std::string("\x05\x91\xff", 3)));   // ... a number below 0
  BOOST_TEST(!Take(head + std::string("\x05\x90", 2)));       // ... too few fields
  BOOST_TEST(Take(head + std::string("\x05\x91\x07", 3)).has_value());  // an earlier minor version's
  BOOST_TEST(
      Take(head + std::string("\x05\x97\x07\x01\x01\x01\xc3\xc0\xa1x", 10)).has_value());  // a later one's
  BOOST_TEST(!Take(head + std::string("\x05\x93\x07\xc0\xa1x", 6)));  // a field that is known, nil
  BOOST_TEST(!Take(head + std::string("\x02\x91\xc0", 3)));           // Hosts: nil
  BOOST_TEST(!Take(head + std::string("\x08\x93\x01\xcf\x7f\xff\xff\xff\xff\xff\xff\xff\xa0", 13)));
}

// An older gateway tells nothing of when a release was sent; this version's field takes one byte more at
// first.
BOOST_AUTO_TEST_CASE(a_coordination_call_of_an_earlier_version_proves_nothing) {
  const std::string earlier = "\x93\x01\x17\x92\x07\xa1x";  // version, kind, number and call
  const auto read = Decode(earlier);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(std::get<CoordinationCall>(*read).number == 7u);
  BOOST_TEST(std::get<CoordinationCall>(*read).proven_renewals < 0);
  BOOST_TEST(Encode(CoordinationCall{7, "x", 0}).size() == earlier.size() + 1);
}

}  // namespace
}  // namespace curlewdoor::system
