// Calls of applications at real gateways, over HTTP, judged by what the applications were answered. `Kill`
// stands for a loss of power, where files keep what was written.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "coordination_deployment.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr double kRecovers = 15;  // seconds until calls are answered after a loss: recovery_s
constexpr int kCallers = 8, kCounters = 3, kLocks = 4, kGroups = 2, kKeys = 3;

std::string HolderName(int caller) { return "holder-" + std::to_string(caller); }

// Callers that go through calls of all kinds, one after the other each, and what they were answered.
class Applications {
 public:
  struct Put {
    std::string key, value;
    std::uint64_t revision = 0;
  };
  struct Fence {
    std::uint64_t value = 0;
    std::string holder;
  };

  explicit Applications(Deployment& deployment) : to_(deployment) {}

  void Begin() {
    for (int caller = 0; caller < kCallers; ++caller) Step(caller, caller);
  }
  void Stop() { going_ = false; }
  // Runs `act` within the answer by which as many calls of each kind as this are acknowledged.
  bool AtAcknowledgement(std::size_t each, std::function<void()> act) {
    wanted_ = each;
    act_ = std::move(act);
    return to_.Until([this] { return act_ == nullptr; }, kSoon);
  }

  const std::vector<std::string>& broken() const { return broken_; }
  const std::map<std::string, std::uint64_t>& numbers() const { return numbers_; }
  const std::map<std::string, Fence>& fences() const { return fences_; }
  const std::map<std::string, std::map<std::uint64_t, Put>>& puts() const { return puts_; }  // by group

 private:
  void Step(int caller, int step) {
    if (!going_) return;
    const auto next = [this, caller, step] { Step(caller, step + 1); };
    switch (step % 3) {
      case 0:
        return TakeANumber("n" + std::to_string(step % kCounters), next);
      case 1:
        return Hold("l" + std::to_string((step + caller) % kLocks), HolderName(caller), next);
      default:
        return PutAKey(caller, step, next);
    }
  }
  void Ask(const AppCall& call, std::function<void(const Answer&)> then) {
    to_.Repeat(call, to_.pace.Now() + kSoon, [this, then = std::move(then)](const Answer& answer) {
      if (going_) then(answer);
    });
  }
  void TakeANumber(const std::string& name, std::function<void()> next) {
    Ask(systemkit::TakeNumber(name), [=, this, floor = numbers_[name]](const Answer& answer) {
      const std::uint64_t value = NumberIn(answer, "value");
      if (value <= floor) Break(fmt::format("ORDER: {} behind {} of {}", value, floor, name));
      numbers_[name] = std::max(numbers_[name], value);
      Count(numbers_taken_);
      next();
    });
  }
  void Hold(const std::string& lock, const std::string& holder, std::function<void()> next) {
    Ask(systemkit::Begin(lock, holder, kLongHoldMs),
        [=, this, floor = fences_[lock].value](const Answer& answer) {
          if (answer.status != 200) return next();
          const std::uint64_t fence = NumberIn(answer, "fence");
          if (fence <= floor) Break(fmt::format("ONE: fence {} behind {} of {}", fence, floor, lock));
          if (fence > fences_[lock].value) fences_[lock] = {fence, holder};
          Count(locks_taken_);
          Ask(Finish(lock, holder, fence), [next](const Answer&) { next(); });
        });
  }
  void PutAKey(int caller, int step, std::function<void()> next) {
    const std::string group = fmt::format("g{}.", step % kGroups);
    const std::string key = fmt::format("{}{}", group, (step + caller) % kKeys);
    const std::string value = fmt::format("v{}x{}", caller, step);
    const auto& known = puts_[group];
    const std::uint64_t floor = known.empty() ? 0 : known.rbegin()->first;
    Ask(PutOver(key, value, revisions_[key]), [=, this](const Answer& answer) {
      const std::uint64_t revision = NumberIn(answer, "revision");
      revisions_[key] = std::max(revisions_[key], revision);
      if (answer.status != 200) return next();
      if (revision <= floor) Break(fmt::format("ORDER: {} behind {} of {}", revision, floor, group));
      if (!puts_[group].emplace(revision, Put{key, value, revision}).second)
        Break(fmt::format("ORDER: revision {} of {} twice", revision, group));
      Count(keys_put_);
      next();
    });
  }
  void Count(std::size_t& kind) {
    ++kind;
    if (act_ == nullptr || std::min({numbers_taken_, locks_taken_, keys_put_}) < wanted_) return;
    const auto act = std::exchange(act_, nullptr);
    act();
  }
  void Break(std::string what) { broken_.push_back(std::move(what)); }

