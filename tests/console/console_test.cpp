// The command line against one running gateway, by the examples of docs/operators/system.md, and without one.
#include "console/console.hpp"

#include <cjson/cJSON.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <thread>

#include "agreement/codec.hpp"
#include "coordination/replica_records.hpp"
#include "events/events.hpp"
#include "settings/settings.hpp"
#include "storage/inspect.hpp"
#include "system/caller.hpp"
#include "system/command.hpp"
#include "system/message.hpp"

namespace curlewdoor::console {
namespace {

using namespace curlewdoor::system;

namespace fs = std::filesystem;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPage[] = CURLEWDOOR_DOCS "/operators/system.md";
constexpr char kKey[] = "5up8r0vxk2";  // the tenant's, in the page

std::string ReadAll(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  BOOST_REQUIRE_MESSAGE(file, path << ": not there");
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
  return text;
}

// The block of the page behind this marker.
std::string BlockOf(const std::string& marker) {
  const std::string page = ReadAll(kPage);
  const auto at = page.find("<!-- " + marker + " -->");
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, "the page has no " << marker);
  const auto begin = page.find('\n', page.find("```", at)) + 1;
  return page.substr(begin, page.find("```\n", begin) - begin);
}

// Runs of blanks count as one.
std::string Squeezed(const std::string& line) {
  std::istringstream words(line);
  std::string text, word;
  while (words >> word) text += (text.empty() ? "" : " ") + word;
  return text;
}

// "..." stands for anything.
bool Matches(const std::string& told, const std::string& line) {
  const std::string pattern = Squeezed(told), text = Squeezed(line);
  std::size_t from = 0, at = 0;
  for (bool first = true;; first = false) {
    const auto dots = pattern.find("...", from);
    const std::string piece =
        pattern.substr(from, dots == std::string::npos ? std::string::npos : dots - from);
    if (dots == std::string::npos) {
      if (first) return text == piece;
      return text.size() >= at + piece.size() && text.ends_with(piece);
    }
    const auto found = text.find(piece, at);
    if (found == std::string::npos || (first && found != 0)) return false;
    at = found + piece.size();
    from = dots + 3;
  }
}

struct Example {
  std::string command;
  std::vector<std::string> lines;
};

std::vector<Example> ExamplesOf(const std::string& marker) {
  std::vector<Example> examples;
  std::istringstream block(BlockOf(marker));
  for (std::string line; std::getline(block, line);) {
    if (line.starts_with("$ ")) {
      examples.push_back({line.substr(2), {}});
    } else if (!examples.empty()) {
      examples.back().lines.push_back(line);
    }
  }
  return examples;
}

struct Folder {
  fs::path path = fs::temp_directory_path() / ("curlewdoor-console-" + std::to_string(getpid()));
  Folder() {
    fs::remove_all(path);
    fs::create_directories(path);
  }
  ~Folder() { fs::remove_all(path); }
};

struct Outcome {
  int code = -1;
  std::string text;
};

// The page's addresses and directories are those of this run.
struct Place {
  Folder folder;
  const std::string ip =
      "127." + std::to_string(70 + getpid() / 250 % 150) + "." + std::to_string(getpid() % 250) + ".1";

