#include "storage/directory.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <filesystem>

namespace curlewdoor::storage {

std::string ParentDirectory(const std::string& directory) {
  std::filesystem::path path = std::filesystem::path(directory).lexically_normal();
  if (!path.has_filename()) path = path.parent_path();  // it ended with a slash
  const std::filesystem::path parent = path.parent_path();
  return parent.empty() ? "." : parent.string();
}

bool SyncDirectory(const std::string& directory) {
  const int fd = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return false;
  const bool synced = ::fsync(fd) == 0;
  ::close(fd);
  return synced;
}

}  // namespace curlewdoor::storage
