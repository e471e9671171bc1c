// The judge: for each of the five rules, held or broken, by what the stand-ins saw and nothing else.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rehearsal/scenario.hpp"
#include "rehearsal/sighting.hpp"

namespace curlewdoor::rehearsal {

enum class Rule { kLost, kDuplicate, kDrain, kFallOver, kCeiling };
inline constexpr std::array<Rule, 5> kRules{Rule::kLost, Rule::kDuplicate, Rule::kDrain, Rule::kFallOver,
                                            Rule::kCeiling};
std::string_view RuleName(Rule rule);
// What the rule forbids, for reports.
std::string_view RuleText(Rule rule);

struct Breach {
  double at = 0;  // seconds since the start
  std::uint64_t request = 0;
  int node = -1;
  int gateway = -1;
  std::string customer;
  std::string what;
};

struct RuleVerdict {
  Rule rule = Rule::kLost;
  std::uint64_t breaches = 0;
  std::optional<Breach> first;
  // How near it came: 0, not at all; 1, the limit. Above 1 only where broken.
  double nearest = 0;
  std::string nearest_text;
  bool held() const { return breaches == 0; }
};

// A ceiling's store as the nodes drew on it.
struct CeilingUse {
  std::string customer, plan;
  double burst = 0, rate = 0, slack = 0;
  double lowest = 0;    // the store's lowest level
  double admitted = 0;  // units over the run
  std::vector<double> admitted_by_second;
};

class Judge : public Witness {
 public:
  Judge(const Scenario& scenario, TimePoint start, const std::vector<standin::Customer>& customers);

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
  // What was due while a gateway stood still is counted apart; what it does once it goes on is judged in
  // full: what is past its time gets its final answer at once and is sent nowhere.
  void GatewayStopped(TimePoint now, int gateway) override;
  void GatewayContinued(TimePoint now, int gateway) override;

  // The nearest that any cold node came to falling over, as the nodes tell.
  void SetNearestFall(double nearest);
  std::uint64_t held_up() const { return held_up_; }
  // To be called once, when all is over.
  std::vector<RuleVerdict> Verdicts() const;
  std::vector<CeilingUse> Ceilings() const;

 private:
  struct Request {
    TimePoint due, bound;  // `bound`: the last moment for its answer
    TimePoint answered;
    int customer = -1;
    int gateway = -1;
    int ran = 0;
    int answers = 0;
    double units = 0;
    bool safe = true, refused = false, excused = false, drawn = false;
  };
  struct Store {
    double level = 0, lowest = 0, admitted = 0;
    TimePoint at;
    std::vector<double> by_second;
  };

  struct Stop {
    TimePoint from, to = TimePoint::max();
  };

  Request* Find(std::uint64_t request);
  // Its bound, or later where its gateway stood still then.
  TimePoint BoundOf(const Request& request) const;
  void Break(Rule rule, TimePoint now, std::uint64_t request, int node, int gateway, int customer,
             std::string what);
  void Near(Rule rule, double how, std::string what);
  void CheckEffects(TimePoint now, std::uint64_t id, const Request& request, int node);
  void Draw(TimePoint now, std::uint64_t id, Request& request, int node);

  const Scenario& scenario_;
  const TimePoint start_;
  const std::vector<standin::Customer>& customers_;
  std::vector<Request> requests_;                  // by id
  std::map<std::pair<int, int>, TimePoint> left_;  // when a gateway was told that a node drains or is gone
  std::map<std::pair<int, int>, TimePoint> start_told_;  // or that it has started
  std::unordered_map<int, TimePoint> node_started_;
  std::unordered_map<int, Store> stores_;  // by customer, of those with a ceiling
  std::array<RuleVerdict, 5> verdicts_;
  std::unordered_map<int, std::vector<Stop>> stops_;  // by gateway, in their order
  std::uint64_t held_up_ = 0;
  std::uint64_t unsafe_ = 0, most_runs_ = 0;
};

}  // namespace curlewdoor::rehearsal
