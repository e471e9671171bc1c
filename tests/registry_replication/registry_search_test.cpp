// Randomized simulation, by seed, of the guarantee of registry_replication/: a gateway whose list is proved
// knows every leave that was acknowledged at least `validity` ago. Machines crash and lose disks, epochs
// replace members, streams break and are slow, gateways are paused, clocks differ, and disks are slow.
// Mutants show that the search detects violations.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "registry_replication/lease.hpp"
#include "registry_replication/replica.hpp"
#include "simulated_agreement.hpp"

namespace curlewdoor::registry_replication {
namespace {

using namespace std::chrono_literals;
using Leaves = std::set<int>;

enum class Mutant {
  kNone,
  kOneVote,          // a leave is acknowledged by the vote of one member
  kOneProof,         // a list is proved by the answer of one member
  kVoteBeforeWrite,  // a member votes before its disk holds the leave
  kVotesIncomplete,
  kNoRelay,              // a member doesn't forward leaves that it learned from another one
  kAnswerBeforeUpdates,  // an answer overtakes updates that were sent before it
  kProvedWhenAnswered    // a proof dates from the answer instead of the query
};

constexpr Duration kStep = 10ms;
constexpr int kMachines = 5, kGateways = 3, kSize = 3;  // kSize members per epoch

struct Message {
  enum class Kind { kUpdate, kReplicate, kVote, kQuery, kAnswer } kind = Kind::kUpdate;
  Leaves leaves{};
  int leave = 0;
  Time asked_at{};
  MemberStatus status{};
};

// One direction of a stream: messages arrive in order and with delay, and are lost when the stream breaks.
struct Stream {
  std::deque<std::pair<Time, Message>> in_transit;
  Time last{};
  Time throttled_until{};  // until then messages arrive one at a time, with gaps
};

struct Machine {
  std::uint64_t incarnation = 0;
  bool up = true;
  Membership known_membership{};  // in memory
  Membership disk_membership{};   // as the agreement has stored it on disk
  bool sealed = false;
  std::unique_ptr<RegistryReplica> replica;
  Leaves leaves;
  Leaves disk_leaves;
  ReplicaRecord disk_record;
  struct Write {
    Time done;
    ReplicaRecord record;
    Leaves leaves;
    std::vector<std::pair<int, int>> pending_votes;  // gateway, leave
  };
  std::optional<Write> write;
  std::vector<std::pair<int, int>> pending_votes;
};

struct GatewayState {
  std::unique_ptr<RegistryLease> lease;
  Membership known_membership{};
  Leaves leaves;
  Duration clock{};  // offset ahead of the other clocks
  Time paused_until{};
  std::map<int, LeaveVotes> replications;
  std::map<int, Time> sent;
};

class Search {
 public:
  Search(std::uint64_t seed, Mutant mutant) : random_(seed), mutant_(mutant) {
    for (int m = 0; m < kMachines; ++m) {
      machines_[m].incarnation = ++incarnations_;
      machines_[m].known_membership = {};
      Restart(m);
    }
    agreement_.Begin(kSize);
    for (int g = 0; g < kGateways; ++g) {
      gateways_[g].lease = std::make_unique<RegistryLease>(RegistryLease::OptionsFor(2s));
      gateways_[g].clock = 1h * static_cast<int>(random_() % 100);
    }
  }

  // Returns the first violation; empty if there is none.
  std::string Run(Duration duration) {
    for (const Time ends = now_ + duration; now_ < ends && violation_.empty(); now_ += kStep) Step();
    return violation_;
  }
  int acknowledged() const { return static_cast<int>(acknowledged_.size()); }
  int proofs() const { return proofs_; }
  std::uint64_t epoch() const { return agreement_.membership().epoch; }

 private:
  bool Chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
  Duration RandomDelay() {
    return Chance(0.03) ? 10ms * static_cast<int>(random_() % 120) : 1ms * static_cast<int>(random_() % 8);
  }
  MemberId Id(int m) const { return agreement_.Id(m); }
  RegistryReplica::Fault Fault() const {
    if (mutant_ == Mutant::kVotesIncomplete) return RegistryReplica::Fault::kVotesIncomplete;
    return RegistryReplica::Fault::kNone;
  }

