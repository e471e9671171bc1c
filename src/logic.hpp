// Interface of the decision module: its inputs (settings and events), its outputs (actions) and the class
// that maps one to the other. The module has no I/O, clock or threads, so the same events give the same
// actions. The decisions are implemented in logic.cpp and logic/leases.cpp.
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

// The clock of event timestamps. The caller passes the current time with each event.
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
using CounterName = Id<struct CountTag>;  // names one counter on the counter service
using TimerToken = Id<struct TimerTag>;

struct IdHash {
  template <typename Tag>
  std::size_t operator()(Id<Tag> id) const {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

// ---- Settings -----------------------------------------------------------------------------------------

enum class RepeatSafety { kSafe, kKeyed, kUnsafe };  // whether a request of the class may run twice
enum class DedupScope { kAll, kZone, kCell };        // kKeyed: hosts that deduplicate retries together
enum class DiscoveryMode { kPush, kSubscribe };
enum class LoadReportMode { kNone, kInResponses, kOnProbe };  // how hosts report their load
enum class CapacityHint { kNone, kNominal, kRough, kLive };

// A class of requests with its latency target, deadline and retry rules.
struct RequestClass {
  std::string name;
  Duration latency_target{};
  Duration deadline{};
  Duration dedup_window{};
  double latency_target_stretch = 0;
  double worth = 1;
  double late_worth = 0;
  RepeatSafety repeat = RepeatSafety::kUnsafe;
  DedupScope dedup_scope = DedupScope::kAll;
  bool stream = false;
};

// A customer's plan: rate quota, hard ceiling, concurrency limit and value.
struct Plan {
  std::string name;
  double rate = 0;  // units per second; 0: no rate quota
  double burst = 0;
  double ceiling_rate = 0;  // units per second; 0: no ceiling
  double ceiling_burst = 0;
  double ceiling_slack = 0;
  int max_concurrent = 0;  // concurrent attempts; 0: no limit
  double price = 1;
  double excess_worth = 0;
  double excess_cost = 0;
  Duration window{};  // of its counter; zero: burst / rate
  bool operator==(const Plan&) const = default;
};

// All settings of a gateway. Immutable once in force; see SettingsChanged.
struct Settings {
  int own_index = 0;
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
  DiscoveryMode discovery = DiscoveryMode::kPush;
  CapacityHint capacity_hint = CapacityHint::kNone;
  struct {
    bool marks_retry = false;
  } clients;
  struct {
    LoadReportMode mode = LoadReportMode::kNone;
    std::vector<std::string> fields;
  } load_reports;
  struct {
    bool available = false;
    Duration timeout{};
    double price = 0;
  } counter;
  struct {
    Duration presence_slot{};  // interval of the gateway presence count; zero: off
  } counting;
  struct {
    Duration meter_period{};
    double largest_request = 1;
    double peer_messages_per_s = 0;
    bool settles = false;  // units are estimates, corrected by the first good response
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
    Duration subscribe_within{};
    Duration drain_grace{};
    Duration cold_time{};
    Duration overload_time{};
    double cold_from = 1;
    double overload_factor = 1;
  } rules;
};

// ---- Events -------------------------------------------------------------------------------------------

enum class HostState { kReady, kDraining, kRemoved };
enum class HostListKind { kDelta, kFull, kCached, kFailed };
enum class Outcome { kOk, kError, kQueueFull, kTimeout, kConnectFailed, kReset, kCancelled, kDiscarded };

struct LoadValue {
  std::string name;
  double value = 0;
};
using LoadReport = std::vector<LoadValue>;

// A back-end host as service discovery lists it.
struct HostEntry {
  HostId host;
  std::string zone;
  std::string kind;
  std::int64_t cell = 0;
  HostState state = HostState::kReady;
  double capacity_hint = 1;
  TimePoint started{};  // zero: long ago
};

// A full or partial host list from service discovery.
struct HostList {
  HostListKind kind = HostListKind::kFull;
  std::uint64_t version = 0;
  std::vector<HostEntry> entries;
};

// A client request arrived.
struct RequestArrived {
  RequestId id;
  std::string customer;
  std::string plan;
  std::string request_class;
  double units = 1;
  int set_size = 1;   // gateways that may receive this customer's requests
  int set_first = 0;  // index of the first; the others follow in sequence
  bool is_retry = false;
  bool is_write = false;
  Duration time_left{};
};

struct AttemptStarted {  // streamed classes: the response has started
  RequestId id;
  int attempt = 0;
  HostId host;
  Duration latency{};
};

// An attempt ended, with or without a response.
struct AttemptEnded {
  RequestId id;
  int attempt = 0;
  HostId host;
  Outcome outcome = Outcome::kOk;
  bool closed = false;
  Duration latency{};
  double actual_units = 0;   // 0: not reported
  double meter_reading = 0;  // 0: not reported; else 1 + percent of the rate
  LoadReport load;
};

// The client left before it got a response.
struct RequestAbandoned {
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

// The result of an AddToCounter action.
struct CounterReply {
  CounterName name;
  Outcome outcome = Outcome::kOk;  // kError: added, but the total is unreadable
  double total = 0;
  Duration latency{};
  double share = 0;  // of the quota, allocated to this gateway by the counter's holder
};

// The fraction of the usual gateways that share this gateway's counter. Below 1 the counter is partitioned:
// its totals miss what the other gateways admit, and have done so for up to `undetected_for`.
struct CounterPartition {
  double visible_fraction = 1;
  Duration undetected_for{};
};

// New settings. Open requests keep the settings that they arrived under.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
};

using Event =
    std::variant<SettingsChanged, HostList, RequestArrived, AttemptStarted, AttemptEnded, RequestAbandoned,
                 TimerFired, ProbeEnded, PeerMessage, CounterReply, CounterPartition>;

// ---- Actions ------------------------------------------------------------------------------------------

// Sends the request to a host.
struct SendAttempt {
  RequestId id;
  HostId host;
  TimePoint expires{};  // zero: the client's deadline
};

struct CancelAttempt {
  RequestId id;
  int attempt = 0;
};

// Refuses the request; the client may retry.
struct RefuseRequest {
  RequestId id;
  Duration retry_after{};  // zero: no Retry-After advice
};

// Fails the request, which may have run.
struct FailRequest {
  RequestId id;
};

struct SetTimer {
  TimerToken token;
  Duration delay{};
};

struct SendProbe {
  HostId host;
};

// Closes the idle connections to a host.
struct CloseIdle {
  HostId host;
};

struct SendToPeer {
  int peer = -1;  // -1: all
  std::string data;
};

// Starts or stops the subscription to host lists.
struct WatchHosts {
  bool on = true;
};

struct FetchHostList {};

// Adds to a counter of the counter service; answered by CounterReply.
struct AddToCounter {
  CounterName name;
  Duration lifetime{};
  double amount = 0;
  double use = 0;            // smoothed units admitted here, and those that are asked for now
  double held_share = 0;     // of the quota, allocated by an earlier reply and still valid
  TimePoint window_began{};  // by the counter's clock
};

struct WriteLogLine {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, RefuseRequest, FailRequest, SetTimer, SendProbe,
                            CloseIdle, SendToPeer, WatchHosts, FetchHostList, AddToCounter, WriteLogLine>;

// ---- Learned state ------------------------------------------------------------------------------------
// Plain values that outlive single requests; an upgrade passes them to the new process.

// Quota state of one customer.
struct CustomerState {
  std::string name;
  std::string plan_name;  // set in exported state
  int set_size = 1;
  bool in_set = true;  // whether this gateway is in the customer's set
  std::int64_t window = -1;
  double visible_fraction = 1;  // of the quota, given out on this side; below 1 while partitioned
  double leased = 0;            // units added to the counter and not yet spent
  double level = 0;             // estimated units left in the quota at level_at; below 0: overdrawn
  TimePoint level_at;
  double total = 0;        // the largest total known
  double local_added = 0;  // this gateway's part of the total
  double unposted = 0;     // admitted here without an add; added with the next call
  double assumed_use = 0;  // charged by share as the siblings' use, not yet in the total
  double lease_size = 0;
  std::int64_t lease_window = -1;  // window and time of the last lease request
  TimePoint lease_at;
  double local_use = 0, total_use = 0;  // smoothed; local / total is this gateway's share
  TimePoint usage_at;
  double ceiling = 0;  // tokens in this gateway's part of the ceiling at ceiling_at
  double exempt = 0;   // leased units added while the total was far enough below the ceiling
  TimePoint ceiling_at, seen_at;
  TimePoint plan_changed_at{};
};

// Health statistics of one host.
struct HostStats {
  double slowness = 1;  // service time relative to the other hosts
  TimePoint slowness_at{};
  int failures = 0;         // failed or late attempts since the last response
  double failure_rate = 0;  // smoothed
  TimePoint failure_at{}, success_at{};
  double cold_budget = 0;
  TimePoint cold_at{};
};

// Statistics of one request class.
struct ClassStats {
  double latency = 0, units = 0;  // smoothed, of successful responses
};

// Quota state across all customers: the counter's health and the call budget.
struct QuotaState {
  TimePoint last_eviction_at;   // last eviction from a full table, or the start
  double visible_fraction = 1;  // of the usual gateways that see the same counter
  Duration undetected_for{};
  bool counter_down = false;
  int failed_calls = 0;
  TimePoint next_probe_at;
  double call_rate = 0, call_tokens = 0;  // calls per second, and tokens saved up
  TimePoint call_tokens_at;
  double mean_stake = 0, mean_admitted = 1, mean_counted = 1;  // value at stake, units admitted, counted
};

// Load state: the work limit and what it is derived from.
struct LoadState {
  double mean_units = 0;  // smoothed, of all requests
  double work_limit = 0;  // outstanding work allowed, adapted to latency; 0: not known yet
  double mean_density = 0;
  double retry_budget = 0;
  double stale_failures = 0;  // smoothed, of hosts without a recent success
  double warm_rate = 0;       // successes per second of one warm host, here
  int warm_successes = 0;
  TimePoint warm_since;
};

struct LocalState : QuotaState, LoadState {};

// Everything that an upgrade passes to the new process.
struct GatewaySnapshot {
  struct HostRecord {
    HostId host;
    TimePoint started;
    HostStats stats;
  };
  struct ClassRecord {
    std::string name;
    ClassStats stats;
  };
  LocalState local;
  std::vector<CustomerState> customers;  // most recently seen first
  std::vector<HostRecord> hosts;
  std::vector<ClassRecord> classes;
};

// ---- The gateway --------------------------------------------------------------------------------------

// The decision module of one gateway: events in, actions out. Equal seeds and events give equal actions.
class Gateway {
 public:
  Gateway(Settings settings, std::uint64_t seed);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Handles one event at time `now` and appends to `actions`. `now` never decreases.
  void handle(TimePoint now, const Event& event, std::vector<Action>& actions);

  // Number of listed hosts that are currently ejected.
  std::size_t ejected_hosts(TimePoint now) const;

  // Upgrades. ExportState gives all leases and ceiling tokens to the new process; this one then only finishes
  // its open requests. ResumeServing, after a failed upgrade, starts with empty ceiling tokens.
  GatewaySnapshot ExportState();
  void ImportState(const GatewaySnapshot& state);
  void ResumeServing(TimePoint now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace curlewdoor
