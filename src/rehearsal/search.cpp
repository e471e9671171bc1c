#include "rehearsal/search.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <exception>
#include <mutex>
#include <thread>

#include "rehearsal/virtual_run.hpp"

namespace curlewdoor::rehearsal {
namespace {

double ThreadCpuSeconds() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

SeedResult PlaySeed(const Scenario& scenario, std::uint64_t seed, const GatewayCoreFactory& make_core) {
  const RunResult run = VirtualRun(scenario, seed, false, make_core).Play();
  SeedResult result;
  result.seed = seed;
  result.service = run.totals.Service();
  result.beyond = run.totals.units_admitted > 0 ? run.totals.units_beyond / run.totals.units_admitted : 0;
  result.tries = run.totals.tries;
  for (const RuleVerdict& verdict : run.verdicts) {
    if (verdict.held()) continue;
    result.broken.push_back(verdict.rule);
    result.first.push_back(verdict.first->what);
  }
  return result;
}

}  // namespace

std::uint64_t SearchResult::Broken() const {
  return static_cast<std::uint64_t>(
      std::count_if(seeds.begin(), seeds.end(), [](const SeedResult& s) { return !s.broken.empty(); }));
}

std::vector<SeedResult> SearchResult::Worst(std::size_t count) const {
  std::vector<SeedResult> worst = seeds;
  std::stable_sort(worst.begin(), worst.end(), [](const SeedResult& a, const SeedResult& b) {
    return a.broken.size() != b.broken.size() ? a.broken.size() > b.broken.size() : a.service < b.service;
  });
  worst.resize(std::min(worst.size(), std::max<std::size_t>(count, Broken())));
  return worst;
}

SearchResult Search(const Scenario& scenario, std::uint64_t first, std::uint64_t last, unsigned threads,
                    const std::function<void(std::uint64_t)>& on_done, const GatewayCoreFactory& make_core) {
  const auto begun = std::chrono::steady_clock::now();
  SearchResult result;
  result.seeds.resize(last - first + 1);
  std::atomic<std::uint64_t> next{first}, done{0};
  std::mutex mutex;
  std::exception_ptr failure;
  const auto work = [&] {
    const double cpu = ThreadCpuSeconds();
    try {
      for (std::uint64_t seed = next++; seed <= last; seed = next++) {
        result.seeds[seed - first] = PlaySeed(scenario, seed, make_core);
        const std::uint64_t count = ++done;
        const std::lock_guard lock(mutex);
        if (on_done) on_done(count);
      }
    } catch (...) {
      const std::lock_guard lock(mutex);
      failure = std::current_exception();
      next = last + 1;
    }
    const std::lock_guard lock(mutex);
    result.cpu_s += ThreadCpuSeconds() - cpu;
  };
  std::vector<std::thread> workers;
  for (unsigned t = 1; t < std::max(1u, threads); ++t) workers.emplace_back(work);
  work();
  for (std::thread& worker : workers) worker.join();
  if (failure) std::rethrow_exception(failure);
  for (const SeedResult& seed : result.seeds) result.tries += seed.tries;
  result.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  return result;
}

}  // namespace curlewdoor::rehearsal
