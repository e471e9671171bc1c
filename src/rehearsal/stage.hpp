// The stage of a rehearsal: all stand-ins, and the faults as a schedule of steps. Whoever plays the
// rehearsal, on sockets or in virtual time, carries out what the steps ask of it (Stagehand) and hands the
// stand-ins their inputs. Pure: time is told, nothing is opened.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rehearsal/judge.hpp"
#include "rehearsal/scenario.hpp"
#include "standin/counter.hpp"
#include "standin/crowd.hpp"
#include "standin/discovery.hpp"
#include "standin/node.hpp"

namespace curlewdoor::rehearsal {

struct StagedNode {
  std::string name;
  int zone = 0;
  int place = 0;     // its address: a node under a new id may stand at the address of one that has gone
  TimePoint booted;  // zero: long ago
  std::unique_ptr<standin::Node> machine;
  HostId id() const { return HostId{StableHash(name)}; }
};

struct NetworkTrouble {  // between one gateway and all nodes
  Duration slower{};
  double loss = 0;
  bool cut = false;
};

// What a step asks of whoever plays the rehearsal.
class Stagehand {
 public:
  virtual ~Stagehand() = default;
  virtual void NodeStarts(int node) = 0;
  // Its connections end; `resets` are the jobs that it had in hand.
  virtual void NodeDies(int node, const std::vector<standin::NodeOutput>& resets) = 0;
  // Its pace or its being heard has changed.
  virtual void NodeChanges(int node) = 0;
  virtual void DiscoveryChanges() = 0;
  virtual void DiscoveryMoves() = 0;
  virtual void CounterMoves() = 0;
  virtual void GatewayStarts(int gateway) = 0;
  virtual void GatewayDies(int gateway) = 0;
  virtual void GatewayEnds(int gateway) = 0;  // SIGTERM
  virtual void GatewayReloads(int gateway) = 0;
};

// A fault with what it strikes, for reports.
struct FaultBand {
  double from = 0, to = 0;
  std::string text;
};

class Stage {
 public:
  Stage(const Scenario& scenario, std::uint64_t seed, TimePoint start);

  std::optional<TimePoint> NextStep() const;
  void DoSteps(TimePoint now, Stagehand& hand, Witness& witness);
  const std::vector<FaultBand>& bands() const { return bands_; }

  // The list as everybody knows it at the start.
  standin::ListAnswer FirstList() const;
  const NetworkTrouble& network(int gateway) const { return network_[static_cast<std::size_t>(gateway)]; }
  // One way between a gateway and a node, without jitter.
  Duration Distance(int gateway, int node) const;
  double NearestFall() const;

  const Scenario& scenario;
  const std::uint64_t seed;
  const TimePoint start, end;
  std::vector<StagedNode> nodes;
  standin::Counter counter;
  standin::Discovery discovery;
  standin::Crowd crowd;

 private:
  enum class Stepping { kBegin, kEnd, kAfter };
  struct Step {
    TimePoint at;
    std::size_t fault = 0;
    int target = -1;  // node or gateway
    Stepping stepping = Stepping::kBegin;
  };

  int AddNode(std::string name, int zone, int place, bool cold, TimePoint now);
  std::vector<int> ChooseTargets(const Fault& fault, standin::Random& random) const;
  void PlanSteps();
  void Do(const Step& step, TimePoint now, Stagehand& hand, Witness& witness);
  void DoNode(const Step& step, const Fault& fault, TimePoint now, Stagehand& hand, Witness& witness);
  void DoGateway(const Step& step, const Fault& fault, Stagehand& hand);
  void Kill(int node, TimePoint now, Stagehand& hand);
  void Start(int node, TimePoint now, Stagehand& hand, Witness& witness);
  void List(int node, HostState state, TimePoint now, Stagehand& hand);
  // What all faults that are under way do together, whatever their order was.
  void ApplyActive(TimePoint now, Stagehand& hand);

  std::vector<Step> steps_;  // in order of time
  std::size_t next_step_ = 0;
  std::vector<std::pair<std::size_t, int>> active_;  // fault and target
  std::vector<NetworkTrouble> network_;
  std::vector<standin::NodeTrouble> troubles_;  // as last applied, by node
  std::vector<FaultBand> bands_;
};

}  // namespace curlewdoor::rehearsal
