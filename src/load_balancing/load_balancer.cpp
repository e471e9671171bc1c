#include "load_balancing/load_balancer.hpp"

#include <algorithm>
#include <cmath>

#include "util/hash.hpp"
#include "util/seconds.hpp"

namespace curlewdoor::load_balancing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kStep = 0.15;  // least weight of one answer in a host's slowness; the first ones tell more
constexpr double kMostSlow = 6, kLeastSlow = 0.2;
constexpr double kSlowMemory = 10;  // seconds until what was learnt of a host not visited has faded
constexpr double kFailStep = 0.1;   // weight of one attempt in a host's rate of failure
constexpr double kFailWeight = 4;   // slowness put on a host by its rate of failure
constexpr double kColdDelay = 1;    // put on a cold host
constexpr double kMostCredit = 2;   // turns saved up or owed
constexpr Duration kRestFirst = milliseconds(250);  // a failing host is left alone, doubling ...
constexpr Duration kRestLongest = seconds(4);       // ... up to this
constexpr Duration kRestFull = milliseconds(30);    // one that is full, so long
constexpr int kRestAfter = 3;                       // failures in a row, where connections come up
constexpr double kRestBound = 0.5;                  // of the hosts: when more fail at once, it isn't they

}  // namespace

void Chooser::SetHosts(TimePoint, std::span<const Host> hosts) {
  std::map<HostId, Known> next;
  for (const Host& host : hosts) {
    const auto found = hosts_.find(host.id);
    Known known = found != hosts_.end() ? found->second : Known{};
    known.host = host;
    if (found == hosts_.end()) known.credit = Fraction(rng_()) - 0.5;
    next.emplace(host.id, std::move(known));
  }
  out_ = 0;
  for (const auto& [id, known] : next) out_ += known.out;
  hosts_.swap(next);
}

int Chooser::slots() const {
  int slots = 0;
  for (const auto& [id, known] : hosts_) slots += known.host.slots;
  return slots;
}

std::vector<double> Aperture(std::size_t hosts, std::size_t index, std::size_t gateways) {
  std::vector<double> own(hosts, 0);
  if (hosts == 0 || gateways == 0) return own;
  const auto count = static_cast<double>(hosts);
  const double step = count / static_cast<double>(gateways);
  const double width = std::min(count, std::max(1.0, step)), begin = static_cast<double>(index) * step;
  for (std::size_t i = 0; i < hosts; ++i)
    for (const double turn : {0.0, count}) {  // the part may go over the end of the ring
      const double from = std::max(begin, static_cast<double>(i) + turn);
      const double to = std::min(begin + width, static_cast<double>(i) + 1 + turn);
      own[i] += std::max(0.0, to - from);
    }
  return own;
}

double Chooser::Weight(TimePoint now, const Known& known) const {
  const double faded = std::exp(-Seconds(now - known.slow_at) / kSlowMemory);
  const double slowness =
      std::max(kLeastSlow, 1 + (known.slowness - 1) * faded + kFailWeight * known.fails * faded);
  const double slots = std::max(1, known.host.slots);
  // What is out from here tells of what is out from everywhere: a queue begins before the slots are full.
  double delay = slowness * (1 + known.out / slots);
  if (!known.host.near) delay += options_.far_delay;
  delay += options_.others_delay * (1 - std::min(1.0, known.host.own));
  if (now < known.host.warm_at) delay += kColdDelay;
  return slots * std::pow(delay, -options_.power);
}

std::optional<HostId> Chooser::Choose(TimePoint now, std::span<const HostId> tried) {
  const auto was_tried = [&](HostId id) { return std::find(tried.begin(), tried.end(), id) != tried.end(); };
  std::size_t resting = 0;
  for (const auto& [id, known] : hosts_) resting += now < known.rest_until || known.host.silent;
  // With more than half of them out the fault may be this machine's: then all are tried.
  const bool heed_rest = static_cast<double>(resting) <= kRestBound * static_cast<double>(hosts_.size());
  double total = 0;
  for (auto& [id, known] : hosts_)
    if (!was_tried(id)) total += Weight(now, known);
  if (total <= 0) return std::nullopt;
  Known* best = nullptr;
  double best_score = 0;
  for (int pass = heed_rest ? 0 : 1; pass < 2 && best == nullptr; ++pass) {
    for (auto& [id, known] : hosts_) {
      if (was_tried(id)) continue;
      const bool rests = now < known.rest_until || known.host.silent;
      if (pass == 0 && rests) continue;
      const double part = Weight(now, known) / total;
      const double score = known.credit + part - (rests ? 1 : 0);
      if (best == nullptr || score > best_score) {
        best = &known;
        best_score = score;
      }
    }
  }
  if (best == nullptr) return std::nullopt;
  for (auto& [id, known] : hosts_) {
    if (was_tried(id)) continue;
    known.credit = std::min(kMostCredit, known.credit + Weight(now, known) / total);
  }
  best->credit = std::max(-kMostCredit, best->credit - 1);
  return best->host.id;
}

void Chooser::Started(HostId host) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return;
  ++it->second.out;
  ++out_;
}

void Chooser::Ended(TimePoint now, HostId host, End how, double relative_latency) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return;
  Known& known = it->second;
  if (known.out > 0) {
    --known.out;
    --out_;
  }
  if (how == End::kNothing) return;
  const double faded = std::exp(-Seconds(now - known.slow_at) / kSlowMemory);
  known.slowness = 1 + (known.slowness - 1) * faded;
  known.fails *= faded;
  known.slow_at = now;
  if (how == End::kAnswered) {
    known.trouble = 0;
    known.rest_until = {};
    known.fails -= kFailStep * known.fails;
    if (relative_latency > 0) {
      const double step = std::max(kStep, 1.0 / (2 + known.answers));
      if (1.0 / (2 + known.answers) > kStep) ++known.answers;
      known.slowness += step * (std::clamp(relative_latency, kLeastSlow, kMostSlow) - known.slowness);
    }
    return;
  }
  if (how == End::kFull) {
    known.rest_until = std::max(known.rest_until, now + kRestFull);
    known.slowness += kStep * (std::min(kMostSlow, 2 * known.slowness) - known.slowness);
    return;
  }
  known.fails += kFailStep * (1 - known.fails);
  ++known.trouble;
  const bool at_once = how == End::kNoConnect || how == End::kElsewhere;
  const int over = known.trouble - (at_once ? 1 : kRestAfter);
  if (over >= 0) known.rest_until = now + std::min(kRestLongest, kRestFirst * (1 << std::min(over, 5)));
}

std::vector<Chooser::View> Chooser::Look(TimePoint now) const {
  std::vector<View> views;
  for (const auto& [id, known] : hosts_)
    views.push_back({id, known.slowness, known.out, now < known.rest_until || known.host.silent});
  return views;
}

}  // namespace curlewdoor::load_balancing
