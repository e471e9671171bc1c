// Allocates shares of a tenant's quota to gateways by their use, so that the shares of all gateways together
// never exceed the quota. The holder of the tenant's counter sends a share with each reply; gateways go by it
// while they cannot reach the holder. Pure: times are arguments.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "logic.hpp"
#include "logic/allocated_share.hpp"

namespace curlewdoor::quota {

// Of a quota: split evenly over all gateways, whether or not they use it. The rest is allocated by use.
inline constexpr double kEvenShare = 1.0 / 3;
// How long an allocation is valid at a gateway, at the least; also two windows.
inline constexpr Duration kShareLifetime = std::chrono::seconds(3);
// After a lifetime: until a gateway is known to be unreachable, and its allocation kept for it.
inline constexpr Duration kUnreachableDetection = std::chrono::seconds(2);

inline Duration ShareLifetime(Duration window) { return AllocatedShare::Lifetime(kShareLifetime, window); }

// What a gateway reports with an add.
struct ShareReport {
  double use = 0;         // smoothed units, those that are asked for now included
  double held_share = 0;  // allocated by an earlier reply, of this or of another holder
  double quota = 0;       // units per window; 0 if unknown
  Duration window{};
};

// The shares of one tenant. What is allocated to a gateway stays taken until it has expired there or the
// gateway reports less, so another gateway's share grows only after that.
class ShareAllocator {
 public:
  using IsUnreachable = std::function<bool(const std::string& gateway)>;

  void Record(TimePoint now, const std::string& gateway, const ShareReport& report);
  // The new share, as a fraction of the quota, of a gateway whose report was just recorded.
  double Allocate(TimePoint now, const std::string& gateway);
  // What the gateway may hold.
  double Held(const std::string& gateway) const;
  // Drops expired allocations, except those of unreachable gateways, which may still go by them.
  void Expire(TimePoint now, const IsUnreachable& unreachable);

  bool Knows(const std::string& gateway) const { return entries_.contains(gateway); }
  std::size_t size() const { return entries_.size(); }
  double allocated() const { return allocated_; }

 private:
  struct Entry {
    double use = 0;  // as of used_at
    TimePoint used_at{};
    double share = 0;
    TimePoint expires{};
  };
  void Take(Entry& entry, double share, TimePoint now);

  std::map<std::string, Entry> entries_;
  double quota_ = 0;
  Duration window_{};
  double total_use_ = 0;  // as of total_at_
  TimePoint total_at_{};
  double allocated_ = 0;
};

}  // namespace curlewdoor::quota
