#include "system/link.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "memory/eviction.hpp"
#include "net/socket_io.hpp"
#include "util/hash.hpp"

namespace curlewdoor::system {
namespace {

constexpr std::size_t kHead = 4;
// Bytes in the socket of a stream. Those that come are held to it from their beginning.
constexpr net::SocketLimits kSocketLimits{.receive = 64 * 1024, .unsent = 64 * 1024};
constexpr int kBacklog = 128;

void PutLength(char* at, std::size_t length) {
  for (std::size_t i = 0; i < kHead; ++i) at[i] = static_cast<char>(length >> (8 * (kHead - 1 - i)));
}

std::size_t ReadLength(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kHead; ++i) length = length << 8 | static_cast<unsigned char>(bytes[i]);
  return length;
}

}  // namespace

// ---- One stream ---------------------------------------------------------------------------------------

Link::Stream::Stream(Link& link, net::Descriptor descriptor, const Address& to, bool dialled)
    : link_(link),
      account_(&link.account_),
      descriptor_(std::move(descriptor)),
      to_(to),
      dialled_(dialled),
      up_(!dialled),
      io_(link.loop_, [this](int events) { OnEvent(events); }) {
  number = link.next_number_++;
  begun_ = heard_ = sent_ = link.Now();
  const int on = 1;
  ::setsockopt(descriptor_.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  net::LimitSilence(descriptor_.fd(), link.options_.silent);
  Want();
}

void Link::Stream::Want() {
  if (closed_) return;
  io_.Want(descriptor_.fd(), !up_ ? EV_WRITE : out_.empty() ? EV_READ : EV_READ | EV_WRITE);
  own_.Set(sizeof(Stream) + (out_.empty() ? 0 : kSocketLimits.unsent));
}

void Link::Stream::Send(std::string_view frame) {
  if (closed_ || !up_ || frame.size() > kMostFrame) return;
  if (out_.size() + frame.size() > kMostUnwritten) return Close();
  char head[kHead];
  PutLength(head, frame.size());
  const iovec pieces[] = {{head, kHead}, http::Piece(frame)};
  link_.bytes_out_ += kHead + frame.size();
  sent_ = link_.Now();
  if (net::WritePieces(descriptor_.fd(), pieces, out_).broken) return Close();
  Want();
}

void Link::Stream::Close() {
  if (closed_) return;
  closed_ = true;
  const bool was_up = up_;
  up_ = false;
  io_.Stop();
  if (!out_.empty()) net::ResetOnClose(descriptor_.fd());
  descriptor_.Close();
  link_.Remove(*this);
  if (was_up) link_.owner_.OnDown(*this);
}

void Link::Stream::OnEvent(int events) {
  if (!up_) {
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(descriptor_.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
      return Close();
    up_ = true;
    heard_ = link_.Now();
    Want();
    return link_.owner_.OnUp(*this);
  }
  if ((events & EV_WRITE) != 0) Flush();
  if (!closed_ && (events & EV_READ) != 0) Read();
}

void Link::Stream::Flush() {
  if (net::FlushBuffer(descriptor_.fd(), out_).broken) return Close();
  Want();
}

void Link::Stream::Read() {
  const net::ReadStatus status = net::ReadInto(descriptor_.fd(), in_, 4096);
  if (net::Over(status)) return Close();
  if (status != net::ReadStatus::kBytes) return;
  heard_ = link_.Now();
  std::size_t at = 0;
  while (!closed_) {
    const std::string_view bytes = in_.view().substr(at);
    if (bytes.size() < kHead) break;
    const std::size_t length = ReadLength(bytes);
    if (length > most_frame) {
      ++link_.dropped_;
      return Close();
    }
    if (bytes.size() < kHead + length) {
      // Room for all of it at once: it isn't copied as it grows, and takes no memory before it comes.
      if (at == 0) in_.Prepare(kHead + length - bytes.size());
      break;
    }
    at += kHead + length;
    if (length > 0) link_.owner_.OnFrame(*this, bytes.substr(kHead, length));
  }
  if (!closed_ && at > 0) in_.Consume(at);
}

// ---- All of them --------------------------------------------------------------------------------------

Link::Link(struct ev_loop* loop, net::Descriptors& descriptors, Owner& owner, Options options,
           std::uint64_t seed)
    : loop_(loop),
      descriptors_(descriptors),
      account_(descriptors.memory().account(memory::Share::kPeers)),
      owner_(owner),
      options_(options),
      seed_(seed),
      io_(loop, [this](int) { Accept(); }) {}

Link::~Link() {
  if (fd_ >= 0) ::close(fd_);
}

TimePoint Link::Now() const { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }

bool Link::Listen(const Address& address, std::string& error) {
  fd_ = net::ListenOn(address, address_, error);
  if (fd_ < 0) return false;
  net::LimitSocket(fd_, kSocketLimits);
  net::LimitBacklog(fd_, kBacklog);
  io_.Want(fd_, EV_READ);
  return true;
}

void Link::Accept() {
  for (int i = 0; i < 16; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const int fd = ::accept4(fd_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto descriptor = descriptors_.Take(net::Use::kClient);
    if (!descriptor && ShedNameless()) descriptor = descriptors_.Take(net::Use::kClient);
    if (!descriptor || streams_.size() >= options_.most_streams) {
      ::close(fd);
      continue;
    }
    descriptor->Set(fd);
    const Address address{ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
    streams_.push_back(std::make_unique<Stream>(*this, std::move(*descriptor), address, false));
    owner_.OnUp(*streams_.back());
  }
}

std::vector<Link::Stream*> Link::Present() const {
  std::vector<Stream*> present;
  for (const auto& stream : streams_) present.push_back(stream.get());
  return present;
}

// A peer says its name at once: of those that came and have not, the oldest makes room.
bool Link::ShedNameless() {
  const auto nameless = std::find_if(streams_.begin(), streams_.end(), [](const auto& stream) {
    return !stream->dialled_ && stream->name.empty();
  });
  if (nameless == streams_.end()) return false;
  ++evicted_;
  (*nameless)->Close();
  return true;
}

void Link::RelieveMemory() {
  if (!account_.over()) return;
  std::vector<Stream*> nameless, named;
  for (Stream* stream : Present()) (stream->name.empty() ? nameless : named).push_back(stream);
  Evict(nameless);
  Evict(named);
}

void Link::Evict(const std::vector<Stream*>& streams) {
  const TimePoint now = Now();
  memory::RelieveMemory(
      account_, streams,
      [&](const Stream& stream) {
        return memory::ConnectionState{.waited = now - stream.heard_, .held = stream.held()};
      },
      [&](Stream& stream) {
        ++evicted_;
        stream.Close();
      });
  retired_.clear();  // until then what they held counts
}

void Link::SetTargets(const std::vector<Address>& targets) {
  std::map<Address, Target> next;
  for (const Address& address : targets) {
    const auto known = targets_.find(address);
    next[address] = known != targets_.end() ? known->second : Target{};
  }
  std::vector<Stream*> gone;
  for (const auto& [address, target] : targets_)
    if (!next.contains(address) && target.stream != nullptr) gone.push_back(target.stream);
  targets_.swap(next);
  for (Stream* stream : gone) stream->Close();
}

Link::Stream* Link::To(const Address& address) {
  const auto it = targets_.find(address);
  if (it == targets_.end() || it->second.stream == nullptr || !it->second.stream->up()) return nullptr;
  return it->second.stream;
}

void Link::Dial(const Address& to, Target& target) {
  const TimePoint now = Now();
  // Spread, so that many who lost the same stream don't come back together.
  target.pause = std::clamp(2 * target.pause, options_.again_least, options_.again_most);
  const auto part = static_cast<double>(StableHash("dial", ++seed_) % 1000) / 1000;
  target.next = now + target.pause + std::chrono::duration_cast<Duration>(target.pause * part);
  auto descriptor = descriptors_.Take(net::Use::kHost);
  if (!descriptor) return;
  descriptor->Set(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in address = to.ToSocket();
  if (!descriptor->open()) return;
  net::LimitSocket(descriptor->fd(), kSocketLimits);
  const sockaddr_in from = Address{options_.from_ip, 0}.ToSocket();
  if (options_.from_ip != 0 &&
      ::bind(descriptor->fd(), reinterpret_cast<const sockaddr*>(&from), sizeof from) != 0)
    return;
  if (::connect(descriptor->fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS)
    return;
  streams_.push_back(std::make_unique<Stream>(*this, std::move(*descriptor), to, true));
  target.stream = streams_.back().get();
}

void Link::Remove(Stream& stream) {
  const auto it = std::find_if(streams_.begin(), streams_.end(), [&](auto& s) { return s.get() == &stream; });
  if (it == streams_.end()) return;
  retired_.push_back(std::move(*it));
  streams_.erase(it);
  const auto target = targets_.find(stream.to_);
  if (target != targets_.end() && target->second.stream == &stream) target->second.stream = nullptr;
}

void Link::KeepHouse() {
  retired_.clear();
  const TimePoint now = Now();
  for (Stream* stream : Present()) {
    if (stream->closed_) continue;
    if (!stream->up_ && now - stream->begun_ > options_.connect) {
      stream->Close();
    } else if (stream->up_ && now - stream->heard_ > options_.silent) {
      stream->Close();
    } else if (stream->up_ && now - stream->sent_ > options_.beat) {
      stream->Send({});
    }
  }
  for (auto& [address, target] : targets_) {
    if (target.stream != nullptr && target.stream->up()) target.pause = {};
    if (target.stream == nullptr && now >= target.next) Dial(address, target);
  }
}

}  // namespace curlewdoor::system
