#include "standin/crowd.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace curlewdoor::standin {
namespace {

constexpr double kSpikePart = 0.2;     // of the time that a spiky customer is in a spike
constexpr double kSpikeSeconds = 1.5;  // mean length of one
constexpr Duration kLeastPatience = std::chrono::milliseconds(5);  // no try with less left

double DrawUnits(Random& random, double most) {
  std::vector<double> weights;
  for (int u = 1; u <= static_cast<int>(most); ++u) weights.push_back(1.0 / u);
  return 1 + std::discrete_distribution<int>(weights.begin(), weights.end())(random);
}

}  // namespace

double MeanUnits(double most) {
  double units = 0, weights = 0;
  for (int u = 1; u <= static_cast<int>(most); ++u) {
    units += 1;
    weights += 1.0 / u;
  }
  return units / weights;
}

Crowd::Crowd(std::vector<CrowdPlan> plans, std::vector<CrowdClass> classes, CrowdHabits habits, int gateways,
             TimePoint start, Duration length, Shape shape, double most_shape, std::uint64_t seed)
    : plans_(std::move(plans)),
      classes_(std::move(classes)),
      habits_(habits),
      gateways_(gateways),
      start_(start),
      end_(start + length),
      shape_(std::move(shape)),
      most_shape_(most_shape),
      random_(MakeRandom(seed, "crowd")),
      down_(static_cast<std::size_t>(gateways)) {
  std::vector<double> shares;
  for (const CrowdClass& each : classes_) shares.push_back(each.share);
  draw_class_ = std::discrete_distribution<int>(shares.begin(), shares.end());
  for (std::size_t p = 0; p < plans_.size(); ++p) {
    const CrowdPlan& plan = plans_[p];
    for (int i = 0; i < plan.customers; ++i) {
      Customer customer;
      customer.number = Below(random_, std::size_t{1} << 33);
      customer.name = fmt::format("{:016x}", customer.number);
      customer.plan = static_cast<int>(p);
      customer.set_size = std::min(plan.spread, gateways_);
      customer.set_first = static_cast<int>(Below(random_, static_cast<std::size_t>(gateways_)));
      Person person;
      person.per_s = plan.asks / MeanUnits(plan.most_units);
      person.retries = Chance(random_, habits_.retry_share);
      person.honours = Chance(random_, habits_.honour_share);
      person.spike_changes = start_;
      person.in_spike = true;  // turned before its first request
      person.quota_left = plan.burst;
      person.quota_at = start_;
      person.skewed = plan.skew;
      person.random = Random(StableHash(customer.name, seed), customers_.size());
      customers_.push_back(std::move(customer));
      persons_.push_back(person);
    }
  }
  for (std::size_t c = 0; c < customers_.size(); ++c) PlanNext(static_cast<int>(c), start_);
}

// Requests a second as of now.
double Crowd::PaceOf(int customer, TimePoint now) {
  Person& person = persons_[static_cast<std::size_t>(customer)];
  const CrowdPlan& plan =
      plans_[static_cast<std::size_t>(customers_[static_cast<std::size_t>(customer)].plan)];
  double pace = person.per_s * shape_(Seconds(now - start_)) * burst_;
  if (plan.demand != Demand::kSpiky) return pace;
  while (person.spike_changes <= now) {
    person.in_spike = !person.in_spike;
    const double mean = person.in_spike ? kSpikeSeconds : kSpikeSeconds * (1 - kSpikePart) / kSpikePart;
    person.spike_changes += FromSeconds(Exponential(person.random, mean));
  }
  const double between = std::max(0.0, (1 - plan.spikes * kSpikePart) / (1 - kSpikePart));
  return pace * (person.in_spike ? plan.spikes : between);
}

// By thinning: the next time is drawn at the highest pace and kept, when it comes, with the part that is
// true.
void Crowd::PlanNext(int customer, TimePoint after) {
  Person& person = persons_[static_cast<std::size_t>(customer)];
  const CrowdPlan& plan =
      plans_[static_cast<std::size_t>(customers_[static_cast<std::size_t>(customer)].plan)];
  const double most = person.per_s * most_shape_ * (plan.demand == Demand::kSpiky ? plan.spikes : 1);
  if (most <= 0) return;
  const TimePoint due = after + FromSeconds(Exponential(person.random, 1 / most));
  if (due < end_) waiting_.push({due, order_++, customer, std::nullopt});
}

