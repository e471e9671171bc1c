// Calls of hosts and operators, decoded into commands that are run elsewhere. Pure, no state.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

namespace curlewdoor::service_registry {

inline constexpr std::size_t kMostBeat = 16 * 1024;  // bytes of a host's body
inline constexpr int kMostDepth = 16;                // objects and arrays within one another
inline constexpr std::size_t kMostName = 128;        // bytes of an id, a service, a zone or a version
inline constexpr int kMostSlots = 1'000'000;
inline constexpr std::uint64_t kMostSequence = std::uint64_t{1} << 53;  // what a JSON number holds exactly
inline constexpr std::chrono::hours kMostWarmup{1};                     // longer ones are cut to it

// A host's heartbeat. All of it is checked and within the bounds above.
struct Beat {
  std::string id{};       // 1 to kMostName visible ASCII characters, no '/': fits a header
  std::string service{};  // not empty
  std::string address{};  // "ip:port", IPv4, as Address::ToText() writes it
  std::string zone{};     // may be empty
  std::string version{};  // of the host's software; may be empty
  int slots = 1;          // requests that it works on at once, 0 to kMostSlots; 1 if it doesn't say
  bool draining = false;
  std::uint64_t sequence = 0;  // rises with each call of this life
  std::chrono::milliseconds warmup_left{0};
};

// A host's last call.
struct Leave {
  std::string id{};
};

struct PutConfig {
  std::string text{};  // the body, not looked at
};

struct ReadConfig {};

using Command = std::variant<Beat, Leave, PutConfig, ReadConfig>;

// A call that can't be run; the text names the field by its path ("details.service: missing").
struct CallError : std::runtime_error {
  CallError(int status, const std::string& text) : std::runtime_error(text), status(status), text(text) {}
  int status;  // 400 malformed, 404 no such path, 405 another method, 413 too large
  std::string text;
};

// `path` may carry a query, which is ignored. Throws CallError.
Command Decode(std::string_view method, std::string_view path, std::string body);

}  // namespace curlewdoor::service_registry
