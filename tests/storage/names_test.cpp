// Guards against writes on the real file system that are reported before all names on the way to their bytes
// are durable. The test takes the place of the C library's calls that sync, and notes which names each one
// covers.
#include <poll.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "storage/storage.hpp"

namespace {

namespace fs = std::filesystem;

// The names that were in a directory when its last sync began, by the path of the directory.
class DurableNames {
 public:
  int Sync(long system_call, int fd) {
    const fs::path path = fs::read_symlink("/proc/self/fd/" + std::to_string(fd));
    const std::set<std::string> names = NamesIn(path);
    const int result = static_cast<int>(syscall(system_call, fd));
    std::lock_guard lock(mutex_);
    if (result == 0 && fs::is_directory(path)) names_[path] = names;
    return result;
  }

  bool Contains(const fs::path& path) {
    std::lock_guard lock(mutex_);
    return names_[path.parent_path()].contains(path.filename());
  }

 private:
  static std::set<std::string> NamesIn(const fs::path& directory) {
    std::set<std::string> names;
    if (!fs::is_directory(directory)) return names;
    for (const auto& entry : fs::directory_iterator(directory)) names.insert(entry.path().filename());
    return names;
  }

  std::mutex mutex_;
  std::map<fs::path, std::set<std::string>> names_;
};

DurableNames& durable_names() {
  static DurableNames names;
  return names;
}

}  // namespace

extern "C" int fsync(int fd) { return durable_names().Sync(SYS_fsync, fd); }
extern "C" int fdatasync(int fd) { return durable_names().Sync(SYS_fdatasync, fd); }

namespace curlewdoor::storage {
namespace {

constexpr int kReportMilliseconds = 10'000;

struct TemporaryDirectory {
  fs::path path = fs::canonical(fs::temp_directory_path()) / ("curlewdoor-names-" + std::to_string(getpid()));
  TemporaryDirectory() { fs::create_directory(path); }
  ~TemporaryDirectory() { fs::remove_all(path); }
};

bool Write(Storage& storage, std::uint64_t id) {
  const std::string value(20'000, static_cast<char>('a' + id % 26));
  pollfd wait{storage.fd(), POLLIN, 0};
  if (!storage.Write(id, {{"value", value}}) || poll(&wait, 1, kReportMilliseconds) != 1) return false;
  return storage.Drain().at(0).ok;
}

// Tables may be in the making beside a write; a log without a byte holds nothing that was reported. LevelDB
// may also remove a log meanwhile.
bool HoldsReported(const fs::path& file) {
  const std::string name = file.filename();
  if (name.starts_with("MANIFEST") || name == "CURRENT") return true;
  std::error_code gone;
  const std::uintmax_t bytes = fs::file_size(file, gone);
  return name.ends_with(".log") && !gone && bytes > 0;
}

void CheckNames(const fs::path& core) {
  BOOST_TEST(durable_names().Contains(core));
  for (const fs::directory_entry& entry : fs::directory_iterator(core)) {
    if (!HoldsReported(entry.path())) continue;
    BOOST_TEST(durable_names().Contains(entry.path()), entry.path() << " may lose its name");
  }
}

// At the first start, at later ones, and where a log has become full.
BOOST_AUTO_TEST_CASE(every_name_on_the_way_to_a_reported_write_is_durable) {
  const TemporaryDirectory data_directory;
  const fs::path core = data_directory.path / "core";
  std::uint64_t id = 0;
  for (int start = 0; start < 3; ++start) {
    const auto storage = OpenStorage(core.string());
    for (int i = 0; i < 40; ++i) {
      BOOST_REQUIRE(Write(*storage, ++id));
      CheckNames(core);
    }
  }
}

}  // namespace
}  // namespace curlewdoor::storage
