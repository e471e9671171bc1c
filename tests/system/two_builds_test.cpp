// Processes of two builds of curlewdoor-system in one deployment, and storage that one build wrote and the
// other opens. CURLEWDOOR_OTHER_PROGRAM names the program of the other build; without it both are this one.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "logs_on_failure.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr double kTimeout = 30;     // seconds for anything awaited: the machine may be busy
constexpr double kCallTimeout = 3;  // seconds for the answer to one call
constexpr double kRetryPause = 0.1;
constexpr double kAskEvery = 0.05;
constexpr double kAfterLeave = 3;  // seconds of requests after a leave: longer than drain_ms
constexpr int kLongHoldMs = 600'000;
constexpr int kMostElections = 30;  // leaders ended until one of the wanted build is elected

enum class Build { kThis, kOther };

std::string ProgramOf(Build build) {
  const char* other = std::getenv("CURLEWDOOR_OTHER_PROGRAM");
  return build == Build::kOther && other != nullptr ? std::filesystem::absolute(other).string()
                                                    : CURLEWDOOR_PROGRAM;
}

// A program that starts, for each machine by its name, the build that was last assigned to it.
class Launcher {
 public:
  Launcher() {
    folder_.Write("launch", fmt::format("#!/bin/sh\nexec \"$(cat \"{}/$(basename \"$CURLEWDOOR_NODE_FILE\" "
                                        ".yaml)\")\" \"$@\"\n",
                                        folder_.path()));
    std::filesystem::permissions(path(), std::filesystem::perms::owner_all);
  }
  std::string path() const { return folder_.path() + "/launch"; }
  void Assign(const std::string& machine, Build build) { folder_.Write(machine, ProgramOf(build)); }

 private:
  playing::TemporaryFolder folder_;
};

Machines::Options Deployment(const std::string& program, int core, int others) {
  Machines::Options options;
  options.program = program;
  options.core = core;
  options.others = others;
  options.coordinates = true;
  options.heartbeat_ms = 1500;  // hosts stay known while the leader changes
  return options;
}

std::uint64_t NumberIn(const Answer& answer, const char* name) {
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  return body.is_object() && body.contains(name) ? body[name].get<std::uint64_t>() : 0;
}

class TwoBuilds {
 public:
  TwoBuilds(int core, int others) : core_(core), world_(Deployment(launcher_.path(), core, others)) {}

  void Assign(int machine, Build build) {
    builds_[machine] = build;
    launcher_.Assign(world_.machines.name(machine), build);
  }
  bool Start() { return world_.Start(); }

  // Ends leaders, which start again on their own storage, until one of this build leads.
  bool ElectLeaderOf(Build build) {
    for (int ended = 0; ended < kMostElections; ++ended) {
      int leader = -1;
      if (!world_.Until([&] { return (leader = Leader()) >= 0; }, kTimeout)) return false;
      if (builds_[leader] == build) return true;
      world_.machines.Kill({leader});
      world_.machines.Start(leader, false);
      TakeNumber(leader);
    }
    return false;
  }

  // Every machine ends in order and starts again on its own storage with this build.
  void RestartAllWith(Build build) {
    for (const int m : world_.machines.all()) world_.machines.Signal(m, SIGTERM);
    for (const int m : world_.machines.all())
      BOOST_REQUIRE(world_.Until([&] { return !world_.machines.Running(m); }, kTimeout));
    for (const int m : world_.machines.all()) {
      BOOST_TEST(world_.machines.exit_code(m) == 0);
      Assign(m, build);
      world_.machines.Start(m, false);
    }
    BOOST_REQUIRE(world_.Until([&] { return world_.clients.in() == world_.machines.count(); }, kTimeout));
  }

