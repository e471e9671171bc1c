// Calls, and what is read: which record is chosen, by the answers of a majority to this question.
#include <algorithm>
#include <bit>
#include <utility>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

using std::chrono::milliseconds;

namespace {
constexpr auto kLearnAgain = milliseconds(200);
}  // namespace

void Core::TickCalls(Time now, Out& out) {
  std::vector<std::uint64_t> late;
  std::vector<std::uint64_t> due;
  for (const Call& call : calls_) {
    if (now >= call.deadline) {
      late.push_back(call.key);
    } else if (call.phase != Phase::kBallot && now >= call.next) {
      due.push_back(call.key);
    }
  }
  for (std::uint64_t key : late) {
    const Call& call = *FindCall(key);
    if (call.internal) learn_next_ = now + kLearnAgain;
    Finish(key, call.put ? Outcome::kUncertain : Outcome::kNoMajority, out);
  }
  for (std::uint64_t key : due) AskAgain(now, *FindCall(key), out);
  const bool learns = std::any_of(calls_.begin(), calls_.end(), [](const Call& c) { return c.internal; });
  const bool owes = !learned_ || (leaving_ && state_.stamp > committed_stamp_);
  if (!member() || !owes || learns || now < learn_next_) return;
  Call call;
  call.internal = true;
  Begin(now, std::move(call), out);
}

// A majority has answered, and a ballot was at work: it may have ended by now, or its proposer has.
void Core::AskAgain(Time now, Call& call, Out& out) {
  if (call.phase == Phase::kFetch && call.target <= committed_stamp_) return Resolve(now, call.key, out);
  if (call.phase == Phase::kFetch) return SendFetch(now, call, out);
  if (IsQuorum(call.votes)) {
    if (++call.rounds > options_.read_rounds) {
      call.phase = Phase::kBallot;
      return;
    }
    call.request = next_id_++;
    call.votes = 0;
    call.told.clear();
  }
  SendQuery(now, call, out);
}

// Why a call can't begin; none: it can. Who knows that it is alone refuses at once.
std::optional<Outcome> Core::WhyNot(Time now) const {
  std::size_t calls = 0;
  for (const Call& call : calls_) calls += call.internal ? 0 : 1;
  if (calls >= kMostCalls) return Outcome::kFailed;
  const bool listened = learned_ || (asks_since_ && now - *asks_since_ > options_.heard_for);
  if (!member() || (listened && !majority(now))) return Outcome::kNoMajority;
  return std::nullopt;
}

void Core::Put(Time now, std::uint64_t call, Value value, Out& out) {
  auto refused = WhyNot(now);
  if (value.text.size() > kMostText || value.version == 0) refused = Outcome::kFailed;
  if (refused) {
    out.done.push_back({call, *refused, {}, {}});
  } else {
    Call begun;
    begun.call = call;
    begun.put = true;
    begun.digest = ContentDigest(value.text);
    begun.order = std::move(value);
    Begin(now, std::move(begun), out);
  }
  Settle(now, out);
}

void Core::Get(Time now, std::uint64_t call, Out& out) {
  if (const auto refused = WhyNot(now)) {
    out.done.push_back({call, *refused, {}, {}});
  } else {
    Call begun;
    begun.call = call;
    Begin(now, std::move(begun), out);
  }
  Settle(now, out);
}

void Core::Begin(Time now, Call call, Out& out) {
  call.key = next_id_++;
  call.deadline = now + options_.call_timeout;
  Restart(now, calls_.emplace_back(std::move(call)), out);
}

// From its beginning, by the voters as they are now. An order that seems to be decided already is only read.
void Core::Restart(Time now, Call& call, Out& out) {
  call.request = next_id_++;
  call.votes = 0;
  call.told.clear();
  call.rounds = 0;
  call.target = {};
  const bool is_new = call.put && Changes(Judge(*committed_, call.order.version, call.digest));
  call.phase = is_new ? Phase::kBallot : Phase::kQuery;
  if (!is_new) SendQuery(now, call, out);
}

void Core::SendQuery(Time now, Call& call, Out& out) {
  call.next = now + options_.again;
  for (std::size_t i = 0; i < state_.roster.members.size(); ++i) {
    if (!(call.votes >> i & 1)) Send(state_.roster.members[i], call.request, Query{committed_stamp_}, out);
  }
}

