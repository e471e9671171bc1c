#include "simulated_disk.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::storage {
namespace {

using leveldb::Slice;
using leveldb::Status;

constexpr std::size_t kFileBufferBytes = 64 << 10;  // same as LevelDB's POSIX files
constexpr unsigned kFullLengthOdds = 8;             // one in so many torn writes keeps its length only

Status InjectedError(const std::string& name) { return Status::IOError(name, "refused"); }

// Keeps, drops or truncates each unsynced write at random. A missing part before a kept one reads as zeros.
std::string TearWrites(const std::vector<std::string>& pieces, std::mt19937_64& random) {
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
    if (kept > 0 && random() % kFullLengthOdds == 0)
      end = bytes.size();  // the length is durable, not the bytes
  }
  bytes.resize(end);
  return bytes;
}

std::string DirectoryOf(const std::string& name) { return name.substr(0, name.rfind('/')); }

struct SimulatedLock : leveldb::FileLock {};

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
  ~SimulatedWritableFile() override { SimulatedWritableFile::Flush(); }
  Status Append(const Slice& data) override {
    buffer_.append(data.data(), data.size());
    return buffer_.size() < kFileBufferBytes ? Status::OK() : Flush();
  }
  Status Close() override { return Flush(); }
  Status Flush() override {
    if (buffer_.empty()) return Status::OK();
    return disk_.Write(file_, name_, std::exchange(buffer_, {})) ? Status::OK() : InjectedError(name_);
  }
  Status Sync() override {
    if (name_.find("MANIFEST") != std::string::npos && !disk_.SyncDirectory(DirectoryOf(name_)))
      return InjectedError(name_);
    if (Status status = Flush(); !status.ok()) return status;
    return disk_.Sync(file_) ? Status::OK() : InjectedError(name_);
  }

 private:
  SimulatedDisk& disk_;
  const std::string name_;
  const SimulatedFilePtr file_;
  std::string buffer_;
};

}  // namespace

std::string SimulatedFile::Content() const {
  std::string content = synced;
  for (const std::string& piece : unsynced) content += piece;
  return content;
}

std::size_t SimulatedFile::size() const {
  std::size_t total = synced.size();
  for (const std::string& piece : unsynced) total += piece.size();
  return total;
}

void SimulatedDisk::FailAt(std::uint64_t from, std::uint64_t to) {
  std::lock_guard lock(mutex_);
  operations_ = 0;
  fail_from_ = from;
  fail_to_ = to;
}

std::uint64_t SimulatedDisk::operations() const {
  std::lock_guard lock(mutex_);
  return operations_;
}

void SimulatedDisk::SetCapacity(std::size_t bytes) {
  std::lock_guard lock(mutex_);
  capacity_ = bytes;
}

std::size_t SimulatedDisk::peak_bytes() const {
  std::lock_guard lock(mutex_);
  return peak_bytes_;
}

std::uint64_t SimulatedDisk::writes_to_unsynced_logs() const {
  std::lock_guard lock(mutex_);
  return writes_to_unsynced_logs_;
}

void SimulatedDisk::Crash(UnsyncedLoss loss, std::mt19937_64& random) {
  std::lock_guard lock(mutex_);
  operations_ = 0;
  fail_from_ = fail_to_ = ~0ull;
  if (loss == UnsyncedLoss::kNone) return;  // unsynced data stays, and a later crash may still lose it
  names_ = durable_names_;
  for (const NameChange& change : unsynced_name_changes_) {
    if (loss == UnsyncedLoss::kAll || random() % 2 == 0) continue;
    Apply(change, names_);
  }
  // In this order a directory comes before what is in it.
  std::erase_if(names_, [this](const auto& entry) { return !IsDirectory(DirectoryOf(entry.first)); });
  for (auto& [name, file] : names_) {
    file->synced += loss == UnsyncedLoss::kAll ? "" : TearWrites(file->unsynced, random);
    file->unsynced.clear();
  }
  durable_names_ = names_;
  unsynced_name_changes_.clear();
}

std::unique_ptr<SimulatedDisk> SimulatedDisk::CrashedCopy(UnsyncedLoss loss, std::mt19937_64& random) const {
  auto copy = std::make_unique<SimulatedDisk>();
  copy->listing_order_.seed(random());
  {
    std::lock_guard lock(mutex_);
    std::map<SimulatedFilePtr, SimulatedFilePtr> copies;
    const auto copy_of = [&copies](const SimulatedFilePtr& file) {
      SimulatedFilePtr& made = copies[file];
      if (file && !made) made = std::make_shared<SimulatedFile>(*file);
      return made;
    };
    for (const auto& [name, file] : names_) copy->names_[name] = copy_of(file);
    for (const auto& [name, file] : durable_names_) copy->durable_names_[name] = copy_of(file);
    for (const NameChange& change : unsynced_name_changes_)
      copy->unsynced_name_changes_.push_back({change.from, change.to, copy_of(change.file)});
  }
  copy->Crash(loss, random);
  return copy;
}

void SimulatedDisk::SetDirectorySyncs(DirectorySyncs how) {
  std::lock_guard lock(mutex_);
  directory_syncs_ = how;
  directory_syncs_changed_.notify_all();
}

bool SimulatedDisk::SyncDirectory(const std::string& directory) {
  std::unique_lock lock(mutex_);
  directory_syncs_changed_.wait(lock, [this] { return directory_syncs_ != DirectorySyncs::kHang; });
  if (directory_syncs_ == DirectorySyncs::kFail) return false;
  if (NextOperationFails() || !IsDirectory(directory)) return false;
  std::erase_if(unsynced_name_changes_, [&](const NameChange& change) {
    if (change.Directory() != directory) return false;
    Apply(change, durable_names_);
    return true;
  });
  return true;
}

