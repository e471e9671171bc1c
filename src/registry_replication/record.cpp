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
// Format, epoch, complete epoch, previous epoch and its members, leaves. Later versions appended the
// watermark and then the members of the epoch.
using Packed = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t,
                          std::vector<PackedMember>, std::string>;
constexpr std::size_t kRequiredFields = std::tuple_size_v<Packed>;
constexpr std::size_t kWatermarkIndex = kRequiredFields, kMembersIndex = kRequiredFields + 1,
                      kFieldCount = kRequiredFields + 2;

std::vector<PackedMember> PackMembers(const std::vector<MemberId>& members) {
  std::vector<PackedMember> packed;
  packed.reserve(members.size());
  for (const MemberId& member : members) packed.emplace_back(member.name, member.incarnation);
  return packed;
}

std::vector<MemberId> UnpackMembers(const std::vector<PackedMember>& packed) {
  std::vector<MemberId> members;
  members.reserve(packed.size());
  for (const auto& [name, incarnation] : packed) members.push_back({name, incarnation});
  return members;
}

}  // namespace

std::string Encode(const StoredRegistry& stored) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFieldCount);
  packer.pack(kFormat);
  packer.pack(stored.record.epoch);
  packer.pack(stored.record.complete_epoch);
  packer.pack(stored.record.previous.epoch);
  packer.pack(PackMembers(stored.record.previous.members));
  packer.pack(stored.leaves);
  packer.pack(stored.record.watermark);
  packer.pack(PackMembers(stored.record.members));
  return {buffer.data(), buffer.size()};
}

std::optional<StoredRegistry> Decode(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    const msgpack::object& packed = handle.get();
    if (packed.type != msgpack::type::ARRAY || packed.via.array.size < kRequiredFields) return std::nullopt;
    auto [format, epoch, complete_epoch, previous, members, leaves] = packed.as<Packed>();
    if (format != kFormat) return std::nullopt;
    StoredRegistry stored;
    stored.record = {epoch, complete_epoch, {previous, UnpackMembers(members)}};
    const auto& fields = packed.via.array;
    if (fields.size > kWatermarkIndex)
      stored.record.watermark = fields.ptr[kWatermarkIndex].as<std::uint64_t>();
    if (fields.size > kMembersIndex)
      stored.record.members = UnpackMembers(fields.ptr[kMembersIndex].as<std::vector<PackedMember>>());
    stored.leaves = std::move(leaves);
    return stored;
  } catch (const std::exception&) {  // errors of msgpack, and std::bad_alloc
    return std::nullopt;
  }
}

}  // namespace curlewdoor::registry_replication
