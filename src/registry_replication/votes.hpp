// Votes of core members on the service registry. Pure.
//
// A host's leave is acknowledged once a majority of one epoch's members holds it on disk. A gateway's host
// list is proved by the answers of a majority. Two majorities of one epoch share a member, so a gateway that
// began its proof after an acknowledgement knows the leave. replica.hpp describes how leaves are carried from
// one epoch to the next; docs/registry.md has the complete argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace curlewdoor::registry_replication {

// A machine and the incarnation of its disk. After its disk was wiped, a machine is another member.
struct MemberId {
  std::string name{};
  std::uint64_t incarnation = 0;
  auto operator<=>(const MemberId&) const = default;
};

// The members of the core in one epoch. Epoch 0 means that none are known.
struct Membership {
  std::uint64_t epoch = 0;
  std::vector<MemberId> members{};

  bool Contains(const MemberId& member) const;
  bool operator==(const Membership&) const = default;
  std::size_t majority() const { return members.size() / 2 + 1; }
};

// The status that a member reports with each answer.
struct MemberStatus {
  MemberId member{};
  std::uint64_t epoch = 0;           // the newest epoch adopted on disk; it votes in no older one
  std::uint64_t complete_epoch = 0;  // it holds on disk all leaves acknowledged in epochs before this
  bool votes = false;                // in `epoch`: it is a member of it and complete
  std::uint64_t watermark = 0;       // on disk (registry_replication/watermark.hpp)
};

// The members that hold one leave.
class LeaveVotes {
 public:
  void Add(const MemberId& member, std::uint64_t epoch) { votes_.insert({epoch, member}); }
  // Whether a majority of these members has voted in their epoch.
  bool HasMajority(const Membership& membership) const;
  bool HasVoted(const std::string& name, std::uint64_t epoch) const;
  std::string VoterNames() const;  // for the log

 private:
  struct Vote {
    std::uint64_t epoch = 0;
    MemberId member;
    auto operator<=>(const Vote&) const = default;
  };
  std::set<Vote> votes_;  // at most one per member and epoch
};

}  // namespace curlewdoor::registry_replication
