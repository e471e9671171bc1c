// JSON made and read by cJSON, as calls' answers and the command line need it.
#pragma once

#include <cjson/cJSON.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace curlewdoor::system::json {

struct Free {
  void operator()(cJSON* json) const { cJSON_Delete(json); }
};
using Owned = std::unique_ptr<cJSON, Free>;

inline std::string Print(const cJSON* json, bool formatted = false) {
  const std::unique_ptr<char, decltype(&cJSON_free)> text(
      formatted ? cJSON_Print(json) : cJSON_PrintUnformatted(json), &cJSON_free);
  return text != nullptr ? std::string(text.get()) + "\n" : std::string();
}

// An object that is being filled. Names are literals: they aren't copied.
class Object {
 public:
  explicit Object(cJSON* object) : object_(object) {}
  Object& Text(const char* name, const std::string& value) {
    return Add(name, cJSON_CreateString(value.c_str()));
  }
  Object& Number(const char* name, double value) { return Add(name, cJSON_CreateNumber(value)); }
  // Exactly, however large.
  Object& Whole(const char* name, std::uint64_t value) {
    return Add(name, cJSON_CreateRaw(std::to_string(value).c_str()));
  }
  Object& Flag(const char* name, bool value) { return Add(name, cJSON_CreateBool(value)); }
  Object& None(const char* name) { return Add(name, cJSON_CreateNull()); }
  cJSON* List(const char* name) {
    cJSON* list = cJSON_CreateArray();
    Add(name, list);
    return list;
  }
  Object Inner(const char* name) {
    cJSON* inner = cJSON_CreateObject();
    Add(name, inner);
    return Object(inner);
  }

 private:
  Object& Add(const char* name, cJSON* value) {
    cJSON_AddItemToObjectCS(object_, name, value);
    return *this;
  }
  cJSON* object_;
};

inline Object AddTo(cJSON* list) {
  cJSON* object = cJSON_CreateObject();
  cJSON_AddItemToArray(list, object);
  return Object(object);
}

inline void AddText(cJSON* list, const std::string& text) {
  cJSON_AddItemToArray(list, cJSON_CreateString(text.c_str()));
}

class Document : public Object {
 public:
  Document() : Document(cJSON_CreateObject()) {}
  std::string Print(bool formatted = false) const { return json::Print(json_.get(), formatted); }

 private:
  explicit Document(cJSON* json) : Object(json), json_(json) {}
  const Owned json_;
};

}  // namespace curlewdoor::system::json
