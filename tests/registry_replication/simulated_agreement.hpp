// The agreement on rosters, in short, for searches over the registry: a majority seals, then the successor is
// chosen, with one member exchanged; who hears of it, and when, is the search's. And what both searches need.
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

// `Machine` has incarnation, up, known and core_disk (rosters), sealed and replica; the first `count` of the
// machines may be members.
template <typename Machine>
class ShortAgreement {
 public:
  struct Pace {                  // chances a step
    double exchanges_sound = 0;  // a member that isn't lost, once a change is proposed
    double seals = 0;            // a member that may
  };

  // `acts`: whether this machine does anything now. `chance`: true in so many cases of one.
  ShortAgreement(std::map<int, Machine>& machines, int count, Pace pace, std::function<bool(int)> acts,
                 std::function<bool(double)> chance)
      : machines_(machines), count_(count), pace_(pace), acts_(std::move(acts)), chance_(std::move(chance)) {}

  void Begin(int size) {
    for (int m = 0; m < size; ++m) roster_.members.push_back(Id(m));
    roster_.epoch = 1;
  }
  void Step() {
    if (next_.members.empty() && chance_(0.01)) Propose();
    if (!next_.members.empty()) Seal();
  }

  const Roster& roster() const { return roster_; }
  // What a member that knows this epoch hears of next.
  Roster After(std::uint64_t epoch) const {
    return epoch == 0 || epoch + 1 == roster_.epoch ? roster_ : chosen_.at(epoch + 1);
  }
  MemberId Id(int m) const {
    return {std::string(1, static_cast<char>('a' + m)), machines_.at(m).incarnation};
  }
  static int MachineOf(const MemberId& id) { return id.name[0] - 'a'; }
  // A machine that is down, or whose disk was wiped.
  bool Lost(const MemberId& id) const {
    const Machine& machine = machines_.at(MachineOf(id));
    return !machine.up || machine.incarnation != id.incarnation;
  }
  int CountLost() const {
    return static_cast<int>(std::count_if(roster_.members.begin(), roster_.members.end(),
                                          [this](const MemberId& id) { return Lost(id); }));
  }

 private:
  // Not before a majority holds this epoch and is complete in it, as two exchanges at once are two losses.
  void Propose() {
    const auto complete =
        std::count_if(roster_.members.begin(), roster_.members.end(), [this](const MemberId& id) {
          return !Lost(id) && machines_.at(MachineOf(id)).replica->standing().complete_epoch == roster_.epoch;
        });
    if (static_cast<std::size_t>(complete) < roster_.majority()) return;
    Roster next{roster_.epoch + 1, roster_.members};
    for (MemberId& id : next.members) {
      if (!Lost(id) && !chance_(pace_.exchanges_sound)) continue;
      for (int m = 0; m < count_; ++m) {
        if (!acts_(m) || next.Holds(Id(m))) continue;
        id = Id(m);
        next_ = next;
        return;
      }
    }
  }
  void Seal() {
    std::size_t sealed = 0;
    for (const MemberId& id : roster_.members) {
      Machine& machine = machines_.at(MachineOf(id));
      if (machine.incarnation != id.incarnation) continue;
      const bool on_disk = machine.core_disk.epoch == roster_.epoch;
      const bool may = acts_(MachineOf(id)) && machine.known.epoch == roster_.epoch && on_disk;
      if (may && chance_(pace_.seals)) machine.sealed = true;
      sealed += machine.sealed && on_disk ? 1 : 0;
    }
    if (sealed < roster_.majority()) return;
    chosen_[roster_.epoch] = roster_;
    roster_ = std::exchange(next_, {});
    chosen_[roster_.epoch] = roster_;
  }

  std::map<int, Machine>& machines_;
  const int count_;
  const Pace pace_;
  const std::function<bool(int)> acts_;
  const std::function<bool(double)> chance_;
  Roster roster_, next_;
  std::map<std::uint64_t, Roster> chosen_;
};

// Seeds to be played: CURLEWDOOR_SEARCH_SEEDS, else as usual.
inline int Seeds(int usual) {
  const char* told = std::getenv("CURLEWDOOR_SEARCH_SEEDS");
  return told != nullptr ? std::atoi(told) : usual;
}

// The first seed up to `most` with which `play` finds a violation, and that; an empty one: none does.
inline std::pair<int, std::string> FirstViolation(int most,
                                                  const std::function<std::string(std::uint64_t)>& play) {
  for (int seed = 1; seed <= most; ++seed)
    if (std::string violation = play(static_cast<std::uint64_t>(seed)); !violation.empty())
      return {seed, std::move(violation)};
  return {most + 1, {}};
}

}  // namespace curlewdoor::registry_replication
