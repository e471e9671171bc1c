// What all fuzz targets share. docs/fuzzing.md tells how they are run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

// Ends the run: the input at hand is a finding.
#define FUZZ_REQUIRE(condition)                                                    \
  do {                                                                             \
    if (!(condition)) {                                                            \
      std::fprintf(stderr, "%s:%d: not so: %s\n", __FILE__, __LINE__, #condition); \
      std::abort();                                                                \
    }                                                                              \
  } while (false)

namespace curlewdoor::fuzz {

inline std::string_view View(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace curlewdoor::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
