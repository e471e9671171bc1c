// A randomized search for faults in the replicated log. Members are killed, wiped, frozen or cut off in one
// direction, disks stall or fail, the membership changes, and messages are lost, delayed and reordered, while
// callers take numbers, put and read. The checks use the replies that callers received and the messages and
// states of the members. The environment variables SEARCH_SEEDS and SEARCH_FIRST select the seeds,
// SEARCH_FAULT the number of a ReplicaOptions::Fault to inject.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "cluster.hpp"

namespace curlewdoor::coordination::testing {
namespace {

using Fault = ReplicaOptions::Fault;

constexpr std::size_t kMinMembers = 5, kMaxMembers = 8;
constexpr std::size_t kMaxWipedDisks = 2;  // at once
constexpr auto kRecoveryTimeout = std::chrono::seconds(3);
constexpr int kFaultsPerRun = 40;  // per run

// One cluster with one seed. Run() returns a description of the first failure, or an empty string.
class SearchRun {
 public:
  SearchRun(std::uint64_t seed, Fault fault)
      : random_(seed * 7919),
        members_(kMinMembers + seed % (kMaxMembers - kMinMembers + 1)),
        cluster_(members_, RandomClusterOptions(fault), seed) {
    cluster_.on_send = [this](std::size_t from, const ReplicaMessage& message) { CheckSent(from, message); };
    cluster_.on_step = [this](std::size_t member) { CheckState(member); };
  }

  std::string Run() {
    for (int i = 0; i < kFaultsPerRun && failure_.empty(); ++i) {
      InjectFault();
      for (int rounds = RandomBelow(5); rounds > 0; --rounds) {
        for (int calls = RandomBelow(6); calls > 0; --calls) RandomCall();
        cluster_.Run(milliseconds(RandomBelow(200)));
      }
    }
    if (failure_.empty()) HealAndCheck();
    return failure_;
  }

 private:
  CoordinatorOptions RandomCoordinatorOptions(Fault fault) {
    CoordinatorOptions options;
    options.replica.fault = fault;
    options.replica.max_append_bytes = RandomBelow(2) ? 200 : 256u << 10;
    options.replica.snapshot_chunk_bytes = RandomBelow(2) ? 100 : 128u << 10;
    options.replica.max_catch_up_gap = RandomBelow(2) ? 4 : 64;
    options.compact_after_entries = std::uint64_t{4} << (2 * RandomBelow(4));
    return options;
  }
  ClusterOptions RandomClusterOptions(Fault fault) {
    ClusterOptions options;
    options.coordinator = RandomCoordinatorOptions(fault);
    constexpr Duration kDelays[] = {milliseconds(3), milliseconds(3), milliseconds(40), milliseconds(200)};
    options.max_delay = kDelays[RandomBelow(4)];
    options.max_sync = RandomBelow(3) == 0 ? milliseconds(150) : milliseconds(8);
    options.loss_rate = RandomBelow(2) * 0.05;
    options.write_failure_rate = RandomBelow(2) * 0.05;
    return options;
  }
  int RandomBelow(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }
  std::size_t RandomMember() { return static_cast<std::size_t>(RandomBelow(static_cast<int>(members_))); }
  void Fail(const std::string& what) {
    if (failure_.empty()) failure_ = what + DescribeMembers();
  }

  // ---- Faults ----

