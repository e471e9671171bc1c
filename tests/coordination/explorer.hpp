// Walks every order of a few events (calls, resends, waits, cuts, kills, lost disks) to a stated depth over
// three real Coordinators, in virtual time, and holds what callers were told against the rules. The shortest
// orders come first, so a fault is shown with its shortest trace. Nothing here knows the wall clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordinator.hpp"

namespace curlewdoor::coordination::testing {

using std::chrono::milliseconds;

inline constexpr std::size_t kMembers = 3;
inline constexpr auto kHold = milliseconds(1500);
inline constexpr auto kWait =
    milliseconds(650);  // a new leader serves, the cut-off one still believes it does
inline constexpr auto kPause = milliseconds(300);         // shorter than an election takes to begin
inline constexpr auto kHistory = milliseconds(1800);      // as members keep it
inline constexpr auto kHistoryGiven = milliseconds(900);  // as callers are promised

// What a caller may do; by number in a trace.
enum class Ask : std::uint8_t {
  kBeginA,
  kBeginB,
  kRenewA,
  kFinishA,
  kNumber,
  kPut,          // a new value, with the expected revision that the caller knows
  kResend,       // the newest put once more, whatever was answered
  kResendFirst,  // the first one
  kRead,
  kWatch
};

class World;

// How often each event may come in one order, and how deep the orders go.
struct Bounds {
  std::vector<Ask> asks;
  int depth = 5;
  int waits = 0, pauses = 0, cuts = 0, kills = 0, restarts = 0, wipes = 0, rounds = 0, unsettled = 0,
      losses = 0;
  std::function<void(World&)> before;  // brings about where all orders begin
  bool cut_follower = false;           // cuts are of a follower, not of the leader
  std::uint64_t compact_after = 2048;
  std::size_t worlds = 20'000;  // no deeper level is begun beyond
};

// Three members with their disks and messages, and what callers were told. A value: each order has its own.
class World {
 public:
  World(const CoordinatorOptions& options, std::uint64_t seed) : options_(options), seed_(seed) {
    roster_.epoch = 1;
    for (std::size_t i = 0; i < kMembers; ++i) {
      nodes_[i].disk_number = ++last_disk_;
      roster_.members.push_back(MemberAt(i));
    }
    for (std::size_t i = 0; i < kMembers; ++i) Start(i);
    for (int i = 0; i < 3; ++i) Run(kWait);
  }

