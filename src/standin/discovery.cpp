#include "standin/discovery.hpp"

#include <algorithm>
#include <map>

namespace curlewdoor::standin {

Discovery::Discovery(int gateways, Duration soonest, Duration latest, std::uint64_t seed)
    : soonest_(soonest),
      latest_(latest),
      gateways_(static_cast<std::size_t>(gateways)),
      random_(MakeRandom(seed, "discovery")) {}

void Discovery::Change(TimePoint now, const ListedNode& node) {
  Version version{node, {}};
  for (std::size_t g = 0; g < gateways_; ++g) {
    const Duration takes = FromSeconds(Uniform(random_, Seconds(soonest_), Seconds(latest_)));
    const TimePoint before = versions_.empty() ? now : versions_.back().reaches[g];
    version.reaches.push_back(std::max(before, now + takes + trouble_.late));
  }
  versions_.push_back(std::move(version));
}

void Discovery::SetTrouble(TimePoint now, const DiscoveryTrouble& trouble) {
  if (trouble.stale && !trouble_.stale) stale_since_ = now;
  trouble_ = trouble;
}

std::uint64_t Discovery::Has(TimePoint now, int gateway) const {
  const TimePoint by = trouble_.stale ? std::min(now, stale_since_) : now;
  std::uint64_t has = 0;
  for (std::size_t i = versions_.size(); i > 0 && has == 0; --i)
    if (versions_[i - 1].reaches[static_cast<std::size_t>(gateway)] <= by) has = i;
  return has;
}

std::optional<ListAnswer> Discovery::Read(TimePoint now, int gateway, std::optional<std::uint64_t> from) {
  if (trouble_.silent) return std::nullopt;
  ListAnswer answer;
  answer.version = Has(now, gateway);
  // A watcher that knows more than the agent has is told the whole list, as the agent has it.
  answer.all = !from || *from > answer.version;
  if (from && *from == answer.version) return std::nullopt;
  std::map<int, ListedNode> nodes;
  for (std::uint64_t v = answer.all ? 0 : *from; v < answer.version; ++v)
    nodes[versions_[v].node.node] = versions_[v].node;
  for (const auto& [index, node] : nodes)
    if (!answer.all || node.state != HostState::kRemoved) answer.nodes.push_back(node);
  return answer;
}

std::optional<TimePoint> Discovery::NextNews(int gateway, std::uint64_t from) const {
  if (from >= versions_.size() || trouble_.silent || trouble_.stale) return std::nullopt;
  return versions_[from].reaches[static_cast<std::size_t>(gateway)];
}

}  // namespace curlewdoor::standin
