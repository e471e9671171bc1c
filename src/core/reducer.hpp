// The reducer holds the gateway's state of requests, attempts, counter calls, probes and hosts, and is the
// only place that changes it. It takes one input, passes the resulting events to the gateway logic (Gateway
// in logic.hpp) and returns effects: what to write, open or close. It does no I/O and reads no clock;
// routing, retry and quota decisions are made by the gateway logic alone.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/timers.hpp"
#include "logic.hpp"
#include "members/members.hpp"
#include "quota/presence.hpp"

namespace curlewdoor {

// Identifies one attempt of a request. Attempts are numbered from 0 in the order in which they start.
struct AttemptId {
  RequestId request;
  int number = 0;
  auto operator<=>(const AttemptId&) const = default;
};
struct AttemptIdHash {
  std::size_t operator()(const AttemptId& id) const {
    return std::hash<std::uint64_t>{}(id.request.value * 64 + static_cast<std::uint64_t>(id.number));
  }
};
using CallId = Id<struct CallTag>;    // one call to the counter
using ProbeId = Id<struct ProbeTag>;  // one probe of a host

// ---- Inputs -------------------------------------------------------------------------------------------

// A well-formed request has been read from a client. Its id has not been used before.
struct RequestRead {
  RequestArrived request;
  bool body_complete = true;  // false: the body is still arriving, and RequestBodyComplete follows
};
// The last byte of the request's body has been read.
struct RequestBodyComplete {
  RequestId request;
};
// Part of the request's body is no longer buffered, so no other attempt of the request can be made.
struct ReplayBufferReleased {
  AttemptId attempt;
};
// The client has left before its request was answered.
struct ClientDisconnected {
  RequestId request;
};
// The request has been written to the host up to its last byte.
struct AttemptWritten {
  AttemptId attempt;
};
// The host has answered. `not_processed`: the answer is marked as rejected before processing.
struct AttemptAnswered {
  AttemptId attempt;
  int status = 0;
  bool not_processed = false;
  LoadReport load;
};
// The connection could not be established, broke or was closed before an answer.
struct AttemptFailed {
  AttemptId attempt;
};
// The counter call has been written up to its last byte.
struct CallWritten {
  CallId call;
};
// The counter has answered. `total` is absent if the answer holds no number.
struct CallAnswered {
  CallId call;
  int status = 0;
  std::optional<double> total;
};
// The connection for the counter call could not be established, broke or was closed before an answer.
struct CallFailed {
  CallId call;
};
// The host has answered the probe.
struct ProbeAnswered {
  ProbeId probe;
  int status = 0;
  LoadReport load;
};
// The probe's connection could not be established, broke or was closed before an answer.
struct ProbeFailed {
  ProbeId probe;
};
// A list of hosts, or changes to it, from discovery, a cached list or overrides by operators.
struct MembersReceived {
  MemberList members;
  bool cached = false;  // known from before this process started
};
// A watch or a fetch of the host list has failed.
struct MembersFetchFailed {};
// New settings. They are validated, and settings that must not change at run time have their old values.
struct SettingsReloaded {
  std::shared_ptr<const Settings> settings;
};
// Runs the timers that are due.
struct TimePassed {};

using Input =
    std::variant<RequestRead, RequestBodyComplete, ReplayBufferReleased, ClientDisconnected, AttemptWritten,
                 AttemptAnswered, AttemptFailed, CallWritten, CallAnswered, CallFailed, ProbeAnswered,
                 ProbeFailed, MembersReceived, MembersFetchFailed, SettingsReloaded, TimePassed>;

// ---- Effects ------------------------------------------------------------------------------------------

// Send the request to the host. The attempt expires at `expires`.
struct StartAttempt {
  AttemptId attempt;
  HostId host;
  Address address;
  TimePoint expires;
};
// Abort the attempt and close its connection.
struct DropAttempt {
  AttemptId attempt;
};
// Forward the answer that this attempt has just received to the client.
struct DeliverAnswer {
  AttemptId attempt;
};
// Tell the client that its request is refused and when it may retry.
struct RespondRefused {
  RequestId request;
  Duration retry_after{};
};
// Tell the client that its request has failed.
struct RespondFailed {
  RequestId request;
};
// Add `amount` to the named counter.
struct StartCall {
  CallId call;
  CounterName name;
  Duration lifetime{};
  double amount = 0;
};
// The result of the call is no longer needed. A call of which nothing has been written is not sent.
struct DropCall {
  CallId call;
};
// Probe a host. `with_load`: load reports are enabled.
struct StartProbe {
  ProbeId probe;
  HostId host;
  Address address;
  bool with_load = false;
};
// Abort the probe.
struct DropProbe {
  ProbeId probe;
};
// Close the idle connections to the host.
struct CloseIdleConnections {
  HostId host;
};
// The host is draining or removed: no attempt may write its first byte to it after `deadline`.
struct StopSending {
  HostId host;
  TimePoint deadline;
};
// Start or stop watching discovery for changes to the host list.
struct WatchMembers {
  bool on = true;
};
// Fetch the host list from discovery once.
struct FetchMembers {};
// Write a line to the log.
struct WriteLog {
  std::string text;
};

using Effect = std::variant<StartAttempt, DropAttempt, DeliverAnswer, RespondRefused, RespondFailed,
                            StartCall, DropCall, StartProbe, DropProbe, CloseIdleConnections, StopSending,
                            WatchMembers, FetchMembers, WriteLog>;

// ---- The reducer --------------------------------------------------------------------------------------

// Interface of the gateway's core, used by the service and by simulations. Reducer is the implementation in
// service; tests of the kit substitute one with deliberate faults to verify that the checker detects them.
class GatewayCore {
 public:
  virtual ~GatewayCore() = default;

