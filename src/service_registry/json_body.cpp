#include "service_registry/json_body.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace curlewdoor::service_registry {
namespace {

// Checked before parsing, because cJSON recurses for each level.
bool ExceedsMaxDepth(std::string_view text) {
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxJsonDepth) return true;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

}  // namespace

void ThrowBadRequest(const std::string& text) { throw CallError(400, text); }

JsonBody::JsonBody(std::string_view body) {
  // cJSON treats a zero byte as white space.
  if (body.find('\0') != std::string_view::npos) ThrowBadRequest("body: contains a zero byte");
  if (ExceedsMaxDepth(body)) ThrowBadRequest("body: nested too deep");
  const char* end = nullptr;
  json_.reset(cJSON_ParseWithLengthOpts(body.data(), body.size(), &end, false));
  if (!json_) ThrowBadRequest("body: not JSON");
  const auto rest = body.substr(static_cast<std::size_t>(end - body.data()));
  if (rest.find_first_not_of(" \t\r\n") != std::string_view::npos)
    ThrowBadRequest("body: more than one value");
  if (!cJSON_IsObject(json_.get())) ThrowBadRequest("body: not an object");
}

JsonFields JsonFields::Object(const char* name) const {
  const cJSON* found = Get(name, true);
  if (!cJSON_IsObject(found)) ThrowBadRequest(Path(name) + ": not an object");
  return JsonFields(found, Path(name) + ".");
}

std::string JsonFields::Text(const char* name, bool required, std::size_t max) const {
  const cJSON* found = Get(name, required);
  if (!found) return {};
  if (!cJSON_IsString(found)) ThrowBadRequest(Path(name) + ": not a string");
  std::string text = found->valuestring;
  if (required && text.empty()) ThrowBadRequest(Path(name) + ": empty");
  if (text.size() > max) ThrowBadRequest(Path(name) + ": too long");
  if (std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; })) {
    ThrowBadRequest(Path(name) + ": contains control characters");
  }
  return text;
}

double JsonFields::Number(const char* name, double default_value) const {
  const cJSON* found = Get(name, default_value < 0);
  if (!found) return default_value;
  if (!cJSON_IsNumber(found)) ThrowBadRequest(Path(name) + ": not a number");
  if (!std::isfinite(found->valuedouble)) ThrowBadRequest(Path(name) + ": too large");
  if (found->valuedouble < 0) ThrowBadRequest(Path(name) + ": negative");
  return found->valuedouble;
}

double JsonFields::Integer(const char* name, double default_value, double max) const {
  const double number = Number(name, default_value);
  if (number != std::floor(number)) ThrowBadRequest(Path(name) + ": not a whole number");
  if (number > max) ThrowBadRequest(Path(name) + ": too large");
  return number;
}

const cJSON* JsonFields::Get(const char* name, bool required) const {
  const cJSON* found = cJSON_GetObjectItemCaseSensitive(object_, name);
  if (!found && required) ThrowBadRequest(Path(name) + ": missing");
  return found;
}

}  // namespace curlewdoor::service_registry
