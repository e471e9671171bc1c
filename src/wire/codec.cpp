#include "wire/codec.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>

#include "util/number.hpp"

namespace curlewdoor::wire {
namespace {

constexpr std::uint64_t kMaxId = (1ull << 32) - 1;
constexpr std::int64_t kMaxTime = std::int64_t{1} << 62;  // two such times still add up without overflow
constexpr std::uint64_t kMaxToken = 1ull << 63;
constexpr std::size_t kMaxListItems = 10'000;  // classes or plans; a larger index is a malformed one

bool ParseBool(std::string_view text, bool& value) {
  value = text == "1" || text == "true";
  return value || text == "0" || text == "false";
}

bool ParseTime(std::string_view text, Duration& value) {
  std::int64_t ns = 0;
  if (!ParseNumber(text, ns) || ns < 0 || ns > kMaxTime) return false;
  value = Duration(ns);
  return true;
}

// Takes the text up to the next space off the front of `rest`.
std::string_view NextPart(std::string_view& rest) {
  const auto space = rest.find(' ');
  const std::string_view part = rest.substr(0, space);
  rest.remove_prefix(space == std::string_view::npos ? rest.size() : space + 1);
  return part;
}

// The name=value pairs of one line. Remembers the first thing that is wrong.
class Fields {
 public:
  explicit Fields(std::string_view rest) {
    while (!rest.empty()) {
      const std::string_view part = NextPart(rest);
      const auto equals = part.find('=');
      if (equals == std::string_view::npos || equals == 0) {
        SetError("not a name=value pair", part);
        return;
      }
      if (count_ < pairs_.size()) pairs_[count_++] = {part.substr(0, equals), part.substr(equals + 1)};
    }
  }

  const std::string& error() const { return error_; }

  std::optional<std::string_view> Find(std::string_view name) const {
    for (std::size_t i = 0; i < count_; ++i)
      if (pairs_[i].first == name) return pairs_[i].second;
    return std::nullopt;
  }

  std::uint64_t Unsigned(std::string_view name, std::uint64_t most, bool required) {
    std::uint64_t value = 0;
    const auto text = Get(name, required);
    if (text && (!ParseNumber(*text, value) || value > most)) SetError("bad number", name);
    return value;
  }

  std::int64_t Integer(std::string_view name, std::int64_t least, std::int64_t most, std::int64_t absent) {
    std::int64_t value = absent;
    const auto text = Get(name, false);
    if (text && (!ParseNumber(*text, value) || value < least || value > most)) SetError("bad number", name);
    return value;
  }

  double Real(std::string_view name, double absent) {
    double value = absent;
    const auto text = Get(name, false);
    if (text && !ParseNumber(*text, value)) SetError("bad number", name);
    return value;
  }

  Duration Time(std::string_view name, bool required) {
    Duration value{};
    const auto text = Get(name, required);
    if (text && !ParseTime(*text, value)) SetError("bad time", name);
    return value;
  }

  bool Bool(std::string_view name) {
    bool value = false;
    const auto text = Get(name, false);
    if (text && !ParseBool(*text, value)) SetError("bad bool", name);
    return value;
  }

  std::string Text(std::string_view name, bool required) {
    return std::string(Get(name, required).value_or(""));
  }

  template <typename Enum, std::size_t N>
  Enum Choice(std::string_view name, const std::array<std::pair<std::string_view, Enum>, N>& choices) {
    const auto text = Get(name, true);
    for (const auto& [word, value] : choices)
      if (text == word) return value;
    if (text) SetError("unknown word", name);
    return choices[0].second;
  }

  LoadReport Load(std::string_view name) {
    LoadReport report;
    std::string_view rest = Get(name, false).value_or("");
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      const std::string_view part = rest.substr(0, comma);
      rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
      const auto colon = part.find(':');
      double value = 0;
      if (colon == std::string_view::npos || !ParseNumber(part.substr(colon + 1), value)) {
        SetError("bad load report", name);
        break;
      }
      report.push_back({std::string(part.substr(0, colon)), value});
    }
    return report;
  }

  void SetError(std::string_view what, std::string_view field) {
    if (error_.empty()) error_.append(what).append(": ").append(field.substr(0, 80));
  }

