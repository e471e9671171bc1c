// The interface of the decision module: what a gateway is told (settings, events), what it may do
// (actions), and the one class that decides. No I/O, no clock, no threads: the same events give the same
// actions. All decisions are in logic.cpp.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace curlewdoor {

using Duration = std::chrono::nanoseconds;

// The clock of the events; the caller tells the time with each of them.
struct GatewayClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<GatewayClock>;
  static constexpr bool is_steady = true;
};
using TimePoint = GatewayClock::time_point;

template <typename Tag>
struct Id {
  std::uint64_t value = 0;
  auto operator<=>(const Id&) const = default;
};
using RequestId = Id<struct RequestTag>;
using HostId = Id<struct HostTag>;
using CountName = Id<struct CountTag>;  // a count on the counter service
using TimerToken = Id<struct TimerTag>;

struct IdHash {
  template <typename Tag>
  std::size_t operator()(Id<Tag> id) const {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

// ---- Settings -----------------------------------------------------------------------------------------

enum class Repeat { kSafe, kKeyed, kUnsafe };   // may a request of this class run twice?
enum class RepeatGroup { kAll, kZone, kCell };  // keyed: the hosts that drop repeats among themselves
enum class Discovery { kPush, kAsk };
enum class Reports { kNone, kInAnswers, kByProbe };  // where hosts tell their load
enum class SizeHint { kNone, kNominal, kRough, kLive };

struct RequestClass {
  std::string name;
  Duration aim{};
  Duration deadline{};
  Duration repeat_window{};
  double aim_stretch = 0;
  double worth = 1;
  double late_worth = 0;
  Repeat repeat = Repeat::kUnsafe;
  RepeatGroup group = RepeatGroup::kAll;
  bool stream = false;
};

struct Plan {
  std::string name;
  double rate = 0;  // units a second; 0: no such quota
  double burst = 0;
  double ceiling_rate = 0;  // units a second; 0: no ceiling
  double ceiling_burst = 0;
  double ceiling_slack = 0;
  int open_cap = 0;  // attempts out at once; 0: no such quota
  double price = 1;
  double beyond_worth = 0;
  double beyond_cost = 0;
};

struct Settings {
  int me = 0;
  int gateways = 1;
  std::string zone;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> tiers;
  int tier = 0;
  std::string family;
  Duration tick{};
  std::vector<RequestClass> classes;
  std::vector<Plan> plans;
  Discovery discovery = Discovery::kPush;
  SizeHint size_hint = SizeHint::kNone;
  struct {
    bool marks_retry = false;
  } clients;
  struct {
    Reports how = Reports::kNone;
    std::vector<std::string> fields;
  } reports;
  struct {
    bool available = false;
    Duration timeout{};
    double price = 0;
  } counter;
  struct {
    Duration presence_slot{};  // how often gateways count one another on the counter; zero: never
  } counting;
  struct {
    Duration meter_period{};
    double largest_request = 1;
    double peer_messages_per_s = 0;
    bool settles = false;  // units are a guess, settled with the first good answer
  } quota;
  struct {
    double whole = 1, worst_class = 0, worst_tenant = 0, worst_window = 0;
  } goal;
  struct {
    double connection = 0, cross_zone = 0, discovery = 0, handshake = 0, late_fail = 0, moves = 0;
    double origin = 0, peer = 0, probe = 0, waste = 0;
  } prices;
  struct {
    bool cancel = false, peer_messages = false, probes = false, retry_after = false, second_copies = false;
    int max_attempts = 1;
    int max_open = 0;
    int max_streams = 0;
    Duration max_retry_after{};
    Duration connect_timeout{};
    Duration connection_idle{};
    double cpu_us_per_request = 0;
    double cpu_us_per_s = 0;
  } limits;
  struct {
    Duration answer_slack{};
    Duration ask_within{};
    Duration drain_grace{};
    Duration cold_time{};
    Duration fall_time{};
    double cold_from = 1;
    double fall_multiple = 1;
  } rules;
};

// ---- Events -------------------------------------------------------------------------------------------

enum class HostState { kReady, kDraining, kGone };
enum class ListKind { kDelta, kFull, kCached, kFailed };
enum class Outcome { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };

struct LoadValue {
  std::string name;
  double value = 0;
};
using LoadReport = std::vector<LoadValue>;

struct HostEntry {
  HostId host;
  std::string zone;
  std::string kind;
  std::int64_t cell = 0;
  HostState state = HostState::kReady;
  double size_hint = 1;
  TimePoint started{};  // zero: long past
};

struct HostList {
  ListKind kind = ListKind::kFull;
  std::uint64_t version = 0;
  std::vector<HostEntry> entries;
};

struct RequestArrived {
  RequestId id;
  std::string customer;
  std::string plan;
  std::string request_class;
  double units = 1;
  int set_size = 1;   // the gateways this customer's requests may come through
  int set_first = 0;  // the first of them; the others follow in sequence
  bool is_retry = false;
  bool is_write = false;
  Duration time_left{};
};

struct AttemptStarted {  // streamed classes: the answer has begun
  RequestId id;
  int attempt = 0;
  HostId host;
  Duration latency{};
};

struct AttemptEnded {
  RequestId id;
  int attempt = 0;
  HostId host;
  Outcome outcome = Outcome::kOk;
  bool closed = false;
  Duration latency{};
  double true_units = 0;  // 0: not told
  double meter_use = 0;   // 0: not told; else 1 + percent of the rate
  LoadReport load;
};

struct RequestGone {
  RequestId id;
};

struct TimerFired {
  TimerToken token;
};

struct ProbeEnded {
  HostId host;
  Outcome outcome = Outcome::kOk;
  Duration latency{};
  LoadReport load;
};

struct PeerMessage {
  int from = 0;
  std::string data;
};

struct CountAnswered {
  CountName name;
  Outcome outcome = Outcome::kOk;  // kError: added, and the total can't be read
  double total = 0;
  Duration latency{};
};

// The part of the usual gateways that this one shares its counter with. Below 1 the counter is split, unseen
// for so long until now, and what the others let in is not in the totals.
struct CounterShared {
  double part = 1;
  Duration unseen_for{};
};

using Event = std::variant<HostList, RequestArrived, AttemptStarted, AttemptEnded, RequestGone, TimerFired,
                           ProbeEnded, PeerMessage, CountAnswered, CounterShared>;

// ---- Actions ------------------------------------------------------------------------------------------

struct SendAttempt {
  RequestId id;
  HostId host;
  TimePoint expires{};  // zero: when the client gives up
};

struct CancelAttempt {
  RequestId id;
  int attempt = 0;
};

struct Refuse {
  RequestId id;
  Duration retry_after{};  // zero: no advice
};

struct Fail {
  RequestId id;
};

struct SetTimer {
  TimerToken token;
  Duration delay{};
};

struct SendProbe {
  HostId host;
};

struct CloseIdle {
  HostId host;
};

struct TellPeer {
  int peer = -1;  // -1: all
  std::string data;
};

struct Watch {
  bool on = true;
};

struct FetchList {};

struct AddCount {
  CountName name;
  Duration lifetime{};
  double amount = 0;
};

struct Log {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, Refuse, Fail, SetTimer, SendProbe, CloseIdle,
                            TellPeer, Watch, FetchList, AddCount, Log>;

// ---- The gateway --------------------------------------------------------------------------------------

class Gateway {
 public:
  Gateway(Settings settings, std::uint64_t seed);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Decides on one event at time `now`, appending to `actions`. Times never go back.
  void handle(TimePoint now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace curlewdoor
