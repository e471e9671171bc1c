// Fleet-wide request counts, summed by the holder of the duty `record`. Each gateway reports its counts since
// its start to the holder, which keeps the latest report of each gateway. Pure; bounded by the size of the
// membership.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "duty/lease.hpp"
#include "util/bytes.hpp"

namespace curlewdoor::duty {

inline constexpr std::uint8_t kUsageChannel = 2;

// Request counts of one gateway.
struct UsageCounts {
  std::uint64_t served = 0, refused = 0, failed = 0;  // requests since the start of that incarnation
};

inline std::string Encode(UsageCounts usage) {
  Writer writer;
  writer(usage.served, usage.refused, usage.failed);
  return std::move(writer.bytes);
}

inline std::optional<UsageCounts> DecodeUsage(std::string_view bytes) {
  Reader reader(bytes);
  UsageCounts usage;
  reader(usage.served, usage.refused, usage.failed);
  return reader.ok() ? std::optional(usage) : std::nullopt;
}

// Latest reports of all gateways, kept by the holder of the duty `record`.
class UsageTable {
 public:
  static constexpr std::size_t kMaxGateways = 1024;  // as many as a membership view holds

  void Report(Time now, const std::string& name, const UsageCounts& usage) {
    if (reports_.size() >= kMaxGateways && !reports_.contains(name)) return;
    reports_[name] = {usage, now};
  }
  struct Sum {
    std::size_t gateways = 0;
    UsageCounts usage;
  };
  // Sums the reports that are at most `fresh` old and discards the others.
  Sum Total(Time now, Duration fresh) {
    Sum sum;
    for (auto it = reports_.begin(); it != reports_.end();) {
      if (now - it->second.at > fresh) {
        it = reports_.erase(it);
        continue;
      }
      ++sum.gateways;
      sum.usage.served += it->second.usage.served;
      sum.usage.refused += it->second.usage.refused;
      sum.usage.failed += it->second.usage.failed;
      ++it;
    }
    return sum;
  }

 private:
  struct LatestReport {
    UsageCounts usage;
    Time at{};
  };
  std::map<std::string, LatestReport> reports_;
};

}  // namespace curlewdoor::duty
