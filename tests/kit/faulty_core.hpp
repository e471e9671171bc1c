// Gateways that do something wrong on purpose, each in one way. What the judge of the kit is worth shows
// here.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/reducer.hpp"

namespace curlewdoor::kit {

enum class Sabotage {
  kNone,
  kSendsToDrained,
  kRepeatsUnsafe,
  kSwallowsAnswers,
  kAnswersTwice,
  kIgnoresCold,
  kIgnoresCeiling,
  kAnswersLate
};

inline constexpr std::array<std::pair<std::string_view, Sabotage>, 8> kSabotages{
    {{"none", Sabotage::kNone},
     {"sends-to-drained", Sabotage::kSendsToDrained},
     {"repeats-unsafe", Sabotage::kRepeatsUnsafe},
     {"swallows-answers", Sabotage::kSwallowsAnswers},
     {"answers-twice", Sabotage::kAnswersTwice},
     {"ignores-cold", Sabotage::kIgnoresCold},
     {"ignores-ceiling", Sabotage::kIgnoresCeiling},
     {"answers-late", Sabotage::kAnswersLate}}};

class FaultyCore final : public GatewayCore {
 public:
  FaultyCore(Sabotage sabotage, const Settings& settings, std::uint64_t seed)
      : sabotage_(sabotage), inner_(Twisted(sabotage, settings), seed) {}

  void Handle(TimePoint now, Input input, std::vector<Effect>& effects) override {
    if (auto* told = std::get_if<MembersReceived>(&input)) Twist(*told);
    if (const auto* read = std::get_if<RequestRead>(&input))
      deadlines_[read->request.id.value] = now + read->request.time_left;
    // A break after the last byte: told as if the host had said that it never ran.
    if (const auto* broken = std::get_if<AttemptFailed>(&input);
        broken != nullptr && sabotage_ == Sabotage::kRepeatsUnsafe)
      input = AttemptAnswered{broken->attempt, 503, true, {}};
    std::vector<Effect> meant;
    inner_.Handle(now, std::move(input), meant);
    for (Effect& effect : meant) Pass(std::move(effect), effects);
    while (!held_.empty() && held_.begin()->first <= now) {
      effects.push_back(held_.begin()->second);
      held_.erase(held_.begin());
    }
  }
  std::optional<TimePoint> NextDue() override {
    const auto due = inner_.NextDue();
    if (held_.empty()) return due;
    return due ? std::min(*due, held_.begin()->first) : held_.begin()->first;
  }
  std::size_t open_requests() const override { return inner_.open_requests() + held_.size(); }
  std::size_t attempts_in_flight() const override { return inner_.attempts_in_flight(); }
  bool knows_hosts() const override { return inner_.knows_hosts(); }
  std::size_t ejected_hosts(TimePoint now) override { return inner_.ejected_hosts(now); }
  std::size_t unassigned_requests() const override { return inner_.unassigned_requests(); }
  GatewaySnapshot ExportState() override { return inner_.ExportState(); }
  void ImportState(const GatewaySnapshot& memory) override { inner_.ImportState(memory); }
  void ResumeServing(TimePoint now) override { inner_.ResumeServing(now); }

 private:
  static constexpr int kEvery = 40;  // of its answers, one goes wrong

  static Settings Twisted(Sabotage sabotage, Settings settings) {
    if (sabotage == Sabotage::kIgnoresCeiling)
      for (Plan& plan : settings.plans) plan.rate = plan.burst = plan.ceiling_rate = plan.ceiling_burst = 0;
    return settings;
  }
  void Twist(MembersReceived& told) {
    for (Member& member : told.members.members) {
      if (sabotage_ == Sabotage::kSendsToDrained) member.entry.state = HostState::kReady;
      const bool newer =
          member.entry.started > newest_.entry.started && member.entry.state == HostState::kReady;
      if (newer) newest_ = member;
    }
  }
  // The module's other defences would spare a cold host that it does not know for one. So every second
  // attempt goes to the newest, whatever the module chose.
  void Misdirect(StartAttempt& start) {
    if (sabotage_ != Sabotage::kIgnoresCold || newest_.entry.started == TimePoint{} || ++sent_ % 2 != 0)
      return;
    start.host = newest_.entry.host;
    start.address = newest_.address;
  }
  void Pass(Effect effect, std::vector<Effect>& effects) {
    if (auto* start = std::get_if<StartAttempt>(&effect)) Misdirect(*start);
    const auto* answer = std::get_if<DeliverAnswer>(&effect);
    const bool wrong = answer != nullptr && ++answers_ % kEvery == 0;
    if (wrong && sabotage_ == Sabotage::kSwallowsAnswers) return;
    const RequestId request = answer != nullptr ? answer->attempt.request : RequestId{};
    if (wrong && sabotage_ == Sabotage::kAnswersLate) {
      held_.emplace(deadlines_[request.value] + std::chrono::milliseconds(250), RespondFailed{request});
      return;
    }
    effects.push_back(std::move(effect));
    if (wrong && sabotage_ == Sabotage::kAnswersTwice) effects.push_back(RespondFailed{request});
  }

  const Sabotage sabotage_;
  Reducer inner_;
  int answers_ = 0, sent_ = 0;
  Member newest_;  // started latest, of those that are ready
  std::map<std::uint64_t, TimePoint> deadlines_;
  std::multimap<TimePoint, Effect> held_;
};

inline GatewayCoreFactory MakeFaulty(Sabotage sabotage) {
  return [sabotage](const Settings& settings, std::uint64_t seed) {
    return std::make_unique<FaultyCore>(sabotage, settings, seed);
  };
}

}  // namespace curlewdoor::kit
