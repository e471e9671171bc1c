#include "rehearsal/judge.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace curlewdoor::rehearsal {
namespace {

using standin::Seconds;

// On sockets each time limit is this much longer, and an answer has the settings' slack beside.
constexpr Duration kSocketSlack = std::chrono::milliseconds(50);
constexpr Duration kAnswerSlack = std::chrono::milliseconds(8);
constexpr double kCeilingSlackSeconds = 0.15;  // of the ceiling's rate, on sockets
// After a stop, for the final answers of all that it held.
constexpr Duration kAfterStop = std::chrono::milliseconds(150);
constexpr double kInformedPart = 2.0 / 3;  // of the work that pushed a node over

}  // namespace

std::string_view RuleName(Rule rule) {
  constexpr std::array<std::string_view, 5> kNames{"lost", "duplicate", "drain", "fall-over", "ceiling"};
  return kNames[static_cast<std::size_t>(rule)];
}

std::string_view RuleText(Rule rule) {
  constexpr std::array<std::string_view, 5> kTexts{
      "every request taken has one final answer in time, and nothing is sent for it afterwards",
      "no unsafe request runs twice, and none that ran is refused",
      "nothing new goes to a node later than the grace after the gateway was told that it drains",
      "no node that has just started is pushed over",
      "no customer's units exceed its ceiling by more than the slack"};
  return kTexts[static_cast<std::size_t>(rule)];
}

Judge::Judge(const Scenario& scenario, TimePoint start, const std::vector<standin::Customer>& customers)
    : scenario_(scenario), start_(start), customers_(customers) {
  for (Rule rule : kRules) verdicts_[static_cast<std::size_t>(rule)].rule = rule;
  for (std::size_t c = 0; c < customers.size(); ++c) {
    const TariffPlan& plan = scenario.plans[static_cast<std::size_t>(customers[c].plan)];
    if (plan.ceiling_rate > 0)
      stores_[static_cast<int>(c)] = Store{plan.ceiling_burst, plan.ceiling_burst, 0, start, {}};
  }
}

Judge::Request* Judge::Find(std::uint64_t request) {
  return request < requests_.size() && requests_[request].customer >= 0 ? &requests_[request] : nullptr;
}

void Judge::Break(Rule rule, TimePoint now, std::uint64_t request, int node, int gateway, int customer,
                  std::string what) {
  RuleVerdict& verdict = verdicts_[static_cast<std::size_t>(rule)];
  ++verdict.breaches;
  if (verdict.first) return;
  verdict.first = Breach{Seconds(now - start_), request, node, gateway, "", std::move(what)};
  if (customer >= 0) verdict.first->customer = customers_[static_cast<std::size_t>(customer)].name;
}

void Judge::Near(Rule rule, double how, std::string what) {
  RuleVerdict& verdict = verdicts_[static_cast<std::size_t>(rule)];
  if (how <= verdict.nearest) return;
  verdict.nearest = how;
  verdict.nearest_text = std::move(what);
}

// ---- Requests -----------------------------------------------------------------------------------------

void Judge::Taken(TimePoint, const standin::Ask& ask) {
  if (requests_.size() <= ask.id) requests_.resize(std::max<std::size_t>(ask.id + 1, requests_.size() * 2));
  Request& request = requests_[ask.id];
  request.due = ask.due;
  request.bound = ask.due + ask.patience + kAnswerSlack + kSocketSlack;
  request.customer = ask.customer;
  request.gateway = ask.gateway;
  request.units = ask.units;
  request.safe =
      scenario_.classes[static_cast<std::size_t>(ask.request_class)].asked.repeat == RepeatSafety::kSafe;
  if (!request.safe) ++unsafe_;
}

void Judge::Answered(TimePoint now, const standin::Ask& ask, AnswerKind kind, int status, bool own_body) {
  Request* request = Find(ask.id);
  if (request == nullptr) return;
  const auto broken = [&](std::string what) {
    Break(Rule::kLost, now, ask.id, -1, request->gateway, request->customer, std::move(what));
  };
  if (++request->answers > 1)
    return broken(fmt::format("answer number {}, status {}", request->answers, status));
  request->answered = now;
  request->refused = kind == AnswerKind::kRefused;
  const TimePoint bound = BoundOf(*request);
  if (bound > request->bound) ++held_up_;
  if (now > bound)
    broken(fmt::format("answered {} {:.0f} ms after {}", status, 1e3 * Seconds(now - bound),
                       bound > request->bound ? "its gateway went on" : "its time"));
  if (kind == AnswerKind::kServed && !own_body) broken("served with what no node made for it");
  const double patience = Seconds(ask.patience + kAnswerSlack + kSocketSlack);
  const double used = 1 - Seconds(request->bound - now) / patience;
  const double before = verdicts_[static_cast<std::size_t>(Rule::kLost)].nearest;
  if (used > before && bound == request->bound)
    Near(Rule::kLost, used,
         fmt::format("an answer {:.1f} ms before the bound", 1e3 * Seconds(request->bound - now)));
  CheckEffects(now, ask.id, *request, -1);
}

