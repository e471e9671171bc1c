#include "duty/message.hpp"

#include "util/bytes.hpp"

namespace curlewdoor::duty {
namespace {

constexpr std::size_t kMaxHolderNameBytes = 64;  // limit for a gateway name
constexpr Duration kMaxDuration = std::chrono::hours(24);

template <typename Codec, typename E>
void Fields(Codec& codec, E& entry) {
  codec(entry.duty, entry.request_id, entry.token, entry.granted, entry.remaining, entry.incarnation,
        entry.holder);
}

bool IsValid(const DutyEntry& entry) {
  return !entry.duty.empty() && entry.duty.size() <= kMaxDutyNameBytes &&
         entry.holder.size() <= kMaxHolderNameBytes && entry.remaining >= Duration::zero() &&
         entry.remaining <= kMaxDuration;
}

}  // namespace

std::string Encode(const DutyMessage& message) {
  Writer writer;
  const auto count = static_cast<std::uint8_t>(message.entries.size());
  writer(kMessageVersion, message.kind, message.round, message.lists.voters, message.lists.previous,
         message.lease, count);
  for (const DutyEntry& entry : message.entries) Fields(writer, entry);
  return std::move(writer.bytes);
}

std::optional<DutyMessage> Decode(std::string_view bytes) {
  Reader reader(bytes);
  DutyMessage message;
  std::uint8_t version = 0, count = 0;
  reader(version, message.kind, message.round, message.lists.voters, message.lists.previous, message.lease,
         count);
  const auto kind = static_cast<std::uint8_t>(message.kind);
  if (!reader.ok() || version != kMessageVersion || kind < 1 || kind > kLastKind || count > kMaxDuties ||
      message.lease <= Duration::zero() || message.lease > kMaxDuration)
    return std::nullopt;
  for (std::uint8_t i = 0; i < count; ++i) {
    DutyEntry entry;
    Fields(reader, entry);
    if (!reader.ok() || !IsValid(entry)) return std::nullopt;
    message.entries.push_back(std::move(entry));
  }
  return message;
}

}  // namespace curlewdoor::duty
