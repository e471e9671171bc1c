// The decision module. Its interface (settings, events, actions, the class Gateway) is logic.hpp.
// A request passes load shedding, its customer's concurrency limit, the quota lease and the ceiling
// (logic/leases.cpp), host selection, and Send(), the only place that sends. Finish() is the only place that
// refuses or fails a request.
#include "logic.hpp"

#include <algorithm>
#include <cmath>

#include "logic/gateway.hpp"
#include "util/hash.hpp"
#include "util/seconds.hpp"

namespace curlewdoor {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Tuned constants ----------------------------------------------------------------------------------

// Hosts.
constexpr double kMaxImbalance = 1.2;    // times an even part of the limit: the most for one host
constexpr std::size_t kRecentHosts = 8;  // recent in-time hosts that are considered first
constexpr std::size_t kSubsetSize = 20;  // minimum size of the host subset, if there are more
constexpr std::size_t kRandomHosts = 2;  // random hosts considered besides ...
constexpr double kRandomWeight = 1.5;    // ... at this factor of their delay: used when the subset is busy
constexpr double kSlownessStep = 0.1;    // weight of one response in a host's relative slowness
constexpr double kMeanStep = 0.02;       // weight of one response in a class's mean
constexpr double kSlownessMemory = 10;   // seconds: time constant of an unused host's slowness
constexpr double kZoneWeight = 5;        // slowness added for another zone per unit of its price
constexpr Duration kFirstEjection = milliseconds(250);  // a failing host's first ejection, doubling ...
constexpr Duration kLongestEjection = seconds(4);       // ... up to this, so a recovered host returns soon
constexpr double kMaxEjectedPart = 0.5;         // of the hosts: more failures at once have a common cause
constexpr int kEjectAfter = 3;                  // failed or late attempts without a response between them
constexpr double kFailureStep = 0.05;           // weight of one attempt in a host's failure rate
constexpr double kFailureWeight = 4;            // slowness added per failure rate
constexpr Duration kSuccessValid = seconds(5);  // how long a success shows that a host is healthy
constexpr double kStaleStep = 0.1;              // weight of one attempt in stale_failure_rate
constexpr double kLateSlowness = 4;             // recorded for a late attempt; also the maximum for one
constexpr double kRecentWeight = 0.8;  // times the delay of a recent in-time host: others are less certain
constexpr double kColdWeight = 0.4;    // times the delay of a cold host with budget
constexpr double kTriedWeight = 4;     // times the delay of a host that the request already tried
constexpr double kMinCapacity = 0.05;  // a capacity hint of 0 would make the delay infinite
constexpr double kWarmStep = 0.3;      // weight of one second in warm_rate
constexpr double kResubscribe = 1;     // seconds, jittered, until a broken subscription is renewed
constexpr double kColdFloor = 1;  // attempts per second to a cold host by all gateways if nothing is known

// Attempts and shedding.
constexpr double kWaitShare = 1.0 / 16;  // of the shortest latency target: the longest wait for the counter
constexpr double kRetryEarned = 0.2;     // retries earned per first attempt: bounds retry amplification
constexpr double kRetryMax = 20;         // retries saved up
constexpr double kLimitFirst = 4;        // initial limit: attempts per host by all gateways
constexpr double kLimitLate = 2;         // least limit per host where attempts are late
constexpr double kLimitDeviations = 2;   // standard deviations of random arrivals above the even share
constexpr double kLimitGrowth = 0.25;    // growth by a response in time while the limit is used ...
constexpr double kLimitCut = 0.75;       // ... and cut by a late one: balances at one late in four
constexpr double kLimitCutMissed = 1.2;  // further cut by an attempt that missed its latency target
constexpr double kLimitSmall = 4;        // attempts: below this limit the steps shrink with it ...
constexpr double kLimitStepMin = 0.25;   // ... down to this factor, so that it recovers
constexpr double kLimitLeast = 0.5;      // least limit per host where latency targets are missed
constexpr double kLateShare = 0.35;      // of the latency target: slower responses indicate queueing
constexpr double kMinService = 0.05;     // seconds: an earlier client retry only adds load
constexpr double kAdviceSpread = 2;      // service times: spreads the retries of refused clients
constexpr double kShedFrom = 0.4;        // of the limit: from here the least valuable are refused
constexpr double kFullDensity = 1.3;     // times the mean value density: may use all of the limit

void Smooth(double& mean, double value, double step) { mean += (mean == 0 ? 1 : step) * (value - mean); }

}  // namespace

