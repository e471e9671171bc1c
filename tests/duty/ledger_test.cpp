// The client of a fenced ledger against the stand-in: what is written is asked for at the moment of writing,
// one call at a time, and every way that a call ends is told once.
#include "net/ledger.hpp"

#include <gtest/gtest.h>

#include "duty/use.hpp"
#include "net/socket_io.hpp"
#include "playing/ledger_door.hpp"
#include "standin/ledger.hpp"

namespace curlewdoor::net {
namespace {

class LedgerTest : public ::testing::Test, public Ledger::Owner {
 protected:
  LedgerTest() {
    std::string error;
    EXPECT_TRUE(door_.Open(Address{0x7f000001, 0}, error)) << error;
    ledger_.emplace(loop_, descriptors_, door_.address(), static_cast<Ledger::Owner&>(*this));
  }
  ~LedgerTest() override { ledger_.reset(); }  // its descriptors are counted in a member

  std::optional<std::string> OnReady() override { return line_; }
  void OnTaken(std::uint64_t number) override { told_ += "taken " + std::to_string(number) + ";"; }
  void OnStale(std::uint64_t highest) override { told_ += "stale " + std::to_string(highest) + ";"; }
  void OnFailed(const std::string&) override { told_ += "failed;"; }
  std::string Append(std::optional<std::string> line) {
    told_.clear();
    line_ = std::move(line);
    ledger_->Append();
    while (told_.empty()) ev_run(loop_, EVRUN_ONCE);
    return told_;
  }

  struct Loop {  // outlives what is on it
    struct ev_loop* loop = ev_loop_new(0);
    ~Loop() { ev_loop_destroy(loop); }
  } owned_;
  struct ev_loop* loop_ = owned_.loop;
  Descriptors descriptors_{1024, false, false, true};
  standin::Ledger stand_in_;
  std::string answer_;  // in place of the stand-in's
  playing::LedgerDoor door_{loop_, [this](std::string_view line) {
                              if (!answer_.empty()) return answer_;
                              const auto call = standin::Ledger::Read(line);
                              return call ? standin::Ledger::Text(stand_in_.Append(*call))
                                          : std::string("ERR no");
                            }};
  std::optional<Ledger> ledger_;
  std::optional<std::string> line_;
  std::string told_;
};

TEST_F(LedgerTest, ALowerTokenIsRefusedAndTheHighestTold) {
  EXPECT_EQ(Append("append record 7 one"), "taken 1;");
  EXPECT_EQ(Append("append record 7 two"), "taken 2;");
  EXPECT_EQ(Append("append record 6 old"), "stale 7;");
  EXPECT_EQ(Append("append other 1 of another duty"), "taken 3;");
  EXPECT_EQ(Append("append record"), "failed;");
  EXPECT_EQ(Append("append record 8 after a failure"), "taken 4;");
  EXPECT_EQ(stand_in_.entries(), 4u);
}

TEST_F(LedgerTest, NothingIsWrittenWhereTheLeaseIsOver) {
  EXPECT_EQ(Append("append record 7 one"), "taken 1;");
  told_.clear();
  line_.reset();
  ledger_->Append();
  EXPECT_EQ(Append("append record 7 two"), "taken 2;") << "the connection is kept";
}

TEST_F(LedgerTest, NoiseForAnAnswerIsAFailure) {
  for (const char* noise : {"OK", "OK x", "STALE -1", "what", "OK 99999999999999999999999"}) {
    answer_ = noise;
    EXPECT_EQ(Append("append record 7 one"), "failed;") << noise;
  }
  answer_ = std::string(2000, 'x');
  EXPECT_EQ(Append("append record 7 one"), "failed;");
}

TEST_F(LedgerTest, NobodyThereIsAFailure) {
  Address gone;
  std::string error;
  ::close(ListenOn(Address{0x7f000001, 0}, gone, error));
  ledger_.emplace(loop_, descriptors_, gone, static_cast<Ledger::Owner&>(*this));
  EXPECT_EQ(Append("append record 7 one"), "failed;");
}

TEST(UseTable, OldWordsAndNamesBeyondTheBoundAreNotKept) {
  duty::UseTable table;
  const duty::Time start{std::chrono::seconds(100)};
  for (int i = 0; i < 3000; ++i) table.Told(start, "gateway-" + std::to_string(i), {1, 2, 3});
  EXPECT_EQ(table.Add(start, std::chrono::seconds(1)).gateways, duty::UseTable::kMost);
  table.Told(start + std::chrono::seconds(5), "gateway-1", {10, 20, 30});
  const auto sum = table.Add(start + std::chrono::seconds(5), std::chrono::seconds(1));
  EXPECT_EQ(sum.gateways, 1u);
  EXPECT_EQ(sum.use.refused, 20u);
}

}  // namespace
}  // namespace curlewdoor::net
