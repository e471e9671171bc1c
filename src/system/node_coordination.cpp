// Node: calls of applications, and this process's part in the log of locks, numbers and keys.
#include <utility>

#include "system/coordination_http.hpp"
#include "system/node.hpp"
#include "system/node_limits.hpp"

namespace curlewdoor::system {

void Node::OpenCoordination(coordination::ReplicaState from_disk) {
  coordination::CoordinatorOptions options;
  options.limits.history =
      std::chrono::duration_cast<coordination::LoggedTime>(settings_.bounds.history * kHistoryFactor);
  CoordinationHost::Owner& owner = *this;
  coordination_.emplace(loop_, owner, core_->self(), std::move(from_disk), options, rng_());
  coordination_->SetRoster(core_->membership());
}

// Throws CallError, which counts as an end of the call.
std::optional<coordination::Call> Node::ReadCoordinationCall(const CallDoor::Call& call) {
  try {
    return DecodeCoordinationCall(call.method, call.path, call.body);
  } catch (const service_registry::CallError& error) {
    ++coordination_ends_.answered[error.status];
    throw;
  }
}

// False: it is none of coordination's.
bool Node::TakeCoordinationCall(const CallDoor::Call& call) {
  if (!Coordinates()) return false;
  auto decoded = ReadCoordinationCall(call);
  if (!decoded) return false;
  // Nobody waits for it: it was read late, and must not take effect behind what came since.
  if (control_.StateOf(call.id) == net::Door::ClientState::kGone) {
    ++coordination_ends_.left;
    return true;
  }
  // Its caller has given up waiting, and may have gone on meanwhile.
  if (call_pause_watch_.InputMayBeOld(Now())) {
    ++coordination_ends_.answered[503];
    control_.Reply(call.id, 503);
    return true;
  }
  const bool watches = std::holds_alternative<coordination::WatchGroup>(*decoded);
  // Other calls have to find room beside those that wait for long.
  if (watches && static_cast<int>(watches_.size()) >= link_descriptors_.most(net::Use::kControl) / 2) {
    ++coordination_ends_.answered[429];
    control_.Reply(call.id, 429);
    return true;
  }
  if (watches) watches_.insert(call.id);
  const std::uint64_t number = next_number_++;
  coordination_numbers_[call.id] = number;
  // Bytes that were not read yet may hide the connection's end.
  const auto waits = [this, id = call.id] { return control_.StateOf(id) == net::Door::ClientState::kSilent; };
  const auto answer = [this, id = call.id](const CoordinationCalls::Answer& ended) {
    coordination_numbers_.erase(id);
    watches_.erase(id);
    const HttpAnswer http = EncodeAnswer(ended);
    ++coordination_ends_.answered[http.status];
    ReplyJson(id, http.status, http.body);
  };
  coordination_calls_.Begin(Now(), number, std::move(*decoded), {waits, answer});
  return true;
}

void Node::TickCoordination() {
  coordination_calls_.Tick(Now());
  if (coordination_) coordination_->Tick();
}

void Node::Handle(Link::Stream&, CoordinationBytes& message) {
  if (coordination_) coordination_->OnBytes(message.bytes);
}

void Node::Handle(Link::Stream& stream, CoordinationCall& message) {
  const auto call = coordination::DecodeCall(message.call);
  // A call that stood in a buffer while this process stood still is nobody's any more.
  if (!call || !coordination_ || call_pause_watch_.InputMayBeOld(Now()))
    return stream.Send(Encode(CoordinationReply{
        message.number, coordination::Encode(coordination::Reply(coordination::NotServed{}))}));
  // Versions before this one prove nothing of a release.
  const auto proven = message.proven_renewals < 0 ? coordination::ProvenRenewals()
                                                  : static_cast<std::uint64_t>(message.proven_renewals);
  coordination_->OnCall(stream.number, message.number, *call, proven);
}

void Node::Handle(Link::Stream& stream, CoordinationReply& message) {
  auto reply = coordination::DecodeReply(message.reply);
  if (!reply) return Say(Event::kMessageRefused, "a reply of coordination");
  coordination_calls_.OnReply(Now(), stream.number, message.number, std::move(*reply));
}

void Node::Handle(Link::Stream& stream, CoordinationLeader& message) {
  if (stream.dialled()) coordination_calls_.OnLeader(Now(), message.term, std::move(message.name));
}

void Node::Handle(Link::Stream& stream, CoordinationForget& message) {
  if (coordination_) coordination_->Forget(stream.number, message.number);
}

// ---- For CoordinationHost -------------------------------------------------------------------------------

void Node::SendToReplica(const agreement::Member& to, std::string bytes) {
  const auto address = ParseAddress(to.address);
  Link::Stream* stream = address ? link_.To(*address) : nullptr;
  if (stream != nullptr) stream->Send(Encode(CoordinationBytes{std::move(bytes)}));
}

bool Node::WriteLog(coordination::RecordBatch records) {
  if (!life_kept_) records.emplace_back("life", life_);
  return storage_->Write(kLogWrite, std::move(records));
}

void Node::OnCoordinationReply(std::uint64_t number, coordination::Reply reply) {
  coordination_calls_.OnReplyHere(Now(), number, std::move(reply));
}

void Node::OnCoordinationLeader(std::uint64_t term, const std::string& name) {
  Say(Event::kCoordinationLeader, "term " + std::to_string(term));
  Broadcast(CoordinationLeader{term, name});
  coordination_calls_.OnLeader(Now(), term, name);
}

// ---- For CoordinationCalls ------------------------------------------------------------------------------

std::vector<CoordinationCalls::Candidate> Node::ReachedMembers() {
  std::vector<CoordinationCalls::Candidate> members;
  for (const CoreMember& member : members_) {
    const bool here = coordination_ && member.name == settings_.node_name && member.disk == disk_;
    const Link::Stream* stream = here ? nullptr : link_.To(member.address);
    if (here || stream != nullptr) members.push_back({member.name, here ? 0 : stream->number});
  }
  return members;
}

void Node::CallHere(std::uint64_t number, const coordination::Call& call,
                    coordination::ProvenRenewals proven) {
  coordination_->OnCall(0, number, call, proven);
}

// The core may have been closed since the call.
void Node::ForgetHere(std::uint64_t number) {
  if (coordination_) coordination_->Forget(0, number);
}

}  // namespace curlewdoor::system
