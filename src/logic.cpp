// The decision module. Its interface (settings, events, actions, the class Gateway) is logic.hpp.
//
// A request passes, in this order: shedding (can the fleet serve it in time?), the open cap of its customer,
// the lease on the customer's quota and the ceiling (logic/leases.cpp), the choice of a host, and Issue(),
// the one place that sends. Refusals and failures leave through Conclude(), the one place that gives final
// answers.
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
constexpr double kUneven = 1.2;          // of an even part of the room: the most that one host holds
constexpr std::size_t kMet = 8;          // hosts that answered in time lately, looked at first
constexpr std::size_t kNear = 20;        // hosts at the least that a gateway keeps to, where there are more
constexpr std::size_t kStrangers = 2;    // others looked at by chance ...
constexpr double kStrangerWeight = 1.5;  // ... times their delay: when those near have work or trouble
constexpr double kLatencyStep = 0.1;     // weight of one answer in a host's relative slowness
constexpr double kMeanStep = 0.02;       // weight of one answer in a class's mean
constexpr double kSlownessMemory = 10;   // seconds until an unvisited host's slowness is mostly forgotten
constexpr double kZoneWeight = 5;        // slowness put on a foreign zone per point of its price
constexpr Duration kRestFirst = milliseconds(250);  // a failing host is left alone, doubling ...
constexpr Duration kRestLongest = seconds(4);       // ... up to this: a returned host is seen again soon
constexpr double kRestBound = 0.5;  // of the hosts: more that fail at once point at the fleet or at us
constexpr int kRestAfter = 3;       // failed or hanging attempts with no answer between them
constexpr double kFailStep = 0.05;  // weight of one attempt in a host's rate of failure
constexpr double kFailWeight = 4;   // slowness put on a host per its rate of failure
constexpr Duration kHeardLately = seconds(5);  // a good answer is so long a sign that a host is well
constexpr double kUnheardStep = 0.1;           // weight of one attempt in how often hosts not heard from fail
constexpr double kLateSlowness = 4;  // slowness booked for a late attempt; also the most that one books
constexpr double kMetWeight = 0.8;   // times the delay of one that answered in time: a doubt about strangers
constexpr double kTurnWeight = 0.4;  // times the delay of a cold host whose turn has come
constexpr double kTriedWeight = 4;   // times the delay of a host that this request was sent to before
constexpr double kLeastSize = 0.05;  // a size hint of zero would make a host look endlessly slow
constexpr double kWarmStep = 0.3;    // weight of one second in what a warm host answers
constexpr double kAskAgain = 1;      // seconds, about, until a broken subscription is asked for again
constexpr double kColdFloor = 1;  // attempts a second to a cold host by all gateways, when nothing is known

// Attempts and shedding.
constexpr double kWaitShare = 1.0 / 16;  // of the shortest aim: the most lost waiting for the counter
constexpr double kRetryEarned = 0.2;     // further attempts earned by a first one: bounds the amplification
constexpr double kRetryMost = 20;        // further attempts saved up
constexpr double kRoomFirst = 4;         // attempts out at one host by all gateways, before anything is known
constexpr double kRoomLeast = 2;         // attempts out at one host by all gateways, however late they are
constexpr double kRoomChance = 2;        // standard deviations of what comes by chance, above the even part
constexpr double kRoomGrown = 0.25;      // by an answer in time while the room is used ...
constexpr double kRoomCut = 0.75;        // ... and cut by a late one: settles where one in four is late
constexpr double kRoomLost = 1.2;        // cut further by an attempt that took all of the aim
constexpr double kRoomFine = 4;          // attempts: the steps shrink with a smaller room ...
constexpr double kRoomSlow = 0.25;       // ... down to this part of them, so that it comes back
constexpr double kRoomLow = 0.5;         // attempts out at one host by all gateways, whatever is lost
constexpr double kLateShare = 0.35;      // of the aim: later answers say that hosts queue
constexpr double kLeastService = 0.05;   // seconds: a return asked for sooner only adds calls
constexpr double kComeBackSpread = 2;    // service times: spreads the return of what was refused
constexpr double kShedFrom = 0.4;        // of the room: from here the least worthy are refused
constexpr double kWorthMost = 1.3;       // times the mean worth for its work: what gets all of the room

void Smooth(double& mean, double value, double step) { mean += (mean == 0 ? 1 : step) * (value - mean); }

}  // namespace

