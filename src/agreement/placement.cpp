#include "agreement/placement.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>

namespace curlewdoor::agreement {
namespace {

// Voters by place, the fullest first.
template <typename Key>
std::vector<std::size_t> Counts(const std::vector<Place>& roster, Key key) {
  std::map<std::string, std::size_t> by_key;
  for (const Place& place : roster) ++by_key[key(place)];
  std::vector<std::size_t> counts;
  counts.reserve(by_key.size());
  for (const auto& [name, count] : by_key) counts.push_back(count);
  std::sort(counts.begin(), counts.end(), std::greater<>());
  return counts;
}

std::vector<std::size_t> ByZone(const std::vector<Place>& roster) {
  return Counts(roster, [](const Place& place) { return place.zone; });
}
std::vector<std::size_t> ByRegion(const std::vector<Place>& roster) {
  return Counts(roster, [](const Place& place) { return place.region; });
}

// Voters that may be lost with a majority left.
std::size_t Spare(std::size_t size) { return size == 0 ? 0 : size - (size / 2 + 1); }

int Borne(const std::vector<std::size_t>& counts, std::size_t size) {
  std::size_t lost = 0;
  int borne = 0;
  for (const std::size_t count : counts) {
    lost += count;
    if (lost > Spare(size)) break;
    ++borne;
  }
  return borne;
}

std::size_t Excess(const std::vector<std::size_t>& counts, std::size_t size, int wanted) {
  const std::size_t places = std::min(counts.size(), static_cast<std::size_t>(std::max(0, wanted)));
  const auto end = counts.begin() + static_cast<std::ptrdiff_t>(places);
  const std::size_t lost = std::accumulate(counts.begin(), end, std::size_t{0});
  return lost > Spare(size) ? lost - Spare(size) : 0;
}

std::vector<Place> Changed(std::vector<Place> roster, std::optional<std::size_t> out, const Place* in) {
  if (out && in != nullptr) {
    roster[*out] = *in;
  } else if (out) {
    roster.erase(roster.begin() + static_cast<std::ptrdiff_t>(*out));
  } else if (in != nullptr) {
    roster.push_back(*in);
  }
  return roster;
}

}  // namespace

Spread SpreadOf(const std::vector<Place>& roster) {
  return {Borne(ByZone(roster), roster.size()), Borne(ByRegion(roster), roster.size())};
}

std::size_t ExcessOf(const std::vector<Place>& roster, const Spread& wanted) {
  return Excess(ByZone(roster), roster.size(), wanted.zones) +
         Excess(ByRegion(roster), roster.size(), wanted.regions);
}

std::optional<PlacementChange> BetterPlacement(const std::vector<Place>& roster,
                                               const std::vector<Place>& spares, const Spread& wanted,
                                               std::size_t keep, std::size_t least) {
  std::size_t best = ExcessOf(roster, wanted);
  std::optional<PlacementChange> change;
  if (best == 0) return change;
  const auto consider = [&](std::size_t out, std::optional<std::size_t> in) {
    const std::size_t excess = ExcessOf(Changed(roster, out, in ? &spares[*in] : nullptr), wanted);
    if (excess >= best) return;
    best = excess;
    change = PlacementChange{out, in};
  };
  for (std::size_t out = 0; out < roster.size(); ++out)
    for (std::size_t in = 0; in < spares.size() && out != keep; ++in) consider(out, in);
  if (change || roster.size() <= least) return change;
  for (std::size_t out = 0; out < roster.size(); ++out)
    if (out != keep) consider(out, std::nullopt);
  return change;
}

std::optional<std::size_t> BestSpare(const std::vector<Place>& roster, const std::vector<Place>& spares,
                                     const Spread& wanted, std::optional<std::size_t> out) {
  std::optional<std::size_t> best;
  std::size_t least = 0;
  for (std::size_t in = 0; in < spares.size(); ++in) {
    const std::size_t excess = ExcessOf(Changed(roster, out, &spares[in]), wanted);
    if (best && excess >= least) continue;
    best = in;
    least = excess;
    if (least == 0) break;
  }
  return best;
}

}  // namespace curlewdoor::agreement
