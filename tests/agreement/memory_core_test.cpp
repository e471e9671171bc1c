// Cores whose members have no disk: what is left of a roster after many processes have ended at once.
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

// Messages take 1 ms, the memory keeps at once, and a view shows each machine's last life.
class Fleet {
 public:
  Fleet(std::size_t machines, bool lives_end) {
    options_.lives_end = lives_end;
    options_.least_members = machines;
    for (std::size_t i = 0; i < machines; ++i) Begin(i, true, {});
    Run(milliseconds(3000));
  }

  // The process ends; its machine's next life may begin with what a gateway knows to be in force.
  void End(std::size_t i) { machines_[i].core.reset(); }
  void Begin(std::size_t i, bool bootstrap, Value in_force) {
    Machine& m = machines_[i];
    State state;
    state.value = std::move(in_force);
    m.member = {{"m" + std::to_string(i), ++lives_}, "10.0.0." + std::to_string(10 + i) + ":7101"};
    m.core = std::make_unique<Core>(m.member, bootstrap, std::move(state), options_, lives_);
  }
  void Cut(std::size_t i, bool cut) { machines_[i].cut = cut; }

  void Run(milliseconds span) {
    for (const Time end = now_ + span; now_ < end; now_ += milliseconds(1)) {
      auto sent = std::exchange(on_their_way_, {});
      for (auto& [from, sending] : sent)
        for (auto& [i, m] : machines_)
          if (m.core && m.member.life == sending.to.life && m.cut == machines_[from].cut)
            Feed(i, [&](Core& core, Out& out) { core.OnMessage(now_, sending.message, out); });
      if ((now_ - Time{}) / milliseconds(1) % 50 != 0) continue;
      for (auto& [i, m] : machines_) {
        std::vector<Seen> view;
        for (auto& [k, other] : machines_)
          view.push_back({other.member, other.core != nullptr && other.cut == m.cut});
        Feed(i, [&](Core& core, Out& out) { core.OnView(now_, view, out); });
        Feed(i, [&](Core& core, Out& out) { core.Tick(now_, out); });
      }
    }
  }

  // Whether a member answers; what it tells.
  std::optional<Value> Ask(std::size_t i, std::optional<Value> put) {
    answer_.reset();
    Feed(i, [&](Core& core, Out& out) {
      put ? core.Put(now_, ++calls_, *put, out) : core.Get(now_, ++calls_, out);
    });
    Run(milliseconds(1000));
    return answer_;
  }

 private:
  struct Machine {
    Member member;
    std::unique_ptr<Core> core;
    bool cut = false;
  };

  void Feed(std::size_t i, const std::function<void(Core&, Out&)>& input) {
    if (!machines_[i].core) return;
    Out out;
    input(*machines_[i].core, out);
    for (Sending& sending : out.sends) on_their_way_.emplace_back(i, std::move(sending));
    for (const Done& done : out.done)
      if (done.call == calls_ && done.outcome == Outcome::kKept) answer_ = done.value;
    for (const Write& write : out.writes)
      Feed(i, [&](Core& core, Out& next) { core.OnWritten(now_, write.id, true, next); });
  }

  Options options_;
  std::map<std::size_t, Machine> machines_;
  std::deque<std::pair<std::size_t, Sending>> on_their_way_;
  std::optional<Value> answer_;
  std::uint64_t lives_ = 0, calls_ = 0;
  Time now_{};
};

const Value kFirst{5, "five"}, kNext{9, "nine"};

bool Tells(const std::optional<Value>& answer, const Value& value) { return answer && *answer == value; }

BOOST_AUTO_TEST_CASE(the_rest_goes_on_once_the_lost_lives_are_known_to_have_ended) {
  Fleet fleet(9, true);
  BOOST_TEST(Tells(fleet.Ask(0, kFirst), kFirst));
  for (std::size_t i = 0; i < 6; ++i) fleet.End(i);
  fleet.Run(milliseconds(5000));
  BOOST_TEST(!fleet.Ask(7, std::nullopt));  // they may be behind a cut
  for (std::size_t i = 0; i < 6; ++i) fleet.Begin(i, false, {});
  fleet.Run(milliseconds(3000));
  BOOST_TEST(Tells(fleet.Ask(7, std::nullopt), kFirst));
  BOOST_TEST(Tells(fleet.Ask(2, kNext), kNext));  // one that is back is a member again
  // The last three that knew it from the start go as well: the others have it by now.
  for (std::size_t i = 6; i < 9; ++i) fleet.End(i);
  fleet.Run(milliseconds(2000));
  BOOST_TEST(Tells(fleet.Ask(1, std::nullopt), kNext));
}

// Clocks step: a later life has the higher number all the same.
BOOST_AUTO_TEST_CASE(a_life_is_numbered_above_all_that_are_known_of_its_name) {
  const std::vector<Life> known{{"m0", 70}, {"m1", 90}, {"m0", 60}};
  BOOST_TEST(NextLife(50, "m0", known) == 71u);
  BOOST_TEST(NextLife(80, "m0", known) == 80u);
  BOOST_TEST(NextLife(50, "m2", known) == 50u);
}

BOOST_AUTO_TEST_CASE(members_that_are_cut_off_are_not_gone) {
  Fleet fleet(5, true);
  BOOST_TEST(Tells(fleet.Ask(0, kFirst), kFirst));
  for (std::size_t i : {0, 1, 2}) fleet.Cut(i, true);
  fleet.End(3);
  fleet.Begin(3, false, {});
  fleet.Run(milliseconds(5000));
  BOOST_TEST(!fleet.Ask(4, kNext));
  BOOST_TEST(Tells(fleet.Ask(0, kNext), kNext));
}

BOOST_AUTO_TEST_CASE(a_life_on_a_disk_may_come_back) {
  Fleet fleet(3, false);
  BOOST_TEST(Tells(fleet.Ask(0, kFirst), kFirst));
  for (std::size_t i : {0, 1}) {
    fleet.End(i);
    fleet.Begin(i, false, {});
  }
  fleet.Run(milliseconds(5000));
  BOOST_TEST(!fleet.Ask(2, kNext));
}

BOOST_AUTO_TEST_CASE(the_last_one_that_knows_what_is_in_force_may_begin_with_it) {
  Fleet fleet(3, true);
  BOOST_TEST(Tells(fleet.Ask(0, kFirst), kFirst));
  for (std::size_t i : {0, 1, 2}) {  // in turn, each before the next one ends
    fleet.End(i);
    fleet.Begin(i, false, kFirst);
    fleet.Run(milliseconds(1500));
  }
  BOOST_TEST(Tells(fleet.Ask(1, std::nullopt), kFirst));
}

}  // namespace
}  // namespace curlewdoor::agreement::test
