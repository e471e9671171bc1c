// Hosts leave, in each way, while gateways are stopped, killed, cut off and lose their streams, two or three
// troubles at a time, by seeds: real processes with relays between them. Judged from outside, with gateways
// excused only while no majority could answer them, and by the gateways' own check
// (written_to_leaving_total).
//
// CURLEWDOOR_SOAK_SEEDS=N plays seeds 1 to N (CI: 2), CURLEWDOOR_SOAK_FIRST=K begins at K;
// CURLEWDOOR_SOAK_S=S: seconds of each.
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "systemkit/environment.hpp"
#include "systemkit/troubles.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr int kCore = 3, kOthers = 3, kAll = kCore + kOthers;
constexpr double kSoon = 30;
constexpr double kProvedAgain =
    2.5;                      // seconds in which a gateway that a majority answers has proved its list
constexpr double kDrain = 2;  // ... of drain_ms
constexpr double kAskEvery = 0.01;
constexpr double kLeaveEvery = 0.3;
constexpr std::size_t kMostLeavers = 24;  // at once

Machines::Options Deployment() {
  Machines::Options options;
  options.program = ProgramToPlay(CURLEWDOOR_PROGRAM);
  options.core = kCore;
  options.others = kOthers;
  options.relayed = true;
  options.heartbeat_ms = 1500;
  return options;
}

class Soak {
 public:
  explicit Soak(int seed) : random_(static_cast<std::uint64_t>(seed)), seed_(seed), world_(Deployment()) {}
  ~Soak() { world_.machines.Kill(world_.machines.all()); }

  void Play(double seconds) {
    BOOST_REQUIRE(world_.Start());
    const double ends = world_.pace.Now() + seconds;
    while (world_.pace.Now() < ends) {
      Load();
      Trouble();
      out_of_reach_.Sample(world_.pace.Now(), world_, troubles_);
      world_.For(0.005);
    }
    troubles_.EndAll();
    for (const double settled = world_.pace.Now() + kProvedAgain; world_.pace.Now() < settled;) {
      Load();
      out_of_reach_.Sample(world_.pace.Now(), world_, troubles_);
      world_.For(0.005);
    }
    BOOST_TEST(world_.Settle());
    Judge();
  }

 private:
  double Draw(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  int Pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }

  // ---- The load: requests at all gateways, hosts that come and leave
  void Load() {
    const double now = world_.pace.Now();
    if (now >= ask_at_) {
      ask_at_ = now + kAskEvery;
      for (int i = 0; i < 3; ++i) world_.clients.AskAt(Reads(0), Pick(kAll));
    }
    if (now < leave_at_) return;
    leave_at_ = now + kLeaveEvery * Draw(0.5, 1.5);
    const auto here =
        std::count_if(leavers_.begin(), leavers_.end(), [](Host* host) { return !host->ended(); });
    if (static_cast<std::size_t>(here) < kMostLeavers && world_.hosts.size() < 90)
      leavers_.push_back(&AddLeaver());
    for (Host* host : leavers_) {
      if (!host->acknowledged() || leaving_.contains(host)) continue;
      leaving_.insert(host);
      host->CallFirst(static_cast<std::size_t>(Pick(kAll)));
      host->Drain();
      break;
    }
  }
  Host& AddLeaver() {
    return world_.AddHost("first", [this](Host::Options& options) {
      options.serves_on_s = Draw(0.2, 5);
      options.deregisters_first = Pick(2) == 0;
      options.beat_late_s = Pick(3) == 0 ? 2.5 : 0;
    });
  }