 private:
  std::optional<std::string_view> Get(std::string_view name, bool required) {
    const auto text = Find(name);
    if (!text && required) SetError("missing field", name);
    return text;
  }

  std::array<std::pair<std::string_view, std::string_view>, 32> pairs_;
  std::size_t count_ = 0;
  std::string error_;
};

template <typename Enum, std::size_t N>
using Words = std::array<std::pair<std::string_view, Enum>, N>;

constexpr Words<Outcome, 8> kOutcomes{{{"Ok", Outcome::kOk},
                                       {"Failed", Outcome::kError},
                                       {"QueueFull", Outcome::kQueueFull},
                                       {"TimedOut", Outcome::kTimeout},
                                       {"ConnectError", Outcome::kConnectFailed},
                                       {"ResetByPeer", Outcome::kReset},
                                       {"Canceled", Outcome::kCancelled},
                                       {"Ignored", Outcome::kDiscarded}}};
constexpr Words<HostState, 3> kHostStates{
    {{"IN", HostState::kReady}, {"LAME", HostState::kDraining}, {"OUT", HostState::kRemoved}}};
constexpr Words<HostListKind, 4> kListKinds{{{"diff", HostListKind::kDelta},
                                             {"snapshot", HostListKind::kFull},
                                             {"disk", HostListKind::kCached},
                                             {"error", HostListKind::kFailed}}};
constexpr Words<RepeatSafety, 3> kRepeats{{{"read_like", RepeatSafety::kSafe},
                                           {"idempotency_key", RepeatSafety::kKeyed},
                                           {"non_idempotent", RepeatSafety::kUnsafe}}};
constexpr Words<DedupScope, 3> kGroups{
    {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}}};
constexpr Words<DiscoveryMode, 2> kDiscoveries{
    {{"pushed", DiscoveryMode::kPush}, {"on_request", DiscoveryMode::kSubscribe}}};
constexpr Words<LoadReportMode, 3> kReports{{{"off", LoadReportMode::kNone},
                                             {"inline", LoadReportMode::kInResponses},
                                             {"on_probe", LoadReportMode::kOnProbe}}};
constexpr Words<CapacityHint, 4> kSizeHints{{{"off", CapacityHint::kNone},
                                             {"nominal", CapacityHint::kNominal},
                                             {"rough", CapacityHint::kRough},
                                             {"live", CapacityHint::kLive}}};

// ---- Settings: path to place, by the type of the place -------------------------------------------------

bool Read(std::string_view text, std::string& place) {
  place = text;
  return true;
}
bool Read(std::string_view text, double& place) { return ParseNumber(text, place); }
bool Read(std::string_view text, int& place) { return ParseNumber(text, place); }
bool Read(std::string_view text, bool& place) { return ParseBool(text, place); }
bool Read(std::string_view text, Duration& place) { return ParseTime(text, place); }
bool Read(std::string_view text, std::vector<std::string>& place) {
  place.clear();
  while (!text.empty()) {
    const auto comma = text.find(',');
    place.emplace_back(text.substr(0, comma));
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
  }
  return true;
}
// A word that is not known leaves the default, which is the careful one: values may be added to the wire.
template <typename Enum, std::size_t N>
bool ReadWord(std::string_view text, const Words<Enum, N>& words, Enum& place) {
  for (const auto& [word, value] : words)
    if (text == word) place = value;
  return true;
}
bool Read(std::string_view text, RepeatSafety& place) { return ReadWord(text, kRepeats, place); }
bool Read(std::string_view text, DedupScope& place) { return ReadWord(text, kGroups, place); }
bool Read(std::string_view text, DiscoveryMode& place) { return ReadWord(text, kDiscoveries, place); }
bool Read(std::string_view text, LoadReportMode& place) { return ReadWord(text, kReports, place); }
bool Read(std::string_view text, CapacityHint& place) { return ReadWord(text, kSizeHints, place); }

template <typename Owner>
using Setter = bool (*)(std::string_view, Owner&);
template <typename Owner>
using SetterTable = std::unordered_map<std::string_view, Setter<Owner>>;

#define CURLEWDOOR_PLACE(owner, path, place)                                  \
  {                                                                           \
    path, [](std::string_view text, owner& s) { return Read(text, s.place); } \
  }

