#include "agreement/outcome_log.hpp"

#include <algorithm>

namespace curlewdoor::agreement {

const OrderOutcome* Ledger::Find(std::uint64_t version) const {
  const auto found = std::find_if(entries.rbegin(), entries.rend(),
                                  [version](const OrderOutcome& each) { return each.version == version; });
  return found == entries.rend() ? nullptr : &*found;
}

void Ledger::Append(const OrderOutcome& outcome) {
  entries.push_back(outcome);
  if (entries.size() <= kOutcomesKept) return;
  forgotten_below = std::max(forgotten_below, entries.front().version);
  entries.erase(entries.begin());
  ++first;
}

Record RecordOf(Value value, Ledger ledger) {
  const Digest digest = value.version == 0 ? Digest{} : ContentDigest(value.text);
  return {std::move(value), digest, std::move(ledger)};
}

Verdict Judge(const Record& record, std::uint64_t version, const Digest& digest) {
  if (version == record.value.version) return digest == record.digest ? Verdict::kAgain : Verdict::kConflict;
  if (const OrderOutcome* known = record.ledger.Find(version))
    return digest == known->digest ? Verdict::kAgain : Verdict::kConflict;
  if (version > record.value.version) return Verdict::kTaken;
  return version <= record.ledger.forgotten_below ? Verdict::kForgotten : Verdict::kOvertaken;
}

Verdict Apply(Record& record, const Value& order, const Digest& digest) {
  const Verdict verdict = Judge(record, order.version, digest);
  if (!Changes(verdict)) return verdict;
  record.ledger.Append({order.version, digest, verdict == Verdict::kTaken});
  if (verdict == Verdict::kTaken) {
    record.value = order;
    record.digest = digest;
  }
  return verdict;
}

}  // namespace curlewdoor::agreement
