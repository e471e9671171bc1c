// Real processes of a core, an operator who never tires, and the history of what was acknowledged and read:
// it is judged from outside alone.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "logs_on_failure.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {

class CoreScene {
 public:
  static constexpr double kSoon = 30;  // seconds that anything may take at most: the machine may be busy
  static constexpr double kStep = 0.04, kCallEnds = 5;
  static constexpr std::uint64_t kRefused = 1'000'000;  // versions of invalid configurations begin here
  static constexpr int kMostOpen = 6;                   // calls at one machine

  explicit CoreScene(const Machines::Options& options)
      : machines(options), pace(owner.loop), calls(owner.loop, pace), open_(Size()), in_force_(Size()) {}
  ~CoreScene() {
    // Frozen ones too.
    std::vector<int> all;
    for (int m = 0; m < machines.count(); ++m) all.push_back(m);
    machines.Kill(all);
  }
  CoreScene(const CoreScene&) = delete;
  CoreScene& operator=(const CoreScene&) = delete;

  bool Until(const std::function<bool()>& done, double within_s = kSoon) {
    const double ends = pace.Now() + within_s;
    while (!done()) {
      if (pace.Now() >= ends) return false;
      ev_run(owner.loop, EVRUN_ONCE);
      Step();
    }
    return true;
  }
  // What happens to be the case while this passes is what is looked for: a fault that lasts.
  void Last(double seconds) {
    Until([] { return false; }, seconds);
  }

  // All start for the first time; then versions come, one after the other.
  bool Begin() {
    Begin(machines.all());
    return Acknowledges(3) && All([this](int m) { return InForce(m) > 0; });
  }
  // These start for the first time, and versions come; without a word on what becomes of it.
  void Begin(const std::vector<int>& first) {
    for (const int m : first) machines.Start(m, true);
    asking_ = true;
  }
  // So many more acknowledgements, of calls sent from now on.
  bool Acknowledges(int more, double within_s = kSoon) {
    const std::uint64_t above = version_;
    std::size_t before = 0;
    return Until(
        [&] {
          before = 0;
          for (const auto& [version, at] : acknowledged_) before += version > above;
          return before >= static_cast<std::size_t>(more);
        },
        within_s);
  }
  // The next acknowledgement, whatever it is: `act` runs in that moment.
  bool AtAcknowledgement(std::function<void()> act) {
    act_ = std::move(act);
    return Until([this] { return act_ == nullptr; });
  }
  // Every machine that runs and isn't frozen has this.
  bool All(const std::function<bool(int)>& is) {
    return Until([&] {
      for (int m = 0; m < machines.count(); ++m)
        if (Asked(m) && !is(m)) return false;
      return true;
    });
  }
  void Freeze(int machine) {
    machines.Signal(machine, SIGSTOP);
    frozen_.push_back(machine);
  }
  void Thaw(int machine) {
    machines.Signal(machine, SIGCONT);
    std::erase(frozen_, machine);
  }
  void Restart(int machine) {
    machines.Start(machine, false);
    epoch_.erase(machine);
    members_.erase(machine);
    is_member_.erase(machine);
  }
  // Sends the next version to this machine alone.
  void PutAt(int machine) { Put(machine); }

  // An order to forget a member, once; the status of its answer.
  int Forget(int machine, int member, bool forced) {
    int status = -1;
    const std::string path =
        "/v1/system/core/forget/" + machines.name(member) + (forced ? "?forced=yes" : "");
    Call(machine, RequestText("POST", path, machines.control(machine).ToText(), "", ""),
         [&](const Answer& answer) { status = answer.whole() ? answer.status : 0; });
    Until([&] { return status >= 0; }, 2 * kCallEnds);
    return status;
  }

  // Whether this machine's view of the gateways comes to hold that one.
  bool ComesToSee(int machine, int other) {
    bool sees = false, open = false;
    return Until([&] {
      if (!sees && !std::exchange(open, true))
        Call(machine, RequestText("GET", "/v1/system/gateways", machines.control(machine).ToText(), "", ""),
             [&](const Answer& answer) {
               open = false;
               sees = answer.body.find('"' + machines.name(other) + '"') != std::string::npos;
             });
      return sees && !open;
    });
  }

