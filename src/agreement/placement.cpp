#include "agreement/placement.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>

namespace curlewdoor::agreement {
namespace {

// The number of voters of each zone or region, the highest first.
template <typename Key>
std::vector<std::size_t> SortedCounts(const std::vector<Location>& voters, Key key) {
  std::map<std::string, std::size_t> by_key;
  for (const Location& place : voters) ++by_key[key(place)];
  std::vector<std::size_t> counts;
  counts.reserve(by_key.size());
  for (const auto& [name, count] : by_key) counts.push_back(count);
  std::sort(counts.begin(), counts.end(), std::greater<>());
  return counts;
}

std::vector<std::size_t> CountsByZone(const std::vector<Location>& voters) {
  return SortedCounts(voters, [](const Location& place) { return place.zone; });
}
std::vector<std::size_t> CountsByRegion(const std::vector<Location>& voters) {
  return SortedCounts(voters, [](const Location& place) { return place.region; });
}

// How many voters may be lost with a majority left.
std::size_t MaxVoterLosses(std::size_t size) { return size == 0 ? 0 : size - (size / 2 + 1); }

int ToleratedLosses(const std::vector<std::size_t>& counts, std::size_t size) {
  std::size_t lost = 0;
  int tolerated = 0;
  for (const std::size_t count : counts) {
    lost += count;
    if (lost > MaxVoterLosses(size)) break;
    ++tolerated;
  }
  return tolerated;
}

std::size_t ExcessVoters(const std::vector<std::size_t>& counts, std::size_t size, int wanted) {
  const std::size_t places = std::min(counts.size(), static_cast<std::size_t>(std::max(0, wanted)));
  const auto end = counts.begin() + static_cast<std::ptrdiff_t>(places);
  const std::size_t lost = std::accumulate(counts.begin(), end, std::size_t{0});
  return lost > MaxVoterLosses(size) ? lost - MaxVoterLosses(size) : 0;
}

std::vector<Location> WithChange(std::vector<Location> voters, std::optional<std::size_t> out,
                                 const Location* in) {
  if (out && in != nullptr) {
    voters[*out] = *in;
  } else if (out) {
    voters.erase(voters.begin() + static_cast<std::ptrdiff_t>(*out));
  } else if (in != nullptr) {
    voters.push_back(*in);
  }
  return voters;
}

}  // namespace

FaultTolerance FaultToleranceOf(const std::vector<Location>& voters) {
  return {ToleratedLosses(CountsByZone(voters), voters.size()),
          ToleratedLosses(CountsByRegion(voters), voters.size())};
}

std::size_t PlacementExcess(const std::vector<Location>& voters, const FaultTolerance& wanted) {
  return ExcessVoters(CountsByZone(voters), voters.size(), wanted.zones) +
         ExcessVoters(CountsByRegion(voters), voters.size(), wanted.regions);
}

std::optional<PlacementChange> BetterPlacement(const std::vector<Location>& voters,
                                               const std::vector<Location>& spares,
                                               const FaultTolerance& wanted, std::size_t keep,
                                               std::size_t min_voters) {
  std::size_t best = PlacementExcess(voters, wanted);
  std::optional<PlacementChange> change;
  if (best == 0) return change;
  const auto consider = [&](std::size_t out, std::optional<std::size_t> in) {
    const std::size_t excess = PlacementExcess(WithChange(voters, out, in ? &spares[*in] : nullptr), wanted);
    if (excess >= best) return;
    best = excess;
    change = PlacementChange{out, in};
  };
  for (std::size_t out = 0; out < voters.size(); ++out)
    for (std::size_t in = 0; in < spares.size() && out != keep; ++in) consider(out, in);
  if (change || voters.size() <= min_voters) return change;
  for (std::size_t out = 0; out < voters.size(); ++out)
    if (out != keep) consider(out, std::nullopt);
  return change;
}

std::optional<std::size_t> BestSpare(const std::vector<Location>& voters, const std::vector<Location>& spares,
                                     const FaultTolerance& wanted, std::optional<std::size_t> out) {
  std::optional<std::size_t> best;
  std::size_t lowest_excess = 0;
  for (std::size_t in = 0; in < spares.size(); ++in) {
    const std::size_t excess = PlacementExcess(WithChange(voters, out, &spares[in]), wanted);
    if (best && excess >= lowest_excess) continue;
    best = in;
    lowest_excess = excess;
    if (lowest_excess == 0) break;
  }
  return best;
}

}  // namespace curlewdoor::agreement
