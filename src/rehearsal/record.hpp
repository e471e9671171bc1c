// The record of one rehearsal: hands each sighting to the judge and the figures and into the hash of the
// event log. And the result that all reports are made from.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/figures.hpp"
#include "rehearsal/judge.hpp"
#include "rehearsal/quota_error.hpp"
#include "rehearsal/stage.hpp"

namespace curlewdoor::rehearsal {

enum class Playing { kVirtual, kSockets };

struct RunResult {
  std::string name, shows;
  Playing playing = Playing::kVirtual;
  std::uint64_t seed = 0;
  int gateways = 0;
  double length_s = 0;
  std::vector<RuleVerdict> verdicts;
  Totals totals;
  QuotaErrors quota_errors;
  std::vector<SecondFigures> seconds;
  std::vector<CeilingUse> ceilings;
  std::vector<FaultBand> faults;
  std::uint64_t event_hash = 0, events = 0;
  // Sockets: how late the kit itself was, in ms; too late, and there is no verdict.
  std::uint64_t held_up = 0;  // requests whose time was over while their gateway stood still
  double lateness_p99_ms = 0, lateness_most_ms = 0;
  std::string not_judged;  // why, or empty
  std::string crash;       // a gateway ended by itself: which and how, or empty

  bool AllHeld() const;
};

class Record final : public Witness {
 public:
  Record(const Stage& stage, bool by_second);
  ~Record() override;

  void Asked(const standin::Ask& ask) override;
  void Taken(TimePoint now, const standin::Ask& ask) override;
  void Answered(TimePoint now, const standin::Ask& ask, AnswerKind kind, int status, bool own_body) override;
  void Unanswered(TimePoint now, const standin::Ask& ask, bool excused) override;
  void AttemptBegins(TimePoint now, int node, int gateway, std::uint64_t request) override;
  void AttemptWhole(TimePoint now, int node, int gateway, std::uint64_t request) override;
  void Ran(TimePoint now, int node, std::uint64_t request) override;
  void Told(TimePoint now, int gateway, int node, HostState state) override;
  void NodeStarted(TimePoint now, int node) override;
  void NodeFell(TimePoint now, int node, const std::vector<double>& work_by_gateway) override;
  void GatewayStarted(TimePoint now, int gateway) override;
  void GatewayDied(TimePoint now, int gateway) override;
  void GatewayStopped(TimePoint now, int gateway) override { judge_.GatewayStopped(now, gateway); }
  void GatewayContinued(TimePoint now, int gateway) override { judge_.GatewayContinued(now, gateway); }
  void Called(TimePoint now, int gateway) override;

  RunResult Finish(Playing playing);

 private:
  void Note(std::uint64_t what, TimePoint now, std::uint64_t a, std::uint64_t b, std::uint64_t c);

  const Stage& stage_;
  Judge judge_;
  Figures figures_;
  QuotaMeter quotas_;
  XXH3_state_t* hash_;
  std::uint64_t events_ = 0;
};

}  // namespace curlewdoor::rehearsal
