// Simulates applications, gateways with the real CoordinationCalls, and a Cluster in virtual time: streams
// break, gateways are killed or frozen, and callers retry at another address as the API requires. The calls
// are recorded as a history. A run is determined by its seed. No part of it uses the wall clock, so clock
// jumps cannot have an effect and are not simulated.
#pragma once

#include <fmt/format.h>

#include <deque>
#include <set>

#include "../cluster.hpp"
#include "system/coordination_calls.hpp"
#include "system/coordination_http.hpp"
#include "systemkit/coordination_history.hpp"

namespace curlewdoor::coordination::testing {

using system::CoordinationCalls;
using systemkit::CoordinationHistory;
using Seen = systemkit::CoordinationCallSeen;
using Kind = Seen::Kind;

// A gateway, with or without a member in its own process (`local_member`).
class SimulatedGateway : public CoordinationCalls::Owner {
 public:
  using Caller = CoordinationCalls::Caller;

  SimulatedGateway(Cluster& cluster, std::optional<std::size_t> local_member)
      : cluster_(cluster), local_member_(local_member), connections_(cluster.size()) {
    Start();
    Tick();
  }

  std::optional<std::size_t> local_member() const { return local_member_; }
  bool running() const { return calls_ != nullptr; }
  bool frozen() const { return frozen_; }

  void Start() {
    if (calls_) return;
    ++process_;
    calls_ = std::make_unique<CoordinationCalls>(*this, CoordinationCalls::Options{});
    for (Connection& connection : connections_) connection = {};
  }
  void Kill() {
    ++process_;
    calls_.reset();
    frozen_ = false;
    deferred_.clear();
    deferred_calls_.clear();
    for (Connection& connection : connections_) connection = {};
  }
  void Freeze() { frozen_ = calls_ != nullptr; }
  // Handles the deferred events and the calls that arrived meanwhile, in order. A caller that has gone is not
  // known to have: its call is passed on.
  void Thaw() {
    frozen_ = false;
    auto deferred = std::exchange(deferred_, {});
    auto deferred_calls = std::exchange(deferred_calls_, {});
    for (auto& [call, caller] : deferred_calls) Call(call, std::move(caller));
    for (auto& action : deferred) action();
  }

  // Breaks the stream to this member; the messages in flight on it are lost.
  void BreakStream(std::size_t member) {
    Connection& connection = connections_[member];
    if (connection.stream == 0) return;
    const std::uint64_t stream = std::exchange(connection.stream, 0);
    connection.held_outbound.clear();
    connection.held_inbound.clear();
    connection.reconnect_at = cluster_.now() + Draw(milliseconds(20), milliseconds(200));
    RunInProcess([this, stream] { calls_->OnStreamDown(cluster_.now(), stream); });
  }
  // Holds back the messages of a stream in these directions.
  void BlockStream(std::size_t member, bool outbound, bool inbound) {
    connections_[member].outbound_blocked = outbound;
    connections_[member].inbound_blocked = inbound;
  }
  void UnblockStreams() {
    for (Connection& connection : connections_) {
      connection.outbound_blocked = connection.inbound_blocked = false;
      for (auto& action : std::exchange(connection.held_outbound, {})) action();
      for (auto& action : std::exchange(connection.held_inbound, {})) action();
    }
  }

  void Call(const coordination::Call& call, Caller caller) {
    if (frozen_) {
      deferred_calls_.emplace_back(call, std::move(caller));
      return;
    }
    calls_->Begin(cluster_.now(), ++last_number_, call, std::move(caller));
  }
  void NotifyLeader(std::uint64_t term, const std::string& name) {
    RunInProcess([this, term, name] { calls_->OnLeader(cluster_.now(), term, name); });
  }

