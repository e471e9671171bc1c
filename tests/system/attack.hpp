// A deployment of real processes with small limits, crowds of clients that keep to none, and what is judged
// whatever they do: processes live, and stay within their memory and descriptors; ordinary callers are
// answered.
#pragma once

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "../client_crowd.hpp"
#include "../process_use.hpp"
#include "logs_on_failure.hpp"
#include "systemkit/environment.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {

inline constexpr double kMemoryMb = 64;
inline constexpr double kKeptMb = kMemoryMb / 4;  // once all clients have left
inline constexpr int kFdLimit = 1000,
                     kKeptForFiles = 200;        // DEPLOY.md: kept for files outside the disk folder
inline constexpr std::size_t kCrowd = 200;       // as many as its descriptors let a gateway take in
inline constexpr std::size_t kLargeCrowd = 600;  // more than that
inline constexpr int kCore = 3, kAttacked = 0;
inline constexpr double kHangs = 20;      // seconds
inline constexpr double kCrowdMoves = 6;  // ... that a crowd has for what it sends, at most
inline constexpr double kOneTry = 2;      // ... of an ordinary caller, which then tries again
inline constexpr double kStepsEvery = 0.02, kLooksEvery = 0.15;
inline constexpr int kLongTimeoutMs = 60'000;  // header_timeout_ms: no case may rest on it
#ifdef CURLEWDOOR_SANITIZED
inline constexpr bool kMemoryTells = false;  // a sanitizer's own memory would be measured
#else
inline constexpr bool kMemoryTells = true;
#endif

inline std::string Head(const std::string& method, const std::string& target, const std::string& lines = "") {
  const Clients::Kind kind = Reads(0);
  return fmt::format(
      "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: crowd\r\nX-Deadline-Remaining: 30000\r\n"
      "Authorization: Bearer {}\r\n{}\r\n",
      method, target, kind.host, kind.key, lines);
}
inline std::string SlowGet() { return Head("GET", "/read/slow?work_ms=20000"); }
inline std::string QuickGet() { return Head("GET", "/read/quick?work_ms=1"); }
inline std::string LargeGet(std::size_t bytes) {
  return Head("GET", fmt::format("/read/large?work_ms=1&answer_bytes={}", bytes));
}
inline std::string ChunkedPost() { return Head("POST", "/write/x", "Transfer-Encoding: chunked\r\n"); }
inline std::string PostOf(std::size_t length) {
  return Head("POST", "/write/x", fmt::format("Content-Length: {}\r\n", length));
}
inline std::string HalfHead(std::size_t bytes) {
  const std::string whole = Head("GET", "/read/x", "X-Long: " + std::string(bytes, 'h') + "\r\n");
  return whole.substr(0, whole.size() - 4);
}

