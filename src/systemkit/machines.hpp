// Machines of a deployment on loopback: each has an address of its own, a settings file, maybe a disk, and
// runs `curlewdoor-system run gateway`. All use the same ports.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "playing/process.hpp"
#include "systemkit/relays.hpp"
#include "util/address.hpp"

namespace curlewdoor::systemkit {

class Machines {
 public:
  struct Options {
    std::string program;
    int core = 3;    // machines with a disk, members of the core
    int others = 0;  // without
    int spares = 0;  // with a disk, that come later: the last ones, and not in all()
    int machine_failures = 1;
    double quota_window_s = 1;
    int heartbeat_ms = 400;
    int registry_period_ms = 20'000;
    int grace_s = 6;
    int fd_limit = 4100;
    double memory_mb = 260;
    bool relayed = false;      // reached through relays: ends()
    bool coordinates = false;  // with the contract of locks, numbers, keys and watches
  };

  explicit Machines(const Options& options);  // throws std::runtime_error

  int count() const { return static_cast<int>(machines_.size()); }
  // Throws where it can't be started.
  void Start(int machine, bool bootstrap);
  // Writes its settings file again, with `bootstrap: false` and the seeds of now, while it runs.
  void ChangeSettings(int machine);
  void Signal(int machine, int signal);
  void Kill(const std::vector<int>& machines);  // all at the same moment
  void WipeDisk(int machine);
  void SetSeeds(std::vector<Address> seeds) { seeds_ = std::move(seeds); }  // of those that start from now on
  bool Running(int machine) { return machines_.at(static_cast<std::size_t>(machine)).process.running(); }
  int exit_code(int machine) const;
  int pid(int machine) const;
  int life(int machine) const;  // counts its starts
  std::vector<int> all() const;

  Address data_plane(int machine) const { return At(machine, 0); }
  Address readiness(int machine) const { return At(machine, 1); }
  Address control(int machine) const { return At(machine, 2); }
  // What relays stand between: each machine's two addresses, and the first of the internal ports.
  std::vector<Relays::Ends> ends() const;
  std::uint16_t internal_port() const { return At(0, kDoors).port; }
  // An address of this run for something else, from 0 to 99.
  std::uint32_t StandInIp(int which) const { return network_ + 101 + static_cast<std::uint32_t>(which); }
  const std::string& name(int machine) const { return machines_.at(static_cast<std::size_t>(machine)).name; }
  // The ends of all logs, for whoever looks for a cause.
  std::string Logs(std::size_t lines = 40) const;

 private:
  static constexpr int kDoors = 3;  // ports before the internal ones

  struct Machine {
    std::string name;
    bool disk = false;
    int life = 0;
    playing::Process process;
  };
  Address At(int machine, int port) const;
  std::uint32_t BoundIp(int machine) const;
  std::string SettingsOf(int machine, bool bootstrap) const;
  std::string DiskOf(int machine) const;

  const Options options_;
  playing::TemporaryFolder folder_;
  std::uint32_t network_ = 0;
  std::uint16_t first_port_ = 0;
  std::vector<Machine> machines_;
  std::vector<Address> seeds_;
};

}  // namespace curlewdoor::systemkit
