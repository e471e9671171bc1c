#include "policy/json_slices.hpp"

#include <algorithm>
#include <cstddef>

namespace curlewdoor::policy {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

// Reads a JSON text that is known to be valid.
class SliceCursor {
 public:
  explicit SliceCursor(std::string_view text) : text_(text) {}

  void SkipWhitespace() { offset_ = std::min(text_.find_first_not_of(kWhitespace, offset_), text_.size()); }
  bool Consume(char c) {
    SkipWhitespace();
    if (offset_ >= text_.size() || text_[offset_] != c) return false;
    ++offset_;
    return true;
  }
  bool at_end() const { return offset_ >= text_.size(); }

  std::string_view Value() {
    SkipWhitespace();
    const std::size_t begin = offset_;
    int depth = 0;
    while (!at_end()) {
      const char c = text_[offset_];
      if (c == '"') {
        String();
      } else if (c == '{' || c == '[') {
        ++depth;
        ++offset_;
      } else if (c == '}' || c == ']') {
        if (depth == 0) break;  // the end of the enclosing object or array
        --depth;
        ++offset_;
      } else if (depth == 0 && (c == ',' || kWhitespace.find(c) != std::string_view::npos)) {
        break;
      } else {
        ++offset_;
        continue;
      }
      if (depth == 0) break;
    }
    return text_.substr(begin, offset_ - begin);
  }

 private:
  void String() {
    for (++offset_; !at_end() && text_[offset_] != '"'; ++offset_) offset_ += text_[offset_] == '\\';
    ++offset_;
  }

  const std::string_view text_;
  std::size_t offset_ = 0;
};

}  // namespace

std::vector<JsonMember> ObjectMembers(std::string_view value) {
  std::vector<JsonMember> members;
  SliceCursor cursor(value);
  if (!cursor.Consume('{') || cursor.Consume('}')) return members;
  do {
    std::string_view key = cursor.Value();
    key = key.substr(1, key.size() - 2);
    cursor.Consume(':');
    members.push_back({key, cursor.Value()});
  } while (cursor.Consume(','));
  return members;
}

std::vector<std::string_view> ArrayElements(std::string_view value) {
  std::vector<std::string_view> elements;
  SliceCursor cursor(value);
  if (!cursor.Consume('[') || cursor.Consume(']')) return elements;
  do {
    elements.push_back(cursor.Value());
  } while (cursor.Consume(','));
  return elements;
}

}  // namespace curlewdoor::policy
