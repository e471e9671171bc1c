#include "net/door.hpp"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "net/socket_io.hpp"

namespace curlewdoor::net {
namespace {

constexpr int kAcceptAtOnce = 64;                                  // then others get their turn
constexpr Duration kLooksForRoom = std::chrono::milliseconds(10);  // where there was none to accept
constexpr std::size_t kUnsent = 128 * 1024;  // bytes in a client's socket that aren't sent yet

}  // namespace

Door::Door(struct ev_loop* loop, Descriptors& descriptors, Inputs& inputs, std::size_t ahead, Kind kind)
    : inputs_(inputs),
      loop_(loop),
      descriptors_(descriptors),
      ahead_(ahead),
      kind_(kind),
      account_(descriptors.memory().account(kind.share)),
      io_(loop, [this](int) { Accept(); }),
      accept_again_(loop, [this](int) {
        if (accepting_) io_.Want(fd_, EV_READ);
      }) {}

Door::~Door() {
  if (fd_ >= 0) ::close(fd_);
}

bool Door::Listen(const Address& address, std::string& error) {
  Address bound;
  fd_ = ListenOn(address, bound, error);
  if (fd_ < 0) return false;
  port_ = bound.port;
  LimitSockets();
  return true;
}

bool Door::ListenOnInherited(int fd, const Address& address, std::string& error) {
  if (!CheckInherited(fd, address, error)) return false;
  fd_ = fd;
  port_ = address.port;
  LimitSockets();
  return true;
}

// What the system may hold for connections, those that were not accepted yet included, is a part of their
// share.
void Door::LimitSockets() {
  const auto most = static_cast<std::size_t>(std::max(1, descriptors_.most(kind_.use)));
  const auto buffers = memory::SocketBuffersFor(descriptors_.memory(), most);
  socket_limits_ = {buffers.client_receive, kUnsent};
  LimitSocket(fd_, socket_limits_);
  LimitBacklog(fd_, buffers.backlog);
}

void Door::StartAccepting() {
  if (fd_ < 0) return;  // a gateway needn't serve here
  accepting_ = true;
  io_.Want(fd_, EV_READ);
}

void Door::AcceptNoMore() {
  accepting_ = false;
  io_.Stop();
  accept_again_.Stop();
}

void Door::StopListening() {
  AcceptNoMore();
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

// ---- Accepting ----------------------------------------------------------------------------------------

void Door::Accept() {
  for (int i = 0; i < kAcceptAtOnce; ++i)
    if (!AcceptOne()) return;
}

// Without a descriptor left, connections wait in the system's queue: the loop must not spin on them.
bool Door::AcceptOne() {
  auto descriptor = MakeRoom();
  if (!descriptor) {
    io_.Stop();
    accept_again_.StartIn(kLooksForRoom);
    return false;
  }
  const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) io_.Stop();
    return errno == ECONNABORTED || errno == EINTR;
  }
  descriptor->Set(fd);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const bool crowded = descriptors_.held(kind_.use) >= descriptors_.most(kind_.use);
  Client& client = Add(std::move(*descriptor));
  ++counts_.accepted;
  last_came_ = inputs_.Now();
  // Its request may have waited with it, and a whole one is no longer closed for those that come behind.
  if (crowded) client.ReadNow();
  return true;
}

// For one more client, at the cost of another one where it must be.
std::optional<Descriptor> Door::MakeRoom() {
  auto descriptor = descriptors_.Take(kind_.use);
  if (!descriptor && ShedOne()) descriptor = descriptors_.Take(kind_.use);
  return descriptor;
}

Client& Door::Add(Descriptor descriptor) {
  Client& client = clients_.emplace_back(loop_, std::move(descriptor), static_cast<Client::Owner&>(*this));
  client.self = std::prev(clients_.end());
  return client;
}

memory::ConnectionState Door::StateOf(const Client& client, TimePoint now) const {
  memory::ConnectionState state = client.StateForEviction(now);
  state.repeats = kind_.repeats;
  return state;
}

bool Door::ShedOne() {
  const TimePoint now = inputs_.Now();
  const std::vector<Client*> present = Present();
  std::vector<memory::ConnectionState> states;
  states.reserve(present.size());
  for (const Client* client : present) states.push_back(StateOf(*client, now));
  const auto chosen = memory::ChooseForDescriptor(states);
  if (!chosen) return false;
  ++counts_.shed;
  present[*chosen]->Close();
  return true;
}

void Door::RelieveMemory() {
  if (!account_.over()) return;
  const TimePoint now = inputs_.Now();
  memory::RelieveMemory(
      account_, Present(), [&](const Client& client) { return StateOf(client, now); },
      [&](Client& client) {
        ++counts_.evicted;
        client.Abort();
      });
}

// Those that are here now: what is done to one of them may close others, which live on until they are reaped.
std::vector<Client*> Door::Present() {
  std::vector<Client*> present;
  for (Client& client : clients_) present.push_back(&client);
  return present;
}

void Door::CheckTimes() {
  const TimePoint now = inputs_.Now();
  for (Client* client : Present()) client->CheckTime(now);
  if (accepting_ && descriptors_.held(kind_.use) < descriptors_.most(kind_.use)) io_.Want(fd_, EV_READ);
}

