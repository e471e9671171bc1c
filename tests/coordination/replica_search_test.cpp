// A seeded search for faults of the replicated log: members are killed, wiped, frozen, cut off one way, their
// disks stall or refuse, rosters change, messages are lost, late and out of order, while callers take
// numbers, put and read. Judged from outside by what callers were told, and inside by what members send and
// hold. SEARCH_SEEDS and SEARCH_FIRST in the environment choose other seeds than the few of a build;
// SEARCH_FAULT the number of a ReplicaOptions::Fault.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "cluster.hpp"

namespace curlewdoor::coordination::testing {
namespace {

using Fault = ReplicaOptions::Fault;

constexpr std::size_t kLeastMembers = 5, kMostMembers = 8;
constexpr std::size_t kMostLost = 2;  // disks at once
constexpr auto kServedAgain = std::chrono::seconds(3);
constexpr int kTroubles = 40;  // of one search

// One cluster, one seed; `failure` tells the first thing that was wrong.
class Search {
 public:
  Search(std::uint64_t seed, Fault fault)
      : chance_(seed * 7919),
        members_(kLeastMembers + seed % (kMostMembers - kLeastMembers + 1)),
        cluster_(members_, Options(fault), seed) {
    cluster_.on_send = [this](std::size_t from, const ReplicaMessage& message) { CheckSent(from, message); };
    cluster_.on_step = [this](std::size_t member) { CheckState(member); };
  }

  std::string Run() {
    for (int i = 0; i < kTroubles && failure_.empty(); ++i) {
      Trouble();
      for (int rounds = Below(5); rounds > 0; --rounds) {
        for (int calls = Below(6); calls > 0; --calls) SomeCall();
        cluster_.Run(milliseconds(Below(200)));
      }
    }
    if (failure_.empty()) Heal();
    return failure_;
  }

 private:
  CoordinatorOptions Small(Fault fault) {
    CoordinatorOptions options;
    options.replica.fault = fault;
    options.replica.append_bytes = Below(2) ? 200 : 256u << 10;
    options.replica.snapshot_chunk = Below(2) ? 100 : 128u << 10;
    options.replica.catch_up_gap = Below(2) ? 4 : 64;
    options.compact_after = std::uint64_t{4} << (2 * Below(4));
    return options;
  }
  ClusterOptions Options(Fault fault) {
    ClusterOptions options;
    options.coordinator = Small(fault);
    constexpr Duration kWays[] = {milliseconds(3), milliseconds(3), milliseconds(40), milliseconds(200)};
    options.most_way = kWays[Below(4)];
    options.most_sync = Below(3) == 0 ? milliseconds(150) : milliseconds(8);
    options.lost = Below(2) * 0.05;
    options.refused_writes = Below(2) * 0.05;
    return options;
  }
  int Below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(chance_); }
  std::size_t Any() { return static_cast<std::size_t>(Below(static_cast<int>(members_))); }
  void Fail(const std::string& what) {
    if (failure_.empty()) failure_ = what + Standing();
  }

  // ---- Troubles ----

