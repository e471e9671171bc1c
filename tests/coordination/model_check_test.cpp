// What every order of events keeps, and what a member that does wrong breaks; the walk is explorer.hpp.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "explorer.hpp"

namespace curlewdoor::coordination::testing {
namespace {

// Deeper by hand: CURLEWDOOR_STATES=n of each case; no level is begun beyond.
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
  auto& lock = add("a lock, time, a cut leader", {CallerAction::kAcquireA, CallerAction::kAcquireB});
  lock.waits = 4;
  lock.isolations = lock.pauses = lock.in_flight = 1;
  auto& renewed =
      add("a lock, renewals, slow messages, a killed leader",
          {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kRenewA, CallerAction::kReleaseA});
  renewed.waits = 3;
  renewed.pauses = renewed.in_flight = renewed.kills = 1;
  auto& fences = add("a lock, snapshots, restarts, a lost disk",
                     {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kReleaseA});
  fences.waits = 2;
  fences.restarts = fences.wipes = fences.kills = 1;
  fences.compact_after_entries = 1;
  auto& puts =
      add("puts and resends, a cut leader", {CallerAction::kPut, CallerAction::kResend, CallerAction::kRead});
  puts.waits = 2;
  puts.isolations = puts.in_flight = puts.rounds = 1;
  auto& numbers = add("a number, a read, a cut follower, a killed leader",
                      {CallerAction::kNumber, CallerAction::kPut, CallerAction::kRead});
  numbers.waits = 2;
  numbers.isolations = numbers.kills = 1;
  numbers.isolate_follower = true;
  auto& watches = add("puts, a watch, snapshots, restarts, a lost disk",
                      {CallerAction::kPut, CallerAction::kResend, CallerAction::kWatch});
  watches.waits = 2;
  watches.restarts = watches.wipes = watches.kills = 1;
  watches.compact_after_entries = 1;
  auto& rounds = add("puts, one round at a time, a cut leader", {CallerAction::kPut, CallerAction::kResend});
  rounds.rounds = rounds.in_flight = 3;
  rounds.waits = rounds.isolations = rounds.kills = 1;
  auto& forgotten =
      add("puts and resends beyond the history",
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

// One round at a time, until one of these is the newest that has won an election.
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

// The first leader has a put that no other has heard of; another member has led since and has told nobody;
// the first one has been elected again, by the third.
void ReelectLeaderWithOldPut(SimulatedCluster& cluster) {
  const std::size_t first = *cluster.Leader();
  cluster.Isolate(first);
  cluster.Issue(first, CallerAction::kPut);
  cluster.Settle();
  cluster.Isolate(RunUntilElected(cluster, {(first + 1) % kMembers, (first + 2) % kMembers}));
  cluster.Settle();
  RunUntilElected(cluster, {first});
  cluster.Round();  // the third one says what it lacks
  cluster.Round();  // and is sent the put, and the new leader's own entry
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
  auto& waits =
      of_coordinator(CoordinatorFault::kNewLeaderExpiresHolds, "a new leader doesn't wait for holds",
                     {CallerAction::kAcquireA, CallerAction::kAcquireB});
  waits.kills = 1;
  waits.waits = 2;
  of_coordinator(CoordinatorFault::kHoldExpiresEarly, "a hold ends before its caller's count",
                 {CallerAction::kAcquireA, CallerAction::kAcquireB})
      .waits = 2;
  of_coordinator(CoordinatorFault::kRenewalIgnored, "a renewal doesn't move the end",
                 {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kRenewA})
      .waits = 3;
  auto& refused = of_coordinator(CoordinatorFault::kRefusedAfterProposal, "refuses what it has proposed",
                                 {CallerAction::kPut, CallerAction::kRead});
  refused.isolations = refused.in_flight = refused.rounds = 1;
  refused.waits = 2;
  auto& asking = of_coordinator(CoordinatorFault::kReadWithoutConfirmation, "a cut-off leader answers reads",
                                {CallerAction::kPut, CallerAction::kRead});
  asking.isolations = 1;
  asking.waits = 1;
  auto& follower = of_coordinator(CoordinatorFault::kReadAtFollower, "a follower answers reads",
                                  {CallerAction::kPut, CallerAction::kRead});
  follower.isolations = 1;
  follower.isolate_follower = true;
  of_coordinator(CoordinatorFault::kWatchReturnsNewestOnly, "a watch is told the newest event alone",
                 {CallerAction::kPut, CallerAction::kWatch});
  of_coordinator(CoordinatorFault::kWatchRevisionAhead, "a watch's revision is ahead of its events",
                 {CallerAction::kPut, CallerAction::kWatch});
  auto& snapshot =
      of_coordinator(CoordinatorFault::kSnapshotNotRestored, "a new member doesn't take the snapshot",
                     {CallerAction::kPut, CallerAction::kRead});
  snapshot.wipes = snapshot.kills = 1;
  snapshot.waits = 3;
  snapshot.compact_after_entries = 1;
  of_state(StateMachineLimits::Fault::kResendAppliedTwice, "a resend is run twice",
           {CallerAction::kPut, CallerAction::kResend});
  of_state(StateMachineLimits::Fault::kFenceReused, "a fence is used again",
           {CallerAction::kAcquireA, CallerAction::kAcquireB, CallerAction::kReleaseA});
  auto& expire = of_state(StateMachineLimits::Fault::kExpireRenewed, "a hold's end doesn't look at renewals",
                          {CallerAction::kAcquireA, CallerAction::kAcquireB});
  expire.waits = 2;
  expire.pauses = expire.in_flight = 2;
  auto& conflict =
      of_state(StateMachineLimits::Fault::kConflictBeyondHistory, "a conflict is told beyond the history",
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
  auto& quorum = of_replica(ReplicaOptions::Fault::kReadWithoutQuorum, "a read without a majority's word",
                            {CallerAction::kPut, CallerAction::kRead});
  quorum.isolations = 1;
  quorum.waits = 1;
  auto& shorter = of_replica(ReplicaOptions::Fault::kVoteForOutdatedLog, "a vote for a shorter log",
                             {CallerAction::kPut, CallerAction::kRead});
  shorter.isolations = shorter.kills = 1;
  shorter.isolate_follower = true;
  shorter.waits = 2;
  auto& older =
      of_replica(ReplicaOptions::Fault::kCommitOlderTerm, "copies of an older term's entry count", {});
  older.prepare = ReelectLeaderWithOldPut;
  older.rounds = 3;
  older.dropped_messages = older.isolations = 1;
  older.waits = 1;
  older.depth = 8;
  return mutants;
}

BOOST_AUTO_TEST_CASE(every_member_that_does_wrong_is_caught_with_its_shortest_trace) {
  for (Mutant& each : Mutants()) {
    Explorer explorer(each.options, each.bounds, 1);
    const std::string violation = explorer.Run();
    BOOST_TEST_MESSAGE(each.name << ": " << explorer.Figures() << ": " << violation);
    BOOST_TEST(!violation.empty(), each.name);
    each.bounds.max_states = 5'000;
    Explorer right({}, each.bounds, 1);  // the same events, done right
    BOOST_TEST(right.Run() == "", each.name);
  }
}

}  // namespace
}  // namespace curlewdoor::coordination::testing
