// A search by seeds over what registry/ claims: a gateway whose list is proved knows every leave that was
// acknowledged `lasts` ago or earlier. Machines crash and lose disks, epochs exchange members, streams break
// and are slow, gateways are paused, clocks differ, disks are slow. Mutants show that the search can fail.
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
  kOneVote,          // acknowledged by one member's vote
  kOneProof,         // a list is proved by one member
  kVoteBeforeWrite,  // a member votes before its disk holds the leave
  kVotesIncomplete,
  kNoRelay,            // a member doesn't pass on leaves that it learned from another
  kAnswerBeforeNews,   // an answer isn't behind the news
  kProvedWhenAnswered  // ... as of its answer, not as of its question
};

constexpr Duration kStep = 10ms;
constexpr int kMachines = 5, kGateways = 3, kSize = 3;  // of a roster

struct Message {
  enum class Kind { kNews, kReplicate, kVote, kQuery, kAnswer } kind = Kind::kNews;
  Leaves leaves{};
  int leave = 0;
  Time asked{};
  Standing standing{};
};

// One direction of a stream: in order, late, and lost from the break on.
struct Stream {
  std::deque<std::pair<Time, Message>> under_way;
  Time last{};
  Time squeezed_until{};  // until then messages come one by one, slowly
};

struct Machine {
  std::uint64_t incarnation = 0;
  bool up = true;
  Roster known{};      // in memory
  Roster core_disk{};  // as the agreement has it on disk
  bool sealed = false;
  std::unique_ptr<RegistryReplica> replica;
  Leaves leaves;
  Leaves disk_leaves;
  ReplicaRecord disk_record;
  struct Write {
    Time done;
    ReplicaRecord record;
    Leaves leaves;
    std::vector<std::pair<int, int>> owed;  // gateway, leave
  };
  std::optional<Write> write;
  std::vector<std::pair<int, int>> owed;
};

struct GatewayState {
  std::unique_ptr<RegistryLease> lease;
  Roster known{};
  Leaves leaves;
  Duration clock{};  // ahead of the others
  Time paused_until{};
  std::map<int, HolderVotes> replications;
  std::map<int, Time> sent;
};

class Search {
 public:
  Search(std::uint64_t seed, Mutant mutant) : random_(seed), mutant_(mutant) {
    for (int m = 0; m < kMachines; ++m) {
      machines_[m].incarnation = ++incarnations_;
      machines_[m].known = {};
      Restart(m);
    }
    agreement_.Begin(kSize);
    for (int g = 0; g < kGateways; ++g) {
      gateways_[g].lease = std::make_unique<RegistryLease>(RegistryLease::OptionsFor(2s));
      gateways_[g].clock = 1h * static_cast<int>(random_() % 100);
    }
  }

  // The first violation; empty: none.
  std::string Play(Duration for_so_long) {
    for (const Time ends = now_ + for_so_long; now_ < ends && violation_.empty(); now_ += kStep) Step();
    return violation_;
  }
  int acknowledged() const { return static_cast<int>(acknowledged_.size()); }
  int proofs() const { return proofs_; }
  std::uint64_t epoch() const { return agreement_.roster().epoch; }

 private:
  bool Chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
  Duration Late() {
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
    machine.known = machine.core_disk;
    machine.write.reset();
    machine.owed.clear();
    machine.replica->Restore(machine.disk_record);
    machine.replica->Adopt(now_, machine.known);
    for (int g = 0; g < kGateways; ++g) Break(g, m);
    for (int other = 0; other < kMachines; ++other)
      if (other != m) BreakPeers(m, other);
  }
  void Wipe(int m) {
    Machine& machine = machines_[m];
    machine.incarnation = ++incarnations_;
    machine.disk_leaves.clear();
    machine.disk_record = {};
    machine.core_disk = {};
    machine.sealed = false;
    Restart(m);
  }

