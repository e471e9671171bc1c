#include "fleetkit/duty_judge.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "fleetkit/scenario.hpp"

namespace curlewdoor::fleetkit {

void DutyJudge::Gained(double at, int process, const std::string& duty, std::uint64_t token) {
  holdings_[duty].push_back({process, token, at, std::nullopt, std::nullopt, false});
}

// Of a holding that was told twice the first word counts.
void DutyJudge::Ended(double until, int process, const std::string& duty, std::uint64_t token,
                      bool handed_on) {
  for (Holding& holding : holdings_[duty])
    if (holding.process == process && holding.token == token && !holding.until) {
      holding.until = std::max(holding.from, until);
      holding.handed_on = handed_on;
    }
}

void DutyJudge::Continued(double at, int process) {
  const auto stopped = stopped_.find(process);
  if (stopped == stopped_.end()) return;
  const double latest = stopped->second + lease_s_;
  stopped_.erase(stopped);
  if (at <= latest) return;
  for (auto& [duty, holdings] : holdings_)
    for (Holding& holding : holdings)
      if (holding.process == process && !holding.until && holding.from < latest) holding.latest = latest;
}

bool DutyJudge::Holds(int process) const {
  for (const auto& [duty, holdings] : holdings_)
    for (const Holding& holding : holdings)
      if (holding.process == process && !holding.until) return true;
  return false;
}

void DutyJudge::Gone(double at, int process) {
  const auto stopped = stopped_.find(process);
  const double last = stopped != stopped_.end() ? std::min(at, stopped->second + lease_s_) : at;
  for (auto& [duty, holdings] : holdings_)
    for (Holding& holding : holdings)
      if (holding.process == process && !holding.until)
        holding.until = std::max(holding.from, std::min(last, holding.latest.value_or(last)));
  stopped_.erase(process);
}

void DutyJudge::Appended(double at, const std::string& duty, std::uint64_t token, const std::string& by,
                         bool taken) {
  ++(taken ? taken_ : refused_);
  if (!taken) return;
  auto& [highest, holder] = highest_[duty];
  if (token < highest && ledger_broken_.empty())
    ledger_broken_ =
        fmt::format("an act of {} under token {} was taken at {:.2f} s, after {} had acted under {}", by,
                    token, at, holder, highest);
  const auto [first, added] = by_.try_emplace({duty, token}, by);
  if (first->second != by && ledger_broken_.empty())
    ledger_broken_ = fmt::format("{} and {} both acted under token {}", first->second, by, token);
  if (token >= highest) highest_[duty] = {token, by};
}

std::string DutyJudge::Overlap(const std::string& duty, std::vector<Holding> holdings) const {
  std::sort(holdings.begin(), holdings.end(),
            [](const Holding& a, const Holding& b) { return a.from < b.from; });
  const Holding* longest = nullptr;
  for (const Holding& holding : holdings) {
    if (longest != nullptr && longest->process != holding.process &&
        *longest->until > holding.from + slack_s_)
      return fmt::format("{} was held by {} until {:.3f} s and by {} from {:.3f} s on", duty,
                         NameOf(longest->process), *longest->until, NameOf(holding.process), holding.from);
    if (longest == nullptr || *holding.until > *longest->until) longest = &holding;
  }
  return "";
}

void DutyJudge::Finish(double now, std::vector<Verdict>& verdicts,
                       std::vector<std::pair<std::string, double>>& figures) const {
  DutyJudge ended = *this;  // what is still held is held until now
  for (const auto& [process, at] : stopped_) ended.Gone(now, process);
  std::string two, tokens;
  double held = 0, longest_gap = 0, planned = 0, first = now;
  for (auto& [duty, holdings] : ended.holdings_) {
    for (Holding& holding : holdings) holding.until = holding.until.value_or(holding.latest.value_or(now));
    if (two.empty()) two = Overlap(duty, holdings);
    std::sort(holdings.begin(), holdings.end(),
              [](const Holding& a, const Holding& b) { return a.from < b.from; });
    for (std::size_t i = 0; i < holdings.size(); ++i) {
      held += std::min(now, *holdings[i].until) - holdings[i].from;
      first = std::min(first, holdings[i].from);
      if (i == 0) continue;
      const double gap = holdings[i].from - *holdings[i - 1].until;
      (holdings[i - 1].handed_on ? planned : longest_gap) =
          std::max(holdings[i - 1].handed_on ? planned : longest_gap, gap);
      if (holdings[i].token <= holdings[i - 1].token && tokens.empty())
        tokens = fmt::format("{}: {} gained it under token {} after {}", duty, NameOf(holdings[i].process),
                             holdings[i].token, holdings[i - 1].token);
    }
  }
  verdicts.push_back({"one-holder", two});
  verdicts.push_back({"tokens", tokens});
  verdicts.push_back({"ledger", ledger_broken_});
  const auto duties = static_cast<double>(std::max<std::size_t>(1, holdings_.size()));
  figures.emplace_back("duty held, part of the time", now > first ? held / duties / (now - first) : 0);
  figures.emplace_back("longest without a holder, s", longest_gap);
  figures.emplace_back("longest after a planned handing on, s", planned);
  figures.emplace_back("acts taken", static_cast<double>(taken_));
  figures.emplace_back("acts refused as stale", static_cast<double>(refused_));
}

}  // namespace curlewdoor::fleetkit
