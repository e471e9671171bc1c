// Tests of Leases alone: several gateways, one simulated counter, virtual time. No hosts or requests.
#include "logic/leases.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "util/seconds.hpp"

namespace curlewdoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::shared_ptr<const Plan> Quota(double units, Duration window = seconds(1)) {
  Plan plan;
  plan.name = "quota";
  plan.burst = units;
  plan.rate = units / Seconds(window);
  plan.window = window;
  return std::make_shared<Plan>(plan);
}

// Simulates gateways, the counter that they share, and a clock.
class SimulatedFleet {
 public:
  struct Gateway : Leases::Port {
    Gateway(SimulatedFleet& fleet, std::uint64_t seed) : fleet(fleet), rng(seed), leases(*this, rng) {}

    void Admit(Leases::Claim& claim) override {
      ++answers[claim.id.value];
      admitted.push_back(claim.id.value);
      fleet.admitted_at.push_back({fleet.now, claim.units});
    }
    void Deny(Leases::Claim& claim, Duration retry_after) override {
      ++answers[claim.id.value];
      refused[claim.id.value] = retry_after;
    }
    void Add(const std::string& customer, const AddToCounter& call) override {
      ++calls;
      added[customer] += call.amount;
      if (fleet.counter_down) {
        fleet.After(milliseconds(500), [this, call] {
          leases.OnCounterReply(fleet.now, {call.name, Outcome::kTimeout, 0, milliseconds(500)});
        });
        return;
      }
      fleet.After(fleet.one_way_delay, [this, call] {
        const double total = fleet.counts[call.name] += call.amount;
        fleet.After(fleet.one_way_delay, [this, call, total] {
          leases.OnCounterReply(fleet.now, {call.name, Outcome::kOk, total, 2 * fleet.one_way_delay});
        });
      });
    }
    void StartTimer(const SetTimer& timer) override {
      fleet.After(timer.delay, [this, timer] { leases.OnTimer(fleet.now, timer.token); });
    }
    void WriteLog(const WriteLogLine& line) override { log.push_back(line.text); }
    Duration ClockOffset(const std::string&) const override { return offset; }

    Leases::Claim& Ask(const std::string& customer, const std::shared_ptr<const Plan>& plan,
                       double units = 1) {
      auto claim = std::make_unique<Leases::Claim>();
      claim->id = RequestId{++fleet.last_id};
      claim->units = units;
      claim->arrived = fleet.now;
      Leases::Claim& kept = *claim;
      claims.push_back(std::move(claim));
      leases.Acquire(fleet.now, kept, customer, plan);
      return kept;
    }

    SimulatedFleet& fleet;
    std::mt19937_64 rng;
    Leases leases;
    Duration offset{};
    int calls = 0;
    std::vector<std::unique_ptr<Leases::Claim>> claims;
    std::map<std::uint64_t, int> answers;
    std::map<std::uint64_t, Duration> refused;
    std::vector<std::uint64_t> admitted;
    std::map<std::string, double> added;
    std::vector<std::string> log;
  };

  explicit SimulatedFleet(int gateways, bool fixed_windows = true) {
    options.gateways = gateways;
    options.wait = milliseconds(20);
    options.fixed_windows = fixed_windows;
    for (int i = 0; i < gateways; ++i) {
      nodes.push_back(std::make_unique<Gateway>(*this, 100 + i));
      nodes.back()->leases.Configure(now, options);
    }
  }

  void After(Duration delay, std::function<void()> act) {
    pending.emplace(std::pair{now + delay, ++order}, std::move(act));
  }

  void RunTo(TimePoint end) {
    while (!pending.empty() && pending.begin()->first.first <= end) {
      auto next = pending.extract(pending.begin());
      now = next.key().first;
      next.mapped()();
    }
    now = end;
  }

  // Poisson arrivals of one-unit requests, with one rate per second for each gateway.
  void Load(const std::string& customer, const std::shared_ptr<const Plan>& plan,
            const std::vector<double>& rates, Duration length) {
    for (std::size_t i = 0; i < rates.size(); ++i) {
      std::exponential_distribution<double> gap(rates[i]);
      for (Duration at = FromSeconds(gap(rng)); at < length; at += FromSeconds(gap(rng)))
        After(at, [this, i, customer, plan] { nodes[i]->Ask(customer, plan); });
    }
    RunTo(now + length);
  }