  void InjectFault() {
    const std::size_t member =
        RandomBelow(3) == 0 ? cluster_.Leader().value_or(RandomMember()) : RandomMember();
    switch (RandomBelow(14)) {
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
          if (cluster_.frozen(i) && RandomBelow(2)) cluster_.Thaw(i);
        return;
      case 7:
        return Partition();
      case 8:
        return cluster_.BlockPath(member, RandomMember());
      case 9:
        return cluster_.UnblockAllPaths();
      case 10:
        disks_stalled_until_ = std::max(disks_stalled_until_, cluster_.now() + std::chrono::seconds(2));
        return cluster_.StallDisk(member, milliseconds(RandomBelow(2000)));
      case 11:
        return ChangeMembership();
      default:
        return StartAll();
    }
  }
  void StartAll() {
    for (std::size_t i = 0; i < members_; ++i)
      if (RandomBelow(4) != 0) cluster_.Start(i);
  }
  // Separates the members into two sides, in both directions or one.
  void Partition() {
    const bool both = RandomBelow(2);
    std::vector<bool> side;
    for (std::size_t i = 0; i < members_; ++i) side.push_back(RandomBelow(2));
    for (std::size_t i = 0; i < members_; ++i)
      for (std::size_t k = 0; k < members_; ++k)
        if (side[i] && !side[k]) {
          cluster_.BlockPath(i, k);
          if (both) cluster_.BlockPath(k, i);
        }
  }
  // A wiped disk counts until the voters include the member's new incarnation and no longer the old one.
  void ForgetReplacedDisks() {
    const auto leader = cluster_.Leader();
    if (!leader) return;
    const Replica& replica = cluster_.coordinator(*leader)->replica();
    if (replica.applied() != replica.log_last()) return;
    std::set<Incarnation> voters;
    for (const Member& voter : replica.voters()) voters.insert(voter.incarnation);
    std::erase_if(wiped_disks_, [&](const auto& lost) {
      return !voters.contains(lost.second) && voters.contains(cluster_.MemberAt(lost.first).incarnation);
    });
  }
  void Wipe(std::size_t member) {
    ForgetReplacedDisks();
    if (wiped_disks_.size() >= kMaxWipedDisks) return;
    wiped_disks_.emplace(member, cluster_.MemberAt(member).incarnation);
    cluster_.Wipe(member);
    removed_member_.reset();
    ApplyMembership();
    if (RandomBelow(2)) cluster_.Start(member);
  }
  // Never fewer than five members: four members do not tolerate two wiped disks.
  void ChangeMembership() {
    if (members_ == kMinMembers) return;
    ForgetReplacedDisks();
    removed_member_ = removed_member_ || !wiped_disks_.empty() ? std::nullopt : std::optional(RandomMember());
    ApplyMembership();
  }
  void ApplyMembership() {
    std::vector<std::size_t> members;
    for (std::size_t i = 0; i < members_; ++i)
      if (i != removed_member_) members.push_back(i);
    cluster_.SetMembership(members);
  }

  // ---- Callers ----

  // Usually a serving member, possibly one that has not yet learned of a newer leader.
  std::size_t RandomServingMember() {
    std::vector<std::size_t> serving;
    for (std::size_t i = 0; i < members_; ++i)
      if (cluster_.running(i) && cluster_.coordinator(i)->replica().serving()) serving.push_back(i);
    if (serving.empty() || RandomBelow(6) == 0) return RandomMember();
    return serving[static_cast<std::size_t>(RandomBelow(static_cast<int>(serving.size())))];
  }
  void RandomCall() {
    const std::size_t member = RandomServingMember();
    switch (RandomBelow(3)) {
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
      const auto* result = std::get_if<CommandResult>(&reply);
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
      const auto* result = std::get_if<CommandResult>(&reply);
      const auto* put = result ? std::get_if<KeyPut>(result) : nullptr;
      if (put == nullptr) return;
      if (put->revision <= before || !revisions_.insert(put->revision).second)
        Fail("revision " + std::to_string(put->revision) + " after " + std::to_string(before));
      revision_ = std::max(revision_, put->revision);
    });
  }
  void ReadAt(std::size_t member) {
    cluster_.Call(member, ReadKey{"k"}, [this, before = revision_](const Reply& reply) {
      const auto* read = std::get_if<ReadResult>(&reply);
      if (read != nullptr && read->revision < before)
        Fail("a read of revision " + std::to_string(read->revision) + " after " + std::to_string(before));
    });
  }

  // Ends all faults. A call must then be served soon and reflect everything answered before.
  void HealAndCheck() {
    cluster_.UnblockAllPaths();
    cluster_.SetFaultRates(milliseconds(3), 0, 0);
    removed_member_.reset();
    ApplyMembership();
    for (std::size_t i = 0; i < members_; ++i) {
      cluster_.Start(i);
      if (cluster_.frozen(i)) cluster_.Thaw(i);
    }
    const Time deadline = std::max(cluster_.now(), disks_stalled_until_) + kRecoveryTimeout;
    bool served = false;
    while (!served && cluster_.now() < deadline && failure_.empty()) {
      if (const auto leader = cluster_.Leader()) TakeNumberAt(*leader, [&] { served = true; });
      cluster_.Run(milliseconds(50));
    }
    if (!served) return Fail("not served after all faults ended");
    if (const auto leader = cluster_.Leader()) ReadAt(*leader);
    cluster_.Run(std::chrono::seconds(10));
    CheckSettled();
  }
  // Checks that the voters equal the membership and that all members have applied the same entries.
  void CheckSettled() {
    const auto leader = cluster_.Leader();
    if (!leader) return Fail("no leader at the end");
    const Replica& leader_replica = cluster_.coordinator(*leader)->replica();
    std::set<Incarnation> voters, members;
    for (const Member& voter : leader_replica.voters()) voters.insert(voter.incarnation);
    for (std::size_t i = 0; i < members_; ++i) members.insert(cluster_.MemberAt(i).incarnation);
    if (voters != members) Fail("the voters differ from the membership at the end");
    for (std::size_t i = 0; i < members_; ++i)
      if (cluster_.coordinator(i)->replica().applied() != leader_replica.applied())
        Fail("member " + std::to_string(i) + " has not caught up");
  }

