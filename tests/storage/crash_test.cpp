// Guards against the loss of writes that were reported as successful. Runs the storage on a simulated disk
// that fails permanently at each of its operations in turn, or for a few operations only, drops or tears the
// unsynced data, and opens the storage again. Runs a subset of the cases by default; CURLEWDOOR_CRASHES=<torn
// outcomes per operation>, e.g. 40, runs all of them.
#include <leveldb/env.h>
#include <poll.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>

#include "agreement/codec.hpp"
#include "storage/storage.hpp"

namespace curlewdoor::storage {
namespace {

using leveldb::Slice;
using leveldb::Status;

constexpr char kDirectory[] = "/disk";
constexpr std::size_t kFileBufferBytes = 64 << 10;  // same as LevelDB's POSIX files

// What a crash does to unsynced data. kNone: only the process crashes, and the machine keeps running.
enum class UnsyncedLoss { kNone, kAll, kTorn };

// The content of a file, divided into what a crash keeps and what it may lose.
struct SimulatedFile {
  std::string synced;
  std::vector<std::string> unsynced;  // appended since the last sync
  std::string Content() const {
    std::string content = synced;
    for (const std::string& piece : unsynced) content += piece;
    return content;
  }
};
using SimulatedFilePtr = std::shared_ptr<SimulatedFile>;

// Files in memory that follow the rules of docs/core.md, "The disk": the bytes and the name of a file are
// durable once the file is synced; a rename or removal is durable once the directory is synced.
class SimulatedDisk : public leveldb::EnvWrapper {
 public:
  SimulatedDisk() : EnvWrapper(leveldb::Env::Default()) {}

  // Makes operations `from` (inclusive) to `to` (exclusive) fail, counted from this call.
  void FailAt(std::uint64_t from, std::uint64_t to) {
    std::lock_guard lock(mutex_);
    operations_ = 0;
    fail_from_ = from;
    fail_to_ = to;
  }
  std::uint64_t operations() const {
    std::lock_guard lock(mutex_);
    return operations_;
  }

  // Limits the total size of all files.
  void SetCapacity(std::size_t bytes) {
    std::lock_guard lock(mutex_);
    capacity_ = bytes;
  }
  std::size_t peak_bytes() const {
    std::lock_guard lock(mutex_);
    return peak_bytes_;
  }

  // Simulates a crash. No storage may have the disk open.
  void Crash(UnsyncedLoss loss, std::mt19937_64& random) {
    std::lock_guard lock(mutex_);
    if (loss != UnsyncedLoss::kNone) {
      auto names = durable_names_;
      for (const auto& change : unsynced_name_changes_) {
        if (loss == UnsyncedLoss::kAll || random() % 2 == 0) continue;
        if (change.from.empty() && change.file) names[change.to] = change.file;
        if (!change.from.empty()) names.erase(change.from);
        if (!change.from.empty() && change.file) names[change.to] = change.file;
      }
      names_ = names;
    }
    for (auto& [name, file] : names_) {
      if (loss == UnsyncedLoss::kNone) continue;  // unsynced data stays, and a later crash may still lose it
      file->synced += loss == UnsyncedLoss::kAll ? "" : TearWrites(file->unsynced, random);
      file->unsynced.clear();
    }
    if (loss != UnsyncedLoss::kNone) {
      durable_names_ = names_;
      unsynced_name_changes_.clear();
    }
    operations_ = 0;
    fail_from_ = fail_to_ = ~0ull;
  }

  bool SyncDirectory() {
    std::lock_guard lock(mutex_);
    if (NextOperationFails()) return false;
    MarkNamesDurable();
    return true;
  }

