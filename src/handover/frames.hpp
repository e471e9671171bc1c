// What passes between two processes of one gateway: frames of four bytes of length, one of kind, a payload.
// Bounded; a stream that holds none is broken for good.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "logic.hpp"
#include "util/address.hpp"

namespace curlewdoor::handover {

inline constexpr std::size_t kMostSnapshot = 4 * 1024 * 1024;
inline constexpr std::size_t kMostFrame = kMostSnapshot + 1024;

enum class Kind : std::uint8_t {
  kHello = 1,
  kSnapshot,
  kSwitch,
  kClient,    // with a descriptor: a client's connection and what was read from it
  kHostLink,  // with a descriptor: a kept connection to a host
  kTaken,
  kStreamClient,  // with a descriptor: a client that is in the middle of a long answer; its host follows:
  kStreamHost,    // with a descriptor: the connection that the rest of the answer comes on
  kSuspend,       // a host was taken out by hand, at either process
  kRestore,
  kFleet  // what this gateway is and knows in its fleet, where it is in one; before the switch
};
inline constexpr std::uint8_t kLastKind = static_cast<std::uint8_t>(Kind::kFleet);
inline bool HasDescriptor(Kind kind) {
  return kind == Kind::kClient || kind == Kind::kHostLink || kind == Kind::kStreamClient ||
         kind == Kind::kStreamHost;
}

struct Frame {
  Kind kind = Kind::kHello;
  std::string payload;
};

std::string Encode(Kind kind, std::string_view payload = {});

// Takes the first whole frame off the front of `bytes`. `broken` is set where there can't be one.
std::optional<Frame> TakeFrame(std::string& bytes, bool& broken);

// A client's connection between two answers: what was read of the next request, and since when.
struct PassedClient {
  Duration age{};  // in its present state
  bool served_any = false;
  bool continued = false;  // it was told to go on with its body
  std::string read;
};
struct PassedLink {
  HostId host;
  Address address;
  Duration idle{};
};
// The same in the middle of a long answer.
struct PassedStream {
  std::string request_class;
  bool chunked = false, close_after = false;
  std::string read;     // behind the request that is being answered
  std::string written;  // of the answer, and not yet taken by the system
};
struct PassedStreamLink {
  HostId host;
  Address address;
  std::string rest;  // reads as an answer that has the rest as its body
};
std::string Encode(const PassedStream& stream);
std::string Encode(const PassedStreamLink& link);
std::optional<PassedStream> DecodeStream(std::string_view payload);
std::optional<PassedStreamLink> DecodeStreamLink(std::string_view payload);
std::string Encode(const PassedClient& client);
std::string Encode(const PassedLink& link);
std::string Encode(HostId host);
std::optional<PassedClient> DecodeClient(std::string_view payload);
std::optional<PassedLink> DecodeLink(std::string_view payload);
std::optional<HostId> DecodeHost(std::string_view payload);

}  // namespace curlewdoor::handover
