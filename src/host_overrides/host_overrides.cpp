#include "host_overrides/host_overrides.hpp"

#include <algorithm>
#include <utility>

#include "util/hash.hpp"

namespace curlewdoor::host_overrides {

HostId HostIdFromUid(std::string_view uid) { return HostId{StableHash(uid)}; }

MemberList HostOverrides::ApplyOverrides(MemberList members) {
  version_ = members.version;
  if (members.all) {
    std::unordered_map<HostId, Member, IdHash> not_listed_now;
    not_listed_now.swap(listed_);
    for (const Member& member : members.members) not_listed_now.erase(member.entry.host);
    for (const auto& [host, member] : not_listed_now) RememberDeparted(host);
  }
  for (Member& member : members.members) {
    const HostId host = member.entry.host;
    if (member.entry.state == HostState::kRemoved) {
      if (listed_.erase(host) > 0) RememberDeparted(host);
    } else {
      std::erase(departed_, host);
      listed_[host] = member;
      if (IsSuspended(host)) member.entry.state = HostState::kDraining;
    }
  }
  return members;
}

// The number of remembered hosts is bounded, since hosts are replaced by new ones continually.
void HostOverrides::RememberDeparted(HostId host) {
  if (departed_.size() >= kMaxDeparted) departed_.erase(departed_.begin());
  departed_.push_back(host);
}

bool HostOverrides::IsKnown(HostId host) const {
  return listed_.contains(host) || IsSuspended(host) ||
         std::find(departed_.begin(), departed_.end(), host) != departed_.end();
}

std::optional<MemberList> HostOverrides::ChangeFor(HostId host) const {
  const auto it = listed_.find(host);
  if (it == listed_.end()) return std::nullopt;
  MemberList change{version_, false, {it->second}};
  if (IsSuspended(host)) change.members.front().entry.state = HostState::kDraining;
  return change;
}

HostOverrides::Result HostOverrides::Suspend(HostId host, std::optional<MemberList>& change) {
  if (!IsKnown(host)) return Result::kUnknownHost;
  if (IsSuspended(host)) return Result::kOk;
  if (suspended_.size() >= kMaxSuspended) return Result::kLimitReached;
  suspended_.insert(host);
  change = ChangeFor(host);
  return Result::kOk;
}

HostOverrides::Result HostOverrides::Restore(HostId host, std::optional<MemberList>& change) {
  if (!IsKnown(host)) return Result::kUnknownHost;
  if (suspended_.erase(host) > 0) change = ChangeFor(host);
  return Result::kOk;
}

std::size_t HostOverrides::listed_suspended_count() const {
  return static_cast<std::size_t>(std::count_if(suspended_.begin(), suspended_.end(),
                                                [&](HostId host) { return listed_.contains(host); }));
}

std::vector<HostId> HostOverrides::suspended() const { return {suspended_.begin(), suspended_.end()}; }

MemberList HostOverrides::list() const {
  MemberList list{version_, true, {}};
  for (const auto& [host, member] : listed_) list.members.push_back(member);
  return list;
}

void HostOverrides::AddSuspended(const std::vector<HostId>& suspended) {
  for (HostId host : suspended)
    if (suspended_.size() < kMaxSuspended) suspended_.insert(host);
}

}  // namespace curlewdoor::host_overrides
