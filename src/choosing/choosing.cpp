#include "choosing/choosing.hpp"

#include <algorithm>
#include <cmath>

#include "util/seconds.hpp"

namespace curlewdoor::choosing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kStep = 0.15;  // weight of one answer in a host's slowness
constexpr double kMostSlow = 6, kLeastSlow = 0.2;
constexpr double kSlowMemory = 10;    // seconds until what was learnt of a host not visited has faded
constexpr double kSpeedWeight = 1.5;  // a fast host gets more than its even part: it answers sooner
constexpr double kFailStep = 0.1;     // weight of one attempt in a host's rate of failure
constexpr double kFailWeight = 4;     // slowness put on a host by its rate of failure
constexpr double kColdWeight = 0.4;   // of a cold host's weight
constexpr double kOutWeight = 1.0;    // turns that an attempt out takes from a host, by its slots
constexpr double kMostCredit = 2;     // turns saved up or owed
constexpr Duration kRestFirst = milliseconds(250);  // a failing host is left alone, doubling ...
constexpr Duration kRestLongest = seconds(4);       // ... up to this
constexpr Duration kRestFull = milliseconds(30);    // one that is full, so long
constexpr int kRestAfter = 3;                       // failures in a row, where connections come up
constexpr double kRestBound = 0.5;                  // of the hosts: when more fail at once, it isn't they

}  // namespace

void Chooser::SetHosts(TimePoint, std::span<const Host> hosts) {
  std::map<HostId, Known> next;
  double credit = 0;
  for (const auto& [id, known] : hosts_) credit = std::min(credit, known.credit);
  for (const Host& host : hosts) {
    const auto found = hosts_.find(host.id);
    Known known = found != hosts_.end() ? found->second : Known{};
    known.host = host;
    if (found == hosts_.end()) known.credit = static_cast<double>(rng_() >> 11) * 0x1.0p-53 - 0.5;
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

double Chooser::Weight(TimePoint now, const Known& known) const {
  const double faded = std::exp(-Seconds(now - known.slow_at) / kSlowMemory);
  const double slowness = 1 + (known.slowness - 1) * faded + kFailWeight * known.fails * faded;
  double weight = known.host.slots / std::pow(std::max(kLeastSlow, slowness), kSpeedWeight);
  if (now < known.host.warm_at) weight *= kColdWeight;
  const bool room = known.out < std::max(1.0, known.host.slots * options_.slots_part);
  if (known.host.near && room) weight *= options_.near_weight;
  return weight;
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
      const double load = kOutWeight * known.out / std::max(1, known.host.slots);
      const double score = known.credit + part - load - (rests ? 1 : 0);
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
    if (relative_latency > 0)
      known.slowness += kStep * (std::clamp(relative_latency, kLeastSlow, kMostSlow) - known.slowness);
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

}  // namespace curlewdoor::choosing