// ---- Customers ----------------------------------------------------------------------------------------

// It keeps the settings that it belongs to.
std::shared_ptr<const Plan> Gateway::Impl::FindPlan(const std::string& name) const {
  for (const Plan& plan : settings_->plans)
    if (plan.name == name) return {settings_, &plan};
  return nullptr;
}

// Settings are a value: an open request holds those it came under, and what is learnt of a class goes with
// its last request.
void Gateway::Impl::Adopt(std::shared_ptr<const Settings> settings) {
  settings_ = std::move(settings);
  std::map<std::string, std::shared_ptr<ClassState>> learnt;
  Duration wait = Duration::max();
  for (const RequestClass& k : settings_->classes) {
    const auto known = learnt_.find(k.name);
    learnt[k.name] = known != learnt_.end() ? known->second : std::make_shared<ClassState>();
    wait = std::min(wait, FromSeconds(Seconds(k.aim) * kWaitShare));
  }
  learnt_.swap(learnt);
  leases_.Configure(now_, {.gateways = Gateways(),
                           .wait = wait,
                           .largest_request = settings_->quota.largest_request,
                           .counter = settings_->counter.available});
  leases_.Replan(now_, [this](const std::string& name) { return FindPlan(name); });
}

Customer* Gateway::Impl::FindCustomer(const RequestArrived& event) {
  Customer* known = leases_.Find(now_, event.customer);
  if (known != nullptr && known->plan->name == event.plan) return known;
  const auto plan = FindPlan(event.plan);
  if (plan == nullptr) return nullptr;
  const int size = std::clamp(event.set_size, 1, Gateways());
  const bool in_set = ((settings_->me - event.set_first) % Gateways() + Gateways()) % Gateways() < size;
  return &leases_.Meet(now_, event.customer, plan, size, in_set);
}

void Gateway::Impl::Admit(Claim& claim) {
  const RequestId id = claim.id;
  Dispatch(static_cast<Request&>(claim));
  Forget(id);
}

void Gateway::Impl::Deny(Claim& claim, Duration retry_after) {
  const RequestId id = claim.id;
  Conclude(static_cast<Request&>(claim), true, retry_after);
  Forget(id);
}

bool Gateway::Impl::UnderOpenCap(Request& r) {
  const Customer& c = *r.customer;
  if (c.plan->open_cap <= 0) return true;
  if (c.open < std::max(1.0, std::floor(c.plan->open_cap * leases_.Share(c) + 0.5))) return true;
  Conclude(r, true, ComeBack(r));
  return false;
}

// ---- Host health and choice ---------------------------------------------------------------------------

void Gateway::Impl::On(const HostList& event) {
  if (event.kind == ListKind::kFailed) {
    if (settings_->discovery == Discovery::kAsk)
      Act(SetTimer{TimerToken{0}, FromSeconds(kAskAgain * (0.5 + Random()))});
    return;
  }
  if (event.kind != ListKind::kDelta)
    for (auto& [id, h] : hosts_) h.listed = false;
  for (const HostEntry& entry : event.entries) {
    Host& h = hosts_[entry.host];
    if (h.entry.started != entry.started) {  // a new process: what was known of the old one is void
      // The budget is by chance: gateways that learn of it together don't send their first together.
      static_cast<HostMemory&>(h) = HostMemory{.cold_budget = Random(), .cold_at = now_};
    }
    h.entry = entry;
    h.listed = entry.state == HostState::kReady;  // rule 3: draining or gone gets nothing from now on
  }
  ready_.clear();
  sizes_ = 0;
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    if (it->second.listed) {
      ready_.push_back(&it->second);
      sizes_ += Size(it->second);
    }
    it = !it->second.listed && it->second.out == 0 ? hosts_.erase(it) : std::next(it);
  }
  PickNear();
}

// As many gateways in sequence as there are slices share out all hosts among them, in an order of their own.
// So each host is near as many gateways as any other, and one that joins or leaves moves each slice's bounds
// by a place. Guards against a hundred gateways that each meet every host: more connections than requests,
// hosts that fail or are slow learnt of a hundred times over, none met often enough to be known.
void Gateway::Impl::PickNear() {
  const std::size_t all = ready_.size(), slices = std::max<std::size_t>(1, all / kNear);
  const auto me = static_cast<std::size_t>(std::max(0, settings_->me));
  std::vector<std::pair<std::uint64_t, Host*>> order;
  for (Host* h : ready_) order.push_back({StableHash(std::to_string(h->entry.host.value), me / slices), h});
  std::sort(order.begin(), order.end());
  near_.clear();
  const std::size_t slot = me % slices, end = (slot + 1) * all / slices;
  for (std::size_t i = slot * all / slices; i < end; ++i) near_.push_back(order[i].second);
}