  void Restart(int m) {
    Machine& machine = machines_[m];
    machine.up = true;
    machine.replica = std::make_unique<RegistryReplica>(Id(m), Fault());
    machine.leaves = machine.disk_leaves;
    machine.known_membership = machine.disk_membership;
    machine.write.reset();
    machine.pending_votes.clear();
    machine.replica->Restore(machine.disk_record);
    machine.replica->Adopt(now_, machine.known_membership);
    for (int g = 0; g < kGateways; ++g) ResetGatewayStream(g, m);
    for (int other = 0; other < kMachines; ++other)
      if (other != m) ResetPeerStreams(m, other);
  }
  void Wipe(int m) {
    Machine& machine = machines_[m];
    machine.incarnation = ++incarnations_;
    machine.disk_leaves.clear();
    machine.disk_record = {};
    machine.disk_membership = {};
    machine.sealed = false;
    Restart(m);
  }

  // ---- Streams between gateways g, or querying members 100 + m, and members 100 + m
  void Send(int from, int to, Message message) {
    if (IsCut(from, to)) return;
    Stream& stream = streams_[{from, to}];
    const Duration gap = stream.throttled_until > now_ ? 10ms * static_cast<int>(random_() % 40) : 0ms;
    stream.last = std::max(stream.last + gap, now_ + RandomDelay());
    stream.in_transit.emplace_back(stream.last, std::move(message));
  }
  bool IsCut(int a, int b) const { return cuts_.contains({std::min(a, b), std::max(a, b)}); }
  // Drops all messages until then. Messages in transit are lost.
  void Cut(int a, int b, Time until) {
    Time& ends = cuts_[{std::min(a, b), std::max(a, b)}];
    ends = std::max(ends, until);
    streams_[{a, b}] = streams_[{b, a}] = {};
  }
  void RestoreStreams() {
    for (auto it = cuts_.begin(); it != cuts_.end();) {
      if (it->second > now_) {
        ++it;
        continue;
      }
      const auto [a, b] = it->first;
      it = cuts_.erase(it);
      a >= 100 ? ResetPeerStreams(a - 100, b - 100) : ResetGatewayStream(a, b - 100);
    }
  }
  void ResetGatewayStream(int g, int m) {
    streams_[{g, 100 + m}] = streams_[{100 + m, g}] = {};
    if (!machines_[m].up) return;
    Message all{Message::Kind::kUpdate, machines_[m].leaves};
    Send(100 + m, g, all);
  }
  void ResetPeerStreams(int a, int b) {
    for (const auto& [from, to] : {std::pair{a, b}, std::pair{b, a}}) {
      streams_[{100 + from, 100 + to}] = {};
      if (machines_[from].up) Send(100 + from, 100 + to, {Message::Kind::kUpdate, machines_[from].leaves});
    }
  }
  void Publish(int m, const Leaves& leaves) {
    for (int g = 0; g < kGateways; ++g) Send(100 + m, g, {Message::Kind::kUpdate, leaves});
    for (int other = 0; other < kMachines; ++other)
      if (other != m) Send(100 + m, 100 + other, {Message::Kind::kUpdate, leaves});
  }
  void StoreLeaves(int m, const Leaves& leaves, bool relay) {
    Leaves new_leaves;
    for (const int leave : leaves)
      if (machines_[m].leaves.insert(leave).second) new_leaves.insert(leave);
    if (!new_leaves.empty() && relay) Publish(m, new_leaves);
  }

