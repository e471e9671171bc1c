// A simulated cluster of coordination members in virtual time. Messages are delayed, lost, or blocked in one
// direction; disks sync late, stall, fail or are wiped; processes are killed, frozen and resumed. A run is
// determined by its seed. The tests are the callers: they pass calls to members and receive the replies.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordinator.hpp"

namespace curlewdoor::coordination::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Delays and fault rates of the simulation.
struct ClusterOptions {
  CoordinatorOptions coordinator;
  Duration min_delay = microseconds(200), max_delay = milliseconds(3);  // per message
  Duration min_sync = milliseconds(1), max_sync = milliseconds(8);      // per write
  double loss_rate = 0;                                                 // share of lost messages
  double write_failure_rate = 0;                                        // share of failed writes
};

// The members, their disks and the network between them.
class Cluster {
 public:
  using OnReply = std::function<void(const Reply& reply)>;

  Cluster(std::size_t members, const ClusterOptions& options, std::uint64_t seed)
      : options_(options), random_(seed) {
    for (std::size_t i = 0; i < members; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      nodes_[i]->name = "core-" + std::to_string(i + 1);
      nodes_[i]->disk_number = ++last_disk_;
    }
    membership_.epoch = 1;
    for (std::size_t i = 0; i < members; ++i) membership_.members.push_back(MemberAt(i));
    for (std::size_t i = 0; i < members; ++i) Start(i);
  }

  Time now() const { return now_; }
  std::size_t size() const { return nodes_.size(); }
  std::mt19937_64& random() { return random_; }

  // Runs all events up to `span` from now.
  void Run(Duration span) {
    const Time until = now_ + span;
    while (!events_.empty() && events_.begin()->first <= until) {
      const auto event = events_.begin();
      now_ = event->first;
      const auto action = std::move(event->second);
      events_.erase(event);
      action();
    }
    now_ = until;
  }
  void At(Duration after, std::function<void()> action) { events_.emplace(now_ + after, std::move(action)); }

  // ---- Members ----
  bool running(std::size_t i) const { return nodes_[i]->coordinator != nullptr; }
  const Coordinator* coordinator(std::size_t i) const { return nodes_[i]->coordinator.get(); }
  Member MemberAt(std::size_t i) const {
    return {{nodes_[i]->name, nodes_[i]->disk_number}, "10.0.0." + std::to_string(i + 1) + ":7001"};
  }
  void Start(std::size_t i) {
    Node& node = *nodes_[i];
    if (node.coordinator) return;
    ++node.process;
    const auto& disk = node.disk;
    auto state = DecodeReplicaState(node.disk_number, [&](const std::string& key) {
      const auto found = disk.find(key);
      return found == disk.end() ? std::nullopt : std::optional(found->second);
    });
    if (!state) throw std::runtime_error("cannot read the state on a disk");
    node.coordinator =
        std::make_unique<Coordinator>(MemberAt(i), std::move(*state), options_.coordinator, random_());
    node.writing = false;
    ApplyMembership(i);
    Tick(i, node.process);
  }
  // Ends the process. Unsynced data is lost; a running write is persisted or lost at random.
  void Kill(std::size_t i) {
    Node& node = *nodes_[i];
    if (node.writing && random_() % 2 == 0) PersistWrite(node);
    node.coordinator.reset();
    node.pending_replies.clear();
    node.frozen = false;
    node.deferred.clear();
    ++node.process;
  }
  // Kills the process and empties its disk, which starts a new incarnation.
  void Wipe(std::size_t i) {
    Kill(i);
    nodes_[i]->disk.clear();
    nodes_[i]->disk_number = ++last_disk_;
  }
  // Suspends the process; its events are queued in order.
  void Freeze(std::size_t i) { nodes_[i]->frozen = true; }
  void Thaw(std::size_t i) {
    Node& node = *nodes_[i];
    node.frozen = false;
    auto deferred = std::exchange(node.deferred, {});
    for (auto& action : deferred) action();
  }
  void BeginShutdown(std::size_t i) {
    RunInProcess(i, [this, i] {
      CoordinatorOutput out;
      nodes_[i]->coordinator->BeginShutdown(now_, out);
      HandleOutput(i, std::move(out));
    });
  }
  void StallDisk(std::size_t i, Duration span) { nodes_[i]->disk_stalled_until = now_ + span; }
  // Drops all messages from one member to the other.
  void BlockPath(std::size_t from, std::size_t to) { blocked_paths_.insert({from, to}); }
  void UnblockAllPaths() { blocked_paths_.clear(); }
  bool IsPathBlocked(std::size_t from, std::size_t to) const { return blocked_paths_.contains({from, to}); }
  // Starts the agreement's next epoch with these members and their current disks.
  void SetMembership(const std::vector<std::size_t>& members) {
    ++membership_.epoch;
    membership_.members.clear();
    for (const std::size_t i : members) membership_.members.push_back(MemberAt(i));
    for (std::size_t i = 0; i < nodes_.size(); ++i) ApplyMembership(i);
  }
  std::optional<std::size_t> Leader() const {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (running(i) && !nodes_[i]->frozen && nodes_[i]->coordinator->replica().serving()) return i;
    return std::nullopt;
  }

