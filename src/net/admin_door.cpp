#include "net/admin_door.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "admin/admin.hpp"
#include "net/socket_io.hpp"

namespace curlewdoor::net {
namespace {

constexpr int kAcceptAtOnce = 64;                             // then others get their turn
constexpr Duration kSlowestCall = std::chrono::seconds(3);    // from connecting to the end of the line
constexpr Duration kSlowestReader = std::chrono::seconds(2);  // to take the answer and close

}  // namespace

AdminDoor::AdminDoor(struct ev_loop* loop, Descriptors& descriptors, Inputs& inputs, Answer answer)
    : loop_(loop),
      descriptors_(descriptors),
      inputs_(inputs),
      answer_(std::move(answer)),
      io_(loop, [this](int) { Accept(); }) {
  io_.GoFirst();  // an answer is due within a second, whatever the clients do
}

AdminDoor::~AdminDoor() {
  if (fd_ >= 0) ::close(fd_);
}

bool AdminDoor::Listen(const Address& address, std::string& error) {
  Address bound;
  fd_ = ListenOn(address, bound, error);
  if (fd_ < 0) return false;
  port_ = bound.port;
  io_.Want(fd_, EV_READ);
  return true;
}

void AdminDoor::Accept() {
  for (int i = 0; i < kAcceptAtOnce; ++i) {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto descriptor = descriptors_.Take(Use::kAdmin);
    if (!descriptor) {
      ShedOldest();
      descriptor = descriptors_.Take(Use::kAdmin);
    }
    if (!descriptor) {
      ::close(fd);
      return;
    }
    descriptor->Set(fd);
    Caller& caller = callers_.emplace_back(*this, std::move(*descriptor));
    caller.self = std::prev(callers_.end());
    caller.Read();  // a call is mostly here with its connection
  }
}

// Makes room: of those that have their answer, else of those that have said least, the oldest.
void AdminDoor::ShedOldest() {
  if (callers_.empty()) return;
  const auto rank = [](const Caller& c) { return c.answered ? 0 : c.in.empty() ? 1 : 2; };
  Caller& oldest = *std::min_element(callers_.begin(), callers_.end(),
                                     [&](const Caller& a, const Caller& b) { return rank(a) < rank(b); });
  if (rank(oldest) == 2) oldest.Say(admin::No("too many callers; the line is not whole"));
  if (oldest.descriptor.open()) Retire(oldest);
}

void AdminDoor::CheckTimes() {
  const TimePoint now = inputs_.Now();
  for (auto it = callers_.begin(); it != callers_.end();) {
    Caller& caller = *it++;
    if (now - caller.since <= (caller.answered ? kSlowestReader : kSlowestCall)) continue;
    if (!caller.answered && !caller.in.empty()) {
      caller.Say(admin::No("the line did not end in time"));
    } else {
      Retire(caller);
    }
  }
}

void AdminDoor::Retire(Caller& caller) {
  caller.io.Stop();
  caller.descriptor.Close();
  retired_.splice(retired_.end(), callers_, caller.self);
}

// ---- One caller ---------------------------------------------------------------------------------------

AdminDoor::Caller::Caller(AdminDoor& owner, Descriptor given)
    : door(owner),
      descriptor(std::move(given)),
      io(owner.loop_, [this](int events) { OnEvent(events); }),
      since(owner.inputs_.Now()) {
  io.GoFirst();
  io.Want(descriptor.fd(), EV_READ);
}

void AdminDoor::Caller::OnEvent(int events) {
  if ((events & EV_WRITE) != 0) Flush();
  if (descriptor.open() && (events & EV_READ) != 0) Read();
}

// A caller that ends its sending without the end of the line has said what it had to say.
void AdminDoor::Caller::Read() {
  if (answered) {
    if (Over(Discard(descriptor.fd()))) door.Retire(*this);
    return;
  }
  const ReadStatus status = ReadInto(descriptor.fd(), in);
  if (status == ReadStatus::kNothing) return;
  if (status == ReadStatus::kBroken) return door.Retire(*this);
  std::string_view line = in.view();
  const auto end = line.find('\n');
  if (status == ReadStatus::kEnd && line.empty()) return door.Retire(*this);
  if (end == std::string_view::npos && status == ReadStatus::kBytes && line.size() <= admin::kMostLine)
    return;
  line = line.substr(0, end);
  if (line.ends_with('\r')) line.remove_suffix(1);
  Say(status == ReadStatus::kEnd ? admin::No("the line has no end") : door.answer_(line));
}

void AdminDoor::Caller::Say(const std::string& text) {
  answered = true;
  since = door.inputs_.Now();
  out.Append(text);
  Flush();
}

// Closing with bytes unread would reset the connection and could take the answer with it: the caller closes.
void AdminDoor::Caller::Flush() {
  if (!out.empty() && FlushBuffer(descriptor.fd(), out).broken) return door.Retire(*this);
  if (out.empty()) ::shutdown(descriptor.fd(), SHUT_WR);
  io.Want(descriptor.fd(), out.empty() ? EV_READ : EV_READ | EV_WRITE);
}

}  // namespace curlewdoor::net
