// Encoding of the messages between gateways: round trips, and rejection of everything else.
#include "fleet/message.hpp"

#include <gtest/gtest.h>

#include <random>

#include "util/bytes.hpp"
#include "util/hash.hpp"

namespace curlewdoor::fleet {
namespace {

MemberRecord MakeRecord(const std::string& name, MemberState state = MemberState::kAlive) {
  return MemberRecord{
      name, 17, 3, state, Address{0x7f000001, 7000}, "zone:b", state == MemberState::kAlive ? "" : "g9"};
}

GossipMessage Sample() {
  GossipMessage message{MessageKind::kPingRequest, 42, MakeRecord("g0")};
  message.target = "g1";
  message.target_address = {0x7f000002, 7001};
  message.rumours = {MakeRecord("g2", MemberState::kSuspect), MakeRecord("g3", MemberState::kLeft)};
  return message;
}

TEST(FleetMessage, RoundTrip) {
  DropReason reason;
  const GossipMessage message = Sample();
  const std::string bytes = Encode(message, "jkt");
  const auto read = Decode(bytes, "jkt", reason);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->kind, message.kind);
  EXPECT_EQ(read->sequence, 42u);
  EXPECT_EQ(read->sender, message.sender);
  EXPECT_EQ(read->target, "g1");
  EXPECT_EQ(read->target_address, message.target_address);
  EXPECT_EQ(read->rumours, message.rumours);
  std::size_t most = EncodedHeadSize(message, "jkt");
  for (const MemberRecord& rumour : message.rumours) most += EncodedSize(rumour);
  EXPECT_LE(bytes.size(), most);
}

TEST(FleetMessage, AnotherFleetAndANewerMajorAreReported) {
  DropReason reason;
  int major = 0;
  std::string bytes = Encode(Sample(), "jkt");
  EXPECT_FALSE(Decode(bytes, "sby", reason));
  EXPECT_EQ(reason, DropReason::kForeign);
  bytes[4] = 2;
  EXPECT_FALSE(Decode(bytes, "jkt", reason, &major));
  EXPECT_EQ(reason, DropReason::kVersion);
  EXPECT_EQ(major, 2);
}

// A newer minor version may add parts, and fields behind the known ones of a record.
TEST(FleetMessage, UnknownPartsAreSkipped) {
  const std::string bytes = Encode(GossipMessage{MessageKind::kGossip, 1, MakeRecord("g0")}, "jkt");
  const std::size_t head = 8 + 3;
  std::string body = bytes.substr(head + 8);
  Writer part;
  std::uint8_t tag = 200;
  std::uint16_t size = 5;
  part(tag, size);
  body += part.bytes + "12345";
  body[1] = static_cast<char>(body[1] + 2);  // the record of the sender is two bytes longer
  body.insert(3 + static_cast<std::size_t>(static_cast<unsigned char>(body[1])) - 2, "xy");
  Writer sum;
  std::uint64_t value = StableHash(body, StableHash(bytes.substr(0, head)));
  sum(value);
  DropReason reason;
  const auto read = Decode(bytes.substr(0, head) + sum.bytes + body, "jkt", reason);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->sender, MakeRecord("g0"));
}

TEST(FleetMessage, CorruptedOrTruncatedBytesAreRejected) {
  const std::string bytes = Encode(Sample(), "jkt");
  DropReason reason;
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    EXPECT_FALSE(Decode(std::string_view(bytes).substr(0, cut), "jkt", reason)) << cut;
  for (std::size_t at = 0; at < bytes.size(); ++at)
    for (int bit = 0; bit < 8; ++bit) {
      std::string changed = bytes;
      changed[at] = static_cast<char>(changed[at] ^ (1 << bit));
      EXPECT_FALSE(Decode(changed, "jkt", reason)) << at << " bit " << bit;
    }
}

// Random changes with a valid checksum, as a faulty peer would send them: every decoded message keeps the
// bounds.
TEST(FleetMessage, ValidChecksumsOverNoiseKeepTheBounds) {
  std::mt19937_64 random(7);
  const std::string good = Encode(Sample(), "jkt");
  const std::size_t head = 8 + 3;
  int taken = 0;
  for (int i = 0; i < 50'000; ++i) {
    std::string body = good.substr(head + 8);
    for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes)
      body[random() % body.size()] = static_cast<char>(random());
    if (random() % 4 == 0) body.resize(random() % body.size());
    Writer sum;
    std::uint64_t value = StableHash(body, StableHash(good.substr(0, head)));
    sum(value);
    DropReason reason;
    const auto read = Decode(good.substr(0, head) + sum.bytes + body, "jkt", reason);
    if (!read) continue;
    ++taken;
    for (const MemberRecord& record : read->rumours) {
      EXPECT_FALSE(record.name.empty());
      EXPECT_LE(record.name.size(), kMaxNameBytes);
      EXPECT_LE(record.state, MemberState::kLeft);
      EXPECT_NE(record.address.port, 0);
    }
  }
  EXPECT_GT(taken, 1000);
}

}  // namespace
}  // namespace curlewdoor::fleet
