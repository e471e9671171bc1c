// Node: the end of a process that was told to end.
#include "system/node.hpp"
#include "system/node_limits.hpp"

namespace curlewdoor::system {

void Node::OnTerm() {
  if (leaving_) return;
  leaving_ = true;
  term_at_ = Now();
  Say(Event::kTermReceived, settings_.node_name);
  SetReady();
  front_.BeginShutdown(DrainScheduleFrom(term_at_));
  if (coordination_) coordination_->Leave();
}

net::DrainSchedule Node::DrainScheduleFrom(Steady term_at) const {
  const Duration last_answer = settings_.bounds.grace - kEndMargin - kLastAnswers;
  return net::DrainSchedule({.begun_at = Net(term_at),
                             .likely_for = kStillBrought,
                             .answers_end_at = Net(term_at) + std::max(Duration::zero(), last_answer)});
}

// Ends the process once clients, hosts, operators and applications have their answers and a member has handed
// over what it holds, and before the platform kills it at all events.
void Node::AdvanceShutdown(Steady now) {
  const Duration since = now - term_at_;
  const Duration longest = settings_.bounds.grace - kEndMargin;
  if (since >= kStopListening) front_.StopListening();
  front_.DeclineUnfinishable();
  // A member goes on voting until the others hold what it holds.
  const bool drained = since >= kStopListening && !front_.owes_anything();
  if (drained && core_) core_->Leave();
  const bool leads = coordination_ && coordination_->has_lead_to_hand_over();
  const bool finished = drained && !leads && (!core_ || core_->HandedOver(now));
  if (finished || since >= longest - kCallerWaits) DeclineCalls();
  if (since >= longest || (finished && control_.waiting() == 0)) End();
}

// Calls that were taken before are answered by the time at which their callers give up. Watches may wait for
// longer.
void Node::DeclineCalls() {
  control_.DeclineCalls();
  coordination_calls_.EndWatches();
}

void Node::End() {
  front_.EndShutdown();
  fleet::ProtocolOutput out;
  fleet_->Leave(Now(), out);
  ExecuteFleet(out);
  if (front_.owes_anything()) {
    Say(Event::kDrainCutShort, settings_.node_name + DescribeOpenWork());
  } else {
    Say(Event::kDrained, settings_.node_name);
  }
  ev_break(loop_, EVBREAK_ALL);
}

std::string Node::DescribeOpenWork() const {
  const Front::OpenWork work = front_.CountOpenWork();
  if (work.requests == 0) return ": connections only";
  const auto last = std::chrono::duration_cast<milliseconds>(work.last_arrival - Net(term_at_));
  return ": " + std::to_string(work.requests) + " requests, " + std::to_string(work.at_hosts) +
         " at hosts, the last taken " + std::to_string(last.count()) + " ms after SIGTERM";
}

}  // namespace curlewdoor::system