  // The state of each member, for the description of a failure.
  std::string DescribeMembers() const {
    std::ostringstream description;
    for (std::size_t i = 0; i < members_; ++i) {
      if (!cluster_.running(i)) continue;
      const Replica& replica = cluster_.coordinator(i)->replica();
      description << "\n  " << replica.self().incarnation.node << "/" << replica.self().incarnation.number
                  << " term " << replica.term() << " log " << replica.log_begin() << ".."
                  << replica.log_last() << " applied " << replica.applied()
                  << (replica.serving() ? " serves" : "") << " voters";
      for (const Member& voter : replica.voters())
        description << " " << voter.incarnation.node << "/" << voter.incarnation.number;
    }
    return description.str();
  }

  // ---- Internal invariants ----

  void CheckSent(std::size_t from, const ReplicaMessage& message) {
    const auto* append = std::get_if<AppendEntries>(&message.body);
    if (append == nullptr && !std::holds_alternative<InstallSnapshot>(message.body)) return;
    const auto leader_process = std::pair(message.from.incarnation, cluster_.process(from));
    if (leaders_by_term_.try_emplace(message.term, leader_process).first->second != leader_process)
      Fail("two leaders of term " + std::to_string(message.term));
    if (append == nullptr) return;
    std::uint64_t index = append->previous_index;
    int changes = 0;
    for (const LogEntry& entry : append->entries) {
      ++index;
      if (sent_entries_.try_emplace(std::pair(index, entry.term), entry).first->second != entry)
        Fail("two entries " + std::to_string(index) + " of term " + std::to_string(entry.term));
      if (!entry.voters.empty() && entry.term == message.term && index > append->commit) ++changes;
    }
    if (changes > 1) Fail("two changes of voters at once");
  }
  // Members that have applied the same entries have equal states.
  void CheckState(std::size_t member) {
    const Coordinator& coordinator = *cluster_.coordinator(member);
    const std::uint64_t applied = coordinator.replica().applied();
    const std::pair<std::uint64_t, std::uint64_t> known{cluster_.process(member), applied};
    if (last_checked_[member] == known) return;
    last_checked_[member] = known;
    const std::string state = coordinator.state().Snapshot();
    if (states_by_index_.try_emplace(applied, state).first->second != state)
      Fail("two states after entry " + std::to_string(applied));
  }

  std::mt19937_64 random_;
  const std::size_t members_;
  Cluster cluster_;
  std::string failure_;
  std::optional<std::size_t> removed_member_;
  std::set<std::pair<std::size_t, Incarnation>> wiped_disks_;
  Time disks_stalled_until_{};
  std::uint64_t number_ = 0, revision_ = 0, puts_ = 0;
  std::set<std::uint64_t> numbers_, revisions_;
  std::map<std::uint64_t, std::pair<Incarnation, std::uint64_t>> leaders_by_term_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, LogEntry> sent_entries_;
  std::map<std::uint64_t, std::string> states_by_index_;
  std::pair<std::uint64_t, std::uint64_t> last_checked_[kMaxMembers];
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

BOOST_AUTO_TEST_CASE(whatever_happens_nothing_answered_is_lost_and_service_returns) {
  const std::uint64_t first = FromEnvironment("SEARCH_FIRST", 1);
  const std::uint64_t count = FromEnvironment("SEARCH_SEEDS", 600);
  const auto fault = static_cast<Fault>(FromEnvironment("SEARCH_FAULT", 0));
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string failure = SearchRun(seed, fault).Run();
    BOOST_TEST(failure.empty(), "seed " << seed << ": " << failure);
  }
}

}  // namespace
}  // namespace curlewdoor::coordination::testing
