#include "coordination/coordinator.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::coordination {
namespace {

using Fault = CoordinatorOptions::Fault;

std::optional<Command> ToCommand(const Call& call) {
  return std::visit(
      [](const auto& each) -> std::optional<Command> {
        if constexpr (std::is_constructible_v<Command, decltype(each)>) return Command(each);
        return std::nullopt;
      },
      call);
}

Reply ToReply(const CommandResult& result) {
  if (std::holds_alternative<OutcomeExpired>(result)) return OutcomeUnknown{};
  return result;
}

}  // namespace

Coordinator::Coordinator(Member self, ReplicaState from_disk, CoordinatorOptions options, std::uint64_t seed)
    : options_(options),
      replica_(std::move(self), std::move(from_disk), options.replica, seed),
      state_(options.limits),
      watches_(options.watches) {
  if (!replica_.snapshot().empty()) snapshot_unreadable_ = !state_.Restore(replica_.snapshot());
}

void Coordinator::Bootstrap(Time now, std::vector<Member> voters, CoordinatorOutput& out) {
  ReplicaOutput replica_output;
  replica_.Bootstrap(now, std::move(voters), replica_output);
  HandleReplicaOutput(now, replica_output, out);
}

void Coordinator::SetTargetVoters(Time now, std::uint64_t epoch, std::vector<Member> members,
                                  CoordinatorOutput& out) {
  ReplicaOutput replica_output;
  replica_.SetTargetVoters(now, epoch, std::move(members), replica_output);
  HandleReplicaOutput(now, replica_output, out);
}

void Coordinator::OnMessage(Time now, const ReplicaMessage& message, CoordinatorOutput& out) {
  ReplicaOutput replica_output;
  replica_.OnMessage(now, message, replica_output);
  HandleReplicaOutput(now, replica_output, out);
}

void Coordinator::OnWritten(Time now, bool ok, CoordinatorOutput& out) {
  ReplicaOutput replica_output;
  replica_.OnWritten(now, ok, replica_output);
  HandleReplicaOutput(now, replica_output, out);
}

void Coordinator::Tick(Time now, CoordinatorOutput& out) {
  ReplicaOutput replica_output;
  replica_.Tick(now, replica_output);
  if (shutting_down_ || snapshot_unreadable_) replica_.TransferLeadership(now, replica_output);
  if (replica_.serving() && !snapshot_unreadable_) ExpireHolds(now, replica_output);
  HandleReplicaOutput(now, replica_output, out);
  for (const WatchTable::Watch& due : watches_.TakeExpired(now))
    ReplyToWatch(due.id, due.group, due.after, out);
}

std::optional<Time> Coordinator::NextDue() const { return replica_.NextDue(); }

void Coordinator::BeginShutdown(Time now, CoordinatorOutput& out) {
  shutting_down_ = true;
  ReplicaOutput replica_output;
  replica_.TransferLeadership(now, replica_output);
  HandleReplicaOutput(now, replica_output, out);
}

// ---- Calls ----

void Coordinator::OnCall(Time now, CallId id, const Call& call, ProvenRenewals proven,
                         CoordinatorOutput& out) {
  if (HasFault(Fault::kReadAtFollower) && std::holds_alternative<ReadKey>(call)) {
    pending_reads_[id] = call;
    return ReplyToRead(now, id, out);
  }
  if (!replica_.serving() || snapshot_unreadable_ ||
      pending_commands_.size() + pending_reads_.size() >= options_.max_pending_calls) {
    out.replies.emplace_back(id, NotServedReply());
    return;
  }
  ReplicaOutput replica_output;
  if (const auto* release = std::get_if<ReleaseLock>(&call)) {
    Release(now, id, *release, proven, replica_output, out);
  } else if (const auto command = ToCommand(call)) {
    Propose(now, {id, replica_.term(), std::nullopt}, *command, replica_output, out);
  } else {
    StartRead(now, id, call, replica_output, out);
  }
  HandleReplicaOutput(now, replica_output, out);
}

void Coordinator::Propose(Time now, PendingCommand pending, const Command& command,
                          ReplicaOutput& replica_output, CoordinatorOutput& out) {
  const auto index = replica_.Propose(now, Encode(command), replica_output);
  if (!index) {
    out.replies.emplace_back(pending.id, NotServedReply());
    return;
  }
  pending_commands_[*index] = std::move(pending);
}

// A hold that is not in the state of a serving leader has ended for good, since fences are never reused: the
// release is then logged as it is and does nothing.
void Coordinator::Release(Time now, CallId id, const ReleaseLock& release, ProvenRenewals proven,
                          ReplicaOutput& replica_output, CoordinatorOutput& out) {
  const auto renewals = RenewalsOf(release);
  PendingCommand pending{id, replica_.term(), release};
  const bool unconditional = !proven || HasFault(Fault::kReleaseUnconditional);
  if (!renewals || unconditional) return Propose(now, std::move(pending), release, replica_output, out);
  if (*renewals > *proven) {
    ++release_counts_.unproven;
    out.replies.emplace_back(id, ReleaseUnproven{*renewals});
    return;
  }
  const ExpireLock expire{release.lock, release.fence, *proven};
  Propose(now, std::move(pending), expire, replica_output, out);
}

