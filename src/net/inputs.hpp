// What the parts that do I/O know of the rest: where their inputs go, and what time it is.
#pragma once

#include <string_view>

#include "core/reducer.hpp"

namespace curlewdoor::net {

class Inputs {
 public:
  virtual ~Inputs() = default;
  // Handles the input and all effects, or, while another is being handled, queues it behind that.
  virtual void Post(Input input) = 0;
  virtual TimePoint Now() = 0;
  // How long what is read just now from this socket may have waited unseen, because this process stood still
  // or was busy.
  virtual Duration Unseen(int socket) = 0;

  // The first bytes of an attempt were given to the system. Within Upstream, before anything that follows.
  virtual void OnBytesSent(const AttemptId&) {}

  // Bodies in pieces: docs/streaming.md. Of a request: more of its body has come or it has ended, or its
  // attempt's connection has written all that it was given.
  virtual void OnUpload(RequestId) {}
  // Of an answer: its client's connection has room again, or the client is gone.
  virtual void OnAnswerRoom(RequestId) {}
  virtual void OnAnswerLost(RequestId) {}
  // Of an answer: whether the client takes more now; what has come; and its end, whole or cut.
  virtual bool WantsAnswer(RequestId) { return false; }
  virtual void OnAnswerBytes(RequestId, std::string_view) {}
  virtual void OnAnswerEnd(RequestId, bool) {}
};

}  // namespace curlewdoor::net
