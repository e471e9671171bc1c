#include "standin/node.hpp"

#include <algorithm>
#include <utility>

namespace curlewdoor::standin {
namespace {

// While cold, its pace changes; it is taken as even over this long.
constexpr Duration kWarmStep = std::chrono::milliseconds(50);
// A draining node still serves what comes for this long, then turns it away.
constexpr Duration kServesWhileDraining = std::chrono::seconds(2);
constexpr double kFallSlackJobs = 3;  // what may meet by chance

}  // namespace

Node::Node(const NodeKind& kind, const std::vector<WorkClass>& classes, int gateways, std::uint64_t seed)
    : kind_(kind), classes_(classes), gateways_(gateways), random_(MakeRandom(seed, "node")) {}

void Node::Start(TimePoint now, bool cold) {
  up_ = true;
  draining_ = false;
  cold_ = cold;
  started_ = last_ = now;
  arrivals_.clear();
  arrived_ = 0;
}

void Node::Kill(TimePoint now, std::vector<NodeOutput>& out) {
  Progress(now);
  for (const auto& [finish, job] : by_finish_) Say(job, NodeSays::kReset, out);
  for (const Job& job : queue_) Say(job.id, NodeSays::kReset, out);
  active_.clear();
  by_finish_.clear();
  queue_.clear();
  connections_ = 0;
  up_ = false;
}

void Node::SetDraining(TimePoint now, bool draining) {
  if (draining && !draining_) draining_since_ = now;
  draining_ = draining;
}

void Node::SetTrouble(TimePoint now, const NodeTrouble& trouble) {
  Progress(now);
  trouble_ = trouble;
}

bool Node::Connect() {
  ++connections_;
  return connections_ <= kind_.connections;
}

void Node::Say(JobId job, NodeSays says, std::vector<NodeOutput>& out) const {
  if (!trouble_.silent) out.push_back({job, says});
}

double Node::Warmth(TimePoint now) const {
  if (!cold_ || now >= started_ + kind_.cold_time) return 1;
  return kind_.cold_from + (1 - kind_.cold_from) * Seconds(now - started_) / Seconds(kind_.cold_time);
}

double Node::RatePerJob(TimePoint now) const {
  if (trouble_.stalled || active_.empty()) return 0;
  const double load = static_cast<double>(active_.size()) / kind_.cores;
  const double lost = kind_.thrash * std::max(0.0, load - kind_.thrash_at);
  return kind_.speed * Warmth(now) / trouble_.slowness * std::min(1.0, 1 / load) / (1 + lost);
}

void Node::Progress(TimePoint now) {
  if (now <= last_) return;
  progress_ += RatePerJob(last_) * Seconds(now - last_);
  last_ = now;
}

double Node::Draw(const Job& job) {
  const WorkClass& kind = classes_[static_cast<std::size_t>(job.work_class)];
  const double mean = Seconds(kind.mean);
  const double work =
      kind.times == WorkTimes::kExponential ? Exponential(random_, mean) : Lognormal(random_, mean, kind.cv);
  return work + (job.new_connection ? Seconds(kind_.handshake) : 0);
}

// Work that comes counts whether it is served or turned away, and nothing guards a node that has fallen.
bool Node::CountArrival(TimePoint now, const Job& job) {
  if (!cold_ || now >= started_ + kind_.cold_time) return false;
  const double work = Seconds(classes_[static_cast<std::size_t>(job.work_class)].mean);
  while (!arrivals_.empty() && arrivals_.front().at <= now - kind_.fall_time) {
    arrived_ -= arrivals_.front().work;
    arrivals_.pop_front();
  }
  arrivals_.push_back({now, work, job.gateway});
  arrived_ += work;
  const double capacity = kind_.cores * kind_.speed * Warmth(now) * Seconds(kind_.fall_time);
  const double bound = kind_.fall_multiple * capacity + kFallSlackJobs * work;
  nearest_fall_ = std::max(nearest_fall_, arrived_ / bound);
  return arrived_ > bound;
}

void Node::Take(TimePoint now, const Job& job, std::vector<NodeOutput>& out) {
  if (!up_) return Say(job.id, NodeSays::kReset, out);
  if (trouble_.silent) return;  // never heard
  Progress(now);
  if (CountArrival(now, job)) {
    fell_ = NodeFell{now, std::vector<double>(static_cast<std::size_t>(gateways_))};
    for (const Arrival& each : arrivals_)
      fell_->work_by_gateway[static_cast<std::size_t>(each.gateway)] += each.work;
    Say(job.id, NodeSays::kReset, out);
    return Kill(now, out);
  }
  const auto slots = static_cast<std::size_t>(kind_.cores * kind_.slots_per_core);
  const auto places = static_cast<std::size_t>(kind_.cores * kind_.queue_per_core);
  const bool drained = draining_ && now >= draining_since_ + kServesWhileDraining;
  if (drained || connections_ > kind_.connections) return Say(job.id, NodeSays::kTurnedAway, out);
  if (active_.size() < slots) return Activate(job);
  if (queue_.size() >= places) return Say(job.id, NodeSays::kTurnedAway, out);
  queue_.push_back(job);
}

void Node::Activate(const Job& job) {
  const double finish = progress_ + Draw(job);
  active_[job.id] = {job, finish};
  by_finish_.insert({finish, job.id});
}

void Node::Drop(TimePoint now, JobId job) {
  Progress(now);
  const auto it = active_.find(job);
  if (it == active_.end()) {
    std::erase_if(queue_, [&](const Job& waiting) { return waiting.id == job; });
    return;
  }
  by_finish_.erase({it->second.finish, job});
  active_.erase(it);
  if (!queue_.empty()) {
    Activate(queue_.front());
    queue_.pop_front();
  }
}

void Node::Finish(TimePoint now, const Job& job, std::vector<NodeOutput>& out) {
  ran_.push_back({now, job.request, ++times_run_[job.request]});
  if (Chance(random_, trouble_.resets)) return Say(job.id, NodeSays::kReset, out);
  if (Chance(random_, trouble_.spoilt)) return Say(job.id, NodeSays::kSpoilt, out);
  const double errors = std::max(kind_.error_rate, trouble_.errors);
  Say(job.id, Chance(random_, errors) ? NodeSays::kError : NodeSays::kAnswer, out);
}

void Node::Advance(TimePoint now, std::vector<NodeOutput>& out) {
  // Each pass goes to the next end of a job, so that a late call gives the answers of one in time.
  while (up_) {
    const auto due = NextDue();
    const bool more = due && *due <= now;
    Progress(more ? *due : now);
    while (!by_finish_.empty() && by_finish_.begin()->first <= progress_ + 1e-12) {
      const JobId id = by_finish_.begin()->second;
      const Job job = active_.at(id).job;
      by_finish_.erase(by_finish_.begin());
      active_.erase(id);
      Finish(last_, job, out);
      if (queue_.empty()) continue;
      Activate(queue_.front());
      queue_.pop_front();
    }
    if (!more) return;
  }
}

std::optional<TimePoint> Node::NextDue() const {
  const double rate = up_ ? RatePerJob(last_) : 0;
  if (rate <= 0) return std::nullopt;
  const double left = std::max(0.0, by_finish_.begin()->first - progress_);
  // Rounded up, so that the job has ended by then.
  const TimePoint end = last_ + FromSeconds(left / rate) + Duration(1);
  const bool warming = cold_ && last_ < started_ + kind_.cold_time;
  return warming ? std::min(end, last_ + kWarmStep) : end;
}

}  // namespace curlewdoor::standin
