#include <gtest/gtest.h>

#include <set>
#include <string>

#include "util/hash.hpp"
#include "util/lru_map.hpp"

namespace curlewdoor {
namespace {

TEST(StableHash, IsTheSameInEveryBuild) {
  static_assert(StableHash("abc") == StableHash("abc"));
  EXPECT_NE(StableHash("abc", 1), StableHash("abc", 2));
  std::set<std::uint64_t> seen;
  for (int i = 0; i < 1000; ++i) seen.insert(StableHash("customer", i));
  EXPECT_EQ(seen.size(), 1000u);
}

TEST(LruMap, EvictsTheLeastRecentlyUsedThatMayGo) {
  LruMap<int> map(2);
  const auto any = [](int) { return true; };
  EXPECT_FALSE(map.Insert("a", 1, any).second);
  EXPECT_FALSE(map.Insert("b", 2, any).second);
  ASSERT_NE(map.Find("a"), nullptr);
  EXPECT_TRUE(map.Insert("c", 3, any).second);
  EXPECT_EQ(map.Find("b"), nullptr);
  EXPECT_EQ(*map.Find("a"), 1);
  EXPECT_TRUE(map.Insert("d", 4, [](int v) { return v != 3; }).second);
  EXPECT_EQ(map.Find("a"), nullptr);
  EXPECT_NE(map.Find("c"), nullptr);
}

TEST(LruMap, TheOldestAloneGoesAndOnlyIfItMay) {
  LruMap<int> map(9);
  const auto any = [](int) { return true; };
  EXPECT_FALSE(map.EvictOldest(any));
  map.Insert("a", 1, any);
  map.Insert("b", 2, any);
  EXPECT_FALSE(map.EvictOldest([](int v) { return v == 2; }));
  EXPECT_TRUE(map.EvictOldest(any));
  EXPECT_EQ(map.Find("a"), nullptr);
  EXPECT_EQ(map.size(), 1u);
}

TEST(LruMap, OutgrowsItsBoundRatherThanEvictWhatIsInUse) {
  LruMap<int> map(1);
  map.Insert("a", 1, [](int) { return true; });
  EXPECT_FALSE(map.Insert("b", 2, [](int) { return false; }).second);
  EXPECT_EQ(map.size(), 2u);
  EXPECT_NE(map.Find("a"), nullptr);
}

}  // namespace
}  // namespace curlewdoor