  // Units admitted per window, with windows aligned to window_edge.
  std::map<std::int64_t, double> ByWindow(Duration window) const {
    const std::int64_t edge = window_edge.time_since_epoch().count() % window.count();
    std::map<std::int64_t, double> sums;
    for (const auto& [at, units] : admitted_at)
      sums[(at.time_since_epoch().count() - edge) / window.count()] += units;
    return sums;
  }

  // Finds a window edge from the window that a gateway reports for the customer.
  void FindWindowEdge(const std::string& customer, const std::shared_ptr<const Plan>& plan) {
    Gateway probe(*this, 1);
    Leases::Options alone = options;
    alone.counter = false;
    probe.leases.Configure(now, alone);
    const TimePoint start = now;
    std::int64_t first = -1;
    for (TimePoint at = start;; at += milliseconds(1)) {
      Leases::Claim claim;
      claim.arrived = at;
      probe.leases.Acquire(at, claim, customer, plan);
      const std::int64_t window = probe.leases.ListCustomers(at)[0].window;
      if (first >= 0 && window != first) {
        window_edge = at;
        break;
      }
      first = window;
    }
    admitted_at.clear();
  }

  double Admitted() const {
    double sum = 0;
    for (const auto& [at, units] : admitted_at) sum += units;
    return sum;
  }

  void ExpectOneAnswerEach() const {
    for (const auto& g : nodes) {
      EXPECT_EQ(g->answers.size(), g->claims.size());
      for (const auto& [id, times] : g->answers) EXPECT_EQ(times, 1) << id;
    }
  }

  Leases::Options options;
  TimePoint now{seconds(1000)}, window_edge{};
  Duration one_way_delay = milliseconds(1);
  bool counter_down = false;
  std::uint64_t last_id = 0, order = 0;
  std::mt19937_64 rng{7};
  std::map<CounterName, double> counts;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> pending;
  std::vector<std::pair<TimePoint, double>> admitted_at;
  std::vector<std::unique_ptr<Gateway>> nodes;
};

// Without faults no window of a busy customer gives more than the quota, and almost none of it stays unused.
TEST(LeasesAlone, InCalmNoWindowGivesMoreThanTheQuota) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedFleet fleet(4);
    fleet.rng.seed(seed);
    const auto plan = Quota(100);
    fleet.FindWindowEdge("hot", plan);
    fleet.RunTo(fleet.window_edge);
    fleet.Load("hot", plan, {200, 100, 50, 10}, seconds(10));
    fleet.RunTo(fleet.now + seconds(1));
    const auto sums = fleet.ByWindow(seconds(1));
    ASSERT_EQ(sums.size(), 10u);
    for (const auto& [window, units] : sums) {
      EXPECT_LE(units, 100) << window;
      EXPECT_GE(units, 90) << window;
    }
    fleet.ExpectOneAnswerEach();
    for (const auto& g : fleet.nodes) EXPECT_LT(g->calls, 10 * 60);
  }
}

// Even refill: any span gives at most a burst plus the rate during the span.
TEST(LeasesAlone, ComingBackEvenlyAnySpanKeepsToBurstAndRate) {
  SimulatedFleet fleet(4, false);
  const auto plan = Quota(100);
  fleet.Load("hot", plan, {200, 100, 50, 10}, seconds(20));
  const auto& all = fleet.admitted_at;
  double worst = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    double units = 0;
    for (std::size_t j = i; j < all.size(); ++j) {
      units += all[j].second;
      worst = std::max(worst, units - 100 * Seconds(all[j].first - all[i].first));
    }
  }
  EXPECT_LE(worst, 1.1 * 100);
  EXPECT_GE(fleet.Admitted(), 0.9 * 100 * 20);
}

