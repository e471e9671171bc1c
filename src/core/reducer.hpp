// The reducer: what the gateway knows of its requests, attempts, calls and hosts, and the one place where
// that changes. It takes one input, asks the module, and gives back effects: what to write, open or close. It
// does no I/O, reads no clock and decides nothing that the module decides.
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

// Attempts of a request are numbered from 0 in the order they are begun.
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

struct RequestRead {  // a client's request is well formed; its id is new
  RequestArrived request;
  bool whole = true;  // else its body still comes, and RequestWhole follows
};
struct RequestWhole {
  RequestId request;
};
struct UploadBound {  // part of its request's body is held no longer: no other attempt can be made
  AttemptId attempt;
};
struct ClientLeft {
  RequestId request;
};
struct AttemptWritten {  // to the last byte
  AttemptId attempt;
};
struct AttemptAnswered {
  AttemptId attempt;
  int status = 0;
  bool not_processed = false;
  LoadReport load;
};
struct AttemptBroken {  // the connection never came up, broke or ended
  AttemptId attempt;
};
struct CallWritten {
  CallId call;
};
struct CallAnswered {
  CallId call;
  int status = 0;
  std::optional<double> total;
};
struct CallBroken {
  CallId call;
};
struct ProbeAnswered {
  ProbeId probe;
  int status = 0;
  LoadReport load;
};
struct ProbeBroken {
  ProbeId probe;
};
struct MembersTold {
  MemberList members;
  bool cached = false;  // as known before the start
};
struct MembersFailed {};  // a watch or a fetch came to nothing
struct SettingsTold {     // checked, and what may not change while the program runs is as it was
  std::shared_ptr<const Settings> settings;
};
struct TimePassed {};

using Input = std::variant<RequestRead, RequestWhole, UploadBound, ClientLeft, AttemptWritten,
                           AttemptAnswered, AttemptBroken, CallWritten, CallAnswered, CallBroken,
                           ProbeAnswered, ProbeBroken, MembersTold, MembersFailed, SettingsTold, TimePassed>;

// ---- Effects ------------------------------------------------------------------------------------------

struct StartAttempt {
  AttemptId attempt;
  HostId host;
  Address address;
  TimePoint expires;
};
struct DropAttempt {  // close its connection
  AttemptId attempt;
};
struct DeliverAnswer {  // pass the answer that this attempt has just brought on to the client
  AttemptId attempt;
};
struct AnswerRefused {
  RequestId request;
  Duration retry_after{};
};
struct AnswerFailed {
  RequestId request;
};
struct StartCall {
  CallId call;
  CounterName name;
  Duration lifetime{};
  double amount = 0;
};
struct DropCall {  // nobody waits for it any more; it is not written if it has not been begun
  CallId call;
};
struct StartProbe {
  ProbeId probe;
  HostId host;
  Address address;
  bool with_load = false;
};
struct DropProbe {
  ProbeId probe;
};
struct CloseKept {  // the connections to a host that carry nothing
  HostId host;
};
struct StopSending {  // the host drains or is gone: no first byte of an attempt later than this
  HostId host;
  TimePoint by;
};
struct WatchMembers {
  bool on = true;
};
struct FetchMembers {};
struct WriteLog {
  std::string text;
};

using Effect =
    std::variant<StartAttempt, DropAttempt, DeliverAnswer, AnswerRefused, AnswerFailed, StartCall, DropCall,
                 StartProbe, DropProbe, CloseKept, StopSending, WatchMembers, FetchMembers, WriteLog>;

// ---- The reducer --------------------------------------------------------------------------------------

// What whoever plays a gateway sees of its core. The reducer is the one in service; tests of the kit put one
// that does something wrong on purpose in its place, to see that the judge notices.
class Core {
 public:
  virtual ~Core() = default;

  // Takes one input at time `now` and appends effects. What falls due is handled with TimePassed only, so
  // that an answer that has come is taken before its time-out, however late both are looked at.
  virtual void Handle(TimePoint now, Input input, std::vector<Effect>& effects) = 0;

  // When TimePassed is wanted next.
  virtual std::optional<TimePoint> NextDue() = 0;

  virtual std::size_t open_requests() const = 0;
  virtual std::size_t attempts_out() const = 0;
  virtual bool knows_hosts() const = 0;
  // Hosts in use that the module leaves alone for now, by its own choice.
  virtual std::size_t resting(TimePoint now) = 0;
  // Requests that wait to be decided: no host has been chosen for them yet.
  virtual std::size_t undecided() const = 0;

  // An upgrade: see Gateway.
  virtual GatewaySnapshot HandOn() = 0;
  virtual void TakeOver(const GatewaySnapshot& memory) = 0;
  virtual void ServeAgain(TimePoint now) = 0;
};
using CoreFactory = std::function<std::unique_ptr<Core>(const Settings& settings, std::uint64_t seed)>;
std::unique_ptr<Core> MakeReducer(const Settings& settings, std::uint64_t seed);

