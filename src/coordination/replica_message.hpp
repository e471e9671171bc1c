// The messages between replicas and the state that each stores on its disk. Encoded with msgpack; sizes are
// bounded.
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
inline constexpr std::size_t kMaxCommandBytes = 16u << 10;  // per entry
inline constexpr std::size_t kMaxSnapshotBytes = 32u << 20;

// One entry of the log: a command, a configuration, or neither.
struct LogEntry {
  std::uint64_t term = 0;
  std::chrono::milliseconds logged_time{};
  std::string command;         // empty for the replica's own entries
  std::vector<Member> voters;  // a new configuration if not empty
  bool operator==(const LogEntry&) const = default;
};

// A replica's persistent state: its term, its vote and its log. Synced before any message that depends on it
// is sent.
struct ReplicaState {
  bool found = false;  // records of this incarnation exist
  std::uint64_t term = 0;
  std::optional<agreement::Incarnation> voted_for;  // in `term`
  std::uint64_t snapshot_index = 0, snapshot_term = 0;
  std::chrono::milliseconds snapshot_time{};
  std::vector<Member> snapshot_voters;  // configuration at snapshot_index; empty if none is known
  std::string snapshot;
  std::vector<LogEntry> entries;  // starting at snapshot_index + 1
  bool operator==(const ReplicaState&) const = default;
};

// Reads the records that a Replica of the incarnation with this disk number has written. Returns an empty
// state if there are none or if they belong to another incarnation, and nullopt if they are damaged.
std::optional<ReplicaState> DecodeReplicaState(
    std::uint64_t disk, const std::function<std::optional<std::string>(const std::string& key)>& read);
// Prefix of the keys of all records.
inline constexpr std::string_view kReplicaKeyPrefix = "coordination/";

// Raft RequestVote.
struct RequestVote {
  bool pre_vote = false;  // a query without effect on the voter
  bool transfer = false;  // the candidacy was requested by the leader
  std::uint64_t last_index = 0, last_term = 0;
  bool operator==(const RequestVote&) const = default;
};
// The answer to RequestVote.
struct VoteResponse {
  bool pre_vote = false, granted = false;
  bool operator==(const VoteResponse&) const = default;
};
// Raft AppendEntries; a heartbeat if `entries` is empty.
struct AppendEntries {
  std::uint64_t previous_index = 0, previous_term = 0, commit = 0;
  std::uint64_t round = 0;  // heartbeat round of the leader; returned in the answer
  std::vector<LogEntry> entries;
  bool operator==(const AppendEntries&) const = default;
};
// The answer to AppendEntries.
struct AppendResponse {
  bool ok = false;
  std::uint64_t index = 0;  // ok: synced up to here; otherwise the index for the leader to try next
  std::uint64_t round = 0;  // of the request
  bool operator==(const AppendResponse&) const = default;
};
// One chunk of a snapshot.
struct InstallSnapshot {
  std::uint64_t index = 0, last_term = 0;
  std::chrono::milliseconds time{};
  std::vector<Member> voters;
  std::uint64_t size = 0, offset = 0, round = 0;
  std::string bytes;
  bool operator==(const InstallSnapshot&) const = default;
};
// The answer to InstallSnapshot. `offset` is the number of bytes received; AppendResponse follows once the
// snapshot is synced.
struct InstallSnapshotResponse {
  std::uint64_t index = 0, offset = 0, round = 0;
  bool operator==(const InstallSnapshotResponse&) const = default;
};
// Requests that the receiver stands for election at once.
struct TimeoutNow {
  bool operator==(const TimeoutNow&) const = default;
};

using ReplicaBody = std::variant<RequestVote, VoteResponse, AppendEntries, AppendResponse, InstallSnapshot,
                                 InstallSnapshotResponse, TimeoutNow>;

// A message with its sender and term.
struct ReplicaMessage {
  Member from;
  agreement::Incarnation to;  // messages for another incarnation of the same machine are dropped
  std::uint64_t term = 0;     // for a pre-vote: the term the candidate would stand in
  ReplicaBody body;
  bool operator==(const ReplicaMessage&) const = default;
};

std::string Encode(const ReplicaMessage& message);
// Returns nullopt for malformed bytes and for messages beyond the limits above.
std::optional<ReplicaMessage> DecodeReplicaMessage(std::string_view bytes);

}  // namespace curlewdoor::coordination
