// How long a kept connection may have stood idle and still be used. Hosts close idle ones at the latest at a
// limit that they tell, some much earlier and without a word; what is written to those may have run. So the
// time is learned: halved when a connection breaks at once under a request, grown while those of that age
// serve.
#pragma once

#include <algorithm>

#include "logic.hpp"

namespace curlewdoor::net {

class KeepTime {
 public:
  explicit KeepTime(Duration longest) : longest_(longest), value_(longest) {}

  Duration value() const { return value_; }

  // A connection that had stood idle for so long brought an answer.
  void Served(Duration idle) {
    if (idle >= value_ / 2) value_ = std::min(longest_, value_ + value_ / kGrowth);
  }
  // It broke `after` its request was written. One that breaks later broke for another reason.
  void Broke(Duration idle, Duration after) {
    if (after <= kAtOnce) value_ = std::max(std::min(longest_, kLeast), std::min(value_, idle) / 2);
  }

 private:
  static constexpr int kGrowth = 50;  // settles where one in some fifty of the oldest breaks
  static constexpr Duration kAtOnce = std::chrono::milliseconds(20);  // there and back
  static constexpr Duration kLeast = std::chrono::milliseconds(50);   // shorter ones save nothing

  const Duration longest_;
  Duration value_;
};

}  // namespace curlewdoor::net
