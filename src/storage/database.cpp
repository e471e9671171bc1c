#include "storage/database.hpp"

#include <leveldb/write_batch.h>

#include <utility>

#include "storage/directory.hpp"

namespace curlewdoor::storage {
namespace {

using leveldb::Status;

constexpr std::size_t kWriteBufferBytes = 256 << 10;
constexpr std::size_t kBlockCacheBytes = 64 << 10;
constexpr int kMaxOpenFiles = 20;

}  // namespace

Database::Database(const std::string& directory, leveldb::Env& env, SyncDirectoryFunction sync_directory)
    : directory_(directory),
      repair_mark_(directory + "/REPAIR"),
      sync_directory_(std::move(sync_directory)),
      env_(env, directory, [this] { return sync_directory_(directory_); }),
      cache_(leveldb::NewLRUCache(kBlockCacheBytes)) {
  if (Status status = Open(); !status.ok()) throw StorageError(directory + ": " + status.ToString());
}

std::optional<std::string> Database::Read(const std::string& key) {
  if (!db_) throw StorageError(directory_ + ": closed after a failed write");
  std::string bytes;
  leveldb::ReadOptions options;
  options.verify_checksums = true;
  const Status status = db_->Get(options, key, &bytes);
  if (status.IsNotFound()) return std::nullopt;
  if (!status.ok()) throw StorageError(directory_ + ": " + status.ToString());
  return bytes;
}

Status Database::Write(const Records& records) {
  if (!db_) {
    if (Status status = Open(); !status.ok()) return status;
  }
  leveldb::WriteBatch batch;
  for (const auto& [key, bytes] : records) batch.Put(key, bytes);
  leveldb::WriteOptions options;
  options.sync = true;
  Status status = db_->Write(options, &batch);
  if (status.ok()) status = env_.SyncRenames();
  if (!status.ok()) db_.reset();
  return status;
}

void Database::RotateFullLog() {
  if (!db_ || MemoryUsageBytes() <= kWriteBufferBytes) return;
  const leveldb::Slice no_key;  // a range that holds nothing: only the memtable is compacted
  db_->CompactRange(&no_key, &no_key);
  if (MemoryUsageBytes() > kWriteBufferBytes) db_.reset();  // refused: the next write opens it anew
}

leveldb::Options Database::OpenOptions() {
  leveldb::Options options;
  options.env = &env_;
  options.create_if_missing = true;
  options.info_log = &logger_;
  options.write_buffer_size = kWriteBufferBytes;
  options.block_cache = cache_.get();
  options.max_open_files = kMaxOpenFiles;
  options.compression = leveldb::kNoCompression;
  return options;
}

// The first opening creates the database if there is none. A later one never does: it would go on without
// what was reported before.
Status Database::Open() {
  Status status = was_open_ ? CheckStillThere() : MakeDirectory();
  if (status.ok()) status = OpenOnce();
  if (status.IsCorruption()) status = Repair();
  if (status.ok() && env_.FileExists(repair_mark_)) status = MergeRepairedTables();
  if (!status.ok()) db_.reset();
  was_open_ = was_open_ || status.ok();
  return status;
}

// Creates the directory if it is missing, and makes its name durable. Always syncs the parent: an earlier
// process may have created the directory and ended before the sync.
Status Database::MakeDirectory() {
  Status created = env_.CreateDir(directory_);
  if (!created.ok() && !env_.FileExists(directory_)) return created;
  if (!sync_directory_(ParentDirectory(directory_)))
    return Status::IOError(directory_, "its parent directory can't be synced");
  return Status::OK();
}

Status Database::CheckStillThere() {
  if (env_.FileExists(directory_ + "/CURRENT")) return Status::OK();
  return Status::IOError(directory_, "the database is gone");
}

Status Database::OpenOnce() {
  leveldb::DB* db = nullptr;
  Status status = leveldb::DB::Open(OpenOptions(), directory_, &db);
  if (status.ok()) db_.reset(db);
  return status;
}

// The unsynced end of a manifest may be torn. RepairDB rebuilds the manifest from the tables, which opening
// then completes from the logs: together they hold everything that was synced. RepairDB would read the logs
// without their checksums, so it doesn't see them; tables it checks only if told so.
Status Database::Repair() {
  if (Status status = WriteRepairMark(); !status.ok()) return status;
  leveldb::Options options = OpenOptions();
  options.paranoid_checks = true;
  env_.HideLogs(true);
  const Status status = leveldb::RepairDB(directory_, options);
  env_.HideLogs(false);
  return status.ok() ? OpenOnce() : status;
}

// The mark stays until the repaired tables are merged, through any crash.
Status Database::WriteRepairMark() {
  leveldb::WritableFile* opened = nullptr;
  if (Status status = env_.NewWritableFile(repair_mark_, &opened); !status.ok()) return status;
  const std::unique_ptr<leveldb::WritableFile> mark(opened);
  return mark->Sync();
}

// RepairDB also takes in tables that LevelDB had already replaced, as opening does with logs. Reads take the
// table with the highest number for the newest, so they could return an old value. A compaction goes by
// sequence numbers, which a repair keeps.
Status Database::MergeRepairedTables() {
  db_->CompactRange(nullptr, nullptr);
  std::string unmerged;
  if (!db_->GetProperty("leveldb.num-files-at-level0", &unmerged) || unmerged != "0")
    return Status::IOError(directory_, "the tables can't be merged after a repair");
  env_.RemoveFile(repair_mark_);  // if it stays, the next opening merges once more
  return Status::OK();
}

// Of the memtables and the block cache.
std::size_t Database::MemoryUsageBytes() {
  std::string bytes;
  return db_->GetProperty("leveldb.approximate-memory-usage", &bytes) ? std::stoull(bytes) : 0;
}

}  // namespace curlewdoor::storage
