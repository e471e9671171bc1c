// A few records on the machine's disk, written all at once and synced, by a thread of its own.
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

// The directory can't be opened, or holds what can't be read. The text names it.
struct StorageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Records = std::vector<std::pair<std::string, std::string>>;  // key, bytes

struct Result {
  std::uint64_t id = 0;
  bool ok = false;    // false: nothing of it need be there, and something may
  std::string error;  // when not ok
};

// Used by one thread, the owner's.
class Storage {
 public:
  static constexpr std::size_t kMostWaiting = 64;
  virtual ~Storage() = default;

  // Throws StorageError when the disk can't give it. Blocks: for the start alone, before the first
  // Write().
  virtual std::optional<std::string> Read(const std::string& key) = 0;
  // Begins to write; a Result with this id comes once all of it is synced. False: kMostWaiting are under way
  // already, and no Result will come.
  virtual bool Write(std::uint64_t id, Records records) = 0;
  // The results so far, in the order of the writes. fd() is readable while there are some.
  virtual std::vector<Result> Drain() = 0;
  virtual int fd() const = 0;
};

// LevelDB in `directory`, which is made if it isn't there (its parent must be). Throws StorageError. The end
// of a Storage waits for the write at work, and drops those behind it.
std::unique_ptr<Storage> OpenStorage(const std::string& directory);
// For tests: on other files than the machine's. `sync_folder` makes the directory's names last.
std::unique_ptr<Storage> OpenStorage(const std::string& directory, leveldb::Env& env,
                                     std::function<bool()> sync_folder);
// Nothing has been kept there yet, or the directory isn't there.
bool StorageEmpty(const std::string& directory);

}  // namespace curlewdoor::storage