// ---- Customers ----------------------------------------------------------------------------------------

// The result shares ownership of the settings that hold the plan.
std::shared_ptr<const Plan> Gateway::Impl::FindPlan(const std::string& name) const {
  for (const Plan& plan : settings_->plans)
    if (plan.name == name) return {settings_, &plan};
  return nullptr;
}

// Open requests keep the settings they arrived under, and a removed class's statistics until their end.
void Gateway::Impl::ApplySettings(std::shared_ptr<const Settings> settings) {
  settings_ = std::move(settings);
  std::map<std::string, std::shared_ptr<ClassState>> stats;
  Duration wait = Duration::max();
  for (const RequestClass& k : settings_->classes) {
    const auto known = stats_.find(k.name);
    stats[k.name] = known != stats_.end() ? known->second : std::make_shared<ClassState>();
    wait = std::min(wait, FromSeconds(Seconds(k.latency_target) * kWaitShare));
  }
  stats_.swap(stats);
  leases_.Configure(now_, {.gateways = Gateways(),
                           .wait = wait,
                           .largest_request = settings_->quota.largest_request,
                           .counter = settings_->counter.available});
  leases_.UpdatePlans(now_, [this](const std::string& name) { return FindPlan(name); });
}

Customer* Gateway::Impl::FindCustomer(const RequestArrived& event) {
  Customer* known = leases_.Find(now_, event.customer);
  if (known != nullptr && known->plan->name == event.plan) return known;
  const auto plan = FindPlan(event.plan);
  if (plan == nullptr) return nullptr;
  const int size = std::clamp(event.set_size, 1, Gateways());
  const bool in_set =
      ((settings_->own_index - event.set_first) % Gateways() + Gateways()) % Gateways() < size;
  return &leases_.FindOrCreate(now_, event.customer, plan, size, in_set);
}

void Gateway::Impl::Admit(Claim& claim) {
  const RequestId id = claim.id;
  Dispatch(static_cast<Request&>(claim));
  EraseIfDone(id);
}

void Gateway::Impl::Deny(Claim& claim, Duration retry_after) {
  const RequestId id = claim.id;
  Finish(static_cast<Request&>(claim), true, retry_after);
  EraseIfDone(id);
}

bool Gateway::Impl::WithinConcurrencyLimit(Request& r) {
  const Customer& c = *r.customer;
  if (c.plan->max_concurrent <= 0) return true;
  if (c.open < std::max(1.0, std::floor(c.plan->max_concurrent * leases_.Share(c) + 0.5))) return true;
  Finish(r, true, RetryAdvice(r));
  return false;
}

// ---- Host health and choice ---------------------------------------------------------------------------

void Gateway::Impl::On(const HostList& event) {
  if (event.kind == HostListKind::kFailed) {
    if (settings_->discovery == DiscoveryMode::kSubscribe)
      Emit(SetTimer{TimerToken{0}, FromSeconds(kResubscribe * (0.5 + Random()))});
    return;
  }
  if (event.kind != HostListKind::kDelta)
    for (auto& [id, h] : hosts_) h.listed = false;
  for (const HostEntry& entry : event.entries) {
    Host& h = hosts_[entry.host];
    if (h.entry.started != entry.started) {  // a new process: discard statistics of the old one
      // Random budget: gateways that learn of the host together do not send their first attempts together.
      static_cast<HostStats&>(h) = HostStats{.cold_budget = Random(), .cold_at = now_};
    }
    h.entry = entry;
    h.listed = entry.state == HostState::kReady;  // rule 3: a draining or removed host gets nothing
  }
  ready_.clear();
  total_capacity_ = 0;
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    if (it->second.listed) {
      ready_.push_back(&it->second);
      total_capacity_ += Capacity(it->second);
    }
    it = !it->second.listed && it->second.pending == 0 ? hosts_.erase(it) : std::next(it);
  }
  SelectSubset();
}

