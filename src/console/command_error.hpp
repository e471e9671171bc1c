// How a command ends that could not do what it was asked.
#pragma once

#include <stdexcept>
#include <string>

#include "console/console.hpp"

namespace curlewdoor::console {

struct CommandError : std::runtime_error {
  CommandError(ExitCode code, const std::string& text) : std::runtime_error(text), code(code) {}
  ExitCode code;
};

}  // namespace curlewdoor::console
