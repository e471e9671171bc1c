// The client of a fenced ledger against a fake server: a line is requested at the moment of writing, one call
// runs at a time, and every outcome is reported exactly once.
#include "net/ledger.hpp"

#include <gtest/gtest.h>

#include "duty/usage.hpp"
#include "net/socket_io.hpp"
#include "playing/ledger_door.hpp"
#include "standin/ledger.hpp"

namespace curlewdoor::net {
namespace {

class LedgerTest : public ::testing::Test, public Ledger::Owner {
 protected:
  LedgerTest() {
    std::string error;
    EXPECT_TRUE(server_.Open(Address{0x7f000001, 0}, error)) << error;
    ledger_.emplace(loop_, descriptors_, server_.address(), static_cast<Ledger::Owner&>(*this));
  }
  // The connection must be closed before descriptors_, which counts it, is destroyed.
  ~LedgerTest() override { ledger_.reset(); }

  std::optional<std::string> OnReady() override { return line_; }
  void OnTaken(std::uint64_t number) override { outcome_ += "taken " + std::to_string(number) + ";"; }
  void OnStale(std::uint64_t highest) override { outcome_ += "stale " + std::to_string(highest) + ";"; }
  void OnFailed(const std::string&) override { outcome_ += "failed;"; }
  std::string Append(std::optional<std::string> line) {
    outcome_.clear();
    line_ = std::move(line);
    ledger_->Append();
    while (outcome_.empty()) ev_run(loop_, EVRUN_ONCE);
    return outcome_;
  }

  struct Loop {  // must outlive everything that uses it
    struct ev_loop* loop = ev_loop_new(0);
    ~Loop() { ev_loop_destroy(loop); }
  } loop_owner_;
  struct ev_loop* loop_ = loop_owner_.loop;
  Descriptors descriptors_{1024, false, false, true};
  standin::Ledger fake_ledger_;
  std::string canned_reply_;  // overrides the reply of the fake ledger
  playing::LedgerDoor server_{loop_, [this](std::string_view line) {
                                if (!canned_reply_.empty()) return canned_reply_;
                                const auto call = standin::Ledger::Read(line);
                                return call ? standin::Ledger::Text(fake_ledger_.Append(*call))
                                            : std::string("ERR no");
                              }};
  std::optional<Ledger> ledger_;
  std::optional<std::string> line_;
  std::string outcome_;
};

TEST_F(LedgerTest, LowerTokenIsRejectedWithTheHighest) {
  EXPECT_EQ(Append("append record 7 one"), "taken 1;");
  EXPECT_EQ(Append("append record 7 two"), "taken 2;");
  EXPECT_EQ(Append("append record 6 old"), "stale 7;");
  EXPECT_EQ(Append("append other 1 of another duty"), "taken 3;");
  EXPECT_EQ(Append("append record"), "failed;");
  EXPECT_EQ(Append("append record 8 after a failure"), "taken 4;");
  EXPECT_EQ(fake_ledger_.entries(), 4u);
}

TEST_F(LedgerTest, NothingIsWrittenWithoutALease) {
  EXPECT_EQ(Append("append record 7 one"), "taken 1;");
  outcome_.clear();
  line_.reset();
  ledger_->Append();
  EXPECT_EQ(Append("append record 7 two"), "taken 2;") << "the connection is kept";
}

TEST_F(LedgerTest, MalformedReplyIsAFailure) {
  for (const char* noise : {"OK", "OK x", "STALE -1", "what", "OK 99999999999999999999999"}) {
    canned_reply_ = noise;
    EXPECT_EQ(Append("append record 7 one"), "failed;") << noise;
  }
  canned_reply_ = std::string(2000, 'x');
  EXPECT_EQ(Append("append record 7 one"), "failed;");
}

TEST_F(LedgerTest, RefusedConnectionIsAFailure) {
  Address closed_address;
  std::string error;
  ::close(ListenOn(Address{0x7f000001, 0}, closed_address, error));
  ledger_.emplace(loop_, descriptors_, closed_address, static_cast<Ledger::Owner&>(*this));
  EXPECT_EQ(Append("append record 7 one"), "failed;");
}

TEST(UsageTable, DropsOldReportsAndNamesBeyondTheBound) {
  duty::UsageTable table;
  const duty::Time start{std::chrono::seconds(100)};
  for (int i = 0; i < 3000; ++i) table.Report(start, "gateway-" + std::to_string(i), {1, 2, 3});
  EXPECT_EQ(table.Total(start, std::chrono::seconds(1)).gateways, duty::UsageTable::kMaxGateways);
  table.Report(start + std::chrono::seconds(5), "gateway-1", {10, 20, 30});
  const auto sum = table.Total(start + std::chrono::seconds(5), std::chrono::seconds(1));
  EXPECT_EQ(sum.gateways, 1u);
  EXPECT_EQ(sum.usage.refused, 20u);
}

}  // namespace
}  // namespace curlewdoor::net