const SetterTable<RequestClass>& ClassSetters() {
  static const SetterTable<RequestClass> table{
      CURLEWDOOR_PLACE(RequestClass, "name", name),
      CURLEWDOOR_PLACE(RequestClass, "aim_ns", latency_target),
      CURLEWDOOR_PLACE(RequestClass, "aim_stretch", latency_target_stretch),
      CURLEWDOOR_PLACE(RequestClass, "deadline_ns", deadline),
      CURLEWDOOR_PLACE(RequestClass, "dedup_window_ns", dedup_window),
      CURLEWDOOR_PLACE(RequestClass, "effect", repeat),
      CURLEWDOOR_PLACE(RequestClass, "group", dedup_scope),
      CURLEWDOOR_PLACE(RequestClass, "late_worth", late_worth),
      CURLEWDOOR_PLACE(RequestClass, "streamed", stream),
      CURLEWDOOR_PLACE(RequestClass, "worth", worth),
  };
  return table;
}

const SetterTable<Plan>& PlanSetters() {
  static const SetterTable<Plan> table{
      CURLEWDOOR_PLACE(Plan, "beyond_earns", excess_worth),
      CURLEWDOOR_PLACE(Plan, "burst", burst),
      CURLEWDOOR_PLACE(Plan, "cap_slack", ceiling_slack),
      CURLEWDOOR_PLACE(Plan, "concurrency", max_concurrent),
      CURLEWDOOR_PLACE(Plan, "excess_cost", excess_cost),
      CURLEWDOOR_PLACE(Plan, "hard_burst", ceiling_burst),
      CURLEWDOOR_PLACE(Plan, "name", name),
      CURLEWDOOR_PLACE(Plan, "never_over_rate", ceiling_rate),
      CURLEWDOOR_PLACE(Plan, "pays", price),
      CURLEWDOOR_PLACE(Plan, "quota_rate", rate),
  };
  return table;
}

