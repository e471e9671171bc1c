#include "coordination/coordinator.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::coordination {
namespace {

using Fault = CoordinatorOptions::Fault;

std::optional<Command> CommandOf(const Call& call) {
  return std::visit(
      [](const auto& each) -> std::optional<Command> {
        if constexpr (std::is_constructible_v<Command, decltype(each)>) return Command(each);
        return std::nullopt;
      },
      call);
}

Reply ReplyOf(const Result& result) {
  if (std::holds_alternative<OutcomeForgotten>(result)) return Unclear{};
  return result;
}

}  // namespace

Coordinator::Coordinator(Member self, ReplicaState from_disk, CoordinatorOptions options, std::uint64_t seed)
    : options_(options),
      replica_(std::move(self), std::move(from_disk), options.replica, seed),
      state_(options.limits),
      watches_(options.watches) {
  if (!replica_.snapshot().empty()) unreadable_ = !state_.Restore(replica_.snapshot());
}

void Coordinator::Found(Time now, std::vector<Member> voters, CoordinatorOut& out) {
  ReplicaOut from;
  replica_.Found(now, std::move(voters), from);
  Settle(now, from, out);
}

void Coordinator::SetTarget(Time now, std::uint64_t epoch, std::vector<Member> members, CoordinatorOut& out) {
  ReplicaOut from;
  replica_.SetTarget(now, epoch, std::move(members), from);
  Settle(now, from, out);
}

void Coordinator::OnMessage(Time now, const ReplicaMessage& message, CoordinatorOut& out) {
  ReplicaOut from;
  replica_.OnMessage(now, message, from);
  Settle(now, from, out);
}

void Coordinator::OnWritten(Time now, bool ok, CoordinatorOut& out) {
  ReplicaOut from;
  replica_.OnWritten(now, ok, from);
  Settle(now, from, out);
}

void Coordinator::Tick(Time now, CoordinatorOut& out) {
  ReplicaOut from;
  replica_.Tick(now, from);
  if (leaving_ || unreadable_) replica_.TransferLeadership(now, from);
  if (replica_.serving() && !unreadable_) ExpireHolds(now, from);
  Settle(now, from, out);
  for (const WatchTable::Waiter& due : watches_.TakeDue(now)) AnswerWatch(due.id, due.group, due.after, out);
}

std::optional<Time> Coordinator::NextDue() const { return replica_.NextDue(); }

void Coordinator::Leave(Time now, CoordinatorOut& out) {
  leaving_ = true;
  ReplicaOut from;
  replica_.TransferLeadership(now, from);
  Settle(now, from, out);
}

// ---- Calls ----

void Coordinator::OnCall(Time now, CallId id, const Call& call, CoordinatorOut& out) {
  if (Does(Fault::kReadAtFollower) && std::holds_alternative<ReadKey>(call)) {
    reads_[id] = call;
    return AnswerRead(now, id, out);
  }
  if (!replica_.serving() || unreadable_ || commands_.size() + reads_.size() >= options_.most_calls) {
    out.replies.emplace_back(id, NotHere());
    return;
  }
  ReplicaOut from;
  if (const auto command = CommandOf(call)) {
    Execute(now, id, *command, from, out);
  } else {
    AskToRead(now, id, call, from, out);
  }
  Settle(now, from, out);
}

void Coordinator::Execute(Time now, CallId id, const Command& command, ReplicaOut& from,
                          CoordinatorOut& out) {
  const std::uint64_t term = replica_.term();
  const auto index = replica_.Propose(now, Encode(command), from);
  if (!index) {
    out.replies.emplace_back(id, NotHere());
    return;
  }
  commands_[*index] = {id, term};
}

void Coordinator::AskToRead(Time now, CallId id, const Call& call, ReplicaOut& from, CoordinatorOut& out) {
  reads_[id] = call;
  if (Does(Fault::kReadWithoutAsking)) return AnswerRead(now, id, out);
  if (replica_.Read(now, id, from)) return;
  reads_.erase(id);
  out.replies.emplace_back(id, NotHere());
}

void Coordinator::Forget(CallId id) {
  reads_.erase(id);
  watches_.Remove(id);
}

NotServed Coordinator::NotHere() const {
  const auto leader = replica_.leader();
  const bool other = leader && leader->incarnation != replica_.self().incarnation;
  return {other ? leader->incarnation.node : std::string()};
}

// ---- What the replica tells ----

void Coordinator::Settle(Time now, ReplicaOut& from, CoordinatorOut& out) {
  if (from.snapshot && !Does(Fault::kSnapshotNotRestored)) TakeSnapshot(*from.snapshot, from.notes);
  for (const CommittedEntry& entry : from.committed) ApplyEntry(now, entry, out);
  if (from.lost_leadership) StopServing(out);
  if (from.became_leader) BeginToServe(now);
  for (const std::uint64_t id : from.reads) AnswerRead(now, id, out);
  for (const std::uint64_t id : from.reads_lost)
    if (reads_.erase(id) > 0) out.replies.emplace_back(id, NotHere());
  MaybeCompact(now, from);
  std::move(from.sends.begin(), from.sends.end(), std::back_inserter(out.sends));
  std::move(from.notes.begin(), from.notes.end(), std::back_inserter(out.notes));
  if (from.write) out.write = std::move(from.write);
  out.leader_changed = out.leader_changed || from.leader_changed || from.became_leader;
}

void Coordinator::TakeSnapshot(const std::string& snapshot, std::vector<std::string>& notes) {
  unreadable_ = !state_.Restore(snapshot);
  if (unreadable_) notes.push_back("can't read a snapshot: answers nothing");
}

