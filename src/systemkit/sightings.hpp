// What stand-ins have seen from outside, and whether it keeps the rules of PROTOCOL.md. Pure.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "systemkit/calls.hpp"

namespace curlewdoor::systemkit {

struct Try {  // one request of a client
  std::string id, method, target, body, tenant;
  bool repeatable = true;
  int deadline_ms = 0;
  int gateway = 0, life = 0;
  double sent = 0, ended = -1;  // ended below 0: not yet
  Answer answer;
};

struct Run {  // one arrival at a host
  std::string id, service, instance, method, target, body, tenant;
  bool key_seen = false;
  bool ran = false;  // else the host turned it away and said so
  int deadline_ms = 0;
  double at = 0;
  int status = 0;  // of the answer that was sent, with its seal and body
  std::string seal, answer_body;
};

class Sightings {
 public:
  std::size_t Add(Try one);
  std::size_t Add(Run one);
  Try& one_try(std::size_t index) { return tries_[index]; }
  Run& run(std::size_t index) { return runs_[index]; }
  const std::vector<Try>& tries() const { return tries_; }
  const std::vector<Run>& runs() const { return runs_; }
  void DrainAcknowledged(const std::string& instance, double at) { drained_.emplace(instance, at); }

  // When each host's leave was acknowledged.
  const std::map<std::string, double>& drained() const { return drained_; }

  // One line each; empty: all was kept.
  std::vector<std::string> Breaches() const;
  // Requests that a gateway that was told to end at `from` had read, and that ended without an answer.
  std::vector<std::string> Lost(int gateway, int life, double from) const;
  // Requests of a route (its prefix) that ran at the service `older` although, in that life of their gateway,
  // `newer` had run one, or although they were sent later than `by` (below 0: not looked at).
  std::vector<std::string> WentBack(const std::string& prefix, const std::string& older,
                                    const std::string& newer, double by = -1) const;
  // Of a tenant's requests, those that ran within some span of so many seconds, at most.
  int MostWithin(const std::string& tenant, double window) const;
  int RunsOf(const std::string& tenant) const;
  // Of this route, through this gateway, at this service, sent later than `since`.
  int Ran(const std::string& prefix, int gateway, const std::string& service, double since) const;

 private:
  const Try* TryOf(const std::string& id) const;

  std::vector<Try> tries_;
  std::vector<Run> runs_;
  std::unordered_map<std::string, std::size_t> by_id_;
  std::unordered_map<std::string, std::vector<std::size_t>> runs_by_id_;
  std::map<std::string, double> drained_;
};

}  // namespace curlewdoor::systemkit
