// A model checker that runs every order of a few events (calls, retries, waits, network cuts, kills, wiped
// disks) up to a given depth on three real Coordinators in virtual time, and checks the replies that callers
// received. Shorter orders are explored first, so a violation is reported with its shortest trace. The wall
// clock is not used.
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
inline constexpr auto kHoldTime = milliseconds(1500);
// Enough for a new leader to serve while an isolated one still believes that it leads.
inline constexpr auto kWait = milliseconds(650);
inline constexpr auto kPause = milliseconds(300);            // shorter than the election timeout
inline constexpr auto kHistory = milliseconds(1800);         // as the members keep it
inline constexpr auto kPromisedHistory = milliseconds(900);  // as promised to callers

// What a caller may do.
enum class CallerAction : std::uint8_t {
  kAcquireA,
  kAcquireB,
  kRenewA,
  kReleaseA,
  kReleaseLateA,  // caller A sends a release and dies; the release is held up
  kLateReleaseArrives,
  kNumber,
  kPut,          // a new value, expecting the newest revision known to the caller
  kResend,       // the newest put again, whatever its reply was
  kResendFirst,  // the first put again
  kRead,
  kWatch
};

class SimulatedCluster;

// How often each kind of event may occur in one order, and the maximum depth.
struct Bounds {
  std::vector<CallerAction> actions;
  int depth = 5;
  int waits = 0, pauses = 0, isolations = 0, kills = 0, restarts = 0, wipes = 0, rounds = 0, in_flight = 0,
      dropped_messages = 0;
  std::function<void(SimulatedCluster&)> prepare;  // sets up the initial state of all orders
  bool isolate_follower = false;                   // isolates a follower instead of the leader
  std::uint64_t compact_after_entries = 2048;
  std::size_t max_states = 20'000;  // no deeper level is started beyond it
};

// Three members with their disks and messages in flight, and the replies that callers received. Copied for
// each explored order.
class SimulatedCluster {
 public:
  SimulatedCluster(const CoordinatorOptions& options, std::uint64_t seed) : options_(options), seed_(seed) {
    membership_.epoch = 1;
    for (std::size_t i = 0; i < kMembers; ++i) {
      nodes_[i].disk_number = ++last_disk_;
      membership_.members.push_back(MemberAt(i));
    }
    for (std::size_t i = 0; i < kMembers; ++i) Start(i);
    for (int i = 0; i < 3; ++i) Run(kWait);
  }

