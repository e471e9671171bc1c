// The state machine alone: tables of commands with their expected results.
#include "coordination/state_machine.hpp"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

namespace curlewdoor::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Step {
  int second = 0;  // of logged time
  Command command;
  CommandResult result;
};

std::string Describe(const CommandResult& result) {
  static const std::vector<std::string> kNames = {"granted", "refused",  "done",      "number",
                                                  "put",     "conflict", "forgotten", "no room"};
  std::string text = kNames.at(result.index());
  if (const auto* granted = std::get_if<LockGranted>(&result)) text += " " + std::to_string(granted->fence);
  if (const auto* number = std::get_if<NumberTaken>(&result)) text += " " + std::to_string(number->value);
  if (const auto* put = std::get_if<KeyPut>(&result)) text += " " + std::to_string(put->revision);
  if (const auto* conflict = std::get_if<KeyConflict>(&result))
    text += " " + std::to_string(conflict->revision);
  return text;
}

// Runs the steps. Each step must also give the same result in a machine restored from a snapshot taken before
// it.
void RunSteps(StateMachine& machine, const std::vector<Step>& steps, const StateMachineLimits& limits = {}) {
  for (std::size_t i = 0; i < steps.size(); ++i) {
    StateMachine restored(limits);
    BOOST_REQUIRE(restored.Restore(machine.Snapshot()));
    BOOST_TEST(restored.Snapshot() == machine.Snapshot());
    const CommandResult result = machine.Apply(seconds(steps[i].second), steps[i].command);
    BOOST_TEST(Describe(result) == Describe(steps[i].result),
               "step " << i << ": " << Describe(result) << " instead of " << Describe(steps[i].result));
    BOOST_TEST(Describe(restored.Apply(seconds(steps[i].second), steps[i].command)) == Describe(result));
    BOOST_TEST(restored.Snapshot() == machine.Snapshot(), "step " << i << " after a snapshot");
  }
}

void RunSteps(const std::vector<Step>& steps, const StateMachineLimits& limits = {}) {
  StateMachine machine(limits);
  RunSteps(machine, steps, limits);
}

PutKey Put(const char* key, const char* value, std::optional<Revision> expected = std::nullopt) {
  return {key, value, expected};
}

BOOST_AUTO_TEST_CASE(a_lock_has_one_holder_at_a_time) {
  RunSteps({{0, AcquireLock{"l", "a", 100}, LockGranted{1}},
            {0, AcquireLock{"l", "b", 100}, LockRefused{}},
            {0, AcquireLock{"l", "a", 100}, LockGranted{1}},
            {0, RenewLock{"l", "a", 1, 100}, Done{}},
            {0, RenewLock{"l", "b", 1, 100}, LockRefused{}},
            {0, RenewLock{"l", "a", 2, 100}, LockRefused{}},
            {0, RenewLock{"other", "a", 1, 100}, LockRefused{}},
            {0, ReleaseLock{"l", "b", 1}, Done{}},
            {0, ReleaseLock{"l", "a", 2}, Done{}},
            {0, AcquireLock{"l", "b", 100}, LockRefused{}},
            {0, ReleaseLock{"l", "a", 1}, Done{}},
            {0, ReleaseLock{"l", "a", 1}, Done{}},
            {0, RenewLock{"l", "a", 1, 100}, LockRefused{}},
            {0, AcquireLock{"l", "b", 100}, LockGranted{2}},
            {0, ReleaseLock{"l", "a", 1}, Done{}},  // delayed: does not end b's hold
            {0, AcquireLock{"l", "a", 100}, LockRefused{}}});
}

BOOST_AUTO_TEST_CASE(a_former_holder_gets_a_new_fence) {
  RunSteps({{0, AcquireLock{"l", "a", 100}, LockGranted{1}},
            {0, ReleaseLock{"l", "a", 1}, Done{}},
            {0, AcquireLock{"l", "a", 100}, LockGranted{2}},
            {0, RenewLock{"l", "a", 1, 100}, LockRefused{}},
            {0, ExpireLock{"l", 2, 0}, Done{}},
            {0, AcquireLock{"l", "a", 100}, LockGranted{3}},
            {0, ReleaseLock{"l", "a", 2}, Done{}},
            {0, AcquireLock{"l", "b", 100}, LockRefused{}},
            {0, AcquireLock{"m", "b", 100}, LockGranted{4}}});
}