  // One use of everything that processes agree on, with calls to every machine in turn.
  void UseAll() {
    ReplaceConfiguration();
    ServeRequests();
    TakeNumbers();
    HoldLock();
    PutKey();
    LetHostLeave();
  }
  void ReplaceConfiguration() {
    ++version_;
    world_.oper.Replace(version_, ConfigText({.version = version_}));
    BOOST_TEST(world_.Until([&] { return world_.oper.Acknowledged(version_); }, kTimeout));
    BOOST_TEST(world_.oper.refused() == "");
    ReadConfiguration();
  }
  // Each machine gives back the newest one.
  void ReadConfiguration() {
    for (const int m : world_.machines.all())
      BOOST_TEST(NumberIn(Insist(m, "GET", "/v1/config/read", ""), "config_version") == version_);
  }
  void ServeRequests() {
    for (const int m : world_.machines.all())
      for (const auto& kind : {Reads(0), Writes(0)}) {
        const std::size_t before = Served(m, kind.prefix);
        BOOST_TEST(world_.Until([&] { return AskNow(m, kind) && Served(m, kind.prefix) > before; }, kTimeout),
                   "machine " << m << " serves " << kind.prefix);
      }
  }
  void TakeNumbers() {
    for (const int m : world_.machines.all()) TakeNumber(m);
  }
  void HoldLock() {
    const std::uint64_t fence = NumberIn(Insist(0, "POST", "/v1/locks/l/begin", LockBody("a", 0)), "fence");
    BOOST_TEST(fence > last_fence_);
    last_fence_ = fence;
    for (const int m : world_.machines.all()) {
      Insist(m, "POST", "/v1/locks/l/heartbeat", LockBody("a", fence));
      BOOST_TEST(Ask(m, "POST", "/v1/locks/l/begin", LockBody("b", 0)).status == 409);
    }
    Insist(1, "POST", "/v1/locks/l/finish", LockBody("a", fence));
  }
  void PutKey() {
    const std::string value = "v" + std::to_string(revision_);
    const std::string body = fmt::format(R"({{"value":"{}","enabled":{}}})", value, revision_);
    revision_ = NumberIn(Insist(2, "POST", "/v1/cells/g.k/replace", body), "revision");
    for (const int m : world_.machines.all()) {
      const Answer read = Insist(m, "GET", "/v1/cells/g.k/read", "");
      BOOST_TEST(NumberIn(read, "revision") == revision_);
      BOOST_TEST(read.body.find(value) != std::string::npos, read.body);
    }
  }
  void LetHostLeave() {
    Host& host = world_.AddHost("first", [](Host::Options& options) { options.serves_on_s = kAfterLeave; });
    BOOST_TEST(world_.Until([&] { return host.acknowledged(); }, kTimeout));
    RequestsFor(1);
    host.Drain();
    BOOST_TEST(world_.Until([&] { return host.drain_acknowledged(); }, kTimeout));
    RequestsFor(kAfterLeave);
  }

  std::uint64_t BeginLongLock() {
    return NumberIn(Insist(0, "POST", "/v1/locks/kept/begin", LockBody("a", 0)), "fence");
  }
  // It is held with the same fence, and nobody else gets it.
  void ConfirmLongLock(std::uint64_t fence) {
    BOOST_TEST(NumberIn(Insist(1, "POST", "/v1/locks/kept/begin", LockBody("a", 0)), "fence") == fence);
    BOOST_TEST(Ask(2, "POST", "/v1/locks/kept/begin", LockBody("b", 0)).status == 409);
  }
  void ReadKey() {
    for (const int m : world_.machines.all())
      BOOST_TEST(NumberIn(Insist(m, "GET", "/v1/cells/g.k/read", ""), "revision") == revision_);
  }

  // No rule was broken by what clients and hosts have seen.
  void CheckRules() {
    BOOST_TEST(world_.Settle());
    for (const std::string& breach : world_.sightings.Breaches()) BOOST_ERROR(breach);
    BOOST_TEST(!world_.sightings.runs().empty());
  }

 private:
  static std::string LockBody(const std::string& holder, std::uint64_t fence) {
    return fmt::format(R"({{"holder":"{}",{}"hold_ms":{}}})", holder,
                       fence > 0 ? fmt::format("\"fence\":{},", fence) : "", kLongHoldMs);
  }