  void Trouble() {
    const std::size_t member = Below(3) == 0 ? cluster_.Leader().value_or(Any()) : Any();
    switch (Below(14)) {
      case 0:
      case 1:
        return cluster_.Kill(member);
      case 2:
        for (std::size_t i = 0; i < members_; ++i) cluster_.Kill(i);
        return StartAll();
      case 3:
        return Wipe(member);
      case 4:
        if (cluster_.running(member)) cluster_.Freeze(member);
        return;
      case 5:
      case 6:
        for (std::size_t i = 0; i < members_; ++i)
          if (cluster_.frozen(i) && Below(2)) cluster_.Thaw(i);
        return;
      case 7:
        return Split();
      case 8:
        return cluster_.Cut(member, Any());
      case 9:
        return cluster_.HealAll();
      case 10:
        stalled_until_ = std::max(stalled_until_, cluster_.now() + std::chrono::seconds(2));
        return cluster_.StallDisk(member, milliseconds(Below(2000)));
      case 11:
        return ChangeRoster();
      default:
        return StartAll();
    }
  }
  void StartAll() {
    for (std::size_t i = 0; i < members_; ++i)
      if (Below(4) != 0) cluster_.Start(i);
  }
  // Cuts the members in two, both ways or one.
  void Split() {
    const bool both = Below(2);
    std::vector<bool> side;
    for (std::size_t i = 0; i < members_; ++i) side.push_back(Below(2));
    for (std::size_t i = 0; i < members_; ++i)
      for (std::size_t k = 0; k < members_; ++k)
        if (side[i] && !side[k]) {
          cluster_.Cut(i, k);
          if (both) cluster_.Cut(k, i);
        }
  }
  // A lost disk counts until the log has settled on voters with the member's new life and without the old
  // one.
  void ForgetSettled() {
    const auto leader = cluster_.Leader();
    if (!leader) return;
    const Replica& replica = cluster_.coordinator(*leader)->replica();
    if (replica.applied() != replica.log_last()) return;
    std::set<Incarnation> voters;
    for (const Member& voter : replica.voters()) voters.insert(voter.incarnation);
    std::erase_if(lost_, [&](const auto& lost) {
      return !voters.contains(lost.second) && voters.contains(cluster_.MemberAt(lost.first).incarnation);
    });
  }
  void Wipe(std::size_t member) {
    ForgetSettled();
    if (lost_.size() >= kMostLost) return;
    lost_.emplace(member, cluster_.MemberAt(member).incarnation);
    cluster_.Wipe(member);
    left_out_.reset();
    ApplyRoster();
    if (Below(2)) cluster_.Start(member);
  }
  // Never to fewer than five: with four, two lost disks are a majority's.
  void ChangeRoster() {
    if (members_ == kLeastMembers) return;
    ForgetSettled();
    left_out_ = left_out_ || !lost_.empty() ? std::nullopt : std::optional(Any());
    ApplyRoster();
  }
  void ApplyRoster() {
    std::vector<std::size_t> members;
    for (std::size_t i = 0; i < members_; ++i)
      if (i != left_out_) members.push_back(i);
    cluster_.SetRoster(members);
  }

  // ---- Callers ----

  // Mostly one that serves, also one that has not heard yet that another one does.
  std::size_t SomeServing() {
    std::vector<std::size_t> serving;
    for (std::size_t i = 0; i < members_; ++i)
      if (cluster_.running(i) && cluster_.coordinator(i)->replica().serving()) serving.push_back(i);
    if (serving.empty() || Below(6) == 0) return Any();
    return serving[static_cast<std::size_t>(Below(static_cast<int>(serving.size())))];
  }
  void SomeCall() {
    const std::size_t member = SomeServing();
    switch (Below(3)) {
      case 0:
        return TakeNumberAt(member, [] {});
      case 1:
        return PutAt(member);
      default:
        return ReadAt(member);
    }
  }
  void TakeNumberAt(std::size_t member, std::function<void()> done) {
    cluster_.Call(member, TakeNumber{"n"}, [this, done, before = number_](const Reply& reply) {
      const auto* result = std::get_if<Result>(&reply);
      const auto* taken = result ? std::get_if<NumberTaken>(result) : nullptr;
      if (taken == nullptr) return;
      if (taken->value <= before || !numbers_.insert(taken->value).second)
        Fail("number " + std::to_string(taken->value) + " after " + std::to_string(before));
      number_ = std::max(number_, taken->value);
      done();
    });
  }
  void PutAt(std::size_t member) {
    const std::string value = "v" + std::to_string(++puts_);
    cluster_.Call(member, PutKey{"k", value, std::nullopt}, [this, before = revision_](const Reply& reply) {
      const auto* result = std::get_if<Result>(&reply);
      const auto* put = result ? std::get_if<KeyPut>(result) : nullptr;
      if (put == nullptr) return;
      if (put->revision <= before || !revisions_.insert(put->revision).second)
        Fail("revision " + std::to_string(put->revision) + " after " + std::to_string(before));
      revision_ = std::max(revision_, put->revision);
    });
  }
  void ReadAt(std::size_t member) {
    cluster_.Call(member, ReadKey{"k"}, [this, before = revision_](const Reply& reply) {
      const auto* read = std::get_if<KeyRead>(&reply);
      if (read != nullptr && read->revision < before)
        Fail("a read of revision " + std::to_string(read->revision) + " after " + std::to_string(before));
    });
  }

