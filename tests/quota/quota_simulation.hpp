// Simulates gateways, one of which holds a tenant's counter, and the connections between them, in virtual
// time. Measures what the quota rule bounds: the most requests admitted within any span of five seconds.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "logic/leases.hpp"
#include "quota/quota_counters.hpp"
#include "quota/quota_plan.hpp"
#include "util/seconds.hpp"

namespace curlewdoor::quota {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr TimePoint kStart{seconds(1000)};

enum class Fault {
  kCalm,
  kPartition,       // the holder cannot reach three of eleven gateways
  kHolderDown,      // killed or frozen
  kHolderIsolated,  // the holder is partitioned from all others and outside the majority
  kRollingRestart,  // all gateways but the holder restart in turn
  kMassRestart,     // a third of the gateways are killed at once and restart together
  kPaused,          // a third of the gateways pause and resume with their old state
  kRestartAll,      // every process is killed at once and restarts
  kHolderSeries,    // the holder is killed again and again, back within 2 s
};
// The fleet size that partitioned gateways assume.
enum class Views { kKept, kShrunk };
enum class Demand {
  kChanging,  // mostly above the quota, with changing distribution
  kSudden,    // nothing at first, then six times the rate
  kWithin,    // 0.6 of the rate, evenly
  kGathered,  // the same, all through one gateway
  kHot,       // eight times 0.6 of the rate, evenly, for some seconds
  kMoving,    // above the quota through one gateway, a different one every two seconds
  kSpread,    // twice the rate, evenly
};

struct Quota {
  double rate = 0, burst = 0;  // as configured for the tenant
};
struct Case {
  Fault fault = Fault::kCalm;
  Demand demand = Demand::kChanging;
  Duration max_delay = milliseconds(30);  // maximum message delay, each way
  Views views = Views::kKept;
  int gateways = 11;
  Duration wait = kCounterWait;
};

class QuotaSimulation {
 public:
  static constexpr Duration kAddTimeout = milliseconds(400), kDetectionTime = seconds(1),
                            kReachabilityInterval = milliseconds(200);
  static constexpr Duration kFaultAt = seconds(8), kPartitionFor = seconds(10), kDownFor = seconds(4);
  static constexpr Duration kRun = seconds(30);

  QuotaSimulation(Quota quota, const Case& what, std::uint64_t seed)
      : rng_(seed), quota_(quota), case_(what) {
    plan_ = std::make_shared<const Plan>(MakePlan("anna", quota.rate, quota.burst, seconds(5), 20));
    if (what.demand == Demand::kSudden) surge_at_ = kStart + seconds(3) + Random(seconds(3));
    for (int i = 0; i < what.gateways; ++i) gateways_.push_back(std::make_unique<Gateway>(*this, i));
    counts_.Begin(now_ - seconds(10));
    for (Duration at = kReachabilityInterval; at < kRun; at += kReachabilityInterval)
      After(at, [this] { UpdateReachability(); });
    for (auto& gateway : gateways_) gateway->Load();
    if (what.fault != Fault::kCalm) After(kFaultAt + Random(seconds(1)), [this] { Begin(); });
  }

  // The most admitted in any five seconds, relative to what the rule allows.
  double Run() {
    while (!pending_.empty() && pending_.top().at < kStart + kRun) {
      const PendingEvent next = pending_.top();
      pending_.pop();
      now_ = next.at;
      next.action();
    }
    std::size_t first = 0, most = 0;
    for (std::size_t i = 0; i < admitted_.size(); ++i) {
      while (admitted_[i] - admitted_[first] > seconds(5)) ++first;
      most = std::max(most, i + 1 - first);
    }
    return static_cast<double>(most) / ((quota_.rate * 5 + quota_.burst) * 1.1 + 20);
  }
  std::size_t admitted() const { return admitted_.size(); }
  std::size_t asked() const { return asked_.size(); }
  std::size_t adds() const { return adds_; }
  const std::vector<Duration>& waits() const { return waits_; }
  // The fraction refused of what a token bucket with the tenant's rate and burst would admit.
  double RefusedWithin() const {
    double level = quota_.burst, owed = 0;
    TimePoint at = kStart;
    for (const TimePoint asked : asked_) {
      level = std::min(std::max(1.0, quota_.burst), level + quota_.rate * Seconds(asked - at));
      at = asked;
      if (level < 1) continue;
      level -= 1;
      ++owed;
    }
    return owed > 0 ? std::max(0.0, 1 - static_cast<double>(admitted_.size()) / owed) : 0;
  }

