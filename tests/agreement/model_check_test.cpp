// Checks the guarantees over all interleavings, and that each deliberate bug is detected; core_checker.hpp
// explores the states.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "core_checker.hpp"

namespace curlewdoor::agreement {
namespace {

// CURLEWDOOR_STATES sets the number of states per case, for deeper manual runs as far as memory allows.
std::size_t StatesPerCase(std::size_t fallback) {
  const char* states = std::getenv("CURLEWDOOR_STATES");
  return states != nullptr ? std::strtoull(states, nullptr, 10) : fallback;
}

struct Case {
  const char* name;
  Limits limits;
};

std::vector<Case> Cases() {
  std::vector<Case> cases;
  const auto add = [&cases](const char* name, std::vector<PlannedPut> planned_puts) -> Limits& {
    Limits limits;
    limits.planned_puts = std::move(planned_puts);
    limits.depth = 60;
    cases.push_back({name, limits});
    return cases.back().limits;
  };
  add("two contents under one version", {{0, 1, 1}, {1, 1, 2}}).retries = 1;
  add("two contents, a crash", {{0, 1, 1}, {1, 1, 2}}).crashes = 1;
  add("one put at two members, another version", {{0, 1, 1}, {1, 1, 1}, {2, 2, 1}}).gets = {};
  add("a resend and another content of old versions", {{2, 1, 1}, {2, 1, 2}, {0, 2, 2}}).seeded = true;
  add("eight concurrent puts",
      {{0, 1, 1}, {1, 1, 2}, {2, 2, 1}, {0, 2, 2}, {1, 3, 1}, {2, 3, 2}, {0, 4, 1}, {1, 4, 2}})
      .retries = 1;
  auto& hang = add("two puts, a crash, a disk that stalls", {{0, 1, 1}, {1, 2, 1}});
  hang.crashes = hang.stalls = 1;
  auto& change = add("a put, a membership change, a crash", {{0, 1, 1}});
  change.proposals = change.crashes = 1;
  auto& slow = add("a put, a membership change, a disk that stalls", {{1, 1, 1}});
  slow.proposals = slow.stalls = 1;
  add("two contents, a membership change", {{0, 1, 1}, {1, 1, 2}}).proposals = 1;
  auto& seeded_change = add("a membership change after chosen versions, another content", {{2, 1, 2}});
  seeded_change.proposals = 1;
  seeded_change.seeded = true;
  add("a put, two membership changes", {{0, 1, 1}}).proposals = 2;
  auto& concurrent = add("two concurrent proposers, a crash", {});
  concurrent.proposals = 2;
  concurrent.crashes = 1;
  auto& wipe = add("a put, a lost disk, its replacement, a crash", {{0, 1, 1}});
  wipe.proposals = wipe.crashes = wipe.wipes = 1;
  auto& second = add("a put, two membership changes, a lost disk", {{0, 1, 1}});
  second.proposals = 2;
  second.wipes = 1;
  auto& growth = add("a put, from three members to four, a crash", {{1, 1, 1}});
  growth.proposals = growth.crashes = 1;
  growth.allow_growth = true;
  auto& leave = add("a put, one member leaves, another loses its disk", {{0, 1, 1}});
  leave.leaves = leave.wipes = 1;
  auto& moved = add("a put, a membership change, one member leaves, another loses its disk", {{0, 1, 1}});
  moved.leaves = moved.wipes = moved.proposals = 1;
  return cases;
}

BOOST_AUTO_TEST_CASE(no_interleaving_breaks_a_promise) {
  for (Case& each : Cases()) {
    each.limits.states = StatesPerCase(200'000);
    Checker checker(CoreOptions::Fault::kNone, each.limits);
    const std::string failure = checker.Run();
    BOOST_TEST_MESSAGE(each.name << ": " << checker.Statistics());
    BOOST_CHECK_MESSAGE(failure.empty(), each.name << ": " << failure);
    BOOST_TEST(checker.states() > 20'000u);
  }
}

struct Mutant {
  CoreOptions::Fault fault;
  const char* name;
  Limits limits;
};

std::vector<Mutant> Mutants() {
  using Fault = CoreOptions::Fault;
  std::vector<Mutant> mutants;
  const auto add = [&mutants](Fault fault, const char* name,
                              std::vector<PlannedPut> planned_puts) -> Limits& {
    Limits limits;
    limits.planned_puts = std::move(planned_puts);
    limits.gets = {};
    limits.depth = 16;
    mutants.push_back({fault, name, limits});
    return mutants.back().limits;
  };
  add(Fault::kAckBeforeSync, "acknowledges before the sync", {{0, 1, 1}}).crashes = 1;
  auto& disk = add(Fault::kIgnoreIncarnation, "counts a wiped disk as a voter", {{0, 1, 1}});
  disk.wipes = 1;
  disk.gets = {2};
  add(Fault::kAcceptWhileSealed, "accepts a put while sealed", {{0, 1, 1}}).proposals = 1;
  add(Fault::kEpochWithoutQuorum, "changes the voters without a quorum", {}).proposals = 2;
  add(Fault::kMajorityOfVisible, "counts a majority of the visible voters", {{0, 1, 1}}).views = 1;
  add(Fault::kReadWithoutQuorum, "reads from one member", {{0, 1, 1}}).gets = {2};
  auto& ballot = add(Fault::kPromiseNotPersisted, "does not store its promise for an epoch", {});
  ballot.proposals = 2;
  ballot.crashes = 1;
  add(Fault::kPromiseNotPersisted, "does not store its promise for the register", {{0, 1, 1}, {1, 1, 2}})
      .crashes = 1;
  add(Fault::kConfirmConflictingPut, "confirms a second content", {{0, 1, 1}, {1, 1, 2}});
  add(Fault::kSnapshotWithoutOutcomes, "omits outcomes from a snapshot", {{2, 1, 2}}).seeded = true;
  add(Fault::kProposeFromLocalRecord, "proposes from its own outdated record", {{2, 1, 2}}).seeded = true;
  add(Fault::kChangeBeforeInstall, "starts a change before a majority has installed the last one", {})
      .proposals = 2;
  auto& leave = add(Fault::kLeaveBeforeHandover, "leaves before the handover is complete", {{0, 1, 1}});
  leave.leaves = leave.wipes = 1;
  return mutants;
}

BOOST_AUTO_TEST_CASE(every_faulty_core_is_caught_with_a_trace) {
  for (Mutant& each : Mutants()) {
    each.limits.states = 1'500'000;
    Checker checker(each.fault, each.limits);
    const std::string failure = checker.Run();
    BOOST_TEST_MESSAGE(each.name << ": " << checker.Statistics() << ": " << failure);
    BOOST_TEST(!failure.empty(), each.name);
    each.limits.states = StatesPerCase(20'000);
    Checker correct(CoreOptions::Fault::kNone, each.limits);  // the same actions without the bug
    BOOST_TEST(correct.Run() == "", each.name);
  }
}

}  // namespace
}  // namespace curlewdoor::agreement
