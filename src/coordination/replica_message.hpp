// What replicas say to each other, and what each keeps on its disk. Encoded with msgpack; bounded.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "agreement/message.hpp"

namespace curlewdoor::coordination {

using agreement::Member;

inline constexpr std::size_t kMaxVoters = 31;
inline constexpr std::size_t kMaxCommandBytes = 16u << 10;   // bytes of an entry
inline constexpr std::size_t kMaxSnapshotBytes = 32u << 20;  // bytes

struct LogEntry {
  std::uint64_t term = 0;
  std::chrono::milliseconds logged_time{};
  std::string command;         // empty: of the replica itself
  std::vector<Member> voters;  // a configuration, where not empty
  bool operator==(const LogEntry&) const = default;
};

// All that a replica has promised, and its log. Synced before anything is said that rests on it.
struct ReplicaState {
  bool found = false;  // records of this life were there
  std::uint64_t term = 0;
  std::optional<agreement::Life> voted_for;  // in `term`
  std::uint64_t snapshot_index = 0, snapshot_term = 0;
  std::chrono::milliseconds snapshot_time{};
  std::vector<Member> snapshot_voters;  // the configuration at snapshot_index; empty: none is known
  std::string snapshot;
  std::vector<LogEntry> entries;  // from snapshot_index + 1 on
  bool operator==(const ReplicaState&) const = default;
};

// Reads the records that writes of a Replica of this life have left; nullopt: damaged. Without any, or with
// those of another life: an empty state.
std::optional<ReplicaState> DecodeReplicaState(
    std::uint64_t disk, const std::function<std::optional<std::string>(const std::string& key)>& read);
// Keys of all records begin with this.
inline constexpr std::string_view kReplicaKeyPrefix = "coordination/";

struct RequestVote {
  bool pre_vote = false;  // asks only; nothing is promised
  bool transfer = false;  // asked for by the leader itself
  std::uint64_t last_index = 0, last_term = 0;
  bool operator==(const RequestVote&) const = default;
};
struct VoteResponse {
  bool pre_vote = false, granted = false;
  bool operator==(const VoteResponse&) const = default;
};
struct AppendEntries {  // without entries: a heartbeat
  std::uint64_t previous_index = 0, previous_term = 0, commit = 0;
  std::uint64_t round = 0;  // of a leader's heartbeats; answered with it
  std::vector<LogEntry> entries;
  bool operator==(const AppendEntries&) const = default;
};
struct AppendResponse {
  bool ok = false;
  std::uint64_t index = 0;  // ok: synced up to here; else where the leader should look next
  std::uint64_t round = 0;  // of the question
  bool operator==(const AppendResponse&) const = default;
};
struct InstallSnapshot {  // one chunk
  std::uint64_t index = 0, last_term = 0;
  std::chrono::milliseconds time{};
  std::vector<Member> voters;
  std::uint64_t size = 0, offset = 0, round = 0;
  std::string bytes;
  bool operator==(const InstallSnapshot&) const = default;
};
struct InstallSnapshotResponse {
  std::uint64_t index = 0, offset = 0, round = 0;  // bytes that are here; all of them: synced
  bool operator==(const InstallSnapshotResponse&) const = default;
};
struct TimeoutNow {  // stand for election at once
  bool operator==(const TimeoutNow&) const = default;
};

using ReplicaBody = std::variant<RequestVote, VoteResponse, AppendEntries, AppendResponse, InstallSnapshot,
                                 InstallSnapshotResponse, TimeoutNow>;

struct ReplicaMessage {
  Member from;
  agreement::Life to;      // a message for another life of the same machine is dropped
  std::uint64_t term = 0;  // a pre-vote's: the one it would stand in
  ReplicaBody body;
  bool operator==(const ReplicaMessage&) const = default;
};

std::string Encode(const ReplicaMessage& message);
std::optional<ReplicaMessage> DecodeReplicaMessage(std::string_view bytes);

}  // namespace curlewdoor::coordination
