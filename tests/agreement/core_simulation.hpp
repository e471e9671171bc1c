// A simulated cluster of cores in virtual time with injected faults. The run methods return a description of
// the first violated guarantee, or an empty string.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "agreement/codec.hpp"
#include "agreement/core.hpp"

namespace curlewdoor::agreement::test {

using std::chrono::milliseconds;

// A machine of the simulated cluster, its disk, and its running process, if any.
struct Machine {
  std::string name, address;
  std::map<std::string, std::string> disk;
  std::uint64_t incarnation = 0;
  Location location{};
  bool bootstrap = true, removed = false, fails_writes = false;
  std::unique_ptr<Core> core;
  std::uint64_t run = 0, committed = 0;  // `committed`: the highest version committed in this run
  Time changed_at{}, writes_stall_until{};
  Member member() const { return {{name, incarnation}, address}; }
};

// The fault numbers (see CoreSimulation::InjectFault) that a run draws from; repeated ones are more likely.
using FaultMix = std::vector<int>;
inline const FaultMix kAllFaults{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13};
// Crashes, power loss, disks that stall or fail writes.
inline const FaultMix kDiskFaults{0, 1, 2, 2, 5, 5, 6, 6};
// Partitions, slow one-way links, some crashes.
inline const FaultMix kNetworkFaults{0, 3, 3, 4, 4, 11, 12, 13};
// Wiped disks, replaced machines, some others.
inline const FaultMix kMembershipFaults{0, 2, 4, 5, 7, 7, 8, 8, 9};

// Runs the machines, their messages and disks as events in virtual time.
class CoreSimulation {
 public:
  CoreSimulation(std::uint64_t seed, CoreOptions options, std::size_t machines,
                 const FaultMix& faults = kAllFaults)
      : random_(seed), options_(options), fault_mix_(faults) {
    options_.min_members = machines / 2 + 1;
    max_lost_ = (machines - 1) / 2;
    if (seed % 2 == 1) {  // frequent membership changes
      options_.replace_dead_after = milliseconds(200);
      options_.grow_after = milliseconds(300);
      view_lag_ = milliseconds(100);
    }
    for (std::size_t i = 0; i < machines; ++i) Add(true);
    for (std::size_t i = 0; i < machines; ++i) At(RandomBelow(300), [this, i] { StartUp(i); });
    if (seed % 2 == 1) {
      Add(false);
      At(4000, [this, machines] { StartUp(machines); });
    }
    ScheduleViews();
  }

  // Runs with random faults and calls, then without faults. Empty: every guarantee was kept.
  std::string RunWithFaults(milliseconds fault_duration) {
    Run(milliseconds(6000));
    for (auto& m : machines_) {
      if (m.core && (m.core->membership().epoch == 0 || !m.core->learned())) Fail("no first membership");
    }
    faults_active_ = true;
    ScheduleFault();
    ScheduleCall();
    Run(fault_duration);
    faults_active_ = false;
    partitions_.clear();
    slow_links_.clear();
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      machines_[i].fails_writes = false;
      machines_[i].writes_stall_until = {};
      if (!machines_[i].removed && !machines_[i].core) StartUp(i);
    }
    for (int tries = 0; tries < 15 && !last_acked_; ++tries) {
      for (std::size_t i = 0; i < machines_.size(); ++i) Put(i, ++version_, true);
      Run(milliseconds(200));
    }
    if (!last_acked_) Fail("no Put is acknowledged within 3 s after the trouble");
    for (int tries = 0; tries < 10 && !AllCaughtUp(); ++tries)
      Run(milliseconds(500));  // the membership may still change
    if (!AllCaughtUp()) Fail("a member has not learned the committed value");
    return failure_;
  }

  // Partitions the first machine from the others during the first start, for `span`. Empty: exactly one core
  // resulted.
  std::string StartPartitioned(milliseconds span) {
    options_.min_members = machines_.size();
    for (std::size_t k = 1; k < machines_.size(); ++k) partitions_.insert({0, k});
    Run(span);
    if (std::none_of(machines_.begin(), machines_.end(),
                     [](const Machine& m) { return m.core && m.core->membership().epoch > 0; }))
      Fail("no core has started");
    partitions_.clear();
    Run(std::chrono::seconds(10));
    for (const Machine& m : machines_)
      if (!m.core->learned() || m.core->membership().epoch != machines_[1].core->membership().epoch)
        Fail("a machine did not join the core");
    return failure_;
  }