  Status NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) override;
  Status NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) override;
  Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
  Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override {
    *file = nullptr;
    return Status::NotSupported(name);
  }
  bool FileExists(const std::string& name) override {
    std::lock_guard lock(mutex_);
    return names_.contains(name);
  }
  Status GetChildren(const std::string&, std::vector<std::string>* children) override {
    std::lock_guard lock(mutex_);
    children->clear();
    for (const auto& [name, file] : names_) children->push_back(name.substr(sizeof kDirectory));
    return Status::OK();
  }
  Status RemoveFile(const std::string& name) override {
    std::lock_guard lock(mutex_);
    if (NextOperationFails()) return InjectedError(name);
    if (names_.erase(name) == 0) return Status::NotFound(name);
    unsynced_name_changes_.push_back({name, "", nullptr});
    return Status::OK();
  }
  Status CreateDir(const std::string&) override { return Status::OK(); }
  Status GetFileSize(const std::string& name, std::uint64_t* size) override {
    std::lock_guard lock(mutex_);
    auto found = names_.find(name);
    if (found == names_.end()) return Status::NotFound(name);
    *size = found->second->Content().size();
    return Status::OK();
  }
  Status RenameFile(const std::string& from, const std::string& to) override {
    std::lock_guard lock(mutex_);
    if (NextOperationFails()) return InjectedError(from);
    auto found = names_.find(from);
    if (found == names_.end()) return Status::NotFound(from);
    SimulatedFilePtr file = found->second;
    names_.erase(found);
    names_[to] = file;
    unsynced_name_changes_.push_back({from, to, file});
    return Status::OK();
  }
  Status LockFile(const std::string&, leveldb::FileLock** lock) override {
    *lock = new Lock;
    return Status::OK();
  }
  Status UnlockFile(leveldb::FileLock* lock) override {
    delete lock;
    return Status::OK();
  }

  // Used by the files of this disk.
  bool Write(const SimulatedFilePtr& file, std::string bytes) {
    std::lock_guard lock(mutex_);
    if (NextOperationFails()) return false;
    std::size_t total = bytes.size();
    for (const auto& [name, each] : names_) {
      total += each->synced.size();
      for (const std::string& piece : each->unsynced) total += piece.size();
    }
    if (total > capacity_) return false;
    peak_bytes_ = std::max(peak_bytes_, total);
    file->unsynced.push_back(std::move(bytes));
    return true;
  }
  bool Sync(const SimulatedFilePtr& file, const std::string& name) {
    std::lock_guard lock(mutex_);
    if (NextOperationFails()) return false;
    file->synced = file->Content();
    file->unsynced.clear();
    auto found = names_.find(name);
    if (found != names_.end() && found->second == file) durable_names_[name] = file;
    return true;
  }
  static Status InjectedError(const std::string& name) { return Status::IOError(name, "refused"); }

 private:
  struct Lock : leveldb::FileLock {};
  struct NameChange {
    std::string from, to;  // empty `from`: created; empty `to`: removed
    SimulatedFilePtr file;
  };

  bool NextOperationFails() {
    std::uint64_t operation = operations_++;
    return operation >= fail_from_ && operation < fail_to_;
  }
  void MarkNamesDurable() {
    durable_names_ = names_;
    unsynced_name_changes_.clear();
  }
  // Keeps, drops or truncates each unsynced write at random. A missing part before a kept one reads as zeros.
  static std::string TearWrites(const std::vector<std::string>& pieces, std::mt19937_64& random) {
    std::string bytes;
    std::size_t end = 0;  // of the kept data
    for (const std::string& piece : pieces) {
      std::size_t at = bytes.size(), kept = 0;
      switch (random() % 3) {
        case 0:
          kept = piece.size();
          break;
        case 1:
          kept = random() % (piece.size() + 1);
          break;
        default:
          break;
      }
      bytes += piece.substr(0, kept) + std::string(piece.size() - kept, '\0');
      if (kept > 0) end = at + kept;
      if (kept > 0 && random() % 8 == 0) end = bytes.size();  // the file length is durable, but not the bytes
    }
    bytes.resize(end);
    return bytes;
  }

  mutable std::mutex mutex_;
  std::map<std::string, SimulatedFilePtr> names_, durable_names_;
  std::vector<NameChange> unsynced_name_changes_;  // since the last sync of the directory
  std::size_t capacity_ = ~std::size_t{0}, peak_bytes_ = 0;
  std::uint64_t operations_ = 0, fail_from_ = ~0ull, fail_to_ = ~0ull;

  friend class SimulatedWritableFile;
};

