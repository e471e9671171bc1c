// Puts and gets, and reads of the register: which record is chosen, judging by the replies of a majority.
#include <algorithm>
#include <bit>
#include <utility>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

using std::chrono::milliseconds;

namespace {
constexpr auto kLearnRetryInterval = milliseconds(200);
}  // namespace

void Core::TickCalls(Time now, CoreOutput& out) {
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> due;
  for (const Call& call : calls_) {
    if (now >= call.deadline) {
      expired.push_back(call.key);
    } else if (call.phase != Phase::kBallot && now >= call.next_send_at) {
      due.push_back(call.key);
    }
  }
  for (std::uint64_t key : expired) {
    const Call& call = *FindCall(key);
    if (call.internal) next_learn_at_ = now + kLearnRetryInterval;
    FinishCall(key, call.put ? CallOutcome::kUncertain : CallOutcome::kNoMajority, out);
  }
  for (std::uint64_t key : due) RetryCall(now, *FindCall(key), out);
  const bool is_learning =
      std::any_of(calls_.begin(), calls_.end(), [](const Call& c) { return c.internal; });
  const bool must_learn = !learned_ || (leaving_ && state_.stamp > committed_stamp_);
  if (!member() || !must_learn || is_learning || now < next_learn_at_) return;
  Call call;
  call.internal = true;
  StartCall(now, std::move(call), out);
}

// Sends the request of a call again. If a majority had replied while a ballot was in progress, the read
// starts over: that ballot, or its proposer, may have ended by now.
void Core::RetryCall(Time now, Call& call, CoreOutput& out) {
  if (call.phase == Phase::kFetch && call.target <= committed_stamp_) return ResolveCall(now, call.key, out);
  if (call.phase == Phase::kFetch) return SendRecordRequest(now, call, out);
  if (IsQuorum(call.votes)) {
    if (++call.rounds > options_.max_read_rounds) {
      call.phase = Phase::kBallot;
      return;
    }
    call.request = next_id_++;
    call.votes = 0;
    call.reported.clear();
  }
  SendStatusQuery(now, call, out);
}

// Why a call cannot start; nullopt if it can. A process that knows that it has no majority rejects calls at
// once.
std::optional<CallOutcome> Core::RejectionReason(Time now) const {
  std::size_t calls = 0;
  for (const Call& call : calls_) calls += call.internal ? 0 : 1;
  if (calls >= kMaxCalls) return CallOutcome::kFailed;
  const bool has_listened = learned_ || (asking_since_ && now - *asking_since_ > options_.response_window);
  if (!member() || (has_listened && !majority(now))) return CallOutcome::kNoMajority;
  return std::nullopt;
}

void Core::Put(Time now, std::uint64_t call, ConfigValue value, CoreOutput& out) {
  auto rejection = RejectionReason(now);
  if (value.text.size() > kMaxTextBytes || value.version == 0) rejection = CallOutcome::kFailed;
  if (rejection) {
    out.results.push_back({call, *rejection, {}, {}});
  } else {
    Call new_call;
    new_call.call = call;
    new_call.put = true;
    new_call.digest = ContentDigest(value.text);
    new_call.put_value = std::move(value);
    StartCall(now, std::move(new_call), out);
  }
  ProcessPending(now, out);
}

void Core::Get(Time now, std::uint64_t call, CoreOutput& out) {
  if (const auto rejection = RejectionReason(now)) {
    out.results.push_back({call, *rejection, {}, {}});
  } else {
    Call new_call;
    new_call.call = call;
    StartCall(now, std::move(new_call), out);
  }
  ProcessPending(now, out);
}

void Core::StartCall(Time now, Call call, CoreOutput& out) {
  call.key = next_id_++;
  call.deadline = now + options_.call_timeout;
  RestartCall(now, calls_.emplace_back(std::move(call)), out);
}

// Starts a call from the beginning, with the current voters. A put that appears to be decided already only
// reads.
void Core::RestartCall(Time now, Call& call, CoreOutput& out) {
  call.request = next_id_++;
  call.votes = 0;
  call.reported.clear();
  call.rounds = 0;
  call.target = {};
  const bool is_new = call.put && AddsOutcome(DecidePut(*committed_, call.put_value.version, call.digest));
  call.phase = is_new ? Phase::kBallot : Phase::kQuery;
  if (!is_new) SendStatusQuery(now, call, out);
}

void Core::SendStatusQuery(Time now, Call& call, CoreOutput& out) {
  call.next_send_at = now + options_.resend_interval;
  for (std::size_t i = 0; i < state_.membership.members.size(); ++i) {
    if (!(call.votes >> i & 1))
      Send(state_.membership.members[i], call.request, StatusQuery{committed_stamp_}, out);
  }
}

// Rotates over the members that hold the record.
void Core::SendRecordRequest(Time now, Call& call, CoreOutput& out) {
  call.next_send_at = now + options_.resend_interval;
  std::vector<const Member*> holders;
  for (const auto& [index, stamp] : call.reported) {
    const Member& each = state_.membership.members[static_cast<std::size_t>(index)];
    if (stamp == call.target && each.incarnation != self_.incarnation) holders.push_back(&each);
  }
  if (holders.empty()) return;
  const std::size_t turn = static_cast<std::size_t>(call.rounds++) % holders.size();
  Send(*holders[turn], call.request, RecordRequest{call.target}, out);
}

