#include "system/coordination_host.hpp"

#include <algorithm>

#include "events/events.hpp"

namespace curlewdoor::system {

using coordination::CoordinatorOutput;
using events::Event;
using events::Say;

CoordinationHost::CoordinationHost(struct ev_loop* loop, Owner& owner, agreement::Member self,
                                   coordination::ReplicaState from_disk,
                                   const coordination::CoordinatorOptions& options, std::uint64_t seed)
    : loop_(loop),
      owner_(owner),
      coordinator_(std::move(self), std::move(from_disk), options, seed),
      timer_(loop, [this](int) { Tick(); }) {}

void CoordinationHost::SetRoster(const agreement::Membership& roster) {
  if (roster.epoch == 0) return;
  CoordinatorOutput out;
  const auto& self = coordinator_.replica().self();
  const bool member =
      std::any_of(roster.members.begin(), roster.members.end(),
                  [&](const agreement::Member& each) { return each.incarnation == self.incarnation; });
  if (roster.epoch == 1 && member) coordinator_.Bootstrap(Now(), roster.members, out);
  coordinator_.SetTargetVoters(Now(), roster.epoch, roster.members, out);
  Execute(std::move(out));
}

void CoordinationHost::OnBytes(std::string_view bytes) {
  const auto message = coordination::DecodeReplicaMessage(bytes);
  if (!message) return Say(Event::kMessageRefused, "of the coordination log");
  CoordinatorOutput out;
  coordinator_.OnMessage(Now(), *message, out);
  Execute(std::move(out));
}

void CoordinationHost::OnWritten(bool ok) {
  CoordinatorOutput out;
  coordinator_.OnWritten(Now(), ok, out);
  Execute(std::move(out));
}

void CoordinationHost::Tick() {
  CoordinatorOutput out;
  coordinator_.Tick(Now(), out);
  Execute(std::move(out));
}

void CoordinationHost::Leave() {
  CoordinatorOutput out;
  coordinator_.BeginShutdown(Now(), out);
  Execute(std::move(out));
}

void CoordinationHost::OnCall(std::uint64_t stream, std::uint64_t number, const coordination::Call& call,
                              coordination::ProvenRenewals proven) {
  const coordination::CallId id = next_id_++;
  const Origin origin{stream, number};
  origins_[id] = origin;
  ids_.emplace(origin, id);
  CoordinatorOutput out;
  coordinator_.OnCall(Now(), id, call, proven, out);
  Execute(std::move(out));
}

void CoordinationHost::Forget(std::uint64_t stream, std::uint64_t number) {
  const auto [begin, end] = ids_.equal_range({stream, number});
  for (auto it = begin; it != end; ++it) {
    coordinator_.Forget(it->second);
    origins_.erase(it->second);
  }
  ids_.erase(begin, end);
}

void CoordinationHost::OnStreamDown(std::uint64_t stream) {
  const auto begin = ids_.lower_bound({stream, 0});
  auto it = begin;
  for (; it != ids_.end() && it->first.stream == stream; ++it) {
    coordinator_.Forget(it->second);
    origins_.erase(it->second);
  }
  ids_.erase(begin, it);
}

void CoordinationHost::Execute(CoordinatorOutput out) {
  for (auto& sending : out.messages) owner_.SendToReplica(sending.to, coordination::Encode(sending.message));
  for (const std::string& note : out.log_lines) Say(Event::kCoordinationNote, note);
  for (auto& [id, reply] : out.replies) Reply(id, std::move(reply));
  const bool written = !out.write || owner_.WriteLog(std::move(*out.write));
  if (out.leader_changed && leads()) {
    const auto& replica = coordinator_.replica();
    owner_.OnCoordinationLeader(replica.term(), replica.self().incarnation.node);
  }
  if (!written) return OnWritten(false);
  SetTimer();
}

void CoordinationHost::Reply(coordination::CallId id, coordination::Reply reply) {
  const auto found = origins_.find(id);
  if (found == origins_.end()) return;
  const Origin origin = found->second;
  origins_.erase(found);
  const auto [begin, end] = ids_.equal_range(origin);
  ids_.erase(std::find_if(begin, end, [id](const auto& each) { return each.second == id; }));
  if (origin.stream == 0) return owner_.OnCoordinationReply(origin.number, std::move(reply));
  owner_.SendTo(origin.stream, CoordinationReply{origin.number, coordination::Encode(reply)});
}

void CoordinationHost::SetTimer() {
  const auto due = coordinator_.NextDue();
  if (!due) return timer_.Stop();
  ev_now_update(loop_);
  timer_.StartIn(std::max(Steady::duration::zero(), *due - Now()));
}

}  // namespace curlewdoor::system
