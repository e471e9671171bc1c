// Front: what a gateway that was told to end still passes on, declines and answers.
#include <utility>

#include "system/front.hpp"
#include "util/seconds.hpp"

namespace curlewdoor::system {

void Front::BeginShutdown(const net::DrainSchedule& schedule) {
  drain_schedule_ = schedule;
  Drain();
}

void Front::EndShutdown() {
  if (drain_schedule_) drain_schedule_->Close(Now());
  DeclineUnfinishable();
  FailWhatBlocksAnswers();
}

// Whether this process lives until the request's final answer, if a host gets it now.
bool Front::MayFinish(const Request& request) {
  if (!drain_schedule_) return true;
  return drain_schedule_->MayPassOn(Now(), request.expires + kExpiryMargin, FromSeconds(Mean(request)));
}

// A host that has a whole request may still answer it. One whose body is coming has not begun: how long that
// takes is its client's affair, so only its expiry says when it ends.
bool Front::IsUnfinishable(const Request& request) {
  if (request.course.state() == retry::AttemptState::kSent) return false;
  const TimePoint now = Now();
  if (drain_schedule_->Over(now)) return true;
  return uploading(request.id) && !drain_schedule_->InLikelyTime(now) && !MayFinish(request);
}

void Front::DeclineUnfinishable() {
  if (!drain_schedule_) return;
  std::vector<RequestId> unfinishable;
  for (const auto& [id, request] : requests_)
    if (IsUnfinishable(request)) unfinishable.push_back(id);
  Run([&] {
    for (const RequestId id : unfinishable)
      if (Request* request = Find(id)) ConcludeTooLate(*request);
  });
  if (!drain_schedule_->Over(Now())) return;
  for (const Arrived& each : std::exchange(not_taken_in_, {})) Decline(each.id, 503, {});
}

// Its client may turn to another gateway at once.
void Front::ConcludeTooLate(Request& request) {
  ++figures_.too_late;
  if (request.claim.customer != nullptr && !request.held_open) leases_.Cancel(request.claim);
  GiveUp(request, load_balancing::AttemptFeedback::kCancelled);
  Conclude(request, Duration::zero(), 502);
}

// Hosts of these outlast the process, so that they get no answer of theirs. What is answered behind them
// still reaches its client.
void Front::FailWhatBlocksAnswers() {
  Run([this] {
    for (const RequestId id : BlockingAnswers()) {
      Request* const request = Find(id);
      if (request == nullptr) continue;
      GiveUp(*request, load_balancing::AttemptFeedback::kCancelled);
      Conclude(*request, Duration::zero(), 502);
    }
  });
}

Front::OpenWork Front::CountOpenWork() const {
  OpenWork work;
  work.requests = requests_.size();
  for (const auto& [id, request] : requests_) {
    if (request.course.state() == retry::AttemptState::kSent) ++work.at_hosts;
    work.last_arrival = std::max(work.last_arrival, request.arrived);
  }
  return work;
}

}  // namespace curlewdoor::system
