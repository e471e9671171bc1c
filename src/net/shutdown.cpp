#include "net/shutdown.hpp"

#include <csignal>

namespace curlewdoor::net {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLeast = milliseconds(1000);  // those who bring clients notice an end some time after it
constexpr Duration kQuiet = milliseconds(500);   // without a new connection or request
constexpr Duration kCheck = milliseconds(50);

}  // namespace

Shutdown::Shutdown(struct ev_loop* loop, Listener& listener, Inputs& inputs, std::function<bool()> handed_on,
                   std::function<void()> on_begin)
    : loop_(loop),
      listener_(listener),
      inputs_(inputs),
      handed_on_(std::move(handed_on)),
      on_begin_(std::move(on_begin)),
      terminate_(loop, SIGTERM, [this](int) { Begin(); }),
      interrupt_(loop, SIGINT, [this](int) { Begin(); }),
      check_timer_(loop, [this](int) { Check(); }) {}

void Shutdown::Begin() {
  if (begun_) return;
  begun_ = true;
  begun_at_ = inputs_.Now();
  listener_.BeginShutdown(begun_at_);
  on_begin_();
  check_timer_.StartIn(kCheck, kCheck);
}

// What the system has accepted by the last look is still answered: it counts as taken.
void Shutdown::Check() {
  if (handed_on_()) {
    if (!listener_.owes_anything()) End();
    return;
  }
  if (inputs_.Now() < begun_at_ + kLeast || !listener_.Drained(kQuiet)) return;
  if (listener_.AcceptLast()) End();
}

// The loop still handles what it has found ready: no request of that may be taken.
void Shutdown::End() {
  listener_.EndShutdown();
  ev_break(loop_, EVBREAK_ALL);
}

}  // namespace curlewdoor::net
