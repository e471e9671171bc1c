// Figures of a rehearsal beside its verdicts: service, goodput, refusals, latencies, calls. From sightings
// only.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "rehearsal/scenario.hpp"
#include "rehearsal/sighting.hpp"

namespace curlewdoor::rehearsal {

// Latencies from 0.05 ms to 100 s in bins of a few percent: a Boost.Histogram with a logarithmic axis behind
// a thin wall, since its headers are heavy.
class Latencies {
 public:
  Latencies();
  Latencies(Latencies&&) noexcept;
  Latencies& operator=(Latencies&&) noexcept;
  ~Latencies();

  void Add(Duration latency);
  // Milliseconds; 0 where nothing was added. `part` from 0 to 1.
  double Quantile(double part) const;
  std::uint64_t count() const;

 private:
  struct Bins;
  std::unique_ptr<Bins> bins_;
};

struct SecondFigures {
  std::uint32_t offered = 0, in_quota = 0, served = 0, refused = 0, refused_in_quota = 0, failed = 0,
                calls = 0;
  float p50_ms = 0, p99_ms = 0;
};

struct Totals {
  std::uint64_t offered = 0;   // first tries
  std::uint64_t in_quota = 0;  // of these
  std::uint64_t tries = 0;
  std::uint64_t served = 0, refused = 0, failed = 0, broken = 0;  // tries, by their answer
  std::uint64_t refused_in_quota = 0, refused_beyond = 0;         // tries
  std::uint64_t unserved_in_quota = 0;  // requests within quota that no try of was served in time
  std::uint64_t attempts = 0, calls = 0;
  double worth_asked = 0, worth_served = 0;  // within quotas
  double units_admitted = 0, units_beyond = 0;
  double length_s = 0;
  double p50_ms = 0, p90_ms = 0, p99_ms = 0, p999_ms = 0;

  // Worth answered within its wanted time over worth asked, both inside quotas.
  double Service() const { return worth_asked > 0 ? worth_served / worth_asked : 1; }
  double Goodput() const { return length_s > 0 ? static_cast<double>(served) / length_s : 0; }
  double CallsPerRequest() const {
    return tries > 0 ? static_cast<double>(calls) / static_cast<double>(tries) : 0;
  }
};

class Figures : public Witness {
 public:
  Figures(const Scenario& scenario, TimePoint start, const std::vector<standin::Customer>& customers,
          bool by_second);

  void Asked(const standin::Ask& ask) override;
  void Answered(TimePoint now, const standin::Ask& ask, AnswerKind kind, int status, bool own_body) override;
  void Unanswered(TimePoint now, const standin::Ask& ask, bool excused) override;
  void AttemptWhole(TimePoint now, int node, int gateway, std::uint64_t request) override;
  void Called(TimePoint now, int gateway) override;

  Totals Sum() const;
  // Empty unless asked for.
  std::vector<SecondFigures> BySecond() const;

 private:
  struct Quota {
    double level = 0;
    TimePoint at;
  };
  struct Known {  // of a first try, and of each try's units
    double worth = 0;
    double units = 0;
    int customer = 0;
    bool in_quota = false, served = false, drawn = false;
  };

  SecondFigures* At(TimePoint now);
  Known& Of(std::uint64_t id);
  double Worth(const standin::Ask& ask, Duration latency) const;

  const Scenario& scenario_;
  const TimePoint start_;
  const std::vector<standin::Customer>& customers_;
  const bool by_second_;
  Totals totals_;
  Latencies latencies_;
  std::vector<SecondFigures> seconds_;
  std::vector<Latencies> second_latencies_;
  std::vector<Known> known_;   // by id of a try
  std::vector<Quota> quotas_;  // by customer: what nodes got, against the plan's own figures
};

}  // namespace curlewdoor::rehearsal
