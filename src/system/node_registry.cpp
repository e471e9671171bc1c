// Node: a host's leave is acknowledged once a majority of the core holds it, and requests are sent by a list
// that a majority has proved. registry_replication/ decides; here it is carried out.
#include <utility>

#include "registry_replication/record.hpp"
#include "service_registry/codec.hpp"
#include "system/node.hpp"
#include "system/node_limits.hpp"

namespace curlewdoor::system {
namespace {

template <typename Answer>
registry_replication::MemberStatus StandingOf(const Link::Stream& stream, const Answer& answer) {
  return {
      {stream.name, answer.incarnation}, answer.epoch, answer.complete_epoch, answer.votes, answer.watermark};
}

}  // namespace

registry_replication::Membership Node::RegistryRoster() const {
  registry_replication::Membership roster{epoch_, {}};
  for (const CoreMember& member : members_) roster.members.push_back({member.name, member.disk});
  return roster;
}

// To the agreement, whose next change of the roster waits for them.
void Node::TellCompleteMembers() {
  if (!core_ || !registry_replica_) return;
  std::vector<agreement::Incarnation> complete;
  for (const registry_replication::MemberId& member : registry_replica_->CompleteMembers())
    complete.push_back({member.name, member.incarnation});
  core_->SetCompleteMembers(registry_replica_->epoch(), std::move(complete));
}

registry_replication::MemberStatus Node::OwnStanding() const {
  return registry_replica_ ? registry_replica_->status() : registry_replication::MemberStatus{};
}

// ---- Calls of hosts -----------------------------------------------------------------------------------

void Node::Replicate(RequestId id, const std::string& host, bool leave) {
  const auto* entry = directory_.Find(host);
  if (entry == nullptr || replications_.size() + owed_beats_.size() >= kMostReplications)
    return control_.Reply(id, 503);
  if (!leave && core_ && had_majority_) return owed_beats_.push_back(id);
  Link::Stream* near = NearCore();
  const bool held_here = leave && core_member();
  if (near == nullptr && !held_here) return control_.Reply(id, 503);
  const std::uint64_t number = next_number_++;
  Replication& replication = replications_[number];
  replication.call = id;
  replication.host = host;
  replication.leave = leave;
  replication.ends = Now() + kReplicationEnds;
  replication.again = Now() + kReplicateAgain;
  replication.batch = service_registry::Encode({*entry}, Now());
  if (held_here) owed_votes_.push_back({0, number});
  if (leave) {
    replication.streams = ToCore(ReplicateHosts{number, replication.batch});
  } else {
    replication.streams = {near->number};
    near->Send(Encode(ReplicateHosts{number, replication.batch}));
  }
}

void Node::TickReplications() {
  const Steady now = Now();
  std::vector<std::uint64_t> over, due;
  for (const auto& [number, replication] : replications_) {
    if (now >= replication.ends) {
      over.push_back(number);
    } else if (now >= replication.again) {
      due.push_back(number);
    }
  }
  for (const std::uint64_t number : over) {
    const Replication& replication = replications_.at(number);
    if (replication.leave) {
      ++leaves_not_acknowledged_;
      Say(Event::kLeaveNotAcknowledged, replication.host + " held by " + replication.votes.VoterNames() +
                                            " in epoch " + std::to_string(epoch_));
    }
    control_.Reply(replication.call, 503);
    replications_.erase(number);
  }
  for (const std::uint64_t number : due) {
    ConsiderAcknowledged(number);  // the roster may be another one by now
    if (const auto it = replications_.find(number); it != replications_.end()) SendAgain(number, it->second);
  }
}

// Whoever was sent it may be gone, or may not have voted in the present epoch: to all once more.
void Node::SendAgain(std::uint64_t number, Replication& replication) {
  replication.again = Now() + kReplicateAgain;
  const bool own_vote_missing = replication.leave && core_member() &&
                                !replication.votes.HasVoted(settings_.node_name, epoch_) &&
                                owed_votes_.size() < kMostOwedVotes;
  if (own_vote_missing) owed_votes_.push_back({0, number});
  const auto streams = ToCore(ReplicateHosts{number, replication.batch});
  replication.streams.insert(replication.streams.end(), streams.begin(), streams.end());
}

void Node::Handle(Link::Stream& stream, HostsReplicated& message) {
  const auto it = replications_.find(message.number);
  if (it == replications_.end()) return;
  if (!WentOn(it->second.streams, stream)) return;
  if (message.votes) it->second.votes.Add({stream.name, message.incarnation}, message.epoch);
  ConsiderAcknowledged(message.number);
}

void Node::ConsiderAcknowledged(std::uint64_t number) {
  const auto it = replications_.find(number);
  if (it == replications_.end()) return;
  const Replication& replication = it->second;
  if (replication.leave && !replication.votes.HasMajority(RegistryRoster())) return;
  if (replication.leave) {
    ++leaves_acknowledged_;
    Say(Event::kLeaveAcknowledged, replication.host + " held by " + replication.votes.VoterNames() +
                                       " in epoch " + std::to_string(epoch_));
  }
  const RequestId call = replication.call;
  replications_.erase(it);
  ReplyBeat(call);
}

// ---- A core member's side -----------------------------------------------------------------------------

void Node::Handle(Link::Stream& stream, ReplicateHosts& message) {
  const Merged merged = MergeBatch(message.batch);
  const bool taken = merged == Merged::kNews || merged == Merged::kLeave;
  if (!taken || owed_votes_.size() >= kMostOwedVotes) return;
  if (merged == Merged::kLeave && core_) {
    owed_votes_.push_back({stream.number, message.number});
    return;  // with the next write of leaves
  }
  PublishHosts();
  stream.Send(Encode(HostsReplicated{message.number}));
}

// After PublishHosts(): whoever hears of a vote has been sent the leave before.
void Node::KeepLeaves() {
  if (!registry_replica_ || record_being_kept_) return;
  if (owed_votes_.empty() && !registry_replica_->Dirty()) return;
  const registry_replication::ReplicaRecord record = registry_replica_->Record();
  if (!storage_ || !storage_->Write(kLeavesWrite, {{kLeavesKey, EncodeLeaves(record)}})) return;
  record_being_kept_ = record;
  votes_being_kept_ = std::exchange(owed_votes_, {});
}

void Node::OnLeavesKept(bool ok) {
  if (!record_being_kept_) return;
  const registry_replication::ReplicaRecord record = *std::exchange(record_being_kept_, std::nullopt);
  const auto owed = std::exchange(votes_being_kept_, {});
  if (!ok) return;  // they are sent again by whoever waits for them
  registry_replica_->OnWritten(record);
  if (registry_replica_->learned_from_all() && record.complete_epoch == epoch_)
    Say(Event::kRegistryLearnedFromAll, "epoch " + std::to_string(epoch_));
  AnswerVotes(owed);
}

void Node::AnswerVotes(const std::vector<OwedVote>& owed) {
  const registry_replication::MemberStatus own = OwnStanding();
  for (const OwedVote& vote : owed) {
    if (vote.stream == 0) {
      const auto it = replications_.find(vote.number);
      if (it == replications_.end()) continue;
      if (own.votes) it->second.votes.Add(own.member, own.epoch);
      ConsiderAcknowledged(vote.number);
      continue;
    }
    link_.ForEach([&](Link::Stream& stream) {
      if (stream.number != vote.stream) return;
      stream.Send(Encode(
          HostsReplicated{vote.number, own.member.incarnation, own.epoch, own.complete_epoch, own.votes}));
    });
  }
  if (!owed.empty())
    Say(Event::kLeaveHeld, std::string(own.votes ? "votes" : "doesn't vote") + " in epoch " +
                               std::to_string(own.epoch) + ", leaves asked for " +
                               std::to_string(owed.size()));
}

std::string Node::EncodeLeaves(const registry_replication::ReplicaRecord& record) const {
  std::vector<service_registry::HostEntry> leaves;
  directory_.ForEach([&](const service_registry::HostEntry& entry) {
    if (entry.departing()) leaves.push_back(entry);
  });
  return registry_replication::Encode({record, service_registry::Encode(leaves, Now())});
}

void Node::RestoreLeaves(const std::string& bytes) {
  const auto kept = registry_replication::Decode(bytes);
  const auto leaves = kept ? service_registry::Decode(kept->leaves, Now()) : std::nullopt;
  if (!leaves) {
    // As if it had begun anew: it votes once it has learned from the others what it forgot.
    return Say(Event::kStorageDamaged, "the leaves of hosts can't be read");
  }
  for (const service_registry::HostEntry& entry : *leaves) directory_.Merge(Now(), entry);
  registry_replica_->Restore(kept->record);
  RaiseWatermark(kept->record.watermark);
}

void Node::Handle(Link::Stream& stream, RegistryQuery& message) {
  RaiseWatermark(message.watermark);
  if (!core_) return;
  if (told_hosts_ != directory_.version()) PublishHosts();
  if (message.epoch < epoch_) stream.Send(Encode(MembersNow()));
  const registry_replication::MemberStatus own = OwnStanding();
  stream.Send(Encode(RegistryAnswer{message.asked_us, own.member.incarnation, own.epoch, own.complete_epoch,
                                    own.votes, own.watermark}));
}

// ---- A gateway's side ---------------------------------------------------------------------------------

void Node::Handle(Link::Stream& stream, RegistryAnswer& message) {
  RaiseWatermark(message.watermark);
  const registry_replication::MemberStatus standing = StandingOf(stream, message);
  const Steady asked{std::chrono::microseconds(message.asked_us)};
  registry_lease_.OnAnswer(Now(), asked, standing);
  if (registry_replica_) {
    watermark_.OnAnswer(standing);
    registry_replica_->OnAnswer(asked, standing);
  }
  OnProof();
}

void Node::TickLease() {
  const Steady now = Now();
  const bool due = registry_lease_.Tick(now);
  const registry_replication::MemberStatus own = OwnStanding();
  TellCompleteMembers();
  if (own.votes) registry_lease_.OnAnswer(now, now, own);
  ConfirmHosts();
  if (registry_replica_ && watermark_.Tick(now, RegistryRoster(), own)) OnWatermark();
  if (due) {
    ToCore(RegistryQuery{Microseconds(now), epoch_, watermark_.value()});
    registry_lease_.OnQuerySent(now);
  }
  OnProof();
}

void Node::RaiseWatermark(std::uint64_t heard) {
  if (watermark_.Adopt(Now(), heard)) OnWatermark();
}

void Node::OnWatermark() {
  if (registry_replica_) registry_replica_->SetWatermark(watermark_.value());
  const std::size_t before = directory_.size();
  directory_.RaiseWatermark(watermark_.value());
  if (const std::size_t dropped = before - directory_.size(); dropped > 0)
    Say(Event::kHostsTooOld, std::to_string(dropped) + " at watermark " + std::to_string(watermark_.value()));
  // Requests may be sent by a proof that is only being taken in: not by a view with what was dropped.
  if (told_hosts_ != directory_.version()) PublishHosts();
}

// What the last proof of the list says of the hosts in it.
void Node::ConfirmHosts() {
  const auto proved = registry_lease_.proved_at();
  if (proved && *proved >= watermark_.since()) directory_.ConfirmHosts(watermark_.value());
}

void Node::OnProof() {
  front_.SendWaiting();
  const bool proved = registry_lease_.IsProved(Now());
  if (proved == registry_proved_ || (!proved && !registry_lease_.IsProofUnavailable(Now()))) return;
  registry_proved_ = proved;
  Say(proved ? Event::kRegistryProved : Event::kRegistryUnproved, "epoch " + std::to_string(epoch_));
}

}  // namespace curlewdoor::system
