#include "systemkit/sightings.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace curlewdoor::systemkit {
namespace {

constexpr double kDrain_s = 2;           // drain_ms
constexpr double kRevertSlack_s = 0.25;  // revert_slack_ms
constexpr double kLossSlack_s = 0.5;     // loss_slack_ms, and what a busy machine may add

bool Promise(const Answer& answer) {
  return answer.whole() &&
         (answer.status == 429 || answer.status == 503 || answer.status == 408 || answer.status == 421);
}

}  // namespace

std::size_t Sightings::Add(Try one) {
  by_id_[one.id] = tries_.size();
  tries_.push_back(std::move(one));
  return tries_.size() - 1;
}

std::size_t Sightings::Add(Run one) {
  runs_by_id_[one.id].push_back(runs_.size());
  runs_.push_back(std::move(one));
  return runs_.size() - 1;
}

const Try* Sightings::TryOf(const std::string& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : &tries_[it->second];
}

std::vector<std::string> Sightings::Breaches() const {
  std::vector<std::string> found;
  for (const Run& run : runs_) {
    const auto say = [&](std::string_view what) {
      found.push_back(
          fmt::format("{} at {} {} at {:.3f} s: {}", run.id, run.service, run.instance, run.at, what));
    };
    if (run.key_seen) say("UNASKED: the key reached a host");
    if (const auto it = drained_.find(run.instance); it != drained_.end() && run.at > it->second + kDrain_s)
      say(fmt::format("DRAIN: {:.3f} s after its acknowledgement", run.at - it->second));
    const Try* one = TryOf(run.id);
    if (one == nullptr) {
      say("UNASKED: no client sent it");
      continue;
    }
    if (!run.ran) continue;
    if (run.method != one->method || run.target != one->target || run.body != one->body)
      say(fmt::format("UNASKED: changed: {} {} with {} bytes, sent as {} {} with {}", run.method, run.target,
                      run.body.size(), one->method, one->target, one->body.size()));
    if (run.tenant != one->tenant)
      say(fmt::format("UNASKED: tenant '{}', not '{}'", run.tenant, one->tenant));
    if (run.deadline_ms <= 0 || run.deadline_ms > one->deadline_ms)
      say(fmt::format("deadline {} of {} ms", run.deadline_ms, one->deadline_ms));
  }
  for (const Try& one : tries_) {
    const auto say = [&](std::string_view what) {
      found.push_back(
          fmt::format("{} {} {} by gateway {}, sent at {:.3f} s, ended at {:.3f} s, status {}: {}", one.id,
                      one.method, one.target, one.gateway, one.sent, one.ended, one.answer.status, what));
    };
    std::vector<const Run*> ran;
    if (const auto it = runs_by_id_.find(one.id); it != runs_by_id_.end())
      for (const std::size_t index : it->second)
        if (runs_[index].ran) ran.push_back(&runs_[index]);
    if (!one.repeatable && ran.size() > 1) say(fmt::format("TWICE: ran {} times", ran.size()));
    if (Promise(one.answer) && !ran.empty()) say("REFUSED: promised that it won't run, and it ran");
    if (one.answer.how == Answer::How::kGarbled) say("MIXED: bytes that are no answer");
    if (one.answer.good()) {
      const bool own = std::any_of(ran.begin(), ran.end(), [&](const Run* run) {
        return run->status >= 200 && run->status < 300 && run->seal == one.answer.seal &&
               run->answer_body == one.answer.body;
      });
      if (!own || one.answer.coded || (!one.answer.attempt_id.empty() && one.answer.attempt_id != one.id))
        say(fmt::format("MIXED: a success with the seal '{}' that isn't its own", one.answer.seal));
    }
  }
  return found;
}

std::vector<std::string> Sightings::Lost(int gateway, int life, double from) const {
  std::vector<std::string> found;
  for (const Try& one : tries_) {
    if (one.gateway != gateway || one.life != life || (one.ended >= 0 && one.ended < from)) continue;
    const bool passed = runs_by_id_.contains(one.id);
    const bool broken = one.answer.how == Answer::How::kClosed || one.answer.how == Answer::How::kCut;
    if (one.ended >= 0 && !(broken && (passed || one.ended - one.sent > kLossSlack_s))) continue;
    found.push_back(fmt::format("{} sent at {:.3f} s ({:.3f} s after SIGTERM), ended at {:.3f} s, {}", one.id,
                                one.sent, one.sent - from, one.ended,
                                passed ? "passed on" : "not passed on"));
  }
  return found;
}

std::vector<std::string> Sightings::WentBack(const std::string& prefix, const std::string& older,
                                             const std::string& newer, double by) const {
  std::map<std::pair<int, int>, double> first;
  for (const Run& run : runs_) {
    const Try* one = TryOf(run.id);
    if (one == nullptr || !run.ran || run.service != newer || !one->target.starts_with(prefix)) continue;
    auto [it, added] = first.try_emplace({one->gateway, one->life}, run.at);
    it->second = std::min(it->second, run.at);
  }
  std::vector<std::string> found;
  for (const Run& run : runs_) {
    const Try* one = TryOf(run.id);
    if (one == nullptr || !run.ran || run.service != older || !one->target.starts_with(prefix)) continue;
    const auto it = first.find({one->gateway, one->life});
    const bool back = it != first.end() && one->sent > it->second + kRevertSlack_s;
    const bool late = by >= 0 && one->sent > by;
    if (back || late)
      found.push_back(fmt::format("CONFIG: {} through gateway {} ran at {} although sent {:.3f} s after {}",
                                  one->id, one->gateway, older, one->sent - (back ? it->second : by),
                                  back ? "that gateway had sent one to " + newer : "it was due"));
  }
  return found;
}

int Sightings::MostWithin(const std::string& tenant, double window) const {
  std::vector<double> times;
  for (const Run& run : runs_)
    if (run.ran && run.tenant == tenant) times.push_back(run.at);
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t last = 0, first = 0; last < times.size(); ++last) {
    while (times[last] - times[first] > window) ++first;
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

int Sightings::RunsOf(const std::string& tenant) const {
  return static_cast<int>(std::count_if(runs_.begin(), runs_.end(),
                                        [&](const Run& run) { return run.ran && run.tenant == tenant; }));
}

int Sightings::Ran(const std::string& prefix, int gateway, const std::string& service, double since) const {
  return static_cast<int>(std::count_if(runs_.begin(), runs_.end(), [&](const Run& run) {
    const Try* one = run.ran && run.service == service ? TryOf(run.id) : nullptr;
    return one != nullptr && one->gateway == gateway && one->sent > since && one->target.starts_with(prefix);
  }));
}

}  // namespace curlewdoor::systemkit