// Subsetting: as many consecutive gateways as there are slices split a shuffled host list. So each host is in
// equally many subsets, and a change of one host moves each bound by one place. Without it, a hundred
// gateways use every host: more connections than requests, and too few samples per host to detect bad ones.
void Gateway::Impl::SelectSubset() {
  const std::size_t all = ready_.size(), slices = std::max<std::size_t>(1, all / kSubsetSize);
  const auto own = static_cast<std::size_t>(std::max(0, settings_->own_index));
  std::vector<std::pair<std::uint64_t, Host*>> order;
  for (Host* h : ready_) order.push_back({StableHash(std::to_string(h->entry.host.value), own / slices), h});
  std::sort(order.begin(), order.end());
  subset_.clear();
  const std::size_t slot = own % slices, end = (slot + 1) * all / slices;
  for (std::size_t i = slot * all / slices; i < end; ++i) subset_.push_back(order[i].second);
}

bool Gateway::Impl::IsCold(const Host& h) const {
  return h.entry.started != TimePoint{} && now_ < h.entry.started + settings_->rules.cold_time;
}

double Gateway::Impl::ColdCapacity(const Host& h) const {
  const double age = std::max(0.0, Seconds(now_ - h.entry.started) / Seconds(settings_->rules.cold_time));
  return settings_->rules.cold_from + (1 - settings_->rules.cold_from) * std::min(1.0, age);
}

// Rule 4. A cold host gets a warm host's rate from this gateway times its cold capacity. If all gateways do
// so, their sum stays at that capacity, a factor of overload_factor below the bound.
double Gateway::Impl::RefillColdBudget(Host& h) {
  const double rate = std::max(kColdFloor / Gateways(), load_.warm_rate) * ColdCapacity(h);
  h.cold_budget = std::min(1.0, h.cold_budget + rate * Seconds(now_ - h.cold_at));
  h.cold_at = now_;
  return h.cold_budget;
}

double Gateway::Impl::Capacity(const Host& h) const {
  return settings_->capacity_hint == CapacityHint::kNone ? 1 : std::max(kMinCapacity, h.entry.capacity_hint);
}

// Expected delay at a host, in service times of a usual one, from this gateway's own attempts only: reported
// loads are old and send all gateways to the same host at once (measured: worse even if smoothed). A host
// without a recent success is rated at least at the failure rate of such hosts, so hosts that fail together
// are not tried one by one; the rate falls as such hosts succeed.
double Gateway::Impl::ExpectedDelay(const Host& h) const {
  const double slow_age = Seconds(now_ - h.slowness_at) / kSlownessMemory;
  const double slowness = 1 + (h.slowness - 1) * std::exp(-slow_age);
  const double risk =
      now_ < h.success_at + kSuccessValid ? h.failure_rate : std::max(h.failure_rate, load_.stale_failures);
  const double zone = h.entry.zone != settings_->zone ? kZoneWeight * settings_->prices.cross_zone : 0;
  return (slowness + zone) * (1 + h.failures + kFailureWeight * risk) * (1 + h.load) / Capacity(h);
}

