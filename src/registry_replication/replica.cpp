#include "registry_replication/replica.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::registry_replication {

void RegistryReplica::Restore(const ReplicaRecord& record) {
  written_ = record;
  learned_epoch_ = record.complete_epoch;
  watermark_ = record.watermark;
}

void RegistryReplica::Adopt(Time now, Roster roster) {
  if (roster.epoch <= roster_.epoch) return;
  const bool follows_record = roster_.epoch == 0 && written_.epoch + 1 == roster.epoch;
  if (roster_.epoch > 0 && roster_.epoch + 1 == roster.epoch) {
    previous_ = std::move(roster_);
  } else if (follows_record && !written_.members.empty()) {  // a crash before this epoch was written here
    previous_ = {written_.epoch, written_.members};
  } else if (written_.epoch == roster.epoch) {  // a restart in the same epoch
    previous_ = written_.previous;
  } else {
    previous_ = {};
  }
  roster_ = std::move(roster);
  adopted_at_ = now;
  answers_.clear();
  told_complete_.clear();
  Learn(false);
}

void RegistryReplica::OnAnswer(Time asked, const Standing& standing) {
  if (standing.complete_epoch == roster_.epoch && roster_.Holds(standing.member))
    told_complete_.insert(standing.member);
  if (asked < adopted_at_ || learned_epoch_ >= roster_.epoch) return;
  if (!roster_.Holds(standing.member) && !previous_.Holds(standing.member)) return;
  answers_[standing.member] = standing;
  Learn(asked - adopted_at_ >= kAllAfter);
}

bool RegistryReplica::ByOne() const {
  return std::any_of(answers_.begin(), answers_.end(),
                     [this](const auto& answer) { return answer.second.complete_epoch >= roster_.epoch; });
}

bool RegistryReplica::ByPrevious() const {
  if (previous_.epoch == 0) return false;
  const auto told =
      std::count_if(previous_.members.begin(), previous_.members.end(), [this](const MemberId& member) {
        if (member == self_) return written_.complete_epoch >= previous_.epoch;
        const auto answer = answers_.find(member);
        return answer != answers_.end() && answer->second.complete_epoch >= previous_.epoch &&
               answer->second.epoch >= roster_.epoch;
      });
  return static_cast<std::size_t>(told) >= previous_.majority();
}

bool RegistryReplica::ByAll() const {
  return std::all_of(roster_.members.begin(), roster_.members.end(), [this](const MemberId& member) {
    if (member == self_) return true;
    const auto answer = answers_.find(member);
    return answer != answers_.end() && answer->second.epoch >= roster_.epoch;
  });
}

std::vector<MemberId> RegistryReplica::CompleteMembers() const {
  std::vector<MemberId> complete(told_complete_.begin(), told_complete_.end());
  if (written_.complete_epoch == roster_.epoch && roster_.Holds(self_)) complete.push_back(self_);
  return complete;
}

void RegistryReplica::Learn(bool waited) {
  if (roster_.epoch == 0 || learned_epoch_ >= roster_.epoch) return;
  const bool proved = roster_.epoch == 1 || ByOne() || ByPrevious();
  if (!proved && !(waited && ByAll())) return;
  learned_from_all_ = !proved;
  learned_epoch_ = roster_.epoch;
}

Standing RegistryReplica::standing() const {
  Standing standing{self_, written_.epoch, written_.complete_epoch, false, written_.watermark};
  const bool in_force = roster_.epoch > 0 && written_.epoch == roster_.epoch && roster_.Holds(self_);
  const bool complete = written_.complete_epoch == roster_.epoch || fault_ == Fault::kVotesIncomplete;
  standing.votes = in_force && complete;
  return standing;
}

}  // namespace curlewdoor::registry_replication
