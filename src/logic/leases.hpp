// Quota leases: how much of a customer's quota this gateway may still use. Gateways share a quota by adding
// to counters, and by measured shares while the counters are unreachable. No I/O, no clock, no threads.
//
// Each claim gets exactly one answer through the port, at once or later: Admit or Deny. The caller answers
// each counter add exactly once, also when it fails. All decisions are in leases.cpp.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "logic.hpp"
#include "logic/allocated_share.hpp"
#include "util/hash.hpp"
#include "util/lru_map.hpp"
#include "util/seconds.hpp"

namespace curlewdoor {

// Decides claims on quotas for all customers of one gateway.
class Leases {
 public:
  static const double kShareMemory;  // windows
  struct Customer;

  // A request for units. Its address and fields stay unchanged until it is answered or cancelled.
  struct Claim {
    RequestId id;
    Customer* customer = nullptr;
    double units = 1;
    double worth = 1;  // of a unit, without the plan's price; scarce calls go to the highest value
    TimePoint arrived;
    bool charged = false;     // its units were taken from the quota ...
    bool exempt = false;      // ... and counted by all gateways while under the ceiling
    bool by_share = false;    // last decided by share
    std::int64_t window = 0;  // in which they were charged
  };

  // An entry is not evicted while a claim waits for its counter or `open` is above zero. A caller that keeps
  // a claim after its answer increments `open` for that time.
  struct Customer : CustomerState {
    std::shared_ptr<const Plan> plan;
    bool calling = false;   // a counter call is pending (at most one)
    bool given_up = false;  // no claim waits for the pending call any more
    std::int64_t call_window = 0;
    double call_lease = 0, call_unposted = 0;
    std::deque<Claim*> waiting;
    int open = 0;             // outstanding attempts
    double own_spent = 0;     // admitted here in this window, by lease or share
    TimePoint refilled_at{};  // fixed windows: start of the window of the last refill
    AllocatedShare allocated;
  };

  struct Options {
    int gateways = 1;            // sharing the counters, this one included
    Duration wait{};             // for the counter, measured from a claim's arrival
    double largest_request = 1;  // units; a part of a quota admits any that fits the whole
    bool counter = true;         // false: shares only
    Duration max_counter_lifetime = std::chrono::seconds(60);  // the counter keeps no entry for longer
    // True: the quota is refilled at each window's start only, so no window gives more than one quota.
    // False: it refills evenly, so any span gives at most the burst plus the rate during the span.
    bool fixed_windows = false;
    // Above zero: each customer's counter is held by a member of its own, which may fail alone. A call that
    // failed is repeated after this time. Zero: one counter, which fails for all customers, and calls to it
    // are rationed.
    Duration retry_interval{};
    // Above zero: holders allocate shares with their replies. This part of the quota is split evenly over all
    // gateways, without an allocation. Zero: each gateway measures its share.
    double even_share = 0;
    Duration share_lifetime{};  // of an allocation, at the least; also two windows
    std::uint64_t salt = 0;     // differs per gateway: spreads the single admissions of small shares
    double share_factor = 1;    // of the share, admitted while the other gateways' use is unknown
  };

  // Callbacks, made from within the functions below. They may call only Release, OverCeiling and
  // ChargeCeiling. A claim is not accessed after Admit or Deny.
  class Port {
   public:
    virtual ~Port() = default;
    virtual void Admit(Claim& claim) = 0;
    virtual void Deny(Claim& claim, Duration retry_after) = 0;  // zero: no advice
    virtual void Add(const std::string& customer, const AddToCounter& call) = 0;
    virtual void StartTimer(const SetTimer& timer) = 0;  // its token is never zero
    virtual void WriteLog(const WriteLogLine& line) = 0;
    // By how much the clock of this customer's counter is ahead of the local one.
    virtual Duration ClockOffset(const std::string& /*customer*/) const { return Duration::zero(); }
  };

  // Claims admitted since the start: by leased units, and by share where the counter did not answer within
  // the wait, or did not count.
  struct Figures {
    std::uint64_t by_lease = 0, by_share_late = 0, by_share_not_counted = 0;
  };
  const Figures& figures() const { return figures_; }