  // ---- CoordinationCalls::Owner
  std::vector<CoordinationCalls::Candidate> ReachedMembers() override {
    std::vector<CoordinationCalls::Candidate> members;
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      const std::string name = cluster_.MemberAt(i).incarnation.node;
      if (local_member_ == i) {
        if (cluster_.running(i)) members.push_back({name, 0});
        continue;
      }
      Connection& connection = connections_[i];
      const bool can = cluster_.running(i) && !connection.outbound_blocked && !connection.inbound_blocked &&
                       cluster_.now() >= connection.reconnect_at;
      if (connection.stream == 0 && can) connection.stream = ++last_stream_;
      if (connection.stream != 0) members.push_back({name, connection.stream});
    }
    return members;
  }
  void SendTo(std::uint64_t stream, const system::Message& message) override {
    const auto* sent = std::get_if<system::CoordinationCall>(&message);
    if (sent == nullptr) return;  // a CoordinationForget
    const std::size_t member = MemberOf(stream);
    SendThrough(member, stream, true, [this, member, stream, sent = *sent] {
      const auto on_reply = [this, member, stream, number = sent.number](const Reply& reply) {
        SendThrough(member, stream, false, [this, stream, number, reply] {
          RunInProcess(
              [this, stream, number, reply] { calls_->OnReply(cluster_.now(), stream, number, reply); });
        });
      };
      cluster_.Call(member, *DecodeCall(sent.call), on_reply,
                    static_cast<std::uint64_t>(sent.proven_renewals));
    });
  }
  void CallHere(std::uint64_t number, const coordination::Call& call, ProvenRenewals proven) override {
    const auto on_reply = [this, number, process = process_](const Reply& reply) {
      if (process == process_ && calls_) calls_->OnReplyHere(cluster_.now(), number, reply);
    };
    cluster_.Call(*local_member_, call, on_reply, proven);
  }
  void ForgetHere(std::uint64_t) override {}

 private:
  struct Connection {
    std::uint64_t stream = 0;  // 0 if down
    Time reconnect_at{};
    bool outbound_blocked = false, inbound_blocked = false;
    std::vector<std::function<void()>> held_outbound, held_inbound;
    Time outbound_arrival{}, inbound_arrival{};  // arrival of the newest message, which keeps the order
  };

  Duration Draw(Duration least, Duration most) {
    return least + Duration(std::uniform_int_distribution<Duration::rep>(
                       0, (most - least).count())(cluster_.random()));
  }
  std::size_t MemberOf(std::uint64_t stream) const {
    for (std::size_t i = 0; i < connections_.size(); ++i)
      if (connections_[i].stream == stream) return i;
    throw std::logic_error("unknown stream");
  }
  // Delivers on this stream after a delay, later if the direction is blocked, and never if the stream breaks.
  void SendThrough(std::size_t member, std::uint64_t stream, bool outbound, std::function<void()> action) {
    Connection& connection = connections_[member];
    if (connection.stream != stream) return;
    Time& at = outbound ? connection.outbound_arrival : connection.inbound_arrival;
    at = std::max(at, cluster_.now() + Draw(microseconds(300), milliseconds(4)));
    cluster_.At(at - cluster_.now(), [this, member, stream, outbound, action = std::move(action)] {
      Deliver(member, stream, outbound, action);
    });
  }
  void Deliver(std::size_t member, std::uint64_t stream, bool outbound, const std::function<void()>& action) {
    Connection& connection = connections_[member];
    if (connection.stream != stream) return;
    if (outbound ? connection.outbound_blocked : connection.inbound_blocked) {
      (outbound ? connection.held_outbound : connection.held_inbound)
          .push_back([this, member, stream, outbound, action] {
            if (connections_[member].stream == stream) SendThrough(member, stream, outbound, action);
          });
      return;
    }
    action();
  }
  void RunInProcess(std::function<void()> action) {
    if (!calls_) return;
    auto guarded = [this, process = process_, action = std::move(action)] {
      if (process == process_ && calls_) action();
    };
    if (frozen_) {
      deferred_.push_back(std::move(guarded));
    } else {
      guarded();
    }
  }
  void Tick() {
    if (calls_ && !frozen_) calls_->Tick(cluster_.now());
    cluster_.At(milliseconds(20), [this] { Tick(); });
  }

