#include "system/coordination_http.hpp"

#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

#include "service_registry/json_body.hpp"
#include "system/json.hpp"

namespace curlewdoor::system {
namespace {

using namespace coordination;
using service_registry::CallError;
using service_registry::JsonBody;
using service_registry::ThrowBadRequest;

constexpr std::string_view kLocks = "/v1/locks/", kNumbers = "/v1/numbers/", kCells = "/v1/cells/",
                           kWatches = "/v1/watch/";
constexpr std::size_t kMaxBody = 16u << 10;                        // bytes
constexpr std::uint64_t kMaxExact = (std::uint64_t{1} << 53) - 1;  // no other number is read as one up to it
constexpr std::uint32_t kMaxWaitMs = 60'000;
constexpr double kNeeded = -1;

void NeedMethod(std::string_view method, std::string_view needed) {
  if (method != needed) throw CallError(405, "method: not " + std::string(needed));
}

std::string NameIn(std::string_view text) {
  if (text.empty()) ThrowBadRequest("name: missing");
  if (text.size() > kMaxNameBytes) throw CallError(413, "name: too long");
  if (std::any_of(text.begin(), text.end(), [](char c) { return c <= ' ' || c > '~' || c == '%'; }))
    ThrowBadRequest("name: characters that no name has");
  return std::string(text);
}

std::uint64_t WholeIn(const service_registry::JsonFields& fields, const char* name, double absent,
                      std::uint64_t most) {
  return static_cast<std::uint64_t>(fields.Integer(name, absent, static_cast<double>(most)));
}

struct NameAndVerb {
  std::string name;
  std::string_view verb;
};
NameAndVerb SplitVerb(std::string_view rest) {
  const auto slash = rest.rfind('/');
  if (slash == std::string_view::npos) throw CallError(404, "path: no such call");
  return {NameIn(rest.substr(0, slash)), rest.substr(slash + 1)};
}

Call DecodeLock(std::string_view method, std::string_view rest, std::string_view body) {
  auto [lock, verb] = SplitVerb(rest);
  if (verb != "begin" && verb != "heartbeat" && verb != "finish") throw CallError(404, "path: no such call");
  NeedMethod(method, "POST");
  const JsonBody json(body);
  const auto fields = json.fields();
  std::string holder = fields.Text("holder", true, kMaxNameBytes);
  if (verb == "begin") return AcquireLock{lock, holder, WholeIn(fields, "hold_ms", kNeeded, kMaxHoldMs)};
  const FencingToken fence = WholeIn(fields, "fence", kNeeded, kMaxExact);
  if (verb == "finish") return ReleaseLock{lock, holder, fence};
  return RenewLock{lock, holder, fence, WholeIn(fields, "hold_ms", kNeeded, kMaxHoldMs)};
}

Call DecodeCell(std::string_view method, std::string_view rest, std::string_view body) {
  auto [key, verb] = SplitVerb(rest);
  if (verb == "read") {
    NeedMethod(method, "GET");
    return ReadKey{key};
  }
  if (verb != "replace") throw CallError(404, "path: no such call");
  NeedMethod(method, "POST");
  const JsonBody json(body);
  const auto fields = json.fields();
  PutKey put{key, fields.Text("value", true, kMaxValueBytes), std::nullopt};
  if (fields.Has("enabled")) put.expected = WholeIn(fields, "enabled", kNeeded, kMaxExact);
  return put;
}

// A whole number of the query; `absent` where it isn't there.
std::uint64_t QueryNumber(std::string_view query, std::string_view name, std::uint64_t absent) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const std::string_view part = query.substr(0, end);
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    if (!part.starts_with(name) || part.size() <= name.size() || part[name.size()] != '=') continue;
    const std::string_view text = part.substr(name.size() + 1);
    std::uint64_t value = 0;
    const auto [last, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || last != text.data() + text.size())
      ThrowBadRequest(std::string(name) + ": not a whole number");
    return value;
  }
  return absent;
}

