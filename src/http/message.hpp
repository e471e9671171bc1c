// Reads HTTP/1.1 messages in place: http-parser runs over the connection's buffer, and what it finds is kept
// as spans of that buffer. Bounded in head, header count and body; input may be torn at any byte.
#pragma once

#include <http_parser.h>
#include <sys/uio.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/buffer.hpp"

namespace curlewdoor::http {

inline constexpr std::size_t kMostHead = 16 * 1024;
inline constexpr std::size_t kMostBody = 64 * 1024;        // held whole
inline constexpr std::uint64_t kLargestBody = 40'000'000;  // passed on in pieces
inline constexpr std::size_t kMostHeaders = 64;
inline constexpr std::size_t kMostChunksAsTheyCame = 512;  // of a body that is not whole

enum class Kind { kRequest, kResponse };
// kFull: the body, or what frames its chunks, is as much as is kept; more of it may have come. Only where a
// message may be streamed.
enum class Progress { kMore, kDone, kBad, kFull };
enum class Bodies { kWhole, kStreamed };  // whether longer ones than kMostBody are taken in pieces

class Message {
 public:
  // The message stands at the front of `buffer`, which must outlive it.
  // `largest`: bytes of a body that is taken in pieces.
  Message(Kind kind, Buffer& buffer, Bodies bodies = Bodies::kWhole, std::uint64_t largest = kLargestBody);
  Message(const Message&) = delete;
  Message& operator=(const Message&) = delete;

  // Parses what was appended to the buffer since the last call.
  Progress Read();
  // The other side has ended its sending, which is the end of an answer without a length.
  Progress End();
  // Drops what was read of the body so far, and the head before it: views of both are void from then on.
  void ConsumeBody();
  // What is here behind a finished message.
  std::string_view rest() const { return buffer_.view().substr(parsed_); }
  // Of a 200 in the middle of its body: bytes that, before those that are still to come, read as an answer
  // whose body is the rest of this one. Nullopt where its framing is just being read.
  std::optional<std::string> Remainder() const;
  // Drops a finished message from the buffer and starts on the next one.
  void Next();

  // Whether any byte of a message has come, and whether its head is whole.
  bool started() const { return buffer_.size() > 0; }
  bool head_done() const { return head_done_; }
  // Of a message whose head is whole: the length of its body, where that is told.
  std::optional<std::uint64_t> length() const {
    return length_ == kUnknown ? std::nullopt : std::optional(length_);
  }
  bool large() const { return head_done_ && length_ != kUnknown && length_ > kMostBody; }
  bool http10() const { return parser_.http_major == 1 && parser_.http_minor == 0; }
  // After kBad: the status that tells a client what was wrong.
  int error_status() const { return error_status_; }

  bool done() const { return done_; }
  // Of a finished message; the views last until the buffer changes.
  http_method method() const { return static_cast<http_method>(parser_.method); }
  int status() const { return static_cast<int>(parser_.status_code); }
  std::string_view target() const { return At(target_); }
  // Also of what is to be taken in pieces: after kFull, where a length is told, or once it is gathered.
  std::string_view body() const { return At(body_); }
  std::uint64_t body_bytes() const { return body_bytes_; }  // that have come, also those taken already
  void GatherBody();
  bool keep_alive() const { return keep_alive_; }
  // The value of a header. Empty if it is absent; `twice` is set if it stands more than once.
  std::string_view Find(std::string_view name, bool* twice = nullptr) const;
  bool Has(std::string_view name) const;
  // Appends the head's lines as they stand, without those that concern one hop and those in `without`.
  void AppendEndToEnd(std::initializer_list<std::string_view> without, std::vector<iovec>& out) const;

 private:
  struct Span {
    std::uint32_t begin = 0, size = 0;
  };
  struct Header {
    Span name, value;
  };
  struct Callbacks;

  std::string_view At(Span span) const { return buffer_.view().substr(span.begin, span.size); }
  Span Extend(Span span, const char* at, std::size_t size) const;
  int Fail(int status);
  int OnHeaderName(const char* at, std::size_t size);
  int OnHeadersComplete();
  int OnBody(const char* at, std::size_t size);
  bool CheckHead();
  bool TooFinelyFramed() const;
  void DropFraming();
  void Reset();
  Progress Outcome();

  static constexpr std::uint64_t kUnknown = ~std::uint64_t{0};

  Buffer& buffer_;
  const Kind kind_;
  const Bodies bodies_;
  const std::uint64_t largest_;
  std::uint64_t length_ = kUnknown, body_bytes_ = 0;
  http_parser parser_{};
  std::size_t parsed_ = 0;
  Span target_, body_;
  std::array<Header, kMostHeaders> headers_;
  // Chunks of a request that is not whole: its bytes stay as they came, since an upgrade may pass them on.
  std::vector<Span> chunks_;
  bool as_it_came_ = true;
  bool reframed_ = false;  // gathered before it was full, as its framing was too fine
  bool in_chunk_ = false;
  std::size_t header_count_ = 0;
  std::size_t head_end_ = 0;  // behind the blank line
  bool in_value_ = false;     // the last header's value has begun
  bool head_done_ = false, done_ = false, keep_alive_ = false;
  int error_status_ = 0;
};

// Heads of all messages from now on; kMostHead at the least.
void SetMostHead(std::size_t bytes);

// Whether two header names are the same.
bool SameName(std::string_view a, std::string_view b);

// Without the blanks and tabs around it.
std::string_view Trimmed(std::string_view text);

// The line that goes before a chunk of so many bytes.
std::string ChunkLine(std::uint64_t size);

std::string_view ReasonPhrase(int status);

inline iovec Piece(std::string_view text) { return {const_cast<char*>(text.data()), text.size()}; }

}  // namespace curlewdoor::http
