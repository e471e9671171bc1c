// Messages and the state as bytes (msgpack).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "agreement/founding_message.hpp"
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

/// The first start's messages, and the record that an acceptor with a disk keeps beside the two above.
inline constexpr char kFoundingKey[] = "founding";
std::string Encode(const founding::Message& message);
std::optional<founding::Message> DecodeFounding(std::string_view bytes);
std::string EncodeFoundingState(const founding::State& state);
std::optional<founding::State> DecodeFoundingState(std::string_view bytes);

}  // namespace curlewdoor::agreement