  // A fourth machine joins as a spare and becomes a member when another one is permanently lost after `span`.
  std::string ReplaceAfter(milliseconds span) {
    Run(milliseconds(6000));
    options_.grow_after = std::chrono::hours(1);
    for (auto& m : machines_) Stop(static_cast<std::size_t>(&m - machines_.data()));
    Add(false);
    for (std::size_t i = 0; i < machines_.size(); ++i) StartUp(i);
    Run(span);
    if (machines_.back().core->member()) Fail("the spare became a member too early");
    Stop(0);
    machines_[0].removed = true;
    Run(std::chrono::seconds(10));
    if (!machines_.back().core->member()) Fail("the spare did not become a member");
    return failure_;
  }

  // Two of three members are lost permanently, one after the other, with two spares present. No member is
  // complete in the epoch that the first replacement starts, so the second replacement must wait. Empty: it
  // waited, and happened afterwards.
  std::string SecondReplacementWaits() {
    options_.grow_after = std::chrono::hours(1);
    options_.wait_for_complete = true;
    Run(milliseconds(6000));
    for (int i = 0; i < 2; ++i) {
      Add(false);
      StartUp(machines_.size() - 1);
    }
    Run(std::chrono::seconds(5));
    const std::uint64_t first = NewestEpoch();
    complete_up_to_epoch_ = first;
    LosePermanently(0);
    Run(std::chrono::seconds(10));
    if (NewestEpoch() != first + 1) Fail("the first replacement does not happen");
    LosePermanently(1);
    Run(std::chrono::seconds(20));
    if (NewestEpoch() != first + 1) Fail("the second replacement does not wait");
    complete_up_to_epoch_ = first + 1;
    Run(std::chrono::seconds(10));
    if (NewestEpoch() != first + 2) Fail("the second replacement does not happen");
    return failure_;
  }

  // Starts the initial machines and adds the rest later, at these locations. Returns what the membership
  // tolerates once it is stable.
  FaultTolerance RunUntilStable(const std::vector<Location>& locations) {
    for (std::size_t i = 0; i < machines_.size(); ++i) machines_[i].location = locations[i];
    Run(milliseconds(6000));
    while (machines_.size() < locations.size()) {
      Add(false);
      machines_.back().location = locations[machines_.size() - 1];
      StartUp(machines_.size() - 1);
    }
    Run(std::chrono::seconds(60));
    return MembershipTolerance();
  }
  FaultTolerance MembershipTolerance() const {
    const Machine* newest = nullptr;
    for (const Machine& m : machines_)
      if (m.core && (newest == nullptr || m.core->membership().epoch > newest->core->membership().epoch))
        newest = &m;
    std::vector<Location> locations;
    for (const Member& member : newest->core->membership().members)
      for (const Machine& m : machines_)
        if (m.member().incarnation == member.incarnation) locations.push_back(m.location);
    return FaultToleranceOf(locations);
  }
  std::size_t membership_size() const {
    std::size_t size = 0;
    for (const Machine& m : machines_)
      if (m.core) size = std::max(size, m.core->membership().members.size());
    return size;
  }
  // Stops all machines of a zone. Empty: a put was confirmed within 3 s.
  std::string StopZone(const std::string& zone) {
    for (std::size_t i = 0; i < machines_.size(); ++i)
      if (machines_[i].location.zone == zone) Stop(i);
    const std::uint64_t acknowledged = acknowledged_count_;
    for (int tries = 0; tries < 15 && acknowledged_count_ == acknowledged; ++tries) {
      for (std::size_t i = 0; i < machines_.size(); ++i) Put(i, ++version_, true);
      Run(milliseconds(200));
    }
    if (acknowledged_count_ == acknowledged) Fail("without zone " + zone + " no put is confirmed within 3 s");
    return failure_;
  }
  void RestartAll() {
    for (std::size_t i = 0; i < machines_.size(); ++i) StartUp(i);
    Run(std::chrono::seconds(60));
  }

