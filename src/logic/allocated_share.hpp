// A gateway's share of a quota, as the holder of its counter allocated it with the latest reply. Without the
// holder the gateway admits no more than this share. Pure: times are arguments.
#pragma once

#include <algorithm>
#include <optional>

#include "logic.hpp"

namespace curlewdoor {

// An allocation is valid for its lifetime, measured from the call that brought it. One that is valid when
// calls begin to fail stays valid for as long as they fail without a pause of a lifetime. Shares are
// fractions of the quota, from 0 to 1.
class AllocatedShare {
 public:
  // Of an allocation where windows are this long.
  static Duration Lifetime(Duration least, Duration window) { return std::max(least, 2 * window); }

  void OnReply(double share, TimePoint called_at) {
    share_ = std::clamp(share, 0.0, 1.0);
    called_at_ = called_at;
    failing_since_.reset();
  }
  void OnFailure(TimePoint now, Duration lifetime) {
    if (!failing_since_ || now - failed_at_ > lifetime) failing_since_ = now;
    failed_at_ = now;
  }
  // Allocated to this gateway by its use, beyond its part of what all gateways share evenly.
  double Held(TimePoint now, Duration lifetime) const {
    const bool failing = failing_since_ && now - failed_at_ <= lifetime;
    const TimePoint until = failing ? *failing_since_ : now;
    return until - called_at_ <= lifetime ? share_ : 0;
  }
  std::optional<TimePoint> failing_since() const { return failing_since_; }
  std::optional<TimePoint> failed_at() const {  // the latest failure since a reply
    return failing_since_ ? std::optional(failed_at_) : std::nullopt;
  }

 private:
  double share_ = 0;
  TimePoint called_at_{}, failed_at_{};
  std::optional<TimePoint> failing_since_;
};

}  // namespace curlewdoor
