// Requests that a client sends before it has its answers: taken ahead, answered in their order. Client and
// Door on loopback, with answers by hand and by a real Upstream.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>

#include "net/door.hpp"
#include "net/upstream.hpp"
#include "stand_caller.hpp"
#include "stand_host.hpp"

namespace curlewdoor::system {
namespace {

using std::chrono::seconds;

curlewdoor::Settings UpstreamSettings() {
  curlewdoor::Settings settings;
  settings.limits.connect_timeout = seconds(5);
  settings.limits.connection_idle = seconds(20);
  return settings;
}

// Takes GETs ahead. What becomes of a request is told by hand, or it goes to a host.
class AheadDoor : public net::Door, net::Inputs, net::Dialect {
 public:
  struct Seen {
    RequestId id;
    http_method method;
    std::string target, body;
  };

  AheadDoor(struct ev_loop* loop, net::Descriptors& descriptors)
      : Door(loop, descriptors, *this, 64 * 1024), upstream_(loop, settings_, descriptors, *this, *this) {}

  void Answer(RequestId id, std::string_view body, int status = 200) { Decline(id, status, {}, body); }
  void Begin(RequestId id, std::optional<std::size_t> length) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Own: 1\r\n" +
                             (length ? "Content-Length: " + std::to_string(*length) + "\r\n\r\n"
                                     : std::string("Transfer-Encoding: chunked\r\n\r\n"));
    http::Buffer buffer;
    buffer.Append(head);
    http::Message message(http::Kind::kResponse, buffer, http::Bodies::kStreamed);
    message.Read();
    BeginDelivery(id, message);
  }
  // Both of those behind and of connections' own.
  std::size_t waiting() const {
    return static_cast<std::size_t>(
        std::count_if(seen.begin(), seen.end(), [&](const Seen& s) { return RequestOf(s.id) != nullptr; }));
  }
  std::size_t host_connections() const { return upstream_.connections(); }
  void ReapAll() {
    Reap();
    upstream_.Reap();
  }
  const Seen* Find(const std::string& target) const {
    const auto it = std::find_if(seen.begin(), seen.end(), [&](const Seen& s) { return s.target == target; });
    return it != seen.end() ? &*it : nullptr;
  }

  std::size_t most_ahead = 8;
  std::optional<Address> host;  // where requests go
  Duration later{};             // that the clock goes ahead
  std::deque<Seen> seen;
  std::vector<RequestId> left, lost;
  std::function<void(const Seen&)> on_request;
  int socket_buffer = 0;

 private:
  std::size_t pipelined() const override { return most_ahead; }
  bool MayGoAhead(const http::Message& message) const override { return message.method() == HTTP_GET; }
  void OnRequest(net::Client& client) override {
    const http::Message& message = client.request();
    if (socket_buffer > 0 && client.socket() >= 0) LimitBuffer(client.socket(), SO_SNDBUF, socket_buffer);
    const RequestId id = Wait(client);
    seen.push_back({id, message.method(), std::string(message.target()), std::string(message.body())});
    if (host) return upstream_.Start({{id, 0}, HostId{1}, *host, Now() + seconds(60)}, message);
    if (on_request) on_request(Seen(seen.back()));
  }
  void OnLeft(RequestId id) override {
    left.push_back(id);
    upstream_.Drop(AttemptId{id, 0});
  }
  using Door::OnAnswerRoom;
  using Door::OnUpload;
  void OnAnswerRoom(RequestId id) override {
    if (by_hand.contains(id)) Feed(id);
    upstream_.ReadOn(id);
  }
  void OnAnswerLost(RequestId id) override {
    lost.push_back(id);
    by_hand.erase(id);
    upstream_.DropStream(id);
  }
  bool WantsAnswer(RequestId id) override { return WantsBytes(id); }
  void OnAnswerBytes(RequestId id, std::string_view bytes) override { DeliverBytes(id, bytes); }
  void OnAnswerEnd(RequestId id, bool whole) override { EndDelivery(id, whole); }
  TimePoint Now() override { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()) + later; }
  Duration Unseen(int) override { return {}; }
  void Post(Input input) override {
    if (const auto* answered = std::get_if<AttemptAnswered>(&input)) {
      const RequestId id = answered->attempt.request;
      if (!upstream_.stream_begins()) return Deliver(id, *upstream_.current_answer());
      BeginDelivery(id, *upstream_.current_answer());
      if (streams_.contains(id)) upstream_.StreamTo(id);
    } else if (const auto* broken = std::get_if<AttemptFailed>(&input)) {
      Fail(broken->attempt.request);
    }
  }
  std::initializer_list<std::string_view> Dropped() const override { return {}; }
  void AppendLines(const AttemptId&, Duration, std::string&) const override {}
  bool NotRun(const http::Message&) const override { return false; }
  std::string_view ProbeHead(bool) const override { return {}; }

