// A single member: what it answers at its limits and with a damaged snapshot on its disk.
#include "coordination/coordinator.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace curlewdoor::coordination {
namespace {

using std::chrono::milliseconds;

// A cluster of one member, with a disk that syncs at once and a clock that advances while waiting.
class SingleMember {
 public:
  explicit SingleMember(CoordinatorOptions options = {}, ReplicaState from_disk = {})
      : member_(kSelf, std::move(from_disk), options, 1) {
    CoordinatorOutput out;
    member_.Bootstrap(now_, {kSelf}, out);
    HandleOutput(out);
    Run(std::chrono::seconds(3));
  }

  void Run(Duration span) {
    for (const Time until = now_ + span; now_ < until;) {
      now_ += milliseconds(20);
      CoordinatorOutput out;
      member_.Tick(now_, out);
      HandleOutput(out);
    }
  }
  std::optional<Reply> CallAndWait(const Call& call, ProvenRenewals proven = 0) {
    const CallId id = ++last_id_;
    CoordinatorOutput out;
    member_.OnCall(now_, id, call, proven, out);
    HandleOutput(out);
    Run(milliseconds(100));
    const auto found = replies_.find(id);
    return found == replies_.end() ? std::nullopt : std::optional(found->second);
  }
  // Calls that come in one moment, before any of them is applied.
  std::vector<Reply> CallTogether(const std::vector<Call>& calls) {
    const CallId first = last_id_ + 1;
    CoordinatorOutput out;
    for (const Call& call : calls) member_.OnCall(now_, ++last_id_, call, 0, out);
    HandleOutput(out);
    Run(milliseconds(100));
    std::vector<Reply> replies;
    for (CallId id = first; id <= last_id_; ++id) replies.push_back(replies_.at(id));
    return replies;
  }
  const Coordinator& member() const { return member_; }

  static inline const Member kSelf{{"core-1", 1}, "10.0.0.1:1"};

 private:
  void HandleOutput(CoordinatorOutput& out) {
    for (auto& [id, reply] : out.replies) BOOST_TEST(replies_.emplace(id, reply).second);
    while (out.write) {
      CoordinatorOutput next;
      member_.OnWritten(now_, true, next);
      for (auto& [id, reply] : next.replies) BOOST_TEST(replies_.emplace(id, reply).second);
      out = std::move(next);
    }
  }

