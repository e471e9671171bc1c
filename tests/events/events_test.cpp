#include "events/events.hpp"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include "events/rate_limit.hpp"

using namespace curlewdoor::events;
using namespace std::chrono_literals;

namespace {

std::string Trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(' ');
  return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(' ') - first + 1);
}

// number -> level, name, meaning, what to do
std::map<int, std::vector<std::string>> Catalogue() {
  std::map<int, std::vector<std::string>> rows;
  std::ifstream in(std::string(CURLEWDOOR_DOCS) + "/events.md");
  BOOST_REQUIRE(in);
  for (std::string line; std::getline(in, line);) {
    if (line.size() < 3 || line[0] != '|' || line[2] < '0' || line[2] > '9') continue;
    std::istringstream cells(line.substr(1));
    std::vector<std::string> row;
    for (std::string cell; std::getline(cells, cell, '|');) row.push_back(Trimmed(cell));
    BOOST_REQUIRE_EQUAL(row.size(), 5u);
    const int number = std::stoi(row[0]);
    row.erase(row.begin());
    BOOST_TEST(rows.emplace(number, row).second, "twice in the catalogue: " << number);
  }
  return rows;
}

// What `act` writes to standard error.
template <typename Act>
std::vector<std::string> Written(Act act) {
  char path[] = "/tmp/events_testXXXXXX";
  const int file = mkstemp(path);
  const int saved = dup(STDERR_FILENO);
  dup2(file, STDERR_FILENO);
  act();
  dup2(saved, STDERR_FILENO);
  close(saved);
  close(file);
  std::vector<std::string> lines;
  std::ifstream in(path);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  unlink(path);
  return lines;
}

bool Ends(const std::string& line, const std::string& with) { return line.ends_with(with); }

}  // namespace

BOOST_AUTO_TEST_CASE(TableAndCatalogueAgree) {
  auto rows = Catalogue();
  for (const Entry& entry : kEntries) {
    const int number = static_cast<int>(entry.event);
    const auto row = rows.extract(number);
    BOOST_REQUIRE_MESSAGE(row, "not in docs/events.md: " << number);
    BOOST_TEST(row.mapped()[0] == LevelName(entry.level), number);
    BOOST_TEST(row.mapped()[1] == entry.name, number);
    BOOST_TEST(row.mapped()[2] == entry.meaning, number);
    BOOST_TEST(!row.mapped()[3].empty(), number);
  }
  for (const auto& [number, row] : rows) BOOST_ERROR("not in the code: " << number);
}

BOOST_AUTO_TEST_CASE(NumbersAscend) {
  for (std::size_t i = 1; i < kEntries.size(); ++i)
    BOOST_TEST((kEntries[i - 1].event < kEntries[i].event), i);
}

BOOST_AUTO_TEST_CASE(FiveASecondOfAKind) {
  RateLimit limit;
  const RateLimit::Time start{};
  for (int i = 0; i < 5; ++i) BOOST_TEST(limit.Ask(1, start + i * 1ms).say);
  for (int i = 0; i < 3; ++i) BOOST_TEST(!limit.Ask(1, start + 900ms).say);
  BOOST_TEST(limit.Ask(2, start + 900ms).say);
  BOOST_TEST((limit.Ask(1, start + 1s) == RateLimit::Verdict{true, 3}));
  BOOST_TEST((limit.Ask(1, start + 1s) == RateLimit::Verdict{true, 0}));
}

BOOST_AUTO_TEST_CASE(LeftOutIsToldOnce) {
  RateLimit limit;
  const RateLimit::Time start{};
  for (int i = 0; i < 7; ++i) limit.Ask(1, start);
  BOOST_TEST(limit.Over(start + 999ms).empty());
  const auto over = limit.Over(start + 1s);
  BOOST_REQUIRE_EQUAL(over.size(), 1u);
  BOOST_TEST((over[0] == std::pair<int, std::uint64_t>(1, 2)));
  BOOST_TEST(limit.Over(start + 2s).empty());
  BOOST_TEST((limit.Ask(1, start + 2s) == RateLimit::Verdict{true, 0}));
}

BOOST_AUTO_TEST_CASE(OneLineAnEvent) {
  BOOST_CHECK_THROW(Begin("loud"), std::invalid_argument);
  Begin("info");
  const auto lines = Written([] {
    Say(Event::kReady, "edge\r\nnext");
    Say(Event::kNoRoute, "below the level");
    Say(Event::kStorageFailed, std::string(5000, 'x'));
    for (int i = 0; i < 9; ++i) Say(Event::kLinkDown, "to " + std::to_string(i));
    SayLeftOut(std::chrono::steady_clock::now() + 1s);
  });
  BOOST_REQUIRE_EQUAL(lines.size(), 8u);
  BOOST_TEST(Ends(lines[0], "Z INFO 104 ready edge  next"), lines[0]);
  BOOST_TEST(Ends(lines[1], "Z ERROR 308 storage-failed " + std::string(1000, 'x')), lines[1]);
  BOOST_TEST(Ends(lines[6], "Z WARN 203 link-down to 4"), lines[6]);
  BOOST_TEST(Ends(lines[7], "Z WARN 203 link-down left out: 4"), lines[7]);
  BOOST_TEST(!Heard(Event::kNoRoute));
  BOOST_TEST(Heard(Event::kReady));
}