  // Number of starts and kills of this member, which identifies its current process.
  std::uint64_t process(std::size_t i) const { return nodes_[i]->process; }
  std::uint64_t disk_number(std::size_t i) const { return nodes_[i]->disk_number; }
  bool frozen(std::size_t i) const { return nodes_[i]->frozen; }
  // Sets the message delay, the message loss and the write failures from now on.
  void SetFaultRates(Duration max_delay, double loss_rate, double write_failure_rate) {
    options_.max_delay = max_delay;
    options_.loss_rate = loss_rate;
    options_.write_failure_rate = write_failure_rate;
  }
  // Called for each message when it is sent, and for a member after each of its steps.
  std::function<void(std::size_t from, const ReplicaMessage& message)> on_send;
  std::function<void(std::size_t member)> on_step;

  // Sends a call to this member. Does nothing if it is not running; there may never be a reply.
  void Call(std::size_t i, const coordination::Call& call, OnReply on_reply, ProvenRenewals proven = 0) {
    RunInProcess(i, [this, i, call, proven, on_reply = std::move(on_reply)] {
      Node& node = *nodes_[i];
      const CallId id = ++last_call_;
      node.pending_replies[id] = on_reply;
      CoordinatorOutput out;
      node.coordinator->OnCall(now_, id, call, proven, out);
      HandleOutput(i, std::move(out));
    });
  }

 private:
  struct Node {
    std::string name;
    std::uint64_t disk_number = 0, process = 0;
    std::map<std::string, std::string> disk;
    std::unique_ptr<Coordinator> coordinator;
    std::map<CallId, OnReply> pending_replies;
    RecordBatch unsynced_records;
    bool writing = false, frozen = false;
    Time disk_stalled_until{};
    std::vector<std::function<void()>> deferred;
  };

  Duration RandomDuration(Duration shortest, Duration longest) {
    return shortest +
           Duration(std::uniform_int_distribution<Duration::rep>(0, (longest - shortest).count())(random_));
  }
  bool RandomChance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

  // Runs the action in the current process of the member, now or once it resumes, but never in a later
  // process.
  void RunInProcess(std::size_t i, std::function<void()> action) {
    Node& node = *nodes_[i];
    if (!node.coordinator) return;
    if (node.frozen) {
      node.deferred.push_back([this, i, process = node.process, action = std::move(action)] {
        if (nodes_[i]->process == process && nodes_[i]->coordinator) action();
      });
      return;
    }
    action();
  }

  void ApplyMembership(std::size_t i) {
    RunInProcess(i, [this, i] {
      Node& node = *nodes_[i];
      CoordinatorOutput out;
      const Incarnation self{node.name, node.disk_number};
      bool member = false;
      for (const Member& each : membership_.members) member = member || each.incarnation == self;
      if (membership_.epoch == 1 && member) node.coordinator->Bootstrap(now_, membership_.members, out);
      node.coordinator->SetTargetVoters(now_, membership_.epoch, membership_.members, out);
      HandleOutput(i, std::move(out));
    });
  }

