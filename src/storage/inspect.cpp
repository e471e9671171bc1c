#include "storage/inspect.hpp"

#include <fcntl.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/options.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

namespace curlewdoor::storage {
namespace {

namespace fs = std::filesystem;

constexpr std::uintmax_t kMostBytes = 1u << 30;  // a core member holds some megabytes
constexpr int kMostFiles = 10'000;

class Quiet : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

struct TemporaryDirectory {
  TemporaryDirectory() {
    std::string name = (fs::temp_directory_path() / "curlewdoor-look-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw StorageError(name + ": no temporary directory");
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

// Asks for the lock that LevelDB holds and takes none: a member that starts meanwhile must not fail by it.
void RefuseIfUsed(const fs::path& directory) {
  const int fd = ::open((directory / "LOCK").c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return;
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  const bool used = ::fcntl(fd, F_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
  ::close(fd);
  if (used)
    throw StorageError(directory.string() + ": in use by process " + std::to_string(lock.l_pid) +
                       "; stop it first");
}

void Copy(const fs::path& from, const fs::path& to) {
  std::uintmax_t bytes = 0;
  int files = 0;
  for (const fs::directory_entry& entry : fs::directory_iterator(from)) {
    if (!entry.is_regular_file() || entry.path().filename() == "LOCK") continue;
    bytes += entry.file_size();
    if (++files > kMostFiles || bytes > kMostBytes)
      throw StorageError(from.string() + ": too large for a core member");
    fs::copy_file(entry.path(), to / entry.path().filename());
  }
}

Records ReadAll(const fs::path& directory) {
  Quiet quiet;
  leveldb::Options options;
  options.create_if_missing = false;
  options.paranoid_checks = true;
  options.info_log = &quiet;
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

Records ReadStopped(const std::string& directory) {
  try {
    if (!fs::is_directory(directory)) throw StorageError(directory + ": no such directory");
    if (StorageEmpty(directory)) throw StorageError(directory + ": no storage there (no file CURRENT)");
    RefuseIfUsed(directory);
    const TemporaryDirectory copy;
    Copy(directory, copy.path);
    RefuseIfUsed(directory);  // it may have been started meanwhile
    try {
      return ReadAll(copy.path);
    } catch (const StorageError& error) {
      std::string text = error.what();  // names the copy, which nobody can look at
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
