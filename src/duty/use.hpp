// The fleet's use, as the holder of the duty `record` adds it up: each gateway tells the holder what it has
// done since its start, and the holder keeps the last word of each life. Pure; bounded by the members.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "duty/lease.hpp"
#include "util/bytes.hpp"

namespace curlewdoor::duty {

inline constexpr std::uint8_t kUseChannel = 2;

struct Use {
  std::uint64_t served = 0, refused = 0, failed = 0;  // requests, since the start of that life
};

inline std::string Encode(Use use) {
  Writer writer;
  writer(use.served, use.refused, use.failed);
  return std::move(writer.bytes);
}

inline std::optional<Use> DecodeUse(std::string_view bytes) {
  Reader reader(bytes);
  Use use;
  reader(use.served, use.refused, use.failed);
  return reader.ok() ? std::optional(use) : std::nullopt;
}

class UseTable {
 public:
  static constexpr std::size_t kMost = 1024;  // gateways, as many as a view has

  void Told(Time now, const std::string& name, const Use& use) {
    if (told_.size() >= kMost && !told_.contains(name)) return;
    told_[name] = {use, now};
  }
  struct Sum {
    std::size_t gateways = 0;
    Use use;
  };
  // Of those that have told within `fresh`; the others are forgotten.
  Sum Add(Time now, Duration fresh) {
    Sum sum;
    for (auto it = told_.begin(); it != told_.end();) {
      if (now - it->second.at > fresh) {
        it = told_.erase(it);
        continue;
      }
      ++sum.gateways;
      sum.use.served += it->second.use.served;
      sum.use.refused += it->second.use.refused;
      sum.use.failed += it->second.use.failed;
      ++it;
    }
    return sum;
  }

 private:
  struct Word {
    Use use;
    Time at{};
  };
  std::map<std::string, Word> told_;
};

}  // namespace curlewdoor::duty