BOOST_AUTO_TEST_CASE(a_hold_ends_only_if_nothing_renewed_it) {
  RunSteps({{0, AcquireLock{"l", "a", 100}, LockGranted{1}},
            {0, RenewLock{"l", "a", 1, 100}, Done{}},
            {0, ExpireLock{"l", 1, 0}, Done{}},
            {0, AcquireLock{"l", "b", 100}, LockRefused{}},
            {0, AcquireLock{"l", "a", 100}, LockGranted{1}},
            {0, ExpireLock{"l", 1, 1}, Done{}},
            {0, RenewLock{"l", "a", 1, 100}, Done{}},  // still held
            {0, ExpireLock{"l", 2, 3}, Done{}},        // a different fence
            {0, ExpireLock{"none", 1, 3}, Done{}},
            {0, AcquireLock{"l", "b", 100}, LockRefused{}},
            {0, ExpireLock{"l", 1, 3}, Done{}},
            {0, AcquireLock{"l", "b", 100}, LockGranted{2}},
            {0, ExpireLock{"l", 1, 0}, Done{}},  // the previous hold
            {0, RenewLock{"l", "b", 2, 100}, Done{}}});
}

BOOST_AUTO_TEST_CASE(a_hold_lasts_the_longest_that_was_asked_for) {
  StateMachine machine{StateMachineLimits{}};
  machine.Apply(seconds(0), AcquireLock{"l", "a", 5000});
  machine.Apply(seconds(0), RenewLock{"l", "a", 1, 100});
  BOOST_TEST(machine.holds().at("l").hold_ms == 5000u);
  BOOST_TEST(machine.holds().at("l").renewals == 1u);
  machine.Apply(seconds(0), AcquireLock{"l", "b", 9000});
  BOOST_TEST(machine.holds().at("l").hold_ms == 5000u);
  BOOST_TEST(machine.holds().at("l").renewals == 1u);
}

BOOST_AUTO_TEST_CASE(numbers_rise_by_name) {
  RunSteps({{0, TakeNumber{"n"}, NumberTaken{1}},
            {0, TakeNumber{"n"}, NumberTaken{2}},
            {0, TakeNumber{"m"}, NumberTaken{1}},
            {99, TakeNumber{"n"}, NumberTaken{3}}});
}

BOOST_AUTO_TEST_CASE(a_put_applies_to_the_expected_revision_alone) {
  RunSteps({{0, Put("g.a", "1", 0), KeyPut{1}},
            {0, Put("g.a", "2", 0), KeyConflict{1}},
            {0, Put("g.b", "3", 0), KeyPut{2}},
            {0, Put("g.a", "4", 2), KeyConflict{1}},
            {0, Put("g.a", "5", 1), KeyPut{3}},
            {0, Put("g.a", "6", 1), KeyConflict{3}},
            {0, Put("g.a", "7"), KeyPut{4}},
            {0, Put("g.none", "8", 1), KeyConflict{0}},
            {0, Put("h.a", "9", 0), KeyPut{1}},  // each group has its own revisions
            {0, Put("g", "10", 0), KeyPut{1}},   // a name without a dot is a group
            {0, Put("g.", "11", 0), KeyPut{5}},  // "g." is in group "g."
            {0, Put("g.a.b", "12", 0), KeyPut{6}}});
}

BOOST_AUTO_TEST_CASE(a_retried_put_returns_its_first_revision) {
  RunSteps({{0, Put("g.a", "1", 0), KeyPut{1}},
            {0, Put("g.a", "1", 0), KeyPut{1}},
            {0, Put("g.a", "2", 1), KeyPut{2}},
            {0, Put("g.b", "3"), KeyPut{3}},
            {1, Put("g.a", "1", 0), KeyPut{1}},
            {1, Put("g.a", "1"), KeyPut{1}},
            {1, Put("g.a", "2", 1), KeyPut{2}},
            {1, Put("g.b", "1", 3), KeyPut{4}},    // the same value under another key is another put
            {999, Put("g.b", "1", 3), KeyPut{4}},  // a key's newest put is never forgotten
            {999, Put("g.a", "2", 1), KeyPut{2}}});
}

BOOST_AUTO_TEST_CASE(a_conflict_is_reported_only_if_the_outcome_is_known) {
  StateMachineLimits limits;
  limits.history = seconds(10);
  RunSteps(
      {{0, Put("g.a", "1", 0), KeyPut{1}},
       {5, Put("g.a", "2", 1), KeyPut{2}},
       {9, Put("g.a", "3", 2), KeyPut{3}},
       {9, Put("g.a", "x", 0), KeyConflict{3}},
       {9, Put("g.a", "1", 0), KeyPut{1}},
       {10, Put("g.a", "1", 0), OutcomeExpired{}},  // revision 1 is dropped now
       {10, Put("g.a", "x", 0), OutcomeExpired{}},
       {10, Put("g.a", "x", 1), KeyConflict{3}},  // could only have become 2 or 3, and both are known
       {10, Put("g.a", "2", 1), KeyPut{2}},
       {15, Put("g.a", "2", 1), OutcomeExpired{}},
       {15, Put("g.a", "x", 2), KeyConflict{3}},
       {99, Put("g.a", "x", 2), KeyConflict{3}},  // 3 is dropped from the history, but is the current put
       {99, Put("g.a", "4", 3), KeyPut{4}},
       {99, Put("g.a", "x", 2), OutcomeExpired{}},
       {99, Put("g.a", "3", 2), OutcomeExpired{}},
       {99, Put("g.a", "x", 3), KeyConflict{4}},
       {99, Put("g.b", "x", 0), KeyPut{5}},
       {99, Put("g.b", "y", 0), KeyConflict{5}}},  // histories of other keys do not matter
      limits);
}

