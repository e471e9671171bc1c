// A strict look at a JSON text before cJSON reads it: cJSON takes texts that are not JSON, nests deep, and
// cuts strings at \u0000.
#pragma once

#include <cstddef>
#include <string_view>

namespace curlewdoor::policy {

struct JsonFault {
  const char* what = nullptr;  // nullptr: the text is one whole JSON value, within the bounds
  std::size_t at = 0;          // the byte at which the fault shows
};

// Checks that `text` is one JSON value (RFC 8259) with white space around it at most, that arrays and objects
// stand at most `most_depth` deep, that there are at most `most_values` values, and that no string holds a
// NUL. UTF-8 is not checked. Time linear in the text; no memory but a stack of `most_depth` small frames.
JsonFault ScanJson(std::string_view text, std::size_t most_depth, std::size_t most_values);

}  // namespace curlewdoor::policy