  // For operators and tests. All but the level is as of the last claim.
  struct CustomerView {
    std::string name;
    double leased = 0, level = 0, share = 0, lease_size = 0;
    std::int64_t window = -1;
  };

  using FindPlan = std::function<std::shared_ptr<const Plan>(const std::string& name)>;

  Leases(Port& port, std::mt19937_64& rng);

  // Called before any other function, and again on changes such as the number of gateways.
  void Configure(TimePoint now, const Options& options);
  const Options& options() const { return options_; }

  // A customer whose plan changed under the same name keeps what it has spent; with a plan of another name
  // it starts a new window.
  Customer* Find(TimePoint now, const std::string& name);
  Customer& FindOrCreate(TimePoint now, const std::string& name, std::shared_ptr<const Plan> plan,
                         int set_size, bool in_set = true);
  // Replaces each known customer's plan by the one of the same name, if any. Levels stay.
  void UpdatePlans(TimePoint now, const FindPlan& find);

  void Acquire(TimePoint now, Claim& claim) {
    now_ = now;
    Decide(claim);
  }
  void Acquire(TimePoint now, Claim& claim, const std::string& customer, std::shared_ptr<const Plan> plan) {
    claim.customer = &FindOrCreate(now, customer, std::move(plan), Gateways());
    Decide(claim);
  }
  void OnCounterReply(TimePoint now, const CounterReply& event);
  void OnTimer(TimePoint now, TimerToken token);
  void Cancel(Claim& claim) { std::erase(claim.customer->waiting, &claim); }  // stops waiting
  void OnCounterPartition(TimePoint now, const CounterPartition& event);
  void Release(TimePoint now, Claim& claim);                      // admitted but unused
  void Settle(TimePoint now, Claim& claim, double actual_units);  // books the difference

  // This gateway's part of what all gateways admit.
  double Share(const Customer& c) const;
  // Decay factor of smoothed use after `since`, for windows of this length.
  static double Kept(Duration since, Duration window) {
    return std::exp(-Seconds(since) / (kShareMemory * Seconds(window)));
  }
  // Ceilings, for plans that have one. OverCeiling: time until the claim fits, if it does not fit now.
  std::optional<Duration> OverCeiling(TimePoint now, Claim& claim);
  bool ChargeCeiling(TimePoint now, Claim& claim);

  std::vector<CustomerView> ListCustomers(TimePoint now) {
    now_ = now;
    std::vector<CustomerView> views;
    customers_.ForEach([&](const Customer& c) {
      views.push_back({c.name, c.leased, Level(c), Share(c), c.lease_size, c.window});
    });
    return views;
  }
  const QuotaState& state() const { return state_; }

  // Upgrades: exported state belongs to the other process.
  std::vector<CustomerState> ExportState();
  void ImportState(const QuotaState& known, const std::vector<CustomerState>& customers,
                   const FindPlan& find);
  void ResumeServing(TimePoint now);

