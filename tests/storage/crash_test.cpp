// The storage on a disk that dies at every one of its operations: what was reported as written is there when
// it is opened again, whatever became of what wasn't synced; and on a disk that refuses some and goes on. A
// part of the runs; all: CURLEWDOOR_CRASHES=<torn positions a place>, e.g. 40.
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

constexpr char kFolder[] = "/disk";
constexpr std::size_t kBuffer = 64 << 10;  // as LevelDB's own files have

// What becomes of what isn't synced.
enum class Loss { kNothing, kAll, kTorn };  // kNothing: the process dies, the machine stays

struct File {
  std::string synced;
  std::vector<std::string> later;  // written at its end since
  std::string Content() const {
    std::string content = synced;
    for (const std::string& piece : later) content += piece;
    return content;
  }
};
using FilePtr = std::shared_ptr<File>;

// Files in memory, by the rules of docs/core.md, "The disk": a file's bytes and its name last once it was
// synced, a renamed or removed name once its folder was.
class Disk : public leveldb::EnvWrapper {
 public:
  Disk() : EnvWrapper(leveldb::Env::Default()) {}

  // Operations `from` to `to` fail (counted from now).
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

  // No more bytes than these, by all its files.
  void Bound(std::size_t bytes) {
    std::lock_guard lock(mutex_);
    bound_ = bytes;
  }
  std::size_t most_bytes() const {
    std::lock_guard lock(mutex_);
    return most_bytes_;
  }

  // Nobody has it open.
  void Crash(Loss loss, std::mt19937_64& random) {
    std::lock_guard lock(mutex_);
    if (loss != Loss::kNothing) {
      auto names = lasting_;
      for (const auto& change : changes_) {
        if (loss == Loss::kAll || random() % 2 == 0) continue;
        if (change.from.empty() && change.file) names[change.to] = change.file;
        if (!change.from.empty()) names.erase(change.from);
        if (!change.from.empty() && change.file) names[change.to] = change.file;
      }
      names_ = names;
    }
    for (auto& [name, file] : names_) {
      if (loss == Loss::kNothing) continue;  // ... and what isn't synced may still be lost later
      file->synced += loss == Loss::kAll ? "" : Torn(file->later, random);
      file->later.clear();
    }
    if (loss != Loss::kNothing) {
      lasting_ = names_;
      changes_.clear();
    }
    operations_ = 0;
    fail_from_ = fail_to_ = ~0ull;
  }

  bool SyncFolder() {
    std::lock_guard lock(mutex_);
    if (Fails()) return false;
    LastNames();
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
    for (const auto& [name, file] : names_) children->push_back(name.substr(sizeof kFolder));
    return Status::OK();
  }
  Status RemoveFile(const std::string& name) override {
    std::lock_guard lock(mutex_);
    if (Fails()) return Refused(name);
    if (names_.erase(name) == 0) return Status::NotFound(name);
    changes_.push_back({name, "", nullptr});
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
    if (Fails()) return Refused(from);
    auto found = names_.find(from);
    if (found == names_.end()) return Status::NotFound(from);
    FilePtr file = found->second;
    names_.erase(found);
    names_[to] = file;
    changes_.push_back({from, to, file});
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

  // For its files.
  bool Write(const FilePtr& file, std::string bytes) {
    std::lock_guard lock(mutex_);
    if (Fails()) return false;
    std::size_t all = bytes.size();
    for (const auto& [name, each] : names_) {
      all += each->synced.size();
      for (const std::string& piece : each->later) all += piece.size();
    }
    if (all > bound_) return false;
    most_bytes_ = std::max(most_bytes_, all);
    file->later.push_back(std::move(bytes));
    return true;
  }
  bool Sync(const FilePtr& file, const std::string& name) {
    std::lock_guard lock(mutex_);
    if (Fails()) return false;
    file->synced = file->Content();
    file->later.clear();
    auto found = names_.find(name);
    if (found != names_.end() && found->second == file) lasting_[name] = file;
    return true;
  }
  static Status Refused(const std::string& name) { return Status::IOError(name, "refused"); }

 private:
  struct Lock : leveldb::FileLock {};
  struct Change {
    std::string from, to;  // from none: made; to none: removed
    FilePtr file;
  };

  bool Fails() {
    std::uint64_t operation = operations_++;
    return operation >= fail_from_ && operation < fail_to_;
  }
  void LastNames() {
    lasting_ = names_;
    changes_.clear();
  }
  // Each write is there, missing or torn; what is missing before others is zeros.
  static std::string Torn(const std::vector<std::string>& pieces, std::mt19937_64& random) {
    std::string bytes;
    std::size_t end = 0;  // of what is there
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
      if (kept > 0 && random() % 8 == 0) end = bytes.size();  // the length was kept, and not the bytes
    }
    bytes.resize(end);
    return bytes;
  }

