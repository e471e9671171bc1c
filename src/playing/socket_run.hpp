// Plays a rehearsal on sockets, in real time: gateways as processes of their own, the world around them on
// loopback in this one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "playing/process.hpp"
#include "playing/socket_world.hpp"

namespace curlewdoor::playing {

struct SocketOptions {
  std::string gateway_program;                      // `curlewdoor`, or a test's faulty one
  std::string log_folder;                           // where gateways' logs stay; empty: they go with the run
  std::function<void(double seconds)> on_progress;  // now and then; may be empty
};

class SocketRun : SocketWorld::Keeper {
 public:
  SocketRun(const rehearsal::Scenario& scenario, std::uint64_t seed, SocketOptions options);
  ~SocketRun() override;

  // To be called once. Throws std::runtime_error where it can't be played at all.
  rehearsal::RunResult Play();

 private:
  struct Loop {
    Loop();
    ~Loop();
    struct ev_loop* loop;
  };

  void StartGateway(int gateway) override;
  void KillGateway(int gateway) override;
  void EndGateway(int gateway) override;
  void HangUpGateway(int gateway) override;
  void Reconfigure(int gateway) override;
  void WriteConfig(int gateway);
  void AwaitGateways();
  bool StartAll(Duration lead);
  bool AnyHasEnded();
  void Watchdog();

  const rehearsal::Scenario& scenario_;
  const std::uint64_t seed_;
  const SocketOptions options_;
  TemporaryFolder folder_;
  Loop loop_;
  std::unique_ptr<SocketWorld> world_;
  std::vector<Process> processes_;
};

// The program beside this one, or the one that is found on the way.
std::string GatewayProgramBeside(const std::string& own_path);

}  // namespace curlewdoor::playing
