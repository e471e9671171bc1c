// What the parts that do I/O know of the rest: where their inputs go, and what time it is.
#pragma once

#include "core/reducer.hpp"

namespace curlewdoor::net {

class Inputs {
 public:
  virtual ~Inputs() = default;
  // Handles the input and all effects, or, while another is being handled, queues it behind that.
  virtual void Post(Input input) = 0;
  virtual TimePoint Now() = 0;
  // How long what is read just now may have waited unseen, because this process stood still or was busy.
  virtual Duration Unseen() = 0;
};

}  // namespace curlewdoor::net
