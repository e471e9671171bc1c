#include "registry_replication/record.hpp"

#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace curlewdoor::registry_replication {
namespace {

constexpr std::uint8_t kFormat = 1;
using PackedMember = std::tuple<std::string, std::uint64_t>;
// Format, epoch, complete epoch, the previous epoch and its members, leaves; behind them, each by a later
// version, the watermark and the members of the epoch.
using Packed = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t,
                          std::vector<PackedMember>, std::string>;
constexpr std::size_t kFields = std::tuple_size_v<Packed>;
constexpr std::size_t kWatermarkAt = kFields, kMembersAt = kFields + 1, kAllFields = kFields + 2;

std::vector<PackedMember> Pack(const std::vector<MemberId>& members) {
  std::vector<PackedMember> packed;
  packed.reserve(members.size());
  for (const MemberId& member : members) packed.emplace_back(member.name, member.incarnation);
  return packed;
}

std::vector<MemberId> Unpack(const std::vector<PackedMember>& packed) {
  std::vector<MemberId> members;
  members.reserve(packed.size());
  for (const auto& [name, incarnation] : packed) members.push_back({name, incarnation});
  return members;
}

}  // namespace

std::string Encode(const KeptRegistry& kept) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kAllFields);
  packer.pack(kFormat);
  packer.pack(kept.record.epoch);
  packer.pack(kept.record.complete_epoch);
  packer.pack(kept.record.previous.epoch);
  packer.pack(Pack(kept.record.previous.members));
  packer.pack(kept.leaves);
  packer.pack(kept.record.watermark);
  packer.pack(Pack(kept.record.members));
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
    kept.record = {epoch, complete_epoch, {previous, Unpack(members)}};
    const auto& fields = packed.via.array;
    if (fields.size > kWatermarkAt) kept.record.watermark = fields.ptr[kWatermarkAt].as<std::uint64_t>();
    if (fields.size > kMembersAt)
      kept.record.members = Unpack(fields.ptr[kMembersAt].as<std::vector<PackedMember>>());
    kept.leaves = std::move(leaves);
    return kept;
  } catch (const std::exception&) {  // msgpack's own, and no memory
    return std::nullopt;
  }
}

}  // namespace curlewdoor::registry_replication
