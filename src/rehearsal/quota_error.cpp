#include "rehearsal/quota_error.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::rehearsal {
namespace {

using standin::FromSeconds;
using standin::Seconds;

constexpr Duration kDuring = std::chrono::seconds(10);

}  // namespace

QuotaMeter::QuotaMeter(const Scenario& scenario, TimePoint start,
                       const std::vector<standin::Customer>& customers)
    : scenario_(scenario),
      customers_(customers),
      end_(start + FromSeconds(scenario.length_s)),
      start_(start) {
  double first = scenario.length_s;
  for (const Fault& fault : scenario.faults) first = std::min(first, fault.at);
  fault_ = start + FromSeconds(first);
  after_ = std::min(end_, fault_ + kDuring);
  accounts_.resize(customers.size());
  for (std::size_t c = 0; c < customers.size(); ++c) {
    const TariffPlan& plan = PlanOf(static_cast<int>(c));
    Account& account = accounts_[c];
    account.quota_left = plan.crowd.burst;
    account.ceiling_left = plan.ceiling_burst;
    account.quota_at = account.ceiling_at = account.ceiling_full_at = start;
  }
}

std::size_t QuotaMeter::PhaseAt(TimePoint now) const { return now < fault_ ? 0 : now < after_ ? 1 : 2; }

const TariffPlan& QuotaMeter::PlanOf(int customer) const {
  return scenario_.plans[static_cast<std::size_t>(customers_[static_cast<std::size_t>(customer)].plan)];
}

void QuotaMeter::Asked(const standin::Ask& ask) {
  if (known_.size() <= ask.id) known_.resize(std::max<std::size_t>(ask.id + 1, 2 * known_.size()));
  known_[ask.id] = {ask.units, ask.customer, false};
  if (ask.id == ask.first && ask.in_quota)
    accounts_[static_cast<std::size_t>(ask.customer)].asked[PhaseAt(ask.due)] += ask.units;
}

void QuotaMeter::AttemptWhole(TimePoint now, int, int, std::uint64_t request) {
  if (request >= known_.size()) return;
  Known& known = known_[request];
  if (known.units <= 0 || std::exchange(known.drawn, true)) return;
  Account& account = accounts_[static_cast<std::size_t>(known.customer)];
  const TariffPlan& plan = PlanOf(known.customer);
  DrawQuota(account, plan, now, known.units);
  if (plan.ceiling_rate > 0) DrawCeiling(account, plan, now, known.units);
}

void QuotaMeter::DrawQuota(Account& account, const TariffPlan& plan, TimePoint now, double units) {
  const std::size_t phase = PhaseAt(now);
  double beyond = 0;
  if (plan.crowd.rate > 0) {
    const double refill = plan.crowd.rate * Seconds(now - account.quota_at);
    account.quota_left = std::min(plan.crowd.burst, account.quota_left + refill);
    account.quota_at = now;
    beyond = std::max(0.0, units - std::max(0.0, account.quota_left));
    account.quota_left -= units - beyond;
  }
  account.admitted[phase] += units - beyond;
  account.beyond[phase] += beyond;
}

// Since it was full, it has given its burst and its rate's refill; what is missing below zero was too much.
void QuotaMeter::DrawCeiling(Account& account, const TariffPlan& plan, TimePoint now, double units) {
  account.ceiling_left += plan.ceiling_rate * Seconds(now - account.ceiling_at);
  account.ceiling_at = now;
  if (account.ceiling_left >= plan.ceiling_burst) {
    account.ceiling_left = plan.ceiling_burst;
    account.ceiling_full_at = now;
  }
  account.ceiling_left -= units;
  if (account.ceiling_left >= 0) return;
  const double allowed = plan.ceiling_burst + plan.ceiling_rate * Seconds(now - account.ceiling_full_at);
  account.ceiling_error = std::max(account.ceiling_error, -account.ceiling_left / allowed);
}

QuotaErrors QuotaMeter::Errors() const {
  QuotaErrors errors;
  const std::array<double, kPhases> lengths{Seconds(fault_ - start_), Seconds(after_ - fault_),
                                            Seconds(end_ - after_)};
  for (std::size_t phase = 0; phase < kPhases; ++phase) {
    double beyond = 0, quota = 0, missed = 0, asked = 0;
    for (std::size_t c = 0; c < accounts_.size(); ++c) {
      const double rate = PlanOf(static_cast<int>(c)).crowd.rate;
      if (rate <= 0) continue;
      const Account& account = accounts_[c];
      beyond += account.beyond[phase];
      quota += rate * lengths[phase];
      asked += account.asked[phase];
      missed += std::max(0.0, account.asked[phase] - account.admitted[phase] - account.beyond[phase]);
    }
    errors.quota[phase] = quota > 0 ? beyond / quota : 0;
    errors.starved[phase] = asked > 0 ? missed / asked : 0;
  }
  for (const Account& account : accounts_) errors.ceiling = std::max(errors.ceiling, account.ceiling_error);
  return errors;
}

}  // namespace curlewdoor::rehearsal
