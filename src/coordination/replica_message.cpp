#include "coordination/replica_message.hpp"

#include <algorithm>
#include <tuple>

#include "coordination/packing.hpp"
#include "coordination/replica_records.hpp"

namespace curlewdoor::coordination {

inline auto Fields(LogEntry& v) { return std::tie(v.term, v.logged_time, v.command, v.voters); }
inline auto Fields(RequestVote& v) { return std::tie(v.pre_vote, v.transfer, v.last_index, v.last_term); }
inline auto Fields(VoteResponse& v) { return std::tie(v.pre_vote, v.granted); }
inline auto Fields(AppendEntries& v) {
  return std::tie(v.previous_index, v.previous_term, v.commit, v.round, v.entries);
}
inline auto Fields(AppendResponse& v) { return std::tie(v.ok, v.index, v.round); }
inline auto Fields(InstallSnapshot& v) {
  return std::tie(v.index, v.last_term, v.time, v.voters, v.size, v.offset, v.round, v.bytes);
}
inline auto Fields(InstallSnapshotResponse& v) { return std::tie(v.index, v.offset, v.round); }
inline auto Fields(TimeoutNow&) { return std::tie(); }
inline auto Fields(ReplicaMessage& v) { return std::tie(v.from, v.to, v.term, v.body); }

namespace {

constexpr std::uint32_t kRecordFormat = 1;

// The record that is part of every write.
struct HardState {
  std::uint32_t format = kRecordFormat;
  std::uint64_t disk = 0;
  std::uint64_t term = 0;
  agreement::Incarnation voted_for;  // without a name if there is no vote
  std::uint64_t snapshot_index = 0, last_index = 0;
};
auto Fields(HardState& v) {
  return std::tie(v.format, v.disk, v.term, v.voted_for, v.snapshot_index, v.last_index);
}
struct SnapshotRecord {
  std::uint64_t index = 0, term = 0;
  std::chrono::milliseconds time{};
  std::vector<Member> voters;
  std::string bytes;
};
auto Fields(SnapshotRecord& v) { return std::tie(v.index, v.term, v.time, v.voters, v.bytes); }
struct EntryRecord {
  std::uint64_t index = 0;
  LogEntry entry;
};
auto Fields(EntryRecord& v) { return std::tie(v.index, v.entry); }

const std::string kHardStateKey = std::string(kReplicaKeyPrefix) + "hard";
const std::string kSnapshotKey = std::string(kReplicaKeyPrefix) + "snapshot";

std::string EntryKey(std::uint64_t index) {
  return std::string(kReplicaKeyPrefix) + "log/" + std::to_string(index % kLogSlots);
}

}  // namespace

std::string Encode(const ReplicaMessage& message) { return packing::Pack(message); }

std::optional<ReplicaMessage> DecodeReplicaMessage(std::string_view bytes) {
  auto message = packing::Unpack<ReplicaMessage>(bytes);
  if (!message) return std::nullopt;
  const auto* install = std::get_if<InstallSnapshot>(&message->body);
  if (install != nullptr && (install->size > kMaxSnapshotBytes || install->voters.size() > kMaxVoters))
    return std::nullopt;
  if (const auto* append = std::get_if<AppendEntries>(&message->body)) {
    const bool sound = std::all_of(append->entries.begin(), append->entries.end(), [](const LogEntry& each) {
      return each.voters.size() <= kMaxVoters && each.command.size() <= kMaxCommandBytes;
    });
    if (!sound) return std::nullopt;
  }
  return message;
}

RecordBatch EncodeHardState(std::uint64_t disk, std::uint64_t term,
                            const std::optional<agreement::Incarnation>& voted_for,
                            std::uint64_t snapshot_index, std::uint64_t last_index) {
  return {{kHardStateKey,
           packing::Pack(HardState{kRecordFormat, disk, term, voted_for.value_or(agreement::Incarnation{}),
                                   snapshot_index, last_index})}};
}

std::pair<std::string, std::string> EncodeEntry(std::uint64_t index, const LogEntry& entry) {
  return {EntryKey(index), packing::Pack(EntryRecord{index, entry})};
}

std::pair<std::string, std::string> EncodeSnapshot(std::uint64_t index, std::uint64_t term,
                                                   std::chrono::milliseconds time,
                                                   const std::vector<Member>& voters,
                                                   const std::string& bytes) {
  return {kSnapshotKey, packing::Pack(SnapshotRecord{index, term, time, voters, bytes}, bytes.size() + 512)};
}

std::optional<ReplicaState> DecodeReplicaState(
    std::uint64_t disk, const std::function<std::optional<std::string>(const std::string& key)>& read) {
  ReplicaState state;
  const auto hard_bytes = read(kHardStateKey);
  if (!hard_bytes) return state;
  const auto hard = packing::Unpack<HardState>(*hard_bytes);
  if (hard && hard->disk != disk) return state;
  if (!hard || hard->format != kRecordFormat || hard->last_index < hard->snapshot_index ||
      hard->last_index - hard->snapshot_index >= kLogSlots)
    return std::nullopt;
  state.found = true;
  state.term = hard->term;
  if (!hard->voted_for.node.empty()) state.voted_for = hard->voted_for;
  if (const auto snapshot_bytes = read(kSnapshotKey)) {
    auto snapshot = packing::Unpack<SnapshotRecord>(*snapshot_bytes);
    if (!snapshot || snapshot->index != hard->snapshot_index) return std::nullopt;
    state.snapshot_index = snapshot->index;
    state.snapshot_term = snapshot->term;
    state.snapshot_time = snapshot->time;
    state.snapshot_voters = std::move(snapshot->voters);
    state.snapshot = std::move(snapshot->bytes);
  } else if (hard->snapshot_index != 0) {
    return std::nullopt;
  }
  for (std::uint64_t index = hard->snapshot_index + 1; index <= hard->last_index; ++index) {
    const auto bytes = read(EntryKey(index));
    auto kept = bytes ? packing::Unpack<EntryRecord>(*bytes) : std::nullopt;
    if (!kept || kept->index != index) return std::nullopt;
    state.entries.push_back(std::move(kept->entry));
  }
  return state;
}

}  // namespace curlewdoor::coordination
