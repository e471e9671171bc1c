// Prioritises a tenant's requests while it asks for more than its quota. Pure: times and random numbers are
// arguments.
//
// A window's units go to the first requests that ask, whatever their priority. So while a tenant exceeds its
// quota, its requests have ranks: those with the highest operator priority that can still meet their latency
// target always ask (rank 0); each further rank asks with a fourth of the previous rank's probability, scaled
// by how often rank 0 is refused. Once rank 0 gets all it asks for, the throttling ends, so nothing within
// the quota is throttled for long. Source: RULES.md, "Quotas"; PROTOCOL.md, `priority`, `target_latency_ms`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "logic.hpp"
#include "util/lru_map.hpp"

namespace curlewdoor::quota {

// Tracks refusals per tenant and decides which lower-priority requests may ask.
class PriorityThrottle {
 public:
  struct Options {
    std::size_t max_tenants = 100'000;  // least recently used entries are evicted
    std::size_t max_routes = 10'000;
  };
  PriorityThrottle() : PriorityThrottle(Options{}) {}
  explicit PriorityThrottle(const Options& options)
      : tenants_(options.max_tenants), longest_deadlines_(options.max_routes) {}

  // Estimates how long a client has waited when its request has `left` until the deadline: the route's
  // longest such time of the last 30 to 60 s minus `left`. Clients measure the deadline from their first try.
  Duration TimeSpent(TimePoint now, const std::string& route, Duration left);

  // Whether a request of the tenant may ask for a unit. `window`: of the tenant's counter. `rank`: 0 is the
  // highest priority. `chance`: random number from 0 to 1 for this request.
  bool Allow(TimePoint now, const std::string& tenant, Duration window, int rank, double chance);
  // Records that the tenant's counter refused a request of rank 0.
  void RecordRefusal(TimePoint now, const std::string& tenant, Duration window);

  // 0 to 1: how strongly ranks above 0 are throttled.
  double ThrottleLevel(TimePoint now, const std::string& tenant, Duration window);

 private:
  struct Tenant {
    std::int64_t window = 0;        // index from the clock's epoch
    double asked = 0, refused = 0;  // of rank 0 in this window
    double throttle = 0;            // from earlier windows
  };
  struct LongestDeadline {
    Duration current{}, previous{};
    TimePoint since{};
  };
  Tenant& CurrentWindow(TimePoint now, const std::string& tenant, Duration window);

  LruMap<Tenant> tenants_;
  LruMap<LongestDeadline> longest_deadlines_;
};

}  // namespace curlewdoor::quota
