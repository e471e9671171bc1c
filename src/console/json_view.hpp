// An answer that came as JSON, read for a table: what is missing reads as "-".
#pragma once

#include <cjson/cJSON.h>

#include <string>

namespace curlewdoor::console {

class JsonView {
 public:
  explicit JsonView(const cJSON* json) : json_(json) {}
  JsonView operator[](const char* name) const;
  std::string Text() const;
  std::string Tenths() const;  // of a number of seconds: rounded to one digit behind the point
  bool present() const { return json_ != nullptr && !cJSON_IsNull(json_); }
  template <typename Do>
  void ForEach(Do&& act) const {
    const cJSON* each = nullptr;
    cJSON_ArrayForEach(each, json_) act(JsonView(each));
  }

 private:
  const cJSON* json_;
};

}  // namespace curlewdoor::console
