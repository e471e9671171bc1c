#include "core/reducer.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor {
namespace {

Outcome OutcomeOf(const AttemptAnswered& answer) {
  if (answer.status == 200) return Outcome::kOk;
  const bool turned_away = answer.not_processed && (answer.status == 503 || answer.status == 504);
  return turned_away ? Outcome::kQueueFull : Outcome::kError;
}

}  // namespace

Reducer::Reducer(const Settings& settings, std::uint64_t seed)
    : settings_(std::make_shared<Settings>(settings)), gateway_(settings, seed) {
  if (settings.counter.available && settings.counting.presence_slot > Duration::zero())
    presence_.emplace(settings.counting.presence_slot, seed);
}

std::unique_ptr<Core> MakeReducer(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<Reducer>(settings, seed);
}

void Reducer::Handle(TimePoint now, Input input, std::vector<Effect>& effects) {
  now_ = now;
  effects_ = &effects;
  if (presence_ && !std::exchange(presence_begun_, true)) timers_.Add(presence_->NextDue(now), PresenceDue{});
  std::visit([this](auto& each) { Take(each); }, input);
  for (RequestId id : touched_) ForgetIfDone(id);
  touched_.clear();
}

void Reducer::Take(SettingsTold& input) {
  settings_ = input.settings;
  Tell(SettingsChanged{std::move(input.settings)});
}

void Reducer::Take(TimePassed&) {
  while (const auto timer = timers_.PopDue(now_)) std::visit([this](auto id) { Due(id); }, *timer);
}

std::optional<TimePoint> Reducer::NextDue() {
  timers_.DropFirst(
      [this](const Timer& timer) { return std::visit([this](auto id) { return Ended(id); }, timer); });
  return timers_.NextDue();
}

void Reducer::Tell(Event event) {
  untold_.push_back(std::move(event));
  if (telling_) return;
  telling_ = true;
  for (std::size_t i = 0; i < untold_.size(); ++i) {
    const Event next = std::move(untold_[i]);
    std::vector<Action> actions = std::move(actions_);
    actions.clear();
    gateway_.handle(now_, next, actions);
    for (const Action& action : actions) std::visit([this](const auto& each) { Do(each); }, action);
    actions_ = std::move(actions);
  }
  untold_.clear();
  telling_ = false;
}

// ---- Requests -----------------------------------------------------------------------------------------

void Reducer::Take(RequestRead& input) {
  if (presence_) presence_->RecordArrival(now_);
  Request& request = requests_[input.request.id];
  request.deadline = now_ + input.request.time_left;
  request.time_left = input.request.time_left;
  request.whole = input.whole;
  ++open_requests_;
  Tell(std::move(input.request));
}

// Its time runs from its last byte.
void Reducer::Take(RequestWhole& input) {
  const auto it = requests_.find(input.request);
  if (it == requests_.end() || std::exchange(it->second.whole, true)) return;
  Request& request = it->second;
  request.deadline = now_ + request.time_left;
  for (std::size_t i = 0; i < request.attempts.size(); ++i)
    if (request.attempts[i].out)
      timers_.Add(now_ + request.attempts[i].patience, AttemptId{input.request, static_cast<int>(i)});
}

// For the module it is a stream that has begun: bound to this attempt, and its length tells nothing of the
// host.
void Reducer::Take(UploadBound& input) {
  const Attempt* attempt = FindOut(input.attempt);
  if (attempt == nullptr) return;
  requests_.at(input.attempt.request).bound = true;
  Tell(AttemptStarted{input.attempt.request, input.attempt.number, attempt->host, now_ - attempt->begun});
}

void Reducer::Take(ClientLeft& input) {
  Request* request = FindOpen(input.request);
  if (request == nullptr) return;
  CloseRequest(input.request, *request);
  Tell(RequestAbandoned{input.request});
  if (!request->bound) return;
  for (std::size_t i = 0; i < request->attempts.size(); ++i) {  // the module calls no stream off
    const AttemptId id{input.request, static_cast<int>(i)};
    if (FindOut(id) == nullptr) continue;
    effects_->push_back(DropAttempt{id});
    EndAttempt(id, Outcome::kCancelled);
  }
}

Reducer::Request* Reducer::FindOpen(RequestId id) {
  const auto it = requests_.find(id);
  return it != requests_.end() && it->second.open ? &it->second : nullptr;
}

void Reducer::CloseRequest(RequestId id, Request& request) {
  request.open = false;
  --open_requests_;
  touched_.push_back(id);
}

std::size_t Reducer::undecided() const {
  return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [](const auto& entry) {
    return entry.second.open && entry.second.attempts.empty();
  }));
}

// The one place that gives a request back: it is answered and no attempt of it is out.
void Reducer::ForgetIfDone(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.open) return;
  for (const Attempt& attempt : it->second.attempts)
    if (attempt.out) return;
  requests_.erase(it);
}

void Reducer::Do(const RefuseRequest& action) {
  Request* request = FindOpen(action.id);
  if (request == nullptr) return;
  CloseRequest(action.id, *request);
  effects_->push_back(AnswerRefused{action.id, action.retry_after});
}

