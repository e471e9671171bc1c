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
void Fields(Codec& codec, M& m) requires std::is_same_v<std::remove_const_t<M>, OwnMemory> {
  codec(m.forgot_at, m.mean_units, m.room, m.mean_density, m.part, m.unseen_for, m.silent, m.call_failures,
        m.next_test, m.call_rate, m.calls_left, m.calls_at, m.mean_stake, m.admitted, m.counted,
        m.retry_budget, m.unheard_fails, m.warm_rate, m.warm_answers, m.warm_since);
}
template <typename Codec, typename M>
void Fields(Codec& codec, M& m) requires std::is_same_v<std::remove_const_t<M>, CustomerMemory> {
  codec(m.name, m.plan_name, m.set_size, m.in_set, m.window, m.part, m.held, m.level, m.level_at, m.total,
        m.own_added, m.owed, m.guessed, m.lease, m.leased_window, m.leased_at, m.own_use, m.all_use, m.use_at,
        m.ceiling, m.covered, m.ceiling_at, m.seen_at, m.plan_at);
}
template <typename Codec, typename M>
void Fields(Codec& codec, M& m) requires std::is_same_v<std::remove_const_t<M>, GatewayMemory::OfHost> {
  codec(m.host, m.started, m.memory.slowness, m.memory.slowness_at, m.memory.trouble, m.memory.fail_rate,
        m.memory.trouble_at, m.memory.heard_at, m.memory.cold_budget, m.memory.cold_at);
}
template <typename Codec, typename M>
void Fields(Codec& codec, M& m) requires std::is_same_v<std::remove_const_t<M>, GatewayMemory::OfClass> {
  codec(m.name, m.memory.latency, m.memory.units);
}
template <typename Codec, typename M>
void Fields(Codec& codec, M& m) requires std::is_same_v<std::remove_const_t<M>, Member> {
  codec(m.entry.host, m.entry.zone, m.entry.kind, m.entry.cell, m.entry.state, m.entry.size_hint,
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
  Fields(codec, s.memory.own);
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
    snapshot.memory.own.forgot_at = now;
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
