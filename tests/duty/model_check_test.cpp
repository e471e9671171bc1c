// All interleavings, to a depth, of three voters and two candidates for one duty: questions, lost, repeated
// and late messages, restarts of voters, stalls (nobody has to act at any time) and ticks of clocks that
// differ by the bound, and one planned handing on. Held in every state: one holder at a time, and tokens of
// holdings rise. Five mutants are found, each with its trace.
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
  kNoSilence,
  kFromTheAnswer,
  kMajorityOffByOne,
  kNotCheckedAtTheAct,
  kActsAfterThePass
};

enum class Letter : char { kAnswer, kQuestion, kPass };

struct Mail {
  Letter letter = Letter::kQuestion;
  std::size_t candidate = 0, voter = 0;
  Ask ask;
  Answer answer;
  Life to = 0;  // of a pass
};

// With e = 1/3 a fast clock runs twice as fast as a slow one: the bound, in whole steps.
Terms TermsOf(Mutant mutant) {
  Terms terms;
  terms.lease = seconds(4);
  terms.clock_bound = 1.0 / 3;
  if (mutant == Mutant::kMajorityOffByOne) terms.voters = 1;
  return terms;
}

struct State {
  std::vector<Voter> voters;
  std::vector<Candidate> candidates;
  std::vector<Time> answered_at;  // of kFromTheAnswer: when a majority was there
  std::vector<Mail> mail;
  int true_time = 0, restarts = 0, passes = 0;
  std::uint64_t highest_held = 0;
  std::size_t last_holder = kCandidates;
};

class Check {
 public:
  // `held`: begins where candidate 0 has just come to hold the duty, by voters 0 and 1.
  Check(Mutant mutant, std::vector<int> rates, int depth, bool held = false)
      : mutant_(mutant), rates_(std::move(rates)), depth_(depth), held_(held) {}

  // Empty: nothing is broken. Else the trace that led there.
  std::string Run() {
    State state;
    const Terms terms = TermsOf(mutant_);
    for (std::size_t v = 0; v < kVoters; ++v) {
      // Voters that have run for long: their silence is over.
      state.voters.emplace_back(terms, Time{}, 0);
    }
    state.true_time = 100;
    for (std::size_t c = 0; c < kCandidates; ++c) state.candidates.emplace_back(terms, c + 1);
    state.answered_at.resize(kCandidates);
    if (held_) {
      const Ask ask = state.candidates[0].Begin(OwnClock(state, 0));
      for (std::size_t v : {0, 1})
        state.candidates[0].OnAnswer(v, state.voters[v].OnAsk(VoterClock(state, v), ask));
      Judge(state);
    }
    Visit(state, 0);
    return broken_;
  }
  std::size_t states() const { return seen_.size(); }

 private:
  Time Clock(const State& state, std::size_t who) const {
    return Time{} + seconds(state.true_time * rates_[who]);
  }
  Time VoterClock(const State& state, std::size_t v) const { return Clock(state, v); }
  Time OwnClock(const State& state, std::size_t c) const { return Clock(state, kVoters + c); }

  bool Holds(const State& state, std::size_t c) const {
    const Candidate& candidate = state.candidates[c];
    const Time now = OwnClock(state, c);
    if (mutant_ == Mutant::kNotCheckedAtTheAct) return candidate.held_until() != Time{};
    if (mutant_ == Mutant::kFromTheAnswer)
      return candidate.held_until() != Time{} && now < state.answered_at[c] + TermsOf(mutant_).held();
    return candidate.May(now);
  }