  // `rounds` times: eight operators put two contents under each of four versions at once, and repeat each put
  // until its answer is clear. Records the time from the first put of a round to the last clear answer.
  std::string ConcurrentPuts(int rounds) {
    Run(milliseconds(6000));
    for (int round = 0; round < rounds && failure_.empty(); ++round) {
      const Time started_at = now_;
      clear_answers_pending_ = 8;
      for (std::uint64_t k = 0; k < 8; ++k) PutUntilClear(version_ + 1 + k / 2, k % 2 == 0);
      while (clear_answers_pending_ > 0 && now_ - started_at < std::chrono::seconds(10) && failure_.empty())
        Run(milliseconds(5));
      if (clear_answers_pending_ > 0) Fail("no clear answer in 10 s");
      round_times_.push_back(now_ - started_at);
      version_ += 4;
      Run(milliseconds(100));
    }
    return failure_;
  }
  const std::vector<Duration>& round_times() const { return round_times_; }

  // How the install of a snapshot is interrupted at a machine with a wiped disk: the event with the given
  // number (a message to or from it, or a write) is lost, or the process crashes before or after it.
  enum class Interruption { kLost, kCrashBefore, kCrashAfter };
  // Empty: everything that was confirmed is known afterwards, also on that machine. `interrupted`: whether
  // that event occurred before the machine was a member again and had learned.
  std::string InterruptInstallAt(int event, Interruption kind, bool& interrupted) {
    Run(milliseconds(6000));
    for (int i = 0; i < 5; ++i) {
      Put(1 + static_cast<std::size_t>(i) % 2, ++version_, true);
      Run(milliseconds(300));
    }
    const std::uint64_t confirmed = version_;
    Stop(0);
    machines_[0].disk.clear();
    machines_[0].incarnation = random_();
    interrupt_in_ = event;
    interruption_ = kind;
    StartUp(0);
    Run(milliseconds(9000));
    interrupted = interrupt_in_ <= 0 && !interrupted_late_;
    interrupt_in_ = 0;
    if (!machines_[0].core || !machines_[0].core->member()) Fail("the machine did not become a member again");
    for (std::uint64_t version = 1; version <= confirmed; ++version) {
      const std::uint64_t again = confirmed_again_, conflicts = conflicts_;
      Put(0, version, TextOf(version), false);
      Run(milliseconds(300));
      Put(0, version, OtherTextOf(version), false);
      Run(milliseconds(300));
      if (confirmed_again_ == again) Fail("not confirmed again: " + std::to_string(version));
      if (conflicts_ == conflicts) Fail("no conflict: " + std::to_string(version));
    }
    return failure_;
  }

  // Time from a fault to the next acknowledgement of a put sent after it; if several faults came in between,
  // from the last one.
  const std::vector<Duration>& recovery_times() const { return recovery_times_; }
  // Traffic between the cores during `span`, without calls and faults.
  struct Traffic {
    std::uint64_t messages = 0, bytes = 0;
  };
  Traffic MeasureIdle(milliseconds span) {
    Run(milliseconds(6000));
    traffic_ = {};
    Run(span);
    return traffic_;
  }

  std::uint64_t acknowledged() const { return acknowledged_count_; }
  std::uint64_t conflicts() const { return conflicts_; }
  std::uint64_t confirmed_again() const { return confirmed_again_; }
  std::uint64_t epochs() const { return memberships_.empty() ? 0 : memberships_.rbegin()->first; }

 private:
  struct PendingCall {
    bool put = false, last = false;
    std::uint64_t version = 0, min_version = 0;
    Time started_at{};
    std::string text;
    bool confirmed_before = false;
    bool until_clear = false;  // it is repeated until its answer is clear
  };
  // What the callers have learned about one version.
  struct VersionHistory {
    std::string confirmed;          // the confirmed content; empty: none yet
    std::set<std::string> refused;  // contents that were refused
  };

  bool AllCaughtUp() const {
    return std::all_of(machines_.begin(), machines_.end(), [this](const Machine& m) {
      return !m.core || !m.core->member() || m.core->committed().version >= acknowledged_version_;
    });
  }