  std::uint64_t InForce(int machine) const { return in_force_[At(machine)].second; }
  std::uint64_t Epoch(int machine) const { return epoch_.contains(machine) ? epoch_.at(machine) : 0; }
  // The roster that this machine tells of.
  const std::vector<std::string>& Members(int machine) { return members_[machine]; }
  bool IsMember(int machine) { return is_member_[machine]; }  // with the disk that it has now
  bool Lists(int machine, int listed) {
    const auto& members = Members(machine);
    return std::find(members.begin(), members.end(), machines.name(listed)) != members.end();
  }
  std::size_t acknowledged() const { return acknowledged_.size(); }
  double last_acknowledged_at() const { return last_at_; }
  bool answered_503() const { return answered_503_; }
  void ForgetAnswers() { answered_503_ = false; }

  // After the trouble: every machine that runs takes a version, and all have the newest in force; then the
  // history is read.
  void Judge() {
    BOOST_TEST(Acknowledges(3));
    putting_ = false;
    BOOST_TEST(All([this](int m) { return InForce(m) >= Floor(); }));
    asking_ = false;
    const auto quiet = [this] {
      return std::all_of(open_.begin(), open_.end(), [](int n) { return n == 0; });
    };
    BOOST_TEST(Until(quiet));
    for (int m = 0; m < machines.count(); ++m)
      if (Asked(m)) Read(m);
    BOOST_TEST(Until(quiet));
    for (std::size_t i = 0; i < broken_.size() && i < 10; ++i) BOOST_ERROR(broken_[i]);
    BOOST_TEST(broken_.empty());
    BOOST_TEST(reads_ > 10);
    // One core: all that work in the newest epoch tell the same roster of it.
    std::map<std::uint64_t, std::vector<std::string>> rosters;
    for (const auto& [machine, epoch] : epoch_) {
      auto members = members_[machine];
      std::sort(members.begin(), members.end());
      const auto [known, is_new] = rosters.try_emplace(epoch, members);
      BOOST_TEST((is_new || known->second == members));
    }
    const std::string name = boost::unit_test::framework::current_test_case().p_name;
    BOOST_TEST_MESSAGE(fmt::format("{}: {} acknowledged, {} reads; to the last gateway {:.0f} ms at most",
                                   name, acknowledged_.size(), reads_, worst_spread_ * 1000));
  }
  // The longest time from an acknowledgement until a gateway that ran throughout had it, or a later one.
  double worst_spread() const { return worst_spread_; }
  void MeasureSpread(bool on) { spread_ = on; }

  LoopOwner owner;
  Machines machines;
  Pace pace;
  Calls calls;

 private:
  std::size_t Size() const { return static_cast<std::size_t>(machines.count()); }
  static std::size_t At(int machine) { return static_cast<std::size_t>(machine); }
  bool Asked(int machine) {
    return machines.life(machine) > 0 && machines.Running(machine) &&
           std::find(frozen_.begin(), frozen_.end(), machine) == frozen_.end();
  }
  // The highest version that was acknowledged or read by now: no call that begins now may go below.
  std::uint64_t Floor() const { return floor_; }
  void Break(std::string what) { broken_.push_back(fmt::format("{:.3f} s: {}", pace.Now(), what)); }

  void Step() {
    if (!asking_ || pace.Now() - stepped_ < kStep) return;
    stepped_ = pace.Now();
    ++steps_;
    const auto next = [&](int from) {
      for (int i = 0; i < machines.count(); ++i) {
        const int m = (from + i) % machines.count();
        if (Asked(m) && open_[At(m)] < kMostOpen) return m;
      }
      return -1;
    };
    if (const int m = next(steps_); m >= 0 && putting_) steps_ % 8 == 5 ? PutInvalid(m) : Put(m);
    if (const int m = next(steps_ / 2); m >= 0) Read(m);
    for (int m = 0; m < machines.count(); ++m)
      if (Asked(m) && open_[At(m)] < kMostOpen) Look(m);
  }

  void Call(int machine, std::string bytes, std::function<void(const Answer&)> then) {
    ++open_[At(machine)];
    calls.Call(machines.control(machine), std::move(bytes), kCallEnds, false,
               [this, machine, then = std::move(then)](const Answer& answer) {
                 --open_[At(machine)];
                 then(answer);
               });
  }
  std::string Post(int machine, std::string text) const {
    return RequestText("POST", "/v1/config/replace", machines.control(machine).ToText(),
                       "Content-Type: application/json\r\n", std::move(text));
  }
  std::string Get(int machine, const std::string& path) const {
    return RequestText("GET", path, machines.control(machine).ToText(), "", "");
  }

