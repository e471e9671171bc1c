#include "shelf/shelf.hpp"

#include <poll.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "shelf/memory_shelf.hpp"

namespace curlewdoor::shelf {
namespace {

struct Folder {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("curlewdoor-shelf-" + std::to_string(getpid()));
  Folder() { std::filesystem::remove_all(path); }
  ~Folder() { std::filesystem::remove_all(path); }
};

std::vector<Result> Wait(Shelf& shelf, std::size_t count) {
  std::vector<Result> results;
  while (results.size() < count) {
    pollfd wait{shelf.fd(), POLLIN, 0};
    if (poll(&wait, 1, 10000) != 1) break;
    for (Result& r : shelf.Drain()) results.push_back(std::move(r));
  }
  return results;
}

BOOST_AUTO_TEST_CASE(what_was_written_is_there_after_opening_again) {
  Folder folder;
  BOOST_TEST(ShelfEmpty(folder.path));
  std::string large(100'000, 'x');
  {
    auto shelf = OpenShelf(folder.path);
    BOOST_TEST(!shelf->Read("state"));
    for (std::uint64_t id = 1; id <= 40; ++id) {
      BOOST_TEST(shelf->Write(id, {{"state", std::to_string(id)}, {"value", large}}));
    }
    auto results = Wait(*shelf, 40);
    BOOST_REQUIRE(results.size() == 40);
    for (std::uint64_t id = 1; id <= 40; ++id) BOOST_TEST((results[id - 1].id == id && results[id - 1].ok));
  }
  BOOST_TEST(!ShelfEmpty(folder.path));
  auto shelf = OpenShelf(folder.path);
  BOOST_TEST(shelf->Read("state").value() == "40");
  BOOST_TEST((shelf->Read("value") == large));
}

BOOST_AUTO_TEST_CASE(a_damaged_list_of_files_is_made_again_and_a_missing_folder_is_named) {
  Folder folder;
  {
    auto shelf = OpenShelf(folder.path);
    shelf->Write(1, {{"state", "kept"}});
    BOOST_TEST(Wait(*shelf, 1).at(0).ok);
  }
  std::ofstream(folder.path / "CURRENT") << "MANIFEST-999999\n";
  BOOST_TEST(OpenShelf(folder.path)->Read("state").value() == "kept");
  BOOST_CHECK_EXCEPTION(OpenShelf("/proc/nowhere/shelf"), ShelfError, [](const ShelfError& e) {
    return std::string(e.what()).find("/proc/nowhere/shelf") != std::string::npos;
  });
}

BOOST_AUTO_TEST_CASE(a_disk_that_refuses_for_a_while_is_opened_anew) {
  Folder folder;
  auto shelf = OpenShelf(folder.path);
  auto aside = folder.path.string() + ".aside";
  std::filesystem::rename(folder.path, aside);
  std::string large(600'000, 'x');  // over the buffer, so that files are made
  bool refused = false;
  for (std::uint64_t id = 1; id <= 6; ++id) {
    shelf->Write(id, {{"value", large}});
    refused = !Wait(*shelf, 1).at(0).ok || refused;
    if (refused) break;
  }
  BOOST_TEST(refused);
  std::filesystem::remove_all(folder.path);
  std::filesystem::rename(aside, folder.path);
  shelf->Write(7, {{"value", "new"}});
  BOOST_TEST(Wait(*shelf, 1).at(0).ok);
  shelf.reset();
  BOOST_TEST(OpenShelf(folder.path)->Read("value").value() == "new");
}

BOOST_AUTO_TEST_CASE(the_double_fails_hangs_and_crashes_when_told) {
  MemoryShelf shelf;
  shelf.Write(1, {{"a", "1"}});
  BOOST_TEST(Wait(shelf, 1).at(0).ok);
  shelf.Refuse(true);
  shelf.Write(2, {{"a", "2"}});
  BOOST_TEST(!Wait(shelf, 1).at(0).ok);
  BOOST_TEST(shelf.Read("a").value() == "1");
  shelf.Refuse(false);
  shelf.Hang(true);
  for (std::uint64_t id = 0; id < Shelf::kMostWaiting; ++id) BOOST_TEST(shelf.Write(id, {{"a", "3"}}));
  BOOST_TEST(!shelf.Write(99, {}));
  shelf.Crash(false);
  BOOST_TEST(shelf.Read("a").value() == "1");
  shelf.Hang(true);
  shelf.Write(4, {{"a", "4"}});
  BOOST_TEST(shelf.Drain().empty());
  shelf.Hang(false);
  BOOST_TEST(Wait(shelf, 1).at(0).id == 4u);
  shelf.Hang(true);
  shelf.Write(5, {{"a", "5"}});
  shelf.Crash(true);
  BOOST_TEST(shelf.Read("a").value() == "5");
}

}  // namespace
}  // namespace curlewdoor::shelf
