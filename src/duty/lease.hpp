// A duty that one gateway holds at a time: the promise of a voter, and the lease of a candidate that a
// majority has said yes to. Pure; each side tells its own monotonic time, and no clock is compared with
// another. The argument why two never hold together, and what it assumes: docs/duties.md. What asks, waits
// and sends is src/duty/machine.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace curlewdoor::duty {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

struct Terms {
  Duration lease = std::chrono::seconds(3);  // L, of a voter's clock, from after its yes
  double clock_bound = 0.01;  // e: each clock runs within 1 - e and 1 + e of true time; below 1
  std::size_t voters = 3;     // an odd number
  // While voters change: lists of them by number, a majority of each is needed. Empty: one list, of all.
  std::vector<std::vector<std::size_t>> lists{};

  std::size_t majority() const { return voters / 2 + 1; }
  bool Enough(const std::set<std::size_t>& of) const {
    if (lists.empty()) return of.size() >= majority();
    for (const std::vector<std::size_t>& list : lists) {
      std::size_t said = 0;
      for (std::size_t voter : list) said += of.count(voter);
      if (2 * said <= list.size()) return false;
    }
    return true;
  }
  // Of the holder's clock, from before it asked: over before any voter's promise is.
  Duration held() const { return Times((1 - clock_bound) / (1 + clock_bound)); }
  // Of the clock of a voter that starts: what its earlier life promised is over by then.
  Duration silence() const { return Times((1 + clock_bound) / (1 - clock_bound)); }

 private:
  Duration Times(double factor) const {
    return Duration(static_cast<Duration::rep>(static_cast<double>(lease.count()) * factor));
  }
};

// One life of one gateway, as the view tells them apart.
using Life = std::uint64_t;

struct Ask {
  std::uint64_t question = 0;  // of this candidate; rises
  Life who = 0;
  std::uint64_t token = 0;
};

struct Answer {
  std::uint64_t question = 0;
  bool yes = false;
  std::uint64_t highest = 0;  // token that the voter has seen: a refused candidate goes above it
};

class Voter {
 public:
  // `floor`: a token that no earlier life can have said yes above (docs/duties.md, "Tokens rise").
  Voter(const Terms& terms, Time started, std::uint64_t floor)
      : lease_(terms.lease), speaks_at_(started + terms.silence()), highest_(floor) {}

  // Yes where nobody else is promised anything and the token is new, or is the one that this life was
  // promised.
  Answer OnAsk(Time now, const Ask& ask) {
    const bool free = now >= until_ || who_ == ask.who;
    const bool renewed = own_token_ && who_ == ask.who && ask.token == highest_ && now < until_;
    if (now < speaks_at_ || !free || (ask.token <= highest_ && !renewed))
      return {ask.question, false, highest_};
    who_ = ask.who;
    own_token_ = true;
    highest_ = ask.token;
    until_ = now + lease_;
    return {ask.question, true, highest_};
  }

  // The holder, which has stopped acting before it says so, gives up what it was promised: to another life,
  // or to whoever asks (0). What comes late or twice finds another token or holder, and changes nothing.
  bool OnPass(Time now, Life from, std::uint64_t token, Life to) {
    if (now < speaks_at_ || now >= until_ || who_ != from || token != highest_) return false;
    if (to == 0) until_ = now;
    who_ = to;
    // Guards against the next holder taking up the token of the one before, where it had asked for the same
    // number and its question comes only now (found by the model check).
    own_token_ = false;
    return true;
  }
  // How long nobody else can be promised anything; zero: free.
  Duration Bound(Time now) const { return std::max({Duration::zero(), until_ - now, speaks_at_ - now}); }

  // An upgrade is one voter: its promise goes over. Times of one machine's clock.
  struct Promise {
    Time speaks_at{}, until{};
    Life who = 0;
    std::uint64_t highest = 0;
    bool own_token = false;
  };
  Promise HandOn() const { return {speaks_at_, until_, who_, highest_, own_token_}; }
  void TakeOver(const Promise& promise) {
    speaks_at_ = promise.speaks_at;
    until_ = promise.until;
    who_ = promise.who;
    own_token_ = promise.own_token && promise.highest >= highest_;
    highest_ = std::max(highest_, promise.highest);
  }
  void SetLease(Duration lease) { lease_ = lease; }
  // It can't know what was promised in its name meanwhile.
  void FallSilent(Time until) { speaks_at_ = std::max(speaks_at_, until); }

  Time speaks_at() const { return speaks_at_; }
  Time until() const { return until_; }
  Life who() const { return who_; }
  std::uint64_t highest() const { return highest_; }

 private:
  Duration lease_;
  Time speaks_at_, until_{};
  Life who_ = 0;
  bool own_token_ = false;  // highest_ is what who_ asked for, and not one before it
  std::uint64_t highest_;
};

class Candidate {
 public:
  Candidate(const Terms& terms, Life life) : terms_(terms), life_(life) {}

  // A new question, to all voters. While it holds it asks for the same token again: a renewal.
  Ask Begin(Time now) {
    if (!May(now)) token_ = ++highest_;
    asked_at_ = now;
    yes_.clear();
    return {++question_, life_, token_};
  }
  // Of an earlier question it says nothing, and a voter counts once.
  void OnAnswer(std::size_t voter, const Answer& answer) {
    if (answer.question != question_ || voter >= terms_.voters) return;
    if (answer.highest > highest_) highest_ = answer.highest;
    if (!answer.yes) return;
    yes_.insert(voter);
    if (!terms_.Enough(yes_)) return;
    held_until_ = asked_at_ + terms_.held();
    held_token_ = token_;
  }

  // Gives the duty up: nothing that is still on its way counts for it.
  void Give() {
    held_until_ = {};
    asked_at_ = {};
    ++question_;
    yes_.clear();
  }
  // A voter has told of a token without being asked for one.
  void Saw(std::uint64_t token) { highest_ = std::max(highest_, token); }
  void SetTerms(const Terms& terms) { terms_ = terms; }

  // An upgrade is one candidate.
  struct Standing {
    std::uint64_t question = 0, token = 0, highest = 0, held_token = 0;
    Time asked_at{}, held_until{};
  };
  Standing HandOn() const { return {question_, token_, highest_, held_token_, asked_at_, held_until_}; }
  void TakeOver(const Standing& standing) {
    question_ = standing.question + 1;  // answers to what the other process asked are not for this one
    token_ = standing.token;
    highest_ = standing.highest;
    held_token_ = standing.held_token;
    asked_at_ = standing.asked_at;
    held_until_ = standing.held_until;
    yes_.clear();
  }

  // To be asked at each act, which carries token().
  bool May(Time now) const { return now < held_until_; }
  std::uint64_t token() const { return held_token_; }
  Time held_until() const { return held_until_; }
  Time asked_at() const { return asked_at_; }
  std::uint64_t question() const { return question_; }
  std::uint64_t asked_token() const { return token_; }
  std::uint64_t highest() const { return highest_; }
  const std::set<std::size_t>& yes() const { return yes_; }
  // What is acted upon has refused the token, and told its highest.
  void Refused(std::uint64_t highest) {
    if (highest > highest_) highest_ = highest;
    held_until_ = {};
  }

 private:
  Terms terms_;
  Life life_;
  std::uint64_t question_ = 0, token_ = 0, highest_ = 0, held_token_ = 0;
  Time asked_at_{}, held_until_{};
  std::set<std::size_t> yes_;
};

}  // namespace curlewdoor::duty
