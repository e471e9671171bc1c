// A member cut off for seconds neither serves, nor hands on, nor confirms anything, and says so at once.
#include <algorithm>
#include <csignal>

#include "history_scene.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr double kCut = 6;        // seconds that a cut lasts
constexpr double kNoticed = 2;    // from a cut, until a member knows that it has no majority
constexpr double kAtOnce = 0.35;  // seconds: a refusal of who knows, in the median

// Who is no member can't know: it asks all that it reaches, and answers before its caller has gone elsewhere.
constexpr double kPatience = 1;

// Calls at a gateway while it is cut off: none may be confirmed or answered by a configuration, nor by its
// absence; after a while all are refused at once.
class CallsAtTheCutOff {
 public:
  // `refuses_in`: seconds, in the median.
  CallsAtTheCutOff(HistoryScene& scene, int gateway, double refuses_in = kAtOnce)
      : scene_(scene), gateway_(gateway), refuses_in_(refuses_in), cut_at_(scene.pace.Now()) {}

  void Call() {
    if (!scene_.machines.Running(gateway_)) return;
    asked_.push_back(scene_.Read(gateway_));
    asked_.push_back(scene_.Order(gateway_, scene_.Next("cut-off")));
  }
  void Judge() {
    BOOST_TEST(scene_.Over(asked_));
    std::vector<double> took;
    for (const AskedPtr& each : asked_) {
      if (each->called > healed_at_) continue;
      const bool answered_late = each->called + each->took > healed_at_;
      if (answered_late) continue;  // the majority was there again
      BOOST_TEST((each->refused_5xx() || each->status == 0),
                 "the cut-off gateway "
                     << gateway_ << " answered " << (each->sent.version > 0 ? "an order" : "a read") << " of "
                     << each->called - cut_at_ << " s after the cut with " << each->status << " "
                     << each->took << " s later");
      if (each->called > cut_at_ + kNoticed && each->status != 0) took.push_back(each->took);
    }
    std::sort(took.begin(), took.end());
    BOOST_TEST(took.size() > 10U);
    if (took.empty()) return;
    BOOST_TEST_MESSAGE("refused at gateway " << gateway_ << " in " << took[took.size() / 2] * 1000
                                             << " ms in the median, " << took.back() * 1000 << " at most");
    BOOST_TEST(took[took.size() / 2] < refuses_in_);
  }
  void Healed() { healed_at_ = scene_.pace.Now(); }

 private:
  HistoryScene& scene_;
  const int gateway_;
  const double refuses_in_, cut_at_;
  double healed_at_ = 1e9;
  std::vector<AskedPtr> asked_;
};

// With a gateway started on its side of the cut: it isn't ready, and serves and confirms nothing.
BOOST_AUTO_TEST_CASE(off_with_a_gateway_started_beside_it) {
  HistoryScene scene(3, 2);
  BOOST_REQUIRE(scene.Begin({}, {4}));
  scene.LeaveAlone(0);
  scene.LeaveAlone(4);
  scene.relays.Separate({0, 4});
  CallsAtTheCutOff at_member(scene, 0), at_started(scene, 4, kPatience);
  BOOST_TEST(scene.Confirms(3));
  scene.machines.SetSeeds({scene.machines.control(0), scene.machines.control(1)});
  scene.Start(4);
  bool silent = true;
  scene.LastWith(kCut, 0.1, [&] {
    at_member.Call();
    at_started.Call();
    silent = silent && !scene.Ready(4) && scene.ServesNothing(4);
  });
  BOOST_TEST(silent);
  BOOST_TEST(!scene.Core(0).majority);
  BOOST_TEST(scene.Confirms(3));
  at_member.Healed();
  at_started.Healed();
  scene.relays.JoinAll();
  scene.UseAgain(0);
  scene.UseAgain(4);
  BOOST_TEST(scene.Until([&] { return scene.Ready(4); }, 10));
  at_member.Judge();
  at_started.Judge();
  scene.Judge();
}

