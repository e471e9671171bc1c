#include <fcntl.h>
#include <leveldb/env.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <mutex>

#include "storage/database.hpp"
#include "storage/directory.hpp"
#include "storage/storage.hpp"

namespace curlewdoor::storage {
namespace {

constexpr std::size_t kThreadStackBytes = 128 << 10;

// Storage in a LevelDB database, written by one background thread.
class LevelDbStorage : public Storage {
 public:
  LevelDbStorage(const std::string& directory, leveldb::Env& env, SyncDirectoryFunction sync_directory)
      : database_(directory, env, std::move(sync_directory)) {
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

  std::optional<std::string> Read(const std::string& key) override { return database_.Read(key); }

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
      const leveldb::Status status = database_.Write(records);
      lock.lock();
      writing_ = false;
      Report({id, status.ok(), status.ok() ? "" : status.ToString()});
      lock.unlock();
      database_.RotateFullLog();
      lock.lock();
    }
  }

  void ClosePipe() {
    close(pipe_[0]);
    close(pipe_[1]);
  }

  Database database_;  // used by the writer thread alone once there is a write
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