  const std::string& broken() const { return broken_; }
  std::optional<std::size_t> Leader() const {
    std::optional<std::size_t> leader;
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (!nodes_[i].coordinator || !nodes_[i].coordinator->replica().serving()) continue;
      const std::uint64_t term = nodes_[i].coordinator->replica().term();
      if (!leader || term > nodes_[*leader].coordinator->replica().term()) leader = i;
    }
    return leader;
  }
  // The newest that has won an election.
  std::optional<std::size_t> Elected() const {
    std::optional<std::size_t> elected;
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (!Leads(i)) continue;
      if (!elected || TermOf(i) > TermOf(*elected)) elected = i;
    }
    return elected;
  }
  bool running(std::size_t i) const { return nodes_[i].coordinator.has_value(); }
  std::optional<std::size_t> isolated() const { return isolated_; }

  // ---- Events ----

  void Isolate(std::size_t i) { isolated_ = i; }
  void Heal() { isolated_.reset(); }
  // A write under way is lost, and so is what others were to hear.
  void Kill(std::size_t i) {
    nodes_[i].coordinator.reset();
    nodes_[i].unsynced.reset();
    std::erase_if(network_, [&](const Flight& each) { return each.from == i || each.to == i; });
    for (auto& [id, call] : calls_)
      if (call.member == i) call.gone = true;
    std::erase_if(calls_, [](const auto& each) { return each.second.gone; });
  }
  void Start(std::size_t i) {
    Node& node = nodes_[i];
    if (node.coordinator) return;
    auto state = DecodeReplicaState(node.disk_number, [&](const std::string& key) {
      const auto found = node.disk.find(key);
      return found == node.disk.end() ? std::nullopt : std::optional(found->second);
    });
    node.coordinator.emplace(MemberAt(i), std::move(*state), options_, seed_ * 31 + i);
    TellRoster(i);
  }
  void StartAll() {
    for (std::size_t i = 0; i < kMembers; ++i) Start(i);
  }
  void RestartAll() {
    for (std::size_t i = 0; i < kMembers; ++i) Kill(i);
    StartAll();
  }
  // Back at once with an empty disk, as another life that the agreement has taken in.
  void Wipe(std::size_t i) {
    Kill(i);
    nodes_[i].disk.clear();
    nodes_[i].disk_number = ++last_disk_;
    ++roster_.epoch;
    for (std::size_t each = 0; each < kMembers; ++each) roster_.members[each] = MemberAt(each);
    Start(i);
    for (std::size_t each = 0; each < kMembers; ++each)
      if (running(each)) TellRoster(each);
  }
  // Time passes, but neither a message nor a disk gets on.
  void Pause(Duration span) {
    for (const Time until = now_ + span; now_ < until;) {
      now_ += milliseconds(50);
      TickAll();
    }
  }
  // What is under way arrives; what that brings about is under way then.
  void Round() {
    now_ += milliseconds(1);
    for (std::size_t i = 0; i < kMembers; ++i) EndWrite(i);
    auto network = std::exchange(network_, {});
    for (Flight& flight : network) Deliver(flight);
  }
  // The newest message that is under way is lost.
  void Lose() {
    if (!network_.empty()) network_.pop_back();
  }
  // Has won an election and not lost it since, whether it serves yet or not.
  bool Leads(std::size_t i) const {
    if (!running(i)) return false;
    const auto leader = nodes_[i].coordinator->replica().leader();
    return leader && leader->incarnation == MemberAt(i).incarnation;
  }
  void Settle() {
    constexpr int kMostRounds = 60;
    for (int i = 0; i < kMostRounds && (!network_.empty() || Writing()); ++i) Round();
    CheckStates();
  }
  void Run(Duration span) {
    Settle();
    for (const Time until = now_ + span; now_ < until;) {
      now_ += milliseconds(50);
      TickAll();
      Settle();
    }
  }

  // What members have applied, they may show.
  void CheckStates() {
    for (const Node& node : nodes_) {
      if (!node.coordinator) continue;
      const StateMachine& state = node.coordinator->state();
      if (const auto key = state.Find("g.k")) {
        Show(key->value, key->revision);
        applied_ = std::max(applied_, key->revision);
      }
      for (const Event& event : state.EventsAfter("g.", 1).events) Show(event.value, event.revision);
    }
  }

  // Nothing where the caller has no reason to ask so.
  bool MayAsk(Ask ask) const {
    if (ask == Ask::kRenewA) return callers_[0].fence != 0 && now_ < callers_[0].until;
    if (ask == Ask::kFinishA) return callers_[0].fence != 0;
    if (ask == Ask::kResend) return !puts_.empty();
    if (ask == Ask::kResendFirst) return puts_.size() > 1;
    return true;
  }
  void AskAt(std::size_t member, Ask ask) {
    switch (ask) {
      case Ask::kBeginA:
      case Ask::kBeginB: {
        const std::size_t caller = ask == Ask::kBeginB;
        return Send(member, {ask, caller}, AcquireLock{"l", Holder(caller), Milliseconds(kHold)});
      }
      case Ask::kRenewA:
        return Send(member, {ask, 0}, RenewLock{"l", "A", callers_[0].fence, Milliseconds(kHold)});
      case Ask::kFinishA: {
        const Fence fence = callers_[0].fence;
        callers_[0] = {};
        std::erase_if(calls_, [](const auto& each) {
          return each.second.ask == Ask::kBeginA || each.second.ask == Ask::kRenewA;
        });
        return Send(member, {ask, 0}, ReleaseLock{"l", "A", fence});
      }
      case Ask::kNumber:
        return Send(member, {ask, 0, number_}, TakeNumber{"n"});
      case Ask::kPut:
        puts_.push_back({"v" + std::to_string(puts_.size() + 1), known_});
        return SendPut(member, puts_.size() - 1);
      case Ask::kResend:
        return SendPut(member, puts_.size() - 1);
      case Ask::kResendFirst:
        return SendPut(member, 0);
      case Ask::kRead:
        return Send(member, {ask, 0, acked_}, ReadKey{"g.k"});
      case Ask::kWatch:
        return Send(member, {ask, 0, saved_}, WatchGroup{"g.", saved_, 0});
    }
  }

  // The day ends: all is well again, and each thing is asked for once more.
  void Close() {
    Heal();
    StartAll();
    CheckStates();
    acked_ = std::max(acked_, applied_);  // somebody may have been shown it
    for (int i = 0; i < 4 && broken_.empty(); ++i) Run(kWait);
    for (const Ask ask : {Ask::kRead, Ask::kNumber, Ask::kWatch, Ask::kBeginB}) {
      if (!broken_.empty()) return;
      const auto leader = Leader();
      if (!leader) return Break("LOST: nobody serves at the end");
      const std::size_t before = answered_;
      AskAt(*leader, ask);
      Settle();
      if (answered_ == before) Break("LOST: no answer at the end");
    }
  }

 private:
  struct Flight {
    std::size_t from = 0, to = 0;
    ReplicaMessage message;
  };
  struct Node {
    std::uint64_t disk_number = 0;
    std::map<std::string, std::string> disk;
    std::optional<Coordinator> coordinator;
    std::optional<Records> unsynced;
  };
  struct Asked {
    Ask ask{};
    std::size_t caller = 0;    // or the number of the put
    std::uint64_t before = 0;  // what was known when it was sent
    Time sent{};
    std::size_t member = 0;
    bool gone = false;
  };
  struct Caller {
    Fence fence = 0;
    Time until{};
  };
  struct Put {
    std::string value;
    Revision expected = 0;
    int open = 0;  // copies without a clear answer
    bool refused = false, shown = false;
    bool not_served = false;  // all copies until now: none is on its way
  };

  std::uint64_t TermOf(std::size_t i) const { return nodes_[i].coordinator->replica().term(); }
  static std::uint64_t Milliseconds(milliseconds span) { return static_cast<std::uint64_t>(span.count()); }
  static std::string Holder(std::size_t caller) { return caller == 0 ? "A" : "B"; }
  Member MemberAt(std::size_t i) const {
    return {{"core-" + std::to_string(i + 1), nodes_[i].disk_number},
            "10.0.0." + std::to_string(i + 1) + ":1"};
  }
  void Break(const std::string& what) {
    if (broken_.empty()) broken_ = what;
  }

  // ---- Members ----

  void TellRoster(std::size_t i) {
    CoordinatorOut out;
    if (roster_.epoch == 1) nodes_[i].coordinator->Found(now_, roster_.members, out);
    nodes_[i].coordinator->SetTarget(now_, roster_.epoch, roster_.members, out);
    Take(i, std::move(out));
  }
  void TickAll() {
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (!running(i)) continue;
      CoordinatorOut out;
      nodes_[i].coordinator->Tick(now_, out);
      Take(i, std::move(out));
    }
  }
  bool Writing() const {
    return std::any_of(nodes_.begin(), nodes_.end(),
                       [](const Node& each) { return each.unsynced.has_value(); });
  }
  void EndWrite(std::size_t i) {
    Node& node = nodes_[i];
    if (!node.coordinator || !node.unsynced) return;
    for (auto& [key, bytes] : *node.unsynced) node.disk[key] = std::move(bytes);
    node.unsynced.reset();
    CoordinatorOut out;
    node.coordinator->OnWritten(now_, true, out);
    Take(i, std::move(out));
  }
  void Deliver(const Flight& flight) {
    const bool cut = isolated_ && (*isolated_ == flight.from) != (*isolated_ == flight.to);
    if (cut || !running(flight.to)) return;
    CoordinatorOut out;
    nodes_[flight.to].coordinator->OnMessage(now_, flight.message, out);
    Take(flight.to, std::move(out));
  }
  void Take(std::size_t i, CoordinatorOut out) {
    for (ReplicaSending& sending : out.sends) {
      const std::size_t to = static_cast<std::size_t>(sending.to.incarnation.node.back() - '1');
      network_.push_back({i, to, std::move(sending.message)});
    }
    if (out.write) nodes_[i].unsynced = std::move(out.write);
    for (auto& [id, reply] : out.replies) Answer(id, reply);
  }

  // ---- Calls and what is told ----

  void Send(std::size_t member, Asked asked, const Call& call) {
    asked.sent = now_;
    asked.member = member;
    const CallId id = ++last_call_;
    calls_[id] = asked;
    CoordinatorOut out;
    nodes_[member].coordinator->OnCall(now_, id, call, out);
    Take(member, std::move(out));
  }
  void SendPut(std::size_t member, std::size_t number) {
    Put& put = puts_[number];
    ++put.open;
    put.not_served = false;  // this copy may take effect again
    Send(member, {Ask::kPut, number, acked_}, PutKey{"g.k", put.value, put.expected});
  }

  void Answer(CallId id, const Reply& reply) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    const Asked asked = found->second;
    calls_.erase(found);
    ++answered_;
    if (asked.ask == Ask::kPut) return OnPut(asked, reply);
    if (const auto* read = std::get_if<KeyRead>(&reply)) return OnRead(asked, *read);
    if (const auto* watched = std::get_if<Watched>(&reply)) return OnWatched(asked, *watched);
    if (std::holds_alternative<HistoryGone>(reply)) {
      if (saved_at_ + kHistoryGiven > now_) Break("LOST: 410 for a revision given just now");
      return;
    }
    const auto* result = std::get_if<Result>(&reply);
    if (result == nullptr) return;
    if (const auto* number = std::get_if<NumberTaken>(result)) return OnNumber(asked, number->value);
    if (const auto* granted = std::get_if<LockGranted>(result)) return OnGranted(asked, granted->fence);
    if (asked.ask == Ask::kRenewA) OnRenewed(asked, std::holds_alternative<Done>(*result));
  }

  void OnGranted(const Asked& asked, Fence fence) {
    const std::size_t other = 1 - asked.caller;
    const auto [first, is_new] = fences_.try_emplace(fence, Given{asked.caller, now_});
    if (first->second.caller != asked.caller) Break("ONE: one fence for two holders");
    for (const auto& [given, to] : fences_)
      if (to.caller == other && to.at < asked.sent && given >= fence)
        Break("ONE: a fence below another holder's");
    Caller& caller = callers_[asked.caller];
    const Time until = asked.sent + kHold;
    // A renewal whose answer comes after the caller's time has no effect.
    const bool too_late = caller.fence == fence && asked.sent < caller.until && now_ >= caller.until;
    if (now_ >= until || too_late) return;
    caller = {fence, std::max(until, caller.fence == fence ? caller.until : until)};
    CheckHolders();
  }
  void OnRenewed(const Asked& asked, bool good) {
    Caller& caller = callers_[0];
    if (!good) {
      if (caller.fence != 0 && now_ < caller.until && !asked.gone) caller = {};
      return;
    }
    if (now_ < caller.until) caller.until = std::max(caller.until, asked.sent + kHold);
    CheckHolders();
  }
  void CheckHolders() {
    const auto holds = [&](const Caller& each) { return each.fence != 0 && now_ < each.until; };
    if (holds(callers_[0]) && holds(callers_[1])) Break("ONE: two callers count themselves holder");
  }

  void OnNumber(const Asked& asked, std::uint64_t value) {
    if (value <= asked.before) Break("ORDER: a number not above one given before");
    if (!numbers_.insert(value).second) Break("ORDER: a number given twice");
    number_ = std::max(number_, value);
  }

  void OnPut(const Asked& asked, const Reply& reply) {
    Put& put = puts_[asked.caller];
    const auto* result = std::get_if<Result>(&reply);
    if (std::holds_alternative<NotServed>(reply)) {
      --put.open;  // this copy never takes effect
      put.not_served = put.open == 0 && !put.shown;
    } else if (result != nullptr) {
      if (const auto* done = std::get_if<KeyPut>(result)) {
        --put.open;
        put.shown = true;
        Show(put.value, done->revision);
        acked_ = std::max(acked_, done->revision);
        known_ = std::max(known_, done->revision);
      } else if (const auto* conflict = std::get_if<KeyConflict>(result)) {
        --put.open;
        put.refused = true;
        if (conflict->revision < asked.before) Break("STALE: a 412 below what was acknowledged");
        if (put.shown) Break("REFUSED: a put that took effect was turned away");
        known_ = std::max(known_, conflict->revision);
      }
    }
    if ((put.refused || put.not_served) && values_.contains(put.value))
      Break("REFUSED: a put in the state was turned away");
  }

  void OnRead(const Asked& asked, const KeyRead& read) {
    if (read.revision < asked.before) Break("STALE: a read below what was acknowledged");
    if (read.revision == 0) return;
    Show(read.value, read.revision);
    known_ = std::max(known_, read.revision);
  }

  void OnWatched(const Asked& asked, const Watched& watched) {
    Revision last = asked.before;
    if (last != 0) {
      for (const Event& event : watched.events) {
        if (event.revision != last + 1) Break("ORDER: a watch skips a put or doesn't rise");
        last = event.revision;
        Show(event.value, event.revision);
      }
      if (last != watched.revision) Break("ORDER: a watch's revision isn't its events'");
    }
    Save(watched.revision);
  }

  void Save(Revision revision) {
    if (revision <= saved_) return;
    saved_ = revision;
    saved_at_ = now_;
  }

  // A value at a revision, wherever it is seen.
  void Show(const std::string& value, Revision revision) {
    const auto put =
        std::find_if(puts_.begin(), puts_.end(), [&](const Put& each) { return each.value == value; });
    if (put == puts_.end()) return Break("MIXED: a value that nobody put");
    if (put->refused || put->not_served) Break("REFUSED: a refused put's value is shown");
    if (revision <= put->expected) Break("ORDER: a put over a later revision");
    if (values_.try_emplace(value, revision).first->second != revision)
      Break("MIXED: a value under two revisions");
    if (revisions_.try_emplace(revision, value).first->second != value)
      Break("ORDER: a revision given twice");
  }

  struct Given {
    std::size_t caller = 0;
    Time at{};
  };
  CoordinatorOptions options_;
  std::uint64_t seed_ = 0;
  Time now_{std::chrono::hours(1)};
  std::vector<Node> nodes_{kMembers};
  std::vector<Flight> network_;
  std::optional<std::size_t> isolated_;
  agreement::Membership roster_;
  std::uint64_t last_disk_ = 0;
  CallId last_call_ = 0;
  std::map<CallId, Asked> calls_;
  std::size_t answered_ = 0;
  std::string broken_;
  // What callers know.
  std::vector<Caller> callers_{2};
  std::map<Fence, Given> fences_;
  std::set<std::uint64_t> numbers_;
  std::uint64_t number_ = 0;
  std::vector<Put> puts_;
  std::map<std::string, Revision> values_;
  std::map<Revision, std::string> revisions_;
  Revision acked_ = 0, applied_ = 0, known_ = 0, saved_ = 0;
  Time saved_at_{};
};

