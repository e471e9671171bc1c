#include "playing/messages.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "net/request.hpp"
#include "util/number.hpp"

namespace curlewdoor::playing {
namespace {

// The value of `name=` in the target's query.
std::string_view QueryValue(std::string_view target, std::string_view name) {
  auto at = target.find('?');
  while (at != std::string_view::npos) {
    std::string_view pair = target.substr(at + 1);
    pair = pair.substr(0, pair.find('&'));
    if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
      return pair.substr(name.size() + 1);
    at = target.find('&', at + 1);
  }
  return {};
}

std::optional<std::uint64_t> ReadHex(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return value;
}

std::string BodyMark(std::uint64_t request, std::string_view job) {
  return fmt::format("{:016x}", StableHash(job, request));
}

}  // namespace

std::string RequestText(const rehearsal::Scenario& scenario, const standin::Customer& customer,
                        const standin::Ask& ask) {
  const standin::CrowdClass& kind = scenario.classes[static_cast<std::size_t>(ask.request_class)].asked;
  const bool safe = kind.repeat == RepeatSafety::kSafe;
  const std::string body = safe ? "" : fmt::format("unlock {:016x}", ask.id);
  return fmt::format(
      "{} /{}?account={} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {:016x}\r\nX-Tier: {}\r\n"
      "X-Timeout: {}u\r\nX-Call-Terms: units={},spread={},first={}\r\n{}\r\n{}",
      safe ? "GET" : "POST", kind.name, customer.name, ask.id,
      scenario.plans[static_cast<std::size_t>(customer.plan)].crowd.name,
      ask.patience / std::chrono::microseconds(1), ask.units, customer.set_size, customer.set_first,
      safe ? "" : fmt::format("Content-Length: {}\r\n", body.size()), body);
}

std::string NodeBody(std::uint64_t request, std::uint64_t job) {
  const std::string number = fmt::format("{:x}", job);
  return fmt::format("{} {}\n", number, BodyMark(request, number));
}

bool IsBodyOf(std::uint64_t request, std::string_view body) {
  const auto space = body.find(' ');
  if (space == std::string_view::npos || body.empty() || body.back() != '\n') return false;
  return body.substr(space + 1, body.size() - space - 2) == BodyMark(request, body.substr(0, space));
}

std::optional<std::uint64_t> ReadRequestId(const http::Message& request) {
  return ReadHex(request.Find(net::kRequestIdHeader));
}

int ReadClass(const rehearsal::Scenario& scenario, const http::Message& request) {
  const std::string_view path = net::PathOf(request.target());
  for (std::size_t c = 0; c < scenario.classes.size(); ++c)
    if (path.substr(std::min<std::size_t>(1, path.size())) == scenario.classes[c].asked.name)
      return static_cast<int>(c);
  return 0;
}

std::optional<CounterCall> ReadCounterCall(const http::Message& request) {
  constexpr std::string_view kPath = "/tally/";
  const std::string_view path = net::PathOf(request.target());
  if (!path.starts_with(kPath) || path.size() == kPath.size() || path.size() > kPath.size() + 64)
    return std::nullopt;
  CounterCall call;
  call.name = StableHash(path.substr(kPath.size()));
  std::int64_t keep_ms = 0;
  if (!ParseNumber(QueryValue(request.target(), "n"), call.amount) || call.amount > 1e9) return std::nullopt;
  if (!ParseNumber(QueryValue(request.target(), "keep_ms"), keep_ms) || keep_ms < 1) return std::nullopt;
  call.keep = std::chrono::milliseconds(std::min<std::int64_t>(keep_ms, 60'000));
  return call;
}

std::optional<ListCall> ReadListCall(const http::Message& request) {
  if (net::PathOf(request.target()) != "/catalog/members") return std::nullopt;
  ListCall call;
  std::uint64_t from = 0;
  std::int64_t hold_ms = 0;
  if (ParseNumber(QueryValue(request.target(), "from"), from)) call.from = from;
  if (ParseNumber(QueryValue(request.target(), "hold_ms"), hold_ms))
    call.hold = std::chrono::milliseconds(std::clamp<std::int64_t>(hold_ms, 0, 60'000));
  return call;
}

Duration ReadRetryAfter(std::string_view text) {
  double seconds = 0;
  if (!ParseNumber(text, seconds) || seconds < 0) return {};
  return standin::FromSeconds(std::min(seconds, 3600.0));
}

}  // namespace curlewdoor::playing
