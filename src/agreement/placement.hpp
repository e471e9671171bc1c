// Where voters stand: what a roster bears when whole zones or regions are lost at once. Pure values.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace curlewdoor::agreement {

/// Of a machine. Those whose zone isn't known count as standing in one zone together.
struct Place {
  std::string zone{}, region{};
  bool operator==(const Place&) const = default;
};

/// How many zones, or how many regions, may be lost at once with a majority of the roster left.
struct Spread {
  int zones = 0, regions = 0;
  bool operator==(const Spread&) const = default;
  bool Covers(const Spread& wanted) const { return zones >= wanted.zones && regions >= wanted.regions; }
};

/// What this roster bears.
Spread SpreadOf(const std::vector<Place>& roster);

/// How many voters too many stand in the fullest `wanted` zones and regions; 0: `wanted` is borne. Each
/// single change that makes it less is a step towards that.
std::size_t ExcessOf(const std::vector<Place>& roster, const Spread& wanted);

/// A change of one voter.
struct PlacementChange {
  std::optional<std::size_t> out{};  // of the roster
  std::optional<std::size_t> in{};   // of the spares
};

/// The single change that lessens the excess most: an exchange, or else one voter less, as long as `least`
/// are left. `keep`: never taken out. nullopt: none lessens it.
std::optional<PlacementChange> BetterPlacement(const std::vector<Place>& roster,
                                               const std::vector<Place>& spares, const Spread& wanted,
                                               std::size_t keep, std::size_t least);

/// Of the spares, the one with which the roster has the least excess when it stands in the place of `out`, or
/// beside all if that is nullopt; the first of several. nullopt: there are no spares.
std::optional<std::size_t> BestSpare(const std::vector<Place>& roster, const std::vector<Place>& spares,
                                     const Spread& wanted, std::optional<std::size_t> out);

}  // namespace curlewdoor::agreement
