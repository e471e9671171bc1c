// Votes of core members on the service registry. Pure.
//
// A host's leave is acknowledged once a majority of one epoch's members holds it on disk; a gateway's list of
// hosts is proved by the answers of a majority. Two majorities of one epoch share a member, so a gateway
// whose proof began after an acknowledgement knows the leave. What carries leaves from one epoch to the next
// is in replica.hpp; docs/registry.md has the whole argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace curlewdoor::registry_replication {

// A machine and its incarnation: a wiped disk is another member.
struct MemberId {
  std::string name{};
  std::uint64_t incarnation = 0;
  auto operator<=>(const MemberId&) const = default;
};

// The members of the core in one epoch. Epoch 0: none is known.
struct Roster {
  std::uint64_t epoch = 0;
  std::vector<MemberId> members{};

  bool Holds(const MemberId& member) const;
  bool operator==(const Roster&) const = default;
  std::size_t majority() const { return members.size() / 2 + 1; }
};

// What a member says of itself with each answer.
struct Standing {
  MemberId member{};
  std::uint64_t epoch = 0;           // the newest that it has adopted, on disk: it votes in no older one
  std::uint64_t complete_epoch = 0;  // it holds on disk all leaves acknowledged in epochs before this one
  bool votes = false;                // in `epoch`: it is in that roster and complete
  std::uint64_t watermark = 0;       // on disk (registry_replication/watermark.hpp)
};

// Who holds one leave.
class HolderVotes {
 public:
  void Add(const MemberId& member, std::uint64_t epoch) { votes_.insert({epoch, member}); }
  // Whether a majority of this roster has voted in its epoch.
  bool Chosen(const Roster& roster) const;
  bool Voted(const std::string& name, std::uint64_t epoch) const;
  std::string Names() const;  // for the log

 private:
  struct Vote {
    std::uint64_t epoch = 0;
    MemberId member;
    auto operator<=>(const Vote&) const = default;
  };
  std::set<Vote> votes_;  // at most one a member and epoch
};

}  // namespace curlewdoor::registry_replication