  const curlewdoor::Settings settings_ = UpstreamSettings();
  net::Upstream upstream_;

 public:
  // Streamed by hand: what is to come, in pieces, as the client takes it; then whole or cut.
  struct Stream {
    std::string bytes;
    std::size_t piece = 1, at = 0;
    bool whole = true, ends = true;
  };
  void Feed(RequestId id) {
    for (auto it = by_hand.find(id); it != by_hand.end() && WantsBytes(id); it = by_hand.find(id)) {
      Stream& stream = it->second;
      if (stream.at < stream.bytes.size()) {
        const std::string piece = stream.bytes.substr(stream.at, stream.piece);
        stream.at += piece.size();
        DeliverBytes(id, piece);
        continue;
      }
      if (!stream.ends) return;
      const bool whole = stream.whole;
      by_hand.erase(it);
      return EndDelivery(id, whole);
    }
  }
  std::map<RequestId, Stream> by_hand;
};

struct Stand {
  Stand() {
    std::string error;
    BOOST_REQUIRE_MESSAGE(door.Listen({0x7f000001, 0}, error), error);
    door.StartAccepting();
  }
  bool Until(const std::function<bool()>& holds) {
    return loop.Until(holds, [&] { door.ReapAll(); });
  }
  // All that is on its way comes.
  void Settle() {
    for (int i = 0; i < 4; ++i) ev_run(loop.get(), EVRUN_NOWAIT);
  }
  bool Came(Caller& caller, std::size_t answers) {
    return Until([&] { return caller.over || Split(caller.came, false).whole.size() >= answers; }) &&
           Split(caller.came, caller.over).whole.size() >= answers;
  }
  bool Sees(std::size_t requests) {
    return Until([&] { return door.seen.size() >= requests; });
  }

  Loop loop;
  net::Descriptors descriptors{256};
  AheadDoor door{loop.get(), descriptors};
};

std::string Get(int number, std::string_view lines = "") {
  return "GET /" + std::to_string(number) + " HTTP/1.1\r\nHost: x\r\n" + std::string(lines) + "\r\n";
}

std::string Post(int number, std::string_view body) {
  return "POST /" + std::to_string(number) +
         " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

std::string Text(std::size_t size, std::size_t seed) {
  std::string text(size, ' ');
  for (std::size_t i = 0; i < size; ++i)
    text[i] = static_cast<char>('a' + (i * 31 + i / 977 + seed * 7 + i / 89 * seed) % 26);
  return text;
}

std::string InChunks(std::string_view body, std::mt19937_64& rng, std::size_t most) {
  std::string bytes;
  while (!body.empty()) {
    const std::string_view part = body.substr(0, 1 + rng() % most);
    bytes.append(http::ChunkLine(part.size())).append(part).append("\r\n");
    body.remove_prefix(part.size());
  }
  return bytes + "0\r\n\r\n";
}

// ---- By hand ------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(AllAreSeenBeforeTheFirstIsAnswered) {
  Stand stand;
  Caller caller(stand.loop.get(), stand.door.port());
  std::string bytes;
  for (int i = 0; i < 6; ++i) bytes += Get(i);
  caller.Write(bytes);
  BOOST_REQUIRE(stand.Sees(6));
  BOOST_TEST(caller.came == "");
  for (int i = 0; i < 6; ++i)
    BOOST_TEST(stand.door.seen[static_cast<std::size_t>(i)].target == "/" + std::to_string(i));
}

// Any order of five.
BOOST_AUTO_TEST_CASE(AnswersGoOutInTheOrderOfRequests) {
  std::vector<std::size_t> order{0, 1, 2, 3, 4};
  do {
    Stand stand;
    Caller caller(stand.loop.get(), stand.door.port());
    for (int i = 0; i < 5; ++i) caller.Write(Get(i));
    BOOST_REQUIRE(stand.Sees(5));
    for (const std::size_t i : order) stand.door.Answer(stand.door.seen[i].id, Text(100 * i, i));
    BOOST_REQUIRE(stand.Came(caller, 5));
    const Answers answers = Split(caller.came, false);
    BOOST_TEST(answers.rest == "");
    for (std::size_t i = 0; i < 5; ++i) BOOST_TEST((answers.whole[i].body == Text(100 * i, i)));
    caller.Write(Get(9));  // and it goes on
    BOOST_REQUIRE(stand.Sees(6));
  } while (std::next_permutation(order.begin(), order.end()));
}

