// The counts that one member of the core holds for all gateways: an add to a name gives the new total, until
// the name's time is up. Pure: time is an argument. docs/system.md, "Count".
//
// A gateway that can't be heard goes on by its measured share. So each new count begins with the shares of
// those that are away already added: what they may let in is not given out a second time.
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

namespace curlewdoor::counting {

class HeldCounts {
 public:
  explicit HeldCounts(double slack = 20) : slack_(slack) {}  // of the rule, in requests

  static constexpr std::size_t kMostCounts = 65'536;  // some 100 bytes each; beyond that no name is begun
  static constexpr std::size_t kMostUses = 65'536;    // by tenant and gateway

  struct Call {
    std::string tenant, gateway;  // whose, and who adds
    CountName name;
    Duration lifetime{};  // a window lasts half of it
    double amount = 0;
    double quota = 0;    // of a window; 0: not known here
    bool tight = false;  // the plan is (logic.hpp)
  };

  // From now on nothing is known of what was added before: of a name whose lifetime is `lifetime`, nothing is
  // counted until every window that may have begun before has ended.
  void Begin(TimePoint now);
  bool begun() const { return begun_.has_value(); }
  void Stop() { begun_.reset(); }  // it holds no counts any more, or can't know whether it does
  // Gateways that may be at work and are not heard here; `all`: that may be at work, this one included.
  void SetAway(TimePoint now, const std::set<std::string>& away, std::set<std::string> all);

  // nullopt: not counted, nothing was added.
  std::optional<double> Add(TimePoint now, const Call& call);
  std::size_t size() const { return counts_.size(); }

 private:
  struct Count {
    double total = 0;
    TimePoint ends;
  };
  struct Use {  // smoothed units
    double units = 0;
    TimePoint at;
  };
  // Of a gateway, at this time or when it added last.
  double OwnUse(const std::string& gateway, const Call& call, TimePoint at) const;
  double AllUse(const Call& call) const;  // as of the last add
  double Reserved(TimePoint now, const Call& call) const;
  void Note(TimePoint now, const Call& call);

  double slack_;
  std::optional<TimePoint> begun_;
  std::map<std::string, TimePoint> away_;  // since when
  std::set<std::string> all_;
  std::set<std::string> heard_;  // since the beginning: they are back from their shares
  std::map<CountName, Count> counts_;
  std::set<std::pair<TimePoint, CountName>> by_end_;
  std::unordered_map<std::string, std::map<std::string, Use>> tenants_;  // by gateway
  std::size_t uses_ = 0;
};

}  // namespace curlewdoor::counting