void Coordinator::StartRead(Time now, CallId id, const Call& call, ReplicaOutput& replica_output,
                            CoordinatorOutput& out) {
  pending_reads_[id] = call;
  if (HasFault(Fault::kReadWithoutConfirmation)) return ReplyToRead(now, id, out);
  if (replica_.Read(now, id, replica_output)) return;
  pending_reads_.erase(id);
  out.replies.emplace_back(id, NotServedReply());
}

void Coordinator::Forget(CallId id) {
  pending_reads_.erase(id);
  watches_.Remove(id);
}

NotServed Coordinator::NotServedReply() const {
  const auto leader = replica_.leader();
  const bool another_leads = leader && leader->incarnation != replica_.self().incarnation;
  return {another_leads ? leader->incarnation.node : std::string()};
}

// ---- Output of the replica ----

void Coordinator::HandleReplicaOutput(Time now, ReplicaOutput& replica_output, CoordinatorOutput& out) {
  if (replica_output.snapshot && !HasFault(Fault::kSnapshotNotRestored))
    RestoreSnapshot(*replica_output.snapshot, replica_output.log_lines);
  for (const CommittedEntry& entry : replica_output.committed) ApplyEntry(now, entry, out);
  if (replica_output.lost_leadership) StopServing(out);
  if (replica_output.became_leader) StartServing(now);
  for (const std::uint64_t id : replica_output.confirmed_reads) ReplyToRead(now, id, out);
  for (const std::uint64_t id : replica_output.failed_reads)
    if (pending_reads_.erase(id) > 0) out.replies.emplace_back(id, NotServedReply());
  MaybeCompact(now, replica_output);
  std::move(replica_output.messages.begin(), replica_output.messages.end(), std::back_inserter(out.messages));
  std::move(replica_output.log_lines.begin(), replica_output.log_lines.end(),
            std::back_inserter(out.log_lines));
  if (replica_output.write) out.write = std::move(replica_output.write);
  out.leader_changed = out.leader_changed || replica_output.leader_changed || replica_output.became_leader;
}

void Coordinator::RestoreSnapshot(const std::string& snapshot, std::vector<std::string>& log_lines) {
  snapshot_unreadable_ = !state_.Restore(snapshot);
  if (snapshot_unreadable_)
    log_lines.push_back("cannot restore the snapshot; calls are not served until a readable one arrives");
}

void Coordinator::ApplyEntry(Time now, const CommittedEntry& entry, CoordinatorOutput& out) {
  const auto command = DecodeCommand(entry.command);
  if (!command) return;  // from a later version; no replica of this version can apply it
  std::optional<PendingCommand> pending;
  if (auto found = pending_commands_.extract(entry.index)) pending = std::move(found.mapped());
  const bool is_own_entry = pending && pending->term == entry.term;
  const bool is_release = is_own_entry && pending->release;
  const auto renewals_before = is_release ? RenewalsOf(*pending->release) : std::nullopt;
  const CommandResult result = state_.Apply(entry.logged_time, *command);
  if (is_release) CountRelease(renewals_before, RenewalsOf(*pending->release));
  const auto* put = std::get_if<PutKey>(&*command);
  if (put != nullptr && std::holds_alternative<KeyPut>(result))
    ReplyToReadyWatches(std::string(StateMachine::GroupOf(put->key)), out);
  std::visit(
      [&](const auto& each) {
        if constexpr (requires { each.lock; })
          if (replica_.serving()) UpdateHoldDeadline(now, each.lock);
      },
      *command);
  if (!pending) return;
  if (!is_own_entry) {  // another leader's entry took its index
    out.replies.emplace_back(pending->id, OutcomeUnknown{});
  } else {
    out.replies.emplace_back(pending->id, is_release ? ReplyToRelease(*pending->release) : ToReply(result));
  }
}

// ---- Holds ----

std::optional<std::uint64_t> Coordinator::RenewalsOf(const ReleaseLock& release) const {
  const auto found = state_.holds().find(release.lock);
  if (found == state_.holds().end() || !found->second.BelongsTo(release.holder, release.fence))
    return std::nullopt;
  return found->second.renewals;
}

// The renewals of the hold before and after the release was applied.
void Coordinator::CountRelease(std::optional<std::uint64_t> before, std::optional<std::uint64_t> after) {
  if (after) {
    ++release_counts_.unproven;
  } else if (!before) {
    ++release_counts_.none;
  } else if (*before == 0) {
    ++release_counts_.unextended;
  } else {
    ++release_counts_.extended;
  }
}

// Called once the release has been applied: the hold is still there if it was extended before that.
Reply Coordinator::ReplyToRelease(const ReleaseLock& release) const {
  const auto renewals = RenewalsOf(release);
  if (renewals) return ReleaseUnproven{*renewals};
  return CommandResult(Done{});
}