// To another one that holds it each time.
void Core::SendFetch(Time now, Call& call, Out& out) {
  call.next = now + options_.again;
  std::vector<const Member*> holders;
  for (const auto& [index, stamp] : call.told) {
    const Member& each = state_.roster.members[static_cast<std::size_t>(index)];
    if (stamp == call.target && each.life != self_.life) holders.push_back(&each);
  }
  if (holders.empty()) return;
  const std::size_t turn = static_cast<std::size_t>(call.rounds++) % holders.size();
  Send(*holders[turn], call.request, Fetch{call.target}, out);
}

// Told at once, whatever the disk does: the answer says what it holds.
void Core::OnQuery(Time now, const Message& m, const Query& query, Out& out) {
  Note(now, m.from, query.committed, out);
  Send(m.from, m.id, Told(), out);
}

void Core::OnQueryReply(Time now, const Message& m, const QueryReply& reply, Out& out) {
  Note(now, m.from, reply.committed, out);
  if (reply.installed == state_.roster.epoch) NoteHolding(m.from.life, reply.held);
  for (const auto& [id, sent] : pings_) {
    if (id != m.id) continue;
    if (Peer* peer = FindPeer(m.from.life)) peer->answered = std::max(peer->answered, sent);
    return;
  }
  const int index = Index(m.from.life);
  const auto call =
      std::find_if(calls_.begin(), calls_.end(), [&m](const Call& each) { return each.request == m.id; });
  if (index < 0 || call == calls_.end() || call->phase != Phase::kQuery) return;
  if (reply.sealed || reply.installed != state_.roster.epoch) return;
  call->votes |= 1u << index;
  call->told[index] = reply.held;
  Weigh(now, *call, out);
}

// What a majority holds. Records that an epoch begins with may differ, so only one of its own ballots counts
// as chosen by being held by a majority.
void Core::Weigh(Time now, Call& call, Out& out) {
  const bool one = Does(Options::Fault::kReadOne);
  if (!one && !IsQuorum(call.votes)) return;
  Stamp highest;
  for (const auto& [index, stamp] : call.told) highest = std::max(highest, stamp);
  std::uint32_t holders = 0;
  for (const auto& [index, stamp] : call.told) holders |= stamp == highest ? 1u << index : 0;
  const std::uint64_t key = call.key;
  if (one || highest <= committed_stamp_) return Resolve(now, key, out);
  if (highest.epoch == state_.roster.epoch && IsQuorum(holders)) {
    if (highest == state_.stamp) {
      Commit(held_, highest, out);
      return Resolve(now, key, out);
    }
    call.phase = Phase::kFetch;
    call.target = highest;
    call.rounds = 0;
    return SendFetch(now, call, out);
  }
  if (options_.read_rounds == 0) {
    call.phase = Phase::kBallot;
  } else {
    call.next = std::min(call.next, now + options_.read_pause);
  }
}

// committed() is what a majority has after the call began. Who has learned asks at once who answers: until a
// majority has, nothing else is done by it.
void Core::Resolve(Time now, std::uint64_t key, Out& out) {
  if (!std::exchange(learned_, true)) Ping(now, out);
  Call& call = *FindCall(key);
  if (!call.put) return Finish(key, Outcome::kKept, out);
  const Verdict verdict = Judge(*committed_, call.order.version, call.digest);
  if (!Changes(verdict)) return Answer(key, verdict, out);
  call.phase = Phase::kBallot;
}

void Core::Answer(std::uint64_t key, Verdict verdict, Out& out) {
  const Call* call = FindCall(key);
  if (call == nullptr) return;  // its time was up
  if (verdict == Verdict::kForgotten) return Finish(key, Outcome::kUncertain, out);
  if (verdict == Verdict::kConflict && !Does(Options::Fault::kConfirmSecond))
    return Finish(key, Outcome::kConflict, out);
  const bool in_force = call->order.version == committed_->value.version;
  Finish(key, in_force ? Outcome::kKept : Outcome::kOlder, out);
}

Core::Call* Core::FindCall(std::uint64_t key) {
  const auto found =
      std::find_if(calls_.begin(), calls_.end(), [key](const Call& call) { return call.key == key; });
  return found == calls_.end() ? nullptr : &*found;
}

void Core::Finish(std::uint64_t key, Outcome outcome, Out& out) {
  Call* call = FindCall(key);
  const bool decided =
      outcome == Outcome::kKept || outcome == Outcome::kOlder || outcome == Outcome::kConflict;
  if (!call->internal) {
    Done& done = out.done.emplace_back();
    done.call = call->call;
    done.outcome = outcome;
    if (decided) done.value = committed_->value, done.digest = committed_->digest;
  }
  calls_.erase(calls_.begin() + (call - calls_.data()));
}

}  // namespace curlewdoor::agreement