// A deployment, the crowds at its doors, and what its processes hold.
class Attack {
 public:
  explicit Attack(bool coordinates = false, int others = 0)
      : world(Options(coordinates, others), HostOptions()) {
    BOOST_REQUIRE(world.Start({.timeout_ms = 30'000, .header_timeout_ms = kLongTimeoutMs}));
    for (const int machine : world.machines.all()) pids_.push_back(world.machines.pid(machine));
  }

  ClientCrowd& Add(const Address& to, ClientScript script, std::size_t count) {
    return *crowds_.emplace_back(std::make_unique<ClientCrowd>(to, std::move(script), count));
  }
  bool Until(const std::function<bool()>& done, double within_s) {
    return world.Until(
        [&] {
          const double now = world.pace.Now();
          if (now - stepped_ >= kStepsEvery) {
            stepped_ = now;
            for (const auto& crowd : crowds_) crowd->Step();
          }
          if (now - looked_ >= kLooksEvery) {
            looked_ = now;
            Look();
          }
          return done();
        },
        within_s);
  }
  void Play(double within_s = kCrowdMoves) {
    Until(
        [&] {
          return std::all_of(crowds_.begin(), crowds_.end(),
                             [](const auto& crowd) { return crowd->quiet(); });
        },
        within_s);
  }
  void LeaveAll() { crowds_.clear(); }
  // One of them, by its place.
  void Leave(std::size_t crowd) { crowds_.erase(crowds_.begin() + static_cast<std::ptrdiff_t>(crowd)); }
  std::size_t crowds() const { return crowds_.size(); }

  // Repeats an ordinary call until its answer has this status, or until any whole answer for 0.
  void ExpectAnswer(const std::string& what, const Address& to, const std::string& bytes, int status) {
    Answer latest;
    bool answered = false;
    int tries = 0;
    double ends = 0;
    std::function<void()> ask = [&] {
      ++tries;
      world.calls.Call(to, bytes, kOneTry, false, [&](const Answer& answer) {
        latest = answer;
        answered = answer.whole() && (status == 0 || answer.status == status);
        if (!answered && world.pace.Now() < ends) world.pace.After(0.05, ask);
      });
    };
    ends = world.pace.Now() + kHangs;
    ask();
    Until([&] { return answered; }, kHangs + 2 * kOneTry);
    BOOST_TEST_MESSAGE(
        fmt::format("{:.1f} s: {}: status {} at try {}", world.pace.Now(), what, latest.status, tries));
    BOOST_TEST(answered, what << " isn't answered as expected; the latest: how "
                              << static_cast<int>(latest.how) << ", status " << latest.status);
  }
  void ExpectOrdinaryCalls(const std::string& when, int machine, int status) {
    const Machines& machines = world.machines;
    const std::string read = RequestText("GET", "/read/x", Reads(0).host,
                                         "X-Attempt-Id: ordinary\r\nX-Deadline-Remaining: 2000\r\n"
                                         "Authorization: Bearer " +
                                             Reads(0).key + "\r\n",
                                         "");
    ExpectAnswer("an ordinary request " + when, machines.data_plane(machine), read, status);
    ExpectAnswer("the readiness " + when, machines.readiness(machine),
                 RequestText("GET", "/v1/readiness", "gateway", "", ""), 200);
    ExpectAnswer("the configuration " + when, machines.control(machine),
                 RequestText("GET", "/v1/config/read", "gateway", "", ""), 200);
  }
  void ExpectOrdinaryCallsAtAll(const std::string& when) {
    for (const int machine : world.machines.all()) ExpectOrdinaryCalls(when, machine, 200);
  }
  // Everything that holds whatever clients do. `restarted`: these machines were ended by the test and started
  // again.
  void Judge(const std::set<int>& restarted = {}) {
    for (const int machine : world.machines.all()) {
      const auto m = static_cast<std::size_t>(machine);
      if (!restarted.contains(machine)) {
        BOOST_TEST(world.machines.Running(machine), "gateway " << machine << " has ended");
        BOOST_TEST(world.machines.pid(machine) == pids_[m]);
      }
      const HeldByProcess& most = peaks_[machine].most();
      BOOST_TEST_MESSAGE(fmt::format(
          "gateway {}: at most {:.1f} MB ({:.1f} resident, {:.1f} unread, {:.1f} unsent), "
          "{} descriptors",
          machine, most.memory_mb(), most.resident_mb, most.unread_mb, most.unsent_mb, most.descriptors));
      if (kMemoryTells) BOOST_TEST(most.memory_mb() <= kMemoryMb, "gateway " << machine << " held too much");
      BOOST_TEST(most.descriptors <= kFdLimit - kKeptForFiles);
    }
  }

  // What a machine's process held when it was looked at last.
  HeldByProcess Now(int machine) const { return latest_.at(machine); }

  World world;

 private:
  static Machines::Options Options(bool coordinates, int others) {
    Machines::Options options;
    options.program = ProgramToPlay(CURLEWDOOR_PROGRAM);
    options.core = kCore;
    options.others = others;
    options.memory_mb = kMemoryMb;
    options.fd_limit = kFdLimit;
    options.coordinates = coordinates;
    return options;
  }
  static Host::Options HostOptions() {
    Host::Options options;
    options.slots = 2000;  // a host that is full would hide what its gateway does
    return options;
  }
  void Look() {
    const SocketTable sockets;
    for (const int machine : world.machines.all()) {
      if (!world.machines.Running(machine)) continue;
      latest_[machine] = HeldBy(world.machines.pid(machine), world.machines.data_plane(machine).ip, sockets);
      peaks_[machine].Add(latest_[machine]);
    }
  }

  const LogsOnFailure logs_{world.machines};
  double stepped_ = 0, looked_ = 0;
  std::vector<int> pids_;
  std::map<int, HeldByProcess> latest_;
  std::map<int, PeakUse> peaks_;
  std::vector<std::unique_ptr<ClientCrowd>> crowds_;
};

enum class Door { kData, kControl, kReadiness, kPeers };

inline Address AddressOf(const Machines& machines, Door door, int machine = kAttacked) {
  switch (door) {
    case Door::kData:
      return machines.data_plane(machine);
    case Door::kControl:
      return machines.control(machine);
    case Door::kReadiness:
      return machines.readiness(machine);
    case Door::kPeers:  // the second of the internal ports takes other gateways' connections
      return {machines.control(machine).ip, static_cast<std::uint16_t>(machines.internal_port() + 1)};
  }
  return {};
}

}  // namespace curlewdoor::systemkit
