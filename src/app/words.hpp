// How the log and operators' answers write what may be absent, and yes and no.
#pragma once

#include <string>
#include <string_view>

namespace curlewdoor::app {

inline std::string_view YesNo(bool yes) { return yes ? "yes" : "no"; }
inline std::string_view OrDash(const std::string& text) {
  return text.empty() ? std::string_view("-") : std::string_view(text);
}

}  // namespace curlewdoor::app
