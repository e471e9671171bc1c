#include "registry_replication/lease.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace curlewdoor::registry_replication {

using std::chrono::milliseconds;

RegistryLease::Options RegistryLease::OptionsFor(Duration drain) {
  constexpr Duration kLeastAskEvery = milliseconds(50), kMostAskEvery = milliseconds(350);
  Options options;
  options.lasts = drain * 6 / 10;
  options.ask_every = std::clamp(options.lasts / 3, kLeastAskEvery, kMostAskEvery);
  return options;
}

void RegistryLease::SetRoster(Roster roster) {
  if (roster.epoch <= roster_.epoch) return;
  roster_ = std::move(roster);
  answered_.clear();
}

bool RegistryLease::Tick(Time now) {
  if (ticked_at_) {
    const Duration passed = now - *ticked_at_;
    if (passed > options_.run_gap) {  // paused: whoever was silent before may answer now
      waited_ = {};
      long_away_ = long_away_ || passed >= options_.lasts;
    } else if (open_since_) {
      waited_ += passed;
    }
  }
  ticked_at_ = now;
  return !asked_at_ || now - *asked_at_ >= options_.ask_every;
}

void RegistryLease::Asked(Time now) {
  asked_at_ = now;
  if (open_since_) return;
  open_since_ = now;
  waited_ = {};
}

void RegistryLease::OnAnswer(Time now, Time asked, const Standing& standing) {
  if (asked > now) return;
  if (!standing.votes || standing.epoch != roster_.epoch || !roster_.Holds(standing.member)) return;
  Time& answered = answered_.try_emplace(standing.member, asked).first->second;
  answered = std::max(answered, asked);
  Weigh();
}

// The list is proved as of the oldest question among the latest ones that a majority has answered.
void RegistryLease::Weigh() {
  if (answered_.size() < roster_.majority()) return;
  std::vector<Time> times;
  for (const auto& [member, time] : answered_) times.push_back(time);
  const auto oldest = times.begin() + static_cast<std::ptrdiff_t>(roster_.majority() - 1);
  std::nth_element(times.begin(), oldest, times.end(), std::greater<>());
  if (proved_at_ && *oldest <= *proved_at_) return;
  proved_at_ = *oldest;
  if (!open_since_ || *proved_at_ < *open_since_) return;
  open_since_.reset();
  waited_ = {};
  long_away_ = false;
}

bool RegistryLease::GivenUp(Time now) const {
  const bool running = ticked_at_ && now - *ticked_at_ <= options_.run_gap;
  return running && open_since_ && waited_ >= (long_away_ ? options_.wait_long_away : options_.wait);
}

std::optional<Duration> RegistryLease::Age(Time now) const {
  if (!proved_at_) return std::nullopt;
  return now - *proved_at_;
}

}  // namespace curlewdoor::registry_replication
