// A stand-in discovery: the list of nodes in versions, and what each gateway's agent has of it by now. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "logic.hpp"
#include "standin/random.hpp"

namespace curlewdoor::standin {

struct ListedNode {
  int node = 0;  // its place among the nodes of the rehearsal
  HostState state = HostState::kReady;
  TimePoint started;  // zero: long ago
};

struct DiscoveryTrouble {
  bool silent = false;
  Duration late{};     // beyond the usual
  bool stale = false;  // agents have what they had when this began
  bool operator==(const DiscoveryTrouble&) const = default;
};

struct ListAnswer {
  std::uint64_t version = 0;
  bool all = true;
  std::vector<ListedNode> nodes;
};

class Discovery {
 public:
  // A change reaches each gateway's agent after a time between `soonest` and `latest`.
  Discovery(int gateways, Duration soonest, Duration latest, std::uint64_t seed);

  void Change(TimePoint now, const ListedNode& node);
  void SetTrouble(TimePoint now, const DiscoveryTrouble& trouble);

  // What a gateway's agent answers. `from`: a watch, which has no answer while nothing is newer; it is to be
  // asked again at NextNews(). No answer either while it is silent.
  std::optional<ListAnswer> Read(TimePoint now, int gateway, std::optional<std::uint64_t> from);
  // When something newer than `from` reaches this gateway, as known now; nothing: not known yet.
  std::optional<TimePoint> NextNews(int gateway, std::uint64_t from) const;
  bool silent() const { return trouble_.silent; }

 private:
  struct Version {
    ListedNode node;
    std::vector<TimePoint> reaches;  // by gateway
  };
  std::uint64_t Has(TimePoint now, int gateway) const;  // the newest version that its agent has

  const Duration soonest_, latest_;
  const std::size_t gateways_;
  Random random_;
  DiscoveryTrouble trouble_;
  TimePoint stale_since_;
  std::vector<Version> versions_;  // version 1 stands first
};

}  // namespace curlewdoor::standin
