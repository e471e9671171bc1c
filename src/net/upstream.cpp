#include "net/upstream.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "memory/eviction.hpp"
#include "net/load_report.hpp"

namespace curlewdoor::net {
namespace {

std::string_view Number(std::array<char, 24>& digits, std::int64_t value) {
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
  return {digits.data(), static_cast<std::size_t>(end - digits.data())};
}

constexpr std::uint64_t kNotYet = ~std::uint64_t{0};
constexpr Duration kLongestPause = std::chrono::seconds(10);  // of a host within a long body or answer

std::string Joined(std::span<const iovec> pieces) {
  std::string text;
  for (const iovec& piece : pieces) text.append(static_cast<const char*>(piece.iov_base), piece.iov_len);
  return text;
}

}  // namespace

Upstream::Upstream(struct ev_loop* loop, const Settings& settings, Descriptors& descriptors, Inputs& inputs,
                   const Dialect& dialect)
    : loop_(loop),
      settings_(settings),
      descriptors_(descriptors),
      account_(descriptors.memory().account(memory::Share::kHosts)),
      inputs_(inputs),
      dialect_(dialect),
      // Half of the limit: what is written to a connection just as the host closes it ends as a reset.
      keep_time_(settings.limits.connection_idle / 2) {}

// ---- Beginning ----------------------------------------------------------------------------------------

void Upstream::Start(const StartAttempt& effect, const http::Message& request,
                     const std::optional<Streamed>& streamed) {
  Link* link = Begin(effect.host, effect.address, effect.attempt);
  if (link == nullptr) return;
  link->expires = effect.expires;
  link->feeding = streamed.has_value();
  link->chunked = streamed && !streamed->length;
  link->length = streamed ? streamed->length.value_or(0) : request.body().size();
  std::vector<iovec> head{http::Piece(http_method_str(request.method())), http::Piece(" "),
                          http::Piece(request.target()), http::Piece(" HTTP/1.1\r\n")};
  if (!request.Has("Host")) head.push_back(http::Piece("Host: service.internal\r\n"));
  request.AppendEndToEnd(dialect_.Dropped(), head);
  Send(*link, head, streamed ? std::string_view() : request.body());
}

void Upstream::Start(const StartProbe& effect) {
  Link* link = Begin(effect.host, effect.address, effect.probe);
  if (link == nullptr) return;
  link->expires = inputs_.Now() + settings_.limits.connect_timeout;
  link->feeding = link->chunked = false;
  link->length = 0;
  const iovec head[] = {http::Piece(dialect_.ProbeHead(effect.with_load))};
  Send(*link, head, {});
}

// A connection for the task: a kept one that still stands, else a new one.
Upstream::Link* Upstream::Begin(HostId host, const Address& address, Task task) {
  Link* link = FindKept(host, address);
  if (link == nullptr) link = Open(host, address);
  if (link == nullptr) {
    PostBroken(task);
    return nullptr;
  }
  link->task = task;
  link->begun = link->written = false;
  if (const auto* attempt = std::get_if<AttemptId>(&task)) by_attempt_[*attempt] = link;
  if (const auto* probe = std::get_if<ProbeId>(&task)) by_probe_[*probe] = link;
  return link;
}

// It has stood idle for as long as hosts of late let it, or for most of what its host has told.
bool Upstream::Stale(const Link& link) const {
  const Duration idle = inputs_.Now() - link.kept_since;
  const bool told = link.keep_alive > Duration::zero();
  return idle >= keep_time_.value() || (told && idle >= link.keep_alive - link.keep_alive / 4);
}

// Nothing is ever sent a second time by itself: a connection that the host has closed is found out here, by
// a look at what it sent, before anything is written to it.
Upstream::Link* Upstream::FindKept(HostId host, const Address& address) {
  const auto kept = kept_.find(host);
  if (kept == kept_.end()) return nullptr;
  while (!kept->second.empty()) {
    Link* link = kept->second.back();
    Unkeep(*link);
    const Duration idle = inputs_.Now() - link->kept_since;
    if (!Stale(*link) && link->address == address && link->connection.Quiet()) {
      link->idle = idle;
      return link;
    }
    Retire(*link);
  }
  return nullptr;
}

Upstream::Link* Upstream::Open(HostId host, const Address& address) {
  auto descriptor = descriptors_.Take(Use::kHost);
  if (!descriptor && CloseOldestKept()) descriptor = descriptors_.Take(Use::kHost);
  if (!descriptor) return nullptr;
  Link& link = links_.emplace_back(*this, loop_);
  link.self = std::prev(links_.end());
  link.host = host;
  link.address = address;
  ++opened_;
  link.connection.Connect(std::move(*descriptor), address, settings_.limits.connect_timeout,
                          dialect_.Unacknowledged());
  return &link;
}

// Writes the request, or keeps a copy until the connection is up.
void Upstream::Send(Link& link, std::span<const iovec> head, std::string_view body) {
  if (!link.connection.up()) {
    link.head = Joined(head);
    link.body = body;
    link.waiting.Set(link.head.capacity() + link.body.capacity());
    return;
  }
  const Duration left = std::max(Duration::zero(), link.expires - inputs_.Now());
  std::array<char, 24> length_digits;
  std::vector<iovec> pieces(head.begin(), head.end());
  std::string lines;
  const auto* attempt = std::get_if<AttemptId>(&link.task);
  dialect_.AppendLines(attempt != nullptr ? *attempt : AttemptId{}, left, lines);
  pieces.push_back(http::Piece(lines));
  if (link.chunked) {
    pieces.push_back(http::Piece("Transfer-Encoding: chunked\r\n\r\n"));
  } else {
    pieces.push_back(http::Piece("Content-Length: "));
    pieces.push_back(http::Piece(Number(length_digits, static_cast<std::int64_t>(link.length))));
    pieces.push_back(http::Piece("\r\n\r\n"));
  }
  pieces.push_back(http::Piece(body));
  link.task_begin = link.task_end = link.connection.queued();
  for (const iovec& piece : pieces) link.task_end += piece.iov_len;
  if (link.feeding) link.task_end = kNotYet;
  link.moved_at = inputs_.Now();
  link.connection.Write(pieces);
}

bool Upstream::CanFeed(AttemptId attempt) {
  const Link* link = FindTask(attempt);
  return link != nullptr && link->feeding && link->connection.up() && link->connection.all_written();
}

void Upstream::Feed(AttemptId attempt, std::string_view bytes) {
  Link* link = FindTask(attempt);
  if (link == nullptr || bytes.empty()) return;
  const std::string line = http::ChunkLine(bytes.size());
  const iovec chunk[] = {http::Piece(line), http::Piece(bytes), http::Piece("\r\n")};
  const iovec plain[] = {http::Piece(bytes)};
  link->connection.Write(link->chunked ? std::span<const iovec>(chunk) : std::span<const iovec>(plain));
}

void Upstream::EndFeed(AttemptId attempt) {
  Link* link = FindTask(attempt);
  if (link == nullptr) return;
  link->feeding = false;
  const iovec last = http::Piece(link->chunked ? "0\r\n\r\n" : "");
  link->task_end = link->connection.queued() + last.iov_len;
  link->connection.Write({&last, 1});
  OnWritten(*link);
}

// ---- What connections tell ----------------------------------------------------------------------------

void Upstream::OnUp(Link& link) {
  const auto* attempt = std::get_if<AttemptId>(&link.task);
  if (attempt != nullptr && !dialect_.MaySend(*attempt, link.expires - inputs_.Now())) return OnBroken(link);
  const std::string head = std::move(link.head), body = std::move(link.body);
  link.head.clear();
  link.body.clear();
  link.waiting.Set(0);
  const iovec piece = http::Piece(head);
  Send(link, {&piece, 1}, body);
}

void Upstream::OnWritten(Link& link) {
  link.moved_at = inputs_.Now();
  const auto* feeds = std::get_if<AttemptId>(&link.task);
  if (feeds != nullptr && !link.begun && link.connection.written() > link.task_begin) {
    link.begun = true;
    inputs_.OnBytesSent(*feeds);
  }
  if (feeds != nullptr && link.feeding && link.connection.all_written()) inputs_.OnUpload(feeds->request);
  if (link.written || link.connection.written() < link.task_end) return;
  link.written = true;
  link.written_at = inputs_.Now();
  const auto* attempt = std::get_if<AttemptId>(&link.task);
  if (attempt == nullptr) return;
  ++written_;
  inputs_.Post(AttemptWritten{*attempt});
}

// The head of a long answer is here. For the module the attempt has ended well; its bytes go on as the client
// takes them.
void Upstream::OnBegun(Link& link, const http::Message& answer) {
  if (BelongsTo(link, answer) != Whose::kAttempt) return OnBroken(link);
  const Task task = EndTask(link);
  const auto* attempt = std::get_if<AttemptId>(&task);
  if (attempt == nullptr) return Retire(link);
  LoadReport load = dialect_.Load(answer);
  current_answer_ = &answer;
  stream_begins_ = true;
  stream_to_.reset();
  inputs_.Post(AttemptAnswered{*attempt, answer.status(), false, std::move(load)});
  current_answer_ = nullptr;
  stream_begins_ = false;
  if (!stream_to_) return Retire(link);  // nobody waits for it any more
  link.task = *stream_to_;
  by_stream_[*stream_to_] = &link;
}

void Upstream::OnBytes(Link& link, std::string_view bytes) {
  link.moved_at = inputs_.Now();
  if (const auto* request = std::get_if<RequestId>(&link.task)) inputs_.OnAnswerBytes(*request, bytes);
}

bool Upstream::WantsBytes(const Link& link) const {
  const auto* request = std::get_if<RequestId>(&link.task);
  return request == nullptr || inputs_.WantsAnswer(*request);
}

void Upstream::ReadOn(RequestId request) {
  if (Link* link = FindTask(request)) link->connection.ReadOn();
}

void Upstream::DropStream(RequestId request) { DropTask(request); }

Whose Upstream::BelongsTo(const Link& link, const http::Message& answer) const {
  const auto* attempt = std::get_if<AttemptId>(&link.task);
  return attempt != nullptr ? dialect_.Belongs(*attempt, answer) : Whose::kAttempt;
}

void Upstream::OnAnswer(Link& link, const http::Message& answer) {
  if (const Whose whose = BelongsTo(link, answer); whose != Whose::kAttempt) {
    // A long one would be passed over again with each of its bytes.
    if (whose == Whose::kNobody || !answer.done()) OnBroken(link);
    return;
  }
  const Task task = EndTask(link);
  if (const auto* request = std::get_if<RequestId>(&task)) {
    inputs_.OnAnswerEnd(*request, true);
    if (link.written && answer.keep_alive()) return Keep(link);
    return Retire(link);
  }
  if (link.idle) keep_time_.Served(*link.idle);
  // A long body that nobody reads may stand behind an answer that is no 200.
  const bool reusable = link.written && answer.done() && answer.keep_alive();
  current_answer_ = &answer;
  LoadReport load = dialect_.Load(answer);
  link.keep_alive = dialect_.KeepAlive(answer);
  if (const auto* attempt = std::get_if<AttemptId>(&task)) {
    const bool not_run = dialect_.NotRun(answer);
    inputs_.Post(AttemptAnswered{*attempt, answer.status(), not_run, std::move(load)});
  } else if (const auto* probe = std::get_if<ProbeId>(&task)) {
    if (load.empty()) load = ReadLoadReport(answer.body());
    inputs_.Post(ProbeAnswered{*probe, answer.status(), std::move(load)});
  }
  current_answer_ = nullptr;
  if (reusable) return Keep(link);
  Retire(link);
}

void Upstream::OnBroken(Link& link) {
  const Task task = EndTask(link);
  if (link.idle && link.written) keep_time_.Broke(*link.idle, inputs_.Now() - link.written_at);
  Retire(link);
  PostBroken(task);
}

void Upstream::PostBroken(const Task& task) {
  if (const auto* request = std::get_if<RequestId>(&task)) inputs_.OnAnswerEnd(*request, false);
  if (const auto* attempt = std::get_if<AttemptId>(&task)) inputs_.Post(AttemptFailed{*attempt});
  if (const auto* probe = std::get_if<ProbeId>(&task)) inputs_.Post(ProbeFailed{*probe});
}

// ---- Ending -------------------------------------------------------------------------------------------

Upstream::Link* Upstream::FindTask(const Task& task) {
  if (const auto* attempt = std::get_if<AttemptId>(&task)) {
    const auto it = by_attempt_.find(*attempt);
    return it != by_attempt_.end() ? it->second : nullptr;
  }
  if (const auto* probe = std::get_if<ProbeId>(&task)) {
    const auto it = by_probe_.find(*probe);
    return it != by_probe_.end() ? it->second : nullptr;
  }
  if (const auto* request = std::get_if<RequestId>(&task)) {
    const auto it = by_stream_.find(*request);
    return it != by_stream_.end() ? it->second : nullptr;
  }
  return nullptr;
}

Upstream::Task Upstream::EndTask(Link& link) {
  const Task task = std::exchange(link.task, std::monostate{});
  if (const auto* attempt = std::get_if<AttemptId>(&task)) by_attempt_.erase(*attempt);
  if (const auto* probe = std::get_if<ProbeId>(&task)) by_probe_.erase(*probe);
  if (const auto* request = std::get_if<RequestId>(&task)) by_stream_.erase(*request);
  return task;
}

// Giving up closes the connection: a late answer on it would reach whoever used it next.
void Upstream::DropTask(const Task& task) {
  Link* link = FindTask(task);
  if (link == nullptr) return;
  EndTask(*link);
  Retire(*link);
}

void Upstream::Keep(Link& link) {
  link.kept_since = inputs_.Now();
  link.idle.reset();
  kept_[link.host].push_back(&link);
}

void Upstream::Unkeep(Link& link) {
  const auto it = kept_.find(link.host);
  if (it == kept_.end()) return;
  std::erase(it->second, &link);
}

// The one place that gives a connection back, kept or not. It may be in one of its own events, so it is freed
// later.
void Upstream::Retire(Link& link) {
  Unkeep(link);
  link.connection.Close();
  retired_.splice(retired_.end(), links_, link.self);
}

void Upstream::CloseKeptTo(HostId host) {
  const auto it = kept_.find(host);
  if (it == kept_.end()) return;
  const std::vector<Link*> links = std::move(it->second);
  kept_.erase(it);
  for (Link* link : links) Retire(*link);
}

// A first byte later than the grace would break the drain, so what waits for a connection does not wait
// longer; told as could not connect, the request may go elsewhere.
void Upstream::StopSendingTo(HostId host, TimePoint by) {
  for (Link& link : links_)
    if (link.host == host) link.connection.LimitConnect(by - inputs_.Now());
}

std::vector<Upstream::Passed> Upstream::PassKept() {
  std::vector<Passed> passed;
  for (auto& [host, links] : kept_)
    for (Link* link : std::exchange(links, {})) {
      passed.push_back({link->connection.Release(), {host, link->address, inputs_.Now() - link->kept_since}});
      Retire(*link);
    }
  kept_.clear();
  return passed;
}

void Upstream::Take(int fd, const handover::PassedLink& passed) {
  auto descriptor = descriptors_.Take(Use::kHost);
  if (!descriptor) {
    ::close(fd);
    return;
  }
  descriptor->Set(fd);
  Link& link = links_.emplace_back(*this, loop_);
  link.self = std::prev(links_.end());
  link.host = passed.host;
  link.address = passed.address;
  link.connection.Adopt(std::move(*descriptor));
  Keep(link);
  link.kept_since -= passed.idle;
}

std::optional<Upstream::PassedStream> Upstream::PassStream(RequestId request) {
  Link* link = FindTask(request);
  const auto rest = link != nullptr ? link->connection.Remainder() : std::nullopt;
  if (!rest) return std::nullopt;
  EndTask(*link);
  PassedStream passed{link->connection.Release(), {link->host, link->address, *rest}};
  Retire(*link);
  return passed;
}

void Upstream::TakeStream(RequestId request, int fd, const handover::PassedStreamLink& passed) {
  auto descriptor = descriptors_.Take(Use::kHost);
  if (!descriptor && CloseOldestKept()) descriptor = descriptors_.Take(Use::kHost);
  if (!descriptor) {
    ::close(fd);
    return inputs_.OnAnswerEnd(request, false);
  }
  descriptor->Set(fd);
  Link& link = links_.emplace_back(*this, loop_);
  link.self = std::prev(links_.end());
  link.host = passed.host;
  link.address = passed.address;
  link.task = request;
  link.written = true;
  link.moved_at = inputs_.Now();
  by_stream_[request] = &link;
  link.connection.AdoptStream(std::move(*descriptor), passed.rest);
  link.connection.ReadOn();
}

bool Upstream::CloseOldestKept() {
  Link* oldest = nullptr;
  for (const auto& [host, links] : kept_)
    if (!links.empty() && (oldest == nullptr || links.front()->kept_since < oldest->kept_since))
      oldest = links.front();
  if (oldest == nullptr) return false;
  Retire(*oldest);
  return true;
}

// A long answer that its client doesn't take, or a body that its host doesn't, ends here.
void Upstream::RelieveMemory() {
  if (!account_.over()) return;
  const TimePoint now = inputs_.Now();
  std::vector<Link*> present;
  present.reserve(links_.size());
  for (Link& link : links_) present.push_back(&link);
  memory::RelieveMemory(
      account_, present,
      [&](const Link& link) {
        return memory::ConnectionState{.waited = now - link.moved_at,
                                       .held = link.connection.held() + link.waiting.bytes()};
      },
      [&](Link& link) {
        if (!link.connection.open()) return;
        ++evicted_;
        OnBroken(link);
      });
}

// Kept ones, and those whose host has stopped in the middle of a long body or answer.
void Upstream::CloseIdle() {
  for (auto it = links_.begin(); it != links_.end();) {
    Link& link = *it++;
    const bool waits = link.feeding && link.connection.up() && !link.connection.all_written();
    const bool sends = std::holds_alternative<RequestId>(link.task) && WantsBytes(link);
    if ((waits || sends) && inputs_.Now() - link.moved_at > kLongestPause) OnBroken(link);
  }
  for (auto it = kept_.begin(); it != kept_.end();) {
    auto& links = it->second;
    while (!links.empty() && Stale(*links.front())) Retire(*links.front());
    it = links.empty() ? kept_.erase(it) : std::next(it);
  }
}

}  // namespace curlewdoor::net
