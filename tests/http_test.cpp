#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "http/buffer.hpp"
#include "http/message.hpp"

namespace curlewdoor::http {
namespace {

struct Reading {
  explicit Reading(Kind kind) : message(kind, buffer) {}
  Progress Feed(std::string_view text) {
    buffer.Append(text);
    return message.Read();
  }
  std::string Kept(std::initializer_list<std::string_view> without = {}) const {
    std::vector<iovec> pieces;
    message.AppendEndToEnd(without, pieces);
    std::string text;
    for (const iovec& p : pieces) text.append(static_cast<const char*>(p.iov_base), p.iov_len);
    return text;
  }

  Buffer buffer;
  Message message;
};

const std::string kPost =
    "POST /checkout?account=00000000b4d65521 HTTP/1.1\r\nHost: service.internal\r\n"
    "X-Request-ID: 9b1f03aa5c7e2d41\r\nX-Empty:\r\nX-Timeout: 480m\r\nContent-Length: 5\r\n\r\nhello";
const std::string kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nX-T: "
    "2\r\n\r\n";

TEST(Message, RequestIsReadInPlace) {
  Reading r(Kind::kRequest);
  ASSERT_EQ(r.Feed(kPost), Progress::kDone);
  EXPECT_EQ(r.message.method(), HTTP_POST);
  EXPECT_EQ(r.message.target(), "/checkout?account=00000000b4d65521");
  EXPECT_EQ(r.message.Find("x-request-id"), "9b1f03aa5c7e2d41");
  EXPECT_EQ(r.message.Find("X-Empty"), "");
  EXPECT_TRUE(r.message.Has("X-Empty"));
  EXPECT_FALSE(r.message.Has("X-Absent"));
  EXPECT_EQ(r.message.body(), "hello");
  EXPECT_TRUE(r.message.keep_alive());
}

// Input may be torn at any byte, and the buffer may move while it grows.
TEST(Message, TornAtAnyByte) {
  for (std::size_t cut = 1; cut < kPost.size(); ++cut) {
    Reading r(Kind::kRequest);
    ASSERT_EQ(r.Feed(kPost.substr(0, cut)), Progress::kMore) << cut;
    ASSERT_EQ(r.Feed(kPost.substr(cut)), Progress::kDone) << cut;
    EXPECT_EQ(r.message.Find("X-Timeout"), "480m") << cut;
    EXPECT_EQ(r.message.Find("X-Empty"), "") << cut;
    EXPECT_EQ(r.message.body(), "hello") << cut;
    EXPECT_EQ(r.Kept({"X-Timeout"}),
              "Host: service.internal\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\nX-Empty:\r\n")
        << cut;
  }
  for (std::size_t cut = 1; cut < kChunked.size(); ++cut) {
    Reading r(Kind::kResponse);
    ASSERT_EQ(r.Feed(kChunked.substr(0, cut)), Progress::kMore) << cut;
    ASSERT_EQ(r.Feed(kChunked.substr(cut)), Progress::kDone) << cut;
    EXPECT_EQ(r.message.body(), "abcdefg") << cut;
    EXPECT_EQ(r.Kept(), "X-A: 1\r\n") << cut;
  }
}

TEST(Message, ByteByByte) {
  Reading r(Kind::kRequest);
  for (std::size_t i = 0; i + 1 < kPost.size(); ++i) ASSERT_EQ(r.Feed(kPost.substr(i, 1)), Progress::kMore);
  ASSERT_EQ(r.Feed(kPost.substr(kPost.size() - 1)), Progress::kDone);
  EXPECT_EQ(r.message.Find("Host"), "service.internal");
}

TEST(Message, OneBehindAnother) {
  Reading r(Kind::kRequest);
  ASSERT_EQ(r.Feed(kPost + "GET /a HTTP/1.1\r\nHost: b\r\n\r\n" + "GE"), Progress::kDone);
  EXPECT_EQ(r.message.body(), "hello");
  r.message.Next();
  ASSERT_EQ(r.message.Read(), Progress::kDone);
  EXPECT_EQ(r.message.target(), "/a");
  EXPECT_EQ(r.message.body(), "");
  r.message.Next();
  EXPECT_EQ(r.message.Read(), Progress::kMore);
  EXPECT_TRUE(r.message.started());
  EXPECT_EQ(r.Feed("T /c HTTP/1.0\r\n\r\n"), Progress::kDone);
  EXPECT_FALSE(r.message.keep_alive());
}

TEST(Message, HeadersOfOneHopAreNotPassedOn) {
  Reading r(Kind::kRequest);
  ASSERT_EQ(r.Feed("GET / HTTP/1.1\r\nConnection: keep-alive, X-Hop\r\nA: 1\r\nX-Hop: 2\r\nB: 3\r\n"
                   "Keep-Alive: 5\r\nTE: trailers\r\nC: 4\r\n\r\n"),
            Progress::kDone);
  EXPECT_EQ(r.Kept({"b"}), "A: 1\r\nC: 4\r\n");
}

// What a host could read otherwise than this gateway is not passed on at all.
TEST(Message, AmbiguousFramingIsRefused) {
  for (const std::string text :
       {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\n",
        "GET / HTTP/1.1\r\nA: 1\nB: 2\r\n\r\n", "GET / HTTP/1.1\r\nA: 1\r\n folded: 2\r\n\r\n",
        "GET / HTTP/1.1\r\nA : 1\r\n\r\n", "NOT HTTP\r\n\r\n", "GET /\x01 HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n\rX-Tenant-Name: b\r\n\r\n"}) {
    Reading r(Kind::kRequest);
    EXPECT_EQ(r.Feed(text), Progress::kBad) << text;
    EXPECT_FALSE(r.message.done()) << text;
    EXPECT_EQ(r.message.error_status(), 400) << text;
  }
}

// Guards against an answer that is skipped as one before the one that is meant.
TEST(Message, AStatusThatIsNoneIsRefused) {
  for (const std::string status : {"0", "99", "1000", "-1", "2x0", ""}) {
    Reading r(Kind::kResponse);
    EXPECT_EQ(r.Feed("HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n"), Progress::kBad) << status;
  }
}

TEST(Message, Bounds) {
  Reading head(Kind::kRequest);
  EXPECT_EQ(head.Feed("GET / HTTP/1.1\r\nA: " + std::string(kMostHead, 'a')), Progress::kBad);
  EXPECT_EQ(head.message.error_status(), 431);

  Reading count(Kind::kRequest);
  std::string many = "GET / HTTP/1.1\r\n";
  for (std::size_t i = 0; i <= kMostHeaders; ++i) many += "A: 1\r\n";
  EXPECT_EQ(count.Feed(many + "\r\n"), Progress::kBad);
  EXPECT_EQ(count.message.error_status(), 431);

  Reading told(Kind::kRequest);
  EXPECT_EQ(told.Feed("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), Progress::kBad);
  EXPECT_EQ(told.message.error_status(), 413);

  Reading most(Kind::kRequest);
  EXPECT_EQ(most.Feed("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + std::string(65536, 'x')),
            Progress::kDone);
  EXPECT_EQ(most.message.body().size(), 65536u);

  Reading chunks(Kind::kRequest);
  chunks.Feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  Progress progress = Progress::kMore;
  for (int i = 0; i < 17 && progress == Progress::kMore; ++i)
    progress = chunks.Feed("1000\r\n" + std::string(0x1000, 'x') + "\r\n");
  EXPECT_EQ(progress, Progress::kBad);
  EXPECT_EQ(chunks.message.error_status(), 413);
}

// ---- Bodies in pieces ---------------------------------------------------------------------------------

struct Stream {
  Buffer buffer;
  Message message{Kind::kRequest, buffer, Bodies::kStreamed};
  std::string body;
  Progress progress = Progress::kMore;

  // What is here of the body is given up whenever it is as much as is kept, and by chance.
  void Feed(std::string_view piece, bool take) {
    buffer.Append(piece);
    for (;;) {
      progress = message.Read();
      EXPECT_LE(message.head_done() ? message.body().size() : 0, kMostBody);
      if (progress != Progress::kFull && !(take && progress == Progress::kMore && message.head_done()))
        return;
      message.GatherBody();
      body += message.body();
      message.ConsumeBody();
      if (progress == Progress::kMore) return;
    }
  }
};

// Property, seeds 1 to 400: whatever the framing and wherever it is cut, a body comes as it was sent, no more
// of it is held than is kept, and the next message begins behind it.
TEST(StreamedMessage, BodiesCutAnywhereComeAsTheyWereSent) {
  for (unsigned seed = 1; seed <= 400; ++seed) {
    std::mt19937 random(seed);
    std::string body(random() % (seed % 4 == 0 ? 300'000 : 3'000), '\0');
    for (char& c : body) c = static_cast<char>(random() % 256);
    std::string text = "POST /p HTTP/1.1\r\nA: b\r\n";
    if (random() % 2 == 0) {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else {
      text += "Transfer-Encoding: chunked\r\n\r\n";
      for (std::size_t at = 0; at < body.size();) {
        const std::size_t size = std::min<std::size_t>(body.size() - at, 1 + random() % 20'000);
        char digits[24];
        std::snprintf(digits, sizeof digits, random() % 2 == 0 ? "%zx" : "%zX", size);
        text += std::string(digits) + (random() % 3 == 0 ? ";e=\"x y\"" : "") + "\r\n" +
                body.substr(at, size) + "\r\n";
        at += size;
      }
      text += random() % 2 == 0 ? "0\r\n\r\n" : "0\r\nT: 1\r\n\r\n";
    }
    const std::string whole = text + "GET /next HTTP/1.1\r\n\r\n";
    Stream stream;
    for (std::size_t at = 0; at < whole.size() && stream.progress != Progress::kDone;) {
      const std::size_t size =
          std::min<std::size_t>(whole.size() - at, 1 + random() % (random() % 5 == 0 ? 70'000 : 700));
      stream.Feed(std::string_view(whole).substr(at, size), random() % 3 == 0);
      ASSERT_NE(stream.progress, Progress::kBad) << seed;
      at += size;
      if (stream.progress == Progress::kDone) stream.buffer.Append(std::string_view(whole).substr(at));
    }
    ASSERT_EQ(stream.progress, Progress::kDone) << seed;
    EXPECT_TRUE(stream.body + std::string(stream.message.body()) == body) << seed;
    stream.message.Next();
    EXPECT_EQ(stream.message.Read(), Progress::kDone) << seed;
    EXPECT_EQ(stream.message.target(), "/next") << seed;
  }
}

// Seeds 1 to 2000: changed bytes give a message or an error, and never more than is kept (under the
// sanitizers too).
TEST(StreamedMessage, ChangedBytesGiveAMessageOrAnError) {
  const std::string text =
      "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n5\r\nhello\r\n6;x=y\r\n "
      "world\r\n0\r\nT: 1\r\n\r\n";
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::mt19937 random(seed);
    std::string changed = text;
    for (auto left = 1 + random() % 3; left > 0; --left)
      changed[random() % changed.size()] = static_cast<char>(random() % 256);
    Stream stream;
    for (std::size_t at = 0;
         at < changed.size() && stream.progress != Progress::kBad && stream.progress != Progress::kDone;) {
      const std::size_t size = std::min<std::size_t>(changed.size() - at, 1 + random() % 9);
      stream.Feed(std::string_view(changed).substr(at, size), random() % 2 == 0);
      at += size;
    }
    EXPECT_LE(stream.body.size(), changed.size()) << seed;
  }
}

// Guards against a half-read request that an upgrade passes on in another form than it came.
TEST(StreamedMessage, TheBytesOfARequestThatIsNotWholeStayAsTheyCame) {
  const std::string text =
      "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n "
      "world\r\n1\r\n!\r\n0\r\n\r\n";
  for (std::size_t cut = 1; cut < text.size(); ++cut) {
    Stream first, second;
    for (std::size_t at = 0; at < cut; ++at) first.Feed(text.substr(at, 1), false);
    ASSERT_EQ(first.buffer.view(), text.substr(0, cut));
    second.Feed(first.buffer.view(), false);
    second.Feed(text.substr(cut), false);
    ASSERT_EQ(second.progress, Progress::kDone) << cut;
    EXPECT_EQ(second.message.body(), "hello world!") << cut;
  }
}

// Guards against bodies whose chunks take many times their bytes, whether they are taken in pieces or not.
TEST(StreamedMessage, FineChunksTakeLittleMoreThanTheirBytes) {
  for (const std::string& extension : {std::string(), ";e=" + std::string(60, 'x')}) {
    for (const bool taken : {false, true}) {
      Buffer buffer;
      Message message(Kind::kRequest, buffer, Bodies::kStreamed);
      buffer.Append("POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
      std::string sent, came;
      std::size_t most = 0;
      for (int i = 0; i < 30'000; ++i) {
        sent += static_cast<char>('a' + i % 26);
        buffer.Append("1" + extension + "\r\n" + sent.back() + "\r\n");
        ASSERT_NE(message.Read(), Progress::kBad) << i;
        most = std::max(most, buffer.capacity());
        if (!taken || i % 5000 != 4999) continue;
        came += message.body();
        message.ConsumeBody();
      }
      buffer.Append("0\r\n\r\n");
      ASSERT_EQ(message.Read(), Progress::kDone);
      EXPECT_EQ(came + std::string(message.body()), sent);
      EXPECT_LE(most, 2 * kMostBody);
    }
  }
}

// So that a request which isn't whole can be passed on; then it is to be taken in pieces.
TEST(StreamedMessage, OnlySoManyChunksStayAsTheyCame) {
  Buffer buffer;
  Message message(Kind::kRequest, buffer, Bodies::kStreamed);
  std::string text = "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t i = 0; i < kMostChunksAsTheyCame; ++i) text += "1\r\nb\r\n";
  buffer.Append(text);
  EXPECT_EQ(message.Read(), Progress::kMore);
  EXPECT_EQ(buffer.view(), text);
  buffer.Append("1\r\nc\r\n");
  EXPECT_EQ(message.Read(), Progress::kFull);
  EXPECT_EQ(message.body(), std::string(kMostChunksAsTheyCame, 'b') + "c");
  EXPECT_LT(buffer.size(), text.size() / 2);
}

TEST(StreamedMessage, LengthsThatDifferOrStandBesideChunksAreRefused) {
  for (const char* head :
       {"Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: -1\r\n", "Content-Length: 5x\r\n", "Content-Length : 5\r\n",
        "Content-Length: 99999999999999999999999\r\n"}) {
    Stream stream;
    stream.Feed(std::string("POST /p HTTP/1.1\r\n") + head + "\r\nhello", false);
    EXPECT_EQ(stream.progress, Progress::kBad) << head;
  }
}

// Guards an upgrade in the middle of a long answer: wherever it is cut, what is given on reads as the rest.
TEST(StreamedMessage, TheRemainderReadsAsAnAnswerWithTheRest) {
  const std::string body(70'000, 'x');
  for (const bool chunked : {false, true}) {
    std::string text = "HTTP/1.1 200 OK\r\n";
    text += chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: 70000\r\n\r\n";
    if (chunked) {
      for (std::size_t at = 0; at < body.size(); at += 7'000)
        text += "1b58\r\n" + body.substr(at, 7'000) + "\r\n";
      text += "0\r\n\r\n";
    } else {
      text += body;
    }
    int passed = 0;
    for (std::size_t cut = 20; cut < text.size(); cut += 83) {
      Buffer old_buffer, new_buffer;
      Message old_one(Kind::kResponse, old_buffer, Bodies::kStreamed);
      Message new_one(Kind::kResponse, new_buffer, Bodies::kStreamed);
      old_buffer.Append(text.substr(0, cut / 2));
      old_one.Read();
      std::size_t got = 0;
      if (old_one.head_done()) {
        got = old_one.body().size();
        old_one.ConsumeBody();
      }
      old_buffer.Append(text.substr(cut / 2, cut - cut / 2));
      const Progress there = old_one.Read();
      const auto rest = old_one.Remainder();
      if (there == Progress::kDone || !rest) continue;  // its framing is just being read
      ++passed;
      new_buffer.Append(*rest + text.substr(cut));
      Progress progress = new_one.Read();
      while (progress == Progress::kFull) {
        got += new_one.body().size();
        new_one.ConsumeBody();
        progress = new_one.Read();
      }
      ASSERT_EQ(progress, Progress::kDone) << cut;
      EXPECT_EQ(got + new_one.body().size(), body.size()) << cut;
    }
    EXPECT_GT(passed, 500);
  }
}

// An answer without a length ends with its connection; one with a length that is not reached is cut.
TEST(StreamedMessage, TheEndOfAConnectionEndsOnlyAnAnswerWithoutALength) {
  for (const bool told : {false, true}) {
    Buffer buffer;
    Message message(Kind::kResponse, buffer, Bodies::kStreamed);
    buffer.Append(told ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"
                       : "HTTP/1.1 200 OK\r\n\r\nhello");
    EXPECT_EQ(message.Read(), Progress::kMore);
    EXPECT_EQ(message.End(), told ? Progress::kBad : Progress::kDone);
    EXPECT_EQ(message.body(), "hello");
  }
}

TEST(Buffer, GivesBackWhatALargeMessageTook) {
  Buffer buffer;
  buffer.Append(std::string(100'000, 'x'));
  buffer.Consume(99'999);
  EXPECT_EQ(buffer.view(), "x");
  buffer.Consume(1);
  EXPECT_EQ(buffer.capacity(), 0u);
  buffer.Append("again");
  EXPECT_EQ(buffer.view(), "again");
}

}  // namespace
}  // namespace curlewdoor::http
