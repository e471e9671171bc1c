// The orderly end: goes on accepting while new connections come, and ends once nothing is owed.
#pragma once

#include "net/inputs.hpp"
#include "net/listener.hpp"
#include "net/watcher.hpp"

namespace curlewdoor::net {

class Shutdown {
 public:
  // `handed_on`: another process takes what comes. `on_begin`: called as the drain begins.
  Shutdown(struct ev_loop* loop, Listener& listener, Inputs& inputs, std::function<bool()> handed_on,
           std::function<void()> on_begin);

  // Begins to drain; a second call changes nothing.
  void Begin();
  bool begun() const { return begun_; }

 private:
  void Check();
  void End();

  struct ev_loop* loop_;
  Listener& listener_;
  Inputs& inputs_;
  const std::function<bool()> handed_on_;
  const std::function<void()> on_begin_;
  SignalWatcher terminate_, interrupt_;
  TimerWatcher check_timer_;
  bool begun_ = false;
  TimePoint begun_at_;
};

}  // namespace curlewdoor::net