const SetterTable<Settings>& TopSetters() {
  static const SetterTable<Settings> table{
      CURLEWDOOR_PLACE(Settings, "azs", zones),
      CURLEWDOOR_PLACE(Settings, "clients.marks_retry", clients.marks_retry),
      CURLEWDOOR_PLACE(Settings, "discovery", discovery),
      CURLEWDOOR_PLACE(Settings, "domain.count_fee", counter.price),
      CURLEWDOOR_PLACE(Settings, "domain.count_wait_ns", counter.timeout),
      CURLEWDOOR_PLACE(Settings, "domain.has_counter", counter.available),
      CURLEWDOOR_PLACE(Settings, "domain.inbox_per_s", quota.peer_messages_per_s),
      CURLEWDOOR_PLACE(Settings, "domain.largest", quota.largest_request),
      CURLEWDOOR_PLACE(Settings, "domain.post_paid", quota.settles),
      CURLEWDOOR_PLACE(Settings, "domain.use_period_ns", quota.meter_period),
      CURLEWDOOR_PLACE(Settings, "goal.whole", goal.whole),
      CURLEWDOOR_PLACE(Settings, "goal.worst_class", goal.worst_class),
      CURLEWDOOR_PLACE(Settings, "goal.worst_tenant", goal.worst_tenant),
      CURLEWDOOR_PLACE(Settings, "goal.worst_window", goal.worst_window),
      CURLEWDOOR_PLACE(Settings, "kinds", kinds),
      CURLEWDOOR_PLACE(Settings, "layer", tier),
      CURLEWDOOR_PLACE(Settings, "limits.cancel", limits.cancel),
      CURLEWDOOR_PLACE(Settings, "limits.conn_idle_ns", limits.connection_idle),
      CURLEWDOOR_PLACE(Settings, "limits.cpu_us_per_request", limits.cpu_us_per_request),
      CURLEWDOOR_PLACE(Settings, "limits.cpu_us_per_s", limits.cpu_us_per_s),
      CURLEWDOOR_PLACE(Settings, "limits.dial_timeout_ns", limits.connect_timeout),
      CURLEWDOOR_PLACE(Settings, "limits.max_attempts", limits.max_attempts),
      CURLEWDOOR_PLACE(Settings, "limits.max_open", limits.max_open),
      CURLEWDOOR_PLACE(Settings, "limits.max_retry_after_ns", limits.max_retry_after),
      CURLEWDOOR_PLACE(Settings, "limits.max_streams", limits.max_streams),
      CURLEWDOOR_PLACE(Settings, "limits.peer_messages", limits.peer_messages),
      CURLEWDOOR_PLACE(Settings, "limits.probes", limits.probes),
      CURLEWDOOR_PLACE(Settings, "limits.retry_after", limits.retry_after),
      CURLEWDOOR_PLACE(Settings, "limits.second_copies", limits.second_copies),
      CURLEWDOOR_PLACE(Settings, "me", own_index),
      CURLEWDOOR_PLACE(Settings, "prices.connection", prices.connection),
      CURLEWDOOR_PLACE(Settings, "prices.cross_zone", prices.cross_zone),
      CURLEWDOOR_PLACE(Settings, "prices.discovery", prices.discovery),
      CURLEWDOOR_PLACE(Settings, "prices.handshake", prices.handshake),
      CURLEWDOOR_PLACE(Settings, "prices.late_fail", prices.late_fail),
      CURLEWDOOR_PLACE(Settings, "prices.moves", prices.moves),
      CURLEWDOOR_PLACE(Settings, "prices.origin", prices.origin),
      CURLEWDOOR_PLACE(Settings, "prices.peer", prices.peer),
      CURLEWDOOR_PLACE(Settings, "prices.probe", prices.probe),
      CURLEWDOOR_PLACE(Settings, "prices.waste", prices.waste),
      CURLEWDOOR_PLACE(Settings, "round_ns", tick),
      CURLEWDOOR_PLACE(Settings, "rules.answer_slack_ns", rules.answer_slack),
      CURLEWDOOR_PLACE(Settings, "rules.cold_from", rules.cold_from),
      CURLEWDOOR_PLACE(Settings, "rules.cold_ns", rules.cold_time),
      CURLEWDOOR_PLACE(Settings, "rules.drain_grace_ns", rules.drain_grace),
      CURLEWDOOR_PLACE(Settings, "rules.must_ask_in_ns", rules.subscribe_within),
      CURLEWDOOR_PLACE(Settings, "rules.overload_factor", rules.overload_factor),
      CURLEWDOOR_PLACE(Settings, "rules.tip_after_ns", rules.overload_time),
      CURLEWDOOR_PLACE(Settings, "service_type", family),
      CURLEWDOOR_PLACE(Settings, "siblings", gateways),
      CURLEWDOOR_PLACE(Settings, "stages", tiers),
      CURLEWDOOR_PLACE(Settings, "stats.columns", load_reports.fields),
      CURLEWDOOR_PLACE(Settings, "stats.how", load_reports.mode),
      CURLEWDOOR_PLACE(Settings, "weight_kind", capacity_hint),
      CURLEWDOOR_PLACE(Settings, "zone", zone),
  };
  return table;
}

#undef CURLEWDOOR_PLACE

template <typename Owner>
bool Apply(const SetterTable<Owner>& table, std::string_view path, std::string_view text, Owner& owner) {
  const auto it = table.find(path);
  return it == table.end() || it->second(text, owner);
}

// "count" or "3.name" below a list's path.
template <typename Item>
bool ApplyItem(const SetterTable<Item>& table, std::string_view path, std::string_view text,
               std::vector<Item>& items) {
  std::size_t index = 0;
  if (path == "count") {
    if (!ParseNumber(text, index) || index > kMaxListItems) return false;
    if (items.size() < index) items.resize(index);
    return true;
  }
  const auto dot = path.find('.');
  if (dot == std::string_view::npos) return true;
  if (!ParseNumber(path.substr(0, dot), index) || index >= kMaxListItems) return false;
  if (items.size() <= index) items.resize(index + 1);
  return Apply(table, path.substr(dot + 1), text, items[index]);
}

}  // namespace

bool ApplySetting(std::string_view path, std::string_view text, Settings& settings) {
  constexpr std::string_view kClasses = "request_classes.", kPlans = "tariffs.";
  if (path.starts_with(kClasses))
    return ApplyItem(ClassSetters(), path.substr(kClasses.size()), text, settings.classes);
  if (path.starts_with(kPlans))
    return ApplyItem(PlanSetters(), path.substr(kPlans.size()), text, settings.plans);
  return Apply(TopSetters(), path, text, settings);
}

