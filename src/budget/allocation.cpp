#include "budget/allocation.hpp"

#include <numeric>

namespace curlewdoor::budget {

std::vector<Units> DivideFairly(Units whole, const std::vector<Units>& wants) {
  std::vector<Units> parts(wants.size(), 0);
  std::vector<std::size_t> order(wants.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return wants[a] < wants[b]; });
  Units left = std::max<Units>(0, whole);
  for (std::size_t i = 0; i < order.size(); ++i) {
    const auto sharers = static_cast<Units>(order.size() - i);
    // A fractional even share is rounded up for the first ones.
    const Units share = (left + sharers - 1) / sharers;
    parts[order[i]] = std::clamp<Units>(wants[order[i]], 0, std::min(share, left));
    left -= parts[order[i]];
  }
  return parts;
}

Units Divider::Committed(Time now) const {
  Units sum = 0;
  for (const auto& [incarnation, account] : accounts_)
    if (now < account.ends) sum += std::max(account.reported, account.granted);
  return sum;
}

// The requester's part if all current wants were divided anew.
Units Divider::Target(Time now, Incarnation requester) const {
  std::vector<Units> wants;
  std::size_t own = 0;
  for (const auto& [incarnation, account] : accounts_) {
    if (now >= account.ends) continue;
    if (incarnation == requester) own = wants.size();
    wants.push_back(account.want);
  }
  return DivideFairly(terms_.divided(), wants)[own];
}

AllocationGrant Divider::OnRequest(Time now, const AllocationRequest& request) {
  if (request.token != token_) return {request.sequence, request.requester, token_, false, 0};
  std::erase_if(accounts_, [&](const auto& entry) { return now >= entry.second.ends; });
  const auto known = accounts_.find(request.requester);
  if (known == accounts_.end() && accounts_.size() >= kMaxAccounts)
    return {request.sequence, request.requester, token_, true, 0};
  Account& account = accounts_[request.requester];
  // A duplicate gets the same answer. An outdated request gets an answer that will be ignored.
  if (known != accounts_.end() && request.sequence <= account.sequence)
    return {request.sequence, request.requester, token_, true,
            request.sequence == account.sequence ? account.granted : 0};
  account.sequence = request.sequence;
  // The request states what is in force from now on; no response to an earlier one can raise it.
  account.reported = request.part;
  account.granted = 0;
  account.want = request.want;
  account.ends = now + terms_.lease.lease;
  const Units others = Committed(now) - account.reported;
  const Units free = std::max<Units>(0, terms_.divided() - others);
  const Units target = now < grants_from_ ? request.part : Target(now, request.requester);
  account.granted = std::min(target, free);
  return {request.sequence, request.requester, token_, true, account.granted};
}

}  // namespace curlewdoor::budget