  Cluster& cluster_;
  const std::optional<std::size_t> local_member_;
  std::unique_ptr<CoordinationCalls> calls_;
  std::vector<Connection> connections_;
  std::vector<std::function<void()>> deferred_;
  std::vector<std::pair<coordination::Call, Caller>> deferred_calls_;
  bool frozen_ = false;
  std::uint64_t process_ = 0, last_stream_ = 0, last_number_ = 0;
};

struct SimulationOptions {
  std::size_t members = 5, tolerance = 2;
  ClusterOptions cluster;
  bool returns_503_after_send = false;  // an injected fault, which the tests must detect
};

// The cluster, its gateways, and the recorded calls.
class Simulation {
 public:
  using OnSeen = std::function<void(const Seen& seen)>;
  static constexpr int kGateways = 3;

  Simulation(const SimulationOptions& options, std::uint64_t seed)
      : options_(options),
        random_(seed * 7919 + 1),
        cluster(options.members, options.cluster, seed),
        started_at_(cluster.now()) {
    for (std::size_t g = 0; g < kGateways; ++g)
      gateways.push_back(
          std::make_unique<SimulatedGateway>(cluster, g + 1 < kGateways ? std::optional(g) : std::nullopt));
    WatchLeader();
  }

  double Seconds() const { return std::chrono::duration<double>(cluster.now() - started_at_).count(); }
  Duration Draw(double least_s, double most_s) {
    const double drawn = std::uniform_real_distribution<double>(least_s, most_s)(random_);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(drawn));
  }
  std::size_t Pick(std::size_t below) { return random_() % below; }
  void At(Duration after, std::function<void()> action) { cluster.At(after, std::move(action)); }
  bool Chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

  // ---- Faults of a member together with the gateway in its process
  void Kill(std::size_t member) { StopMember(member, false); }
  void Wipe(std::size_t member) { StopMember(member, true); }
  void Start(std::size_t member) {
    cluster.Start(member);
    if (member + 1 < kGateways) gateways[member]->Start();
  }
  void Freeze(std::size_t member) {
    cluster.Freeze(member);
    if (member + 1 < kGateways) gateways[member]->Freeze();
  }
  void Thaw(std::size_t member) {
    if (member + 1 < kGateways) gateways[member]->Thaw();
    cluster.Thaw(member);
  }

  // ---- Calls
  // Sends one call to a random gateway; `seen` describes the call. Ends after `patience` seconds at the
  // latest.
  void Send(Seen seen, const coordination::Call& call, double patience, OnSeen on_seen) {
    seen.sent = Seconds();
    const std::size_t at = history_.size();
    history_.push_back(seen);
    auto over = std::make_shared<bool>(false);
    auto end = [this, at, over, on_seen](const Seen& answered) {
      if (std::exchange(*over, true)) return;
      history_[at] = answered;
      on_seen(answered);
    };
    cluster.At(Draw(patience, patience), [seen, end] { end(seen); });
    cluster.At(Draw(0.0003, 0.003), [this, seen, call, over, end] {
      SimulatedGateway& gateway = *gateways[Pick(gateways.size())];
      if (!gateway.running()) {
        cluster.At(milliseconds(1), [seen, end] { end(seen); });  // refused
        return;
      }
      const auto on_answer = [this, seen, end](const CoordinationCalls::Answer& answer) {
        Seen answered = seen;
        Fill(answered, answer);
        cluster.At(Draw(0.0003, 0.003), [this, answered, end]() mutable {
          answered.answered = Seconds();
          end(answered);
        });
      };
      gateway.Call(call, {[over] { return !*over; }, on_answer});
    });
  }
  // Retries at random gateways until there is a definite answer or `patience` seconds have passed.
  void SendUntilClear(const Seen& seen, const coordination::Call& call, double patience, OnSeen on_seen) {
    SendUntil(seen, call, Seconds() + patience, std::move(on_seen));
  }
  void NoteStopped(const Seen& begin, double at) {
    for (Seen& each : history_)
      if (each.kind == Kind::kBegin && each.name == begin.name && each.holder == begin.holder &&
          each.fence == begin.fence && each.good() && each.answered <= at && each.stopped > at)
        each.stopped = at;
  }
  static bool Clear(const Seen& seen) { return seen.status >= 200 && seen.status < 429; }

  CoordinationHistory History() const {
    CoordinationHistory history;
    for (const Seen& each : history_) history.Add(each);
    return history;
  }
  const std::vector<Seen>& seen() const { return history_; }

 private:
  const SimulationOptions options_;
  std::mt19937_64 random_;

 public:
  Cluster cluster;
  std::vector<std::unique_ptr<SimulatedGateway>> gateways;

 private:
  void StopMember(std::size_t member, bool wiped) {
    if (member + 1 < kGateways) gateways[member]->Kill();
    wiped ? cluster.Wipe(member) : cluster.Kill(member);
    for (auto& gateway : gateways)
      if (gateway->running()) gateway->BreakStream(member);
  }

  void SendUntil(const Seen& seen, const coordination::Call& call, double until, OnSeen on_seen) {
    const double patience = std::max(0.01, std::min(1.0, until - Seconds())) + WatchWait(call);
    Send(seen, call, patience, [=, this](const Seen& answered) {
      if (Clear(answered) || Seconds() >= until || AcceptsRefusal(answered)) return on_seen(answered);
      cluster.At(Draw(0.01, 0.06), [=, this] { SendUntil(seen, call, until, on_seen); });
    });
  }
  // Some callers do not retry after 503 or 429, which promise that the call had no effect.
  bool AcceptsRefusal(const Seen& answered) {
    const bool refused = answered.status == 503 || answered.status == 429;
    return refused && answered.kind == Kind::kPut && Chance(0.3);
  }
  static double WatchWait(const coordination::Call& call) {
    const auto* watch = std::get_if<WatchGroup>(&call);
    return watch == nullptr ? 0 : watch->wait_ms / 1000.0;
  }

  void Fill(Seen& seen, const CoordinationCalls::Answer& answer) const {
    seen.status = system::EncodeAnswer(answer).status;
    if (options_.returns_503_after_send && seen.status == 504) seen.status = 503;
    if (!answer.reply) return;
    if (const auto* read = std::get_if<ReadResult>(&*answer.reply)) {
      seen.value = read->value;
      seen.revision = read->revision;
    } else if (const auto* watched = std::get_if<WatchResult>(&*answer.reply)) {
      seen.revision = watched->revision;
      for (const PutEvent& event : watched->events)
        seen.events.push_back({event.key, event.value, event.revision});
    } else if (const auto* result = std::get_if<CommandResult>(&*answer.reply)) {
      if (const auto* granted = std::get_if<LockGranted>(result)) seen.fence = granted->fence;
      if (const auto* number = std::get_if<NumberTaken>(result)) seen.number = number->value;
      if (const auto* put = std::get_if<KeyPut>(result)) seen.revision = put->revision;
      if (const auto* conflict = std::get_if<KeyConflict>(result)) seen.revision = conflict->revision;
    }
  }

  // Announces a new leader to all gateways.
  void WatchLeader() {
    const auto leader = cluster.Leader();
    if (leader && leader != announced_leader_) {
      const auto& replica = cluster.coordinator(*leader)->replica();
      for (auto& gateway : gateways) gateway->NotifyLeader(replica.term(), replica.self().incarnation.node);
    }
    announced_leader_ = leader;
    cluster.At(milliseconds(10), [this] { WatchLeader(); });
  }

  const Time started_at_;
  std::vector<Seen> history_;
  std::optional<std::size_t> announced_leader_;
};

}  // namespace curlewdoor::coordination::testing
