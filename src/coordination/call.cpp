#include "coordination/call.hpp"

#include <tuple>

#include "coordination/command_fields.hpp"
#include "coordination/packing.hpp"

namespace curlewdoor::coordination {

inline auto Fields(PutEvent& v) { return std::tie(v.key, v.value, v.revision); }
inline auto Fields(ReadKey& v) { return std::tie(v.key); }
inline auto Fields(WatchGroup& v) { return std::tie(v.group, v.after, v.wait_ms); }
inline auto Fields(ReadResult& v) { return std::tie(v.value, v.revision); }
inline auto Fields(WatchResult& v) { return std::tie(v.events, v.revision); }
inline auto Fields(HistoryExpired&) { return std::tie(); }
inline auto Fields(NotServed& v) { return std::tie(v.leader); }
inline auto Fields(OutcomeUnknown&) { return std::tie(); }
inline auto Fields(ReleaseUnproven& v) { return std::tie(v.renewals); }

std::string Encode(const Call& call) { return packing::Pack(call); }
std::optional<Call> DecodeCall(std::string_view bytes) { return packing::Unpack<Call>(bytes); }
std::string Encode(const Reply& reply) { return packing::Pack(reply); }
std::optional<Reply> DecodeReply(std::string_view bytes) { return packing::Unpack<Reply>(bytes); }

}  // namespace curlewdoor::coordination
