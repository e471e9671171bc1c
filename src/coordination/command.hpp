// Commands of the replicated state machine, and their results. Values; encoded as bytes for the log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace curlewdoor::coordination {

using FencingToken = std::uint64_t;  // of a hold; rises over all locks and never repeats. 0: none
using Revision = std::uint64_t;      // of a put in its group, from 1. 0: the key has none

inline constexpr std::size_t kMaxNameBytes = 255;        // bytes of a lock, number, key, holder
inline constexpr std::size_t kMaxValueBytes = 4096;      // bytes of a key's value
inline constexpr std::uint64_t kMaxHoldMs = 86'400'000;  // a day

// Grants the lock to `holder`: 200 with its present fence where it holds the lock already (and more time),
// with a new one where nobody does.
struct AcquireLock {
  std::string lock, holder;
  std::uint64_t hold_ms = 0;
  bool operator==(const AcquireLock&) const = default;
};
// More time for the hold of this holder and fence; refused where there is no such hold.
struct RenewLock {
  std::string lock, holder;
  FencingToken fence = 0;
  std::uint64_t hold_ms = 0;
  bool operator==(const RenewLock&) const = default;
};
// Ends the hold of this holder and fence; does nothing where there is no such hold.
struct ReleaseLock {
  std::string lock, holder;
  FencingToken fence = 0;
  bool operator==(const ReleaseLock&) const = default;
};
// The leader's: ends the hold unless it was renewed since (`renewals` differs).
struct ExpireLock {
  std::string lock;
  FencingToken fence = 0;
  std::uint64_t renewals = 0;
  bool operator==(const ExpireLock&) const = default;
};
struct TakeNumber {
  std::string name;
  bool operator==(const TakeNumber&) const = default;
};
// The key's group is its name up to the first dot, the dot included; a name without a dot is its own group.
struct PutKey {
  std::string key, value;
  std::optional<Revision> expected;  // that the key has now; 0: none. nullopt: any
  bool operator==(const PutKey&) const = default;
};
using Command = std::variant<AcquireLock, RenewLock, ReleaseLock, ExpireLock, TakeNumber, PutKey>;

struct LockGranted {
  FencingToken fence = 0;
  bool operator==(const LockGranted&) const = default;
};
struct LockRefused {  // another holds it, or the hold is lost
  bool operator==(const LockRefused&) const = default;
};
struct Done {
  bool operator==(const Done&) const = default;
};
struct NumberTaken {
  std::uint64_t value = 0;  // above each one given before under this name
  bool operator==(const NumberTaken&) const = default;
};
struct KeyPut {
  Revision revision = 0;  // the first one, where the same put came before
  bool operator==(const KeyPut&) const = default;
};
struct KeyConflict {      // the put has not taken effect and never will
  Revision revision = 0;  // that the key has now; 0: none
  bool operator==(const KeyConflict&) const = default;
};
struct OutcomeExpired {  // whether the same put took effect before is no longer known
  bool operator==(const OutcomeExpired&) const = default;
};
struct LimitReached {  // a bound is reached; nothing was done
  bool operator==(const LimitReached&) const = default;
};
using CommandResult = std::variant<LockGranted, LockRefused, Done, NumberTaken, KeyPut, KeyConflict,
                                   OutcomeExpired, LimitReached>;

std::string Encode(const Command& command);
// nullopt: not a whole command of this version.
std::optional<Command> DecodeCommand(std::string_view bytes);

}  // namespace curlewdoor::coordination
