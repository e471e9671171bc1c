// Encodes values as msgpack and decodes them, with one list of fields for both directions: Fields(T&) returns
// a std::tie of the fields and is found by argument-dependent lookup. A struct is an array of its fields, a
// variant an array of its index and its value, an optional nil or its value, a string binary. Fields that a
// later version appends are skipped. Decoding allocates at most a multiple of the input size and throws a
// std::exception for malformed input.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "agreement/message.hpp"

namespace curlewdoor::coordination::packing {

inline auto Fields(agreement::Incarnation& v) { return std::tie(v.node, v.number); }
inline auto Fields(agreement::Member& v) { return std::tie(v.incarnation, v.address); }

// Thrown for input that does not have the expected type.
struct MalformedBytes : std::runtime_error {
  MalformedBytes() : std::runtime_error("malformed msgpack input") {}
};

// Encodes one value.
class Packer {
 public:
  explicit Packer(std::size_t size_hint) : buffer_(size_hint), packer_(buffer_) {}

  void EncodeValue(bool value) { value ? packer_.pack_true() : packer_.pack_false(); }
  void EncodeValue(std::uint32_t value) { packer_.pack_uint32(value); }
  void EncodeValue(std::uint64_t value) { packer_.pack(value); }
  void EncodeValue(std::chrono::milliseconds value) {
    packer_.pack(static_cast<std::int64_t>(value.count()));
  }
  void EncodeValue(const std::string& binary) {
    packer_.pack_bin(static_cast<std::uint32_t>(binary.size()));
    packer_.pack_bin_body(binary.data(), static_cast<std::uint32_t>(binary.size()));
  }
  template <typename T>
  void EncodeValue(const std::vector<T>& items) {
    packer_.pack_array(static_cast<std::uint32_t>(items.size()));
    for (const T& item : items) EncodeValue(item);
  }
  template <typename T>
  void EncodeValue(const std::optional<T>& item) {
    if (!item) {
      packer_.pack_nil();
    } else {
      EncodeValue(*item);
    }
  }
  template <typename... T>
  void EncodeValue(const std::variant<T...>& item) {
    packer_.pack_array(2);
    packer_.pack(static_cast<std::uint32_t>(item.index()));
    std::visit([&](const auto& each) { EncodeValue(each); }, item);
  }
  template <typename T>
  requires std::is_class_v<T>
  void EncodeValue(const T& value) {
    const auto fields = Fields(const_cast<T&>(value));
    packer_.pack_array(std::tuple_size_v<std::remove_cv_t<decltype(fields)>>);
    std::apply([&](const auto&... each) { (EncodeValue(each), ...); }, fields);
  }

  std::string Bytes() const { return {buffer_.data(), buffer_.size()}; }

 private:
  msgpack::sbuffer buffer_;
  msgpack::packer<msgpack::sbuffer> packer_;
};

using Object = msgpack::object;

inline const Object& ElementOf(const Object& array, std::size_t index) {
  if (array.type != msgpack::type::ARRAY || array.via.array.size <= index) throw MalformedBytes();
  return array.via.array.ptr[index];
}

inline void DecodeValue(const Object& object, bool& value) {
  if (object.type != msgpack::type::BOOLEAN) throw MalformedBytes();
  value = object.via.boolean;
}
inline void DecodeValue(const Object& object, std::uint64_t& value) {
  if (object.type != msgpack::type::POSITIVE_INTEGER) throw MalformedBytes();
  value = object.via.u64;
}
inline void DecodeValue(const Object& object, std::uint32_t& value) {
  std::uint64_t wide = 0;
  DecodeValue(object, wide);
  if (wide > UINT32_MAX) throw MalformedBytes();
  value = static_cast<std::uint32_t>(wide);
}
inline void DecodeValue(const Object& object, std::chrono::milliseconds& value) {
  constexpr std::uint64_t kMaxMilliseconds = std::uint64_t{1} << 50;
  std::uint64_t count = 0;
  DecodeValue(object, count);
  if (count > kMaxMilliseconds) throw MalformedBytes();
  value = std::chrono::milliseconds(count);
}
inline void DecodeValue(const Object& object, std::string& binary) {
  if (object.type != msgpack::type::BIN) throw MalformedBytes();
  binary.assign(object.via.bin.ptr, object.via.bin.size);
}
template <typename T>
void DecodeValue(const Object& object, std::vector<T>& items);
template <typename T>
void DecodeValue(const Object& object, std::optional<T>& item);
template <typename... T>
void DecodeValue(const Object& object, std::variant<T...>& item);
template <typename T>
requires std::is_class_v<T>
void DecodeValue(const Object& object, T& value);

template <typename T>
void DecodeValue(const Object& object, std::vector<T>& items) {
  if (object.type != msgpack::type::ARRAY) throw MalformedBytes();
  items.clear();
  items.reserve(object.via.array.size);
  for (std::size_t i = 0; i < object.via.array.size; ++i)
    DecodeValue(object.via.array.ptr[i], items.emplace_back());
}
template <typename T>
void DecodeValue(const Object& object, std::optional<T>& item) {
  item.reset();
  if (object.type != msgpack::type::NIL) DecodeValue(object, item.emplace());
}
template <std::size_t kIndex, typename Variant>
void DecodeAlternative(const Object& object, std::uint32_t index, Variant& item) {
  if constexpr (kIndex == std::variant_size_v<Variant>) {
    throw MalformedBytes();
  } else {
    if (index != kIndex) return DecodeAlternative<kIndex + 1>(object, index, item);
    std::variant_alternative_t<kIndex, Variant> alternative;
    DecodeValue(object, alternative);
    item = std::move(alternative);
  }
}
template <typename... T>
void DecodeValue(const Object& object, std::variant<T...>& item) {
  std::uint32_t index = 0;
  DecodeValue(ElementOf(object, 0), index);
  DecodeAlternative<0>(ElementOf(object, 1), index, item);
}
template <typename T>
requires std::is_class_v<T>
void DecodeValue(const Object& object, T& value) {
  auto fields = Fields(value);
  if (object.type != msgpack::type::ARRAY) throw MalformedBytes();
  std::size_t index = 0;
  std::apply([&](auto&... each) { (DecodeValue(ElementOf(object, index++), each), ...); }, fields);
}

// Encodes `value`; `size_hint` is the initial buffer size.
template <typename T>
std::string Pack(const T& value, std::size_t size_hint = 128) {
  Packer packer(size_hint);
  packer.EncodeValue(value);
  return packer.Bytes();
}

// Returns nullopt unless `bytes` is exactly one valid value.
template <typename T>
std::optional<T> Unpack(std::string_view bytes) {
  constexpr std::size_t kMaxDepth = 12;
  try {
    const msgpack::unpack_limit limit(bytes.size(), 0, 0, bytes.size(), 0, kMaxDepth);
    std::size_t end = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), end, [](auto, std::size_t, void*) { return true; }, nullptr, limit);
    if (end != bytes.size()) return std::nullopt;
    T value;
    DecodeValue(handle.get(), value);
    return value;
  } catch (const std::exception&) {  // MalformedBytes, msgpack's own exceptions, and std::bad_alloc
    return std::nullopt;
  }
}

}  // namespace curlewdoor::coordination::packing
