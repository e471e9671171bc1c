// Model checks: no order of events violates a rule, and each injected fault does. The search is in
// explorer.hpp.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "explorer.hpp"

namespace curlewdoor::coordination::testing {
namespace {

// CURLEWDOOR_STATES=n sets the number of states per case beyond which no deeper level is started.
std::size_t StatesPerCase(std::size_t default_value) {
  const char* states = std::getenv("CURLEWDOOR_STATES");
  return states != nullptr ? std::strtoull(states, nullptr, 10) : default_value;
}

struct Case {
  const char* name;
  Bounds bounds;
};

std::vector<Case> Cases() {
  std::vector<Case> cases;
  const auto add = [&cases](const char* name, std::vector<CallerAction> actions) -> Bounds& {
    Bounds bounds;
    bounds.actions = std::move(actions);
    bounds.depth = 12;
    cases.push_back({name, bounds});
    return cases.back().bounds;
  };
  auto& lock = add("a lock, waits, an isolated leader", {CallerAction::kAcquireA, CallerAction::kAcquireB});
  lock.waits = 4;
  lock.isolations = lock.pauses = lock.in_flight = 1;
  auto& renewed =
      add("a lock, renewals, slow messages, a killed leader",
          {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kRenewA, CallerAction::kReleaseA});
  renewed.waits = 3;
  renewed.pauses = renewed.in_flight = renewed.kills = 1;
  auto& fences = add("a lock, snapshots, restarts, a wiped disk",
                     {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kReleaseA});
  fences.waits = 2;
  fences.restarts = fences.wipes = fences.kills = 1;
  fences.compact_after_entries = 1;
  auto& late = add("a lock, late releases of a caller that died, slow messages, a killed leader",
                   {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kReleaseA,
                    CallerAction::kReleaseLateA, CallerAction::kLateReleaseArrives});
  late.in_flight = 2;
  late.rounds = 2;
  late.waits = late.kills = 1;
  auto& puts = add("puts and retries, an isolated leader",
                   {CallerAction::kPut, CallerAction::kResend, CallerAction::kRead});
  puts.waits = 2;
  puts.isolations = puts.in_flight = puts.rounds = 1;
  auto& numbers = add("a number, a read, an isolated follower, a killed leader",
                      {CallerAction::kNumber, CallerAction::kPut, CallerAction::kRead});
  numbers.waits = 2;
  numbers.isolations = numbers.kills = 1;
  numbers.isolate_follower = true;
  auto& watches = add("puts, a watch, snapshots, restarts, a wiped disk",
                      {CallerAction::kPut, CallerAction::kResend, CallerAction::kWatch});
  watches.waits = 2;
  watches.restarts = watches.wipes = watches.kills = 1;
  watches.compact_after_entries = 1;
  auto& rounds = add("puts, one message round at a time, an isolated leader",
                     {CallerAction::kPut, CallerAction::kResend});
  rounds.rounds = rounds.in_flight = 3;
  rounds.waits = rounds.isolations = rounds.kills = 1;
  auto& forgotten =
      add("puts and retries beyond the history",
          {CallerAction::kPut, CallerAction::kResend, CallerAction::kResendFirst, CallerAction::kWatch});
  forgotten.waits = 4;
  forgotten.isolations = 1;
  return cases;
}

BOOST_AUTO_TEST_CASE(no_order_of_events_breaks_a_rule) {
  std::size_t states = 0;
  for (Case& each : Cases()) {
    each.bounds.max_states = StatesPerCase(each.bounds.max_states);
    Explorer explorer({}, each.bounds, 1);
    const std::string violation = explorer.Run();
    BOOST_TEST_MESSAGE(each.name << ": " << explorer.Figures());
    BOOST_CHECK_MESSAGE(violation.empty(), each.name << ": " << violation);
    BOOST_TEST(explorer.complete() >= 4);
    states += explorer.state_count();
  }
  BOOST_TEST_MESSAGE(states << " states in all");
}

struct Mutant {
  std::string name;
  CoordinatorOptions options;
  Bounds bounds;
};

// Runs one round at a time until one of these members has won the newest election.
std::size_t RunUntilElected(SimulatedCluster& cluster, const std::vector<std::size_t>& members) {
  const auto elected = [&] {
    return std::find_if(members.begin(), members.end(),
                        [&](std::size_t each) { return cluster.Elected() == each; });
  };
  for (int tick = 0; tick < 60 && elected() == members.end(); ++tick) {
    cluster.Pause(milliseconds(50));
    for (int round = 0; round < 6 && elected() == members.end(); ++round) cluster.Round();
  }
  BOOST_REQUIRE(elected() != members.end());
  return *elected();
}

// Sets up a leader with an uncommitted put of an earlier term: no other member has the put, another member
// was leader since then without replicating anything, and the first one was elected again with the third
// one's vote.
void ReelectLeaderWithOldPut(SimulatedCluster& cluster) {
  const std::size_t first = *cluster.Leader();
  cluster.Isolate(first);
  cluster.Issue(first, CallerAction::kPut);
  cluster.Settle();
  cluster.Isolate(RunUntilElected(cluster, {(first + 1) % kMembers, (first + 2) % kMembers}));
  cluster.Settle();
  RunUntilElected(cluster, {first});
  cluster.Round();  // the third member reports which entries it is missing
  cluster.Round();  // and is sent the put and the first entry of the new term
}

std::vector<Mutant> Mutants() {
  std::vector<Mutant> mutants;
  const auto add = [&mutants](const char* name, std::vector<CallerAction> actions) -> Mutant& {
    Mutant mutant;
    mutant.name = name;
    mutant.bounds.actions = std::move(actions);
    mutant.bounds.depth = 8;
    mutant.bounds.max_states = 300'000;
    mutants.push_back(std::move(mutant));
    return mutants.back();
  };
  const auto of_coordinator = [&](CoordinatorOptions::Fault fault, const char* name,
                                  std::vector<CallerAction> actions) -> Bounds& {
    Mutant& mutant = add(name, std::move(actions));
    mutant.options.fault = fault;
    return mutant.bounds;
  };
  const auto of_state = [&](StateMachineLimits::Fault fault, const char* name,
                            std::vector<CallerAction> actions) -> Bounds& {
    Mutant& mutant = add(name, std::move(actions));
    mutant.options.limits.fault = fault;
    return mutant.bounds;
  };
  const auto of_replica = [&](ReplicaOptions::Fault fault, const char* name,
                              std::vector<CallerAction> actions) -> Bounds& {
    Mutant& mutant = add(name, std::move(actions));
    mutant.options.replica.fault = fault;
    return mutant.bounds;
  };
  using CoordinatorFault = CoordinatorOptions::Fault;
  auto& waits = of_coordinator(CoordinatorFault::kNewLeaderExpiresHolds, "a new leader ends holds at once",
                               {CallerAction::kAcquireA, CallerAction::kAcquireB});
  waits.kills = 1;
  waits.waits = 2;
  of_coordinator(CoordinatorFault::kHoldExpiresEarly, "a hold ends before the time that its caller counts",
                 {CallerAction::kAcquireA, CallerAction::kAcquireB})
      .waits = 2;
  of_coordinator(CoordinatorFault::kRenewalIgnored, "a renewal does not extend the hold",
                 {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kRenewA})
      .waits = 3;
  of_coordinator(CoordinatorFault::kReleaseUnconditional,
                 "a late release ends a hold that was acquired again",
                 {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kReleaseLateA,
                  CallerAction::kLateReleaseArrives});
  auto& refused =
      of_coordinator(CoordinatorFault::kRefusedAfterProposal, "rejects a command that it has proposed",
                     {CallerAction::kPut, CallerAction::kRead});
  refused.isolations = refused.in_flight = refused.rounds = 1;
  refused.waits = 2;
  auto& asking =
      of_coordinator(CoordinatorFault::kReadWithoutConfirmation, "an isolated leader answers reads",
                     {CallerAction::kPut, CallerAction::kRead});
  asking.isolations = 1;
  asking.waits = 1;
  auto& follower = of_coordinator(CoordinatorFault::kReadAtFollower, "a follower answers reads",
                                  {CallerAction::kPut, CallerAction::kRead});
  follower.isolations = 1;
  follower.isolate_follower = true;
  of_coordinator(CoordinatorFault::kWatchReturnsNewestOnly, "a watch returns only the newest event",
                 {CallerAction::kPut, CallerAction::kWatch});
  of_coordinator(CoordinatorFault::kWatchRevisionAhead, "a watch's revision is ahead of its events",
                 {CallerAction::kPut, CallerAction::kWatch});
  auto& snapshot =
      of_coordinator(CoordinatorFault::kSnapshotNotRestored, "a new member does not restore the snapshot",
                     {CallerAction::kPut, CallerAction::kRead});
  snapshot.wipes = snapshot.kills = 1;
  snapshot.waits = 3;
  snapshot.compact_after_entries = 1;
  of_state(StateMachineLimits::Fault::kResendAppliedTwice, "a retry is applied twice",
           {CallerAction::kPut, CallerAction::kResend});
  of_state(StateMachineLimits::Fault::kFenceReused, "a fence is used again",
           {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kReleaseA});
  auto& expire = of_state(StateMachineLimits::Fault::kExpireRenewed, "a hold ends despite a renewal",
                          {CallerAction::kAcquireA, CallerAction::kAcquireB});
  expire.waits = 2;
  expire.pauses = expire.in_flight = 2;
  auto& conflict =
      of_state(StateMachineLimits::Fault::kConflictBeyondHistory, "a conflict is reported beyond the history",
               {CallerAction::kPut, CallerAction::kResendFirst});
  conflict.waits = 4;
  auto& history = of_state(StateMachineLimits::Fault::kHistoryNotInSnapshot,
                           "the history is not in the snapshot", {CallerAction::kPut, CallerAction::kWatch});
  history.compact_after_entries = 1;
  history.restarts = 1;
  history.waits = 2;
  auto& fence = of_state(StateMachineLimits::Fault::kFenceNotInSnapshot, "the fence is not in the snapshot",
                         {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kReleaseA});
  fence.compact_after_entries = 1;
  fence.restarts = 1;
  fence.waits = 2;
  auto& quorum =
      of_replica(ReplicaOptions::Fault::kReadWithoutQuorum, "a read without confirmation by a majority",
                 {CallerAction::kPut, CallerAction::kRead});
  quorum.isolations = 1;
  quorum.waits = 1;
  auto& shorter = of_replica(ReplicaOptions::Fault::kVoteForOutdatedLog, "a vote for an outdated log",
                             {CallerAction::kPut, CallerAction::kRead});
  shorter.isolations = shorter.kills = 1;
  shorter.isolate_follower = true;
  shorter.waits = 2;
  auto& older = of_replica(ReplicaOptions::Fault::kCommitOlderTerm,
                           "copies of an entry of an earlier term are counted", {});
  older.prepare = ReelectLeaderWithOldPut;
  older.rounds = 3;
  older.dropped_messages = older.isolations = 1;
  older.waits = 1;
  older.depth = 8;
  return mutants;
}

BOOST_AUTO_TEST_CASE(every_injected_fault_is_found_with_its_shortest_trace) {
  for (Mutant& each : Mutants()) {
    Explorer explorer(each.options, each.bounds, 1);
    const std::string violation = explorer.Run();
    BOOST_TEST_MESSAGE(each.name << ": " << explorer.Figures() << ": " << violation);
    BOOST_TEST(!violation.empty(), each.name);
    each.bounds.max_states = 5'000;
    Explorer right({}, each.bounds, 1);  // the same events without the fault
    BOOST_TEST(right.Run() == "", each.name);
  }
}

}  // namespace
}  // namespace curlewdoor::coordination::testing