void Judge::Unanswered(TimePoint now, const standin::Ask& ask, bool excused) {
  Request* request = Find(ask.id);
  if (request == nullptr || request->answers > 0) return;
  request->excused = request->excused || excused;
  const bool held_up = BoundOf(*request) > request->bound;
  if (held_up) ++held_up_;
  if (!request->excused && !held_up)
    Break(Rule::kLost, now, ask.id, -1, request->gateway, request->customer, "no answer");
  request->answers = 1;  // what comes now comes too late for anybody
  request->answered = now;
}

// ---- Attempts -----------------------------------------------------------------------------------------

void Judge::AttemptBegins(TimePoint now, int node, int gateway, std::uint64_t id) {
  Request* request = Find(id);
  if (request != nullptr && request->answers > 0 && !request->excused &&
      now > request->answered + kSocketSlack)
    Break(Rule::kLost, now, id, node, gateway, request->customer,
          fmt::format("sent {:.0f} ms after its final answer", 1e3 * Seconds(now - request->answered)));
  if (request != nullptr && request->answers == 0 && stops_.contains(gateway) &&
      now > request->bound + kSocketSlack)
    Break(Rule::kLost, now, id, node, gateway, request->customer,
          fmt::format("sent {:.0f} ms after its time, by a gateway that had stood still",
                      1e3 * Seconds(now - request->bound)));
  const auto told = left_.find({gateway, node});
  if (told == left_.end()) return;
  const Duration late = now - told->second, most = scenario_.drain_grace + kSocketSlack;
  Near(Rule::kDrain, Seconds(late) / Seconds(most),
       fmt::format("a request {:.0f} ms after the gateway was told", 1e3 * Seconds(late)));
  if (late > most)
    Break(Rule::kDrain, now, id, node, gateway, request != nullptr ? request->customer : -1,
          fmt::format("begun {:.0f} ms after the gateway was told", 1e3 * Seconds(late)));
}

void Judge::AttemptWhole(TimePoint now, int node, int, std::uint64_t id) {
  Request* request = Find(id);
  if (request != nullptr && !request->drawn) Draw(now, id, *request, node);
}

void Judge::Ran(TimePoint now, int node, std::uint64_t id) {
  Request* request = Find(id);
  if (request == nullptr) return;
  ++request->ran;
  if (!request->safe) most_runs_ = std::max(most_runs_, static_cast<std::uint64_t>(request->ran));
  CheckEffects(now, id, *request, node);
}

void Judge::CheckEffects(TimePoint now, std::uint64_t id, const Request& request, int node) {
  if (request.safe) return;
  if (request.ran > 1 && node >= 0)
    Break(Rule::kDuplicate, now, id, node, request.gateway, request.customer,
          fmt::format("ran {} times", request.ran));
  if (request.ran > 0 && request.refused)
    Break(Rule::kDuplicate, now, id, node, request.gateway, request.customer,
          "ran, and was refused as harmless");
}

// The first attempt of each request draws its units from the customer's store.
void Judge::Draw(TimePoint now, std::uint64_t id, Request& request, int node) {
  request.drawn = true;
  const auto it = stores_.find(request.customer);
  if (it == stores_.end()) return;
  Store& store = it->second;
  const TariffPlan& plan =
      scenario_.plans[static_cast<std::size_t>(customers_[static_cast<std::size_t>(request.customer)].plan)];
  store.level = std::min(plan.ceiling_burst, store.level + plan.ceiling_rate * Seconds(now - store.at));
  store.at = now;
  store.level -= request.units;
  store.lowest = std::min(store.lowest, store.level);
  store.admitted += request.units;
  const auto second = static_cast<std::size_t>(std::max(0.0, Seconds(now - start_)));
  if (store.by_second.size() <= second) store.by_second.resize(second + 1);
  store.by_second[second] += request.units;
  const double slack = plan.ceiling_slack + kCeilingSlackSeconds * plan.ceiling_rate;
  const double used = (plan.ceiling_burst - store.level) / (plan.ceiling_burst + slack);
  if (used > verdicts_[static_cast<std::size_t>(Rule::kCeiling)].nearest)
    Near(Rule::kCeiling, used,
         fmt::format("{} of {:.1f} units and a slack of {:.1f} drawn down to {:.1f}",
                     customers_[static_cast<std::size_t>(request.customer)].name, plan.ceiling_burst, slack,
                     store.level));
  if (store.level < -slack)
    Break(Rule::kCeiling, now, id, node, request.gateway, request.customer,
          fmt::format("{:.1f} units over a slack of {:.1f}", -store.level - slack, slack));
}

