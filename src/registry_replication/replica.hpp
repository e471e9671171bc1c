// A core member's replica of the service registry: decides whether the member may vote. Pure.
//
// A member votes on leaves that are to be acknowledged, and by its answers on proofs of a gateway's host
// list. It votes in epoch E once it has adopted E on disk, is a member of E and is complete. A member is
// complete in E if it holds every leave that was acknowledged in an epoch before E. It becomes complete, on
// disk, in one of these ways, where answers count only if they were asked for after it had adopted E:
//   - E is the first epoch.
//   - A member that is complete in E has answered: an answer is sent after everything that its sender holds.
//   - A majority of the members of E - 1 has answered, each complete in E - 1 and no longer voting in it (it
//   has
//     E on disk). A leave acknowledged in E - 1 was held by a majority before these members stopped voting,
//     and two majorities share a member.
//   - Neither has happened for kLearnFromAllAfter, and all members of E have answered. The members of E - 1
//   are
//     unknown here (after an upgrade) or can't answer any more. E replaces one member of E - 1 and was
//     proposed only after a majority of E - 1 was complete (CompleteMembers()), so at least one of these is
//     in E and has answered. An event reports this case, because an operator's forced order is not bound by
//     any majority.
//
// So before any member votes in E, a majority of E - 1 has stopped voting in E - 1. A proof by votes of E - 1
// was therefore asked for before that, and before any leave was acknowledged in E.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "registry_replication/votes.hpp"

namespace curlewdoor::registry_replication {

// The state that survives a restart, besides the leaves themselves.
struct ReplicaRecord {
  std::uint64_t epoch = 0;  // the adopted epoch
  std::uint64_t complete_epoch = 0;
  Membership previous{};  // of the epoch before `epoch`; its epoch is 0 if unknown
  std::uint64_t watermark = 1;
  std::vector<MemberId> members{};  // of `epoch`; empty if written by a version that did not store them
  bool operator==(const ReplicaRecord&) const = default;
};

// Tracks the epoch that this member has adopted and whether it is complete in it.
class RegistryReplica {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Deliberate faults, by which tests show that they can detect them.
  enum class Fault { kNone, kVotesIncomplete };
  // How long after adopting an epoch the answers of all its members are sufficient.
  static constexpr std::chrono::seconds kLearnFromAllAfter{2};

  explicit RegistryReplica(MemberId self, Fault fault = Fault::kNone)
      : fault_(fault), self_(std::move(self)) {}

  // Sets the state that was read from disk. Called before the first Adopt().
  void Restore(const ReplicaRecord& record);
  // Adopts the newest known epoch, whether this member belongs to it or not.
  void Adopt(Time now, Membership membership);
  // Another member's answer to a query of this one, sent at `asked_at`. SetWatermark() with the answer's
  // watermark must be called before.
  void OnAnswer(Time asked_at, const MemberStatus& status);
  void SetWatermark(std::uint64_t watermark) { watermark_ = watermark; }

  // The record to write to disk, together with all leaves held now, while Dirty().
  ReplicaRecord Record() const {
    return {membership_.epoch, complete_epoch_, previous_, watermark_, membership_.members};
  }
  bool Dirty() const { return Record() != written_; }
  void OnWritten(const ReplicaRecord& record) { written_ = record; }

  MemberStatus status() const;
  bool votes() const { return status().votes; }
  // Members of the newest epoch that are complete in it, on disk, as they reported. This never changes back,
  // since a member with a lost disk is another member. The next change of the membership waits until they are
  // a majority.
  std::vector<MemberId> CompleteMembers() const;
  std::uint64_t epoch() const { return membership_.epoch; }
  // It became complete by the answers of all members of the epoch, since those of the previous epoch could
  // not be asked.
  bool learned_from_all() const { return learned_from_all_; }

 private:
  bool CompleteMemberAnswered() const;
  bool PreviousMajorityAnswered() const;
  bool AllMembersAnswered() const;
  void UpdateCompleteness(bool waited_long_enough);

  const Fault fault_;
  const MemberId self_;
  Membership membership_, previous_;
  bool learned_from_all_ = false;
  Time adopted_at_{};
  std::map<MemberId, MemberStatus> answers_;  // to queries sent since then
  std::set<MemberId> reported_complete_;      // in the epoch of membership_
  std::uint64_t complete_epoch_ = 0;  // the epoch in which this member is complete once that is on disk
  std::uint64_t watermark_ = 1;
  ReplicaRecord written_;
};

}  // namespace curlewdoor::registry_replication
