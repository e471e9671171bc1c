#include "storage/durable_names_env.hpp"

#include <memory>
#include <utility>

namespace curlewdoor::storage {

using leveldb::Status;

// A file whose Sync() includes its name, and whose Close() includes a sync of what was appended since.
class DurableNamesEnv::File : public leveldb::WritableFile {
 public:
  File(DurableNamesEnv& env, std::unique_ptr<leveldb::WritableFile> file, NameChange creation)
      : env_(env), file_(std::move(file)), creation_(creation) {}
  Status Append(const leveldb::Slice& data) override {
    unsynced_ = true;
    return file_->Append(data);
  }
  Status Close() override {
    if (unsynced_) {
      if (Status status = Sync(); !status.ok()) return status;
    }
    return file_->Close();
  }
  Status Flush() override { return file_->Flush(); }
  Status Sync() override {
    if (Status status = file_->Sync(); !status.ok()) return status;
    unsynced_ = false;
    return env_.SyncNames(creation_);
  }

 private:
  DurableNamesEnv& env_;
  const std::unique_ptr<leveldb::WritableFile> file_;
  const NameChange creation_;
  bool unsynced_ = false;
};

DurableNamesEnv::DurableNamesEnv(leveldb::Env& env, std::string directory,
                                 std::function<bool()> sync_directory)
    : leveldb::EnvWrapper(&env),
      directory_(std::move(directory)),
      sync_directory_(std::move(sync_directory)) {}

Status DurableNamesEnv::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
  return Wrap(leveldb::EnvWrapper::NewWritableFile(name, file), file);
}

Status DurableNamesEnv::NewAppendableFile(const std::string& name, leveldb::WritableFile** file) {
  return Wrap(leveldb::EnvWrapper::NewAppendableFile(name, file), file);
}

Status DurableNamesEnv::RenameFile(const std::string& from, const std::string& to) {
  if (Status status = leveldb::EnvWrapper::RenameFile(from, to); !status.ok()) return status;
  last_rename_ = ++last_change_;
  SyncRenames();
  return Status::OK();
}

Status DurableNamesEnv::RemoveFile(const std::string& name) {
  if (Status status = SyncRenames(); !status.ok()) return status;
  return leveldb::EnvWrapper::RemoveFile(name);
}

Status DurableNamesEnv::GetChildren(const std::string& directory, std::vector<std::string>* children) {
  Status status = leveldb::EnvWrapper::GetChildren(directory, children);
  if (hide_logs_) std::erase_if(*children, [](const std::string& name) { return name.ends_with(".log"); });
  return status;
}

Status DurableNamesEnv::SyncRenames() { return SyncNames(last_rename_); }

// A change is numbered only after it was made, so that a concurrent sync can't count it too early.
Status DurableNamesEnv::Wrap(Status status, leveldb::WritableFile** file) {
  if (!status.ok()) return status;
  *file = new File(*this, std::unique_ptr<leveldb::WritableFile>(*file), ++last_change_);
  return status;
}

Status DurableNamesEnv::SyncNames(NameChange change) {
  if (durable_ >= change) return Status::OK();
  std::lock_guard lock(sync_mutex_);
  if (durable_ >= change) return Status::OK();
  const NameChange covered = last_change_;
  if (!sync_directory_()) return Status::IOError(directory_, "the directory can't be synced");
  durable_ = covered;
  return Status::OK();
}

}  // namespace curlewdoor::storage
