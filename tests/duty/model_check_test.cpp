// Explores, up to a depth, all interleavings of three voters and two candidates for one duty: lost, repeated
// and late messages, restarts of voters, stalls (no process is forced to act), clocks that differ by the
// bound, and one planned transfer. Invariants in every state: at most one holder, and the tokens of
// successive holders rise. Five mutants must be found, each with its trace.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <unordered_map>
#include <vector>

#include "duty/lease.hpp"

namespace curlewdoor::duty {
namespace {

using std::chrono::seconds;

constexpr std::size_t kVoters = 3, kCandidates = 2;

enum class Mutant {
  kNone,
  kNoRestartWait,
  kLeaseFromReply,
  kMajorityOffByOne,
  kLeaseNotChecked,
  kActsAfterTransfer
};

enum class PacketKind : char { kReply, kRequest, kTransfer };

struct Packet {
  PacketKind kind = PacketKind::kRequest;
  std::size_t candidate = 0, voter = 0;
  LeaseRequest request;
  LeaseReply reply;
  Incarnation to = 0;  // of a transfer
};

// With e = 1/3 a fast clock runs twice as fast as a slow one, so times are whole steps.
LeaseTerms TermsOf(Mutant mutant) {
  LeaseTerms terms;
  terms.lease = seconds(4);
  terms.clock_bound = 1.0 / 3;
  if (mutant == Mutant::kMajorityOffByOne) terms.voters = 1;
  return terms;
}

struct State {
  std::vector<Voter> voters;
  std::vector<Candidate> candidates;
  std::vector<Time> granted_at;  // for kLeaseFromReply: when a majority had granted the lease
  std::vector<Packet> packets;
  int true_time = 0, restarts = 0, transfers = 0;
  std::uint64_t highest_held = 0;
  std::size_t last_holder = kCandidates;
};

class ModelChecker {
 public:
  // `held`: starts in the state in which candidate 0 has just obtained the duty from voters 0 and 1.
  ModelChecker(Mutant mutant, std::vector<int> rates, int depth, bool held = false)
      : mutant_(mutant), rates_(std::move(rates)), depth_(depth), starts_held_(held) {}

  // Empty if no invariant is violated; otherwise the trace to the violation.
  std::string Run() {
    State state;
    const LeaseTerms terms = TermsOf(mutant_);
    for (std::size_t v = 0; v < kVoters; ++v) {
      // The voters have run long enough to vote.
      state.voters.emplace_back(terms, Time{}, 0);
    }
    state.true_time = 100;
    for (std::size_t c = 0; c < kCandidates; ++c) state.candidates.emplace_back(terms, c + 1);
    state.granted_at.resize(kCandidates);
    if (starts_held_) {
      const LeaseRequest request = state.candidates[0].BeginRequest(OwnClock(state, 0));
      for (std::size_t v : {0, 1})
        state.candidates[0].OnReply(v, state.voters[v].OnRequest(VoterClock(state, v), request));
      CheckInvariants(state);
    }
    Explore(state, 0);
    return violation_;
  }
  std::size_t states() const { return visited_.size(); }

 private:
  Time Clock(const State& state, std::size_t clock_index) const {
    return Time{} + seconds(state.true_time * rates_[clock_index]);
  }
  Time VoterClock(const State& state, std::size_t v) const { return Clock(state, v); }
  Time OwnClock(const State& state, std::size_t c) const { return Clock(state, kVoters + c); }

  bool ActsAsHolder(const State& state, std::size_t c) const {
    const Candidate& candidate = state.candidates[c];
    const Time now = OwnClock(state, c);
    if (mutant_ == Mutant::kLeaseNotChecked) return candidate.held_until() != Time{};
    if (mutant_ == Mutant::kLeaseFromReply)
      return candidate.held_until() != Time{} && now < state.granted_at[c] + TermsOf(mutant_).hold_time();
    return candidate.IsHolding(now);
  }

