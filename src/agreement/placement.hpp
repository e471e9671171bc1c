// Placement of voters over zones and regions: how many whole zones or regions a set of voters can lose at
// once, and which changes improve that. Plain values only.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace curlewdoor::agreement {

// Where a machine stands. Machines of unknown zone count as being in one zone together.
struct Location {
  std::string zone{}, region{};
  bool operator==(const Location&) const = default;
};

// How many zones, or how many regions, may fail at once with a majority of the voters left.
struct FaultTolerance {
  int zones = 0, regions = 0;
  bool operator==(const FaultTolerance&) const = default;
  bool Covers(const FaultTolerance& wanted) const {
    return zones >= wanted.zones && regions >= wanted.regions;
  }
};

// What these voters tolerate.
FaultTolerance FaultToleranceOf(const std::vector<Location>& voters);

// How many voters too many are in the `wanted` fullest zones and regions; 0: `wanted` is tolerated. Every
// single change that lowers the excess is a step towards that.
std::size_t PlacementExcess(const std::vector<Location>& voters, const FaultTolerance& wanted);

// A change of one voter.
struct PlacementChange {
  std::optional<std::size_t> out{};  // index of a voter
  std::optional<std::size_t> in{};   // index of a spare
};

// The single change that lowers the excess most: a replacement, or else the removal of a voter, provided
// that `min_voters` remain. The voter `keep` is never removed. nullopt: no change lowers it.
std::optional<PlacementChange> BetterPlacement(const std::vector<Location>& voters,
                                               const std::vector<Location>& spares,
                                               const FaultTolerance& wanted, std::size_t keep,
                                               std::size_t min_voters);

// The spare with the lowest resulting excess when it replaces the voter `out`, or is added if that is
// nullopt; the first one among equals. nullopt: there are no spares.
std::optional<std::size_t> BestSpare(const std::vector<Location>& voters, const std::vector<Location>& spares,
                                     const FaultTolerance& wanted, std::optional<std::size_t> out);

}  // namespace curlewdoor::agreement
