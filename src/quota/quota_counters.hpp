// Quota counters that one core member holds for all gateways: an add to a counter returns its new total,
// until the counter expires, and the share that the gateway may go by without this member. Pure: time is an
// argument. docs/system.md, "Count".
//
// An unreachable gateway continues with its share. So each new counter starts with the shares of the
// unreachable gateways already added, and what they may admit is not given out a second time. A gateway that
// is reachable asks before it admits.
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
#include "quota/share_allocator.hpp"

namespace curlewdoor::quota {

class QuotaCounters {
 public:
  static constexpr std::size_t kMaxCounters = 65'536;  // about 100 bytes each; no further counter is created
  static constexpr std::size_t kMaxShares = 65'536;    // entries by tenant and gateway

  // One add by a gateway.
  struct Call {
    std::string tenant, gateway;  // `gateway` is the one that adds
    CounterName name;
    Duration lifetime{};  // twice the window
    double amount = 0;
    double quota = 0;          // of a window; 0: unknown
    double use = 0;            // ShareReport
    double held_share = 0;     // ShareReport
    TimePoint window_began{};  // by this member's clock
  };
  struct Added {
    double total = 0;
    double share = 0;  // of the quota, allocated to the gateway
  };

  // Starts without knowledge of earlier adds: only windows that begin from now on are counted.
  void Begin(TimePoint now);
  bool started() const { return started_at_.has_value(); }
  void Stop() { started_at_.reset(); }  // the member no longer holds the counters, or cannot know
  // Sets the gateways that may be running but are not heard here. `all`: all that may be running, with this
  // one.
  void SetUnreachable(std::set<std::string> unreachable, std::set<std::string> all);

  // nullopt: nothing was added.
  std::optional<Added> Add(TimePoint now, const Call& call);
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
  ShareAllocator* SharesOf(const Call& call);  // nullptr: there is no room for another entry
  void ExpireShares(TimePoint now);
  void MarkHeard(const std::string& gateway);
  // Whether every allocation of an earlier holder has been reported here or has expired.
  bool KnowsAllocations(TimePoint now, Duration window) const;
  double Reserved(const Call& call) const;

  std::optional<TimePoint> started_at_;
  std::set<std::string> unreachable_, all_;
  std::set<std::string> heard_;    // since the start
  std::set<std::string> unheard_;  // of the unreachable ones, those that are not in heard_
  std::map<CounterName, Counter> counters_;
  std::set<std::pair<TimePoint, CounterName>> by_expiry_;
  std::unordered_map<std::string, ShareAllocator> shares_;  // by tenant
  std::size_t share_count_ = 0;
  TimePoint shares_expire_at_{};
  Figures figures_;
};

}  // namespace curlewdoor::quota
