// Node: calls of hosts and operators, run here or passed on to a core member.
#include <algorithm>
#include <utility>

#include "system/node.hpp"
#include "system/node_limits.hpp"

namespace curlewdoor::system {

void Node::OnCall(CallDoor::Call call) {
  try {
    if (const auto report = DecodeReport(call.method, call.path))
      return std::visit([&](const auto& each) { Run(call.id, each); }, *report);
    auto command = directory::Decode(call.method, call.path, std::move(call.body));
    std::visit([&](auto& each) { Run(call.id, each); }, command);
  } catch (const directory::CallError& error) {
    Say(Event::kBeatRefused, call.path + ": " + error.text);
    control_.Reply(call.id, error.status, error.text + "\n", "text/plain");
  }
}

void Node::ReplyBeat(RequestId id) { control_.Reply(id, 200, "{}", "application/json"); }

void Node::Run(RequestId id, const directory::Beat& beat) {
  // The host has given up waiting for an answer long ago, and may have left since.
  if (!beat.draining && pause_watch_.InputMayBeOld(Now())) return control_.Reply(id, 503);
  const auto* known = directory_.Find(beat.id);
  const bool news = directory_.Apply(Now(), beat) || known == nullptr;
  if (!news && !beat.draining) {
    if (refreshed_.size() < kMostRefreshed) refreshed_.emplace_back(beat.id, beat.sequence);
    return ReplyBeat(id);
  }
  Replicate(id, beat.id, beat.draining);
}

void Node::Run(RequestId id, const directory::Leave& leave) {
  directory_.Apply(Now(), leave);
  Replicate(id, leave.id, true);
}

void Node::Run(RequestId id, directory::PutConfig& put) {
  Pending pending;
  try {
    checked_ = policy::Policy::Read(put.text);
    pending.version = checked_->version();
  } catch (const policy::PolicyError& error) {
    Say(Event::kConfigRefused, error.what());
    return control_.Reply(id, 400, std::string(error.what()) + "\n", "text/plain");
  }
  Say(Event::kConfigTaken, "version " + std::to_string(pending.version));
  pending.is_put = true;
  pending.text = std::move(put.text);
  pending.ends = Now() + kCallEnds;
  pending.answer = AnswerCall(id);
  Ask(std::move(pending));
}

void Node::Run(RequestId id, const directory::ReadConfig&) {
  Pending pending;
  pending.ends = Now() + kCallEnds;
  pending.answer = AnswerCall(id);
  Ask(std::move(pending));
}

void Node::Ask(Pending pending) {
  pending.size = pending.text.size();
  std::size_t held = pending.size;
  for (const auto& [number, other] : pending_) held += other.size;
  if (pending_.size() >= kMostPending || held > kMostPendingText) return pending.answer(503, {});
  const std::uint64_t number = next_number_++;
  Pending& kept = pending_[number] = std::move(pending);
  if (core_member()) {
    kept.next = kept.ends;
    agreement::Out out;
    if (kept.is_put) {
      core_->Put(Now(), number, {kept.version, std::move(kept.text)}, out);
    } else {
      core_->Get(Now(), number, out);
    }
    return CarryCore(std::move(out));
  }
  PassOn(number, kept);
}

// To a core member that wasn't asked yet; when all were, to the first again.
void Node::PassOn(std::uint64_t number, Pending& pending) {
  Link::Stream* next = nullptr;
  link_.ForEach([&](Link::Stream& stream) {
    const bool member = std::any_of(members_.begin(), members_.end(),
                                    [&](const CoreMember& each) { return each.address == stream.to(); });
    const bool asked =
        std::find(pending.asked.begin(), pending.asked.end(), stream.to()) != pending.asked.end();
    if (stream.dialled() && member && !asked && next == nullptr) next = &stream;
  });
  pending.next = Now() + kPassAgain;
  if (next == nullptr) {
    pending.asked.clear();
    pending.stream = 0;
    pending.next = Now() + kPassAgain / 2;
    return;
  }
  pending.asked.push_back(next->to());
  pending.stream = next->number;
  pending.streams.push_back(next->number);
  next->Send(pending.is_put ? Encode(Put{number, pending.version, pending.text}) : Encode(Get{number}));
}

void Node::Answer(std::uint64_t number, int status, std::string body) {
  const auto it = pending_.find(number);
  if (it == pending_.end()) return;
  const auto answer = std::move(it->second.answer);
  if (it->second.is_put) checked_.reset();
  pending_.erase(it);
  answer(status, std::move(body));
}

}  // namespace curlewdoor::system
