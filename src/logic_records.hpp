// The module's records of what is under way: plain values that only logic.cpp reads and writes. What it has
// learnt beyond that stands in logic.hpp, since an upgrade hands it on.
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "logic.hpp"
#include "logic/leases.hpp"

namespace curlewdoor::records {

using Claim = Leases::Claim;
using Customer = Leases::Customer;

struct Attempt {
  HostId host;
  TimePoint sent;
  double weight = 1;  // its work, in usual requests
  bool out = true;
  bool late = false;         // it was noted that it is late
  bool started = false;      // its stream has begun: no time-out, no calling off
  bool may_have_run = true;  // until an outcome proves otherwise
};

struct Due {
  RequestId id;
  std::size_t attempt;
  TimePoint at;
};

struct ClassState : ClassMemory {
  std::deque<Due> due;     // attempts out, by when they become late
  std::deque<HostId> met;  // hosts that answered it in time, the latest first
};

struct Request : Claim {
  std::shared_ptr<const Settings> under;  // from its arrival to its end, whatever changes meanwhile
  const RequestClass* kind = nullptr;     // of these
  std::shared_ptr<ClassState> learnt;
  TimePoint deadline;
  bool closed = false;
  std::vector<Attempt> attempts;
};

struct Host : HostMemory {
  HostEntry entry{};
  bool listed = false;
  int out = 0;      // attempts out from here ...
  double load = 0;  // ... and their work, in usual requests
};

}  // namespace curlewdoor::records