bool Gateway::Impl::IsCold(const Host& h) const {
  return h.entry.started != TimePoint{} && now_ < h.entry.started + settings_->rules.cold_time;
}

double Gateway::Impl::ColdPart(const Host& h) const {
  const double age = std::max(0.0, Seconds(now_ - h.entry.started) / Seconds(settings_->rules.cold_time));
  return settings_->rules.cold_from + (1 - settings_->rules.cold_from) * std::min(1.0, age);
}

// Rule 4. A cold host gets what a warm one takes from this gateway, times the part it can do. If every
// gateway keeps to that, all of them together stay at the part, a factor of fall_multiple under the bound.
double Gateway::Impl::RefillCold(Host& h) {
  const double rate = std::max(kColdFloor / Gateways(), own_.warm_rate) * ColdPart(h);
  h.cold_budget = std::min(1.0, h.cold_budget + rate * Seconds(now_ - h.cold_at));
  h.cold_at = now_;
  return h.cold_budget;
}

double Gateway::Impl::Size(const Host& h) const {
  return settings_->size_hint == SizeHint::kNone ? 1 : std::max(kLeastSize, h.entry.size_hint);
}

// Expected delay at a host, in service times of a usual one, by this gateway's own attempts only: reported
// loads are old, and all gateways then turn to the same host at once (measured: worse even if smoothed).
//
// A host not heard from lately counts as failing as often as such hosts do, whatever it did before. Guards
// against each of many hosts that went together being tried in turn; it eases as strangers answer.
double Gateway::Impl::Delay(const Host& h) const {
  const double slow_age = Seconds(now_ - h.slowness_at) / kSlownessMemory;
  const double slowness = 1 + (h.slowness - 1) * std::exp(-slow_age);
  const double risk =
      now_ < h.heard_at + kHeardLately ? h.fail_rate : std::max(h.fail_rate, own_.unheard_fails);
  const double zone = h.entry.zone != settings_->zone ? kZoneWeight * settings_->prices.cross_zone : 0;
  return (slowness + zone) * (1 + h.trouble + kFailWeight * risk) * (1 + h.load) / Size(h);
}

bool Gateway::Impl::MayRepeatAt(const Request& r, const Host& h) const {
  for (const Attempt& a : r.attempts) {
    if (a.out && !settings_->limits.second_copies) return false;
    if (!a.may_have_run || r.kind->repeat == Repeat::kSafe) continue;
    if (r.kind->repeat == Repeat::kUnsafe) return false;
    if (now_ >= a.sent + r.kind->repeat_window) return false;
    const auto first = hosts_.find(a.host);
    if (r.kind->group == RepeatGroup::kAll || a.host == h.entry.host) continue;
    if (first == hosts_.end() || first->second.entry.zone != h.entry.zone) return false;
    if (r.kind->group == RepeatGroup::kCell && first->second.entry.cell != h.entry.cell) return false;
  }
  return true;
}

Host* Gateway::Impl::Choose(const Request& r) {
  if (ready_.empty()) return nullptr;
  const std::size_t start = rng_() % ready_.size();
  const Duration longest = LongestRest();
  Host* best = nullptr;
  double best_delay = 0;
  const auto look_at = [&](Host& h, double weight) {
    if (Resting(h, longest)) return;
    // Guards against a host that looks best, by chance or mistake, being pushed over its limit.
    if (h.load > std::max(1.0, kUneven * own_.room * Size(h) / sizes_)) return;
    if (!h.listed || !MayRepeatAt(r, h) || (IsCold(h) && RefillCold(h) < 1)) return;
    const bool tried = std::any_of(r.attempts.begin(), r.attempts.end(),
                                   [&](const Attempt& a) { return a.host == h.entry.host; });
    const double delay = Delay(h) * (tried ? kTriedWeight : 1) * (IsCold(h) ? kTurnWeight : weight);
    if (best != nullptr && delay >= best_delay) return;
    best = &h;
    best_delay = delay;
  };
  // With hundreds of gateways each meets a host too seldom to know it. It returns to few that served it
  // well; one that gets slow or fails loses its place. Harms if all keep to the same.
  for (HostId id : r.learnt->met)
    if (const auto it = hosts_.find(id); it != hosts_.end()) look_at(it->second, kMetWeight);
  // A cold host is paced by its own budget (rule 4), not by how it compares: where each gateway hardly loads
  // a host, a warm one would always look better, and replacements would idle while the warm ones drown.
  for (Host* h : ready_)
    if (IsCold(*h)) look_at(*h, 1);
  for (std::size_t i = 0; i < near_.size(); ++i) look_at(*near_[(start + i) % near_.size()], 1);
  for (std::size_t i = 0; i < kStrangers; ++i) look_at(*ready_[(start + i) % ready_.size()], kStrangerWeight);
  return best;
}