bool Gateway::Impl::MayRetryOn(const Request& r, const Host& h) const {
  for (const Attempt& a : r.attempts) {
    if (a.pending && !settings_->limits.second_copies) return false;
    if (!a.may_have_run || r.traits->repeat == RepeatSafety::kSafe) continue;
    if (r.traits->repeat == RepeatSafety::kUnsafe) return false;
    if (now_ >= a.sent + r.traits->dedup_window) return false;
    const auto first = hosts_.find(a.host);
    if (r.traits->dedup_scope == DedupScope::kAll || a.host == h.entry.host) continue;
    if (first == hosts_.end() || first->second.entry.zone != h.entry.zone) return false;
    if (r.traits->dedup_scope == DedupScope::kCell && first->second.entry.cell != h.entry.cell) return false;
  }
  return true;
}

Host* Gateway::Impl::ChooseHost(const Request& r) {
  if (ready_.empty()) return nullptr;
  const std::size_t start = rng_() % ready_.size();
  const Duration longest = MaxEjection();
  Host* best = nullptr;
  double best_delay = 0;
  const auto look_at = [&](Host& h, double weight) {
    if (IsEjected(h, longest)) return;
    // Prevents overload of a host that looks best by chance or by mistake.
    if (h.load > std::max(1.0, kMaxImbalance * load_.work_limit * Capacity(h) / total_capacity_)) return;
    if (!h.listed || !MayRetryOn(r, h) || (IsCold(h) && RefillColdBudget(h) < 1)) return;
    const bool tried = std::any_of(r.attempts.begin(), r.attempts.end(),
                                   [&](const Attempt& a) { return a.host == h.entry.host; });
    const double delay = ExpectedDelay(h) * (tried ? kTriedWeight : 1) * (IsCold(h) ? kColdWeight : weight);
    if (best != nullptr && delay >= best_delay) return;
    best = &h;
    best_delay = delay;
  };
  // With hundreds of gateways each has few samples per host, so it prefers hosts that recently served it
  // well. A slow or failing one loses its place. Harmful if all gateways prefer the same hosts.
  for (HostId id : r.stats->recent_hosts)
    if (const auto it = hosts_.find(id); it != hosts_.end()) look_at(it->second, kRecentWeight);
  // A cold host is paced by its budget (rule 4), not by comparison: where each gateway barely loads a host, a
  // warm one always looks better, and replacements would idle while the warm hosts are overloaded.
  for (Host* h : ready_)
    if (IsCold(*h)) look_at(*h, 1);
  for (std::size_t i = 0; i < subset_.size(); ++i) look_at(*subset_[(start + i) % subset_.size()], 1);
  for (std::size_t i = 0; i < kRandomHosts; ++i) look_at(*ready_[(start + i) % ready_.size()], kRandomWeight);
  return best;
}

// A host that keeps failing or hanging is ejected for growing periods, then gets one attempt at a time. A
// host that fails occasionally gets less traffic.
void Gateway::Impl::RecordFailure(Host& h) {
  h.failure_rate += kFailureStep * (1 - h.failure_rate);
  ++h.failures;
  h.failure_at = now_;
}

bool Gateway::Impl::IsEjected(const Host& h, Duration longest) const {
  if (h.failures < kEjectAfter) return false;
  const Duration rest = std::min(longest, kFirstEjection * (1 << std::min(4, h.failures - kEjectAfter)));
  return now_ < h.failure_at + rest || (h.pending > 0 && longest == kLongestEjection);
}

std::size_t Gateway::Impl::CountEjected(Duration longest) const {
  return static_cast<std::size_t>(
      std::count_if(ready_.begin(), ready_.end(), [&](const Host* h) { return IsEjected(*h, longest); }));
}

// Many failing hosts point at the fleet, the network or this gateway: then ejections are short.
Duration Gateway::Impl::MaxEjection() const {
  const auto ejected = static_cast<double>(CountEjected(kLongestEjection));
  return ejected > kMaxEjectedPart * static_cast<double>(ready_.size()) ? kFirstEjection : kLongestEjection;
}

void Gateway::Impl::RecordSlowness(Host& h, double slowness) {
  h.slowness += kSlownessStep * (std::min(kLateSlowness, slowness) - h.slowness);
  h.slowness_at = now_;
}

