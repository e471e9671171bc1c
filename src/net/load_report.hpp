// Load reports as hosts send them: "TEXT inflight=7, queue=2, util=0.61".
#pragma once

#include <string_view>

#include "logic.hpp"

namespace curlewdoor::net {

// Reads the pairs that are well formed and leaves out the others.
LoadReport ReadLoadReport(std::string_view text);

}  // namespace curlewdoor::net
