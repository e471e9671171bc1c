#include "core/reducer.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor {
namespace {

Outcome OutcomeOf(const AttemptAnswered& answer) {
  if (answer.status == 200) return Outcome::kOk;
  const bool rejected = answer.not_processed && (answer.status == 503 || answer.status == 504);
  return rejected ? Outcome::kQueueFull : Outcome::kError;
}

}  // namespace

Reducer::Reducer(const Settings& settings, std::uint64_t seed)
    : settings_(std::make_shared<Settings>(settings)), gateway_(settings, seed) {
  if (settings.counter.available && settings.counting.presence_slot > Duration::zero())
    presence_.emplace(settings.counting.presence_slot, seed);
}

std::unique_ptr<GatewayCore> MakeReducer(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<Reducer>(settings, seed);
}

void Reducer::Handle(TimePoint now, Input input, std::vector<Effect>& effects) {
  now_ = now;
  effects_ = &effects;
  if (presence_ && !std::exchange(presence_started_, true))
    timers_.Add(presence_->NextDue(now), PresenceTimer{});
  std::visit([this](auto& each) { On(each); }, input);
  for (RequestId id : changed_requests_) EraseIfFinished(id);
  changed_requests_.clear();
}

void Reducer::On(SettingsReloaded& input) {
  settings_ = input.settings;
  Dispatch(SettingsChanged{std::move(input.settings)});
}

void Reducer::On(TimePassed&) {
  while (const auto timer = timers_.PopDue(now_)) std::visit([this](auto id) { OnTimer(id); }, *timer);
}

std::optional<TimePoint> Reducer::NextDue() {
  timers_.DropFrontWhile(
      [this](const Timer& timer) { return std::visit([this](auto id) { return IsObsolete(id); }, timer); });
  return timers_.NextDue();
}

void Reducer::Dispatch(Event event) {
  pending_events_.push_back(std::move(event));
  if (dispatching_) return;
  dispatching_ = true;
  for (std::size_t i = 0; i < pending_events_.size(); ++i) {
    const Event next = std::move(pending_events_[i]);
    std::vector<Action> actions = std::move(actions_);
    actions.clear();
    gateway_.handle(now_, next, actions);
    for (const Action& action : actions) std::visit([this](const auto& each) { Apply(each); }, action);
    actions_ = std::move(actions);
  }
  pending_events_.clear();
  dispatching_ = false;
}

// ---- Requests -----------------------------------------------------------------------------------------

void Reducer::On(RequestRead& input) {
  if (presence_) presence_->RecordArrival(now_);
  Request& request = requests_[input.request.id];
  request.deadline = now_ + input.request.time_left;
  request.time_left = input.request.time_left;
  request.body_complete = input.body_complete;
  ++open_requests_;
  Dispatch(std::move(input.request));
}

// The deadline and the timeouts of attempts count from the last byte of the request.
void Reducer::On(RequestBodyComplete& input) {
  const auto it = requests_.find(input.request);
  if (it == requests_.end() || std::exchange(it->second.body_complete, true)) return;
  Request& request = it->second;
  request.deadline = now_ + request.time_left;
  for (std::size_t i = 0; i < request.attempts.size(); ++i)
    if (request.attempts[i].in_flight)
      timers_.Add(now_ + request.attempts[i].time_limit, AttemptId{input.request, static_cast<int>(i)});
}

// Reported to the gateway logic as a started stream: the request is bound to this attempt, and its duration
// says nothing about the host.
void Reducer::On(ReplayBufferReleased& input) {
  const Attempt* attempt = FindInFlight(input.attempt);
  if (attempt == nullptr) return;
  requests_.at(input.attempt.request).bound_to_attempt = true;
  Dispatch(
      AttemptStarted{input.attempt.request, input.attempt.number, attempt->host, now_ - attempt->started});
}

