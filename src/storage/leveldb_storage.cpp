#include <fcntl.h>
#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <filesystem>
#include <mutex>

#include "storage/durable_names_env.hpp"
#include "storage/storage.hpp"

namespace curlewdoor::storage {
namespace {

constexpr std::size_t kThreadStackBytes = 128 << 10;
constexpr std::size_t kWriteBufferBytes = 256 << 10;
constexpr std::size_t kBlockCacheBytes = 64 << 10;
constexpr int kMaxOpenFiles = 20;

// Discards the LevelDB info log.
class NullLogger : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

std::string ParentOf(const std::string& directory) {
  const std::filesystem::path path = std::filesystem::path(directory).lexically_normal();
  const std::filesystem::path parent = (path.has_filename() ? path : path.parent_path()).parent_path();
  return parent.empty() ? "." : parent.string();
}

bool SyncDirectory(const std::string& directory) {
  int fd = open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool synced = fd >= 0 && fsync(fd) == 0;
  if (fd >= 0) close(fd);
  return synced;
}

// Storage in a LevelDB database, written by one background thread.
class LevelDbStorage : public Storage {
 public:
  LevelDbStorage(const std::string& directory, leveldb::Env& env, SyncDirectoryFunction sync_directory)
      : sync_directory_(std::move(sync_directory)),
        env_(env, directory, [this] { return sync_directory_(directory_); }),
        cache_(leveldb::NewLRUCache(kBlockCacheBytes)),
        directory_(directory),
        repair_mark_(directory + "/REPAIR") {
    if (leveldb::Status status = Open(); !status.ok())
      throw StorageError(directory + ": " + status.ToString());
    if (pipe2(pipe_, O_CLOEXEC | O_NONBLOCK) != 0)
      throw StorageError(directory + ": can't create the notification pipe");
    if (!StartThread()) {
      ClosePipe();
      throw StorageError(directory + ": can't start the writer thread");
    }
  }

  ~LevelDbStorage() override {
    {
      std::lock_guard lock(mutex_);
      stop_ = true;
    }
    wake_.notify_one();
    pthread_join(thread_, nullptr);
    ClosePipe();
  }

  std::optional<std::string> Read(const std::string& key) override {
    if (!db_) throw StorageError(directory_ + ": closed after a failed write");
    std::string bytes;
    leveldb::ReadOptions options;
    options.verify_checksums = true;
    leveldb::Status status = db_->Get(options, key, &bytes);
    if (status.IsNotFound()) return std::nullopt;
    if (!status.ok()) throw StorageError(directory_ + ": " + status.ToString());
    return bytes;
  }

  bool Write(std::uint64_t id, Records records) override {
    {
      std::lock_guard lock(mutex_);
      if (pending_.size() + results_.size() + (writing_ ? 1 : 0) >= kMaxPendingWrites) return false;
      pending_.emplace_back(id, std::move(records));
    }
    wake_.notify_one();
    return true;
  }

  std::vector<WriteResult> Drain() override {
    char bytes[kMaxPendingWrites];
    while (read(pipe_[0], bytes, sizeof bytes) > 0) {
    }
    std::lock_guard lock(mutex_);
    return std::exchange(results_, {});
  }

  int fd() const override { return pipe_[0]; }

 private:
  // Creates the directory if it is missing, and makes its name durable. Always syncs the parent: an earlier
  // process may have created the directory and ended before the sync.
  leveldb::Status MakeDirectory() {
    const leveldb::Status created = env_.CreateDir(directory_);
    if (!created.ok() && !env_.FileExists(directory_)) return created;
    if (!sync_directory_(ParentOf(directory_)))
      return leveldb::Status::IOError(directory_, "its parent directory can't be synced");
    return leveldb::Status::OK();
  }