void Gateway::Impl::RecordLate(Host& h) {
  AdjustLimit(-kLimitCut, ConcurrencyShare(kLimitLate));
  RecordSlowness(h, kLateSlowness);
  RecordFailure(h);
}

void Gateway::Impl::MarkOverdue() {
  for (auto& [name, state] : stats_) {
    for (; !state->deadlines.empty() && state->deadlines.front().at <= now_; state->deadlines.pop_front()) {
      const auto it = requests_.find(state->deadlines.front().id);
      if (it == requests_.end()) continue;
      Attempt& attempt = it->second.attempts[state->deadlines.front().attempt];
      const auto host = hosts_.find(attempt.host);
      if (!attempt.pending || attempt.started || host == hosts_.end()) continue;
      attempt.late = true;
      pending_work_ = std::max(0.0, pending_work_ - attempt.weight);  // recorded as late: it may be lost
      RecordLate(host->second);
    }
  }
}

void Gateway::Impl::RecordOutcome(Host& h, const Request& r, const Attempt& attempt,
                                  const AttemptEnded& event) {
  h.pending = std::max(0, h.pending - 1);
  h.load = h.pending == 0 ? 0 : std::max(0.0, h.load - attempt.weight);
  if (event.outcome == Outcome::kCancelled || event.outcome == Outcome::kDiscarded) return;
  const bool failed = event.outcome != Outcome::kOk;
  if (attempt.sent >= h.success_at + kSuccessValid)
    load_.stale_failures += kStaleStep * (failed - load_.stale_failures);
  if (attempt.started && !failed) return;  // a stream's duration says nothing about the host
  const bool late = event.latency >= LateThreshold(r);
  if (late && !attempt.late) RecordLate(h);
  if (event.latency >= r.traits->latency_target) AdjustLimit(-kLimitCutMissed, 0);
  if (event.outcome == Outcome::kTimeout) return;
  if (failed) return RecordFailure(h);
  UpdateWarmRate(h);
  h.success_at = now_;
  ClassState& mean = *r.stats;
  const double latency = Seconds(event.latency), expected = ExpectedTime(r);
  Smooth(mean.latency, latency, kMeanStep);
  Smooth(mean.units, r.units, kMeanStep);
  h.failures = 0;  // late or not, it responds
  h.failure_rate -= kFailureStep * h.failure_rate;
  if (late) return;
  if (expected > 0) RecordSlowness(h, latency / expected);
  std::erase(mean.recent_hosts, h.entry.host);
  mean.recent_hosts.push_front(h.entry.host);
  if (mean.recent_hosts.size() > kRecentHosts) mean.recent_hosts.pop_back();
  if (pending_work_ + attempt.weight >= load_.work_limit / 2) AdjustLimit(kLimitGrowth, 0);
}

double Gateway::Impl::EvenShare(double each) const {
  return each * static_cast<double>(ready_.size()) / Gateways();
}

// This gateway's even share of the hosts' concurrency plus a margin for random bursts. Without the margin
// each of hundreds of gateways is limited to one outstanding attempt.
double Gateway::Impl::ConcurrencyShare(double per_host) const {
  const double part = EvenShare(per_host);
  return std::max(1.0, part + kLimitDeviations * std::sqrt(part));
}

// Steps shrink with a small limit. Late work does not cut it below the even share; missed targets do, so that
// hundreds of gateways with one attempt each cannot keep a fleet overloaded.
void Gateway::Impl::AdjustLimit(double step, double least) {
  load_.work_limit =
      std::max(std::min(load_.work_limit, std::max(EvenShare(kLimitLeast), least)),
               load_.work_limit + step * std::clamp(load_.work_limit / kLimitSmall, kLimitStepMin, 1.0));
}

double Gateway::Impl::ExpectedTime(const Request& r) const {
  const ClassState& state = *r.stats;
  return state.units > 0 ? state.latency * r.units / state.units : 0;
}

