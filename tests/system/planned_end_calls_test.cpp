// Calls on `control` at a gateway that was told to end: applications go on calling it on kept connections
// until the process is gone. Real processes, judged by what the callers were answered and by what was done.
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "coordination_deployment.hpp"
#include "systemkit/environment.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr int kCore = 3, kGateways = 2, kCallers = 6;
constexpr double kGrace = 6;             // seconds of grace_s
constexpr double kWaits = 2 * kGrace;    // ... for an answer, so that none is given up by its caller
constexpr double kWatchedAt = 1;         // ... after the SIGTERM until a watch is sent
constexpr int kWatchMs = 20'000;         // a watch outlasts the process
constexpr double kLeaderSleepsAt = 2.4;  // ... after the SIGTERM: an idle gateway ends soon after this
constexpr double kLeaderSleeps = 0.4;    // ... too short for its calls to be turned away as old

Machines::Options FiveMachines() {
  Machines::Options options = Of(kCore, kGateways);
  options.program = ProgramToPlay(CURLEWDOOR_PROGRAM);
  return options;
}

class LeavingGateway : public Deployment {
 public:
  LeavingGateway() : Deployment(FiveMachines()) {}

  // Callers put values at `machine`, one after another each, from before its SIGTERM until it declines.
  // The leader of the log stands still while the machine would end, so that calls are under way then.
  void Play(int machine, bool leader_sleeps) {
    const int leader = Leader();
    BOOST_REQUIRE(leader >= 0);
    machine_ = machine;
    const std::uint64_t seen = NumberIn(Repeated(Put("w.a", "before")), "revision");
    puts_.clear();
    for (int caller = 0; caller < kCallers; ++caller) PutNext();
    const double term_at = pace.Now();
    machines.Signal(machine, SIGTERM);
    std::optional<Answer> watch;
    pace.After(kWatchedAt, [&, seen] {
      Send(machine, Watch("w.", seen, kWatchMs), kWaits, [&](const Answer& answer) { watch = answer; });
    });
    if (leader_sleeps) {
      pace.After(kLeaderSleepsAt, [=, this] { machines.Signal(leader, SIGSTOP); });
      pace.After(kLeaderSleepsAt + kLeaderSleeps, [=, this] { machines.Signal(leader, SIGCONT); });
    }
    BOOST_TEST(Until([&] { return !machines.Running(machine) && watch && Ended(); }, kGrace + 2 * kSilence),
               "the process has not ended by itself, or a caller waits for ever");
    BOOST_TEST(pace.Now() - term_at < kGrace);
    BOOST_TEST(watch.value_or(Answer{}).status == 503, "the watch was not sent elsewhere");
    Judge();
  }

 private:
  struct OnePut {
    std::string key, value;
    std::optional<Answer> answer;
  };

  void PutNext() {
    const std::size_t index = puts_.size();
    const std::string name = fmt::format("p{}.{}", machine_, index);
    puts_.push_back({name, "value-" + name, std::nullopt});
    Send(machine_, Put(puts_[index].key, puts_[index].value), kWaits, [this, index](const Answer& answer) {
      puts_[index].answer = answer;
      if (answer.status == 200) PutNext();
    });
  }
  bool Ended() const {
    return std::all_of(puts_.begin(), puts_.end(), [](const OnePut& put) { return put.answer.has_value(); });
  }
  // A put that was done has an answer, and one that was answered 503 was not done.
  void Judge() {
    std::size_t done = 0;
    for (const OnePut& put : puts_) {
      if (put.answer->status == 200) {
        ++done;
        continue;
      }
      if (put.answer->whole() && put.answer->status != 503) continue;  // it promises nothing
      const bool was_done = Repeated(ReadKey(put.key)).status == 200;
      BOOST_TEST(!was_done, put.key << " was done, and its caller "
                                    << (put.answer->whole() ? "answered 503" : "saw a closed connection"));
    }
    BOOST_TEST(done > 0U);
    BOOST_TEST_MESSAGE(puts_.size() << " puts, " << done << " answered 200");
  }

  int machine_ = 0;
  std::vector<OnePut> puts_;
};

// Guards against calls that a leaving gateway passes on and leaves without an answer, and against watches
// whose connection is closed.
BOOST_AUTO_TEST_CASE(a_call_that_a_leaving_gateway_has_passed_on_is_answered) {
  LeavingGateway deployment;
  BOOST_REQUIRE(deployment.Start());
  deployment.Play(kCore, true);
}

// Guards against the same at a member of the core, which hands over what it holds.
BOOST_AUTO_TEST_CASE(a_call_that_a_leaving_member_has_passed_on_is_answered) {
  LeavingGateway deployment;
  BOOST_REQUIRE(deployment.Start());
  const int leader = deployment.Leader();
  deployment.Play((leader + 1) % kCore, true);
}

// Guards against the same at the member that leads.
BOOST_AUTO_TEST_CASE(a_call_at_a_leaving_leader_is_answered) {
  LeavingGateway deployment;
  BOOST_REQUIRE(deployment.Start());
  deployment.Play(deployment.Leader(), false);
}

}  // namespace
}  // namespace curlewdoor::systemkit
