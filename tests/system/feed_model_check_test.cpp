// All interleavings of real ConfigSources at three members with a register that a majority keeps, one member
// at a time cut off from the others, and two gateways that reach each member, cut off or not. What must hold:
// a fetch is answered with nothing older than what had been acknowledged when it was asked, and with nothing
// that isn't chosen. A read of the core is gathered (its majority answers) and ended in steps of their own;
// whether a cut-off member has noticed the cut is left open. Mutations of the source must be caught.
//
// CURLEWDOOR_FEED_DEPTH=N: longer runs (12).
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <optional>
#include <unordered_set>

#include "system/config_source.hpp"

namespace curlewdoor::system {
namespace {

constexpr int kMembers = 3, kGateways = 2, kNobody = -1;
constexpr std::uint8_t kVersions = 3;
constexpr int kMostCuts = 3;
constexpr std::size_t kDepth = 12;
using Fault = ConfigSource::Options::Fault;

std::string TextOf(std::uint64_t version) { return "text " + std::to_string(version); }

struct Member {
  explicit Member(const ConfigSource::Options& options) : source(options) {}
  ConfigSource source;
  std::uint8_t kept = 0;
  bool reading = false;
  std::optional<std::uint8_t> gathered;  // by the read under way
};

struct Gateway {
  enum class Phase : std::uint8_t { kIdle, kAsked, kInRead, kDone } phase = Phase::kIdle;
  int member = kNobody;
  std::uint8_t floor = 0;  // acknowledged when it asked
};

struct State {
  explicit State(const ConfigSource::Options& options)
      : members{Member(options), Member(options), Member(options)} {}
  std::array<Member, kMembers> members;
  std::array<Gateway, kGateways> gateways;
  std::uint8_t offered = 0, acknowledged = 0;
  int cut = kNobody, cuts = 0;

  bool Connected(int a, int b) const { return a == b || (a != cut && b != cut); }
  bool Chosen(std::uint8_t version) const {
    return std::count_if(members.begin(), members.end(), [&](const Member& m) { return m.kept >= version; }) >
           kMembers / 2;
  }
  std::string Key() const {
    std::string key{static_cast<char>(offered), static_cast<char>(acknowledged), static_cast<char>(cut + 1),
                    static_cast<char>(cuts)};
    for (const Member& m : members)
      key += {static_cast<char>(m.kept), static_cast<char>(m.source.newest().version),
              static_cast<char>(m.reading), static_cast<char>(m.gathered ? *m.gathered + 1 : 0)};
    for (const Gateway& g : gateways)
      key += {static_cast<char>(g.phase), static_cast<char>(g.member + 1), static_cast<char>(g.floor)};
    return key;
  }
};

struct Node {
  State state;
  std::size_t parent = 0, depth = 0;
  std::string step;
};

class Walk {
 public:
  explicit Walk(Fault fault) {
    options_.fault = fault;
    if (const char* depth = std::getenv("CURLEWDOOR_FEED_DEPTH")) depth_ = std::strtoul(depth, nullptr, 10);
  }

  // The shortest trace to a broken promise; empty: none is broken.
  std::string Run() {
    nodes_.push_back({State(options_), 0, 0, {}});
    seen_.insert(nodes_.front().state.Key());
    for (at_ = 0; at_ < nodes_.size() && broken_.empty(); ++at_)
      if (nodes_[at_].depth < depth_) Steps();
    return broken_;
  }
  std::size_t states() const { return seen_.size(); }
  std::size_t answers() const { return answers_; }

 private:
  template <typename Act>
  void Try(const std::string& step, Act&& act) {
    if (!broken_.empty()) return;
    State next = nodes_[at_].state;
    const std::string wrong = act(next);
    if (!wrong.empty()) {
      std::string trace = step + ": " + wrong;
      for (std::size_t n = at_; n != 0; n = nodes_[n].parent) trace = nodes_[n].step + "; " + trace;
      broken_ = trace;
      return;
    }
    if (seen_.insert(next.Key()).second)
      nodes_.push_back({std::move(next), at_, nodes_[at_].depth + 1, step});
  }

  void Steps() {
    const State now = nodes_[at_].state;
    if (now.offered < kVersions && now.offered == now.acknowledged)
      Try("offer", [](State& s) { return ++s.offered, ""; });
    if (now.acknowledged < now.offered && now.Chosen(now.offered))
      Try("acknowledge", [](State& s) { return s.acknowledged = s.offered, ""; });
    if (now.cut != kNobody) Try("heal", [](State& s) { return s.cut = kNobody, ""; });
    for (int m = 0; m < kMembers; ++m) {
      const std::string name(1, static_cast<char>('a' + m));
      if (now.cut == kNobody && now.cuts < kMostCuts)
        Try("cut " + name, [m](State& s) { return s.cut = m, ++s.cuts, ""; });
      MemberSteps(now, m, name);
      for (int g = 0; g < kGateways; ++g) {
        if (now.gateways[g].phase != Gateway::Phase::kIdle) continue;
        for (const bool contact : {true, false})
          if (contact || m == now.cut)
            Try(std::to_string(g) + " fetches at " + name + (contact ? "" : " (cut noticed)"),
                [&](State& s) { return Fetches(s, m, g, contact); });
      }
    }
  }