  Deployment& to_;
  bool going_ = true;
  std::size_t numbers_taken_ = 0, locks_taken_ = 0, keys_put_ = 0, wanted_ = 0;
  std::function<void()> act_;
  std::map<std::string, std::uint64_t> numbers_, revisions_;
  std::map<std::string, Fence> fences_;
  std::map<std::string, std::map<std::uint64_t, Put>> puts_;
  std::vector<std::string> broken_;
};

// What the bench asks when a day ends, each answered in time and none behind what was acknowledged.
void JudgeEnd(Deployment& deployment, const Applications& applications) {
  for (const auto& [name, value] : applications.numbers()) {
    const Answer answer = deployment.Repeated(TakeNumber(name));
    BOOST_TEST(answer.status == 200, "LOST: number " << name << " is answered " << answer.status);
    BOOST_TEST(NumberIn(answer, "value") > value);
  }
  for (const auto& [lock, fence] : applications.fences()) {
    // Whoever holds it still gets its fence again; where nobody does, the first who asks gets a higher one.
    Answer answer;
    std::string holder;
    for (int caller = 0; caller < kCallers && answer.status != 200; ++caller) {
      holder = HolderName(caller);
      answer = deployment.Repeated(Begin(lock, holder, kLongHoldMs));
      BOOST_TEST((answer.status == 200 || answer.status == 409),
                 "LOST: lock " << lock << " is answered " << answer.status);
    }
    BOOST_TEST(answer.status == 200, "LOST: lock " << lock << " is held by nobody that asked for it");
    const std::uint64_t held = NumberIn(answer, "fence");
    BOOST_TEST(held >= fence.value);
    if (held == fence.value) BOOST_TEST(holder == fence.holder);
    BOOST_TEST(deployment.Repeated(Finish(lock, holder, held)).status == 200);
    answer = deployment.Repeated(Begin(lock, "at-the-end", kLongHoldMs));
    BOOST_TEST(answer.status == 200, "LOST: lock " << lock << " is answered " << answer.status);
    BOOST_TEST(NumberIn(answer, "fence") > std::max(held, fence.value));
  }
  for (const auto& [group, puts] : applications.puts()) {
    std::map<std::string, std::uint64_t> newest;
    for (const auto& [revision, put] : puts) newest[put.key] = revision;
    for (const auto& [key, revision] : newest) {
      const Answer answer = deployment.Repeated(ReadKey(key));
      BOOST_TEST(answer.status == 200, "LOST: key " << key << " is answered " << answer.status);
      const std::uint64_t read = NumberIn(answer, "revision");
      BOOST_TEST(read >= revision);
      if (read == revision)
        BOOST_TEST(nlohmann::json::parse(answer.body)["value"] == puts.at(revision).value);
    }
    // From a revision that was saved before, in the middle.
    auto saved = puts.begin();
    std::advance(saved, static_cast<std::ptrdiff_t>(puts.size() / 2));
    const Answer answer = deployment.Repeated(Watch(group, saved->first, 0));
    BOOST_TEST(answer.status == 200, "LOST: watch " << group << " is answered " << answer.status);
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!body.is_object()) continue;
    BOOST_TEST(body["revision"].get<std::uint64_t>() >= puts.rbegin()->first);
    std::map<std::uint64_t, std::string> told;
    std::uint64_t last = saved->first;
    for (const auto& event : body["events"]) {
      const std::uint64_t revision = event["revision"];
      BOOST_TEST(revision > last);
      last = revision;
      told[revision] = event["name"].get<std::string>() + "=" + event["value"].get<std::string>();
    }
    for (auto it = std::next(saved); it != puts.end(); ++it)
      BOOST_TEST(told[it->first] == it->second.key + "=" + it->second.value);
  }
}