Status SimulatedDisk::NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) {
  std::lock_guard lock(mutex_);
  const SimulatedFilePtr found = Find(name);
  if (!found) return Status::NotFound(name);
  *file = new SimulatedReadableFile(found->Content());
  return Status::OK();
}

Status SimulatedDisk::NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) {
  std::lock_guard lock(mutex_);
  const SimulatedFilePtr found = Find(name);
  if (!found) return Status::NotFound(name);
  *file = new SimulatedReadableFile(found->Content());
  return Status::OK();
}

Status SimulatedDisk::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
  std::lock_guard lock(mutex_);
  if (NextOperationFails()) return InjectedError(name);
  if (!IsDirectory(DirectoryOf(name))) return Status::NotFound(name);
  SimulatedFilePtr made = names_[name] = std::make_shared<SimulatedFile>();
  unsynced_name_changes_.push_back({"", name, made});
  *file = new SimulatedWritableFile(*this, name, made);
  return Status::OK();
}

Status SimulatedDisk::NewAppendableFile(const std::string& name, leveldb::WritableFile** file) {
  *file = nullptr;
  return Status::NotSupported(name);
}

bool SimulatedDisk::FileExists(const std::string& name) {
  std::lock_guard lock(mutex_);
  return names_.contains(name);
}

Status SimulatedDisk::GetChildren(const std::string& directory, std::vector<std::string>* children) {
  std::lock_guard lock(mutex_);
  children->clear();
  if (!IsDirectory(directory)) return Status::NotFound(directory);
  for (const auto& [name, file] : names_) {
    if (DirectoryOf(name) == directory) children->push_back(name.substr(directory.size() + 1));
  }
  std::shuffle(children->begin(), children->end(), listing_order_);
  return Status::OK();
}

Status SimulatedDisk::RemoveFile(const std::string& name) {
  std::lock_guard lock(mutex_);
  if (NextOperationFails()) return InjectedError(name);
  if (names_.erase(name) == 0) return Status::NotFound(name);
  unsynced_name_changes_.push_back({name, "", nullptr});
  return Status::OK();
}

Status SimulatedDisk::CreateDir(const std::string& directory) {
  std::lock_guard lock(mutex_);
  if (NextOperationFails()) return InjectedError(directory);
  if (Find(directory)) return Status::IOError(directory, "exists");
  if (!IsDirectory(DirectoryOf(directory))) return Status::NotFound(directory);
  SimulatedFilePtr made = names_[directory] = std::make_shared<SimulatedFile>();
  made->is_directory = true;
  unsynced_name_changes_.push_back({"", directory, made});
  return Status::OK();
}

Status SimulatedDisk::GetFileSize(const std::string& name, std::uint64_t* size) {
  std::lock_guard lock(mutex_);
  const SimulatedFilePtr found = Find(name);
  if (!found) return Status::NotFound(name);
  *size = found->size();
  return Status::OK();
}

Status SimulatedDisk::RenameFile(const std::string& from, const std::string& to) {
  std::lock_guard lock(mutex_);
  if (NextOperationFails()) return InjectedError(from);
  const SimulatedFilePtr file = Find(from);
  if (!file) return Status::NotFound(from);
  names_.erase(from);
  names_[to] = file;
  unsynced_name_changes_.push_back({from, to, file});
  return Status::OK();
}

Status SimulatedDisk::LockFile(const std::string&, leveldb::FileLock** lock) {
  *lock = new SimulatedLock;
  return Status::OK();
}

Status SimulatedDisk::UnlockFile(leveldb::FileLock* lock) {
  delete lock;
  return Status::OK();
}

bool SimulatedDisk::Write(const SimulatedFilePtr& file, const std::string& name, std::string bytes) {
  std::lock_guard lock(mutex_);
  if (NextOperationFails()) return false;
  if (name.ends_with(".log") && !durable_names_.contains(name)) ++writes_to_unsynced_logs_;
  std::size_t total = bytes.size();
  for (const auto& [name, each] : names_) total += each->size();
  if (total > capacity_) return false;
  peak_bytes_ = std::max(peak_bytes_, total);
  file->unsynced.push_back(std::move(bytes));
  return true;
}

bool SimulatedDisk::Sync(const SimulatedFilePtr& file) {
  std::lock_guard lock(mutex_);
  if (NextOperationFails()) return false;
  file->synced = file->Content();
  file->unsynced.clear();
  return true;
}

bool SimulatedDisk::NextOperationFails() {
  const std::uint64_t operation = operations_++;
  return operation >= fail_from_ && operation < fail_to_;
}

SimulatedFilePtr SimulatedDisk::Find(const std::string& name) const {
  const auto found = names_.find(name);
  return found == names_.end() ? nullptr : found->second;
}

bool SimulatedDisk::IsDirectory(const std::string& name) const {
  const SimulatedFilePtr found = Find(name);
  return name == kRoot || (found && found->is_directory);
}

std::string SimulatedDisk::NameChange::Directory() const { return DirectoryOf(from.empty() ? to : from); }

void SimulatedDisk::Apply(const NameChange& change, Names& names) {
  if (!change.from.empty()) names.erase(change.from);
  if (!change.to.empty()) names[change.to] = change.file;
}

}  // namespace curlewdoor::storage
