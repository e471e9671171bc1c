// Commands of the replicated state machine and their results. Commands are encoded as bytes for the log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace curlewdoor::coordination {

using FencingToken = std::uint64_t;  // of a hold; increases over all locks, never reused. 0: none
using Revision = std::uint64_t;      // of a put in its group, from 1. 0: no such key

inline constexpr std::size_t kMaxNameBytes = 255;        // of a lock, number, key or holder
inline constexpr std::size_t kMaxValueBytes = 4096;      // of a key's value
inline constexpr std::uint64_t kMaxHoldMs = 86'400'000;  // one day

// Grants the lock to `holder`, with a new fencing token if it is free. If `holder` already has it, the hold
// is extended and keeps its token.
struct AcquireLock {
  std::string lock, holder;
  std::uint64_t hold_ms = 0;
  bool operator==(const AcquireLock&) const = default;
};
// Extends the hold with this holder and fencing token; refused if there is no such hold.
struct RenewLock {
  std::string lock, holder;
  FencingToken fence = 0;
  std::uint64_t hold_ms = 0;
  bool operator==(const RenewLock&) const = default;
};
// Ends the hold with this holder and fencing token; does nothing if there is no such hold.
struct ReleaseLock {
  std::string lock, holder;
  FencingToken fence = 0;
  bool operator==(const ReleaseLock&) const = default;
};
// Proposed by the leader: ends the hold unless it was renewed since (`renewals` differs).
struct ExpireLock {
  std::string lock;
  FencingToken fence = 0;
  std::uint64_t renewals = 0;
  bool operator==(const ExpireLock&) const = default;
};
// Takes the next number of a sequence.
struct TakeNumber {
  std::string name;
  bool operator==(const TakeNumber&) const = default;
};
// Sets a key. The key's group is its name up to and including the first dot; a name without a dot is its own
// group.
struct PutKey {
  std::string key, value;
  std::optional<Revision> expected;  // required current revision; 0: the key must not exist. nullopt: any
  bool operator==(const PutKey&) const = default;
};
using Command = std::variant<AcquireLock, RenewLock, ReleaseLock, ExpireLock, TakeNumber, PutKey>;

// The lock is held with this fencing token.
struct LockGranted {
  FencingToken fence = 0;
  bool operator==(const LockGranted&) const = default;
};
// Another holder has the lock, or the hold has ended.
struct LockRefused {
  bool operator==(const LockRefused&) const = default;
};
// The command was applied, or had nothing to do.
struct Done {
  bool operator==(const Done&) const = default;
};
// The next number of the sequence.
struct NumberTaken {
  std::uint64_t value = 0;  // above every number taken from this sequence before
  bool operator==(const NumberTaken&) const = default;
};
// The put was applied.
struct KeyPut {
  Revision revision = 0;  // of the first copy, if the same put was applied before
  bool operator==(const KeyPut&) const = default;
};
// The put was not applied and never will be.
struct KeyConflict {
  Revision revision = 0;  // current revision of the key; 0: no such key
  bool operator==(const KeyConflict&) const = default;
};
// Whether the same put was applied before is no longer known.
struct OutcomeExpired {
  bool operator==(const OutcomeExpired&) const = default;
};
// A limit is reached; the command had no effect.
struct LimitReached {
  bool operator==(const LimitReached&) const = default;
};
using CommandResult = std::variant<LockGranted, LockRefused, Done, NumberTaken, KeyPut, KeyConflict,
                                   OutcomeExpired, LimitReached>;

std::string Encode(const Command& command);
// Returns nullopt for bytes that are not a complete command of this version.
std::optional<Command> DecodeCommand(std::string_view bytes);

}  // namespace curlewdoor::coordination
