// The HTTP form of applications' calls (/v1/locks/, /v1/numbers/, /v1/cells/, /v1/watch/) and of their
// answers. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/call.hpp"
#include "service_registry/command.hpp"
#include "system/coordination_calls.hpp"

namespace curlewdoor::system {

struct HttpAnswer {
  int status = 0;
  std::string body;  // JSON, or empty
};

// nullopt: the path is none of these. Throws service_registry::CallError: 400 names the field, 404 an unknown
// verb, 405 another method, 413 a body or a name that is too long.
std::optional<coordination::Call> DecodeCoordinationCall(std::string_view method, std::string_view target,
                                                         std::string_view body);
HttpAnswer EncodeAnswer(const CoordinationCalls::Answer& answer);

}  // namespace curlewdoor::system