  const std::string& violation() const { return violation_; }
  std::optional<std::size_t> Leader() const {
    std::optional<std::size_t> leader;
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (!nodes_[i].coordinator || !nodes_[i].coordinator->replica().serving()) continue;
      const std::uint64_t term = nodes_[i].coordinator->replica().term();
      if (!leader || term > nodes_[*leader].coordinator->replica().term()) leader = i;
    }
    return leader;
  }
  // The member that won the newest election and has not lost it since.
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
  // Ends the process. Its running write and its messages in flight are lost.
  void Kill(std::size_t i) {
    nodes_[i].coordinator.reset();
    nodes_[i].unsynced.reset();
    std::erase_if(network_, [&](const InFlightMessage& each) { return each.from == i || each.to == i; });
    for (auto& [id, call] : calls_)
      if (call.member == i) call.lost = true;
    std::erase_if(calls_, [](const auto& each) { return each.second.lost; });
  }
  void Start(std::size_t i) {
    Node& node = nodes_[i];
    if (node.coordinator) return;
    auto state = DecodeReplicaState(node.disk_number, [&](const std::string& key) {
      const auto found = node.disk.find(key);
      return found == node.disk.end() ? std::nullopt : std::optional(found->second);
    });
    node.coordinator.emplace(MemberAt(i), std::move(*state), options_, seed_ * 31 + i);
    ApplyMembership(i);
  }
  void StartAll() {
    for (std::size_t i = 0; i < kMembers; ++i) Start(i);
  }
  void RestartAll() {
    for (std::size_t i = 0; i < kMembers; ++i) Kill(i);
    StartAll();
  }
  // Restarts the member at once with an empty disk, as a new incarnation that the agreement has admitted.
  void Wipe(std::size_t i) {
    Kill(i);
    nodes_[i].disk.clear();
    nodes_[i].disk_number = ++last_disk_;
    ++membership_.epoch;
    for (std::size_t each = 0; each < kMembers; ++each) membership_.members[each] = MemberAt(each);
    Start(i);
    for (std::size_t each = 0; each < kMembers; ++each)
      if (running(each)) ApplyMembership(each);
  }
  // Advances the time without delivering messages or completing writes.
  void Pause(Duration span) {
    for (const Time until = now_ + span; now_ < until;) {
      now_ += milliseconds(50);
      TickAll();
    }
  }
  // Completes the running writes and delivers the messages in flight, but not those that result from it.
  void Round() {
    now_ += milliseconds(1);
    for (std::size_t i = 0; i < kMembers; ++i) EndWrite(i);
    auto network = std::exchange(network_, {});
    for (InFlightMessage& flight : network) Deliver(flight);
  }
  // Loses the newest message in flight.
  void DropNewestMessage() {
    if (!network_.empty()) network_.pop_back();
  }
  // Has won an election and not lost it since, whether or not it serves yet.
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

  // Checks the values in the members' states, which may be returned to callers.
  void CheckStates() {
    for (const Node& node : nodes_) {
      if (!node.coordinator) continue;
      const StateMachine& state = node.coordinator->state();
      if (const auto key = state.Find("g.k")) {
        ObserveValue(key->value, key->revision);
        applied_revision_ = std::max(applied_revision_, key->revision);
      }
      for (const PutEvent& event : state.EventsAfter("g.", 1).events)
        ObserveValue(event.value, event.revision);
    }
  }

  // False if the caller has no reason for this action now.
  bool CanIssue(CallerAction action) const {
    if (action == CallerAction::kRenewA) return callers_[0].fence != 0 && now_ < callers_[0].until;
    if (action == CallerAction::kReleaseA || action == CallerAction::kReleaseLateA)
      return callers_[0].fence != 0;
    if (action == CallerAction::kLateReleaseArrives) return !late_releases_.empty();
    if (action == CallerAction::kResend) return !puts_.empty();
    if (action == CallerAction::kResendFirst) return puts_.size() > 1;
    return true;
  }
  void Issue(std::size_t member, CallerAction action) {
    switch (action) {
      case CallerAction::kAcquireA:
      case CallerAction::kAcquireB: {
        const std::size_t caller = action == CallerAction::kAcquireB;
        if (caller == 0) NoteCallerGone();
        return Send(member, {action, caller}, AcquireLock{"l", Holder(caller), Milliseconds(kHoldTime)});
      }
      case CallerAction::kRenewA:
        return Send(member, {action, 0}, RenewLock{"l", "A", callers_[0].fence, Milliseconds(kHoldTime)});
      case CallerAction::kReleaseA:
        return SendRelease(member, EndHoldOfA(), 0, true);
      case CallerAction::kReleaseLateA:
        late_releases_.push_back(EndHoldOfA());
        return;
      case CallerAction::kLateReleaseArrives: {
        const FencingToken fence = late_releases_.front();
        late_releases_.erase(late_releases_.begin());
        return SendRelease(member, fence, 0, false);
      }
      case CallerAction::kNumber:
        return Send(member, {action, 0, highest_number_}, TakeNumber{"n"});
      case CallerAction::kPut:
        puts_.push_back({"v" + std::to_string(puts_.size() + 1), known_revision_});
        return SendPut(member, puts_.size() - 1);
      case CallerAction::kResend:
        return SendPut(member, puts_.size() - 1);
      case CallerAction::kResendFirst:
        return SendPut(member, 0);
      case CallerAction::kRead:
        return Send(member, {action, 0, acknowledged_revision_}, ReadKey{"g.k"});
      case CallerAction::kWatch:
        return Send(member, {action, 0, watch_revision_}, WatchGroup{"g.", watch_revision_, 0});
    }
  }

  // Ends all faults and calls each object once more.
  void FinishAndCheck() {
    Heal();
    StartAll();
    CheckStates();
    // An applied revision may have been returned to a caller.
    acknowledged_revision_ = std::max(acknowledged_revision_, applied_revision_);
    for (int i = 0; i < 4 && violation_.empty(); ++i) Run(kWait);
    for (const CallerAction action :
         {CallerAction::kRead, CallerAction::kNumber, CallerAction::kWatch, CallerAction::kAcquireB}) {
      if (!violation_.empty()) return;
      const auto leader = Leader();
      if (!leader) return ReportViolation("LOST: no member serves at the end");
      const std::size_t answered_before = answered_;
      Issue(*leader, action);
      Settle();
      if (answered_ == answered_before) ReportViolation("LOST: no answer at the end");
    }
  }

 private:
  struct InFlightMessage {
    std::size_t from = 0, to = 0;
    ReplicaMessage message;
  };
  struct Node {
    std::uint64_t disk_number = 0;
    std::map<std::string, std::string> disk;
    std::optional<Coordinator> coordinator;
    std::optional<RecordBatch> unsynced;
  };
  struct PendingCall {
    CallerAction action{};
    std::size_t caller = 0;          // or the index of the put
    std::uint64_t known_before = 0;  // the newest value known when it was sent
    Time sent{};
    std::size_t member = 0;
    bool lost = false;
    // Of a release:
    FencingToken fence = 0;
    std::uint64_t proven_renewals = 0;
    bool caller_waits = false;  // for its answer; else its process has ended
  };
  struct Caller {
    FencingToken fence = 0;
    Time until{};
  };
  struct Put {
    std::string value;
    Revision expected = 0;
    int open = 0;  // copies without a definite reply
    bool refused = false, applied = false;
    bool not_served = false;  // true if no copy so far was accepted and none is pending
  };

  std::uint64_t TermOf(std::size_t i) const { return nodes_[i].coordinator->replica().term(); }
  static std::uint64_t Milliseconds(milliseconds span) { return static_cast<std::uint64_t>(span.count()); }
  static std::string Holder(std::size_t caller) { return caller == 0 ? "A" : "B"; }
  Member MemberAt(std::size_t i) const {
    return {{"core-" + std::to_string(i + 1), nodes_[i].disk_number},
            "10.0.0." + std::to_string(i + 1) + ":1"};
  }
  void ReportViolation(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }

  // ---- Members ----

  void ApplyMembership(std::size_t i) {
    CoordinatorOutput out;
    if (membership_.epoch == 1) nodes_[i].coordinator->Bootstrap(now_, membership_.members, out);
    nodes_[i].coordinator->SetTargetVoters(now_, membership_.epoch, membership_.members, out);
    HandleOutput(i, std::move(out));
  }
  void TickAll() {
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (!running(i)) continue;
      CoordinatorOutput out;
      nodes_[i].coordinator->Tick(now_, out);
      HandleOutput(i, std::move(out));
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
    CoordinatorOutput out;
    node.coordinator->OnWritten(now_, true, out);
    HandleOutput(i, std::move(out));
  }
  void Deliver(const InFlightMessage& flight) {
    const bool cut = isolated_ && (*isolated_ == flight.from) != (*isolated_ == flight.to);
    if (cut || !running(flight.to)) return;
    CoordinatorOutput out;
    nodes_[flight.to].coordinator->OnMessage(now_, flight.message, out);
    HandleOutput(flight.to, std::move(out));
  }
  void HandleOutput(std::size_t i, CoordinatorOutput out) {
    for (OutgoingMessage& sending : out.messages) {
      const std::size_t to = static_cast<std::size_t>(sending.to.incarnation.node.back() - '1');
      network_.push_back({i, to, std::move(sending.message)});
    }
    if (out.write) nodes_[i].unsynced = std::move(out.write);
    for (auto& [id, reply] : out.replies) Answer(id, reply);
  }

  // ---- Calls and replies ----

  void Send(std::size_t member, PendingCall pending, const Call& call) {
    pending.sent = now_;
    pending.member = member;
    const CallId id = ++last_call_;
    calls_[id] = pending;
    CoordinatorOutput out;
    nodes_[member].coordinator->OnCall(now_, id, call, pending.proven_renewals, out);
    HandleOutput(member, std::move(out));
  }
  // Caller A counts itself holder no more. Returns its fence.
  FencingToken EndHoldOfA() {
    const FencingToken fence = callers_[0].fence;
    callers_[0] = {};
    std::erase_if(calls_, [](const auto& each) {
      return each.second.action == CallerAction::kAcquireA || each.second.action == CallerAction::kRenewA;
    });
    return fence;
  }
  // A caller sends one call after another: one that acquires the lock waits for no earlier release.
  void NoteCallerGone() {
    for (auto& [id, call] : calls_) call.caller_waits = false;
  }
  void SendRelease(std::size_t member, FencingToken fence, std::uint64_t proven, bool caller_waits) {
    PendingCall pending;
    pending.action = CallerAction::kReleaseA;
    pending.fence = fence;
    pending.proven_renewals = proven;
    pending.caller_waits = caller_waits;
    Send(member, pending, ReleaseLock{"l", "A", fence});
  }
  // As CoordinationCalls does.
  void OnReleaseUnproven(const PendingCall& pending, std::uint64_t renewals) {
    if (pending.caller_waits && running(pending.member))
      SendRelease(pending.member, pending.fence, renewals, true);
  }
  void SendPut(std::size_t member, std::size_t number) {
    Put& put = puts_[number];
    ++put.open;
    put.not_served = false;  // the new copy may take effect
    Send(member, {CallerAction::kPut, number, acknowledged_revision_},
         PutKey{"g.k", put.value, put.expected});
  }

  void Answer(CallId id, const Reply& reply) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    const PendingCall pending = found->second;
    calls_.erase(found);
    ++answered_;
    if (pending.action == CallerAction::kPut) return OnPut(pending, reply);
    if (const auto* unproven = std::get_if<ReleaseUnproven>(&reply))
      return OnReleaseUnproven(pending, unproven->renewals);
    if (const auto* read = std::get_if<ReadResult>(&reply)) return OnRead(pending, *read);
    if (const auto* watched = std::get_if<WatchResult>(&reply)) return OnWatched(pending, *watched);
    if (std::holds_alternative<HistoryExpired>(reply)) {
      if (watch_revision_at_ + kPromisedHistory > now_)
        ReportViolation("LOST: 410 for a revision that was returned recently");
      return;
    }
    const auto* result = std::get_if<CommandResult>(&reply);
    if (result == nullptr) return;
    if (const auto* number = std::get_if<NumberTaken>(result)) return OnNumber(pending, number->value);
    if (const auto* granted = std::get_if<LockGranted>(result)) return OnGranted(pending, granted->fence);
    if (pending.action == CallerAction::kRenewA) OnRenewed(pending, std::holds_alternative<Done>(*result));
  }

  void OnGranted(const PendingCall& pending, FencingToken fence) {
    const std::size_t other = 1 - pending.caller;
    const auto [first, is_new] = grants_by_fence_.try_emplace(fence, FencedGrant{pending.caller, now_});
    if (first->second.caller != pending.caller) ReportViolation("ONE: one fence for two holders");
    for (const auto& [granted_fence, to] : grants_by_fence_)
      if (to.caller == other && to.at < pending.sent && granted_fence >= fence)
        ReportViolation("ONE: a fence below another holder's");
    Caller& caller = callers_[pending.caller];
    const Time until = pending.sent + kHoldTime;
    // A renewal that is answered after the caller's hold has ended has no effect.
    const bool too_late = caller.fence == fence && pending.sent < caller.until && now_ >= caller.until;
    if (now_ >= until || too_late) return;
    caller = {fence, std::max(until, caller.fence == fence ? caller.until : until)};
    CheckHolders();
  }
  void OnRenewed(const PendingCall& pending, bool good) {
    Caller& caller = callers_[0];
    if (!good) {
      if (caller.fence != 0 && now_ < caller.until && !pending.lost) caller = {};
      return;
    }
    if (now_ < caller.until) caller.until = std::max(caller.until, pending.sent + kHoldTime);
    CheckHolders();
  }
  void CheckHolders() {
    const auto holds = [&](const Caller& each) { return each.fence != 0 && now_ < each.until; };
    if (holds(callers_[0]) && holds(callers_[1]))
      ReportViolation("ONE: two callers hold the lock at the same time");
  }

  void OnNumber(const PendingCall& pending, std::uint64_t value) {
    if (value <= pending.known_before) ReportViolation("ORDER: a number is not above an earlier one");
    if (!numbers_.insert(value).second) ReportViolation("ORDER: a number was returned twice");
    highest_number_ = std::max(highest_number_, value);
  }

  void OnPut(const PendingCall& pending, const Reply& reply) {
    Put& put = puts_[pending.caller];
    const auto* result = std::get_if<CommandResult>(&reply);
    if (std::holds_alternative<NotServed>(reply)) {
      --put.open;  // this copy will never take effect
      put.not_served = put.open == 0 && !put.applied;
    } else if (result != nullptr) {
      if (const auto* done = std::get_if<KeyPut>(result)) {
        --put.open;
        put.applied = true;
        ObserveValue(put.value, done->revision);
        acknowledged_revision_ = std::max(acknowledged_revision_, done->revision);
        known_revision_ = std::max(known_revision_, done->revision);
      } else if (const auto* conflict = std::get_if<KeyConflict>(result)) {
        --put.open;
        put.refused = true;
        if (conflict->revision < pending.known_before)
          ReportViolation("STALE: a 412 with a revision below an acknowledged one");
        if (put.applied) ReportViolation("REFUSED: an applied put was rejected");
        known_revision_ = std::max(known_revision_, conflict->revision);
      }
    }
    if ((put.refused || put.not_served) && revisions_by_value_.contains(put.value))
      ReportViolation("REFUSED: a put that is in the state was rejected");
  }

  void OnRead(const PendingCall& pending, const ReadResult& read) {
    if (read.revision < pending.known_before)
      ReportViolation("STALE: a read returned a revision below an acknowledged one");
    if (read.revision == 0) return;
    ObserveValue(read.value, read.revision);
    known_revision_ = std::max(known_revision_, read.revision);
  }

  void OnWatched(const PendingCall& pending, const WatchResult& watched) {
    Revision last = pending.known_before;
    if (last != 0) {
      for (const PutEvent& event : watched.events) {
        if (event.revision != last + 1)
          ReportViolation("ORDER: the revisions of a watch are not consecutive");
        last = event.revision;
        ObserveValue(event.value, event.revision);
      }
      if (last != watched.revision)
        ReportViolation("ORDER: the revision of a watch differs from its last event");
    }
    SaveRevision(watched.revision);
  }

  void SaveRevision(Revision revision) {
    if (revision <= watch_revision_) return;
    watch_revision_ = revision;
    watch_revision_at_ = now_;
  }

  // Checks a value with its revision, from a reply or from a member's state.
  void ObserveValue(const std::string& value, Revision revision) {
    const auto put =
        std::find_if(puts_.begin(), puts_.end(), [&](const Put& each) { return each.value == value; });
    if (put == puts_.end()) return ReportViolation("MIXED: a value that was never put");
    if (put->refused || put->not_served) ReportViolation("REFUSED: the value of a rejected put is visible");
    if (revision <= put->expected) ReportViolation("ORDER: a put was applied below its expected revision");
    if (revisions_by_value_.try_emplace(value, revision).first->second != revision)
      ReportViolation("MIXED: a value has two revisions");
    if (values_by_revision_.try_emplace(revision, value).first->second != value)
      ReportViolation("ORDER: a revision was used twice");
  }

  struct FencedGrant {
    std::size_t caller = 0;
    Time at{};
  };
  CoordinatorOptions options_;
  std::uint64_t seed_ = 0;
  Time now_{std::chrono::hours(1)};
  std::vector<Node> nodes_{kMembers};
  std::vector<InFlightMessage> network_;
  std::optional<std::size_t> isolated_;
  agreement::Membership membership_;
  std::uint64_t last_disk_ = 0;
  CallId last_call_ = 0;
  std::map<CallId, PendingCall> calls_;
  std::size_t answered_ = 0;
  std::string violation_;
  // What the callers know.
  std::vector<Caller> callers_{2};
  std::vector<FencingToken> late_releases_;  // of caller A, which are held up
  std::map<FencingToken, FencedGrant> grants_by_fence_;
  std::set<std::uint64_t> numbers_;
  std::uint64_t highest_number_ = 0;
  std::vector<Put> puts_;
  std::map<std::string, Revision> revisions_by_value_;
  std::map<Revision, std::string> values_by_revision_;
  Revision acknowledged_revision_ = 0, applied_revision_ = 0, known_revision_ = 0, watch_revision_ = 0;
  Time watch_revision_at_{};
};