  std::string Key(const State& state) const {
    std::string key;
    const auto add = [&](std::int64_t value) { key.append(reinterpret_cast<const char*>(&value), 4); };
    const auto left = [&](Time until, Time now) {
      add(std::max<std::int64_t>(0, (until - now) / seconds(1)));
    };
    for (std::size_t v = 0; v < kVoters; ++v) {
      const Voter& voter = state.voters[v];
      left(voter.votes_from(), VoterClock(state, v));
      left(voter.promised_until(), VoterClock(state, v));
      add(static_cast<std::int64_t>(voter.promised_to()));
      add(static_cast<std::int64_t>(voter.highest_token()));
      add(voter.ExportState().own_token);
    }
    for (std::size_t c = 0; c < kCandidates; ++c) {
      const Candidate& candidate = state.candidates[c];
      left(candidate.held_until(), OwnClock(state, c));
      left(state.granted_at[c] + seconds(8), OwnClock(state, c));
      add((OwnClock(state, c) - candidate.requested_at()) / seconds(1) > 8
              ? 9
              : (OwnClock(state, c) - candidate.requested_at()) / seconds(1));
      add(static_cast<std::int64_t>(candidate.request_id() * 64 + candidate.requested_token() * 8 +
                                    candidate.token()));
      add(static_cast<std::int64_t>(candidate.highest_token()));
      add(candidate.held_until() != Time{});
      std::int64_t granted_mask = 0;
      for (std::size_t voter : candidate.granted_by()) granted_mask |= 1 << voter;
      add(granted_mask);
    }
    std::vector<std::string> encoded;
    for (const Packet& packet : state.packets) {
      std::string text;
      text += static_cast<char>(packet.kind);
      text += static_cast<char>(packet.candidate);
      text += static_cast<char>(packet.voter);
      const bool is_reply = packet.kind == PacketKind::kReply;
      text += static_cast<char>(is_reply ? packet.reply.request_id : packet.request.request_id);
      text += static_cast<char>(is_reply ? packet.reply.highest_token : packet.request.token);
      text += static_cast<char>(packet.to);
      text += static_cast<char>(packet.reply.granted);
      encoded.push_back(text);
    }
    std::sort(encoded.begin(), encoded.end());
    for (const std::string& text : encoded) key += text;
    add(state.restarts * 2 + state.transfers);
    add(static_cast<std::int64_t>(state.highest_held * 4 + state.last_holder));
    return key;
  }

  bool CheckInvariants(State& state) {
    std::size_t holders = 0;
    for (std::size_t c = 0; c < kCandidates; ++c) {
      if (!ActsAsHolder(state, c)) continue;
      ++holders;
      const std::uint64_t token = state.candidates[c].token();
      const bool other = state.last_holder != c;
      if ((other && token <= state.highest_held) || token < state.highest_held)
        return Fail("a token did not rise");
      state.highest_held = token;
      state.last_holder = c;
    }
    return holders < 2 || Fail("two candidates hold the duty");
  }
  bool Fail(const std::string& what) {
    violation_ = what + ":";
    for (const std::string& step : trace_) violation_ += " " + step + ";";
    return false;
  }

  void Step(State next, int depth, std::string name) {
    trace_.push_back(std::move(name));
    if (violation_.empty() && CheckInvariants(next)) Explore(next, depth + 1);
    trace_.pop_back();
  }

