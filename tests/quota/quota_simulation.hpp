// Gateways, one of which holds the count of a tenant, a clock and streams between them, in virtual time. Its
// measure is the rule's: the most requests let in within any span of five seconds.
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

namespace curlewdoor::counting {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr TimePoint kStart{seconds(1000)};

enum class Trouble {
  kCalm,
  kCut,         // three of eleven gateways can't be heard by the holder
  kHolderGone,  // killed or frozen
  kFar,         // the holder is cut off from all others, and not counted in a majority any more
  kRoll,        // all gateways but the holder start anew in turn
  kHerd,        // a third of them are killed at once and come back together
  kFrozen,      // a third of them stand still for a while and go on with what they had
  kAll,         // every process is killed at once and comes back
};
// What gateways that are cut off take for the number of all.
enum class Views { kKept, kShrunk };
enum class Demand {
  kChanging,  // mostly more than it may, of changing parts
  kSudden,    // nothing for a while, and then six times as much
  kWithin,    // 0.6 of the rate, evenly
  kGathered,  // the same, all through one gateway
  kHot,       // eight times 0.6 of the rate, evenly, for some seconds
  kMoving,    // all it may and more through one gateway, another one every two seconds
  kSpread,    // twice the rate, evenly
};

struct Quota {
  double rate = 0, burst = 0;  // as the tenant has it
};
struct Case {
  Trouble trouble = Trouble::kCalm;
  Demand demand = Demand::kChanging;
  Duration late = milliseconds(30);  // messages: at most, each way
  Views views = Views::kKept;
  int gateways = 11;
  Duration wait = kCountWait;
};

class World {
 public:
  static constexpr Duration kAddEnds = milliseconds(400), kSilent = seconds(1), kLooks = milliseconds(200);
  static constexpr Duration kFault = seconds(8), kCutFor = seconds(10), kGoneFor = seconds(4);
  static constexpr Duration kRun = seconds(30);

  World(Quota quota, const Case& what, std::uint64_t seed) : rng_(seed), quota_(quota), case_(what) {
    plan_ = std::make_shared<const Plan>(MakePlan("anna", quota.rate, quota.burst, seconds(5), 20));
    if (what.demand == Demand::kSudden) sudden_ = kStart + seconds(3) + Random(seconds(3));
    for (int i = 0; i < what.gateways; ++i) gateways_.push_back(std::make_unique<Gateway>(*this, i));
    counts_.Begin(now_ - seconds(10));
    for (Duration at = kLooks; at < kRun; at += kLooks) In(at, [this] { Look(); });
    for (auto& gateway : gateways_) gateway->Load();
    if (what.trouble != Trouble::kCalm) In(kFault + Random(seconds(1)), [this] { Begin(); });
  }

