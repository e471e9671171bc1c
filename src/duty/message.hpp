// Messages between gateways about duties, and their encoding as payloads of the membership protocol (channel
// kDutyChannel). Loss, repetition and reordering are harmless (docs/duties.md). Decoding checks every bound.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "duty/lease.hpp"

namespace curlewdoor::duty {

inline constexpr std::uint8_t kDutyChannel = 1;
inline constexpr std::uint8_t kMessageVersion = 1;
inline constexpr std::size_t kMaxDuties = 16;         // per fleet
inline constexpr std::size_t kMaxDutyNameBytes = 24;  // length of a duty name in bytes; at least 1

enum class MessageKind : std::uint8_t {
  kQuery = 1,  // to voters: asks what they have promised; answered by kQueryReply
  kQueryReply,
  kRequest,  // to voters: asks for a promise; answered by kReply
  kReply,
  // To voters, from a holder that has stopped acting: passes the promise to `incarnation`. Answered by
  // kTransferReply.
  kTransfer,
  kTransferReply,
  kTakeOver  // to the successor: the voters are informed, so request the lease now
};
inline constexpr std::uint8_t kLastKind = static_cast<std::uint8_t>(MessageKind::kTakeOver);

// The voter lists that a gateway applies, each as a fingerprint; 0: no list.
struct VoterLists {
  std::uint64_t voters = 0, previous = 0;
  bool operator==(const VoterLists&) const = default;
};

// The part of a message about one duty.
struct DutyEntry {
  std::string duty{};
  // `token`: from a voter, the highest token that it has seen.
  std::uint64_t request_id = 0, token = 0;
  bool granted = false;  // in kReply and kTransferReply
  Duration remaining{};  // from a voter: how long no other candidate can receive a promise
  // In kQueryReply and kReply: the incarnation that holds the promise; in kTransfer: the successor.
  Incarnation incarnation = 0;
  std::string holder{};  // name of that gateway
};

// A message about one or more duties.
struct DutyMessage {
  MessageKind kind = MessageKind::kQuery;
  std::uint32_t round = 0;  // of a query, repeated in its reply
  VoterLists lists{};       // that the sender applies
  Duration lease{};         // of the sender
  std::vector<DutyEntry> entries{};
};

std::string Encode(const DutyMessage& message);
// Returns nullopt if the bytes are malformed or exceed a bound.
std::optional<DutyMessage> Decode(std::string_view bytes);

}  // namespace curlewdoor::duty
