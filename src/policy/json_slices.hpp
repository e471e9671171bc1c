// Finds the members of an object and the elements of an array in a JSON text, as slices of the text, without
// building a tree. Only for texts that ValidateJson() has accepted.
#pragma once

#include <string_view>
#include <vector>

namespace curlewdoor::policy {

// One member of an object, as slices of the text.
struct JsonMember {
  std::string_view key;    // without its quotes; escape sequences are not decoded
  std::string_view value;  // without surrounding white space
};

// The members of an object; empty for any other value.
std::vector<JsonMember> ObjectMembers(std::string_view value);
// The elements of an array; empty for any other value.
std::vector<std::string_view> ArrayElements(std::string_view value);

}  // namespace curlewdoor::policy