std::optional<TimePoint> Crowd::NextDue() const {
  return waiting_.empty() ? std::nullopt : std::optional(waiting_.top().due);
}

void Crowd::Advance(TimePoint now, std::vector<Ask>& out) {
  while (!waiting_.empty() && waiting_.top().due <= now) {
    const Waiting next = waiting_.top();
    waiting_.pop();
    if (next.again) {
      Ask ask = *next.again;
      ask.id = next_id_++;
      ask.due = next.due;
      ask.gateway = GatewayFor(next.customer, random_);
      out.push_back(ask);
      continue;
    }
    Person& person = persons_[static_cast<std::size_t>(next.customer)];
    const CrowdPlan& plan =
        plans_[static_cast<std::size_t>(customers_[static_cast<std::size_t>(next.customer)].plan)];
    const double most = person.per_s * most_shape_ * (plan.demand == Demand::kSpiky ? plan.spikes : 1);
    if (Chance(person.random, PaceOf(next.customer, next.due) / most)) AskNew(next.due, next.customer, out);
    PlanNext(next.customer, next.due);
  }
}

void Crowd::AskNew(TimePoint due, int customer, std::vector<Ask>& out) {
  const CrowdPlan& plan =
      plans_[static_cast<std::size_t>(customers_[static_cast<std::size_t>(customer)].plan)];
  Random& random = persons_[static_cast<std::size_t>(customer)].random;
  Ask ask;
  ask.id = ask.first = next_id_++;
  ask.customer = customer;
  ask.request_class = draw_class_(random);
  ask.gateway = GatewayFor(customer, random);
  ask.units = DrawUnits(random, plan.most_units);
  ask.due = ask.asked_at = due;
  ask.patience = classes_[static_cast<std::size_t>(ask.request_class)].deadline;
  ask.in_quota = plan.rate <= 0 || TakeQuota(customer, due, ask.units);
  out.push_back(ask);
}

int Crowd::GatewayFor(int customer, Random& random) {
  const Customer& who = customers_[static_cast<std::size_t>(customer)];
  const Person& person = persons_[static_cast<std::size_t>(customer)];
  const auto size = static_cast<std::size_t>(who.set_size);
  std::size_t place = Chance(random, person.skewed) ? 0 : Below(random, size);
  for (std::size_t i = 0; i < size; ++i, ++place) {
    const int gateway = (who.set_first + static_cast<int>(place % size)) % gateways_;
    if (!down_[static_cast<std::size_t>(gateway)]) return gateway;
  }
  return (who.set_first + static_cast<int>(place % size)) % gateways_;
}

// The plan's promise, by its own figures: what a client asks for within it ought to be served.
bool Crowd::TakeQuota(int customer, TimePoint now, double units) {
  Person& person = persons_[static_cast<std::size_t>(customer)];
  const CrowdPlan& plan =
      plans_[static_cast<std::size_t>(customers_[static_cast<std::size_t>(customer)].plan)];
  const double refill = plan.rate * Seconds(now - person.quota_at);
  person.quota_left = std::min(plan.burst, person.quota_left + refill);
  person.quota_at = now;
  if (person.quota_left < units) return false;
  person.quota_left -= units;
  return true;
}

void Crowd::Ended(TimePoint now, const Ask& ask, Ending ending, Duration retry_after) {
  const Person& person = persons_[static_cast<std::size_t>(ask.customer)];
  const CrowdClass& kind = classes_[static_cast<std::size_t>(ask.request_class)];
  if (ending == Ending::kServed) return;
  // A client that reached nobody always tries once more: it does not count as a try.
  const bool harmless = ending == Ending::kRefused || ending == Ending::kNotReached;
  if (!harmless && kind.repeat != RepeatSafety::kSafe) return;
  if (ending != Ending::kNotReached && (!person.retries || ask.tries >= habits_.most_tries)) return;
  Duration wait =
      FromSeconds(Seconds(habits_.backoff) * std::pow(2.0, ask.tries - 1) * Uniform(random_, 0.5, 1.5));
  if (ending == Ending::kRefused && person.honours)
    wait = std::max(wait, std::min(retry_after, habits_.longest_retry_after));
  Ask again = ask;
  again.tries = ask.tries + (ending == Ending::kNotReached ? 0 : 1);
  again.patience = ask.asked_at + kind.deadline - (now + wait);
  if (again.patience < kLeastPatience) return;
  waiting_.push({now + wait, order_++, ask.customer, again});
}

}  // namespace curlewdoor::standin
