// Whole records on their way: to who is behind, and to who needs the record of one stamp.
#include <algorithm>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr auto kBringAgain = milliseconds(300);  // an epoch, to one that is behind
constexpr auto kFetchAgain = milliseconds(100);  // a record that is known to be chosen
constexpr auto kPauseOfAByte = microseconds(8);  // snapshots to one machine: 125 KB a second at most
constexpr std::size_t kBytesOfOutcome = 25;

std::size_t SizeOf(const Record& record) {
  return record.value.text.size() + record.ledger.entries.size() * kBytesOfOutcome;
}

Duration PauseAfter(const Record& record) { return static_cast<int>(SizeOf(record)) * kPauseOfAByte; }

// The number below which both hold the same outcomes, as far as `after` holds them; 0: none of them.
std::uint64_t CommonBelow(const Ledger& before, const Ledger& after) {
  if (after.first < before.first || after.first > before.end()) return 0;
  const auto old = before.entries.begin() + static_cast<std::ptrdiff_t>(after.first - before.first);
  const auto differ = std::mismatch(old, before.entries.end(), after.entries.begin(), after.entries.end());
  return after.first + static_cast<std::uint64_t>(differ.second - after.entries.begin());
}

}  // namespace

// What this one holds now is `record`, which need not be made from what it held before.
void Core::Replace(RecordPtr record, const Stamp& stamp) {
  const std::uint64_t common = CommonBelow(held_->ledger, record->ledger);
  const bool value_changed = !(record->value == held_->value);
  Hold(std::move(record), stamp, common, value_changed);
}

Core::RecordPtr Core::Snapshot(RecordPtr record) const {
  if (!Does(Options::Fault::kForgetOutcomes)) return record;
  return std::make_shared<Record>(RecordOf(record->value, {}));
}

void Core::Bring(Time now, const Member& to, Out& out) {
  InstallEpoch install{state_.roster.members, state_.roster.first_size, state_.stamp, {}};
  const auto known = holdings_.find(to.life);
  bool is_held = known != holdings_.end() && known->second.stamp == state_.stamp;
  if (Peer* peer = FindPeer(to.life)) {
    const Duration pause = kBringAgain + (peer->brought_short ? Duration{} : PauseAfter(*held_));
    if (peer->brought != Time{} && now - peer->brought < pause) return;
    is_held = is_held && !peer->brought_short;
    peer->brought = now;
    peer->brought_short = is_held;
  }
  if (!is_held) install.record = *Snapshot(held_);
  SendSynced(to, 0, std::move(install), out);
}

// Without the record, and it isn't held here: that one is told that this one is still behind, and sends all.
void Core::OnInstall(Time now, const Message& m, const InstallEpoch& install, Out& out) {
  if (install.members.empty()) {
    ++dropped_;
    return;
  }
  if (!install.record && install.stamp != state_.stamp) return;
  RecordPtr record = install.record ? std::make_shared<Record>(*install.record) : held_;
  Adopt(now, {m.epoch, install.members, install.first_size}, std::move(record), install.stamp, out);
}

void Core::OnFetch(Time now, const Message& m, const Fetch& fetch, Out& out) {
  const bool chosen = fetch.stamp <= committed_stamp_;
  if (!chosen && fetch.stamp != state_.stamp) return;
  const RecordPtr record = chosen ? committed_ : held_;
  if (Peer* peer = FindPeer(m.from.life); peer != nullptr && m.from.life != self_.life) {
    if (peer->fetched != Time{} && now - peer->fetched < PauseAfter(*record)) return;
    peer->fetched = now;
  }
  Send(m.from, m.id, Fetched{chosen ? committed_stamp_ : state_.stamp, chosen, *Snapshot(record)}, out);
}

void Core::OnFetched(Time now, const Message& m, const Fetched& fetched, Out& out) {
  const RecordPtr record = std::make_shared<Record>(fetched.record);
  const bool found_chosen = std::any_of(calls_.begin(), calls_.end(), [&](const Call& call) {
    return call.phase == Phase::kFetch && call.target == fetched.stamp;
  });
  if (fetched.chosen || found_chosen) Commit(record, fetched.stamp, out);
  std::vector<std::uint64_t> found;
  for (const Call& call : calls_) {
    if (call.phase == Phase::kFetch && call.target <= committed_stamp_) found.push_back(call.key);
  }
  for (std::uint64_t key : found) Resolve(now, key, out);
  if (attempt_ && attempt_->phase == Phase::kFetch && attempt_->request == m.id &&
      attempt_->best == fetched.stamp)
    Evaluate(now, record, out);
  if (proposal_ && proposal_->fetching && proposal_->request == m.id && fetched.stamp >= proposal_->held)
    ChooseEpoch(now, record, fetched.stamp, out);
}

// Another one knows this to be chosen.
void Core::Note(Time now, const Member& from, const Stamp& committed, Out& out) {
  if (committed <= committed_stamp_) return;
  if (committed == state_.stamp) return Commit(held_, committed, out);
  Peer* peer = FindPeer(from.life);
  if (peer == nullptr || (peer->asked != Time{} && now - peer->asked < kFetchAgain)) return;
  peer->asked = now;
  Send(from, next_id_++, Fetch{committed}, out);
}

// A chosen record may be held as if it had been accepted here: every ballot from now on finds it or one made
// from it with a majority anyway.
void Core::Commit(RecordPtr record, const Stamp& stamp, Out& out) {
  if (stamp <= committed_stamp_) return;
  if (!(record->value == committed_->value)) out.committed_changed = true;
  committed_ = record;
  committed_stamp_ = stamp;
  if (stamp <= state_.stamp) return;
  if (stamp.epoch == state_.roster.epoch)
    state_.register_promised = std::max(state_.register_promised, stamp.ballot);
  Replace(std::move(record), stamp);
}

}  // namespace curlewdoor::agreement