// Explores the orders of events by depth.
class Explorer {
 public:
  Explorer(CoordinatorOptions options, Bounds bounds, std::uint64_t seed)
      : bounds_(std::move(bounds)), initial_(PrepareOptions(std::move(options), bounds_), seed) {
    if (bounds_.prepare) bounds_.prepare(initial_);
  }

  // Returns an empty string, or the violation with the shortest order of events that causes it.
  std::string Run() {
    for (int depth = 1; depth <= bounds_.depth && states_ < bounds_.max_states; ++depth) {
      trace_.clear();
      if (Explore(initial_, Remaining{bounds_}, depth)) return found_violation_;
      complete_ = depth;
    }
    return {};
  }
  std::size_t state_count() const { return states_; }
  int complete() const { return complete_; }  // greatest depth that was explored completely
  std::string Figures() const {
    return std::to_string(states_) + " states, all orders of " + std::to_string(complete_) + " events";
  }

 private:
  struct Remaining {  // events left of each kind
    Bounds of;
  };
  static CoordinatorOptions PrepareOptions(CoordinatorOptions options, const Bounds& bounds) {
    options.replica.election_timeout_min = milliseconds(400);
    options.replica.election_timeout_max = milliseconds(550);
    options.replica.batch_delay = Duration::zero();
    options.replica.max_append_bytes = 1;  // one entry per message
    options.limits.history = kHistory;
    options.compact_after_entries = bounds.compact_after_entries;
    return options;
  }

