// The HTTP reader. The first byte tells request or answer, whole or in pieces, and where the bytes are torn:
// however they come, the same messages are read. A request that is passed on reads there as the same request.
#include <algorithm>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "target.hpp"

namespace curlewdoor::http {
namespace {

struct Seen {  // of one message
  bool bad = false;
  int status = 0;  // of an answer
  int method = 0;
  std::string target, body, passed_on;
  bool keep_alive = false;
  bool operator==(const Seen&) const = default;
};

constexpr std::size_t kMostMessages = 16;

std::string Lines(const Message& message) {
  std::vector<iovec> pieces;
  message.AppendEndToEnd({"X-Tenant-Name"}, pieces);
  std::string text;
  for (const iovec& piece : pieces) text.append(static_cast<const char*>(piece.iov_base), piece.iov_len);
  return text;
}

// Reads all messages of `bytes`, in steps of `step`.
std::vector<Seen> ReadAll(Kind kind, Bodies bodies, std::string_view bytes, std::size_t step, bool end) {
  Buffer buffer;
  Message message(kind, buffer, bodies);
  std::vector<Seen> all;
  std::string streamed;  // of the body, taken out so far
  Seen now;
  bool head_taken = false;
  std::size_t at = 0;
  while (all.size() < kMostMessages) {
    Progress progress = message.Read();
    FUZZ_REQUIRE(buffer.size() <= kMostBody + 64 * 1024 + bytes.size());
    if (message.head_done() && !head_taken && progress != Progress::kBad) {
      head_taken = true;
      now.passed_on = Lines(message);
      now.target = message.target();
      static_cast<void>(message.Remainder());
    }
    if (progress == Progress::kFull) {
      FUZZ_REQUIRE(bodies == Bodies::kStreamed && message.body().size() <= kMostBody);
      message.GatherBody();
      streamed += message.body();
      message.ConsumeBody();
      continue;
    }
    if (progress == Progress::kMore && at < bytes.size()) {
      const std::string_view piece = bytes.substr(at, step);
      at += piece.size();
      buffer.Append(piece);
      continue;
    }
    if (progress == Progress::kMore) {
      if (!end || !message.started()) break;
      progress = message.End();
    }
    now.bad = progress == Progress::kBad;
    if (progress == Progress::kBad) {
      FUZZ_REQUIRE(!message.done());
      // Which of two faults is told first may depend on where the bytes are torn.
      const int status = message.error_status();
      FUZZ_REQUIRE(status == 400 || status == 413 || status == 431 || (status == 0 && end));
      FUZZ_REQUIRE(status == 0 || message.Read() == Progress::kBad);
      now = {};
      now.bad = true;
      all.push_back(now);
      break;
    }
    FUZZ_REQUIRE(message.done() && message.head_done());
    now.status = kind == Kind::kResponse ? message.status() : 0;
    now.method = kind == Kind::kRequest ? static_cast<int>(message.method()) : 0;
    now.body = streamed + std::string(message.body());
    now.keep_alive = message.keep_alive();
    FUZZ_REQUIRE(bodies == Bodies::kStreamed || now.body.size() <= kMostBody);
    all.push_back(now);
    message.Next();
    now = {};
    streamed.clear();
    head_taken = false;
    if (!all.back().keep_alive) break;
  }
  return all;
}

// What a host gets of it.
void CheckPassedOn(const Seen& seen) {
  if (seen.bad) return;
  // One line more would be too many for the second reader.
  if (static_cast<std::size_t>(std::ranges::count(seen.passed_on, '\n')) >= kMostHeaders) return;
  const std::string text = std::string(http_method_str(static_cast<http_method>(seen.method))) + " " +
                           seen.target + " HTTP/1.1\r\n" + seen.passed_on +
                           "Content-Length: " + std::to_string(seen.body.size()) + "\r\n\r\n" + seen.body;
  const auto read = ReadAll(Kind::kRequest, Bodies::kStreamed, text, text.size(), false);
  FUZZ_REQUIRE(read.size() == 1 && !read[0].bad);
  FUZZ_REQUIRE(read[0].method == seen.method && read[0].target == seen.target && read[0].body == seen.body);
  FUZZ_REQUIRE(read[0].passed_on == seen.passed_on);
}

}  // namespace

void Check(std::string_view bytes) {
  if (bytes.empty()) return;
  const auto how = static_cast<unsigned char>(bytes[0]);
  bytes.remove_prefix(1);
  const Kind kind = (how & 1) != 0 ? Kind::kResponse : Kind::kRequest;
  const Bodies bodies = (how & 2) != 0 ? Bodies::kStreamed : Bodies::kWhole;
  const bool end = (how & 4) != 0;
  const std::size_t step = 1 + (how >> 3);
  const auto whole = ReadAll(kind, bodies, bytes, std::max<std::size_t>(1, bytes.size()), end);
  const auto torn = ReadAll(kind, bodies, bytes, step, end);
  FUZZ_REQUIRE(whole == torn);
  if (kind == Kind::kRequest)
    for (const Seen& seen : whole) CheckPassedOn(seen);
}

}  // namespace curlewdoor::http

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::http::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