  std::uint64_t RandomBelow(std::uint64_t n) { return random_() % n; }
  bool OneIn(int in) { return RandomBelow(static_cast<std::uint64_t>(in)) == 0; }
  void Fail(const std::string& what) {
    if (failure_.empty())
      failure_ = what + " at " + std::to_string((now_ - Time{}) / milliseconds(1)) + " ms";
  }
  void At(std::uint64_t ms, std::function<void()> what) {
    events_.emplace(now_ + milliseconds(ms), std::move(what));
  }
  void Run(milliseconds span) {
    Time end = now_ + span;
    while (failure_.empty() && !events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  void Add(bool bootstrap) {
    std::size_t i = machines_.size();
    Machine m;
    m.name = "m" + std::to_string(i);
    m.address = "10.0.0." + std::to_string(10 + i) + ":7101";
    m.incarnation = random_();
    m.bootstrap = bootstrap;
    machines_.push_back(std::move(m));
  }
  void StartUp(std::size_t i) {
    Machine& m = machines_[i];
    if (m.core || m.removed) return;
    auto state = DecodeState(ReaderOf(m));
    if (!state) return Fail("stored state cannot be decoded");
    m.core = std::make_unique<Core>(m.member(), m.bootstrap, *state, options_, random_());
    ++m.run;
    m.committed = 0;
    m.changed_at = now_;
    ScheduleTick(i, m.run);
  }
  void ScheduleTick(std::size_t i, std::uint64_t run) {
    At(45 + RandomBelow(10), [this, i, run] {
      if (!machines_[i].core || machines_[i].run != run) return;
      ReportComplete(*machines_[i].core);
      Feed(i, [&](Core& core, CoreOutput& out) { core.Tick(now_, out); });
      ScheduleTick(i, run);
    });
  }
  void LosePermanently(std::size_t i) {
    Stop(i);
    machines_[i].removed = true;
  }
  std::uint64_t NewestEpoch() const {
    std::uint64_t epoch = 0;
    for (const Machine& m : machines_)
      if (m.core) epoch = std::max(epoch, m.core->membership().epoch);
    return epoch;
  }
  // Reports all running members as complete, up to the epoch that the test sets.
  void ReportComplete(Core& core) const {
    const Membership& membership = core.membership();
    if (membership.epoch > complete_up_to_epoch_) return;
    std::vector<Incarnation> complete;
    for (const Machine& m : machines_)
      if (m.core) complete.push_back(m.member().incarnation);
    core.SetCompleteMembers(membership.epoch, complete);
  }
  void Stop(std::size_t i) {
    if (!machines_[i].core) return;
    machines_[i].core.reset();
    machines_[i].changed_at = now_;
  }

  template <typename Input>
  void Feed(std::size_t i, Input input) {
    if (!machines_[i].core) return;
    CoreOutput out;
    input(*machines_[i].core, out);
    for (OutgoingMessage& s : out.sends) Deliver(i, std::move(s));
    for (StorageWrite& w : out.writes) Store(i, std::move(w));
    for (CallResult& d : out.results) OnResult(d);
    if (machines_[i].core == nullptr) return;
    std::uint64_t committed = machines_[i].core->committed().version;
    if (committed < machines_[i].committed) Fail("committed() went back");
    machines_[i].committed = committed;
    acknowledged_version_ = std::max(acknowledged_version_, committed);
  }

  bool ReachesInterruption() {
    if (interrupt_in_ <= 0 || --interrupt_in_ > 0) return false;
    interrupted_late_ = machines_[0].core && machines_[0].core->member() && machines_[0].core->learned();
    return true;
  }
  void CrashAndRestart() {
    Stop(0);
    At(200, [this] { StartUp(0); });
  }

  void Deliver(std::size_t from, OutgoingMessage sending) {
    ++traffic_.messages;
    traffic_.bytes += Encode(sending.message).size();
    std::size_t to = 0;
    while (to < machines_.size() && machines_[to].address != sending.to.address) ++to;
    if (to == machines_.size() || (faults_active_ && OneIn(20))) return;
    int copies = faults_active_ && OneIn(20) ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      std::uint64_t delay = 1 + RandomBelow(faults_active_ ? 30 : 8);
      if (faults_active_ && OneIn(30)) delay += RandomBelow(2000);
      if (slow_links_.contains({from, to})) delay += 100 + RandomBelow(400);
      At(delay, [this, from, to, message = sending.message] {
        if (partitions_.contains({std::min(from, to), std::max(from, to)})) return;
        const bool interrupted = (from == 0 || to == 0) && ReachesInterruption();
        if (interrupted && interruption_ != Interruption::kCrashAfter)
          return interruption_ == Interruption::kLost ? void() : CrashAndRestart();
        Feed(to, [&](Core& core, CoreOutput& out) { core.OnMessage(now_, message, out); });
        if (interrupted) CrashAndRestart();
      });
    }
  }

  void Store(std::size_t i, StorageWrite write) {
    At(2 + RandomBelow(faults_active_ ? 40 : 10),
       [this, i, run = machines_[i].run, write = std::move(write)] {
         Machine& m = machines_[i];
         if (!m.core || m.run != run) return;  // lost with the process
         if (now_ < m.writes_stall_until) return Store(i, write);
         const bool interrupted = i == 0 && ReachesInterruption();
         if (interrupted && interruption_ == Interruption::kCrashBefore) return CrashAndRestart();
         bool ok = !m.fails_writes && !interrupted;
         if (ok || (interrupted && interruption_ == Interruption::kCrashAfter)) {
           for (const auto& [key, bytes] : write.records) m.disk[key] = bytes;
           CheckMembership(m);
         }
         if (interrupted && interruption_ == Interruption::kCrashAfter) return CrashAndRestart();
         Feed(i, [&](Core& core, CoreOutput& out) { core.OnWritten(now_, write.id, ok, out); });
       });
  }
  static ReadRecord ReaderOf(const Machine& m) {
    return [&m](const std::string& key) -> std::optional<std::string> {
      auto found = m.disk.find(key);
      return found == m.disk.end() ? std::nullopt : std::optional(found->second);
    };
  }
  CoreState StoredState(const Machine& m) const { return DecodeState(ReaderOf(m)).value(); }
  void CheckMembership(const Machine& m) {
    Membership membership = StoredState(m).membership;
    if (membership.epoch == 0) return;
    auto [known, is_new] = memberships_.try_emplace(membership.epoch, membership);
    if (!is_new && known->second != membership)
      Fail("two memberships of epoch " + std::to_string(membership.epoch));
  }

  // Whether machine `i` may lose its disk: in every epoch that is or may come into force, a majority must
  // keep its disks.
  bool MayLoseDisk(std::size_t i) {
    std::map<std::uint64_t, std::vector<Member>> epochs;
    std::map<Incarnation, std::uint64_t> reached;
    for (const Machine& m : machines_) {
      if (m.removed) continue;
      CoreState state = StoredState(m);
      reached[{m.name, m.incarnation}] = state.membership.epoch;
      epochs[state.membership.epoch] = state.membership.members;
      if (state.accepted && !epochs.contains(state.membership.epoch + 1)) {
        epochs[state.membership.epoch + 1] = state.accepted->members;
      }
    }
    epochs.erase(0);
    for (auto it = epochs.rbegin(); it != epochs.rend(); ++it) {
      std::size_t lost = 0, in_force = 0;
      bool listed = false;
      for (const Member& member : it->second) {
        bool own = member.incarnation == machines_[i].member().incarnation;
        auto found = reached.find(member.incarnation);
        listed = listed || own;
        if (own || found == reached.end()) ++lost;
        if (found != reached.end() && found->second >= it->first) ++in_force;
      }
      if (!listed) ++lost;  // it may be about to replace a live member
      if (lost > max_lost_ || 2 * lost >= it->second.size()) return false;
      if (2 * in_force > it->second.size()) return true;
    }
    return false;
  }

  void ScheduleFault() {
    At(100 + RandomBelow(800), [this] {
      if (!faults_active_) return;
      InjectFault();
      ScheduleFault();
    });
  }
  void InjectFault() {
    std::size_t i = RandomBelow(machines_.size());
    Machine& m = machines_[i];
    if (m.removed) return;
    std::uint64_t back = 50 + RandomBelow(OneIn(4) ? 5000 : 800);
    last_fault_at_ = now_;
    switch (fault_mix_[RandomBelow(fault_mix_.size())]) {
      case 11:
      case 12:
      case 13: {  // slow in one direction
        std::pair<std::size_t, std::size_t> way{i, RandomBelow(machines_.size())};
        slow_links_.insert(way);
        At(2 * back, [this, way] { slow_links_.erase(way); });
        break;
      }
      case 0:
      case 1:
        Stop(i);
        At(back, [this, i] { StartUp(i); });
        break;
      case 2:
        PowerLoss();
        break;
      case 3:
        for (std::size_t k = 0; k < machines_.size(); ++k) {
          if (k != i && !OneIn(4)) Partition(i, k, back);
        }
        break;
      case 4:
        Partition(i, RandomBelow(machines_.size()), back);
        break;
      case 5:
        m.writes_stall_until = now_ + milliseconds(back);
        break;
      case 6:
        m.fails_writes = true;
        At(back, [this, i] { machines_[i].fails_writes = false; });
        break;
      case 7:
      case 10:  // the disk is lost
        if (!MayLoseDisk(i)) break;
        Stop(i);
        m.disk.clear();
        m.incarnation = random_();
        m.bootstrap = false;
        At(back, [this, i] { StartUp(i); });
        if (OneIn(3)) PowerLoss();
        break;
      case 8:
      case 9:  // permanently lost and replaced
        if (!MayLoseDisk(i) || machines_.size() > 12) break;
        Stop(i);
        m.removed = true;
        Add(false);
        At(back, [this, k = machines_.size() - 1] { StartUp(k); });
        break;
    }
  }
  void Partition(std::size_t a, std::size_t b, std::uint64_t ms) {
    std::pair<std::size_t, std::size_t> pair{std::min(a, b), std::max(a, b)};
    partitions_.insert(pair);
    At(ms, [this, pair] { partitions_.erase(pair); });
  }
  void PowerLoss() {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      Stop(i);
      At(100 + RandomBelow(800), [this, i] { StartUp(i); });
    }
  }

