#include "load_balancing/load_balancer.hpp"

#include <algorithm>
#include <cmath>

#include "util/hash.hpp"
#include "util/seconds.hpp"

namespace curlewdoor::load_balancing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Least weight of a new latency in a host's slowness. The first answers weigh more, so that a slow host is
// detected early.
constexpr double kLatencySmoothing = 0.15;
constexpr double kMaxSlowness = 6, kMinSlowness = 0.2;
// Statistics of a host that receives no attempts decay by a factor of e in this many seconds.
constexpr double kStatsDecaySeconds = 10;
constexpr double kFailureSmoothing = 0.1;   // weight of one attempt in a host's failure rate
constexpr double kFailureRateSlowness = 4;  // slowness added at a failure rate of 1
constexpr double kSlowStartDelay = 1;       // delay added while a host is in slow start
constexpr double kMaxCredit = 2;            // bound of the round-robin credit, positive and negative
// A failing host is ejected for this long at first; the time doubles with each further failure.
constexpr Duration kFirstEjection = milliseconds(250);
constexpr Duration kMaxEjection = seconds(4);
constexpr Duration kOverloadEjection = milliseconds(30);  // after a host has rejected a request as overloaded
// Consecutive failures before a host is ejected to which connections can be established.
constexpr int kFailuresBeforeEjection = 3;
// When more than this share of the hosts is ejected, the cause is probably not the hosts and ejections are
// ignored.
constexpr double kMaxEjectedShare = 0.5;

}  // namespace

void LoadBalancer::SetHosts(TimePoint, std::span<const BackendHost> hosts) {
  std::map<HostId, TrackedHost> next;
  for (const BackendHost& host : hosts) {
    const auto found = hosts_.find(host.id);
    TrackedHost tracked = found != hosts_.end() ? found->second : TrackedHost{};
    tracked.host = host;
    if (found == hosts_.end()) tracked.credit = Fraction(rng_()) - 0.5;
    next.emplace(host.id, std::move(tracked));
  }
  in_flight_ = 0;
  for (const auto& [id, tracked] : next) in_flight_ += tracked.in_flight;
  hosts_.swap(next);
}

int LoadBalancer::slots() const {
  int slots = 0;
  for (const auto& [id, tracked] : hosts_) slots += tracked.host.slots;
  return slots;
}

std::vector<double> ApertureShares(std::size_t hosts, std::size_t index, std::size_t gateways) {
  std::vector<double> shares(hosts, 0);
  if (hosts == 0 || gateways == 0) return shares;
  const auto count = static_cast<double>(hosts);
  const double step = count / static_cast<double>(gateways);
  const double width = std::min(count, std::max(1.0, step)), begin = static_cast<double>(index) * step;
  for (std::size_t i = 0; i < hosts; ++i)
    for (const double offset : {0.0, count}) {  // the aperture may wrap around the end of the ring
      const double from = std::max(begin, static_cast<double>(i) + offset);
      const double to = std::min(begin + width, static_cast<double>(i) + 1 + offset);
      shares[i] += std::max(0.0, to - from);
    }
  return shares;
}

double LoadBalancer::Weight(TimePoint now, const TrackedHost& tracked) const {
  const double decay = std::exp(-Seconds(now - tracked.updated_at) / kStatsDecaySeconds);
  const double slowness = std::max(
      kMinSlowness, 1 + (tracked.slowness - 1) * decay + kFailureRateSlowness * tracked.failure_rate * decay);
  const double slots = std::max(1, tracked.host.slots);
  // The attempts in flight from this gateway are an estimate of the host's total load. They count before the
  // slots are full, since other gateways use the same slots.
  double delay = slowness * (1 + tracked.in_flight / slots);
  if (!tracked.host.same_zone) delay += options_.cross_zone_delay;
  delay += options_.outside_aperture_delay * (1 - std::min(1.0, tracked.host.aperture_share));
  if (now < tracked.host.slow_start_until) delay += kSlowStartDelay;
  return slots * std::pow(delay, -options_.delay_exponent);
}

