// The record that the register keeps: the configuration in force and the outcomes of recent puts. Plain
// values only; core.hpp describes how a record is agreed on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "util/digest.hpp"

namespace curlewdoor::agreement {

constexpr std::size_t kMaxOutcomes = 4096;
constexpr std::size_t kOutcomesPerPage = 64;  // per stored record

// A version of the configuration. Version 0: none.
struct ConfigValue {
  std::uint64_t version = 0;
  std::string text;
  bool operator==(const ConfigValue&) const = default;
};

// The outcome of one put: its version permanently belongs to this content.
struct PutOutcome {
  std::uint64_t version = 0;
  Digest digest;
  bool took_effect = false;  // false: a higher version was in force when the put was decided
  bool operator==(const PutOutcome&) const = default;
};

// The most recent outcomes, oldest first, numbered from `first`. Bounded: the oldest one is evicted.
struct OutcomeLog {
  std::uint64_t first = 0;
  std::uint64_t highest_evicted = 0;  // the highest version that was evicted
  std::vector<PutOutcome> entries;

  std::uint64_t end() const { return first + entries.size(); }
  const PutOutcome* Find(std::uint64_t version) const;
  void Append(const PutOutcome& outcome);
  bool operator==(const OutcomeLog&) const = default;
};

// The content of the register.
struct Record {
  ConfigValue value;
  Digest digest;  // of value.text
  OutcomeLog outcome_log;
  bool operator==(const Record&) const = default;
};
// Builds a record and computes its digest.
Record MakeRecord(ConfigValue value, OutcomeLog outcomes);

// How a put relates to a record.
enum class PutDecision : std::uint8_t {
  kApplied,                // its version is the highest: it becomes the value
  kRecordedWithoutEffect,  // an unused version below that of the value: recorded, without effect
  kDuplicate,              // this version was decided before, with the same content
  kConflict,               // the version belongs to another content
  kUnknown                 // an old version with an evicted outcome: neither confirmed nor refused
};
// Whether the decision adds an outcome to the record.
inline bool AddsOutcome(PutDecision decision) {
  return decision == PutDecision::kApplied || decision == PutDecision::kRecordedWithoutEffect;
}

// Decides a put without changing the record.
PutDecision DecidePut(const Record& record, std::uint64_t version, const Digest& digest);
// Decides a put, and updates the record if the decision changes it.
PutDecision ApplyPut(Record& record, const ConfigValue& put_value, const Digest& digest);

}  // namespace curlewdoor::agreement