// A host that keeps failing, or hangs, rests for longer and longer spells, then gets one attempt at a time.
// Guards against hosts that fail fast, hang or are gone. One that fails now and then is given less.
void Gateway::Impl::NoteTrouble(Host& h) {
  h.fail_rate += kFailStep * (1 - h.fail_rate);
  ++h.trouble;
  h.trouble_at = now_;
}

bool Gateway::Impl::Resting(const Host& h, Duration longest) const {
  if (h.trouble < kRestAfter) return false;
  const Duration rest = std::min(longest, kRestFirst * (1 << std::min(4, h.trouble - kRestAfter)));
  return now_ < h.trouble_at + rest || (h.out > 0 && longest == kRestLongest);
}

std::size_t Gateway::Impl::CountResting(Duration longest) const {
  return static_cast<std::size_t>(
      std::count_if(ready_.begin(), ready_.end(), [&](const Host* h) { return Resting(*h, longest); }));
}

// Many hosts failing at once point at the fleet, the network or this gateway: then none rests for long.
Duration Gateway::Impl::LongestRest() const {
  const auto resting = static_cast<double>(CountResting(kRestLongest));
  return resting > kRestBound * static_cast<double>(ready_.size()) ? kRestFirst : kRestLongest;
}

void Gateway::Impl::NoteSlowness(Host& h, double slowness) {
  h.slowness += kLatencyStep * (std::min(kLateSlowness, slowness) - h.slowness);
  h.slowness_at = now_;
}

void Gateway::Impl::NoteLate(Host& h) {
  MoveRoom(-kRoomCut, Room(kRoomLeast));
  NoteSlowness(h, kLateSlowness);
  NoteTrouble(h);
}

void Gateway::Impl::SweepDue() {
  for (auto& [name, state] : learnt_) {
    for (; !state->due.empty() && state->due.front().at <= now_; state->due.pop_front()) {
      const auto it = requests_.find(state->due.front().id);
      if (it == requests_.end()) continue;
      Attempt& attempt = it->second.attempts[state->due.front().attempt];
      const auto host = hosts_.find(attempt.host);
      if (!attempt.out || attempt.started || host == hosts_.end()) continue;
      attempt.late = true;
      out_now_ = std::max(0.0, out_now_ - attempt.weight);  // noted: from here on it may as well be lost
      NoteLate(host->second);
    }
  }
}

void Gateway::Impl::NoteOutcome(Host& h, const Request& r, const Attempt& attempt,
                                const AttemptEnded& event) {
  h.out = std::max(0, h.out - 1);
  h.load = h.out == 0 ? 0 : std::max(0.0, h.load - attempt.weight);
  if (event.outcome == Outcome::kCancelled || event.outcome == Outcome::kMoot) return;
  const bool failed = event.outcome != Outcome::kOk;
  if (attempt.sent >= h.heard_at + kHeardLately)
    own_.unheard_fails += kUnheardStep * (failed - own_.unheard_fails);
  if (attempt.started && !failed) return;  // how long a stream ran tells nothing
  const bool late = event.latency >= LateAfter(r);
  if (late && !attempt.late) NoteLate(h);
  if (event.latency >= r.kind->aim) MoveRoom(-kRoomLost, 0);
  if (event.outcome == Outcome::kTimeout) return;
  if (failed) return NoteTrouble(h);
  NoteWarmRate(h);
  h.heard_at = now_;
  ClassState& mean = *r.learnt;
  const double latency = Seconds(event.latency), expected = Expected(r);
  Smooth(mean.latency, latency, kMeanStep);
  Smooth(mean.units, r.units, kMeanStep);
  h.trouble = 0;  // late or not, it answers
  h.fail_rate -= kFailStep * h.fail_rate;
  if (late) return;
  if (expected > 0) NoteSlowness(h, latency / expected);
  std::erase(mean.met, h.entry.host);
  mean.met.push_front(h.entry.host);
  if (mean.met.size() > kMet) mean.met.pop_back();
  if (out_now_ + attempt.weight >= own_.room / 2) MoveRoom(kRoomGrown, 0);
}

