// A disk in memory for tests of the storage: it fails at chosen operations, and a crash drops or tears what
// was not synced.
#pragma once

#include <leveldb/env.h>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace curlewdoor::storage {

// What a crash does to unsynced data. kNone: only the process crashes, and the machine keeps running.
enum class UnsyncedLoss { kNone, kAll, kTorn };

// How syncs of directories go, beside those of files.
enum class DirectorySyncs { kWork, kFail, kHang };

// The content of a file, divided into what a crash keeps and what it may lose. Empty for a directory.
struct SimulatedFile {
  bool is_directory = false;
  std::string synced;
  std::vector<std::string> unsynced;  // appended since the last sync

  std::string Content() const;
  std::size_t size() const;
};
using SimulatedFilePtr = std::shared_ptr<SimulatedFile>;

// Files in memory that follow the rules of docs/core.md, "The disk": the bytes of a file are durable once the
// file is synced; its creation, renaming or removal is durable once the directory is synced. Until then a
// crash keeps or loses each of these changes by itself.
class SimulatedDisk : public leveldb::EnvWrapper {
 public:
  static constexpr char kRoot[] = "/disk";  // the only directory that is always there
  static constexpr char kDirectory[] = "/disk/core";

  SimulatedDisk() : EnvWrapper(leveldb::Env::Default()) {}

  // Makes operations `from` (inclusive) to `to` (exclusive) fail, counted from this call.
  void FailAt(std::uint64_t from, std::uint64_t to);
  std::uint64_t operations() const;
  // Limits the total size of all files, in bytes.
  void SetCapacity(std::size_t bytes);
  std::size_t peak_bytes() const;
  // How many writes went to a log whose name wasn't durable yet.
  std::uint64_t writes_to_unsynced_logs() const;
  // kHang lasts until the next call.
  void SetDirectorySyncs(DirectorySyncs how);
  // Simulates a crash. No storage may have the disk open.
  void Crash(UnsyncedLoss loss, std::mt19937_64& random);
  // Returns a copy of the disk as a crash at this moment would leave it. A storage may have this disk open.
  std::unique_ptr<SimulatedDisk> CrashedCopy(UnsyncedLoss loss, std::mt19937_64& random) const;
  // Returns false if the operation fails or there is no such directory.
  bool SyncDirectory(const std::string& directory);

  leveldb::Status NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) override;
  leveldb::Status NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) override;
  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
  bool FileExists(const std::string& name) override;
  // In no particular order, like readdir().
  leveldb::Status GetChildren(const std::string& directory, std::vector<std::string>* children) override;
  leveldb::Status RemoveFile(const std::string& name) override;
  leveldb::Status CreateDir(const std::string& directory) override;
  leveldb::Status GetFileSize(const std::string& name, std::uint64_t* size) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status LockFile(const std::string& name, leveldb::FileLock** lock) override;
  leveldb::Status UnlockFile(leveldb::FileLock* lock) override;

  // For the files of this disk. Both return false if the operation fails.
  bool Write(const SimulatedFilePtr& file, const std::string& name, std::string bytes);
  bool Sync(const SimulatedFilePtr& file);

 private:
  struct NameChange {
    std::string from, to;  // empty `from`: created; empty `to`: removed
    SimulatedFilePtr file;
    std::string Directory() const;  // whose sync makes the change durable
  };
  using Names = std::map<std::string, SimulatedFilePtr>;
  static void Apply(const NameChange& change, Names& names);

  // The functions below require mutex_ to be held.
  bool NextOperationFails();
  SimulatedFilePtr Find(const std::string& name) const;
  bool IsDirectory(const std::string& name) const;

  mutable std::mutex mutex_;
  std::condition_variable directory_syncs_changed_;
  DirectorySyncs directory_syncs_ = DirectorySyncs::kWork;
  Names names_, durable_names_;
  std::vector<NameChange> unsynced_name_changes_;  // since the last sync of their directories
  std::size_t capacity_ = ~std::size_t{0}, peak_bytes_ = 0;
  std::mt19937_64 listing_order_;  // of GetChildren
  std::uint64_t writes_to_unsynced_logs_ = 0;
  std::uint64_t operations_ = 0, fail_from_ = ~0ull, fail_to_ = ~0ull;
};

}  // namespace curlewdoor::storage