  // ---- Streams: gateway g (or member 100 + m, as an asker) to member and back
  void Send(int from, int to, Message message) {
    if (IsCut(from, to)) return;
    Stream& stream = streams_[{from, to}];
    const Duration gap = stream.squeezed_until > now_ ? 10ms * static_cast<int>(random_() % 40) : 0ms;
    stream.last = std::max(stream.last + gap, now_ + Late());
    stream.under_way.emplace_back(stream.last, std::move(message));
  }
  bool IsCut(int a, int b) const { return cuts_.contains({std::min(a, b), std::max(a, b)}); }
  // Nothing passes until then; a cut stream begins anew.
  void Cut(int a, int b, Time until) {
    Time& ends = cuts_[{std::min(a, b), std::max(a, b)}];
    ends = std::max(ends, until);
    streams_[{a, b}] = streams_[{b, a}] = {};
  }
  void Heal() {
    for (auto it = cuts_.begin(); it != cuts_.end();) {
      if (it->second > now_) {
        ++it;
        continue;
      }
      const auto [a, b] = it->first;
      it = cuts_.erase(it);
      a >= 100 ? BreakPeers(a - 100, b - 100) : Break(a, b - 100);
    }
  }
  void Break(int g, int m) {
    streams_[{g, 100 + m}] = streams_[{100 + m, g}] = {};
    if (!machines_[m].up) return;
    Message all{Message::Kind::kNews, machines_[m].leaves};
    Send(100 + m, g, all);
  }
  void BreakPeers(int a, int b) {
    for (const auto& [from, to] : {std::pair{a, b}, std::pair{b, a}}) {
      streams_[{100 + from, 100 + to}] = {};
      if (machines_[from].up) Send(100 + from, 100 + to, {Message::Kind::kNews, machines_[from].leaves});
    }
  }
  void Publish(int m, const Leaves& leaves) {
    for (int g = 0; g < kGateways; ++g) Send(100 + m, g, {Message::Kind::kNews, leaves});
    for (int other = 0; other < kMachines; ++other)
      if (other != m) Send(100 + m, 100 + other, {Message::Kind::kNews, leaves});
  }
  void Hold(int m, const Leaves& leaves, bool relay) {
    Leaves fresh;
    for (const int leave : leaves)
      if (machines_[m].leaves.insert(leave).second) fresh.insert(leave);
    if (!fresh.empty() && relay) Publish(m, fresh);
  }

  // ---- Who gets what
  void ToMember(int m, int from, const Message& message) {
    Machine& machine = machines_[m];
    if (!machine.up) return;
    switch (message.kind) {
      case Message::Kind::kNews:
        return Hold(m, message.leaves, mutant_ != Mutant::kNoRelay);
      case Message::Kind::kReplicate:
        Hold(m, {message.leave}, true);
        if (mutant_ == Mutant::kVoteBeforeWrite)
          return Send(100 + m, from, {Message::Kind::kVote, {}, message.leave, {}, StandingOf(m)});
        machine.owed.emplace_back(from, message.leave);
        return;
      case Message::Kind::kQuery:
        if (mutant_ == Mutant::kAnswerBeforeNews) {
          Stream& stream = streams_[{100 + m, from}];
          if (IsCut(100 + m, from)) return;
          stream.under_way.emplace_front(
              now_, Message{Message::Kind::kAnswer, {}, 0, message.asked, StandingOf(m)});
          return;
        }
        return Send(100 + m, from, {Message::Kind::kAnswer, {}, 0, message.asked, StandingOf(m)});
      case Message::Kind::kAnswer:
        return machine.replica->OnAnswer(message.asked, message.standing);
      case Message::Kind::kVote:
        return;
    }
  }
  Standing StandingOf(int m) {
    Machine& machine = machines_[m];
    return machine.replica->standing();
  }
  void ToGateway(int g, const Message& message) {
    GatewayState& gateway = gateways_[g];
    switch (message.kind) {
      case Message::Kind::kNews:
        gateway.leaves.insert(message.leaves.begin(), message.leaves.end());
        return;
      case Message::Kind::kAnswer: {
        const Time asked = mutant_ == Mutant::kProvedWhenAnswered ? now_ + gateway.clock : message.asked;
        Standing standing = message.standing;
        gateway.lease->OnAnswer(now_ + gateway.clock, asked, standing);
        if (mutant_ == Mutant::kOneProof && standing.votes)
          for (const MemberId& member : gateway.known.members) {
            standing.member = member;
            gateway.lease->OnAnswer(now_ + gateway.clock, asked, standing);
          }
        return;
      }
      case Message::Kind::kVote: {
        const auto it = gateway.replications.find(message.leave);
        if (it == gateway.replications.end()) return;
        if (message.standing.votes) it->second.Add(message.standing.member, message.standing.epoch);
        return;
      }
      default:
        return;
    }
  }

