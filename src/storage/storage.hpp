// Durable key-value storage for the few records of a core member. Each write is an atomic batch that is
// synced to disk by a background thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace leveldb {
class Env;
}

namespace curlewdoor::storage {

// The storage can't be opened or read. The message contains the reason and usually the directory.
struct StorageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Records = std::vector<std::pair<std::string, std::string>>;  // key and value

// The outcome of one Storage::Write().
struct WriteResult {
  std::uint64_t id = 0;
  bool ok = false;    // false: the records may or may not be on disk
  std::string error;  // reason; empty if ok
};

// Not thread-safe: all calls are made from the thread that owns the object.
class Storage {
 public:
  static constexpr std::size_t kMaxPendingWrites = 64;
  virtual ~Storage() = default;

  // Returns the value of `key`, or nullopt if it has none. Throws StorageError if it can't be read. Blocks,
  // so it is meant for startup only, before the first Write().
  virtual std::optional<std::string> Read(const std::string& key) = 0;
  // Starts an asynchronous write. A WriteResult with this id is reported once all records are synced or the
  // write has failed. Returns false, and reports no result, if kMaxPendingWrites writes are already pending.
  // Results that Drain() hasn't returned yet count as pending.
  virtual bool Write(std::uint64_t id, Records records) = 0;
  // Returns and clears the results available so far, in the order of the writes.
  virtual std::vector<WriteResult> Drain() = 0;
  // A descriptor that is readable while results are available.
  virtual int fd() const = 0;
};

// Opens a LevelDB database in `directory`, which is created if missing (its parent must exist and be durable
// itself). Syncs the parent, so that a write that is reported can't be lost with the directory. Throws
// StorageError. The destructor waits for the write in progress and discards those queued behind it.
std::unique_ptr<Storage> OpenStorage(const std::string& directory);
// Makes the names in a directory durable. Returns false if it fails.
using SyncDirectoryFunction = std::function<bool(const std::string& directory)>;
// For tests: uses the file system of `env`, whose directories are synced by `sync_directory`.
std::unique_ptr<Storage> OpenStorage(const std::string& directory, leveldb::Env& env,
                                     SyncDirectoryFunction sync_directory);
// Returns true if `directory` holds no database (no file CURRENT) or doesn't exist.
bool StorageEmpty(const std::string& directory);

}  // namespace curlewdoor::storage