  // Handles one input at time `now` and appends effects. Timers run only on TimePassed, so that an answer
  // that has arrived is handled before its timeout, however late both are processed.
  virtual void Handle(TimePoint now, Input input, std::vector<Effect>& effects) = 0;

  // When TimePassed must be passed in next, if any timer is set.
  virtual std::optional<TimePoint> NextDue() = 0;

  virtual std::size_t open_requests() const = 0;
  virtual std::size_t attempts_in_flight() const = 0;
  virtual bool knows_hosts() const = 0;
  // Number of hosts in use that the gateway logic has temporarily ejected.
  virtual std::size_t ejected_hosts(TimePoint now) = 0;
  // Number of open requests for which no host has been chosen yet.
  virtual std::size_t unassigned_requests() const = 0;

  // State transfer in an upgrade: see Gateway in logic.hpp.
  virtual GatewaySnapshot ExportState() = 0;
  virtual void ImportState(const GatewaySnapshot& state) = 0;
  virtual void ResumeServing(TimePoint now) = 0;
};
// Creates the core of a gateway.
using GatewayCoreFactory =
    std::function<std::unique_ptr<GatewayCore>(const Settings& settings, std::uint64_t seed)>;
std::unique_ptr<GatewayCore> MakeReducer(const Settings& settings, std::uint64_t seed);

// The core in service.
class Reducer final : public GatewayCore {
 public:
  Reducer(const Settings& settings, std::uint64_t seed);

  void Handle(TimePoint now, Input input, std::vector<Effect>& effects) override;
  std::optional<TimePoint> NextDue() override;
  std::size_t open_requests() const override { return open_requests_; }
  std::size_t attempts_in_flight() const override { return attempts_in_flight_; }
  bool knows_hosts() const override { return !hosts_.empty(); }
  std::size_t ejected_hosts(TimePoint now) override { return gateway_.ejected_hosts(now); }
  std::size_t unassigned_requests() const override;
  GatewaySnapshot ExportState() override { return gateway_.ExportState(); }
  void ImportState(const GatewaySnapshot& state) override { gateway_.ImportState(state); }
  void ResumeServing(TimePoint now) override { gateway_.ResumeServing(now); }

