// The first epoch.
#include <algorithm>
#include <bit>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

using std::chrono::milliseconds;

namespace {

constexpr auto kOfferTimeout = milliseconds(600);

bool Holds(const std::vector<Member>& members, const Life& life) {
  return std::any_of(members.begin(), members.end(), [&life](const Member& m) { return m.life == life; });
}

}  // namespace

void Core::Found(Time now, std::vector<Member> members, Out& out) {
  if (state_.roster.epoch != 0 || members.empty() || members.size() > kMostMembers) return;
  const auto size = static_cast<std::uint32_t>(members.size());
  Adopt(now, {1, std::move(members), size}, held_, state_.stamp, out);
  Settle(now, out);
}

// Epoch 1 starts with an offer that all in it have taken. Two offers that share a taker can't both start: who
// has taken P's offer takes Q's only when P is in Q's list; so P has taken Q's, and had to drop its own
// attempt for that (and one that has started doesn't take offers). Attempts are in memory: a proposer that
// starts anew has none. Offers without a common taker are kept apart by least_members alone.

std::vector<Member> Core::First() const {
  std::vector<Member> members{self_};
  for (const auto& [life, watch] : watch_) {
    bool never = std::find(never_.begin(), never_.end(), life) != never_.end();
    if (watch.alive && !never && members.size() < kMostMembers) members.push_back(watch.member);
  }
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.address < b.address; });
  return members;
}

void Core::TickOffer(Time now, Out& out) {
  if (state_.roster.epoch != 0 || !bootstrap_) return;
  if (!first_seen_) first_seen_ = now;
  if (offering_) {
    if (now >= offering_->deadline) {
      offering_.reset();
    } else if (now >= offering_->next) {
      offering_->next = now + options_.again;
      for (const Member& m : offering_->members) Send(m, offering_->request, Offer{offering_->members}, out);
    }
    return;
  }
  std::vector<Member> members = First();
  if (members != first_view_) {
    first_view_ = members;
    first_since_ = now;
  }
  const Duration waited = now - *first_seen_;
  bool enough = members.size() >= options_.least_members || waited >= options_.least_wait;
  if (!seeds_seen_ &&
      waited < (members.size() >= options_.least_members ? options_.least_wait : options_.seeds_wait))
    enough = false;
  if (members.front().life != self_.life || !enough || now - first_since_ < options_.settle) return;
  offering_ = Offering{next_id_++, members, 0, now + kOfferTimeout, now + options_.again};
  for (const Member& m : offering_->members) Send(m, offering_->request, Offer{offering_->members}, out);
}

void Core::OnOffer(Time now, const Message& m, const Offer& offer, Out& out) {
  if (state_.roster.epoch != 0) return;
  if (!bootstrap_) return Send(m.from, m.id, OfferTaken{false, true}, out);
  bool mine = m.from.life == self_.life;
  if (mine && (!offering_ || offering_->request != m.id)) return;
  // Last resort: a proposer that is gone for good would hold all that took its offer.
  std::erase_if(state_.bound, [&](const Life& life) {
    auto watch = watch_.find(life);
    if (life == self_.life || life == m.from.life) return false;
    if (watch == watch_.end()) return first_seen_ && now - *first_seen_ >= options_.unbound_after;
    return !watch->second.alive && now - watch->second.since >= options_.unbound_after;
  });
  bool taken = Holds(offer.members, self_.life) &&
               std::all_of(state_.bound.begin(), state_.bound.end(), [&](const Life& life) {
                 return life == m.from.life || Holds(offer.members, life);
               });
  if (!taken) return Send(m.from, m.id, OfferTaken{false, false}, out);
  if (!mine) offering_.reset();
  if (std::find(state_.bound.begin(), state_.bound.end(), m.from.life) == state_.bound.end()) {
    if (state_.bound.size() >= kMostMembers) return;
    state_.bound.push_back(m.from.life);
    Changed();
  }
  Reply(m, OfferTaken{true, false}, out);
}

void Core::OnOfferTaken(Time now, const Message& m, const OfferTaken& taken, Out& out) {
  if (state_.roster.epoch != 0 || !offering_ || offering_->request != m.id) return;
  if (taken.never) never_.push_back(m.from.life);
  if (!taken.taken) {
    offering_.reset();
    return;
  }
  for (std::size_t i = 0; i < offering_->members.size(); ++i) {
    if (offering_->members[i].life == m.from.life) offering_->votes |= 1u << i;
  }
  if (static_cast<std::size_t>(std::popcount(offering_->votes)) < offering_->members.size()) return;
  auto members = offering_->members;
  auto size = static_cast<std::uint32_t>(members.size());
  Adopt(now, {1, members, size}, held_, state_.stamp, out);
  for (const Member& to : members) {
    if (to.life != self_.life) Bring(now, to, out);  // waits for its own disk
  }
}

}  // namespace curlewdoor::agreement
