// A simplified simulation of the agreement on core memberships, for randomized tests of the registry. A
// majority seals the current epoch, and then the next one, with one member replaced, is chosen. The test
// decides when each process learns of it. Also contains helpers that both tests share.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "registry_replication/replica.hpp"

namespace curlewdoor::registry_replication {

// `Machine` has incarnation, up, known_membership, disk_membership, sealed and replica. The first `count`
// machines may be members.
template <typename Machine>
class SimulatedAgreement {
 public:
  struct Rates {                  // probabilities per step
    double replaces_healthy = 0;  // that a healthy member is replaced, once a change is proposed
    double seals = 0;             // that a member seals, if it is able to
  };

  // `is_running`: whether this machine is running now. `chance`: returns true with this probability.
  SimulatedAgreement(std::map<int, Machine>& machines, int count, Rates rates,
                     std::function<bool(int)> is_running, std::function<bool(double)> chance)
      : machines_(machines),
        count_(count),
        rates_(rates),
        is_running_(std::move(is_running)),
        chance_(std::move(chance)) {}

  void Begin(int size) {
    for (int m = 0; m < size; ++m) membership_.members.push_back(Id(m));
    membership_.epoch = 1;
  }
  void Step() {
    if (next_.members.empty() && chance_(0.01)) Propose();
    if (!next_.members.empty()) Seal();
  }

  const Membership& membership() const { return membership_; }
  // The next membership that a member with this epoch learns of.
  Membership MembershipAfter(std::uint64_t epoch) const {
    return epoch == 0 || epoch + 1 == membership_.epoch ? membership_ : chosen_.at(epoch + 1);
  }
  MemberId Id(int m) const {
    return {std::string(1, static_cast<char>('a' + m)), machines_.at(m).incarnation};
  }
  static int MachineOf(const MemberId& id) { return id.name[0] - 'a'; }
  // Whether the machine is down or its disk was wiped.
  bool IsLost(const MemberId& id) const {
    const Machine& machine = machines_.at(MachineOf(id));
    return !machine.up || machine.incarnation != id.incarnation;
  }
  int CountLost() const {
    return static_cast<int>(std::count_if(membership_.members.begin(), membership_.members.end(),
                                          [this](const MemberId& id) { return IsLost(id); }));
  }

 private:
  // Waits until a majority has adopted this epoch and is complete in it, since two replacements at the same
  // time amount to two lost members.
  void Propose() {
    const auto complete =
        std::count_if(membership_.members.begin(), membership_.members.end(), [this](const MemberId& id) {
          return !IsLost(id) &&
                 machines_.at(MachineOf(id)).replica->status().complete_epoch == membership_.epoch;
        });
    if (static_cast<std::size_t>(complete) < membership_.majority()) return;
    Membership next{membership_.epoch + 1, membership_.members};
    for (MemberId& id : next.members) {
      if (!IsLost(id) && !chance_(rates_.replaces_healthy)) continue;
      for (int m = 0; m < count_; ++m) {
        if (!is_running_(m) || next.Contains(Id(m))) continue;
        id = Id(m);
        next_ = next;
        return;
      }
    }
  }
  void Seal() {
    std::size_t sealed = 0;
    for (const MemberId& id : membership_.members) {
      Machine& machine = machines_.at(MachineOf(id));
      if (machine.incarnation != id.incarnation) continue;
      const bool on_disk = machine.disk_membership.epoch == membership_.epoch;
      const bool can_seal =
          is_running_(MachineOf(id)) && machine.known_membership.epoch == membership_.epoch && on_disk;
      if (can_seal && chance_(rates_.seals)) machine.sealed = true;
      sealed += machine.sealed && on_disk ? 1 : 0;
    }
    if (sealed < membership_.majority()) return;
    chosen_[membership_.epoch] = membership_;
    membership_ = std::exchange(next_, {});
    chosen_[membership_.epoch] = membership_;
  }

  std::map<int, Machine>& machines_;
  const int count_;
  const Rates rates_;
  const std::function<bool(int)> is_running_;
  const std::function<bool(double)> chance_;
  Membership membership_, next_;
  std::map<std::uint64_t, Membership> chosen_;
};

// The number of seeds to run: CURLEWDOOR_SEARCH_SEEDS if set, or the default.
inline int Seeds(int default_count) {
  const char* seeds = std::getenv("CURLEWDOOR_SEARCH_SEEDS");
  return seeds != nullptr ? std::atoi(seeds) : default_count;
}

// The first seed up to `max_seeds` for which `run` returns a violation, and the violation; empty if there is
// none.
inline std::pair<int, std::string> FirstViolation(int max_seeds,
                                                  const std::function<std::string(std::uint64_t)>& run) {
  for (int seed = 1; seed <= max_seeds; ++seed)
    if (std::string violation = run(static_cast<std::uint64_t>(seed)); !violation.empty())
      return {seed, std::move(violation)};
  return {max_seeds + 1, {}};
}

}  // namespace curlewdoor::registry_replication
