// An operator's configuration: read whole and checked, or refused with the path of the fault in the document.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace curlewdoor::policy {

// A longer text is refused unread.
inline constexpr std::size_t kMostText = 8 * 1024 * 1024;
// Arrays and objects nested deeper are refused.
inline constexpr std::size_t kMostDepth = 64;
// Documents of more values (numbers, strings, lists, ...) are refused: it bounds the memory that reading
// takes.
inline constexpr std::size_t kMostValues = 1'000'000;
// Longer times are cut to this: it can be added to any clock's now.
inline constexpr std::chrono::milliseconds kMostTime{1'000'000'000'000};

// The document is invalid. what() is "PATH: WHY", as
// `backend_hosts[1].url_paths[0].service: no service is named "x"`; PATH is "document" for the whole of it.
class PolicyError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What a client may send, and how long it may take or stay idle. All are above 0, but for max_body_bytes.
struct Limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 67108864;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct Service {
  std::string name;
  std::string health_check;  // path of the probe, without white space; empty: none given
  int max_connections = 0;   // that a host takes from all callers together; 0: not given
  std::string protocol;      // as given, such as "h1"; empty: not given
  bool tls_enabled = false;
};

struct Tenant {
  std::string name;  // holds no control character, so it can stand in a header
  std::vector<std::string> api_keys;
  std::optional<int> priority;  // takes precedence over the route's; 0 is the highest
  double rate_per_s = 0;        // across all gateways; 0: no limit
  double burst_size = 0;        // requests above the rate
};

// Whether a request may run more than once, or at most once.
enum class Repeat { kIdempotent, kNonIdempotent };

struct Part {
  std::size_t service = 0;  // index into Policy::services()
  double weight = 0;        // 0 or above
};

struct Route {
  std::string name;
  std::string host;    // in lower case, without a port
  std::string prefix;  // begins and ends with a slash
  Repeat repeat = Repeat::kNonIdempotent;
  std::chrono::milliseconds timeout{};         // 1 or above
  std::chrono::milliseconds target_latency{};  // 0 or above; the timeout if not given
  int priority = 0;                            // 0 is the highest
  int max_attempts = 1;                        // 1 or above
  bool public_access = false;
  std::vector<Part> parts;  // one for `service`, one or more for `traffic_split`; the weights' sum is above 0

  // The service at a point from 0 to below 1, an index into Policy::services(): the parts lie there in a row,
  // each as long as its weight. Which point a request gets: split_sequence.hpp.
  std::size_t ServiceAt(double point) const;
};

// Never changes once read, so threads may share it.
class Policy {
 public:
  // Throws PolicyError when the text is no valid configuration. Fields that are not known are ignored.
  static std::shared_ptr<const Policy> Read(std::string text);

  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;

  const std::string& text() const { return text_; }   // as sent, byte for byte
  std::uint64_t version() const { return version_; }  // below 2^53
  const Limits& limits() const { return limits_; }
  const std::vector<Service>& services() const { return services_; }
  const std::vector<Tenant>& tenants() const { return tenants_; }
  const std::vector<Route>& routes() const { return routes_; }
  // Whether the document has the member `tenants`, even if empty: only then are keys asked for.
  bool has_tenants() const { return has_tenants_; }

  // The route for a request's Host header and target: of the host's routes (case and ":port" don't matter)
  // the one of the longest prefix that begins the path (the target up to '?'). nullptr: none. Valid as long
  // as the policy.
  const Route* FindRoute(std::string_view host, std::string_view target) const;

  // The tenant that holds the key, nullptr if none. Valid as long as the policy.
  const Tenant* FindKey(std::string_view key) const;

  // The index of the service of that name in services().
  std::optional<std::size_t> FindService(std::string_view name) const;

 private:
  friend class PolicyReader;

  struct HostHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view host) const;  // without regard to case
  };
  struct HostEqual {
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const;  // without regard to case
  };
  struct HostRoutes {
    std::vector<std::size_t> lengths;  // the lengths that prefixes have, longest first
    std::unordered_map<std::string_view, std::size_t> by_prefix;
  };

  Policy() = default;

  std::string text_;
  std::uint64_t version_ = 0;
  Limits limits_;
  bool has_tenants_ = false;
  std::vector<Service> services_;
  std::vector<Tenant> tenants_;
  std::vector<Route> routes_;
  // The views are of strings in the lists above, which no longer change.
  std::unordered_map<std::string_view, std::size_t> service_by_name_;
  std::unordered_map<std::string_view, std::size_t> tenant_by_key_;
  std::unordered_map<std::string_view, HostRoutes, HostHash, HostEqual> by_host_;
};

}  // namespace curlewdoor::policy