void Door::OnClosed(Client& client, bool waiting) {
  if (waiting && TakeWaiting(client.id) != nullptr) OnLeft(client.id);
  if (streams_.erase(client.id) > 0) {
    OnEnded(client, Ended::kAborted);
    inputs_.OnAnswerLost(client.id);
  }
  if (client.ahead_of_turn()) return;  // its connection's client owns it
  retired_.splice(retired_.end(), clients_, client.self);
  if (accepting_ && !io_.active()) io_.Want(fd_, EV_READ);
}

void Door::Reap() {
  for (Client* client : std::exchange(with_spent_, {})) client->FreeSpent();
  retired_.clear();
}

// ---- Requests and answers -----------------------------------------------------------------------------

RequestId Door::Wait(Client& client) {
  client.id = RequestId{next_request_++};
  waiting_[client.id] = &client;
  return client.id;
}

Door::ClientState Door::StateOf(RequestId id) const {
  const auto it = waiting_.find(id);
  if (it == waiting_.end()) return ClientState::kGone;
  const ReadStatus status = Peek(it->second->socket());
  if (Over(status)) return ClientState::kGone;
  return status == ReadStatus::kNothing ? ClientState::kSilent : ClientState::kSending;
}

const http::Message* Door::RequestOf(RequestId id) const {
  const auto it = waiting_.find(id);
  return it != waiting_.end() ? &it->second->request() : nullptr;
}

Client* Door::TakeWaiting(RequestId id) {
  const auto it = waiting_.find(id);
  if (it == waiting_.end()) return nullptr;
  Client* client = it->second;
  waiting_.erase(it);
  OnTaken(*client);
  return client;
}

void Door::Deliver(RequestId id, const http::Message& answer) {
  Client* client = TakeWaiting(id);
  if (client == nullptr) return;
  OnEnded(*client, Ended::kServed);
  std::vector<iovec> head;
  answer.AppendEndToEnd(Kept(), head);
  client->Answer(answer.status(), head, answer.body());
}

void Door::BeginDelivery(RequestId id, const http::Message& answer) {
  Client* client = TakeWaiting(id);
  if (client == nullptr) return;
  std::vector<iovec> head;
  answer.AppendEndToEnd(Kept(), head);
  streams_[id] = client;
  client->BeginAnswer(head, answer.length());
}

// ---- Bodies in pieces ---------------------------------------------------------------------------------

bool Door::WantsBytes(RequestId id) const {
  const auto it = streams_.find(id);
  return it != streams_.end() && it->second->wants_bytes();
}

void Door::DeliverBytes(RequestId id, std::string_view bytes) {
  if (const auto it = streams_.find(id); it != streams_.end()) it->second->AnswerBytes(bytes);
}

// Its last bytes may still be on their way out of here.
void Door::EndDelivery(RequestId id, bool whole) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  Client* client = it->second;
  streams_.erase(it);
  OnEnded(*client, whole ? Ended::kServed : Ended::kAborted);
  client->EndAnswer(whole);
}

bool Door::uploading(RequestId id) const {
  const auto it = waiting_.find(id);
  return it != waiting_.end() && it->second->uploading();
}

bool Door::upload_full(RequestId id) const {
  const auto it = waiting_.find(id);
  return it != waiting_.end() && it->second->upload_full();
}

void Door::TakeUpload(RequestId id) {
  if (const auto it = waiting_.find(id); it != waiting_.end()) it->second->TakeUpload();
}

std::size_t Door::uploads() const {
  return static_cast<std::size_t>(std::count_if(waiting_.begin(), waiting_.end(),
                                                [](const auto& entry) { return entry.second->uploading(); }));
}

void Door::Decline(RequestId id, int status, Duration retry_after, std::string_view body) {
  Client* client = TakeWaiting(id);
  if (client == nullptr) return;
  OnEnded(*client, Ended::kDeclined);
  if (retry_after <= Duration::zero()) return client->Answer(status, {}, body);
  const double seconds = std::chrono::duration<double>(retry_after).count();
  const std::string line = fmt::format("Retry-After: {:.3f}\r\n", seconds);
  const iovec piece = http::Piece(line);
  client->Answer(status, {&piece, 1}, body);
}

void Door::Fail(RequestId id, int status) {
  Client* client = TakeWaiting(id);
  if (client == nullptr) return;
  OnEnded(*client, Ended::kAborted);
  client->Answer(status, {}, {});
}

// ---- Shutdown -----------------------------------------------------------------------------------------

void Door::Drain() {
  draining_ = true;
  for (Client* client : Present())
    if (client->between_requests() && client->served_any()) client->Close();
}

std::size_t Door::owed() const {
  return static_cast<std::size_t>(
      std::count_if(clients_.begin(), clients_.end(), [](const Client& c) { return !c.between_requests(); }));
}

bool Door::Drained(Duration quiet_for) const {
  if (inputs_.Now() < last_came_ + quiet_for) return false;
  return !owes_anything();
}

std::vector<RequestId> Door::BlockingAnswers() const {
  std::vector<RequestId> blocking;
  for (const Client& client : clients_) {
    const std::vector<RequestId> of_client = client.BlockingAnswers();
    blocking.insert(blocking.end(), of_client.begin(), of_client.end());
  }
  return blocking;
}

bool Door::AcceptLast() {
  const std::uint64_t before = counts_.accepted;
  if (accepting_) Accept();
  return counts_.accepted == before;
}

}  // namespace curlewdoor::net