namespace {

// ---- Events -------------------------------------------------------------------------------------------

Started ReadStarted(std::string_view rest, std::string& error) {
  Started started;
  bool has_seed = false;
  while (!rest.empty() && error.empty()) {
    const std::string_view part = NextPart(rest);
    const auto equals = part.find('=');
    const std::string_view path = part.substr(0, equals);
    if (equals == std::string_view::npos || equals == 0) {
      error = "not a name=value pair: " + std::string(part.substr(0, 80));
    } else if (path == "random_seed") {
      has_seed = ParseNumber(part.substr(equals + 1), started.seed);
      if (!has_seed) error = "bad number: random_seed";
    } else if (!ApplySetting(path, part.substr(equals + 1), started.settings)) {
      error = "bad setting: " + std::string(path.substr(0, 80));
    }
  }
  if (error.empty() && !has_seed) error = "missing field: random_seed";
  return started;
}

HostEntry ReadHostEntry(Fields& f) {
  HostEntry entry;
  entry.host = HostId{f.Unsigned("host", kMaxId, true)};
  entry.zone = f.Text("dc", false);
  entry.kind = f.Text("flavor", false);
  entry.cell = f.Integer("cell", std::numeric_limits<std::int64_t>::min(), kMaxTime, 0);
  entry.state = f.Choice("availability", kHostStates);
  entry.capacity_hint = f.Real("capacity_hint", 1);
  entry.started = TimePoint(f.Time("up_since_ns", false));
  return entry;
}

RequestArrived ReadRequest(Fields& f) {
  RequestArrived request;
  request.id = RequestId{f.Unsigned("ticket", kMaxId, true)};
  request.customer = f.Text("user_key", false);
  request.plan = f.Text("contract", false);
  request.request_class = f.Text("type", true);
  request.units = f.Real("size_units", 1);
  if (request.units < 0) f.SetError("bad number", "size_units");
  constexpr std::int64_t kMaxGateways = 1'000'000;
  request.set_size = static_cast<int>(f.Integer("spread", 0, kMaxGateways, 1));
  request.set_first = static_cast<int>(f.Integer("set_from", 0, kMaxGateways, 0));
  const std::int64_t bits = f.Integer("bitmap", 0, kMaxTime, 0);
  request.is_retry = (bits & 2) != 0;
  request.is_write = (bits & 4) != 0;
  request.time_left = f.Time("patience_left_ns", true);
  return request;
}

AttemptEnded ReadAttemptEnded(Fields& f) {
  AttemptEnded ended;
  ended.id = RequestId{f.Unsigned("ticket", kMaxId, true)};
  ended.attempt = static_cast<int>(f.Integer("n", 0, 1'000'000, 0));
  ended.host = HostId{f.Unsigned("host", kMaxId, true)};
  ended.outcome = f.Choice("how", kOutcomes);
  ended.closed = f.Bool("settled");
  ended.latency = f.Time("lag_ns", false);
  ended.actual_units = f.Real("actual", 0);
  ended.meter_reading = f.Real("fleet_use", 0);
  ended.load = f.Load("stats");
  return ended;
}

AttemptStarted ReadAttemptStarted(Fields& f) {
  AttemptStarted started;
  started.id = RequestId{f.Unsigned("ticket", kMaxId, true)};
  started.attempt = static_cast<int>(f.Integer("n", 0, 1'000'000, 0));
  started.host = HostId{f.Unsigned("host", kMaxId, true)};
  started.latency = f.Time("lag_ns", false);
  return started;
}

ProbeEnded ReadProbeEnded(Fields& f) {
  ProbeEnded ended;
  ended.host = HostId{f.Unsigned("host", kMaxId, true)};
  ended.outcome = f.Choice("how", kOutcomes);
  ended.latency = f.Time("lag_ns", false);
  ended.load = f.Load("stats");
  return ended;
}

CounterReply ReadCounterReply(Fields& f) {
  CounterReply answered;
  answered.name = CounterName{f.Unsigned("entry_name", kMaxToken, true)};
  answered.outcome = f.Choice("how", kOutcomes);
  answered.latency = f.Time("lag_ns", false);
  answered.total = f.Real("total", 0);
  return answered;
}

PeerMessage ReadPeerMessage(Fields& f) {
  PeerMessage message;
  message.from = static_cast<int>(f.Integer("from", 0, 1'000'000, 0));
  if (!DecodeBase64(f.Text("content", false), message.data)) f.SetError("bad base64", "content");
  return message;
}

// ---- Actions ------------------------------------------------------------------------------------------

template <typename Number>
void AppendPair(std::string_view name, Number value, std::string& out) {
  char digits[40];
  const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
  out.append(" ").append(name).append("=").append(digits, end);
}

struct ActionWriter {
  std::string& out;

