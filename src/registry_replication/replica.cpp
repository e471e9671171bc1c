#include "registry_replication/replica.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::registry_replication {

void RegistryReplica::Restore(const ReplicaRecord& record) {
  written_ = record;
  complete_epoch_ = record.complete_epoch;
  watermark_ = record.watermark;
}

void RegistryReplica::Adopt(Time now, Membership membership) {
  if (membership.epoch <= membership_.epoch) return;
  const bool follows_record = membership_.epoch == 0 && written_.epoch + 1 == membership.epoch;
  if (membership_.epoch > 0 && membership_.epoch + 1 == membership.epoch) {
    previous_ = std::move(membership_);
  } else if (follows_record && !written_.members.empty()) {  // a crash before this epoch was written to disk
    previous_ = {written_.epoch, written_.members};
  } else if (written_.epoch == membership.epoch) {  // a restart in the same epoch
    previous_ = written_.previous;
  } else {
    previous_ = {};
  }
  membership_ = std::move(membership);
  adopted_at_ = now;
  answers_.clear();
  reported_complete_.clear();
  UpdateCompleteness(false);
}

void RegistryReplica::OnAnswer(Time asked_at, const MemberStatus& status) {
  if (status.complete_epoch == membership_.epoch && membership_.Contains(status.member))
    reported_complete_.insert(status.member);
  if (asked_at < adopted_at_ || complete_epoch_ >= membership_.epoch) return;
  if (!membership_.Contains(status.member) && !previous_.Contains(status.member)) return;
  answers_[status.member] = status;
  UpdateCompleteness(asked_at - adopted_at_ >= kLearnFromAllAfter);
}

bool RegistryReplica::CompleteMemberAnswered() const {
  return std::any_of(answers_.begin(), answers_.end(), [this](const auto& answer) {
    return answer.second.complete_epoch >= membership_.epoch;
  });
}

bool RegistryReplica::PreviousMajorityAnswered() const {
  if (previous_.epoch == 0) return false;
  const auto complete_count =
      std::count_if(previous_.members.begin(), previous_.members.end(), [this](const MemberId& member) {
        if (member == self_) return written_.complete_epoch >= previous_.epoch;
        const auto answer = answers_.find(member);
        return answer != answers_.end() && answer->second.complete_epoch >= previous_.epoch &&
               answer->second.epoch >= membership_.epoch;
      });
  return static_cast<std::size_t>(complete_count) >= previous_.majority();
}

bool RegistryReplica::AllMembersAnswered() const {
  return std::all_of(membership_.members.begin(), membership_.members.end(), [this](const MemberId& member) {
    if (member == self_) return true;
    const auto answer = answers_.find(member);
    return answer != answers_.end() && answer->second.epoch >= membership_.epoch;
  });
}

std::vector<MemberId> RegistryReplica::CompleteMembers() const {
  std::vector<MemberId> complete(reported_complete_.begin(), reported_complete_.end());
  if (written_.complete_epoch == membership_.epoch && membership_.Contains(self_)) complete.push_back(self_);
  return complete;
}

void RegistryReplica::UpdateCompleteness(bool waited_long_enough) {
  if (membership_.epoch == 0 || complete_epoch_ >= membership_.epoch) return;
  const bool is_proved = membership_.epoch == 1 || CompleteMemberAnswered() || PreviousMajorityAnswered();
  if (!is_proved && !(waited_long_enough && AllMembersAnswered())) return;
  learned_from_all_ = !is_proved;
  complete_epoch_ = membership_.epoch;
}

MemberStatus RegistryReplica::status() const {
  MemberStatus status{self_, written_.epoch, written_.complete_epoch, false, written_.watermark};
  const bool in_force =
      membership_.epoch > 0 && written_.epoch == membership_.epoch && membership_.Contains(self_);
  const bool complete = written_.complete_epoch == membership_.epoch || fault_ == Fault::kVotesIncomplete;
  status.votes = in_force && complete;
  return status;
}

}  // namespace curlewdoor::registry_replication
