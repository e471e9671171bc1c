// The operators' calls: what is one, what is none and why, and the form of the figures.
#include "admin/admin.hpp"

#include <gtest/gtest.h>

#include <random>

namespace curlewdoor::admin {
namespace {

std::string Reason(std::string_view line) {
  const Call call = ParseCall(line);
  const auto* bad = std::get_if<Bad>(&call);
  return bad != nullptr ? bad->reason : "";
}

TEST(AdminTest, ReadsTheFourCalls) {
  EXPECT_TRUE(std::holds_alternative<Status>(ParseCall("STATUS")));
  EXPECT_TRUE(std::holds_alternative<Metrics>(ParseCall("  METRICS\t")));
  EXPECT_EQ(std::get<Suspend>(ParseCall("SUSPEND s-5be2a07c")).host, "s-5be2a07c");
  EXPECT_EQ(std::get<Restore>(ParseCall("RESTORE \t s-5be2a07c ")).host, "s-5be2a07c");
}

TEST(AdminTest, WhatIsNoCallHasAReason) {
  for (const char* line : {"", "   ", "status", "PAUSE", "SUSPEND", "RESTORE ", "SUSPEND a b", "STATUS now",
                           "METRICS all", "STATUSMETRICS", "\x01STATUS", "STATUS\r", "STATUS\x7f"})
    EXPECT_NE(Reason(line), "") << line;
  EXPECT_NE(Reason(std::string_view("STATUS\0", 7)), "");
  EXPECT_EQ(Reason(std::string(kMostLine + 1, 'S')), "line too long");
}

// Whatever bytes come, the answer is one line of printable text (seed 1 to 2000).
TEST(AdminTest, AnyBytesGiveACallOrAReasonOnOneLine) {
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::mt19937 random(seed);
    std::string line = seed % 3 == 0 ? "SUSPEND " : "";
    for (auto left = random() % 80; left > 0; --left) line += static_cast<char>(random() % 256);
    const std::string answer = No(Reason(line));
    EXPECT_EQ(answer.find('\n'), answer.size() - 1) << seed;
  }
}

TEST(AdminTest, FiguresHaveOneLineEachAndAnEnd) {
  Figures figures;
  figures.classes["C"] = {812, 3, 1};
  figures.classes["D"] = {};
  figures.forwards = 820;
  figures.outstanding = 14;
  figures.discovered = 5;
  figures.ejected = 2;
  figures.sighup_applied = 1;
  EXPECT_EQ(Tell(figures),
            "relay.succeeded.C=812\nrelay.succeeded.D=0\nrelay.declined.C=3\nrelay.declined.D=0\n"
            "relay.aborted.C=1\nrelay.aborted.D=0\nrelay.forwards=820\nrelay.outstanding=14\n"
            "relay.discovered=5\nrelay.ejected=2\nrelay.sighup_applied=1\nrelay.sighup_rejected=0\nEND\n");
}

TEST(Admin, DutiesAreKnownOnlyWhereThereAreSome) {
  EXPECT_TRUE(std::holds_alternative<Bad>(ParseCall("DUTIES", true)));
  EXPECT_TRUE(std::holds_alternative<Bad>(ParseCall("HANDOVER record", true)));
  EXPECT_TRUE(std::holds_alternative<Duties>(ParseCall("DUTIES", true, true)));
  const Call call = ParseCall("HANDOVER record gw-2", true, true);
  ASSERT_TRUE(std::holds_alternative<HandOver>(call));
  EXPECT_EQ(std::get<HandOver>(call).duty, "record");
  EXPECT_EQ(std::get<HandOver>(call).to, "gw-2");
  EXPECT_TRUE(std::holds_alternative<HandOver>(ParseCall("HANDOVER record", true, true)));
  for (const char* bad : {"HANDOVER", "HANDOVER a b c", "DUTIES now", "SUSPEND a b"})
    EXPECT_TRUE(std::holds_alternative<Bad>(ParseCall(bad, true, true))) << bad;
}

// Outside of configured fleets the call is unknown as any other.
TEST(Admin, FleetIsKnownOnlyWhereThereIsOne) {
  EXPECT_TRUE(std::holds_alternative<Bad>(ParseCall("FLEET")));
  EXPECT_TRUE(std::holds_alternative<Fleet>(ParseCall("FLEET", true)));
  EXPECT_TRUE(std::holds_alternative<Bad>(ParseCall("FLEET now", true)));
}

}  // namespace
}  // namespace curlewdoor::admin
