// Messages of the membership protocol and their encoding. Decoding checks every bound and rejects messages
// that are truncated, corrupted, from another fleet or of a newer major version. docs/fleet-view.md specifies
// the format byte by byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/member.hpp"

namespace curlewdoor::fleet {

inline constexpr std::uint8_t kMajorVersion = 1, kMinorVersion = 0;
inline constexpr std::size_t kMaxDatagramBytes = 1400;        // larger datagrams may be fragmented
inline constexpr std::size_t kMaxExchangeBytes = 384 * 1024;  // a full exchange, by TCP
inline constexpr std::size_t kMaxPayloadBytes = 1024;         // a message of another subsystem

enum class MessageKind : std::uint8_t {
  kPing = 1,     // to `target`; answered by a kAck with the same sequence
  kAck,          // from the target itself, or relayed by a helper that pinged `target`
  kNack,         // from a helper: `target` has not answered it in time
  kPingRequest,  // to a helper: ping `target` at `target_address` on behalf of the sender
  kGossip,       // rumours only
  kNameTaken,    // to another process that uses the sender's name
  kExchange,     // by TCP: full state of the sender; answered by kExchangeReply
  kExchangeReply,
  kPayload  // a message of another subsystem, identified by its channel
};
inline constexpr std::uint8_t kLastKind = static_cast<std::uint8_t>(MessageKind::kPayload);

// A message of the membership protocol; `kind` determines the fields that are used.
struct GossipMessage {
  MessageKind kind = MessageKind::kPing;
  std::uint32_t sequence = 0;
  MemberRecord sender{};
  std::string target{};  // name of a member
  Address target_address{};
  std::vector<MemberRecord> rumours{};
  std::uint64_t fingerprint = 0;  // Fingerprint() of the sender, with pings and acks; 0: not sent
  std::uint8_t channel = 0;       // of a kPayload: the subsystem
  std::string payload{};
};

// Why a message was rejected.
enum class DropReason : std::uint8_t { kNone, kMalformed, kForeign, kVersion, kTooLong };

std::string Encode(const GossipMessage& message, std::string_view fleet);
// `fleet`: the fleet name that the message must carry. On nullopt `reason` is set and, for kVersion,
// `sender_major` is the major version of the message.
std::optional<GossipMessage> Decode(std::string_view bytes, std::string_view fleet, DropReason& reason,
                                    int* sender_major = nullptr);

// Upper bounds of the encoded size of a rumour within a message, and of a message without rumours.
std::size_t EncodedSize(const MemberRecord& record);
std::size_t EncodedHeadSize(const GossipMessage& message, std::string_view fleet);

// Concatenated records, for the process that takes over in an upgrade.
std::string EncodeRecords(const std::vector<MemberRecord>& records);
std::optional<std::vector<MemberRecord>> DecodeRecords(std::string_view bytes);

}  // namespace curlewdoor::fleet
