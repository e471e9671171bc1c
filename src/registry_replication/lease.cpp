#include "registry_replication/lease.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace curlewdoor::registry_replication {

using std::chrono::milliseconds;

RegistryLease::Options RegistryLease::OptionsFor(Duration drain_time) {
  constexpr Duration kMinQueryInterval = milliseconds(50), kMaxQueryInterval = milliseconds(350);
  Options options;
  options.validity = drain_time * 6 / 10;
  options.query_interval = std::clamp(options.validity / 3, kMinQueryInterval, kMaxQueryInterval);
  return options;
}

void RegistryLease::SetMembership(Membership membership) {
  if (membership.epoch <= membership_.epoch) return;
  membership_ = std::move(membership);
  answered_queries_.clear();
}

bool RegistryLease::Tick(Time now) {
  if (last_tick_at_) {
    const Duration passed = now - *last_tick_at_;
    if (passed >
        options_.pause_threshold) {  // after a pause, members that did not answer before may answer now
      waited_ = {};
      long_pause_ = long_pause_ || passed >= options_.validity;
    } else if (unanswered_since_) {
      waited_ += passed;
    }
  }
  last_tick_at_ = now;
  return !last_query_at_ || now - *last_query_at_ >= options_.query_interval;
}

void RegistryLease::OnQuerySent(Time now) {
  last_query_at_ = now;
  if (unanswered_since_) return;
  unanswered_since_ = now;
  waited_ = {};
}

void RegistryLease::OnAnswer(Time now, Time asked_at, const MemberStatus& status) {
  if (asked_at > now) return;
  if (!status.votes || status.epoch != membership_.epoch || !membership_.Contains(status.member)) return;
  Time& answered = answered_queries_.try_emplace(status.member, asked_at).first->second;
  answered = std::max(answered, asked_at);
  UpdateProof();
}

// The proof dates from the oldest among the latest answered queries of a majority: the majority-th latest
// one.
void RegistryLease::UpdateProof() {
  if (answered_queries_.size() < membership_.majority()) return;
  std::vector<Time> times;
  for (const auto& [member, time] : answered_queries_) times.push_back(time);
  const auto oldest = times.begin() + static_cast<std::ptrdiff_t>(membership_.majority() - 1);
  std::nth_element(times.begin(), oldest, times.end(), std::greater<>());
  if (proved_at_ && *oldest <= *proved_at_) return;
  proved_at_ = *oldest;
  if (!unanswered_since_ || *proved_at_ < *unanswered_since_) return;
  unanswered_since_.reset();
  waited_ = {};
  long_pause_ = false;
}

bool RegistryLease::IsProofUnavailable(Time now) const {
  const bool running = last_tick_at_ && now - *last_tick_at_ <= options_.pause_threshold;
  return running && unanswered_since_ &&
         waited_ >= (long_pause_ ? options_.max_wait_after_long_pause : options_.max_wait);
}

std::optional<Duration> RegistryLease::ProofAge(Time now) const {
  if (!proved_at_) return std::nullopt;
  return now - *proved_at_;
}

}  // namespace curlewdoor::registry_replication