  // ---- One step
  void Step() {
    Deliver();
    Trouble();
    for (int m = 0; m < kMachines; ++m) StepMember(m);
    for (int g = 0; g < kGateways; ++g)
      if (gateways_[g].paused_until <= now_) StepGateway(g);
    Epochs();
  }
  void Deliver() {
    for (auto& [way, stream] : streams_) {
      const auto [from, to] = way;
      if (to < 100 && gateways_[to].paused_until > now_) continue;
      while (!stream.under_way.empty() && stream.under_way.front().first <= now_) {
        const Message message = stream.under_way.front().second;
        stream.under_way.pop_front();
        to >= 100 ? ToMember(to - 100, from, message) : ToGateway(to, message);
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
      for (const auto& [from, leave] : write.owed)
        Send(100 + m, from, {Message::Kind::kVote, {}, leave, {}, StandingOf(m)});
    }
    if (!machine.write && (!machine.owed.empty() || machine.replica->Dirty()))
      machine.write = Machine::Write{now_ + 5ms + Late(), machine.replica->Record(), machine.leaves,
                                     std::exchange(machine.owed, {})};
    if (Chance(0.04))
      for (int other = 0; other < kMachines; ++other)
        if (other != m && machines_[other].up)
          Send(100 + m, 100 + other, {Message::Kind::kQuery, {}, 0, now_});
    if (machine.known.epoch > machine.core_disk.epoch && Chance(0.1)) {
      machine.core_disk = machine.known;
      machine.sealed = false;
    }
  }
  void StepGateway(int g) {
    GatewayState& gateway = gateways_[g];
    const Time local = now_ + gateway.clock;
    if (gateway.lease->Tick(local)) {
      gateway.lease->Asked(local);
      for (int m = 0; m < kMachines; ++m) Send(g, 100 + m, {Message::Kind::kQuery, {}, 0, local});
    }
    for (auto& [leave, votes] : gateway.replications) {
      if (now_ - gateway.sent[leave] > 200ms) {
        gateway.sent[leave] = now_;
        for (int m = 0; m < kMachines; ++m) Send(g, 100 + m, {Message::Kind::kReplicate, {}, leave});
      }
      const bool one = mutant_ == Mutant::kOneVote && !votes.Names().empty();
      if (votes.Chosen(gateway.known) || one) acknowledged_.emplace(leave, now_);
    }
    std::erase_if(gateway.replications, [&](const auto& each) { return acknowledged_.contains(each.first); });
    if (Chance(0.02)) {
      gateway.replications[++last_leave_];
      gateway.sent[last_leave_] = now_ - 1s;
    }
    if (!gateway.lease->Proved(local)) return;
    ++proofs_;
    for (const auto& [leave, at] : acknowledged_)
      if (now_ - at >= RegistryLease::OptionsFor(2s).lasts && !gateway.leaves.contains(leave)) {
        violation_ = "gateway " + std::to_string(g) + " doesn't know leave " + std::to_string(leave) +
                     ", epoch " + std::to_string(agreement_.roster().epoch);
        return;
      }
  }

  // ---- Troubles
  bool InRoster(int m) const { return agreement_.roster().Holds(Id(m)); }
  // A member is cut off from the others of its kind, or from some gateways too; or one way is slow.
  void CutSome() {
    const int m = static_cast<int>(random_() % kMachines);
    const Time until = now_ + 500ms * static_cast<int>(random_() % 16);
    for (int other = 0; other < kMachines; ++other)
      if (other != m && Chance(0.8)) Cut(100 + m, 100 + other, until);
    const double gateways = Chance(0.5) ? 0 : 0.5;
    for (int g = 0; g < kGateways; ++g)
      if (Chance(gateways)) Cut(g, 100 + m, until);
  }
  // The machines in two parts; a gateway reaches one of them or both.
  void Split() {
    const Time until = now_ + 500ms * static_cast<int>(4 + random_() % 12);
    std::map<int, bool> side;
    for (int m = 0; m < kMachines; ++m) side[m] = Chance(0.5);
    for (int m = 0; m < kMachines; ++m)
      for (int other = 0; other < m; ++other)
        if (side[m] != side[other]) Cut(100 + m, 100 + other, until);
    for (int g = 0; g < kGateways; ++g) {
      const bool own = Chance(0.5);
      const bool both = Chance(0.3);
      for (int m = 0; m < kMachines; ++m)
        if (!both && side[m] != own) Cut(g, 100 + m, until);
    }
  }
  void StallSome() {
    const int g = static_cast<int>(random_() % kGateways);
    const Time until = now_ + 100ms * static_cast<int>(random_() % 40);
    const bool squeezes = Chance(0.5);
    for (int m = 0; m < kMachines; ++m) {
      if (Chance(0.7))
        (squeezes ? streams_[{100 + m, g}].squeezed_until : streams_[{100 + m, g}].last) = until;
      if (Chance(0.3)) streams_[{g, 100 + m}].last = until;
    }
  }
  void Trouble() {
    Heal();
    if (Chance(0.006)) CutSome();
    if (Chance(0.006)) StallSome();
    if (Chance(0.002)) Split();
    if (Chance(0.004)) {
      const int m = static_cast<int>(random_() % kMachines);
      if (!machines_[m].up) {
        Restart(m);
      } else if (!InRoster(m) || agreement_.CountLost() == 0) {
        machines_[m].up = false;
        if (Chance(0.3)) Wipe(m);
      }
    }
    if (Chance(0.0008))  // all at once; their disks stay
      for (int m = 0; m < kMachines; ++m)
        if (machines_[m].up) Restart(m);
    if (Chance(0.02)) Break(static_cast<int>(random_() % kGateways), static_cast<int>(random_() % kMachines));
    if (Chance(0.01)) {
      const int a = static_cast<int>(random_() % kMachines), b = static_cast<int>(random_() % kMachines);
      if (a != b) BreakPeers(a, b);
    }
    if (Chance(0.005)) {
      GatewayState& gateway = gateways_[static_cast<int>(random_() % kGateways)];
      if (gateway.paused_until <= now_)
        gateway.paused_until = now_ + 100ms * static_cast<int>(random_() % 40);
    }
  }
  // Each machine and gateway hears of a successor some time.
  void Epochs() {
    agreement_.Step();
    const Roster& newest = agreement_.roster();
    for (int m = 0; m < kMachines; ++m)
      if (machines_[m].up && machines_[m].known.epoch < newest.epoch && Chance(0.01)) {
        machines_[m].known = agreement_.After(machines_[m].known.epoch);
        machines_[m].replica->Adopt(now_, machines_[m].known);
      }
    for (auto& [g, gateway] : gateways_)
      if (gateway.known.epoch < newest.epoch && gateway.paused_until <= now_ && Chance(0.01)) {
        gateway.known = newest;
        gateway.lease->SetRoster(newest);
      }
  }
  std::mt19937_64 random_;
  const Mutant mutant_;
  Time now_{std::chrono::hours(1000)};
  std::uint64_t incarnations_ = 0;
  std::map<int, Machine> machines_;
  std::map<int, GatewayState> gateways_;
  std::map<std::pair<int, int>, Stream> streams_;
  std::map<std::pair<int, int>, Time> cuts_;  // the lower one first
  ShortAgreement<Machine> agreement_{machines_,
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
    const std::string violation = search.Play(40s);
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    acknowledged += search.acknowledged();
    proofs += search.proofs();
    epochs += search.epoch();
  }
  BOOST_TEST_MESSAGE(acknowledged << " leaves acknowledged, " << proofs << " looks at a proved list, "
                                  << epochs << " epochs");
  BOOST_TEST(acknowledged > 60 * Seeds(60));
  BOOST_TEST(proofs > 400 * Seeds(60));
  BOOST_TEST(epochs > 2U * static_cast<unsigned>(Seeds(60)));
}

BOOST_AUTO_TEST_CASE(each_mutant_is_found) {
  for (const Mutant mutant :
       {Mutant::kOneVote, Mutant::kOneProof, Mutant::kVoteBeforeWrite, Mutant::kVotesIncomplete,
        Mutant::kNoRelay, Mutant::kAnswerBeforeNews, Mutant::kProvedWhenAnswered}) {
    const auto [seed, violation] =
        FirstViolation(400, [&](std::uint64_t each) { return Search(each, mutant).Play(40s); });
    BOOST_TEST(!violation.empty(), "mutant " << static_cast<int>(mutant) << " isn't found");
    BOOST_TEST_MESSAGE("mutant " << static_cast<int>(mutant) << ": seed " << seed << ", " << violation);
  }
}

}  // namespace
}  // namespace curlewdoor::registry_replication