void Reducer::On(ClientDisconnected& input) {
  Request* request = FindOpenRequest(input.request);
  if (request == nullptr) return;
  CloseRequest(input.request, *request);
  Dispatch(RequestAbandoned{input.request});
  if (!request->bound_to_attempt) return;
  for (std::size_t i = 0; i < request->attempts.size(); ++i) {  // the gateway logic does not cancel streams
    const AttemptId id{input.request, static_cast<int>(i)};
    if (FindInFlight(id) == nullptr) continue;
    effects_->push_back(DropAttempt{id});
    EndAttempt(id, Outcome::kCancelled);
  }
}

Reducer::Request* Reducer::FindOpenRequest(RequestId id) {
  const auto it = requests_.find(id);
  return it != requests_.end() && it->second.open ? &it->second : nullptr;
}

void Reducer::CloseRequest(RequestId id, Request& request) {
  request.open = false;
  --open_requests_;
  changed_requests_.push_back(id);
}

std::size_t Reducer::unassigned_requests() const {
  return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [](const auto& entry) {
    return entry.second.open && entry.second.attempts.empty();
  }));
}

// Erases a request that is closed and has no attempt in flight. Requests are erased nowhere else.
void Reducer::EraseIfFinished(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.open) return;
  for (const Attempt& attempt : it->second.attempts)
    if (attempt.in_flight) return;
  requests_.erase(it);
}

void Reducer::Apply(const RefuseRequest& action) {
  Request* request = FindOpenRequest(action.id);
  if (request == nullptr) return;
  CloseRequest(action.id, *request);
  effects_->push_back(RespondRefused{action.id, action.retry_after});
}

void Reducer::Apply(const FailRequest& action) {
  Request* request = FindOpenRequest(action.id);
  if (request == nullptr) return;
  CloseRequest(action.id, *request);
  effects_->push_back(RespondFailed{action.id});
}

// ---- Attempts -----------------------------------------------------------------------------------------