  void ScheduleViews() {
    At(100 + RandomBelow(100), [this] {
      for (std::size_t i = 0; i < machines_.size(); ++i) {
        std::vector<ObservedMachine> view;
        for (std::size_t k = 0; k < machines_.size(); ++k) {
          const Machine& m = machines_[k];
          bool up = m.core != nullptr && !partitions_.contains({std::min(i, k), std::max(i, k)});
          if (!up && now_ - m.changed_at < view_lag_) up = true;  // the view lags
          if (faults_active_ && OneIn(100)) up = !up;
          if (!m.removed && (m.core || m.run > 0)) view.push_back({m.member(), up, m.location});
        }
        std::size_t seen = 0, seeds = std::min<std::size_t>(3, machines_.size());
        for (const ObservedMachine& each : view)
          for (std::size_t k = 0; k < seeds; ++k)
            seen += each.alive && each.member.incarnation.node == machines_[k].name;
        Feed(i, [&](Core& core, CoreOutput& out) {
          core.OnSeedMajorityVisible(2 * seen > seeds);
          core.OnView(now_, view, out);
        });
      }
      ScheduleViews();
    });
  }

  void ScheduleCall() {
    At(10 + RandomBelow(80), [this] {
      if (!faults_active_) return;
      std::size_t i = RandomBelow(machines_.size());
      if (OneIn(8)) {
        PutTwoContents();
      } else if (OneIn(8) && version_ > 0) {
        RepeatPut(1 + RandomBelow(version_));
      } else if (OneIn(2)) {
        Put(i, OneIn(8) ? 1 + RandomBelow(version_ + 1) : ++version_, false);
      } else {
        std::uint64_t call = ++call_;
        pending_calls_[call] = {false, false, 0, acknowledged_version_, now_, {}, false, false};
        Feed(i, [&](Core& core, CoreOutput& out) { core.Get(now_, call, out); });
      }
      ScheduleCall();
    });
  }
  static std::string TextOf(std::uint64_t version) { return "text " + std::to_string(version); }
  static std::string OtherTextOf(std::uint64_t version) { return "other " + std::to_string(version); }
  void Put(std::size_t i, std::uint64_t version, bool last) { Put(i, version, TextOf(version), last); }
  void Put(std::size_t i, std::uint64_t version, const std::string& text, bool last) {
    std::uint64_t call = ++call_;
    if (!in_concurrent_puts_) version_ = std::max(version_, version);
    pending_calls_[call] = {true,
                            last,
                            version,
                            acknowledged_version_,
                            now_,
                            text,
                            version_histories_[version].confirmed == text,
                            in_concurrent_puts_};
    Feed(i, [&](Core& core, CoreOutput& out) { core.Put(now_, call, {version, text}, out); });
  }
  void PutUntilClear(std::uint64_t version, bool first) {
    in_concurrent_puts_ = true;
    Put(RandomBelow(machines_.size()), version, first ? TextOf(version) : OtherTextOf(version), false);
    in_concurrent_puts_ = false;
  }
  // Two operators put two contents under one version, at two members.
  void PutTwoContents() {
    const std::uint64_t version = ++version_;
    Put(RandomBelow(machines_.size()), version, TextOf(version), false);
    At(RandomBelow(40),
       [this, version] { Put(RandomBelow(machines_.size()), version, OtherTextOf(version), false); });
    if (OneIn(2)) At(RandomBelow(3000), [this, version] { RepeatPut(version); });
  }
  // Repeats a put at any member.
  void RepeatPut(std::uint64_t version) {
    if (!faults_active_) return;
    Put(RandomBelow(machines_.size()), version, OneIn(2) ? TextOf(version) : OtherTextOf(version), false);
  }
  // A version belongs to the first content that was confirmed or observed under it.
  void CheckContent(std::uint64_t version, const std::string& text) {
    VersionHistory& number = version_histories_[version];
    if (number.confirmed.empty()) number.confirmed = text;
    if (number.confirmed != text) Fail("two contents under version " + std::to_string(version));
    if (number.refused.contains(text))
      Fail("confirmed a refused content, version " + std::to_string(version));
  }
  void OnConflict(const PendingCall& op) {
    if (op.confirmed_before) Fail("refused a confirmed content, version " + std::to_string(op.version));
    if (version_histories_[op.version].confirmed == op.text)
      Fail("refused the confirmed content of version " + std::to_string(op.version));
    version_histories_[op.version].refused.insert(op.text);
    ++conflicts_;
  }
  void OnResult(const CallResult& done) {
    auto found = pending_calls_.find(done.call);
    if (found == pending_calls_.end()) return Fail("a call ended twice");
    PendingCall op = found->second;
    pending_calls_.erase(found);
    const bool confirmed = done.outcome == CallOutcome::kInForce || done.outcome == CallOutcome::kSuperseded;
    const bool clear = confirmed || done.outcome == CallOutcome::kConflict;
    if (op.until_clear && clear) --clear_answers_pending_;
    if (op.until_clear && !clear)
      At(20 + RandomBelow(60), [this, op] { PutUntilClear(op.version, op.text == TextOf(op.version)); });
    if (!clear) return;
    const std::uint64_t version = done.value.version;
    if (version != 0 && done.value.text != TextOf(version) && done.value.text != OtherTextOf(version))
      Fail("a value with an unknown text");
    if (version != 0 && done.digest != ContentDigest(done.value.text)) Fail("a value with a wrong digest");
    if (version != 0) CheckContent(version, done.value.text);
    if (version < op.min_version)
      Fail("acknowledged " + std::to_string(op.min_version) + ", answered with " + std::to_string(version));
    if (done.outcome == CallOutcome::kConflict) return OnConflict(op);
    if (!op.put) return;
    if (version < op.version) Fail("a Put ended with an older version");
    if ((version == op.version) != (done.outcome == CallOutcome::kInForce))
      Fail("kInForce and kSuperseded are mixed up");
    CheckContent(op.version, op.text);
    acknowledged_version_ = std::max(acknowledged_version_, version);
    ++acknowledged_count_;
    confirmed_again_ += op.confirmed_before ? 1 : 0;
    if (op.started_at >= last_fault_at_ && last_fault_at_ != Time{}) {
      recovery_times_.push_back(now_ - last_fault_at_);
      last_fault_at_ = {};
    }
    last_acked_ = last_acked_ || op.last;
    if (faults_active_ && OneIn(12)) At(RandomBelow(3), [this] { PowerLoss(); });
  }