void Reducer::Do(const FailRequest& action) {
  Request* request = FindOpen(action.id);
  if (request == nullptr) return;
  CloseRequest(action.id, *request);
  effects_->push_back(AnswerFailed{action.id});
}

// ---- Attempts -----------------------------------------------------------------------------------------

void Reducer::Do(const SendAttempt& action) {
  const auto it = requests_.find(action.id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  const AttemptId id{action.id, static_cast<int>(request.attempts.size())};
  request.attempts.push_back({action.host, now_});
  ++attempts_out_;
  const auto host = hosts_.find(action.host);
  if (!request.open) return EndAttempt(id, Outcome::kDiscarded);
  if (host == hosts_.end()) return EndAttempt(id, Outcome::kConnectFailed);
  const TimePoint expires =
      action.expires == TimePoint{} ? request.deadline : std::min(action.expires, request.deadline);
  request.attempts.back().patience = expires - now_;
  if (request.whole) timers_.Add(expires, id);
  effects_->push_back(StartAttempt{id, action.host, host->second.address, expires});
}

void Reducer::Do(const CancelAttempt& action) {
  const AttemptId id{action.id, action.attempt};
  if (FindOut(id) == nullptr) return;
  effects_->push_back(DropAttempt{id});
  EndAttempt(id, Outcome::kCancelled);
}

Reducer::Attempt* Reducer::FindOut(AttemptId id) {
  const auto it = requests_.find(id.request);
  if (it == requests_.end() || id.number < 0) return nullptr;
  auto& attempts = it->second.attempts;
  const auto number = static_cast<std::size_t>(id.number);
  return number < attempts.size() && attempts[number].out ? &attempts[number] : nullptr;
}

void Reducer::Take(AttemptWritten& input) {
  if (Attempt* attempt = FindOut(input.attempt)) attempt->written = true;
}

void Reducer::Take(AttemptAnswered& input) {
  if (FindOut(input.attempt) == nullptr) return;
  EndAttempt(input.attempt, OutcomeOf(input), std::move(input.load));
}

// Told by what was written: a host begins a request once its last byte has come, and never before.
void Reducer::Take(AttemptBroken& input) {
  const Attempt* attempt = FindOut(input.attempt);
  if (attempt == nullptr) return;
  EndAttempt(input.attempt, attempt->written ? Outcome::kReset : Outcome::kConnectFailed);
}

void Reducer::Due(AttemptId id) {
  const Attempt* attempt = FindOut(id);
  if (attempt == nullptr) return;
  effects_->push_back(DropAttempt{id});
  EndAttempt(id, attempt->written ? Outcome::kTimeout : Outcome::kConnectFailed);
}

// The one place that gives an attempt back. The first good answer is the request's final one.
void Reducer::EndAttempt(AttemptId id, Outcome outcome, LoadReport load) {
  Request& request = requests_.at(id.request);
  Attempt& attempt = request.attempts[static_cast<std::size_t>(id.number)];
  attempt.out = false;
  --attempts_out_;
  touched_.push_back(id.request);
  if (outcome == Outcome::kOk && request.open) {
    CloseRequest(id.request, request);
    effects_->push_back(DeliverAnswer{id});
  } else if (request.bound && request.open) {
    CloseRequest(id.request, request);
    effects_->push_back(AnswerFailed{id.request});
  }
  AttemptEnded ended;
  ended.id = id.request;
  ended.attempt = id.number;
  ended.host = attempt.host;
  ended.outcome = outcome;
  ended.closed = !request.open;
  ended.latency = now_ - attempt.begun;
  ended.load = std::move(load);
  Tell(std::move(ended));
}

// ---- The counter --------------------------------------------------------------------------------------

void Reducer::Do(const AddToCounter& action) {
  StartCountCall(action.name, action.lifetime, action.amount, false);
}

void Reducer::StartCountCall(CounterName name, Duration lifetime, double amount, bool of_presence) {
  const CallId id{next_call_++};
  calls_[id] = Call{name, now_, false, of_presence};
  timers_.Add(now_ + settings_->counter.timeout, id);
  effects_->push_back(StartCall{id, name, lifetime, amount});
}

void Reducer::Due(PresenceDue) {
  if (const auto call = presence_->Poll(now_)) StartCountCall(call->name, call->lifetime, call->amount, true);
  timers_.Add(presence_->NextDue(now_), PresenceDue{});
}

// The module is told of the part only when it has changed.
void Reducer::EndPresenceCall(CounterName name, std::optional<double> total) {
  const double before = presence_->visible_fraction();
  presence_->OnReply(now_, name, total);
  if (presence_->visible_fraction() != before)
    Tell(CounterPartition{presence_->visible_fraction(), presence_->undetected_for()});
}

void Reducer::Take(CallWritten& input) {
  const auto it = calls_.find(input.call);
  if (it != calls_.end()) it->second.written = true;
}

void Reducer::Take(CallAnswered& input) {
  if (input.status == 200 && input.total) return EndCall(input.call, Outcome::kOk, *input.total);
  if (input.status == 200) return EndCall(input.call, Outcome::kError);  // added, to what is not known
  const bool nothing_added = input.status == 503 || input.status == 400 || input.status == 404;
  EndCall(input.call, nothing_added ? Outcome::kQueueFull : Outcome::kTimeout);
}

void Reducer::Take(CallBroken& input) {
  const auto it = calls_.find(input.call);
  if (it != calls_.end())
    EndCall(input.call, it->second.written ? Outcome::kTimeout : Outcome::kConnectFailed);
}

// Only a call that is not written yet is given up: one that was is added, and its answer tells the true total
// however late it comes. The module waits for it no longer than it wants; the connection ends it if it must.
void Reducer::Due(CallId id) {
  if (Ended(id)) return;
  effects_->push_back(DropCall{id});
  EndCall(id, Outcome::kConnectFailed);
}

bool Reducer::Ended(CallId id) const {
  const auto it = calls_.find(id);
  return it == calls_.end() || it->second.written;
}

// The one place that gives a call back. An answer that comes later finds nothing to end.
void Reducer::EndCall(CallId id, Outcome outcome, double total) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const CounterReply answered{it->second.name, outcome, total, now_ - it->second.begun};
  const bool of_presence = it->second.of_presence;
  calls_.erase(it);
  if (of_presence)
    return EndPresenceCall(answered.name, outcome == Outcome::kOk ? std::optional(total) : std::nullopt);
  Tell(answered);
}

