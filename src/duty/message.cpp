#include "duty/message.hpp"

#include "util/bytes.hpp"

namespace curlewdoor::duty {
namespace {

constexpr std::size_t kMostHolder = 64;  // a gateway's name
constexpr Duration kLongest = std::chrono::hours(24);

template <typename Codec, typename E>
void Fields(Codec& codec, E& entry) {
  codec(entry.duty, entry.question, entry.token, entry.yes, entry.bound, entry.who, entry.holder);
}

bool Sound(const Entry& entry) {
  return !entry.duty.empty() && entry.duty.size() <= kMostName && entry.holder.size() <= kMostHolder &&
         entry.bound >= Duration::zero() && entry.bound <= kLongest;
}

}  // namespace

std::string Encode(const Message& message) {
  Writer writer;
  const auto count = static_cast<std::uint8_t>(message.entries.size());
  writer(kVersion, message.kind, message.round, message.lists.voters, message.lists.before, message.lease,
         count);
  for (const Entry& entry : message.entries) Fields(writer, entry);
  return std::move(writer.bytes);
}

std::optional<Message> Decode(std::string_view bytes) {
  Reader reader(bytes);
  Message message;
  std::uint8_t version = 0, count = 0;
  reader(version, message.kind, message.round, message.lists.voters, message.lists.before, message.lease,
         count);
  const auto kind = static_cast<std::uint8_t>(message.kind);
  if (!reader.ok() || version != kVersion || kind < 1 || kind > kLastKind || count > kMostDuties ||
      message.lease <= Duration::zero() || message.lease > kLongest)
    return std::nullopt;
  for (std::uint8_t i = 0; i < count; ++i) {
    Entry entry;
    Fields(reader, entry);
    if (!reader.ok() || !Sound(entry)) return std::nullopt;
    message.entries.push_back(std::move(entry));
  }
  return message;
}

}  // namespace curlewdoor::duty