class Explorer {
 public:
  Explorer(CoordinatorOptions options, Bounds bounds, std::uint64_t seed)
      : bounds_(std::move(bounds)), first_(Prepared(std::move(options), bounds_), seed) {
    if (bounds_.before) bounds_.before(first_);
  }

  // Empty, or what was broken and by which order of events: the shortest there is.
  std::string Run() {
    for (int depth = 1; depth <= bounds_.depth && worlds_ < bounds_.worlds; ++depth) {
      trace_.clear();
      if (Walk(first_, Left{bounds_}, depth)) return found_;
      complete_ = depth;
    }
    return {};
  }
  std::size_t worlds() const { return worlds_; }
  int complete() const { return complete_; }  // all orders so deep were walked
  std::string Figures() const {
    return std::to_string(worlds_) + " states, all orders of " + std::to_string(complete_) + " events";
  }

 private:
  struct Left {  // of each kind of event
    Bounds of;
  };
  static CoordinatorOptions Prepared(CoordinatorOptions options, const Bounds& bounds) {
    options.replica.election_least = milliseconds(400);
    options.replica.election_most = milliseconds(550);
    options.replica.gather = Duration::zero();
    options.replica.append_bytes = 1;  // an entry a message
    options.limits.history = kHistory;
    options.compact_after = bounds.compact_after;
    return options;
  }