// ---- Probes -------------------------------------------------------------------------------------------

void Reducer::Do(const SendProbe& action) {
  const auto host = hosts_.find(action.host);
  const ProbeId id{next_probe_++};
  probes_[id] = Probe{action.host, now_};
  if (host == hosts_.end()) return EndProbe(id, Outcome::kConnectFailed);
  timers_.Add(now_ + settings_->limits.connect_timeout, id);
  effects_->push_back(StartProbe{id, action.host, host->second.address,
                                 settings_->load_reports.mode != LoadReportMode::kNone});
}

void Reducer::Take(ProbeAnswered& input) {
  EndProbe(input.probe, input.status == 200 ? Outcome::kOk : Outcome::kQueueFull, std::move(input.load));
}

void Reducer::Take(ProbeBroken& input) { EndProbe(input.probe, Outcome::kConnectFailed); }

void Reducer::Due(ProbeId id) {
  if (probes_.find(id) == probes_.end()) return;
  effects_->push_back(DropProbe{id});
  EndProbe(id, Outcome::kTimeout);
}

void Reducer::EndProbe(ProbeId id, Outcome outcome, LoadReport load) {
  const auto it = probes_.find(id);
  if (it == probes_.end()) return;
  ProbeEnded ended{it->second.host, outcome, now_ - it->second.begun, std::move(load)};
  probes_.erase(it);
  Tell(std::move(ended));
}

// ---- Hosts --------------------------------------------------------------------------------------------

void Reducer::Take(MembersTold& input) {
  const MemberList& members = input.members;
  HostList list;
  list.kind = input.cached ? HostListKind::kCached : members.all ? HostListKind::kFull : HostListKind::kDelta;
  list.version = members.version;
  std::unordered_map<HostId, HostInfo, IdHash> before;
  if (members.all) before.swap(hosts_);
  for (const Member& member : members.members) {
    const HostId host = member.entry.host;
    before.erase(host);
    if (member.entry.state != HostState::kReady) HostLeaves(host);
    if (member.entry.state == HostState::kRemoved) {
      hosts_.erase(host);
    } else {
      hosts_[host] = HostInfo{member.address, member.entry.state};
    }
    list.entries.push_back(member.entry);
  }
  for (const auto& [host, info] : before) HostLeaves(host);  // a whole list that lacks it has removed it
  Tell(std::move(list));
}

// Attempts that wait for a connection to it may begin their sending within the grace and not later.
void Reducer::HostLeaves(HostId host) {
  effects_->push_back(StopSending{host, now_ + settings_->rules.drain_grace});
  effects_->push_back(CloseKept{host});
}

void Reducer::Take(MembersFailed&) {
  HostList failed;
  failed.kind = HostListKind::kFailed;
  Tell(std::move(failed));
}

void Reducer::Do(const WatchHosts& action) { effects_->push_back(WatchMembers{action.on}); }
void Reducer::Do(const FetchHostList&) { effects_->push_back(FetchMembers{}); }
void Reducer::Do(const CloseIdle& action) { effects_->push_back(CloseKept{action.host}); }

// ---- The rest -----------------------------------------------------------------------------------------

void Reducer::Do(const SetTimer& action) { timers_.Add(now_ + action.delay, action.token); }
void Reducer::Due(TimerToken token) { Tell(TimerFired{token}); }

// The platform's protocol has no messages between gateways yet.
void Reducer::Do(const SendToPeer&) {
  if (!std::exchange(peers_said_, true)) effects_->push_back(WriteLog{"no messages to peers: dropped"});
}

void Reducer::Do(const WriteLogLine& action) { effects_->push_back(WriteLog{action.text}); }

}  // namespace curlewdoor
