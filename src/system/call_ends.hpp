// How calls of applications ended at this gateway. Counts only.
#pragma once

#include <cstdint>
#include <map>

namespace curlewdoor::system {

struct CallEnds {
  std::map<int, std::uint64_t> answered;  // by the answer's status; those that were refused as malformed too
  std::uint64_t left = 0;                 // callers that left before their answer
};

}  // namespace curlewdoor::system