  void Tick(std::size_t i, std::uint64_t process) {
    if (nodes_[i]->process != process) return;
    RunInProcess(i, [this, i] {
      CoordinatorOutput out;
      nodes_[i]->coordinator->Tick(now_, out);
      HandleOutput(i, std::move(out));
    });
    At(milliseconds(20), [this, i, process] { Tick(i, process); });
  }

  void HandleOutput(std::size_t i, CoordinatorOutput out) {
    Node& node = *nodes_[i];
    if (on_send)
      for (const OutgoingMessage& outgoing : out.messages) on_send(i, outgoing.message);
    for (OutgoingMessage& outgoing : out.messages) SendMessage(i, std::move(outgoing));
    if (out.write) Write(i, std::move(*out.write));
    if (const auto due = node.coordinator->NextDue()) {
      const Duration after = std::max(Duration::zero(), *due - now_);
      At(after, [this, i, process = node.process] {
        if (nodes_[i]->process == process) Flush(i);
      });
    }
    for (auto& [id, reply] : out.replies) {
      const auto found = node.pending_replies.extract(id);
      if (found) found.mapped()(reply);
    }
    if (on_step) on_step(i);
  }

  void Flush(std::size_t i) {
    RunInProcess(i, [this, i] {
      const auto due = nodes_[i]->coordinator->NextDue();
      if (!due || *due > now_) return;
      CoordinatorOutput out;
      nodes_[i]->coordinator->Tick(now_, out);
      HandleOutput(i, std::move(out));
    });
  }

  void SendMessage(std::size_t from, OutgoingMessage outgoing) {
    std::size_t to = 0;
    while (to < nodes_.size() && nodes_[to]->name != outgoing.to.incarnation.node) ++to;
    if (to == nodes_.size() || IsPathBlocked(from, to) || RandomChance(options_.loss_rate)) return;
    std::string bytes = Encode(outgoing.message);
    At(RandomDuration(options_.min_delay, options_.max_delay), [this, from, to, bytes = std::move(bytes)] {
      if (IsPathBlocked(from, to)) return;
      RunInProcess(to, [this, to, bytes] {
        const auto message = DecodeReplicaMessage(bytes);
        if (!message) throw std::runtime_error("cannot decode a message");
        CoordinatorOutput out;
        nodes_[to]->coordinator->OnMessage(now_, *message, out);
        HandleOutput(to, std::move(out));
      });
    });
  }

  void Write(std::size_t i, RecordBatch records) {
    Node& node = *nodes_[i];
    node.unsynced_records = std::move(records);
    node.writing = true;
    EndWrite(i, node.process, RandomDuration(options_.min_sync, options_.max_sync));
  }

  void EndWrite(std::size_t i, std::uint64_t process, Duration after) {
    At(after, [this, i, process] {
      Node& node = *nodes_[i];
      if (node.process != process) return;
      if (now_ < node.disk_stalled_until) return EndWrite(i, process, node.disk_stalled_until - now_);
      const bool ok = !RandomChance(options_.write_failure_rate);
      node.writing = false;
      if (ok) PersistWrite(node);
      RunInProcess(i, [this, i, ok] {
        CoordinatorOutput out;
        nodes_[i]->coordinator->OnWritten(now_, ok, out);
        HandleOutput(i, std::move(out));
      });
    });
  }

  static void PersistWrite(Node& node) {
    for (auto& [key, bytes] : node.unsynced_records) node.disk[key] = bytes;
  }

  ClusterOptions options_;
  std::mt19937_64 random_;
  Time now_{std::chrono::hours(1)};
  std::multimap<Time, std::function<void()>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_paths_;
  agreement::Membership membership_;
  std::uint64_t last_disk_ = 0;
  CallId last_call_ = 0;
};

}  // namespace curlewdoor::coordination::testing
