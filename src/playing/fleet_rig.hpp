// Plays a rehearsal of several gateways with real processes of the daemon on loopback, relays between them,
// signals to them. What it judges by it reads from outside: the daemons' answers to FLEET and METRICS, and
// their logs.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "fleetkit/stage.hpp"
#include "playing/ledger_door.hpp"
#include "playing/process.hpp"
#include "playing/relay.hpp"
#include "playing/socket_world.hpp"
#include "standin/ledger.hpp"

namespace curlewdoor::playing {

struct RigOptions {
  std::string program;     // `curlewdoor`
  std::string log_folder;  // where logs and configurations stay; made where it does not exist; empty: they go
};

class FleetRig : fleetkit::Hand, SocketWorld::Keeper {
 public:
  FleetRig(const fleetkit::Scenario& scenario, std::uint64_t seed, RigOptions options);
  ~FleetRig() override;

  // To be called once. Throws std::runtime_error where it can't be played at all.
  fleetkit::Result Play();

 private:
  struct Asking {  // one operators' call that is under way
    int fd = -1;
    std::unique_ptr<net::IoWatcher> io;
    std::string got;
  };
  struct Gateway {
    std::string name;
    int listen_fd = -1;
    Address listen, admin, fleet;
    std::unique_ptr<Relay> relay;
    Process process, older;  // `older`: ends after an upgrade
    int lives = 0;
    std::string log;
    std::size_t log_read = 0;
    bool ending = false, upgrading = false, to_start = false;
    Asking asking;
    std::uint64_t datagrams = 0, bytes = 0;  // as it says
    bool counted = false;
    std::uint64_t asked = 0;
    std::unique_ptr<LedgerDoor> ledger;
    std::string to_call;  // an operator's call that goes before the usual ones
  };

  void Start(int process, const std::string& name) override;
  void Kill(int process) override;
  void Term(int process) override;
  void Stop(int process) override;
  void Continue(int process) override;
  void Upgrade(int process) override;
  void HandOver(int holder, int to) override;
  void HoldLedger(int process, bool on) override;
  void SetVoters(const std::vector<int>& voters, const std::vector<int>& before) override;

  // The load's own faults leave gateways alone, but for a new configuration.
  void StartGateway(int) override {}
  void KillGateway(int) override {}
  void EndGateway(int) override {}
  void HangUpGateway(int) override {}
  void Reconfigure(int process) override;

  double Now() const;
  std::uint32_t Ip(int process, bool relay) const;
  void Prepare(int process);
  void PrepareLoad();
  void JudgeLoad();
  void LetStoppedTell();
  nlohmann::json ConfigOf(int process) const;
  // False: the place is still held, by the life that ends.
  void StartWhereFree(int process);
  std::string PlaceOf(int process) const;
  std::string WriteConfig(int process) const;
  bool ListenAgain(Gateway& gateway);
  void LetGo(Gateway& gateway);
  void Launch(int process);
  void MoveAdmin(int process);
  void Forget(int process);
  void Look();
  void Ask(int process);
  void OnAnswer(int process);
  std::string OnLedgerLine(std::string_view line);
  void ReadDutyLine(int process, std::string_view line);
  void ReadLogs();
  void Watch();

  const fleetkit::Scenario scenario_;
  const std::uint64_t seed_;
  const RigOptions options_;
  TemporaryFolder folder_;
  std::string logs_;
  struct ev_loop* loop_;
  fleetkit::Stage stage_;
  std::vector<Gateway> gateways_;
  const rehearsal::Scenario load_;
  std::vector<fleetkit::Seen> seen_;
  std::unique_ptr<SocketWorld> world_;  // where the scenario has a load
  std::vector<std::string> voters_, voters_before_;
  standin::Ledger ledger_;
  bool asking_ = false;
  net::TimerWatcher timer_;
  double began_ = 0;
  std::uint64_t turn_ = 0;  // of asking
};

}  // namespace curlewdoor::playing
