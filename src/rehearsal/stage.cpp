#include "rehearsal/stage.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace curlewdoor::rehearsal {
namespace {

using standin::FromSeconds;
using standin::Seconds;

constexpr Duration kLeavesAfter = std::chrono::seconds(1);  // a node that has left ends for good

std::vector<standin::CrowdPlan> CrowdPlans(const Scenario& scenario) {
  std::vector<standin::CrowdPlan> plans;
  for (const TariffPlan& plan : scenario.plans) plans.push_back(plan.crowd);
  return plans;
}

std::vector<standin::CrowdClass> CrowdClasses(const Scenario& scenario) {
  std::vector<standin::CrowdClass> classes;
  for (const ClassPlan& plan : scenario.classes) classes.push_back(plan.asked);
  return classes;
}

std::vector<standin::WorkClass> WorkClasses(const Scenario& scenario) {
  std::vector<standin::WorkClass> classes;
  for (const ClassPlan& plan : scenario.classes) classes.push_back(plan.work);
  return classes;
}

}  // namespace

Stage::Stage(const Scenario& scenario_in, std::uint64_t seed_in, TimePoint start_in)
    : scenario(scenario_in),
      seed(seed_in),
      start(start_in),
      end(start_in + FromSeconds(scenario_in.length_s)),
      counter(scenario.counter, scenario.gateways, seed),
      discovery(scenario.gateways, FromSeconds(scenario.discovery_late_s.low),
                FromSeconds(scenario.discovery_late_s.high), seed),
      crowd(
          CrowdPlans(scenario), CrowdClasses(scenario), scenario.habits, scenario.gateways, start,
          FromSeconds(scenario.length_s), [this](double at) { return scenario.ShapeAt(at); },
          scenario.MostBurst(), seed),
      network_(static_cast<std::size_t>(scenario.gateways)) {
  for (int i = 0; i < scenario.fleet.nodes; ++i) {
    AddNode(NodeName(i), i % scenario.fleet.zones, i, false, start);
    // Long known: every agent has it from the first moment.
    discovery.Change(start - std::chrono::hours(1), {i, HostState::kReady, TimePoint{}});
  }
  PlanSteps();
}

int Stage::AddNode(std::string name, int zone, int place, bool cold, TimePoint now) {
  const auto index = static_cast<int>(nodes.size());
  standin::NodeKind kind = scenario.fleet.kind;
  const std::uint64_t node_seed = StableHash(name, seed);
  standin::Random random = standin::MakeRandom(node_seed, "speed");
  kind.speed = standin::Uniform(random, scenario.fleet.speed.low, scenario.fleet.speed.high);
  StagedNode node{std::move(name), zone, place, cold ? now : TimePoint{}, nullptr};
  node.machine = std::make_unique<standin::Node>(kind, WorkClasses(scenario), scenario.gateways, node_seed);
  node.machine->Start(now, cold);
  nodes.push_back(std::move(node));
  troubles_.emplace_back();
  return index;
}

std::vector<int> Stage::ChooseTargets(const Fault& fault, standin::Random& random) const {
  const FaultWord& word = WordOf(fault.kind);
  const bool of_nodes = word.target == Target::kNode;
  if (!of_nodes && word.target != Target::kGateway && word.target != Target::kNetwork) return {-1};
  const int count = of_nodes ? scenario.fleet.nodes : scenario.gateways;
  std::vector<int> all;
  for (int i = 0; i < count; ++i) all.push_back(i);
  std::vector<int> chosen;
  for (int i : all) {
    const std::string name = of_nodes ? NodeName(i) : GatewayName(i);
    if (std::find(fault.names.begin(), fault.names.end(), name) != fault.names.end()) chosen.push_back(i);
  }
  if (!fault.names.empty()) return chosen;
  for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[standin::Below(random, i)]);
  all.resize(static_cast<std::size_t>(std::max(1.0, std::round(fault.part * count))));
  std::sort(all.begin(), all.end());
  return all;
}