  // True: something is broken.
  bool Walk(const World& world, const Left& left, int depth) {
    if (depth == 0) {
      World end = world;
      end.Close();
      ++worlds_;
      return Judge(end, "end");
    }
    return WalkCalls(world, left, depth) || WalkTroubles(world, left, depth);
  }

  bool Judge(const World& world, const std::string& event) {
    if (world.broken().empty()) return false;
    found_ = world.broken() + " by:";
    for (const std::string& each : trace_) found_ += " " + each;
    if (event == "end") found_ += " end";
    return true;
  }

  template <typename Act>
  bool Step(const World& world, const Left& left, int depth, const std::string& event, Act&& act) {
    World next = world;
    act(next);
    ++worlds_;
    trace_.push_back(event);
    const bool broken = Judge(next, event) || Walk(next, left, depth - 1);
    trace_.pop_back();
    return broken;
  }

  bool WalkCalls(const World& world, const Left& left, int depth) {
    static const std::vector<std::string> kNames = {"begin-A", "begin-B", "renew-A", "finish-A",
                                                    "number",  "put",     "resend",  "resend-first",
                                                    "read",    "watch"};
    for (const Ask ask : bounds_.asks) {
      if (!world.MayAsk(ask)) continue;
      std::set<std::size_t> members;
      if (const auto leader = world.Leader()) members.insert(*leader);
      if (world.isolated() && world.running(*world.isolated())) members.insert(*world.isolated());
      for (const std::size_t member : members) {
        const std::string name = kNames[static_cast<std::size_t>(ask)] + "@" + std::to_string(member + 1);
        if (Step(world, left, depth, name, [&](World& next) {
              next.AskAt(member, ask);
              next.Settle();
            }))
          return true;
        if (left.of.unsettled == 0) continue;
        Left less = left;
        --less.of.unsettled;
        if (Step(world, less, depth, name + "-under-way", [&](World& next) { next.AskAt(member, ask); }))
          return true;
      }
    }
    return false;
  }