class Reducer final : public Core {
 public:
  Reducer(const Settings& settings, std::uint64_t seed);

  void Handle(TimePoint now, Input input, std::vector<Effect>& effects) override;
  std::optional<TimePoint> NextDue() override;
  std::size_t open_requests() const override { return open_requests_; }
  std::size_t attempts_out() const override { return attempts_out_; }
  bool knows_hosts() const override { return !hosts_.empty(); }
  std::size_t resting(TimePoint now) override { return gateway_.ejected_hosts(now); }
  std::size_t undecided() const override;
  GatewaySnapshot HandOn() override { return gateway_.ExportState(); }
  void TakeOver(const GatewaySnapshot& memory) override { gateway_.ImportState(memory); }
  void ServeAgain(TimePoint now) override { gateway_.ResumeServing(now); }

 private:
  struct Attempt {
    HostId host;
    TimePoint begun;
    bool out = true;
    bool written = false;
    Duration patience{};  // from the last byte of the request on
  };
  struct Request {
    TimePoint deadline;
    Duration time_left{};
    bool whole = true, bound = false;
    bool open = true;  // its client waits for an answer
    std::vector<Attempt> attempts;
  };
  struct Call {
    CounterName name;
    TimePoint begun;
    bool written = false;
    bool of_presence = false;
  };
  struct Probe {
    HostId host;
    TimePoint begun;
  };
  struct HostInfo {
    Address address;
    HostState state = HostState::kReady;
  };
  struct PresenceDue {};
  using Timer = std::variant<TimerToken, AttemptId, CallId, ProbeId, PresenceDue>;

  void Take(RequestRead& input);
  void Take(RequestWhole& input);
  void Take(UploadBound& input);
  void Take(ClientLeft& input);
  void Take(AttemptWritten& input);
  void Take(AttemptAnswered& input);
  void Take(AttemptBroken& input);
  void Take(CallWritten& input);
  void Take(CallAnswered& input);
  void Take(CallBroken& input);
  void Take(ProbeAnswered& input);
  void Take(ProbeBroken& input);
  void Take(MembersTold& input);
  void Take(MembersFailed& input);
  void Take(SettingsTold& input);
  void Take(TimePassed& input);

  // Whether what a timer was set for has ended meanwhile; the module's own are always wanted.
  bool Ended(TimerToken) { return false; }
  bool Ended(AttemptId id) { return FindOut(id) == nullptr; }
  bool Ended(CallId id) const;  // or written: then its answer counts, however late
  bool Ended(ProbeId id) { return !probes_.contains(id); }
  bool Ended(PresenceDue) { return false; }
  void Due(TimerToken token);
  void Due(PresenceDue);
  void Due(AttemptId id);
  void Due(CallId id);
  void Due(ProbeId id);

  void Do(const SendAttempt& action);
  void Do(const CancelAttempt& action);
  void Do(const RefuseRequest& action);
  void Do(const FailRequest& action);
  void Do(const SetTimer& action);
  void Do(const SendProbe& action);
  void Do(const CloseIdle& action);
  void Do(const SendToPeer& action);
  void Do(const WatchHosts& action);
  void Do(const FetchHostList& action);
  void Do(const AddToCounter& action);
  void Do(const WriteLogLine& action);

  Attempt* FindOut(AttemptId id);
  void EndAttempt(AttemptId id, Outcome outcome, LoadReport load = {});
  void EndCall(CallId id, Outcome outcome, double total = 0);
  void EndProbe(ProbeId id, Outcome outcome, LoadReport load = {});
  Request* FindOpen(RequestId id);
  void CloseRequest(RequestId id, Request& request);
  void ForgetIfDone(RequestId id);
  void HostLeaves(HostId host);
  void StartCountCall(CounterName name, Duration lifetime, double amount, bool of_presence);
  void EndPresenceCall(CounterName name, std::optional<double> total);
  // Tells the module. What its actions bring about at once is told after them, in order.
  void Tell(Event event);

  std::shared_ptr<const Settings> settings_;
  Gateway gateway_;
  TimePoint now_;
  std::vector<Effect>* effects_ = nullptr;
  TimerQueue<Timer> timers_;
  std::unordered_map<RequestId, Request, IdHash> requests_;
  std::unordered_map<CallId, Call, IdHash> calls_;
  std::unordered_map<ProbeId, Probe, IdHash> probes_;
  std::unordered_map<HostId, HostInfo, IdHash> hosts_;
  std::size_t open_requests_ = 0, attempts_out_ = 0;
  std::uint64_t next_call_ = 1, next_probe_ = 1;
  std::vector<RequestId> touched_;  // closed, or an attempt of it ended, by the present input
  std::vector<Event> untold_;
  std::vector<Action> actions_;
  bool telling_ = false, peers_said_ = false;
  std::optional<quota::Presence> presence_;  // where it is switched on
  bool presence_begun_ = false;
};

}  // namespace curlewdoor