void Stage::PlanSteps() {
  for (std::size_t f = 0; f < scenario.faults.size(); ++f) {
    const Fault& fault = scenario.faults[f];
    const FaultWord& word = WordOf(fault.kind);
    standin::Random random = standin::MakeRandom(seed + f, "targets");
    double at = fault.at;
    std::string struck;
    for (int target : ChooseTargets(fault, random)) {
      const TimePoint begins = start + FromSeconds(at), ends = begins + FromSeconds(fault.lasts);
      steps_.push_back({begins, f, target, Stepping::kBegin});
      if (word.lasts) steps_.push_back({ends, f, target, Stepping::kEnd});
      if (fault.kind == FaultKind::kNodeDrain || fault.kind == FaultKind::kNodeReplace)
        steps_.push_back({ends + kLeavesAfter, f, target, Stepping::kAfter});
      if (target >= 0)
        struck += " " + (word.target == Target::kNode ? NodeName(target) : GatewayName(target));
      at += fault.every;
    }
    const double to = std::max(fault.at, at - fault.every) + fault.lasts;
    bands_.push_back({fault.at, std::min(to, scenario.length_s),
                      fmt::format("{}{}{}", word.word,
                                  word.size.empty() ? "" : fmt::format(" {:g}", fault.size), struck)});
  }
  std::stable_sort(steps_.begin(), steps_.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
}

std::optional<TimePoint> Stage::NextStep() const {
  return next_step_ < steps_.size() ? std::optional(steps_[next_step_].at) : std::nullopt;
}

void Stage::DoSteps(TimePoint now, Stagehand& hand, Witness& witness) {
  while (next_step_ < steps_.size() && steps_[next_step_].at <= now) {
    const Step step = steps_[next_step_++];
    const std::pair entry{step.fault, step.target};
    if (step.stepping == Stepping::kBegin) active_.push_back(entry);
    if (step.stepping == Stepping::kEnd) std::erase(active_, entry);
    Do(step, now, hand, witness);
    ApplyActive(now, hand);
  }
}

void Stage::Do(const Step& step, TimePoint now, Stagehand& hand, Witness& witness) {
  const Fault& fault = scenario.faults[step.fault];
  switch (WordOf(fault.kind).target) {
    case Target::kNode:
      return DoNode(step, fault, now, hand, witness);
    case Target::kGateway:
      return DoGateway(step, fault, hand);
    case Target::kCounter:
      if (fault.kind == FaultKind::kCounterLose) counter.Lose(fault.size);
      if (fault.kind == FaultKind::kCounterReplace) {
        counter.Lose(1);
        hand.CounterMoves();
      }
      return;
    case Target::kDiscovery:
      if (fault.kind == FaultKind::kDiscoveryMove) hand.DiscoveryMoves();
      return;
    case Target::kClients:
    case Target::kNetwork:
      return;  // ApplyActive() does it all
  }
}

void Stage::List(int node, HostState state, TimePoint now, Stagehand& hand) {
  discovery.Change(now, {node, state, nodes[static_cast<std::size_t>(node)].booted});
  hand.DiscoveryChanges();
}

void Stage::Kill(int node, TimePoint now, Stagehand& hand) {
  std::vector<standin::NodeOutput> resets;
  nodes[static_cast<std::size_t>(node)].machine->Kill(now, resets);
  hand.NodeDies(node, resets);
}

void Stage::Start(int node, TimePoint now, Stagehand& hand, Witness& witness) {
  StagedNode& staged = nodes[static_cast<std::size_t>(node)];
  staged.booted = now;
  staged.machine->Start(now, true);
  witness.NodeStarted(now, node);
  hand.NodeStarts(node);
  List(node, HostState::kReady, now, hand);
}

// Faults may overlap on one node: what would kill a dead one or start a living one does nothing.
void Stage::DoNode(const Step& step, const Fault& fault, TimePoint now, Stagehand& hand, Witness& witness) {
  const int target = step.target;
  const auto machine = [&](int node) -> standin::Node& {
    return *nodes[static_cast<std::size_t>(node)].machine;
  };
  const bool begins = step.stepping == Stepping::kBegin, up = machine(target).up();
  const auto new_node = [&](int place, std::string_view what) {
    const int zone = nodes[static_cast<std::size_t>(target)].zone;
    const int node =
        AddNode(fmt::format("{}-{}{}", NodeName(target), what, nodes.size()), zone, place, true, now);
    witness.NodeStarted(now, node);
    hand.NodeStarts(node);
    List(node, HostState::kReady, now, hand);
  };
  switch (fault.kind) {
    case FaultKind::kNodeDie:
    case FaultKind::kNodeRestart:
    case FaultKind::kNodeReborn:
      if (begins && up) {
        Kill(target, now, hand);
        List(target, HostState::kRemoved, now, hand);
      }
      if (!begins && !up && fault.kind == FaultKind::kNodeRestart) Start(target, now, hand, witness);
      if (!begins && !up && fault.kind == FaultKind::kNodeReborn)
        new_node(nodes[static_cast<std::size_t>(target)].place, "r");
      return;
    case FaultKind::kNodeDrain:
    case FaultKind::kNodeReplace:
      if (!up) return;
      if (begins) {
        machine(target).SetDraining(now, true);
        List(target, HostState::kDraining, now, hand);
        if (fault.kind == FaultKind::kNodeReplace) new_node(static_cast<int>(nodes.size()), "n");
      } else if (step.stepping == Stepping::kEnd) {
        List(target, HostState::kRemoved, now, hand);
      } else {
        Kill(target, now, hand);
      }
      return;
    default:
      return;  // ApplyActive() does it all
  }
}

void Stage::DoGateway(const Step& step, const Fault& fault, Stagehand& hand) {
  if (fault.kind == FaultKind::kGatewayReload) return hand.GatewayReloads(step.target);
  if (step.stepping == Stepping::kEnd) return hand.GatewayStarts(step.target);
  if (fault.kind == FaultKind::kGatewayKill) return hand.GatewayDies(step.target);
  hand.GatewayEnds(step.target);
}

void Stage::ApplyActive(TimePoint now, Stagehand& hand) {
  double burst = 1;
  std::vector<standin::NodeTrouble> troubles(nodes.size());
  std::vector<NetworkTrouble> network(network_.size());
  standin::CounterTrouble count;
  standin::DiscoveryTrouble list;
  for (const auto& [index, target] : active_) {
    const Fault& fault = scenario.faults[index];
    const Target kind = WordOf(fault.kind).target;
    standin::NodeTrouble none;
    standin::NodeTrouble& node = kind == Target::kNode ? troubles[static_cast<std::size_t>(target)] : none;
    NetworkTrouble open;
    NetworkTrouble& net = kind == Target::kNetwork ? network[static_cast<std::size_t>(target)] : open;
    switch (fault.kind) {
      case FaultKind::kBurst:
        burst *= fault.size;
        break;
      case FaultKind::kNodeSlow:
        node.slowness *= fault.size;
        break;
      case FaultKind::kNodeStall:
        node.stalled = true;
        break;
      case FaultKind::kNodeSilent:
        node.silent = true;
        break;
      case FaultKind::kNodeErrors:
        node.errors = std::max(node.errors, fault.size);
        break;
      case FaultKind::kNodeSpoilt:
        node.spoilt = std::max(node.spoilt, fault.size);
        break;
      case FaultKind::kNodeResets:
        node.resets = std::max(node.resets, fault.size);
        break;
      case FaultKind::kCounterSilent:
        count.silent = true;
        break;
      case FaultKind::kCounterSlow:
        count.slowness *= fault.size;
        break;
      case FaultKind::kCounterSplit:
        count.second_half = fault.size;
        break;
      case FaultKind::kCounterNoNumber:
        count.no_number = std::max(count.no_number, fault.size);
        break;
      case FaultKind::kDiscoverySilent:
        list.silent = true;
        break;
      case FaultKind::kDiscoveryLate:
        list.late += FromSeconds(fault.size);
        break;
      case FaultKind::kDiscoveryStale:
        list.stale = true;
        break;
      case FaultKind::kNetworkSlow:
        net.slower += FromSeconds(fault.size / 1000);
        break;
      case FaultKind::kNetworkLoss:
        net.loss = std::max(net.loss, fault.size);
        break;
      case FaultKind::kNetworkCut:
        net.cut = true;
        break;
      default:
        break;
    }
  }
  crowd.SetBurst(burst);
  counter.SetTrouble(count);
  discovery.SetTrouble(now, list);
  hand.DiscoveryChanges();
  network_ = std::move(network);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (troubles[i] == troubles_[i]) continue;
    nodes[i].machine->SetTrouble(now, troubles[i]);
    hand.NodeChanges(static_cast<int>(i));
  }
  troubles_ = std::move(troubles);
}

standin::ListAnswer Stage::FirstList() const {
  standin::ListAnswer list;
  list.version = static_cast<std::uint64_t>(scenario.fleet.nodes);
  for (int i = 0; i < scenario.fleet.nodes; ++i) list.nodes.push_back({i, HostState::kReady, TimePoint{}});
  return list;
}

Duration Stage::Distance(int gateway, int node) const {
  const bool same = nodes[static_cast<std::size_t>(node)].zone == gateway % scenario.fleet.zones;
  return (same ? scenario.network.same : scenario.network.cross) + network(gateway).slower;
}

double Stage::NearestFall() const {
  double nearest = 0;
  for (const StagedNode& node : nodes) nearest = std::max(nearest, node.machine->nearest_fall());
  return nearest;
}

}  // namespace curlewdoor::rehearsal