// Reads a snapshot of a file, taken when it was opened.
class SimulatedReadableFile : public leveldb::SequentialFile, public leveldb::RandomAccessFile {
 public:
  explicit SimulatedReadableFile(std::string content) : content_(std::move(content)) {}
  Status Read(std::size_t n, Slice* result, char* scratch) override {
    Status status = Read(at_, n, result, scratch);
    at_ += result->size();
    return status;
  }
  Status Skip(std::uint64_t n) override {
    at_ += n;
    return Status::OK();
  }
  Status Read(std::uint64_t at, std::size_t n, Slice* result, char* scratch) const override {
    at = std::min<std::uint64_t>(at, content_.size());
    n = std::min<std::size_t>(n, content_.size() - at);
    content_.copy(scratch, n, at);
    *result = Slice(scratch, n);
    return Status::OK();
  }

 private:
  const std::string content_;
  std::uint64_t at_ = 0;
};

// Buffers writes like LevelDB's POSIX files and passes them to the disk, where they can fail.
class SimulatedWritableFile : public leveldb::WritableFile {
 public:
  SimulatedWritableFile(SimulatedDisk& disk, std::string name, SimulatedFilePtr file)
      : disk_(disk), name_(std::move(name)), file_(std::move(file)) {}
  ~SimulatedWritableFile() override { Flush(); }
  Status Append(const Slice& data) override {
    buffer_.append(data.data(), data.size());
    return buffer_.size() < kFileBufferBytes ? Status::OK() : Flush();
  }
  Status Close() override { return Flush(); }
  Status Flush() override {
    if (buffer_.empty()) return Status::OK();
    return disk_.Write(file_, std::exchange(buffer_, {})) ? Status::OK()
                                                          : SimulatedDisk::InjectedError(name_);
  }
  Status Sync() override {
    if (name_.find("MANIFEST") != std::string::npos && !disk_.SyncDirectory())
      return SimulatedDisk::InjectedError(name_);
    if (Status status = Flush(); !status.ok()) return status;
    return disk_.Sync(file_, name_) ? Status::OK() : SimulatedDisk::InjectedError(name_);
  }

 private:
  SimulatedDisk& disk_;
  const std::string name_;
  const SimulatedFilePtr file_;
  std::string buffer_;
};

Status SimulatedDisk::NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) {
  std::lock_guard lock(mutex_);
  auto found = names_.find(name);
  if (found == names_.end()) return Status::NotFound(name);
  *file = new SimulatedReadableFile(found->second->Content());
  return Status::OK();
}
Status SimulatedDisk::NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) {
  std::lock_guard lock(mutex_);
  auto found = names_.find(name);
  if (found == names_.end()) return Status::NotFound(name);
  *file = new SimulatedReadableFile(found->second->Content());
  return Status::OK();
}
Status SimulatedDisk::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
  std::lock_guard lock(mutex_);
  if (NextOperationFails()) return InjectedError(name);
  SimulatedFilePtr made = names_[name] = std::make_shared<SimulatedFile>();
  unsynced_name_changes_.push_back({"", name, made});
  *file = new SimulatedWritableFile(*this, name, made);
  return Status::OK();
}

// ---- Test runs ----

std::unique_ptr<Storage> Open(SimulatedDisk& disk) {
  return OpenStorage(kDirectory, disk, [&disk] { return disk.SyncDirectory(); });
}