  Time now_{std::chrono::hours(1)};
  Coordinator member_;
  CallId last_id_ = 0;
  std::map<CallId, Reply> replies_;
};

// Guards against a late release that ends a hold which its holder began again (ONE), at the leader.
BOOST_AUTO_TEST_CASE(a_release_ends_a_hold_only_as_it_was_when_the_release_was_sent) {
  SingleMember member;
  const AcquireLock acquire{"l", "x", 20'000};
  BOOST_TEST((member.CallAndWait(acquire) == Reply(CommandResult(LockGranted{1}))));
  BOOST_TEST((member.CallAndWait(acquire) == Reply(CommandResult(LockGranted{1}))));
  BOOST_TEST((member.CallAndWait(RenewLock{"l", "x", 1, 20'000}) == Reply(CommandResult(Done{}))));
  const ReleaseLock release{"l", "x", 1};
  BOOST_TEST((member.CallAndWait(release) == Reply(ReleaseUnproven{2})));
  BOOST_TEST((member.CallAndWait(release, 1) == Reply(ReleaseUnproven{2})));
  BOOST_TEST(member.member().state().holds().size() == 1u);
  BOOST_TEST((member.CallAndWait(release, 2) == Reply(CommandResult(Done{}))));
  BOOST_TEST(member.member().state().holds().empty());
  BOOST_TEST((member.CallAndWait(release) == Reply(CommandResult(Done{}))));
  BOOST_TEST(member.member().release_counts().extended == 1u);
  BOOST_TEST(member.member().release_counts().unproven == 2u);
  BOOST_TEST(member.member().release_counts().none == 1u);
}

// The renewal is in the log before the release, and applied by the time that both are committed.
BOOST_AUTO_TEST_CASE(a_release_that_was_proposed_behind_a_renewal_does_nothing) {
  SingleMember member;
  const AcquireLock acquire{"l", "x", 20'000};
  member.CallAndWait(acquire);
  const auto replies = member.CallTogether({acquire, ReleaseLock{"l", "x", 1}});
  BOOST_TEST((replies[0] == Reply(CommandResult(LockGranted{1}))));
  BOOST_TEST((replies[1] == Reply(ReleaseUnproven{1})));
  BOOST_TEST(member.member().state().holds().size() == 1u);
}

// A gateway of an earlier version proves nothing.
BOOST_AUTO_TEST_CASE(a_release_without_a_proof_is_unconditional) {
  SingleMember member;
  const AcquireLock acquire{"l", "x", 20'000};
  member.CallAndWait(acquire);
  member.CallAndWait(acquire);
  BOOST_TEST((member.CallAndWait(ReleaseLock{"l", "x", 1}, std::nullopt) == Reply(CommandResult(Done{}))));
  BOOST_TEST(member.member().state().holds().empty());
}

BOOST_AUTO_TEST_CASE(a_watch_of_many_events_is_told_them_in_parts_that_join) {
  CoordinatorOptions options;
  options.max_watch_bytes = 1000;
  SingleMember core(options);
  for (int i = 1; i <= 40; ++i)
    BOOST_REQUIRE(core.CallAndWait(PutKey{"g.k", std::to_string(i) + std::string(100, 'v'), std::nullopt}));
  Revision after = 1;
  for (int part = 0; after < 40; ++part) {
    BOOST_REQUIRE(part < 10);
    const auto reply = core.CallAndWait(WatchGroup{"g.", after, 1000});
    BOOST_REQUIRE(reply);
    const auto& watched = std::get<WatchResult>(*reply);
    BOOST_REQUIRE(!watched.events.empty());
    BOOST_TEST(watched.events.size() <= 10u);
    for (const PutEvent& event : watched.events) BOOST_TEST(event.revision == ++after);
    BOOST_TEST(watched.revision == after);
  }
  // An event that is larger than the reply limit is returned alone.
  BOOST_REQUIRE(core.CallAndWait(PutKey{"g.k", std::string(3000, 'w'), std::nullopt}));
  const auto reply = core.CallAndWait(WatchGroup{"g.", after, 1000});
  BOOST_REQUIRE(reply);
  BOOST_TEST(std::get<WatchResult>(*reply).events.size() == 1u);
  BOOST_TEST(std::get<WatchResult>(*reply).revision == 41u);
}

ReplicaState DiskWith(std::string snapshot) {
  ReplicaState disk;
  disk.found = true;
  disk.term = 1;
  disk.snapshot_index = 7;
  disk.snapshot_term = 1;
  disk.snapshot_voters = {SingleMember::kSelf};
  disk.snapshot = std::move(snapshot);
  return disk;
}

BOOST_AUTO_TEST_CASE(a_member_whose_snapshot_is_unreadable_answers_nothing) {
  StateMachine before{StateMachineLimits{}};
  before.Apply(LoggedTime(0), TakeNumber{"n"});
  CoordinatorOptions options;
  options.compact_after_entries = 1;
  SingleMember whole(options, DiskWith(before.Snapshot()));
  BOOST_TEST(std::get<NumberTaken>(std::get<CommandResult>(*whole.CallAndWait(TakeNumber{"n"}))).value == 2u);

  SingleMember damaged(options, DiskWith("nonsense"));
  for (const Call& call : std::vector<Call>{TakeNumber{"n"}, ReadKey{"g.k"}, WatchGroup{"g.", 0, 0}}) {
    const auto reply = damaged.CallAndWait(call);
    BOOST_REQUIRE(reply);
    BOOST_TEST(std::holds_alternative<NotServed>(*reply));
  }
  damaged.Run(std::chrono::seconds(2));
  BOOST_TEST(damaged.member().replica().snapshot() == "nonsense");  // is not overwritten by an empty state
}

}  // namespace
}  // namespace curlewdoor::coordination
