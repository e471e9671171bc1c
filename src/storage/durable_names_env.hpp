// A LevelDB environment for which syncing a file makes its name durable too.
#pragma once

#include <leveldb/env.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace curlewdoor::storage {

// On a power failure, a file that was created or renamed since the last sync of its directory may lose its
// name, even if the file itself was synced. LevelDB syncs the directory only before it syncs a manifest, so
// it would report writes to a log whose name isn't durable. It also removes the old manifest right after it
// renames CURRENT. This environment syncs the directory
// - before WritableFile::Sync() returns, if the file was created since the last sync of the directory,
// - after each rename, and before each removal if a rename hasn't been synced yet.
//
// It also syncs a file with unsynced data before Close() returns, as RepairDB closes files without a sync and
// then relies on them.
//
// A failed sync is an error of the file's Sync() or Close(), or of the removal. After a rename it isn't
// returned to LevelDB, which would then remove the new manifest that CURRENT already refers to: SyncRenames()
// returns it.
//
// Thread-safe. Covers one directory: all files must be in it.
class DurableNamesEnv : public leveldb::EnvWrapper {
 public:
  // `directory` is for error messages. `sync_directory` makes all names in it durable and returns false if it
  // fails; it isn't called concurrently.
  DurableNamesEnv(leveldb::Env& env, std::string directory, std::function<bool()> sync_directory);

  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status RemoveFile(const std::string& name) override;
  leveldb::Status GetChildren(const std::string& directory, std::vector<std::string>* children) override;

  // While true, GetChildren() leaves out LevelDB's logs.
  void HideLogs(bool hide) { hide_logs_ = hide; }

  // Makes all renames so far durable. Blocks while the disk does, if one isn't durable yet.
  leveldb::Status SyncRenames();

 private:
  using NameChange = std::uint64_t;  // numbers the creations and renames, from 1
  class File;

  // Replaces a file that was opened with `status` by one whose Sync() includes its name.
  leveldb::Status Wrap(leveldb::Status status, leveldb::WritableFile** file);
  // Makes all changes up to `change` durable.
  leveldb::Status SyncNames(NameChange change);

  const std::string directory_;
  const std::function<bool()> sync_directory_;
  std::atomic<bool> hide_logs_ = false;
  std::atomic<NameChange> last_change_ = 0;
  std::atomic<NameChange> last_rename_ = 0;
  std::atomic<NameChange> durable_ = 0;  // changes up to this one are durable
  std::mutex sync_mutex_;                // held while the directory is synced
};

}  // namespace curlewdoor::storage
