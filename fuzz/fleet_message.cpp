// Datagrams and exchanges of the fleet's view. The input is the head up to the fleet's name and the parts;
// the sum over them is made here, or nothing would ever be read.
#include <string>

#include "fleet/message.hpp"
#include "target.hpp"
#include "util/bytes.hpp"
#include "util/hash.hpp"

namespace curlewdoor::fleet {

constexpr std::string_view kFleet = "flock";

void CheckRecord(const MemberRecord& record) {
  FUZZ_REQUIRE(!record.name.empty() && record.name.size() <= kMaxNameBytes);
  FUZZ_REQUIRE(record.metadata.size() <= kMaxMetadataBytes && record.reported_by.size() <= kMaxNameBytes);
  FUZZ_REQUIRE(record.state <= MemberState::kLeft && record.address.ip != 0 && record.address.port != 0);
}

void Check(std::string_view bytes) {
  if (const auto records = DecodeRecords(bytes))
    FUZZ_REQUIRE(records->size() <= kMaxMembers && DecodeRecords(EncodeRecords(*records)) == records);

  auto reason = DropReason::kNone;
  constexpr std::size_t kHead = 4;  // major, minor, kind and one byte to spare: magic and name stand fast
  if (bytes.size() < kHead) return;
  std::string head("CDFV");
  head.append(bytes.substr(0, 3)).append(1, static_cast<char>(kFleet.size())).append(kFleet);
  const std::string_view body = bytes.substr(kHead);
  Writer sum;
  std::uint64_t value = StableHash(body, StableHash(head));
  sum(value);
  int major = 0;
  const auto message = Decode(head + sum.bytes + std::string(body), kFleet, reason, &major);
  FUZZ_REQUIRE(message.has_value() == (reason == DropReason::kNone));
  if (!message) return;
  CheckRecord(message->sender);
  FUZZ_REQUIRE(message->rumours.size() <= kMaxMembers && message->target.size() <= kMaxNameBytes);
  FUZZ_REQUIRE(message->payload.size() <= kMaxPayloadBytes);
  for (const MemberRecord& rumour : message->rumours) CheckRecord(rumour);
  const std::string written = Encode(*message, kFleet);
  const auto again = Decode(written, kFleet, reason);
  FUZZ_REQUIRE(again && Encode(*again, kFleet) == written);
  FUZZ_REQUIRE(again->sender == message->sender && again->rumours == message->rumours);
}

}  // namespace curlewdoor::fleet

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::fleet::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
