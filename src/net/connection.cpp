#include "net/connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

#include "net/socket_io.hpp"

namespace curlewdoor::net {
namespace {

constexpr int kMostInterim = 16;  // 1xx answers before the one that is meant
constexpr std::size_t kUsualRead = 2048, kStreamRead = 16 * 1024;
// Bytes in the socket of a connection that is counted.
constexpr SocketLimits kSocketLimits{.receive = 64 * 1024, .unsent = 128 * 1024};
constexpr std::size_t kPassOnFrom =
    16 * 1024;  // of an answer without a length: shorter ones mostly come whole

}  // namespace

Connection::Connection(struct ev_loop* loop, Owner& owner, http::Bodies bodies, std::uint64_t largest,
                       memory::Account* account)
    : owner_(owner),
      counted_(account != nullptr),
      account_(account),
      io_(loop, [this](int events) { OnEvent(events); }),
      connect_timer_(loop, [this](int) { Break(); }),
      answer_(http::Kind::kResponse, in_, bodies, largest) {
  // Answers go before new requests: that a host or the counter has closed a connection, or brought an answer,
  // is known before anything new is sent, even after a stall in which much has come.
  io_.GoFirst();
}

void Connection::Connect(Descriptor descriptor, const Address& address, Duration timeout,
                         Duration unacknowledged) {
  descriptor_ = std::move(descriptor);
  descriptor_.Set(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (counted_ && descriptor_.open()) LimitSocket(descriptor_.fd(), kSocketLimits);
  const sockaddr_in to = address.ToSocket();
  const bool begun = descriptor_.open() &&
                     (::connect(descriptor_.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 ||
                      errno == EINPROGRESS);
  if (begun) {
    const int on = 1;
    ::setsockopt(descriptor_.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (unacknowledged > Duration::zero()) LimitSilence(descriptor_.fd(), unacknowledged);
    WantEvents();
  }
  connect_timer_.StartIn(begun ? timeout : Duration::zero());
}

void Connection::Close() {
  io_.Stop();
  connect_timer_.Stop();
  if (!unwritten_.empty() && descriptor_.open()) ResetOnClose(descriptor_.fd());  // its request is cut
  descriptor_.Close();
  up_ = false;
}

void Connection::Adopt(Descriptor descriptor) {
  descriptor_ = std::move(descriptor);
  up_ = true;
  WantEvents();
}

void Connection::AdoptStream(Descriptor descriptor, std::string_view rest) {
  in_.Append(rest);
  streaming_ = true;
  Adopt(std::move(descriptor));
}

Descriptor Connection::Release() {
  io_.Stop();
  up_ = false;
  return std::move(descriptor_);
}

void Connection::Break() {
  Close();
  owner_.OnBroken(*this);
}

void Connection::LimitConnect(Duration left) {
  if (!up_ && open()) connect_timer_.StartIn(std::max(Duration::zero(), left));
}

void Connection::WantEvents() {
  const int reads = streaming_ && !owner_.WantsBytes() ? 0 : EV_READ;
  io_.Want(descriptor_.fd(), !up_ ? EV_WRITE : unwritten_.empty() ? reads : reads | EV_WRITE);
  own_.Set(sizeof(Connection) + (reads == 0 ? kSocketLimits.receive : 0) +
           (unwritten_.empty() ? 0 : kSocketLimits.unsent));
}

void Connection::OnEvent(int events) {
  if (!up_) return FinishConnect();
  if ((events & EV_WRITE) != 0) FlushRest();
  if (open() && (events & EV_READ) != 0) ReadSome();
}

void Connection::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(descriptor_.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) return Break();
  up_ = true;
  connect_timer_.Stop();
  WantEvents();
  owner_.OnUp(*this);
}

void Connection::Write(std::span<const iovec> pieces) {
  const std::uint64_t before = written_;
  const WriteResult result = WritePieces(descriptor_.fd(), pieces, unwritten_);
  written_ += result.written;
  // What broke here is told from the loop, by the read that finds the end.
  WantEvents();
  if (written_ > before) owner_.OnWritten(*this);
}

void Connection::FlushRest() {
  const WriteResult result = FlushBuffer(descriptor_.fd(), unwritten_);
  written_ += result.written;
  if (result.broken) return Break();
  WantEvents();
  if (result.written > 0) owner_.OnWritten(*this);
}

bool Connection::Quiet() const { return in_.empty() && Peek(descriptor_.fd()) == ReadStatus::kNothing; }

void Connection::ReadSome() {
  const ReadStatus status = ReadInto(descriptor_.fd(), in_, streaming_ ? kStreamRead : kUsualRead);
  if (status == ReadStatus::kBytes) ReadAnswers();
  if (!Over(status) || !open()) return;
  // An answer without a length ends with its connection; any other is cut.
  if (status == ReadStatus::kEnd && owner_.Expects() && answer_.End() == http::Progress::kDone)
    FinishAnswer();
  if (open()) Break();
}

void Connection::ReadAnswers() {
  while (open() && !in_.empty()) {
    if (!owner_.Expects()) return Break();
    const http::Progress progress = answer_.Read();
    if (progress == http::Progress::kBad) return Break();
    if (!streaming_ && BeginsStream(progress)) {
      if (answer_.status() != 200) return owner_.OnAnswer(*this, answer_);  // its head tells all; not kept
      streaming_ = true;
      owner_.OnAnswerBegun(*this, answer_);
      if (!open()) return;
    }
    if (progress == http::Progress::kDone) {
      FinishAnswer();
      continue;
    }
    if (!streaming_ || !answer_.head_done()) return;
    if (!PassBytes()) return;
    if (progress == http::Progress::kMore) return;
  }
}

bool Connection::BeginsStream(http::Progress progress) const {
  if (!owner_.Streams() || !answer_.head_done() || answer_.status() < 200) return false;
  if (answer_.large() || progress == http::Progress::kFull) return true;
  return progress == http::Progress::kMore && !answer_.length() && answer_.body().size() >= kPassOnFrom;
}

// Tells whether there is a connection to go on with.
bool Connection::PassBytes() {
  if (!owner_.WantsBytes()) {
    WantEvents();
    return false;
  }
  owner_.OnAnswerBytes(*this, answer_.body());
  if (!open()) return false;
  answer_.ConsumeBody();
  WantEvents();
  return true;
}

void Connection::ReadOn() {
  if (!open() || !streaming_) return;
  if (!answer_.head_done() || PassBytes()) ReadAnswers();
}

void Connection::FinishAnswer() {
  const bool interim = answer_.status() < 200;
  interim_ = interim ? interim_ + 1 : 0;
  if (interim_ > kMostInterim) return Break();
  if (streaming_) owner_.OnAnswerBytes(*this, answer_.body());
  if (!open()) return;
  streaming_ = false;
  if (!interim) owner_.OnAnswer(*this, answer_);
  if (!open()) return;
  const bool kept = answer_.keep_alive() || interim;
  answer_.Next();
  WantEvents();
  if (!kept) return Break();
}

}  // namespace curlewdoor::net