  bool WalkTroubles(const World& world, const Left& left, int depth) {
    const auto with = [&](int Bounds::*kind, const std::string& event, auto&& act) {
      if (left.of.*kind == 0) return false;
      Left less = left;
      --(less.of.*kind);
      return Step(world, less, depth, event, act);
    };
    const auto leader = world.Leader();
    const auto chief = leader ? leader : world.Elected();
    std::size_t follower = 0;
    while (leader == follower || !world.running(follower)) ++follower;
    const auto all_run = [&] {
      for (std::size_t i = 0; i < kMembers; ++i)
        if (!world.running(i)) return false;
      return true;
    };
    const std::string at_leader = leader ? "@" + std::to_string(*leader + 1) : "";
    const std::string at_follower = "@" + std::to_string(follower + 1);
    if (with(&Bounds::waits, "wait", [](World& next) { next.Run(kWait); })) return true;
    if (with(&Bounds::pauses, "pause", [](World& next) { next.Pause(kPause); })) return true;
    if (with(&Bounds::rounds, "round", [](World& next) {
          next.Round();
          next.CheckStates();
        }))
      return true;
    if (with(&Bounds::losses, "lose", [](World& next) { next.Lose(); })) return true;
    if (world.isolated()) {
      if (Step(world, left, depth, "heal", [](World& next) { next.Heal(); })) return true;
    } else if (chief) {
      const std::size_t cut = bounds_.cut_follower ? follower : *chief;
      if (with(&Bounds::cuts, "cut@" + std::to_string(cut + 1), [&](World& next) { next.Isolate(cut); }))
        return true;
    }
    if (!all_run()) return Step(world, left, depth, "start", [](World& next) { next.StartAll(); });
    if (leader && with(&Bounds::kills, "kill" + at_leader, [&](World& next) { next.Kill(*leader); }))
      return true;
    if (with(&Bounds::wipes, "wipe" + at_follower, [&](World& next) { next.Wipe(follower); })) return true;
    return with(&Bounds::restarts, "restart-all", [](World& next) { next.RestartAll(); });
  }

  Bounds bounds_;
  World first_;
  std::size_t worlds_ = 0;
  int complete_ = 0;
  std::vector<std::string> trace_;
  std::string found_;
};

}  // namespace curlewdoor::coordination::testing
