// QUOTA over many real gateways while members of the core, which hold the counts, go and come back in series:
// judged from the hosts' side by the rule's sliding windows.
//
// CURLEWDOOR_QUOTA_GATEWAYS=N: gateways in all; CURLEWDOOR_QUOTA_S=S: seconds of trouble;
// CURLEWDOOR_QUOTA_SEED=K: the (first) seed; CURLEWDOOR_QUOTA_SEEDS=N: so many of the soak.
// CURLEWDOOR_QUOTA_FIGURES=1 with --log_level=message prints each half second what ran, and what was let in
// by lease and by share.
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "systemkit/environment.hpp"
#include "systemkit/figures_watch.hpp"
#include "systemkit/troubles.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kGateways = 24;
#else
constexpr int kGateways = 60;
#endif
constexpr int kSeconds = 20, kSoakGateways = 12, kSoakSeeds = 1;
constexpr int kCore = 5, kNarrow = 3;
constexpr char kGathered[] = "gathered";  // a tenant all of whose requests come through one gateway
constexpr double kWindow = 5;             // seconds
constexpr double kFigureEvery = 0.5, kTakenInAgain = 6, kEnded = 6.5;

class Series {
 public:
  Series(int gateways, int seed)
      : gateways_(Setting("CURLEWDOOR_QUOTA_GATEWAYS", gateways)),
        random_(static_cast<std::uint64_t>(seed)),
        world_(Deployment(gateways_)) {
    // Several, so that each member holds the count of one or more.
    for (int i = 0; i < kNarrow; ++i) config_.limits.push_back({fmt::format("narrow-{}", i), 90, 45});
    config_.limits.push_back({"wide", 60, 60});
    config_.limits.push_back({kGathered, 110, 55});
  }
  ~Series() { world_.machines.Kill(world_.machines.all()); }

  bool Begin() {
    if (!world_.Start(config_)) return false;
    world_.For(kWindow + 1);
    Load(kWindow + 1);
    return true;
  }

  // One member at a time is killed, is back within 2 s, and the next one goes 1 to 3 s later. `wiped`: its
  // disk is lost too, so that each time another membership of the core begins all counts anew.
  void KillMembersInSeries(double seconds, bool wiped) {
    const double ends = world_.pace.Now() + seconds;
    for (double next = world_.pace.Now(); world_.pace.Now() < ends; Load(0.005)) {
      if (world_.pace.Now() < next) continue;
      const double away = Draw(0.2, 2);
      const int member = Pick(kCore);
      if (wiped) {
        troubles_.LoseDisk(member, away);
      } else {
        troubles_.Kill({member}, away);
      }
      next = world_.pace.Now() + away + Draw(1, 3);
    }
    troubles_.EndAll();
    Load(2);
  }

  // Kills, wiped disks, pauses, ends in order, new settings and new configurations, which overlap: one
  // member of the core at a time is troubled, and one other gateway.
  void Soak(double seconds) {
    const double ends = world_.pace.Now() + seconds;
    double next = 0, next_other = 0;
    for (; world_.pace.Now() < ends; Load(0.005)) {
      if (world_.pace.Now() >= next) next = world_.pace.Now() + Trouble(Pick(kCore), true) + Draw(0.5, 3);
      if (world_.pace.Now() >= next_other)
        next_other = world_.pace.Now() + Trouble(kCore + Pick(gateways_ - kCore), false) + Draw(0, 1);
    }
    troubles_.EndAll();
    Load(2);
  }

  void Judge() {
    BOOST_TEST(world_.Settle());
    for (const ConfigOptions::Limit& limit : config_.limits) {
      const int most = world_.sightings.MostWithin(limit.tenant, kWindow);
      const double allowed = (limit.rate_per_s * kWindow + limit.burst_size) * 1.1 + 20;
      BOOST_TEST_MESSAGE(limit.tenant << ": " << world_.sightings.RunsOf(limit.tenant) << " ran, at most "
                                      << most << " in " << kWindow << " s, " << allowed << " allowed");
      BOOST_TEST(most <= allowed, limit.tenant << ": " << most << " of " << allowed);
      BOOST_TEST(most >= limit.rate_per_s * kWindow / 2, limit.tenant << ": its quota is used");
    }
    const auto breaches = world_.sightings.Breaches();
    BOOST_TEST(breaches.size() == 0u, (breaches.empty() ? "" : breaches.front()));
  }

 private:
  static Machines::Options Deployment(int gateways) {
    Machines::Options options;
    options.program = ProgramToPlay(CURLEWDOOR_PROGRAM);
    options.core = kCore;
    options.others = gateways - kCore;
    options.machine_failures = Setting("CURLEWDOOR_QUOTA_FAILURES", 2);
    options.quota_window_s = kWindow;
    options.heartbeat_ms = 1500;
    return options;
  }
  double Draw(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }

  int Pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }

  // Seconds that it lasts.
  double Trouble(int machine, bool member) {
    if (!troubles_.Runs(machine) || troubles_.Ending(machine)) return 0;
    const double lasts = Draw(0.1, 2.5);
    switch (Pick(7)) {
      case 0:
      case 1:
        troubles_.Kill({machine}, lasts);
        return lasts;
      case 2:
        troubles_.Stop(machine, lasts);
        return lasts;
      case 3:
        // Not before the core has taken in the member that lost the one before.
        if (!member || world_.pace.Now() < disk_lost_at_ + kTakenInAgain) return 0;
        disk_lost_at_ = world_.pace.Now();
        troubles_.LoseDisk(machine, lasts);
        return lasts;
      case 4:
        troubles_.EndInOrder(machine, kEnded);
        return kEnded;
      case 5:
        world_.machines.ChangeSettings(machine);
        world_.machines.Signal(machine, SIGHUP);
        return 0;
      default:
        ++config_.version;
        world_.oper.Replace(config_.version, ConfigText(config_));
        return 0;
    }
  }
  int AnyThatRuns() {
    int gateway = 0;
    do gateway = Pick(gateways_);
    while (!troubles_.Runs(gateway));
    return gateway;
  }
  // Even demand through all gateways that run; of kGathered through the last one alone.
  void Load(double seconds) {
    const double ends = world_.pace.Now() + seconds;
    do {
      const double now = world_.pace.Now(), passed = std::min(now - loaded_at_, 0.1);
      loaded_at_ = now;
      for (const ConfigOptions::Limit& limit : config_.limits) {
        double& due = due_[limit.tenant];
        for (due += demand_ * limit.rate_per_s * passed; due >= 1; due -= 1) {
          int gateway = gateways_ - 1;
          if (limit.tenant != kGathered) gateway = AnyThatRuns();
          world_.clients.AskAt(Limited(limit.tenant, 0), gateway);
        }
      }
      troubles_.EndDue();
      world_.For(0.005);
      Print();
    } while (world_.pace.Now() < ends);
  }

  // What tells leases and shares side by side from shares alone: the gateways' own figures.
  void Print() {
    if (std::getenv("CURLEWDOOR_QUOTA_FIGURES") == nullptr || world_.pace.Now() < figures_at_) return;
    figures_at_ = world_.pace.Now() + kFigureEvery;
    std::string line = fmt::format("{:6.2f}", world_.pace.Now());
    for (const ConfigOptions::Limit& limit : config_.limits) {
      const int ran = world_.sightings.RunsOf(limit.tenant);
      line += fmt::format(" {} {}", limit.tenant, ran - std::exchange(ran_[limit.tenant], ran));
    }
    line += figures_.Growth();
    for (int m = 0; m < kCore; ++m) line += world_.machines.Running(m) ? " up" : " down";
    BOOST_TEST_MESSAGE(line);
    figures_.Ask([this](int gateway) { return troubles_.Runs(gateway); });
  }

  const int gateways_;
  const double demand_ = Setting("CURLEWDOOR_QUOTA_DEMAND_TENTHS", 25) / 10.0;  // times the limit
  std::mt19937_64 random_;
  ConfigOptions config_;
  World world_;
  Troubles troubles_{world_};
  double loaded_at_ = 0, figures_at_ = 0;
  FiguresWatch figures_{world_, "curlewdoor_quota_"};
  double disk_lost_at_ = 0;
  std::map<std::string, double> due_;
  std::map<std::string, int> ran_;
};

BOOST_AUTO_TEST_CASE(no_tenant_gets_more_than_its_limit_while_members_are_killed_in_series) {
  Series series(kGateways, Setting("CURLEWDOOR_QUOTA_SEED", 1));
  BOOST_REQUIRE(series.Begin());
  series.KillMembersInSeries(Setting("CURLEWDOOR_QUOTA_S", kSeconds), false);
  series.Judge();
}

BOOST_AUTO_TEST_CASE(no_tenant_gets_more_than_its_limit_while_members_lose_their_disks_in_series) {
  Series series(kGateways, Setting("CURLEWDOOR_QUOTA_SEED", 1));
  BOOST_REQUIRE(series.Begin());
  series.KillMembersInSeries(Setting("CURLEWDOOR_QUOTA_S", kSeconds), true);
  series.Judge();
}

BOOST_AUTO_TEST_CASE(no_tenant_gets_more_than_its_limit_under_any_mix_of_troubles) {
  const int first = Setting("CURLEWDOOR_QUOTA_SEED", 1);
  for (int seed = first; seed < first + Setting("CURLEWDOOR_QUOTA_SEEDS", kSoakSeeds); ++seed)
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST_MESSAGE("seed " << seed);
      Series series(kSoakGateways, seed);
      BOOST_REQUIRE(series.Begin());
      series.Soak(Setting("CURLEWDOOR_QUOTA_S", kSeconds));
      series.Judge();
    }
}

}  // namespace
}  // namespace curlewdoor::systemkit