  std::mt19937_64 random_;
  CoreOptions options_;
  const FaultMix fault_mix_;
  Time now_ = Time{} + std::chrono::hours(1);
  std::multimap<Time, std::function<void()>> events_;
  std::vector<Machine> machines_;
  std::set<std::pair<std::size_t, std::size_t>> partitions_, slow_links_;
  std::map<std::uint64_t, Membership> memberships_;
  std::map<std::uint64_t, PendingCall> pending_calls_;
  std::map<std::uint64_t, VersionHistory> version_histories_;
  std::uint64_t conflicts_ = 0, confirmed_again_ = 0;
  int clear_answers_pending_ = 0, interrupt_in_ = 0;
  bool in_concurrent_puts_ = false, interrupted_late_ = false;
  Interruption interruption_ = Interruption::kLost;
  std::vector<Duration> round_times_;
  std::uint64_t call_ = 0, version_ = 0, acknowledged_version_ = 0, acknowledged_count_ = 0;
  std::size_t max_lost_ = 1;
  milliseconds view_lag_{1000};  // how far a view lags behind
  std::uint64_t complete_up_to_epoch_ = ~std::uint64_t{0};
  bool faults_active_ = false, last_acked_ = false;
  Time last_fault_at_{};
  std::vector<Duration> recovery_times_;
  Traffic traffic_;
  std::string failure_;
};

}  // namespace curlewdoor::agreement::test
