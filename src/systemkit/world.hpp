// A deployment with all that surrounds it, in one loop: real gateways, stand-in hosts, clients and operator.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "systemkit/calls.hpp"
#include "systemkit/clients.hpp"
#include "systemkit/host.hpp"
#include "systemkit/machines.hpp"
#include "systemkit/operator.hpp"
#include "systemkit/pace.hpp"
#include "systemkit/relays.hpp"
#include "systemkit/sightings.hpp"

namespace curlewdoor::systemkit {

struct LoopOwner {
  struct ev_loop* loop;
  LoopOwner();
  ~LoopOwner();
  LoopOwner(const LoopOwner&) = delete;
  LoopOwner& operator=(const LoopOwner&) = delete;
};

// What the tests' configurations consist of: routes /read/ and /write/ (at most once) at services `first` and
// `second`, and /moving/, which is at one of both. Tenants: `gold` without a limit, `metered` with one.
struct ConfigOptions {
  std::uint64_t version = 1;
  std::string moving = "first";
  double metered_rate = 50, metered_burst = 50;
  bool added_route = false;  // /added/ at `second`
  int timeout_ms = 3000;     // of all routes
  int header_timeout_ms = 3000;
  // Further tenants with a limit; the key is Limited()'s.
  struct Limit {
    std::string tenant;
    double rate_per_s = 0, burst_size = 0;
  };
  std::vector<Limit> limits{};
};
std::string ConfigText(const ConfigOptions& options);

Clients::Kind Reads(double rate_per_s);
Clients::Kind Writes(double rate_per_s);
Clients::Kind Moving(double rate_per_s);
Clients::Kind Added(double rate_per_s);
Clients::Kind Metered(double rate_per_s);  // of the tenant with a limit; tried once
Clients::Kind Limited(const std::string& tenant, double rate_per_s);  // of one of `limits`; tried once

class World {
 public:
  // `like`: what its hosts are like; their names, addresses and beats are the world's.
  explicit World(const Machines::Options& options, const Host::Options& like = {});
  ~World();

  // Starts all machines for the first time, sends the first configuration and starts two hosts of each
  // service. True once every gateway is ready and each host is known.
  bool Start(const ConfigOptions& first = {});
  // `adjust` may change what the host is like; its service, name and address are the world's.
  Host& AddHost(const std::string& service, const std::function<void(Host::Options&)>& adjust = {});

  // Plays on until `done`, for this long at most.
  bool Until(const std::function<bool()>& done, double within_s);
  void For(double seconds) {
    Until([] { return false; }, seconds);
  }
  // Ends the load and lets what is open come to its end.
  bool Settle();

  LoopOwner owner;
  Machines machines;
  std::unique_ptr<Relays> relays;  // between the machines, with Machines::Options::relayed
  Pace pace;
  Calls calls;
  Sightings sightings;
  std::vector<std::unique_ptr<Host>> hosts;
  Clients clients;
  Operator oper;

 private:
  void OpenRelays();  // to the processes that run

  const int heartbeat_ms_;
  const Host::Options like_;
};

}  // namespace curlewdoor::systemkit