double Gateway::Impl::EvenPart(double each) const {
  return each * static_cast<double>(ready_.size()) / Gateways();
}

// This gateway's part of what the hosts may have in work, and above it what requests that meet by chance
// need. Guards against hundreds of gateways of which each may have one attempt out and none more.
double Gateway::Impl::Room(double per_host) const {
  const double part = EvenPart(per_host);
  return std::max(1.0, part + kRoomChance * std::sqrt(part));
}

// Steps are a part of a small room. What comes late leaves the even part; only work that missed its aim takes
// more. Guards against hundreds of gateways that keep an overloaded fleet so with one attempt each.
void Gateway::Impl::MoveRoom(double step, double least) {
  own_.room = std::max(std::min(own_.room, std::max(EvenPart(kRoomLow), least)),
                       own_.room + step * std::clamp(own_.room / kRoomFine, kRoomSlow, 1.0));
}

double Gateway::Impl::Expected(const Request& r) const {
  const ClassState& state = *r.learnt;
  return state.units > 0 ? state.latency * r.units / state.units : 0;
}

Duration Gateway::Impl::LateAfter(const Request& r) const {
  const double own = std::max(0.0, Expected(r) - r.learnt->latency);
  return std::min(r.kind->aim, FromSeconds(Seconds(r.kind->aim) * kLateShare + own));
}

void Gateway::Impl::NoteWarmRate(const Host& h) {
  if (!IsCold(h)) ++own_.warm_answers;
  if (now_ - own_.warm_since < seconds(1)) return;
  const auto warm = std::count_if(ready_.begin(), ready_.end(), [&](Host* w) { return !IsCold(*w); });
  if (warm > 0) {  // with all of them cold, what is known of the warm still holds
    const double rate = own_.warm_answers / Seconds(now_ - own_.warm_since) / static_cast<double>(warm);
    Smooth(own_.warm_rate, rate, kWarmStep);
  }
  own_.warm_answers = 0;
  own_.warm_since = now_;
}

// ---- Attempts -----------------------------------------------------------------------------------------

// The one place that sends. Every rule on sending is checked here, whatever led to it.
bool Gateway::Impl::Issue(Request& r, Host& h) {
  if (r.closed || now_ >= r.deadline) return false;  // rule 1
  if (static_cast<int>(r.attempts.size()) >= r.under->limits.max_attempts) return false;
  if (!MayRepeatAt(r, h)) return false;                                   // rule 2
  if (!h.listed) return false;                                            // rule 3
  if (IsCold(h) && RefillCold(h) < 1) return false;                       // rule 4
  if (r.attempts.empty() && !leases_.PassCeiling(now_, r)) return false;  // rule 5
  if (IsCold(h)) h.cold_budget -= 1;
  const double weight = own_.mean_units > 0 ? r.units / own_.mean_units : 1;
  r.attempts.push_back({h.entry.host, now_, weight});
  ++h.out;
  h.load += weight;
  ++r.customer->open;
  out_now_ += weight;
  r.learnt->due.push_back({r.id, r.attempts.size() - 1, now_ + LateAfter(r)});
  Act(SendAttempt{r.id, h.entry.host, GiveUpAt(r)});
  return true;
}

// When an attempt is given up: at the aim where a late answer is worth nothing, so that it frees the host.
TimePoint Gateway::Impl::GiveUpAt(const Request& r) const {
  const bool worthless = r.kind->late_worth <= 0 && r.kind->aim_stretch <= 0;
  return worthless ? std::min(r.deadline, r.arrived + r.kind->aim) : r.deadline;
}

void Gateway::Impl::Dispatch(Request& r) {
  const auto over = leases_.OverCeiling(now_, r);
  Host* h = over ? nullptr : Choose(r);
  if (h != nullptr && Issue(r, *h)) return;
  leases_.Return(now_, r);
  Conclude(r, true, over ? *over : ComeBack(r));
}

