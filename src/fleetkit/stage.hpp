// What is true of the fleet, and the faults in their turn. Whoever plays the rehearsal, with real processes
// or in virtual time, carries out what the stage asks of it (Hand), tells it what the gateways' answers show
// (Seen), and tells the judge what gateways say of one another. Pure: time is told in seconds since the
// start.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleetkit/duty_judge.hpp"
#include "fleetkit/scenario.hpp"
#include "standin/random.hpp"

namespace curlewdoor::fleetkit {

class Hand {
 public:
  virtual ~Hand() = default;
  virtual void Start(int process, const std::string& name) = 0;
  virtual void Kill(int process) = 0;
  virtual void Term(int process) = 0;
  virtual void Stop(int process) = 0;
  virtual void Continue(int process) = 0;
  virtual void Upgrade(int process) = 0;
  virtual void HandOver(int /*holder*/, int /*to*/) {}
  // Told to all that run, as by SIGHUP; `before` may be empty.
  virtual void SetVoters(const std::vector<int>& /*voters*/, const std::vector<int>& /*before*/) {}
  virtual void HoldLedger(int /*process*/, bool /*on*/) {}
};

// What one gateway shows of its view.
struct Seen {
  bool answered = false;
  bool settled = false, refused = false;
  std::uint64_t boot = 0, view = 0;
  std::size_t holds = 0;  // duties that it says it holds
};

// How long it took until what a fault expects was seen.
struct Wait {
  std::string what;
  double at = 0, took = -1, within = 0;  // below 0: not in time
  std::string missing{};                 // then: who saw what
  // Of deaths and ends: until the first and the last of the others told so.
  double first = -1, last = -1;
};

struct Result {
  std::string scenario;
  std::uint64_t seed = 0;
  bool real = false;
  std::vector<Verdict> verdicts;
  std::vector<Wait> waits;
  std::vector<std::pair<std::string, double>> figures;
  bool AllHeld() const;
};
std::string TextReport(const Result& result);

class Stage {
 public:
  Stage(const Scenario& scenario, std::uint64_t seed);

  // To be called often: does what is due. Ends when the last fault's expectation was seen or was not in time.
  void Look(double now, const std::vector<Seen>& seen, Hand& hand);
  bool done() const { return done_; }
  // All have found one another for the first time.
  bool under_way() const { return !result_.waits.empty() && result_.waits.front().took >= 0; }
  std::optional<double> NextDue() const;
  const LinkTrouble& link(int from, int to) const;

  // ---- The judge ----
  // `observer` has told that `name` is in this state now.
  void Told(double now, int observer, const std::string& name, std::string_view state);
  void Crashed(double now, int process, const std::string& how);
  Result Finish(double now, bool real);
  // Where the scenario has duties.
  DutyJudge& duties() { return *duties_; }
  void Judged(Verdict verdict) { result_.verdicts.push_back(std::move(verdict)); }
  void AddFigure(const std::string& name, double value) { result_.figures.emplace_back(name, value); }

  bool running(int process) const { return gateways_[static_cast<std::size_t>(process)].running; }
  bool stopped(int process) const { return gateways_[static_cast<std::size_t>(process)].stopped; }

 private:
  enum class Phase { kBefore, kDoing, kExpecting };
  struct Gateway {
    std::string name;
    bool running = false, stopped = false, twin = false;
    double troubled_at = -1e9;  // when it last was not wholly there
  };
  struct Trouble {
    FaultKind kind;
    double size;
    std::vector<char> from, to;
    bool both;
    double ends;  // below 0: not by itself
  };
  struct Due {
    double at;
    int process;
    FaultKind what;
  };

  void Begin(double now, Hand& hand);
  void Do(double now, int process, FaultKind what, Hand& hand);
  void SetLinks(double now);
  std::vector<int> Components() const;
  std::string Disagreement(const std::vector<Seen>& seen) const;
  std::string Holding(const std::vector<Seen>& seen, Expect expect) const;
  std::vector<int> Choose(const Fault& fault);
  std::vector<int> Resolve(const std::vector<int>& who) const;
  void Break(const std::string& property, const std::string& how);
  void Next(double now);

  const Scenario scenario_;
  standin::Random random_;
  std::vector<Gateway> gateways_;
  std::vector<Trouble> troubles_;
  std::vector<LinkTrouble> links_;  // by from and to
  std::vector<double> parted_at_;   // by pair: when they last could not reach each other
  std::vector<Due> due_;
  std::vector<int> last_;      // whom the last fault struck
  std::optional<int> holder_;  // as last seen
  std::vector<int> voters_;
  std::optional<DutyJudge> duties_;
  std::size_t fault_ = 0;  // the next one to begin
  Phase phase_ = Phase::kBefore;
  double begins_ = 0, expects_from_ = 0;
  int next_twin_ = 0;
  bool done_ = false, first_ = true;
  Result result_;
  std::map<std::string, std::size_t> ends_;  // by name: the wait whose fault ended it
};

}  // namespace curlewdoor::fleetkit