void Coordinator::ApplyEntry(Time now, const CommittedEntry& entry, CoordinatorOut& out) {
  const auto command = DecodeCommand(entry.command);
  if (!command) return;  // of a later version: no replica of this one knows it
  const Result result = state_.Apply(entry.logged_time, *command);
  const auto* put = std::get_if<PutKey>(&*command);
  if (put != nullptr && std::holds_alternative<KeyPut>(result))
    AnswerWatchers(std::string(StateMachine::GroupOf(put->key)), out);
  std::visit(
      [&](const auto& each) {
        if constexpr (requires { each.lock; })
          if (replica_.serving()) NoteHold(now, each.lock);
      },
      *command);
  const auto waiting = commands_.find(entry.index);
  if (waiting == commands_.end()) return;
  const Waiting call = waiting->second;
  commands_.erase(waiting);
  if (call.term == entry.term) {
    out.replies.emplace_back(call.id, ReplyOf(result));
  } else {  // another leader's entry stands in its place
    out.replies.emplace_back(call.id, Unclear{});
  }
}

// ---- Holds ----

// The end of a hold as it is by now, in the state.
void Coordinator::NoteHold(Time now, const std::string& lock) {
  const auto held = state_.holds().find(lock);
  if (held == state_.holds().end()) {
    holdings_.erase(lock);
    return;
  }
  const StateMachine::Hold& hold = held->second;
  Holding& holding = holdings_[lock];
  if (holding.fence == hold.fence && holding.renewals == hold.renewals && holding.ends != Time{}) return;
  const bool same = holding.fence == hold.fence;
  Time ends = now + std::chrono::milliseconds(hold.hold_ms);
  if (Does(Fault::kHoldFromSending)) ends = now + std::chrono::milliseconds(hold.hold_ms / 2);
  if (Does(Fault::kRenewalNotNoted) && same) ends = holding.ends;
  holding = {hold.fence, hold.renewals, same ? std::max(holding.ends, ends) : ends, false};
}

// Nothing is known of when a hold began under an earlier leader, but that it was before now.
void Coordinator::BeginToServe(Time now) {
  holdings_.clear();
  for (const auto& [lock, hold] : state_.holds()) NoteHold(now, lock);
  if (Does(Fault::kNewLeaderDoesNotWait))
    for (auto& [lock, holding] : holdings_) holding.ends = now;
}

void Coordinator::ExpireHolds(Time now, ReplicaOut& from) {
  for (auto& [lock, holding] : holdings_) {
    if (now < holding.ends || holding.end_proposed) continue;
    const Command expire = ExpireLock{lock, holding.fence, holding.renewals};
    holding.end_proposed = replica_.Propose(now, Encode(expire), from).has_value();
  }
}

// Commands that wait may be committed by the next leader, or not; reads were only questions.
void Coordinator::StopServing(CoordinatorOut& out) {
  const Reply unclear = Does(Fault::kRefusedAfterProposal) ? Reply(NotHere()) : Reply(Unclear{});
  for (const auto& [index, waiting] : commands_) out.replies.emplace_back(waiting.id, unclear);
  commands_.clear();
  for (const auto& [id, call] : reads_) out.replies.emplace_back(id, NotHere());
  reads_.clear();
  for (const WatchTable::Waiter& waiter : watches_.TakeAll()) out.replies.emplace_back(waiter.id, NotHere());
  holdings_.clear();
}

// ---- Reads and watches ----

void Coordinator::AnswerRead(Time now, CallId id, CoordinatorOut& out) {
  const auto found = reads_.find(id);
  if (found == reads_.end()) return;
  const Call call = std::move(found->second);
  reads_.erase(found);
  if (const auto* read = std::get_if<ReadKey>(&call)) {
    const auto key = state_.Find(read->key);
    out.replies.emplace_back(id, key ? KeyRead{key->value, key->revision} : KeyRead{});
    return;
  }
  const auto& watch = std::get<WatchGroup>(call);
  const auto events = state_.EventsAfter(watch.group, watch.after, options_.watch_bytes);
  const bool at_once = watch.after == 0 || events.too_old || !events.events.empty() || watch.wait_ms == 0;
  if (at_once) return AnswerWatch(id, watch.group, watch.after, out);
  if (!watches_.Add(now, id, watch.group, watch.after, std::chrono::milliseconds(watch.wait_ms)))
    out.replies.emplace_back(id, Result(NoRoom{}));
}

void Coordinator::AnswerWatch(CallId id, const std::string& group, Revision after, CoordinatorOut& out) {
  auto events = state_.EventsAfter(group, after, options_.watch_bytes);
  if (events.too_old) {
    out.replies.emplace_back(id, HistoryGone{});
    return;
  }
  if (Does(Fault::kWatchTellsNewest) && events.events.size() > 1)
    events.events.erase(events.events.begin(), events.events.end() - 1);
  if (Does(Fault::kWatchEndsAhead)) ++events.revision;
  out.replies.emplace_back(id, Watched{std::move(events.events), events.revision});
}

void Coordinator::AnswerWatchers(const std::string& group, CoordinatorOut& out) {
  if (watches_.size() == 0) return;
  for (const WatchTable::Waiter& ready : watches_.TakeReady(group, state_.GroupRevision(group)))
    AnswerWatch(ready.id, group, ready.after, out);
}

void Coordinator::MaybeCompact(Time now, ReplicaOut& from) {
  if (unreadable_) return;
  const bool many = replica_.applied() - replica_.log_begin() >= options_.compact_after;
  if (!many && replica_.log_bytes() < options_.compact_bytes) return;
  if (replica_.applied() > replica_.log_begin())
    replica_.Compact(now, replica_.applied(), state_.Snapshot(), from);
}

}  // namespace curlewdoor::coordination