 private:
  struct Gateway : Leases::Port {
    Gateway(QuotaSimulation& simulation, int number)
        : simulation(simulation), number(number), name("g" + std::to_string(number)), rng(simulation.rng_()) {
      offset = simulation.Random(simulation.case_.max_delay * 2 / 3) - simulation.case_.max_delay / 3;
      Restart();
    }
    void Restart() {
      ++incarnation;
      pending_adds.clear();
      salt = rng();
      leases = std::make_unique<Leases>(*this, rng);
      SetGatewayCount(simulation.case_.gateways);
    }
    void SetGatewayCount(int gateways) {
      leases->Configure(simulation.now_, MakeLeaseOptions(gateways, simulation.case_.wait, salt));
    }
    // Its part of the requests changes from time to time, sometimes to almost none.
    void Load() {
      if (simulation.now_ < simulation.surge_at_)
        return simulation.After(simulation.surge_at_ - simulation.now_, [this] { Load(); });
      const Demand demand = simulation.case_.demand;
      const int n = simulation.case_.gateways;
      const std::int64_t second = (simulation.now_ - kStart) / seconds(1);
      double part = 1.0 / n, times = 0.6;
      Duration lasts = milliseconds(500) + simulation.Random(seconds(6));
      if (demand == Demand::kChanging) {
        part *= std::exponential_distribution<double>(1)(rng);
        times = 1 + 4 * simulation.RandomFraction();
      } else if (demand == Demand::kSudden) {
        part *= 0.5 + simulation.RandomFraction();
        times = 6;
      } else if (demand == Demand::kGathered) {
        part = number == 1 ? 1 : 0;
      } else if (demand == Demand::kHot) {
        if (second >= 5 && second < 20) times *= 8;
        lasts = seconds(5) - (simulation.now_ - kStart) % seconds(5);
      } else if (demand == Demand::kMoving) {
        // From the fault on, through all gateways at once.
        const std::int64_t turn = (simulation.now_ - kStart) / seconds(2);
        part = second >= 8 ? 1.0 / n : turn % n == number ? 1 : 0;
        times = second >= 8 ? 4 : 1.5;
        lasts = seconds(2) - (simulation.now_ - kStart) % seconds(2);
      } else if (demand == Demand::kSpread) {
        times = 2;
      }
      Next(std::max(demand == Demand::kChanging ? 0.01 : 1e-9, part * simulation.quota_.rate * times),
           simulation.now_ + lasts);
    }
    void Next(double each, TimePoint until) {
      const Duration gap = FromSeconds(std::min(1e3, std::exponential_distribution<double>(each)(rng)));
      if (simulation.now_ + gap > until)
        return simulation.After(std::max<Duration>(until - simulation.now_, {}), [this] { Load(); });
      simulation.After(gap, [this, each, until] {
        if (!down && !paused) Ask();
        if (paused) ++queued_requests;
        Next(each, until);
      });
    }
    void Ask() {
      Leases::Claim& claim = claims.emplace_back();
      claim.id = RequestId{++simulation.last_};
      claim.arrived = simulation.now_;
      simulation.asked_.push_back(simulation.now_);
      leases->Acquire(simulation.now_, claim, "anna", simulation.plan_);
    }

