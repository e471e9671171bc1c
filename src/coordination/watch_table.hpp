// Watches that wait for events of a group, each until its deadline. Has no timer: the caller polls for
// expired watches. The number of watches is bounded.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/command.hpp"

namespace curlewdoor::coordination {

// The pending watches, indexed by group and by deadline.
class WatchTable {
 public:
  using Time = std::chrono::steady_clock::time_point;
  struct Limits {
    std::size_t watches = 16'384;
    std::chrono::milliseconds max_wait = std::chrono::seconds(60);
  };
  struct Watch {
    std::uint64_t id = 0;
    std::string group;
    Revision after = 0;
  };

  explicit WatchTable(Limits limits) : limits_(limits) {}

  // False: the table is full, or the id is already in it.
  bool Add(Time now, std::uint64_t id, const std::string& group, Revision after,
           std::chrono::milliseconds wait);
  void Remove(std::uint64_t id);
  // Removes and returns the watches of the group with `after` below `revision`.
  std::vector<Watch> TakeReady(const std::string& group, Revision revision);
  // Removes and returns the watches whose deadline has passed, ordered by deadline.
  std::vector<Watch> TakeExpired(Time now);
  std::vector<Watch> TakeAll();
  std::optional<Time> NextDue() const;
  std::size_t size() const { return pending_.size(); }

 private:
  struct PendingWatch {
    Watch watch;
    Time due{};
  };
  Limits limits_;
  std::unordered_map<std::uint64_t, PendingWatch> pending_;
  std::map<std::string, std::multimap<Revision, std::uint64_t>> by_group_;
  std::multimap<Time, std::uint64_t> by_due_;
};

}  // namespace curlewdoor::coordination
