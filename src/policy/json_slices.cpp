#include "policy/json_slices.hpp"

#include <algorithm>
#include <cstddef>

namespace curlewdoor::policy {
namespace {

constexpr std::string_view kSpace = " \t\r\n";

// Walks over a text that is known to be well formed.
class Walk {
 public:
  explicit Walk(std::string_view text) : text_(text) {}

  void Space() { at_ = std::min(text_.find_first_not_of(kSpace, at_), text_.size()); }
  bool Take(char c) {
    Space();
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  bool over() const { return at_ >= text_.size(); }

  std::string_view Value() {
    Space();
    const std::size_t begin = at_;
    int depth = 0;
    while (!over()) {
      const char c = text_[at_];
      if (c == '"') {
        String();
      } else if (c == '{' || c == '[') {
        ++depth;
        ++at_;
      } else if (c == '}' || c == ']') {
        if (depth == 0) break;  // the end of what it stands in
        --depth;
        ++at_;
      } else if (depth == 0 && (c == ',' || kSpace.find(c) != std::string_view::npos)) {
        break;
      } else {
        ++at_;
        continue;
      }
      if (depth == 0) break;
    }
    return text_.substr(begin, at_ - begin);
  }

 private:
  void String() {
    for (++at_; !over() && text_[at_] != '"'; ++at_) at_ += text_[at_] == '\\';
    ++at_;
  }

  const std::string_view text_;
  std::size_t at_ = 0;
};

}  // namespace

std::vector<JsonMember> MembersOf(std::string_view value) {
  std::vector<JsonMember> members;
  Walk walk(value);
  if (!walk.Take('{') || walk.Take('}')) return members;
  do {
    std::string_view key = walk.Value();
    key = key.substr(1, key.size() - 2);
    walk.Take(':');
    members.push_back({key, walk.Value()});
  } while (walk.Take(','));
  return members;
}

std::vector<std::string_view> ElementsOf(std::string_view value) {
  std::vector<std::string_view> elements;
  Walk walk(value);
  if (!walk.Take('[') || walk.Take(']')) return elements;
  do {
    elements.push_back(walk.Value());
  } while (walk.Take(','));
  return elements;
}

}  // namespace curlewdoor::policy
