// A core member's part in the service registry: whether its answers count. Pure.
//
// A member votes in epoch E (for leaves that are to be acknowledged, and with answers that prove a gateway's
// list) once it has adopted E on disk, in whose roster it is, and as long as it is complete: it holds every
// leave that was acknowledged in an epoch before E. It becomes complete, on disk, by one of these, asked
// after it had adopted E:
//   - E is the first epoch;
//   - a member that is complete in E has answered: an answer stands behind all that its sender holds;
//   - a majority of the roster of E - 1 has answered, each complete in E - 1 and voting in it no more (it has
//     E on disk): a leave acknowledged in E - 1 was held by a majority before they stopped, and the two
//     majorities share a member;
//   - for kAllAfter neither came, and all members of E have answered: the roster of E - 1 isn't known here
//     (an upgrade), or can't answer any more. E exchanges one member of E - 1, and was proposed only once a
//     majority of E - 1 was complete (CompleteMembers()): one of these at least is in E and has answered. An
//     event tells of it, as an operator's forced order is bound by no majority.
//
// So before anyone votes in E, a majority of E - 1 has stopped to vote in E - 1: a proof by votes of E - 1
// was asked for before that, and so before any leave was acknowledged in E.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "registry_replication/votes.hpp"

namespace curlewdoor::registry_replication {

// What lasts over a restart, beside the leaves themselves.
struct ReplicaRecord {
  std::uint64_t epoch = 0;  // adopted
  std::uint64_t complete_epoch = 0;
  Roster previous{};  // of the epoch before `epoch`; epoch 0: not known
  std::uint64_t watermark = 1;
  std::vector<MemberId> members{};  // of `epoch`; empty: written by a version that kept none
  bool operator==(const ReplicaRecord&) const = default;
};

class RegistryReplica {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // For tests of the tests: a member that does something wrong.
  enum class Fault { kNone, kVotesIncomplete };
  static constexpr std::chrono::seconds kAllAfter{2};

  explicit RegistryReplica(MemberId self, Fault fault = Fault::kNone)
      : fault_(fault), self_(std::move(self)) {}

  // What the disk held, before the first Adopt().
  void Restore(const ReplicaRecord& record);
  // The newest epoch known here, whether this one is in it or not.
  void Adopt(Time now, Roster roster);
  // Another member's answer to a question of this one. The answer's watermark is to be set before.
  void OnAnswer(Time asked, const Standing& standing);
  void SetWatermark(std::uint64_t watermark) { watermark_ = watermark; }

  // To be written, with all leaves that are held now, as long as it differs from what was written last.
  ReplicaRecord Record() const {
    return {roster_.epoch, learned_epoch_, previous_, watermark_, roster_.members};
  }
  bool Dirty() const { return Record() != written_; }
  void OnWritten(const ReplicaRecord& record) { written_ = record; }

  Standing standing() const;
  bool votes() const { return standing().votes; }
  // Members of the newest epoch that are complete in it, on disk, as they have told: for good, as a disk that
  // is lost makes another member. The next change of the roster waits for a majority of them.
  std::vector<MemberId> CompleteMembers() const;
  std::uint64_t epoch() const { return roster_.epoch; }
  // It learned from all members of the epoch, as the roster before couldn't be asked.
  bool learned_from_all() const { return learned_from_all_; }

 private:
  bool ByOne() const;
  bool ByPrevious() const;
  bool ByAll() const;
  void Learn(bool waited);

  const Fault fault_;
  const MemberId self_;
  Roster roster_, previous_;
  bool learned_from_all_ = false;
  Time adopted_at_{};
  std::map<MemberId, Standing> answers_;  // asked since then
  std::set<MemberId> told_complete_;      // in the epoch of roster_
  std::uint64_t learned_epoch_ = 0;       // complete in it, once that is written
  std::uint64_t watermark_ = 1;
  ReplicaRecord written_;
};

}  // namespace curlewdoor::registry_replication
