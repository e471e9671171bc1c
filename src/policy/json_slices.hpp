// Parts of a JSON text, found without reading it into memory. Only for texts that ScanJson() has passed.
#pragma once

#include <string_view>
#include <vector>

namespace curlewdoor::policy {

struct JsonMember {
  std::string_view key;    // as it stands, without its quotes: escapes are not resolved
  std::string_view value;  // without white space around it
};

// Of an object; empty for any other value.
std::vector<JsonMember> MembersOf(std::string_view value);
// Of a list; empty for any other value.
std::vector<std::string_view> ElementsOf(std::string_view value);

}  // namespace curlewdoor::policy
