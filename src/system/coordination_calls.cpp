#include "system/coordination_calls.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace curlewdoor::system {
namespace {

using coordination::Call;
using coordination::NotServed;
using coordination::Reply;

bool IsCommand(const Call& call) {
  return !std::holds_alternative<coordination::ReadKey>(call) &&
         !std::holds_alternative<coordination::WatchGroup>(call);
}

std::chrono::milliseconds WaitOf(const Call& call) {
  const auto* watch = std::get_if<coordination::WatchGroup>(&call);
  return std::chrono::milliseconds(watch != nullptr ? watch->wait_ms : 0);
}

bool SaysNoRoom(const Reply& reply) {
  const auto* result = std::get_if<coordination::CommandResult>(&reply);
  return result != nullptr && std::holds_alternative<coordination::LimitReached>(*result);
}

}  // namespace

void CoordinationCalls::Begin(Time now, std::uint64_t number, Call call, Caller caller) {
  if (waiting_.size() >= options_.most_calls) return caller.answer({End::kNoRoom, std::nullopt});
  Waiting& waiting = waiting_[number];
  waiting.ends = now + options_.ends + WaitOf(call);
  waiting.pause = options_.all_anew;
  waiting.call = std::move(call);
  waiting.caller = std::move(caller);
  AskNext(now, number);
}

// The leader first, then the others in the roster's order; when all have been asked, all once more.
void CoordinationCalls::AskNext(Time now, std::uint64_t number) {
  Waiting& waiting = waiting_.at(number);
  waiting.asking = 0;
  const auto members = owner_.ReachedMembers();
  const auto asked = [&](const Candidate& each) {
    return std::find(waiting.asked.begin(), waiting.asked.end(), each.name) != waiting.asked.end();
  };
  auto next = std::find_if(members.begin(), members.end(),
                           [&](const Candidate& each) { return each.name == leader_ && !asked(each); });
  if (next == members.end())
    next = std::find_if(members.begin(), members.end(), [&](const Candidate& each) { return !asked(each); });
  // Cut off: another gateway may do better, and nothing was done.
  if (members.empty() && NothingIsOut(waiting)) return Finish(number, {End::kNothingDone, std::nullopt});
  if (next == members.end()) {
    waiting.asked.clear();
    waiting.next = now + waiting.pause;
    waiting.pause = std::min(2 * waiting.pause, options_.next_member);
    return;
  }
  Ask(now, number, *next);
}

void CoordinationCalls::Ask(Time now, std::uint64_t number, const Candidate& member) {
  Waiting& waiting = waiting_.at(number);
  if (now >= waiting.ends) return FinishLate(number);  // its caller has given up, and may have gone on
  waiting.asked.push_back(member.name);
  waiting.asking = member.stream;
  waiting.out.push_back(member.stream);
  // What is left of its wait, where it has waited elsewhere.
  if (auto* watch = std::get_if<coordination::WatchGroup>(&waiting.call)) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(waiting.ends - options_.ends - now);
    watch->wait_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, left.count()));
  }
  waiting.next = now + options_.next_member + WaitOf(waiting.call);
  if (member.here())
    return owner_.CallHere(number, coordination::Call(waiting.call), waiting.proven_renewals);
  owner_.SendTo(member.stream, CoordinationCall{number, coordination::Encode(waiting.call),
                                                static_cast<std::int64_t>(waiting.proven_renewals)});
}

void CoordinationCalls::OnReply(Time now, std::uint64_t stream, std::uint64_t number, Reply reply) {
  const auto found = waiting_.find(number);
  if (found == waiting_.end()) return;
  Waiting& waiting = found->second;
  const auto out = CopyOn(waiting, stream);
  if (out == waiting.out.end()) return;
  if (const auto* not_served = std::get_if<NotServed>(&reply)) {
    waiting.out.erase(out);
    if (Does(Options::Fault::kOneRefusalForAll)) waiting.out.clear();
    if (!not_served->leader.empty() && leader_ != not_served->leader) leader_ = not_served->leader;
    if (waiting.asking == stream) AskNext(now, number);
    return;
  }
  if (const auto* unproven = std::get_if<coordination::ReleaseUnproven>(&reply)) {
    waiting.out.erase(out);
    if (waiting.asking == stream) OnReleaseUnproven(now, number, unproven->renewals);
    return;
  }
  if (std::holds_alternative<coordination::OutcomeUnknown>(reply)) {
    // It stays in `out`: the command may take effect there. Whoever leads next finds out by a second one.
    if (Does(Options::Fault::kUnclearIsNothingDone)) waiting.out.erase(out);
    if (waiting.asking == stream) AskNext(now, number);
    return;
  }
  if (SaysNoRoom(reply)) {
    waiting.out.erase(out);
    return Finish(number, {NothingIsOut(waiting) ? End::kNoRoom : End::kUnclear, std::nullopt});
  }
  waiting.out.erase(out);  // it knows that it has replied
  Finish(number, {End::kReply, std::move(reply)});
}

