#include "net/request.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "util/number.hpp"

namespace curlewdoor::net {
namespace {

constexpr std::uint64_t kCustomers = std::uint64_t{1} << 33;  // their numbers are below it

template <typename Number>
std::optional<Number> ReadNumber(std::string_view text) {
  Number value{};
  return ParseNumber(text, value) ? std::optional(value) : std::nullopt;
}

// A value of "a=1,b=2" or "a=1&b=2".
std::optional<std::string_view> FindPair(std::string_view pairs, char separator, std::string_view name) {
  while (!pairs.empty()) {
    const auto end = pairs.find(separator);
    const std::string_view pair = http::Trimmed(pairs.substr(0, end));
    pairs.remove_prefix(end == std::string_view::npos ? pairs.size() : end + 1);
    if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
      return pair.substr(name.size() + 1);
  }
  return std::nullopt;
}

// "480m" or "480000u": milliseconds or microseconds.
std::optional<Duration> ReadTimeout(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const char unit = text.back();
  const auto number = ReadNumber<double>(text.substr(0, text.size() - 1));
  if (!number || *number < 0 || (unit != 'm' && unit != 'u')) return std::nullopt;
  constexpr double kMostSeconds = 3600;
  const double seconds = std::min(kMostSeconds, *number * (unit == 'm' ? 1e-3 : 1e-6));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// 16 hexadecimal digits of a number below 2^33; either case names the same customer.
std::optional<std::string> ReadCustomer(std::string_view target) {
  const auto question = target.find('?');
  if (question == std::string_view::npos) return std::nullopt;
  const auto account = FindPair(target.substr(question + 1), '&', "account");
  if (!account || account->size() != 16) return std::nullopt;
  std::string name;
  for (char c : *account) {
    const bool digit = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    const bool upper = c >= 'A' && c <= 'F';
    if (!digit && !upper) return std::nullopt;
    name += upper ? static_cast<char>(c - 'A' + 'a') : c;
  }
  std::uint64_t number = 0;
  std::from_chars(name.data(), name.data() + name.size(), number, 16);
  if (number >= kCustomers) return std::nullopt;
  return name;
}

// What the settings rule out is no request: let in, it would weigh on what the module learns from all of
// them.
bool ReadTerms(std::string_view terms, const Settings& settings, RequestArrived& request) {
  const auto units = ReadNumber<double>(FindPair(terms, ',', "units").value_or(""));
  const auto spread = ReadNumber<int>(FindPair(terms, ',', "spread").value_or(""));
  const auto first = ReadNumber<int>(FindPair(terms, ',', "first").value_or(""));
  if (!units || !spread || !first) return false;
  if (!(*units > 0 && *units <= settings.quota.largest_request)) return false;
  if (*spread < 1 || *spread > settings.gateways || *first < 0 || *first >= settings.gateways) return false;
  request.units = *units;
  request.set_size = *spread;
  request.set_first = *first;
  return true;
}

}  // namespace

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find_first_of("?#")); }

std::variant<RequestArrived, Rejection> ReadRequest(const http::Message& message, const Settings& settings,
                                                    RequestId id) {
  RequestArrived request;
  request.id = id;
  const std::string_view path = PathOf(message.target());
  if (!path.starts_with('/')) return Rejection{400, "not a path"};
  request.request_class = path.substr(1, path.find('/', 1) - 1);
  const auto kind = std::find_if(settings.classes.begin(), settings.classes.end(),
                                 [&](const RequestClass& k) { return k.name == request.request_class; });
  if (kind == settings.classes.end()) return Rejection{404, "unknown class of request"};
  const auto wanted = kind->repeat == RepeatSafety::kSafe ? HTTP_GET : HTTP_POST;
  if (message.method() != wanted) return Rejection{405, "not the method of this class"};

  bool twice = false;
  if (message.Find(kRequestIdHeader, &twice).empty() || twice) return Rejection{400, "X-Request-ID"};
  request.plan = message.Find("X-Tier", &twice);
  const bool known = std::any_of(settings.plans.begin(), settings.plans.end(),
                                 [&](const Plan& p) { return p.name == request.plan; });
  if (!known || twice) return Rejection{400, "X-Tier"};
  const auto timeout = ReadTimeout(message.Find("X-Timeout", &twice));
  if (!timeout || twice) return Rejection{400, "X-Timeout"};
  request.time_left = *timeout;
  if (!ReadTerms(message.Find("X-Call-Terms", &twice), settings, request) || twice)
    return Rejection{400, "X-Call-Terms"};
  auto customer = ReadCustomer(message.target());
  if (!customer) return Rejection{400, "account"};
  request.customer = std::move(*customer);
  request.is_retry = settings.clients.marks_retry && message.Find("X-Retried") == "1";
  return request;
}

}  // namespace curlewdoor::net
