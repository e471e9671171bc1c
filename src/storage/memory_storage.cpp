#include "storage/memory_storage.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace curlewdoor::storage {

MemoryStorage::MemoryStorage() {
  if (pipe2(pipe_, O_CLOEXEC | O_NONBLOCK) != 0)
    throw StorageError("can't create the notification pipe of a memory storage");
}

MemoryStorage::~MemoryStorage() {
  close(pipe_[0]);
  close(pipe_[1]);
}

std::optional<std::string> MemoryStorage::Read(const std::string& key) {
  auto found = records_.find(key);
  if (found == records_.end()) return std::nullopt;
  return found->second;
}

bool MemoryStorage::Write(std::uint64_t id, Records records) {
  if (pending_.size() + results_.size() >= kMaxPendingWrites) return false;
  pending_.emplace_back(id, std::move(records));
  ApplyPending();
  return true;
}

void MemoryStorage::ApplyPending() {
  while (!stall_writes_ && !pending_.empty()) {
    auto [id, records] = std::move(pending_.front());
    pending_.pop_front();
    if (!fail_writes_) {
      for (auto& [key, bytes] : records) records_[key] = std::move(bytes);
    }
    results_.push_back({id, !fail_writes_, fail_writes_ ? "refused" : ""});
    if (write(pipe_[1], "r", 1) != 1) continue;  // a full pipe is already readable
  }
}

std::vector<WriteResult> MemoryStorage::Drain() {
  char bytes[kMaxPendingWrites];
  while (read(pipe_[0], bytes, sizeof bytes) > 0) {
  }
  return std::exchange(results_, {});
}

void MemoryStorage::StallWrites(bool stall) {
  stall_writes_ = stall;
  ApplyPending();
}

void MemoryStorage::Crash(bool persist_pending) {
  for (auto& [id, records] : pending_) {
    for (auto& [key, bytes] : records) {
      if (persist_pending) records_[key] = std::move(bytes);
    }
  }
  pending_.clear();
  Drain();
  stall_writes_ = fail_writes_ = false;
}

}  // namespace curlewdoor::storage
