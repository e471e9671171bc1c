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

struct PutEvent {  // a put that took effect
  std::string key, value;
  Revision revision = 0;
  bool operator==(const PutEvent&) const = default;
};

struct StateMachineLimits {
  LoggedTime history = std::chrono::seconds(40);  // how long puts are kept for watches and resends
  std::size_t locks = 4096, numbers = 4096, keys = 8192;
  std::size_t key_bytes = 8u << 20;      // of names and values of all keys
  std::size_t history_bytes = 8u << 20;  // of all histories; a put beyond it gets NoRoom
  std::size_t rejected_puts = 256;       // puts that are kept as refused; OutcomeForgotten beyond it
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
    FencingToken fence = 0;
    std::uint64_t hold_ms = 0;   // the longest asked for since the hold began
    std::uint64_t renewals = 0;  // counts AcquireLock and RenewLock that prolonged it
    bool operator==(const Hold&) const = default;
  };
  struct VersionedValue {
    std::string value;
    Revision revision = 0;
  };
  struct EventBatch {
    std::vector<PutEvent> events;  // all puts of the group above `after` and up to `revision`, rising
    Revision revision = 0;  // of the group's newest put, or of the last event where there were too many
    bool too_old = false;   // some above `after` were dropped: `events` is empty
  };

  explicit StateMachine(StateMachineLimits limits);

  CommandResult Apply(LoggedTime at, const Command& command);

  const std::map<std::string, Hold>& holds() const { return holds_; }  // by lock
  std::optional<VersionedValue> Find(const std::string& key) const;
  // `after` 0 asks for the present revision alone: no events. Ends before an event that would make names and
  // values more than `most_bytes`, but not before the first.
  EventBatch EventsAfter(const std::string& group, Revision after, std::size_t max_bytes = SIZE_MAX) const;
  Revision GroupRevision(const std::string& group) const;
  // Up to the first dot, the dot included; a name without a dot is its own group.
  static std::string_view GroupOf(std::string_view key);

  std::string Snapshot() const;
  // False: no snapshot of this version, or one that no state machine wrote; the state is as it was.
  bool Restore(std::string_view bytes);

 private:
  struct KeyState {
    std::string value;
    Revision revision = 0;
    Revision newest_dropped =
        0;  // the newest of its puts that the history has no more, but for the present one
  };
  struct HistoryEntry {
    PutEvent event;
    LoggedTime at{};
  };
  struct KeyGroup {
    Revision revision = 0;    // of its newest put
    Revision trimmed_to = 0;  // all puts above it stand in `history`
    std::deque<HistoryEntry> history;
  };
  // A put that was refused although its expected revision is yet to come.
  struct RejectedPut {
    std::string key, value;
    Revision expected = 0;
  };
  struct SnapshotData;
  using HoldsByLock = std::map<std::string, Hold>;

  CommandResult Execute(LoggedTime at, const AcquireLock& acquire);
  CommandResult Execute(LoggedTime at, const RenewLock& renew);
  CommandResult Execute(LoggedTime at, const ReleaseLock& release);
  CommandResult Execute(LoggedTime at, const ExpireLock& expire);
  CommandResult Execute(LoggedTime at, const TakeNumber& take);
  CommandResult Execute(LoggedTime at, const PutKey& put);
  HoldsByLock::iterator FindHold(const std::string& lock, const std::string& holder, FencingToken fence);
  static void ExtendHold(Hold& hold, std::uint64_t hold_ms);
  std::optional<Revision> FindAppliedRevision(const PutKey& put, const KeyState* key) const;
  bool FitsLimits(const PutKey& put, const KeyState* key) const;
  CommandResult RejectPut(const PutKey& put, Revision present);
  bool WasRejected(const PutKey& put) const;
  void DropRejectedPuts(const std::string& key, Revision revision);
  Revision StorePut(LoggedTime at, const PutKey& put);
  void TrimHistory(LoggedTime now);
  void DropOldestPut(KeyGroup& group);
  const KeyGroup* FindGroup(std::string_view name) const;
  KeyGroup& FindOrAddGroup(std::string_view name);
  static bool IsConsistent(const SnapshotData& data);
  bool HasFault(StateMachineLimits::Fault fault) const { return limits_.fault == fault; }

  StateMachineLimits limits_;
  FencingToken last_fence_ = 0;
  HoldsByLock holds_;
  std::map<std::string, std::uint64_t> numbers_;
  std::map<std::string, KeyState> keys_;
  std::map<std::string, std::uint32_t, std::less<>> group_indexes_;  // by name
  std::deque<KeyGroup> groups_;                                      // by number; none ever goes
  std::deque<std::uint32_t> history_order_;  // the group of each put in all histories, the oldest put first
  std::deque<RejectedPut> rejected_puts_;
  std::size_t key_bytes_ = 0, history_bytes_ = 0;
};

}  // namespace curlewdoor::coordination