  // ---- Message handling
  void DeliverToMember(int m, int from, const Message& message) {
    Machine& machine = machines_[m];
    if (!machine.up) return;
    switch (message.kind) {
      case Message::Kind::kUpdate:
        return StoreLeaves(m, message.leaves, mutant_ != Mutant::kNoRelay);
      case Message::Kind::kReplicate:
        StoreLeaves(m, {message.leave}, true);
        if (mutant_ == Mutant::kVoteBeforeWrite)
          return Send(100 + m, from, {Message::Kind::kVote, {}, message.leave, {}, StandingOf(m)});
        machine.pending_votes.emplace_back(from, message.leave);
        return;
      case Message::Kind::kQuery:
        if (mutant_ == Mutant::kAnswerBeforeUpdates) {
          Stream& stream = streams_[{100 + m, from}];
          if (IsCut(100 + m, from)) return;
          stream.in_transit.emplace_front(
              now_, Message{Message::Kind::kAnswer, {}, 0, message.asked_at, StandingOf(m)});
          return;
        }
        return Send(100 + m, from, {Message::Kind::kAnswer, {}, 0, message.asked_at, StandingOf(m)});
      case Message::Kind::kAnswer:
        return machine.replica->OnAnswer(message.asked_at, message.status);
      case Message::Kind::kVote:
        return;
    }
  }
  MemberStatus StandingOf(int m) {
    Machine& machine = machines_[m];
    return machine.replica->status();
  }
  void DeliverToGateway(int g, const Message& message) {
    GatewayState& gateway = gateways_[g];
    switch (message.kind) {
      case Message::Kind::kUpdate:
        gateway.leaves.insert(message.leaves.begin(), message.leaves.end());
        return;
      case Message::Kind::kAnswer: {
        const Time asked_at =
            mutant_ == Mutant::kProvedWhenAnswered ? now_ + gateway.clock : message.asked_at;
        MemberStatus status = message.status;
        gateway.lease->OnAnswer(now_ + gateway.clock, asked_at, status);
        if (mutant_ == Mutant::kOneProof && status.votes)
          for (const MemberId& member : gateway.known_membership.members) {
            status.member = member;
            gateway.lease->OnAnswer(now_ + gateway.clock, asked_at, status);
          }
        return;
      }
      case Message::Kind::kVote: {
        const auto it = gateway.replications.find(message.leave);
        if (it == gateway.replications.end()) return;
        if (message.status.votes) it->second.Add(message.status.member, message.status.epoch);
        return;
      }
      default:
        return;
    }
  }

  // ---- One simulation step
  void Step() {
    Deliver();
    InjectFaults();
    for (int m = 0; m < kMachines; ++m) StepMember(m);
    for (int g = 0; g < kGateways; ++g)
      if (gateways_[g].paused_until <= now_) StepGateway(g);
    PropagateEpochs();
  }
  void Deliver() {
    for (auto& [direction, stream] : streams_) {
      const auto [from, to] = direction;
      if (to < 100 && gateways_[to].paused_until > now_) continue;
      while (!stream.in_transit.empty() && stream.in_transit.front().first <= now_) {
        const Message message = stream.in_transit.front().second;
        stream.in_transit.pop_front();
        to >= 100 ? DeliverToMember(to - 100, from, message) : DeliverToGateway(to, message);
      }
    }
  }
  void StepMember(int m) {
    Machine& machine = machines_[m];
    if (!machine.up) return;
    if (machine.write && machine.write->done <= now_) {
      const Machine::Write write = *std::exchange(machine.write, std::nullopt);
      machine.disk_leaves = write.leaves;
      machine.disk_record = write.record;
      machine.replica->OnWritten(write.record);
      for (const auto& [from, leave] : write.pending_votes)
        Send(100 + m, from, {Message::Kind::kVote, {}, leave, {}, StandingOf(m)});
    }
    if (!machine.write && (!machine.pending_votes.empty() || machine.replica->Dirty()))
      machine.write = Machine::Write{now_ + 5ms + RandomDelay(), machine.replica->Record(), machine.leaves,
                                     std::exchange(machine.pending_votes, {})};
    if (Chance(0.04))
      for (int other = 0; other < kMachines; ++other)
        if (other != m && machines_[other].up)
          Send(100 + m, 100 + other, {Message::Kind::kQuery, {}, 0, now_});
    if (machine.known_membership.epoch > machine.disk_membership.epoch && Chance(0.1)) {
      machine.disk_membership = machine.known_membership;
      machine.sealed = false;
    }
  }
  void StepGateway(int g) {
    GatewayState& gateway = gateways_[g];
    const Time local = now_ + gateway.clock;
    if (gateway.lease->Tick(local)) {
      gateway.lease->OnQuerySent(local);
      for (int m = 0; m < kMachines; ++m) Send(g, 100 + m, {Message::Kind::kQuery, {}, 0, local});
    }
    for (auto& [leave, votes] : gateway.replications) {
      if (now_ - gateway.sent[leave] > 200ms) {
        gateway.sent[leave] = now_;
        for (int m = 0; m < kMachines; ++m) Send(g, 100 + m, {Message::Kind::kReplicate, {}, leave});
      }
      const bool one = mutant_ == Mutant::kOneVote && !votes.VoterNames().empty();
      if (votes.HasMajority(gateway.known_membership) || one) acknowledged_.emplace(leave, now_);
    }
    std::erase_if(gateway.replications, [&](const auto& each) { return acknowledged_.contains(each.first); });
    if (Chance(0.02)) {
      gateway.replications[++last_leave_];
      gateway.sent[last_leave_] = now_ - 1s;
    }
    if (!gateway.lease->IsProved(local)) return;
    ++proofs_;
    for (const auto& [leave, at] : acknowledged_)
      if (now_ - at >= RegistryLease::OptionsFor(2s).validity && !gateway.leaves.contains(leave)) {
        violation_ = "gateway " + std::to_string(g) + " does not know leave " + std::to_string(leave) +
                     ", epoch " + std::to_string(agreement_.membership().epoch);
        return;
      }
  }

