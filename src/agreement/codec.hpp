// Messages and the state as bytes (msgpack).
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

std::string Encode(const Message& message);
// None for what is cut, too large, of another version or not a message. Never throws; allocates no more than
// a small multiple of the bytes given.
std::optional<Message> DecodeMessage(std::string_view bytes);

// The state is several records in storage, written together where they change: all but the value and the
// outcomes; the value; and pages of the outcomes, under as many keys as the ledger needs.
inline constexpr char kStateKey[] = "state", kValueKey[] = "value", kPageKeys[] = "outcomes/";
std::string EncodeState(const State& state, const Ledger& ledger);
inline std::string EncodeState(const State& state) { return EncodeState(state, state.ledger); }
std::string EncodeValue(const Value& value);
// The pages that hold the outcomes numbered `from` and on.
std::vector<std::pair<std::string, std::string>> EncodePages(const Ledger& ledger, std::uint64_t from);
std::vector<std::pair<std::string, std::string>> EncodeAll(const State& state);

using ReadRecord = std::function<std::optional<std::string>(const std::string& key)>;
// None: bytes that none of the above made, or a page is missing. A state or value that isn't there is none of
// its kind. Reads what processes without ballots have written.
std::optional<State> DecodeState(const ReadRecord& read);
// Where there are no outcomes.
std::optional<State> DecodeState(const std::optional<std::string>& state,
                                 const std::optional<std::string>& value);

/// The first start's messages, and the record that an acceptor with a disk keeps beside the two above.
inline constexpr char kFoundingKey[] = "founding";
std::string Encode(const founding::Message& message);
std::optional<founding::Message> DecodeFounding(std::string_view bytes);
std::string EncodeFoundingState(const founding::State& state);
std::optional<founding::State> DecodeFoundingState(std::string_view bytes);

}  // namespace curlewdoor::agreement