// Updates a lock's deadline from its hold in the state.
void Coordinator::UpdateHoldDeadline(Time now, const std::string& lock) {
  const auto held_lock = state_.holds().find(lock);
  if (held_lock == state_.holds().end()) {
    hold_deadlines_.erase(lock);
    return;
  }
  const StateMachine::Hold& hold = held_lock->second;
  HoldDeadline& hold_deadline = hold_deadlines_[lock];
  if (hold_deadline.fence == hold.fence && hold_deadline.renewals == hold.renewals &&
      hold_deadline.deadline != Time{})
    return;
  const bool same_hold = hold_deadline.fence == hold.fence;
  Time deadline = now + std::chrono::milliseconds(hold.hold_ms);
  if (HasFault(Fault::kHoldExpiresEarly)) deadline = now + std::chrono::milliseconds(hold.hold_ms / 2);
  if (HasFault(Fault::kRenewalIgnored) && same_hold) deadline = hold_deadline.deadline;
  hold_deadline = {hold.fence, hold.renewals,
                   same_hold ? std::max(hold_deadline.deadline, deadline) : deadline, false};
}

// When a hold started under an earlier leader is unknown, only that it was before now.
void Coordinator::StartServing(Time now) {
  hold_deadlines_.clear();
  for (const auto& [lock, hold] : state_.holds()) UpdateHoldDeadline(now, lock);
  if (HasFault(Fault::kNewLeaderExpiresHolds))
    for (auto& [lock, hold_deadline] : hold_deadlines_) hold_deadline.deadline = now;
}

void Coordinator::ExpireHolds(Time now, ReplicaOutput& replica_output) {
  for (auto& [lock, hold_deadline] : hold_deadlines_) {
    if (now < hold_deadline.deadline || hold_deadline.expiry_proposed) continue;
    const Command expire = ExpireLock{lock, hold_deadline.fence, hold_deadline.renewals};
    hold_deadline.expiry_proposed = replica_.Propose(now, Encode(expire), replica_output).has_value();
  }
}

// The next leader may or may not commit the pending commands; pending reads have no effect.
void Coordinator::StopServing(CoordinatorOutput& out) {
  const Reply unclear =
      HasFault(Fault::kRefusedAfterProposal) ? Reply(NotServedReply()) : Reply(OutcomeUnknown{});
  for (const auto& [index, pending] : pending_commands_) out.replies.emplace_back(pending.id, unclear);
  pending_commands_.clear();
  for (const auto& [id, call] : pending_reads_) out.replies.emplace_back(id, NotServedReply());
  pending_reads_.clear();
  for (const WatchTable::Watch& ended : watches_.TakeAll())
    out.replies.emplace_back(ended.id, NotServedReply());
  hold_deadlines_.clear();
}

// ---- Reads and watches ----

void Coordinator::ReplyToRead(Time now, CallId id, CoordinatorOutput& out) {
  const auto found = pending_reads_.find(id);
  if (found == pending_reads_.end()) return;
  const Call call = std::move(found->second);
  pending_reads_.erase(found);
  if (const auto* read = std::get_if<ReadKey>(&call)) {
    const auto key = state_.Find(read->key);
    out.replies.emplace_back(id, key ? ReadResult{key->value, key->revision} : ReadResult{});
    return;
  }
  const auto& watch = std::get<WatchGroup>(call);
  const auto events = state_.EventsAfter(watch.group, watch.after, options_.max_watch_bytes);
  const bool reply_now = watch.after == 0 || events.too_old || !events.events.empty() || watch.wait_ms == 0;
  if (reply_now) return ReplyToWatch(id, watch.group, watch.after, out);
  if (!watches_.Add(now, id, watch.group, watch.after, std::chrono::milliseconds(watch.wait_ms)))
    out.replies.emplace_back(id, CommandResult(LimitReached{}));
}

void Coordinator::ReplyToWatch(CallId id, const std::string& group, Revision after, CoordinatorOutput& out) {
  auto events = state_.EventsAfter(group, after, options_.max_watch_bytes);
  if (events.too_old) {
    out.replies.emplace_back(id, HistoryExpired{});
    return;
  }
  if (HasFault(Fault::kWatchReturnsNewestOnly) && events.events.size() > 1)
    events.events.erase(events.events.begin(), events.events.end() - 1);
  if (HasFault(Fault::kWatchRevisionAhead)) ++events.revision;
  out.replies.emplace_back(id, WatchResult{std::move(events.events), events.revision});
}

void Coordinator::ReplyToReadyWatches(const std::string& group, CoordinatorOutput& out) {
  if (watches_.size() == 0) return;
  for (const WatchTable::Watch& ready : watches_.TakeReady(group, state_.GroupRevision(group)))
    ReplyToWatch(ready.id, group, ready.after, out);
}

void Coordinator::MaybeCompact(Time now, ReplicaOutput& replica_output) {
  if (snapshot_unreadable_) return;
  const bool log_is_long = replica_.applied() - replica_.log_begin() >= options_.compact_after_entries;
  if (!log_is_long && replica_.log_bytes() < options_.compact_after_bytes) return;
  if (replica_.applied() > replica_.log_begin())
    replica_.Compact(now, replica_.applied(), state_.Snapshot(), replica_output);
}

}  // namespace curlewdoor::coordination
