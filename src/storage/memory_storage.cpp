#include "storage/memory_storage.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace curlewdoor::storage {

MemoryStorage::MemoryStorage() {
  if (pipe2(pipe_, O_CLOEXEC | O_NONBLOCK) != 0) throw StorageError("no pipe for a memory storage");
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
  if (waiting_.size() + results_.size() >= kMostWaiting) return false;
  waiting_.emplace_back(id, std::move(records));
  Work();
  return true;
}

void MemoryStorage::Work() {
  while (!hang_ && !waiting_.empty()) {
    auto [id, records] = std::move(waiting_.front());
    waiting_.pop_front();
    if (!refuse_) {
      for (auto& [key, bytes] : records) records_[key] = std::move(bytes);
    }
    results_.push_back({id, !refuse_, refuse_ ? "refused" : ""});
    if (write(pipe_[1], "r", 1) != 1) continue;  // full: readable as it is
  }
}

std::vector<Result> MemoryStorage::Drain() {
  char bytes[kMostWaiting];
  while (read(pipe_[0], bytes, sizeof bytes) > 0) {
  }
  return std::exchange(results_, {});
}

void MemoryStorage::Hang(bool hang) {
  hang_ = hang;
  Work();
}

void MemoryStorage::Crash(bool keep) {
  for (auto& [id, records] : waiting_) {
    for (auto& [key, bytes] : records) {
      if (keep) records_[key] = std::move(bytes);
    }
  }
  waiting_.clear();
  Drain();
  hang_ = refuse_ = false;
}

}  // namespace curlewdoor::storage
