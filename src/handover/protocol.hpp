// Who serves while two processes of one gateway live: each side's part of the protocol as a small state
// machine. Pure: what happens goes in, what is to be done comes out. docs/handover.md tells the whole.
#pragma once

#include <cstddef>

#include "logic.hpp"

namespace curlewdoor::handover {

inline constexpr Duration kLongestHold = std::chrono::milliseconds(150);  // requests are decided sooner
inline constexpr Duration kListWait = std::chrono::milliseconds(300);     // for a list of hosts, before HELLO
inline constexpr Duration kLongestWait = std::chrono::milliseconds(2500);  // for the switch, from the start

// The old process's side.
class Predecessor {
 public:
  enum class Do { kNothing, kHold, kHandOn, kResume };

  bool serves() const { return stage_ == Stage::kServing; }
  bool handed_on() const { return stage_ == Stage::kHandedOn; }

  Do Hello(TimePoint now) {
    if (stage_ != Stage::kServing) return Do::kNothing;
    stage_ = Stage::kHolding;
    held_since_ = now;
    return Do::kHold;
  }
  // `undecided`: requests taken that no host has been chosen for.
  Do Look(TimePoint now, std::size_t undecided) {
    if (stage_ != Stage::kHolding) return Do::kNothing;
    if (undecided > 0 && now < held_since_ + kLongestHold) return Do::kNothing;
    stage_ = Stage::kHandedOn;
    return Do::kHandOn;
  }
  // The other serves already, whatever happens here.
  Do Taken() {
    if (stage_ == Stage::kHandedOn) return Do::kNothing;
    stage_ = Stage::kHandedOn;
    taken_ = true;
    return Do::kHandOn;
  }
  // The channel ended: the other has died, unless it said that it serves without it.
  Do Ended(bool terminating) {
    if (stage_ == Stage::kServing || taken_) return Do::kNothing;
    if (stage_ == Stage::kHandedOn && terminating) return Do::kNothing;
    stage_ = Stage::kServing;
    return Do::kResume;
  }

 private:
  enum class Stage { kServing, kHolding, kHandedOn };
  Stage stage_ = Stage::kServing;
  TimePoint held_since_;
  bool taken_ = false;
};

// The new process's side.
class Successor {
 public:
  enum class Do { kNothing, kConnect, kSayHello, kServe, kServeAlone };

  explicit Successor(TimePoint now) : began_(now) {}

  bool serves() const { return serves_; }

  // Whether there is a channel; `list_told`: discovery has told its list.
  Do Look(TimePoint now, bool connected, bool list_told) {
    if (serves_) return Do::kNothing;
    if (now >= began_ + kLongestWait) return Serve(connected ? Do::kServeAlone : Do::kServe);
    if (!connected) return Do::kConnect;
    if (said_hello_ || (!list_told && now < began_ + kListWait)) return Do::kNothing;
    said_hello_ = true;
    return Do::kSayHello;
  }
  // Nobody is there, or the other has handed on.
  Do NobodyThere() { return Serve(Do::kServe); }
  Do Switched() { return Serve(Do::kServe); }
  // The other has died, or was itself handing on: whoever serves is looked for again.
  void Ended() { said_hello_ = false; }

 private:
  Do Serve(Do how) {
    if (serves_) return Do::kNothing;
    serves_ = true;
    return how;
  }
  const TimePoint began_;
  bool said_hello_ = false, serves_ = false;
};

}  // namespace curlewdoor::handover
