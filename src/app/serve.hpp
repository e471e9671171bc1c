// One gateway from its configuration to its end: what `curlewdoor serve` does.
#pragma once

#include <string>

#include "core/reducer.hpp"

namespace curlewdoor::app {

// Serves until SIGTERM or SIGINT has drained it. `path` as in config::LoadConfig(). Returns the exit code.
int Serve(const std::string& path, const GatewayCoreFactory& make_core = MakeReducer);

}  // namespace curlewdoor::app
