// The fields of commands and results, in the order of their encoding in the log and between gateways
// (packing.hpp).
#pragma once

#include <tuple>

#include "coordination/command.hpp"

namespace curlewdoor::coordination {

inline auto Fields(AcquireLock& v) { return std::tie(v.lock, v.holder, v.hold_ms); }
inline auto Fields(RenewLock& v) { return std::tie(v.lock, v.holder, v.fence, v.hold_ms); }
inline auto Fields(ReleaseLock& v) { return std::tie(v.lock, v.holder, v.fence); }
inline auto Fields(ExpireLock& v) { return std::tie(v.lock, v.fence, v.renewals); }
inline auto Fields(TakeNumber& v) { return std::tie(v.name); }
inline auto Fields(PutKey& v) { return std::tie(v.key, v.value, v.expected); }
inline auto Fields(LockGranted& v) { return std::tie(v.fence); }
inline auto Fields(LockRefused&) { return std::tie(); }
inline auto Fields(Done&) { return std::tie(); }
inline auto Fields(NumberTaken& v) { return std::tie(v.value); }
inline auto Fields(KeyPut& v) { return std::tie(v.revision); }
inline auto Fields(KeyConflict& v) { return std::tie(v.revision); }
inline auto Fields(OutcomeExpired&) { return std::tie(); }
inline auto Fields(LimitReached&) { return std::tie(); }

}  // namespace curlewdoor::coordination
