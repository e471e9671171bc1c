// The state machine of one attempt, and the sequence of all attempts of a request. Pure.
//
// An attempt sends the request once, to one host on one connection. Events carry the number of their attempt;
// late or early events of another attempt change nothing. docs/control-attempts.md lists every transition.
#pragma once

#include <cstdint>
#include <optional>

#include "retry/retry.hpp"

namespace curlewdoor::retry {

enum class AttemptState : std::uint8_t {
  kNone,      // no attempt is active: none has begun yet, or the last one has ended
  kUnsent,    // waiting for a connection: no host can know of the attempt
  kPartSent,  // some bytes were written to the socket; the request's head or body is not complete yet
  kSent,      // all bytes were written
};

// A host's answer, as received on the attempt's connection.
struct HostAnswer {
  int status = 0;
  bool matches_request = false;  // it carries the request's own ID
  bool not_executed = false;
  bool sealed = false;
  bool complete = false;  // the body has arrived, or arrives in chunks of known length
};

// An event on the connection of an attempt.
struct AttemptEvent {
  enum class Kind : std::uint8_t {
    kBytesSent,  // the first bytes were written to the socket
    kAllSent,
    kConnectionLost,  // no connection could be established, or it was reset, closed or did not speak HTTP
    kAnswered,        // possibly before the whole request was sent
    kAbandoned,       // by the gateway, on timeout or because the client left; the connection is closed
  };
  Kind kind = Kind::kConnectionLost;
  int attempt = 0;
  HostAnswer answer{};  // kAnswered
};

// The result of applying an event to the state of an attempt.
struct Transition {
  AttemptState state = AttemptState::kNone;
  std::optional<AttemptOutcome> outcome;  // set when the attempt has ended; `state` is then kNone
};

// The transition on an event of the active attempt. An answer that arrives before any byte was sent, or that
// does not match the request, belongs to no attempt: the active one counts as a lost connection.
Transition Advance(AttemptState state, const AttemptEvent& event);

// All attempts of one request, one after another.
class AttemptSequence {
 public:
  AttemptSequence() = default;
  AttemptSequence(bool idempotent, int max_attempts) : history_{idempotent, max_attempts} {}

  // Begins the next attempt while none is active. Returns its number.
  int BeginAttempt();
  // Returns the outcome if the event ends the active attempt. Events of other attempts are ignored.
  std::optional<AttemptOutcome> OnEvent(const AttemptEvent& event);
  // What follows that outcome. Not called for an attempt that the gateway abandoned.
  NextStep DecideNextStep(const AttemptOutcome& outcome, bool budget_allows, bool time_left);
  // Part of the request body is no longer buffered: no further attempt is possible.
  void MarkBodyReleased() { history_.body_released = true; }

  bool in_progress() const { return state_ != AttemptState::kNone; }
  int attempt() const { return history_.attempts - 1; }  // the number of the latest attempt
  // Whether the client may be promised that no host has executed the request or ever will.
  bool IsKnownNotExecuted() const { return !in_progress() && !history_.may_have_executed; }
  const AttemptHistory& history() const { return history_; }
  AttemptState state() const { return state_; }

 private:
  AttemptHistory history_;
  AttemptState state_ = AttemptState::kNone;
};

}  // namespace curlewdoor::retry
