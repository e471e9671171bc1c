// What became of an attempt, whether the request may go to another host, and what its client is told. Pure.
//
// Every promise (429, 503, 408, 421: the request has not run and never will) and every further attempt goes
// through Verdict. Source: RULES.md, TWICE, REFUSED, BUDGET.
#pragma once

#include <cstdint>

#include "logic.hpp"

namespace curlewdoor::retry {

enum class Verdict { kNotRun, kMayHaveRun, kRan };

// How much of an attempt's request was given to the system, which may bring it to the host at any time.
enum class Sent { kNothing, kPart, kAll };

// How an attempt ended, as seen on its connection.
struct Ending {
  enum class How { kNoConnect, kBroken, kAnswered, kTimedOut } how = How::kBroken;
  Sent sent = Sent::kNothing;
  int status = 0;        // kAnswered
  bool not_run = false;  // kAnswered: the host says that it did not run it
  bool sealed = false;   // kAnswered: with the host's seal
  bool whole = true;     // kAnswered: the body is there or comes in pieces of known length
};

Verdict Judge(const Ending& ending);
// Whether it may have come to the host, which counts against the budget of further tries.
bool Arrived(const Ending& ending);
// Whether an answer may go to the client as it is: a success needs its seal, and a promise must be true.
bool MayPass(const Ending& ending);

enum class Next { kPass, kAgain, kFail, kDecline };

// Of one request: all its attempts together.
struct Record {
  bool repeatable = false;
  int most_attempts = 1;
  int attempts = 0;
  bool bound = false;         // part of its body is held no longer: no other attempt can be made
  bool may_have_run = false;  // by any attempt that has ended
  auto operator<=>(const Record&) const = default;
};

// What follows the end of an attempt, where `budget` says whether a further one is covered and `time` whether
// it can still be served. Sets `may_have_run`.
Next Follow(Record& record, const Ending& ending, bool budget, bool time);

// Further tries at one service by this gateway: a part of the requests for it and of what all gateways
// together may try beyond that. Each gateway counts by itself; the sum over `gateways` of them stays below
// ratio x requests + slack in every window.
class Budget {
 public:
  struct Options {
    double ratio = 0.2;
    double slack = 60;
    Duration window = std::chrono::seconds(10);
    int gateways = 1;
  };
  // `fresh`: nothing was tried here lately; else an earlier life may just have spent all of the slack.
  Budget(Options options, bool fresh, TimePoint now);
  void SetGateways(int gateways);
  void OnRequest(TimePoint now);
  bool Covers(TimePoint now);
  void Spend(TimePoint now);

 private:
  double Saved() const;  // at most, by time alone
  double Most() const;
  void Refill(TimePoint now);
  Options options_;
  double level_ = 0;
  TimePoint at_;
};

}  // namespace curlewdoor::retry
