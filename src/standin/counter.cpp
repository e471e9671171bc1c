#include "standin/counter.hpp"

#include <algorithm>
#include <cmath>

namespace curlewdoor::standin {
namespace {

constexpr std::size_t kSweepEvery = 4096;  // calls between looks for counts that have ended

}  // namespace

Counter::Counter(const CounterKind& kind, int gateways, std::uint64_t seed)
    : kind_(kind), gateways_(gateways), random_(MakeRandom(seed, "counter")) {}

std::size_t Counter::HalfOf(int gateway) const {
  if (trouble_.second_half <= 0) return 0;
  const auto second = static_cast<int>(std::lround(trouble_.second_half * gateways_));
  return gateway >= gateways_ - std::clamp(second, 1, std::max(1, gateways_ - 1)) ? 1 : 0;
}

std::optional<CounterAnswer> Counter::Add(TimePoint now, int gateway, std::uint64_t name, double amount,
                                          Duration keep) {
  ++calls_;
  if (trouble_.silent) return std::nullopt;
  const std::size_t half = HalfOf(gateway);
  const Duration service = FromSeconds(trouble_.slowness / kind_.calls_per_s);
  const TimePoint begins = std::max(now, free_[half]);
  if (begins - now > kind_.longest_line) return CounterAnswer{now + kind_.latency, 503, std::nullopt};
  free_[half] = begins + service;
  Counts& counts = halves_[half];
  if (calls_ % kSweepEvery == 0) Sweep(now, counts);
  Count& count = counts[name];
  if (count.ends <= now)
    count = {0, now + std::clamp<Duration>(keep, std::chrono::milliseconds(1), std::chrono::seconds(60))};
  count.total += amount;
  CounterAnswer answer{free_[half] + FromSeconds(Seconds(kind_.latency) * trouble_.slowness), 200,
                       count.total};
  if (Chance(random_, trouble_.no_number)) answer.total.reset();
  return answer;
}

// At a split both halves keep what they had. At its end the first half's counts are what is left.
void Counter::SetTrouble(const CounterTrouble& trouble) {
  const bool was_split = trouble_.second_half > 0, is_split = trouble.second_half > 0;
  if (is_split && !was_split) {
    halves_[1] = halves_[0];
    free_[1] = free_[0];
  }
  if (was_split && !is_split) halves_[1].clear();
  trouble_ = trouble;
}

void Counter::Lose(double part) {
  for (Counts& counts : halves_) {
    // In order of the names, so that the same seed loses the same ones whatever the table's layout.
    std::vector<std::uint64_t> names;
    for (const auto& [name, count] : counts) names.push_back(name);
    std::sort(names.begin(), names.end());
    for (std::uint64_t name : names)
      if (part >= 1 || Chance(random_, part)) counts.erase(name);
  }
}

void Counter::Sweep(TimePoint now, Counts& counts) {
  std::erase_if(counts, [&](const auto& entry) { return entry.second.ends <= now; });
}

}  // namespace curlewdoor::standin
