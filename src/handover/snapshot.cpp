#include "handover/snapshot.hpp"

#include <algorithm>
#include <utility>

#include "handover/frames.hpp"
#include "util/bytes.hpp"
#include "util/hash.hpp"

namespace curlewdoor::handover {
namespace {

constexpr std::uint64_t kMagic = 0x646f6f722d303100;  // the last byte: the version of what follows
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kMostOpenIds = 4096;

template <typename Codec, typename M>
void Fields(Codec& codec, M& m) requires std::is_same_v<std::remove_const_t<M>, LocalState> {
  codec(m.last_eviction_at, m.mean_units, m.work_limit, m.mean_density, m.visible_fraction, m.undetected_for,
        m.counter_down, m.failed_calls, m.next_probe_at, m.call_rate, m.call_tokens, m.call_tokens_at,
        m.mean_stake, m.mean_admitted, m.mean_counted, m.retry_budget, m.stale_failures, m.warm_rate,
        m.warm_successes, m.warm_since);
}
template <typename Codec, typename M>
void Fields(Codec& codec, M& m) requires std::is_same_v<std::remove_const_t<M>, CustomerState> {
  codec(m.name, m.plan_name, m.set_size, m.in_set, m.window, m.visible_fraction, m.leased, m.level,
        m.level_at, m.total, m.local_added, m.unposted, m.assumed_use, m.lease_size, m.lease_window,
        m.lease_at, m.local_use, m.total_use, m.usage_at, m.ceiling, m.exempt, m.ceiling_at, m.seen_at,
        m.plan_changed_at);
}
template <typename Codec, typename M>
void Fields(Codec& codec, M& m) requires std::is_same_v<std::remove_const_t<M>, GatewaySnapshot::HostRecord> {
  codec(m.host, m.started, m.stats.slowness, m.stats.slowness_at, m.stats.failures, m.stats.failure_rate,
        m.stats.failure_at, m.stats.success_at, m.stats.cold_budget, m.stats.cold_at);
}
template <typename Codec, typename M>
void Fields(Codec& codec,
            M& m) requires std::is_same_v<std::remove_const_t<M>, GatewaySnapshot::ClassRecord> {
  codec(m.name, m.stats.latency, m.stats.units);
}
template <typename Codec, typename M>
void Fields(Codec& codec, M& m) requires std::is_same_v<std::remove_const_t<M>, Member> {
  codec(m.entry.host, m.entry.zone, m.entry.kind, m.entry.cell, m.entry.state, m.entry.capacity_hint,
        m.entry.started, m.address.ip, m.address.port);
}
template <typename Codec, typename M>
void Fields(Codec& codec, M& m) requires(std::is_same_v<std::remove_const_t<M>, HostId> ||
                                         std::is_same_v<std::remove_const_t<M>, std::string>) {
  codec(m);
}

template <typename Codec, typename Items>
void List(Codec& codec, Items& items) {
  auto count = static_cast<std::uint32_t>(items.size());
  codec(count);
  if constexpr (Codec::kReads) {
    for (std::uint32_t i = 0; i < count && codec.ok(); ++i) Fields(codec, items.emplace_back());
  } else {
    for (auto& item : items) Fields(codec, item);
  }
}

template <typename Codec, typename S>
void All(Codec& codec, S& s) {
  Fields(codec, s.memory.local);
  List(codec, s.memory.hosts);
  List(codec, s.memory.classes);
  codec(s.descriptors, s.members.version);
  List(codec, s.members.members);
  List(codec, s.out_by_hand);
  List(codec, s.open_ids);
  List(codec, s.memory.customers);
}

}  // namespace

std::string Encode(Snapshot snapshot, TimePoint now) {
  if (snapshot.open_ids.size() > kMostOpenIds) snapshot.open_ids.resize(kMostOpenIds);
  auto& customers = snapshot.memory.customers;  // seen last first
  Writer body;
  for (;;) {
    body.bytes.clear();
    All(body, snapshot);
    if (body.bytes.size() + 24 <= kMostSnapshot || customers.empty()) break;
    customers.resize(customers.size() / 2);
    snapshot.memory.local.last_eviction_at = now;
  }
  Writer head;
  const std::uint64_t magic = kMagic | kVersion, sum = StableHash(body.bytes);
  head(magic, sum);
  return head.bytes + body.bytes;
}

std::optional<Snapshot> Decode(std::string_view bytes, std::string& error) {
  Reader reader(bytes);
  std::uint64_t magic = 0, sum = 0;
  reader(magic, sum);
  const std::string_view body = bytes.substr(std::min<std::size_t>(16, bytes.size()));
  if (!reader.ok() || (magic & ~std::uint64_t{255}) != kMagic) {
    error = "is no snapshot";
  } else if ((magic & 255) != kVersion) {
    error = "has version " + std::to_string(magic & 255) + ", not " + std::to_string(kVersion);
  } else if (StableHash(body) != sum) {
    error = "is cut or changed: its sum is wrong";
  }
  if (!error.empty()) return std::nullopt;
  Snapshot snapshot;
  All(reader, snapshot);
  for (const Member& member : snapshot.members.members)
    if (member.entry.state != HostState::kReady && member.entry.state != HostState::kDraining) reader.Fail();
  if (reader.done()) return snapshot;
  error = "has a value that can't be";
  return std::nullopt;
}

}  // namespace curlewdoor::handover
