#include "fleet/message.hpp"

#include <algorithm>

#include "util/bytes.hpp"
#include "util/hash.hpp"

namespace curlewdoor::fleet {
namespace {

constexpr std::uint32_t kMagic = 0x56464443;  // "CDFV"

// Parts behind the head, each with its length: a reader passes over those it does not know, and over what
// stands in a known one behind the fields it knows.
enum class Part : std::uint8_t { kSender = 1, kSequence, kTarget, kTargetAddress, kRumour, kPayload, kView };

template <typename Codec, typename R>
void Fields(Codec& codec, R& record) {
  codec(record.name, record.boot, record.incarnation, record.state, record.address.ip, record.address.port,
        record.about, record.by);
}

bool Sound(const Record& record) {
  return !record.name.empty() && record.name.size() <= kMostName && record.about.size() <= kMostAbout &&
         record.by.size() <= kMostName && record.state <= State::kLeft && record.address.ip != 0 &&
         record.address.port != 0;
}

void Add(std::string& bytes, Part part, std::string_view inner) {
  Writer head;
  const auto length = static_cast<std::uint16_t>(inner.size());
  head(part, length);
  bytes.append(head.bytes).append(inner);
}

// Takes the first part off the front of `rest`. False: it is cut.
bool TakePart(std::string_view& rest, Part& part, std::string_view& inner) {
  constexpr std::size_t kPartHead = 3;
  Reader lengths(rest);
  std::uint16_t length = 0;
  lengths(part, length);
  if (!lengths.ok() || rest.size() < kPartHead + length) return false;
  inner = rest.substr(kPartHead, length);
  rest.remove_prefix(kPartHead + length);
  return true;
}

std::string RecordBytes(const Record& record) {
  Writer writer;
  Fields(writer, record);
  return std::move(writer.bytes);
}

std::optional<Record> ReadRecord(std::string_view bytes) {
  Record record;
  Reader reader(bytes);
  Fields(reader, record);
  if (!reader.ok() || !Sound(record)) return std::nullopt;
  return record;
}

// The head: magic, major, minor, kind, the fleet's name with its length, a sum over all but itself.
std::string Head(const Message& message, std::string_view fleet) {
  Writer writer;
  const auto size = static_cast<std::uint8_t>(fleet.size());
  writer(kMagic, kMajor, kMinor, message.kind, size);
  return writer.bytes.append(fleet);
}

std::uint64_t SumOf(std::string_view head, std::string_view body) {
  return StableHash(body, StableHash(head));
}

}  // namespace

std::size_t SizeOf(const Record& record) {
  constexpr std::size_t kFixed = 3 + 3 * 4 + 8 + 4 + 1 + 4 + 2;  // the part's head, lengths, numbers
  return kFixed + record.name.size() + record.about.size() + record.by.size();
}

std::size_t SizeOfHead(const Message& message, std::string_view fleet) {
  constexpr std::size_t kFixed = 8 + 8 + (3 + 4) + 3 + (3 + 6) + (3 + 1) + (3 + 8);  // head, sum, parts
  return kFixed + fleet.size() + SizeOf(message.sender) + message.target.size() + message.payload.size();
}

std::string Encode(const Message& message, std::string_view fleet) {
  const std::string head = Head(message, fleet);
  std::string body;
  Add(body, Part::kSender, RecordBytes(message.sender));
  Writer sequence;
  sequence(message.sequence);
  Add(body, Part::kSequence, sequence.bytes);
  if (!message.target.empty()) Add(body, Part::kTarget, message.target);
  if (message.target_address.port != 0) {
    Writer address;
    address(message.target_address.ip, message.target_address.port);
    Add(body, Part::kTargetAddress, address.bytes);
  }
  if (message.view != 0) {
    Writer view;
    view(message.view);
    Add(body, Part::kView, view.bytes);
  }
  for (const Record& rumour : message.rumours) Add(body, Part::kRumour, RecordBytes(rumour));
  if (!message.payload.empty())
    Add(body, Part::kPayload, std::string(1, static_cast<char>(message.channel)) + message.payload);
  Writer sum;
  const std::uint64_t value = SumOf(head, body);
  sum(value);
  return head + sum.bytes + body;
}

std::optional<Message> Decode(std::string_view bytes, std::string_view fleet, Drop& why, int* version) {
  const auto refuse = [&](Drop reason) {
    why = reason;
    return std::nullopt;
  };
  why = Drop::kNone;
  if (bytes.size() > kMostExchange) return refuse(Drop::kTooLong);
  Reader head(bytes);
  std::uint32_t magic = 0;
  std::uint8_t major = 0, minor = 0, kind = 0, size = 0;
  head(magic, major, minor, kind, size);
  if (!head.ok() || magic != kMagic) return refuse(Drop::kMalformed);
  if (major != kMajor) {
    if (version != nullptr) *version = major;
    return refuse(Drop::kVersion);
  }
  constexpr std::size_t kHead = 8, kSum = 8;
  if (bytes.size() < kHead + size + kSum) return refuse(Drop::kMalformed);
  if (bytes.substr(kHead, size) != fleet) return refuse(Drop::kForeign);
  Reader sums(bytes.substr(kHead + size, kSum));
  std::uint64_t sum = 0;
  sums(sum);
  std::string_view rest = bytes.substr(kHead + size + kSum);
  if (sum != SumOf(bytes.substr(0, kHead + size), rest)) return refuse(Drop::kMalformed);
  if (kind < 1 || kind > kLastKind) return refuse(Drop::kVersion);  // of a newer minor version
  Message message;
  message.kind = static_cast<Kind>(kind);
  bool has_sender = false;
  while (!rest.empty()) {
    auto part = Part::kSender;
    std::string_view inner;
    if (!TakePart(rest, part, inner)) return refuse(Drop::kMalformed);
    Reader reader(inner);
    if (part == Part::kSender || part == Part::kRumour) {
      auto record = ReadRecord(inner);
      if (!record || message.rumours.size() >= kMostMembers) return refuse(Drop::kMalformed);
      if (part == Part::kRumour) {
        message.rumours.push_back(std::move(*record));
      } else {
        message.sender = std::move(*record);
        has_sender = true;
      }
    } else if (part == Part::kSequence) {
      reader(message.sequence);
    } else if (part == Part::kTarget) {
      if (inner.size() > kMostName) return refuse(Drop::kMalformed);
      message.target = inner;
    } else if (part == Part::kTargetAddress) {
      reader(message.target_address.ip, message.target_address.port);
    } else if (part == Part::kView) {
      reader(message.view);
    } else if (part == Part::kPayload) {
      reader(message.channel);
      if (inner.size() > kMostPayload + 1) return refuse(Drop::kMalformed);
      message.payload = inner.substr(std::min<std::size_t>(1, inner.size()));
    }
    if (!reader.ok()) return refuse(Drop::kMalformed);
  }
  if (!has_sender) return refuse(Drop::kMalformed);
  return message;
}

std::string EncodeRecords(const std::vector<Record>& records) {
  std::string bytes;
  for (const Record& record : records) Add(bytes, Part::kRumour, RecordBytes(record));
  return bytes;
}

std::optional<std::vector<Record>> DecodeRecords(std::string_view bytes) {
  std::vector<Record> records;
  while (!bytes.empty()) {
    auto part = Part::kSender;
    std::string_view inner;
    if (!TakePart(bytes, part, inner) || part != Part::kRumour) return std::nullopt;
    auto record = ReadRecord(inner);
    if (!record || records.size() >= kMostMembers) return std::nullopt;
    records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace curlewdoor::fleet