// All lose power in the moment of an acknowledgement, and as many disks as may be lost are lost with them:
// that of the leader, which acknowledged, and another one.
void PlayKillOfAll(Deployment& deployment, const std::vector<int>& beside_leader) {
  BOOST_REQUIRE(deployment.Start());
  const int leader = deployment.Leader();
  BOOST_REQUIRE(leader >= 0);
  Applications applications(deployment);
  applications.Begin();
  BOOST_REQUIRE(applications.AtAcknowledgement(30, [&] {
    deployment.machines.Kill(deployment.machines.all());
    applications.Stop();
  }));
  deployment.machines.WipeDisk(leader);
  const int members = 5;
  for (const int further : beside_leader) deployment.machines.WipeDisk((leader + further) % members);
  for (const int m : deployment.machines.all()) deployment.machines.Start(m, false);
  const double restarted = deployment.pace.Now();
  BOOST_TEST(deployment.Serves(kRecovers));
  BOOST_TEST_MESSAGE("calls are answered " << deployment.pace.Now() - restarted << " s after the start");
  JudgeEnd(deployment, applications);
  for (const std::string& broken : applications.broken()) BOOST_ERROR(broken);
}

BOOST_AUTO_TEST_CASE(what_was_acknowledged_to_applications_outlives_a_kill_of_all_and_two_wiped_disks) {
  Deployment deployment(Of(5, 2));
  PlayKillOfAll(deployment, {2});
}

// Disks stay: all of them come back with what they have.
BOOST_AUTO_TEST_CASE(what_was_acknowledged_to_applications_outlives_a_kill_of_all) {
  Deployment deployment(Of(5, 2));
  BOOST_REQUIRE(deployment.Start());
  Applications applications(deployment);
  applications.Begin();
  for (const std::size_t each : {10u, 20u}) {
    BOOST_REQUIRE(
        applications.AtAcknowledgement(each, [&] { deployment.machines.Kill(deployment.machines.all()); }));
    for (const int m : deployment.machines.all()) deployment.machines.Start(m, false);
    BOOST_TEST(deployment.Serves(kRecovers));
  }
  applications.Stop();
  JudgeEnd(deployment, applications);
  for (const std::string& broken : applications.broken()) BOOST_ERROR(broken);
}

