// A replica's records in storage. Entries stand in a ring of keys, so that nothing has to be deleted: an
// entry takes the place of the one kLogSlots before it, which a snapshot has made dispensable in the same
// write or an earlier one. Every write holds the hard state, which says which entries count.
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

using RecordBatch = std::vector<std::pair<std::string, std::string>>;  // key, bytes

// `disk`: the number of the life that writes.
RecordBatch EncodeHardState(std::uint64_t disk, std::uint64_t term,
                            const std::optional<agreement::Life>& voted_for, std::uint64_t snapshot_index,
                            std::uint64_t last_index);
std::pair<std::string, std::string> EncodeEntry(std::uint64_t index, const LogEntry& entry);
std::pair<std::string, std::string> EncodeSnapshot(std::uint64_t index, std::uint64_t term,
                                                   std::chrono::milliseconds time,
                                                   const std::vector<Member>& voters,
                                                   const std::string& bytes);

}  // namespace curlewdoor::coordination