TEST(LeasesAlone, ADeadCounterLeavesTheSharesNearTheQuota) {
  SimulatedFleet fleet(4);
  const auto plan = Quota(100);
  fleet.Load("hot", plan, {200, 100, 50, 50}, seconds(10));
  const std::size_t before = fleet.admitted_at.size();
  fleet.counter_down = true;
  fleet.Load("hot", plan, {200, 100, 50, 50}, seconds(2));  // until all gateways have detected it
  const std::size_t noticed = fleet.admitted_at.size();
  EXPECT_LE(noticed - before, 2.5 * 100);
  fleet.Load("hot", plan, {200, 100, 50, 50}, seconds(10));
  const double sum = static_cast<double>(fleet.admitted_at.size() - noticed);
  EXPECT_LE(sum, 1.1 * 1000);
  EXPECT_GE(sum, 0.8 * 1000);
  for (const auto& g : fleet.nodes) EXPECT_TRUE(g->leases.state().counter_down);
  fleet.counter_down = false;
  fleet.Load("hot", plan, {200, 100, 50, 50}, seconds(3));
  for (const auto& g : fleet.nodes) EXPECT_FALSE(g->leases.state().counter_down);
  const auto at = fleet.admitted_at.size();
  fleet.Load("hot", plan, {200, 100, 50, 50}, seconds(10));
  EXPECT_LE(fleet.admitted_at.size() - at, 1.1 * 1000) << "and exact again";
  fleet.RunTo(fleet.now + seconds(1));
  fleet.ExpectOneAnswerEach();
}

TEST(LeasesAlone, WithoutACounterAnUnseenCustomerGetsOneOverTheSet) {
  SimulatedFleet fleet(5);
  fleet.options.counter = false;
  for (auto& g : fleet.nodes) g->leases.Configure(fleet.now, fleet.options);
  const auto plan = Quota(100);
  fleet.FindWindowEdge("hot", plan);
  fleet.RunTo(fleet.window_edge);
  fleet.Load("hot", plan, {400, 400, 400, 400, 400}, seconds(1));
  EXPECT_NEAR(fleet.Admitted(), 100, 10);
  EXPECT_EQ(fleet.nodes[0]->calls, 0);
  fleet.options.gateways = 2;  // the other gateways left
  for (auto& g : fleet.nodes) g->leases.Configure(fleet.now, fleet.options);
  fleet.nodes[0]->Ask("unseen", plan);
  EXPECT_DOUBLE_EQ(fleet.nodes[0]->leases.ListCustomers(fleet.now)[0].share, 0.5);
}

TEST(LeasesAlone, ARefusalTellsWhenToComeBack) {
  SimulatedFleet fleet(2);
  const auto plan = Quota(10, seconds(4));
  fleet.FindWindowEdge("hot", plan);
  fleet.RunTo(fleet.window_edge + milliseconds(500));
  for (int i = 0; i < 15; ++i) {
    fleet.nodes[0]->Ask("hot", plan);
    fleet.RunTo(fleet.now + milliseconds(10));
  }
  EXPECT_EQ(fleet.nodes[0]->admitted.size(), 10u);
  ASSERT_EQ(fleet.nodes[0]->refused.size(), 5u);
  for (const auto& [id, wait] : fleet.nodes[0]->refused) {
    EXPECT_GT(wait, seconds(3));
    EXPECT_LE(wait, milliseconds(3500));  // until the window's edge
  }
  const auto last = fleet.nodes[0]->refused.rbegin()->second;
  fleet.RunTo(fleet.now + last);
  fleet.nodes[0]->Ask("hot", plan);
  fleet.RunTo(fleet.now + milliseconds(10));
  EXPECT_EQ(fleet.nodes[0]->admitted.size(), 11u);
  EXPECT_EQ(fleet.nodes[0]->refused.size(), 5u);
  fleet.nodes[0]->Ask("hot", plan, 11);
  EXPECT_EQ(fleet.nodes[0]->refused.rbegin()->second, Duration::zero()) << "it will never fit";
}

