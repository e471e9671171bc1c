// Messages and the state as bytes (msgpack).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "agreement/message.hpp"

namespace curlewdoor::agreement {

std::string Encode(const Message& message);
// None for what is cut, too large, of another version or not a message. Never throws; allocates no more than
// a small multiple of the bytes given.
std::optional<Message> DecodeMessage(std::string_view bytes);

// The state is two records in storage, written together: all but the value, and the value.
inline constexpr char kStateKey[] = "state", kValueKey[] = "value";
std::string EncodeState(const State& state);
std::string EncodeValue(const Value& value);
// None: bytes that no EncodeState() or EncodeValue() made. A record that isn't there is none of its kind.
std::optional<State> DecodeState(const std::optional<std::string>& state,
                                 const std::optional<std::string>& value);

}  // namespace curlewdoor::agreement
