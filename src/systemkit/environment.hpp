// What a run by hand may set for tests of real processes.
#pragma once

#include <cstdlib>
#include <string>

namespace curlewdoor::systemkit {

// A whole number from the environment; `usual` where it isn't set.
inline int Setting(const char* name, int usual) {
  const char* told = std::getenv(name);
  return told != nullptr ? std::atoi(told) : usual;
}

// CURLEWDOOR_SOAK_PROGRAM is another version of the program, to see it fail.
inline std::string ProgramToPlay(const char* usual) {
  const char* told = std::getenv("CURLEWDOOR_SOAK_PROGRAM");
  return told != nullptr ? told : usual;
}

}  // namespace curlewdoor::systemkit
