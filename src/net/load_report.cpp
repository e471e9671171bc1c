#include "net/load_report.hpp"

#include <algorithm>
#include <string>

#include "util/number.hpp"

namespace curlewdoor::net {

LoadReport ReadLoadReport(std::string_view text) {
  LoadReport report;
  constexpr std::string_view kForm = "TEXT";
  if (text.starts_with(kForm)) text.remove_prefix(kForm.size());
  while (!text.empty()) {
    const std::size_t begin = std::min(text.find_first_not_of(" \t,"), text.size());
    text.remove_prefix(begin);
    const std::string_view part = text.substr(0, text.find_first_of(" \t,\r\n"));
    text.remove_prefix(part.size());
    if (part.empty()) break;
    const auto equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) continue;
    double value = 0;
    if (ParseNumber(part.substr(equals + 1), value))
      report.push_back({std::string(part.substr(0, equals)), value});
  }
  return report;
}

}  // namespace curlewdoor::net