  std::string Key(const State& state) const {
    std::string key;
    const auto add = [&](std::int64_t value) { key.append(reinterpret_cast<const char*>(&value), 4); };
    const auto left = [&](Time until, Time now) {
      add(std::max<std::int64_t>(0, (until - now) / seconds(1)));
    };
    for (std::size_t v = 0; v < kVoters; ++v) {
      const Voter& voter = state.voters[v];
      left(voter.speaks_at(), VoterClock(state, v));
      left(voter.until(), VoterClock(state, v));
      add(static_cast<std::int64_t>(voter.who()));
      add(static_cast<std::int64_t>(voter.highest()));
      add(voter.HandOn().own_token);
    }
    for (std::size_t c = 0; c < kCandidates; ++c) {
      const Candidate& candidate = state.candidates[c];
      left(candidate.held_until(), OwnClock(state, c));
      left(state.answered_at[c] + seconds(8), OwnClock(state, c));
      add((OwnClock(state, c) - candidate.asked_at()) / seconds(1) > 8
              ? 9
              : (OwnClock(state, c) - candidate.asked_at()) / seconds(1));
      add(static_cast<std::int64_t>(candidate.question() * 64 + candidate.asked_token() * 8 +
                                    candidate.token()));
      add(static_cast<std::int64_t>(candidate.highest()));
      add(candidate.held_until() != Time{});
      std::int64_t yes = 0;
      for (std::size_t voter : candidate.yes()) yes |= 1 << voter;
      add(yes);
    }
    std::vector<std::string> letters;
    for (const Mail& mail : state.mail) {
      std::string letter;
      letter += static_cast<char>(mail.letter);
      letter += static_cast<char>(mail.candidate);
      letter += static_cast<char>(mail.voter);
      const bool answers = mail.letter == Letter::kAnswer;
      letter += static_cast<char>(answers ? mail.answer.question : mail.ask.question);
      letter += static_cast<char>(answers ? mail.answer.highest : mail.ask.token);
      letter += static_cast<char>(mail.to);
      letter += static_cast<char>(mail.answer.yes);
      letters.push_back(letter);
    }
    std::sort(letters.begin(), letters.end());
    for (const std::string& letter : letters) key += letter;
    add(state.restarts * 2 + state.passes);
    add(static_cast<std::int64_t>(state.highest_held * 4 + state.last_holder));
    return key;
  }

  bool Judge(State& state) {
    std::size_t holders = 0;
    for (std::size_t c = 0; c < kCandidates; ++c) {
      if (!Holds(state, c)) continue;
      ++holders;
      const std::uint64_t token = state.candidates[c].token();
      const bool other = state.last_holder != c;
      if ((other && token <= state.highest_held) || token < state.highest_held)
        return Break("a token did not rise");
      state.highest_held = token;
      state.last_holder = c;
    }
    return holders < 2 || Break("two hold the duty");
  }
  bool Break(const std::string& what) {
    broken_ = what + ":";
    for (const std::string& step : trace_) broken_ += " " + step + ";";
    return false;
  }

  void Step(State next, int depth, std::string name) {
    trace_.push_back(std::move(name));
    if (broken_.empty() && Judge(next)) Visit(next, depth + 1);
    trace_.pop_back();
  }

