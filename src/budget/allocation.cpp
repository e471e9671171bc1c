#include "budget/allocation.hpp"

#include <numeric>

namespace curlewdoor::budget {

std::vector<Units> Divide(Units whole, const std::vector<Units>& wants) {
  std::vector<Units> parts(wants.size(), 0);
  std::vector<std::size_t> order(wants.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return wants[a] < wants[b]; });
  Units left = std::max<Units>(0, whole);
  for (std::size_t i = 0; i < order.size(); ++i) {
    const auto sharers = static_cast<Units>(order.size() - i);
    // Of an even share that is no whole number, those that come first get the next one.
    const Units share = (left + sharers - 1) / sharers;
    parts[order[i]] = std::clamp<Units>(wants[order[i]], 0, std::min(share, left));
    left -= parts[order[i]];
  }
  return parts;
}

Units Divider::Committed(Time now) const {
  Units sum = 0;
  for (const auto& [life, account] : lives_)
    if (now < account.ends) sum += std::max(account.told, account.granted);
  return sum;
}

// What it would have if all that is wanted now were divided anew.
Units Divider::Target(Time now, Life who) const {
  std::vector<Units> wants;
  std::size_t own = 0;
  for (const auto& [life, account] : lives_) {
    if (now >= account.ends) continue;
    if (life == who) own = wants.size();
    wants.push_back(account.want);
  }
  return Divide(terms_.divided(), wants)[own];
}

Grant Divider::OnWant(Time now, const Want& want) {
  if (want.token != token_) return {want.question, want.who, token_, false, 0};
  std::erase_if(lives_, [&](const auto& entry) { return now >= entry.second.ends; });
  const auto known = lives_.find(want.who);
  if (known == lives_.end() && lives_.size() >= kMostLives) return {want.question, want.who, token_, true, 0};
  Account& account = lives_[want.who];
  // Come twice: it was answered so. Overtaken by a later one: the answer is for nothing.
  if (known != lives_.end() && want.question <= account.question)
    return {want.question, want.who, token_, true, want.question == account.question ? account.granted : 0};
  account.question = want.question;
  // Its question says what it goes by from now on: no answer to an earlier one can raise that any more.
  account.told = want.part;
  account.granted = 0;
  account.want = want.want;
  account.ends = now + terms_.lease.lease;
  const Units others = Committed(now) - account.told;
  const Units free = std::max<Units>(0, terms_.divided() - others);
  const Units target = now < grants_from_ ? want.part : Target(now, want.who);
  account.granted = std::min(target, free);
  return {want.question, want.who, token_, true, account.granted};
}

}  // namespace curlewdoor::budget