// A gateway that reaches all, told of the cut-off member first, takes its first configuration from a
// majority.
BOOST_AUTO_TEST_CASE(started_with_ways_to_all_and_the_cut_off_first) {
  HistoryScene scene(3, 3);
  BOOST_REQUIRE(scene.Begin({}, {4, 5}));
  scene.LeaveAlone(0);
  for (const int m : {1, 2}) {
    scene.relays.Cut(0, m);
    scene.relays.Cut(m, 0);
  }
  CallsAtTheCutOff at_member(scene, 0);
  scene.LastWith(kNoticed, 0.1, [&] { at_member.Call(); });
  for (const auto& [machine, seeds] :
       {std::pair{4, std::vector<int>{0, 1, 2}}, std::pair{5, std::vector<int>{0}}}) {
    BOOST_TEST(scene.Confirms(3));  // what the cut-off one has is old by now
    std::vector<Address> addresses;
    for (const int m : seeds) addresses.push_back(scene.machines.control(m));
    scene.machines.SetSeeds(addresses);
    scene.Start(machine);
    const double started = scene.pace.Now();
    BOOST_TEST(scene.Until([&] { return scene.Ready(machine); }, 10));
    BOOST_TEST_MESSAGE("ready " << scene.pace.Now() - started << " s after its start");
    BOOST_TEST(scene.Until([&] { return scene.InForce(machine) > 0; }));
  }
  scene.LastWith(2, 0.1, [&] { at_member.Call(); });
  at_member.Healed();
  scene.relays.JoinAll();
  scene.UseAgain(0);
  at_member.Judge();
  scene.Judge();
}

void PlayOneWay(bool heard) {
  HistoryScene scene(3, 2);
  BOOST_REQUIRE(scene.Begin({}));
  scene.LeaveAlone(0);
  for (const int m : {1, 2, 3, 4}) heard ? scene.relays.Cut(m, 0) : scene.relays.Cut(0, m);
  CallsAtTheCutOff at_member(scene, 0);
  scene.LastWith(kCut, 0.1, [&] { at_member.Call(); });
  BOOST_TEST(scene.Confirms(3));
  at_member.Healed();
  scene.relays.JoinAll();
  scene.UseAgain(0);
  at_member.Judge();
  scene.Judge();
}
BOOST_AUTO_TEST_CASE(one_way_and_not_heard) { PlayOneWay(false); }
BOOST_AUTO_TEST_CASE(one_way_and_hearing_nobody) { PlayOneWay(true); }

// A cut that comes and goes each second, of one member and then of another.
BOOST_AUTO_TEST_CASE(flaps_each_second) {
  HistoryScene scene(3, 2);
  BOOST_REQUIRE(scene.Begin({.operators = 3}));
  const std::size_t before = scene.confirmed();
  for (int second = 0; second < 8; ++second) {
    second % 2 == 0 ? scene.relays.Separate({second / 4}) : scene.relays.JoinAll();
    scene.Last(1);
  }
  BOOST_TEST_MESSAGE(scene.confirmed() - before << " confirmed in 8 s");
  BOOST_TEST(scene.confirmed() > before + 10);
  scene.relays.JoinAll();
  scene.Judge();
}

// Four of eight on either side: no side is a majority, and neither answers.
BOOST_AUTO_TEST_CASE(halves_of_eight) {
  HistoryScene scene(8, 0);
  BOOST_REQUIRE(scene.Begin({}));
  for (const int m : {0, 1, 2, 3, 4, 5, 6, 7}) scene.LeaveAlone(m);
  scene.relays.Separate({0, 1, 2, 3});
  CallsAtTheCutOff here(scene, 1), there(scene, 6);
  scene.LastWith(kCut, 0.1, [&] {
    here.Call();
    there.Call();
  });
  BOOST_TEST(!scene.Core(1).majority);
  BOOST_TEST(!scene.Core(6).majority);
  here.Healed();
  there.Healed();
  scene.relays.JoinAll();
  for (const int m : {0, 1, 2, 3, 4, 5, 6, 7}) scene.UseAgain(m);
  here.Judge();
  there.Judge();
  scene.Judge();
}

// Two of five are cut off; on both sides one is killed and started with seeds of its own side alone.
BOOST_AUTO_TEST_CASE(with_restarts_on_both_sides) {
  HistoryScene scene(5, 1);
  BOOST_REQUIRE(scene.Begin({}));
  scene.LeaveAlone(0);
  scene.LeaveAlone(1);
  scene.relays.Separate({0, 1});
  CallsAtTheCutOff at_member(scene, 1), at_restarted(scene, 0);
  BOOST_TEST(scene.Confirms(3));
  scene.Kill({0, 3});
  scene.Last(0.3);
  scene.machines.SetSeeds({scene.machines.control(0), scene.machines.control(1)});
  scene.Start(0);
  scene.machines.SetSeeds({scene.machines.control(2), scene.machines.control(4)});
  scene.Start(3);
  bool silent = true;
  scene.LastWith(kCut, 0.1, [&] {
    at_member.Call();
    at_restarted.Call();
    silent = silent && !scene.Ready(0);
  });
  BOOST_TEST(silent);  // it has asked nobody who may know more
  BOOST_TEST(scene.Confirms(3));
  at_member.Healed();
  at_restarted.Healed();
  scene.relays.JoinAll();
  scene.UseAgain(0);
  scene.UseAgain(1);
  at_member.Judge();
  at_restarted.Judge();
  scene.Judge();
}

}  // namespace
}  // namespace curlewdoor::systemkit
