// A digest of 128 bits of a text: SipHash-2-4 with its output of 128 bits, as published by Aumasson and
// Bernstein, under one fixed key. The same in every process and build. It tells contents apart; it is no seal
// against someone who looks for two texts of one digest.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace curlewdoor {

struct Digest {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(const Digest&) const = default;
};

namespace digest_detail {

struct SipState {
  std::uint64_t v0, v1, v2, v3;

  static constexpr std::uint64_t Rotate(std::uint64_t value, int bits) {
    return value << bits | value >> (64 - bits);
  }
  constexpr void Round() {
    v0 += v1;
    v1 = Rotate(v1, 13) ^ v0;
    v0 = Rotate(v0, 32);
    v2 += v3;
    v3 = Rotate(v3, 16) ^ v2;
    v0 += v3;
    v3 = Rotate(v3, 21) ^ v0;
    v2 += v1;
    v1 = Rotate(v1, 17) ^ v2;
    v2 = Rotate(v2, 32);
  }
  constexpr void Absorb(std::uint64_t word) {
    v3 ^= word;
    Round();
    Round();
    v0 ^= word;
  }
  constexpr std::uint64_t Squeeze() {
    for (int i = 0; i < 4; ++i) Round();
    return v0 ^ v1 ^ v2 ^ v3;
  }
};

constexpr std::uint64_t WordAt(std::string_view text, std::size_t at, std::size_t bytes) {
  std::uint64_t word = 0;
  for (std::size_t i = 0; i < bytes; ++i)
    word |= static_cast<std::uint64_t>(static_cast<unsigned char>(text[at + i])) << (8 * i);
  return word;
}

}  // namespace digest_detail

// `low` holds the first eight bytes of the published output, `high` the last eight, both little-endian.
constexpr Digest ContentDigest(std::string_view text) {
  constexpr std::uint64_t kKey0 = 0x0706050403020100, kKey1 = 0x0f0e0d0c0b0a0908;
  digest_detail::SipState state{0x736f6d6570736575 ^ kKey0, 0x646f72616e646f6d ^ kKey1 ^ 0xee,
                                0x6c7967656e657261 ^ kKey0, 0x7465646279746573 ^ kKey1};
  std::size_t at = 0;
  for (; at + 8 <= text.size(); at += 8) state.Absorb(digest_detail::WordAt(text, at, 8));
  const std::uint64_t length = static_cast<std::uint64_t>(text.size() & 0xff) << 56;
  state.Absorb(length | digest_detail::WordAt(text, at, text.size() - at));
  state.v2 ^= 0xee;
  Digest digest;
  digest.low = state.Squeeze();
  state.v1 ^= 0xdd;
  digest.high = state.Squeeze();
  return digest;
}

// 32 hexadecimal digits.
inline std::string ToText(const Digest& digest) {
  char text[40];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(digest.high),
                static_cast<unsigned long long>(digest.low));
  return text;
}

}  // namespace curlewdoor