Call DecodeWatch(std::string_view method, std::string_view rest, std::string_view query) {
  NeedMethod(method, "GET");
  WatchGroup watch;
  watch.group = NameIn(rest);
  watch.after = QueryNumber(query, "after", 0);
  if (watch.after > kMaxExact) ThrowBadRequest("after: too large");
  watch.wait_ms =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(QueryNumber(query, "wait_ms", 0), kMaxWaitMs));
  return watch;
}

HttpAnswer WithNumber(int status, const char* name, std::uint64_t value) {
  json::Document body;
  body.Whole(name, value);
  return {status, body.Print()};
}

HttpAnswer EncodeEvents(const WatchResult& watched) {
  json::Document body;
  cJSON* events = body.List("events");
  for (const coordination::PutEvent& event : watched.events) {
    auto each = json::AddTo(events);
    each.Text("name", event.key).Text("value", event.value);
    each.Whole("revision", event.revision);
  }
  body.Whole("revision", watched.revision);
  return {200, body.Print()};
}

struct ResultEncoder {
  HttpAnswer operator()(const LockGranted& granted) const { return WithNumber(200, "fence", granted.fence); }
  HttpAnswer operator()(const LockRefused&) const { return {409, "{}"}; }
  HttpAnswer operator()(const coordination::Done&) const { return {200, "{}"}; }
  HttpAnswer operator()(const NumberTaken& taken) const { return WithNumber(200, "value", taken.value); }
  HttpAnswer operator()(const KeyPut& put) const { return WithNumber(200, "revision", put.revision); }
  HttpAnswer operator()(const KeyConflict& conflict) const {
    return WithNumber(412, "revision", conflict.revision);
  }
  HttpAnswer operator()(const OutcomeExpired&) const { return {504, "{}"}; }
  HttpAnswer operator()(const LimitReached&) const { return {429, "{}"}; }
};

struct ReplyEncoder {
  HttpAnswer operator()(const CommandResult& result) const { return std::visit(ResultEncoder{}, result); }
  HttpAnswer operator()(const ReadResult& read) const {
    if (read.revision == 0) return {404, "{}"};
    json::Document body;
    body.Text("value", read.value).Whole("revision", read.revision);
    return {200, body.Print()};
  }
  HttpAnswer operator()(const WatchResult& watched) const { return EncodeEvents(watched); }
  HttpAnswer operator()(const HistoryExpired&) const { return {410, "{}"}; }
  HttpAnswer operator()(const NotServed&) const { return {503, "{}"}; }
  HttpAnswer operator()(const OutcomeUnknown&) const { return {504, "{}"}; }
  HttpAnswer operator()(const ReleaseUnproven&) const { return {503, "{}"}; }
};

}  // namespace

std::optional<Call> DecodeCoordinationCall(std::string_view method, std::string_view target,
                                           std::string_view body) {
  const auto question = target.find('?');
  const std::string_view path = target.substr(0, question);
  const std::string_view query =
      question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
  const auto rest = [path](std::string_view prefix) { return path.substr(prefix.size()); };
  const bool known = path.starts_with(kLocks) || path.starts_with(kNumbers) || path.starts_with(kCells) ||
                     path.starts_with(kWatches);
  if (!known) return std::nullopt;
  if (body.size() > kMaxBody) throw CallError(413, "body: too large");
  if (path.starts_with(kLocks)) return DecodeLock(method, rest(kLocks), body);
  if (path.starts_with(kCells)) return DecodeCell(method, rest(kCells), body);
  if (path.starts_with(kWatches)) return DecodeWatch(method, rest(kWatches), query);
  NeedMethod(method, "POST");
  return TakeNumber{NameIn(rest(kNumbers))};
}

HttpAnswer EncodeAnswer(const CoordinationCalls::Answer& answer) {
  using End = CoordinationCalls::End;
  if (answer.end == End::kReply && answer.reply) return std::visit(ReplyEncoder{}, *answer.reply);
  if (answer.end == End::kNothingDone) return {503, "{}"};
  if (answer.end == End::kNoRoom) return {429, "{}"};
  return {504, "{}"};
}

}  // namespace curlewdoor::system
