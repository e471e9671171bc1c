// Calls of applications as gateways pass them on to the leader, and its replies. Values; msgpack on the link.
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

struct ReadKey {
  std::string key;
  bool operator==(const ReadKey&) const = default;
};
struct WatchGroup {
  std::string group;  // the dot included
  Revision after = 0;
  std::uint32_t wait_ms = 0;
  bool operator==(const WatchGroup&) const = default;
};
// ExpireLock is none of them.
using Call = std::variant<AcquireLock, RenewLock, ReleaseLock, TakeNumber, PutKey, ReadKey, WatchGroup>;

struct ReadResult {
  std::string value;
  Revision revision = 0;  // 0: there is no such key
  bool operator==(const ReadResult&) const = default;
};
struct WatchResult {
  std::vector<PutEvent> events;
  Revision revision = 0;
  bool operator==(const WatchResult&) const = default;
};
struct HistoryExpired {  // 410
  bool operator==(const HistoryExpired&) const = default;
};
// Nothing was done and nothing will be: this member doesn't lead, or has no room.
struct NotServed {
  std::string leader;  // its name, where it is known
  bool operator==(const NotServed&) const = default;
};
// The command may take effect, or may have: leadership was lost meanwhile, or its outcome is forgotten.
struct OutcomeUnknown {
  bool operator==(const OutcomeUnknown&) const = default;
};
using Reply = std::variant<CommandResult, ReadResult, WatchResult, HistoryExpired, NotServed, OutcomeUnknown>;

std::string Encode(const Call& call);
std::optional<Call> DecodeCall(std::string_view bytes);
std::string Encode(const Reply& reply);
std::optional<Reply> DecodeReply(std::string_view bytes);

}  // namespace curlewdoor::coordination