BOOST_AUTO_TEST_CASE(a_put_that_was_refused_never_takes_effect) {
  StateMachineLimits limits;
  limits.rejected_puts = 2;
  RunSteps({{0, Put("g.a", "early", 2), KeyConflict{0}},
            {0, Put("g.a", "1", 0), KeyPut{1}},
            {0, Put("g.b", "b", 3), KeyConflict{0}},
            {0, Put("g.a", "early", 2), KeyConflict{1}},   // retried: not stored twice
            {0, Put("g.a", "much", 9), OutcomeExpired{}},  // no room for another rejected put
            {0, Put("g.a", "old", 0), KeyConflict{1}},     // does not have to be stored
            {0, Put("g.a", "2", 1), KeyPut{2}},
            {0, Put("g.a", "early", 2), KeyConflict{2}},  // its expected revision is reached
            {0, Put("g.a", "3", 2), KeyPut{3}},  // another put with this expected revision was not rejected
            {0, Put("g.a", "early", 2), KeyConflict{3}},
            {0, Put("g.a", "much", 9), KeyConflict{3}},  // the stored put was released
            {0, Put("g.b", "b", 3), KeyConflict{0}}},
           limits);
}

struct ReadCase {
  int second = 0;
  Revision after = 0;
  bool too_old = false;
  std::vector<Revision> events;
};

BOOST_AUTO_TEST_CASE(a_watch_is_complete_or_too_old) {
  StateMachineLimits limits;
  limits.history = seconds(10);
  StateMachine machine(limits);
  RunSteps(machine,
           {{0, Put("g.a", "1"), KeyPut{1}},
            {1, Put("h.a", "1"), KeyPut{1}},
            {2, Put("g.b", "2"), KeyPut{2}},
            {4, Put("g.a", "3"), KeyPut{3}},
            {4, Put("g.c", "4"), KeyPut{4}}},
           limits);
  const std::vector<ReadCase> cases = {{9, 0, false, {}}, {9, 1, false, {2, 3, 4}}, {9, 3, false, {4}},
                                       {9, 4, false, {}}, {9, 9, false, {}},        {11, 1, false, {2, 3, 4}},
                                       {12, 1, true, {}}, {12, 2, false, {3, 4}},   {13, 3, false, {4}},
                                       {14, 2, true, {}}, {14, 3, true, {}},        {14, 4, false, {}},
                                       {14, 0, false, {}}};
  for (const ReadCase& each_case : cases) {
    machine.Apply(seconds(each_case.second), TakeNumber{"time"});
    StateMachine restored(limits);
    BOOST_REQUIRE(restored.Restore(machine.Snapshot()));
    for (const StateMachine* each : {&machine, &restored}) {
      const auto seen = each->EventsAfter("g.", each_case.after);
      std::vector<Revision> revisions;
      for (const PutEvent& event : seen.events) revisions.push_back(event.revision);
      BOOST_TEST(seen.revision == 4u);
      BOOST_TEST(seen.too_old == each_case.too_old,
                 "second " << each_case.second << " after " << each_case.after);
      BOOST_TEST(revisions == each_case.events, boost::test_tools::per_element());
    }
  }
  BOOST_TEST(machine.EventsAfter("none.", 3).revision == 0u);
  BOOST_TEST(!machine.EventsAfter("none.", 3).too_old);
  BOOST_TEST(machine.EventsAfter("g.", 4).events.empty());
}

