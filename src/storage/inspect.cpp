#include "storage/inspect.hpp"

#include <fcntl.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/options.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

#include "storage/null_logger.hpp"

namespace curlewdoor::storage {
namespace {

namespace fs = std::filesystem;

constexpr std::uintmax_t kMaxTotalBytes = 1u << 30;  // a core member stores a few megabytes
constexpr int kMaxFiles = 10'000;

// A new directory under the system's temporary directory, removed with its contents on destruction.
struct TemporaryDirectory {
  TemporaryDirectory() {
    std::string name = (fs::temp_directory_path() / "curlewdoor-look-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw StorageError(name + ": can't create a temporary directory");
    path = name;
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    fs::remove_all(path, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  fs::path path;
};

// Throws StorageError if another process holds the LevelDB lock. Only queries the lock: acquiring it could
// make a member that starts at the same time fail to open its storage.
void ThrowIfLocked(const fs::path& directory) {
  const int fd = ::open((directory / "LOCK").c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return;
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  const bool locked = ::fcntl(fd, F_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
  ::close(fd);
  if (locked)
    throw StorageError(directory.string() + ": in use by process " + std::to_string(lock.l_pid) +
                       "; stop it first");
}

// Copies the regular files of `from`, except LOCK. Throws StorageError above the size limits.
void CopyDatabaseFiles(const fs::path& from, const fs::path& to) {
  std::uintmax_t bytes = 0;
  int files = 0;
  for (const fs::directory_entry& entry : fs::directory_iterator(from)) {
    if (!entry.is_regular_file() || entry.path().filename() == "LOCK") continue;
    bytes += entry.file_size();
    if (++files > kMaxFiles || bytes > kMaxTotalBytes)
      throw StorageError(from.string() + ": too large for a core member");
    fs::copy_file(entry.path(), to / entry.path().filename());
  }
}

// Opens the database with paranoid checks, so that any damaged byte is an error, and returns every record.
Records ReadAllRecords(const fs::path& directory) {
  NullLogger logger;
  leveldb::Options options;
  options.create_if_missing = false;
  options.paranoid_checks = true;
  options.info_log = &logger;
  leveldb::DB* opened = nullptr;
  leveldb::Status status = leveldb::DB::Open(options, directory.string(), &opened);
  if (!status.ok()) throw StorageError(status.ToString());
  const std::unique_ptr<leveldb::DB> db(opened);
  leveldb::ReadOptions read;
  read.verify_checksums = true;
  const std::unique_ptr<leveldb::Iterator> it(db->NewIterator(read));
  Records records;
  for (it->SeekToFirst(); it->Valid(); it->Next())
    records.emplace_back(it->key().ToString(), it->value().ToString());
  if (!it->status().ok()) throw StorageError(it->status().ToString());
  return records;
}

}  // namespace

Records ReadOfflineStorage(const std::string& directory) {
  try {
    if (!fs::is_directory(directory)) throw StorageError(directory + ": no such directory");
    if (StorageEmpty(directory)) throw StorageError(directory + ": no storage there (no file CURRENT)");
    ThrowIfLocked(directory);
    const TemporaryDirectory copy;
    CopyDatabaseFiles(directory, copy.path);
    ThrowIfLocked(directory);  // a process may have opened it during the copy
    try {
      return ReadAllRecords(copy.path);
    } catch (const StorageError& error) {
      // The message contains the path of the temporary copy, which is replaced by that of the original.
      std::string text = error.what();
      const std::string name = copy.path.string();
      for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at))
        text.replace(at, name.size(), directory);
      throw StorageError(text.find(directory) != std::string::npos ? text : directory + ": " + text);
    }
  } catch (const fs::filesystem_error& error) {
    throw StorageError(error.what());
  }
}

}  // namespace curlewdoor::storage