  mutable std::mutex mutex_;
  std::map<std::string, FilePtr> names_, lasting_;
  std::vector<Change> changes_;  // of names, since the folder was synced
  std::size_t bound_ = ~std::size_t{0}, most_bytes_ = 0;
  std::uint64_t operations_ = 0, fail_from_ = ~0ull, fail_to_ = ~0ull;

  friend class Writing;
};

class Reading : public leveldb::SequentialFile, public leveldb::RandomAccessFile {
 public:
  explicit Reading(std::string content) : content_(std::move(content)) {}
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

class Writing : public leveldb::WritableFile {
 public:
  Writing(Disk& disk, std::string name, FilePtr file)
      : disk_(disk), name_(std::move(name)), file_(std::move(file)) {}
  ~Writing() override { Flush(); }
  Status Append(const Slice& data) override {
    buffer_.append(data.data(), data.size());
    return buffer_.size() < kBuffer ? Status::OK() : Flush();
  }
  Status Close() override { return Flush(); }
  Status Flush() override {
    if (buffer_.empty()) return Status::OK();
    return disk_.Write(file_, std::exchange(buffer_, {})) ? Status::OK() : Disk::Refused(name_);
  }
  Status Sync() override {
    if (name_.find("MANIFEST") != std::string::npos && !disk_.SyncFolder()) return Disk::Refused(name_);
    if (Status status = Flush(); !status.ok()) return status;
    return disk_.Sync(file_, name_) ? Status::OK() : Disk::Refused(name_);
  }

 private:
  Disk& disk_;
  const std::string name_;
  const FilePtr file_;
  std::string buffer_;
};

Status Disk::NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) {
  std::lock_guard lock(mutex_);
  auto found = names_.find(name);
  if (found == names_.end()) return Status::NotFound(name);
  *file = new Reading(found->second->Content());
  return Status::OK();
}
Status Disk::NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) {
  std::lock_guard lock(mutex_);
  auto found = names_.find(name);
  if (found == names_.end()) return Status::NotFound(name);
  *file = new Reading(found->second->Content());
  return Status::OK();
}
Status Disk::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
  std::lock_guard lock(mutex_);
  if (Fails()) return Refused(name);
  FilePtr made = names_[name] = std::make_shared<File>();
  changes_.push_back({"", name, made});
  *file = new Writing(*this, name, made);
  return Status::OK();
}

// ---- A run ----

std::unique_ptr<Storage> Open(Disk& disk) {
  return OpenStorage(kFolder, disk, [&disk] { return disk.SyncFolder(); });
}