  // All is well again: a call must be served soon, and know all that was answered.
  void Heal() {
    cluster_.HealAll();
    cluster_.SetTroubles(milliseconds(3), 0, 0);
    left_out_.reset();
    ApplyRoster();
    for (std::size_t i = 0; i < members_; ++i) {
      cluster_.Start(i);
      if (cluster_.frozen(i)) cluster_.Thaw(i);
    }
    const Time ends = std::max(cluster_.now(), stalled_until_) + kServedAgain;
    bool served = false;
    while (!served && cluster_.now() < ends && failure_.empty()) {
      if (const auto leader = cluster_.Leader()) TakeNumberAt(*leader, [&] { served = true; });
      cluster_.Run(milliseconds(50));
    }
    if (!served) return Fail("not served after all was healed");
    if (const auto leader = cluster_.Leader()) ReadAt(*leader);
    cluster_.Run(std::chrono::seconds(10));
    CheckSettled();
  }
  // All have come to the same: the voters are the roster's, and nobody stays behind.
  void CheckSettled() {
    const auto leader = cluster_.Leader();
    if (!leader) return Fail("no leader in the end");
    const Replica& leads = cluster_.coordinator(*leader)->replica();
    std::set<Incarnation> voters, members;
    for (const Member& voter : leads.voters()) voters.insert(voter.incarnation);
    for (std::size_t i = 0; i < members_; ++i) members.insert(cluster_.MemberAt(i).incarnation);
    if (voters != members) Fail("the voters are not the roster's in the end");
    for (std::size_t i = 0; i < members_; ++i)
      if (cluster_.coordinator(i)->replica().applied() != leads.applied())
        Fail("member " + std::to_string(i) + " stays behind");
  }

  // Where each member stands, for the tale of a failure.
  std::string Standing() const {
    std::ostringstream told;
    for (std::size_t i = 0; i < members_; ++i) {
      if (!cluster_.running(i)) continue;
      const Replica& replica = cluster_.coordinator(i)->replica();
      told << "\n  " << replica.self().incarnation.node << "/" << replica.self().incarnation.number
           << " term " << replica.term() << " log " << replica.log_begin() << ".." << replica.log_last()
           << " applied " << replica.applied() << (replica.serving() ? " serves" : "") << " voters";
      for (const Member& voter : replica.voters())
        told << " " << voter.incarnation.node << "/" << voter.incarnation.number;
    }
    return told.str();
  }

  // ---- Inside ----

  void CheckSent(std::size_t from, const ReplicaMessage& message) {
    const auto* append = std::get_if<AppendEntries>(&message.body);
    if (append == nullptr && !std::holds_alternative<InstallSnapshot>(message.body)) return;
    const auto leads = std::pair(message.from.incarnation, cluster_.process(from));
    if (led_.try_emplace(message.term, leads).first->second != leads)
      Fail("two leaders of term " + std::to_string(message.term));
    if (append == nullptr) return;
    std::uint64_t index = append->previous_index;
    int changes = 0;
    for (const LogEntry& entry : append->entries) {
      ++index;
      if (sent_.try_emplace(std::pair(index, entry.term), entry).first->second != entry)
        Fail("two entries " + std::to_string(index) + " of term " + std::to_string(entry.term));
      if (!entry.voters.empty() && entry.term == message.term && index > append->commit) ++changes;
    }
    if (changes > 1) Fail("two changes of voters at once");
  }
  // Members that have applied as much hold the same.
  void CheckState(std::size_t member) {
    const Coordinator& coordinator = *cluster_.coordinator(member);
    const std::uint64_t applied = coordinator.replica().applied();
    const std::pair<std::uint64_t, std::uint64_t> known{cluster_.process(member), applied};
    if (seen_[member] == known) return;
    seen_[member] = known;
    const std::string state = coordinator.state().Snapshot();
    if (states_.try_emplace(applied, state).first->second != state)
      Fail("two states after entry " + std::to_string(applied));
  }

  std::mt19937_64 chance_;
  const std::size_t members_;
  Cluster cluster_;
  std::string failure_;
  std::optional<std::size_t> left_out_;
  std::set<std::pair<std::size_t, Incarnation>> lost_;
  Time stalled_until_{};
  std::uint64_t number_ = 0, revision_ = 0, puts_ = 0;
  std::set<std::uint64_t> numbers_, revisions_;
  std::map<std::uint64_t, std::pair<Incarnation, std::uint64_t>> led_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, LogEntry> sent_;
  std::map<std::uint64_t, std::string> states_;
  std::pair<std::uint64_t, std::uint64_t> seen_[kMostMembers];
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

BOOST_AUTO_TEST_CASE(whatever_happens_nothing_answered_is_lost_and_service_returns) {
  const std::uint64_t first = FromEnvironment("SEARCH_FIRST", 1);
  const std::uint64_t count = FromEnvironment("SEARCH_SEEDS", 600);
  const auto fault = static_cast<Fault>(FromEnvironment("SEARCH_FAULT", 0));
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string failure = Search(seed, fault).Run();
    BOOST_TEST(failure.empty(), "seed " << seed << ": " << failure);
  }
}

}  // namespace
}  // namespace curlewdoor::coordination::testing
