// Encodes and decodes messages and stored state (msgpack).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "agreement/bootstrap_message.hpp"
#include "agreement/message.hpp"

namespace curlewdoor::agreement {

std::string Encode(const CoreMessage& message);
// Returns nullopt for input that is truncated, too large, of another format or not a message. Never throws;
// allocates no more than a small multiple of the size of the input.
std::optional<CoreMessage> DecodeMessage(std::string_view bytes);

// The state is stored as several records, which are written together when they change: the value; the
// outcomes, as pages under as many keys as are needed; and all the rest under kStateKey.
inline constexpr char kStateKey[] = "state", kValueKey[] = "value", kPageKeyPrefix[] = "outcomes/";
std::string EncodeState(const CoreState& state, const OutcomeLog& outcomes);
inline std::string EncodeState(const CoreState& state) { return EncodeState(state, state.outcome_log); }
std::string EncodeValue(const ConfigValue& value);
// The pages that hold the outcomes numbered `from` and above.
std::vector<std::pair<std::string, std::string>> EncodePages(const OutcomeLog& outcomes, std::uint64_t from);
std::vector<std::pair<std::string, std::string>> EncodeAll(const CoreState& state);

using ReadRecord = std::function<std::optional<std::string>(const std::string& key)>;
// Returns nullopt for bytes that none of the functions above produced, or if a page is missing. A missing
// state or value counts as empty. Also reads the records of processes without ballots (format 1).
std::optional<CoreState> DecodeState(const ReadRecord& read);
// For a state without outcomes.
std::optional<CoreState> DecodeState(const std::optional<std::string>& state,
                                     const std::optional<std::string>& value);

// Bootstrap messages, and the record that an acceptor with a disk keeps in addition to those above.
inline constexpr char kBootstrapKey[] = "founding";
std::string Encode(const bootstrap::BootstrapMessage& message);
std::optional<bootstrap::BootstrapMessage> DecodeBootstrap(std::string_view bytes);
std::string EncodeBootstrapState(const bootstrap::BootstrapState& state);
std::optional<bootstrap::BootstrapState> DecodeBootstrapState(std::string_view bytes);

}  // namespace curlewdoor::agreement
