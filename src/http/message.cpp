#include "http/message.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace curlewdoor::http {
namespace {

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

// RFC 9110, 7.6.1: what concerns one connection is not passed on. Content-Length is written anew.
constexpr std::array<std::string_view, 11> kOneHop{
    "connection",         "keep-alive", "proxy-connection",    "te",     "trailer",       "transfer-encoding",
    "proxy-authenticate", "upgrade",    "proxy-authorization", "expect", "content-length"};

}  // namespace

// RFC 9110, 5.5: blanks around a value are not part of it, and the parser leaves those behind it.
std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string ChunkLine(std::uint64_t size) {
  char digits[24];
  return std::string(digits, std::to_chars(digits, digits + sizeof digits, size, 16).ptr) + "\r\n";
}

std::string_view ReasonPhrase(int status) { return http_status_str(static_cast<http_status>(status)); }

namespace {

void LimitHeads() {
  static const bool limited = [] {
    http_parser_set_max_header_size(kMostHead);
    return true;
  }();
  static_cast<void>(limited);
}

}  // namespace

void SetMostHead(std::size_t bytes) {
  LimitHeads();
  constexpr std::size_t kLargestHead = 1024 * 1024;
  http_parser_set_max_header_size(static_cast<std::uint32_t>(std::clamp(bytes, kMostHead, kLargestHead)));
}

struct Message::Callbacks {
  static Message& Of(http_parser* parser) { return *static_cast<Message*>(parser->data); }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = Make();
    return settings;
  }
  static http_parser_settings Make() {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = [](http_parser* p, const char* at, std::size_t size) {
      Of(p).target_ = Of(p).Extend(Of(p).target_, at, size);
      return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
      return Of(p).OnHeaderName(at, size);
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
      Message& m = Of(p);
      if (m.head_done_) return 0;  // a trailer
      m.in_value_ = true;
      Span& value = m.headers_[m.header_count_ - 1].value;
      value = m.Extend(value, at, size);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) { return Of(p).OnHeadersComplete(); };
    s.on_body = [](http_parser* p, const char* at, std::size_t size) { return Of(p).OnBody(at, size); };
    s.on_chunk_header = [](http_parser* p) { return Of(p).in_chunk_ = true, 0; };
    s.on_chunk_complete = [](http_parser* p) { return Of(p).in_chunk_ = false, 0; };
    s.on_message_complete = [](http_parser* p) {
      // A refused head comes here too: the parser takes the refusal for "has no body".
      if (Of(p).error_status_ != 0) return 1;
      if (p->upgrade != 0) return Of(p).Fail(400);
      Of(p).GatherBody();
      Of(p).done_ = true;
      Of(p).keep_alive_ = http_should_keep_alive(p) != 0;
      http_parser_pause(p, 1);  // what follows belongs to the next message
      return 0;
    };
    return s;
  }
};

Message::Message(Kind kind, Buffer& buffer, Bodies bodies, std::uint64_t largest)
    : buffer_(buffer), kind_(kind), bodies_(bodies), largest_(largest) {
  LimitHeads();
  Reset();
}

