// Quota part of the decision module: leases, windows, shares, ceilings. Its interface is leases.hpp.
#include "logic/leases.hpp"

#include <cmath>

#include "util/hash.hpp"
#include "util/seconds.hpp"

namespace curlewdoor {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Tuned constants ----------------------------------------------------------------------------------

// Leases and windows.
constexpr double kFirstLease = 1;               // units: counts exactly until the customer is busy
constexpr double kLeaseCap = 1.0 / 4;           // of a window's quota / set size: bounds units idle in leases
constexpr int kEarlyPart = 4;                   // a lease spent in under a fourth of the window doubles
constexpr std::size_t kMaxCustomers = 100'000;  // table size, about 400 bytes each
constexpr Duration kForgetAfter = seconds(20);  // most customers unseen for this time do not return

// Share fallback.
constexpr double kSharePrior = 1.0 / 4;  // of a window's quota: weight of the initial even share
constexpr double kShareFloor = 0.02;     // set by the specification: no gateway is starved for good
const double Leases::kShareMemory = 2;   // windows: older use says little about the current routing
constexpr int kFailuresAllowed = 3;      // failed calls in a row; one or two are chance
constexpr Duration kProbeInterval = milliseconds(200);  // between probes of an unresponsive counter
constexpr double kCallRateMin = 100;     // calls per second by all gateways that overload no counter
constexpr double kCallRateFirst = 1000;  // initial calls per second by all gateways: a small store's capacity
constexpr double kMinCounted = 0.2;      // of the use: below this, too little to estimate siblings by
constexpr double kMinVisible = 0.01;     // of a quota: least for one side of a partitioned counter
constexpr double kCallTokens = 4;        // calls saved up: requests come in twos and threes by chance ...
constexpr double kCallBurst = 0.25;      // ... plus the calls of this many seconds
constexpr double kCallRateGrowth = 1.04;       // factor on the call rate for an answered call ...
constexpr double kCallRateCut = 0.7;           // ... and for an unanswered one: balances at one in ten
constexpr double kFullStake = 1.3;             // times the mean stake: may use the last call token
constexpr double kUsageStep = 0.02;            // weight of one claim in the smoothed means
constexpr Duration kLogInterval = seconds(1);  // between log lines

Leases::Leases(Port& port, std::mt19937_64& rng) : port_(port), rng_(rng), customers_(kMaxCustomers) {}

void Leases::Configure(TimePoint now, const Options& options) {
  now_ = now;
  options_ = options;
  if (std::exchange(configured_, true)) return;
  state_.last_eviction_at = state_.call_tokens_at = now;
  state_.call_rate = kCallRateFirst / Gateways();
  state_.call_tokens = kCallTokens + kCallBurst * state_.call_rate;
}

// ---- Customers ----------------------------------------------------------------------------------------

Duration Leases::Window(const Plan& plan) const {
  return std::max<Duration>(
      plan.window > Duration::zero() ? plan.window : FromSeconds(plan.burst / plan.rate), milliseconds(1));
}

Duration Leases::RefillTime(const Plan& plan) const {
  const double ceiling = plan.ceiling_rate > 0 ? plan.ceiling_burst / plan.ceiling_rate : 0;
  return std::max({kForgetAfter, FromSeconds(ceiling), plan.rate > 0 ? 2 * Window(plan) : kForgetAfter});
}

Leases::Customer* Leases::Find(TimePoint now, const std::string& name) {
  now_ = now;
  Customer* known = customers_.Find(name);
  if (known != nullptr) known->seen_at = now;
  return known;
}

Leases::Customer& Leases::FindOrCreate(TimePoint now, const std::string& name,
                                       std::shared_ptr<const Plan> plan, int set_size, bool in_set) {
  Customer* known = Find(now, name);
  if (known != nullptr && known->plan->name == plan->name) {
    known->set_size = set_size;
    if (known->plan == plan) return *known;
    const double before = Burst(*known);
    SetPlan(*known, std::move(plan));
    known->level += Burst(*known) - before;  // spent units stay spent
    return *known;
  }
  if (known != nullptr) {  // another plan: a new window and, by rule 5, empty ceiling tokens
    known->plan = std::move(plan);
    known->window = -1;
    known->leased = known->ceiling = 0;
    known->ceiling_at = now_;
    return *known;
  }
  Customer c;
  c.name = name;
  c.lease_size = kFirstLease;
  c.set_size = set_size;
  c.in_set = in_set;
  c.total_use = plan->burst * kSharePrior;
  c.local_use = c.total_use / c.set_size;
  c.usage_at = c.seen_at = now_;
  c.plan = std::move(plan);
  // Rule 5: an earlier process, or an evicted entry, may have spent this gateway's part of the ceiling. So
  // the tokens start empty at that time and have refilled since.
  c.ceiling_at = state_.last_eviction_at;
  const auto idle = [](const Customer& e) { return !e.calling && e.waiting.empty() && e.open == 0; };
  // Keeps one-time customers from filling the table. Their quotas and ceilings are full: nothing is lost.
  const auto stale = [&](const Customer& e) { return idle(e) && now_ >= e.seen_at + RefillTime(*e.plan); };
  for (int i = 0; i < 2 && customers_.EvictOldest(stale); ++i) continue;  // more are evicted than added
  auto [added, evicted] = customers_.Insert(name, std::move(c), idle);
  if (evicted) state_.last_eviction_at = now_;
  return *added;
}

void Leases::UpdatePlans(TimePoint now, const FindPlan& find) {
  now_ = now;
  customers_.ForEach([&](Customer& c) {
    if (auto plan = find(c.plan->name)) SetPlan(c, std::move(plan));  // else the old plan stays
  });
}

// Spent units stay spent; the new plan's refill applies from now on.
void Leases::SetPlan(Customer& c, std::shared_ptr<const Plan> plan) {
  if (*plan != *c.plan) {
    if (c.window >= 0) Charge(c, 0, 0);
    RefillCeiling(c);
    c.plan_changed_at = now_;
  }
  c.plan = std::move(plan);
}

// ---- Leases and windows -------------------------------------------------------------------------------

// Charges units to the quota: the siblings' since the last charge, and `units` now. Unless windows are fixed,
// the quota refills evenly, as the plan promises, not in full at each edge: that would refuse while half has
// refilled and admit twice the quota across an edge. Unseen use of siblings makes it err towards admitting.
void Leases::Charge(Customer& c, double units, double by_others) {
  c.level = std::min(Burst(c), c.level + Refill(c) - by_others) - units;
  c.level_at = now_;
}

// While the counter is partitioned (CounterPartition, where presence is counted), each side gives out only
// its part of the refill, so the quota is not given out once per side. Both sides saw what was left and
// admitted as if alone until detection, so the other side's part of both is removed. Harmful, until clients
// have moved, where dead gateways had more of a customer's requests than their part.
void Leases::ApplyPartition(Customer& c) {
  if (c.visible_fraction == state_.visible_fraction) return;
  Charge(c, 0, 0);
  if (state_.visible_fraction < c.visible_fraction) {
    const double kept = state_.visible_fraction / c.visible_fraction;
    const double used =
        c.total_use / (kShareMemory * Seconds(Window(*c.plan))) * Seconds(state_.undetected_for);
    c.level = std::max(0.0, c.level) * kept + std::min(0.0, c.level) - (1 - kept) * used;
  }
  c.visible_fraction = state_.visible_fraction;
}

// Moves the customer to the current window. Unspent leased units expire with the old one.
void Leases::AdvanceWindow(Customer& c) {
  const std::int64_t length = Window(*c.plan).count(), clock = Clock(c), window = clock / length;
  if (c.window >= 0) ApplyPartition(c);
  if (window == c.window) return;
  const TimePoint began = now_ - Duration(clock % length);
  // Another holder's clock: its windows start elsewhere, which refills nothing. What was admitted here is
  // added to the new counter.
  if (options_.fixed_windows && c.window >= 0 && began < c.refilled_at + Duration(length - length / 10)) {
    c.window = window;
    c.leased = c.exempt = c.total = c.local_added = 0;
    c.unposted = c.own_spent;
    return;
  }
  const double carried = CarriedOver(c, window);
  c.refilled_at = began;
  if (c.leased > c.lease_size / 2) c.lease_size = std::max(kFirstLease, c.lease_size / 2);
  Charge(c, -c.leased, 0);
  if (c.window < 0 || options_.fixed_windows) {  // first window: the total shows what was taken in it
    c.visible_fraction = state_.visible_fraction;
    c.level = Burst(c);
  }
  c.window = window;
  c.leased = c.exempt = c.total = c.local_added = c.assumed_use = 0;
  c.unposted = c.own_spent = carried;  // else of the old counter; siblings charged it by share already
  if (carried > 0) Charge(c, carried, 0);
}

bool Leases::SpendLease(Claim& claim) {
  Customer& c = *claim.customer;
  if (Tokens(c) < claim.units) return false;
  claim.exempt = c.exempt >= claim.units;
  if (claim.exempt) c.exempt -= claim.units;
  c.leased -= claim.units;
  c.own_spent += claim.units;
  claim.charged = true;
  claim.window = c.window;
  ++figures_.by_lease;
  RecordUse(c, claim.units);
  RecordAdmitted(claim.units, claim.units);
  return true;
}

void Leases::Decide(Claim& claim) {
  Customer& c = *claim.customer;
  if (c.plan->rate <= 0) return port_.Admit(claim);
  AdvanceWindow(c);
  if (c.waiting.empty() && SpendLease(claim)) return port_.Admit(claim);
  if (claim.units > c.plan->burst) return port_.Deny(claim, Duration::zero());  // it never fits
  const bool late = now_ >= claim.arrived + options_.wait;
  if (!options_.counter || state_.counter_down || late || (c.calling && c.given_up))
    return DecideByShare(claim);
  if (!c.calling && !MayCall(claim)) return DecideByShare(claim);
  // A total never falls within its window: if it leaves less than the cost, no add can grant it.
  if (c.leased + Level(c) < claim.units) return RefuseBeyondQuota(claim, c.leased + Level(c), Rate(c));
  c.waiting.push_back(&claim);
  if (!c.calling) CallCounter(c);
}

// Adds a lease for the waiting claims, and the units admitted without an add.
void Leases::CallCounter(Customer& c) {
  double need = -Tokens(c);
  for (const Claim* claim : c.waiting) need += claim->units;
  need = std::max(0.0, need);
  if (need > 0 && c.lease_window == c.window && now_ < c.lease_at + Window(*c.plan) / kEarlyPart) {
    const double cap = std::max(kFirstLease, c.plan->burst * kLeaseCap / c.set_size);
    c.lease_size = std::min(2 * c.lease_size, cap);
  }
  // Siblings may need the rest: the less is left, the smaller the lease.
  const double spare = std::max(0.0, Level(c) - need) / (2 * c.set_size);
  c.call_lease = c.waiting.empty() ? 0 : std::max(need, std::min(c.lease_size, need + spare));
  c.call_unposted = c.unposted;
  c.calling = true;
  state_.call_tokens = std::max(0.0, state_.call_tokens - 1);
  c.given_up = c.waiting.empty();
  c.call_window = c.lease_window = c.window;
  c.lease_at = now_;
  const CounterName name{StableHash(c.name, static_cast<std::uint64_t>(c.window)) >> 1 | 1};
  calls_[name] = &c;
  const Duration lifetime = std::min(2 * Window(*c.plan), options_.max_counter_lifetime);
  const double held = c.allocated.Held(now_, ShareLifetime(c));
  port_.Add(c.name,
            {name, lifetime, c.call_lease + c.call_unposted, DecayedUse(c) + need, held, WindowBegan(c)});
  if (!c.waiting.empty()) port_.StartTimer({TimerToken{name.value}, WaitLeft(c)});
}

void Leases::OnCounterReply(TimePoint now, const CounterReply& event) {
  now_ = now;
  const auto it = calls_.find(event.name);
  if (it == calls_.end()) return;
  Customer& c = *it->second;
  calls_.erase(it);
  c.calling = false;
  const bool ok = event.outcome == Outcome::kOk, unreadable = event.outcome == Outcome::kError;
  const bool may_be_posted = ok || unreadable || event.outcome == Outcome::kTimeout;
  if (ok || unreadable || !c.given_up) RecordReply(ok || unreadable);
  if (ok) c.allocated.OnReply(event.share, c.lease_at);
  if (!ok) c.allocated.OnFailure(now_, ShareLifetime(c));
  // An add that timed out may have arrived, so it is not repeated.
  if (may_be_posted) MarkPosted(c, c.call_unposted);
  if (ok && c.call_window == c.window) ApplyTotal(c, event.total);
  AdvanceWindow(c);
  if (ok) {
    DecideWaiting(c, &Leases::Decide);
  } else {
    DecideWaiting(c, &Leases::DecideByShare);
    // Admissions by share are then taken as posted by the add that may have arrived.
    if (may_be_posted) MarkPosted(c, c.call_lease);
  }
}

// Applies a total that was returned for an add of this gateway.
void Leases::ApplyTotal(Customer& c, double total) {
  const double added = c.call_lease + c.call_unposted;
  const double noise = 1e-6 * std::abs(total) + 1e-3;  // totals have seven digits
  const bool lost = total - c.total < added - noise;
  const double grown = lost ? added : total - c.total;
  c.total += grown;
  // Assumes that siblings count the same part of their admissions as this gateway does, which is less than
  // all where calls are scarce. The total replaces the assumed use.
  const double counted =
      FailAlone() ? 1 : std::clamp(state_.mean_counted / state_.mean_admitted, kMinCounted, 1.0);
  const double others = std::max(0.0, grown - added) / counted;
  Charge(c, c.call_lease, others - std::exchange(c.assumed_use, 0));
  if (!lost && UnderCeiling(c, total)) c.exempt += c.call_lease;
  c.leased += c.call_lease;
  const double paid = std::min(std::max(0.0, Tokens(c)), c.unposted);  // admitted by share during the call
  ChargeLease(c, paid);
  MarkPosted(c, paid);
  // The counter lost data. The larger known total holds, so the quota is not granted again, and the next call
  // adds this gateway's earlier units once more.
  if (lost) c.unposted += std::exchange(c.local_added, 0);
  c.local_added += added;
  if (options_.even_share > 0) return;
  const double keep = Kept(now_ - c.usage_at, Window(*c.plan));
  c.local_use = c.local_use * keep + added;
  c.total_use = c.total_use * keep + added + others;
  c.usage_at = now_;
}

// Decides the waiting claims in order, by the counter (Decide) or by share (DecideByShare).
void Leases::DecideWaiting(Customer& c, void (Leases::*decide)(Claim&)) {
  std::deque<Claim*> waiting;
  waiting.swap(c.waiting);
  for (Claim* claim : waiting) (this->*decide)(*claim);
}

// No reply within the wait. The call stays pending, and its units still belong to this gateway.
void Leases::OnTimer(TimePoint now, TimerToken token) {
  now_ = now;
  const auto it = calls_.find(CounterName{token.value});
  if (it == calls_.end()) return;
  Customer& c = *it->second;
  if (c.waiting.empty()) return;
  const Duration left = WaitLeft(c);
  if (left > Duration::zero()) return port_.StartTimer({token, left});
  c.given_up = true;
  RecordReply(false);
  DecideWaiting(c, &Leases::DecideByShare);
}

void Leases::RefuseBeyondQuota(Claim& claim, double tokens, double rate) {
  const std::int64_t length = Window(*claim.customer->plan).count();
  Duration wait = rate > 0 ? FromSeconds((claim.units - tokens) / rate) : Duration::zero();
  if (options_.fixed_windows) wait = Duration(length - Clock(*claim.customer) % length);  // next window
  port_.Deny(claim, wait);
}

void Leases::Release(TimePoint now, Claim& claim) {
  now_ = now;
  if (!std::exchange(claim.charged, false)) return;
  Customer& c = *claim.customer;
  AdvanceWindow(c);
  const bool exempt = std::exchange(claim.exempt, false);
  if (claim.window == c.window) {
    c.leased += claim.units;
    c.own_spent -= claim.units;
    if (exempt) c.exempt += claim.units;
  } else if (!options_.fixed_windows) {
    Charge(c, -claim.units, 0);
  }
}

void Leases::Settle(TimePoint now, Claim& claim, double actual_units) {
  now_ = now;
  if (actual_units <= 0 || !claim.charged) return;
  Customer& c = *claim.customer;
  AdvanceWindow(c);
  const double more = actual_units - claim.units;
  claim.units = actual_units;
  const double from_lease = std::min(more, std::max(0.0, c.leased));
  ChargeLease(c, from_lease);
  c.unposted += more - from_lease;
  Charge(c, more - from_lease, 0);
}

// ---- Share fallback -----------------------------------------------------------------------------------

double Leases::Share(const Customer& c) const {
  const double even = 1.0 / std::max(1, c.set_size);
  if (options_.even_share > 0)
    return std::min(1.0, options_.even_share * even + c.allocated.Held(now_, ShareLifetime(c)));
  const double measured = c.total_use > 0 ? c.local_use / c.total_use : even;
  return std::clamp(measured, std::min(kShareFloor, even), 1.0);
}

// Records units admitted here, and how many of them the counters show to siblings.
void Leases::RecordAdmitted(double units, double counted) {
  state_.mean_admitted += units - kUsageStep * state_.mean_admitted;
  state_.mean_counted += counted - kUsageStep * state_.mean_counted;
}

void Leases::RecordReply(bool answered) {
  if (FailAlone()) return;
  if (!state_.counter_down)
    state_.call_rate =
        std::max(kCallRateMin / Gateways(), state_.call_rate * (answered ? kCallRateGrowth : kCallRateCut));
  if (answered) {
    state_.failed_calls = 0;
    if (state_.counter_down) LogRateLimited("counter answers again: back to leases");
    state_.counter_down = false;
    return;
  }
  if (++state_.failed_calls < kFailuresAllowed || state_.counter_down) return;
  state_.counter_down = true;
  state_.next_probe_at = now_ + ProbeInterval();
  LogRateLimited("counter silent: quotas held by share");
}

// Whether a claim may use a call token. The counter's capacity is unknown, so the call rate grows with
// replies and falls with failures. When tokens are scarce the claims with the most value at stake get them;
// others are decided by share at once. Keeps gateways from overloading the counter; harmful if failures have
// other causes.
bool Leases::MayCall(const Claim& claim) {
  const auto failed_at = claim.customer->allocated.failed_at();
  if (FailAlone()) return !failed_at || now_ >= *failed_at + options_.retry_interval;
  const double most = kCallTokens + kCallBurst * state_.call_rate;
  const double saved = state_.call_rate * Seconds(now_ - state_.call_tokens_at);
  state_.call_tokens = std::min(most, state_.call_tokens + saved);
  state_.call_tokens_at = now_;
  const double stake = claim.worth * claim.customer->plan->price * claim.units;
  state_.mean_stake += (state_.mean_stake == 0 ? 1 : kUsageStep) * (stake - state_.mean_stake);
  return state_.call_tokens >= 1 + (most - 1) * std::max(0.0, 1 - stake / (kFullStake * state_.mean_stake));
}

// Random, so that gateways that saw the counter fail together do not probe it together.
Duration Leases::ProbeInterval() {
  const double chance = Fraction(rng_());
  return std::max(kProbeInterval, FromSeconds((0.5 + chance) * Gateways() / kCallRateMin));
}

// Admits by share: a unit admitted here stands for 1 / share units by all, charged to the last known level.
void Leases::DecideByShare(Claim& claim) {
  Customer& c = *claim.customer;
  AdvanceWindow(c);
  if (SpendLease(claim)) return port_.Admit(claim);
  claim.by_share = true;
  if (const auto over = OverCeiling(now_, claim)) return port_.Deny(claim, *over);
  const double share = options_.share_factor * Share(c);
  const double left = options_.fixed_windows ? LeftByShare(c, share) : share * Level(c);
  const bool untouched = !options_.fixed_windows && Level(c) >= Burst(c);  // a small share still admits one
  if (left < claim.units && !untouched) {
    RefuseBeyondQuota(claim, left, Rate(c) * share);
  } else {
    Charge(c, claim.units / share, 0);
    c.assumed_use += claim.units / share - claim.units;
    c.unposted += claim.units;
    c.own_spent += claim.units;
    claim.charged = true;
    claim.window = c.window;
    const bool late = c.calling || now_ >= claim.arrived + options_.wait;
    ++(late ? figures_.by_share_late : figures_.by_share_not_counted);
    RecordUse(c, claim.units);
    if (!state_.counter_down) RecordAdmitted(claim.units, 0);
    port_.Admit(claim);
  }
  if (!state_.counter_down || c.calling || now_ < state_.next_probe_at || !options_.counter) return;
  state_.next_probe_at = now_ + ProbeInterval();
  CallCounter(c);
}

// ---- Ceilings -----------------------------------------------------------------------------------------

// Rule 5. Each gateway of the set has a token bucket with its part of the ceiling's rate and burst. Nothing
// is shared, so no failure of the counter or of a gateway can raise the ceiling.
double Leases::RefillCeiling(Customer& c) {
  const Plan& plan = *c.plan;
  if (!c.in_set || exported_) return 0;
  const double gained = plan.ceiling_rate / c.set_size * Seconds(now_ - c.ceiling_at);
  c.ceiling = std::min(plan.ceiling_burst / c.set_size, c.ceiling + gained);
  c.ceiling_at = now_;
  return c.ceiling;
}

// Exception to rule 5: leased units need no ceiling tokens (but use those there are) while the window's total
// stays under half of the ceiling: two windows hold at most the burst, more at most the rate. Otherwise a
// customer whose requests gather on few, or on just started, gateways is refused within its quota. Harmful
// where the counter loses data: where that is detected, and for admissions by share, the buckets decide.
bool Leases::UnderCeiling(const Customer& c, double total) const {
  const Plan& plan = *c.plan;
  if (plan.ceiling_rate <= 0) return false;
  const double refilled = plan.ceiling_rate * Seconds(Window(plan));
  const bool settled = c.plan_changed_at == TimePoint{} || now_ >= c.plan_changed_at + 2 * Window(plan);
  return settled && total <= c.visible_fraction * std::min(plan.ceiling_burst, refilled) / 2;
}

std::optional<Duration> Leases::OverCeiling(TimePoint now, Claim& claim) {
  now_ = now;
  Customer& c = *claim.customer;
  const Plan& plan = *c.plan;
  if (plan.ceiling_rate <= 0 || claim.exempt || RefillCeiling(c) >= claim.units) return std::nullopt;
  return FromSeconds((claim.units - c.ceiling) * c.set_size / plan.ceiling_rate);
}

bool Leases::ChargeCeiling(TimePoint now, Claim& claim) {
  now_ = now;
  Customer& c = *claim.customer;
  if (c.plan->ceiling_rate <= 0) return true;
  if (RefillCeiling(c) < claim.units && !claim.exempt) return false;
  c.ceiling = std::max(0.0, c.ceiling - claim.units);
  return true;
}

// ---- Changes from outside -----------------------------------------------------------------------------

void Leases::OnCounterPartition(TimePoint now, const CounterPartition& event) {
  now_ = now;
  state_.visible_fraction = std::clamp(event.visible_fraction, kMinVisible, 1.0);
  state_.undetected_for = event.undetected_for;
  port_.WriteLog({"counter seen by " + std::to_string(static_cast<int>(100 * state_.visible_fraction + 0.5)) +
                  "% of the gateways"});
}

void Leases::LogRateLimited(std::string text) {
  if (logged_at_ != TimePoint{} && now_ - logged_at_ < kLogInterval) return;
  logged_at_ = now_;
  port_.WriteLog({std::move(text)});
}

std::vector<CustomerState> Leases::ExportState() {
  exported_ = true;
  std::vector<CustomerState> customers;
  customers_.ForEach([&](Customer& c) {
    customers.push_back(c);
    customers.back().plan_name = c.plan->name;
    c.leased = c.exempt = 0;
  });
  return customers;
}

// Times are Unix time, which both processes share.
void Leases::ImportState(const QuotaState& known, const std::vector<CustomerState>& customers,
                         const FindPlan& find) {
  state_ = known;
  for (auto it = customers.rbegin(); it != customers.rend(); ++it) {
    auto plan = find(it->plan_name);
    if (plan == nullptr || customers_.Find(it->name) != nullptr) continue;
    Customer c;
    static_cast<CustomerState&>(c) = *it;
    c.plan = std::move(plan);
    customers_.Insert(it->name, std::move(c), [](const Customer&) { return true; });
  }
}

void Leases::ResumeServing(TimePoint now) {
  now_ = state_.last_eviction_at = now;
  exported_ = false;
  customers_.ForEach([&](Customer& c) {
    c.ceiling = 0;
    c.ceiling_at = now_;
  });
}

}  // namespace curlewdoor
