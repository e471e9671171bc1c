// A replica's log in memory: a snapshot, the entries after it, and the voter configurations among them. Does
// no I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "coordination/replica_message.hpp"

namespace curlewdoor::coordination {

// The entries and the snapshot that they follow. Indexes are those of the replicated log, from 1.
class Log {
 public:
  explicit Log(ReplicaState& from_disk);  // moves the snapshot and the entries out

  std::uint64_t snapshot_index() const { return snapshot_index_; }  // entries start after it
  std::uint64_t last_index() const { return snapshot_index_ + entries_.size(); }
  std::uint64_t last_term() const { return TermAt(last_index()); }
  // snapshot_index() <= index <= last_index().
  std::uint64_t TermAt(std::uint64_t index) const;
  std::chrono::milliseconds TimeAt(std::uint64_t index) const;
  const LogEntry& At(std::uint64_t index) const { return entries_[index - snapshot_index_ - 1]; }

  void Append(LogEntry entry);
  void Truncate(std::uint64_t last_kept);  // drops all entries after it
  // Drops the entries up to `index`, which is in the log; `bytes` is the state after it.
  void Compact(std::uint64_t index, std::string bytes);
  // Installs another replica's snapshot and drops all entries.
  void ReplaceWithSnapshot(std::uint64_t index, std::uint64_t term, std::chrono::milliseconds time,
                           std::vector<Member> voters, std::string bytes);
  // Sets the configuration that applies before any entry. Only for an empty log.
  void Bootstrap(std::vector<Member> voters);

  const std::vector<Member>& voters() const {
    return voters_;
  }  // newest configuration; empty if there is none
  std::uint64_t voters_index() const {
    return voters_index_;
  }  // its entry; snapshot_index() if it is in the snapshot
  const std::vector<Member>& VotersAt(std::uint64_t index) const;  // in force at `index` >= snapshot_index()
  const std::vector<Member>& snapshot_voters() const { return snapshot_voters_; }
  const std::string& snapshot() const { return snapshot_; }
  std::chrono::milliseconds snapshot_time() const { return snapshot_time_; }
  std::size_t command_bytes() const {
    return command_bytes_;
  }  // total size of the commands after the snapshot

 private:
  void UpdateVoters();

  std::uint64_t snapshot_index_ = 0, snapshot_term_ = 0;
  std::chrono::milliseconds snapshot_time_{};
  std::vector<Member> snapshot_voters_, voters_;
  std::uint64_t voters_index_ = 0;
  std::string snapshot_;
  std::deque<LogEntry> entries_;
  std::size_t command_bytes_ = 0;
};

}  // namespace curlewdoor::coordination