  Answer Ask(int machine, const std::string& method, const std::string& path, const std::string& body) {
    std::optional<Answer> got;
    const Address to = world_.machines.control(machine);
    const std::string type = body.empty() ? "" : "Content-Type: application/json\r\n";
    world_.calls.Call(to, RequestText(method, path, to.ToText(), type, body), kCallTimeout, true,
                      [&](const Answer& answer) { got = answer; });
    world_.Until([&] { return got.has_value(); }, 2 * kCallTimeout);
    return got.value_or(Answer{});
  }
  // The same call to this machine until it is answered 200.
  Answer Insist(int machine, const std::string& method, const std::string& path, const std::string& body) {
    const double ends = world_.pace.Now() + kTimeout;
    Answer answer = Ask(machine, method, path, body);
    while (answer.status != 200 && world_.pace.Now() < ends) {
      world_.For(kRetryPause);
      answer = Ask(machine, method, path, body);
    }
    BOOST_TEST(answer.status == 200, method << " " << path << " at machine " << machine << " is answered "
                                            << answer.status << " " << answer.body);
    return answer;
  }
  void TakeNumber(int machine) {
    const std::uint64_t number = NumberIn(Insist(machine, "POST", "/v1/numbers/n", "{}"), "value");
    BOOST_TEST(number > last_number_);
    last_number_ = number;
  }
  // The member that leads the replicated log; -1: none.
  int Leader() {
    for (int m = 0; m < core_; ++m) {
      const auto report =
          nlohmann::json::parse(Ask(m, "GET", "/v1/system/coordination", "").body, nullptr, false);
      if (report.is_object() && report.value("leads", false)) return m;
    }
    return -1;
  }
  bool AskNow(int machine, const Clients::Kind& kind) {
    world_.clients.AskAt(kind, machine);
    world_.For(kAskEvery);
    return true;
  }
  std::size_t Served(int machine, const std::string& prefix) {
    std::size_t served = 0;
    for (const Try& one : world_.sightings.tries())
      if (one.gateway == machine && one.target.starts_with(prefix) && one.answer.good()) ++served;
    return served;
  }
  void RequestsFor(double seconds) {
    const double ends = world_.pace.Now() + seconds;
    while (world_.pace.Now() < ends) {
      for (const int m : world_.machines.all()) world_.clients.AskAt(Reads(0), m);
      world_.For(kAskEvery);
    }
  }

  const int core_;
  Launcher launcher_;
  World world_;
  const LogsOnFailure logs_{world_.machines};
  std::map<int, Build> builds_;
  std::uint64_t version_ = 1, last_number_ = 0, last_fence_ = 0, revision_ = 0;
};

BOOST_AUTO_TEST_CASE(builds_side_by_side_agree_whichever_leads) {
  TwoBuilds deployment(3, 2);
  for (const int m : {0, 2, 3}) deployment.Assign(m, Build::kOther);
  for (const int m : {1, 4}) deployment.Assign(m, Build::kThis);
  BOOST_REQUIRE(deployment.Start());
  for (const Build leader : {Build::kOther, Build::kThis}) {
    BOOST_REQUIRE(deployment.ElectLeaderOf(leader));
    deployment.UseAll();
  }
  deployment.CheckRules();
}

BOOST_AUTO_TEST_CASE(each_build_opens_the_storage_of_the_other) {
  TwoBuilds deployment(3, 1);
  for (const int m : {0, 1, 2, 3}) deployment.Assign(m, Build::kOther);
  BOOST_REQUIRE(deployment.Start());
  deployment.UseAll();
  const std::uint64_t fence = deployment.BeginLongLock();
  for (const Build build : {Build::kThis, Build::kOther}) {
    deployment.RestartAllWith(build);
    deployment.ReadConfiguration();
    deployment.ReadKey();
    deployment.ConfirmLongLock(fence);
    deployment.UseAll();
  }
  deployment.CheckRules();
}

}  // namespace
}  // namespace curlewdoor::systemkit
