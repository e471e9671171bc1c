// Quota counters that one core member holds for all gateways: an add to a counter returns its new total,
// until the counter expires. Pure: time is an argument. docs/system.md, "Count".
//
// An unreachable gateway continues with its measured share. So each new counter starts with the shares of the
// unreachable gateways already added, and what they may admit is not given out a second time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "logic.hpp"

namespace curlewdoor::quota {

// Holds counters and, per tenant, the smoothed use of each gateway.
class QuotaCounters {
 public:
  explicit QuotaCounters(double slack = 20) : slack_(slack) {}  // of the quota rule, in requests

  static constexpr std::size_t kMaxCounters = 65'536;  // about 100 bytes each; no further counter is created
  static constexpr std::size_t kMaxUsageEntries = 65'536;  // entries by tenant and gateway

  // One add by a gateway.
  struct Call {
    std::string tenant, gateway;  // `gateway` is the one that adds
    CounterName name;
    Duration lifetime{};  // twice the window
    double amount = 0;
    double quota = 0;                // of a window; 0: unknown
    bool no_burst_headroom = false;  // of the plan (logic.hpp)
  };

  // Starts without knowledge of earlier adds: a counter counts only after every window that may have started
  // before has ended.
  void Begin(TimePoint now);
  bool started() const { return started_at_.has_value(); }
  void Stop() { started_at_.reset(); }  // the member no longer holds the counters, or cannot know
  // Sets the gateways that may be running but are not heard here. `all`: all that may be running, with this
  // one.
  void SetUnreachable(TimePoint now, const std::set<std::string>& unreachable, std::set<std::string> all);

  // nullopt: nothing was added.
  std::optional<double> Add(TimePoint now, const Call& call);
  std::size_t size() const { return counters_.size(); }

  struct Figures {
    std::uint64_t counted = 0;             // adds
    std::uint64_t refused = 0;             // adds, while this member doesn't count yet or any more
    double units = 0, reserved_units = 0;  // counted, and reserved for gateways that are not heard
  };
  const Figures& figures() const { return figures_; }

 private:
  struct Counter {
    double total = 0;
    TimePoint expires;
  };
  struct Usage {  // smoothed units
    double units = 0;
    TimePoint at;
  };
  // Smoothed use of a gateway at `at`, or at its last add if that is later.
  double LocalUse(const std::string& gateway, const Call& call, TimePoint at) const;
  double TotalUse(const Call& call) const;  // as of the last add
  double Reserved(TimePoint now, const Call& call) const;
  void RecordUse(TimePoint now, const Call& call);

  double slack_;
  std::optional<TimePoint> started_at_;
  std::map<std::string, TimePoint> unreachable_;  // since when each is unreachable
  std::set<std::string> all_;
  std::set<std::string> heard_;  // since the start: they count again
  std::map<CounterName, Counter> counters_;
  std::set<std::pair<TimePoint, CounterName>> by_expiry_;
  std::unordered_map<std::string, std::map<std::string, Usage>> tenants_;  // by gateway
  std::size_t usage_count_ = 0;
  Figures figures_;
};

}  // namespace curlewdoor::quota
