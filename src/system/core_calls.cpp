#include "system/core_calls.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::system {
namespace {

constexpr int kUnavailable = 503;

}  // namespace

void CoreCalls::Begin(Time now, std::uint64_t number, Call call) {
  const std::size_t size = call.text.size();
  const bool room = waiting_.size() < options_.most_calls && TextHeld() + size <= options_.most_text;
  if (!room) return call.answer(kUnavailable, {});
  Waiting& waiting = waiting_[number];
  waiting.call = std::move(call);
  waiting.text_size = size;
  waiting.ends = now + options_.ends;
  const auto voters = owner_.ReachedVoters();
  const bool voter = std::any_of(voters.begin(), voters.end(), [](const Voter& each) { return each.here(); });
  const bool by_itself = waiting.call.from == From::kGateway || waiting.call.kind == Kind::kRead;
  if (voter && (by_itself || !owner_.KnowsMajority())) return AskHere(number, waiting, true);
  if (waiting.call.from == From::kGateway) return End(number, kUnavailable, {});
  AskNext(now, number, waiting);
}

std::size_t CoreCalls::TextHeld() const {
  std::size_t held = 0;
  for (const auto& [number, waiting] : waiting_) held += waiting.text_size;
  return held;
}

// The first voter that wasn't asked yet; when all were, all once more.
void CoreCalls::AskNext(Time now, std::uint64_t number, Waiting& waiting) {
  const auto voters = owner_.ReachedVoters();
  const auto next = std::find_if(voters.begin(), voters.end(), [&](const Voter& voter) {
    return std::find(waiting.asked.begin(), waiting.asked.end(), voter.address) == waiting.asked.end();
  });
  if (next == voters.end()) {
    waiting.asked.clear();
    waiting.stream = 0;
    waiting.next = now + options_.all_anew;
    return;
  }
  waiting.next = now + options_.next_voter;
  waiting.asked.push_back(next->address);
  waiting.stream = next->stream;
  if (next->here()) return AskHere(number, waiting, false);
  waiting.streams.push_back(next->stream);
  const bool order = waiting.call.kind == Kind::kOrder;
  owner_.SendTo(next->stream,
                order ? Message(Put{number, waiting.call.version, waiting.call.text}) : Message(Get{number}));
}

// `last`: nobody else will be asked.
void CoreCalls::AskHere(std::uint64_t number, Waiting& waiting, bool last) {
  if (last) waiting.next = waiting.ends;
  if (waiting.call.kind == Kind::kRead) return owner_.GetHere(number);
  const std::uint64_t version = waiting.call.version;
  std::string text = last ? std::move(waiting.call.text) : waiting.call.text;
  owner_.PutHere(number, version, std::move(text));
}

void CoreCalls::OnAnswered(Time now, std::uint64_t stream, std::uint64_t number, int status,
                           std::string body) {
  const auto it = waiting_.find(number);
  if (it == waiting_.end()) return;
  Waiting& waiting = it->second;
  const auto& streams = waiting.streams;
  if (std::find(streams.begin(), streams.end(), stream) == streams.end()) return;
  if (status != kUnavailable) return End(number, status, std::move(body));
  if (waiting.stream == stream) AskNext(now, number, waiting);
}

void CoreCalls::OnAnsweredHere(Time now, std::uint64_t number, int status, std::string body) {
  const auto it = waiting_.find(number);
  if (it == waiting_.end()) return;
  Waiting& waiting = it->second;
  const bool others = waiting.next < waiting.ends;
  if (status != kUnavailable || !others) return End(number, status, std::move(body));
  if (waiting.stream == 0) waiting.next = now;  // by the next Tick(): this may be called from AskNext()
}

void CoreCalls::OnStreamDown(Time now, std::uint64_t stream) {
  for (auto& [number, waiting] : waiting_)
    if (waiting.stream == stream) waiting.next = now;
}

void CoreCalls::Tick(Time now) {
  std::vector<std::uint64_t> over, due;
  for (const auto& [number, waiting] : waiting_) {
    if (now >= waiting.ends) {
      over.push_back(number);
    } else if (now >= waiting.next) {
      due.push_back(number);
    }
  }
  for (const std::uint64_t number : due)
    if (const auto it = waiting_.find(number); it != waiting_.end()) AskNext(now, number, it->second);
  for (const std::uint64_t number : over) End(number, kUnavailable, {});
}

void CoreCalls::End(std::uint64_t number, int status, std::string body) {
  const auto it = waiting_.find(number);
  if (it == waiting_.end()) return;
  const Answer answer = std::move(it->second.call.answer);
  waiting_.erase(it);
  answer(status, std::move(body));
}

const CoreCalls::Call* CoreCalls::Find(std::uint64_t number) const {
  const auto it = waiting_.find(number);
  return it != waiting_.end() ? &it->second.call : nullptr;
}

}  // namespace curlewdoor::system
