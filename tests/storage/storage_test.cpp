// Tests of the LevelDB storage on the real file system, and of the memory storage that other tests use.
#include "storage/storage.hpp"

#include <poll.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "storage/memory_storage.hpp"

namespace curlewdoor::storage {
namespace {

// A path for a storage, removed before and after the test.
struct TemporaryDirectory {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("curlewdoor-storage-" + std::to_string(getpid()));
  TemporaryDirectory() { std::filesystem::remove_all(path); }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
};

// Collects `count` results, or fewer if none arrives for 10 s.
std::vector<WriteResult> WaitForResults(Storage& storage, std::size_t count) {
  std::vector<WriteResult> results;
  while (results.size() < count) {
    pollfd wait{storage.fd(), POLLIN, 0};
    if (poll(&wait, 1, 10000) != 1) break;
    for (WriteResult& r : storage.Drain()) results.push_back(std::move(r));
  }
  return results;
}

BOOST_AUTO_TEST_CASE(what_was_written_is_there_after_opening_again) {
  TemporaryDirectory directory;
  BOOST_TEST(StorageEmpty(directory.path));
  std::string large(100'000, 'x');
  {
    auto storage = OpenStorage(directory.path);
    BOOST_TEST(!storage->Read("state"));
    for (std::uint64_t id = 1; id <= 40; ++id) {
      BOOST_TEST(storage->Write(id, {{"state", std::to_string(id)}, {"value", large}}));
    }
    auto results = WaitForResults(*storage, 40);
    BOOST_REQUIRE(results.size() == 40);
    for (std::uint64_t id = 1; id <= 40; ++id) BOOST_TEST((results[id - 1].id == id && results[id - 1].ok));
  }
  BOOST_TEST(!StorageEmpty(directory.path));
  auto storage = OpenStorage(directory.path);
  BOOST_TEST(storage->Read("state").value() == "40");
  BOOST_TEST((storage->Read("value") == large));
}

BOOST_AUTO_TEST_CASE(a_missing_manifest_is_rebuilt_and_a_missing_parent_directory_is_named) {
  TemporaryDirectory directory;
  {
    auto storage = OpenStorage(directory.path);
    storage->Write(1, {{"state", "kept"}});
    BOOST_TEST(WaitForResults(*storage, 1).at(0).ok);
  }
  std::ofstream(directory.path / "CURRENT") << "MANIFEST-999999\n";
  BOOST_TEST(OpenStorage(directory.path)->Read("state").value() == "kept");
  BOOST_CHECK_EXCEPTION(OpenStorage("/proc/nowhere/storage"), StorageError, [](const StorageError& e) {
    return std::string(e.what()).find("/proc/nowhere/storage") != std::string::npos;
  });
}

BOOST_AUTO_TEST_CASE(a_disk_that_refuses_for_a_while_is_opened_anew) {
  TemporaryDirectory directory;
  auto storage = OpenStorage(directory.path);
  auto moved_away = directory.path.string() + ".aside";
  std::filesystem::rename(directory.path, moved_away);
  std::string large(600'000, 'x');  // larger than the write buffer, so that LevelDB creates files
  bool refused = false;
  for (std::uint64_t id = 1; id <= 6; ++id) {
    storage->Write(id, {{"value", large}});
    refused = !WaitForResults(*storage, 1).at(0).ok || refused;
    if (refused) break;
  }
  BOOST_TEST(refused);
  std::filesystem::remove_all(directory.path);
  std::filesystem::rename(moved_away, directory.path);
  storage->Write(7, {{"value", "new"}});
  BOOST_TEST(WaitForResults(*storage, 1).at(0).ok);
  storage.reset();
  BOOST_TEST(OpenStorage(directory.path)->Read("value").value() == "new");
}

// Guards against a member that goes on with an empty database, without what it has promised, after its
// directory was taken away while it was open.
BOOST_AUTO_TEST_CASE(a_directory_that_is_gone_while_open_is_not_begun_anew) {
  TemporaryDirectory directory;
  const auto storage = OpenStorage(directory.path);
  storage->Write(1, {{"promise", "kept"}});
  BOOST_TEST(WaitForResults(*storage, 1).at(0).ok);
  std::filesystem::remove_all(directory.path);
  const std::string large(600'000, 'x');  // larger than the write buffer, so that LevelDB creates files
  bool refused = false;
  for (std::uint64_t id = 2; id <= 12; ++id) {
    storage->Write(id, {{"value", large}});
    const bool ok = WaitForResults(*storage, 1).at(0).ok;
    BOOST_TEST(!(refused && ok), "write " << id << " was taken after a refusal");
    refused = refused || !ok;
  }
  BOOST_TEST(refused);
  BOOST_TEST(StorageEmpty(directory.path));
}

BOOST_AUTO_TEST_CASE(memory_storage_fails_stalls_and_crashes_on_request) {
  MemoryStorage storage;
  storage.Write(1, {{"a", "1"}});
  BOOST_TEST(WaitForResults(storage, 1).at(0).ok);
  storage.FailWrites(true);
  storage.Write(2, {{"a", "2"}});
  BOOST_TEST(!WaitForResults(storage, 1).at(0).ok);
  BOOST_TEST(storage.Read("a").value() == "1");
  storage.FailWrites(false);
  storage.StallWrites(true);
  for (std::uint64_t id = 0; id < Storage::kMaxPendingWrites; ++id)
    BOOST_TEST(storage.Write(id, {{"a", "3"}}));
  BOOST_TEST(!storage.Write(99, {}));
  storage.Crash(false);
  BOOST_TEST(storage.Read("a").value() == "1");
  storage.StallWrites(true);
  storage.Write(4, {{"a", "4"}});
  BOOST_TEST(storage.Drain().empty());
  storage.StallWrites(false);
  BOOST_TEST(WaitForResults(storage, 1).at(0).id == 4u);
  storage.StallWrites(true);
  storage.Write(5, {{"a", "5"}});
  storage.Crash(true);
  BOOST_TEST(storage.Read("a").value() == "5");
}

}  // namespace
}  // namespace curlewdoor::storage
