// The platform's messages as the stand-ins write and read them, from the protocol's published form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.hpp"
#include "rehearsal/stage.hpp"
#include "standin/crowd.hpp"

namespace curlewdoor::playing {

// A client's request, whole. `patience` from now on.
std::string RequestText(const rehearsal::Scenario& scenario, const standin::Customer& customer,
                        const standin::Ask& ask);

// What a node made for a request and for no other: a client knows its own by it.
std::string NodeBody(std::uint64_t request, std::uint64_t job);
bool IsBodyOf(std::uint64_t request, std::string_view body);

std::optional<std::uint64_t> ReadRequestId(const http::Message& request);
// The place of the request's class among the scenario's; 0 where it is not known.
int ReadClass(const rehearsal::Scenario& scenario, const http::Message& request);

struct CounterCall {
  std::uint64_t name = 0;
  double amount = 0;
  Duration keep{};
};
std::optional<CounterCall> ReadCounterCall(const http::Message& request);

struct ListCall {
  std::optional<std::uint64_t> from;
  Duration hold{};
};
std::optional<ListCall> ReadListCall(const http::Message& request);

// Seconds, whole or decimal, in Retry-After.
Duration ReadRetryAfter(std::string_view text);

}  // namespace curlewdoor::playing
