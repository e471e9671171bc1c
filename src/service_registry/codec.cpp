#include "service_registry/codec.hpp"

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>

#include "util/address.hpp"

namespace curlewdoor::service_registry {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::uint8_t kFormat = 1;
constexpr std::uint32_t kParts = 14;            // of an entry; a later version's stand behind
constexpr std::uint32_t kLeastParts = 12;       // versions before watermarks write so many
constexpr std::int64_t kMostSpan = 86'400'000;  // ms

std::int64_t Span(Duration span) {
  return std::clamp<std::int64_t>(duration_cast<milliseconds>(span).count(), 0, kMostSpan);
}

bool TakeEntry(const msgpack::object& packed, Time now, Entry& entry) {
  if (packed.type != msgpack::type::ARRAY || packed.via.array.size < kLeastParts) return false;
  const msgpack::object* part = packed.via.array.ptr;
  for (std::string* text : {&entry.id, &entry.service, &entry.address, &entry.zone}) {
    if (part->type != msgpack::type::STR || part->via.str.size > kMostName) return false;
    text->assign(part->via.str.ptr, part->via.str.size);
    ++part;
  }
  entry.slots = (part++)->as<int>();
  entry.draining = (part++)->as<bool>();
  entry.left = (part++)->as<bool>();
  const auto absence = (part++)->as<std::uint8_t>();
  entry.said_at = (part++)->as<std::uint64_t>();
  entry.sequence = (part++)->as<std::uint64_t>();
  const auto warm = (part++)->as<std::int64_t>();
  const auto since = (part++)->as<std::int64_t>();
  if (packed.via.array.size >= kParts) {
    entry.stamp = (part++)->as<std::uint64_t>();
    entry.leave_watermark = (part++)->as<std::uint64_t>();
  }

  if (entry.id.empty() || entry.slots < 0 || entry.slots > kMostSlots || absence > 2) return false;
  if (std::any_of(entry.id.begin(), entry.id.end(), [](char c) { return c <= ' ' || c > '~'; })) return false;
  if (entry.left && absence != 2) return false;
  // Only of a life whose last call alone was heard nothing else is known.
  if (entry.service.empty() || entry.address.empty()) {
    if (!entry.left || !entry.service.empty() || !entry.address.empty()) return false;
  } else if (const auto address = ParseAddress(entry.address);
             !address || address->ToText() != entry.address) {
    return false;
  }
  if (entry.sequence > kMostSequence || entry.said_at > entry.sequence) return false;
  if (entry.stamp > kMostSequence || entry.leave_watermark > kMostSequence) return false;
  if (warm < 0 || warm > kMostSpan || since < 0 || since > kMostSpan) return false;
  entry.silent = absence == 1;
  entry.state = absence == 2 ? HostState::kGone : entry.draining ? HostState::kDraining : HostState::kReady;
  entry.warm_at = now + milliseconds(warm);
  entry.since = now - milliseconds(since);
  entry.heard = now;
  return true;
}

}  // namespace

std::string Encode(const std::vector<Entry>& entries, Time now) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  const std::size_t count = std::min(entries.size(), kMostEntries);
  packer.pack_array(2);
  packer.pack(kFormat);
  packer.pack_array(static_cast<std::uint32_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    const Entry& entry = entries[i];
    packer.pack_array(kParts);
    packer.pack(entry.id);
    packer.pack(entry.service);
    packer.pack(entry.address);
    packer.pack(entry.zone);
    packer.pack(entry.slots);
    packer.pack(entry.draining);
    packer.pack(entry.left);
    packer.pack(static_cast<std::uint8_t>(entry.gone() ? 2 : entry.silent ? 1 : 0));
    packer.pack(entry.said_at);
    packer.pack(entry.sequence);
    packer.pack(Span(entry.warm_at - now));
    packer.pack(entry.gone() || entry.silent ? Span(now - entry.since) : std::int64_t{0});
    packer.pack(entry.stamp);
    packer.pack(entry.leave_watermark);
  }
  return {buffer.data(), buffer.size()};
}

std::optional<std::vector<Entry>> Decode(std::string_view bytes, Time now) {
  if (bytes.empty() || bytes.size() > kMostBatch) return std::nullopt;
  try {
    const msgpack::unpack_limit limit(kMostEntries, 0, kMostName, 0, 0, 4);
    std::size_t end = 0;
    bool referenced = false;
    const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, referenced, nullptr, nullptr, limit);
    if (end != bytes.size()) return std::nullopt;
    const msgpack::object& top = handle.get();
    if (top.type != msgpack::type::ARRAY || top.via.array.size < 2) return std::nullopt;
    if (top.via.array.ptr[0].as<std::uint8_t>() != kFormat) return std::nullopt;
    const msgpack::object& list = top.via.array.ptr[1];
    if (list.type != msgpack::type::ARRAY) return std::nullopt;
    std::vector<Entry> entries(list.via.array.size);
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (!TakeEntry(list.via.array.ptr[i], now, entries[i])) return std::nullopt;
    }
    return entries;
  } catch (const std::exception&) {  // msgpack's own, and no memory
    return std::nullopt;
  }
}

}  // namespace curlewdoor::service_registry
