// Stand-in clients and the platform before the gateways, from PROTOCOL.md: the platform asks gateways whether
// they are ready; clients come at a rate, open connections or keep them, and try again as the page says.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/watcher.hpp"
#include "systemkit/calls.hpp"
#include "systemkit/machines.hpp"
#include "systemkit/pace.hpp"
#include "systemkit/sightings.hpp"

namespace curlewdoor::systemkit {

class Clients {
 public:
  struct Kind {  // of requests
    std::string host, prefix, tenant, key;
    bool repeatable = true;
    double rate_per_s = 0;
    int most_tries = 4;
    int deadline_ms = 3000;
  };

  Clients(struct ev_loop* loop, Pace& pace, Calls& calls, Sightings& sightings, Machines& machines);

  void Begin(std::vector<Kind> kinds);  // in place of those before
  void Stop() { kinds_.clear(); }
  void Ask(const Kind& kind) { Send(kind, -1); }                      // one, from wherever the platform leads
  void AskAt(const Kind& kind, int gateway) { Send(kind, gateway); }  // one try straight to a gateway

  struct Figures {
    int asked = 0, served = 0, ended = 0;
    double ServedShare() const { return ended > 0 ? static_cast<double>(served) / ended : 0; }
  };
  const Figures& figures() const { return figures_; }
  void Forget() { figures_ = {}; }  // counts from here on; of what is open too, where it ends
  int open() const { return open_; }
  bool In(int gateway) const { return gateways_[static_cast<std::size_t>(gateway)].in; }
  int in() const;

 private:
  struct Asked {
    Kind kind;
    int gateway = -1;  // straight to this one
    double ends = 0;
    int tries = 0, last = -1;
    std::string body;
    bool chunked = false, counted = false;
  };
  struct Gateway {
    bool in = false;
    int missed = 0;
  };

  void Tick();
  void Look(int gateway);
  void Send(const Kind& kind, int gateway);
  void TryOnce(const std::shared_ptr<Asked>& asked);
  void OnAnswer(const std::shared_ptr<Asked>& asked, std::size_t index, const Answer& answer);
  void End(const Asked& asked, bool served);
  int Choose(int last);

  Pace& pace_;
  Calls& calls_;
  Sightings& sightings_;
  Machines& machines_;
  std::mt19937_64 random_{7};
  std::vector<Kind> kinds_;
  std::vector<double> due_;  // by kind
  double ticked_ = 0;
  std::vector<Gateway> gateways_;
  Figures figures_;
  int open_ = 0, epoch_ = 0;
  std::uint64_t next_id_ = 1;
  net::TimerWatcher timer_;
};

}  // namespace curlewdoor::systemkit