  // ---- Fault injection
  bool InRoster(int m) const { return agreement_.membership().Contains(Id(m)); }
  // Cuts a machine off from most other machines, and in half of the cases also from some gateways.
  void IsolateMember() {
    const int m = static_cast<int>(random_() % kMachines);
    const Time until = now_ + 500ms * static_cast<int>(random_() % 16);
    for (int other = 0; other < kMachines; ++other)
      if (other != m && Chance(0.8)) Cut(100 + m, 100 + other, until);
    const double gateways = Chance(0.5) ? 0 : 0.5;
    for (int g = 0; g < kGateways; ++g)
      if (Chance(gateways)) Cut(g, 100 + m, until);
  }
  // Partitions the machines into two sides. Each gateway reaches one side or both.
  void PartitionMachines() {
    const Time until = now_ + 500ms * static_cast<int>(4 + random_() % 12);
    std::map<int, bool> side;
    for (int m = 0; m < kMachines; ++m) side[m] = Chance(0.5);
    for (int m = 0; m < kMachines; ++m)
      for (int other = 0; other < m; ++other)
        if (side[m] != side[other]) Cut(100 + m, 100 + other, until);
    for (int g = 0; g < kGateways; ++g) {
      const bool reachable_side = Chance(0.5);
      const bool both = Chance(0.3);
      for (int m = 0; m < kMachines; ++m)
        if (!both && side[m] != reachable_side) Cut(g, 100 + m, until);
    }
  }
  void StallStreams() {
    const int g = static_cast<int>(random_() % kGateways);
    const Time until = now_ + 100ms * static_cast<int>(random_() % 40);
    const bool throttles = Chance(0.5);
    for (int m = 0; m < kMachines; ++m) {
      if (Chance(0.7))
        (throttles ? streams_[{100 + m, g}].throttled_until : streams_[{100 + m, g}].last) = until;
      if (Chance(0.3)) streams_[{g, 100 + m}].last = until;
    }
  }
  void InjectFaults() {
    RestoreStreams();
    if (Chance(0.006)) IsolateMember();
    if (Chance(0.006)) StallStreams();
    if (Chance(0.002)) PartitionMachines();
    if (Chance(0.004)) {
      const int m = static_cast<int>(random_() % kMachines);
      if (!machines_[m].up) {
        Restart(m);
      } else if (!InRoster(m) || agreement_.CountLost() == 0) {
        machines_[m].up = false;
        if (Chance(0.3)) Wipe(m);
      }
    }
    if (Chance(0.0008))  // all machines at once; their disks remain
      for (int m = 0; m < kMachines; ++m)
        if (machines_[m].up) Restart(m);
    if (Chance(0.02))
      ResetGatewayStream(static_cast<int>(random_() % kGateways), static_cast<int>(random_() % kMachines));
    if (Chance(0.01)) {
      const int a = static_cast<int>(random_() % kMachines), b = static_cast<int>(random_() % kMachines);
      if (a != b) ResetPeerStreams(a, b);
    }
    if (Chance(0.005)) {
      GatewayState& gateway = gateways_[static_cast<int>(random_() % kGateways)];
      if (gateway.paused_until <= now_)
        gateway.paused_until = now_ + 100ms * static_cast<int>(random_() % 40);
    }
  }
  // Each machine and gateway learns of a new epoch after a random time.
  void PropagateEpochs() {
    agreement_.Step();
    const Membership& newest = agreement_.membership();
    for (int m = 0; m < kMachines; ++m)
      if (machines_[m].up && machines_[m].known_membership.epoch < newest.epoch && Chance(0.01)) {
        machines_[m].known_membership = agreement_.MembershipAfter(machines_[m].known_membership.epoch);
        machines_[m].replica->Adopt(now_, machines_[m].known_membership);
      }
    for (auto& [g, gateway] : gateways_)
      if (gateway.known_membership.epoch < newest.epoch && gateway.paused_until <= now_ && Chance(0.01)) {
        gateway.known_membership = newest;
        gateway.lease->SetMembership(newest);
      }
  }
  std::mt19937_64 random_;
  const Mutant mutant_;
  Time now_{std::chrono::hours(1000)};
  std::uint64_t incarnations_ = 0;
  std::map<int, Machine> machines_;
  std::map<int, GatewayState> gateways_;
  std::map<std::pair<int, int>, Stream> streams_;
  std::map<std::pair<int, int>, Time> cuts_;  // by endpoints, the lower one first
  SimulatedAgreement<Machine> agreement_{machines_,
                                         kMachines,
                                         {0.3, 0.05},
                                         [this](int m) { return machines_.at(m).up; },
                                         [this](double part) { return Chance(part); }};
  int last_leave_ = 0, proofs_ = 0;
  std::map<int, Time> acknowledged_;
  std::string violation_;
};

BOOST_AUTO_TEST_CASE(a_proved_list_holds_every_leave_acknowledged_before) {
  int acknowledged = 0, proofs = 0;
  std::uint64_t epochs = 0;
  for (int seed = 1; seed <= Seeds(60); ++seed) {
    Search search(static_cast<std::uint64_t>(seed), Mutant::kNone);
    const std::string violation = search.Run(40s);
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    acknowledged += search.acknowledged();
    proofs += search.proofs();
    epochs += search.epoch();
  }
  BOOST_TEST_MESSAGE(acknowledged << " leaves acknowledged, " << proofs << " checks of a proved list, "
                                  << epochs << " epochs");
  BOOST_TEST(acknowledged > 60 * Seeds(60));
  BOOST_TEST(proofs > 400 * Seeds(60));
  BOOST_TEST(epochs > 2U * static_cast<unsigned>(Seeds(60)));
}

BOOST_AUTO_TEST_CASE(each_mutant_is_found) {
  for (const Mutant mutant :
       {Mutant::kOneVote, Mutant::kOneProof, Mutant::kVoteBeforeWrite, Mutant::kVotesIncomplete,
        Mutant::kNoRelay, Mutant::kAnswerBeforeUpdates, Mutant::kProvedWhenAnswered}) {
    const auto [seed, violation] =
        FirstViolation(400, [&](std::uint64_t each) { return Search(each, mutant).Run(40s); });
    BOOST_TEST(!violation.empty(), "mutant " << static_cast<int>(mutant) << " is not detected");
    BOOST_TEST_MESSAGE("mutant " << static_cast<int>(mutant) << ": seed " << seed << ", " << violation);
  }
}

}  // namespace
}  // namespace curlewdoor::registry_replication
