// Node: counts of tenants, kept by core members and added to by all gateways.
#include <algorithm>
#include <set>
#include <utility>

#include "system/node.hpp"
#include "system/node_limits.hpp"
#include "util/hash.hpp"

namespace curlewdoor::system {

const Node::CoreMember* Node::Holder(const std::string& tenant) const {
  const CoreMember* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const CoreMember& member : members_) {
    const std::uint64_t rank = StableHash(tenant, StableHash(member.name, member.disk));
    if (best != nullptr && rank <= best_rank) continue;
    best = &member;
    best_rank = rank;
  }
  return best;
}

std::optional<quota::QuotaCounters::Added> Node::AddHere(const std::string& tenant,
                                                         const std::string& gateway,
                                                         const AddToCounter& call) {
  const CoreMember* holder = Holder(tenant);
  const bool here = holder != nullptr && holder->name == settings_.node_name && holder->disk == disk_;
  if (!here || !had_majority_) {
    ++adds_elsewhere_;
    return std::nullopt;
  }
  const auto plan = front_.PlanOf(tenant);
  return counts_.Add(
      Net(Now()), {tenant, gateway, call.name, call.lifetime, call.amount, plan != nullptr ? plan->burst : 0,
                   call.use, call.held_share, call.window_began});
}

void Node::NoteCounter(const std::string& member, bool counted) {
  int& failed = failed_adds_[member];
  if (!counted) {
    if (++failed == kCounterSilentAfter) Say(Event::kCounterSilent, member);
    return;
  }
  if (std::exchange(failed, 0) >= kCounterSilentAfter) Say(Event::kCounterBack, member);
}

// It has not said that it leaves, and was there not long ago.
bool Node::MayBeAtWork(const fleet::Member& member) {
  if (member.record.present()) return true;
  return member.record.state != fleet::MemberState::kLeft && Now() - member.state_since <= kAwayFor;
}

// Gateways that were there not long ago and have not said that they leave, and that can't be heard here.
void Node::LookWhoIsAway() {
  std::set<std::string> heard;
  link_.ForEach([&](Link::Stream& stream) {
    if (stream.subscribed) heard.insert(stream.name);
  });
  std::set<std::string> away, all{settings_.node_name};
  for (const auto& [name, member] : fleet_->others()) {
    if (!MayBeAtWork(member)) continue;
    all.insert(name);
    if (!heard.contains(name)) away.insert(name);
  }
  counts_.SetUnreachable(std::move(away), std::move(all));
}

void Node::AddToCount(const std::string& tenant, const AddToCounter& call) {
  const CoreMember* holder = Holder(tenant);
  Link::Stream* stream = nullptr;
  const bool here = holder != nullptr && holder->name == settings_.node_name;
  if (holder != nullptr && !here) stream = link_.To(holder->address);
  const auto offset = holder != nullptr ? offsets_.find(holder->name) : offsets_.end();
  if (stream != nullptr && offset != offsets_.end() && addings_.size() < kMostAddings) {
    const std::uint64_t number = next_number_++;
    addings_[number] = {call.name, holder->name, stream->number, Now() + kAddEnds};
    const auto lifetime = std::chrono::duration_cast<std::chrono::microseconds>(call.lifetime).count();
    return stream->Send(Encode(AddUnits{
        number, tenant, call.name.value, lifetime, call.amount, Microseconds(Now() + offset->second.offset),
        call.use, call.held_share, Microseconds(Steady(call.window_began.time_since_epoch()))}));
  }
  // Answered from the loop, never from within.
  const auto added = here ? AddHere(tenant, settings_.node_name, call) : std::nullopt;
  if (holder != nullptr) NoteCounter(holder->name, added.has_value());
  const auto [total, share] = added.value_or(quota::QuotaCounters::Added{});
  front_.CountLater({call.name, added ? Outcome::kOk : Outcome::kConnectFailed, total, Duration{}, share});
}

void Node::FailAdds(const std::function<bool(const Adding&)>& failed) {
  std::vector<CounterName> names;
  for (auto it = addings_.begin(); it != addings_.end();) {
    if (!failed(it->second)) {
      ++it;
      continue;
    }
    NoteCounter(it->second.member, false);
    names.push_back(it->second.name);
    it = addings_.erase(it);
  }
  for (const CounterName name : names) front_.OnCount({name, Outcome::kTimeout, 0, kAddEnds});
}

Duration Node::ClockOffset(const std::string& tenant) const {
  const CoreMember* holder = Holder(tenant);
  if (holder == nullptr || holder->name == settings_.node_name) return {};
  const auto it = offsets_.find(holder->name);
  return it != offsets_.end() ? it->second.offset : Duration{};
}

}  // namespace curlewdoor::system
