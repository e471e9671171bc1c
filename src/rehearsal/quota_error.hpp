// How far admission strays from quotas and ceilings, before, during and after a fault: three errors of the
// counter's loss and split, from sightings only.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "rehearsal/scenario.hpp"
#include "rehearsal/sighting.hpp"

namespace curlewdoor::rehearsal {

// A run has a phase before its first fault, one of 10 s from then on, and one after.
enum class Phase { kBefore, kDuring, kAfter };
inline constexpr std::size_t kPhases = 3;

struct QuotaErrors {
  // Units admitted to one customer in any span over what its ceiling allows there, less 1; the worst of spans
  // and customers, 0 at the least.
  double ceiling = 0;
  // Units admitted beyond quotas over what the quotas give in that time, by phase.
  std::array<double, kPhases> quota{};
  // Units within quota that a customer asked for and did not get, over what it asked for within quota, by
  // phase. A customer's units count together: which of its requests was let in makes no difference.
  std::array<double, kPhases> starved{};
};

class QuotaMeter : public Witness {
 public:
  QuotaMeter(const Scenario& scenario, TimePoint start, const std::vector<standin::Customer>& customers);

  void Asked(const standin::Ask& ask) override;
  void AttemptWhole(TimePoint now, int node, int gateway, std::uint64_t request) override;

  QuotaErrors Errors() const;

 private:
  struct Known {  // by id of a try
    double units = 0;
    int customer = 0;
    bool drawn = false;
  };
  struct Account {
    std::array<double, kPhases> asked{};     // within quota
    std::array<double, kPhases> admitted{};  // within quota, as the nodes saw it
    std::array<double, kPhases> beyond{};
    double quota_left = 0;
    TimePoint quota_at;
    double ceiling_left = 0;
    TimePoint ceiling_at, ceiling_full_at;  // when it was full last
    double ceiling_error = 0;
  };

  std::size_t PhaseAt(TimePoint now) const;
  const TariffPlan& PlanOf(int customer) const;
  void DrawQuota(Account& account, const TariffPlan& plan, TimePoint now, double units);
  void DrawCeiling(Account& account, const TariffPlan& plan, TimePoint now, double units);

  const Scenario& scenario_;
  const std::vector<standin::Customer>& customers_;
  TimePoint fault_, after_, end_;
  TimePoint start_;
  std::vector<Known> known_;
  std::vector<Account> accounts_;
};

}  // namespace curlewdoor::rehearsal