  // Returns true if a violation was found.
  bool Explore(const SimulatedCluster& cluster, const Remaining& remaining, int depth) {
    if (depth == 0) {
      SimulatedCluster end = cluster;
      end.FinishAndCheck();
      ++states_;
      return HasViolation(end, "end");
    }
    return ExploreCalls(cluster, remaining, depth) || ExploreFaults(cluster, remaining, depth);
  }

  bool HasViolation(const SimulatedCluster& cluster, const std::string& event) {
    if (cluster.violation().empty()) return false;
    found_violation_ = cluster.violation() + " by:";
    for (const std::string& each : trace_) found_violation_ += " " + each;
    if (event == "end") found_violation_ += " end";
    return true;
  }

  template <typename Act>
  bool Step(const SimulatedCluster& cluster, const Remaining& remaining, int depth, const std::string& event,
            Act&& act) {
    SimulatedCluster next = cluster;
    act(next);
    ++states_;
    trace_.push_back(event);
    const bool violation = HasViolation(next, event) || Explore(next, remaining, depth - 1);
    trace_.pop_back();
    return violation;
  }

  bool ExploreCalls(const SimulatedCluster& cluster, const Remaining& remaining, int depth) {
    static const std::vector<std::string> kNames = {"begin-A",
                                                    "begin-B",
                                                    "renew-A",
                                                    "finish-A",
                                                    "finish-A-held-up",
                                                    "held-up-finish-arrives",
                                                    "number",
                                                    "put",
                                                    "resend",
                                                    "resend-first",
                                                    "read",
                                                    "watch"};
    for (const CallerAction action : bounds_.actions) {
      if (!cluster.CanIssue(action)) continue;
      std::set<std::size_t> members;
      if (const auto leader = cluster.Leader()) members.insert(*leader);
      if (cluster.isolated() && cluster.running(*cluster.isolated())) members.insert(*cluster.isolated());
      for (const std::size_t member : members) {
        const std::string name = kNames[static_cast<std::size_t>(action)] + "@" + std::to_string(member + 1);
        if (Step(cluster, remaining, depth, name, [&](SimulatedCluster& next) {
              next.Issue(member, action);
              next.Settle();
            }))
          return true;
        if (remaining.of.in_flight == 0) continue;
        Remaining next_remaining = remaining;
        --next_remaining.of.in_flight;
        if (Step(cluster, next_remaining, depth, name + "-under-way",
                 [&](SimulatedCluster& next) { next.Issue(member, action); }))
          return true;
      }
    }
    return false;
  }