Duration Gateway::Impl::LateThreshold(const Request& r) const {
  const double own = std::max(0.0, ExpectedTime(r) - r.stats->latency);
  return std::min(r.traits->latency_target,
                  FromSeconds(Seconds(r.traits->latency_target) * kLateShare + own));
}

void Gateway::Impl::UpdateWarmRate(const Host& h) {
  if (!IsCold(h)) ++load_.warm_successes;
  if (now_ - load_.warm_since < seconds(1)) return;
  const auto warm = std::count_if(ready_.begin(), ready_.end(), [&](Host* w) { return !IsCold(*w); });
  if (warm > 0) {  // with no warm host the last rate stays
    const double rate = load_.warm_successes / Seconds(now_ - load_.warm_since) / static_cast<double>(warm);
    Smooth(load_.warm_rate, rate, kWarmStep);
  }
  load_.warm_successes = 0;
  load_.warm_since = now_;
}

// ---- Attempts -----------------------------------------------------------------------------------------

// The only place that sends. Checks every rule on sending, whatever the caller.
bool Gateway::Impl::Send(Request& r, Host& h) {
  if (r.closed || now_ >= r.deadline) return false;  // rule 1
  if (static_cast<int>(r.attempts.size()) >= r.settings->limits.max_attempts) return false;
  if (!MayRetryOn(r, h)) return false;                                      // rule 2
  if (!h.listed) return false;                                              // rule 3
  if (IsCold(h) && RefillColdBudget(h) < 1) return false;                   // rule 4
  if (r.attempts.empty() && !leases_.ChargeCeiling(now_, r)) return false;  // rule 5
  if (IsCold(h)) h.cold_budget -= 1;
  const double weight = load_.mean_units > 0 ? r.units / load_.mean_units : 1;
  r.attempts.push_back({h.entry.host, now_, weight});
  ++h.pending;
  h.load += weight;
  ++r.customer->open;
  pending_work_ += weight;
  r.stats->deadlines.push_back({r.id, r.attempts.size() - 1, now_ + LateThreshold(r)});
  Emit(SendAttempt{r.id, h.entry.host, AttemptExpiry(r)});
  return true;
}

// When an attempt expires: at the latency target if a late response is worthless, which frees the host.
TimePoint Gateway::Impl::AttemptExpiry(const Request& r) const {
  const bool worthless = r.traits->late_worth <= 0 && r.traits->latency_target_stretch <= 0;
  return worthless ? std::min(r.deadline, r.arrived + r.traits->latency_target) : r.deadline;
}

void Gateway::Impl::Dispatch(Request& r) {
  const auto over = leases_.OverCeiling(now_, r);
  Host* h = over ? nullptr : ChooseHost(r);
  if (h != nullptr && Send(r, *h)) return;
  leases_.Release(now_, r);
  Finish(r, true, over ? *over : RetryAdvice(r));
}

bool Gateway::Impl::MayRefuse(const Request& r) const {
  const bool keyed_by_all =
      r.traits->repeat == RepeatSafety::kKeyed && r.traits->dedup_scope == DedupScope::kAll;
  if (r.traits->repeat == RepeatSafety::kSafe || keyed_by_all) return true;
  return std::none_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
}

void Gateway::Impl::Finish(Request& r, bool refuse, Duration retry_after) {
  if (r.closed) return;
  r.closed = true;
  if (!refuse || !MayRefuse(r)) {
    Emit(FailRequest{r.id});
  } else {
    const Duration advice = std::max<Duration>(retry_after, Duration::zero());
    Emit(RefuseRequest{r.id, settings_->limits.retry_after ? advice : Duration::zero()});
  }
  CancelPending(r);
}

void Gateway::Impl::CancelPending(Request& r) {
  if (!settings_->limits.cancel) return;
  for (std::size_t i = 0; i < r.attempts.size(); ++i)
    if (r.attempts[i].pending && !r.attempts[i].started) Emit(CancelAttempt{r.id, static_cast<int>(i)});
}

