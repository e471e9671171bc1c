#include "net/client.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <string>

#include "net/socket_io.hpp"

namespace curlewdoor::net {
namespace {

using std::chrono::seconds;

constexpr std::size_t kUsualRead = 2048, kLongRead = 16 * 1024;
constexpr Duration kSlowestAnswer = seconds(5);  // for the client to take it
constexpr Duration kLinger = seconds(1);         // for the client to read the last answer before the end ...
constexpr Duration kLongestLinger = seconds(3);  // ... and while it still sends what nobody wants
// Bytes kept of what a client sends ahead of an answer: a head is taken ahead whole, a body is not.
constexpr std::size_t kMostAhead = http::kMostHead + 4096;
constexpr std::size_t kLooksFrom =
    16 * 1024;                           // bytes written, from which on the socket is asked what has left
constexpr Duration kRests = seconds(1);  // ... and after which it is asked about fewer
constexpr std::string_view kHeadEnd = "\r\n\r\n";

}  // namespace

Client::Client(struct ev_loop* loop, Descriptor descriptor, Owner& owner)
    : owner_(owner),
      loop_(loop),
      account_(&owner.account()),
      descriptor_(std::move(descriptor)),
      io_(loop, [this](int events) { OnEvent(events); }) {
  Enter(State::kReading);
}

Client::Client(struct ev_loop* loop, Client& parent, std::string_view bytes)
    : owner_(parent.owner_), loop_(loop), parent_(&parent), account_(&parent.account_), io_(loop, [](int) {
      }) {
  own_.Set(sizeof(Client));
  in_.Append(bytes);
  since_ = owner_.Now();
}

void Client::Enter(State state) {
  state_ = state;
  since_ = owner_.Now();
  WantEvents();
}

void Client::WantEvents() {
  if (state_ == State::kClosed || parent_ != nullptr) return;
  const bool behind = state_ == State::kBehind;
  const bool ahead = state_ == State::kWaiting || state_ == State::kStreaming || behind;
  const std::size_t most_ahead = owner_.account().tight() ? kUsualRead : kMostAhead;
  const bool full = ahead && (uploading_ ? upload_full() : request_.rest().size() > most_ahead);
  const bool held = state_ == State::kReading && owner_.holding();
  reads_ = !full && !held;
  const int reads = reads_ ? EV_READ : 0;
  const bool writes = (state_ == State::kStreaming || behind) && !out_.empty();
  io_.Want(descriptor_.fd(), state_ == State::kWriting ? EV_WRITE : writes ? reads | EV_WRITE : reads);
  CountMemory();
}

void Client::CountMemory() {
  const SocketLimits& limits = owner_.socket_limits();
  own_.Set(sizeof(Client) + limits.receive +
           (out_.empty() ? in_socket_ : std::max(in_socket_, limits.unsent)));
}

// Until the socket is looked at, nothing of it is known to have left.
void Client::CountWritten(std::size_t bytes) {
  in_socket_ = std::min(in_socket_ + bytes, std::max(in_socket_, owner_.socket_limits().unsent));
}

// Short answers are looked at together, or once the connection rests.
void Client::LookAtSocket(Duration in_state) {
  const bool worth_it = in_socket_ >= kLooksFrom || (in_socket_ > 0 && in_state > kRests);
  if (!worth_it || state_ == State::kClosed) return;
  in_socket_ = Unacknowledged(descriptor_.fd());
  CountMemory();
}

memory::ConnectionState Client::StateForEviction(TimePoint now) const {
  memory::ConnectionState state;
  state.served = served_any_;
  state.held = account_.held();
  state.too_far_ahead = !reads_ && !uploading_;
  state.waited = now - since_;
  switch (state_) {
    case State::kReading:
      state.phase = request_.started() ? memory::Phase::kReceiving : memory::Phase::kIdle;
      break;
    case State::kWaiting:
      state.phase = uploading_ && !upload_full() ? memory::Phase::kReceiving : memory::Phase::kServing;
      if (state.phase == memory::Phase::kReceiving) state.waited = now - pace_.moved_at();
      break;
    case State::kSkipping:
      state.phase = memory::Phase::kReceiving;
      state.waited = now - pace_.moved_at();
      break;
    case State::kWriting:
      state.phase = memory::Phase::kSending;
      break;
    case State::kStreaming:
    case State::kBehind:
      state.phase = out_.empty() ? memory::Phase::kServing : memory::Phase::kSending;
      state.waited = now - pace_.moved_at();
      break;
    case State::kLingering:
    case State::kClosed:
      state.phase = memory::Phase::kClosing;
      break;
  }
  return state;
}

void Client::LookAgain() {
  WantEvents();
  if (state_ == State::kReading && !owner_.holding()) Advance();
}

// The buffer holds what was read of a request that is not whole, or requests behind the last answer.
Client::Passed Client::Pass() {
  Passed passed{std::move(descriptor_),
                {owner_.Now() - since_, served_any_, continued_, std::string(in_.view())}};
  io_.Stop();
  state_ = State::kClosed;
  owner_.OnClosed(*this, false);
  return passed;
}

Client::PassedStream Client::PassStream() {
  PassedStream passed{std::move(descriptor_),
                      {"", chunked_, close_after_, std::string(request_.rest()), std::string(out_.view())}};
  io_.Stop();
  state_ = State::kClosed;
  owner_.OnClosed(*this, false);
  return passed;
}

void Client::TakeStream(const handover::PassedStream& stream) {
  served_any_ = true;
  chunked_ = stream.chunked;
  close_after_ = stream.close_after;
  in_.Append(stream.read);
  out_.Append(stream.written);
  pace_.Begin(owner_.Now());
  Enter(State::kStreaming);
}

void Client::Take(const handover::PassedClient& client) {
  since_ -= client.age;
  served_any_ = client.served_any;
  continued_ = client.continued;
  in_.Append(client.read);
  Advance();
}

void Client::Close() {
  if (state_ == State::kClosed) return;
  if (parent_ != nullptr) return parent_->Close();
  const bool waiting = state_ == State::kWaiting;
  Enter(State::kClosed);
  io_.Stop();
  if (!out_.empty()) ResetOnClose(descriptor_.fd());  // its answer is cut
  descriptor_.Close();
  CloseBehind();
  owner_.OnClosed(*this, waiting);
}

void Client::Abort() {
  if (state_ != State::kClosed) ResetOnClose(socket());
  Close();
}

// ---- Requests ahead of their turn ---------------------------------------------------------------------

bool Client::Last() const { return parent_ != nullptr ? &parent_->behind_.back() == this : behind_.empty(); }

// What one that waits for its turn has to say is kept until then.
WriteResult Client::Put(std::span<const iovec> pieces) {
  if (parent_ == nullptr) {
    const WriteResult result = WritePieces(descriptor_.fd(), pieces, out_);
    CountWritten(result.written);
    return result;
  }
  for (const iovec& piece : pieces) out_.Append({static_cast<const char*>(piece.iov_base), piece.iov_len});
  return {};
}

// Takes whole requests without a body that have come behind the present one.
void Client::TakeAhead() {
  const auto may = [&] {
    const bool waits = state_ == State::kWaiting || state_ == State::kStreaming || state_ == State::kBehind;
    return parent_ == nullptr && waits && !owner_.account().tight() && !uploading_ && !close_after_ &&
           !owner_.closing() && !owner_.holding() && behind_.size() < owner_.pipelined() &&
           (state_ == State::kBehind || request_.keep_alive());
  };
  while (may()) {
    const std::string_view rest = request_.rest();
    const std::size_t end = rest.find(kHeadEnd);
    if (end == std::string_view::npos) return;
    if (!behind_.empty() && !behind_.back().request_.keep_alive()) return;
    const std::size_t at = in_.size() - rest.size();
    const std::string_view head = rest.substr(0, end + kHeadEnd.size());
    std::list<Client> taken;
    Client& next = taken.emplace_back(loop_, *this, head);
    if (next.request_.Read() != http::Progress::kDone || !next.request_.body().empty() ||
        !next.request_.rest().empty() || !owner_.MayGoAhead(next.request_))
      return;  // it is read in its turn
    in_.Erase(at, head.size());
    behind_.splice(behind_.end(), taken);
    next.state_ = State::kWaiting;
    owner_.OnRequest(next);
  }
}

// One of those that were taken ahead has something to say.
void Client::OnBehind() {
  if (parent_->state_ == State::kBehind && &parent_->behind_.front() == this) parent_->ServeBehind(this);
}

// Who speaks is in the middle of passing bytes on: it isn't asked for more from within (guards against bytes
// of a streamed answer that are passed twice, or dropped).
void Client::ServeBehind(const Client* speaker) {
  if (std::exchange(serving_, true)) return;
  while (state_ == State::kBehind && !behind_.empty()) {
    Client& next = behind_.front();
    const bool wrote = !next.out_.empty();
    if (wrote) {
      const iovec piece = http::Piece(next.out_.view());
      const WriteResult result = Put({&piece, 1});
      next.out_.Consume(next.out_.size());
      pace_.Moved(owner_.Now(), result.written);
      if (result.broken) {
        serving_ = false;
        return Close();
      }
    }
    if (!next.ended_) {
      if (&next != speaker && wrote && out_.empty() && next.state_ == State::kStreaming)
        owner_.OnAnswerRoom(next);
      if (state_ == State::kBehind && !behind_.empty() && &behind_.front() == &next && next.out_.empty() &&
          !next.ended_)
        break;
      continue;
    }
    close_after_ = next.close_after_;
    spent_.splice(spent_.end(), behind_, behind_.begin());
    owner_.OnSpent(*this);
    if (close_after_) CloseBehind();
  }
  serving_ = false;
  if (state_ != State::kBehind) return;
  if (!behind_.empty() || !out_.empty()) return WantEvents();
  FinishAnswer();
}

// Behind an answer that has begun and isn't whole nothing can be sent, whatever waits there.
std::vector<RequestId> Client::BlockingAnswers() const {
  std::vector<RequestId> waiting, blocking;
  if (state_ == State::kStreaming) return blocking;
  if (state_ == State::kWaiting) waiting.push_back(id);
  for (const Client& next : behind_) {
    if (next.state_ == State::kWaiting) waiting.push_back(next.id);
    if (next.ended_) blocking = waiting;
    if (next.state_ == State::kStreaming && !next.ended_) break;
  }
  return blocking;
}

void Client::CloseBehind() {
  for (Client& each : behind_) {
    const bool waiting = each.state_ == State::kWaiting;
    each.state_ = State::kClosed;
    owner_.OnClosed(each, waiting);
  }
  spent_.splice(spent_.end(), behind_);
  owner_.OnSpent(*this);
}

void Client::OnEvent(int events) {
  if ((events & EV_WRITE) != 0) Flush();
  if ((events & EV_READ) != 0 && state_ != State::kWriting && state_ != State::kClosed) ReadSome();
}

void Client::Flush() {
  const WriteResult result = FlushBuffer(descriptor_.fd(), out_);
  if (result.broken) return Close();
  CountWritten(result.written);
  if (result.written > 0) pace_.Moved(owner_.Now(), result.written);
  if (!out_.empty()) return;
  if (state_ == State::kWriting) return FinishAnswer();
  if (stream_ended_) return FinishAnswer();
  if (state_ == State::kBehind) {
    WantEvents();
    if (behind_.empty()) return FinishAnswer();
    if (behind_.front().state_ == State::kStreaming) owner_.OnAnswerRoom(behind_.front());
    return;
  }
  WantEvents();
  owner_.OnAnswerRoom(*this);
}

void Client::ReadNow() {
  if (state_ == State::kReading && !owner_.holding()) ReadSome();
}

void Client::ReadSome() {
  if (state_ == State::kLingering) return DiscardSome();
  const bool next = between_requests() && served_any_;
  const std::size_t before = in_.size();
  const ReadStatus status = ReadInto(descriptor_.fd(), in_, uploading_ ? kLongRead : kUsualRead);
  if (Over(status)) return Close();  // an owed answer has nobody to go to
  if (status == ReadStatus::kNothing) return;
  if (next) since_ = owner_.Now();
  if (uploading_) {
    pace_.Moved(owner_.Now(), in_.size() - before);
    if (state_ == State::kSkipping) return Skip();
    return ReadUpload();
  }
  if (state_ == State::kWaiting || state_ == State::kStreaming || state_ == State::kBehind) {
    TakeAhead();
    return WantEvents();
  }
  Advance();
}

// What can't be read ends the connection: the answer that it was owed has no request any more.
void Client::ReadUpload() {
  const http::Progress progress = request_.Read();
  if (progress == http::Progress::kBad) return Close();
  if (progress == http::Progress::kDone) uploading_ = false;
  WantEvents();
  owner_.OnUpload(*this);
}

void Client::TakeUpload() {
  request_.ConsumeBody();
  if (!uploading_) return;
  const http::Progress progress = in_.empty() ? http::Progress::kMore : request_.Read();
  if (progress == http::Progress::kBad) return Close();
  if (progress == http::Progress::kDone) uploading_ = false;
  WantEvents();
}

// Takes what comes behind the last answer, so that closing does not reset the connection and the answer with
// it.
void Client::DiscardSome() {
  const ReadStatus status = Discard(descriptor_.fd());
  if (Over(status)) return Close();
  if (status == ReadStatus::kBytes) last_discarded_ = owner_.Now();
}

// Takes the requests that have come, one behind another.
void Client::Advance() {
  if (std::exchange(advancing_, true)) return;
  while (state_ == State::kReading && !owner_.holding()) {
    const http::Progress progress = request_.Read();
    if (request_.head_done() && head_at_ == TimePoint{}) head_at_ = owner_.Now();
    const bool more = progress == http::Progress::kMore || progress == http::Progress::kFull;
    if (more) SayContinue();
    uploading_ = more && state_ == State::kReading && (request_.large() || progress == http::Progress::kFull);
    if (more && !uploading_) break;
    if (uploading_) pace_.Begin(owner_.Now());
    if (progress == http::Progress::kBad) {
      AnswerBad(request_.error_status());
      break;
    }
    Enter(State::kWaiting);
    owner_.OnRequest(*this);
    TakeAhead();
  }
  advancing_ = false;
}

// A client may hold a body back until it is told that the head was taken.
void Client::SayContinue() {
  if (!request_.head_done() || !http::SameName(request_.Find("Expect"), "100-continue")) return;
  if (std::exchange(continued_, true)) return;
  const iovec piece = http::Piece("HTTP/1.1 100 Continue\r\n\r\n");
  if (WritePieces(descriptor_.fd(), {&piece, 1}, out_).broken) Close();
}

void Client::AnswerBad(int status) {
  close_after_ = true;
  Enter(State::kWaiting);
  Answer(status, {}, {});
}

void Client::BeginAnswer(std::span<const iovec> head, std::optional<std::uint64_t> length) {
  close_after_ = close_after_ || (owner_.closing() && Last()) || uploading_ || !request_.keep_alive();
  chunked_ = !length && !request_.http10();
  if (!length && !chunked_) close_after_ = true;
  std::string framing = length ? "Content-Length: " + std::to_string(*length) + "\r\n" : "";
  if (chunked_) framing = "Transfer-Encoding: chunked\r\n";
  framing += close_after_ ? "Connection: close\r\n\r\n" : "\r\n";
  std::vector<iovec> pieces{http::Piece("HTTP/1.1 200 OK\r\n")};
  pieces.insert(pieces.end(), head.begin(), head.end());
  pieces.push_back(http::Piece(framing));
  served_any_ = true;
  Enter(State::kStreaming);
  pace_.Begin(owner_.Now());
  if (Put(pieces).broken) return Close();
  if (parent_ != nullptr) return OnBehind();
  WantEvents();
}

void Client::AnswerBytes(std::string_view bytes) {
  if (state_ != State::kStreaming || bytes.empty()) return;
  const std::string line = http::ChunkLine(bytes.size());
  const iovec chunk[] = {http::Piece(line), http::Piece(bytes), http::Piece("\r\n")};
  const iovec plain[] = {http::Piece(bytes)};
  const auto pieces = chunked_ ? std::span<const iovec>(chunk) : std::span<const iovec>(plain);
  const WriteResult result = Put(pieces);
  if (result.broken) return Close();
  pace_.Moved(owner_.Now(), result.written);
  if (parent_ != nullptr) return OnBehind();
  WantEvents();
}

// A cut answer must look cut: fewer bytes than its length, or no last chunk. One that waits for its turn
// closes the connection only then: those before it still get theirs.
void Client::EndAnswer(bool whole) {
  if (state_ != State::kStreaming) return;
  if (!whole && parent_ == nullptr) return Close();
  close_after_ = close_after_ || !whole;
  const iovec last = http::Piece(whole && chunked_ ? "0\r\n\r\n" : "");
  if (Put({&last, 1}).broken) return Close();
  stream_ended_ = ended_ = true;
  if (parent_ != nullptr) return OnBehind();
  if (out_.empty()) return FinishAnswer();
  WantEvents();
}

void Client::Answer(int status, std::span<const iovec> head, std::string_view body) {
  close_after_ = close_after_ || (owner_.closing() && Last()) || !request_.keep_alive();
  const std::string_view reason = http::ReasonPhrase(status);
  char line[64], length[48];
  const auto put = [](char* at, std::string_view text) { return std::copy(text.begin(), text.end(), at); };
  char* at = std::to_chars(put(line, "HTTP/1.1 "), line + sizeof line, status).ptr;
  *at++ = ' ';
  const std::string_view first(line, static_cast<std::size_t>(at - line));
  at = std::to_chars(put(length, "Content-Length: "), length + sizeof length, body.size()).ptr;
  const std::string_view second(length, static_cast<std::size_t>(at - length));
  std::vector<iovec> pieces;
  pieces.reserve(head.size() + 6);
  for (std::string_view text : {first, reason, std::string_view("\r\n")}) pieces.push_back(http::Piece(text));
  pieces.insert(pieces.end(), head.begin(), head.end());
  pieces.push_back(http::Piece(second));
  pieces.push_back(http::Piece(close_after_ ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n"));
  pieces.push_back(http::Piece(body));
  const WriteResult result = Put(pieces);
  served_any_ = true;
  if (result.broken) return Close();
  if (parent_ != nullptr) {
    state_ = State::kWriting;
    ended_ = true;
    return OnBehind();
  }
  if (out_.empty()) return FinishAnswer();
  Enter(State::kWriting);
}

void Client::FinishAnswer() {
  stream_ended_ = false;
  if (uploading_ && !close_after_) {  // it has its answer early, and may send the rest for nobody
    Enter(State::kSkipping);
    pace_.Begin(owner_.Now());
    return Skip();
  }
  // The end may have begun behind an answer that did not tell.
  close_after_ = close_after_ || (owner_.closing() && behind_.empty() && request_.rest().empty());
  if (close_after_) CloseBehind();  // they count as not read
  if (!behind_.empty()) {
    uploading_ = continued_ = false;
    head_at_ = TimePoint{};
    request_.Next();
    pace_.Begin(owner_.Now());
    Enter(State::kBehind);
    return ServeBehind(nullptr);
  }
  if (close_after_) {
    // Closing with bytes unread would reset the connection and could take the answer with it.
    ::shutdown(descriptor_.fd(), SHUT_WR);
    in_.Consume(in_.size());
    last_discarded_ = owner_.Now();
    return Enter(State::kLingering);
  }
  NextRequest();
}

// Guards against cutting off clients that read only once they have sent all: what a refused request's body
// still brings is read and dropped, at a pace as if it were wanted.
void Client::Skip() {
  for (;;) {
    request_.ConsumeBody();
    const http::Progress progress = in_.empty() ? http::Progress::kMore : request_.Read();
    if (progress == http::Progress::kBad) return Close();
    if (progress == http::Progress::kDone) return owner_.closing() ? Close() : NextRequest();
    if (progress == http::Progress::kMore) break;
  }
  request_.ConsumeBody();
  WantEvents();
}

void Client::NextRequest() {
  uploading_ = false;
  head_at_ = TimePoint{};
  if (state_ != State::kBehind) request_.Next();  // there it was dropped already
  continued_ = false;
  Enter(State::kReading);
  if (owner_.holding()) return owner_.OnHeld(*this);
  Advance();
}

void Client::CheckTime(TimePoint now) {
  const Duration in_state = now - since_;
  LookAtSocket(in_state);
  const ClientTimes times = owner_.times();
  const bool body = request_.head_done() && head_at_ != TimePoint{};
  const Duration taken = body ? now - head_at_ : in_state;
  if (state_ == State::kReading && request_.started() && taken > times.slowest_request) return AnswerBad(408);
  const bool awaits_us = state_ == State::kWaiting || state_ == State::kStreaming || state_ == State::kBehind;
  if (awaits_us && !reads_ && HasEnded(descriptor_.fd())) return Close();
  // A long body's pace counts while its connection is read, a long answer's while some of it waits.
  if (state_ == State::kWaiting && uploading_ && pace_.TooSlow(now, !upload_full())) return Close();
  if (state_ == State::kSkipping && pace_.TooSlow(now, true)) return Close();
  const bool paced = state_ == State::kStreaming || state_ == State::kBehind;
  if (paced && pace_.TooSlow(now, !out_.empty(), kSlowestAnswer)) return Close();
  const bool over =
      (between_requests() && in_state > (served_any_ ? times.longest_idle : times.slowest_request)) ||
      (state_ == State::kWriting && in_state > kSlowestAnswer) ||
      (state_ == State::kLingering && (in_state > kLongestLinger || now - last_discarded_ > kLinger));
  if (over) Close();
}

}  // namespace curlewdoor::net