  // The most of any window of five seconds, over what the rule allows.
  double Run() {
    while (!todo_.empty() && todo_.top().at < kStart + kRun) {
      const Todo next = todo_.top();
      todo_.pop();
      now_ = next.at;
      next.act();
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
  // Of what a bucket of the tenant's rate and burst would have let in, the part that was not let in.
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
    Gateway(World& world, int number)
        : world(world), number(number), name("g" + std::to_string(number)), rng(world.rng_()) {
      offset = world.Random(world.case_.late * 2 / 3) - world.case_.late / 3;
      Restart();
    }
    void Restart() {
      ++life;
      open.clear();
      salt = rng();
      leases = std::make_unique<Leases>(*this, rng);
      Set(world.case_.gateways);
    }
    void Set(int gateways) {
      leases->Configure(world.now_, LeaseOptions(gateways, world.case_.wait, salt, 20));
    }
    // Its part of the requests changes now and then; sometimes hardly any come.
    void Load() {
      if (world.now_ < world.sudden_) return world.In(world.sudden_ - world.now_, [this] { Load(); });
      const Demand demand = world.case_.demand;
      const int n = world.case_.gateways;
      const std::int64_t second = (world.now_ - kStart) / seconds(1);
      double part = 1.0 / n, times = 0.6;
      Duration lasts = milliseconds(500) + world.Random(seconds(6));
      if (demand == Demand::kChanging) {
        part *= std::exponential_distribution<double>(1)(rng);
        times = 1 + 4 * world.Part();
      } else if (demand == Demand::kSudden) {
        part *= 0.5 + world.Part();
        times = 6;
      } else if (demand == Demand::kGathered) {
        part = number == 1 ? 1 : 0;
      } else if (demand == Demand::kHot) {
        if (second >= 5 && second < 20) times *= 8;
        lasts = seconds(5) - (world.now_ - kStart) % seconds(5);
      } else if (demand == Demand::kMoving) {
        // Then, with the fault, all at once.
        const std::int64_t turn = (world.now_ - kStart) / seconds(2);
        part = second >= 8 ? 1.0 / n : turn % n == number ? 1 : 0;
        times = second >= 8 ? 4 : 1.5;
        lasts = seconds(2) - (world.now_ - kStart) % seconds(2);
      } else if (demand == Demand::kSpread) {
        times = 2;
      }
      Next(std::max(demand == Demand::kChanging ? 0.01 : 1e-9, part * world.quota_.rate * times),
           world.now_ + lasts);
    }
    void Next(double each, TimePoint until) {
      const Duration gap = FromSeconds(std::min(1e3, std::exponential_distribution<double>(each)(rng)));
      if (world.now_ + gap > until)
        return world.In(std::max<Duration>(until - world.now_, {}), [this] { Load(); });
      world.In(gap, [this, each, until] {
        if (!down && !still) Ask();
        if (still) ++queued;
        Next(each, until);
      });
    }
    void Ask() {
      Leases::Claim& claim = claims.emplace_back();
      claim.id = RequestId{++world.last_};
      claim.arrived = world.now_;
      world.asked_.push_back(world.now_);
      leases->Ask(world.now_, claim, "anna", world.plan_);
    }

    void Admit(Leases::Claim& claim) override {
      world.admitted_.push_back(world.now_);
      world.waits_.push_back(world.now_ - claim.arrived);
    }
    void Deny(Leases::Claim& claim, Duration) override { world.waits_.push_back(world.now_ - claim.arrived); }
    void Note(const Log&) override {}
    Duration ClockOffset(const std::string&) const override { return offset; }
    // What a gateway that stands still would do is done when it goes on.
    void Then(Duration delay, std::function<void()> act) {
      world.In(delay, [this, life = life, act = std::move(act)] {
        if (life != this->life) return;
        if (still) return held.push_back(act);
        act();
      });
    }
    void Start(const SetTimer& timer) override {
      Then(timer.delay, [this, timer] { leases->OnTimer(world.now_, timer.token); });
    }
    void Answer(const AddCount& call, std::uint64_t number_of, Outcome how, double total) {
      if (open.erase(number_of) > 0) leases->OnCount(world.now_, {call.name, how, total, {}});
    }
    void Add(const std::string&, const AddCount& call) override {
      const std::uint64_t asked = ++world.last_;
      open.insert(asked);
      ++world.adds_;
      const bool here = number == 0;
      if (!here && !stream)
        return Then({}, [this, call, asked] { Answer(call, asked, Outcome::kConnectFailed, 0); });
      if (here) {
        const auto total = world.Add(*this, call);
        return Then({}, [this, call, asked, total] {
          Answer(call, asked, total ? Outcome::kOk : Outcome::kConnectFailed, total.value_or(0));
        });
      }
      Then(kAddEnds, [this, call, asked] { Answer(call, asked, Outcome::kTimeout, 0); });
      there = std::max(there, world.now_ + world.Random(world.case_.late));
      world.In(there - world.now_, [this, call, asked] {
        if (cut || world.gateways_[0]->down) return;
        const auto total = world.Add(*this, call);
        back = std::max(back, world.now_ + world.Random(world.case_.late));
        Then(back - world.now_, [this, call, asked, total] {
          if (!cut) Answer(call, asked, total ? Outcome::kOk : Outcome::kConnectFailed, total.value_or(0));
        });
      });
    }
    void GoOn() {
      still = false;
      for (; queued > 0; --queued) Ask();
      for (auto& act : std::exchange(held, {})) act();
    }
    World& world;
    const int number;
    const std::string name;
    std::mt19937_64 rng;
    std::uint64_t salt = 0;
    std::unique_ptr<Leases> leases;
    Duration offset;
    std::deque<Leases::Claim> claims;
    std::set<std::uint64_t> open;
    std::vector<std::function<void()>> held;
    TimePoint there, back;  // when the last message of its stream comes
    bool cut = false, stream = true, down = false, still = false;
    int life = 0, queued = 0;
  };

  struct Todo {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const Todo& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void In(Duration delay, std::function<void()> act) { todo_.push({now_ + delay, ++last_, std::move(act)}); }
  double Part() { return static_cast<double>(rng_() >> 11) * 0x1.0p-53; }
  Duration Random(Duration most) { return FromSeconds(Part() * Seconds(most)); }

  std::optional<double> Add(const Gateway& by, const AddCount& call) {
    return counts_.Add(now_,
                       {"anna", by.name, call.name, call.lifetime, call.amount, plan_->burst, plan_->tight});
  }
  void Look() {
    std::set<std::string> away, all;
    for (const auto& gateway : gateways_) {
      all.insert(gateway->name);
      if (gateway->number > 0 && !gateway->stream) away.insert(gateway->name);
    }
    counts_.SetAway(now_, away, std::move(all));
  }

  // `gateway` is dead for so long, and its stream comes back a while after.
  void Kill(Gateway& gateway, Duration gone) {
    gateway.down = true;
    gateway.stream = false;
    ++gateway.life;
    In(gone, [this, &gateway] {
      gateway.down = false;
      gateway.Restart();
      In(Random(milliseconds(500)), [&gateway] { gateway.stream = true; });
    });
  }

  void HolderGoes(bool killed) {
    Gateway& holder = *gateways_[0];
    holder.down = true;
    ++holder.life;
    counts_.Stop();
    const Duration seen = killed ? Duration(milliseconds(1)) : kSilent;
    for (auto& gateway : gateways_)
      if (gateway->number > 0) In(seen, [&gateway] { gateway->stream = false; });
    In(kGoneFor, [this, &holder] {
      holder.down = false;
      holder.Restart();
      counts_ = HeldCounts();
      counts_.Begin(now_);
      for (auto& gateway : gateways_)
        if (gateway->number > 0) In(Random(seconds(2)), [&gateway] { gateway->stream = true; });
    });
  }

  void Begin() {
    const int n = case_.gateways;
    const auto some = static_cast<std::size_t>(std::max(1, n * 3 / 11));
    const auto first = gateways_.size() - some;
    switch (case_.trouble) {
      case Trouble::kCalm:
        break;
      case Trouble::kCut:
        for (std::size_t i = first; i < gateways_.size(); ++i) {
          Gateway& gateway = *gateways_[i];
          gateway.cut = true;
          In(kSilent, [&gateway] { gateway.stream = false; });
          if (case_.views == Views::kShrunk) In(seconds(3), [&gateway] { gateway.Set(1); });
          In(kCutFor, [&gateway, n] {
            gateway.cut = false;
            gateway.Set(n);
          });
          In(kCutFor + Random(seconds(2)), [&gateway] { gateway.stream = true; });
        }
        break;
      case Trouble::kHolderGone:
        HolderGoes(rng_() % 2 == 0);
        break;
      case Trouble::kFar:
        for (auto& gateway : gateways_) {
          if (gateway->number == 0) continue;
          gateway->cut = true;
          In(kSilent, [&gateway] { gateway->stream = false; });
          In(kCutFor, [&gateway] { gateway->cut = false; });
          In(kCutFor + Random(seconds(2)), [&gateway] { gateway->stream = true; });
        }
        In(kSilent, [this] { counts_.Stop(); });
        In(kCutFor + Random(seconds(1)), [this] { counts_.Begin(now_); });
        break;
      case Trouble::kRoll:
        for (std::size_t i = 1; i < gateways_.size(); ++i)
          In(FromSeconds(12.0 * static_cast<double>(i) / n),
             [this, i] { Kill(*gateways_[i], milliseconds(500)); });
        break;
      case Trouble::kHerd:
        for (std::size_t i = first; i < gateways_.size(); ++i) Kill(*gateways_[i], seconds(2));
        break;
      case Trouble::kFrozen:
        for (std::size_t i = first; i < gateways_.size(); ++i) {
          Gateway& gateway = *gateways_[i];
          gateway.still = true;
          In(kSilent, [&gateway] { gateway.stream = false; });
          In(milliseconds(300) + Random(seconds(6)), [this, &gateway] {
            gateway.GoOn();
            In(Random(milliseconds(500)), [&gateway] { gateway.stream = true; });
          });
        }
        break;
      case Trouble::kAll:
        for (std::size_t i = 1; i < gateways_.size(); ++i) Kill(*gateways_[i], seconds(3));
        HolderGoes(true);
        break;
    }
  }

  std::mt19937_64 rng_;
  const Quota quota_;
  const Case case_;
  TimePoint sudden_ = kStart;
  TimePoint now_ = kStart;
  std::uint64_t last_ = 0;
  std::size_t adds_ = 0;
  std::priority_queue<Todo> todo_;
  std::shared_ptr<const Plan> plan_;
  HeldCounts counts_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<TimePoint> admitted_, asked_;
  std::vector<Duration> waits_;
};

}  // namespace curlewdoor::counting