    void Admit(Leases::Claim& claim) override {
      simulation.admitted_.push_back(simulation.now_);
      simulation.waits_.push_back(simulation.now_ - claim.arrived);
    }
    void Deny(Leases::Claim& claim, Duration) override {
      simulation.waits_.push_back(simulation.now_ - claim.arrived);
    }
    void WriteLog(const WriteLogLine&) override {}
    Duration ClockOffset(const std::string&) const override { return offset; }
    // Actions of a paused gateway are deferred until it resumes.
    void RunUnlessPaused(Duration delay, std::function<void()> action) {
      simulation.After(delay, [this, incarnation = incarnation, action = std::move(action)] {
        if (incarnation != this->incarnation) return;
        if (paused) return deferred.push_back(action);
        action();
      });
    }
    void StartTimer(const SetTimer& timer) override {
      RunUnlessPaused(timer.delay, [this, timer] { leases->OnTimer(simulation.now_, timer.token); });
    }
    void Answer(const AddToCounter& call, std::uint64_t add_id, Outcome outcome) {
      if (pending_adds.erase(add_id) > 0) leases->OnCounterReply(simulation.now_, {call.name, outcome});
    }
    void Answer(const AddToCounter& call, std::uint64_t add_id,
                const std::optional<QuotaCounters::Added>& added) {
      if (!added) return Answer(call, add_id, Outcome::kConnectFailed);
      if (pending_adds.erase(add_id) > 0)
        leases->OnCounterReply(simulation.now_, {call.name, Outcome::kOk, added->total, {}, added->share});
    }
    void Add(const std::string&, const AddToCounter& call) override {
      const std::uint64_t asked = ++simulation.last_;
      pending_adds.insert(asked);
      ++simulation.adds_;
      const bool here = number == 0;
      if (!here && !connected)
        return RunUnlessPaused({}, [this, call, asked] { Answer(call, asked, Outcome::kConnectFailed); });
      if (here) {
        const auto added = simulation.Add(*this, call);
        return RunUnlessPaused({}, [this, call, asked, added] { Answer(call, asked, added); });
      }
      RunUnlessPaused(kAddTimeout, [this, call, asked] { Answer(call, asked, Outcome::kTimeout); });
      arrives_at = std::max(arrives_at, simulation.now_ + simulation.Random(simulation.case_.max_delay));
      simulation.After(arrives_at - simulation.now_, [this, call, asked] {
        if (partitioned || simulation.gateways_[0]->down) return;
        const auto added = simulation.Add(*this, call);
        reply_at = std::max(reply_at, simulation.now_ + simulation.Random(simulation.case_.max_delay));
        RunUnlessPaused(reply_at - simulation.now_, [this, call, asked, added] {
          if (!partitioned) Answer(call, asked, added);
        });
      });
    }
    void Resume() {
      paused = false;
      for (; queued_requests > 0; --queued_requests) Ask();
      for (auto& action : std::exchange(deferred, {})) action();
    }
    QuotaSimulation& simulation;
    const int number;
    const std::string name;
    std::mt19937_64 rng;
    std::uint64_t salt = 0;
    std::unique_ptr<Leases> leases;
    Duration offset;
    std::deque<Leases::Claim> claims;
    std::set<std::uint64_t> pending_adds;
    std::vector<std::function<void()>> deferred;
    TimePoint arrives_at, reply_at;  // when the last message of its connection arrives
    bool partitioned = false, connected = true, down = false, paused = false;
    int incarnation = 0, queued_requests = 0;
  };

  struct PendingEvent {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const PendingEvent& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void After(Duration delay, std::function<void()> action) {
    pending_.push({now_ + delay, ++last_, std::move(action)});
  }
  double RandomFraction() { return static_cast<double>(rng_() >> 11) * 0x1.0p-53; }
  Duration Random(Duration most) { return FromSeconds(RandomFraction() * Seconds(most)); }

  std::optional<QuotaCounters::Added> Add(const Gateway& by, const AddToCounter& call) {
    return counts_.Add(now_, {"anna", by.name, call.name, call.lifetime, call.amount, plan_->burst, call.use,
                              call.held_share, call.window_began});
  }
  void UpdateReachability() {
    std::set<std::string> unreachable, all;
    for (const auto& gateway : gateways_) {
      all.insert(gateway->name);
      if (gateway->number > 0 && !gateway->connected) unreachable.insert(gateway->name);
    }
    counts_.SetUnreachable(std::move(unreachable), std::move(all));
  }

  // `gateway` is down for that time, and its connection returns some time later.
  void Kill(Gateway& gateway, Duration down_for) {
    gateway.down = true;
    gateway.connected = false;
    ++gateway.incarnation;
    After(down_for, [this, &gateway] {
      gateway.down = false;
      gateway.Restart();
      After(Random(milliseconds(500)), [&gateway] { gateway.connected = true; });
    });
  }