  void Explore(const State& state, int depth) {
    if (depth >= depth_ || !violation_.empty()) return;
    // Skips a state that was already explored with at least as much depth remaining.
    const auto [visited, is_new] = visited_.try_emplace(Key(state), depth);
    if (!is_new && visited->second <= depth) return;
    visited->second = depth;
    constexpr std::size_t kMaxPackets = 4;
    for (std::size_t i = 0; i < state.packets.size(); ++i) {
      for (const bool repeated : {false, true}) {
        if (repeated && state.packets.size() >= kMaxPackets - 1) continue;
        State next = state;
        const Packet packet = state.packets[i];
        if (!repeated) next.packets.erase(next.packets.begin() + static_cast<std::ptrdiff_t>(i));
        const std::string between =
            std::to_string(packet.candidate) + " and voter " + std::to_string(packet.voter);
        if (packet.kind == PacketKind::kTransfer) {
          next.voters[packet.voter].OnTransfer(VoterClock(next, packet.voter), packet.candidate + 1,
                                               packet.request.token, packet.to);
          Step(std::move(next), depth, "transfer received, candidate " + between);
        } else if (packet.kind == PacketKind::kRequest) {
          const LeaseReply reply =
              next.voters[packet.voter].OnRequest(VoterClock(next, packet.voter), packet.request);
          next.packets.push_back({PacketKind::kReply, packet.candidate, packet.voter, {}, reply});
          Step(std::move(next), depth,
               std::string(reply.granted ? "granted" : "refused") + " between candidate " + between);
        } else {
          Candidate& candidate = next.candidates[packet.candidate];
          const Time held = candidate.held_until();
          const std::size_t voter = mutant_ == Mutant::kMajorityOffByOne ? 0 : packet.voter;
          candidate.OnReply(voter, packet.reply);
          if (candidate.held_until() != held)
            next.granted_at[packet.candidate] = OwnClock(next, packet.candidate);
          Step(std::move(next), depth, "reply received, candidate " + between);
        }
        if (!violation_.empty()) return;
      }
    }
    for (std::size_t c = 0; c < kCandidates; ++c) {
      if (state.candidates[c].request_id() >= 2 || state.packets.size() + 2 > kMaxPackets) continue;
      // The request of each candidate to one voter is always lost, a different voter for each, so that their
      // majorities share only voter 1.
      for (const std::size_t lost : {c == 0 ? std::size_t{2} : std::size_t{0}}) {
        State next = state;
        const LeaseRequest request = next.candidates[c].BeginRequest(OwnClock(next, c));
        for (std::size_t v = 0; v < kVoters; ++v)
          if (v != lost) next.packets.push_back({PacketKind::kRequest, c, v, request, {}});
        Step(std::move(next), depth,
             "candidate " + std::to_string(c) + " sends requests to all but voter " + std::to_string(lost));
        if (!violation_.empty()) return;
      }
    }
    // The holder transfers to the other candidate or releases the duty, and informs the voter that all
    // majorities share.
    for (std::size_t c = 0; c < kCandidates; ++c) {
      if (!state.candidates[c].IsHolding(OwnClock(state, c)) || state.transfers > 0 ||
          state.packets.size() + 1 > kMaxPackets)
        continue;
      for (const Incarnation to : {Incarnation{0}, Incarnation{2 - c}}) {
        State next = state;
        ++next.transfers;
        Packet packet{PacketKind::kTransfer, c, 1, {0, c + 1, next.candidates[c].token()}, {}, to};
        next.packets.push_back(packet);
        if (mutant_ != Mutant::kActsAfterTransfer) next.candidates[c].Release();
        Step(std::move(next), depth,
             "candidate " + std::to_string(c) + " transfers to " + (to == 0 ? "nobody" : "the other"));
        if (!violation_.empty()) return;
      }
    }
    State ticked = state;
    ++ticked.true_time;
    Step(std::move(ticked), depth, "tick");
    for (std::size_t v = 0; v < kVoters && state.restarts < 2; ++v) {
      State next = state;
      ++next.restarts;
      // The floor stands for the boot number: it is above all tokens that earlier incarnations can have seen.
      std::uint64_t floor = 1;
      for (const Candidate& candidate : next.candidates) floor = std::max(floor, candidate.highest_token());
      // The mutant acts as if it had run for long, so it does not abstain.
      const Duration before = mutant_ == Mutant::kNoRestartWait ? seconds(100) : seconds(0);
      next.voters[v] = Voter(TermsOf(mutant_), VoterClock(next, v) - before, floor);
      Step(std::move(next), depth, "voter " + std::to_string(v) + " restarts");
      if (!violation_.empty()) return;
    }
  }

  const Mutant mutant_;
  const std::vector<int> rates_;  // of the voters, then of the candidates
  const int depth_;
  const bool starts_held_;
  std::unordered_map<std::string, int> visited_;  // smallest depth at which each state was reached
  std::vector<std::string> trace_;
  std::string violation_;
};

// CURLEWDOOR_MODEL_DEPTH=11 explores 5.3 million states in half a minute in Release.
int Depth() {
  const char* given = std::getenv("CURLEWDOOR_MODEL_DEPTH");
  return given != nullptr ? std::atoi(given) : 10;
}

TEST(DutyModel, OneHolderAndRisingTokensInAllInterleavings) {
  std::size_t states = 0;
  // Slow holders with fast voters are the worst case; other combinations are explored too.
  for (const std::vector<int>& rates :
       {std::vector<int>{2, 2, 2, 1, 1}, {1, 1, 1, 2, 2}, {2, 1, 2, 1, 2}, {1, 1, 1, 1, 1}}) {
    for (const bool held : {false, true}) {
      ModelChecker checker(Mutant::kNone, rates, Depth(), held);
      EXPECT_EQ(checker.Run(), "");
      states += checker.states();
    }
  }
  std::printf("model check: %zu states to depth %d, four settings of clocks\n", states, Depth());
  EXPECT_GT(states, 10'000u);
}

TEST(DutyModel, MutantsAreFound) {
  const std::pair<Mutant, const char*> mutants[] = {
      {Mutant::kNoRestartWait, "promise granted again after a restart"},
      {Mutant::kLeaseFromReply, "lease counted from the reply"},
      {Mutant::kMajorityOffByOne, "majority off by one"},
      {Mutant::kLeaseNotChecked, "lease not checked before an action"},
      {Mutant::kActsAfterTransfer, "the old holder keeps acting after a transfer"}};
  for (const auto& [mutant, name] : mutants) {
    const std::string trace = ModelChecker(mutant, {2, 2, 2, 1, 1}, 16).Run();
    EXPECT_NE(trace, "") << name;
    std::printf("%s: %s\n", name, trace.c_str());
  }
}

}  // namespace
}  // namespace curlewdoor::duty
