#include "coordination/log.hpp"

#include <iterator>
#include <utility>

namespace curlewdoor::coordination {

Log::Log(ReplicaState& from_disk)
    : snapshot_index_(from_disk.snapshot_index),
      snapshot_term_(from_disk.snapshot_term),
      snapshot_time_(from_disk.snapshot_time),
      snapshot_voters_(std::move(from_disk.snapshot_voters)),
      snapshot_(std::move(from_disk.snapshot)),
      entries_(std::make_move_iterator(from_disk.entries.begin()),
               std::make_move_iterator(from_disk.entries.end())) {
  from_disk.entries.clear();
  for (const LogEntry& entry : entries_) command_bytes_ += entry.command.size();
  UpdateVoters();
}

std::uint64_t Log::TermAt(std::uint64_t index) const {
  return index == snapshot_index_ ? snapshot_term_ : At(index).term;
}

std::chrono::milliseconds Log::TimeAt(std::uint64_t index) const {
  return index == snapshot_index_ ? snapshot_time_ : At(index).logged_time;
}

void Log::Append(LogEntry entry) {
  command_bytes_ += entry.command.size();
  entries_.push_back(std::move(entry));
  if (entries_.back().voters.empty()) return;
  voters_ = entries_.back().voters;
  voters_index_ = last_index();
}

void Log::Truncate(std::uint64_t last_kept) {
  while (last_index() > last_kept) {
    command_bytes_ -= entries_.back().command.size();
    entries_.pop_back();
  }
  if (voters_index_ > last_kept) UpdateVoters();
}

void Log::Compact(std::uint64_t index, std::string bytes) {
  if (index <= snapshot_index_) return;
  snapshot_term_ = TermAt(index);
  snapshot_time_ = TimeAt(index);
  while (snapshot_index_ < index) {
    LogEntry& first = entries_.front();
    if (!first.voters.empty()) snapshot_voters_ = std::move(first.voters);
    command_bytes_ -= first.command.size();
    entries_.pop_front();
    ++snapshot_index_;
  }
  snapshot_ = std::move(bytes);
  UpdateVoters();
}

void Log::ReplaceWithSnapshot(std::uint64_t index, std::uint64_t term, std::chrono::milliseconds time,
                              std::vector<Member> voters, std::string bytes) {
  entries_.clear();
  command_bytes_ = 0;
  snapshot_index_ = index;
  snapshot_term_ = term;
  snapshot_time_ = time;
  snapshot_voters_ = std::move(voters);
  snapshot_ = std::move(bytes);
  UpdateVoters();
}

void Log::Bootstrap(std::vector<Member> voters) {
  snapshot_voters_ = std::move(voters);
  UpdateVoters();
}

const std::vector<Member>& Log::VotersAt(std::uint64_t index) const {
  while (index > snapshot_index_ && At(index).voters.empty()) --index;
  return index > snapshot_index_ ? At(index).voters : snapshot_voters_;
}

void Log::UpdateVoters() {
  voters_index_ = last_index();
  while (voters_index_ > snapshot_index_ && At(voters_index_).voters.empty()) --voters_index_;
  voters_ = VotersAt(voters_index_);
}

}  // namespace curlewdoor::coordination