// Replies at once, without waiting for the disk: the reply states what is already on disk.
void Core::OnStatusQuery(Time now, const CoreMessage& m, const StatusQuery& query, CoreOutput& out) {
  OnCommittedReport(now, m.from, query.committed, out);
  Send(m.from, m.id, MakeStatusReply(), out);
}

void Core::OnStatusReply(Time now, const CoreMessage& m, const StatusReply& reply, CoreOutput& out) {
  OnCommittedReport(now, m.from, reply.committed, out);
  if (reply.installed_epoch == state_.membership.epoch) UpdateReportedRecord(m.from.incarnation, reply.held);
  for (const auto& [id, sent] : pings_) {
    if (id != m.id) continue;
    if (Peer* peer = FindPeer(m.from.incarnation)) peer->last_answered = std::max(peer->last_answered, sent);
    return;
  }
  const int index = MemberIndex(m.from.incarnation);
  const auto call =
      std::find_if(calls_.begin(), calls_.end(), [&m](const Call& each) { return each.request == m.id; });
  if (index < 0 || call == calls_.end() || call->phase != Phase::kQuery) return;
  if (reply.sealed || reply.installed_epoch != state_.membership.epoch) return;
  call->votes |= 1u << index;
  call->reported[index] = reply.held;
  EvaluateStatusReplies(now, *call, out);
}

// Decides by the replies of a quorum. Members may enter an epoch with different records, so a record counts
// as chosen by being held by a quorum only if a ballot of this epoch proposed it.
void Core::EvaluateStatusReplies(Time now, Call& call, CoreOutput& out) {
  const bool one = HasFault(CoreOptions::Fault::kReadWithoutQuorum);
  if (!one && !IsQuorum(call.votes)) return;
  Stamp highest;
  for (const auto& [index, stamp] : call.reported) highest = std::max(highest, stamp);
  std::uint32_t holders = 0;
  for (const auto& [index, stamp] : call.reported) holders |= stamp == highest ? 1u << index : 0;
  const std::uint64_t key = call.key;
  if (one || highest <= committed_stamp_) return ResolveCall(now, key, out);
  if (highest.epoch == state_.membership.epoch && IsQuorum(holders)) {
    if (highest == state_.stamp) {
      Commit(held_record_, highest, out);
      return ResolveCall(now, key, out);
    }
    call.phase = Phase::kFetch;
    call.target = highest;
    call.rounds = 0;
    return SendRecordRequest(now, call, out);
  }
  if (options_.max_read_rounds == 0) {
    call.phase = Phase::kBallot;
  } else {
    call.next_send_at = std::min(call.next_send_at, now + options_.read_retry_interval);
  }
}

// committed() is now at least as new as when the call began. A process that has just learned pings at once:
// it does nothing else in this epoch until a majority has replied.
void Core::ResolveCall(Time now, std::uint64_t key, CoreOutput& out) {
  if (!std::exchange(learned_, true)) Ping(now, out);
  Call& call = *FindCall(key);
  if (!call.put) return FinishCall(key, CallOutcome::kInForce, out);
  const PutDecision decision = DecidePut(*committed_, call.put_value.version, call.digest);
  if (!AddsOutcome(decision)) return AnswerPut(key, decision, out);
  call.phase = Phase::kBallot;
}

void Core::AnswerPut(std::uint64_t key, PutDecision decision, CoreOutput& out) {
  const Call* call = FindCall(key);
  if (call == nullptr) return;  // it timed out
  if (decision == PutDecision::kUnknown) return FinishCall(key, CallOutcome::kUncertain, out);
  if (decision == PutDecision::kConflict && !HasFault(CoreOptions::Fault::kConfirmConflictingPut))
    return FinishCall(key, CallOutcome::kConflict, out);
  const bool in_force = call->put_value.version == committed_->value.version;
  FinishCall(key, in_force ? CallOutcome::kInForce : CallOutcome::kSuperseded, out);
}

Core::Call* Core::FindCall(std::uint64_t key) {
  const auto found =
      std::find_if(calls_.begin(), calls_.end(), [key](const Call& call) { return call.key == key; });
  return found == calls_.end() ? nullptr : &*found;
}

void Core::FinishCall(std::uint64_t key, CallOutcome outcome, CoreOutput& out) {
  Call* call = FindCall(key);
  const bool decided = outcome == CallOutcome::kInForce || outcome == CallOutcome::kSuperseded ||
                       outcome == CallOutcome::kConflict;
  if (!call->internal) {
    CallResult& done = out.results.emplace_back();
    done.call = call->call;
    done.outcome = outcome;
    if (decided) done.value = committed_->value, done.digest = committed_->digest;
  }
  calls_.erase(calls_.begin() + (call - calls_.data()));
}

}  // namespace curlewdoor::agreement
