// Hosts leave, in each way, while gateways are stopped, killed, cut off and lose their streams, two or three
// troubles at a time, by seeds: real processes with relays between them. Judged from outside, with "in touch"
// as RULES.md has it, and by the gateways' own check (written_to_leaving_total).
//
// CURLEWDOOR_SOAK_SEEDS=N plays seeds 1 to N (CI: 2), CURLEWDOOR_SOAK_FIRST=K begins at K;
// CURLEWDOOR_SOAK_S=S: seconds of each.
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr int kCore = 3, kOthers = 3, kAll = kCore + kOthers;
constexpr double kSoon = 30;
constexpr double kContact = 3;  // seconds of contact_ms
constexpr double kDrain = 2;    // ... of drain_ms
constexpr double kAskEvery = 0.01;
constexpr double kLeaveEvery = 0.3;
constexpr std::size_t kMostLeavers = 24;  // at once

int Setting(const char* name, int usual) {
  const char* told = std::getenv(name);
  return told != nullptr ? std::atoi(told) : usual;
}

Machines::Options Deployment() {
  Machines::Options options;
  const char* program = std::getenv("CURLEWDOOR_SOAK_PROGRAM");  // another version, to see it fail
  options.program = program != nullptr ? program : CURLEWDOOR_PROGRAM;
  options.core = kCore;
  options.others = kOthers;
  options.relayed = true;
  options.heartbeat_ms = 1500;
  return options;
}

// Since when, and until when, a gateway was what it shouldn't be.
class Spans {
 public:
  void Sample(double now, bool holds) {
    if (holds && !open_) spans_.push_back({now, now});
    if (holds) spans_.back().second = now;
    open_ = holds;
  }
  bool Touches(double from, double to) const {
    return std::any_of(spans_.begin(), spans_.end(),
                       [&](const auto& span) { return span.first <= to && span.second >= from; });
  }

 private:
  std::vector<std::pair<double, double>> spans_;
  bool open_ = false;
};

class Soak {
 public:
  explicit Soak(int seed) : random_(static_cast<std::uint64_t>(seed)), seed_(seed), world_(Deployment()) {}
  ~Soak() { world_.machines.Kill(world_.machines.all()); }

