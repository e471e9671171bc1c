// Plays a rehearsal in virtual time: the reducers of all gateways, the stand-ins and a network between them
// in one process, driven by one queue of events. The same scenario and seed give the same events, bit for
// bit.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "core/reducer.hpp"
#include "rehearsal/record.hpp"
#include "rehearsal/stage.hpp"

namespace curlewdoor::rehearsal {

class VirtualRun : Stagehand {
 public:
  // `scenario` must outlive it. `by_second`: also the figures of each second, for reports.
  VirtualRun(const Scenario& scenario, std::uint64_t seed, bool by_second,
             GatewayCoreFactory make_core = MakeReducer);
  ~VirtualRun() override;

  // To be called once. Throws std::runtime_error where the daemon would not take the scenario's
  // configuration.
  RunResult Play();

 private:
  enum class What : std::uint8_t {
    kStep,
    kCrowd,
    kWake,
    kNode,
    kAskArrives,
    kAnswerArrives,
    kGiveUp,
    kConnected,
    kConnectFails,
    kAttemptArrives,
    kDropArrives,
    kAttemptBack,
    kCallArrives,
    kCallBack,
    kCallStuck,
    kNews,
    kFrontSees
  };
  struct Happening {
    TimePoint at;
    std::uint64_t order = 0;
    What what = What::kStep;
    int a = 0, b = 0;  // what they mean depends on `what`: see the function that takes it
    std::uint64_t x = 0;
    double d = 0;
    bool operator<(const Happening& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct LiveAsk {
    standin::Ask ask;
    int life = 0;            // of its gateway, when it was taken; 0: not taken
    bool answering = false;  // an answer is on its way: it comes, whatever becomes of the gateway
    bool over = false;
  };
  struct VirtualJob {
    AttemptId attempt;
    int gateway = 0, life = 0, node = 0;
    TimePoint arrives;
    bool connecting = false, dropped = false, fresh = false;
    std::optional<TimePoint> stop_by;
  };
  struct VirtualCall {
    CallId call;
    int gateway = 0, life = 0;
    std::uint64_t name = 0;
    double amount = 0;
    Duration keep{};
    int status = 0;
    std::optional<double> total;
  };
  struct VirtualGateway {
    std::optional<config::Config> config;
    std::unique_ptr<GatewayCore> core;  // none while it is down
    int life = 0;
    bool ending = false;
    TimePoint wakes = TimePoint::max();
    std::uint64_t version = 0;  // of the list, as told
    bool watching = false;
    std::vector<int> kept;  // connections that carry nothing, by node
    std::vector<standin::JobId> connecting;
  };

  // Stagehand
  void NodeStarts(int node) override;
  void NodeDies(int node, const std::vector<standin::NodeOutput>& resets) override;
  void NodeChanges(int node) override { WatchNode(node); }
  void DiscoveryChanges() override;
  void DiscoveryMoves() override {}  // in virtual time an address is nothing
  void CounterMoves() override {}
  void GatewayStarts(int gateway) override;
  void GatewayDies(int gateway) override;
  void GatewayEnds(int gateway) override;
  void GatewayReloads(int) override {}  // the reducer is not asked

  void At(TimePoint at, What what, int a = 0, int b = 0, std::uint64_t x = 0, double d = 0);
  void Take(const Happening& happening);
  void TakeCrowd();
  void TakeNode(int node);
  void TakeAsk(std::uint64_t id);
  void TakeAnswer(const Happening& happening);
  void TakeGiveUp(std::uint64_t id);
  void TakeConnected(standin::JobId id, bool failed);
  void TakeAttempt(standin::JobId id);
  void TakeDrop(standin::JobId id);
  void TakeAttemptBack(standin::JobId id, standin::NodeSays says);
  void TakeCall(std::uint64_t key);
  void TakeCallBack(std::uint64_t key, bool stuck);
  void TakeNews(int gateway);

  void Post(int gateway, Input input);
  void Settle(int gateway);
  void Apply(int g, const StartAttempt& effect);
  void Apply(int g, const DropAttempt& effect);
  void Apply(int g, const DeliverAnswer& effect);
  void Apply(int g, const RespondRefused& effect);
  void Apply(int g, const RespondFailed& effect);
  void Apply(int g, const StartCall& effect);
  void Apply(int, const DropCall&) {}  // a call is written at once here
  void Apply(int g, const StartProbe& effect);
  void Apply(int, const DropProbe&) {}
  void Apply(int g, const CloseIdleConnections& effect);
  void Apply(int g, const StopSending& effect);
  void Apply(int g, const WatchMembers& effect);
  void Apply(int g, const FetchMembers& effect);
  void Apply(int, const WriteLog&) {}

  void Answer(RequestId request, AnswerKind kind, int status, Duration retry_after);
  void Send(standin::JobId id, VirtualJob& job);
  void TakeOutputs(int node, const std::vector<standin::NodeOutput>& outputs);
  void WatchNode(int node);
  void SendJobBack(standin::JobId id, standin::NodeSays says);
  void TellMembers(int gateway, const standin::ListAnswer& list, bool cached);
  // One way, with jitter and, between gateways and nodes, losses.
  Duration Way(Duration distance, double loss = 0);
  VirtualGateway& GatewayAt(int gateway) { return gateways_[static_cast<std::size_t>(gateway)]; }
  int NodeOf(HostId host) const;
  int& Kept(int gateway, int node);

  const Scenario& scenario_;
  const GatewayCoreFactory make_core_;
  Stage stage_;
  Record record_;
  standin::Random random_;
  TimePoint now_;
  std::uint64_t order_ = 0, next_call_ = 1;
  std::priority_queue<Happening> queue_;
  std::vector<VirtualGateway> gateways_;
  std::vector<TimePoint> node_wakes_;
  std::unordered_map<HostId, int, IdHash> node_of_;
  std::unordered_map<std::uint64_t, LiveAsk> asks_;
  std::unordered_map<standin::JobId, VirtualJob> jobs_;
  std::unordered_map<std::uint64_t, VirtualCall> calls_;
  std::vector<Effect> effects_;
  std::deque<std::pair<int, Input>> inputs_;
  std::vector<standin::Ask> new_asks_;
  std::vector<standin::NodeOutput> outputs_;
  bool handling_ = false;
  TimePoint crowd_wakes_ = TimePoint::max();
};

}  // namespace curlewdoor::rehearsal