std::optional<HostId> LoadBalancer::Choose(TimePoint now, std::span<const HostId> tried) {
  const auto is_tried = [&](HostId id) { return std::find(tried.begin(), tried.end(), id) != tried.end(); };
  std::size_t ejected = 0;
  for (const auto& [id, tracked] : hosts_)
    ejected += now < tracked.ejected_until || tracked.host.unresponsive;
  // When more than half of the hosts are ejected, the fault may be on this machine: all hosts are candidates.
  const bool skip_ejected =
      static_cast<double>(ejected) <= kMaxEjectedShare * static_cast<double>(hosts_.size());
  double total = 0;
  for (auto& [id, tracked] : hosts_)
    if (!is_tried(id)) total += Weight(now, tracked);
  if (total <= 0) return std::nullopt;
  TrackedHost* best = nullptr;
  double best_score = 0;
  for (int pass = skip_ejected ? 0 : 1; pass < 2 && best == nullptr; ++pass) {
    for (auto& [id, tracked] : hosts_) {
      if (is_tried(id)) continue;
      const bool is_ejected = now < tracked.ejected_until || tracked.host.unresponsive;
      if (pass == 0 && is_ejected) continue;
      const double weight_share = Weight(now, tracked) / total;
      const double score = tracked.credit + weight_share - (is_ejected ? 1 : 0);
      if (best == nullptr || score > best_score) {
        best = &tracked;
        best_score = score;
      }
    }
  }
  if (best == nullptr) return std::nullopt;
  for (auto& [id, tracked] : hosts_) {
    if (is_tried(id)) continue;
    tracked.credit = std::min(kMaxCredit, tracked.credit + Weight(now, tracked) / total);
  }
  best->credit = std::max(-kMaxCredit, best->credit - 1);
  return best->host.id;
}

void LoadBalancer::OnAttemptStart(HostId host) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return;
  ++it->second.in_flight;
  ++in_flight_;
}

void LoadBalancer::OnAttemptEnd(TimePoint now, HostId host, AttemptFeedback feedback,
                                double relative_latency) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return;
  TrackedHost& tracked = it->second;
  if (tracked.in_flight > 0) {
    --tracked.in_flight;
    --in_flight_;
  }
  if (feedback == AttemptFeedback::kCancelled) return;
  const double decay = std::exp(-Seconds(now - tracked.updated_at) / kStatsDecaySeconds);
  tracked.slowness = 1 + (tracked.slowness - 1) * decay;
  tracked.failure_rate *= decay;
  tracked.updated_at = now;
  if (feedback == AttemptFeedback::kAnswered) {
    tracked.consecutive_failures = 0;
    tracked.ejected_until = {};
    tracked.failure_rate -= kFailureSmoothing * tracked.failure_rate;
    if (relative_latency > 0) {
      const double step = std::max(kLatencySmoothing, 1.0 / (2 + tracked.latency_samples));
      if (1.0 / (2 + tracked.latency_samples) > kLatencySmoothing) ++tracked.latency_samples;
      tracked.slowness +=
          step * (std::clamp(relative_latency, kMinSlowness, kMaxSlowness) - tracked.slowness);
    }
    return;
  }
  if (feedback == AttemptFeedback::kOverloaded) {
    tracked.ejected_until = std::max(tracked.ejected_until, now + kOverloadEjection);
    tracked.slowness += kLatencySmoothing * (std::min(kMaxSlowness, 2 * tracked.slowness) - tracked.slowness);
    return;
  }
  tracked.failure_rate += kFailureSmoothing * (1 - tracked.failure_rate);
  ++tracked.consecutive_failures;
  const bool eject_at_once =
      feedback == AttemptFeedback::kConnectFailed || feedback == AttemptFeedback::kWrongHost;
  const int repeated = tracked.consecutive_failures - (eject_at_once ? 1 : kFailuresBeforeEjection);
  if (repeated >= 0)
    tracked.ejected_until = now + std::min(kMaxEjection, kFirstEjection * (1 << std::min(repeated, 5)));
}

std::vector<LoadBalancer::HostStats> LoadBalancer::Stats(TimePoint now) const {
  std::vector<HostStats> stats;
  for (const auto& [id, tracked] : hosts_)
    stats.push_back(
        {id, tracked.slowness, tracked.in_flight, now < tracked.ejected_until || tracked.host.unresponsive});
  return stats;
}

}  // namespace curlewdoor::load_balancing
