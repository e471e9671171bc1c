// The record that the register keeps: the configuration in force and what became of the last orders. Pure
// values; how one of them is agreed on stands in core.hpp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "util/digest.hpp"

namespace curlewdoor::agreement {

constexpr std::size_t kOutcomesKept = 4096;
constexpr std::size_t kOutcomesPerPage = 64;  // of one record on the disk

// The configuration. Version 0: none.
struct Value {
  std::uint64_t version = 0;
  std::string text;
  bool operator==(const Value&) const = default;
};

// What became of one order: its number belongs to this content for good.
struct OrderOutcome {
  std::uint64_t version = 0;
  Digest digest;
  bool took_effect = false;  // false: a higher version was in force when it was decided
  bool operator==(const OrderOutcome&) const = default;
};

// The last outcomes, oldest first, numbered from `first`. Bounded: the oldest one makes room.
struct Ledger {
  std::uint64_t first = 0;
  std::uint64_t forgotten_below = 0;  // the highest version that was dropped
  std::vector<OrderOutcome> entries;

  std::uint64_t end() const { return first + entries.size(); }
  const OrderOutcome* Find(std::uint64_t version) const;
  void Append(const OrderOutcome& outcome);
  bool operator==(const Ledger&) const = default;
};

struct Record {
  Value value;
  Digest digest;  // of value.text
  Ledger ledger;
  bool operator==(const Record&) const = default;
};
Record RecordOf(Value value, Ledger ledger);

enum class Verdict : std::uint8_t {
  kTaken,      // its number is above all: it is the value from now on
  kOvertaken,  // a number that nobody used, below the value's: recorded, without effect
  kAgain,      // this number and content were decided before
  kConflict,   // the number belongs to another content
  kForgotten   // an old number whose outcome isn't kept any more: neither confirmed nor refused
};
// Whether the verdict adds an outcome to the record.
inline bool Changes(Verdict verdict) { return verdict == Verdict::kTaken || verdict == Verdict::kOvertaken; }

Verdict Judge(const Record& record, std::uint64_t version, const Digest& digest);
// Judge() and, where that changes something, the record as it is afterwards.
Verdict Apply(Record& record, const Value& order, const Digest& digest);

}  // namespace curlewdoor::agreement
