// Members of the coordination log in virtual time: messages that take their time, get lost or are cut one
// way; disks that sync late, stall, refuse or are wiped; processes that are killed, freeze and wake. By one
// seed all repeats. Callers are the tests' own: they hand calls to members and hear replies.
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

struct ClusterOptions {
  CoordinatorOptions coordinator;
  Duration least_way = microseconds(200), most_way = milliseconds(3);  // of a message
  Duration least_sync = milliseconds(1), most_sync = milliseconds(8);  // of a write
  double lost = 0;                                                     // share of messages
  double refused_writes = 0;                                           // share
};

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
    roster_.epoch = 1;
    for (std::size_t i = 0; i < members; ++i) roster_.members.push_back(MemberAt(i));
    for (std::size_t i = 0; i < members; ++i) Start(i);
  }

  Time now() const { return now_; }
  std::size_t size() const { return nodes_.size(); }
  std::mt19937_64& random() { return random_; }

  // Plays all events up to `span` from now.
  void Run(Duration span) {
    const Time until = now_ + span;
    while (!events_.empty() && events_.begin()->first <= until) {
      const auto event = events_.begin();
      now_ = event->first;
      const auto act = std::move(event->second);
      events_.erase(event);
      act();
    }
    now_ = until;
  }
  void At(Duration after, std::function<void()> act) { events_.emplace(now_ + after, std::move(act)); }

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
    if (!state) throw std::runtime_error("a disk can't be read");
    node.coordinator =
        std::make_unique<Coordinator>(MemberAt(i), std::move(*state), options_.coordinator, random_());
    node.writing = false;
    ApplyRoster(i);
    Tick(i, node.process);
  }
  // What it had not synced is gone; a write under way was kept or lost, by chance.
  void Kill(std::size_t i) {
    Node& node = *nodes_[i];
    if (node.writing && random_() % 2 == 0) Keep(node);
    node.coordinator.reset();
    node.waiting.clear();
    node.frozen = false;
    node.late.clear();
    ++node.process;
  }
  // Kills it; its disk comes back empty, as another life.
  void Wipe(std::size_t i) {
    Kill(i);
    nodes_[i]->disk.clear();
    nodes_[i]->disk_number = ++last_disk_;
  }
  // All that comes meanwhile waits, in order.
  void Freeze(std::size_t i) { nodes_[i]->frozen = true; }
  void Thaw(std::size_t i) {
    Node& node = *nodes_[i];
    node.frozen = false;
    auto late = std::exchange(node.late, {});
    for (auto& act : late) act();
  }
  void Leave(std::size_t i) {
    Act(i, [this, i] {
      CoordinatorOut out;
      nodes_[i]->coordinator->Leave(now_, out);
      Execute(i, std::move(out));
    });
  }
  void StallDisk(std::size_t i, Duration span) { nodes_[i]->disk_free = now_ + span; }
  // Nothing goes from one to the other any more.
  void Cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  void HealAll() { cuts_.clear(); }
  bool IsCut(std::size_t from, std::size_t to) const { return cuts_.contains({from, to}); }
  // The agreement's next epoch: these members, as their disks are now.
  void SetRoster(const std::vector<std::size_t>& members) {
    ++roster_.epoch;
    roster_.members.clear();
    for (const std::size_t i : members) roster_.members.push_back(MemberAt(i));
    for (std::size_t i = 0; i < nodes_.size(); ++i) ApplyRoster(i);
  }
  std::optional<std::size_t> Leader() const {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (running(i) && !nodes_[i]->frozen && nodes_[i]->coordinator->replica().serving()) return i;
    return std::nullopt;
  }

  // How often this member's process was started or killed; tells one process of a member from the next.
  std::uint64_t process(std::size_t i) const { return nodes_[i]->process; }
  std::uint64_t disk_number(std::size_t i) const { return nodes_[i]->disk_number; }
  bool frozen(std::size_t i) const { return nodes_[i]->frozen; }
  // From now on messages take so long and get lost so often, and disks refuse so often.
  void SetTroubles(Duration most_way, double lost, double refused_writes) {
    options_.most_way = most_way;
    options_.lost = lost;
    options_.refused_writes = refused_writes;
  }
  // Called with each message as it is sent, and with each member after each of its steps.
  std::function<void(std::size_t from, const ReplicaMessage& message)> on_send;
  std::function<void(std::size_t member)> on_step;

  // A call to this member; nothing where it isn't running. Replies may never come.
  void Call(std::size_t i, const coordination::Call& call, OnReply on_reply) {
    Act(i, [this, i, call, on_reply = std::move(on_reply)] {
      Node& node = *nodes_[i];
      const CallId id = ++last_call_;
      node.waiting[id] = on_reply;
      CoordinatorOut out;
      node.coordinator->OnCall(now_, id, call, out);
      Execute(i, std::move(out));
    });
  }

 private:
  struct Node {
    std::string name;
    std::uint64_t disk_number = 0, process = 0;
    std::map<std::string, std::string> disk;
    std::unique_ptr<Coordinator> coordinator;
    std::map<CallId, OnReply> waiting;
    Records unsynced;
    bool writing = false, frozen = false;
    Time disk_free{};
    std::vector<std::function<void()>> late;
  };

  Duration Between(Duration least, Duration most) {
    return least + Duration(std::uniform_int_distribution<Duration::rep>(0, (most - least).count())(random_));
  }
  bool Chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

  // Runs it in this process now, or once it has thawed; never in a later one.
  void Act(std::size_t i, std::function<void()> act) {
    Node& node = *nodes_[i];
    if (!node.coordinator) return;
    if (node.frozen) {
      node.late.push_back([this, i, process = node.process, act = std::move(act)] {
        if (nodes_[i]->process == process && nodes_[i]->coordinator) act();
      });
      return;
    }
    act();
  }

  void ApplyRoster(std::size_t i) {
    Act(i, [this, i] {
      Node& node = *nodes_[i];
      CoordinatorOut out;
      const Incarnation self{node.name, node.disk_number};
      bool member = false;
      for (const Member& each : roster_.members) member = member || each.incarnation == self;
      if (roster_.epoch == 1 && member) node.coordinator->Found(now_, roster_.members, out);
      node.coordinator->SetTarget(now_, roster_.epoch, roster_.members, out);
      Execute(i, std::move(out));
    });
  }

  void Tick(std::size_t i, std::uint64_t process) {
    if (nodes_[i]->process != process) return;
    Act(i, [this, i] {
      CoordinatorOut out;
      nodes_[i]->coordinator->Tick(now_, out);
      Execute(i, std::move(out));
    });
    At(milliseconds(20), [this, i, process] { Tick(i, process); });
  }

  void Execute(std::size_t i, CoordinatorOut out) {
    Node& node = *nodes_[i];
    if (on_send)
      for (const ReplicaSending& sending : out.sends) on_send(i, sending.message);
    for (ReplicaSending& sending : out.sends) Deliver(i, std::move(sending));
    if (out.write) Write(i, std::move(*out.write));
    if (const auto due = node.coordinator->NextDue()) {
      const Duration after = std::max(Duration::zero(), *due - now_);
      At(after, [this, i, process = node.process] {
        if (nodes_[i]->process == process) Flush(i);
      });
    }
    for (auto& [id, reply] : out.replies) {
      const auto found = node.waiting.extract(id);
      if (found) found.mapped()(reply);
    }
    if (on_step) on_step(i);
  }

  void Flush(std::size_t i) {
    Act(i, [this, i] {
      const auto due = nodes_[i]->coordinator->NextDue();
      if (!due || *due > now_) return;
      CoordinatorOut out;
      nodes_[i]->coordinator->Tick(now_, out);
      Execute(i, std::move(out));
    });
  }

  void Deliver(std::size_t from, ReplicaSending sending) {
    std::size_t to = 0;
    while (to < nodes_.size() && nodes_[to]->name != sending.to.incarnation.node) ++to;
    if (to == nodes_.size() || IsCut(from, to) || Chance(options_.lost)) return;
    std::string bytes = Encode(sending.message);
    At(Between(options_.least_way, options_.most_way), [this, from, to, bytes = std::move(bytes)] {
      if (IsCut(from, to)) return;
      Act(to, [this, to, bytes] {
        const auto message = DecodeReplicaMessage(bytes);
        if (!message) throw std::runtime_error("a message can't be read");
        CoordinatorOut out;
        nodes_[to]->coordinator->OnMessage(now_, *message, out);
        Execute(to, std::move(out));
      });
    });
  }

  void Write(std::size_t i, Records records) {
    Node& node = *nodes_[i];
    node.unsynced = std::move(records);
    node.writing = true;
    EndWrite(i, node.process, Between(options_.least_sync, options_.most_sync));
  }

  void EndWrite(std::size_t i, std::uint64_t process, Duration after) {
    At(after, [this, i, process] {
      Node& node = *nodes_[i];
      if (node.process != process) return;
      if (now_ < node.disk_free) return EndWrite(i, process, node.disk_free - now_);
      const bool ok = !Chance(options_.refused_writes);
      node.writing = false;
      if (ok) Keep(node);
      Act(i, [this, i, ok] {
        CoordinatorOut out;
        nodes_[i]->coordinator->OnWritten(now_, ok, out);
        Execute(i, std::move(out));
      });
    });
  }

  static void Keep(Node& node) {
    for (auto& [key, bytes] : node.unsynced) node.disk[key] = bytes;
  }

  ClusterOptions options_;
  std::mt19937_64 random_;
  Time now_{std::chrono::hours(1)};
  std::multimap<Time, std::function<void()>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  agreement::Membership roster_;
  std::uint64_t last_disk_ = 0;
  CallId last_call_ = 0;
};

}  // namespace curlewdoor::coordination::testing
