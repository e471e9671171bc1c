#include "registry_replication/votes.hpp"

#include <algorithm>

namespace curlewdoor::registry_replication {

bool Roster::Holds(const MemberId& member) const {
  return std::find(members.begin(), members.end(), member) != members.end();
}

bool HolderVotes::Chosen(const Roster& roster) const {
  if (roster.epoch == 0) return false;
  const auto votes = std::count_if(roster.members.begin(), roster.members.end(), [&](const MemberId& member) {
    return votes_.contains({roster.epoch, member});
  });
  return static_cast<std::size_t>(votes) >= roster.majority();
}

bool HolderVotes::Voted(const std::string& name, std::uint64_t epoch) const {
  return std::any_of(votes_.begin(), votes_.end(),
                     [&](const Vote& vote) { return vote.epoch == epoch && vote.member.name == name; });
}

std::string HolderVotes::Names() const {
  std::string names;
  for (const Vote& vote : votes_) names += (names.empty() ? "" : ", ") + vote.member.name;
  return names;
}

}  // namespace curlewdoor::registry_replication