  void operator()(const SendAttempt& a) {
    out += "ISSUE";
    AppendPair("ticket", a.id.value, out);
    AppendPair("host", a.host.value, out);
    if (a.expires != TimePoint{}) AppendPair("expire_at_ns", a.expires.time_since_epoch().count(), out);
  }
  void operator()(const CancelAttempt& a) {
    out += "UNDO_SEND";
    AppendPair("ticket", a.id.value, out);
    AppendPair("n", a.attempt, out);
  }
  void operator()(const RefuseRequest& a) {
    out += "BOUNCE";
    AppendPair("ticket", a.id.value, out);
    if (a.retry_after > Duration::zero()) AppendPair("hold_off_ns", a.retry_after.count(), out);
  }
  void operator()(const FailRequest& a) {
    out += "END_FAILED";
    AppendPair("ticket", a.id.value, out);
  }
  void operator()(const SetTimer& a) {
    out += "NOTIFY_ME";
    AppendPair("ctx", a.token.value, out);
    AppendPair("in_ns", a.delay.count(), out);
  }
  void operator()(const SendProbe& a) {
    out += "TEST";
    AppendPair("host", a.host.value, out);
  }
  void operator()(const CloseIdle& a) {
    out += "SHUT_IDLE";
    AppendPair("host", a.host.value, out);
  }
  void operator()(const SendToPeer& a) {
    out += "ANNOUNCE";
    AppendPair("target", a.peer, out);
    out += " content=" + EncodeBase64(a.data);
  }
  void operator()(const WatchHosts& a) { out += a.on ? "KEEP_INFORMED want=1" : "KEEP_INFORMED want=0"; }
  void operator()(const FetchHostList&) { out += "PULL"; }
  void operator()(const AddToCounter& a) {
    out += "BUMP";
    AppendPair("entry_name", a.name.value, out);
    AppendPair("lifetime_ns", a.lifetime.count(), out);
    AppendPair("add", a.amount, out);
  }
  void operator()(const WriteLogLine& a) { AppendText("NOTE_DOWN body_text=", a.text); }

  // Text runs to the end of the line, so it can hold no line break.
  void AppendText(std::string_view head, std::string_view text) {
    out += head;
    for (char c : text) out += (c == '\n' || c == '\r') ? ' ' : c;
  }
};

constexpr std::string_view kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  if (bytes.empty()) return "-";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k)
      word = word << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k > bytes.size() ? '=' : kBase64[word >> (18 - 6 * k) & 63];
  }
  return text;
}

bool DecodeBase64(std::string_view text, std::string& bytes) {
  bytes.clear();
  if (text.empty() || text == "-") return true;
  if (text.size() % 4 != 0) return false;
  const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 4; ++k) {
      const bool padded = i + k >= text.size() - padding;
      const auto digit = padded ? 0 : kBase64.find(text[i + k]);
      if (digit == std::string_view::npos) return false;
      word = word << 6 | static_cast<std::uint32_t>(digit);
    }
    for (int shift = 16; shift >= 0; shift -= 8) bytes += static_cast<char>(word >> shift & 0xff);
  }
  bytes.resize(bytes.size() - padding);
  return true;
}

bool BatchReader::Malformed(std::string_view what) {
  error_ = "line " + std::to_string(line_number_) + ": " + std::string(what);
  return false;
}

bool BatchReader::ReadLine() {
  if (!std::getline(in_, line_)) return false;
  ++line_number_;
  if (line_.ends_with('\r')) line_.pop_back();
  return true;
}

