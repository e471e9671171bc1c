// From a client's message to the request that the module decides on.
#pragma once

#include <variant>

#include "http/message.hpp"
#include "logic.hpp"

namespace curlewdoor::net {

inline constexpr std::string_view kRequestIdHeader = "X-Request-ID";

struct Rejection {  // the request is not one that this gateway can take
  int status = 400;
  const char* reason = "";
};

// `id` is given by the caller; the request's own id stays between client and host.
std::variant<RequestArrived, Rejection> ReadRequest(const http::Message& message, const Settings& settings,
                                                    RequestId id);

// The path before the query.
std::string_view PathOf(std::string_view target);

}  // namespace curlewdoor::net