void Gateway::Impl::EraseIfDone(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.closed) return;
  for (const Attempt& a : it->second.attempts)
    if (a.pending) return;
  requests_.erase(it);
}

void Gateway::Impl::On(const AttemptEnded& event) {
  const auto found = requests_.find(event.id);
  const auto index = static_cast<std::size_t>(event.attempt);
  if (found == requests_.end() || index >= found->second.attempts.size()) return;
  Request& r = found->second;
  Attempt& attempt = r.attempts[index];
  if (!attempt.pending) return;
  attempt.pending = false;
  if (!attempt.late) pending_work_ = std::max(0.0, pending_work_ - attempt.weight);
  const auto host = hosts_.find(event.host);
  if (host != hosts_.end()) RecordOutcome(host->second, r, attempt, event);
  attempt.may_have_run = event.outcome != Outcome::kQueueFull && event.outcome != Outcome::kConnectFailed &&
                         event.outcome != Outcome::kDiscarded;
  --r.customer->open;
  if (event.outcome == Outcome::kOk && settings_->quota.settles) leases_.Settle(now_, r, event.actual_units);
  if (event.closed && !r.closed) {
    r.closed = true;
    CancelPending(r);
  }
  if (!r.closed && !Retry(r)) {
    const bool waiting = std::any_of(r.attempts.begin(), r.attempts.end(), [](auto& a) { return a.pending; });
    if (!waiting) Finish(r, true, RetryAdvice(r));
  }
  EraseIfDone(event.id);
}

// A stream has started: the request is bound to this attempt, and all others are cancelled.
void Gateway::Impl::On(const AttemptStarted& event) {
  const auto found = requests_.find(event.id);
  const auto index = static_cast<std::size_t>(event.attempt);
  if (found == requests_.end() || index >= found->second.attempts.size()) return;
  found->second.attempts[index].started = true;
  CancelPending(found->second);
}

// A retry after an attempt that never ran (connection refused) cost no host any work and uses no retry
// budget. Otherwise requests fail when a zone or a release's old hosts go down.
bool Gateway::Impl::Retry(Request& r) {
  const double expected = r.stats->latency;
  const bool free = !r.attempts.back().may_have_run;
  if ((load_.retry_budget < 1 && !free) || now_ + FromSeconds(expected / 2) >= AttemptExpiry(r)) return false;
  Host* h = ChooseHost(r);
  if (h == nullptr || !Send(r, *h)) return false;
  if (!free) load_.retry_budget -= 1;
  return true;
}

// ---- Shedding -----------------------------------------------------------------------------------------

double Gateway::Impl::ValueDensity(const Request& r) {
  const ClassState& mean = *r.stats;
  const double work = mean.latency > 0 ? mean.latency / std::max(1e-6, mean.units) : 1;
  return r.traits->worth * r.customer->plan->price / work;
}

// Whether the fleet can serve the request in time. A request with almost no time left is refused at once
// (rule 1: no wait for the counter). Near the limit the least valuable requests are refused first.
bool Gateway::Impl::FitsCapacity(const Request& r) {
  const Duration needed = FromSeconds(r.stats->latency / 2);
  if (r.deadline - now_ < std::max(2 * leases_.options().wait, needed)) return false;
  if (load_.work_limit == 0) load_.work_limit = ConcurrencyShare(kLimitFirst);
  const double density = ValueDensity(r);
  Smooth(load_.mean_density, density, kMeanStep);
  const double rank =
      load_.mean_density > 0 ? std::min(1.0, density / (kFullDensity * load_.mean_density)) : 1;
  const double open =
      std::max(std::min(1.0, load_.work_limit), load_.work_limit * (kShedFrom + (1 - kShedFrom) * rank));
  return pending_work_ < open && Random() < open;  // a limit below one attempt admits at random
}

Duration Gateway::Impl::RetryAdvice(const Request& r) {
  return FromSeconds(std::max(kMinService, r.stats->latency) * (1 + kAdviceSpread * Random()));
}

