// The first start in virtual time: machines that start within 0.3 s of each other, lagging views, slow disks,
// partitions, lost messages, crashing processes. There must never be two cores, and there must be one soon as
// long as more than half of the seeds are reachable. CURLEWDOOR_SEEDS sets the number of seeds per fault mix.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "agreement/bootstrapper.hpp"
#include "agreement/codec.hpp"

namespace curlewdoor::agreement::bootstrap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Member MemberOf(std::size_t machine) {
  return {{"m" + std::to_string(machine), 7 + machine}, "10.0.0." + std::to_string(10 + machine) + ":7101"};
}
std::uint32_t IpOf(std::size_t machine) { return 0x0a00000au + static_cast<std::uint32_t>(machine); }

enum class FaultMix { kCalm, kPartition, kSeedCutOff, kFlapping, kCrashes, kAll };

class BootstrapSimulation {
 public:
  BootstrapSimulation(std::uint64_t seed, FaultMix faults) : random_(seed), fault_mix_(faults) {
    const std::size_t count = 3 + RandomBelow(6), eligible = 1 + RandomBelow(count);
    options_.min_members = std::min<std::size_t>(eligible, 1 + 2 * RandomBelow(3));
    seeds_ = 1 + RandomBelow(3);
    const std::size_t offset = RandomBelow(count);  // seeds need not be eligible as members
    std::vector<std::uint32_t> acceptors;
    for (std::size_t i = 0; i < seeds_; ++i) acceptors.push_back(IpOf((offset + i) % count));
    electorate_ = MakeAcceptorSet(acceptors, 0);
    machines_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      machines_[i].is_eligible = i < eligible;
      machines_[i].is_seed = (i + count - offset) % count < seeds_;
      machines_[i].state.acceptors = electorate_;
      At(RandomBelow(300), [this, i] { Start(i); });
    }
    last_heard_.assign(count, std::vector<Time>(count));
    ScheduleViews();
  }

  // Empty: exactly one core was started, and in time.
  std::string RunWithFaults() {
    const milliseconds fault_duration =
        fault_mix_ == FaultMix::kCalm ? milliseconds(0) : milliseconds(500 + RandomBelow(30'000));
    if (fault_mix_ == FaultMix::kPartition || (fault_mix_ == FaultMix::kAll && RandomBelow(2) == 0))
      SplitInTwo();
    if (fault_mix_ == FaultMix::kSeedCutOff) Isolate(SeedAt(0));
    faults_active_ =
        fault_mix_ == FaultMix::kFlapping || fault_mix_ == FaultMix::kCrashes || fault_mix_ == FaultMix::kAll;
    if (faults_active_) ScheduleFault();
    // An isolated seed does not delay the start if it is one of three.
    const bool must_start_soon =
        fault_mix_ == FaultMix::kCalm || (fault_mix_ == FaultMix::kSeedCutOff && seeds_ == 3);
    if (must_start_soon) {
      Run(seconds(fault_mix_ == FaultMix::kCalm ? 3 : 5));
      if (chosen_members_.empty() && HasEnoughMembers()) Fail("no core has started");
    }
    Run(fault_duration);
    faults_active_ = false;
    partitions_.clear();
    const Time faults_ended_at = now_;
    Run(seconds(5));
    if (chosen_members_.empty() && HasEnoughMembers()) Fail("no core 5 s after the faults");
    if (chosen_members_.empty()) Run(seconds(16));  // the undersized start
    if (chosen_members_.empty()) Fail("no undersized core");
    start_delay_ = std::max(milliseconds(0),
                            std::chrono::duration_cast<milliseconds>(started_core_at_ - faults_ended_at));
    Run(seconds(10));
    for (const Machine& machine : machines_)
      if (machine.bootstrapper && machine.is_eligible && !machine.has_learned)
        Fail("a machine has not learned");
    return failure_;
  }
  milliseconds start_delay() const { return start_delay_; }  // after the faults ended
  milliseconds started_core_at() const {
    return std::chrono::duration_cast<milliseconds>(started_core_at_ - kBegin);
  }

 private:
  struct Machine {
    bool is_eligible = false, is_seed = false, has_learned = false;
    bool started = false;
    BootstrapState state;  // on its disk, if it is eligible
    std::unique_ptr<Bootstrapper> bootstrapper;
    std::uint64_t run = 0;
    Time writes_stall_until{};
  };
  static constexpr Time kBegin = Time{} + std::chrono::hours(1);

  std::uint64_t RandomBelow(std::uint64_t n) { return random_() % n; }
  void Fail(const std::string& what) {
    if (failure_.empty())
      failure_ = what + " at " + std::to_string((now_ - kBegin) / milliseconds(1)) + " ms";
  }
  void At(std::uint64_t ms, std::function<void()> what) {
    events_.emplace(now_ + milliseconds(ms), std::move(what));
  }
  void Run(milliseconds span) {
    const Time end = now_ + span;
    while (failure_.empty() && !events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  std::size_t SeedAt(std::size_t index) const {
    for (std::size_t i = 0; i < machines_.size(); ++i)
      if (machines_[i].is_seed && index-- == 0) return i;
    return 0;
  }
  // Whether some eligible machine reaches min_members eligible machines and more than half of the seeds.
  bool HasEnoughMembers() const {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      std::size_t members = 0, seeds = 0;
      for (std::size_t k = 0; k < machines_.size(); ++k) {
        if (!machines_[k].bootstrapper || !Reaches(i, k) || !Reaches(k, i)) continue;
        members += machines_[k].is_eligible;
        seeds += machines_[k].is_seed;
      }
      const bool proposes = machines_[i].bootstrapper && machines_[i].is_eligible;
      if (proposes && members >= options_.min_members && 2 * seeds > electorate_.size()) return true;
    }
    return false;
  }
  bool Reaches(std::size_t from, std::size_t to) const {
    return from == to || !partitions_.contains({from, to});
  }

  // The first incarnation has `bootstrap` set, later ones don't: a seed without a disk takes no part after a
  // restart.
  void Start(std::size_t i) {
    Machine& machine = machines_[i];
    if (machine.bootstrapper) return;
    const bool is_first = !std::exchange(machine.started, true);
    if (!is_first && !machine.is_eligible) return;
    ++machine.run;
    machine.bootstrapper =
        std::make_unique<Bootstrapper>(IpOf(i), machine.state, machine.is_eligible, options_, random_());
    if (machine.is_eligible && !machine.has_learned) machine.bootstrapper->SetCandidate(now_, MemberOf(i));
    ScheduleTick(i, machine.run);
  }
  void ScheduleTick(std::size_t i, std::uint64_t run) {
    At(45 + RandomBelow(10), [this, i, run] {
      if (machines_[i].run != run || !machines_[i].bootstrapper) return;
      Feed(i, [&](Bootstrapper& bootstrapper, BootstrapOutput& out) { bootstrapper.Tick(now_, out); });
      ScheduleTick(i, run);
    });
  }

  template <typename Input>
  void Feed(std::size_t i, Input input) {
    if (!machines_[i].bootstrapper) return;
    BootstrapOutput out;
    input(*machines_[i].bootstrapper, out);
    for (SeedRequest& each : out.requests) Deliver(i, each.seed - IpOf(0), std::move(each.message));
    for (PeerReply& each : out.replies) Deliver(i, each.peer - 1, std::move(each.message));
    for (MemberAnnouncement& each : out.announcements)
      Deliver(i, each.member.incarnation.number - MemberOf(0).incarnation.number, std::move(each.message));
    if (out.write) Store(i, std::move(*out.write));
    if (out.chosen_members) OnChosen(i, *out.chosen_members);
  }
  void Deliver(std::size_t from, std::size_t to, BootstrapMessage message) {
    if (faults_active_ && RandomBelow(20) == 0) return;
    const int copies = faults_active_ && RandomBelow(20) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const std::uint64_t extra_delay = faults_active_ && RandomBelow(30) == 0 ? RandomBelow(3000) : 0;
      At(1 + RandomBelow(30) + extra_delay, [this, from, to, message] {
        const auto read = DecodeBootstrap(Encode(message));
        if (!read || *read != message) Fail("a message does not survive encoding");
        if (!Reaches(from, to)) return;
        Feed(to, [&](Bootstrapper& bootstrapper, BootstrapOutput& out) {
          bootstrapper.OnMessage(now_, from + 1, message, out);
        });
      });
    }
  }
  void Store(std::size_t i, BootstrapState state) {
    At(2 + RandomBelow(10), [this, i, run = machines_[i].run, state = std::move(state)] {
      Machine& machine = machines_[i];
      if (machine.run != run || !machine.bootstrapper) return;  // lost with the process
      if (now_ < machine.writes_stall_until) return Store(i, state);
      const bool ok = !faults_active_ || RandomBelow(10) != 0;
      const auto read = DecodeBootstrapState(EncodeBootstrapState(state));
      if (!read || *read != state) Fail("a state does not survive encoding");
      if (ok) machine.state = state;
      Feed(i,
           [&](Bootstrapper& bootstrapper, BootstrapOutput& out) { bootstrapper.OnWritten(now_, ok, out); });
    });
  }
  void OnChosen(std::size_t i, const std::vector<Member>& members) {
    if (chosen_members_.empty()) {
      chosen_members_ = members;
      started_core_at_ = now_;
    }
    if (chosen_members_ != members) Fail("two cores");
    machines_[i].has_learned = true;
  }

  // Each machine sees those that it can reach, and notices with a delay that others became unreachable.
  void ScheduleViews() {
    At(100 + RandomBelow(50), [this] {
      for (std::size_t i = 0; i < machines_.size(); ++i) {
        if (!machines_[i].bootstrapper) continue;
        std::vector<ObservedMachine> view;
        for (std::size_t k = 0; k < machines_.size(); ++k) {
          Time& heard = last_heard_[i][k];
          if (machines_[k].bootstrapper && Reaches(k, i) && Reaches(i, k)) heard = now_;
          if (machines_[k].is_eligible && heard != Time{})
            view.push_back({MemberOf(k), now_ - heard < milliseconds(1000)});
        }
        machines_[i].bootstrapper->OnView(now_, view);
      }
      ScheduleViews();
    });
  }

  void SplitInTwo() {
    std::vector<bool> side;
    for (std::size_t i = 0; i < machines_.size(); ++i) side.push_back(RandomBelow(2) == 0);
    for (std::size_t i = 0; i < machines_.size(); ++i)
      for (std::size_t k = 0; k < machines_.size(); ++k)
        if (side[i] != side[k]) partitions_.insert({i, k});
  }
  void Isolate(std::size_t i) {
    for (std::size_t k = 0; k < machines_.size(); ++k)
      if (k != i) partitions_.insert({i, k}), partitions_.insert({k, i});
  }
  void ScheduleFault() {
    At(100 + RandomBelow(900), [this] {
      if (!faults_active_) return;
      const std::size_t i = RandomBelow(machines_.size()), k = RandomBelow(machines_.size());
      const bool partitions =
          fault_mix_ == FaultMix::kFlapping || (fault_mix_ == FaultMix::kAll && RandomBelow(2) == 0);
      if (partitions) {
        if (RandomBelow(4) == 0) Isolate(i);
        if (RandomBelow(2) == 0) partitions_.insert({i, k});  // in one direction
        At(RandomBelow(2000), [this] { partitions_.clear(); });
      } else if (RandomBelow(3) == 0) {
        machines_[i].writes_stall_until = now_ + milliseconds(RandomBelow(5000));
      } else {
        Crash(i);
      }
      ScheduleFault();
    });
  }
  // Fewer than half of the seeds may lose their memory: beyond that, no core starts without manual
  // intervention.
  void Crash(std::size_t i) {
    Machine& machine = machines_[i];
    if (!machine.bootstrapper) return;
    if (machine.is_seed && !machine.is_eligible && 2 * (lost_seeds_ + 1) >= electorate_.size()) return;
    if (machine.is_seed && !machine.is_eligible) ++lost_seeds_;
    machine.bootstrapper.reset();
    At(50 + RandomBelow(1500), [this, i] { Start(i); });
  }

  std::mt19937_64 random_;
  const FaultMix fault_mix_;
  BootstrapOptions options_;
  AcceptorSet electorate_;
  std::size_t seeds_ = 3, lost_seeds_ = 0;
  Time now_ = kBegin, started_core_at_{};
  std::multimap<Time, std::function<void()>> events_;
  std::vector<Machine> machines_;
  std::vector<std::vector<Time>> last_heard_;
  std::set<std::pair<std::size_t, std::size_t>> partitions_;  // from, to
  std::vector<Member> chosen_members_;
  bool faults_active_ = false;
  milliseconds start_delay_{};
  std::string failure_;
};

BOOST_AUTO_TEST_CASE(exactly_one_core_starts_soon) {
  const char* more = std::getenv("CURLEWDOOR_SEEDS");
  const std::uint64_t seeds = more != nullptr ? std::strtoull(more, nullptr, 10) : 100;
  const std::map<FaultMix, const char*> fault_mixes{{FaultMix::kCalm, "no faults"},
                                                    {FaultMix::kPartition, "a partition"},
                                                    {FaultMix::kSeedCutOff, "an isolated seed"},
                                                    {FaultMix::kFlapping, "flapping partitions"},
                                                    {FaultMix::kCrashes, "crashes and stalled disks"},
                                                    {FaultMix::kAll, "all faults"}};
  for (const auto& [faults, name] : fault_mixes) {
    milliseconds longest{};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      BootstrapSimulation simulation(seed, faults);
      const std::string failure = simulation.RunWithFaults();
      BOOST_TEST(failure.empty(), name << ", seed " << seed << ": " << failure);
      longest = std::max(longest,
                         faults == FaultMix::kCalm ? simulation.started_core_at() : simulation.start_delay());
    }
    BOOST_TEST_MESSAGE(name << ": " << seeds << " seeds, started at most " << longest.count() << " ms after "
                            << (faults == FaultMix::kCalm ? "the start" : "the faults"));
  }
}

