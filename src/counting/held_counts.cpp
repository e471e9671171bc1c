#include "counting/held_counts.hpp"

#include <algorithm>

namespace curlewdoor::counting {

void HeldCounts::Begin(TimePoint now) {
  counts_.clear();
  by_end_.clear();
  begun_ = now;
}

std::optional<double> HeldCounts::Add(TimePoint now, CountName name, Duration lifetime, double amount) {
  if (!begun_ || now - *begun_ < lifetime / 2) return std::nullopt;
  while (!by_end_.empty() && by_end_.begin()->first <= now) {
    counts_.erase(by_end_.begin()->second);
    by_end_.erase(by_end_.begin());
  }
  auto it = counts_.find(name);
  if (it == counts_.end()) {
    if (counts_.size() >= kMostCounts) return std::nullopt;
    it = counts_.emplace(name, Count{0, now + std::max<Duration>(lifetime, std::chrono::milliseconds(1))})
             .first;
    by_end_.emplace(it->second.ends, name);
  }
  return it->second.total += amount;
}

}  // namespace curlewdoor::counting