std::string TextOf(std::uint64_t version) {
  return std::to_string(version) + std::string(40'000, static_cast<char>('a' + version % 26));
}

// What the core does: the state with each write, the value where another is kept.
struct Writer {
  std::uint64_t attempted = 0, reported = 0, value = 0;

  bool Write(Storage& storage) {
    std::uint64_t id = ++attempted, version = id - id % 2;
    agreement::CoreState state;
    state.promised.round = id;
    Records records{{agreement::kStateKey, agreement::EncodeState(state)}};
    if (version != value)
      records.emplace_back(agreement::kValueKey, agreement::EncodeValue({version, TextOf(version)}));
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

  // Empty: all that was reported is there.
  std::string Check(Storage& storage) {
    auto state =
        agreement::DecodeState(storage.Read(agreement::kStateKey), storage.Read(agreement::kValueKey));
    if (!state) return "it can't be decoded";
    std::uint64_t round = state->promised.round, version = state->value.version;
    std::string found = "reported " + std::to_string(reported) + " of " + std::to_string(attempted) +
                        ", found " + std::to_string(round) + " with value " + std::to_string(version);
    if (round < reported || round > attempted || version != round - round % 2) return found;
    if (version > 0 && state->value.text != TextOf(version)) return found + ", of another text";
    reported = round;
    value = version;
    return {};
  }
};

constexpr int kWrites = 30;

std::string Reopen(Disk& disk, Writer& writer) {
  try {
    auto storage = Open(disk);
    if (std::string wrong = writer.Check(*storage); !wrong.empty()) return wrong;
    if (!writer.Write(*storage)) return "it takes nothing more";
    return {};
  } catch (const StorageError& error) {
    return std::string("it can't be opened: ") + error.what();
  }
}

// Operations `from` to `to` of the run fail; then the loss; with `again`, the disk dies once more at that
// operation of the next opening. `length`: operations of the run.
std::string Play(std::uint64_t from, std::uint64_t to, Loss loss, std::uint64_t again, std::uint64_t seed,
                 std::uint64_t* length = nullptr) {
  std::mt19937_64 random(seed);
  Disk disk;
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
  if (again != ~0ull) {
    disk.FailAt(again, ~0ull);
    try {
      auto storage = Open(disk);
      if (std::string wrong = writer.Check(*storage); !wrong.empty()) return wrong;
      for (int i = 0; i < 4 && writer.Write(*storage); ++i) {
      }
    } catch (const StorageError&) {
    }
    disk.Crash(loss, random);
  }
  return Reopen(disk, writer);
}

struct Sweep {
  std::uint64_t torn = 1, step = 3;
  bool all = false;
  Sweep() {
    const char* crashes = std::getenv("CURLEWDOOR_CRASHES");
    if (!crashes) return;
    torn = std::strtoull(crashes, nullptr, 10);
    step = 1;
    all = true;
  }
};

BOOST_AUTO_TEST_CASE(what_was_reported_is_there_after_a_crash_at_every_operation) {
  Sweep sweep;
  std::uint64_t length = 0, restarts = 0;
  auto begun = std::chrono::steady_clock::now();
  BOOST_TEST(Play(~0ull, ~0ull, Loss::kAll, ~0ull, 1, &length) == "");
  BOOST_TEST(length > 80u);
  auto play = [&](std::uint64_t from, Loss loss, std::uint64_t again, std::uint64_t seed) {
    std::string wrong = Play(from, ~0ull, loss, again, seed);
    restarts += again == ~0ull ? 1 : 2;
    BOOST_CHECK_MESSAGE(wrong.empty(), "operation " << from << ", loss " << static_cast<int>(loss)
                                                    << ", then operation " << static_cast<std::int64_t>(again)
                                                    << ", seed " << seed << ": " << wrong);
  };
  for (std::uint64_t k = 0; k <= length; ++k) {
    play(k, Loss::kNothing, ~0ull, k);
    play(k, Loss::kAll, ~0ull, k);
    for (std::uint64_t seed = 0; seed < sweep.torn; ++seed) play(k, Loss::kTorn, ~0ull, seed * 1000 + k);
    for (std::uint64_t again = 0; again < 24; again += sweep.all ? 1 : 7) {
      if (k % sweep.step == 0) play(k, again % 2 ? Loss::kTorn : Loss::kAll, again, again * 1000 + k);
    }
  }
  std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - begun;
  BOOST_TEST_MESSAGE(length << " operations, " << restarts << " restarts, " << seconds.count() << " s");
}

// Refused, full for a while: an error of that write alone, and nothing reported is lost by it.
BOOST_AUTO_TEST_CASE(what_was_reported_is_there_after_a_disk_has_refused) {
  Sweep sweep;
  std::uint64_t length = 0, restarts = 0;
  Play(~0ull, ~0ull, Loss::kAll, ~0ull, 1, &length);
  for (std::uint64_t k = 0; k <= length; ++k) {
    for (std::uint64_t count : {1u, 2u, 5u, 20u}) {
      for (Loss loss : {Loss::kNothing, Loss::kAll, Loss::kTorn}) {
        if (!sweep.all && (k + count) % sweep.step != 0) continue;
        std::string wrong = Play(k, k + count, loss, ~0ull, k);
        ++restarts;
        BOOST_CHECK_MESSAGE(wrong.empty(), "operations " << k << " and " << count - 1 << " more, loss "
                                                         << static_cast<int>(loss) << ": " << wrong);
      }
    }
  }
  BOOST_TEST_MESSAGE(restarts << " restarts");
}

BOOST_AUTO_TEST_CASE(a_full_disk_is_an_error_of_each_write_and_loses_nothing) {
  std::mt19937_64 random(1);
  Disk disk;
  disk.Bound(400'000);
  Writer writer;
  auto storage = Open(disk);
  while (writer.attempted < 100 && writer.Write(*storage)) {
  }
  BOOST_TEST(writer.attempted < 100u);
  for (int i = 0; i < 20; ++i) BOOST_TEST((writer.Write(*storage) || writer.reported < writer.attempted));
  disk.Bound(4'000'000);
  BOOST_TEST(writer.Write(*storage));
  storage.reset();
  disk.Crash(Loss::kAll, random);
  BOOST_TEST(Reopen(disk, writer) == "");
}

// Versions come and go: the disk holds a few of them, not all.
BOOST_AUTO_TEST_CASE(old_values_leave_the_disk) {
  for (std::size_t size : {300'000u, 2'000'000u}) {
    Disk disk;
    auto storage = Open(disk);
    for (std::uint64_t id = 1; id <= 60; ++id) {
      storage->Write(id, {{"value", std::string(size, static_cast<char>('a' + id % 26))}});
      pollfd wait{storage->fd(), POLLIN, 0};
      BOOST_REQUIRE(poll(&wait, 1, 10000) == 1);
      BOOST_TEST(storage->Drain().at(0).ok);
    }
    BOOST_TEST_MESSAGE("60 values of " << size << " bytes: " << disk.most_bytes() << " at most");
    BOOST_TEST(disk.most_bytes() < 20 * size);
  }
}

}  // namespace
}  // namespace curlewdoor::storage