void Message::Reset() {
  http_parser_init(&parser_, kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parsed_ = header_count_ = head_end_ = 0;
  target_ = body_ = Span{};
  in_value_ = head_done_ = done_ = keep_alive_ = false;
  error_status_ = 0;
  length_ = kUnknown;
  body_bytes_ = 0;
  as_it_came_ = kind_ == Kind::kRequest;
  reframed_ = false;
  in_chunk_ = false;
  chunks_.clear();
}

void Message::ConsumeBody() {
  GatherBody();
  buffer_.Consume(parsed_);
  parsed_ = header_count_ = head_end_ = 0;
  target_ = body_ = Span{};
}

std::optional<std::string> Message::Remainder() const {
  if (!head_done_ || done_ || error_status_ != 0) return std::nullopt;
  const bool chunked = (parser_.flags & F_CHUNKED) != 0;
  const std::uint64_t left = parser_.content_length;  // of the body, or of the present chunk
  if (chunked ? !in_chunk_ || left == 0 : length_ != kUnknown && left == 0) return std::nullopt;
  std::string text = "HTTP/1.1 200 OK\r\n";
  if (!keep_alive_) text += "Connection: close\r\n";
  const std::string held(body());
  if (chunked) {
    text += "Transfer-Encoding: chunked\r\n\r\n";
    if (!held.empty()) text += ChunkLine(held.size()) + held + "\r\n";
    text += ChunkLine(left);
  } else {
    if (length_ != kUnknown) text += "Content-Length: " + std::to_string(held.size() + left) + "\r\n";
    text += "\r\n" + held;
  }
  return text.append(rest());
}

void Message::Next() {
  buffer_.Consume(parsed_);
  Reset();
}

int Message::Fail(int status) {
  error_status_ = status;
  return 1;
}

// Parts of one thing may come in several calls, when the input is torn; in the buffer they are in a row.
Message::Span Message::Extend(Span span, const char* at, std::size_t size) const {
  const auto begin = static_cast<std::uint32_t>(at - buffer_.view().data());
  if (span.size == 0) return {begin, static_cast<std::uint32_t>(size)};
  return {span.begin, static_cast<std::uint32_t>(begin + size - span.begin)};
}

int Message::OnHeaderName(const char* at, std::size_t size) {
  if (head_done_) return 0;  // a trailer: not passed on
  if (in_value_ || header_count_ == 0) {
    if (header_count_ == kMostHeaders) return Fail(431);
    headers_[header_count_++] = Header{};
    in_value_ = false;
  }
  Span& name = headers_[header_count_ - 1].name;
  name = Extend(name, at, size);
  return 0;
}

int Message::OnHeadersComplete() {
  head_done_ = true;
  if (!CheckHead() || (kind_ == Kind::kResponse && parser_.status_code < 100)) return Fail(400);
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  if ((parser_.flags & F_CONTENTLENGTH) != 0) length_ = parser_.content_length;
  const std::uint64_t most = bodies_ == Bodies::kStreamed ? largest_ : kMostBody;
  return length_ != kUnknown && length_ > most ? Fail(413) : 0;
}

// The head is written out again as it stands, so it must read the same to everyone: lines end in CRLF only
// and none is folded (guards against smuggling a second request through a host that reads it otherwise).
bool Message::CheckHead() {
  const std::string_view all = buffer_.view();
  const std::size_t from = header_count_ > 0 ? headers_[0].name.begin : target_.begin + target_.size;
  const std::size_t end = all.find("\r\n\r\n", from > 2 ? from - 2 : 0);
  if (end == std::string_view::npos) return false;
  head_end_ = end + 4;
  for (std::size_t at = all.find('\n'); at < end + 2; at = all.find('\n', at + 1)) {
    if (at == 0 || all[at - 1] != '\r') return false;
    if (all[at + 1] == ' ' || all[at + 1] == '\t') return false;
  }
  // http-parser takes CR and any byte for the head's end: what stands behind would go along unread.
  for (std::size_t at = all.find('\r'); at < end + 2; at = all.find('\r', at + 1))
    if (all[at + 1] != '\n') return false;
  // http-parser lets a space end a name ("Content-Length : 5"), which others read as no such header.
  return std::none_of(headers_.begin(), headers_.begin() + static_cast<std::ptrdiff_t>(header_count_),
                      [&](const Header& h) { return At(h.name).find(' ') != std::string_view::npos; });
}

// Chunks are moved together, over framing that was parsed already; those of a request once it is whole, or as
// much as is kept.
int Message::OnBody(const char* at, std::size_t size) {
  const auto begin = static_cast<std::uint32_t>(at - buffer_.view().data());
  if (body_.size == 0) body_.begin = begin;
  body_bytes_ += size;
  if (body_.size + size > kMostBody || body_bytes_ > largest_) return Fail(413);
  if (as_it_came_) {
    const bool goes_on = !chunks_.empty() && chunks_.back().begin + chunks_.back().size == begin;
    if (!goes_on) chunks_.push_back({begin, 0});
    chunks_.back().size += static_cast<std::uint32_t>(size);
  } else if (begin != body_.begin + body_.size)
    std::memmove(buffer_.data() + body_.begin + body_.size, buffer_.data() + begin, size);
  body_.size += static_cast<std::uint32_t>(size);
  return 0;
}

// A body may come in so many chunks, or with so much between them, that its framing takes many times its
// bytes.
bool Message::TooFinelyFramed() const {
  const std::size_t framed = body_.size > 0 ? parsed_ - body_.begin : 0;
  return as_it_came_ && (chunks_.size() > kMostChunksAsTheyCame || framed > kMostBody);
}

// Takes the framing behind the gathered body out of the buffer; nothing refers to it.
void Message::DropFraming() {
  const std::size_t end = body_.begin + body_.size;
  if (as_it_came_ || done_ || body_.size == 0 || parsed_ <= end) return;
  buffer_.Erase(end, parsed_ - end);
  parsed_ = end;
}

void Message::GatherBody() {
  as_it_came_ = false;
  std::size_t end = body_.begin;
  for (const Span& chunk : chunks_) {
    if (chunk.begin != end) std::memmove(buffer_.data() + end, buffer_.data() + chunk.begin, chunk.size);
    end += chunk.size;
  }
  chunks_.clear();
}

Progress Message::Read() {
  const http_parser_settings& settings = Callbacks::Settings();
  if (done_) return Progress::kDone;
  if (error_status_ != 0) return Progress::kBad;
  if (parsed_ == buffer_.size()) return Progress::kMore;
  parser_.data = this;
  std::size_t some = buffer_.size() - parsed_;
  if (bodies_ == Bodies::kStreamed) some = std::min<std::size_t>(some, kMostBody - body_.size);
  if (some == 0) return GatherBody(), Progress::kFull;
  parsed_ += http_parser_execute(&parser_, &settings, buffer_.data() + parsed_, some);
  return Outcome();
}

Progress Message::End() {
  if (done_ || error_status_ != 0 || !head_done_) return done_ ? Progress::kDone : Progress::kBad;
  parser_.data = this;
  http_parser_execute(&parser_, &Callbacks::Settings(), nullptr, 0);
  return done_ ? Progress::kDone : Progress::kBad;
}

Progress Message::Outcome() {
  if (parser_.upgrade != 0) Fail(400);
  if (error_status_ != 0) return Progress::kBad;
  if (done_) return Progress::kDone;
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_OK) {
    const bool full = bodies_ == Bodies::kStreamed && body_.size >= kMostBody;
    reframed_ = reframed_ || (bodies_ == Bodies::kStreamed && TooFinelyFramed());
    if (full || reframed_) GatherBody();
    DropFraming();
    if (full) return Progress::kFull;
    if (parsed_ < buffer_.size()) return Read();
    return reframed_ ? Progress::kFull : Progress::kMore;
  }
  error_status_ = error == HPE_HEADER_OVERFLOW ? 431 : 400;
  return Progress::kBad;
}