 private:
  void Decide(Claim& claim);
  void DecideByShare(Claim& claim);
  void DecideWaiting(Customer& c, void (Leases::*decide)(Claim&));
  // In fixed windows a gateway admits at most its share, leases included, and its share of what was left at
  // the last reply, so little is given out twice when the counter fails within a window. A part of a unit is
  // one by chance, drawn once a window.
  double LeftByShare(const Customer& c, double share) const {
    const double by_lease = c.own_spent - c.unposted, open = Level(c) + c.assumed_use + c.unposted;
    const double most = std::min(share * Burst(c) - by_lease, share * open);
    return std::floor(std::max(0.0, most) + Chance(c)) - c.unposted;
  }
  // Units admitted by share in a window that a holder may have counted without them: they are taken off the
  // next window.
  double CarriedOver(const Customer& c, std::int64_t window) const {
    if (!FailAlone() || window != c.window + 1) return 0;
    const auto failing_since = c.allocated.failing_since();
    return !failing_since || *failing_since >= c.refilled_at ? c.unposted : 0;
  }
  bool FailAlone() const { return options_.retry_interval > Duration::zero(); }
  Duration ShareLifetime(const Customer& c) const {
    return AllocatedShare::Lifetime(options_.share_lifetime, Window(*c.plan));
  }
  double DecayedUse(const Customer& c) const {
    return c.local_use * Kept(now_ - c.usage_at, Window(*c.plan));
  }
  // Where shares are allocated, use is what is admitted here, by lease or by share.
  void RecordUse(Customer& c, double units) {
    if (options_.even_share <= 0) return;
    c.local_use = DecayedUse(c) + units;
    c.usage_at = now_;
  }
  void SetPlan(Customer& c, std::shared_ptr<const Plan> plan);
  Duration Window(const Plan& plan) const;       // length; default: the time to refill the burst
  Duration RefillTime(const Plan& plan) const;   // until quota and ceiling are full again
  std::int64_t Clock(const Customer& c) const {  // time that determines the window
    const auto length = static_cast<std::uint64_t>(Window(*c.plan).count());
    const TimePoint there = now_ + port_.ClockOffset(c.name);
    return there.time_since_epoch().count() + static_cast<std::int64_t>(StableHash(c.name) % length);
  }
  TimePoint WindowBegan(const Customer& c) const {  // by the counter's clock
    return now_ + port_.ClockOffset(c.name) - Duration(Clock(c) % Window(*c.plan).count());
  }
  void AdvanceWindow(Customer& c);
  double Rate(const Customer& c) const { return c.visible_fraction * c.plan->rate; }
  double Burst(const Customer& c) const {  // a part still admits any request that fits the whole
    return std::max(c.visible_fraction * c.plan->burst, std::min(c.plan->burst, options_.largest_request));
  }
  double Refill(const Customer& c) const {
    return options_.fixed_windows ? 0 : Rate(c) * Seconds(now_ - c.level_at);
  }
  double Level(const Customer& c) const { return std::min(Burst(c), c.level + Refill(c)); }
  double Tokens(const Customer& c) const { return c.leased + std::min(0.0, Level(c)); }
  void ApplyPartition(Customer& c);
  void Charge(Customer& c, double units, double by_others);
  void ChargeLease(Customer& c, double units) {  // non-exempt units first
    c.leased -= units;
    c.exempt = std::min(c.exempt, std::max(0.0, c.leased));
  }
  bool SpendLease(Claim& claim);
  void CallCounter(Customer& c);
  void ApplyTotal(Customer& c, double total);
  Duration WaitLeft(const Customer& c) const {
    return std::max(Duration::zero(), c.waiting.front()->arrived + options_.wait - now_);
  }
  void RefuseBeyondQuota(Claim& claim, double tokens, double rate);
  // Records unposted units that are, or may be, in the counter now.
  void MarkPosted(Customer& c, double units) {
    const double paid = std::min(units, c.unposted);
    c.unposted -= paid;
    state_.mean_counted += paid;
  }
  void RecordAdmitted(double units, double counted);
  void RecordReply(bool answered);
  bool MayCall(const Claim& claim);
  Duration ProbeInterval();
  double RefillCeiling(Customer& c);
  bool UnderCeiling(const Customer& c, double total) const;
  void LogRateLimited(std::string text);
  // From 0 to 1, constant within a window: lets some of many gateways with a fraction of a unit admit one.
  double Chance(const Customer& c) const {
    const auto window = static_cast<std::uint64_t>(c.window);
    return Fraction(StableHash(c.name, options_.salt ^ window));
  }
  int Gateways() const { return std::max(1, options_.gateways); }

  Port& port_;
  std::mt19937_64& rng_;
  Options options_;
  QuotaState state_;
  Figures figures_;
  TimePoint now_;
  bool configured_ = false;
  bool exported_ = false;  // another process admits now
  LruMap<Customer> customers_;
  std::unordered_map<CounterName, Customer*, IdHash> calls_;
  TimePoint logged_at_;
};

}  // namespace curlewdoor