// Messages of another acceptor set, malformed ones, and requests to processes that are not seeds are ignored.
BOOST_AUTO_TEST_CASE(foreign_messages_change_nothing) {
  const AcceptorSet acceptors = MakeAcceptorSet({IpOf(2), IpOf(1), IpOf(2), IpOf(0)}, IpOf(9));
  BOOST_TEST((acceptors == AcceptorSet{IpOf(0), IpOf(1), IpOf(2)}));
  BOOST_TEST((MakeAcceptorSet({}, IpOf(9)) == AcceptorSet{IpOf(9)}));
  const Time now = Time{} + std::chrono::hours(1);
  const Ballot ballot{3, 9};
  Bootstrapper seed(IpOf(0), {acceptors, {}, {}}, false, {}, 1);
  const auto deliver = [&](Bootstrapper& to, const AcceptorSet& of, const BootstrapMessageBody& body) {
    BootstrapOutput out;
    to.OnMessage(now, 1, {of, body}, out);
    return out;
  };
  BOOST_TEST(deliver(seed, {IpOf(0), IpOf(1)}, BootstrapPrepare{ballot}).replies.empty());
  BOOST_TEST(deliver(seed, acceptors, BootstrapPrepare{{0, 9}}).replies.empty());
  BOOST_TEST(deliver(seed, acceptors, BootstrapAccept{ballot, {}}).replies.empty());
  BOOST_TEST(!deliver(seed, acceptors, BootstrapChosen{}).chosen_members);
  BOOST_TEST(seed.dropped() == 4u);
  BOOST_TEST((seed.state() == BootstrapState{acceptors, {}, {}}));
  BOOST_TEST(deliver(seed, acceptors, BootstrapPrepare{ballot}).replies.size() == 1u);
  Bootstrapper other(IpOf(5), {acceptors, {}, {}}, false, {}, 1);  // not a seed
  BOOST_TEST(!other.is_acceptor());
  BOOST_TEST(deliver(other, acceptors, BootstrapPrepare{ballot}).replies.empty());
}

