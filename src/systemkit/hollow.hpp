// Hollow gateways: whole nodes of the system, many in one process, that carry no traffic. They stand in the
// fleet's view, hold links to the core, take hosts' beats and fetch configurations as any gateway does, so a
// few real core members can be measured beside hundreds of them on one machine.
#pragma once

#include <cstdint>

#include "util/address.hpp"

namespace curlewdoor::systemkit {

struct HollowOptions {
  std::uint32_t first_ip = 0;  // of the first one; the others follow
  int count = 0;
  Address seed;               // a core member's control address; all machines use its ports
  double start_within_s = 2;  // spread over so long
  int heartbeat_ms = 1500;    // of hosts
  int machine_failures = 1;   // that the core bears
  double ends_after_s = 90;   // whatever happens
};

// Address of the gateway `which` of them, at the control door.
Address HollowControl(const HollowOptions& options, int which);

// Runs them until the time is over or the process is told to end. Throws std::runtime_error.
void RunHollow(const HollowOptions& options);

}  // namespace curlewdoor::systemkit