  bool ExploreFaults(const SimulatedCluster& cluster, const Remaining& remaining, int depth) {
    const auto with = [&](int Bounds::*kind, const std::string& event, auto&& act) {
      if (remaining.of.*kind == 0) return false;
      Remaining next_remaining = remaining;
      --(next_remaining.of.*kind);
      return Step(cluster, next_remaining, depth, event, act);
    };
    const auto leader = cluster.Leader();
    const auto leader_or_elected = leader ? leader : cluster.Elected();
    std::size_t follower = 0;
    while (leader == follower || !cluster.running(follower)) ++follower;
    const auto all_run = [&] {
      for (std::size_t i = 0; i < kMembers; ++i)
        if (!cluster.running(i)) return false;
      return true;
    };
    const std::string at_leader = leader ? "@" + std::to_string(*leader + 1) : "";
    const std::string at_follower = "@" + std::to_string(follower + 1);
    if (with(&Bounds::waits, "wait", [](SimulatedCluster& next) { next.Run(kWait); })) return true;
    if (with(&Bounds::pauses, "pause", [](SimulatedCluster& next) { next.Pause(kPause); })) return true;
    if (with(&Bounds::rounds, "round", [](SimulatedCluster& next) {
          next.Round();
          next.CheckStates();
        }))
      return true;
    if (with(&Bounds::dropped_messages, "lose", [](SimulatedCluster& next) { next.DropNewestMessage(); }))
      return true;
    if (cluster.isolated()) {
      if (Step(cluster, remaining, depth, "heal", [](SimulatedCluster& next) { next.Heal(); })) return true;
    } else if (leader_or_elected) {
      const std::size_t cut = bounds_.isolate_follower ? follower : *leader_or_elected;
      if (with(&Bounds::isolations, "cut@" + std::to_string(cut + 1),
               [&](SimulatedCluster& next) { next.Isolate(cut); }))
        return true;
    }
    if (!all_run())
      return Step(cluster, remaining, depth, "start", [](SimulatedCluster& next) { next.StartAll(); });
    if (leader &&
        with(&Bounds::kills, "kill" + at_leader, [&](SimulatedCluster& next) { next.Kill(*leader); }))
      return true;
    if (with(&Bounds::wipes, "wipe" + at_follower, [&](SimulatedCluster& next) { next.Wipe(follower); }))
      return true;
    return with(&Bounds::restarts, "restart-all", [](SimulatedCluster& next) { next.RestartAll(); });
  }

  Bounds bounds_;
  SimulatedCluster initial_;
  std::size_t states_ = 0;
  int complete_ = 0;
  std::vector<std::string> trace_;
  std::string found_violation_;
};

}  // namespace curlewdoor::coordination::testing