BOOST_AUTO_TEST_CASE(bytes_that_are_cut_or_too_many_are_no_message) {
  const std::vector<Member> members{MemberOf(0), MemberOf(1)};
  const AcceptedProposal accepting{{7, 8}, members};
  const AcceptorSet acceptors{IpOf(0), IpOf(1), IpOf(2)};
  for (const BootstrapMessageBody& body : std::vector<BootstrapMessageBody>{
           BootstrapPrepare{{5, 6}}, BootstrapPromise{IpOf(1), {5, 6}, {5, 6}, accepting},
           BootstrapAccept{{5, 6}, members}, BootstrapAccepted{IpOf(1), {5, 6}, {9, 9}},
           BootstrapChosen{members}}) {
    const BootstrapMessage message{acceptors, body};
    const std::string bytes = Encode(message);
    BOOST_TEST((DecodeBootstrap(bytes) == message));
    for (std::size_t size = 0; size < bytes.size(); ++size)
      BOOST_TEST(!DecodeBootstrap(bytes.substr(0, size)));
  }
  const std::vector<Member> many(kMaxMembers + 1);
  BOOST_TEST(!DecodeBootstrap(Encode(BootstrapMessage{acceptors, BootstrapChosen{many}})));
  BOOST_TEST(
      !DecodeBootstrap(Encode(BootstrapMessage{AcceptorSet(kMaxSeeds + 1), BootstrapChosen{members}})));
  const std::string state = EncodeBootstrapState({acceptors, {7, 8}, accepting});
  BOOST_TEST((DecodeBootstrapState(state) == BootstrapState{acceptors, {7, 8}, accepting}));
  for (std::size_t size = 0; size < state.size(); ++size)
    BOOST_TEST(!DecodeBootstrapState(state.substr(0, size)));
}

}  // namespace
}  // namespace curlewdoor::agreement::bootstrap
