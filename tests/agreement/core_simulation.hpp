// A few cores in virtual time, with everything that may go wrong; a broken promise is a text.
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

struct Machine {
  std::string name, address;
  std::map<std::string, std::string> disk;
  std::uint64_t life = 0;
  Place place{};
  bool bootstrap = true, gone = false, refuses = false;
  std::unique_ptr<Core> core;
  std::uint64_t run = 0, committed = 0;  // `committed`: in this run
  Time changed{}, hangs_until{};
  Member member() const { return {{name, life}, address}; }
};

// Which troubles a run has; numbers of World::Fault().
using Mix = std::vector<int>;
inline const Mix kAllTroubles{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13};
inline const Mix kDisks{0, 1, 2, 2, 5, 5, 6, 6};       // processes, power, disks that hang or refuse
inline const Mix kPaths{0, 3, 3, 4, 4, 11, 12, 13};    // cuts, slow one way; and an end now and then
inline const Mix kMembers{0, 2, 4, 5, 7, 7, 8, 8, 9};  // wiped disks, replaced machines; and some of the rest

class World {
 public:
  World(std::uint64_t seed, Options options, std::size_t machines, const Mix& mix = kAllTroubles)
      : random_(seed), options_(options), mix_(mix) {
    options_.least_members = machines / 2 + 1;
    most_lost_ = (machines - 1) / 2;
    if (seed % 2 == 1) {  // much changing
      options_.dead_for = milliseconds(200);
      options_.grow_after = milliseconds(300);
      notice_ = milliseconds(100);
    }
    for (std::size_t i = 0; i < machines; ++i) Add(true);
    for (std::size_t i = 0; i < machines; ++i) At(Below(300), [this, i] { StartUp(i); });
    if (seed % 2 == 1) {
      Add(false);
      At(4000, [this, machines] { StartUp(machines); });
    }
    ScheduleViews();
  }

