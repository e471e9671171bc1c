// libev's watchers as owners: each stops itself when it goes.
#pragma once

#include <ev.h>

#include <chrono>
#include <functional>
#include <utility>

namespace curlewdoor::net {

// The C structs are linked into the loop by address, so a watcher never moves.
template <typename Ev, void (*kStart)(struct ev_loop*, Ev*), void (*kStop)(struct ev_loop*, Ev*)>
class Watcher {
 public:
  Watcher(struct ev_loop* loop, std::function<void(int)> on_event)
      : loop_(loop), on_event_(std::move(on_event)) {
    ev_init(&ev_, &Watcher::Call);
    ev_.data = this;
  }
  ~Watcher() { Stop(); }
  Watcher(const Watcher&) = delete;
  Watcher& operator=(const Watcher&) = delete;

  void Start() { kStart(loop_, &ev_); }
  void Stop() { kStop(loop_, &ev_); }
  bool active() const { return ev_is_active(&ev_); }
  // Of what is ready together, this is handled before the others.
  void GoFirst() { ev_set_priority(&ev_, EV_MAXPRI); }

 protected:
  static void Call(struct ev_loop*, Ev* ev, int events) {
    static_cast<Watcher*>(ev->data)->on_event_(events);
  }

  struct ev_loop* loop_;
  Ev ev_;
  std::function<void(int)> on_event_;
};

class IoWatcher : public Watcher<ev_io, ev_io_start, ev_io_stop> {
 public:
  using Watcher::Watcher;
  // Waits for these events, of which there may be none, on this descriptor.
  void Want(int fd, int events) {
    if (active() && ev_.fd == fd && wanted_ == events) return;
    Stop();
    wanted_ = events;
    ev_io_set(&ev_, fd, events);
    if (events != 0) Start();
  }

 private:
  int wanted_ = 0;
};

class TimerWatcher : public Watcher<ev_timer, ev_timer_start, ev_timer_stop> {
 public:
  using Watcher::Watcher;
  void StartIn(std::chrono::nanoseconds delay, std::chrono::nanoseconds repeat = {}) {
    Stop();
    ev_timer_set(&ev_, std::chrono::duration<double>(delay).count(),
                 std::chrono::duration<double>(repeat).count());
    Start();
  }
};

class SignalWatcher : public Watcher<ev_signal, ev_signal_start, ev_signal_stop> {
 public:
  SignalWatcher(struct ev_loop* loop, int signal, std::function<void(int)> on_event)
      : Watcher(loop, std::move(on_event)) {
    ev_signal_set(&ev_, signal);
    Start();
  }
};

class PrepareWatcher : public Watcher<ev_prepare, ev_prepare_start, ev_prepare_stop> {
 public:
  using Watcher::Watcher;
};

class CheckWatcher : public Watcher<ev_check, ev_check_start, ev_check_stop> {
 public:
  using Watcher::Watcher;
};

}  // namespace curlewdoor::net