bool BatchReader::ReadHostList(HostList& list, std::int64_t count) {
  for (std::int64_t i = 0; i < count; ++i) {
    if (!ReadLine()) return Malformed("input ends within a host list");
    std::string_view rest = line_;
    if (NextPart(rest) != "M") return Malformed("expected a host list line (M)");
    Fields fields(rest);
    list.entries.push_back(ReadHostEntry(fields));
    if (!fields.error().empty()) return Malformed("M: " + fields.error());
  }
  return true;
}

bool BatchReader::ReadMessage(Batch& batch) {
  std::string_view rest = line_;
  const std::string_view tag = NextPart(rest);
  const std::string name(tag);
  if (tag != "ON" && !has_instance_) return Malformed(name + ": no ON line before it");
  const std::size_t line = line_number_;
  const auto add = [&](Message message) { batch.entries.push_back({instance_, line, std::move(message)}); };

  if (tag == "PROVISION") {
    std::string error;
    add(ReadStarted(rest, error));
    return error.empty() || Malformed("PROVISION: " + error);
  }
  Fields f(rest);
  if (tag == "ON") {
    instance_ = f.Unsigned("i", kMaxId, true);
    has_instance_ = true;
  } else if (tag == "DETACH") {
    add(Stopped{});
  } else if (tag == "MEMBERS") {
    HostList list;
    list.kind = f.Choice("scope", kListKinds);
    list.version = f.Unsigned("seq_no", std::numeric_limits<std::uint64_t>::max(), false);
    const std::int64_t count = f.Integer("lines", 0, kMaxId, 0);
    if (!f.error().empty()) return Malformed("MEMBERS: " + f.error());
    if (!ReadHostList(list, count)) return false;
    add(Event(std::move(list)));
    return true;  // line_ has moved on: nothing of f may be read any more
  } else if (tag == "REQUEST") {
    add(Event(ReadRequest(f)));
  } else if (tag == "ANSWER") {
    add(Event(ReadAttemptEnded(f)));
  } else if (tag == "ACCEPTED") {
    add(Event(ReadAttemptStarted(f)));
  } else if (tag == "LEFT") {
    add(Event(RequestAbandoned{RequestId{f.Unsigned("ticket", kMaxId, true)}}));
  } else if (tag == "TIMER") {
    add(Event(TimerFired{TimerToken{f.Unsigned("ctx", kMaxToken, true)}}));
  } else if (tag == "HEALTH") {
    add(Event(ReadProbeEnded(f)));
  } else if (tag == "NOTE_FROM") {
    add(Event(ReadPeerMessage(f)));
  } else if (tag == "COUNTED") {
    add(Event(ReadCounterReply(f)));
  } else {
    return Malformed("unknown message: " + name.substr(0, 80));
  }
  return f.error().empty() || Malformed(name + ": " + f.error());
}

ReadResult BatchReader::Next(Batch& batch) {
  batch.entries.clear();
  has_instance_ = false;
  do {
    if (!ReadLine()) return ReadResult::kEnd;
  } while (line_.empty());
  std::string_view rest = line_;
  if (NextPart(rest) != "ROUND") {
    Malformed("expected ROUND");
    return ReadResult::kMalformed;
  }
  Fields fields(rest);
  batch.now = TimePoint(fields.Time("time_ns", true));
  if (!fields.error().empty()) {
    Malformed("ROUND: " + fields.error());
    return ReadResult::kMalformed;
  }
  while (ReadLine()) {
    if (line_ == "EOB") return ReadResult::kBatch;
    if (line_.empty()) continue;
    if (!ReadMessage(batch)) return ReadResult::kMalformed;
  }
  Malformed("input ends before EOB");
  return ReadResult::kMalformed;
}

void AppendInstance(std::uint64_t instance, std::string& out) {
  out += "BY";
  AppendPair("i", instance, out);
  out += '\n';
}

void AppendAction(const Action& action, std::string& out) {
  std::visit(ActionWriter{out}, action);
  out += '\n';
}

void AppendFault(std::string_view text, std::string& out) {
  ActionWriter{out}.AppendText("DIE body_text=", text);
  out += '\n';
}

void AppendEndOfReply(std::string& out) { out += "ACK\n"; }

}  // namespace curlewdoor::wire