  void MemberSteps(const State& now, int m, const std::string& name) {
    const Member& member = now.members[m];
    if (member.kept < now.offered && m != now.cut)
      Try("store at " + name, [m](State& s) { return s.members[m].kept = s.offered, ""; });
    if (member.source.newest().version < member.kept && now.Chosen(member.kept))
      Try(name + " learns", [m](State& s) { return Learn(s.members[m], s.members[m].kept), ""; });
    if (!member.reading) Try("read at " + name, [m](State& s) { return BeginRead(s, m), ""; });
    if (!member.reading) return;
    for (int other = 0; other < kMembers && !member.gathered; ++other)
      if (other != m && now.Connected(m, other))
        Try("gather at " + name + " with " + static_cast<char>('a' + other),
            [=](State& s) { return Gather(s, m, other), ""; });
    if (member.gathered) Try("end read at " + name, [this, m](State& s) { return EndRead(s, m, true); });
    Try("read fails at " + name, [this, m](State& s) { return EndRead(s, m, false); });
  }

  static void Learn(Member& member, std::uint8_t version) {
    const std::string text = TextOf(version);
    if (version > 0) member.source.SetNewest(IdOf(version, text), text);
  }
  static void BeginRead(State& s, int m) {
    s.members[m].reading = s.members[m].source.BeginRead();
    for (Gateway& g : s.gateways)
      if (g.member == m && g.phase == Gateway::Phase::kAsked) g.phase = Gateway::Phase::kInRead;
  }
  // The majority answers, and what it holds is written back to it.
  static void Gather(State& s, int m, int other) {
    const std::uint8_t version = std::max(s.members[m].kept, s.members[other].kept);
    s.members[m].kept = s.members[other].kept = version;
    s.members[m].gathered = version;
  }
  std::string EndRead(State& s, int m, bool confirmed) {
    Member& member = s.members[m];
    const std::uint8_t version = member.gathered.value_or(0);
    member.reading = false;
    member.gathered.reset();
    if (confirmed) Learn(member, version);
    for (const auto& answer : member.source.OnRead(confirmed, version))
      if (std::string wrong = Judge(s, static_cast<int>(answer.stream), answer.fetched); !wrong.empty())
        return wrong;
    return {};
  }
  std::string Fetches(State& s, int m, int g, bool contact) {
    Fetch fetch;
    fetch.number = 1;
    s.gateways[g].member = m;
    s.gateways[g].floor = s.acknowledged;
    s.gateways[g].phase = Gateway::Phase::kAsked;
    const bool joins = options_.fault == Fault::kReadBeforeFetch && s.members[m].reading;
    if (joins) s.gateways[g].phase = Gateway::Phase::kInRead;
    const auto answer = s.members[m].source.OnFetch(static_cast<std::uint64_t>(g), fetch, contact);
    return answer ? Judge(s, g, *answer) : std::string();
  }
  std::string Judge(State& s, int g, const Fetched& fetched) {
    Gateway& gateway = s.gateways[g];
    const std::uint8_t floor = gateway.floor;
    gateway = {};
    if (static_cast<FetchOutcome>(fetched.outcome) == FetchOutcome::kNotNow) return {};
    ++answers_;
    gateway.phase = Gateway::Phase::kDone;
    if (fetched.version < floor)
      return "told " + std::to_string(fetched.version) + " after " + std::to_string(floor) +
             " was acknowledged";
    if (!s.Chosen(static_cast<std::uint8_t>(fetched.version)))
      return "told " + std::to_string(fetched.version) + ", which isn't chosen";
    return {};
  }

  ConfigSource::Options options_;
  std::size_t depth_ = kDepth, at_ = 0, answers_ = 0;
  std::deque<Node> nodes_;
  std::unordered_set<std::string> seen_;
  std::string broken_;
};

BOOST_AUTO_TEST_CASE(AFetchIsAnsweredWithNothingOlderThanWasAcknowledged) {
  Walk walk(Fault::kNone);
  const std::string trace = walk.Run();
  std::cout << "feed: " << walk.states() << " states, " << walk.answers() << " answers\n";
  BOOST_TEST(trace.empty(), trace);
  BOOST_TEST(walk.answers() > 1000u);
}

BOOST_AUTO_TEST_CASE(AFeedFromAMinorityIsCaught) {
  Walk walk(Fault::kFromMinority);
  const std::string trace = walk.Run();
  std::cout << "feed from a minority: " << trace << " (" << walk.states() << " states)\n";
  BOOST_TEST(!trace.empty());
}

BOOST_AUTO_TEST_CASE(AFetchThatJoinsAnEarlierReadIsCaught) {
  Walk walk(Fault::kReadBeforeFetch);
  const std::string trace = walk.Run();
  std::cout << "fetch joins an earlier read: " << trace << " (" << walk.states() << " states)\n";
  BOOST_TEST(!trace.empty());
}

}  // namespace
}  // namespace curlewdoor::system
