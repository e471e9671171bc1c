// The state machine of one attempt, and of a client's try: all attempts together. Pure.
//
// An attempt is one way to one host on one connection. Its events name it by its number, and those of another
// one, late or early, change nothing. docs/control-attempts.md has every transition.
#pragma once

#include <cstdint>
#include <optional>

#include "retry/retry.hpp"

namespace curlewdoor::retry {

enum class AttemptState : std::uint8_t {
  kNone,      // none is out: before the first, or the last one has ended
  kUnsent,    // on its way to a connection: no host can know of it
  kPartSent,  // some bytes were given to the system, and its head or its body is not whole yet
  kSent,      // all bytes were
};

// A host's answer, as it stands on the attempt's connection.
struct HostAnswer {
  int status = 0;
  bool bound = false;  // it carries the request's own id
  bool not_run = false;
  bool sealed = false;
  bool whole = false;  // its body is there, or comes in pieces of known length
};

struct AttemptEvent {
  enum class Kind : std::uint8_t {
    kBytesSent,  // the first of its bytes were given to the system
    kAllSent,
    kBroken,    // no connection came up, or it was reset, closed or spoke no HTTP
    kAnswered,  // also early, before all was sent
    kGivenUp,   // by us: its time is over, or its client has gone; the connection is closed
  };
  Kind kind = Kind::kBroken;
  int attempt = 0;
  HostAnswer answer{};  // kAnswered
};

struct Transition {
  AttemptState state = AttemptState::kNone;
  std::optional<Ending> ending;  // of the attempt, with which `state` is kNone
};

// What follows on an event of the attempt that is out. An answer before any byte was sent, or one that isn't
// bound to the request, is nobody's: the attempt counts as broken.
Transition Advance(AttemptState state, const AttemptEvent& event);

// All attempts of one try, one after another.
class Course {
 public:
  Course() = default;
  Course(bool repeatable, int most_attempts) : record_{repeatable, most_attempts} {}

  // The next attempt, while none is out. Its number.
  int Begin();
  // Of another attempt than the one that is out: nothing. Else its ending, where it ends.
  std::optional<Ending> Take(const AttemptEvent& event);
  // What follows on that ending, unless we gave the attempt up.
  Next Follow(const Ending& ending, bool budget, bool time);
  // Part of its body is held no longer: no other attempt can be made.
  void Bind() { record_.bound = true; }

  bool out() const { return state_ != AttemptState::kNone; }
  int attempt() const { return record_.attempts - 1; }  // the latest
  // Whether a promise would be true: no host has run the request or ever will.
  bool MayPromise() const { return !out() && !record_.may_have_run; }
  const Record& record() const { return record_; }
  AttemptState state() const { return state_; }

 private:
  Record record_;
  AttemptState state_ = AttemptState::kNone;
};

}  // namespace curlewdoor::retry
