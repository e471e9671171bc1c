// The replicated state: locks with their holders and fences, numbers, keys with revisions by group, and the
// latest puts of each group. Pure and deterministic: the same commands at the same logged times give the same
// results and the same snapshot at every replica. It knows no clock; the end of a hold is a command.
//
// Why a put that comes again finds its first revision: the puts of the last `history` stand in the group's
// history, and each key's newest for ever. A put with an expected revision R can have taken effect only under
// a revision above R. If none of the key's puts above R was dropped from the history, the history tells
// whether it did; else the result is OutcomeForgotten, never KeyConflict.
//
// Why a put that was answered KeyConflict never takes effect: the key's revision had passed the expected one,
// and rises. Where the expected one is yet to come in the group, the refusal itself is kept until it has
// passed.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/command.hpp"

namespace curlewdoor::coordination {

// Logged by the leader: rises through the log, and no faster than a steady clock.
using LoggedTime = std::chrono::milliseconds;

struct Event {  // a put that took effect
  std::string key, value;
  Revision revision = 0;
  bool operator==(const Event&) const = default;
};

struct Limits {
  LoggedTime history = std::chrono::seconds(40);  // how long puts are kept for watches and resends
  std::size_t locks = 4096, numbers = 4096, keys = 8192;
  std::size_t key_bytes = 8u << 20;      // of names and values of all keys
  std::size_t history_bytes = 8u << 20;  // of all histories; a put beyond it gets NoRoom
  std::size_t refusals = 256;            // puts that are kept as refused; OutcomeForgotten beyond it
  // For tests of the tests: a state machine that does something wrong.
  enum class Fault : std::uint8_t {
    kNone,
    kResendAppliedTwice,
    kFenceReused,
    kExpireRenewed,          // ExpireLock without a look at `renewals`
    kConflictBeyondHistory,  // KeyConflict where the outcome is forgotten
    kHistoryNotInSnapshot,
    kFenceNotInSnapshot
  } fault = Fault::kNone;
};

class StateMachine {
 public:
  struct Hold {
    std::string holder;
    Fence fence = 0;
    std::uint64_t hold_ms = 0;   // the longest asked for since the hold began
    std::uint64_t renewals = 0;  // counts AcquireLock and RenewLock that prolonged it
    bool operator==(const Hold&) const = default;
  };
  struct Read {
    std::string value;
    Revision revision = 0;
  };
  struct Events {
    std::vector<Event> events;  // all puts of the group above `after` and up to `revision`, rising
    Revision revision = 0;      // of the group's newest put, or of the last event where there were too many
    bool too_old = false;       // some above `after` were dropped: `events` is empty
  };

  explicit StateMachine(Limits limits);

  Result Apply(LoggedTime at, const Command& command);

  const std::map<std::string, Hold>& holds() const { return holds_; }  // by lock
  std::optional<Read> Find(const std::string& key) const;
  // `after` 0 asks for the present revision alone: no events. Ends before an event that would make names and
  // values more than `most_bytes`, but not before the first.
  Events EventsAfter(const std::string& group, Revision after, std::size_t most_bytes = SIZE_MAX) const;
  Revision GroupRevision(const std::string& group) const;
  // Up to the first dot, the dot included; a name without a dot is its own group.
  static std::string_view GroupOf(std::string_view key);

  std::string Snapshot() const;
  // False: no snapshot of this version, or one that no state machine wrote; the state is as it was.
  bool Restore(std::string_view bytes);

 private:
  struct Key {
    std::string value;
    Revision revision = 0;
    Revision dropped = 0;  // the newest of its puts that the history has no more, but for the present one
  };
  struct Recorded {
    Event event;
    LoggedTime at{};
  };
  struct Group {
    Revision revision = 0;  // of its newest put
    Revision floor = 0;     // all puts above it stand in `history`
    std::deque<Recorded> history;
  };
  // A put that was refused although its expected revision is yet to come.
  struct Refusal {
    std::string key, value;
    Revision expected = 0;
  };
  struct Image;
  using Holds = std::map<std::string, Hold>;

  Result Do(LoggedTime at, const AcquireLock& acquire);
  Result Do(LoggedTime at, const RenewLock& renew);
  Result Do(LoggedTime at, const ReleaseLock& release);
  Result Do(LoggedTime at, const ExpireLock& expire);
  Result Do(LoggedTime at, const TakeNumber& take);
  Result Do(LoggedTime at, const PutKey& put);
  Holds::iterator FindHold(const std::string& lock, const std::string& holder, Fence fence);
  static void Prolong(Hold& hold, std::uint64_t hold_ms);
  std::optional<Revision> FirstRevision(const PutKey& put, const Key* key) const;
  bool HasRoom(const PutKey& put, const Key* key) const;
  Result Refuse(const PutKey& put, Revision present);
  bool WasRefused(const PutKey& put) const;
  void DropRefusals(const std::string& key, Revision revision);
  Revision Store(LoggedTime at, const PutKey& put);
  void DropHistory(LoggedTime now);
  void DropOldest(Group& group);
  const Group* FindGroup(std::string_view name) const;
  Group& FindOrAddGroup(std::string_view name);
  static bool Consistent(const Image& image);
  bool Does(Limits::Fault fault) const { return limits_.fault == fault; }

  Limits limits_;
  Fence last_fence_ = 0;
  Holds holds_;
  std::map<std::string, std::uint64_t> numbers_;
  std::map<std::string, Key> keys_;
  std::map<std::string, std::uint32_t, std::less<>> group_numbers_;  // by name
  std::deque<Group> groups_;                                         // by number; none ever goes
  std::deque<std::uint32_t> drop_order_;  // the group of each put in all histories, the oldest put first
  std::deque<Refusal> refusals_;
  std::size_t key_bytes_ = 0, history_bytes_ = 0;
};

}  // namespace curlewdoor::coordination