void Reducer::Apply(const SendAttempt& action) {
  const auto it = requests_.find(action.id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  const AttemptId id{action.id, static_cast<int>(request.attempts.size())};
  request.attempts.push_back({action.host, now_});
  ++attempts_in_flight_;
  const auto host = hosts_.find(action.host);
  if (!request.open) return EndAttempt(id, Outcome::kDiscarded);
  if (host == hosts_.end()) return EndAttempt(id, Outcome::kConnectFailed);
  const TimePoint expires =
      action.expires == TimePoint{} ? request.deadline : std::min(action.expires, request.deadline);
  request.attempts.back().time_limit = expires - now_;
  if (request.body_complete) timers_.Add(expires, id);
  effects_->push_back(StartAttempt{id, action.host, host->second.address, expires});
}

void Reducer::Apply(const CancelAttempt& action) {
  const AttemptId id{action.id, action.attempt};
  if (FindInFlight(id) == nullptr) return;
  effects_->push_back(DropAttempt{id});
  EndAttempt(id, Outcome::kCancelled);
}

Reducer::Attempt* Reducer::FindInFlight(AttemptId id) {
  const auto it = requests_.find(id.request);
  if (it == requests_.end() || id.number < 0) return nullptr;
  auto& attempts = it->second.attempts;
  const auto number = static_cast<std::size_t>(id.number);
  return number < attempts.size() && attempts[number].in_flight ? &attempts[number] : nullptr;
}

void Reducer::On(AttemptWritten& input) {
  if (Attempt* attempt = FindInFlight(input.attempt)) attempt->written = true;
}

void Reducer::On(AttemptAnswered& input) {
  if (FindInFlight(input.attempt) == nullptr) return;
  EndAttempt(input.attempt, OutcomeOf(input), std::move(input.load));
}

// The outcome depends on whether the request was written completely: a host starts to process a request only
// after its last byte has arrived.
void Reducer::On(AttemptFailed& input) {
  const Attempt* attempt = FindInFlight(input.attempt);
  if (attempt == nullptr) return;
  EndAttempt(input.attempt, attempt->written ? Outcome::kReset : Outcome::kConnectFailed);
}

void Reducer::OnTimer(AttemptId id) {
  const Attempt* attempt = FindInFlight(id);
  if (attempt == nullptr) return;
  effects_->push_back(DropAttempt{id});
  EndAttempt(id, attempt->written ? Outcome::kTimeout : Outcome::kConnectFailed);
}

// Ends an attempt; attempts end nowhere else. The first successful answer is the final answer of the request.
void Reducer::EndAttempt(AttemptId id, Outcome outcome, LoadReport load) {
  Request& request = requests_.at(id.request);
  Attempt& attempt = request.attempts[static_cast<std::size_t>(id.number)];
  attempt.in_flight = false;
  --attempts_in_flight_;
  changed_requests_.push_back(id.request);
  if (outcome == Outcome::kOk && request.open) {
    CloseRequest(id.request, request);
    effects_->push_back(DeliverAnswer{id});
  } else if (request.bound_to_attempt && request.open) {
    CloseRequest(id.request, request);
    effects_->push_back(RespondFailed{id.request});
  }
  AttemptEnded ended;
  ended.id = id.request;
  ended.attempt = id.number;
  ended.host = attempt.host;
  ended.outcome = outcome;
  ended.closed = !request.open;
  ended.latency = now_ - attempt.started;
  ended.load = std::move(load);
  Dispatch(std::move(ended));
}

// ---- The counter --------------------------------------------------------------------------------------

void Reducer::Apply(const AddToCounter& action) {
  StartCounterCall(action.name, action.lifetime, action.amount, false);
}

void Reducer::StartCounterCall(CounterName name, Duration lifetime, double amount, bool for_presence) {
  const CallId id{next_call_++};
  calls_[id] = Call{name, now_, false, for_presence};
  timers_.Add(now_ + settings_->counter.timeout, id);
  effects_->push_back(StartCall{id, name, lifetime, amount});
}

void Reducer::OnTimer(PresenceTimer) {
  if (const auto call = presence_->Poll(now_))
    StartCounterCall(call->name, call->lifetime, call->amount, true);
  timers_.Add(presence_->NextDue(now_), PresenceTimer{});
}

// Notifies the gateway logic only if the visible fraction has changed.
void Reducer::EndPresenceCall(CounterName name, std::optional<double> total) {
  const double before = presence_->visible_fraction();
  presence_->OnReply(now_, name, total);
  if (presence_->visible_fraction() != before)
    Dispatch(CounterPartition{presence_->visible_fraction(), presence_->undetected_for()});
}

void Reducer::On(CallWritten& input) {
  const auto it = calls_.find(input.call);
  if (it != calls_.end()) it->second.written = true;
}

void Reducer::On(CallAnswered& input) {
  if (input.status == 200 && input.total) return EndCall(input.call, Outcome::kOk, *input.total);
  if (input.status == 200) return EndCall(input.call, Outcome::kError);  // added, but the total is unknown
  const bool nothing_added = input.status == 503 || input.status == 400 || input.status == 404;
  EndCall(input.call, nothing_added ? Outcome::kQueueFull : Outcome::kTimeout);
}

void Reducer::On(CallFailed& input) {
  const auto it = calls_.find(input.call);
  if (it != calls_.end())
    EndCall(input.call, it->second.written ? Outcome::kTimeout : Outcome::kConnectFailed);
}

// On timeout, only a call that is not completely written is abandoned. A written call is added, and its
// answer holds the true total however late it arrives. The gateway logic limits its own wait for the answer,
// and a failure of the connection ends the call.
void Reducer::OnTimer(CallId id) {
  if (IsObsolete(id)) return;
  effects_->push_back(DropCall{id});
  EndCall(id, Outcome::kConnectFailed);
}

bool Reducer::IsObsolete(CallId id) const {
  const auto it = calls_.find(id);
  return it == calls_.end() || it->second.written;
}

// Ends a counter call; calls end nowhere else. An answer that arrives later is ignored.
void Reducer::EndCall(CallId id, Outcome outcome, double total) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const CounterReply answered{it->second.name, outcome, total, now_ - it->second.started};
  const bool for_presence = it->second.for_presence;
  calls_.erase(it);
  if (for_presence)
    return EndPresenceCall(answered.name, outcome == Outcome::kOk ? std::optional(total) : std::nullopt);
  Dispatch(answered);
}

