// Node: messages of the membership protocol, and what follows from a new view of the gateways.
#include <algorithm>
#include <set>
#include <utility>

#include "system/node.hpp"
#include "system/node_limits.hpp"

namespace curlewdoor::system {

void Node::OnDatagram(std::string_view bytes) {
  auto why = fleet::DropReason::kNone;
  const auto message = fleet::Decode(bytes, kFleetName, why);
  if (!message || message->kind == fleet::MessageKind::kExchange ||
      message->kind == fleet::MessageKind::kExchangeReply)
    return;
  fleet::ProtocolOutput out;
  fleet_->OnMessage(Now(), *message, out);
  ExecuteFleet(out);
}

std::string Node::OnExchange(std::string_view bytes) {
  auto why = fleet::DropReason::kNone;
  const auto message = fleet::Decode(bytes, kFleetName, why);
  if (!message || message->kind != fleet::MessageKind::kExchange) return {};
  std::string answer = fleet::Encode(fleet_->FullState(fleet::MessageKind::kExchangeReply), kFleetName);
  fleet::ProtocolOutput out;
  fleet_->OnMessage(Now(), *message, out);
  ExecuteFleet(out);
  return answer;
}

void Node::OnExchangeEnd(const Address& with, std::string_view bytes) {
  auto why = fleet::DropReason::kNone;
  fleet::ProtocolOutput out;
  const auto message = bytes.empty() ? std::nullopt : fleet::Decode(bytes, kFleetName, why);
  if (message && message->kind == fleet::MessageKind::kExchangeReply) {
    fleet_->OnMessage(Now(), *message, out);
  } else {
    fleet_->OnExchangeFailed(Now(), with, out);
  }
  ExecuteFleet(out);
}

void Node::ExecuteFleet(const fleet::ProtocolOutput& out) {
  for (const auto& [to, message] : out.datagrams) fleet_link_.Send(to, fleet::Encode(message, kFleetName));
  for (const auto& [with, message] : out.exchanges)
    fleet_link_.Exchange(with, fleet::Encode(message, kFleetName));
  for (const fleet::MembershipChange& change : out.changes) {
    if (change.kind != fleet::MembershipChange::Kind::kMemberChanged) continue;
    Say(change.member.present() ? Event::kMemberSeen : Event::kMemberLost,
        change.member.name + " " + std::string(fleet::StateName(change.member.state)) + " " +
            change.member.metadata);
  }
  fleet_timer_.Stop();
  if (const auto due = fleet_->NextDue()) {
    ev_now_update(loop_);
    fleet_timer_.StartIn(std::max(fleet::Duration::zero(), *due - Now()));
  }
  if (std::exchange(seen_view_, fleet_->version()) != fleet_->version()) OnView();
}

void Node::OnView() {
  std::vector<Address> targets;
  std::vector<agreement::ObservedMachine> counted;
  const auto look = [&](const fleet::MemberRecord& record) {
    const bool of_roster = std::any_of(members_.begin(), members_.end(),
                                       [&](const CoreMember& each) { return each.name == record.name; });
    // The lives of a machine's earlier processes are gone, and all of them are once it has left.
    if (in_memory_ && of_roster && (!IsOfCore(record) || record.state == fleet::MemberState::kLeft))
      counted.push_back(
          {{{record.name, FirstLife(record.boot + (record.state == fleet::MemberState::kLeft))}, {}},
           false,
           {}});
    if (!IsOfCore(record)) return;
    const Address address{record.address.ip, link_address_.port};
    const std::uint64_t disk =
        std::strtoull(record.metadata.c_str() + record.metadata.find(':') + 1, nullptr, 16);
    counted.push_back({{{record.name, disk}, address.ToText()}, record.present(), PlaceOf(record)});
    if (record.present() && address != link_address_) targets.push_back(address);
  };
  look(fleet_->self());
  for (const auto& [name, member] : fleet_->others()) look(member.record);
  for (const CoreMember& member : members_)
    if (member.address != link_address_) targets.push_back(member.address);
  if (founding_) founding_->AddTargets(targets);
  // Nobody is known yet, or none of them has been in contact: a seed is of the core or knows it.
  if (targets.empty() || (!InContact() && Now() - started_at_ > kContactFresh))
    for (const Address& seed : settings_.seed_nodes)
      if (seed.ip != settings_.ip_address) targets.push_back({seed.ip, link_address_.port});
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  link_.SetTargets(targets);
  // Each zone's gateways in the order of their names: the same for all who see the same.
  std::size_t index = 0, in_zone = 1;
  for (const auto& [name, member] : fleet_->others()) {
    if (!member.record.present() || ZoneOf(member.record) != ZoneOf(fleet_->self())) continue;
    ++in_zone;
    index += name < settings_.node_name;
  }
  // Those that a cut hides are at work and spend their part: a gateway behind one doesn't take it for its
  // own.
  int gateways = 1;
  for (const auto& [name, member] : fleet_->others()) gateways += MayBeAtWork(member);
  gateways_ = AtLeast(gateways);
  if (front_.SetGateways(gateways_, index, in_zone)) front_.SetHosts(by_service_);
  UpdateHeartbeatTargets();
  if (!core_) return;
  if (founding_) founding_->OnView(counted);
  agreement::CoreOutput out;
  core_->OnView(Now(), counted, out);
  ExecuteCore(std::move(out));
}

// Who is back sees the others one by one, and has its part of all quotas at once: until its view stands still
// it divides by as many as there were.
int Node::AtLeast(int gateways) {
  gathered_ = gathered_ || fleet_->settled() || Now() - started_at_ > kGatherAtMost;
  return gathered_ ? gateways : std::max(gateways, least_gateways_);
}

// What a gateway says of itself in the view: whether it is of the core, then its zone.
std::string Node::ZoneOf(const fleet::MemberRecord& record) {
  return record.metadata.substr(record.metadata.find(' ') + 1);
}

agreement::Location Node::PlaceOf(const fleet::MemberRecord& record) const {
  const std::string zone = ZoneOf(record);
  const auto region = settings_.zones.find(zone);
  return {zone, region != settings_.zones.end() ? region->second : std::string()};
}

bool Node::IsOfCore(const fleet::MemberRecord& record) {
  return record.metadata.starts_with(kOnDisk) || record.metadata.starts_with(kInMemory);
}

// Where no machine has a disk that counts, the core is of those that serve control, in memory: the first ones
// by address, while the whole system starts, or where others are so already.
void Node::ConsiderCore() {
  if (core_ || settings_.quorum_member || !settings_.listen_addresses.control_plane) return;
  if (!fleet_->joined()) return;
  // Once there is a core, who is back takes its place at once: in a roll the view never settles.
  if (epoch_ == 0 && (!fleet_->settled() || Now() - started_at_ < kConsiderAfter)) return;
  std::size_t before = 0, in_memory = 0;
  for (const auto& [name, member] : fleet_->others()) {
    if (member.record.metadata.starts_with(kOnDisk)) return;
    if (!member.record.present()) continue;
    in_memory += member.record.metadata.starts_with(kInMemory);
    before += member.record.address < fleet_address_;
  }
  if (before >= kMostInMemory || (!settings_.bootstrap && in_memory == 0)) return;
  volunteers_ = true;
  TryOpenCore();
}

}  // namespace curlewdoor::system
