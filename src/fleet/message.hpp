// What passes between gateways, as values and as bytes. Bounded and checked: a reader takes nothing that was
// cut, changed, made by another fleet or by a newer major version. docs/fleet-view.md has it byte by byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/member.hpp"

namespace curlewdoor::fleet {

inline constexpr std::uint8_t kMajor = 1, kMinor = 0;
inline constexpr std::size_t kMostDatagram = 1400;        // bytes; larger ones may be cut up on their way
inline constexpr std::size_t kMostExchange = 384 * 1024;  // bytes of a full exchange, by TCP
inline constexpr std::size_t kMostPayload = 1024;         // bytes of another subsystem's message

enum class Kind : std::uint8_t {
  kPing = 1,     // to `target`; owed: an ack with its sequence
  kAck,          // from its sender, or, for one that was asked through it, of `target`
  kNack,         // the helper is there, `target` has not answered it in time
  kPingRequest,  // to a helper: ping `target` at `target_address` for me
  kGossip,       // rumours alone
  kTaken,        // to another process under the sender's name
  kExchange,     // by TCP: all that the sender knows; owed: a kExchangeReply
  kExchangeReply,
  kPayload  // a message of a subsystem that stands on the view, by its channel
};
inline constexpr std::uint8_t kLastKind = static_cast<std::uint8_t>(Kind::kPayload);

struct Message {
  Kind kind = Kind::kPing;
  std::uint32_t sequence = 0;
  Record sender{};
  std::string target{};  // a member's name
  Address target_address{};
  std::vector<Record> rumours{};
  std::uint64_t view = 0;    // the sender's Fingerprint(), with pings and acks; 0: not told
  std::uint8_t channel = 0;  // of a kPayload: which subsystem
  std::string payload{};
};

// Why bytes were not taken.
enum class Drop : std::uint8_t { kNone, kMalformed, kForeign, kVersion, kTooLong };

std::string Encode(const Message& message, std::string_view fleet);
// `fleet`: the name that it must carry. On nullopt `why` tells; with kVersion, `major` which one it has.
std::optional<Message> Decode(std::string_view bytes, std::string_view fleet, Drop& why,
                              int* major = nullptr);

// Bytes that a rumour takes within a message, and those of a message without rumours, at the most.
std::size_t SizeOf(const Record& record);
std::size_t SizeOfHead(const Message& message, std::string_view fleet);

// Plain records one behind another, for the process that takes over.
std::string EncodeRecords(const std::vector<Record>& records);
std::optional<std::vector<Record>> DecodeRecords(std::string_view bytes);

}  // namespace curlewdoor::fleet
