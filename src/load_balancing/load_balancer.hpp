// Selects the host of a service that an attempt is sent to, from the results of this gateway's own attempts.
// Pure: the time and the random seed are arguments.
//
// Each host has a weight: its slots divided by a power of its expected delay. A host in this gateway's zone
// weighs more, a host that was started recently weighs less. Hosts are selected by smooth weighted round
// robin, so that many gateways that don't coordinate still load a fleet evenly. Attempts in flight from this
// gateway add to a host's delay, so hosts with few of them are preferred.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "logic.hpp"

namespace curlewdoor::load_balancing {

// A host of the service, as the service registry describes it.
struct BackendHost {
  HostId id;
  int slots = 1;                 // requests that it serves at the same time
  bool same_zone = false;        // in this gateway's zone
  double aperture_share = 0;     // 0 to 1: how much of it is in this gateway's aperture (ApertureShares)
  bool unresponsive = false;     // its heartbeats are missing
  TimePoint slow_start_until{};  // it was started recently and is slow until then
};

// What the end of an attempt tells about the host.
enum class AttemptFeedback {
  kAnswered,       // the host works, whether it answered in time or not
  kFailed,         // the connection broke, the answer was malformed, or the host reported a failure
  kOverloaded,     // the host rejected the request without processing it
  kConnectFailed,  // no connection could be established
  kWrongHost,      // another host answers at this address, or the host is shutting down
  kCancelled       // tells nothing: the attempt was cancelled, or the client disconnected
};

// Delays are relative to the average time that a request takes.
struct LoadBalancerOptions {
  double cross_zone_delay = 0.5;  // added for a host in another zone, since traffic between zones is billed
  // Added for a host outside the aperture: the attempts of other gateways there are not known here.
  double outside_aperture_delay = 0.6;
  double delay_exponent = 12;  // a host's weight falls with this power of its delay
};

// The aperture of a gateway: the part of its zone's hosts that it prefers. Hosts and gateways are placed on
// two rings of equal length. A gateway's aperture is the stretch of the host ring next to it, at least one
// host long. The apertures of all gateways cover all hosts evenly. Most load on the hosts of an aperture
// comes from its own gateway, which can therefore see when such a host is busy.
//
// Returns for each of `hosts`, in their order, how much of it lies in the aperture of gateway `index` of
// `gateways`.
std::vector<double> ApertureShares(std::size_t hosts, std::size_t index, std::size_t gateways);

// Selects hosts of one service and tracks latency, failures and attempts in flight per host.
class LoadBalancer {
 public:
  LoadBalancer(LoadBalancerOptions options, std::uint64_t seed) : options_(options), rng_(seed) {}

  // Replaces the hosts that attempts may be sent to. Statistics of hosts that remain are kept.
  void SetHosts(TimePoint now, std::span<const BackendHost> hosts);

  // Selects a host that is not among `tried`; nullopt if there is none. Ejected and unresponsive hosts are
  // skipped while another host is left, unless more than half of all hosts are ejected or unresponsive.
  std::optional<HostId> Choose(TimePoint now, std::span<const HostId> tried);

  // An attempt was sent to this host.
  void OnAttemptStart(HostId host);
  // An attempt has ended. `relative_latency`: the latency divided by the average latency of such requests; 0
  // if the host did not answer.
  void OnAttemptEnd(TimePoint now, HostId host, AttemptFeedback feedback, double relative_latency);

  std::size_t size() const { return hosts_.size(); }
  int slots() const;                            // of all hosts together
  int in_flight() const { return in_flight_; }  // attempts from this gateway that have not ended
  // Statistics of one host, for operators.
  struct HostStats {
    HostId id;
    double slowness = 1;
    int in_flight = 0;
    bool ejected = false;
  };
  std::vector<HostStats> Stats(TimePoint now) const;

 private:
  struct TrackedHost {
    BackendHost host;
    double slowness = 1;      // smoothed latency, relative to the mean of the service
    double failure_rate = 0;  // smoothed share of attempts that fail
    double credit = 0;        // current weight in the smooth weighted round robin
    int in_flight = 0;
    int latency_samples = 0;  // latencies taken into `slowness`, counted up to 1 / kLatencySmoothing
    int consecutive_failures = 0;
    TimePoint ejected_until{}, updated_at{};
  };
  double Weight(TimePoint now, const TrackedHost& tracked) const;

  LoadBalancerOptions options_;
  std::mt19937_64 rng_;
  std::map<HostId, TrackedHost> hosts_;
  int in_flight_ = 0;
};

}  // namespace curlewdoor::load_balancing
