// The operators' configuration. A document is read and validated as a whole, or rejected with the path of the
// first error in it.
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

// A longer document is rejected before it is parsed.
inline constexpr std::size_t kMaxDocumentBytes = 8 * 1024 * 1024;
// A document with more deeply nested arrays and objects is rejected.
inline constexpr std::size_t kMaxNestingDepth = 64;
// A document with more values (numbers, strings, arrays, ...) is rejected. This bounds the memory for
// parsing.
inline constexpr std::size_t kMaxValues = 1'000'000;
// Longer durations are reduced to this one, which can be added to any clock's current time without overflow.
inline constexpr std::chrono::milliseconds kMaxDuration{1'000'000'000'000};

// The document is invalid. what() is "PATH: REASON", such as
// `backend_hosts[1].url_paths[0].service: no service is named "x"`. PATH is "document" for the document
// itself.
class PolicyError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Limits on what a client may send and how long it may take or stay idle. All are above 0, except that
// max_body_bytes may be 0.
struct Limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 67108864;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// A service that requests are routed to.
struct Service {
  std::string name;
  std::string health_check;  // path of the health check, without white space; empty if not given
  int max_connections = 0;   // that one host accepts from all clients together; 0 if not given
  std::string protocol;      // as given, such as "h1"; empty if not given
  bool tls_enabled = false;
};

// A customer of the gateway, identified by its API keys.
struct Tenant {
  std::string name;  // contains no control character, so it can be sent in a header
  std::vector<std::string> api_keys;
  std::optional<int> priority;  // overrides the route's priority; 0 is the highest
  double rate_per_s = 0;        // over all gateways together; 0 means no limit
  double burst_size = 0;        // requests allowed above the rate
};

// Whether a request may be executed more than once, or at most once.
enum class RouteType { kIdempotent, kNonIdempotent };

// One entry of a route's traffic split.
struct WeightedService {
  std::size_t service = 0;  // index into Policy::services()
  double weight = 0;        // 0 or above
};

// The rules for requests to one host with one path prefix.
struct Route {
  std::string name;
  std::string host;    // in lower case, without a port
  std::string prefix;  // begins and ends with a slash
  RouteType type = RouteType::kNonIdempotent;
  std::chrono::milliseconds timeout{};         // 1 or above
  std::chrono::milliseconds target_latency{};  // 0 or above; defaults to the timeout
  int priority = 0;                            // 0 is the highest
  int max_attempts = 1;                        // 1 or above
  bool public_access = false;
  std::vector<WeightedService>
      split;  // one entry for `service`, one or more for `traffic_split`; the sum of weights is above 0

  // The service at a point in [0, 1), as an index into Policy::services(). The entries of the split divide
  // the interval in their order, each in proportion to its weight. SplitSequence chooses the point of a
  // request.
  std::size_t ServiceAt(double point) const;
};

// A valid configuration. It is immutable, so threads may share it.
class Policy {
 public:
  // Throws PolicyError if the text is not a valid configuration. Unknown fields are ignored.
  static std::shared_ptr<const Policy> Read(std::string text);

  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;

  const std::string& text() const { return text_; }   // as received, byte for byte
  std::uint64_t version() const { return version_; }  // below 2^53
  const Limits& limits() const { return limits_; }
  const std::vector<Service>& services() const { return services_; }
  const std::vector<Tenant>& tenants() const { return tenants_; }
  const std::vector<Route>& routes() const { return routes_; }
  // Whether the document has the member `tenants`, even an empty one. API keys are required only then.
  bool has_tenants() const { return has_tenants_; }

  // The route for a request's Host header and target: of the host's routes, the one with the longest prefix
  // of the path (the target up to '?'). Case and port of the host are ignored. nullptr if there is none. The
  // pointer is valid as long as the policy.
  const Route* FindRoute(std::string_view host, std::string_view target) const;

  // The tenant that has this API key, or nullptr. The pointer is valid as long as the policy.
  const Tenant* FindKey(std::string_view key) const;

  // The index in services() of the service with this name.
  std::optional<std::size_t> FindService(std::string_view name) const;

 private:
  friend class PolicyReader;

  struct HostHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view host) const;  // case-insensitive
  };
  struct HostEqual {
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const;  // case-insensitive
  };
  struct HostRoutes {
    std::vector<std::size_t> prefix_lengths;  // the distinct lengths of the prefixes, longest first
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
  // The keys are views of strings in the vectors above, which do not change after reading.
  std::unordered_map<std::string_view, std::size_t> service_by_name_;
  std::unordered_map<std::string_view, std::size_t> tenant_by_key_;
  std::unordered_map<std::string_view, HostRoutes, HostHash, HostEqual> by_host_;
};

}  // namespace curlewdoor::policy
