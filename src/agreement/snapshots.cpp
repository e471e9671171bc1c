// Transfer of whole records: to processes that are behind, and to those that need the record of a given
// stamp.
#include <algorithm>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr auto kInstallInterval = milliseconds(300);        // between InstallEpoch messages to one peer
constexpr auto kRecordRequestInterval = milliseconds(100);  // between record requests to one peer
constexpr auto kSnapshotPausePerByte = microseconds(8);     // limits snapshots to one machine to 125 KB/s
constexpr std::size_t kOutcomeSize = 25;

std::size_t SizeOf(const Record& record) {
  return record.value.text.size() + record.outcome_log.entries.size() * kOutcomeSize;
}

Duration PauseAfter(const Record& record) { return static_cast<int>(SizeOf(record)) * kSnapshotPausePerByte; }

// The number below which both logs hold the same outcomes, as far as `after` still holds them; 0: none in
// common.
std::uint64_t CommonBelow(const OutcomeLog& before, const OutcomeLog& after) {
  if (after.first < before.first || after.first > before.end()) return 0;
  const auto old = before.entries.begin() + static_cast<std::ptrdiff_t>(after.first - before.first);
  const auto differ = std::mismatch(old, before.entries.end(), after.entries.begin(), after.entries.end());
  return after.first + static_cast<std::uint64_t>(differ.second - after.entries.begin());
}

}  // namespace

// Replaces the held record by one that need not be derived from it.
void Core::ReplaceHeldRecord(RecordPtr record, const Stamp& stamp) {
  const std::uint64_t common = CommonBelow(held_record_->outcome_log, record->outcome_log);
  const bool value_changed = !(record->value == held_record_->value);
  SetHeldRecord(std::move(record), stamp, common, value_changed);
}

Core::RecordPtr Core::Snapshot(RecordPtr record) const {
  if (!HasFault(CoreOptions::Fault::kSnapshotWithoutOutcomes)) return record;
  return std::make_shared<Record>(MakeRecord(record->value, {}));
}

void Core::SendInstallEpoch(Time now, const Member& to, CoreOutput& out) {
  InstallEpoch install{state_.membership.members, state_.membership.initial_size, state_.stamp, {}};
  const auto known = reported_records_.find(to.incarnation);
  bool is_held = known != reported_records_.end() && known->second.stamp == state_.stamp;
  if (Peer* peer = FindPeer(to.incarnation)) {
    const Duration pause =
        kInstallInterval + (peer->install_without_record ? Duration{} : PauseAfter(*held_record_));
    if (peer->install_sent_at != Time{} && now - peer->install_sent_at < pause) return;
    is_held = is_held && !peer->install_without_record;
    peer->install_sent_at = now;
    peer->install_without_record = is_held;
  }
  if (!is_held) install.record = *Snapshot(held_record_);
  SendSynced(to, 0, std::move(install), out);
}

// An install without the record is ignored if the record is not held here: the status reply then shows the
// sender that this process is still behind, and the sender includes the record.
void Core::OnInstallEpoch(Time now, const CoreMessage& m, const InstallEpoch& install, CoreOutput& out) {
  if (install.members.empty()) {
    ++dropped_;
    return;
  }
  if (!install.record && install.stamp != state_.stamp) return;
  RecordPtr record = install.record ? std::make_shared<Record>(*install.record) : held_record_;
  EnterEpoch(now, {m.epoch, install.members, install.initial_size}, std::move(record), install.stamp, out);
}

void Core::OnRecordRequest(Time now, const CoreMessage& m, const RecordRequest& fetch, CoreOutput& out) {
  const bool chosen = fetch.stamp <= committed_stamp_;
  if (!chosen && fetch.stamp != state_.stamp) return;
  const RecordPtr record = chosen ? committed_ : held_record_;
  if (Peer* peer = FindPeer(m.from.incarnation); peer != nullptr && m.from.incarnation != self_.incarnation) {
    if (peer->record_sent_at != Time{} && now - peer->record_sent_at < PauseAfter(*record)) return;
    peer->record_sent_at = now;
  }
  Send(m.from, m.id, RecordReply{chosen ? committed_stamp_ : state_.stamp, chosen, *Snapshot(record)}, out);
}

void Core::OnRecordReply(Time now, const CoreMessage& m, const RecordReply& fetched, CoreOutput& out) {
  const RecordPtr record = std::make_shared<Record>(fetched.record);
  const bool found_chosen = std::any_of(calls_.begin(), calls_.end(), [&](const Call& call) {
    return call.phase == Phase::kFetch && call.target == fetched.stamp;
  });
  if (fetched.chosen || found_chosen) Commit(record, fetched.stamp, out);
  std::vector<std::uint64_t> found;
  for (const Call& call : calls_) {
    if (call.phase == Phase::kFetch && call.target <= committed_stamp_) found.push_back(call.key);
  }
  for (std::uint64_t key : found) ResolveCall(now, key, out);
  if (attempt_ && attempt_->phase == Phase::kFetch && attempt_->request == m.id &&
      attempt_->best == fetched.stamp)
    ProposeNextRecord(now, record, out);
  if (proposal_ && proposal_->fetching && proposal_->request == m.id && fetched.stamp >= proposal_->held)
    ChooseEpoch(now, record, fetched.stamp, out);
}

// A peer reports that this record is chosen.
void Core::OnCommittedReport(Time now, const Member& from, const Stamp& committed, CoreOutput& out) {
  if (committed <= committed_stamp_) return;
  if (committed == state_.stamp) return Commit(held_record_, committed, out);
  Peer* peer = FindPeer(from.incarnation);
  if (peer == nullptr ||
      (peer->record_requested_at != Time{} && now - peer->record_requested_at < kRecordRequestInterval))
    return;
  peer->record_requested_at = now;
  Send(from, next_id_++, RecordRequest{committed}, out);
}

// A chosen record may be held as if it had been accepted here: every later ballot finds it, or a record
// derived from it, at a majority anyway.
void Core::Commit(RecordPtr record, const Stamp& stamp, CoreOutput& out) {
  if (stamp <= committed_stamp_) return;
  if (!(record->value == committed_->value)) out.committed_changed = true;
  committed_ = record;
  committed_stamp_ = stamp;
  if (stamp <= state_.stamp) return;
  if (stamp.epoch == state_.membership.epoch)
    state_.register_promised = std::max(state_.register_promised, stamp.ballot);
  ReplaceHeldRecord(std::move(record), stamp);
}

}  // namespace curlewdoor::agreement