// ---- Event dispatch -----------------------------------------------------------------------------------

void Gateway::Impl::On(const RequestArrived& event) {
  const auto found = std::find_if(settings_->classes.begin(), settings_->classes.end(),
                                  [&](const RequestClass& k) { return k.name == event.request_class; });
  Customer* c = FindCustomer(event);
  // Unknown class or plan. Nothing was sent, so rule 2 allows a refusal.
  if (found == settings_->classes.end() || c == nullptr) {
    Emit(RefuseRequest{event.id});
    return;
  }
  c->set_size = std::max(c->set_size, std::min(event.set_size, settings_->gateways));
  Request& r = requests_[event.id];
  r.id = event.id;
  r.customer = c;
  r.settings = settings_;
  r.traits = &*found;
  r.stats = stats_.at(found->name);
  r.units = event.units;
  r.worth = found->worth;
  r.arrived = now_;
  r.deadline = now_ + event.time_left;
  Smooth(load_.mean_units, r.units, kMeanStep);
  load_.retry_budget = std::min(kRetryMax, load_.retry_budget + kRetryEarned);
  if (!FitsCapacity(r)) {
    Finish(r, true, RetryAdvice(r));
  } else if (WithinConcurrencyLimit(r)) {
    leases_.Acquire(now_, r);
  }
  EraseIfDone(event.id);
}

void Gateway::Impl::On(const RequestAbandoned& event) {
  const auto it = requests_.find(event.id);
  if (it == requests_.end() || it->second.closed) return;
  it->second.closed = true;
  leases_.Cancel(it->second);
  CancelPending(it->second);
  EraseIfDone(event.id);
}

void Gateway::Impl::On(const TimerFired& event) {
  if (event.token.value == 0) return Emit(WatchHosts{true});
  leases_.OnTimer(now_, event.token);
}

void Gateway::Impl::Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  actions_ = &actions;
  if (!started_) {
    started_ = true;
    load_.warm_since = now;
    load_.retry_budget = kRetryMax;
    ApplySettings(settings_);
    if (settings_->discovery == DiscoveryMode::kSubscribe) Emit(WatchHosts{true});
  }
  MarkOverdue();
  std::visit([this](const auto& e) { On(e); }, event);
}

// ---- Upgrades -----------------------------------------------------------------------------------------

GatewaySnapshot Gateway::Impl::ExportState() {
  GatewaySnapshot state{{leases_.state(), load_}, leases_.ExportState(), {}, {}};
  for (const auto& [id, h] : hosts_) state.hosts.push_back({id, h.entry.started, h});
  for (const auto& [name, stats] : stats_) state.classes.push_back({name, *stats});
  return state;
}

void Gateway::Impl::ImportState(const GatewaySnapshot& state) {
  load_ = state.local;
  leases_.ImportState(state.local, state.customers,
                      [this](const std::string& name) { return FindPlan(name); });
  for (const auto& [id, started, host] : state.hosts)
    if (const auto it = hosts_.find(id); it != hosts_.end() && it->second.entry.started == started)
      static_cast<HostStats&>(it->second) = host;
  for (const auto& [name, stats] : state.classes)
    if (const auto it = stats_.find(name); it != stats_.end()) static_cast<ClassStats&>(*it->second) = stats;
}

void Gateway::Impl::ResumeServing(TimePoint now) {
  now_ = std::max(now_, now);
  leases_.ResumeServing(now_);
}

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

void Gateway::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

std::size_t Gateway::ejected_hosts(TimePoint now) const { return impl_->EjectedHosts(now); }

GatewaySnapshot Gateway::ExportState() { return impl_->ExportState(); }
void Gateway::ImportState(const GatewaySnapshot& state) { impl_->ImportState(state); }
void Gateway::ResumeServing(TimePoint now) { impl_->ResumeServing(now); }

}  // namespace curlewdoor
