// One stand-in alone, for trying things by hand.
#pragma once

#include <string>
#include <vector>

#include "standin/counter.hpp"
#include "standin/node.hpp"
#include "util/address.hpp"

namespace curlewdoor::playing {

struct StandOptions {
  std::string what;  // node, counter or discovery
  Address listen;
  // A node. With no work it answers at once: the cheapest peer for measuring what stands before it.
  standin::NodeKind node;
  standin::WorkClass work;
  standin::CounterKind counter;
  std::vector<Address> nodes;  // that discovery lists
  std::uint64_t seed = 1;
};

// Serves until SIGTERM or SIGINT. Throws std::runtime_error where it can't listen.
void Stand(const StandOptions& options);

}  // namespace curlewdoor::playing