  void StopHolder(bool killed, Duration down_for = kDownFor, Duration reconnects = seconds(2)) {
    Gateway& holder = *gateways_[0];
    if (holder.down) return;
    holder.down = true;
    ++holder.incarnation;
    counts_.Stop();
    const Duration detected_after = killed ? Duration(milliseconds(1)) : kDetectionTime;
    for (auto& gateway : gateways_)
      if (gateway->number > 0) After(detected_after, [&gateway] { gateway->connected = false; });
    After(down_for, [this, &holder, reconnects] {
      holder.down = false;
      holder.Restart();
      counts_ = QuotaCounters();
      counts_.Begin(now_);
      for (auto& gateway : gateways_)
        if (gateway->number > 0)
          After(Random(reconnects), [&gateway, &holder] { gateway->connected = !holder.down; });
    });
  }

  void KillHolderInSeries() {
    const Duration down_for = milliseconds(200) + Random(milliseconds(1800));
    StopHolder(true, down_for, milliseconds(500));
    After(down_for + seconds(1) + Random(seconds(2)), [this] { KillHolderInSeries(); });
  }

  void Begin() {
    const int n = case_.gateways;
    const auto affected = static_cast<std::size_t>(std::max(1, n * 3 / 11));
    const auto first = gateways_.size() - affected;
    switch (case_.fault) {
      case Fault::kCalm:
        break;
      case Fault::kPartition:
        for (std::size_t i = first; i < gateways_.size(); ++i) {
          Gateway& gateway = *gateways_[i];
          gateway.partitioned = true;
          After(kDetectionTime, [&gateway] { gateway.connected = false; });
          if (case_.views == Views::kShrunk) After(seconds(3), [&gateway] { gateway.SetGatewayCount(1); });
          After(kPartitionFor, [&gateway, n] {
            gateway.partitioned = false;
            gateway.SetGatewayCount(n);
          });
          After(kPartitionFor + Random(seconds(2)), [&gateway] { gateway.connected = true; });
        }
        break;
      case Fault::kHolderDown:
        StopHolder(rng_() % 2 == 0);
        break;
      case Fault::kHolderIsolated:
        for (auto& gateway : gateways_) {
          if (gateway->number == 0) continue;
          gateway->partitioned = true;
          After(kDetectionTime, [&gateway] { gateway->connected = false; });
          After(kPartitionFor, [&gateway] { gateway->partitioned = false; });
          After(kPartitionFor + Random(seconds(2)), [&gateway] { gateway->connected = true; });
        }
        After(kDetectionTime, [this] { counts_.Stop(); });
        After(kPartitionFor + Random(seconds(1)), [this] { counts_.Begin(now_); });
        break;
      case Fault::kRollingRestart:
        for (std::size_t i = 1; i < gateways_.size(); ++i)
          After(FromSeconds(12.0 * static_cast<double>(i) / n),
                [this, i] { Kill(*gateways_[i], milliseconds(500)); });
        break;
      case Fault::kMassRestart:
        for (std::size_t i = first; i < gateways_.size(); ++i) Kill(*gateways_[i], seconds(2));
        break;
      case Fault::kPaused:
        for (std::size_t i = first; i < gateways_.size(); ++i) {
          Gateway& gateway = *gateways_[i];
          gateway.paused = true;
          After(kDetectionTime, [&gateway] { gateway.connected = false; });
          After(milliseconds(300) + Random(seconds(6)), [this, &gateway] {
            gateway.Resume();
            After(Random(milliseconds(500)), [&gateway] { gateway.connected = true; });
          });
        }
        break;
      case Fault::kHolderSeries:
        KillHolderInSeries();
        break;
      case Fault::kRestartAll:
        for (std::size_t i = 1; i < gateways_.size(); ++i) Kill(*gateways_[i], seconds(3));
        StopHolder(true);
        break;
    }
  }

  std::mt19937_64 rng_;
  const Quota quota_;
  const Case case_;
  TimePoint surge_at_ = kStart;
  TimePoint now_ = kStart;
  std::uint64_t last_ = 0;
  std::size_t adds_ = 0;
  std::priority_queue<PendingEvent> pending_;
  std::shared_ptr<const Plan> plan_;
  QuotaCounters counts_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<TimePoint> admitted_, asked_;
  std::vector<Duration> waits_;
};

}  // namespace curlewdoor::quota
