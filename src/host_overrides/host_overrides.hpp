// Hosts that operators have taken out: a layer between what discovery tells and the gateway's core. A host
// out by hand is passed on as draining, whatever discovery says of it. Pure.
#pragma once

#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "members/members.hpp"

namespace curlewdoor::host_overrides {

HostId HostOf(std::string_view uid);  // as the list of hosts names it

class ByHand {
 public:
  static constexpr std::size_t kMostOut = 4096;
  static constexpr std::size_t kMostLeft = 4096;  // hosts that have left the list and are still known by id

  // What discovery has told becomes what the core is told.
  MemberList Told(MemberList members);

  enum class Answer { kYes, kUnknown, kTooMany };
  // Takes a host out or puts it back; doing so twice is doing so once. `change` is what the core is to be
  // told, if anything.
  Answer Suspend(HostId host, std::optional<MemberList>& change);
  Answer Restore(HostId host, std::optional<MemberList>& change);

  std::size_t listed() const { return listed_.size(); }
  bool IsOut(HostId host) const { return out_.contains(host); }
  std::size_t listed_out() const;
  // For an upgrade: the hosts out, and the list as it was told.
  std::vector<HostId> out() const;
  MemberList list() const;
  void TakeOver(const std::vector<HostId>& out);

 private:
  bool Known(HostId host) const;
  std::optional<MemberList> Change(HostId host) const;
  void Left(HostId host);

  std::uint64_t version_ = 0;
  std::unordered_map<HostId, Member, IdHash> listed_;  // as told, without those that are gone
  std::unordered_set<HostId, IdHash> out_;
  std::vector<HostId> left_;  // the latest last
};

}  // namespace curlewdoor::host_overrides