BOOST_AUTO_TEST_CASE(commands_beyond_a_limit_change_nothing) {
  StateMachineLimits limits;
  limits.locks = limits.numbers = limits.keys = 1;
  limits.key_bytes = limits.history_bytes = 250;  // three puts of 67 to 69 bytes fit into the history
  limits.history = seconds(10);
  StateMachine machine(limits);
  RunSteps(machine,
           {{0, AcquireLock{"l", "a", 100}, LockGranted{1}},
            {0, TakeNumber{"n"}, NumberTaken{1}},
            {0, Put("g.a", "1"), KeyPut{1}},
            {0, Put("g.a", "2"), KeyPut{2}},
            {0, Put("g.a", "3"), KeyPut{3}}},
           limits);
  const std::string before = machine.Snapshot();
  RunSteps(machine,
           {{0, AcquireLock{"m", "a", 100}, LimitReached{}},
            {0, TakeNumber{"m"}, LimitReached{}},
            {0, Put("g.b", "4"), LimitReached{}},  // a second key
            {0, Put("h.a", "4"), LimitReached{}},  // a second group
            {0, Put("g.a", "5"), LimitReached{}},  // the history
            {0, Put("g.a", std::string(300, 'x').c_str()), LimitReached{}},
            {0, Put("g.a", "x", 1), KeyConflict{3}},
            {0, Put("g.a", "2"), KeyPut{2}}},
           limits);
  BOOST_TEST(machine.Snapshot() == before);
  RunSteps(machine,
           {{0, TakeNumber{"n"}, NumberTaken{2}},
            {0, ReleaseLock{"l", "a", 1}, Done{}},
            {0, AcquireLock{"m", "a", 100}, LockGranted{2}},
            {10, Put("g.a", "5"), KeyPut{4}}},
           limits);
}

// Random commands of all kinds at increasing times.
std::vector<std::pair<LoggedTime, Command>> RandomCommands(std::uint64_t seed, std::size_t count) {
  std::mt19937_64 random(seed);
  const auto pick = [&](std::uint64_t most) { return random() % most; };
  std::vector<std::pair<LoggedTime, Command>> commands;
  LoggedTime now{};
  for (std::size_t i = 0; i < count; ++i) {
    now += milliseconds(pick(400));
    const std::string lock = "l" + std::to_string(pick(3)), holder = "h" + std::to_string(pick(2));
    const std::string key =
        (pick(4) == 0 ? "k" : "g" + std::to_string(pick(3)) + ".") + std::to_string(pick(3));
    const std::string value = std::to_string(pick(count));
    switch (pick(6)) {
      case 0:
        commands.emplace_back(now, AcquireLock{lock, holder, pick(9000)});
        break;
      case 1:
        commands.emplace_back(now, RenewLock{lock, holder, pick(20), pick(9000)});
        break;
      case 2:
        commands.emplace_back(now, ReleaseLock{lock, holder, pick(20)});
        break;
      case 3:
        commands.emplace_back(now, ExpireLock{lock, pick(20), pick(2)});
        break;
      case 4:
        commands.emplace_back(now, TakeNumber{lock});
        break;
      default:
        commands.emplace_back(now,
                              pick(2) == 0 ? PutKey{key, value, std::nullopt} : PutKey{key, value, pick(30)});
    }
  }
  return commands;
}

BOOST_AUTO_TEST_CASE(machines_with_and_without_snapshots_stay_the_same) {
  StateMachineLimits limits;
  limits.history = seconds(5);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    StateMachine straight(limits), restored(limits);
    std::size_t count = 0;
    for (const auto& [at, command] : RandomCommands(seed, 400)) {
      if (++count % 7 == 0) {
        StateMachine next(limits);
        BOOST_REQUIRE(next.Restore(restored.Snapshot()));
        restored = next;
      }
      BOOST_TEST(Describe(straight.Apply(at, command)) == Describe(restored.Apply(at, command)));
      BOOST_REQUIRE(straight.Snapshot() == restored.Snapshot());
      BOOST_REQUIRE(DecodeCommand(Encode(command)) == command);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_damaged_snapshot_is_refused_or_usable) {
  StateMachineLimits limits;
  limits.history = seconds(5);
  StateMachine machine(limits);
  const auto commands = RandomCommands(3, 60);
  for (const auto& [at, command] : commands) machine.Apply(at, command);
  const std::string whole = machine.Snapshot();
  for (std::size_t length = 0; length < whole.size(); ++length) {
    StateMachine other = machine;
    BOOST_REQUIRE(!other.Restore(whole.substr(0, length)));
    BOOST_REQUIRE(other.Snapshot() == whole);
  }
  BOOST_TEST(!StateMachine(limits).Restore(whole + '\0'));
  std::mt19937_64 random(5);
  std::size_t refused = 0;
  for (int trial = 0; trial < 20'000; ++trial) {
    std::string bytes = whole;
    for (int changes = 1 + trial % 3; changes > 0; --changes)
      bytes[random() % bytes.size()] = static_cast<char>(random() % 4 == 0 ? random() % 3 : random());
    StateMachine other = machine;
    if (!other.Restore(bytes)) {
      ++refused;
      BOOST_REQUIRE(other.Snapshot() == whole);
      continue;
    }
    for (const auto& [at, command] : RandomCommands(7, 20)) other.Apply(commands.back().first + at, command);
  }
  BOOST_TEST(refused > 2'000u);
}

}  // namespace
}  // namespace curlewdoor::coordination