std::string ValueText(std::uint64_t version) {
  return std::to_string(version) + std::string(40'000, static_cast<char>('a' + version % 26));
}

// Writes like the core: the state with each write, and the value only if its version has changed.
struct Writer {
  std::uint64_t attempted = 0, reported = 0, value = 0;

  bool Write(Storage& storage) {
    std::uint64_t id = ++attempted, version = id - id % 2;
    agreement::CoreState state;
    state.promised.round = id;
    Records records{{agreement::kStateKey, agreement::EncodeState(state)}};
    if (version != value)
      records.emplace_back(agreement::kValueKey, agreement::EncodeValue({version, ValueText(version)}));
    BOOST_REQUIRE(storage.Write(id, std::move(records)));
    pollfd wait{storage.fd(), POLLIN, 0};
    BOOST_REQUIRE(poll(&wait, 1, 10000) == 1);
    auto results = storage.Drain();
    BOOST_REQUIRE((results.size() == 1 && results[0].id == id));
    if (results[0].ok) {
      reported = id;
      value = version;
    }
    return results[0].ok;
  }

  // Returns an empty string if everything reported as written can be read back, otherwise a description of
  // the fault.
  std::string Check(Storage& storage) {
    auto state =
        agreement::DecodeState(storage.Read(agreement::kStateKey), storage.Read(agreement::kValueKey));
    if (!state) return "it can't be decoded";
    std::uint64_t round = state->promised.round, version = state->value.version;
    std::string found = "reported " + std::to_string(reported) + " of " + std::to_string(attempted) +
                        ", found " + std::to_string(round) + " with value " + std::to_string(version);
    if (round < reported || round > attempted || version != round - round % 2) return found;
    if (version > 0 && state->value.text != ValueText(version)) return found + ", of another text";
    reported = round;
    value = version;
    return {};
  }
};

constexpr int kWrites = 30;

// Opens the storage, checks it and writes once more. Returns a description of the fault, or an empty string.
std::string Reopen(SimulatedDisk& disk, Writer& writer) {
  try {
    auto storage = Open(disk);
    if (std::string fault = writer.Check(*storage); !fault.empty()) return fault;
    if (!writer.Write(*storage)) return "it accepts no more writes";
    return {};
  } catch (const StorageError& error) {
    return std::string("it can't be opened: ") + error.what();
  }
}

// Runs the writes with operations `from` (inclusive) to `to` (exclusive) failing, then crashes with `loss`.
// Unless `second_failure` is ~0, reopens the storage on a disk that fails from that operation of the second
// run on, and crashes again. `length` receives the number of operations of the first run. Returns a
// description of the fault, or an empty string.
std::string RunWithFailures(std::uint64_t from, std::uint64_t to, UnsyncedLoss loss,
                            std::uint64_t second_failure, std::uint64_t seed,
                            std::uint64_t* length = nullptr) {
  std::mt19937_64 random(seed);
  SimulatedDisk disk;
  Writer writer;
  disk.FailAt(from, to);
  try {
    auto storage = Open(disk);
    for (int i = 0; i < kWrites; ++i) {
      if (!writer.Write(*storage) && to == ~0ull) break;
    }
  } catch (const StorageError&) {
  }
  if (length) *length = disk.operations();
  disk.Crash(loss, random);
  if (second_failure != ~0ull) {
    disk.FailAt(second_failure, ~0ull);
    try {
      auto storage = Open(disk);
      if (std::string fault = writer.Check(*storage); !fault.empty()) return fault;
      for (int i = 0; i < 4 && writer.Write(*storage); ++i) {
      }
    } catch (const StorageError&) {
    }
    disk.Crash(loss, random);
  }
  return Reopen(disk, writer);
}

// How many of the cases to run, from CURLEWDOOR_CRASHES.
struct Sweep {
  std::uint64_t torn_seeds = 1, step = 3;
  bool run_all = false;
  Sweep() {
    const char* crashes = std::getenv("CURLEWDOOR_CRASHES");
    if (!crashes) return;
    torn_seeds = std::strtoull(crashes, nullptr, 10);
    step = 1;
    run_all = true;
  }
};

BOOST_AUTO_TEST_CASE(what_was_reported_is_there_after_a_crash_at_every_operation) {
  Sweep sweep;
  std::uint64_t length = 0, restarts = 0;
  auto begun = std::chrono::steady_clock::now();
  BOOST_TEST(RunWithFailures(~0ull, ~0ull, UnsyncedLoss::kAll, ~0ull, 1, &length) == "");
  BOOST_TEST(length > 80u);
  auto run_and_check = [&](std::uint64_t from, UnsyncedLoss loss, std::uint64_t second_failure,
                           std::uint64_t seed) {
    std::string fault = RunWithFailures(from, ~0ull, loss, second_failure, seed);
    restarts += second_failure == ~0ull ? 1 : 2;
    BOOST_CHECK_MESSAGE(fault.empty(), "operation " << from << ", loss " << static_cast<int>(loss)
                                                    << ", then operation "
                                                    << static_cast<std::int64_t>(second_failure) << ", seed "
                                                    << seed << ": " << fault);
  };
  for (std::uint64_t k = 0; k <= length; ++k) {
    run_and_check(k, UnsyncedLoss::kNone, ~0ull, k);
    run_and_check(k, UnsyncedLoss::kAll, ~0ull, k);
    for (std::uint64_t seed = 0; seed < sweep.torn_seeds; ++seed)
      run_and_check(k, UnsyncedLoss::kTorn, ~0ull, seed * 1000 + k);
    for (std::uint64_t second_failure = 0; second_failure < 24; second_failure += sweep.run_all ? 1 : 7) {
      if (k % sweep.step == 0)
        run_and_check(k, second_failure % 2 ? UnsyncedLoss::kTorn : UnsyncedLoss::kAll, second_failure,
                      second_failure * 1000 + k);
    }
  }
  std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - begun;
  BOOST_TEST_MESSAGE(length << " operations, " << restarts << " restarts, " << seconds.count() << " s");
}

// Operations that fail for a while, as on a full disk, fail only the writes concerned and lose nothing that
// was reported.
BOOST_AUTO_TEST_CASE(what_was_reported_is_there_after_a_disk_has_refused) {
  Sweep sweep;
  std::uint64_t length = 0, restarts = 0;
  RunWithFailures(~0ull, ~0ull, UnsyncedLoss::kAll, ~0ull, 1, &length);
  for (std::uint64_t k = 0; k <= length; ++k) {
    for (std::uint64_t count : {1u, 2u, 5u, 20u}) {
      for (UnsyncedLoss loss : {UnsyncedLoss::kNone, UnsyncedLoss::kAll, UnsyncedLoss::kTorn}) {
        if (!sweep.run_all && (k + count) % sweep.step != 0) continue;
        std::string fault = RunWithFailures(k, k + count, loss, ~0ull, k);
        ++restarts;
        BOOST_CHECK_MESSAGE(fault.empty(), "operations " << k << " and " << count - 1 << " more, loss "
                                                         << static_cast<int>(loss) << ": " << fault);
      }
    }
  }
  BOOST_TEST_MESSAGE(restarts << " restarts");
}

BOOST_AUTO_TEST_CASE(a_full_disk_is_an_error_of_each_write_and_loses_nothing) {
  std::mt19937_64 random(1);
  SimulatedDisk disk;
  disk.SetCapacity(400'000);
  Writer writer;
  auto storage = Open(disk);
  while (writer.attempted < 100 && writer.Write(*storage)) {
  }
  BOOST_TEST(writer.attempted < 100u);
  for (int i = 0; i < 20; ++i) BOOST_TEST((writer.Write(*storage) || writer.reported < writer.attempted));
  disk.SetCapacity(4'000'000);
  BOOST_TEST(writer.Write(*storage));
  storage.reset();
  disk.Crash(UnsyncedLoss::kAll, random);
  BOOST_TEST(Reopen(disk, writer) == "");
}

// Guards against replaced values that are never removed: the disk may hold a few versions of a value, not
// all 60.
BOOST_AUTO_TEST_CASE(old_values_leave_the_disk) {
  for (std::size_t size : {300'000u, 2'000'000u}) {
    SimulatedDisk disk;
    auto storage = Open(disk);
    for (std::uint64_t id = 1; id <= 60; ++id) {
      storage->Write(id, {{"value", std::string(size, static_cast<char>('a' + id % 26))}});
      pollfd wait{storage->fd(), POLLIN, 0};
      BOOST_REQUIRE(poll(&wait, 1, 10000) == 1);
      BOOST_TEST(storage->Drain().at(0).ok);
    }
    BOOST_TEST_MESSAGE("60 values of " << size << " bytes: " << disk.peak_bytes() << " at most");
    BOOST_TEST(disk.peak_bytes() < 20 * size);
  }
}

}  // namespace
}  // namespace curlewdoor::storage
