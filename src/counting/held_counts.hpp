// The counts that one member of the core holds for all gateways: an add to a name gives the new total, until
// the name's time is up. Pure: time is an argument. docs/system.md, "Count".
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "logic.hpp"

namespace curlewdoor::counting {

class HeldCounts {
 public:
  static constexpr std::size_t kMostCounts = 65'536;  // some 100 bytes each; beyond that no name is begun

  // From now on nothing is known of what was added before: of a name whose lifetime is `lifetime`, nothing is
  // counted until every window that may have begun before has ended.
  void Begin(TimePoint now);
  bool begun() const { return begun_.has_value(); }
  void Stop() { begun_.reset(); }  // it holds no counts any more, or can't know whether it does

  // nullopt: not counted, nothing was added. A window lasts half of a name's lifetime.
  std::optional<double> Add(TimePoint now, CountName name, Duration lifetime, double amount);
  std::size_t size() const { return counts_.size(); }

 private:
  struct Count {
    double total = 0;
    TimePoint ends;
  };
  std::optional<TimePoint> begun_;
  std::map<CountName, Count> counts_;
  std::set<std::pair<TimePoint, CountName>> by_end_;
};

}  // namespace curlewdoor::counting
