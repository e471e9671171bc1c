#include "system/front.hpp"

#include <algorithm>

#include "events/events.hpp"
#include "net/request.hpp"
#include "net/socket_io.hpp"
#include "quota/quota_plan.hpp"
#include "system/headers.hpp"
#include "util/hash.hpp"
#include "util/number.hpp"
#include "util/seconds.hpp"

namespace curlewdoor::system {
namespace {

using retry::AttemptOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Result = retry::AttemptOutcome::Result;

constexpr Duration kConnectTimeout =
    milliseconds(120);                                 // within a region: some round trips and a slot's turn
constexpr Duration kFarCountWait = milliseconds(150);  // for a count that may stand in another region
constexpr Duration kFarConnectTimeout = milliseconds(400);  // where hosts may be in another region
constexpr Duration kKeepIdle = seconds(8);     // connections to hosts, unless they tell otherwise
constexpr std::size_t kMostAhead = 64 * 1024;  // bytes of one long body that are held
constexpr std::size_t kMostPipelined = 8;      // requests of one client ahead of their turn
constexpr std::size_t kMostRequests = 4096;    // open at once; more are declined
constexpr double kMeanStep = 0.05;             // weight of one answer in a route's mean
constexpr double kFirstMean = 0.1;             // seconds, until answers have told

constexpr std::string_view kBodyTooLarge = "too large\n";

// The key of a request, without its scheme.
std::string_view KeyOf(const http::Message& message) {
  std::string_view value = message.Find(kKeyHeader);
  if (value.size() <= kKeyScheme.size() || !http::SameName(value.substr(0, kKeyScheme.size()), kKeyScheme) ||
      value[kKeyScheme.size()] != ' ')
    return {};
  return http::Trimmed(value.substr(kKeyScheme.size() + 1));
}

// A request line may name the whole address (RFC 9112, 3.2.2).
std::string_view OriginForm(std::string_view target) {
  const auto scheme = target.find("://");
  if (target.starts_with('/') || scheme == std::string_view::npos) return target;
  const auto path = target.find('/', scheme + 3);
  return path == std::string_view::npos ? std::string_view("/") : target.substr(path);
}

bool OneRegion(const settings::NodeSettings& node) {
  return std::all_of(node.zones.begin(), node.zones.end(),
                     [&](const auto& zone) { return zone.second == node.region; });
}

curlewdoor::Settings UpstreamSettings(const settings::NodeSettings& node) {
  curlewdoor::Settings settings;
  settings.limits.connect_timeout = OneRegion(node) ? kConnectTimeout : kFarConnectTimeout;
  settings.limits.connection_idle = 2 * kKeepIdle;  // half of it is used
  return settings;
}

}  // namespace

Front::Front(struct ev_loop* loop, const settings::NodeSettings& settings, net::Descriptors& descriptors,
             std::uint64_t seed, AddToCount add, OffsetOf offset, Knowledge knowledge)
    : Door(loop, descriptors, *this, kMostAhead),
      loop_(loop),
      settings_(settings),
      add_(std::move(add)),
      offset_(std::move(offset)),
      knowledge_(std::move(knowledge)),
      rng_(seed),
      upstream_settings_(UpstreamSettings(settings)),
      upstream_(loop, upstream_settings_, descriptors, *this, *this),
      uploads_(*this, upstream_, *this),
      leases_(*this, rng_),
      timer_(loop, [this](int) { OnTimer(); }),
      count_timer_(loop,
                   [this](int) {
                     for (const CounterReply& answer : std::exchange(counted_, {})) OnCount(answer);
                   }),
      salt_(rng_()),
      fresh_(settings.bootstrap) {
  SetGateways(1, 0, 1);
}

Front::~Front() = default;

TimePoint Front::Now() { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }

// ---- Gateways ------------------------------------------------------------------------------------------

bool Front::SetGateways(int gateways, std::size_t index, std::size_t in_zone) {
  in_zone = std::max<std::size_t>(1, in_zone);
  const bool moved = index_ != index || in_zone_ != in_zone;
  gateways_ = std::max(1, gateways);
  index_ = index;
  in_zone_ = in_zone;
  const Duration wait = OneRegion(settings_) ? quota::kCounterWait : kFarCountWait;
  leases_.Configure(Now(), quota::MakeLeaseOptions(gateways_, wait, salt_));
  for (auto& [name, service] : services_) service->budget.SetGateways(gateways_);
  return moved;
}

// ---- Requests -----------------------------------------------------------------------------------------

// After a pause the configuration may be another one by now, and so may who holds which key.
void Front::OnRequest(net::Client& client) {
  last_came_ = Now();
  ++counts_.requests;
  const RequestId id = Wait(client);
  if (policy_ == nullptr || requests_.size() + not_taken_in_.size() >= kMostRequests)
    return Decline(id, 503, milliseconds(200));
  if (MayTakeIn()) return TakeIn(id, last_came_);
  ++figures_.waited;
  not_taken_in_.push_back({id, last_came_});
}

void Front::TakeIn(RequestId id, TimePoint arrived) {
  const http::Message* const read = RequestOf(id);
  if (read == nullptr) return;  // its client has left
  const http::Message& message = *read;
  const auto reject = [&](int status, std::string_view reason) {
    ++counts_.rejected;
    Decline(id, status, {}, reason);
  };
  const policy::Route* route = policy_->FindRoute(message.Find("Host"), OriginForm(message.target()));
  if (route == nullptr) {
    ++figures_.no_route;
    events::Say(events::Event::kNoRoute, std::string(message.target()));
    return reject(404, "no such route\n");
  }
  const policy::Tenant* tenant = nullptr;
  if (policy_->has_tenants()) {
    const std::string_view key = KeyOf(message);
    tenant = key.empty() ? nullptr : policy_->FindKey(key);
    if (tenant == nullptr && !route->public_access) {
      ++figures_.no_key;
      events::Say(events::Event::kKeyUnknown, route->name);
      return reject(401, "no such key\n");
    }
  }
  if (message.method() == HTTP_HEAD || message.method() == HTTP_CONNECT) return reject(405, "not carried\n");
  const std::uint64_t body = std::max(message.length().value_or(0), message.body_bytes());
  if (body > policy_->limits().max_body_bytes) return reject(413, kBodyTooLarge);
  std::uint64_t deadline = 0;
  const std::string_view told = message.Find(kDeadlineHeader);
  if (!told.empty() && !ParseNumber(told, deadline)) return reject(400, "X-Deadline-Remaining: a number\n");

  Request request;
  request.id = id;
  request.policy = policy_;
  request.route = route;
  request.tenant = tenant != nullptr ? tenant->name : std::string();
  request.wire_id = message.Find(kAttemptIdHeader);
  request.arrived = arrived;
  const Duration left =
      told.empty()
          ? Duration(route->timeout)
          : std::min<Duration>(route->timeout, milliseconds(std::min<std::uint64_t>(deadline, 86'400'000)));
  request.expires = request.arrived + left;
  request.course = retry::AttemptSequence(route->type == policy::RouteType::kIdempotent, route->max_attempts);
  request.rank =
      static_cast<int>(std::lower_bound(ranks_.begin(), ranks_.end(), route->priority) - ranks_.begin());
  if (!told.empty())
    request.spent = pressure_.TimeSpent(request.arrived, route->name, milliseconds(deadline));
  requests_.emplace(id, std::move(request));
  RequestArrived came;
  came.id = id;
  Post(RequestRead{std::move(came)});
}

std::size_t Front::pipelined() const { return kMostPipelined; }

// What may run twice may also run for nobody.
bool Front::MayGoAhead(const http::Message& message) const {
  if (policy_ == nullptr || message.method() != HTTP_GET) return false;
  const policy::Route* route = policy_->FindRoute(message.Find("Host"), OriginForm(message.target()));
  return route != nullptr && route->type == policy::RouteType::kIdempotent;
}

void Front::Begin(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  ++figures_.requests;
  deadlines_.emplace(request.expires + kExpiryMargin, id);
  ArmTimer();
  const std::size_t service = split_sequence_.Next(*request.route);
  request.service = &ServiceOf(request.policy->services()[service].name);
  if (!MayFinish(request)) return ConcludeTooLate(request);
  request.service->budget.OnRequest(Now());
  const auto plan = plans_.find(request.tenant);
  if (request.tenant.empty() || plan == plans_.end()) return Dispatch(request);
  request.steps = request.rank + (request.spent + FromSeconds(Mean(request)) > request.route->target_latency);
  if (!pressure_.Allow(request.arrived, request.tenant, plan->second->window, request.steps, Random()))
    return Refuse(request, plan->second->window);
  request.claim.id = id;
  request.claim.units = 1;
  request.claim.arrived = request.arrived;
  leases_.Acquire(Now(), request.claim, request.tenant, plan->second);
}

void Front::Admit(Leases::Claim& claim) {
  const auto it = requests_.find(claim.id);
  if (it == requests_.end()) return;
  ++claim.customer->open;
  it->second.held_open = true;
  Dispatch(it->second);
}

void Front::Deny(Leases::Claim& claim, Duration retry_after) {
  const auto it = requests_.find(claim.id);
  if (it == requests_.end()) return;
  // What a share refuses says nothing of the units that are left elsewhere.
  if (!claim.by_share && it->second.steps == 0)
    pressure_.RecordRefusal(Now(), it->second.tenant, claim.customer->plan->window);
  Refuse(it->second, retry_after);
}

void Front::Refuse(Request& request, Duration retry_after) {
  ++figures_.beyond_quota;
  if (events::Heard(events::Event::kOverQuota)) events::Say(events::Event::kOverQuota, request.tenant);
  const RequestId id = request.id;
  Forget(request);
  Decline(id, 429, std::max<Duration>(retry_after, milliseconds(1)));
}

double Front::Mean(const Request& request) const {
  const auto it = request.service->means.find(request.route->name);
  return it != request.service->means.end() ? it->second : kFirstMean;
}

// A host is chosen by a list that is proved now: after a pause, say, hosts may have left.
void Front::Dispatch(Request& request) {
  if (MaySendNow()) return Attempt(request);
  ++figures_.waited;
  // Those whose clients have left stay until a proof comes: no more of them than requests may be open.
  if (waiting_.size() >= kMostRequests)
    std::erase_if(waiting_, [this](RequestId id) { return !requests_.contains(id); });
  waiting_.push_back(request.id);
}

void Front::SendWaiting() {
  if (!not_taken_in_.empty() && MayTakeIn())
    for (const Arrived& each : std::exchange(not_taken_in_, {})) TakeIn(each.id, each.at);
  if (waiting_.empty() || !MaySendNow()) return;
  Run([this] {
    for (const RequestId id : std::exchange(waiting_, {})) {
      const auto it = requests_.find(id);
      if (it != requests_.end() && !it->second.course.in_progress()) Attempt(it->second);
    }
  });
}

void Front::Attempt(Request& request) {
  const TimePoint now = Now();
  if (!MayFinish(request)) return ConcludeTooLate(request);
  if (request.expires - now < kLeastTimeLeft) return Expire(request);
  const auto host = request.service->chooser.Choose(now, request.tried);
  if (!host) {
    events::Say(events::Event::kNoHost, request.service->name);
    return Conclude(request, ComeBack(request), 502);
  }
  const HostInfo& info = hosts_.at(*host);
  request.host = *host;
  request.instance = info.instance;
  request.sent = now;
  request.tried.push_back(*host);
  request.service->chooser.OnAttemptStart(*host);
  const AttemptId attempt{request.id, request.course.BeginAttempt()};
  if (!uploads_.Start({attempt, *host, info.address, request.expires})) Post(AttemptFailed{attempt});
}

// ---- Attempts -----------------------------------------------------------------------------------------

void Front::Post(Input input) {
  if (running_) {
    inputs_queue_.push_back(std::move(input));
    return;
  }
  Run([&] { Handle(input); });
}

void Front::Handle(const Input& input) {
  using Kind = retry::AttemptEvent::Kind;
  if (const auto* read = std::get_if<RequestRead>(&input)) return Begin(read->request.id);
  if (const auto* written = std::get_if<AttemptWritten>(&input))
    return Hear(written->attempt, Kind::kAllSent);
  if (const auto* broken = std::get_if<AttemptFailed>(&input))
    return Hear(broken->attempt, Kind::kConnectionLost);
  if (const auto* answered = std::get_if<AttemptAnswered>(&input)) return HearAnswer(*answered);
}

Front::Request* Front::Find(RequestId id) {
  const auto it = requests_.find(id);
  return it != requests_.end() ? &it->second : nullptr;
}

// Not by way of Post(): nothing that ends the attempt may be judged before this is known.
void Front::OnBytesSent(const AttemptId& attempt) { Hear(attempt, retry::AttemptEvent::Kind::kBytesSent); }

void Front::Hear(const AttemptId& attempt, retry::AttemptEvent::Kind kind) {
  Request* request = Find(attempt.request);
  if (request == nullptr) return;
  const auto ending = request->course.OnEvent({kind, attempt.number, {}});
  if (ending) EndAttempt(*request, *ending, nullptr);
}

void Front::HearAnswer(const AttemptAnswered& answered) {
  Request* request = Find(answered.attempt.request);
  const http::Message* message = upstream_.current_answer();
  if (request == nullptr || message == nullptr) return;
  retry::HostAnswer answer{.status = answered.status, .not_executed = answered.not_processed};
  answer.matches_request = message->Find(kAttemptIdHeader) == request->wire_id;
  // One without a length is done when its connection ends in order: a reset breaks the attempt, or the
  // stream.
  answer.complete = message->done() || upstream_.stream_begins();
  // One that was coded is not the host's.
  answer.sealed = !message->Find(kSealHeader).empty() && !message->Has("Content-Encoding");
  const auto ending =
      request->course.OnEvent({retry::AttemptEvent::Kind::kAnswered, answered.attempt.number, answer});
  if (ending) EndAttempt(*request, *ending, message);
}

// The attempt that is out, if one is: its connection is closed, so that a late answer reaches nobody.
void Front::GiveUp(Request& request, load_balancing::AttemptFeedback end) {
  const AttemptId attempt{request.id, request.course.attempt()};
  if (!request.course.OnEvent({retry::AttemptEvent::Kind::kAbandoned, attempt.number, {}})) return;
  request.service->chooser.OnAttemptEnd(Now(), request.host, end, 0);
  upstream_.Drop(attempt);
}

void Front::EndAttempt(Request& request, const AttemptOutcome& ending, const http::Message* answer) {
  const TimePoint now = Now();
  Service& service = *request.service;
  const double latency = Seconds(now - request.sent), mean = Mean(request);
  using load_balancing::AttemptFeedback;
  AttemptFeedback end = AttemptFeedback::kFailed;
  if (ending.result == Result::kConnectFailed) end = AttemptFeedback::kConnectFailed;
  if (ending.result == Result::kTimedOut) end = AttemptFeedback::kFailed;
  if (ending.result == Result::kAnswered) {
    if (ending.status == 421) {
      end = AttemptFeedback::kWrongHost;
    } else if (ending.not_executed) {
      end = AttemptFeedback::kOverloaded;
    } else if (ending.sealed && ending.status < 500) {
      end = AttemptFeedback::kAnswered;
    }
  }
  service.chooser.OnAttemptEnd(now, request.host, end, mean > 0 ? latency / mean : 1);
  if (end == AttemptFeedback::kAnswered && ending.status < 300) {
    const auto [it, first] = service.means.try_emplace(request.route->name, latency);
    if (!first) it->second += kMeanStep * (latency - it->second);
  }
  if (end != AttemptFeedback::kAnswered && events::Heard(events::Event::kAttemptFailed))
    events::Say(events::Event::kAttemptFailed,
                service.name + " host " + request.instance + " how " +
                    std::to_string(static_cast<int>(ending.result)) + " status " +
                    std::to_string(ending.status) +
                    (ending.sent == retry::BytesSent::kAll ? " written" : " not written"));
  const bool time = now + FromSeconds(mean / 2) < request.expires;
  switch (request.course.DecideNextStep(ending, service.budget.Allows(now), time)) {
    case retry::NextStep::kForward: {
      const RequestId id = request.id;
      ++figures_.passed;
      Forget(request);
      if (upstream_.stream_begins()) {
        BeginDelivery(id, *answer);
        if (delivers(id)) upstream_.StreamTo(id);  // else its client has just gone
        return;
      }
      return Deliver(id, *answer);
    }
    case retry::NextStep::kRetry:
      ++figures_.again;
      if (retry::MayHaveReachedHost(ending)) service.budget.Spend(now);
      return Dispatch(request);
    case retry::NextStep::kDecline:
    case retry::NextStep::kFail:
      return Conclude(request, ComeBack(request), 502);
  }
}

Duration Front::ComeBack(const Request& request) {
  return FromSeconds(std::clamp(Mean(request), 0.02, 1.0) * (0.3 + Random()));
}

// The one place of our own final answers to requests that were taken in: a promise where it is true, else
// this status.
void Front::Conclude(Request& request, Duration retry_after, int status) {
  const RequestId id = request.id;
  const bool promise = request.course.IsKnownNotExecuted();
  if (promise && request.claim.customer != nullptr) leases_.Release(Now(), request.claim);
  Forget(request);
  if (promise) {
    ++figures_.declined;
    return Decline(id, 503, retry_after);
  }
  ++figures_.failed;
  Fail(id, status);
}

void Front::Forget(Request& request) {
  const RequestId id = request.id;
  if (request.held_open) --request.claim.customer->open;
  deadlines_.erase({request.expires + kExpiryMargin, id});
  uploads_.Forget(id);
  requests_.erase(id);
}

void Front::OnLeft(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  ++figures_.left;
  if (request.claim.customer != nullptr && !request.held_open) leases_.Cancel(request.claim);
  GiveUp(request, load_balancing::AttemptFeedback::kCancelled);
  Forget(request);
}

// A length that isn't told is known as the body comes.
void Front::OnUpload(RequestId id) {
  Request* request = Find(id);
  const http::Message* message = RequestOf(id);
  if (request != nullptr && message != nullptr &&
      message->body_bytes() > request->policy->limits().max_body_bytes)
    return RefuseBody(*request);
  uploads_.Pump(id);
}

void Front::RefuseBody(Request& request) {
  const RequestId id = request.id;
  ++counts_.rejected;
  if (request.claim.customer != nullptr && !request.held_open) leases_.Cancel(request.claim);
  GiveUp(request, load_balancing::AttemptFeedback::kCancelled);
  Forget(request);
  Decline(id, 413, {}, kBodyTooLarge);
}

void Front::OnBound(const AttemptId& attempt) {
  if (const auto it = requests_.find(attempt.request); it != requests_.end())
    it->second.course.MarkBodyReleased();
}

// ---- Times --------------------------------------------------------------------------------------------

void Front::StartTimer(const SetTimer& timer) {
  count_timers_.emplace(Now() + timer.delay, timer.token.value);
  ArmTimer();
}

void Front::ArmTimer() {
  TimePoint due = TimePoint::max();
  if (!deadlines_.empty()) due = deadlines_.begin()->first;
  if (!count_timers_.empty()) due = std::min(due, count_timers_.begin()->first);
  timer_.Stop();
  if (due == TimePoint::max()) return;
  timer_.StartIn(std::max<Duration>(due - Now(), Duration::zero()));
}

void Front::OnTimer() {
  Run([this] {
    const TimePoint now = Now();
    while (!count_timers_.empty() && count_timers_.begin()->first <= now) {
      const TimerToken token{count_timers_.begin()->second};
      count_timers_.erase(count_timers_.begin());
      leases_.OnTimer(now, token);
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      const auto it = requests_.find(deadlines_.begin()->second);
      deadlines_.erase(deadlines_.begin());
      if (it != requests_.end()) Expire(it->second);
    }
  });
  ArmTimer();
}

void Front::Expire(Request& request) {
  ++figures_.expired;
  if (request.claim.customer != nullptr && !request.held_open) leases_.Cancel(request.claim);
  GiveUp(request, load_balancing::AttemptFeedback::kFailed);
  Conclude(request, kExpiredRetryAfter, 504);
}

void Front::OnCount(const CounterReply& answer) {
  Run([&] { leases_.OnCounterReply(Now(), answer); });
}

void Front::CountLater(const CounterReply& answer) {
  counted_.push_back(answer);
  if (!count_timer_.active()) count_timer_.StartIn(Duration::zero());
}

void Front::WriteLog(const WriteLogLine& line) { events::Say(events::Event::kCounterSilent, line.text); }

void Front::KeepHouse() {
  Run([this] {
    CheckTimes();
    upstream_.CloseIdle();
  });
}

void Front::ReapAll() {
  Run([this] {
    RelieveMemory();
    upstream_.RelieveMemory();
  });
  Reap();
  upstream_.Reap();
}

}  // namespace curlewdoor::system
