#include "storage/storage.hpp"

#include <poll.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "storage/memory_storage.hpp"

namespace curlewdoor::storage {
namespace {

struct Folder {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("curlewdoor-storage-" + std::to_string(getpid()));
  Folder() { std::filesystem::remove_all(path); }
  ~Folder() { std::filesystem::remove_all(path); }
};

std::vector<Result> Wait(Storage& storage, std::size_t count) {
  std::vector<Result> results;
  while (results.size() < count) {
    pollfd wait{storage.fd(), POLLIN, 0};
    if (poll(&wait, 1, 10000) != 1) break;
    for (Result& r : storage.Drain()) results.push_back(std::move(r));
  }
  return results;
}

BOOST_AUTO_TEST_CASE(what_was_written_is_there_after_opening_again) {
  Folder folder;
  BOOST_TEST(StorageEmpty(folder.path));
  std::string large(100'000, 'x');
  {
    auto storage = OpenStorage(folder.path);
    BOOST_TEST(!storage->Read("state"));
    for (std::uint64_t id = 1; id <= 40; ++id) {
      BOOST_TEST(storage->Write(id, {{"state", std::to_string(id)}, {"value", large}}));
    }
    auto results = Wait(*storage, 40);
    BOOST_REQUIRE(results.size() == 40);
    for (std::uint64_t id = 1; id <= 40; ++id) BOOST_TEST((results[id - 1].id == id && results[id - 1].ok));
  }
  BOOST_TEST(!StorageEmpty(folder.path));
  auto storage = OpenStorage(folder.path);
  BOOST_TEST(storage->Read("state").value() == "40");
  BOOST_TEST((storage->Read("value") == large));
}

BOOST_AUTO_TEST_CASE(a_damaged_list_of_files_is_made_again_and_a_missing_folder_is_named) {
  Folder folder;
  {
    auto storage = OpenStorage(folder.path);
    storage->Write(1, {{"state", "kept"}});
    BOOST_TEST(Wait(*storage, 1).at(0).ok);
  }
  std::ofstream(folder.path / "CURRENT") << "MANIFEST-999999\n";
  BOOST_TEST(OpenStorage(folder.path)->Read("state").value() == "kept");
  BOOST_CHECK_EXCEPTION(OpenStorage("/proc/nowhere/storage"), StorageError, [](const StorageError& e) {
    return std::string(e.what()).find("/proc/nowhere/storage") != std::string::npos;
  });
}

BOOST_AUTO_TEST_CASE(a_disk_that_refuses_for_a_while_is_opened_anew) {
  Folder folder;
  auto storage = OpenStorage(folder.path);
  auto aside = folder.path.string() + ".aside";
  std::filesystem::rename(folder.path, aside);
  std::string large(600'000, 'x');  // over the buffer, so that files are made
  bool refused = false;
  for (std::uint64_t id = 1; id <= 6; ++id) {
    storage->Write(id, {{"value", large}});
    refused = !Wait(*storage, 1).at(0).ok || refused;
    if (refused) break;
  }
  BOOST_TEST(refused);
  std::filesystem::remove_all(folder.path);
  std::filesystem::rename(aside, folder.path);
  storage->Write(7, {{"value", "new"}});
  BOOST_TEST(Wait(*storage, 1).at(0).ok);
  storage.reset();
  BOOST_TEST(OpenStorage(folder.path)->Read("value").value() == "new");
}

BOOST_AUTO_TEST_CASE(the_double_fails_hangs_and_crashes_when_told) {
  MemoryStorage storage;
  storage.Write(1, {{"a", "1"}});
  BOOST_TEST(Wait(storage, 1).at(0).ok);
  storage.Refuse(true);
  storage.Write(2, {{"a", "2"}});
  BOOST_TEST(!Wait(storage, 1).at(0).ok);
  BOOST_TEST(storage.Read("a").value() == "1");
  storage.Refuse(false);
  storage.Hang(true);
  for (std::uint64_t id = 0; id < Storage::kMostWaiting; ++id) BOOST_TEST(storage.Write(id, {{"a", "3"}}));
  BOOST_TEST(!storage.Write(99, {}));
  storage.Crash(false);
  BOOST_TEST(storage.Read("a").value() == "1");
  storage.Hang(true);
  storage.Write(4, {{"a", "4"}});
  BOOST_TEST(storage.Drain().empty());
  storage.Hang(false);
  BOOST_TEST(Wait(storage, 1).at(0).id == 4u);
  storage.Hang(true);
  storage.Write(5, {{"a", "5"}});
  storage.Crash(true);
  BOOST_TEST(storage.Read("a").value() == "5");
}

}  // namespace
}  // namespace curlewdoor::storage
