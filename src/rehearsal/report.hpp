// The result of a rehearsal as text, as JSON and as one self-contained page with plots.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "rehearsal/record.hpp"
#include "rehearsal/search.hpp"

namespace curlewdoor::rehearsal {

std::string TextReport(const RunResult& result);
nlohmann::json JsonReport(const RunResult& result);
std::string HtmlReport(const RunResult& result);
std::string SearchReport(const SearchResult& result, const std::string& file);

}  // namespace curlewdoor::rehearsal