  // ---- Troubles: two or three overlap
  void Trouble() {
    troubles_.EndDue();
    const double now = world_.pace.Now();
    if (now < trouble_at_) return;
    trouble_at_ = now + Draw(0.5, 1.8);
    switch (Pick(7)) {
      case 0:
        return troubles_.Kill({Pick(kAll)}, Draw(0.05, 1.5));
      case 1:
        return CutOff(Pick(kCore));
      case 2:
        return troubles_.Reset(Pick(kAll));
      case 3:
        if (Pick(4) == 0) return troubles_.Kill({0, 1, 2}, 0.3);
        return troubles_.Cut(Pick(kAll), {Pick(kCore)}, false, Draw(0.3, 5));
      default:
        return troubles_.Stop(Pick(kAll), Draw(0.2, 5));
    }
  }
  // A member from the other members, and from some other machines too.
  void CutOff(int member) {
    std::vector<int> others;
    for (int other = 0; other < kAll; ++other)
      if (other < kCore || Pick(3) == 0) others.push_back(other);
    troubles_.Cut(member, others, Pick(4) == 0, Draw(0.3, 6));
  }

  // ---- The verdict
  void Judge() {
    int late = 0, excused = 0, acknowledged = 0;
    std::map<std::string, const Try*> tries;
    for (const Try& one : world_.sightings.tries()) tries[one.id] = &one;
    for (const Host* host : leavers_) acknowledged += host->drain_acknowledged() ? 1 : 0;
    for (const Run& run : world_.sightings.runs()) {
      const auto leave = world_.sightings.drained().find(run.instance);
      if (leave == world_.sightings.drained().end() || run.at <= leave->second + kDrain) continue;
      const auto one = tries.find(run.id);
      const int gateway = one == tries.end() ? -1 : one->second->gateway;
      if (gateway >= 0 && out_of_reach_.Touches(gateway, run.at - kProvedAgain, run.at)) {
        ++excused;
        continue;
      }
      if (++late <= 5)
        BOOST_ERROR(
            fmt::format("seed {}: DRAIN: {} by gateway {} at {:.3f} s reached {} {:.3f} s after its "
                        "acknowledgement",
                        seed_, run.id, gateway, run.at, run.instance, run.at - leave->second));
    }
    BOOST_TEST(late == 0);
    BOOST_TEST(acknowledged > 0);
    int others = 0;
    for (const std::string& breach : world_.sightings.Breaches()) {
      if (breach.find("DRAIN") != std::string::npos) continue;
      if (++others <= 5) BOOST_ERROR(fmt::format("seed {}: {}", seed_, breach));
    }
    BOOST_TEST(others == 0);
    for (int g = 0; g < kAll; ++g) BOOST_TEST(Figure(g, "written_to_leaving_total") == 0);
    BOOST_TEST_MESSAGE(fmt::format(
        "seed {}: {} leaves acknowledged, {} requests, {} late at a gateway that the core couldn't reach",
        seed_, acknowledged, world_.sightings.tries().size(), excused));
    if (late > 0 || others > 0) BOOST_TEST_MESSAGE(world_.machines.Logs(200));
  }
  double Figure(int gateway, const std::string& name) {
    double value = -1;
    bool over = false;
    const Address to = world_.machines.control(gateway);
    world_.calls.Call(to, RequestText("GET", "/v1/system/figures", to.ToText(), "", ""), 2, false,
                      [&](const Answer& answer) {
                        over = true;
                        const auto at = answer.body.find("\ncurlewdoor_" + name + " ");
                        if (answer.good() && at != std::string::npos)
                          value = std::atof(answer.body.c_str() + at + name.size() + 13);
                      });
    BOOST_TEST(world_.Until([&] { return over; }, kSoon));
    return value;
  }

  std::mt19937_64 random_;
  const int seed_;
  World world_;
  Troubles troubles_{world_};
  OutOfReach out_of_reach_{kCore, kAll};
  double ask_at_ = 0, leave_at_ = 0, trouble_at_ = 0;
  std::vector<Host*> leavers_;
  std::set<Host*> leaving_;
};

BOOST_AUTO_TEST_CASE(hosts_leave_under_overlapping_troubles) {
  const int first = Setting("CURLEWDOOR_SOAK_FIRST", 1), seeds = Setting("CURLEWDOOR_SOAK_SEEDS", 2);
  for (int seed = first; seed < first + seeds; ++seed) Soak(seed).Play(Setting("CURLEWDOOR_SOAK_S", 12));
}

}  // namespace
}  // namespace curlewdoor::systemkit
