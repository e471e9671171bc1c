// Long bodies of requests, from a client's connection to that of an attempt: docs/streaming.md.
#pragma once

#include <unordered_map>

#include "net/door.hpp"
#include "net/upstream.hpp"

namespace curlewdoor::net {

class Uploads {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnWhole(RequestId request) = 0;         // all of it is there
    virtual void OnBound(const AttemptId& attempt) = 0;  // part of it is held no longer: no other attempt
  };

  Uploads(Door& door, Upstream& upstream, Owner& owner) : door_(door), upstream_(upstream), owner_(owner) {}

  // Begins the attempt, with the body as it comes where that is long. False: the client is gone.
  bool Start(const StartAttempt& effect);
  // Passes on what has come of a long body, as far as the attempt's connection takes it. What is held is
  // given up only when no more could be read else: until then another attempt can be made.
  void Pump(RequestId request);
  void Forget(RequestId request) { uploads_.erase(request); }

 private:
  struct Upload {  // its attempt, and how much of what is held has been passed on
    AttemptId attempt;
    std::size_t fed = 0;
    bool bound = false, pumping = false, ended = false;
  };

  Door& door_;
  Upstream& upstream_;
  Owner& owner_;
  std::unordered_map<RequestId, Upload, IdHash> uploads_;
};

}  // namespace curlewdoor::net
