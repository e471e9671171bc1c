// A fleet-wide budget divided among gateways: the part of one gateway, and the divider that grants parts by
// wants. Parts are leases: what a divider has granted counts against the whole until the gateway has said
// that it goes by less, or until the lease is over by the divider's own, longer count. Pure; each side tells
// its own monotonic time. The argument why parts in force never sum to more than the whole, and what it
// assumes: docs/budgets.md. Not wired into the daemon yet. After Google's Doorman (capacity leases, a wait of
// one lease for a new master, safe capacity).
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "duty/lease.hpp"

namespace curlewdoor::budget {

using duty::Duration;
using duty::Life;
using duty::Time;

// Of whatever is divided: requests at once, or thousandths of a rate. Whole numbers, so that sums are exact.
using Units = std::int64_t;

struct Terms {
  Units whole = 0;           // above 0
  Units reserve = 0;         // of it, set aside for gateways that are cut off; 0 to whole
  std::size_t gateways = 1;  // of the whole fleet, as configured: never those that somebody sees
  duty::Terms lease{};       // how long a part lasts, and how far clocks may differ

  Units divided() const { return whole - reserve; }
  // Each gateway's without asking anybody.
  Units safe() const { return reserve / static_cast<Units>(std::max<std::size_t>(1, gateways)); }
};

struct Want {
  std::uint64_t question = 0;  // of this life; rises
  Life who = 0;
  std::uint64_t token = 0;  // of the holding that it asks, as far as it knows
  Units part = 0;           // in force as it asks, granted by whomever
  Units want = 0;
};

struct Grant {
  std::uint64_t question = 0;
  Life who = 0;             // whose question it was: another life numbers its own anew
  std::uint64_t token = 0;  // of the divider's holding of its duty
  bool taken = true;        // false: the question was for another holding; ask again, this one
  Units part = 0;
};

// A gateway's side of one budget.
class Part {
 public:
  Part(const Terms& terms, Life life) : terms_(terms), life_(life) {}

  // Answers to earlier questions are for nothing from now on.
  Want Ask(Time now, Units want) {
    asked_at_ = now;
    return {++question_, life_, divider_, Granted(now), std::max<Units>(0, want)};
  }
  // Who divides now, as the duty tells; a question that names a holding was asked after that began.
  void Divides(std::uint64_t token) { divider_ = std::max(divider_, token); }
  // False: late, repeated, or of a divider that another has followed.
  bool OnGrant(Time now, const Grant& grant) {
    Divides(grant.token);
    if (!grant.taken || grant.who != life_ || grant.question != question_ || grant.token < token_ ||
        answered_ == std::pair(question_, grant.token))
      return false;
    const Time until = asked_at_ + terms_.lease.held();
    if (now >= until) return false;
    token_ = grant.token;
    answered_ = {question_, grant.token};
    part_ = std::max<Units>(0, grant.part);
    until_ = until;
    return true;
  }

  Units Granted(Time now) const { return now < until_ ? part_ : 0; }
  // To be asked at each use.
  Units May(Time now) const { return terms_.safe() + Granted(now); }
  Time until() const { return until_; }
  Time asked_at() const { return asked_at_; }
  std::uint64_t question() const { return question_; }
  std::uint64_t token() const { return token_; }
  std::uint64_t divider() const { return divider_; }

 private:
  Terms terms_;
  Life life_;
  std::uint64_t question_ = 0, token_ = 0, divider_ = 0;
  std::pair<std::uint64_t, std::uint64_t> answered_{};  // question and token of the last grant taken
  Units part_ = 0;
  Time asked_at_{}, until_{};
};

// Max-min fair: who wants less than an even share gets it, and what is left is shared by the others alike.
// Whole units; what does not divide goes to the first in the order of `wants`. The sum is never above
// `whole`.
std::vector<Units> Divide(Units whole, const std::vector<Units>& wants);

// A divider's side of one budget, for one holding of its duty.
class Divider {
 public:
  static constexpr std::size_t kMostLives = 2048;  // twice the members of a view

  // `gained`: when it came to hold the duty; `token`: of that holding.
  Divider(const Terms& terms, std::uint64_t token, Time gained)
      : terms_(terms), token_(token), grants_from_(gained + terms.lease.silence()) {}

  // Until what dividers before it have granted is over it grants nobody more than what that one says it
  // holds, and only to questions asked of this holding: what was in force before it began may have gone to
  // another since (found by the model check: a late question, renewed, beside what the divider before had
  // granted anew).
  Grant OnWant(Time now, const Want& want);

  // What may be in force somewhere, as far as this divider knows.
  Units Committed(Time now) const;
  std::size_t lives() const { return lives_.size(); }
  Time grants_from() const { return grants_from_; }
  struct Account {
    std::uint64_t question = 0;
    Units told = 0;     // in force as it asked last
    Units granted = 0;  // in answer to that
    Units want = 0;
    Time ends{};  // of both
  };
  const std::map<Life, Account>& accounts() const { return lives_; }

 private:
  Units Target(Time now, Life who) const;

  Terms terms_;
  std::uint64_t token_;
  Time grants_from_;
  std::map<Life, Account> lives_;
};

}  // namespace curlewdoor::budget
