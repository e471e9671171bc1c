#include <gtest/gtest.h>

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
        "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"}) {
    Reading r(Kind::kRequest);
    EXPECT_EQ(r.Feed(text), Progress::kBad) << text;
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
