// Reads the JSON body of a call with cJSON. Fields are validated when they are read, and each error names the
// path of its field.
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
[[noreturn]] void ThrowBadRequest(const std::string& text);

// The fields of an object. Every accessor throws CallError if the field is missing or out of bounds.
class JsonFields {
 public:
  // `prefix`: of the paths in error messages.
  JsonFields(const cJSON* object, std::string prefix) : object_(object), prefix_(std::move(prefix)) {}

  JsonFields Object(const char* name) const;
  // Returns an empty string if the field is missing and not `required`. `max`: length in bytes. Rejects
  // control characters.
  std::string Text(const char* name, bool required, std::size_t max = kMaxNameBytes) const;
  // Returns `default_value` if the field is missing; a negative default makes it required. The number must be
  // finite and not negative.
  double Number(const char* name, double default_value) const;
  double Integer(const char* name, double default_value, double max) const;
  bool Has(const char* name) const { return Get(name, false) != nullptr; }
  std::string Path(const char* name) const { return prefix_ + name; }

 private:
  const cJSON* Get(const char* name, bool required) const;

  const cJSON* object_;
  std::string prefix_;
};

// A single object, nested at most kMaxJsonDepth levels deep. Throws CallError if the bytes are anything else.
class JsonBody {
 public:
  explicit JsonBody(std::string_view body);
  JsonFields fields() const { return JsonFields(json_.get(), ""); }

 private:
  struct CJsonDeleter {
    void operator()(cJSON* json) const { cJSON_Delete(json); }
  };
  std::unique_ptr<cJSON, CJsonDeleter> json_;
};

}  // namespace curlewdoor::service_registry
