#include "util/text_delta.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace curlewdoor {
namespace {

constexpr std::size_t kLeastBlock = 32;      // bytes of the base that are found again as one
constexpr std::size_t kMostBlocks = 65'536;  // of one base; in a longer one blocks are longer
constexpr std::uint64_t kFactor = 0x9e3779b97f4a7c15ull;
constexpr int kVarintBits = 7;
constexpr unsigned kVarintMore = 0x80;

// ---- Bytes of a delta: steps of (literal length, literal, copy length, copy offset unless the length is 0)
// --

void PutNumber(std::size_t number, std::string& out) {
  for (; number >= kVarintMore; number >>= kVarintBits)
    out += static_cast<char>((number & (kVarintMore - 1)) | kVarintMore);
  out += static_cast<char>(number);
}

std::optional<std::size_t> TakeNumber(std::string_view& rest) {
  std::size_t number = 0;
  for (int shift = 0; shift < 5 * kVarintBits; shift += kVarintBits) {
    if (rest.empty()) return std::nullopt;
    const auto byte = static_cast<unsigned char>(rest.front());
    rest.remove_prefix(1);
    number |= static_cast<std::size_t>(byte & (kVarintMore - 1)) << shift;
    if ((byte & kVarintMore) == 0) return number;
  }
  return std::nullopt;
}

class DeltaWriter {
 public:
  explicit DeltaWriter(std::string_view target) : target_(target) {}

  // target[from, from + length) is base[at, at + length); what lies before it is literal.
  void Copy(std::size_t from, std::size_t at, std::size_t length) {
    Literal(from);
    PutNumber(length, bytes_);
    if (length > 0) PutNumber(at, bytes_);
    written_ = from + length;
  }
  std::string Finish() {
    if (written_ < target_.size()) Copy(target_.size(), 0, 0);
    return std::move(bytes_);
  }
  std::size_t written() const { return written_; }
  // With what is certain to come: no smaller delta can end in it.
  std::size_t size(std::size_t upto) const { return bytes_.size() + (upto - written_); }

 private:
  void Literal(std::size_t upto) {
    PutNumber(upto - written_, bytes_);
    bytes_.append(target_.substr(written_, upto - written_));
  }

  std::string_view target_;
  std::string bytes_;
  std::size_t written_ = 0;  // bytes of the target that the steps make
};

// ---- Blocks of the base, found by a rolling hash ----------------------------------------------------------

class RollingHash {
 public:
  explicit RollingHash(std::size_t width) : width_(width) {
    for (std::size_t i = 1; i < width; ++i) leaving_ *= kFactor;
  }
  void Begin(std::string_view bytes) {
    hash_ = 0;
    for (const char byte : bytes.substr(0, width_)) hash_ = hash_ * kFactor + Value(byte);
  }
  void Roll(char out, char in) { hash_ = (hash_ - Value(out) * leaving_) * kFactor + Value(in); }
  std::uint64_t value() const { return hash_ ^ (hash_ >> 29); }

 private:
  static std::uint64_t Value(char byte) { return static_cast<unsigned char>(byte) + 1u; }
  const std::size_t width_;
  std::uint64_t hash_ = 0, leaving_ = 1;
};

class BlockTable {
 public:
  explicit BlockTable(std::string_view base)
      : base_(base), block_(std::max(kLeastBlock, base.size() / kMostBlocks + 1)) {
    const std::size_t blocks = base.size() / block_;
    std::size_t slots = 2;
    while (slots < 2 * blocks) slots *= 2;
    slots_.assign(slots, kNone);
    RollingHash hash(block_);
    for (std::size_t i = 0; i < blocks; ++i) {
      hash.Begin(base.substr(i * block_));
      std::uint32_t& slot = slots_[hash.value() & (slots_.size() - 1)];
      if (slot == kNone) slot = static_cast<std::uint32_t>(i * block_);
    }
  }

  std::size_t block() const { return block_; }
  // Where the base holds these bytes, `block()` many; nullopt: not at a block's begin.
  std::optional<std::size_t> Find(std::uint64_t hash, std::string_view bytes) const {
    const std::uint32_t at = slots_[hash & (slots_.size() - 1)];
    if (at == kNone || base_.substr(at, block_) != bytes.substr(0, block_)) return std::nullopt;
    return at;
  }

 private:
  static constexpr std::uint32_t kNone = std::numeric_limits<std::uint32_t>::max();
  std::string_view base_;
  std::size_t block_;
  std::vector<std::uint32_t> slots_;
};

std::size_t CommonPrefix(std::string_view a, std::string_view b) {
  const std::size_t size = std::min(a.size(), b.size());
  return static_cast<std::size_t>(std::mismatch(a.begin(), a.begin() + size, b.begin()).first - a.begin());
}

std::size_t CommonSuffix(std::string_view a, std::string_view b) {
  const std::size_t size = std::min(a.size(), b.size());
  std::size_t length = 0;
  while (length < size && a[a.size() - 1 - length] == b[b.size() - 1 - length]) ++length;
  return length;
}

// Copies of what target[from, to) shares with the base, each as long as it reaches. False: beyond `most`.
bool CopyShared(std::string_view base, std::string_view target, std::size_t from, std::size_t to,
                std::size_t most, DeltaWriter& writer) {
  const BlockTable table(base);
  const std::size_t block = table.block();
  RollingHash hash(block);
  std::size_t at = from;
  bool begun = false;
  while (at + block <= to) {
    if (!std::exchange(begun, true)) hash.Begin(target.substr(at));
    const auto found = table.Find(hash.value(), target.substr(at));
    if (!found) {
      if (writer.size(at) >= most) return false;
      if (at + block < to) hash.Roll(target[at], target[at + block]);
      ++at;
      continue;
    }
    const std::size_t back =
        CommonSuffix(base.substr(0, *found), target.substr(writer.written(), at - writer.written()));
    const std::size_t length =
        back + block + CommonPrefix(base.substr(*found + block), target.substr(at + block, to - at - block));
    writer.Copy(at - back, *found - back, length);
    at = writer.written();
    begun = false;
  }
  return writer.size(to) < most;
}

}  // namespace

std::optional<std::string> MakeDelta(std::string_view base, std::string_view target, std::size_t most) {
  if (base.size() >= std::numeric_limits<std::uint32_t>::max() ||
      target.size() >= std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  DeltaWriter writer(target);
  const std::size_t prefix = CommonPrefix(base, target);
  const std::size_t suffix = CommonSuffix(base.substr(prefix), target.substr(prefix));
  if (prefix > 0) writer.Copy(0, 0, prefix);
  const std::size_t to = target.size() - suffix;
  if (!CopyShared(base, target, prefix, to, most, writer)) return std::nullopt;
  if (suffix > 0) writer.Copy(to, base.size() - suffix, suffix);
  std::string delta = writer.Finish();
  return delta.size() < most ? std::optional(std::move(delta)) : std::nullopt;
}

std::optional<std::string> ApplyDelta(std::string_view base, std::string_view delta, std::size_t most) {
  std::string target;
  while (!delta.empty()) {
    const auto literal = TakeNumber(delta);
    if (!literal || *literal > delta.size() || *literal > most - target.size()) return std::nullopt;
    target.append(delta.substr(0, *literal));
    delta.remove_prefix(*literal);
    const auto length = TakeNumber(delta);
    if (!length) return std::nullopt;
    if (*length == 0) continue;
    const auto at = TakeNumber(delta);
    if (!at || *at > base.size() || *length > base.size() - *at || *length > most - target.size())
      return std::nullopt;
    target.append(base.substr(*at, *length));
  }
  return target;
}

}  // namespace curlewdoor
