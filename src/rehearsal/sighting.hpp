// What the stand-ins see of a rehearsal. The judge, the figures and the event log take the same sightings,
// from sockets and from virtual time alike; nothing here comes from what a gateway says of itself.
#pragma once

#include <cstdint>
#include <vector>

#include "logic.hpp"
#include "standin/crowd.hpp"

namespace curlewdoor::rehearsal {

enum class AnswerKind { kServed, kRefused, kFailed };

class Witness {
 public:
  virtual ~Witness() = default;

  // A client asks; `ask.due` is its time.
  virtual void Asked(const standin::Ask&) {}
  // The last byte of it is written to a connection that a gateway accepted.
  virtual void Taken(TimePoint, const standin::Ask&) {}
  // The last byte of an answer has come. `own_body`: it is what a node made for this request.
  virtual void Answered(TimePoint, const standin::Ask&, AnswerKind, int /*status*/, bool /*own_body*/) {}
  // No answer will come. `excused`: its gateway was killed, or ended a connection on which it had said
  // nothing.
  virtual void Unanswered(TimePoint, const standin::Ask&, bool /*excused*/) {}
  // The first byte of an attempt has come to a node; its last one has.
  virtual void AttemptBegins(TimePoint, int /*node*/, int /*gateway*/, std::uint64_t /*request*/) {}
  virtual void AttemptWhole(TimePoint, int /*node*/, int /*gateway*/, std::uint64_t /*request*/) {}
  // A node has done the work, `times` so far under this id.
  virtual void Ran(TimePoint, int /*node*/, std::uint64_t /*request*/) {}
  // Discovery has written this to a gateway.
  virtual void Told(TimePoint, int /*gateway*/, int /*node*/, HostState) {}
  virtual void NodeStarted(TimePoint, int /*node*/) {}
  virtual void NodeFell(TimePoint, int /*node*/, const std::vector<double>& /*work_by_gateway*/) {}
  virtual void GatewayStarted(TimePoint, int /*gateway*/) {}
  virtual void GatewayDied(TimePoint, int /*gateway*/) {}
  // Its process stands still (SIGSTOP), and goes on.
  virtual void GatewayStopped(TimePoint, int /*gateway*/) {}
  virtual void GatewayContinued(TimePoint, int /*gateway*/) {}
  virtual void Called(TimePoint, int /*gateway*/) {}  // the counter
};

}  // namespace curlewdoor::rehearsal