  void Play(double seconds) {
    BOOST_REQUIRE(world_.Start());
    const double ends = world_.pace.Now() + seconds;
    while (world_.pace.Now() < ends) {
      Load();
      Troubles();
      Sample();
      world_.For(0.005);
    }
    Heal();
    for (const double settled = world_.pace.Now() + kContact; world_.pace.Now() < settled;) {
      Load();
      Sample();
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

  // ---- Troubles: each ends by itself; two or three overlap
  void Troubles() {
    const double now = world_.pace.Now();
    if (now >= trouble_at_) {
      trouble_at_ = now + Draw(0.5, 1.8);
      Begin();
    }
    while (!ends_.empty() && ends_.begin()->first <= now) {
      const auto end = std::move(ends_.begin()->second);
      ends_.erase(ends_.begin());
      end();
    }
  }
  void Begin() {
    switch (Pick(7)) {
      case 0:
      case 1:
      case 6:
        return Stop(Pick(kAll), Draw(0.2, 5));
      case 2:
        return Kill({Pick(kAll)}, Draw(0.05, 1.5));
      case 3:
        return CutOff(Pick(kCore), Draw(0.3, 6));
      case 4:
        return world_.relays->Reset(Pick(kAll)), NoteReset();
      default:
        return Pick(4) == 0 ? Kill({0, 1, 2}, 0.3) : CutPair(Pick(kAll), Pick(kCore), Draw(0.3, 5));
    }
  }
  void Stop(int machine, double seconds) {
    if (stopped_.contains(machine) || !world_.machines.Running(machine)) return;
    world_.machines.Signal(machine, SIGSTOP);
    stopped_.insert(machine);
    Later(seconds, [this, machine] { Go(machine); });
  }
  void Go(int machine) {
    if (stopped_.erase(machine) > 0) world_.machines.Signal(machine, SIGCONT);
  }
  void Kill(const std::vector<int>& machines, double seconds) {
    std::vector<int> here;
    for (const int machine : machines)
      if (world_.machines.Running(machine)) here.push_back(machine);
    for (const int machine : here) stopped_.erase(machine);
    world_.machines.Kill(here);
    Later(seconds, [this, here] {
      for (const int machine : here)
        if (!world_.machines.Running(machine)) world_.machines.Start(machine, false);
    });
  }
  // A member from the other members, and half of the time from some other machines too.
  void CutOff(int member, double seconds) {
    std::vector<int> others;
    for (int other = 0; other < kAll; ++other)
      if (other != member && (other < kCore || Pick(3) == 0)) others.push_back(other);
    const bool one_way = Pick(4) == 0;
    for (const int other : others) {
      Cut(member, other);
      if (!one_way) Cut(other, member);
    }
    Later(seconds, [this, member, others] {
      for (const int other : others) {
        Join(member, other);
        Join(other, member);
      }
    });
  }
  void CutPair(int a, int b, double seconds) {
    if (a == b) return;
    Cut(a, b);
    Cut(b, a);
    Later(seconds, [this, a, b] {
      Join(a, b);
      Join(b, a);
    });
  }
  void Cut(int from, int to) {
    ++cuts_[{from, to}];
    world_.relays->Cut(from, to);
  }
  void Join(int from, int to) {
    if (--cuts_[{from, to}] == 0) world_.relays->Join(from, to);
  }
  void Later(double seconds, std::function<void()> end) {
    ends_.emplace(world_.pace.Now() + seconds, std::move(end));
  }
  void NoteReset() { reset_at_ = world_.pace.Now(); }
  void Heal() {
    for (auto& [at, end] : ends_) end();
    ends_.clear();
    for (const int machine : std::set<int>(stopped_)) Go(machine);
  }

  // ---- Who is in touch, as the rules have it
  bool Runs(int machine) { return world_.machines.Running(machine); }
  bool Reaches(int a, int b) { return a == b || (cuts_[{a, b}] == 0 && cuts_[{b, a}] == 0); }
  void Sample() {
    const double now = world_.pace.Now();
    std::vector<int> in_majority;
    for (int member = 0; member < kCore; ++member) {
      int reached = 0;
      for (int other = 0; other < kCore; ++other)
        reached += Runs(member) && Runs(other) && Reaches(member, other);
      if (2 * reached > kCore) in_majority.push_back(member);
    }
    for (int g = 0; g < kAll; ++g) {
      const auto answer = std::count_if(in_majority.begin(), in_majority.end(), [&](int member) {
        return Reaches(g, member) && !stopped_.contains(member);
      });
      const bool away = !Runs(g) || 2 * answer <= kCore || now - reset_at_ < 0.05;
      // Without a core that answers, or ways to it, a gateway can't know. That it was paused is no excuse
      // here, though the rules take it as one.
      out_of_reach_[g].Sample(now, away);
    }
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
      const double from = std::min(leave->second, run.at - kContact);
      if (gateway >= 0 && out_of_reach_[gateway].Touches(from, run.at)) {
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
  double ask_at_ = 0, leave_at_ = 0, trouble_at_ = 0, reset_at_ = -1;
  std::vector<Host*> leavers_;
  std::set<Host*> leaving_;
  std::multimap<double, std::function<void()>> ends_;
  std::set<int> stopped_;
  std::map<std::pair<int, int>, int> cuts_;
  std::map<int, Spans> out_of_reach_;
};

BOOST_AUTO_TEST_CASE(hosts_leave_under_overlapping_troubles) {
  const int first = Setting("CURLEWDOOR_SOAK_FIRST", 1), seeds = Setting("CURLEWDOOR_SOAK_SEEDS", 2);
  for (int seed = first; seed < first + seeds; ++seed) Soak(seed).Play(Setting("CURLEWDOOR_SOAK_S", 12));
}

}  // namespace
}  // namespace curlewdoor::systemkit
