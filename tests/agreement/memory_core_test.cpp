// Cores with members that have no disk: what the remaining members can do after many processes have ended at
// once.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "agreement/core.hpp"

namespace curlewdoor::agreement::test {
namespace {

using std::chrono::milliseconds;

// Messages take 1 ms, writes succeed at once, and a view shows the latest incarnation of each machine.
class VolatileCluster {
 public:
  VolatileCluster(std::size_t machines, bool volatile_members) {
    options_.volatile_members = volatile_members;
    options_.min_members = machines;
    for (std::size_t i = 0; i < machines; ++i) Start(i, true, {});
    Run(milliseconds(3000));
  }

  // Stop ends a process. The next incarnation of its machine may start with the value that a gateway knows to
  // be in force.
  void Stop(std::size_t i) { machines_[i].core.reset(); }
  void Start(std::size_t i, bool bootstrap, ConfigValue in_force) {
    Machine& m = machines_[i];
    CoreState state;
    state.value = std::move(in_force);
    m.member = {{"m" + std::to_string(i), ++incarnations_}, "10.0.0." + std::to_string(10 + i) + ":7101"};
    m.core = std::make_unique<Core>(m.member, bootstrap, std::move(state), options_, incarnations_);
  }
  void SetPartitioned(std::size_t i, bool partitioned) { machines_[i].partitioned = partitioned; }

  void Run(milliseconds span) {
    for (const Time end = now_ + span; now_ < end; now_ += milliseconds(1)) {
      auto sent = std::exchange(in_flight_, {});
      for (auto& [from, sending] : sent)
        for (auto& [i, m] : machines_)
          if (m.core && m.member.incarnation == sending.to.incarnation &&
              m.partitioned == machines_[from].partitioned)
            Feed(i, [&](Core& core, CoreOutput& out) { core.OnMessage(now_, sending.message, out); });
      if ((now_ - Time{}) / milliseconds(1) % 50 != 0) continue;
      for (auto& [i, m] : machines_) {
        std::vector<ObservedMachine> view;
        for (auto& [k, other] : machines_)
          view.push_back({other.member, other.core != nullptr && other.partitioned == m.partitioned});
        Feed(i, [&](Core& core, CoreOutput& out) { core.OnView(now_, view, out); });
        Feed(i, [&](Core& core, CoreOutput& out) { core.Tick(now_, out); });
      }
    }
  }

  // The value that a member returns for this put, or for a get; nullopt if the call fails.
  std::optional<ConfigValue> Call(std::size_t i, std::optional<ConfigValue> put) {
    answer_.reset();
    Feed(i, [&](Core& core, CoreOutput& out) {
      put ? core.Put(now_, ++calls_, *put, out) : core.Get(now_, ++calls_, out);
    });
    Run(milliseconds(1000));
    return answer_;
  }

 private:
  struct Machine {
    Member member;
    std::unique_ptr<Core> core;
    bool partitioned = false;
  };

  void Feed(std::size_t i, const std::function<void(Core&, CoreOutput&)>& input) {
    if (!machines_[i].core) return;
    CoreOutput out;
    input(*machines_[i].core, out);
    for (OutgoingMessage& sending : out.sends) in_flight_.emplace_back(i, std::move(sending));
    for (const CallResult& done : out.results)
      if (done.call == calls_ && done.outcome == CallOutcome::kInForce) answer_ = done.value;
    for (const StorageWrite& write : out.writes)
      Feed(i, [&](Core& core, CoreOutput& next) { core.OnWritten(now_, write.id, true, next); });
  }

  CoreOptions options_;
  std::map<std::size_t, Machine> machines_;
  std::deque<std::pair<std::size_t, OutgoingMessage>> in_flight_;
  std::optional<ConfigValue> answer_;
  std::uint64_t incarnations_ = 0, calls_ = 0;
  Time now_{};
};

const ConfigValue kFirstValue{5, "five"}, kNextValue{9, "nine"};

bool Returns(const std::optional<ConfigValue>& answer, const ConfigValue& value) {
  return answer && *answer == value;
}

BOOST_AUTO_TEST_CASE(the_rest_continues_once_the_lost_incarnations_are_known_to_have_ended) {
  VolatileCluster cluster(9, true);
  BOOST_TEST(Returns(cluster.Call(0, kFirstValue), kFirstValue));
  for (std::size_t i = 0; i < 6; ++i) cluster.Stop(i);
  cluster.Run(milliseconds(5000));
  BOOST_TEST(!cluster.Call(7, std::nullopt));  // the stopped members might only be partitioned
  for (std::size_t i = 0; i < 6; ++i) cluster.Start(i, false, {});
  cluster.Run(milliseconds(3000));
  BOOST_TEST(Returns(cluster.Call(7, std::nullopt), kFirstValue));
  BOOST_TEST(Returns(cluster.Call(2, kNextValue), kNextValue));  // a restarted machine is a member again
  // The last three original members stop as well: the others have the value by now.
  for (std::size_t i = 6; i < 9; ++i) cluster.Stop(i);
  cluster.Run(milliseconds(2000));
  BOOST_TEST(Returns(cluster.Call(1, std::nullopt), kNextValue));
}

// Clocks may be set back: a later incarnation still gets a higher number.
BOOST_AUTO_TEST_CASE(an_incarnation_is_numbered_above_all_known_ones_of_its_node) {
  const std::vector<Incarnation> known{{"m0", 70}, {"m1", 90}, {"m0", 60}};
  BOOST_TEST(NextIncarnationNumber(50, "m0", known) == 71u);
  BOOST_TEST(NextIncarnationNumber(80, "m0", known) == 80u);
  BOOST_TEST(NextIncarnationNumber(50, "m2", known) == 50u);
}

BOOST_AUTO_TEST_CASE(partitioned_members_have_not_ended) {
  VolatileCluster cluster(5, true);
  BOOST_TEST(Returns(cluster.Call(0, kFirstValue), kFirstValue));
  for (std::size_t i : {0, 1, 2}) cluster.SetPartitioned(i, true);
  cluster.Stop(3);
  cluster.Start(3, false, {});
  cluster.Run(milliseconds(5000));
  BOOST_TEST(!cluster.Call(4, kNextValue));
  BOOST_TEST(Returns(cluster.Call(0, kNextValue), kNextValue));
}

BOOST_AUTO_TEST_CASE(an_incarnation_with_a_disk_may_come_back) {
  VolatileCluster cluster(3, false);
  BOOST_TEST(Returns(cluster.Call(0, kFirstValue), kFirstValue));
  for (std::size_t i : {0, 1}) {
    cluster.Stop(i);
    cluster.Start(i, false, {});
  }
  cluster.Run(milliseconds(5000));
  BOOST_TEST(!cluster.Call(2, kNextValue));
}

BOOST_AUTO_TEST_CASE(a_restarted_member_may_start_with_the_value_in_force) {
  VolatileCluster cluster(3, true);
  BOOST_TEST(Returns(cluster.Call(0, kFirstValue), kFirstValue));
  for (std::size_t i : {0, 1, 2}) {  // one after the other
    cluster.Stop(i);
    cluster.Start(i, false, kFirstValue);
    cluster.Run(milliseconds(1500));
  }
  BOOST_TEST(Returns(cluster.Call(1, std::nullopt), kFirstValue));
}

}  // namespace
}  // namespace curlewdoor::agreement::test
