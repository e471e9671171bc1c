// The replicated state machine: locks with their holders and fencing tokens, number sequences, keys with
// revisions per group, and a bounded history of each group's puts. It does no I/O and is deterministic: the
// same commands at the same logged times give the same results and the same snapshot on every replica. It
// reads no clock; a hold (the time for which a lock belongs to its holder) is ended by a command.
//
// A retried put returns its first revision: the puts of the last `history` are in the group's history, and
// the newest put of each key is kept without a time limit. A put with an expected revision R can only have
// been applied with a revision above R. If none of the key's puts above R was dropped from the history, the
// history shows whether the put was applied; otherwise the result is OutcomeExpired, never KeyConflict.
//
// A put that was answered with KeyConflict is never applied: the key's revision was already past the expected
// one, and revisions only increase. If the group has not yet reached the expected revision, the rejected put
// itself is stored until the key has passed that revision.
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

// Time that the leader writes into each entry: never decreases along the log and never runs faster than a
// steady clock.
using LoggedTime = std::chrono::milliseconds;

// An applied put.
struct PutEvent {
  std::string key, value;
  Revision revision = 0;
  bool operator==(const PutEvent&) const = default;
};

// Bounds on the size of the state.
struct StateMachineLimits {
  LoggedTime history = std::chrono::seconds(40);  // how long puts are kept for watches and retries
  std::size_t locks = 4096, numbers = 4096, keys = 8192;
  std::size_t key_bytes = 8u << 20;      // names and values of all keys
  std::size_t history_bytes = 8u << 20;  // all histories; a put beyond it returns LimitReached
  std::size_t rejected_puts = 256;       // stored rejected puts; OutcomeExpired beyond it
  // Injected faults, which the tests must detect.
  enum class Fault : std::uint8_t {
    kNone,
    kResendAppliedTwice,
    kFenceReused,
    kExpireRenewed,          // ExpireLock ignores `renewals`
    kConflictBeyondHistory,  // KeyConflict where the outcome is no longer known
    kHistoryNotInSnapshot,
    kFenceNotInSnapshot
  } fault = Fault::kNone;
};

// Applies committed commands. See the top of this file.
class StateMachine {
 public:
  struct Hold {
    std::string holder;
    FencingToken fence = 0;
    std::uint64_t hold_ms = 0;   // the longest duration requested since the lock was granted
    std::uint64_t renewals = 0;  // number of AcquireLock and RenewLock commands that extended it
    bool BelongsTo(const std::string& caller, FencingToken token) const {
      return holder == caller && fence == token;
    }
    bool operator==(const Hold&) const = default;
  };
  struct VersionedValue {
    std::string value;
    Revision revision = 0;
  };
  struct EventBatch {
    std::vector<PutEvent> events;  // all puts of the group above `after` and up to `revision`, ascending
    Revision revision = 0;  // of the group's newest put, or of the last event if the batch was cut short
    bool too_old = false;   // puts above `after` were dropped from the history: `events` is empty
  };

  explicit StateMachine(StateMachineLimits limits);

  // Applies one committed command. `at` must not decrease from call to call.
  CommandResult Apply(LoggedTime at, const Command& command);

  const std::map<std::string, Hold>& holds() const { return holds_; }  // by lock
  std::optional<VersionedValue> Find(const std::string& key) const;
  // The puts of a group after revision `after`. 0 returns only the current revision, without events. Stops
  // before the event that would bring names and values above `max_bytes`, but returns at least one event.
  EventBatch EventsAfter(const std::string& group, Revision after, std::size_t max_bytes = SIZE_MAX) const;
  Revision GroupRevision(const std::string& group) const;
  // The group of a key: its name up to and including the first dot. A name without a dot is its own group.
  static std::string_view GroupOf(std::string_view key);

  // The whole state, encoded.
  std::string Snapshot() const;
  // Replaces the state by a snapshot. Returns false and leaves the state unchanged if the bytes are not a
  // snapshot of this version or are inconsistent.
  bool Restore(std::string_view bytes);

 private:
  struct KeyState {
    std::string value;
    Revision revision = 0;
    Revision newest_dropped = 0;  // newest put dropped from the history, the current one excluded
  };
  struct HistoryEntry {
    PutEvent event;
    LoggedTime at{};
  };
  struct KeyGroup {
    Revision revision = 0;    // of the newest put
    Revision trimmed_to = 0;  // all puts above it are in `history`
    std::deque<HistoryEntry> history;
  };
  // A rejected put whose expected revision has not been reached yet.
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
  std::deque<KeyGroup> groups_;                                      // by index; never removed
  std::deque<std::uint32_t> history_order_;  // group index of each put in all histories, oldest put first
  std::deque<RejectedPut> rejected_puts_;
  std::size_t key_bytes_ = 0, history_bytes_ = 0;
};

}  // namespace curlewdoor::coordination