  void Put(int machine) {
    const std::uint64_t version = ++version_;
    Call(machine, Post(machine, ConfigText({.version = version})), [this, version](const Answer& answer) {
      if (!answer.whole()) return;
      if (answer.status == 503) answered_503_ = true;
      if (answer.status >= 400 && answer.status < 500)
        Break(fmt::format("version {} was refused: {}", version, answer.body));
      if (answer.status != 200) return;
      acknowledged_.emplace(version, pace.Now());
      floor_ = std::max(floor_, version);
      last_at_ = pace.Now();
      if (spread_) spreading_.emplace(version, pace.Now());
      if (const auto act = std::exchange(act_, nullptr)) act();
    });
  }
  void PutInvalid(int machine) {
    std::string text = ConfigText({.version = kRefused + version_});
    const std::string from = "\"max_attempts\":3";
    text.replace(text.find(from), from.size(), "\"max_attempts\":0");
    Call(machine, Post(machine, text), [this](const Answer& answer) {
      if (answer.whole() && answer.status < 400) Break("an invalid configuration was taken");
    });
  }
  void Read(int machine) {
    Call(machine, Get(machine, "/v1/config/read"), [this, machine, floor = Floor()](const Answer& answer) {
      if (!answer.whole() || (answer.status != 200 && answer.status != 404)) return;
      std::uint64_t version = 0;
      if (answer.status == 200) {
        const auto read = nlohmann::json::parse(answer.body, nullptr, false);
        if (!read.is_object()) return Break("what was read is no configuration");
        version = read["config_version"];
        if (version >= kRefused || version > version_) return Break(fmt::format("{} was read", version));
        if (read != nlohmann::json::parse(ConfigText({.version = version})))
          Break(fmt::format("version {} isn't what was sent", version));
      }
      ++reads_;
      if (version < floor)
        Break(fmt::format("LOST: {} was acknowledged or read before, then {} was read at {}", floor, version,
                          machines.name(machine)));
      floor_ = std::max(floor_, version);
    });
  }
  // What is in force at a gateway never goes back while its process lives, and was never refused.
  void Look(int machine) {
    const int life = machines.life(machine);
    auto& [of, held] = in_force_[At(machine)];
    if (std::exchange(of, life) != life) held = 0;
    Call(machine, Get(machine, "/v1/system/config/status"), [=, this, floor = held](const Answer& answer) {
      const auto status = nlohmann::json::parse(answer.body, nullptr, false);
      if (!answer.good() || !status.is_object() || life != machines.life(machine)) return;
      const std::uint64_t version = status["version_in_force"];
      if (version >= kRefused) Break("a refused configuration is in force");
      if (version < floor)
        Break(fmt::format("{} went back from {} to {}", machines.name(machine), floor, version));
      std::uint64_t& known = in_force_[At(machine)].second;
      known = std::max(known, version);
      Spread();
    });
    Call(machine, Get(machine, "/v1/system/core"), [=, this](const Answer& answer) {
      const auto core = nlohmann::json::parse(answer.body, nullptr, false);
      if (!answer.good() || !core.is_object() || life != machines.life(machine)) return;
      const std::uint64_t epoch = core["epoch"];
      if (epoch < epoch_[machine]) return;  // an answer that others have overtaken
      epoch_[machine] = epoch;
      is_member_[machine] = core["member"];
      members_[machine].clear();
      for (const auto& member : core["members"]) members_[machine].push_back(member["name"]);
    });
  }
  void Spread() {
    for (auto it = spreading_.begin(); it != spreading_.end();) {
      bool all = true;
      for (int m = 0; m < machines.count(); ++m)
        if (Asked(m) && InForce(m) < it->first) all = false;
      if (!all) return;
      worst_spread_ = std::max(worst_spread_, pace.Now() - it->second);
      it = spreading_.erase(it);
    }
  }

  const LogsOnFailure logs_{machines};
  bool asking_ = false, putting_ = true, answered_503_ = false, spread_ = false;
  double stepped_ = 0, last_at_ = 0, worst_spread_ = 0;
  int steps_ = 0, reads_ = 0;
  std::uint64_t version_ = 0, floor_ = 0;
  std::map<std::uint64_t, double> acknowledged_, spreading_;
  std::function<void()> act_;
  std::vector<int> open_, frozen_;
  std::vector<std::pair<int, std::uint64_t>> in_force_;  // life, version
  std::map<int, std::uint64_t> epoch_;
  std::map<int, std::vector<std::string>> members_;
  std::map<int, bool> is_member_;
  std::vector<std::string> broken_;
};

}  // namespace curlewdoor::systemkit