  // Empty: every promise was kept.
  std::string Play(milliseconds trouble) {
    Run(milliseconds(6000));
    for (auto& m : machines_) {
      if (m.core && (m.core->roster().epoch == 0 || !m.core->learned())) Break("no first roster");
    }
    troubled_ = true;
    ScheduleFault();
    ScheduleCall();
    Run(trouble);
    troubled_ = false;
    cuts_.clear();
    slow_.clear();
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      machines_[i].refuses = false;
      machines_[i].hangs_until = {};
      if (!machines_[i].gone && !machines_[i].core) StartUp(i);
    }
    for (int tries = 0; tries < 15 && !last_acked_; ++tries) {
      for (std::size_t i = 0; i < machines_.size(); ++i) Put(i, ++version_, true);
      Run(milliseconds(200));
    }
    if (!last_acked_) Break("no Put is acknowledged within 3 s after the trouble");
    for (int tries = 0; tries < 10 && !AllKnow(); ++tries)
      Run(milliseconds(500));  // rosters may still change
    if (!AllKnow()) Break("a member has not learned");
    return broken_;
  }

  // The first machine is cut off from the first second on, for so long. Empty: one core came of it.
  std::string StartInCut(milliseconds span) {
    options_.least_members = machines_.size();
    for (std::size_t k = 1; k < machines_.size(); ++k) cuts_.insert({0, k});
    Run(span);
    if (std::none_of(machines_.begin(), machines_.end(),
                     [](const Machine& m) { return m.core && m.core->roster().epoch > 0; }))
      Break("no core");
    cuts_.clear();
    Run(std::chrono::seconds(10));
    for (const Machine& m : machines_)
      if (!m.core->learned() || m.core->roster().epoch != machines_[1].core->roster().epoch)
        Break("a machine stayed outside");
    return broken_;
  }

  // A fourth machine comes and takes the place of one that is lost for good after `span`.
  std::string ReplaceAfter(milliseconds span) {
    Run(milliseconds(6000));
    options_.grow_after = std::chrono::hours(1);
    for (auto& m : machines_) Stop(static_cast<std::size_t>(&m - machines_.data()));
    Add(false);
    for (std::size_t i = 0; i < machines_.size(); ++i) StartUp(i);
    Run(span);
    if (machines_.back().core->member()) Break("it was taken in early");
    Stop(0);
    machines_[0].gone = true;
    Run(std::chrono::seconds(10));
    if (!machines_.back().core->member()) Break("it isn't taken in");
    return broken_;
  }

  // Two of three members are lost for good, one after the other, and two machines wait. Nobody is complete in
  // the epoch that the first exchange begins, so the second one waits; empty: it does, and then it comes.
  std::string SecondExchangeWaits() {
    options_.grow_after = std::chrono::hours(1);
    options_.waits_for_complete = true;
    Run(milliseconds(6000));
    for (int i = 0; i < 2; ++i) {
      Add(false);
      StartUp(machines_.size() - 1);
    }
    Run(std::chrono::seconds(5));
    const std::uint64_t first = NewestEpoch();
    complete_up_to_ = first;
    LoseForGood(0);
    Run(std::chrono::seconds(10));
    if (NewestEpoch() != first + 1) Break("the first exchange doesn't come");
    LoseForGood(1);
    Run(std::chrono::seconds(20));
    if (NewestEpoch() != first + 1) Break("the second exchange doesn't wait");
    complete_up_to_ = first + 1;
    Run(std::chrono::seconds(10));
    if (NewestEpoch() != first + 2) Break("the second exchange doesn't come");
    return broken_;
  }

  // Machines of these places, of which the first `founders` begin the core and the rest come later. Once the
  // roster stands still: what it bears.
  Spread SettleIn(const std::vector<Place>& places) {
    for (std::size_t i = 0; i < machines_.size(); ++i) machines_[i].place = places[i];
    Run(milliseconds(6000));
    while (machines_.size() < places.size()) {
      Add(false);
      machines_.back().place = places[machines_.size() - 1];
      StartUp(machines_.size() - 1);
    }
    Run(std::chrono::seconds(60));
    return RosterSpread();
  }
  Spread RosterSpread() const {
    const Machine* newest = nullptr;
    for (const Machine& m : machines_)
      if (m.core && (newest == nullptr || m.core->roster().epoch > newest->core->roster().epoch)) newest = &m;
    std::vector<Place> places;
    for (const Member& member : newest->core->roster().members)
      for (const Machine& m : machines_)
        if (m.member().life == member.life) places.push_back(m.place);
    return SpreadOf(places);
  }
  std::size_t roster_size() const {
    std::size_t size = 0;
    for (const Machine& m : machines_)
      if (m.core) size = std::max(size, m.core->roster().members.size());
    return size;
  }
  // All machines there are lost at once. Empty: an order was confirmed within 3 s, and all others know it.
  std::string LoseZone(const std::string& zone) {
    for (std::size_t i = 0; i < machines_.size(); ++i)
      if (machines_[i].place.zone == zone) Stop(i);
    const std::uint64_t acked = acked_;
    for (int tries = 0; tries < 15 && acked_ == acked; ++tries) {
      for (std::size_t i = 0; i < machines_.size(); ++i) Put(i, ++version_, true);
      Run(milliseconds(200));
    }
    if (acked_ == acked) Break("without zone " + zone + " no order is confirmed within 3 s");
    return broken_;
  }
  void ComeBack() {
    for (std::size_t i = 0; i < machines_.size(); ++i) StartUp(i);
    Run(std::chrono::seconds(60));
  }

  // Eight operators at once, two contents under each of four numbers, each sending until the answer is clear;
  // so many rounds. From the first order of a round to the last clear answer.
  std::string Rush(int rounds) {
    Run(milliseconds(6000));
    for (int round = 0; round < rounds && broken_.empty(); ++round) {
      const Time begun = now_;
      rush_left_ = 8;
      for (std::uint64_t k = 0; k < 8; ++k) Rusher(version_ + 1 + k / 2, k % 2 == 0);
      while (rush_left_ > 0 && now_ - begun < std::chrono::seconds(10) && broken_.empty())
        Run(milliseconds(5));
      if (rush_left_ > 0) Break("no clear answer in 10 s");
      rush_times_.push_back(now_ - begun);
      version_ += 4;
      Run(milliseconds(100));
    }
    return broken_;
  }
  const std::vector<Duration>& rush_times() const { return rush_times_; }

  // Where the install of a snapshot is hit: at a machine whose disk was wiped, the event of this number, a
  // message to or from it or a write of its own, is lost; or its process dies then, before it or behind it.
  enum class Hit { kLost, kDiesBefore, kDiesAfter };
  // Empty: all that was confirmed is known afterwards, also there. `hit`: whether there was
  // such an event before it was a member again and had learned.
  std::string InstallHitAt(int event, Hit how, bool& hit) {
    Run(milliseconds(6000));
    for (int i = 0; i < 5; ++i) {
      Put(1 + static_cast<std::size_t>(i) % 2, ++version_, true);
      Run(milliseconds(300));
    }
    const std::uint64_t confirmed = version_;
    Stop(0);
    machines_[0].disk.clear();
    machines_[0].life = random_();
    hit_in_ = event;
    hit_how_ = how;
    StartUp(0);
    Run(milliseconds(9000));
    hit = hit_in_ <= 0 && !hit_late_;
    hit_in_ = 0;
    if (!machines_[0].core || !machines_[0].core->member()) Break("it is no member again");
    for (std::uint64_t version = 1; version <= confirmed; ++version) {
      const std::uint64_t again = confirmed_again_, conflicts = conflicts_;
      Put(0, version, TextOf(version), false);
      Run(milliseconds(300));
      Put(0, version, OtherTextOf(version), false);
      Run(milliseconds(300));
      if (confirmed_again_ == again) Break("not confirmed again: " + std::to_string(version));
      if (conflicts_ == conflicts) Break("no conflict: " + std::to_string(version));
    }
    return broken_;
  }

  // From each fault to the next acknowledgement of what was sent after it; where another fault came before
  // that, from the last one.
  const std::vector<Duration>& to_next() const { return to_next_; }
  // What the cores say to each other in so long without a call and without trouble.
  struct Traffic {
    std::uint64_t messages = 0, bytes = 0;
  };
  Traffic Calm(milliseconds span) {
    Run(milliseconds(6000));
    said_ = {};
    Run(span);
    return said_;
  }

  std::uint64_t acked() const { return acked_; }
  std::uint64_t conflicts() const { return conflicts_; }
  std::uint64_t confirmed_again() const { return confirmed_again_; }
  std::uint64_t epochs() const { return rosters_.empty() ? 0 : rosters_.rbegin()->first; }

 private:
  struct Op {
    bool put = false, last = false;
    std::uint64_t version = 0, floor = 0;
    Time begun{};
    std::string text;
    bool confirmed_before = false;
    bool rush = false;  // it is sent until its answer is clear
  };
  // What operators have been told of one number.
  struct Number {
    std::string confirmed;          // the content that was; empty: none yet
    std::set<std::string> refused;  // contents that were
  };

  bool AllKnow() const {
    return std::all_of(machines_.begin(), machines_.end(), [this](const Machine& m) {
      return !m.core || !m.core->member() || m.core->committed().version >= floor_;
    });
  }

  std::uint64_t Below(std::uint64_t n) { return random_() % n; }
  bool Chance(int in) { return Below(static_cast<std::uint64_t>(in)) == 0; }
  void Break(const std::string& what) {
    if (broken_.empty()) broken_ = what + " at " + std::to_string((now_ - Time{}) / milliseconds(1)) + " ms";
  }
  void At(std::uint64_t ms, std::function<void()> what) {
    events_.emplace(now_ + milliseconds(ms), std::move(what));
  }
  void Run(milliseconds span) {
    Time end = now_ + span;
    while (broken_.empty() && !events_.empty() && events_.begin()->first <= end) {
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
    m.life = random_();
    m.bootstrap = bootstrap;
    machines_.push_back(std::move(m));
  }
  void StartUp(std::size_t i) {
    Machine& m = machines_[i];
    if (m.core || m.gone) return;
    auto state = DecodeState(ReaderOf(m));
    if (!state) return Break("a disk can't be read");
    m.core = std::make_unique<Core>(m.member(), m.bootstrap, *state, options_, random_());
    ++m.run;
    m.committed = 0;
    m.changed = now_;
    ScheduleTick(i, m.run);
  }
  void ScheduleTick(std::size_t i, std::uint64_t run) {
    At(45 + Below(10), [this, i, run] {
      if (!machines_[i].core || machines_[i].run != run) return;
      TellComplete(*machines_[i].core);
      Feed(i, [&](Core& core, Out& out) { core.Tick(now_, out); });
      ScheduleTick(i, run);
    });
  }
  void LoseForGood(std::size_t i) {
    Stop(i);
    machines_[i].gone = true;
  }
  std::uint64_t NewestEpoch() const {
    std::uint64_t epoch = 0;
    for (const Machine& m : machines_)
      if (m.core) epoch = std::max(epoch, m.core->roster().epoch);
    return epoch;
  }
  // All members that run, up to the epoch that the test says.
  void TellComplete(Core& core) const {
    const Roster& roster = core.roster();
    if (roster.epoch > complete_up_to_) return;
    std::vector<Life> complete;
    for (const Machine& m : machines_)
      if (m.core) complete.push_back(m.member().life);
    core.SetComplete(roster.epoch, complete);
  }
  void Stop(std::size_t i) {
    if (!machines_[i].core) return;
    machines_[i].core.reset();
    machines_[i].changed = now_;
  }

  template <typename Input>
  void Feed(std::size_t i, Input input) {
    if (!machines_[i].core) return;
    Out out;
    input(*machines_[i].core, out);
    for (Sending& s : out.sends) Deliver(i, std::move(s));
    for (Write& w : out.writes) Keep(i, std::move(w));
    for (Done& d : out.done) End(d);
    if (machines_[i].core == nullptr) return;
    std::uint64_t committed = machines_[i].core->committed().version;
    if (committed < machines_[i].committed) Break("committed() went back");
    machines_[i].committed = committed;
    floor_ = std::max(floor_, committed);
  }

  bool Hits() {
    if (hit_in_ <= 0 || --hit_in_ > 0) return false;
    hit_late_ = machines_[0].core && machines_[0].core->member() && machines_[0].core->learned();
    return true;
  }
  void Die() {
    Stop(0);
    At(200, [this] { StartUp(0); });
  }

  void Deliver(std::size_t from, Sending sending) {
    ++said_.messages;
    said_.bytes += Encode(sending.message).size();
    std::size_t to = 0;
    while (to < machines_.size() && machines_[to].address != sending.to.address) ++to;
    if (to == machines_.size() || (troubled_ && Chance(20))) return;
    int copies = troubled_ && Chance(20) ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      std::uint64_t delay = 1 + Below(troubled_ ? 30 : 8);
      if (troubled_ && Chance(30)) delay += Below(2000);
      if (slow_.contains({from, to})) delay += 100 + Below(400);
      At(delay, [this, from, to, message = sending.message] {
        if (cuts_.contains({std::min(from, to), std::max(from, to)})) return;
        const bool hit = (from == 0 || to == 0) && Hits();
        if (hit && hit_how_ != Hit::kDiesAfter) return hit_how_ == Hit::kLost ? void() : Die();
        Feed(to, [&](Core& core, Out& out) { core.OnMessage(now_, message, out); });
        if (hit) Die();
      });
    }
  }

  void Keep(std::size_t i, Write write) {
    At(2 + Below(troubled_ ? 40 : 10), [this, i, run = machines_[i].run, write = std::move(write)] {
      Machine& m = machines_[i];
      if (!m.core || m.run != run) return;  // lost with the process
      if (now_ < m.hangs_until) return Keep(i, write);
      const bool hit = i == 0 && Hits();
      if (hit && hit_how_ == Hit::kDiesBefore) return Die();
      bool ok = !m.refuses && !hit;
      if (ok || (hit && hit_how_ == Hit::kDiesAfter)) {
        for (const auto& [key, bytes] : write.records) m.disk[key] = bytes;
        Check(m);
      }
      if (hit && hit_how_ == Hit::kDiesAfter) return Die();
      Feed(i, [&](Core& core, Out& out) { core.OnWritten(now_, write.id, ok, out); });
    });
  }
  static ReadRecord ReaderOf(const Machine& m) {
    return [&m](const std::string& key) -> std::optional<std::string> {
      auto found = m.disk.find(key);
      return found == m.disk.end() ? std::nullopt : std::optional(found->second);
    };
  }
  State OnDisk(const Machine& m) const { return DecodeState(ReaderOf(m)).value(); }
  void Check(const Machine& m) {
    Roster roster = OnDisk(m).roster;
    if (roster.epoch == 0) return;
    auto [known, is_new] = rosters_.try_emplace(roster.epoch, roster);
    if (!is_new && known->second != roster) Break("two rosters of epoch " + std::to_string(roster.epoch));
  }

  // Machine `i` may lose its disk: in every epoch that may be in force or come, a majority keeps its own.
  bool MayLose(std::size_t i) {
    std::map<std::uint64_t, std::vector<Member>> epochs;
    std::map<Life, std::uint64_t> reached;
    for (const Machine& m : machines_) {
      if (m.gone) continue;
      State state = OnDisk(m);
      reached[{m.name, m.life}] = state.roster.epoch;
      epochs[state.roster.epoch] = state.roster.members;
      if (state.accepted && !epochs.contains(state.roster.epoch + 1)) {
        epochs[state.roster.epoch + 1] = state.accepted->members;
      }
    }
    epochs.erase(0);
    for (auto it = epochs.rbegin(); it != epochs.rend(); ++it) {
      std::size_t lost = 0, in_force = 0;
      bool listed = false;
      for (const Member& member : it->second) {
        bool own = member.life == machines_[i].member().life;
        auto found = reached.find(member.life);
        listed = listed || own;
        if (own || found == reached.end()) ++lost;
        if (found != reached.end() && found->second >= it->first) ++in_force;
      }
      if (!listed) ++lost;  // it may be on its way in, in the place of a living one
      if (lost > most_lost_ || 2 * lost >= it->second.size()) return false;
      if (2 * in_force > it->second.size()) return true;
    }
    return false;
  }

  void ScheduleFault() {
    At(100 + Below(800), [this] {
      if (!troubled_) return;
      Fault();
      ScheduleFault();
    });
  }
  void Fault() {
    std::size_t i = Below(machines_.size());
    Machine& m = machines_[i];
    if (m.gone) return;
    std::uint64_t back = 50 + Below(Chance(4) ? 5000 : 800);
    faulted_ = now_;
    switch (mix_[Below(mix_.size())]) {
      case 11:
      case 12:
      case 13: {  // one way
        std::pair<std::size_t, std::size_t> way{i, Below(machines_.size())};
        slow_.insert(way);
        At(2 * back, [this, way] { slow_.erase(way); });
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
          if (k != i && !Chance(4)) Cut(i, k, back);
        }
        break;
      case 4:
        Cut(i, Below(machines_.size()), back);
        break;
      case 5:
        m.hangs_until = now_ + milliseconds(back);
        break;
      case 6:
        m.refuses = true;
        At(back, [this, i] { machines_[i].refuses = false; });
        break;
      case 7:
      case 10:  // the disk is lost
        if (!MayLose(i)) break;
        Stop(i);
        m.disk.clear();
        m.life = random_();
        m.bootstrap = false;
        At(back, [this, i] { StartUp(i); });
        if (Chance(3)) PowerLoss();
        break;
      case 8:
      case 9:  // lost for good; another comes
        if (!MayLose(i) || machines_.size() > 12) break;
        Stop(i);
        m.gone = true;
        Add(false);
        At(back, [this, k = machines_.size() - 1] { StartUp(k); });
        break;
    }
  }
  void Cut(std::size_t a, std::size_t b, std::uint64_t ms) {
    std::pair<std::size_t, std::size_t> pair{std::min(a, b), std::max(a, b)};
    cuts_.insert(pair);
    At(ms, [this, pair] { cuts_.erase(pair); });
  }
  void PowerLoss() {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      Stop(i);
      At(100 + Below(800), [this, i] { StartUp(i); });
    }
  }

  void ScheduleViews() {
    At(100 + Below(100), [this] {
      for (std::size_t i = 0; i < machines_.size(); ++i) {
        std::vector<Seen> view;
        for (std::size_t k = 0; k < machines_.size(); ++k) {
          const Machine& m = machines_[k];
          bool up = m.core != nullptr && !cuts_.contains({std::min(i, k), std::max(i, k)});
          if (!up && now_ - m.changed < notice_) up = true;  // not noticed yet
          if (troubled_ && Chance(100)) up = !up;
          if (!m.gone && (m.core || m.run > 0)) view.push_back({m.member(), up, m.place});
        }
        std::size_t seen = 0, seeds = std::min<std::size_t>(3, machines_.size());
        for (const Seen& each : view)
          for (std::size_t k = 0; k < seeds; ++k)
            seen += each.alive && each.member.life.node == machines_[k].name;
        Feed(i, [&](Core& core, Out& out) {
          core.OnSeeds(2 * seen > seeds);
          core.OnView(now_, view, out);
        });
      }
      ScheduleViews();
    });
  }

  void ScheduleCall() {
    At(10 + Below(80), [this] {
      if (!troubled_) return;
      std::size_t i = Below(machines_.size());
      if (Chance(8)) {
        PutTwo();
      } else if (Chance(8) && version_ > 0) {
        PutAgain(1 + Below(version_));
      } else if (Chance(2)) {
        Put(i, Chance(8) ? 1 + Below(version_ + 1) : ++version_, false);
      } else {
        std::uint64_t call = ++call_;
        ops_[call] = {false, false, 0, floor_, now_, {}, false, false};
        Feed(i, [&](Core& core, Out& out) { core.Get(now_, call, out); });
      }
      ScheduleCall();
    });
  }
  static std::string TextOf(std::uint64_t version) { return "text " + std::to_string(version); }
  static std::string OtherTextOf(std::uint64_t version) { return "other " + std::to_string(version); }
  void Put(std::size_t i, std::uint64_t version, bool last) { Put(i, version, TextOf(version), last); }
  void Put(std::size_t i, std::uint64_t version, const std::string& text, bool last) {
    std::uint64_t call = ++call_;
    if (!rushes_) version_ = std::max(version_, version);
    ops_[call] = {true, last, version, floor_, now_, text, numbers_[version].confirmed == text, rushes_};
    Feed(i, [&](Core& core, Out& out) { core.Put(now_, call, {version, text}, out); });
  }
  void Rusher(std::uint64_t version, bool first) {
    rushes_ = true;
    Put(Below(machines_.size()), version, first ? TextOf(version) : OtherTextOf(version), false);
    rushes_ = false;
  }
  // Two operators, one number, two contents, at two members.
  void PutTwo() {
    const std::uint64_t version = ++version_;
    Put(Below(machines_.size()), version, TextOf(version), false);
    At(Below(40), [this, version] { Put(Below(machines_.size()), version, OtherTextOf(version), false); });
    if (Chance(2)) At(Below(3000), [this, version] { PutAgain(version); });
  }
  // The same order once more, at any member.
  void PutAgain(std::uint64_t version) {
    if (!troubled_) return;
    Put(Below(machines_.size()), version, Chance(2) ? TextOf(version) : OtherTextOf(version), false);
  }
  // Of the history: a number belongs to the first content that was confirmed or seen under it.
  void Belongs(std::uint64_t version, const std::string& text) {
    Number& number = numbers_[version];
    if (number.confirmed.empty()) number.confirmed = text;
    if (number.confirmed != text) Break("two contents under " + std::to_string(version));
    if (number.refused.contains(text)) Break("confirmed what was refused, " + std::to_string(version));
  }
  void Refused(const Op& op) {
    if (op.confirmed_before) Break("refused what was confirmed, " + std::to_string(op.version));
    if (numbers_[op.version].confirmed == op.text)
      Break("confirmed, and refused " + std::to_string(op.version));
    numbers_[op.version].refused.insert(op.text);
    ++conflicts_;
  }
  void End(const Done& done) {
    auto found = ops_.find(done.call);
    if (found == ops_.end()) return Break("a call ended twice");
    Op op = found->second;
    ops_.erase(found);
    const bool confirmed = done.outcome == Outcome::kKept || done.outcome == Outcome::kOlder;
    const bool clear = confirmed || done.outcome == Outcome::kConflict;
    if (op.rush && clear) --rush_left_;
    if (op.rush && !clear)
      At(20 + Below(60), [this, op] { Rusher(op.version, op.text == TextOf(op.version)); });
    if (!clear) return;
    const std::uint64_t version = done.value.version;
    if (version != 0 && done.value.text != TextOf(version) && done.value.text != OtherTextOf(version))
      Break("another text");
    if (version != 0 && done.digest != ContentDigest(done.value.text)) Break("another digest");
    if (version != 0) Belongs(version, done.value.text);
    if (version < op.floor)
      Break("acknowledged " + std::to_string(op.floor) + ", told " + std::to_string(version));
    if (done.outcome == Outcome::kConflict) return Refused(op);
    if (!op.put) return;
    if (version < op.version) Break("a Put ended with an older version");
    if ((version == op.version) != (done.outcome == Outcome::kKept)) Break("kept and older are mixed up");
    Belongs(op.version, op.text);
    floor_ = std::max(floor_, version);
    ++acked_;
    confirmed_again_ += op.confirmed_before ? 1 : 0;
    if (op.begun >= faulted_ && faulted_ != Time{}) {
      to_next_.push_back(now_ - faulted_);
      faulted_ = {};
    }
    last_acked_ = last_acked_ || op.last;
    if (troubled_ && Chance(12)) At(Below(3), [this] { PowerLoss(); });
  }

  std::mt19937_64 random_;
  Options options_;
  const Mix mix_;
  Time now_ = Time{} + std::chrono::hours(1);
  std::multimap<Time, std::function<void()>> events_;
  std::vector<Machine> machines_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_, slow_;
  std::map<std::uint64_t, Roster> rosters_;
  std::map<std::uint64_t, Op> ops_;
  std::map<std::uint64_t, Number> numbers_;
  std::uint64_t conflicts_ = 0, confirmed_again_ = 0;
  int rush_left_ = 0, hit_in_ = 0;
  bool rushes_ = false, hit_late_ = false;
  Hit hit_how_ = Hit::kLost;
  std::vector<Duration> rush_times_;
  std::uint64_t call_ = 0, version_ = 0, floor_ = 0, acked_ = 0;
  std::size_t most_lost_ = 1;
  milliseconds notice_{1000};  // a view is so old
  std::uint64_t complete_up_to_ = ~std::uint64_t{0};
  bool troubled_ = false, last_acked_ = false;
  Time faulted_{};
  std::vector<Duration> to_next_;
  Traffic said_;
  std::string broken_;
};

}  // namespace curlewdoor::agreement::test
