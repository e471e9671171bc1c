// Front: what hosts are told with a request, and what their answers tell.
#include <algorithm>
#include <charconv>

#include "events/events.hpp"
#include "system/front.hpp"
#include "system/headers.hpp"

namespace curlewdoor::system {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kUnacknowledged = milliseconds(1500);
constexpr std::initializer_list<std::string_view> kDropped{kDeadlineHeader, kTenantHeader, kInstanceHeader,
                                                           kKeyHeader};

}  // namespace

std::initializer_list<std::string_view> Front::Dropped() const { return kDropped; }

// Asked as the request is written, on a connection that may have come up long after the host was chosen.
bool Front::MaySend(const AttemptId& attempt, Duration left) const {
  const auto it = requests_.find(attempt.request);
  return it != requests_.end() && left >= kLeastTimeLeft && MaySendToHost(it->second);
}

bool Front::MaySendToHost(const Request& request) const {
  const auto host = hosts_.find(request.host);
  return host != hosts_.end() && !host->second.leaves && MaySendNow();
}

void Front::AppendLines(const AttemptId& attempt, Duration left, std::string& out) const {
  const auto it = requests_.find(attempt.request);
  if (it == requests_.end()) return;
  const Request& request = it->second;
  if (!MaySendToHost(request)) {
    ++figures_.written_to_leaving;
    events::Say(events::Event::kWrittenToLeaving, request.instance);
  }
  if (knowledge_.hosts != nullptr && !knowledge_.hosts->IsProved(RegistryNow())) ++figures_.unproved;
  const auto line = [&](std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
  };
  line(kDeadlineHeader, std::to_string(left / milliseconds(1)));
  line(kInstanceHeader, request.instance);
  if (!request.tenant.empty()) line(kTenantHeader, request.tenant);
}

// Answers carry the id of their request; one without it can't be told from another's.
net::Whose Front::Belongs(const AttemptId& attempt, const http::Message& answer) const {
  const auto it = requests_.find(attempt.request);
  const std::string_view id = answer.Find(kAttemptIdHeader);
  if (it == requests_.end() || id == it->second.wire_id) return net::Whose::kAttempt;
  return id.empty() ? net::Whose::kNobody : net::Whose::kAnother;
}

bool Front::NotRun(const http::Message& answer) const { return answer.Has(kNotRunHeader); }

Duration Front::KeepAlive(const http::Message& answer) const {
  const std::string_view value = answer.Find("Keep-Alive");
  const auto at = value.find("timeout=");
  if (at == std::string_view::npos) return {};
  int told = 0;
  const std::string_view digits = value.substr(at + 8);
  std::from_chars(digits.data(), digits.data() + digits.size(), told);
  if (told == 0) return milliseconds(500);  // less than a second
  return seconds(std::clamp(told, 0, 3600));
}

Duration Front::Unacknowledged() const { return kUnacknowledged; }

}  // namespace curlewdoor::system
