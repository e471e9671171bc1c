// A replica's log: a snapshot and the entries behind it, with the configurations among them. Pure.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "coordination/replica_message.hpp"

namespace curlewdoor::coordination {

class Log {
 public:
  explicit Log(ReplicaState& from_disk);  // takes the snapshot and the entries out of it

  std::uint64_t snapshot_index() const { return snapshot_index_; }  // of the snapshot; entries come behind it
  std::uint64_t last_index() const { return snapshot_index_ + entries_.size(); }
  std::uint64_t last_term() const { return TermAt(last_index()); }
  // begin() <= index <= last().
  std::uint64_t TermAt(std::uint64_t index) const;
  std::chrono::milliseconds TimeAt(std::uint64_t index) const;
  const LogEntry& At(std::uint64_t index) const { return entries_[index - snapshot_index_ - 1]; }

  void Append(LogEntry entry);
  void Truncate(std::uint64_t last_kept);  // drops all entries behind it
  // `bytes` is the state after the entry at `index`, which is in the log.
  void Compact(std::uint64_t index, std::string bytes);
  // The snapshot of another replica; drops all entries.
  void ReplaceWithSnapshot(std::uint64_t index, std::uint64_t term, std::chrono::milliseconds time,
                           std::vector<Member> voters, std::string bytes);
  // The configuration before any entry. Only of an empty log.
  void Bootstrap(std::vector<Member> voters);

  const std::vector<Member>& voters() const { return voters_; }    // of the newest configuration; empty: none
  std::uint64_t voters_index() const { return voters_index_; }     // of its entry; begin(): the snapshot's
  const std::vector<Member>& VotersAt(std::uint64_t index) const;  // in force there; begin() <= index
  const std::vector<Member>& snapshot_voters() const { return snapshot_voters_; }
  const std::string& snapshot() const { return snapshot_; }
  std::chrono::milliseconds snapshot_time() const { return snapshot_time_; }
  std::size_t command_bytes() const { return command_bytes_; }  // of commands behind the snapshot

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
