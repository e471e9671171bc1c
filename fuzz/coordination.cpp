// Messages of the log's replicas, calls and replies on the link, and what a replica keeps: its records, its
// log's commands and its snapshot. The first byte tells which.
#include <optional>
#include <string>

#include "coordination/call.hpp"
#include "coordination/replica_message.hpp"
#include "coordination/replica_records.hpp"
#include "coordination/state_machine.hpp"
#include "target.hpp"

namespace curlewdoor::coordination {
namespace {

void CheckMessage(std::string_view bytes) {
  const auto message = DecodeReplicaMessage(bytes);
  if (!message) return;
  if (const auto* append = std::get_if<AppendEntries>(&message->body)) {
    for (const LogEntry& entry : append->entries) {
      FUZZ_REQUIRE(entry.command.size() <= kMaxCommandBytes);
      FUZZ_REQUIRE(entry.voters.size() <= kMaxVoters);
    }
  }
  if (const auto* install = std::get_if<InstallSnapshot>(&message->body)) {
    FUZZ_REQUIRE(install->size <= kMaxSnapshotBytes);
    FUZZ_REQUIRE(install->voters.size() <= kMaxVoters);
  }
  FUZZ_REQUIRE(DecodeReplicaMessage(Encode(*message)) == message);
}

// A command is read again as the same, and applied without harm.
void CheckCommand(std::string_view bytes) {
  const auto command = DecodeCommand(bytes);
  if (!command) return;
  FUZZ_REQUIRE(DecodeCommand(Encode(*command)) == command);
  StateMachine state{StateMachineLimits{}};
  state.Apply(LoggedTime(1), *command);
  state.Apply(LoggedTime(2), *command);
  StateMachine again{StateMachineLimits{}};
  FUZZ_REQUIRE(again.Restore(state.Snapshot()));
  FUZZ_REQUIRE(again.Snapshot() == state.Snapshot());
}

void CheckCall(std::string_view bytes) {
  const auto call = DecodeCall(bytes);
  if (call) FUZZ_REQUIRE(DecodeCall(Encode(*call)) == call);
}

void CheckReply(std::string_view bytes) {
  const auto reply = DecodeReply(bytes);
  if (reply) FUZZ_REQUIRE(DecodeReply(Encode(*reply)) == reply);
}

// A state that was taken goes on: it is told again as the same, applies commands and lets history pass.
void CheckSnapshot(std::string_view bytes) {
  StateMachine state{StateMachineLimits{}};
  if (!state.Restore(bytes)) return;
  StateMachine again{StateMachineLimits{}};
  FUZZ_REQUIRE(again.Restore(state.Snapshot()));
  FUZZ_REQUIRE(again.Snapshot() == state.Snapshot());
  state.Apply(LoggedTime(1), PutKey{"g.k", "v", std::nullopt});
  state.Apply(LoggedTime(1), PutKey{"g.k", "w", 1});
  state.EventsAfter("g.", 1);
  state.Apply(LoggedTime(1'000'000'000), TakeNumber{"n"});
}

// Every record is the given one.
void CheckRecord(const std::string& record) {
  constexpr std::uint64_t kDisk = 1;
  const auto read = [&](const std::string& key) -> std::optional<std::string> {
    if (key.ends_with("hard")) return EncodeHardState(kDisk, 2, std::nullopt, 0, 1).front().second;
    return key.ends_with("snapshot") ? std::nullopt : std::optional(record);
  };
  DecodeReplicaState(kDisk, read);
  DecodeReplicaState(kDisk, [&](const std::string&) { return std::optional(record); });
}

}  // namespace

void Check(std::string_view bytes) {
  if (bytes.empty()) return;
  const std::string_view rest = bytes.substr(1);
  switch (bytes[0]) {
    case 'm':
      return CheckMessage(rest);
    case 'c':
      return CheckCommand(rest);
    case 'a':
      return CheckCall(rest);
    case 'r':
      return CheckReply(rest);
    case 's':
      return CheckSnapshot(rest);
    case 'k':
      return CheckRecord(std::string(rest));
    default:
      return;
  }
}

}  // namespace curlewdoor::coordination

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::coordination::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
