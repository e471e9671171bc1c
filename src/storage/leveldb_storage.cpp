#include <fcntl.h>
#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>

#include "storage/storage.hpp"

namespace curlewdoor::storage {
namespace {

constexpr std::size_t kStack = 128 << 10;
constexpr std::size_t kWriteBuffer = 256 << 10;
constexpr std::size_t kBlockCache = 64 << 10;
constexpr int kOpenFiles = 20;

class NoLog : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

// A renamed name lasts only once its directory is synced, and LevelDB removes the old manifest right after it
// has renamed CURRENT: without the sync a loss of power could leave a CURRENT that names a file that is gone.
// A refused sync isn't told to LevelDB (it would remove the new manifest, which CURRENT names by then): files
// are kept, and nothing is reported as written, until it has been made up for.
class LastingEnv : public leveldb::EnvWrapper {
 public:
  LastingEnv(leveldb::Env& env, std::string directory, std::function<bool()> sync_folder)
      : leveldb::EnvWrapper(&env), directory_(std::move(directory)), sync_folder_(std::move(sync_folder)) {}
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    leveldb::Status status = leveldb::EnvWrapper::RenameFile(from, to);
    if (!status.ok()) return status;
    unsynced_ = true;
    SyncNames();
    return status;
  }
  leveldb::Status RemoveFile(const std::string& name) override {
    if (leveldb::Status status = SyncNames(); !status.ok()) return status;
    return leveldb::EnvWrapper::RemoveFile(name);
  }
  leveldb::Status SyncNames() {
    if (!unsynced_) return leveldb::Status::OK();
    if (!sync_folder_()) return leveldb::Status::IOError(directory_, "the directory can't be synced");
    unsynced_ = false;
    return leveldb::Status::OK();
  }

 private:
  std::string directory_;
  std::function<bool()> sync_folder_;
  std::atomic<bool> unsynced_ = false;  // a renamed name
};

bool SyncFolder(const std::string& directory) {
  int fd = open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool synced = fd >= 0 && fsync(fd) == 0;
  if (fd >= 0) close(fd);
  return synced;
}

class LevelDbStorage : public Storage {
 public:
  LevelDbStorage(const std::string& directory, leveldb::Env& env, std::function<bool()> sync_folder)
      : env_(env, directory, std::move(sync_folder)),
        cache_(leveldb::NewLRUCache(kBlockCache)),
        directory_(directory) {
    if (leveldb::Status status = Open(); !status.ok())
      throw StorageError(directory + ": " + status.ToString());
    if (pipe2(pipe_, O_CLOEXEC | O_NONBLOCK) != 0) throw StorageError(directory + ": no pipe");
    if (!StartThread()) {
      ClosePipe();
      throw StorageError(directory + ": no thread");
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
      if (waiting_.size() + results_.size() + (at_work_ ? 1 : 0) >= kMostWaiting) return false;
      waiting_.emplace_back(id, std::move(records));
    }
    wake_.notify_one();
    return true;
  }

  std::vector<Result> Drain() override {
    char bytes[kMostWaiting];
    while (read(pipe_[0], bytes, sizeof bytes) > 0) {
    }
    std::lock_guard lock(mutex_);
    return std::exchange(results_, {});
  }

  int fd() const override { return pipe_[0]; }

 private:
  leveldb::Status Open() {
    leveldb::Options options;
    options.env = &env_;
    options.create_if_missing = true;
    options.info_log = &log_;
    options.write_buffer_size = kWriteBuffer;
    options.block_cache = cache_.get();
    options.max_open_files = kOpenFiles;
    options.compression = leveldb::kNoCompression;
    leveldb::DB* db = nullptr;
    leveldb::Status status = leveldb::DB::Open(options, directory_, &db);
    // A manifest whose unsynced end is torn; what was synced stands in the other files.
    if (status.IsCorruption() && leveldb::RepairDB(directory_, options).ok())
      status = leveldb::DB::Open(options, directory_, &db);
    if (status.ok()) db_.reset(db);
    return status;
  }

  // LevelDB takes nothing more after a failed sync until it is opened anew.
  leveldb::Status Store(const Records& records) {
    if (!db_) {
      if (leveldb::Status status = Open(); !status.ok()) return status;
    }
    leveldb::WriteBatch batch;
    for (const auto& [key, bytes] : records) batch.Put(key, bytes);
    leveldb::WriteOptions options;
    options.sync = true;
    leveldb::Status status = db_->Write(options, &batch);
    if (status.ok()) status = env_.SyncNames();
    if (!status.ok()) db_.reset();
    return status;
  }

  bool StartThread() {
    pthread_attr_t attributes;
    sigset_t all, before;
    sigfillset(&all);  // signals are for the owner's thread
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, kStack);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    int error = pthread_create(
        &thread_, &attributes,
        [](void* self) -> void* {
          static_cast<LevelDbStorage*>(self)->Work();
          return nullptr;
        },
        this);
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    pthread_attr_destroy(&attributes);
    return error == 0;
  }

  void Work() {
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this] { return stop_ || !waiting_.empty(); });
      if (stop_) return;
      auto [id, records] = std::move(waiting_.front());
      waiting_.pop_front();
      at_work_ = true;
      lock.unlock();
      leveldb::Status status = Store(records);
      lock.lock();
      at_work_ = false;
      results_.push_back({id, status.ok(), status.ok() ? "" : status.ToString()});
      if (write(pipe_[1], "r", 1) != 1) continue;  // full: readable as it is
    }
  }

  void ClosePipe() {
    close(pipe_[0]);
    close(pipe_[1]);
  }

  NoLog log_;
  LastingEnv env_;
  std::unique_ptr<leveldb::Cache> cache_;
  std::string directory_;
  std::unique_ptr<leveldb::DB> db_;
  int pipe_[2] = {-1, -1};
  pthread_t thread_{};
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::pair<std::uint64_t, Records>> waiting_;  // and the rest: under the mutex
  std::vector<Result> results_;
  bool at_work_ = false, stop_ = false;
};

}  // namespace

std::unique_ptr<Storage> OpenStorage(const std::string& directory) {
  return OpenStorage(directory, *leveldb::Env::Default(), [directory] { return SyncFolder(directory); });
}

std::unique_ptr<Storage> OpenStorage(const std::string& directory, leveldb::Env& env,
                                     std::function<bool()> sync_folder) {
  return std::make_unique<LevelDbStorage>(directory, env, std::move(sync_folder));
}

bool StorageEmpty(const std::string& directory) {
  return access((directory + "/CURRENT").c_str(), F_OK) != 0;
}

}  // namespace curlewdoor::storage