BOOST_AUTO_TEST_CASE(NoMoreAreTakenAtOnceThanMayBe) {
  for (const std::size_t most : {0ul, 1ul, 3ul, 8ul}) {
    Stand stand;
    stand.door.most_ahead = most;
    Caller caller(stand.loop.get(), stand.door.port());
    std::string bytes;
    for (int i = 0; i < 40; ++i) bytes += Get(i);
    caller.Write(bytes);
    std::size_t answered = 0;
    while (answered < 40) {
      BOOST_REQUIRE(stand.Sees(answered + 1));
      stand.Settle();
      BOOST_REQUIRE_LE(stand.door.seen.size(), answered + 1 + most);
      if (answered == 0) BOOST_REQUIRE_EQUAL(stand.door.seen.size(), 1 + most);
      stand.door.Answer(stand.door.seen[answered].id, std::to_string(answered));
      BOOST_REQUIRE(stand.Came(caller, ++answered));
    }
    const Answers answers = Split(caller.came, false);
    for (std::size_t i = 0; i < 40; ++i) BOOST_REQUIRE_EQUAL(answers.whole[i].body, std::to_string(i));
  }
}

BOOST_AUTO_TEST_CASE(OthersAreServedInTheirTurn) {
  const std::string chunked =
      "GET /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
  const std::string with_body = "GET /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
  const std::string large = Post(1, Text(150'000, 3));
  for (const std::string& second : {Post(1, "hi"), Post(1, ""), chunked, with_body, large}) {
    Stand stand;
    Caller caller(stand.loop.get(), stand.door.port());
    caller.Write(Get(0) + second + Get(2));
    BOOST_REQUIRE(stand.Sees(1));
    stand.Settle();
    BOOST_REQUIRE_EQUAL(stand.door.seen.size(), 1u);
    stand.door.Answer(stand.door.seen[0].id, "0");
    BOOST_REQUIRE(stand.Sees(2));
    BOOST_TEST(stand.door.seen[1].target == "/1");
    const RequestId second_id = stand.door.seen[1].id;
    while (stand.door.uploading(second_id)) {
      stand.Settle();
      stand.door.TakeUpload(second_id);
    }
    stand.door.Answer(second_id, "1");
    BOOST_REQUIRE(stand.Sees(3));
    stand.door.Answer(stand.door.seen[2].id, "2");
    BOOST_REQUIRE(stand.Came(caller, 3));
    for (std::size_t i = 0; i < 3; ++i)
      BOOST_TEST(Split(caller.came, false).whole[i].body == std::to_string(i));
  }
}

BOOST_AUTO_TEST_CASE(TornInputGivesTheSame) {
  const std::string three = Get(0) + Get(1, "X-More: 1\r\n") + Get(2),
                    other = Get(0) + Post(1, "hi") + Get(2);
  for (const std::string& bytes : {three, other}) {
    Stand stand;
    for (std::size_t at = 1; at < bytes.size(); ++at) {
      stand.door.seen.clear();
      Caller caller(stand.loop.get(), stand.door.port());
      caller.Write(bytes.substr(0, at));
      stand.Settle();
      caller.Write(bytes.substr(at));
      const bool ahead = bytes == three;
      BOOST_TEST_CONTEXT("split at " << at) {
        BOOST_REQUIRE(stand.Sees(ahead ? 3 : 1));
        if (ahead)
          for (const std::size_t i : {2ul, 0ul, 1ul})
            stand.door.Answer(stand.door.seen[i].id, "answer " + std::to_string(i));
        for (std::size_t i = 0; !ahead && i < 3; ++i) {
          BOOST_REQUIRE(stand.Sees(i + 1));
          if (i == 1) BOOST_TEST(stand.door.seen[1].body == "hi");
          stand.door.Answer(stand.door.seen[i].id, "answer " + std::to_string(i));
        }
        BOOST_REQUIRE(stand.Came(caller, 3));
        const Answers answers = Split(caller.came, false);
        for (std::size_t i = 0; i < 3; ++i)
          BOOST_TEST(answers.whole[i].body == "answer " + std::to_string(i));
        BOOST_TEST(answers.rest == "");
        BOOST_TEST(stand.door.seen.size() == 3u);
      }
      stand.door.ReapAll();
    }
  }
}

BOOST_AUTO_TEST_CASE(WhatIsNoRequestBehindIs400InItsTurn) {
  Stand stand;
  Caller caller(stand.loop.get(), stand.door.port());
  caller.Write(Get(0) + Get(1) + "not http\r\n\r\n" + Get(2));
  BOOST_REQUIRE(stand.Sees(2));
  stand.Settle();
  BOOST_REQUIRE_EQUAL(stand.door.seen.size(), 2u);
  stand.door.Answer(stand.door.seen[1].id, "1");
  stand.door.Answer(stand.door.seen[0].id, "0");
  BOOST_REQUIRE(stand.Came(caller, 3));
  BOOST_TEST(Split(caller.came, false).whole[2].status == 400);
  BOOST_TEST(stand.Until([&] { return caller.over; }));
  BOOST_TEST(stand.door.seen.size() == 2u);
}

BOOST_AUTO_TEST_CASE(NothingIsTakenBehindOneThatCloses) {
  for (const bool first : {true, false}) {
    Stand stand;
    Caller caller(stand.loop.get(), stand.door.port());
    caller.Write((first ? "" : Get(0)) + Get(1, "Connection: close\r\n") + Get(2) + Get(3));
    const std::size_t all = first ? 1 : 2;
    BOOST_REQUIRE(stand.Sees(all));
    stand.Settle();
    for (std::size_t i = all; i > 0; --i) stand.door.Answer(stand.door.seen[i - 1].id, "x");
    BOOST_REQUIRE(stand.Until([&] { return caller.over; }));
    BOOST_TEST(Split(caller.came, true).whole.size() == all);
    BOOST_TEST(stand.door.seen.size() == all);
  }
}

// A stream without a length to a client of HTTP/1.0 ends with its connection.
BOOST_AUTO_TEST_CASE(AnAnswerThatClosesDropsThoseBehind) {
  const std::string old = "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
  for (const bool first : {true, false}) {
    Stand stand;
    Caller caller(stand.loop.get(), stand.door.port());
    caller.Write(first ? old + Get(2) + Get(3) + Get(4) : Get(0) + old + Get(2) + Get(3) + Get(4));
    const std::size_t all = first ? 4 : 5, at = all - 4;
    BOOST_REQUIRE(stand.Sees(all));
    const auto id = [&](std::size_t i) { return stand.door.seen[i].id; };
    stand.door.Answer(id(at + 2), "never sent");
    stand.door.Begin(id(at + 3), std::nullopt);  // nor this
    stand.door.Begin(id(at), std::nullopt);
    if (!first) stand.door.Answer(id(0), "0");
    stand.door.by_hand[id(at)] = {Text(30'000, 1), 7'000};
    stand.door.Feed(id(at));
    BOOST_REQUIRE(stand.Until([&] { return caller.over; }));
    const Answers answers = Split(caller.came, true);
    BOOST_REQUIRE_EQUAL(answers.whole.size(), at + 1);
    BOOST_TEST(answers.whole.back().closes);
    BOOST_TEST((answers.whole.back().body == Text(30'000, 1)));
    BOOST_REQUIRE_EQUAL(stand.door.left.size(), 1u);
    BOOST_TEST((stand.door.left[0] == id(at + 1)));
    BOOST_REQUIRE_EQUAL(stand.door.lost.size(), 1u);
    BOOST_TEST((stand.door.lost[0] == id(at + 3)));
    caller.Close();
    BOOST_TEST(stand.Until([&] { return stand.door.connections() == 0; }));
  }
}

BOOST_AUTO_TEST_CASE(AClientThatClosesLeavesAll) {
  for (const bool reset : {false, true})
    for (std::size_t answered = 0; answered < 4; ++answered) {
      Stand stand;
      Caller caller(stand.loop.get(), stand.door.port());
      for (int i = 0; i < 5; ++i) caller.Write(Get(i));
      BOOST_REQUIRE(stand.Sees(5));
      for (std::size_t i = 0; i < answered; ++i) stand.door.Answer(stand.door.seen[i].id, "x");
      stand.door.Begin(stand.door.seen[answered].id, 1'000'000);  // in the middle of it
      stand.door.Answer(stand.door.seen[4].id, "x");              // or this, in vain
      reset ? caller.Reset() : caller.Close();
      BOOST_REQUIRE(stand.Until([&] { return stand.door.connections() == 0; }));
      const std::size_t waited = 4 - std::min<std::size_t>(4, answered + 1);
      BOOST_TEST(stand.door.left.size() == waited);
      BOOST_TEST(stand.door.lost.size() == 1u);
      BOOST_TEST(stand.door.waiting() == 0u);
      BOOST_TEST(stand.door.deliveries() == 0u);
      for (const AheadDoor::Seen& seen : stand.door.seen) stand.door.Answer(seen.id, "to nobody");
    }
}

// All that were taken are answered before the close, in whatever order they are; none is taken from then on.
BOOST_AUTO_TEST_CASE(DrainingAnswersAllThatWereTaken) {
  for (std::size_t before = 0; before <= 2; ++before) {
    std::vector<std::size_t> order{0, 1, 2};
    do {
      Stand stand;
      Caller caller(stand.loop.get(), stand.door.port());
      for (int i = 0; i < 3; ++i) caller.Write(Get(i));
      BOOST_REQUIRE(stand.Sees(3));
      for (std::size_t i = 0; i < 3; ++i) {
        if (i == before) {
          stand.door.Drain();
          caller.Write(Get(3));
          stand.Settle();
        }
        stand.door.Answer(stand.door.seen[order[i]].id, std::to_string(order[i]));
      }
      BOOST_TEST_CONTEXT("before " << before << " order " << order[0] << order[1] << order[2]) {
        BOOST_REQUIRE(stand.Came(caller, 3));
        // What came behind them is not read, or is the last: no answer before it closes.
        BOOST_REQUIRE(stand.Sees(3));
        if (stand.door.seen.size() > 3) stand.door.Answer(stand.door.seen[3].id, "3");
        BOOST_REQUIRE(stand.Until([&] { return caller.over; }));
        const Answers answers = Split(caller.came, true);
        BOOST_REQUIRE_EQUAL(answers.whole.size(), stand.door.seen.size());
        BOOST_TEST(answers.rest == "");
        for (std::size_t i = 0; i < answers.whole.size(); ++i) {
          BOOST_TEST(answers.whole[i].body == std::to_string(i));
          BOOST_TEST(answers.whole[i].closes == (i + 1 == answers.whole.size()));
        }
        BOOST_TEST(stand.door.left.empty());
      }
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

// The last one's answer was made, without a word of the end, before the end began; nothing more comes.
BOOST_AUTO_TEST_CASE(DrainingClosesBehindAnAnswerThatDidNotKnow) {
  Stand stand;
  Caller caller(stand.loop.get(), stand.door.port());
  caller.Write(Get(0) + Get(1));
  BOOST_REQUIRE(stand.Sees(2));
  stand.door.Answer(stand.door.seen[1].id, "1");
  stand.door.Drain();
  stand.door.Answer(stand.door.seen[0].id, "0");
  BOOST_REQUIRE(stand.Came(caller, 2));
  BOOST_TEST(stand.Until([&] { return caller.over; }));
}

// An answer that is cut takes those before it with it in no case.
BOOST_AUTO_TEST_CASE(ACutAnswerBehindSparesThoseBefore) {
  for (const bool known : {false, true}) {
    Stand stand;
    Caller caller(stand.loop.get(), stand.door.port());
    for (int i = 0; i < 4; ++i) caller.Write(Get(i));
    BOOST_REQUIRE(stand.Sees(4));
    const auto id = [&](std::size_t i) { return stand.door.seen[i].id; };
    stand.door.Begin(id(2), known ? std::optional<std::size_t>(1000) : std::nullopt);
    stand.door.EndDelivery(id(2), false);
    stand.Settle();
    stand.door.Answer(id(1), "1");
    stand.door.Answer(id(0), "0");
    BOOST_REQUIRE(stand.Until([&] { return caller.over; }));
    const Answers answers = Split(caller.came, true);
    BOOST_REQUIRE_EQUAL(answers.whole.size(), 2u);
    BOOST_TEST(answers.whole[0].body == "0");
    BOOST_TEST(answers.whole[1].body == "1");
    BOOST_TEST(answers.rest.starts_with("HTTP/1.1 200 "));
    BOOST_REQUIRE_EQUAL(stand.door.left.size(), 1u);
    BOOST_TEST((stand.door.left[0] == id(3)));
  }
}

// Who takes nothing of answers behind the first is closed, as one is that takes nothing of the first.
BOOST_AUTO_TEST_CASE(AStalledReaderOfThoseBehindIsClosed) {
  for (const bool streamed : {false, true}) {
    Stand stand;
    stand.door.socket_buffer = 4096;
    Caller caller(stand.loop.get(), stand.door.port(), false, 4096);
    caller.Write(Get(0) + Get(1) + Get(2));
    BOOST_REQUIRE(stand.Sees(3));
    const auto id = [&](std::size_t i) { return stand.door.seen[i].id; };
    stand.door.Answer(id(0), "0");
    if (streamed) {
      stand.door.Begin(id(1), 4'000'000);
      stand.door.by_hand[id(1)] = {Text(4'000'000, 1), 500'000};
      stand.door.Feed(id(1));
    } else {
      stand.door.Answer(id(1), Text(4'000'000, 1));
    }
    stand.Settle();
    stand.door.CheckTimes();
    stand.door.later = seconds(4);
    stand.door.CheckTimes();
    BOOST_REQUIRE_EQUAL(stand.door.connections(), 1u);
    stand.door.later = seconds(12);
    stand.door.CheckTimes();
    BOOST_TEST(stand.door.connections() == 0u);
    BOOST_TEST(stand.door.left.size() == 1u);
  }
}

// One that takes its time over all of them, but does take them, is not closed; nor one whose answers take
// long.
BOOST_AUTO_TEST_CASE(ASteadyReaderOfThoseBehindIsNot) {
  Stand stand;
  stand.door.socket_buffer = 4096;
  Caller caller(stand.loop.get(), stand.door.port(), false, 4096);
  caller.Write(Get(0) + Get(1) + Get(2));
  BOOST_REQUIRE(stand.Sees(3));
  const auto id = [&](std::size_t i) { return stand.door.seen[i].id; };
  stand.door.Answer(id(0), "0");
  stand.door.later += seconds(30);  // nothing is there to be read
  stand.door.CheckTimes();
  stand.door.Answer(id(1), Text(1'000'000, 1));
  for (int i = 0; i < 2000 && Split(caller.came, false).whole.size() < 2; ++i) {
    stand.door.later += std::chrono::milliseconds(100);
    caller.Take(10'000);
    stand.Settle();
    stand.door.CheckTimes();
  }
  stand.door.Answer(id(2), "2");
  caller.ReadOn();
  BOOST_REQUIRE(stand.Came(caller, 3));
  BOOST_TEST((Split(caller.came, false).whole[1].body == Text(1'000'000, 1)));
}

// ---- By a host ----------------------------------------------------------------------------------------

// A host whose answers begin when they are released.
struct Hosted : Stand {
  Hosted() {
    host.handle = [this](StandHost::Link& link, const StandHost::Request& request) {
      at[request.target] = &link;
    };
    door.host = host.address();
  }
  bool Arrived(std::size_t requests) {
    return Until([&] { return at.size() >= requests; });
  }
  void Release(int number, std::string_view bytes) { at.at("/" + std::to_string(number))->Write(bytes); }

  StandHost host{loop.get()};
  std::map<std::string, StandHost::Link*> at;
};

constexpr std::string_view kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Long answers of a host behind one another, released in any order, whole and in their turn, also to a client
// that reads slowly.
BOOST_AUTO_TEST_CASE(StreamedAnswersArriveWholeInTheirTurn) {
  for (const bool slow : {false, true})
    for (std::uint64_t seed = 1; seed <= (slow ? 6 : 30); ++seed) {
      std::mt19937_64 rng(seed);
      Hosted stand;
      if (slow) stand.door.socket_buffer = 4096;
      Caller caller(stand.loop.get(), stand.door.port(), !slow, slow ? 4096 : 0);
      const std::size_t count = 2 + rng() % 5;
      std::string requests;
      std::vector<std::string> bodies;
      for (std::size_t i = 0; i < count; ++i) {
        requests += Get(static_cast<int>(i));
        // Some short ones between them.
        bodies.push_back(Text(i > 0 && rng() % 4 == 0 ? rng() % 500 : 40'000 + rng() % 160'000, seed + i));
      }
      caller.Write(requests);
      BOOST_REQUIRE(stand.Arrived(count));
      std::vector<int> order;
      for (std::size_t i = 0; i < count; ++i) order.push_back(static_cast<int>(i));
      std::shuffle(order.begin(), order.end(), rng);
      if (seed % 3 == 0) std::iota(order.begin(), order.end(), 0);
      if (seed % 3 == 1) std::iota(order.rbegin(), order.rend(), 0);
      // In two or more parts each, of which others come in between.
      std::vector<std::pair<int, std::string>> parts;
      for (const int i : order) {
        std::string bytes(kChunkedHead);
        bytes += InChunks(bodies[static_cast<std::size_t>(i)], rng, 30'000);
        const std::size_t cut = rng() % bytes.size();
        parts.emplace_back(i, bytes.substr(0, cut));
        parts.emplace_back(i, bytes.substr(cut));
      }
      std::stable_sort(parts.begin(), parts.end(), [&](const auto& a, const auto& b) {
        return seed % 2 == 0 && a.first != b.first && a.first % 2 < b.first % 2;
      });
      for (const auto& [i, bytes] : parts) {
        stand.Release(i, bytes);
        stand.Settle();
      }
      BOOST_TEST_CONTEXT("slow " << slow << " seed " << seed) {
        const auto turn = [&] {
          stand.door.ReapAll();
          if (slow) caller.Take(4'000 + seed * 4'000);
        };
        BOOST_REQUIRE(
            stand.loop.Until([&] { return caller.over || Split(caller.came, false).whole.size() >= count; },
                             turn, seconds(20)));
        const Answers answers = Split(caller.came, caller.over);
        BOOST_REQUIRE_EQUAL(answers.whole.size(), count);
        for (std::size_t i = 0; i < count; ++i) BOOST_REQUIRE((answers.whole[i].body == bodies[i]));
        BOOST_REQUIRE_EQUAL(answers.rest, "");
      }
    }
}

// A host that breaks off in the middle of a long answer behind others.
BOOST_AUTO_TEST_CASE(AHostThatBreaksOffSparesThoseBefore) {
  Hosted stand;
  Caller caller(stand.loop.get(), stand.door.port());
  caller.Write(Get(0) + Get(1) + Get(2));
  BOOST_REQUIRE(stand.Arrived(3));
  std::mt19937_64 rng(1);
  const std::string first = Text(100'000, 0);
  stand.Release(1, std::string(kChunkedHead) + InChunks(Text(50'000, 1), rng, 9'000).substr(0, 30'000));
  stand.Settle();
  stand.at["/1"]->Reset();
  stand.Settle();
  stand.Release(0, std::string(kChunkedHead) + InChunks(first, rng, 9'000));
  BOOST_REQUIRE(stand.Until([&] { return caller.over; }));
  const Answers answers = Split(caller.came, true);
  BOOST_REQUIRE_EQUAL(answers.whole.size(), 1u);
  BOOST_TEST((answers.whole[0].body == first));
  BOOST_TEST(stand.door.left.size() == 1u);
  stand.at["/2"]->Close();
  stand.at["/0"]->Close();
  BOOST_TEST(stand.Until([&] { return stand.door.host_connections() == 0; }));
}

// ---- Schedules by seed --------------------------------------------------------------------------------

// A client, what it sends, and what is to come back for it.
class Schedule {
 public:
  Schedule(Stand& stand, std::uint64_t seed) : stand_(stand), rng_(seed) {
    door().seen.clear();
    door().left.clear();
    door().lost.clear();
    door().by_hand.clear();
    door().most_ahead = rng_() % 9;
    const bool small = Chance(4);
    door().socket_buffer = small ? 4096 : 0;
    caller_ = std::make_unique<Caller>(stand.loop.get(), stand.door.port(), !Chance(3), small ? 4096 : 0);
    const int count = 1 + static_cast<int>(rng_() % 12);
    for (int i = 0; i < count; ++i) {
      Asked asked;
      if (!Chance(4)) {
        asked.bytes = Get(i, Chance(3) ? "X-Some: " + Text(rng_() % 300, 1) + "\r\n" : "");
      } else {
        asked.ahead = false;
        asked.body = Text(rng_() % 3000, seed);
        asked.bytes = Post(i, asked.body);
      }
      if (Chance(60)) {
        asked.old = true;
        asked.ahead = true;
        asked.body.clear();
        asked.bytes = "GET /" + std::to_string(i) + " HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
      }
      asked.streamed = Chance(3);
      asked.chunked = Chance(2);
      asked.cut = asked.streamed && Chance(40);
      asked.closes = asked.cut || (asked.streamed && asked.chunked && asked.old);
      asked.answer = Text(Chance(3) ? rng_() % 70'000 : rng_() % 400, seed + static_cast<std::size_t>(i));
      to_send_ += asked.bytes;
      asked_.push_back(std::move(asked));
    }
    leaves_ = Chance(8);
    drains_ = Chance(10);
  }

  bool drained() const { return drained_; }

  void Run() {
    for (int step = 0; step < 20'000 && !Done(); ++step) {
      Act();
      ev_run(stand_.loop.get(), EVRUN_NOWAIT);
      if (Chance(8)) door().ReapAll();
      Check();
    }
    caller_->ReadOn();
    BOOST_REQUIRE(stand_.Until([&] {
      if (!drained_) FinishAll();
      return Done();
    }));
    Judge();
    caller_->Close();
    BOOST_REQUIRE(stand_.Until([&] { return door().connections() == 0; }));
    std::size_t ended = door().left.size() + door().lost.size();
    for (const Asked& asked : asked_) ended += asked.ended;
    BOOST_REQUIRE_EQUAL(ended, door().seen.size());  // each exactly once
    BOOST_REQUIRE_EQUAL(door().waiting() + door().deliveries(), 0u);
  }

 private:
  struct Asked {
    std::string bytes, body, answer;
    bool ahead = true, old = false, streamed = false, chunked = false, cut = false, closes = false;
    bool begun = false, ended = false;
  };

  AheadDoor& door() { return stand_.door; }
  bool Chance(std::uint64_t of) { return rng_() % of == 0; }
  std::size_t Answered() const { return Split(caller_->came, caller_->over).whole.size(); }
  // How many answers come: up to one that closes.
  std::size_t Last() const {
    for (std::size_t i = 0; i < asked_.size(); ++i)
      if (asked_[i].closes) return asked_[i].cut ? i : i + 1;
    return asked_.size();
  }
  bool Done() {
    if (left_) return door().connections() == 0;
    return caller_->over || (Answered() == asked_.size() && !drained_);
  }

  void Act() {
    switch (rng_() % 5) {
      case 0: {
        const std::size_t size = Chance(3) ? to_send_.size() : rng_() % 400;
        caller_->Write(to_send_.substr(0, size));
        to_send_.erase(0, size);
        break;
      }
      case 1:
        caller_->Take(1 + rng_() % 20'000);
        break;
      case 2:
        if (leaves_ && Chance(10) && !left_) {
          left_ = true;
          Chance(2) ? caller_->Reset() : caller_->Close();
        }
        if (drains_ && Chance(10) && !drained_ && !left_) {
          drained_ = true;
          door().Drain();
        }
        break;
      default:
        if (!door().seen.empty()) Say(rng_() % door().seen.size());
    }
  }

  // Goes on with the answer to one that is there.
  void Say(std::size_t i) {
    Asked& asked = asked_[i];
    const RequestId id = door().seen[i].id;
    if (asked.begun || door().RequestOf(id) == nullptr || door().uploading(id)) return Note(i);
    asked.begun = true;
    if (!asked.streamed) {
      door().Answer(id, asked.answer);
      asked.ended = true;
      return;
    }
    door().Begin(id, asked.chunked ? std::nullopt : std::optional(asked.answer.size() + asked.cut));
    const bool here = door().by_hand.contains(id) || StillOpen(id);
    if (!here) return;
    door().by_hand[id] = {asked.answer, 1 + rng_() % 20'000, 0, !asked.cut, false};
    Note(i);
  }
  bool StillOpen(RequestId id) {
    return std::find(door().lost.begin(), door().lost.end(), id) == door().lost.end();
  }
  // The end may come later than the last byte.
  void Note(std::size_t i) {
    const RequestId id = door().seen[i].id;
    const auto it = door().by_hand.find(id);
    if (it == door().by_hand.end()) return;
    door().Feed(id);
    const auto now = door().by_hand.find(id);
    if (now == door().by_hand.end()) return;
    if (asked_[i].cut && Chance(3)) {  // whatever of it is out
      door().by_hand.erase(now);
      asked_[i].ended = true;
      return door().EndDelivery(id, false);
    }
    if (now->second.at < now->second.bytes.size()) return;
    const bool whole = now->second.whole;
    door().by_hand.erase(now);
    asked_[i].ended = true;
    door().EndDelivery(id, whole);
  }
  void FinishAll() {
    caller_->Write(std::exchange(to_send_, ""));
    for (std::size_t i = 0; i < door().seen.size(); ++i) Say(i);
  }

  void Check() {
    BOOST_REQUIRE_LE(door().seen.size(), asked_.size());
    std::size_t open = 0;
    for (std::size_t i = 0; i < door().seen.size(); ++i) {
      BOOST_REQUIRE_EQUAL(door().seen[i].target, "/" + std::to_string(i));
      open += !asked_[i].ended;
    }
    BOOST_REQUIRE_LE(open, door().most_ahead + 1);
  }

  void Judge() {
    for (std::size_t i = 0; i < door().seen.size(); ++i)
      if (!door().uploading(door().seen[i].id)) BOOST_REQUIRE((door().seen[i].body == asked_[i].body));
    const Answers answers = Split(caller_->came, caller_->over);
    std::size_t whole = answers.whole.size();
    if (!left_ && !drained_) BOOST_REQUIRE_EQUAL(whole, Last());
    if (drained_ && !left_) {
      BOOST_REQUIRE_EQUAL(whole, std::min(door().seen.size(), Last()));
      BOOST_REQUIRE(door().left.empty() || Last() < asked_.size());
    }
    for (std::size_t i = 0; i < whole; ++i) BOOST_REQUIRE((answers.whole[i].body == asked_[i].answer));
    if (left_ || answers.rest.empty()) return;
    BOOST_REQUIRE(whole < asked_.size() && asked_[whole].cut);
  }

  Stand& stand_;
  std::mt19937_64 rng_;
  std::unique_ptr<Caller> caller_;
  std::vector<Asked> asked_;
  std::string to_send_;
  bool leaves_ = false, drains_ = false, left_ = false, drained_ = false;
};

BOOST_AUTO_TEST_CASE(SchedulesBySeed) {
#ifdef __SANITIZE_ADDRESS__
  constexpr std::uint64_t kSeeds = 300;
#else
  constexpr std::uint64_t kSeeds = 2000;
#endif
  auto stand = std::make_unique<Stand>();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) BOOST_TEST_CONTEXT("seed " << seed) {
      Schedule schedule(*stand, seed);
      schedule.Run();
      if (schedule.drained()) stand = std::make_unique<Stand>();
    }
}

}  // namespace
}  // namespace curlewdoor::system
