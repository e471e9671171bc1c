// What every order of events keeps, and what a member that does wrong breaks; the walk is explorer.hpp.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "explorer.hpp"

namespace curlewdoor::coordination::testing {
namespace {

// Deeper by hand: CURLEWDOOR_STATES=n of each case; no level is begun beyond.
std::size_t StatesOfACase(std::size_t otherwise) {
  const char* states = std::getenv("CURLEWDOOR_STATES");
  return states != nullptr ? std::strtoull(states, nullptr, 10) : otherwise;
}

struct Case {
  const char* name;
  Bounds bounds;
};

std::vector<Case> Cases() {
  std::vector<Case> cases;
  const auto add = [&cases](const char* name, std::vector<Ask> asks) -> Bounds& {
    Bounds bounds;
    bounds.asks = std::move(asks);
    bounds.depth = 12;
    cases.push_back({name, bounds});
    return cases.back().bounds;
  };
  auto& lock = add("a lock, time, a cut leader", {Ask::kBeginA, Ask::kBeginB});
  lock.waits = 4;
  lock.cuts = lock.pauses = lock.unsettled = 1;
  auto& renewed = add("a lock, renewals, slow messages, a killed leader",
                      {Ask::kBeginA, Ask::kBeginB, Ask::kRenewA, Ask::kFinishA});
  renewed.waits = 3;
  renewed.pauses = renewed.unsettled = renewed.kills = 1;
  auto& fences = add("a lock, snapshots, restarts, a lost disk", {Ask::kBeginA, Ask::kBeginB, Ask::kFinishA});
  fences.waits = 2;
  fences.restarts = fences.wipes = fences.kills = 1;
  fences.compact_after = 1;
  auto& puts = add("puts and resends, a cut leader", {Ask::kPut, Ask::kResend, Ask::kRead});
  puts.waits = 2;
  puts.cuts = puts.unsettled = puts.rounds = 1;
  auto& numbers =
      add("a number, a read, a cut follower, a killed leader", {Ask::kNumber, Ask::kPut, Ask::kRead});
  numbers.waits = 2;
  numbers.cuts = numbers.kills = 1;
  numbers.cut_follower = true;
  auto& watches =
      add("puts, a watch, snapshots, restarts, a lost disk", {Ask::kPut, Ask::kResend, Ask::kWatch});
  watches.waits = 2;
  watches.restarts = watches.wipes = watches.kills = 1;
  watches.compact_after = 1;
  auto& rounds = add("puts, one round at a time, a cut leader", {Ask::kPut, Ask::kResend});
  rounds.rounds = rounds.unsettled = 3;
  rounds.waits = rounds.cuts = rounds.kills = 1;
  auto& forgotten =
      add("puts and resends beyond the history", {Ask::kPut, Ask::kResend, Ask::kResendFirst, Ask::kWatch});
  forgotten.waits = 4;
  forgotten.cuts = 1;
  return cases;
}

BOOST_AUTO_TEST_CASE(no_order_of_events_breaks_a_rule) {
  std::size_t states = 0;
  for (Case& each : Cases()) {
    each.bounds.worlds = StatesOfACase(each.bounds.worlds);
    Explorer explorer({}, each.bounds, 1);
    const std::string broken = explorer.Run();
    BOOST_TEST_MESSAGE(each.name << ": " << explorer.Figures());
    BOOST_CHECK_MESSAGE(broken.empty(), each.name << ": " << broken);
    BOOST_TEST(explorer.complete() >= 4);
    states += explorer.worlds();
  }
  BOOST_TEST_MESSAGE(states << " states in all");
}

struct Mutant {
  std::string name;
  CoordinatorOptions options;
  Bounds bounds;
};

std::vector<Mutant> Mutants() {
  std::vector<Mutant> mutants;
  const auto add = [&mutants](const char* name, std::vector<Ask> asks) -> Mutant& {
    Mutant mutant;
    mutant.name = name;
    mutant.bounds.asks = std::move(asks);
    mutant.bounds.depth = 8;
    mutant.bounds.worlds = 300'000;
    mutants.push_back(std::move(mutant));
    return mutants.back();
  };
  const auto of_coordinator = [&](CoordinatorOptions::Fault fault, const char* name,
                                  std::vector<Ask> asks) -> Bounds& {
    Mutant& mutant = add(name, std::move(asks));
    mutant.options.fault = fault;
    return mutant.bounds;
  };
  const auto of_state = [&](Limits::Fault fault, const char* name, std::vector<Ask> asks) -> Bounds& {
    Mutant& mutant = add(name, std::move(asks));
    mutant.options.limits.fault = fault;
    return mutant.bounds;
  };
  const auto of_replica = [&](ReplicaOptions::Fault fault, const char* name,
                              std::vector<Ask> asks) -> Bounds& {
    Mutant& mutant = add(name, std::move(asks));
    mutant.options.replica.fault = fault;
    return mutant.bounds;
  };
  using Coordinating = CoordinatorOptions::Fault;
  auto& waits = of_coordinator(Coordinating::kNewLeaderDoesNotWait, "a new leader doesn't wait for holds",
                               {Ask::kBeginA, Ask::kBeginB});
  waits.kills = 1;
  waits.waits = 2;
  of_coordinator(Coordinating::kHoldFromSending, "a hold ends before its caller's count",
                 {Ask::kBeginA, Ask::kBeginB})
      .waits = 2;
  of_coordinator(Coordinating::kRenewalNotNoted, "a renewal doesn't move the end",
                 {Ask::kBeginA, Ask::kBeginB, Ask::kRenewA})
      .waits = 3;
  auto& refused = of_coordinator(Coordinating::kRefusedAfterProposal, "refuses what it has proposed",
                                 {Ask::kPut, Ask::kRead});
  refused.cuts = refused.unsettled = refused.rounds = 1;
  refused.waits = 2;
  auto& asking = of_coordinator(Coordinating::kReadWithoutAsking, "a cut-off leader answers reads",
                                {Ask::kPut, Ask::kRead});
  asking.cuts = 1;
  asking.waits = 1;
  auto& follower =
      of_coordinator(Coordinating::kReadAtFollower, "a follower answers reads", {Ask::kPut, Ask::kRead});
  follower.cuts = 1;
  follower.cut_follower = true;
  of_coordinator(Coordinating::kWatchTellsNewest, "a watch is told the newest event alone",
                 {Ask::kPut, Ask::kWatch});
  of_coordinator(Coordinating::kWatchEndsAhead, "a watch's revision is ahead of its events",
                 {Ask::kPut, Ask::kWatch});
  auto& snapshot = of_coordinator(Coordinating::kSnapshotNotRestored,
                                  "a new member doesn't take the snapshot", {Ask::kPut, Ask::kRead});
  snapshot.wipes = snapshot.kills = 1;
  snapshot.waits = 3;
  snapshot.compact_after = 1;
  of_state(Limits::Fault::kResendAppliedTwice, "a resend is run twice", {Ask::kPut, Ask::kResend});
  of_state(Limits::Fault::kFenceReused, "a fence is used again", {Ask::kBeginA, Ask::kBeginB, Ask::kFinishA});
  auto& expire = of_state(Limits::Fault::kExpireRenewed, "a hold's end doesn't look at renewals",
                          {Ask::kBeginA, Ask::kBeginB});
  expire.waits = 2;
  expire.pauses = expire.unsettled = 2;
  auto& conflict = of_state(Limits::Fault::kConflictBeyondHistory, "a conflict is told beyond the history",
                            {Ask::kPut, Ask::kResendFirst});
  conflict.waits = 4;
  auto& history = of_state(Limits::Fault::kHistoryNotInSnapshot, "the history is not in the snapshot",
                           {Ask::kPut, Ask::kWatch});
  history.compact_after = 1;
  history.restarts = 1;
  history.waits = 2;
  auto& fence = of_state(Limits::Fault::kFenceNotInSnapshot, "the fence is not in the snapshot",
                         {Ask::kBeginA, Ask::kBeginB, Ask::kFinishA});
  fence.compact_after = 1;
  fence.restarts = 1;
  fence.waits = 2;
  auto& quorum = of_replica(ReplicaOptions::Fault::kReadWithoutQuorum, "a read without a majority's word",
                            {Ask::kPut, Ask::kRead});
  quorum.cuts = 1;
  quorum.waits = 1;
  auto& shorter = of_replica(ReplicaOptions::Fault::kVoteForShorterLog, "a vote for a shorter log",
                             {Ask::kPut, Ask::kRead});
  shorter.cuts = shorter.kills = 1;
  shorter.cut_follower = true;
  shorter.waits = 2;
  return mutants;
}

BOOST_AUTO_TEST_CASE(every_member_that_does_wrong_is_caught_with_its_shortest_trace) {
  for (Mutant& each : Mutants()) {
    Explorer explorer(each.options, each.bounds, 1);
    const std::string broken = explorer.Run();
    BOOST_TEST_MESSAGE(each.name << ": " << explorer.Figures() << ": " << broken);
    BOOST_TEST(!broken.empty(), each.name);
    each.bounds.worlds = 5'000;
    Explorer right({}, each.bounds, 1);  // the same events, done right
    BOOST_TEST(right.Run() == "", each.name);
  }
}

}  // namespace
}  // namespace curlewdoor::coordination::testing