bool Gateway::Impl::MayRefuse(const Request& r) const {
  const bool keyed_by_all = r.kind->repeat == Repeat::kKeyed && r.kind->group == RepeatGroup::kAll;
  if (r.kind->repeat == Repeat::kSafe || keyed_by_all) return true;
  return std::none_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
}

void Gateway::Impl::Conclude(Request& r, bool refuse, Duration retry_after) {
  if (r.closed) return;
  r.closed = true;
  if (!refuse || !MayRefuse(r)) {
    Act(Fail{r.id});
  } else {
    const Duration advice = std::max<Duration>(retry_after, Duration::zero());
    Act(Refuse{r.id, settings_->limits.retry_after ? advice : Duration::zero()});
  }
  CancelOut(r);
}

void Gateway::Impl::CancelOut(Request& r) {
  if (!settings_->limits.cancel) return;
  for (std::size_t i = 0; i < r.attempts.size(); ++i)
    if (r.attempts[i].out && !r.attempts[i].started) Act(CancelAttempt{r.id, static_cast<int>(i)});
}

void Gateway::Impl::Forget(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.closed) return;
  for (const Attempt& a : it->second.attempts)
    if (a.out) return;
  requests_.erase(it);
}

void Gateway::Impl::On(const AttemptEnded& event) {
  const auto found = requests_.find(event.id);
  const auto index = static_cast<std::size_t>(event.attempt);
  if (found == requests_.end() || index >= found->second.attempts.size()) return;
  Request& r = found->second;
  Attempt& attempt = r.attempts[index];
  if (!attempt.out) return;
  attempt.out = false;
  if (!attempt.late) out_now_ = std::max(0.0, out_now_ - attempt.weight);
  const auto host = hosts_.find(event.host);
  if (host != hosts_.end()) NoteOutcome(host->second, r, attempt, event);
  attempt.may_have_run = event.outcome != Outcome::kFull && event.outcome != Outcome::kConnectFailed &&
                         event.outcome != Outcome::kMoot;
  --r.customer->open;
  if (event.outcome == Outcome::kOk && settings_->quota.settles) leases_.Settle(now_, r, event.true_units);
  if (event.closed && !r.closed) {
    r.closed = true;
    CancelOut(r);
  }
  if (!r.closed && !TryAgain(r)) {
    const bool waiting = std::any_of(r.attempts.begin(), r.attempts.end(), [](auto& a) { return a.out; });
    if (!waiting) Conclude(r, true, ComeBack(r));
  }
  Forget(event.id);
}

// A stream has begun: the request is bound to this attempt, any other is called off.
void Gateway::Impl::On(const AttemptStarted& event) {
  const auto found = requests_.find(event.id);
  const auto index = static_cast<std::size_t>(event.attempt);
  if (found == requests_.end() || index >= found->second.attempts.size()) return;
  found->second.attempts[index].started = true;
  CancelOut(found->second);
}

// What never ran, such as an attempt whose connection was refused, cost no host any work, and the next one
// takes nothing from the budget. Guards against requests given up while a zone or a release's old hosts go.
bool Gateway::Impl::TryAgain(Request& r) {
  const double expected = r.learnt->latency;
  const bool free = !r.attempts.back().may_have_run;
  if ((own_.retry_budget < 1 && !free) || now_ + FromSeconds(expected / 2) >= GiveUpAt(r)) return false;
  Host* h = Choose(r);
  if (h == nullptr || !Issue(r, *h)) return false;
  if (!free) own_.retry_budget -= 1;
  return true;
}

// ---- Shedding -----------------------------------------------------------------------------------------

double Gateway::Impl::Density(const Request& r) {
  const ClassState& mean = *r.learnt;
  const double work = mean.latency > 0 ? mean.latency / std::max(1e-6, mean.units) : 1;
  return r.kind->worth * r.customer->plan->price / work;
}

// Whether it can be served in time. A late try may come with next to no time left (guards rule 1: it never
// waits for the counter). When the fleet's room runs out, the least worthy go first.
bool Gateway::Impl::Fits(const Request& r) {
  const Duration needed = FromSeconds(r.learnt->latency / 2);
  if (r.deadline - now_ < std::max(2 * leases_.options().wait, needed)) return false;
  if (own_.room == 0) own_.room = Room(kRoomFirst);
  const double density = Density(r);
  Smooth(own_.mean_density, density, kMeanStep);
  const double rank = own_.mean_density > 0 ? std::min(1.0, density / (kWorthMost * own_.mean_density)) : 1;
  const double open = std::max(std::min(1.0, own_.room), own_.room * (kShedFrom + (1 - kShedFrom) * rank));
  return out_now_ < open && Random() < open;  // a room below one attempt is used by chance
}

