// Storage without a disk, for tests: it fails, hangs and crashes when told.
#pragma once

#include <deque>
#include <map>

#include "storage/storage.hpp"

namespace curlewdoor::storage {

class MemoryStorage : public Storage {
 public:
  MemoryStorage();
  ~MemoryStorage() override;
  MemoryStorage(const MemoryStorage&) = delete;
  MemoryStorage& operator=(const MemoryStorage&) = delete;

  std::optional<std::string> Read(const std::string& key) override;
  bool Write(std::uint64_t id, Records records) override;
  std::vector<Result> Drain() override;
  int fd() const override { return pipe_[0]; }

  void Refuse(bool refuse) { refuse_ = refuse; }  // writes from now on fail
  void Hang(bool hang);                           // writes wait until it is false again
  // The process dies; with `keep` the writes that wait reach the disk all the same. No result of them comes.
  void Crash(bool keep);

 private:
  void Work();

  std::map<std::string, std::string> records_;
  std::deque<std::pair<std::uint64_t, Records>> waiting_;
  std::vector<Result> results_;
  bool refuse_ = false, hang_ = false;
  int pipe_[2] = {-1, -1};
};

}  // namespace curlewdoor::storage
