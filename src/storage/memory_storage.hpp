// Storage in memory, for core members without a data directory and for tests, which can make it fail, stall
// or crash.
#pragma once

#include <deque>
#include <map>

#include "storage/storage.hpp"

namespace curlewdoor::storage {

// Holds the records of one member in memory. Writes complete within Write() unless stalled.
class MemoryStorage : public Storage {
 public:
  MemoryStorage();
  ~MemoryStorage() override;
  MemoryStorage(const MemoryStorage&) = delete;
  MemoryStorage& operator=(const MemoryStorage&) = delete;

  std::optional<std::string> Read(const std::string& key) override;
  bool Write(std::uint64_t id, Records records) override;
  std::vector<WriteResult> Drain() override;
  int fd() const override { return pipe_[0]; }

  void FailWrites(bool fail) { fail_writes_ = fail; }  // while true, writes fail
  void StallWrites(bool stall);                        // while true, writes stay pending
  // Simulates a process crash. Pending writes and results not yet drained are dropped; if `persist_pending`
  // is true, the records of pending writes are stored nevertheless. Also ends stalling and failing.
  void Crash(bool persist_pending);

 private:
  // Applies or fails the pending writes, unless stalled.
  void ApplyPending();

  std::map<std::string, std::string> records_;
  std::deque<std::pair<std::uint64_t, Records>> pending_;
  std::vector<WriteResult> results_;
  bool fail_writes_ = false, stall_writes_ = false;
  int pipe_[2] = {-1, -1};
};

}  // namespace curlewdoor::storage