// ---- Nodes --------------------------------------------------------------------------------------------

void Judge::Told(TimePoint now, int gateway, int node, HostState state) {
  const std::pair key{gateway, node};
  if (state != HostState::kReady) {
    left_.emplace(key, now);
    return;
  }
  left_.erase(key);
  start_told_[key] = now;
}

void Judge::NodeStarted(TimePoint now, int node) { node_started_[node] = now; }

void Judge::GatewayStopped(TimePoint now, int gateway) { stops_[gateway].push_back({now}); }

void Judge::GatewayContinued(TimePoint now, int gateway) {
  if (auto& stops = stops_[gateway]; !stops.empty()) stops.back().to = now;
}

TimePoint Judge::BoundOf(const Request& request) const {
  TimePoint bound = request.bound;
  const auto it = stops_.find(request.gateway);
  if (it == stops_.end()) return bound;
  for (const Stop& stop : it->second) {
    if (bound < stop.from || (stop.to != TimePoint::max() && request.due > stop.to)) continue;
    if (stop.to == TimePoint::max()) return stop.to;
    bound = std::max(bound, stop.to + kAfterStop);
  }
  return bound;
}

// What an earlier life of this gateway was told, this one was not.
void Judge::GatewayStarted(TimePoint, int gateway) {
  std::erase_if(left_, [&](const auto& entry) { return entry.first.first == gateway; });
  std::erase_if(start_told_, [&](const auto& entry) { return entry.first.first == gateway; });
}

void Judge::NodeFell(TimePoint now, int node, const std::vector<double>& work_by_gateway) {
  double informed = 0, whole = 0;
  const auto started = node_started_.find(node);
  for (std::size_t g = 0; g < work_by_gateway.size(); ++g) {
    const auto told = start_told_.find({static_cast<int>(g), node});
    const bool knew =
        told != start_told_.end() && started != node_started_.end() && told->second >= started->second;
    whole += work_by_gateway[g];
    if (knew) informed += work_by_gateway[g];
  }
  if (informed >= kInformedPart * whole)
    Break(Rule::kFallOver, now, 0, node, -1, -1,
          fmt::format("{} fell {:.1f} s after its start", NodeName(node),
                      started != node_started_.end() ? Seconds(now - started->second) : 0));
}

void Judge::SetNearestFall(double nearest) {
  Near(Rule::kFallOver, nearest,
       fmt::format("a cold node had {:.0f}% of what pushes it over", 100 * nearest));
}

std::vector<RuleVerdict> Judge::Verdicts() const {
  std::vector<RuleVerdict> verdicts(verdicts_.begin(), verdicts_.end());
  RuleVerdict& twice = verdicts[static_cast<std::size_t>(Rule::kDuplicate)];
  twice.nearest = most_runs_ > 1 ? static_cast<double>(most_runs_) : 0;
  twice.nearest_text = fmt::format("{} unsafe requests; none of them ran more than {}", unsafe_,
                                   most_runs_ == 1 ? "once" : fmt::format("{} times", most_runs_));
  for (RuleVerdict& verdict : verdicts)
    if (verdict.nearest_text.empty()) verdict.nearest_text = "never near";
  return verdicts;
}

std::vector<CeilingUse> Judge::Ceilings() const {
  std::vector<CeilingUse> uses;
  for (std::size_t c = 0; c < customers_.size(); ++c) {
    const auto it = stores_.find(static_cast<int>(c));
    if (it == stores_.end()) continue;
    const TariffPlan& plan = scenario_.plans[static_cast<std::size_t>(customers_[c].plan)];
    const Store& store = it->second;
    uses.push_back({customers_[c].name, plan.crowd.name, plan.ceiling_burst, plan.ceiling_rate,
                    plan.ceiling_slack, store.lowest, store.admitted, store.by_second});
  }
  return uses;
}

}  // namespace curlewdoor::rehearsal