// Every kind of call, at members of the core and at gateways that only pass on.
BOOST_AUTO_TEST_CASE(applications_calls_are_answered_at_any_gateway) {
  Deployment deployment(Of(3, 2));
  BOOST_REQUIRE(deployment.Start());
  std::uint64_t number = 0, fence = 0, revision = 0;
  for (const int m : deployment.machines.all()) {
    const auto at = [&](const AppCall& call) {
      // 503 promises that nothing was done: a gateway may not have reached a member by now.
      Answer answer;
      BOOST_TEST(deployment.Until(
          [&] {
            answer = deployment.At(m, call);
            return answer.whole() && answer.status != 503;
          },
          kSoon));
      return answer;
    };
    BOOST_TEST_CONTEXT("gateway " << m) {
      Answer answer = at(TakeNumber("n"));
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(NumberIn(answer, "value") > number);
      number = NumberIn(answer, "value");

      answer = at(Begin("l", "one", kLongHoldMs));
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(NumberIn(answer, "fence") > fence);
      fence = NumberIn(answer, "fence");
      answer = at(Begin("l", "one", kLongHoldMs));
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(NumberIn(answer, "fence") == fence);
      BOOST_TEST(at(Begin("l", "two", kLongHoldMs)).status == 409);
      BOOST_TEST(at(Renew("l", "one", fence, kLongHoldMs)).status == 200);
      BOOST_TEST(at(Finish("l", "one", fence)).status == 200);
      BOOST_TEST(at(Finish("l", "one", fence)).status == 200);
      BOOST_TEST(at(Renew("l", "one", fence, kLongHoldMs)).status == 409);

      const std::string key = "g." + std::to_string(m);
      BOOST_TEST(at(ReadKey(key)).status == 404);
      answer = at(PutOver(key, key + "-first", 0));
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(NumberIn(answer, "revision") > revision);
      revision = NumberIn(answer, "revision");
      answer = at(PutOver(key, key + "-first", 0));  // it has come again
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(NumberIn(answer, "revision") == revision);
      answer = at(PutOver(key, key + "-other", 0));
      BOOST_TEST(answer.status == 412);
      BOOST_TEST(NumberIn(answer, "revision") == revision);
      answer = at(ReadKey(key));
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(NumberIn(answer, "revision") == revision);
      BOOST_TEST(answer.body.find(key + "-first") != std::string::npos);
      answer = at(Watch("g.", 0, 0));
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(NumberIn(answer, "revision") == revision);

      // A watch that waits here hears of a put elsewhere.
      std::optional<Answer> heard;
      deployment.Send(m, Watch("g.", revision, 2000), kSoon, [&](const Answer& each) { heard = each; });
      answer = deployment.Repeated(PutOver(key, key + "-second", revision));
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(deployment.Until([&] { return heard.has_value(); }, kSoon));
      BOOST_REQUIRE(heard.has_value());
      BOOST_TEST(heard->status == 200);
      BOOST_TEST(heard->body.find(key + "-second") != std::string::npos);
      revision = NumberIn(answer, "revision");
    }
  }
}

// By these an operator tells calls that nobody serves (404, 503) from those that may have been lost (504).
BOOST_AUTO_TEST_CASE(a_gateway_counts_applications_calls_by_their_ends) {
  Deployment deployment(Of(3, 1));
  BOOST_REQUIRE(deployment.Start());
  const int gateway = 3;
  const auto count = [&](const std::string& status) -> std::uint64_t {
    const std::string figures = deployment.At(gateway, {"GET", "/v1/system/figures", ""}).body;
    const std::string name = "curlewdoor_coordination_calls_total{status=\"" + status + "\"} ";
    const auto at = figures.find(name);
    return at == std::string::npos ? 0 : std::stoull(figures.substr(at + name.size()));
  };
  BOOST_REQUIRE(
      deployment.Until([&] { return deployment.At(gateway, TakeNumber("n")).status == 200; }, kSoon));
  const std::vector<std::pair<std::string, AppCall>> expected = {{"200", Begin("l", "one", kLongHoldMs)},
                                                                 {"409", Begin("l", "two", kLongHoldMs)},
                                                                 {"404", ReadKey("g.none")},
                                                                 {"412", PutOver("g.none", "a", 7)},
                                                                 {"400", Begin("l", "", kLongHoldMs)},
                                                                 {"405", {"GET", "/v1/numbers/n", ""}}};
  for (const auto& [status, call] : expected) {
    const std::uint64_t before = count(status);
    BOOST_TEST(std::to_string(deployment.At(gateway, call).status) == status);
    BOOST_TEST(count(status) == before + 1, status << " isn't counted");
  }
  // Without a majority no call is answered 200, and each end is counted; so is a caller that leaves.
  deployment.machines.Kill({0, 1});
  std::uint64_t unserved = count("503") + count("504");
  const int ended = deployment.At(gateway, TakeNumber("n"), kSoon).status;
  BOOST_TEST((ended == 503 || ended == 504));
  BOOST_TEST(count("503") + count("504") == unserved + 1);
  const std::uint64_t left = count("left");
  BOOST_TEST(!deployment.At(gateway, Watch("g.", 1, 20'000), kSilence).whole());
  BOOST_TEST(deployment.Until([&] { return count("left") == left + 1; }, kSoon));
}

}  // namespace
}  // namespace curlewdoor::systemkit