void CoordinationCalls::OnReplyHere(Time now, std::uint64_t number, Reply reply) {
  OnReply(now, 0, number, std::move(reply));
}

// The member that replied is asked again. If the caller cannot be seen to wait, that is later and without a
// proof.
void CoordinationCalls::OnReleaseUnproven(Time now, std::uint64_t number, std::uint64_t renewals) {
  Waiting& waiting = waiting_.at(number);
  waiting.asked.clear();
  if (waiting.caller.waits()) {
    waiting.proven_renewals = std::max(waiting.proven_renewals, renewals);
    return AskNext(now, number);
  }
  waiting.asking = 0;
  waiting.next = now + waiting.pause;
  waiting.pause = std::min(2 * waiting.pause, options_.next_member);
}

bool CoordinationCalls::NothingIsOut(const Waiting& waiting) const {
  return waiting.out.empty() || !IsCommand(waiting.call) || Does(Options::Fault::kRefusesWhatIsOut);
}

std::vector<std::uint64_t>::iterator CoordinationCalls::CopyOn(Waiting& waiting, std::uint64_t stream) const {
  const auto copy = std::find(waiting.out.begin(), waiting.out.end(), stream);
  const bool any = copy == waiting.out.end() && Does(Options::Fault::kTakesRepliesOfAnyStream);
  return any ? waiting.out.begin() : copy;
}

void CoordinationCalls::Finish(std::uint64_t number, Answer answer) {
  const auto found = waiting_.find(number);
  const OnAnswer on_answer = std::move(found->second.caller.answer);
  const std::vector<std::uint64_t> out = std::move(found->second.out);
  waiting_.erase(found);
  for (const std::uint64_t stream : out) TellForgotten(stream, number);
  unclear_ += answer.end == End::kUnclear;
  nothing_done_ += answer.end == End::kNothingDone || answer.end == End::kNoRoom;
  on_answer(std::move(answer));
}

void CoordinationCalls::FinishLate(std::uint64_t number) {
  Finish(number, {NothingIsOut(waiting_.at(number)) ? End::kNothingDone : End::kUnclear, std::nullopt});
}

void CoordinationCalls::TellForgotten(std::uint64_t stream, std::uint64_t number) {
  if (stream == 0) return owner_.ForgetHere(number);
  owner_.SendTo(stream, CoordinationForget{number});
}

// What went out on a stream that broke may have arrived.
void CoordinationCalls::OnStreamDown(Time now, std::uint64_t stream) {
  std::vector<std::uint64_t> lost;
  for (const auto& [number, waiting] : waiting_)
    if (waiting.asking == stream) lost.push_back(number);
  if (Does(Options::Fault::kBrokenStreamIsNothingDone))
    for (auto& [number, waiting] : waiting_) std::erase(waiting.out, stream);
  // An answer that comes at once may end others of them.
  for (const std::uint64_t number : lost)
    if (waiting_.contains(number)) AskNext(now, number);
}

// Calls that wait elsewhere for this one's election go to it at once.
void CoordinationCalls::OnLeader(Time now, std::uint64_t term, std::string name) {
  if (term < leader_term_ || (term == leader_term_ && name == leader_)) return;
  leader_term_ = term;
  leader_ = std::move(name);
  const auto members = owner_.ReachedMembers();
  const auto leader = std::find_if(members.begin(), members.end(),
                                   [this](const Candidate& each) { return each.name == leader_; });
  if (leader == members.end()) return;
  std::vector<std::uint64_t> others;
  for (const auto& [number, waiting] : waiting_)
    if (waiting.asked.empty() || waiting.asking != leader->stream) others.push_back(number);
  for (const std::uint64_t number : others)
    if (waiting_.contains(number)) Ask(now, number, *leader);
}

void CoordinationCalls::Forget(std::uint64_t number) {
  const auto found = waiting_.find(number);
  if (found == waiting_.end()) return;
  const std::vector<std::uint64_t> out = std::move(found->second.out);
  waiting_.erase(found);
  for (const std::uint64_t stream : out) TellForgotten(stream, number);
}

void CoordinationCalls::EndWatches() {
  std::vector<std::uint64_t> watches;
  for (const auto& [number, waiting] : waiting_)
    if (std::holds_alternative<coordination::WatchGroup>(waiting.call)) watches.push_back(number);
  for (const std::uint64_t number : watches) FinishLate(number);
}

void CoordinationCalls::Tick(Time now) {
  std::vector<std::uint64_t> over, due;
  for (const auto& [number, waiting] : waiting_) {
    if (now >= waiting.ends) {
      over.push_back(number);
    } else if (now >= waiting.next) {
      due.push_back(number);
    }
  }
  for (const std::uint64_t number : due)
    if (waiting_.contains(number)) AskNext(now, number);
  for (const std::uint64_t number : over)
    if (waiting_.contains(number)) FinishLate(number);
}

}  // namespace curlewdoor::system