 private:
  struct Attempt {
    HostId host;
    TimePoint started;
    bool in_flight = true;
    bool written = false;
    Duration time_limit{};  // time allowed after the last byte of the request
  };
  struct Request {
    TimePoint deadline;
    Duration time_left{};
    bool body_complete = true, bound_to_attempt = false;
    bool open = true;  // the client still waits for an answer
    std::vector<Attempt> attempts;
  };
  struct Call {
    CounterName name;
    TimePoint started;
    bool written = false;
    bool for_presence = false;
  };
  struct Probe {
    HostId host;
    TimePoint started;
  };
  struct HostInfo {
    Address address;
    HostState state = HostState::kReady;
  };
  struct PresenceTimer {};
  using Timer = std::variant<TimerToken, AttemptId, CallId, ProbeId, PresenceTimer>;

  void On(RequestRead& input);
  void On(RequestBodyComplete& input);
  void On(ReplayBufferReleased& input);
  void On(ClientDisconnected& input);
  void On(AttemptWritten& input);
  void On(AttemptAnswered& input);
  void On(AttemptFailed& input);
  void On(CallWritten& input);
  void On(CallAnswered& input);
  void On(CallFailed& input);
  void On(ProbeAnswered& input);
  void On(ProbeFailed& input);
  void On(MembersReceived& input);
  void On(MembersFetchFailed& input);
  void On(SettingsReloaded& input);
  void On(TimePassed& input);

  // Whether a timer is no longer needed because its subject has ended. Timers of the gateway logic are always
  // needed.
  bool IsObsolete(TimerToken) { return false; }
  bool IsObsolete(AttemptId id) { return FindInFlight(id) == nullptr; }
  bool IsObsolete(CallId id) const;  // also if written: a late answer still counts
  bool IsObsolete(ProbeId id) { return !probes_.contains(id); }
  bool IsObsolete(PresenceTimer) { return false; }
  void OnTimer(TimerToken token);
  void OnTimer(PresenceTimer);
  void OnTimer(AttemptId id);
  void OnTimer(CallId id);
  void OnTimer(ProbeId id);

  void Apply(const SendAttempt& action);
  void Apply(const CancelAttempt& action);
  void Apply(const RefuseRequest& action);
  void Apply(const FailRequest& action);
  void Apply(const SetTimer& action);
  void Apply(const SendProbe& action);
  void Apply(const CloseIdle& action);
  void Apply(const SendToPeer& action);
  void Apply(const WatchHosts& action);
  void Apply(const FetchHostList& action);
  void Apply(const AddToCounter& action);
  void Apply(const WriteLogLine& action);

  Attempt* FindInFlight(AttemptId id);
  void EndAttempt(AttemptId id, Outcome outcome, LoadReport load = {});
  void EndCall(CallId id, Outcome outcome, double total = 0);
  void EndProbe(ProbeId id, Outcome outcome, LoadReport load = {});
  Request* FindOpenRequest(RequestId id);
  void CloseRequest(RequestId id, Request& request);
  void EraseIfFinished(RequestId id);
  void StopUsingHost(HostId host);
  void StartCounterCall(CounterName name, Duration lifetime, double amount, bool for_presence);
  void EndPresenceCall(CounterName name, std::optional<double> total);
  // Passes the event to the gateway logic and applies the resulting actions. Events raised by these actions
  // are queued and dispatched afterwards, in order.
  void Dispatch(Event event);

  std::shared_ptr<const Settings> settings_;
  Gateway gateway_;
  TimePoint now_;
  std::vector<Effect>* effects_ = nullptr;
  TimerQueue<Timer> timers_;
  std::unordered_map<RequestId, Request, IdHash> requests_;
  std::unordered_map<CallId, Call, IdHash> calls_;
  std::unordered_map<ProbeId, Probe, IdHash> probes_;
  std::unordered_map<HostId, HostInfo, IdHash> hosts_;
  std::size_t open_requests_ = 0, attempts_in_flight_ = 0;
  std::uint64_t next_call_ = 1, next_probe_ = 1;
  std::vector<RequestId> changed_requests_;  // closed, or with an attempt ended, by the current input
  std::vector<Event> pending_events_;
  std::vector<Action> actions_;
  bool dispatching_ = false, peer_message_logged_ = false;
  std::optional<quota::Presence> presence_;  // absent if disabled
  bool presence_started_ = false;
};

}  // namespace curlewdoor
