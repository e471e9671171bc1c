// Calls of applications, which gateways forward to the leader, and its replies. Encoded with msgpack between
// gateways.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/command.hpp"
#include "coordination/state_machine.hpp"

namespace curlewdoor::coordination {

// A linearizable read of a key.
struct ReadKey {
  std::string key;
  bool operator==(const ReadKey&) const = default;
};
// Waits up to `wait_ms` for puts of a group after a revision.
struct WatchGroup {
  std::string group;  // including the dot
  Revision after = 0;
  std::uint32_t wait_ms = 0;
  bool operator==(const WatchGroup&) const = default;
};
// ExpireLock is proposed by the leader only and is not a call.
using Call = std::variant<AcquireLock, RenewLock, ReleaseLock, TakeNumber, PutKey, ReadKey, WatchGroup>;

// How often a hold had been extended (StateMachine::Hold::renewals) when a ReleaseLock call was sent, at the
// least. The fence that the call names proves 0: its caller learnt it from the grant. A gateway proves more
// by what it knows of its caller. nullopt: sent by a version that proves nothing; the release is applied
// unconditionally.
using ProvenRenewals = std::optional<std::uint64_t>;

// The result of ReadKey.
struct ReadResult {
  std::string value;
  Revision revision = 0;  // 0: the key does not exist
  bool operator==(const ReadResult&) const = default;
};
// The result of WatchGroup.
struct WatchResult {
  std::vector<PutEvent> events;
  Revision revision = 0;
  bool operator==(const WatchResult&) const = default;
};
// Puts after the requested revision were dropped from the history (HTTP 410).
struct HistoryExpired {
  bool operator==(const HistoryExpired&) const = default;
};
// The call has no effect, now or later: this member does not lead, cannot read its state, or has too many
// pending calls.
struct NotServed {
  std::string leader;  // its name, if known
  bool operator==(const NotServed&) const = default;
};
// The command may have taken effect or may still do so: leadership was lost while it was pending, or its
// outcome is no longer known.
struct OutcomeUnknown {
  bool operator==(const OutcomeUnknown&) const = default;
};
// Answers a ReleaseLock call: nothing was done, because the hold has been extended more often than is proven
// to be known to the caller. Such a release may have been sent before its holder acquired the lock again.
struct ReleaseUnproven {
  std::uint64_t renewals = 0;  // of the hold by now
  bool operator==(const ReleaseUnproven&) const = default;
};
// In the order of their numbers on the wire.
using Reply = std::variant<CommandResult, ReadResult, WatchResult, HistoryExpired, NotServed, OutcomeUnknown,
                           ReleaseUnproven>;

std::string Encode(const Call& call);
std::optional<Call> DecodeCall(std::string_view bytes);
std::string Encode(const Reply& reply);
std::optional<Reply> DecodeReply(std::string_view bytes);

}  // namespace curlewdoor::coordination
