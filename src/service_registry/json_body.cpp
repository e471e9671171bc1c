#include "service_registry/json_body.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace curlewdoor::service_registry {
namespace {

// Before it is parsed: cJSON goes deeper with each bracket.
bool TooDeep(std::string_view text) {
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
      if (++depth > kMostDepth) return true;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

}  // namespace

void BadCall(const std::string& text) { throw CallError(400, text); }

JsonBody::JsonBody(std::string_view body) {
  if (body.find('\0') != std::string_view::npos) BadCall("body: a zero byte");  // blank to cJSON
  if (TooDeep(body)) BadCall("body: nested too deep");
  const char* end = nullptr;
  json_.reset(cJSON_ParseWithLengthOpts(body.data(), body.size(), &end, false));
  if (!json_) BadCall("body: not JSON");
  const auto rest = body.substr(static_cast<std::size_t>(end - body.data()));
  if (rest.find_first_not_of(" \t\r\n") != std::string_view::npos) BadCall("body: more than one value");
  if (!cJSON_IsObject(json_.get())) BadCall("body: not an object");
}

JsonFields JsonFields::Object(const char* name) const {
  const cJSON* found = Get(name, true);
  if (!cJSON_IsObject(found)) BadCall(Path(name) + ": not an object");
  return JsonFields(found, Path(name) + ".");
}

std::string JsonFields::Text(const char* name, bool needed, std::size_t most) const {
  const cJSON* found = Get(name, needed);
  if (!found) return {};
  if (!cJSON_IsString(found)) BadCall(Path(name) + ": not a string");
  std::string text = found->valuestring;
  if (needed && text.empty()) BadCall(Path(name) + ": empty");
  if (text.size() > most) BadCall(Path(name) + ": too long");
  if (std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; })) {
    BadCall(Path(name) + ": control characters");
  }
  return text;
}

double JsonFields::Number(const char* name, double absent) const {
  const cJSON* found = Get(name, absent < 0);
  if (!found) return absent;
  if (!cJSON_IsNumber(found)) BadCall(Path(name) + ": not a number");
  if (!std::isfinite(found->valuedouble)) BadCall(Path(name) + ": too large");
  if (found->valuedouble < 0) BadCall(Path(name) + ": negative");
  return found->valuedouble;
}

double JsonFields::Whole(const char* name, double absent, double most) const {
  const double number = Number(name, absent);
  if (number != std::floor(number)) BadCall(Path(name) + ": not a whole number");
  if (number > most) BadCall(Path(name) + ": too large");
  return number;
}

const cJSON* JsonFields::Get(const char* name, bool needed) const {
  const cJSON* found = cJSON_GetObjectItemCaseSensitive(object_, name);
  if (!found && needed) BadCall(Path(name) + ": missing");
  return found;
}

}  // namespace curlewdoor::service_registry
