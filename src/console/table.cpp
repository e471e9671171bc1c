#include "console/table.hpp"

#include <algorithm>
#include <cinttypes>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <ostream>
#include <utility>

namespace curlewdoor::console {

void Table::Row(std::vector<std::string> cells) {
  widths_.resize(std::max(widths_.size(), cells.size()));
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (cells[i].empty()) cells[i] = "-";
    widths_[i] = std::max(widths_[i], cells[i].size());
  }
  rows_.push_back(std::move(cells));
}

void Table::Print(std::ostream& out) const {
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line.append(widths_[i] - row[i].size() + 2, ' ');
    }
    out << line << "\n";
  }
}

std::string NumberText(double value) {
  char text[40];
  std::snprintf(text, sizeof text, std::abs(value) < 1e15 && value == std::floor(value) ? "%.0f" : "%.6g",
                value);
  return text;
}

std::string HexText(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016" PRIx64, value);
  return text;
}

}  // namespace curlewdoor::console