  leveldb::Options DatabaseOptions() {
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
  leveldb::Status Open() {
    leveldb::Status status = was_open_ ? CheckStillThere() : MakeDirectory();
    if (status.ok()) status = OpenDatabase();
    if (status.IsCorruption()) status = Repair();
    if (status.ok() && env_.FileExists(repair_mark_)) status = MergeRepairedTables();
    if (!status.ok()) db_.reset();
    was_open_ = was_open_ || status.ok();
    return status;
  }

  leveldb::Status CheckStillThere() {
    if (env_.FileExists(directory_ + "/CURRENT")) return leveldb::Status::OK();
    return leveldb::Status::IOError(directory_, "the database is gone");
  }

  leveldb::Status OpenDatabase() {
    leveldb::DB* db = nullptr;
    leveldb::Status status = leveldb::DB::Open(DatabaseOptions(), directory_, &db);
    if (status.ok()) db_.reset(db);
    return status;
  }

  // The unsynced end of a manifest may be torn. RepairDB rebuilds the manifest from the tables, which opening
  // then completes from the logs: together they hold everything that was synced. RepairDB would read the logs
  // without their checksums, so it doesn't see them; tables it checks only if told so.
  leveldb::Status Repair() {
    if (leveldb::Status status = WriteRepairMark(); !status.ok()) return status;
    leveldb::Options options = DatabaseOptions();
    options.paranoid_checks = true;
    env_.HideLogs(true);
    const leveldb::Status status = leveldb::RepairDB(directory_, options);
    env_.HideLogs(false);
    return status.ok() ? OpenDatabase() : status;
  }

  // The mark stays until the repaired tables are merged, through any crash.
  leveldb::Status WriteRepairMark() {
    leveldb::WritableFile* opened = nullptr;
    if (leveldb::Status status = env_.NewWritableFile(repair_mark_, &opened); !status.ok()) return status;
    const std::unique_ptr<leveldb::WritableFile> mark(opened);
    return mark->Sync();
  }

  // RepairDB also takes in tables that LevelDB had already replaced, as opening does with logs. Reads take
  // the table with the highest number for the newest, so they could return an old value. A compaction goes by
  // sequence numbers, which a repair keeps.
  leveldb::Status MergeRepairedTables() {
    db_->CompactRange(nullptr, nullptr);
    std::string unmerged;
    if (!db_->GetProperty("leveldb.num-files-at-level0", &unmerged) || unmerged != "0")
      return leveldb::Status::IOError(directory_, "the tables can't be merged after a repair");
    env_.RemoveFile(repair_mark_);  // if it stays, the next opening merges once more
    return leveldb::Status::OK();
  }

  // Writes and syncs one batch. After a failed sync, LevelDB rejects all writes until it is reopened, so a
  // failure closes the database and the next call reopens it.
  leveldb::Status WriteSynced(const Records& records) {
    if (!db_) {
      if (leveldb::Status status = Open(); !status.ok()) return status;
    }
    leveldb::WriteBatch batch;
    for (const auto& [key, bytes] : records) batch.Put(key, bytes);
    leveldb::WriteOptions options;
    options.sync = true;
    leveldb::Status status = db_->Write(options, &batch);
    if (status.ok()) status = env_.SyncRenames();
    if (!status.ok()) db_.reset();
    return status;
  }

  // Once the memtable is full, begins a new log and turns the old one into a table. LevelDB would do so
  // within the next write, which would then wait for the sync of the new name. Returns when the manifest is
  // synced, so every log has a durable name before its first record.
  void RotateFullLog() {
    if (!db_ || MemoryUsageBytes() <= kWriteBufferBytes) return;
    const leveldb::Slice no_key;  // a range that holds nothing: only the memtable is compacted
    db_->CompactRange(&no_key, &no_key);
    if (MemoryUsageBytes() > kWriteBufferBytes) db_.reset();  // refused: the next write opens it anew
  }

  // Of the memtables and the block cache.
  std::size_t MemoryUsageBytes() {
    std::string bytes;
    return db_->GetProperty("leveldb.approximate-memory-usage", &bytes) ? std::stoull(bytes) : 0;
  }

  // Requires mutex_ to be held.
  void Report(WriteResult result) {
    results_.push_back(std::move(result));
    [[maybe_unused]] const ssize_t written = write(pipe_[1], "r", 1);  // a full pipe is already readable
  }

  bool StartThread() {
    pthread_attr_t attributes;
    sigset_t all, before;
    sigfillset(&all);  // signals are handled by the owner's thread only
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, kThreadStackBytes);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    int error = pthread_create(
        &thread_, &attributes,
        [](void* self) -> void* {
          static_cast<LevelDbStorage*>(self)->RunWriter();
          return nullptr;
        },
        this);
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    pthread_attr_destroy(&attributes);
    return error == 0;
  }

  // Writer thread: writes pending batches in order until the destructor sets stop_.
  void RunWriter() {
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this] { return stop_ || !pending_.empty(); });
      if (stop_) return;
      auto [id, records] = std::move(pending_.front());
      pending_.pop_front();
      writing_ = true;
      lock.unlock();
      leveldb::Status status = WriteSynced(records);
      lock.lock();
      writing_ = false;
      Report({id, status.ok(), status.ok() ? "" : status.ToString()});
      lock.unlock();
      RotateFullLog();
      lock.lock();
    }
  }

  void ClosePipe() {
    close(pipe_[0]);
    close(pipe_[1]);
  }

  NullLogger logger_;
  const SyncDirectoryFunction sync_directory_;
  DurableNamesEnv env_;
  std::unique_ptr<leveldb::Cache> cache_;
  const std::string directory_;
  const std::string repair_mark_;  // a file that is there from a repair until its tables are merged
  std::unique_ptr<leveldb::DB> db_;
  bool was_open_ = false;
  int pipe_[2] = {-1, -1};
  pthread_t thread_{};
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::pair<std::uint64_t, Records>> pending_;  // this and the members below: guarded by mutex_
  std::vector<WriteResult> results_;
  bool writing_ = false, stop_ = false;
};

}  // namespace

std::unique_ptr<Storage> OpenStorage(const std::string& directory) {
  return OpenStorage(directory, *leveldb::Env::Default(), SyncDirectory);
}

std::unique_ptr<Storage> OpenStorage(const std::string& directory, leveldb::Env& env,
                                     SyncDirectoryFunction sync_directory) {
  return std::make_unique<LevelDbStorage>(directory, env, std::move(sync_directory));
}

bool StorageEmpty(const std::string& directory) {
  return access((directory + "/CURRENT").c_str(), F_OK) != 0;
}

}  // namespace curlewdoor::storage
