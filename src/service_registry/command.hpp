// Decodes API calls of hosts and operators into commands, which are executed elsewhere. Pure and stateless.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

namespace curlewdoor::service_registry {

inline constexpr std::size_t kMaxHeartbeatBytes = 16 * 1024;  // size of a request body from a host
inline constexpr int kMaxJsonDepth = 16;                      // nesting of objects and arrays
inline constexpr std::size_t kMaxNameBytes = 128;  // length of an id, a service, a zone or a version
inline constexpr int kMaxSlots = 1'000'000;
inline constexpr std::uint64_t kMaxSequence = std::uint64_t{1}
                                              << 53;  // largest range of exact integers in a JSON number
inline constexpr std::chrono::hours kMaxWarmup{1};    // longer values are clamped

// Heartbeat of a host. All fields are validated and within the bounds above.
struct Heartbeat {
  // 1 to kMaxNameBytes printable ASCII characters without '/', so that it fits into a header.
  std::string id{};
  std::string service{};  // not empty
  std::string address{};  // "ip:port", IPv4, as written by Address::ToText()
  std::string zone{};     // may be empty
  std::string version{};  // version of the software on the host; may be empty
  // Number of concurrent requests, 0 to kMaxSlots; 1 if the host does not report it.
  int slots = 1;
  bool draining = false;
  std::uint64_t sequence = 0;  // increases with each call of this incarnation
  std::chrono::milliseconds warmup_left{0};
};

// Last call of a host, which ends its registration.
struct Deregistration {
  std::string id{};
};

// Replaces the configuration.
struct ReplaceConfig {
  std::string text{};  // the unparsed body
};

// Reads the configuration.
struct ReadConfig {};

using Command = std::variant<Heartbeat, Deregistration, ReplaceConfig, ReadConfig>;

// A call that cannot be executed. The text names the field by its path ("details.service: missing").
struct CallError : std::runtime_error {
  CallError(int status, const std::string& text) : std::runtime_error(text), status(status), text(text) {}
  int status;  // 400 malformed, 404 unknown path, 405 wrong method, 413 too large
  std::string text;
};

// `path` may have a query, which is ignored. Throws CallError.
Command Decode(std::string_view method, std::string_view path, std::string body);

}  // namespace curlewdoor::service_registry
