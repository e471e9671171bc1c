// A replica's records in storage. Entries are stored in a ring of keys, so that nothing has to be deleted: an
// entry overwrites the one kLogSlots before it, which a snapshot in the same write or an earlier one has made
// obsolete. Every write contains the hard state, which defines the range of valid entries.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/replica_message.hpp"

namespace curlewdoor::coordination {

inline constexpr std::uint64_t kLogSlots = 16'384;

// Records that are written together.
using RecordBatch = std::vector<std::pair<std::string, std::string>>;  // key, bytes

// `disk` is the disk number of the writing incarnation.
RecordBatch EncodeHardState(std::uint64_t disk, std::uint64_t term,
                            const std::optional<agreement::Incarnation>& voted_for,
                            std::uint64_t snapshot_index, std::uint64_t last_index);
std::pair<std::string, std::string> EncodeEntry(std::uint64_t index, const LogEntry& entry);
std::pair<std::string, std::string> EncodeSnapshot(std::uint64_t index, std::uint64_t term,
                                                   std::chrono::milliseconds time,
                                                   const std::vector<Member>& voters,
                                                   const std::string& bytes);

}  // namespace curlewdoor::coordination
