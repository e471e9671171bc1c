#include "events/rate_limit.hpp"

namespace curlewdoor::events {

RateLimit::Verdict RateLimit::Ask(int kind, Time now) {
  const auto at = seconds_.try_emplace(kind, Second{now}).first;
  Second& second = at->second;
  Verdict verdict;
  if (now - second.begin >= kSpan) {
    verdict.left_out = second.left_out;
    second = Second{now};
  }
  verdict.say = second.said < kLines;
  if (verdict.say) {
    ++second.said;
  } else {
    ++second.left_out;
  }
  return verdict;
}

std::vector<std::pair<int, std::uint64_t>> RateLimit::Over(Time now) {
  std::vector<std::pair<int, std::uint64_t>> over;
  for (auto& [kind, second] : seconds_) {
    if (second.left_out == 0 || now - second.begin < kSpan) continue;
    over.emplace_back(kind, second.left_out);
    second.left_out = 0;
  }
  return over;
}

}  // namespace curlewdoor::events
