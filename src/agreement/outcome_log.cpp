#include "agreement/outcome_log.hpp"

#include <algorithm>

namespace curlewdoor::agreement {

const PutOutcome* OutcomeLog::Find(std::uint64_t version) const {
  const auto found = std::find_if(entries.rbegin(), entries.rend(),
                                  [version](const PutOutcome& each) { return each.version == version; });
  return found == entries.rend() ? nullptr : &*found;
}

void OutcomeLog::Append(const PutOutcome& outcome) {
  entries.push_back(outcome);
  if (entries.size() <= kMaxOutcomes) return;
  highest_evicted = std::max(highest_evicted, entries.front().version);
  entries.erase(entries.begin());
  ++first;
}

Record MakeRecord(ConfigValue value, OutcomeLog outcomes) {
  const Digest digest = value.version == 0 ? Digest{} : ContentDigest(value.text);
  return {std::move(value), digest, std::move(outcomes)};
}

PutDecision DecidePut(const Record& record, std::uint64_t version, const Digest& digest) {
  if (version == record.value.version)
    return digest == record.digest ? PutDecision::kDuplicate : PutDecision::kConflict;
  if (const PutOutcome* known = record.outcome_log.Find(version))
    return digest == known->digest ? PutDecision::kDuplicate : PutDecision::kConflict;
  if (version > record.value.version) return PutDecision::kApplied;
  return version <= record.outcome_log.highest_evicted ? PutDecision::kUnknown
                                                       : PutDecision::kRecordedWithoutEffect;
}

PutDecision ApplyPut(Record& record, const ConfigValue& put_value, const Digest& digest) {
  const PutDecision decision = DecidePut(record, put_value.version, digest);
  if (!AddsOutcome(decision)) return decision;
  record.outcome_log.Append({put_value.version, digest, decision == PutDecision::kApplied});
  if (decision == PutDecision::kApplied) {
    record.value = put_value;
    record.digest = digest;
  }
  return decision;
}

}  // namespace curlewdoor::agreement
