#include "net/listener.hpp"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "net/request.hpp"

namespace curlewdoor::net {
namespace {

constexpr std::string_view kLoadHeader = "X-Server-Load";
constexpr std::initializer_list<std::string_view> kLoad{kLoadHeader};

// After SIGTERM the platform kills the process no sooner than the longest deadline, counted as
// kLongestCounted where it is longer, and kKillAfter. What came within kKillAfter isn't owed by then
// (PROTOCOL.md, "Figures").
constexpr Duration kKillAfter = std::chrono::milliseconds(700);
constexpr Duration kLongestCounted = std::chrono::seconds(3);
constexpr Duration kLastAnswers = std::chrono::milliseconds(100);  // for the last ones to be written and read

}  // namespace

Listener::Listener(struct ev_loop* loop, const Settings& settings, Descriptors& descriptors, Inputs& inputs,
                   std::size_t ahead)
    : Door(loop, descriptors, inputs, ahead), settings_(settings) {}

// ---- Requests and answers -----------------------------------------------------------------------------

void Listener::OnRequest(Client& client) {
  last_came_ = inputs_.Now();
  const http::Message& message = client.request();
  if (message.method() == HTTP_GET && PathOf(message.target()) == "/_health") return AnswerHealth(client);
  auto read = ReadRequest(message, settings_, RequestId{next_request_});
  if (const auto* rejection = std::get_if<Rejection>(&read)) {
    ++counts_.rejected;
    return client.Answer(rejection->status, {}, rejection->reason);
  }
  // A host takes a second request under an open id for a repeat of the first.
  const std::string id(message.Find(kRequestIdHeader));
  if (foreign_ids_.contains(id) || !open_ids_.insert(id).second) {
    ++counts_.rejected;
    return client.Answer(409, {}, "X-Request-ID is open\n");
  }
  ++counts_.requests;
  Wait(client);
  client.wire_id = id;
  RequestArrived& request = std::get<RequestArrived>(read);
  client.figures = &by_class_[request.request_class];
  request.time_left = std::max(Duration::zero(), request.time_left - inputs_.Unseen(client.socket()));
  if (!MayTake(request)) return Decline(client.id, 503, {});
  inputs_.Post(RequestRead{std::move(request), !client.uploading()});
}

void Listener::NameClasses() {
  for (const RequestClass& kind : settings_.classes) by_class_.try_emplace(kind.name);
}

std::initializer_list<std::string_view> Listener::Kept() const { return kLoad; }

void Listener::AnswerHealth(Client& client) {
  const bool ready = healthy_ && !draining_;
  client.Answer(ready ? 200 : 503, {}, ready ? "ready\n" : draining_ ? "draining\n" : "starting\n");
}

void Listener::OnEnded(Client& client, Ended how) {
  admin::ClassFigures& figures = *client.figures;
  ++(how == Ended::kServed     ? figures.succeeded
     : how == Ended::kDeclined ? figures.declined
                               : figures.aborted);
}

// ---- Shutdown -----------------------------------------------------------------------------------------

void Listener::BeginShutdown(TimePoint begun_at) {
  drain_schedule_.emplace(DrainSchedule::Times{.begun_at = begun_at,
                                               .likely_for = kKillAfter,
                                               .answers_end_at = EarliestKill(begun_at) - kLastAnswers});
  Drain();
}

void Listener::EndShutdown() {
  if (drain_schedule_) drain_schedule_->Close(inputs_.Now());
}

TimePoint Listener::EarliestKill(TimePoint begun_at) const {
  Duration longest{};
  for (const RequestClass& kind : settings_.classes) longest = std::max(longest, kind.deadline);
  return begun_at + std::min(longest, kLongestCounted) + kKillAfter;
}

// Its final answer comes when its time is over, at the latest.
bool Listener::MayTake(const RequestArrived& request) {
  if (!drain_schedule_) return true;
  const TimePoint now = inputs_.Now();
  return drain_schedule_->MayPassOn(now, now + request.time_left, Duration::zero());
}

// ---- Upgrades -----------------------------------------------------------------------------------------

void Listener::Hold() {
  holding_ = true;
  AcceptNoMore();
  for (Client* client : Present()) client->LookAgain();
}

void Listener::HandOn(PassClient pass) {
  pass_ = std::move(pass);
  for (Client* client : Present())
    if (client->can_pass()) pass_(client->Pass());
}

std::vector<RequestId> Listener::Streams() const {
  std::vector<RequestId> ids;
  for (const auto& [id, client] : streams_) ids.push_back(id);
  return ids;
}

bool Listener::can_pass_stream(RequestId id) const {
  const auto it = streams_.find(id);
  return it != streams_.end() && it->second->can_pass_stream();
}

std::optional<Client::PassedStream> Listener::PassStream(RequestId id) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return std::nullopt;
  Client* client = it->second;
  streams_.erase(it);
  const auto of_class = std::find_if(by_class_.begin(), by_class_.end(),
                                     [&](const auto& entry) { return &entry.second == client->figures; });
  auto passed = client->PassStream();
  if (of_class != by_class_.end()) passed.stream.request_class = of_class->first;
  return passed;
}

RequestId Listener::TakeStream(int fd, const handover::PassedStream& passed) {
  const RequestId id{next_request_++};
  auto descriptor = MakeRoom();
  if (!descriptor) {
    ::close(fd);
    return id;
  }
  descriptor->Set(fd);
  Client& client = Add(std::move(*descriptor));
  client.id = id;
  client.figures = &by_class_[passed.request_class];
  streams_[id] = &client;
  client.TakeStream(passed);
  return id;
}

// Another process serves, and nothing can be passed to it: connections end with their requests.
void Listener::LetGo() {
  holding_ = false;
  pass_ = nullptr;
  AcceptNoMore();
  Drain();
}

// Its answer has ended, and what comes next is another process's.
void Listener::OnHeld(Client& client) {
  if (pass_) pass_(client.Pass());
}

void Listener::Resume() {
  holding_ = false;
  pass_ = nullptr;
  StartAccepting();
  for (Client* client : Present()) client->LookAgain();
}

void Listener::Take(int fd, const handover::PassedClient& passed) {
  auto descriptor = MakeRoom();
  if (!descriptor) {
    ::close(fd);
    return;
  }
  descriptor->Set(fd);
  last_came_ = inputs_.Now();
  Client& client = Add(std::move(*descriptor));
  client.Take(passed);
  if (pass_ && client.can_pass()) pass_(client.Pass());  // it went on to a third process meanwhile
}

}  // namespace curlewdoor::net