TEST(LeasesAlone, ReturnedUnitsCanBeSpentAgain) {
  SimulatedFleet fleet(2);
  const auto plan = Quota(10, seconds(4));
  fleet.FindWindowEdge("hot", plan);
  fleet.RunTo(fleet.window_edge + milliseconds(500));
  auto& g = *fleet.nodes[0];
  std::vector<Leases::Claim*> claims;
  for (int i = 0; i < 12; ++i) {
    claims.push_back(&g.Ask("hot", plan));
    fleet.RunTo(fleet.now + milliseconds(10));
  }
  EXPECT_EQ(g.admitted.size(), 10u);
  for (Leases::Claim* claim : claims) g.leases.Release(fleet.now, *claim);  // refused claims return nothing
  for (Leases::Claim* claim : claims)
    g.leases.Release(fleet.now, *claim);  // and no claim returns units twice
  EXPECT_DOUBLE_EQ(g.leases.ListCustomers(fleet.now)[0].leased, 10);
  for (int i = 0; i < 12; ++i) g.Ask("hot", plan);
  EXPECT_EQ(g.admitted.size(), 20u);
  // Units returned after the window's edge belong to the old window's quota.
  fleet.RunTo(fleet.now + seconds(4));
  g.Ask("hot", plan);
  fleet.RunTo(fleet.now + milliseconds(10));
  const double held = g.leases.ListCustomers(fleet.now)[0].leased;
  g.leases.Release(fleet.now, *g.claims[g.claims.size() - 5]);
  EXPECT_DOUBLE_EQ(g.leases.ListCustomers(fleet.now)[0].leased, held);
}

TEST(LeasesAlone, AClientThatLeftWhileWaitingGetsNoAnswer) {
  SimulatedFleet fleet(2);
  const auto plan = Quota(10);
  auto& g = *fleet.nodes[0];
  Leases::Claim& gone = g.Ask("hot", plan);
  Leases::Claim& stays = g.Ask("hot", plan);
  EXPECT_TRUE(g.answers.empty()) << "both wait for the counter";
  g.leases.Cancel(gone);
  fleet.RunTo(fleet.now + milliseconds(50));
  EXPECT_EQ(g.answers.count(gone.id.value), 0u);
  EXPECT_EQ(g.answers[stays.id.value], 1);
  EXPECT_DOUBLE_EQ(g.added["hot"], 1) << "the call was under way before the second came";
}

TEST(LeasesAlone, AChangedPlanKeepsWhatWasSpent) {
  for (const double quota : {5.0, 15.0}) {
    SimulatedFleet fleet(2);
    const auto plan = Quota(10, seconds(4)), changed = Quota(quota, seconds(4));
    fleet.FindWindowEdge("hot", plan);
    fleet.RunTo(fleet.window_edge + milliseconds(100));
    auto& g = *fleet.nodes[0];
    for (int i = 0; i < 8; ++i) {
      g.Ask("hot", plan);
      fleet.RunTo(fleet.now + milliseconds(10));
    }
    EXPECT_EQ(g.admitted.size(), 8u);
    for (int i = 0; i < 20; ++i) {
      g.Ask("hot", changed);
      fleet.RunTo(fleet.now + milliseconds(10));
    }
    EXPECT_LE(g.admitted.size(), std::max(10.0, quota)) << "a lease already held may still be spent";
    EXPECT_GE(g.admitted.size(), std::max(8.0, quota));
  }
}

// The counter holder's clock determines the window, so gateways with different clocks share one counter.
TEST(LeasesAlone, AnOffsetPutsWrongClocksRight) {
  SimulatedFleet fleet(2);
  const auto plan = Quota(100);
  auto& ahead = *fleet.nodes[1];
  ahead.offset = -milliseconds(700);
  int same = 0;
  for (int i = 0; i < 100; ++i) {
    fleet.RunTo(fleet.now + milliseconds(37));
    Leases::Claim a, b;
    a.arrived = fleet.now;
    b.arrived = fleet.now + milliseconds(700);
    fleet.nodes[0]->leases.Acquire(fleet.now, a, "hot", plan);
    ahead.leases.Acquire(fleet.now + milliseconds(700), b, "hot", plan);
    same += fleet.nodes[0]->leases.ListCustomers(fleet.now)[0].window ==
            ahead.leases.ListCustomers(fleet.now + milliseconds(700))[0].window;
    fleet.nodes[0]->leases.Cancel(a);
    ahead.leases.Cancel(b);
  }
  EXPECT_EQ(same, 100);
}

}  // namespace
}  // namespace curlewdoor
