#include "policy/json_validator.hpp"

namespace curlewdoor::policy {
namespace {

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsHex(char c) { return IsDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

// A recursive-descent validator. Each method returns false after it has recorded an error.
class JsonValidator {
 public:
  JsonValidator(std::string_view text, std::size_t max_depth, std::size_t max_values)
      : text_(text), max_depth_(max_depth), values_left_(max_values) {}

  JsonError Validate() {
    SkipWhitespace();
    if (!Value(0)) return error_;
    SkipWhitespace();
    if (offset_ != text_.size()) Fail("trailing text after the document");
    return error_;
  }

 private:
  bool Fail(const char* message) {
    error_ = {message, offset_};
    return false;
  }

  bool FailSyntax() { return Fail(offset_ < text_.size() ? "not JSON" : "unexpected end of the text"); }

  // The next byte, or NUL at the end, which is valid nowhere in JSON.
  char Peek() const { return offset_ < text_.size() ? text_[offset_] : '\0'; }

  bool Consume(char c) {
    if (Peek() != c) return false;
    ++offset_;
    return true;
  }

  void SkipWhitespace() {
    while (Peek() == ' ' || Peek() == '\n' || Peek() == '\r' || Peek() == '\t') ++offset_;
  }

  bool Value(std::size_t depth) {
    if (values_left_ == 0) return Fail("too many values");
    --values_left_;
    switch (Peek()) {
      case '{':
        return Container(depth + 1, '}', true);
      case '[':
        return Container(depth + 1, ']', false);
      case '"':
        return String();
      case 't':
        return Literal("true");
      case 'f':
        return Literal("false");
      case 'n':
        return Literal("null");
      default:
        return Number();
    }
  }

  bool Container(std::size_t depth, char end, bool is_object) {
    if (depth > max_depth_) return Fail("nested too deeply");
    ++offset_;
    SkipWhitespace();
    if (Consume(end)) return true;
    while (true) {
      if (is_object) {
        if (Peek() != '"') return FailSyntax();
        if (!String()) return false;
        SkipWhitespace();
        if (!Consume(':')) return FailSyntax();
        SkipWhitespace();
      }
      if (!Value(depth)) return false;
      SkipWhitespace();
      if (Consume(end)) return true;
      if (!Consume(',')) return FailSyntax();
      SkipWhitespace();
    }
  }

  bool String() {
    ++offset_;
    while (offset_ < text_.size()) {
      const char c = text_[offset_];
      if (c == '"') {
        ++offset_;
        return true;
      }
      if (static_cast<unsigned char>(c) < 0x20) return Fail("a control character in a string");
      ++offset_;
      if (c == '\\' && !Escape()) return false;
    }
    return FailSyntax();
  }

  bool Escape() {
    if (offset_ >= text_.size()) return FailSyntax();
    if (!Consume('u')) {
      if (std::string_view("\"\\/bfnrt").find(text_[offset_]) == std::string_view::npos) return FailSyntax();
      ++offset_;
      return true;
    }
    const std::size_t start = offset_;
    while (offset_ < start + 4) {
      if (!IsHex(Peek())) return FailSyntax();
      ++offset_;
    }
    if (text_.substr(start, 4) == "0000") return Fail("a NUL in a string");
    return true;
  }

  bool Literal(std::string_view literal) {
    for (char c : literal) {
      if (!Consume(c)) return FailSyntax();
    }
    return true;
  }

  bool Digits() {
    if (!IsDigit(Peek())) return FailSyntax();
    while (IsDigit(Peek())) ++offset_;
    return true;
  }

  bool Number() {
    Consume('-');
    if (!Consume('0') && !Digits()) return false;
    if (Consume('.') && !Digits()) return false;
    if (Consume('e') || Consume('E')) {
      if (!Consume('+')) Consume('-');
      return Digits();
    }
    return true;
  }

  std::string_view text_;
  std::size_t max_depth_;
  std::size_t values_left_;
  std::size_t offset_ = 0;
  JsonError error_;
};

}  // namespace

JsonError ValidateJson(std::string_view text, std::size_t max_depth, std::size_t max_values) {
  return JsonValidator(text, max_depth, max_values).Validate();
}

}  // namespace curlewdoor::policy
