// A stand-in quota counter: adds by name with lifetimes, a capacity in calls a second, and the ways in which
// it fails. Pure: a call in at a time, its answer out with the time at which it leaves, or none.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "logic.hpp"
#include "standin/random.hpp"

namespace curlewdoor::standin {

struct CounterKind {
  double calls_per_s = 5000;  // what it can serve; beyond, calls wait in line
  Duration latency = std::chrono::microseconds(200);
  Duration longest_line = std::chrono::milliseconds(500);  // then calls are turned away
};

struct CounterTrouble {
  double slowness = 1;
  bool silent = false;     // nothing is answered and nothing added
  double no_number = 0;    // part of the answers that carry no number; the amount is added
  double second_half = 0;  // part of the gateways that see another half; 0: whole
  bool operator==(const CounterTrouble&) const = default;
};

struct CounterAnswer {
  TimePoint at;
  int status = 200;
  std::optional<double> total;
};

class Counter {
 public:
  Counter(const CounterKind& kind, int gateways, std::uint64_t seed);

  // `amount` may be 0, a read, or below. No answer: it is silent.
  std::optional<CounterAnswer> Add(TimePoint now, int gateway, std::uint64_t name, double amount,
                                   Duration keep);

  void SetTrouble(const CounterTrouble& trouble);
  // Forgets each count with this chance; 1: comes back empty, or another takes its place.
  void Lose(double part);

  std::uint64_t calls() const { return calls_; }
  std::size_t names() const { return halves_[0].size() + halves_[1].size(); }

 private:
  struct Count {
    double total = 0;
    TimePoint ends;
  };
  using Counts = std::unordered_map<std::uint64_t, Count>;

  // Which half a gateway sees: the last ones see the second.
  std::size_t HalfOf(int gateway) const;
  void Sweep(TimePoint now, Counts& counts);

  const CounterKind kind_;
  const int gateways_;
  Random random_;
  CounterTrouble trouble_;
  Counts halves_[2];  // while whole, the first serves everybody
  TimePoint free_[2];
  std::uint64_t calls_ = 0;
};

}  // namespace curlewdoor::standin
