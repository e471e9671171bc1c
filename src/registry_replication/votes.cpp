#include "registry_replication/votes.hpp"

#include <algorithm>

namespace curlewdoor::registry_replication {

bool Membership::Contains(const MemberId& member) const {
  return std::find(members.begin(), members.end(), member) != members.end();
}

bool LeaveVotes::HasMajority(const Membership& membership) const {
  if (membership.epoch == 0) return false;
  const auto votes =
      std::count_if(membership.members.begin(), membership.members.end(), [&](const MemberId& member) {
        return votes_.contains({membership.epoch, member});
      });
  return static_cast<std::size_t>(votes) >= membership.majority();
}

bool LeaveVotes::HasVoted(const std::string& name, std::uint64_t epoch) const {
  return std::any_of(votes_.begin(), votes_.end(),
                     [&](const Vote& vote) { return vote.epoch == epoch && vote.member.name == name; });
}

std::string LeaveVotes::VoterNames() const {
  std::string names;
  for (const Vote& vote : votes_) names += (names.empty() ? "" : ", ") + vote.member.name;
  return names;
}

}  // namespace curlewdoor::registry_replication