std::string_view Message::Find(std::string_view name, bool* twice) const {
  const Header* found = nullptr;
  for (std::size_t i = 0; i < header_count_; ++i) {
    if (!SameName(At(headers_[i].name), name)) continue;
    if (found != nullptr && twice != nullptr) *twice = true;
    if (found == nullptr) found = &headers_[i];
  }
  return found != nullptr ? Trimmed(At(found->value)) : std::string_view();
}

bool Message::Has(std::string_view name) const {
  return std::any_of(headers_.begin(), headers_.begin() + static_cast<std::ptrdiff_t>(header_count_),
                     [&](const Header& h) { return SameName(At(h.name), name); });
}

void Message::AppendEndToEnd(std::initializer_list<std::string_view> without, std::vector<iovec>& out) const {
  const std::string_view named = Find("Connection");  // may name further headers of one hop
  const auto dropped = [&](std::string_view name) {
    const auto same = [&](std::string_view other) { return SameName(name, other); };
    if (std::any_of(kOneHop.begin(), kOneHop.end(), same)) return true;
    if (std::any_of(without.begin(), without.end(), same)) return true;
    for (std::size_t at = 0; at < named.size();) {
      const std::size_t begin = named.find_first_not_of(" \t,", at);
      if (begin == std::string_view::npos) break;
      at = std::min(named.size(), named.find_first_of(" \t,", begin));
      if (same(named.substr(begin, at - begin))) return true;
    }
    return false;
  };
  std::size_t run = 0, run_end = 0;  // lines in a row go out as one piece
  for (std::size_t i = 0; i < header_count_; ++i) {
    if (dropped(At(headers_[i].name))) continue;
    const std::size_t begin = headers_[i].name.begin;
    const std::size_t end = i + 1 < header_count_ ? headers_[i + 1].name.begin : head_end_ - 2;
    if (run_end != begin) {
      if (run_end > run) out.push_back(Piece(buffer_.view().substr(run, run_end - run)));
      run = begin;
    }
    run_end = end;
  }
  if (run_end > run) out.push_back(Piece(buffer_.view().substr(run, run_end - run)));
}

}  // namespace curlewdoor::http
