// Which requests of a tenant go first while it asks for more than its quota. Pure: times and chances are
// arguments.
//
// A window's units go to who asks first, whatever it is worth. So while a tenant is beyond its quota, its
// requests stand in steps: what its operator ranks highest and what can still be answered within its aim asks
// always (step 0); each step behind asks with a fourth of the chance before it, by as much as step 0 is
// refused. Once step 0 gets all it asks for, the others ask as freely as ever, so nothing within the quota is
// held back for long. Source: RULES.md, "Quotas"; PROTOCOL.md, `priority`, `target_latency_ms`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "logic.hpp"
#include "util/lru_map.hpp"

namespace curlewdoor::counting {

class Pressure {
 public:
  struct Options {
    std::size_t most_tenants = 100'000;  // the longest unseen go
    std::size_t most_routes = 10'000;
  };
  Pressure() : Pressure(Options{}) {}
  explicit Pressure(const Options& options) : tenants_(options.most_tenants), longest_(options.most_routes) {}

  // How long its client has waited already for a request of this route that says it has `left`: the longest
  // that was told in the last 30 to 60 s less that. Clients count from their first try on.
  Duration Spent(TimePoint now, const std::string& route, Duration left);

  // Whether a request of the tenant may ask for a unit. `window`: of the tenant's count. `steps`: behind
  // those that go first, 0 or above. `chance`: 0 to 1, drawn for this request.
  bool MayAsk(TimePoint now, const std::string& tenant, Duration window, int steps, double chance);
  // The tenant's count refused a request of step 0.
  void Refused(TimePoint now, const std::string& tenant, Duration window);

  // 0 to 1: how far the steps behind are held back.
  double HeldBack(TimePoint now, const std::string& tenant, Duration window);

 private:
  struct Tenant {
    std::int64_t window = 0;        // counted from the clock's zero
    double asked = 0, refused = 0;  // of step 0 in this window
    double held_back = 0;           // by the windows before
  };
  struct Longest {
    Duration present{}, past{};
    TimePoint since{};
  };
  Tenant& Roll(TimePoint now, const std::string& tenant, Duration window);

  LruMap<Tenant> tenants_;
  LruMap<Longest> longest_;
};

}  // namespace curlewdoor::counting
