#include "rehearsal/figures.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace curlewdoor::rehearsal {
namespace {

using standin::Seconds;
namespace histogram = boost::histogram;

constexpr double kLeastMs = 0.05, kMostMs = 100'000;
constexpr unsigned kBins = 480;  // 3% each

}  // namespace

// ---- Latencies ----------------------------------------------------------------------------------------

struct Latencies::Bins {
  using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
  histogram::histogram<std::tuple<Axis>, histogram::dense_storage<std::uint32_t>> counts =
      histogram::make_histogram_with(histogram::dense_storage<std::uint32_t>(),
                                     Axis(kBins, kLeastMs, kMostMs));
  std::uint64_t count = 0;
};

Latencies::Latencies() = default;
Latencies::Latencies(Latencies&&) noexcept = default;
Latencies& Latencies::operator=(Latencies&&) noexcept = default;
Latencies::~Latencies() = default;

void Latencies::Add(Duration latency) {
  if (bins_ == nullptr) bins_ = std::make_unique<Bins>();
  bins_->counts(std::max(1e-9, 1e3 * Seconds(latency)));
  ++bins_->count;
}

std::uint64_t Latencies::count() const { return bins_ == nullptr ? 0 : bins_->count; }

double Latencies::Quantile(double part) const {
  if (count() == 0) return 0;
  const auto wanted = static_cast<std::uint64_t>(std::ceil(part * static_cast<double>(bins_->count)));
  std::uint64_t below = 0;
  const auto& axis = bins_->counts.axis();
  for (int bin = -1; bin <= axis.size(); ++bin) {
    below += bins_->counts.at(bin);
    if (below < std::max<std::uint64_t>(1, wanted)) continue;
    if (bin < 0) return kLeastMs;
    if (bin >= axis.size()) return kMostMs;
    return std::sqrt(axis.bin(bin).lower() * axis.bin(bin).upper());
  }
  return kMostMs;
}

// ---- Figures ------------------------------------------------------------------------------------------

Figures::Figures(const Scenario& scenario, TimePoint start, const std::vector<standin::Customer>& customers,
                 bool by_second)
    : scenario_(scenario), start_(start), customers_(customers), by_second_(by_second) {
  totals_.length_s = scenario.length_s;
  for (const standin::Customer& customer : customers)
    quotas_.push_back({scenario.plans[static_cast<std::size_t>(customer.plan)].crowd.burst, start});
}

SecondFigures* Figures::At(TimePoint now) {
  if (!by_second_) return nullptr;
  const auto second = static_cast<std::size_t>(std::max(0.0, Seconds(now - start_)));
  if (seconds_.size() <= second) {
    seconds_.resize(second + 1);
    second_latencies_.resize(second + 1);
  }
  return &seconds_[second];
}

Figures::Known& Figures::Of(std::uint64_t id) {
  if (known_.size() <= id) known_.resize(std::max<std::size_t>(id + 1, known_.size() * 2));
  return known_[id];
}

double Figures::Worth(const standin::Ask& ask, Duration latency) const {
  const standin::CrowdClass& kind = scenario_.classes[static_cast<std::size_t>(ask.request_class)].asked;
  return latency <= kind.aim ? kind.worth : latency <= kind.deadline ? kind.late_worth : 0;
}

void Figures::Asked(const standin::Ask& ask) {
  ++totals_.tries;
  Known& known = Of(ask.id);
  known.units = ask.units;
  known.customer = ask.customer;
  if (ask.id != ask.first) return;
  known.in_quota = ask.in_quota;
  ++totals_.offered;
  if (ask.in_quota) {
    ++totals_.in_quota;
    totals_.worth_asked += Worth(ask, Duration::zero());
  }
  if (SecondFigures* second = At(ask.due)) {
    ++second->offered;
    second->in_quota += ask.in_quota ? 1 : 0;
  }
}

void Figures::Answered(TimePoint now, const standin::Ask& ask, AnswerKind kind, int, bool) {
  SecondFigures* second = At(now);
  if (kind == AnswerKind::kRefused) {
    ++totals_.refused;
    ++(ask.in_quota ? totals_.refused_in_quota : totals_.refused_beyond);
    if (second != nullptr) ++second->refused;
    if (second != nullptr && ask.in_quota) ++second->refused_in_quota;
    return;
  }
  if (kind == AnswerKind::kFailed) {
    ++totals_.failed;
    if (second != nullptr) ++second->failed;
    return;
  }
  ++totals_.served;
  const Duration latency = now - ask.asked_at;
  latencies_.Add(latency);
  if (second != nullptr) {
    ++second->served;
    second_latencies_[static_cast<std::size_t>(second - seconds_.data())].Add(latency);
  }
  Known& first = Of(ask.first);
  if (std::exchange(first.served, true) || !first.in_quota) return;
  totals_.worth_served += Worth(ask, latency);
}

void Figures::Unanswered(TimePoint now, const standin::Ask&, bool) {
  ++totals_.broken;
  if (SecondFigures* second = At(now)) ++second->failed;
}

void Figures::AttemptWhole(TimePoint now, int, int, std::uint64_t request) {
  ++totals_.attempts;
  Known& known = Of(request);
  if (known.units <= 0 || std::exchange(known.drawn, true)) return;
  totals_.units_admitted += known.units;
  const auto c = static_cast<std::size_t>(known.customer);
  const standin::CrowdPlan& plan = scenario_.plans[static_cast<std::size_t>(customers_[c].plan)].crowd;
  if (plan.rate <= 0) return;
  Quota& quota = quotas_[c];
  quota.level = std::min(plan.burst, quota.level + plan.rate * Seconds(now - quota.at));
  quota.at = now;
  const double beyond = std::max(0.0, known.units - std::max(0.0, quota.level));
  totals_.units_beyond += beyond;
  quota.level -= known.units - beyond;
}

void Figures::Called(TimePoint now, int) {
  ++totals_.calls;
  if (SecondFigures* second = At(now)) ++second->calls;
}

Totals Figures::Sum() const {
  Totals totals = totals_;
  totals.p50_ms = latencies_.Quantile(0.5);
  totals.p90_ms = latencies_.Quantile(0.9);
  totals.p99_ms = latencies_.Quantile(0.99);
  totals.p999_ms = latencies_.Quantile(0.999);
  for (const Known& known : known_)
    if (known.units > 0 && known.in_quota && !known.served) ++totals.unserved_in_quota;
  return totals;
}

std::vector<SecondFigures> Figures::BySecond() const {
  std::vector<SecondFigures> seconds = seconds_;
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    seconds[i].p50_ms = static_cast<float>(second_latencies_[i].Quantile(0.5));
    seconds[i].p99_ms = static_cast<float>(second_latencies_[i].Quantile(0.99));
  }
  return seconds;
}

}  // namespace curlewdoor::rehearsal
