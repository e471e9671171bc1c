#include "net/counter.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "util/number.hpp"

namespace curlewdoor::net {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSpread = 4;  // connections that share the calls
constexpr std::size_t kMostLines =
    8;                          // with those whose answers are long overdue; far under the counter's 32
constexpr int kStuckAfter = 8;  // times the time-out: a connection that owes an answer for so long
constexpr Duration kKeptFor = std::chrono::seconds(4);  // the counter closes idle ones after 10 s or less

std::string CallText(const StartCall& call, const Address& counter) {
  const auto keep_ms = std::clamp<std::int64_t>(call.lifetime / milliseconds(1), 1, 60'000);
  return fmt::format("POST /tally/{}?n={}&keep_ms={} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n\r\n",
                     call.name.value, call.amount, keep_ms, counter.ToText());
}

std::optional<double> ReadTotal(std::string_view body) {
  while (!body.empty() && (body.back() == '\n' || body.back() == '\r' || body.back() == ' '))
    body.remove_suffix(1);
  double total = 0;
  return ParseNumber(body, total) ? std::optional(total) : std::nullopt;
}

}  // namespace

Counter::Counter(struct ev_loop* loop, const Settings& settings, const Address& address,
                 Descriptors& descriptors, Inputs& inputs)
    : loop_(loop), settings_(settings), address_(address), descriptors_(descriptors), inputs_(inputs) {}

void Counter::Start(const StartCall& effect) {
  Line* line = Choose();
  if (line == nullptr) return inputs_.Post(CallFailed{effect.call});
  line->used = inputs_.Now();
  line->calls.push_back({effect.call, line->used, CallText(effect, address_)});
  if (line->connection.up()) WriteAll(*line);
}

// The counter's machine may have gone without a word: a connection that owes an answer for long gets no
// further calls, and others take its place.
bool Counter::Stuck(const Line& line) const {
  if (line.calls.empty()) return false;
  return inputs_.Now() > line.calls.front().begun + kStuckAfter * settings_.counter.timeout;
}

// The connection with the fewest calls out, the latest used of these; a new one while all are busy.
Counter::Line* Counter::Choose() {
  Line* best = nullptr;
  std::size_t usable = 0;
  for (Line& line : lines_) {
    if (line.left || Stuck(line)) continue;
    ++usable;
    const bool fewer = best == nullptr || line.calls.size() < best->calls.size() ||
                       (line.calls.size() == best->calls.size() && line.used > best->used);
    if (fewer) best = &line;
  }
  if (best != nullptr && best->calls.empty() && best->connection.up() && !best->connection.Quiet()) {
    Retire(*best);  // the counter has closed it meanwhile
    return Choose();
  }
  if (best != nullptr && (best->calls.empty() || usable >= kSpread)) return best;
  Line* opened = Open();
  return opened != nullptr ? opened : best;
}

Counter::Line* Counter::Open() {
  if (lines_.size() >= kMostLines) {
    const auto oldest = std::min_element(lines_.begin(), lines_.end(),
                                         [](const Line& a, const Line& b) { return a.used < b.used; });
    OnBroken(*oldest);
  }
  auto descriptor = descriptors_.Take(Use::kCounter);
  if (!descriptor) return nullptr;
  Line& line = lines_.emplace_back(*this, loop_);
  line.self = std::prev(lines_.end());
  line.connection.Connect(std::move(*descriptor), address_, settings_.limits.connect_timeout);
  return &line;
}

void Counter::WriteAll(Line& line) {
  std::vector<iovec> pieces;
  std::uint64_t end = line.connection.queued();
  for (Pending& call : line.calls) {
    if (call.end > 0) continue;
    pieces.push_back(http::Piece(call.text));
    call.end = end += call.text.size();
  }
  if (!pieces.empty()) line.connection.Write(pieces);
  for (Pending& call : line.calls) call.text.clear();
}

void Counter::OnWritten(Line& line) {
  std::vector<CallId> written;  // told after the look: what is told may bring further calls
  for (Pending& call : line.calls) {
    if (call.written || call.end == 0 || call.end > line.connection.written()) continue;
    call.written = true;
    written.push_back(call.id);
  }
  for (CallId id : written) inputs_.Post(CallWritten{id});
}

void Counter::OnAnswer(Line& line, const http::Message& answer) {
  const CallId id = line.calls.front().id;
  line.calls.pop_front();
  line.used = inputs_.Now();
  const std::optional<double> total = ReadTotal(answer.body());
  // A 200 without a number tells that the call was added and nothing else. What comes behind it on this
  // connection, if anything does, can't be trusted (guards against calls that wait there for nothing).
  const bool spoilt = answer.status() == 200 && !total;
  const bool over = spoilt || (line.left && line.calls.empty());
  const std::deque<Pending> behind = over ? Retire(line) : std::deque<Pending>{};
  inputs_.Post(CallAnswered{id, answer.status(), total});
  PostBroken(behind);
}

void Counter::PostBroken(const std::deque<Pending>& calls) {
  for (const Pending& call : calls) inputs_.Post(CallFailed{call.id});
}

// A written call can't be sent again elsewhere, it may have been added, so it keeps its connection. One that
// waits for a connection to come up was not, and says so.
void Counter::MoveTo(const Address& address) {
  if (address == address_) return;
  address_ = address;
  for (auto it = lines_.begin(); it != lines_.end();) {
    Line& line = *it++;
    line.left = true;
    if (line.calls.empty() || !line.connection.up()) OnBroken(line);
  }
}

// A call that waits for its connection is taken out; one that was written keeps its place.
void Counter::Drop(CallId id) {
  for (Line& line : lines_)
    std::erase_if(line.calls, [&](const Pending& call) { return call.id == id && call.end == 0; });
}

// The one place that gives a connection back. Returns the calls that it owed an answer.
std::deque<Counter::Pending> Counter::Retire(Line& line) {
  line.connection.Close();
  retired_.splice(retired_.end(), lines_, line.self);
  return std::exchange(line.calls, {});
}

void Counter::CheckTimes() {
  const TimePoint before = inputs_.Now() - kKeptFor;
  for (auto it = lines_.begin(); it != lines_.end();) {
    Line& line = *it++;
    if (Stuck(line) || (line.used <= before && line.calls.empty())) OnBroken(line);
  }
}

}  // namespace curlewdoor::net