// ---- Probes -------------------------------------------------------------------------------------------

void Reducer::Apply(const SendProbe& action) {
  const auto host = hosts_.find(action.host);
  const ProbeId id{next_probe_++};
  probes_[id] = Probe{action.host, now_};
  if (host == hosts_.end()) return EndProbe(id, Outcome::kConnectFailed);
  timers_.Add(now_ + settings_->limits.connect_timeout, id);
  effects_->push_back(StartProbe{id, action.host, host->second.address,
                                 settings_->load_reports.mode != LoadReportMode::kNone});
}

void Reducer::On(ProbeAnswered& input) {
  EndProbe(input.probe, input.status == 200 ? Outcome::kOk : Outcome::kQueueFull, std::move(input.load));
}

void Reducer::On(ProbeFailed& input) { EndProbe(input.probe, Outcome::kConnectFailed); }

void Reducer::OnTimer(ProbeId id) {
  if (probes_.find(id) == probes_.end()) return;
  effects_->push_back(DropProbe{id});
  EndProbe(id, Outcome::kTimeout);
}

void Reducer::EndProbe(ProbeId id, Outcome outcome, LoadReport load) {
  const auto it = probes_.find(id);
  if (it == probes_.end()) return;
  ProbeEnded ended{it->second.host, outcome, now_ - it->second.started, std::move(load)};
  probes_.erase(it);
  Dispatch(std::move(ended));
}

// ---- Hosts --------------------------------------------------------------------------------------------

void Reducer::On(MembersReceived& input) {
  const MemberList& members = input.members;
  HostList list;
  list.kind = input.cached ? HostListKind::kCached : members.all ? HostListKind::kFull : HostListKind::kDelta;
  list.version = members.version;
  std::unordered_map<HostId, HostInfo, IdHash> before;
  if (members.all) before.swap(hosts_);
  for (const Member& member : members.members) {
    const HostId host = member.entry.host;
    before.erase(host);
    if (member.entry.state != HostState::kReady) StopUsingHost(host);
    if (member.entry.state == HostState::kRemoved) {
      hosts_.erase(host);
    } else {
      hosts_[host] = HostInfo{member.address, member.entry.state};
    }
    list.entries.push_back(member.entry);
  }
  for (const auto& [host, info] : before) StopUsingHost(host);  // hosts missing from a full list are removed
  Dispatch(std::move(list));
}

// Attempts that wait for a connection to the host may start sending only within the drain grace period.
void Reducer::StopUsingHost(HostId host) {
  effects_->push_back(StopSending{host, now_ + settings_->rules.drain_grace});
  effects_->push_back(CloseIdleConnections{host});
}

void Reducer::On(MembersFetchFailed&) {
  HostList failed;
  failed.kind = HostListKind::kFailed;
  Dispatch(std::move(failed));
}

void Reducer::Apply(const WatchHosts& action) { effects_->push_back(WatchMembers{action.on}); }
void Reducer::Apply(const FetchHostList&) { effects_->push_back(FetchMembers{}); }
void Reducer::Apply(const CloseIdle& action) { effects_->push_back(CloseIdleConnections{action.host}); }

// ---- Timers, peers and log ----------------------------------------------------------------------------

void Reducer::Apply(const SetTimer& action) { timers_.Add(now_ + action.delay, action.token); }
void Reducer::OnTimer(TimerToken token) { Dispatch(TimerFired{token}); }

// The platform's protocol has no messages between gateways yet, so they are dropped and this is logged once.
void Reducer::Apply(const SendToPeer&) {
  if (!std::exchange(peer_message_logged_, true))
    effects_->push_back(WriteLog{"messages between gateways are not supported: dropped"});
}

void Reducer::Apply(const WriteLogLine& action) { effects_->push_back(WriteLog{action.text}); }

}  // namespace curlewdoor
