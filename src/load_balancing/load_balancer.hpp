// Which host of one service an attempt goes to, by what this gateway's own attempts have shown. Pure: time
// and seed are arguments.
//
// Each host has a weight: its slots over its slowness, more within the zone, less while it is cold. Hosts
// take turns by weight (smooth weighted round robin), so that many gateways that don't know of each other
// load a fleet evenly; among those whose turn is near, one with few attempts out from here goes first.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "logic.hpp"

namespace curlewdoor::load_balancing {

struct Host {
  HostId id;
  int slots = 1;
  bool near = false;  // in this gateway's zone
  double own = 0;     // 0 to 1: how much of it is this gateway's part (Aperture)
  bool silent = false;
  TimePoint warm_at{};  // slow until then
};

// How an attempt ended, as far as it tells of the host.
enum class End {
  kAnswered,   // in time or not: it works
  kFailed,     // it broke, was garbled, or the host said that it had failed
  kFull,       // the host turned it away
  kNoConnect,  // no connection came up
  kElsewhere,  // another host answers at that address, or it is leaving
  kNothing     // called off, or the client left
};

// Delays are in times that a request takes on average.
struct Options {
  double far_delay = 0.5;     // put on a host in another zone: bytes between zones are paid
  double others_delay = 0.6;  // put on one that is others' part: what they have out there isn't known here
  double power = 12;          // of a delay in the weight of a host
};

// A gateway's part of the hosts of its zone: hosts and gateways stand in two rings of the same length, and a
// gateway has the hosts beside it, at least one host long. All gateways together cover all hosts evenly; what
// a gateway has out on its part is about all that is out there, so that it can see when a host is busy.
// Gives, for each of `hosts` in their order, how much of it is the part of gateway `index` of `gateways`.
std::vector<double> Aperture(std::size_t hosts, std::size_t index, std::size_t gateways);

class Chooser {
 public:
  Chooser(Options options, std::uint64_t seed) : options_(options), rng_(seed) {}

  // The hosts of the service that may be sent to; what was learnt of those that stay is kept.
  void SetHosts(TimePoint now, std::span<const Host> hosts);

  // None: there is no host that isn't among `tried`, or all have failed just now.
  std::optional<HostId> Choose(TimePoint now, std::span<const HostId> tried);

  void Started(HostId host);
  // `latency` over what such requests take on average, where it was answered; else 0.
  void Ended(TimePoint now, HostId host, End how, double relative_latency);

  std::size_t size() const { return hosts_.size(); }
  int slots() const;                // of all hosts together
  int out() const { return out_; }  // attempts out from here
  // For operators.
  struct View {
    HostId id;
    double slowness = 1;
    int out = 0;
    bool resting = false;
  };
  std::vector<View> Look(TimePoint now) const;

 private:
  struct Known {
    Host host;
    double slowness = 1;  // smoothed, relative to the mean of the service
    double fails = 0;     // smoothed: how often attempts fail there
    double credit = 0;    // of the round robin
    int out = 0;
    int answers = 0;  // whose latency was learnt from, up to 1 / kStep
    int trouble = 0;  // failures in a row
    TimePoint rest_until{}, slow_at{};
  };
  double Weight(TimePoint now, const Known& known) const;

  Options options_;
  std::mt19937_64 rng_;
  std::map<HostId, Known> hosts_;
  int out_ = 0;
};

}  // namespace curlewdoor::load_balancing
