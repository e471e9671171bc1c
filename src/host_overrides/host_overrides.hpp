// Hosts that operators have suspended. This layer is between discovery and the gateway's core: a suspended
// host is passed on as draining, whatever state discovery reports for it. Pure.
#pragma once

#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "members/members.hpp"

namespace curlewdoor::host_overrides {

// The ID of the host with this uid in discovery's list.
HostId HostIdFromUid(std::string_view uid);

// The suspended hosts, and discovery's list to which they are applied.
class HostOverrides {
 public:
  static constexpr std::size_t kMaxSuspended = 4096;
  // Hosts that have left the list and are still known by ID.
  static constexpr std::size_t kMaxDeparted = 4096;

  // Records a list from discovery and returns it as the core must see it, with suspended hosts draining.
  MemberList ApplyOverrides(MemberList members);

  enum class Result { kOk, kUnknownHost, kLimitReached };
  // Suspends a host or restores it; repeating a call has no further effect. `change` is set if the core must
  // be updated.
  Result Suspend(HostId host, std::optional<MemberList>& change);
  Result Restore(HostId host, std::optional<MemberList>& change);

  std::size_t listed_count() const { return listed_.size(); }
  bool IsSuspended(HostId host) const { return suspended_.contains(host); }
  std::size_t listed_suspended_count() const;
  // For the handover to a new process at an upgrade: the suspended hosts, and the list as received from
  // discovery.
  std::vector<HostId> suspended() const;
  MemberList list() const;
  // Adds the hosts that the previous process handed over, up to kMaxSuspended.
  void AddSuspended(const std::vector<HostId>& suspended);

 private:
  bool IsKnown(HostId host) const;
  std::optional<MemberList> ChangeFor(HostId host) const;
  void RememberDeparted(HostId host);

  std::uint64_t version_ = 0;
  std::unordered_map<HostId, Member, IdHash> listed_;  // as received from discovery, without removed hosts
  std::unordered_set<HostId, IdHash> suspended_;
  std::vector<HostId> departed_;  // in the order of their departure
};

}  // namespace curlewdoor::host_overrides