  void Visit(const State& state, int depth) {
    if (depth >= depth_ || !broken_.empty()) return;
    // A state met again at the same or a smaller depth left has been looked at.
    const auto [met, is_new] = seen_.try_emplace(Key(state), depth);
    if (!is_new && met->second <= depth) return;
    met->second = depth;
    constexpr std::size_t kMostMail = 4;
    for (std::size_t i = 0; i < state.mail.size(); ++i) {
      for (const bool repeated : {false, true}) {
        if (repeated && state.mail.size() >= kMostMail - 1) continue;
        State next = state;
        const Mail mail = state.mail[i];
        if (!repeated) next.mail.erase(next.mail.begin() + static_cast<std::ptrdiff_t>(i));
        const std::string between =
            std::to_string(mail.candidate) + " and voter " + std::to_string(mail.voter);
        if (mail.letter == Letter::kPass) {
          next.voters[mail.voter].OnPass(VoterClock(next, mail.voter), mail.candidate + 1, mail.ask.token,
                                         mail.to);
          Step(std::move(next), depth, "pass heard, candidate " + between);
        } else if (mail.letter == Letter::kQuestion) {
          const Answer answer = next.voters[mail.voter].OnAsk(VoterClock(next, mail.voter), mail.ask);
          next.mail.push_back({Letter::kAnswer, mail.candidate, mail.voter, {}, answer});
          Step(std::move(next), depth,
               std::string(answer.yes ? "yes" : "no") + " between candidate " + between);
        } else {
          Candidate& candidate = next.candidates[mail.candidate];
          const Time held = candidate.held_until();
          const std::size_t voter = mutant_ == Mutant::kMajorityOffByOne ? 0 : mail.voter;
          candidate.OnAnswer(voter, mail.answer);
          if (candidate.held_until() != held)
            next.answered_at[mail.candidate] = OwnClock(next, mail.candidate);
          Step(std::move(next), depth, "answer heard, candidate " + between);
        }
        if (!broken_.empty()) return;
      }
    }
    for (std::size_t c = 0; c < kCandidates; ++c) {
      if (state.candidates[c].question() >= 2 || state.mail.size() + 2 > kMostMail) continue;
      // Each candidate's third question is always lost, another one's for each: majorities that meet in voter
      // 1 alone.
      for (const std::size_t lost : {c == 0 ? std::size_t{2} : std::size_t{0}}) {
        State next = state;
        const Ask ask = next.candidates[c].Begin(OwnClock(next, c));
        for (std::size_t v = 0; v < kVoters; ++v)
          if (v != lost) next.mail.push_back({Letter::kQuestion, c, v, ask, {}});
        Step(std::move(next), depth,
             "candidate " + std::to_string(c) + " asks all but voter " + std::to_string(lost));
        if (!broken_.empty()) return;
      }
    }
    // The holder hands on, to the other or to whoever asks, and tells the voter that all majorities share.
    for (std::size_t c = 0; c < kCandidates; ++c) {
      if (!state.candidates[c].May(OwnClock(state, c)) || state.passes > 0 ||
          state.mail.size() + 1 > kMostMail)
        continue;
      for (const Life to : {Life{0}, Life{2 - c}}) {
        State next = state;
        ++next.passes;
        Mail mail{Letter::kPass, c, 1, {0, c + 1, next.candidates[c].token()}, {}, to};
        next.mail.push_back(mail);
        if (mutant_ != Mutant::kActsAfterThePass) next.candidates[c].Give();
        Step(std::move(next), depth,
             "candidate " + std::to_string(c) + " hands on to " + (to == 0 ? "whoever asks" : "the other"));
        if (!broken_.empty()) return;
      }
    }
    State ticked = state;
    ++ticked.true_time;
    Step(std::move(ticked), depth, "tick");
    for (std::size_t v = 0; v < kVoters && state.restarts < 2; ++v) {
      State next = state;
      ++next.restarts;
      // The floor stands for the boot: above the tokens that earlier lives can have seen.
      std::uint64_t floor = 1;
      for (const Candidate& candidate : next.candidates) floor = std::max(floor, candidate.highest());
      // The mutant takes itself for one that has run for long: it is not silent.
      const Duration before = mutant_ == Mutant::kNoSilence ? seconds(100) : seconds(0);
      next.voters[v] = Voter(TermsOf(mutant_), VoterClock(next, v) - before, floor);
      Step(std::move(next), depth, "voter " + std::to_string(v) + " restarts");
      if (!broken_.empty()) return;
    }
  }

  const Mutant mutant_;
  const std::vector<int> rates_;  // of the voters, then of the candidates
  const int depth_;
  const bool held_;
  std::unordered_map<std::string, int> seen_;  // and the smallest depth that each state was met at
  std::vector<std::string> trace_;
  std::string broken_;
};

// Deeper with CURLEWDOOR_MODEL_DEPTH=11: 5.3 million states, half a minute in Release.
int Depth() {
  const char* given = std::getenv("CURLEWDOOR_MODEL_DEPTH");
  return given != nullptr ? std::atoi(given) : 10;
}

TEST(DutyModel, OneHolderAndRisingTokensInAllInterleavings) {
  std::size_t states = 0;
  // Slow holders before fast voters are the worst; the others are looked at too.
  for (const std::vector<int>& rates :
       {std::vector<int>{2, 2, 2, 1, 1}, {1, 1, 1, 2, 2}, {2, 1, 2, 1, 2}, {1, 1, 1, 1, 1}}) {
    for (const bool held : {false, true}) {
      Check check(Mutant::kNone, rates, Depth(), held);
      EXPECT_EQ(check.Run(), "");
      states += check.states();
    }
  }
  std::printf("model check: %zu states to depth %d, four settings of clocks\n", states, Depth());
  EXPECT_GT(states, 10'000u);
}

TEST(DutyModel, MutantsAreFound) {
  const std::pair<Mutant, const char*> mutants[] = {
      {Mutant::kNoSilence, "yes given again after a restart"},
      {Mutant::kFromTheAnswer, "lease counted from the answer"},
      {Mutant::kMajorityOffByOne, "majority off by one"},
      {Mutant::kNotCheckedAtTheAct, "lease not checked at the act"},
      {Mutant::kActsAfterThePass, "the old holder acts on after it has handed on"}};
  for (const auto& [mutant, name] : mutants) {
    const std::string trace = Check(mutant, {2, 2, 2, 1, 1}, 16).Run();
    EXPECT_NE(trace, "") << name;
    std::printf("%s: %s\n", name, trace.c_str());
  }
}

}  // namespace
}  // namespace curlewdoor::duty
