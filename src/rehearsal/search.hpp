// Plays one scenario with many seeds in virtual time, on all cores, and keeps the worst.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/reducer.hpp"
#include "rehearsal/record.hpp"
#include "rehearsal/scenario.hpp"

namespace curlewdoor::rehearsal {

struct SeedResult {
  std::uint64_t seed = 0;
  double service = 0;
  double beyond = 0;  // units beyond quotas over units admitted
  std::uint64_t tries = 0;
  std::vector<Rule> broken;
  std::vector<std::string> first;  // what each of them was, in the same order
};

struct SearchResult {
  std::vector<SeedResult> seeds;  // in order of seed
  double wall_s = 0, cpu_s = 0;
  std::uint64_t tries = 0;
  std::uint64_t Broken() const;
  // Those that broke a rule, then those that served worst.
  std::vector<SeedResult> Worst(std::size_t count) const;
};

// `on_done` is told how many are done, from any thread, one call at a time.
SearchResult Search(const Scenario& scenario, std::uint64_t first, std::uint64_t last, unsigned threads,
                    const std::function<void(std::uint64_t)>& on_done,
                    const GatewayCoreFactory& make_core = MakeReducer);

}  // namespace curlewdoor::rehearsal
