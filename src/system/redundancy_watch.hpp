// Tells when the core bears fewer further losses than before, and when it bears more again. Pure.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace curlewdoor::system {

inline constexpr std::chrono::milliseconds kRedundancySettles{1000};

class RedundancyWatch {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;
  struct Change {
    int before = 0, now = 0;  // further losses that are borne; below 0: no majority is caught up
  };

  // A number that differs for less than `settle` isn't told: after each change of the configuration some
  // voter is behind for a moment.
  explicit RedundancyWatch(Duration settle) : settle_(settle) {}

  // `further_losses`: of the core's status now. To be called several times a `settle`.
  std::optional<Change> Look(Time now, int further_losses) {
    if (!told_) {  // the first one is where it begins
      told_ = candidate_ = further_losses;
      return std::nullopt;
    }
    if (further_losses != candidate_) {
      candidate_ = further_losses;
      since_ = now;
    }
    if (candidate_ == *told_ || now - since_ < settle_) return std::nullopt;
    const Change change{*told_, candidate_};
    told_ = candidate_;
    losses_ += change.now < change.before ? 1 : 0;
    return change;
  }
  // This machine is no voter any more: what it told doesn't count.
  void Reset() { told_.reset(); }

  std::optional<int> further_losses() const { return told_; }
  std::uint64_t losses() const { return losses_; }  // of redundancy, since the start

 private:
  const Duration settle_;
  std::optional<int> told_;
  int candidate_ = 0;
  Time since_{};
  std::uint64_t losses_ = 0;
};

}  // namespace curlewdoor::system
