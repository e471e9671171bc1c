// The first epoch: started with members that were decided outside, or by an offer among the members.
#include <algorithm>
#include <bit>

#include "agreement/core.hpp"

namespace curlewdoor::agreement {

using std::chrono::milliseconds;

namespace {

constexpr auto kOfferTimeout = milliseconds(600);

bool ContainsIncarnation(const std::vector<Member>& members, const Incarnation& incarnation) {
  return std::any_of(members.begin(), members.end(),
                     [&incarnation](const Member& m) { return m.incarnation == incarnation; });
}

}  // namespace

void Core::BeginFirstEpoch(Time now, std::vector<Member> members, CoreOutput& out) {
  if (state_.membership.epoch != 0 || members.empty() || members.size() > kMaxMembers) return;
  const auto size = static_cast<std::uint32_t>(members.size());
  EnterEpoch(now, {1, std::move(members), size}, held_record_, state_.stamp, out);
  ProcessPending(now, out);
}

// Epoch 1 starts with an offer that all its members have accepted. Two offers with a common acceptor can't
// both succeed: a process that has accepted an offer of P accepts one of Q only if P is in the list of Q.
// Then P must have accepted the offer of Q too, and had to drop its own attempt for that (a process that has
// entered epoch 1 accepts no offers). Attempts are kept in memory only, so a restarted proposer has none.
// Offers without a common acceptor are excluded by min_members alone.

std::vector<Member> Core::OfferedMembers() const {
  std::vector<Member> members{self_};
  for (const auto& [incarnation, observed] : observed_) {
    bool refuses =
        std::find(non_participants_.begin(), non_participants_.end(), incarnation) != non_participants_.end();
    if (observed.alive && !refuses && members.size() < kMaxMembers) members.push_back(observed.member);
  }
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.address < b.address; });
  return members;
}

void Core::TickOffer(Time now, CoreOutput& out) {
  if (state_.membership.epoch != 0 || !bootstrap_) return;
  if (!started_at_) started_at_ = now;
  if (pending_offer_) {
    if (now >= pending_offer_->deadline) {
      pending_offer_.reset();
    } else if (now >= pending_offer_->next_send_at) {
      pending_offer_->next_send_at = now + options_.resend_interval;
      for (const Member& m : pending_offer_->members)
        Send(m, pending_offer_->request, MembershipOffer{pending_offer_->members}, out);
    }
    return;
  }
  std::vector<Member> members = OfferedMembers();
  if (members != offered_view_) {
    offered_view_ = members;
    view_stable_since_ = now;
  }
  const Duration waited = now - *started_at_;
  bool enough = members.size() >= options_.min_members || waited >= options_.undersized_start_after;
  if (!seed_majority_visible_ &&
      waited < (members.size() >= options_.min_members ? options_.undersized_start_after
                                                       : options_.seedless_start_after))
    enough = false;
  if (members.front().incarnation != self_.incarnation || !enough ||
      now - view_stable_since_ < options_.view_settle_time)
    return;
  pending_offer_ = PendingOffer{next_id_++, members, 0, now + kOfferTimeout, now + options_.resend_interval};
  for (const Member& m : pending_offer_->members)
    Send(m, pending_offer_->request, MembershipOffer{pending_offer_->members}, out);
}

void Core::OnOffer(Time now, const CoreMessage& m, const MembershipOffer& offer, CoreOutput& out) {
  if (state_.membership.epoch != 0) return;
  if (!bootstrap_) return Send(m.from, m.id, MembershipOfferReply{false, true}, out);
  bool from_self = m.from.incarnation == self_.incarnation;
  if (from_self && (!pending_offer_ || pending_offer_->request != m.id)) return;
  // Last resort: otherwise a permanently lost proposer would block everyone that accepted its offer.
  std::erase_if(state_.accepted_proposers, [&](const Incarnation& incarnation) {
    auto observed = observed_.find(incarnation);
    if (incarnation == self_.incarnation || incarnation == m.from.incarnation) return false;
    if (observed == observed_.end()) return started_at_ && now - *started_at_ >= options_.offer_release_after;
    return !observed->second.alive && now - observed->second.since >= options_.offer_release_after;
  });
  bool accepts = ContainsIncarnation(offer.members, self_.incarnation) &&
                 std::all_of(state_.accepted_proposers.begin(), state_.accepted_proposers.end(),
                             [&](const Incarnation& incarnation) {
                               return incarnation == m.from.incarnation ||
                                      ContainsIncarnation(offer.members, incarnation);
                             });
  if (!accepts) return Send(m.from, m.id, MembershipOfferReply{false, false}, out);
  if (!from_self) pending_offer_.reset();
  if (std::find(state_.accepted_proposers.begin(), state_.accepted_proposers.end(), m.from.incarnation) ==
      state_.accepted_proposers.end()) {
    if (state_.accepted_proposers.size() >= kMaxMembers) return;
    state_.accepted_proposers.push_back(m.from.incarnation);
    MarkStateChanged();
  }
  Reply(m, MembershipOfferReply{true, false}, out);
}

void Core::OnOfferReply(Time now, const CoreMessage& m, const MembershipOfferReply& offer_reply,
                        CoreOutput& out) {
  if (state_.membership.epoch != 0 || !pending_offer_ || pending_offer_->request != m.id) return;
  if (offer_reply.never_participates) non_participants_.push_back(m.from.incarnation);
  if (!offer_reply.offer_accepted) {
    pending_offer_.reset();
    return;
  }
  for (std::size_t i = 0; i < pending_offer_->members.size(); ++i) {
    if (pending_offer_->members[i].incarnation == m.from.incarnation) pending_offer_->votes |= 1u << i;
  }
  if (static_cast<std::size_t>(std::popcount(pending_offer_->votes)) < pending_offer_->members.size()) return;
  auto members = pending_offer_->members;
  auto size = static_cast<std::uint32_t>(members.size());
  EnterEpoch(now, {1, members, size}, held_record_, state_.stamp, out);
  for (const Member& to : members) {
    if (to.incarnation != self_.incarnation)
      SendInstallEpoch(now, to, out);  // held back until it is synced here
  }
}

}  // namespace curlewdoor::agreement