  std::string Here(std::string text) const {
    text = Replaced(std::move(text), "10.8.0.31", ip);
    return Replaced(std::move(text), "/data/gateway", (folder.path / "data").string());
  }
  void TurnCoordinationOn() const {
    std::ofstream(folder.path / "settings.yaml", std::ios::app) << "active_contracts: [\"coord\"]\n";
  }
  void WriteFiles() const {
    fs::create_directories(folder.path / "data");
    for (const char* name : {"settings.yaml", "site.json"})
      std::ofstream(folder.path / name) << Here(BlockOf(std::string("file: ") + name));
  }
  Outcome Run(const std::string& command) const {
    const std::string whole = "cd " + folder.path.string() + " && export PATH=\"" +
                              fs::path(CURLEWDOOR_PROGRAM).parent_path().string() +
                              ":$PATH\" CURLEWDOOR_NODE_FILE=settings.yaml && { " + command + "; } 2>&1";
    std::FILE* pipe = ::popen(whole.c_str(), "r");
    BOOST_REQUIRE(pipe != nullptr);
    Outcome outcome;
    char bytes[4096];
    while (const std::size_t count = std::fread(bytes, 1, sizeof bytes, pipe))
      outcome.text.append(bytes, count);
    const int status = ::pclose(pipe);
    outcome.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return outcome;
  }
  Outcome Console(const std::string& words) const { return Run("curlewdoor-system " + words); }
};

struct Gateway {
  explicit Gateway(const Place& place) : place_(place) {
    pid_ = ::fork();
    if (pid_ != 0) return;
    const std::string log = (place.folder.path / "log").string();
    const std::string settings = (place.folder.path / "settings.yaml").string();
    if (std::freopen(log.c_str(), "a", stderr) == nullptr) ::_exit(126);
    ::execl(CURLEWDOOR_PROGRAM, CURLEWDOOR_PROGRAM, "run", "gateway", "--settings", settings.c_str(),
            nullptr);
    ::_exit(127);
  }
  ~Gateway() { End(SIGKILL); }
  void End(int signal) {
    if (pid_ <= 0) return;
    ::kill(pid_, signal);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  Address control() const { return *ParseAddress(place_.ip + ":8142"); }
  // Asks until the answer holds this.
  bool Wait(const std::string& path, const std::string& part) const {
    const auto ends = std::chrono::steady_clock::now() + seconds(30);
    while (std::chrono::steady_clock::now() < ends) {
      try {
        if (Caller({control()}, seconds(1)).Get(path).body.find(part) != std::string::npos) return true;
      } catch (const NoAnswer&) {
      }
      ::poll(nullptr, 0, 10);  // between two questions
    }
    return false;
  }

 private:
  const Place& place_;
  pid_t pid_ = 0;
};

// What the page does by curl: no other program is needed for it here.
Outcome Post(const std::string& command) {
  const auto url = command.find("http://") + 7, path = command.find('/', url);
  const auto body = command.find("-d '") + 4;
  const Caller caller({*ParseAddress(command.substr(url, path - url))}, seconds(5));
  const CallAnswer answer = caller.Post(command.substr(path, command.find(' ', path) - path),
                                        command.substr(body, command.rfind('\'') - body));
  return {answer.status == 200 ? 0 : 1, answer.body};
}

void RunExamples(const Place& place, const std::string& marker) {
  const auto examples = ExamplesOf(marker);
  BOOST_TEST(examples.size() >= 3);
  for (const Example& example : examples) {
    const std::string command = place.Here(example.command);
    const Outcome outcome = command.starts_with("curl ") ? Post(command) : place.Run(command);
    BOOST_CHECK_MESSAGE(outcome.code == 0, command << ": " << outcome.code);
    std::istringstream text(outcome.text);
    for (const std::string& told : example.lines) {
      bool found = false;
      for (std::string line; !found && std::getline(text, line);) found = Matches(place.Here(told), line);
      BOOST_CHECK_MESSAGE(found, command << "\nsays not (or not there): " << told << "\nbut:\n"
                                         << outcome.text);
      if (!found) break;
    }
    BOOST_CHECK_MESSAGE(outcome.text.find(kKey) == std::string::npos, command << " tells a key");
  }
}

bool IsJson(const std::string& text) {
  cJSON* json = cJSON_Parse(text.c_str());
  const bool is = cJSON_IsObject(json);
  cJSON_Delete(json);
  return is;
}

std::map<std::string, std::string> FilesOf(const fs::path& directory) {
  std::map<std::string, std::string> files;
  for (const auto& entry : fs::directory_iterator(directory))
    files[entry.path().filename()] =
        ReadAll(entry.path()) + std::to_string(fs::last_write_time(entry.path()).time_since_epoch().count());
  return files;
}

BOOST_AUTO_TEST_CASE(the_examples_of_the_page_run_as_they_stand) {
  Place place;
  place.WriteFiles();
  Gateway gateway(place);
  const bool up = gateway.Wait("/v1/system/core", "\"further_losses\":0");
  BOOST_REQUIRE_MESSAGE(up, ReadAll(place.folder.path / "log"));
  RunExamples(place, "examples: running");

  for (const char* words :
       {"core show", "hosts show", "tenant show cuka", "gateways show", "figures", "config show",
        "config status", "config push next.json", "config diff site.json", "events", "events 100",
        "coordination show", "check-settings", "check-config site.json", "version"}) {
    const Outcome outcome = place.Console(std::string(words) + " --json");
    BOOST_CHECK_MESSAGE(outcome.code == 0 && IsJson(outcome.text), words << ": " << outcome.text);
    BOOST_CHECK_MESSAGE(outcome.text.find(kKey) == std::string::npos, words << " tells a key");
  }
  BOOST_TEST(place.Console("config show --json").text.find("91ofh3wd6a") == std::string::npos);

  // Each figure has its help and its type, and no line says anything else.
  std::istringstream figures(place.Console("figures").text);
  std::string helped, typed;
  int lines = 0;
  for (std::string line; std::getline(figures, line); ++lines) {
    std::istringstream words(line);
    std::string first, second, name;
    words >> first >> second >> name;
    if (first == "#") {
      (second == "HELP" ? helped : typed) = name;
      continue;
    }
    name = first.substr(0, first.find('{'));
    BOOST_CHECK_MESSAGE(name == helped && name == typed, line);
    BOOST_CHECK_MESSAGE(second.find_first_not_of("0123456789") == std::string::npos && !second.empty(), line);
  }
  BOOST_TEST(lines > 60);

  const std::string at = " --address " + place.ip + ":8142";
  BOOST_TEST(place.Console("core show" + at + " --settings nowhere.yaml").code == kDone);
  BOOST_TEST(place.Console("core show --settings nowhere.yaml").code == kUsage);
  // The first doesn't answer, the second does.
  BOOST_TEST(place.Console("config push next.json --address " + place.ip + ":9" + at).code == kDone);

  const Caller caller({gateway.control()}, seconds(5));
  BOOST_TEST(caller.Get("/v1/system/nothing").status == 404);
  BOOST_TEST(caller.Post("/v1/system/core", "{}").status == 405);
  BOOST_TEST(caller.Get("/v1/system/tenants/%zz").status == 400);
  BOOST_TEST(caller.Get("/v1/config/read").status == 200);  // as ever

  gateway.End(SIGTERM);
  const auto before = FilesOf(place.folder.path / "data" / "core");
  RunExamples(place, "examples: stopped");
  BOOST_TEST((FilesOf(place.folder.path / "data" / "core") == before), "a look has written");
  BOOST_TEST(place.Console("storage verify data").code == kDone);  // finds core/ in it
  BOOST_TEST(IsJson(place.Console("storage dump data --json").text));
}

BOOST_AUTO_TEST_CASE(the_examples_of_locks_numbers_and_keys_run_as_they_stand) {
  Place place;
  place.WriteFiles();
  place.TurnCoordinationOn();
  Gateway gateway(place);
  BOOST_REQUIRE(gateway.Wait("/v1/system/coordination", "\"leads\":true"));
  RunExamples(place, "examples: coordination");
  const Outcome shown = place.Console("coordination show --json");
  BOOST_TEST((shown.code == kDone && IsJson(shown.text)), shown.text);
  const Outcome beyond = place.Console("lock begin print-run me 86400001");
  BOOST_TEST((beyond.code == kRefused && beyond.text.find("hold_ms: too large") != std::string::npos),
             beyond.text);
  gateway.End(SIGTERM);
  // Its disk has the log beside the rest.
  for (const char* words : {"storage verify data", "storage dump data"}) {
    const Outcome outcome = place.Console(words);
    BOOST_TEST((outcome.code == kDone && outcome.text.find(": good, ") != std::string::npos), outcome.text);
  }
}

BOOST_AUTO_TEST_CASE(without_its_contract_coordination_is_off) {
  Place place;
  place.WriteFiles();
  Gateway gateway(place);
  BOOST_REQUIRE(gateway.Wait("/v1/system/core", "\"majority\":true"));
  const Outcome outcome = place.Console("number take bookings");
  BOOST_TEST((outcome.code == kRefused && outcome.text.find("404") != std::string::npos), outcome.text);
  BOOST_TEST(place.Console("coordination show").text.find(": on no,") != std::string::npos);
}

// A call by hand: whether its connection ends in order, and what comes before. The gateway leads alone, so
// that it can hand its lead to nobody, and doesn't wait for that.
BOOST_AUTO_TEST_CASE(a_watch_that_waits_ends_in_order_when_its_gateway_does) {
  Place place;
  place.WriteFiles();
  place.TurnCoordinationOn();
  std::ofstream(place.folder.path / "settings.yaml", std::ios::app) << "bounds:\n  grace_s: 30\n";
  Gateway gateway(place);
  BOOST_REQUIRE(gateway.Wait("/v1/system/coordination", "\"leads\":true"));
  const Caller caller({gateway.control()}, seconds(5));
  BOOST_REQUIRE_EQUAL(caller.Post("/v1/cells/g1.a/replace", R"({"value":"one"})").status, 200);

  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = gateway.control().ToSocket();
  const timeval most{20, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
  BOOST_REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
  const std::string call = "GET /v1/watch/g1.?after=1&wait_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n";
  BOOST_REQUIRE(::send(fd, call.data(), call.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(call.size()));
  BOOST_REQUIRE(gateway.Wait("/v1/system/coordination", "\"calls_waiting\":1"));
  const auto began = std::chrono::steady_clock::now();
  gateway.End(SIGTERM);
  BOOST_TEST((std::chrono::steady_clock::now() - began < seconds(15)));
  std::string came;
  char bytes[4096];
  ssize_t count = 0;
  while ((count = ::recv(fd, bytes, sizeof bytes, 0)) > 0)
    came.append(bytes, static_cast<std::size_t>(count));
  ::close(fd);
  BOOST_TEST(count == 0, "the connection was reset");
  // Nothing, or an answer that promises no more than it knows.
  BOOST_TEST((came.empty() || came.starts_with("HTTP/1.1 503 ") || came.starts_with("HTTP/1.1 504 ")), came);
}

// A connection to a gateway's link, as another gateway has it.
class LinkCaller {
 public:
  explicit LinkCaller(const Address& to) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in at = to.ToSocket();
    const timeval most{10, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
    BOOST_REQUIRE(::connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
  }
  ~LinkCaller() { ::close(fd_); }
  void Send(const std::string& frame) {
    std::string bytes(3, '\0');  // of a length in four bytes, highest first
    bytes.append(1, static_cast<char>(frame.size())).append(frame);
    BOOST_REQUIRE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
  }
  // Reads frames until the answer to a clock's question; false: the stream ended.
  bool ClockAnswers() {
    for (;;) {
      unsigned char head[4];
      if (!Take(head, sizeof head)) return false;
      std::string frame(head[1] << 16 | head[2] << 8 | head[3], '\0');
      if (!Take(frame.data(), frame.size())) return false;
      const auto message = Decode(frame);
      const auto* clock = message ? std::get_if<Clock>(&*message) : nullptr;
      if (clock != nullptr && clock->told_us >= 0) return true;
    }
  }

 private:
  bool Take(void* to, std::size_t size) {
    return size == 0 || ::recv(fd_, to, size, MSG_WAITALL) == static_cast<ssize_t>(size);
  }
  int fd_;
};

BOOST_AUTO_TEST_CASE(a_later_versions_message_leaves_the_link_up_and_a_foreign_one_ends_it) {
  Place place;
  place.WriteFiles();
  Gateway gateway(place);
  BOOST_REQUIRE(gateway.Wait("/v1/system/core", "\"majority\":true"));
  LinkCaller caller(*ParseAddress(place.ip + ":7201"));
  caller.Send(Encode(Hello{"lund-9", false}));
  caller.Send(std::string("\x93\x01\x7f\x91\xc0", 5));
  caller.Send(Encode(Clock{5}));
  BOOST_TEST(caller.ClockAnswers());
  caller.Send(std::string("\x93\x02\x00\x91\xc0", 5));  // another major version
  caller.Send(Encode(Clock{5}));
  BOOST_TEST(!caller.ClockAnswers());
}

BOOST_AUTO_TEST_CASE(the_sample_settings_are_taken_and_hold_the_values_of_keys_left_out) {
  const auto all = settings::LoadSettings(CURLEWDOOR_TESTS_DIR "/../deploy/settings.example.yaml");
  const settings::NodeSettings none;
  BOOST_TEST((all.limits == none.limits));
  BOOST_TEST((all.fault_tolerance == none.fault_tolerance));
  BOOST_TEST((all.bounds == none.bounds));
  BOOST_TEST((all.heartbeat == none.heartbeat));
  BOOST_TEST((all.config_mode == none.config_mode && all.entry_mode == none.entry_mode));
  BOOST_TEST((all.quorum_member && !all.bootstrap && all.listen_addresses.control_plane.has_value()));
}

BOOST_AUTO_TEST_CASE(each_event_that_warns_is_in_the_table_of_alarms) {
  const std::string page = ReadAll(kPage);
  const std::string table =
      page.substr(page.find("## Alarms"), page.find("## Figures") - page.find("## Alarms"));
  for (const events::Entry& entry : events::kEntries) {
    const std::string row = "| " + std::to_string(static_cast<int>(entry.event)) + " |";
    const bool warns = entry.level == events::Level::kWarn || entry.level == events::Level::kError;
    BOOST_TEST((table.find(row) != std::string::npos) == warns, row);
  }
}

BOOST_AUTO_TEST_CASE(bad_usage_is_told_from_refusal) {
  Place place;
  place.WriteFiles();
  for (const char* words : {"",
                            "core",
                            "core show more",
                            "core drop",
                            "tenant show",
                            "config push",
                            "run",
                            "run keeper",
                            "run gateway twice",
                            "events x",
                            "events 1",
                            "events 100 200",
                            "storage verify",
                            "check-config",
                            "coordination",
                            "lock begin print-run me",
                            "lock begin print-run me soon",
                            "lock begin print-run me -1",
                            "lock renew print-run me 1",
                            "lock finish print-run me one",
                            "number take",
                            "key put g1.a",
                            "key put g1.a one x",
                            "watch",
                            "watch g1. x",
                            "watch g1. 1 x",
                            "version 2",
                            "core show --address here",
                            "core show --timeout 0",
                            "core show --timeout -1",
                            "core show --timeout x",
                            "core show --timeout nan",
                            "core show --nothing",
                            "check-config nowhere.json",
                            "config push nowhere.json",
                            "config diff ."}) {
    const Outcome outcome = place.Console(words);
    BOOST_CHECK_MESSAGE(outcome.code == kUsage && outcome.text.starts_with("curlewdoor-system: "),
                        words << ": " << outcome.code << " " << outcome.text);
  }
  BOOST_TEST(place.Console("--help").code == kDone);
  BOOST_TEST(place.Console("version").text.starts_with("curlewdoor-system "));

  std::ofstream(place.folder.path / "cut.json") << "{\"config_version\": 1,";
  std::ofstream(place.folder.path / "bad.yaml") << "node_name: a\nip_address: 10.0.0.1\nzone: z\n";
  for (const char* words : {"check-config cut.json", "config push cut.json", "config diff cut.json"}) {
    const Outcome outcome = place.Console(words);
    BOOST_CHECK_MESSAGE(
        outcome.code == kRefused && outcome.text.find("cut.json: document: ") != std::string::npos,
        words << ": " << outcome.text);
  }
  const Outcome settings = place.Console("check-settings bad.yaml");
  BOOST_TEST(settings.code == kRefused);
  BOOST_TEST(settings.text.find("listen_addresses") != std::string::npos);
  BOOST_TEST(place.Console("core show --timeout 0.5").code == kNobody);
}

// ---- Storage -------------------------------------------------------------------------------------------

constexpr char kLife[] = "00c0ffee00c0ffee";

void MakeStorage(const fs::path& directory, storage::Records records) {
  const auto made = storage::OpenStorage(directory.string());
  BOOST_REQUIRE(made->Write(1, std::move(records)));
  for (;;) {
    pollfd wait{made->fd(), POLLIN, 0};
    BOOST_REQUIRE(::poll(&wait, 1, 10'000) == 1);
    const auto results = made->Drain();
    if (results.empty()) continue;
    BOOST_REQUIRE(results[0].ok);
    return;
  }
}

storage::Records GoodRecords() {
  agreement::CoreState state;
  agreement::Member member;
  member.incarnation.node = "lund-1";
  member.incarnation.number = 0x00c0ffee00c0ffeeULL;
  member.address = "10.8.0.31:7201";
  state.membership.epoch = 3;
  state.membership.members.push_back(member);
  state.membership.initial_size = 1;
  state.value = {7, BlockOf("file: site.json")};
  return {{"life", kLife},
          {agreement::kStateKey, agreement::EncodeState(state)},
          {agreement::kValueKey, agreement::EncodeValue(state.value)}};
}

BOOST_AUTO_TEST_CASE(storage_of_a_stopped_member_is_judged_and_never_written) {
  Place place;
  const fs::path& here = place.folder.path;
  const auto says = [&](const std::string& words, int code, const std::string& part) {
    const Outcome outcome = place.Console(words);
    BOOST_CHECK_MESSAGE(outcome.code == code && outcome.text.find(part) != std::string::npos,
                        words << ": " << outcome.code << " " << outcome.text);
  };
  MakeStorage(here / "good", GoodRecords());
  const auto before = FilesOf(here / "good");
  says("storage verify good", kDone, "epoch 3, member yes, sealed no, version 7");
  says("storage dump good", kDone, "lund-1  00c0ffee00c0ffee  10.8.0.31:7201");
  says("shelf verify good", kDone, "epoch 3, member yes, sealed no, version 7");  // the names until 0.3
  says("shelf dump good", kDone, "lund-1  00c0ffee00c0ffee  10.8.0.31:7201");
  BOOST_TEST((FilesOf(here / "good") == before));

  says("storage verify missing", kRefused, "no such directory");
  BOOST_TEST(!fs::exists(here / "missing"));
  fs::create_directory(here / "empty");
  says("storage dump empty", kRefused, "no storage there");
  BOOST_TEST(fs::is_empty(here / "empty"));

  // One byte in the middle of the log, which opening for use would leave out without a word.
  int flipped = 0;
  for (const auto& entry : fs::directory_iterator(here / "good")) {
    if (entry.path().extension() != ".log" || entry.file_size() < 100) continue;
    fs::copy(here / "good", here / "flipped");
    std::string bytes = ReadAll(entry.path());
    bytes[bytes.size() / 2] ^= 1;
    std::ofstream(here / "flipped" / entry.path().filename(), std::ios::binary) << bytes;
    ++flipped;
  }
  BOOST_REQUIRE(flipped == 1);
  says("storage verify flipped", kRefused, "flipped: ");
  fs::copy(here / "good", here / "renamed");
  std::ofstream(here / "renamed" / "CURRENT") << "MANIFEST-999999\n";
  says("storage verify renamed", kRefused, "renamed");

  auto records = GoodRecords();
  records[1].second = "no state";
  MakeStorage(here / "garbled", records);
  says("storage verify garbled", kRefused, "record state or value");
  records = GoodRecords();
  records.erase(records.begin());
  MakeStorage(here / "lifeless", records);
  says("storage verify lifeless", kRefused, "record life: missing");
  records = GoodRecords();
  records.emplace_back("other", "x");
  MakeStorage(here / "foreign", records);
  says("storage verify foreign", kRefused, "none of ours");
  records = GoodRecords();
  records.emplace_back(agreement::kBootstrapKey, "x");
  MakeStorage(here / "unfounded", records);
  says("storage verify unfounded", kRefused, "record founding: can't be read");
  records = GoodRecords();
  records[2].second = agreement::EncodeValue({9, BlockOf("file: site.json")});
  MakeStorage(here / "unlike", records);
  says("storage verify unlike", kRefused, "another version");

  // A log that is damaged, and one whose entries are of this disk.
  const agreement::Incarnation life{"lund-1", 0x00c0ffee00c0ffee};
  coordination::RecordBatch log = coordination::EncodeHardState(life.number, 2, life, 0, 1);
  log.push_back(coordination::EncodeEntry(1, {}));
  records = GoodRecords();
  records.insert(records.end(), log.begin(), log.end());
  MakeStorage(here / "logged", records);
  says("storage verify logged", kDone, "epoch 3, member yes, sealed no, version 7");
  records.back().second += "x";
  MakeStorage(here / "cut-log", records);
  says("storage verify cut-log", kRefused, "the log of locks, numbers and keys can't be read");

  const auto open = storage::OpenStorage((here / "good").string());
  // The lock is of this process, and a process doesn't see its own: another one is asked.
  says("storage verify good", kRefused, "in use by process " + std::to_string(getpid()));
}

// ---- Calls --------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(questions_are_decoded_within_bounds) {
  BOOST_TEST(!DecodeReport("GET", "/v1/config/read"));
  BOOST_TEST(std::holds_alternative<ReportHosts>(*DecodeReport("GET", "/v1/system/hosts?x=1")));
  for (const std::string& name : {std::string("cuka"), std::string("a b/c%\xc3\xa4"), std::string("?#")}) {
    const auto command = DecodeReport("GET", "/v1/system/tenants/" + EncodeName(name));
    BOOST_TEST(std::get<ReportTenant>(*command).name == name);
  }
  for (const bool forced : {false, true}) {
    const std::string path = "/v1/system/core/forget/" + EncodeName("a b");
    const auto command = DecodeReport("POST", path + (forced ? "?forced=yes" : "?forced=no"));
    BOOST_TEST(std::get<ForgetMember>(*command).name == "a b");
    BOOST_TEST(std::get<ForgetMember>(*command).forced == forced);
  }
  const auto status = [](std::string_view method, const std::string& path) {
    try {
      DecodeReport(method, path);
    } catch (const service_registry::CallError& error) {
      return error.status;
    }
    return 200;
  };
  BOOST_TEST(status("POST", "/v1/system/hosts") == 405);
  BOOST_TEST(status("GET", "/v1/system/core/forget/a") == 405);
  BOOST_TEST(status("POST", "/v1/system/core/forget/") == 400);
  for (const char* path : {"/v1/system/", "/v1/system/host", "/v1/system/hosts/", "/v1/system/config"})
    BOOST_TEST(status("GET", path) == 404);
  for (const char* name : {"", "%", "%4", "%zz", "%-1"})
    BOOST_TEST(status("GET", std::string("/v1/system/tenants/") + name) == 400);
  BOOST_TEST(status("GET", "/v1/system/tenants/" + std::string(5000, 'x')) == 400);
}

// Answers each connection with the next of these, and closes it; holds the last one open when it is empty.
class Scripted {
 public:
  explicit Scripted(std::vector<std::string> answers) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = Address{0x7f000001, 0}.ToSocket();
    socklen_t size = sizeof at;
    BOOST_REQUIRE(::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    BOOST_REQUIRE(::listen(fd_, 16) == 0);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    address = {0x7f000001, ntohs(at.sin_port)};
    for (std::string& answer : answers) answer = Replaced(std::move(answer), "SELF", address.ToText());
    thread_ = std::thread([this, answers = std::move(answers)] {
      int held = -1;
      for (const std::string& answer : answers) {
        const int client = ::accept(fd_, nullptr, nullptr);
        if (client < 0) break;
        char bytes[4096];
        if (::recv(client, bytes, sizeof bytes, 0) <= 0) break;
        std::string_view rest = answer;
        while (!rest.empty()) {
          const ssize_t count = ::send(client, rest.data(), rest.size(), MSG_NOSIGNAL);
          if (count <= 0) break;
          rest.remove_prefix(static_cast<std::size_t>(count));
        }
        answer.empty() ? static_cast<void>(held = client) : static_cast<void>(::close(client));
      }
      while (held >= 0) {
        char byte;
        if (::recv(held, &byte, 1, 0) > 0) continue;  // until the caller gives up
        ::close(held);
        held = -1;
      }
    });
  }
  ~Scripted() {
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
  }
  Address address;

 private:
  int fd_ = -1;
  std::thread thread_;
};

std::string Says(int status, const std::string& body, const std::string& line = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + line +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

BOOST_AUTO_TEST_CASE(calls_go_on_until_somebody_answers_clearly) {
  const std::string to = "Location: http://SELF/b\r\n";
  {
    Scripted twice({Says(307, "", to), Says(307, "", to), Says(200, "here")});
    BOOST_TEST(Caller({twice.address}, seconds(5)).Get("/a").body == "here");
  }
  {
    Scripted thrice({Says(307, "", to), Says(307, "", to), Says(307, "", to)});
    BOOST_CHECK_THROW(Caller({thrice.address}, seconds(5)).Get("/a"), NoAnswer);
  }
  {
    Scripted full({Says(503, "")}), garbled({"no http\r\n\r\n"}),
        cut({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"});
    Scripted silent({""}), good({Says(404, "none")});
    const CallAnswer answer =
        Caller({full.address, garbled.address, cut.address, silent.address, good.address}, milliseconds(1500))
            .Get("/a");
    BOOST_TEST(answer.status == 404);
    BOOST_TEST((answer.from == good.address));
  }
  {
    Scripted later({Says(503, ""), Says(429, ""), Says(200, "taken")});
    BOOST_TEST(Caller({later.address}, seconds(10)).Post("/a", "body").body == "taken");
  }
  {
    const std::string large(9'000'000, 'x');
    Scripted chunked(
        {"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n895440\r\n" + large +
         "\r\n0\r\n\r\n"});
    BOOST_TEST((Caller({chunked.address}, seconds(20)).Get("/a").body == large));
  }
  {
    Scripted endless({Says(200, std::string(17'000'000, 'x'))});
    BOOST_CHECK_EXCEPTION(Caller({endless.address}, seconds(20)).Get("/a"), NoAnswer,
                          [](const NoAnswer& none) {
                            return std::string(none.what()).find("beyond 16 MB") != std::string::npos;
                          });
  }
}

}  // namespace
}  // namespace curlewdoor::console
