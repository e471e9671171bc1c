// Deltas of texts: what is made comes back, what is garbage is refused, and both stay within their bounds.
#include "util/text_delta.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

namespace curlewdoor {
namespace {

constexpr std::size_t kMost = 1 << 24;
constexpr std::uint64_t kSeeds = 2000;

using Random = std::mt19937_64;

std::string Words(Random& random, std::size_t size, int letters) {
  std::string text(size, ' ');
  for (char& c : text) c = static_cast<char>('a' + random() % static_cast<unsigned>(letters));
  return text;
}

// As operators change texts: parts replaced, put in, taken out, moved, twice.
std::string Changed(Random& random, std::string text) {
  for (auto steps = random() % 6; steps > 0; --steps) {
    const std::size_t at = random() % (text.size() + 1), length = random() % (text.size() - at + 1);
    switch (random() % 5) {
      case 0:
        text.replace(at, length % 20, Words(random, random() % 20, 26));
        break;
      case 1:
        text.insert(at, Words(random, random() % 200, 3));
        break;
      case 2:
        text.erase(at, length);
        break;
      case 3:
        text += text.substr(at, length);
        break;
      default:
        text = text.substr(at) + text.substr(0, at);
        break;
    }
  }
  return text;
}

std::string Routes(std::size_t count) {
  std::string text = "{\"config_version\":7,\"backend_hosts\":[";
  for (std::size_t i = 0; i < count; ++i)
    text += "{\"host\":\"h" + std::to_string(i * 7919) + ".example\",\"url_paths\":[{\"path_prefix\":\"/p" +
            std::to_string(i) + "/\",\"route_type\":\"idempotent\",\"timeout_ms\":500}]},";
  return text + "]}";
}

BOOST_AUTO_TEST_CASE(WhatIsMadeComesBack) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    const std::string base = Words(random, random() % 3000, seed % 3 == 0 ? 2 : 26);
    const std::string target = Changed(random, base);
    const auto delta = MakeDelta(base, target, kMost);
    BOOST_REQUIRE_MESSAGE(delta, "seed " << seed);
    const auto back = ApplyDelta(base, *delta, target.size());
    BOOST_REQUIRE_MESSAGE(back && *back == target, "seed " << seed);
    BOOST_REQUIRE_LE(delta->size(), target.size() + 4 + target.size() / 16);
    if (!target.empty()) BOOST_REQUIRE(!ApplyDelta(base, *delta, target.size() - 1));
  }
}

BOOST_AUTO_TEST_CASE(EmptyAndEqualTextsHaveDeltas) {
  BOOST_TEST((ApplyDelta("", MakeDelta("", "", kMost).value(), 0) == ""));
  BOOST_TEST((ApplyDelta("", MakeDelta("", "all new", kMost).value(), 7) == "all new"));
  BOOST_TEST((ApplyDelta("gone", MakeDelta("gone", "", kMost).value(), 0) == ""));
  const std::string text = Routes(100);
  const auto same = MakeDelta(text, text, kMost);
  BOOST_TEST(same.value().size() < 8u);
  BOOST_TEST((ApplyDelta(text, *same, kMost) == text));
}

BOOST_AUTO_TEST_CASE(AChangeOfOneRouteCostsLittle) {
  const std::string base = Routes(300);
  std::string target = base;
  target.replace(target.find(":7,"), 3, ":8,");
  target.replace(target.find("500", target.size() / 2), 3, "750");
  const auto delta = MakeDelta(base, target, kMost);
  BOOST_TEST(delta.value().size() < 200u, delta->size() << " bytes for " << base.size());
  BOOST_TEST((ApplyDelta(base, *delta, kMost) == target));
}

BOOST_AUTO_TEST_CASE(ALargerDeltaThanTheTextIsNone) {
  Random random(1);
  const std::string base = Words(random, 5000, 26), target = Words(random, 5000, 26);
  BOOST_TEST(!MakeDelta(base, target, target.size()));
  BOOST_TEST(!MakeDelta(base, target, 100));
  BOOST_TEST(!MakeDelta(base, base, 0));
}

BOOST_AUTO_TEST_CASE(GarbageIsRefusedOrBounded) {
  const std::string base = Routes(20);
  std::size_t refused = 0;
  for (std::uint64_t seed = 1; seed <= 10 * kSeeds; ++seed) {
    Random random(seed);
    std::string bytes(random() % 40, '\0');
    for (char& byte : bytes) byte = static_cast<char>(random());
    const auto made = ApplyDelta(base, bytes, 4096);
    refused += !made;
    if (made) BOOST_REQUIRE_LE(made->size(), 4096u);
  }
  BOOST_TEST(refused > 5 * kSeeds);
}

BOOST_AUTO_TEST_CASE(EachCutAndEachChangedByteIsAnotherTextOrNone) {
  const std::string base = Routes(40);
  std::string target = base;
  target.insert(target.size() / 2, "{\"host\":\"new.example\"},");
  const std::string delta = MakeDelta(base, target, kMost).value();
  for (std::size_t size = 0; size < delta.size(); ++size) {
    const auto made = ApplyDelta(base, delta.substr(0, size), target.size());
    BOOST_REQUIRE(!made || *made != target);
  }
  for (std::size_t at = 0; at < delta.size(); ++at)
    for (int value = 0; value < 256; ++value) {
      std::string other = delta;
      other[at] = static_cast<char>(value);
      const auto made = ApplyDelta(base, other, target.size());
      if (made) BOOST_REQUIRE_LE(made->size(), target.size());
    }
}

// Texts that make naive searches quadratic: each step stays cheap, so twice the text is about twice the work.
BOOST_AUTO_TEST_CASE(OneLetterAndLongTextsTakeLinearTime) {
  for (const std::size_t size : {std::size_t{1} << 16, std::size_t{3} << 20}) {
    const std::string base(size, 'x');
    std::string target(size + 77, 'x');
    for (std::size_t at = 31; at < target.size(); at += 32) target[at] = 'y';  // no block is found
    const auto made = MakeDelta(base, target, kMost);
    BOOST_TEST((ApplyDelta(base, made.value(), kMost) == target));
    const auto routes = Routes(size / 100);
    BOOST_TEST((ApplyDelta(base, MakeDelta(base, routes, kMost).value(), kMost) == routes));
  }
}

}  // namespace
}  // namespace curlewdoor
