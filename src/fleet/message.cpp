#include "fleet/message.hpp"

#include <algorithm>

#include "util/bytes.hpp"
#include "util/hash.hpp"

namespace curlewdoor::fleet {
namespace {

constexpr std::uint32_t kMagic = 0x56464443;  // "CDFV"

// Parts that follow the header, each prefixed with its length. A reader skips unknown parts and unknown
// trailing fields of known parts.
enum class PartTag : std::uint8_t {
  kSender = 1,
  kSequence,
  kTarget,
  kTargetAddress,
  kRumour,
  kPayload,
  kFingerprint
};

template <typename Codec, typename R>
void Fields(Codec& codec, R& record) {
  codec(record.name, record.boot, record.incarnation, record.state, record.address.ip, record.address.port,
        record.metadata, record.reported_by);
}

bool IsValid(const MemberRecord& record) {
  return !record.name.empty() && record.name.size() <= kMaxNameBytes &&
         record.metadata.size() <= kMaxMetadataBytes && record.reported_by.size() <= kMaxNameBytes &&
         record.state <= MemberState::kLeft && record.address.ip != 0 && record.address.port != 0;
}

void AppendPart(std::string& bytes, PartTag part, std::string_view inner) {
  Writer head;
  const auto length = static_cast<std::uint16_t>(inner.size());
  head(part, length);
  bytes.append(head.bytes).append(inner);
}

// Removes the first part from the front of `rest`. False: it is truncated.
bool ReadPart(std::string_view& rest, PartTag& part, std::string_view& inner) {
  constexpr std::size_t kPartHead = 3;
  Reader lengths(rest);
  std::uint16_t length = 0;
  lengths(part, length);
  if (!lengths.ok() || rest.size() < kPartHead + length) return false;
  inner = rest.substr(kPartHead, length);
  rest.remove_prefix(kPartHead + length);
  return true;
}

std::string RecordBytes(const MemberRecord& record) {
  Writer writer;
  Fields(writer, record);
  return std::move(writer.bytes);
}

std::optional<MemberRecord> ReadRecord(std::string_view bytes) {
  MemberRecord record;
  Reader reader(bytes);
  Fields(reader, record);
  if (!reader.ok() || !IsValid(record)) return std::nullopt;
  return record;
}

// Header: magic, major, minor, kind, length and name of the fleet. A checksum over header and body follows
// it.
std::string EncodeHead(const GossipMessage& message, std::string_view fleet) {
  Writer writer;
  const auto size = static_cast<std::uint8_t>(fleet.size());
  writer(kMagic, kMajorVersion, kMinorVersion, message.kind, size);
  return writer.bytes.append(fleet);
}

std::uint64_t Checksum(std::string_view head, std::string_view body) {
  return StableHash(body, StableHash(head));
}

}  // namespace

std::size_t EncodedSize(const MemberRecord& record) {
  constexpr std::size_t kFixed =
      3 + 3 * 4 + 8 + 4 + 1 + 4 + 2;  // header of the part, string lengths, numbers
  return kFixed + record.name.size() + record.metadata.size() + record.reported_by.size();
}

std::size_t EncodedHeadSize(const GossipMessage& message, std::string_view fleet) {
  constexpr std::size_t kFixed =
      8 + 8 + (3 + 4) + 3 + (3 + 6) + (3 + 1) + (3 + 8);  // header, checksum, parts
  return kFixed + fleet.size() + EncodedSize(message.sender) + message.target.size() + message.payload.size();
}

std::string Encode(const GossipMessage& message, std::string_view fleet) {
  const std::string head = EncodeHead(message, fleet);
  std::string body;
  AppendPart(body, PartTag::kSender, RecordBytes(message.sender));
  Writer sequence;
  sequence(message.sequence);
  AppendPart(body, PartTag::kSequence, sequence.bytes);
  if (!message.target.empty()) AppendPart(body, PartTag::kTarget, message.target);
  if (message.target_address.port != 0) {
    Writer address;
    address(message.target_address.ip, message.target_address.port);
    AppendPart(body, PartTag::kTargetAddress, address.bytes);
  }
  if (message.fingerprint != 0) {
    Writer fingerprint;
    fingerprint(message.fingerprint);
    AppendPart(body, PartTag::kFingerprint, fingerprint.bytes);
  }
  for (const MemberRecord& rumour : message.rumours) AppendPart(body, PartTag::kRumour, RecordBytes(rumour));
  if (!message.payload.empty())
    AppendPart(body, PartTag::kPayload, std::string(1, static_cast<char>(message.channel)) + message.payload);
  Writer sum;
  const std::uint64_t value = Checksum(head, body);
  sum(value);
  return head + sum.bytes + body;
}

std::optional<GossipMessage> Decode(std::string_view bytes, std::string_view fleet, DropReason& reason,
                                    int* sender_major) {
  const auto refuse = [&](DropReason drop) {
    reason = drop;
    return std::nullopt;
  };
  reason = DropReason::kNone;
  if (bytes.size() > kMaxExchangeBytes) return refuse(DropReason::kTooLong);
  Reader head(bytes);
  std::uint32_t magic = 0;
  std::uint8_t major = 0, minor = 0, kind = 0, size = 0;
  head(magic, major, minor, kind, size);
  if (!head.ok() || magic != kMagic) return refuse(DropReason::kMalformed);
  if (major != kMajorVersion) {
    if (sender_major != nullptr) *sender_major = major;
    return refuse(DropReason::kVersion);
  }
  constexpr std::size_t kHead = 8, kSum = 8;
  if (bytes.size() < kHead + size + kSum) return refuse(DropReason::kMalformed);
  if (bytes.substr(kHead, size) != fleet) return refuse(DropReason::kForeign);
  Reader sums(bytes.substr(kHead + size, kSum));
  std::uint64_t sum = 0;
  sums(sum);
  std::string_view rest = bytes.substr(kHead + size + kSum);
  if (sum != Checksum(bytes.substr(0, kHead + size), rest)) return refuse(DropReason::kMalformed);
  if (kind < 1 || kind > kLastKind) return refuse(DropReason::kVersion);  // of a newer minor version
  GossipMessage message;
  message.kind = static_cast<MessageKind>(kind);
  bool has_sender = false;
  while (!rest.empty()) {
    auto part = PartTag::kSender;
    std::string_view inner;
    if (!ReadPart(rest, part, inner)) return refuse(DropReason::kMalformed);
    Reader reader(inner);
    if (part == PartTag::kSender || part == PartTag::kRumour) {
      auto record = ReadRecord(inner);
      if (!record || message.rumours.size() >= kMaxMembers) return refuse(DropReason::kMalformed);
      if (part == PartTag::kRumour) {
        message.rumours.push_back(std::move(*record));
      } else {
        message.sender = std::move(*record);
        has_sender = true;
      }
    } else if (part == PartTag::kSequence) {
      reader(message.sequence);
    } else if (part == PartTag::kTarget) {
      if (inner.size() > kMaxNameBytes) return refuse(DropReason::kMalformed);
      message.target = inner;
    } else if (part == PartTag::kTargetAddress) {
      reader(message.target_address.ip, message.target_address.port);
    } else if (part == PartTag::kFingerprint) {
      reader(message.fingerprint);
    } else if (part == PartTag::kPayload) {
      reader(message.channel);
      if (inner.size() > kMaxPayloadBytes + 1) return refuse(DropReason::kMalformed);
      message.payload = inner.substr(std::min<std::size_t>(1, inner.size()));
    }
    if (!reader.ok()) return refuse(DropReason::kMalformed);
  }
  if (!has_sender) return refuse(DropReason::kMalformed);
  return message;
}

std::string EncodeRecords(const std::vector<MemberRecord>& records) {
  std::string bytes;
  for (const MemberRecord& record : records) AppendPart(bytes, PartTag::kRumour, RecordBytes(record));
  return bytes;
}

std::optional<std::vector<MemberRecord>> DecodeRecords(std::string_view bytes) {
  std::vector<MemberRecord> records;
  while (!bytes.empty()) {
    auto part = PartTag::kSender;
    std::string_view inner;
    if (!ReadPart(bytes, part, inner) || part != PartTag::kRumour) return std::nullopt;
    auto record = ReadRecord(inner);
    if (!record || records.size() >= kMaxMembers) return std::nullopt;
    records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace curlewdoor::fleet
