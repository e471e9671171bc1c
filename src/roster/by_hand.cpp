#include "roster/by_hand.hpp"

#include <algorithm>
#include <utility>

#include "util/hash.hpp"

namespace curlewdoor::roster {

HostId HostOf(std::string_view uid) { return HostId{StableHash(uid)}; }

MemberList ByHand::Told(MemberList members) {
  version_ = members.version;
  if (members.all) {
    std::unordered_map<HostId, Member, IdHash> before;
    before.swap(listed_);
    for (const Member& member : members.members) before.erase(member.entry.host);
    for (const auto& [host, member] : before) Left(host);
  }
  for (Member& member : members.members) {
    const HostId host = member.entry.host;
    if (member.entry.state == HostState::kRemoved) {
      if (listed_.erase(host) > 0) Left(host);
    } else {
      std::erase(left_, host);
      listed_[host] = member;
      if (IsOut(host)) member.entry.state = HostState::kDraining;
    }
  }
  return members;
}

// Guards against a table of hosts that grows for ever: the list replaces them day by day.
void ByHand::Left(HostId host) {
  if (left_.size() >= kMostLeft) left_.erase(left_.begin());
  left_.push_back(host);
}

bool ByHand::Known(HostId host) const {
  return listed_.contains(host) || IsOut(host) || std::find(left_.begin(), left_.end(), host) != left_.end();
}

std::optional<MemberList> ByHand::Change(HostId host) const {
  const auto it = listed_.find(host);
  if (it == listed_.end()) return std::nullopt;
  MemberList change{version_, false, {it->second}};
  if (IsOut(host)) change.members.front().entry.state = HostState::kDraining;
  return change;
}

ByHand::Answer ByHand::Suspend(HostId host, std::optional<MemberList>& change) {
  if (!Known(host)) return Answer::kUnknown;
  if (IsOut(host)) return Answer::kYes;
  if (out_.size() >= kMostOut) return Answer::kTooMany;
  out_.insert(host);
  change = Change(host);
  return Answer::kYes;
}

ByHand::Answer ByHand::Restore(HostId host, std::optional<MemberList>& change) {
  if (!Known(host)) return Answer::kUnknown;
  if (out_.erase(host) > 0) change = Change(host);
  return Answer::kYes;
}

std::size_t ByHand::listed_out() const {
  return static_cast<std::size_t>(
      std::count_if(out_.begin(), out_.end(), [&](HostId host) { return listed_.contains(host); }));
}

std::vector<HostId> ByHand::out() const { return {out_.begin(), out_.end()}; }

MemberList ByHand::list() const {
  MemberList list{version_, true, {}};
  for (const auto& [host, member] : listed_) list.members.push_back(member);
  return list;
}

void ByHand::TakeOver(const std::vector<HostId>& out) {
  for (HostId host : out)
    if (out_.size() < kMostOut) out_.insert(host);
}

}  // namespace curlewdoor::roster
