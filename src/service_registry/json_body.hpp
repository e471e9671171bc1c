// The JSON body of a call, read by cJSON: fields are checked as they are taken, and each error names its
// field by its path.
#pragma once

#include <cjson/cJSON.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "service_registry/command.hpp"

namespace curlewdoor::service_registry {

// Throws CallError with status 400.
[[noreturn]] void BadCall(const std::string& text);

// An object's fields. Each throws CallError for what is missing or out of its bounds.
class JsonFields {
 public:
  // `prefix`: of the paths that errors name.
  JsonFields(const cJSON* object, std::string prefix) : object_(object), prefix_(std::move(prefix)) {}

  JsonFields Object(const char* name) const;
  // Empty if it is missing and not `needed`. `most`: bytes. No control characters.
  std::string Text(const char* name, bool needed, std::size_t most = kMostName) const;
  // `absent` if it is missing, unless that is negative: then it is needed. Finite and not negative.
  double Number(const char* name, double absent) const;
  double Whole(const char* name, double absent, double most) const;
  bool Has(const char* name) const { return Get(name, false) != nullptr; }
  std::string Path(const char* name) const { return prefix_ + name; }

 private:
  const cJSON* Get(const char* name, bool needed) const;

  const cJSON* object_;
  std::string prefix_;
};

// One object, not nested deeper than kMostDepth. Throws CallError for bytes that are none.
class JsonBody {
 public:
  explicit JsonBody(std::string_view body);
  JsonFields fields() const { return JsonFields(json_.get(), ""); }

 private:
  struct Free {
    void operator()(cJSON* json) const { cJSON_Delete(json); }
  };
  std::unique_ptr<cJSON, Free> json_;
};

}  // namespace curlewdoor::service_registry
