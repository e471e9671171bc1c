// Plays a rehearsal on sockets, in real time: gateways as processes of their own, the stand-ins and clients
// on loopback in this one. Each gateway has addresses of its own for every node, the counter and discovery,
// so that a stand-in knows who calls without asking the gateway.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/timers.hpp"
#include "playing/http_server.hpp"
#include "playing/process.hpp"
#include "playing/socket_clients.hpp"
#include "rehearsal/record.hpp"
#include "rehearsal/stage.hpp"

namespace curlewdoor::playing {

struct SocketOptions {
  std::string gateway_program;                      // `curlewdoor`, or a test's faulty one
  std::string log_folder;                           // where gateways' logs stay; empty: they go with the run
  std::function<void(double seconds)> on_progress;  // now and then; may be empty
};

class SocketRun : rehearsal::Stagehand {
 public:
  SocketRun(const rehearsal::Scenario& scenario, std::uint64_t seed, SocketOptions options);
  ~SocketRun() override;

  // To be called once. Throws std::runtime_error where it can't be played at all.
  rehearsal::RunResult Play();

 private:
  struct NodeJob {
    int node = 0, gateway = 0;
    ConnectionId connection = 0;
    std::uint64_t request = 0;
  };
  struct CounterLine {  // answers of one connection leave in the order of its calls
    TimePoint last;
    bool stuck = false;
  };
  struct Watching {
    ConnectionId connection = 0;
    std::uint64_t from = 0;
    TimePoint until;
  };
  struct Gate {  // one gateway and what stands behind it
    Address listen;
    int life = 0;
    TimePoint started;
    Process process;
    bool ending = false, killed = false, crashed = false;
    std::unique_ptr<HttpServer> counter, discovery, old_counter, old_discovery;
    std::map<std::pair<HttpServer*, ConnectionId>, CounterLine> counter_lines;
    std::vector<Watching> watching;
    std::unique_ptr<SocketClients> clients;
  };
  struct LiveAsk {
    standin::Ask ask;
    int life = 0;
  };

  // Stagehand
  void NodeStarts(int node) override;
  void NodeDies(int node, const std::vector<standin::NodeOutput>& resets) override;
  void NodeChanges(int node) override;
  void DiscoveryChanges() override;
  void DiscoveryMoves() override;
  void CounterMoves() override;
  void GatewayStarts(int gateway) override;
  void GatewayDies(int gateway) override;
  void GatewayEnds(int gateway) override;
  void GatewayReloads(int gateway) override;

  TimePoint Now() { return clock_.Now(); }
  void At(TimePoint at, std::function<void()> what);
  void RunDue();
  void Arm();
  void Watchdog();

  void OpenNode(int node);
  void ForgetUnheard(int node, int gateway);
  void OnNodeRequest(int node, int gateway, ConnectionId connection, const http::Message& request);
  void TakeOutputs(int node, const std::vector<standin::NodeOutput>& outputs);
  void Say(const NodeJob& job, standin::JobId id, standin::NodeSays says);
  void WatchNode(int node);

  std::unique_ptr<HttpServer> OpenCounter(int gateway);
  void OnCall(int gateway, HttpServer& server, ConnectionId connection, const http::Message& request);
  std::unique_ptr<HttpServer> OpenDiscovery(int gateway);
  void OnList(int gateway, HttpServer& server, ConnectionId connection, const http::Message& request);
  void AnswerList(int gateway, ConnectionId connection, const standin::ListAnswer& list);
  void LookAtWatches(int gateway);

  void WriteConfig(int gateway);
  nlohmann::json MembersJson(int gateway, const standin::ListAnswer& list) const;
  bool AwaitReady();
  void TakeCrowd();
  void Ask(const standin::Ask& ask);
  void OnAskWritten(std::uint64_t id);
  void OnAskEnd(std::uint64_t id, const ClientAnswer& answer);
  void GiveUp(std::uint64_t id);
  void End(std::uint64_t id, standin::Ending ending, Duration retry_after);

  const rehearsal::Scenario& scenario_;
  const std::uint64_t seed_;
  const SocketOptions options_;
  TemporaryFolder folder_;
  struct ev_loop* loop_;
  WallClock clock_;
  net::Descriptors descriptors_;
  rehearsal::Stage stage_;
  rehearsal::Record record_;
  net::TimerWatcher timer_;
  net::PrepareWatcher before_wait_;
  TimerQueue<std::function<void()>> due_;
  std::vector<Gate> gates_;
  std::map<std::pair<int, int>, std::unique_ptr<HttpServer>> node_servers_;  // by place and gateway
  std::vector<int> node_at_;  // by place: the node that stands there now; -1: none
  std::unordered_map<standin::JobId, NodeJob> jobs_;
  std::map<std::tuple<int, int, ConnectionId>, standin::JobId> job_on_;  // by place, gateway, connection
  std::vector<TimePoint> node_wakes_;
  std::unordered_map<std::uint64_t, LiveAsk> asks_;
  standin::JobId next_job_ = 1;
  rehearsal::Latencies lateness_;
  Duration latest_{};
  bool done_ = false;
  std::string crashed_;
};

// The program beside this one, or the one that is found on the way.
std::string GatewayProgramBeside(const std::string& own_path);

}  // namespace curlewdoor::playing
