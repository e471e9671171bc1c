// Text in columns, for people.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace curlewdoor::console {

// Columns as wide as their widest cell; an empty cell prints as "-".
class Table {
 public:
  explicit Table(std::vector<std::string> head) { Row(std::move(head)); }
  void Row(std::vector<std::string> cells);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::size_t> widths_;
  std::vector<std::vector<std::string>> rows_;
};

// A whole number without a fraction, any other with six digits.
std::string NumberText(double value);
// Sixteen hexadecimal digits.
std::string HexText(std::uint64_t value);

}  // namespace curlewdoor::console