Duration Gateway::Impl::ComeBack(const Request& r) {
  return FromSeconds(std::max(kLeastService, r.learnt->latency) * (1 + kComeBackSpread * Random()));
}

// ---- Event dispatch -----------------------------------------------------------------------------------

void Gateway::Impl::On(const RequestArrived& event) {
  const auto kind = std::find_if(settings_->classes.begin(), settings_->classes.end(),
                                 [&](const RequestClass& k) { return k.name == event.request_class; });
  Customer* c = FindCustomer(event);
  // Neither quota nor repeat rules are known. Nothing of it was ever sent, so rule 2 allows the refusal.
  if (kind == settings_->classes.end() || c == nullptr) {
    Act(Refuse{event.id});
    return;
  }
  c->set_size = std::max(c->set_size, std::min(event.set_size, settings_->gateways));
  Request& r = requests_[event.id];
  r.id = event.id;
  r.customer = c;
  r.under = settings_;
  r.kind = &*kind;
  r.learnt = learnt_.at(kind->name);
  r.units = event.units;
  r.worth = kind->worth;
  r.arrived = now_;
  r.deadline = now_ + event.time_left;
  Smooth(own_.mean_units, r.units, kMeanStep);
  own_.retry_budget = std::min(kRetryMost, own_.retry_budget + kRetryEarned);
  if (!Fits(r)) {
    Conclude(r, true, ComeBack(r));
  } else if (UnderOpenCap(r)) {
    leases_.Ask(now_, r);
  }
  Forget(event.id);
}

void Gateway::Impl::On(const RequestGone& event) {
  const auto it = requests_.find(event.id);
  if (it == requests_.end() || it->second.closed) return;
  it->second.closed = true;
  leases_.OnGone(it->second);
  CancelOut(it->second);
  Forget(event.id);
}

void Gateway::Impl::On(const TimerFired& event) {
  if (event.token.value == 0) return Act(Watch{true});
  leases_.OnTimer(now_, event.token);
}

void Gateway::Impl::Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  out_ = &actions;
  if (!started_) {
    started_ = true;
    own_.warm_since = now;
    own_.retry_budget = kRetryMost;
    Adopt(settings_);
    if (settings_->discovery == Discovery::kAsk) Act(Watch{true});
  }
  SweepDue();
  std::visit([this](const auto& e) { On(e); }, event);
}

// ---- Upgrades -----------------------------------------------------------------------------------------

GatewayMemory Gateway::Impl::HandOn() {
  GatewayMemory memory{{leases_.memory(), own_}, leases_.HandOn(), {}, {}};
  for (const auto& [id, h] : hosts_) memory.hosts.push_back({id, h.entry.started, h});
  for (const auto& [name, learnt] : learnt_) memory.classes.push_back({name, *learnt});
  return memory;
}

void Gateway::Impl::TakeOver(const GatewayMemory& memory) {
  own_ = memory.own;
  leases_.TakeOver(memory.own, memory.customers, [this](const std::string& name) { return FindPlan(name); });
  for (const auto& [id, started, host] : memory.hosts)
    if (const auto it = hosts_.find(id); it != hosts_.end() && it->second.entry.started == started)
      static_cast<HostMemory&>(it->second) = host;
  for (const auto& [name, learnt] : memory.classes)
    if (const auto it = learnt_.find(name); it != learnt_.end())
      static_cast<ClassMemory&>(*it->second) = learnt;
}

void Gateway::Impl::ServeAgain(TimePoint now) {
  now_ = std::max(now_, now);
  leases_.ServeAgain(now_);
}

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

void Gateway::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

std::size_t Gateway::resting(TimePoint now) const { return impl_->Resting(now); }

GatewayMemory Gateway::HandOn() { return impl_->HandOn(); }
void Gateway::TakeOver(const GatewayMemory& memory) { impl_->TakeOver(memory); }
void Gateway::ServeAgain(TimePoint now) { impl_->ServeAgain(now); }

}  // namespace curlewdoor
