#include "retry/retry.hpp"

#include <algorithm>
#include <cmath>

#include "util/seconds.hpp"

namespace curlewdoor::retry {
namespace {

constexpr double kSafe = 0.7;        // of what the rule allows: gateways come and go, and windows slide
constexpr double kSlackSaved = 0.6;  // of the slack that a gateway may have saved up; the rest refills it
constexpr double kEarnedFor = 0.5;   // windows until what requests gave beyond that has faded

bool IsPromise(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

}  // namespace

Verdict Judge(const Ending& ending) {
  switch (ending.how) {
    case Ending::How::kNoConnect:
    case Ending::How::kBroken:
    case Ending::How::kTimedOut:
      return ending.sent == Sent::kNothing ? Verdict::kNotRun : Verdict::kMayHaveRun;
    case Ending::How::kAnswered:
      break;
  }
  if (ending.not_run || ending.status == 421) return Verdict::kNotRun;
  return ending.status >= 200 && ending.status < 300 && ending.sealed ? Verdict::kRan : Verdict::kMayHaveRun;
}

bool Arrived(const Ending& ending) {
  return ending.sent != Sent::kNothing || ending.how == Ending::How::kAnswered;
}

bool MayPass(const Ending& ending) {
  if (ending.how != Ending::How::kAnswered || !ending.whole) return false;
  if (ending.status >= 200 && ending.status < 300) return ending.sealed;
  return ending.status >= 300 && !IsPromise(ending.status) && !ending.not_run;
}

Next Follow(Record& record, const Ending& ending, bool budget, bool time) {
  const Verdict verdict = Judge(ending);
  record.may_have_run = record.may_have_run || verdict != Verdict::kNotRun;
  if (verdict == Verdict::kRan && MayPass(ending)) return Next::kPass;
  const bool refusal = ending.how == Ending::How::kAnswered && ending.status >= 400 && ending.status < 500;
  if (refusal && MayPass(ending)) return Next::kPass;  // the request itself is at fault
  const bool allowed = record.repeatable || !record.may_have_run;
  if (allowed && !record.bound && record.attempts < record.most_attempts && time &&
      (budget || !Arrived(ending)))
    return Next::kAgain;
  if (MayPass(ending)) return Next::kPass;
  return record.may_have_run ? Next::kFail : Next::kDecline;
}

Budget::Budget(Options options, bool fresh, TimePoint now) : options_(options), at_(now) {
  if (fresh) level_ = Saved();
}

double Budget::Saved() const { return kSafe * kSlackSaved * options_.slack / std::max(1, options_.gateways); }

double Budget::Most() const { return std::max(1.0, Saved()); }

void Budget::SetGateways(int gateways) {
  options_.gateways = std::max(1, gateways);
  level_ = std::min(level_, Most());
}

// What comes back by time alone is, over a window, the rest of the slack. In a large fleet a gateway's part
// of the slack is less than one try: the rest of one is earned by requests, and fades when they are past.
// Guards against a whole try saved up by each of more gateways than the slack has tries.
void Budget::Refill(TimePoint now) {
  const double window = std::max(0.001, Seconds(options_.window)), passed = Seconds(now - at_);
  if (passed <= 0) return;
  at_ = now;
  const double rate = kSafe * (1 - kSlackSaved) * options_.slack / std::max(1, options_.gateways) / window;
  if (level_ < Saved()) {
    level_ = std::min(Saved(), level_ + rate * passed);
  } else {
    level_ = Saved() + (level_ - Saved()) * std::exp(-passed / (kEarnedFor * window));
  }
}

void Budget::OnRequest(TimePoint now) {
  Refill(now);
  level_ = std::min(Most(), level_ + kSafe * options_.ratio);
}

bool Budget::Covers(TimePoint now) {
  Refill(now);
  return level_ >= 1;
}

void Budget::Spend(TimePoint now) {
  Refill(now);
  level_ -= 1;
}

}  // namespace curlewdoor::retry
