#include "policy/json_scan.hpp"

namespace curlewdoor::policy {
namespace {

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsHex(char c) { return IsDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

class Scan {
 public:
  Scan(std::string_view text, std::size_t most_depth, std::size_t most_values)
      : text_(text), most_depth_(most_depth), values_left_(most_values) {}

  JsonFault Whole() {
    Space();
    if (!Value(0)) return fault_;
    Space();
    if (at_ != text_.size()) Fail("more text after the document");
    return fault_;
  }

 private:
  bool Fail(const char* what) {
    fault_ = {what, at_};
    return false;
  }

  bool FailHere() { return Fail(at_ < text_.size() ? "not JSON" : "the text is cut short"); }

  // The next byte; NUL at the end, which no rule of JSON takes.
  char Next() const { return at_ < text_.size() ? text_[at_] : '\0'; }

  bool Take(char c) {
    if (Next() != c) return false;
    ++at_;
    return true;
  }

  void Space() {
    while (Next() == ' ' || Next() == '\n' || Next() == '\r' || Next() == '\t') ++at_;
  }

  bool Value(std::size_t depth) {
    if (values_left_ == 0) return Fail("too many values");
    --values_left_;
    switch (Next()) {
      case '{':
        return Items(depth + 1, '}', true);
      case '[':
        return Items(depth + 1, ']', false);
      case '"':
        return String();
      case 't':
        return Word("true");
      case 'f':
        return Word("false");
      case 'n':
        return Word("null");
      default:
        return Number();
    }
  }

  bool Items(std::size_t depth, char end, bool named) {
    if (depth > most_depth_) return Fail("nested too deep");
    ++at_;
    Space();
    if (Take(end)) return true;
    while (true) {
      if (named) {
        if (Next() != '"') return FailHere();
        if (!String()) return false;
        Space();
        if (!Take(':')) return FailHere();
        Space();
      }
      if (!Value(depth)) return false;
      Space();
      if (Take(end)) return true;
      if (!Take(',')) return FailHere();
      Space();
    }
  }

  bool String() {
    ++at_;
    while (at_ < text_.size()) {
      const char c = text_[at_];
      if (c == '"') {
        ++at_;
        return true;
      }
      if (static_cast<unsigned char>(c) < 0x20) return Fail("a control character in a string");
      ++at_;
      if (c == '\\' && !Escape()) return false;
    }
    return FailHere();
  }

  bool Escape() {
    if (at_ >= text_.size()) return FailHere();
    if (!Take('u')) {
      if (std::string_view("\"\\/bfnrt").find(text_[at_]) == std::string_view::npos) return FailHere();
      ++at_;
      return true;
    }
    const std::size_t start = at_;
    while (at_ < start + 4) {
      if (!IsHex(Next())) return FailHere();
      ++at_;
    }
    if (text_.substr(start, 4) == "0000") return Fail("a NUL in a string");
    return true;
  }

  bool Word(std::string_view word) {
    for (char c : word) {
      if (!Take(c)) return FailHere();
    }
    return true;
  }

  bool Digits() {
    if (!IsDigit(Next())) return FailHere();
    while (IsDigit(Next())) ++at_;
    return true;
  }

  bool Number() {
    Take('-');
    if (!Take('0') && !Digits()) return false;
    if (Take('.') && !Digits()) return false;
    if (Take('e') || Take('E')) {
      if (!Take('+')) Take('-');
      return Digits();
    }
    return true;
  }

  std::string_view text_;
  std::size_t most_depth_;
  std::size_t values_left_;
  std::size_t at_ = 0;
  JsonFault fault_;
};

}  // namespace

JsonFault ScanJson(std::string_view text, std::size_t most_depth, std::size_t most_values) {
  return Scan(text, most_depth, most_values).Whole();
}

}  // namespace curlewdoor::policy
