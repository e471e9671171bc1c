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
constexpr std::uint32_t kFieldCount = 14;     // of an entry; later versions append fields
constexpr std::uint32_t kMinFieldCount = 12;  // written by versions without watermarks
constexpr std::int64_t kMaxSpanMs = 86'400'000;

std::int64_t ClampedMs(Duration span) {
  return std::clamp<std::int64_t>(duration_cast<milliseconds>(span).count(), 0, kMaxSpanMs);
}

bool DecodeEntry(const msgpack::object& packed, Time now, HostEntry& entry) {
  if (packed.type != msgpack::type::ARRAY || packed.via.array.size < kMinFieldCount) return false;
  const msgpack::object* field = packed.via.array.ptr;
  for (std::string* text : {&entry.id, &entry.service, &entry.address, &entry.zone}) {
    if (field->type != msgpack::type::STR || field->via.str.size > kMaxNameBytes) return false;
    text->assign(field->via.str.ptr, field->via.str.size);
    ++field;
  }
  entry.slots = (field++)->as<int>();
  entry.draining = (field++)->as<bool>();
  entry.deregistered = (field++)->as<bool>();
  const auto absence_level = (field++)->as<std::uint8_t>();
  entry.details_sequence = (field++)->as<std::uint64_t>();
  entry.sequence = (field++)->as<std::uint64_t>();
  const auto warm = (field++)->as<std::int64_t>();
  const auto unavailable_since = (field++)->as<std::int64_t>();
  if (packed.via.array.size >= kFieldCount) {
    entry.stamp = (field++)->as<std::uint64_t>();
    entry.departure_watermark = (field++)->as<std::uint64_t>();
  }

  if (entry.id.empty() || entry.slots < 0 || entry.slots > kMaxSlots || absence_level > 2) return false;
  if (std::any_of(entry.id.begin(), entry.id.end(), [](char c) { return c <= ' ' || c > '~'; })) return false;
  if (entry.deregistered && absence_level != 2) return false;
  // An entry without service and address is valid only if nothing but the deregistration of the host was
  // received.
  if (entry.service.empty() || entry.address.empty()) {
    if (!entry.deregistered || !entry.service.empty() || !entry.address.empty()) return false;
  } else if (const auto address = ParseAddress(entry.address);
             !address || address->ToText() != entry.address) {
    return false;
  }
  if (entry.sequence > kMaxSequence || entry.details_sequence > entry.sequence) return false;
  if (entry.stamp > kMaxSequence || entry.departure_watermark > kMaxSequence) return false;
  if (warm < 0 || warm > kMaxSpanMs || unavailable_since < 0 || unavailable_since > kMaxSpanMs) return false;
  entry.unresponsive = absence_level == 1;
  entry.state = absence_level == 2 ? HostState::kRemoved
                : entry.draining   ? HostState::kDraining
                                   : HostState::kReady;
  entry.warm_at = now + milliseconds(warm);
  entry.unavailable_since = now - milliseconds(unavailable_since);
  entry.last_heard = now;
  return true;
}

}  // namespace

std::string Encode(const std::vector<HostEntry>& entries, Time now) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  const std::size_t count = std::min(entries.size(), kMaxEntries);
  packer.pack_array(2);
  packer.pack(kFormat);
  packer.pack_array(static_cast<std::uint32_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    const HostEntry& entry = entries[i];
    packer.pack_array(kFieldCount);
    packer.pack(entry.id);
    packer.pack(entry.service);
    packer.pack(entry.address);
    packer.pack(entry.zone);
    packer.pack(entry.slots);
    packer.pack(entry.draining);
    packer.pack(entry.deregistered);
    packer.pack(static_cast<std::uint8_t>(entry.removed() ? 2 : entry.unresponsive ? 1 : 0));
    packer.pack(entry.details_sequence);
    packer.pack(entry.sequence);
    packer.pack(ClampedMs(entry.warm_at - now));
    packer.pack(entry.removed() || entry.unresponsive ? ClampedMs(now - entry.unavailable_since)
                                                      : std::int64_t{0});
    packer.pack(entry.stamp);
    packer.pack(entry.departure_watermark);
  }
  return {buffer.data(), buffer.size()};
}

std::optional<std::vector<HostEntry>> Decode(std::string_view bytes, Time now) {
  if (bytes.empty() || bytes.size() > kMaxBatchBytes) return std::nullopt;
  try {
    const msgpack::unpack_limit limit(kMaxEntries, 0, kMaxNameBytes, 0, 0, 4);
    std::size_t end = 0;
    bool referenced = false;
    const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, referenced, nullptr, nullptr, limit);
    if (end != bytes.size()) return std::nullopt;
    const msgpack::object& top = handle.get();
    if (top.type != msgpack::type::ARRAY || top.via.array.size < 2) return std::nullopt;
    if (top.via.array.ptr[0].as<std::uint8_t>() != kFormat) return std::nullopt;
    const msgpack::object& list = top.via.array.ptr[1];
    if (list.type != msgpack::type::ARRAY) return std::nullopt;
    std::vector<HostEntry> entries(list.via.array.size);
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (!DecodeEntry(list.via.array.ptr[i], now, entries[i])) return std::nullopt;
    }
    return entries;
  } catch (const std::exception&) {  // msgpack errors and bad_alloc
    return std::nullopt;
  }
}

}  // namespace curlewdoor::service_registry
