// Whether one side of a long body keeps up: a least rate over spans of five seconds, in which only the time
// counts that the gateway was ready. Guards against peers that hold a connection with a byte now and then.
#pragma once

#include <cstdint>

#include "logic.hpp"

namespace curlewdoor::net {

class Pace {
 public:
  static constexpr Duration kSpan = std::chrono::seconds(5);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(2400);
  static constexpr std::uint64_t kLeastBytes = 5 * 16'000;  // a span

  void Begin(TimePoint now) {
    span_since_ = moved_at_ = now;
    bytes_ = 0;
  }
  void Moved(TimePoint now, std::uint64_t bytes) {
    moved_at_ = now;
    bytes_ += bytes;
  }
  TimePoint moved_at() const { return moved_at_; }
  // `ready`: the gateway waits for this side. Else its time does not count, and it begins anew.
  bool TooSlow(TimePoint now, bool ready, Duration longest_pause = kLongestPause) {
    if (!ready) return Begin(now), false;
    if (now - moved_at_ > longest_pause) return true;
    if (now - span_since_ < kSpan) return false;
    const bool slow = bytes_ < kLeastBytes;
    span_since_ = now;
    bytes_ = 0;
    return slow;
  }

 private:
  TimePoint span_since_, moved_at_;
  std::uint64_t bytes_ = 0;
};

}  // namespace curlewdoor::net
