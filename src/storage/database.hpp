// The LevelDB database of a storage: opening, repair, synced writes and the change of logs.
#pragma once

#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/options.h>
#include <leveldb/status.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "storage/durable_names_env.hpp"
#include "storage/null_logger.hpp"
#include "storage/storage.hpp"

namespace curlewdoor::storage {

// What Write() has reported as successful outlives a power failure that may lose any file name whose
// directory wasn't synced since. Not thread-safe. All calls block while the disk does.
class Database {
 public:
  // Opens the database in `directory`, which is created if missing (its parent must exist). Throws
  // StorageError.
  Database(const std::string& directory, leveldb::Env& env, SyncDirectoryFunction sync_directory);

  // Returns the value of `key`, or nullopt if it has none. Throws StorageError if it can't be read.
  std::optional<std::string> Read(const std::string& key);

  // Writes and syncs the records as one batch. A failure closes the database, as LevelDB rejects all writes
  // after a failed sync; the next call opens it again.
  leveldb::Status Write(const Records& records);

  // Once the memtable is full, begins a new log and turns the old one into a table. LevelDB would do so
  // within the next write, which would then wait for the sync of the new name. Returns when the manifest is
  // synced, so every log has a durable name before its first record. To be called after each write.
  void RotateFullLog();

 private:
  leveldb::Options OpenOptions();
  leveldb::Status Open();
  leveldb::Status MakeDirectory();
  leveldb::Status CheckStillThere();
  leveldb::Status OpenOnce();
  leveldb::Status Repair();
  leveldb::Status WriteRepairMark();
  leveldb::Status MergeRepairedTables();
  std::size_t MemoryUsageBytes();

  const std::string directory_;
  const std::string repair_mark_;  // a file that is there from a repair until its tables are merged
  const SyncDirectoryFunction sync_directory_;
  NullLogger logger_;
  DurableNamesEnv env_;
  const std::unique_ptr<leveldb::Cache> cache_;
  std::unique_ptr<leveldb::DB> db_;  // null after a failed write
  bool was_open_ = false;
};

}  // namespace curlewdoor::storage
