// Records of requests, attempts and hosts in progress: plain values that only logic.cpp reads and writes.
// Learned state is declared in logic.hpp, since an upgrade exports it.
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "logic.hpp"
#include "logic/leases.hpp"

namespace curlewdoor::records {

using Claim = Leases::Claim;
using Customer = Leases::Customer;

// One attempt to serve a request at a host.
struct Attempt {
  HostId host;
  TimePoint sent;
  double weight = 1;  // its work, in mean requests
  bool pending = true;
  bool late = false;         // already recorded as late
  bool started = false;      // its stream has started: no timeout, no cancelling
  bool may_have_run = true;  // until an outcome proves otherwise
};

// When an attempt becomes late.
struct LateDeadline {
  RequestId id;
  std::size_t attempt;
  TimePoint at;
};

// Statistics and outstanding attempts of a request class.
struct ClassState : ClassStats {
  std::deque<LateDeadline> deadlines;  // outstanding attempts in order of when they become late
  std::deque<HostId> recent_hosts;     // hosts that responded in time, the latest first
};

// An open request and its attempts.
struct Request : Claim {
  std::shared_ptr<const Settings> settings;  // in force at its arrival, kept to its end
  const RequestClass* traits = nullptr;      // from `settings`
  std::shared_ptr<ClassState> stats;
  TimePoint deadline;
  bool closed = false;
  std::vector<Attempt> attempts;
};

// A known host with its statistics and this gateway's load on it.
struct Host : HostStats {
  HostEntry entry{};
  bool listed = false;
  int pending = 0;  // outstanding attempts of this gateway ...
  double load = 0;  // ... and their work, in mean requests
};

}  // namespace curlewdoor::records
