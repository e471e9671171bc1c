#include "registry/record.hpp"

#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace curlewdoor::registry {
namespace {

constexpr std::uint8_t kFormat = 1;
using PackedMember = std::tuple<std::string, std::uint64_t>;
// Format, epoch, complete epoch, the previous epoch and its members, leaves; behind them the watermark.
using Packed = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t,
                          std::vector<PackedMember>, std::string>;
constexpr std::size_t kFields = std::tuple_size_v<Packed>;

}  // namespace

std::string Encode(const KeptRegistry& kept) {
  std::vector<PackedMember> members;
  for (const MemberId& member : kept.record.previous.members)
    members.emplace_back(member.name, member.incarnation);
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFields + 1);
  packer.pack(kFormat);
  packer.pack(kept.record.epoch);
  packer.pack(kept.record.complete_epoch);
  packer.pack(kept.record.previous.epoch);
  packer.pack(members);
  packer.pack(kept.leaves);
  packer.pack(kept.record.watermark);
  return {buffer.data(), buffer.size()};
}

std::optional<KeptRegistry> Decode(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    const msgpack::object& packed = handle.get();
    if (packed.type != msgpack::type::ARRAY || packed.via.array.size < kFields) return std::nullopt;
    auto [format, epoch, complete_epoch, previous, members, leaves] = packed.as<Packed>();
    if (format != kFormat) return std::nullopt;
    KeptRegistry kept;
    kept.record = {epoch, complete_epoch, {previous, {}}};
    // Versions before watermarks wrote none.
    if (packed.via.array.size > kFields)
      kept.record.watermark = packed.via.array.ptr[kFields].as<std::uint64_t>();
    for (const auto& [name, incarnation] : members)
      kept.record.previous.members.push_back({name, incarnation});
    kept.leaves = std::move(leaves);
    return kept;
  } catch (const std::exception&) {  // msgpack's own, and no memory
    return std::nullopt;
  }
}

}  // namespace curlewdoor::registry
