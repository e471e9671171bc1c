// Strict validation of a JSON text before cJSON parses it. cJSON accepts some texts that are not JSON, parses
// deeply nested documents recursively, and truncates strings at \u0000.
#pragma once

#include <cstddef>
#include <string_view>

namespace curlewdoor::policy {

// The first error in a JSON text.
struct JsonError {
  const char* message = nullptr;  // nullptr if the text is one complete JSON value within the limits
  std::size_t offset = 0;         // byte offset of the error
};

// Checks that `text` is one JSON value (RFC 8259), surrounded by nothing but white space, that arrays and
// objects are nested at most `max_depth` deep, that there are at most `max_values` values, and that no string
// contains a NUL. UTF-8 is not checked. Takes linear time and allocates nothing; the stack holds up to
// `max_depth` small frames.
JsonError ValidateJson(std::string_view text, std::size_t max_depth, std::size_t max_values);

}  // namespace curlewdoor::policy
