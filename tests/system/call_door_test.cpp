#include "system/call_door.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <list>
#include <utility>
#include <vector>

#include "loop.hpp"
#include "stand_caller.hpp"

namespace curlewdoor::system {
namespace {

constexpr std::size_t kMost = 200'000;
constexpr std::size_t kLarge = 3 * 1024 * 1024;  // an operator's configuration

// A door that answers each call with what it read, at once or when told.
struct Stand {
  explicit Stand(std::size_t most_body = kMost) : most(most_body) {
    std::string error;
    BOOST_REQUIRE_MESSAGE(door.Listen({0x7f000001, 0}, error), error);
    door.StartAccepting();
  }
  void Answer(const CallDoor::Call& call) {
    door.Reply(call.id, 200, call.method + " " + call.path + " " + std::to_string(call.body.size()),
               "text/plain");
  }
  // Until so many answers have come, or the other side has closed.
  bool Await(Plain& plain, std::size_t answers) {
    return loop.Until([&] { return Heads(plain) >= answers; }, [&] { door.Reap(); });
  }
  static std::size_t Heads(const Plain& plain) {
    std::size_t heads = 0;
    for (auto at = plain.came.find("HTTP/1.1 "); at != std::string::npos;
         at = plain.came.find("HTTP/1.1 ", at + 1))
      ++heads;
    return heads;
  }

  const std::size_t most;
  Loop loop;
  net::Descriptors descriptors{256};
  std::vector<CallDoor::Call> calls;
  bool at_once = true;
  CallDoor door{loop.get(), descriptors,
                [this](CallDoor::Call call) {
                  calls.push_back(call);
                  if (at_once) Answer(call);
                },
                most};
};

std::string Chunked(std::string_view body, std::size_t size) {
  std::string bytes = "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < body.size(); at += size) {
    const std::string_view part = body.substr(at, size);
    char line[20];
    std::snprintf(line, sizeof line, "%zx\r\n", part.size());
    bytes.append(line).append(part).append("\r\n");
  }
  return bytes + "0\r\n\r\n";
}

std::string WithLength(std::string_view path, std::string_view body) {
  return "POST " + std::string(path) +
         " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

std::string Text(std::size_t size) {
  std::string text(size, ' ');
  for (std::size_t i = 0; i < size; ++i) text[i] = static_cast<char>('a' + (i * 31 + i / 977) % 26);
  return text;
}

// Sends bytes as the other side takes them, in pieces.
void Feed(Stand& stand, Plain& plain, std::string_view bytes, std::size_t piece) {
  while (!bytes.empty()) {
    bytes.remove_prefix(plain.Write(bytes.substr(0, piece)));
    ev_run(stand.loop.get(), EVRUN_NOWAIT);
    if (plain.over) return;
  }
}

// Whether the last call of this path came whole, byte for byte.
bool CameWhole(const Stand& stand, std::string_view path, const std::string& body) {
  const auto call = std::find_if(stand.calls.rbegin(), stand.calls.rend(),
                                 [&](const CallDoor::Call& each) { return each.path == path; });
  return call != stand.calls.rend() && call->method == "POST" && call->body == body;
}

// The answer says that the connection ends, and it ends so that the answer can be read.
void RequireCleanEnd(Stand& stand, Plain& plain) {
  BOOST_REQUIRE(stand.loop.Until([&] { return plain.over; }, [&] { stand.door.CheckTimes(); }));
  BOOST_TEST(!plain.reset);
  BOOST_TEST(plain.came.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(Stand::Heads(plain) == 1u);
}

BOOST_AUTO_TEST_CASE(BodiesComeWholeHoweverTheyAreCut) {
  for (const std::size_t size : {0ul, 1ul, 1000ul, 65'535ul, 65'536ul, 65'537ul, 131'072ul, kMost})
    for (const std::size_t piece : {700ul, 16'384ul, 1'000'000ul}) {
      const std::string body = Text(size);
      for (const std::string& bytes : {Chunked(body, 4'000), Chunked(body, 70'000), WithLength("/c", body)}) {
        Stand stand;
        Plain plain(stand.loop.get(), stand.door.port());
        Feed(stand, plain, bytes, piece);
        BOOST_TEST_CONTEXT("size " << size << " piece " << piece) {
          BOOST_REQUIRE(stand.Await(plain, 1));
          BOOST_REQUIRE_EQUAL(stand.calls.size(), 1u);
          BOOST_REQUIRE(CameWhole(stand, "/c", body));
          BOOST_REQUIRE(plain.came.starts_with("HTTP/1.1 200 "));
        }
      }
    }
}

// Guards against calls that a gateway takes although it is about to end, also where a body becomes whole
// then.
BOOST_AUTO_TEST_CASE(OnceCallsAreDeclinedOnlyWhatWasTakenIsAnswered) {
  Stand stand;
  stand.at_once = false;
  Plain taken(stand.loop.get(), stand.door.port()), uploads(stand.loop.get(), stand.door.port());
  taken.Write(WithLength("/taken", "x"));
  BOOST_REQUIRE(stand.loop.Until([&] { return stand.calls.size() == 1u; }));
  const std::string body = WithLength("/long", Text(kMost));
  Feed(stand, uploads, body.substr(0, body.size() / 2), 16'384);
  BOOST_REQUIRE(stand.loop.Until([&] { return stand.door.waiting() == 2u; }));

  stand.door.DeclineCalls();
  Feed(stand, uploads, body.substr(body.size() / 2), 16'384);
  Plain late(stand.loop.get(), stand.door.port());
  late.Write(WithLength("/late", "x"));
  BOOST_REQUIRE(stand.Await(late, 1) && stand.Await(uploads, 1));
  BOOST_TEST(late.came.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(uploads.came.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(stand.calls.size() == 1u);
  BOOST_TEST(stand.door.waiting() == 1u);
  stand.Answer(stand.calls[0]);
  BOOST_REQUIRE(stand.Await(taken, 1));
  BOOST_TEST(taken.came.starts_with("HTTP/1.1 200 "));
  RequireCleanEnd(stand, taken);
}

BOOST_AUTO_TEST_CASE(OverTheBoundIs413) {
  const std::string body = Text(kMost + 1);
  for (const std::string& bytes : {Chunked(body, 4'000), Chunked(body, 70'000), WithLength("/c", body)}) {
    Stand stand;
    Plain plain(stand.loop.get(), stand.door.port());
    Feed(stand, plain, bytes, 16'384);
    BOOST_REQUIRE(stand.Await(plain, 1));
    BOOST_TEST(plain.came.starts_with("HTTP/1.1 413 "));
    BOOST_TEST(plain.came.ends_with("body: too large, at most 200000 bytes\n"));
    BOOST_TEST(stand.calls.empty());
    RequireCleanEnd(stand, plain);
    Plain next(stand.loop.get(), stand.door.port());
    next.Write(WithLength("/d", "well"));
    BOOST_TEST(stand.Await(next, 1));
    BOOST_TEST(next.came.starts_with("HTTP/1.1 200 "));
  }
}

// Of a length that is claimed and never sent, nothing is waited for.
BOOST_AUTO_TEST_CASE(AHugeLengthIs413AtOnce) {
  Stand stand;
  Plain plain(stand.loop.get(), stand.door.port());
  plain.Write("POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\nx");
  BOOST_TEST(stand.Await(plain, 1));
  BOOST_TEST(plain.came.starts_with("HTTP/1.1 413 "));
  BOOST_TEST(plain.came.ends_with("body: too large, at most 200000 bytes\n"));
  RequireCleanEnd(stand, plain);
}

BOOST_AUTO_TEST_CASE(ThreeMiBAreTakenAndOneByteMoreIsNot) {
  const std::string body = Text(kLarge), longer = Text(kLarge + 1);
  const auto forms = [](const std::string& text) {
    return std::vector{WithLength("/v1/config/replace", text), Chunked(text, 900), Chunked(text, 1'000'000)};
  };
  for (const std::size_t piece : {1'400ul, 100'000'000ul})
    for (std::size_t form = 0; form < 3; ++form) {
      BOOST_TEST_CONTEXT("form " << form << " piece " << piece) {
        Stand stand(kLarge);
        Plain taken(stand.loop.get(), stand.door.port()), refused(stand.loop.get(), stand.door.port());
        Feed(stand, taken, forms(body)[form], piece);
        BOOST_REQUIRE(stand.Await(taken, 1));
        BOOST_REQUIRE(CameWhole(stand, form == 0 ? "/v1/config/replace" : "/c", body));
        Feed(stand, refused, forms(longer)[form], piece);
        BOOST_REQUIRE(stand.Await(refused, 1));
        BOOST_TEST(refused.came.starts_with("HTTP/1.1 413 "));
        BOOST_TEST(refused.came.ends_with("body: too large, at most 3145728 bytes\n"));
        RequireCleanEnd(stand, refused);
        BOOST_TEST(stand.calls.size() == 1u);
        BOOST_TEST(stand.door.held() == 0u);
      }
    }
}

// One that comes slowly holds up nobody.
BOOST_AUTO_TEST_CASE(CallsAreServedWhileALongOneComes) {
  Stand stand(kLarge);
  const std::string body = Text(kLarge), bytes = WithLength("/slow", body);
  Plain slow(stand.loop.get(), stand.door.port()), other(stand.loop.get(), stand.door.port());
  constexpr std::size_t kPart = 100'000;
  std::size_t answers = 0;
  for (std::size_t at = 0; at < bytes.size(); at += kPart) {
    Feed(stand, slow, std::string_view(bytes).substr(at, kPart), kPart);
    other.Write("GET /quick HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(stand.Await(other, ++answers));
    stand.door.CheckTimes();
  }
  BOOST_REQUIRE(stand.Await(slow, 1));
  BOOST_TEST(CameWhole(stand, "/slow", body));
}

BOOST_AUTO_TEST_CASE(ALongOneThatIsCutIsGoneAndTakenWhenItIsSentAgain) {
  Stand stand(kLarge);
  const std::string body = Text(kLarge);
  for (const std::string& bytes : {WithLength("/c", body), Chunked(body, 50'000)})
    for (const std::size_t cut : {70'000ul, 1'000'000ul, bytes.size() - 1}) {
      const std::size_t before = stand.calls.size();
      {
        Plain plain(stand.loop.get(), stand.door.port());
        Feed(stand, plain, std::string_view(bytes).substr(0, cut), 100'000);
        BOOST_REQUIRE(stand.loop.Until([&] { return stand.door.held() > 0; }));
      }
      BOOST_REQUIRE(stand.loop.Until([&] { return stand.door.connections() == 0; }));
      BOOST_TEST(stand.calls.size() == before);
      BOOST_TEST(stand.door.held() == 0u);
      stand.door.Reap();
      Plain again(stand.loop.get(), stand.door.port());
      for (const std::size_t time : {1u, 2u}) {  // and once more, as operators do
        Feed(stand, again, bytes, 100'000);
        BOOST_REQUIRE(stand.Await(again, time));
        BOOST_REQUIRE(CameWhole(stand, "/c", body));
        BOOST_TEST(stand.calls.size() == before + time);
      }
    }
}

BOOST_AUTO_TEST_CASE(SoManyLongOnesAtOnceAndTheNextIs503) {
  Stand stand(kLarge);
  stand.at_once = false;
  const std::string body = Text(kLarge);
  std::list<Plain> many;
  const auto send = [&](const std::string& bytes) -> Plain& {
    Plain& plain = many.emplace_back(stand.loop.get(), stand.door.port());
    Feed(stand, plain, bytes, 1'000'000);
    return plain;
  };
  for (std::size_t i = 0; i < CallDoor::kMostAtOnce; ++i)
    send(i % 2 == 0 ? WithLength("/c", body) : Chunked(body, 9'000));
  BOOST_REQUIRE(stand.loop.Until([&] { return stand.calls.size() == CallDoor::kMostAtOnce; }));
  BOOST_TEST(stand.door.held() == CallDoor::kMostAtOnce * kLarge);
  for (const std::string& bytes : {WithLength("/c", body), Chunked(body, 9'000)}) {
    Plain& refused = send(bytes);
    BOOST_REQUIRE(stand.Await(refused, 1));
    BOOST_TEST(refused.came.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(refused.came.ends_with("body: too many long ones at once, send it again later\n"));
    RequireCleanEnd(stand, refused);
  }
  Plain& small = send(WithLength("/small", "well"));  // is served all the same
  BOOST_REQUIRE(stand.loop.Until([&] { return stand.calls.size() == CallDoor::kMostAtOnce + 1; }));
  stand.Answer(stand.calls.back());
  BOOST_REQUIRE(stand.Await(small, 1));
  stand.Answer(stand.calls.front());  // makes room
  send(WithLength("/next", body));
  BOOST_REQUIRE(stand.loop.Until([&] { return stand.calls.size() == CallDoor::kMostAtOnce + 2; }));
  BOOST_TEST(CameWhole(stand, "/next", body));
}

// Guards against answers that nobody reads, each as long as a configuration, in more memory than control is
// granted.
BOOST_AUTO_TEST_CASE(ALongAnswerIsGivenOnlyWhereThereIsRoom) {
  constexpr std::size_t kTotal = 32 * 1024 * 1024, kLongAnswer = 900'000;
  constexpr std::size_t kCallers = 12;
  memory::Budget memory(kTotal);
  memory::Account& held = memory.account(memory::Share::kControl);
  Loop loop;
  net::Descriptors descriptors(256, net::Descriptors::WithCalls{}, memory);
  std::vector<RequestId> calls;
  CallDoor door(
      loop.get(), descriptors, [&](const CallDoor::Call& call) { calls.push_back(call.id); }, kMost,
      net::Use::kControl);
  std::string error;
  BOOST_REQUIRE_MESSAGE(door.Listen({0x7f000001, 0}, error), error);
  door.StartAccepting();
  std::vector<std::unique_ptr<Plain>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Plain>(loop.get(), door.port(), false));
    callers.back()->Write("GET /long HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  BOOST_REQUIRE(loop.Until([&] { return calls.size() == kCallers; }));
  for (const RequestId id : calls) {
    door.Reply(id, 200, std::string(kLongAnswer, 'a'));
    BOOST_TEST(!held.over());
  }
  BOOST_TEST(held.held() > held.limit() / 2);
  Plain reader(loop.get(), door.port());  // a short answer is given all the same
  reader.Write("GET /short HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(loop.Until([&] { return calls.size() == kCallers + 1; }));
  door.Reply(calls.back(), 200, "short");
  BOOST_TEST(loop.Until([&] { return reader.came.ends_with("short"); }));
  reader.Write("GET /long HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(loop.Until([&] { return calls.size() == kCallers + 2; }));
  reader.came.clear();
  door.Reply(calls.back(), 200, std::string(kLongAnswer, 'a'));
  BOOST_TEST(loop.Until([&] { return reader.came.starts_with("HTTP/1.1 503"); }));
  BOOST_TEST(reader.came.find("Retry-After: ") != std::string::npos);
  callers.clear();
  BOOST_REQUIRE(loop.Until([&] { return door.connections() <= 1; }, [&] { door.Reap(); }));
  door.Reap();
  BOOST_TEST(held.held() < kLongAnswer);
}

// Guards against answers that the system holds for clients that don't read, whether they are here or have
// gone.
BOOST_AUTO_TEST_CASE(AnAnswerThatHasNotLeftCountsAndGoesWithItsConnection) {
  constexpr std::size_t kTotal = 8 * 1024 * 1024;  // 1 MiB for control
  constexpr std::size_t kAnswer = 100'000;
  memory::Budget memory(kTotal);
  memory::Account& held = memory.account(memory::Share::kControl);
  Loop loop;
  net::Descriptors descriptors(256, net::Descriptors::WithCalls{}, memory);
  std::vector<RequestId> calls;
  CallDoor door(
      loop.get(), descriptors, [&](const CallDoor::Call& call) { calls.push_back(call.id); }, kMost,
      net::Use::kControl);
  std::string error;
  BOOST_REQUIRE_MESSAGE(door.Listen({0x7f000001, 0}, error), error);
  door.StartAccepting();
  Caller client(loop.get(), door.port(), false, 4096);
  client.Write("GET /long HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(loop.Until([&] { return calls.size() == 1; }));
  const std::size_t before = held.held();
  door.Reply(calls.back(), 200, std::string(kAnswer, 'a'));
  BOOST_TEST(held.held() >= before + kAnswer - 4096);  // its system has taken some
  door.CheckTimes();
  BOOST_TEST(held.held() >= before + kAnswer / 2);
  client.ReadOn();
  BOOST_REQUIRE(loop.Until([&] { return client.came.size() >= kAnswer; }));
  BOOST_TEST(loop.Until([&] { return held.held() < before + kAnswer / 4; }, [&] { door.CheckTimes(); }));

  memory::Charge rest(&held);  // as if others held the rest of the share
  Plain deaf(loop.get(), door.port(), false);
  deaf.Write("GET /long HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(loop.Until([&] { return calls.size() == 2; }));
  door.Reply(calls.back(), 200, std::string(kAnswer, 'a'));
  rest.Set(held.limit() - held.held() + 1);
  door.RelieveMemory();
  door.Reap();
  BOOST_TEST(door.counts().evicted >= 1u);
  deaf.ReadOn();
  BOOST_REQUIRE(loop.Until([&] { return deaf.over; }));
  BOOST_TEST(deaf.reset);
}

// Guards against long bodies that are set aside for and that nobody counts.
BOOST_AUTO_TEST_CASE(WhoeverHasMostSetAsideGoesFirst) {
  constexpr std::size_t kTotal = 2 * 1024 * 1024;  // 256 KiB for control
  constexpr std::size_t kSmall = 100'000;
  memory::Budget memory(kTotal);
  Loop loop;
  net::Descriptors descriptors(256, net::Descriptors::WithCalls{}, memory);
  std::size_t calls = 0;
  CallDoor door(
      loop.get(), descriptors, [&](const CallDoor::Call&) { ++calls; }, kMost, net::Use::kControl);
  std::string error;
  BOOST_REQUIRE_MESSAGE(door.Listen({0x7f000001, 0}, error), error);
  door.StartAccepting();
  Plain large(loop.get(), door.port()), small(loop.get(), door.port());
  small.Write("POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n");
  BOOST_REQUIRE(loop.Until([&] { return door.held() == kSmall; }));
  large.Write("POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(kMost) + "\r\n\r\n");
  BOOST_REQUIRE(loop.Until([&] { return door.held() == kSmall + kMost; }));
  door.RelieveMemory();
  door.Reap();
  BOOST_TEST(loop.Until([&] { return large.over; }));
  BOOST_TEST(!small.over);
  BOOST_TEST(door.held() == kSmall);
  const std::string body(kSmall, 'b');
  for (std::size_t sent = 0; sent < body.size(); ev_run(loop.get(), EVRUN_NOWAIT))
    sent += small.Write(std::string_view(body).substr(sent));
  BOOST_TEST(loop.Until([&] { return calls == 1; }));
}

BOOST_AUTO_TEST_CASE(PipelinedCallsAreAnsweredInOrder) {
  for (const bool at_once : {true, false}) {
    Stand stand;
    stand.at_once = at_once;
    Plain plain(stand.loop.get(), stand.door.port());
    std::string bytes;
    for (int i = 0; i < 20; ++i) {
      const std::string path = "/" + std::to_string(i), body = Text(static_cast<std::size_t>(i) * 10);
      bytes += i % 3 == 0 ? "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" : WithLength(path, body);
    }
    plain.Write(bytes);
    if (!at_once) {
      for (std::size_t i = 0; i < 20; ++i) {
        BOOST_REQUIRE(stand.loop.Until([&] { return stand.calls.size() == i + 1; }));
        BOOST_REQUIRE_EQUAL(Stand::Heads(plain), i);  // none is taken before the one before is answered
        stand.Answer(stand.calls[i]);
        BOOST_REQUIRE(stand.Await(plain, i + 1));
      }
    }
    BOOST_REQUIRE(stand.Await(plain, 20));
    std::size_t at = 0;
    for (int i = 0; i < 20; ++i) {
      at = plain.came.find((i % 3 == 0 ? "GET /" : "POST /") + std::to_string(i) + " ", at);
      BOOST_REQUIRE(at != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(OneThatLeavesIsForgotten) {
  Stand stand;
  stand.at_once = false;
  {
    Plain plain(stand.loop.get(), stand.door.port());
    plain.Write(WithLength("/c", "x"));
    BOOST_REQUIRE(stand.loop.Until([&] { return stand.calls.size() == 1; }));
  }
  BOOST_TEST(stand.loop.Until([&] { return stand.door.connections() == 0; }));
  stand.Answer(stand.calls[0]);  // to nobody
  stand.door.Reap();
  {
    Plain plain(stand.loop.get(), stand.door.port());
    Feed(stand, plain, Chunked(Text(150'000), 9'000).substr(0, 120'000), 16'384);
    BOOST_REQUIRE(stand.loop.Until([&] { return stand.door.uploads() == 1; }));
  }
  BOOST_TEST(stand.loop.Until([&] { return stand.door.connections() == 0; }));
  BOOST_TEST(stand.calls.size() == 1u);
  BOOST_TEST(stand.door.held() == 0u);
}

BOOST_AUTO_TEST_CASE(WhatIsNoRequestIs400) {
  Stand stand;
  Plain plain(stand.loop.get(), stand.door.port());
  plain.Write("not http\r\n\r\n");
  BOOST_TEST(stand.Await(plain, 1));
  BOOST_TEST(plain.came.starts_with("HTTP/1.1 400 "));
  Plain both(stand.loop.get(), stand.door.port());  // a way to smuggle a second request
  both.Write(
      "POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  BOOST_TEST(stand.Await(both, 1));
  BOOST_TEST(both.came.starts_with("HTTP/1.1 400 "));
  BOOST_TEST(stand.calls.empty());
}

// ---- Calls that wait long --------------------------------------------------------------------------------

// A door whose clock can be set ahead.
class DoorAhead : public CallDoor {
 public:
  using CallDoor::CallDoor;
  Duration ahead{};

 private:
  TimePoint Now() override { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()) + ahead; }
};

// Watches that wait: none is answered until it is told so.
struct WatchStand {
  WatchStand() {
    std::string error;
    BOOST_REQUIRE_MESSAGE(door.Listen({0x7f000001, 0}, error), error);
    door.SetOnLeft([this](RequestId id) { left.push_back(id); });
    door.StartAccepting();
  }
  void Take(std::size_t count) {
    BOOST_REQUIRE(loop.Until([&] { return calls.size() >= count; }));
    BOOST_REQUIRE_EQUAL(calls.size(), count);
  }
  // Lets time pass, and looks at the times of all connections once a second of it.
  void Pass(std::chrono::seconds time) {
    for (auto passed = std::chrono::seconds(0); passed < time; ++passed) {
      door.ahead += std::chrono::seconds(1);
      door.CheckTimes();
      ev_run(loop.get(), EVRUN_NOWAIT);
      door.Reap();
    }
  }

  Loop loop;
  net::Descriptors descriptors{2048};
  std::vector<CallDoor::Call> calls;
  std::vector<RequestId> left;
  DoorAhead door{loop.get(), descriptors, [this](CallDoor::Call call) { calls.push_back(std::move(call)); },
                 kMost};
};

constexpr char kWatchCall[] = "GET /v1/watch/g.?after=1&wait_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr char kReadCall[] = "GET /v1/cells/g.a/read HTTP/1.1\r\nHost: x\r\n\r\n";

BOOST_AUTO_TEST_CASE(ACallMayWaitLongerThanAnIdleConnection) {
  WatchStand stand;
  Plain plain(stand.loop.get(), stand.door.port());
  for (std::size_t time = 1; time <= 2; ++time) {  // and the next one on the same connection
    plain.Write(kWatchCall);
    stand.Take(time);
    stand.Pass(std::chrono::seconds(70));
    BOOST_TEST(!plain.over);
    BOOST_TEST(stand.left.empty());
    stand.door.Reply(stand.calls.back().id, 200, "{}", "application/json");
    BOOST_REQUIRE(stand.loop.Until([&] { return Stand::Heads(plain) == time; }));
  }
  stand.Pass(std::chrono::seconds(12));  // then it is idle
  BOOST_TEST(stand.loop.Until([&] { return plain.over; }));
  BOOST_TEST(stand.left.empty());
}

BOOST_AUTO_TEST_CASE(WhoeverLeavesAWaitingCallIsToldOnce) {
  WatchStand stand;
  {
    Plain plain(stand.loop.get(), stand.door.port());
    plain.Write(std::string(kWatchCall) + kReadCall);
    stand.Take(1);
  }
  BOOST_REQUIRE(stand.loop.Until([&] { return stand.door.connections() == 0; }));
  BOOST_REQUIRE_EQUAL(stand.left.size(), 1u);
  BOOST_TEST((stand.left[0] == stand.calls[0].id));
  stand.door.Reply(stand.calls[0].id, 200, "{}");  // to nobody
  stand.door.Reap();
  BOOST_TEST(stand.left.size() == 1u);
  BOOST_TEST(stand.calls.size() == 1u);  // the one behind it was never taken
}

BOOST_AUTO_TEST_CASE(WhatIsSentBehindAWaitingCallWaitsForItsTurn) {
  WatchStand stand;
  Plain plain(stand.loop.get(), stand.door.port());
  plain.Write(std::string(kWatchCall) + kReadCall + std::string(kReadCall).substr(0, 20));
  stand.Take(1);
  stand.Pass(std::chrono::seconds(30));
  BOOST_TEST(stand.calls.size() == 1u);
  stand.door.Reply(stand.calls[0].id, 200, "first");
  stand.Take(2);
  BOOST_TEST(stand.calls[1].path == "/v1/cells/g.a/read");
  stand.door.Reply(stand.calls[1].id, 200, "second");
  // The third one's time runs from now on, not from when its first bytes came.
  stand.door.CheckTimes();
  BOOST_TEST(!plain.over);
  plain.Write(std::string(kReadCall).substr(20));
  stand.Take(3);
  stand.door.Reply(stand.calls[2].id, 200, "third");
  BOOST_REQUIRE(stand.loop.Until([&] { return Stand::Heads(plain) == 3; }));
  BOOST_TEST(plain.came.find("first") < plain.came.find("second"));
  BOOST_TEST(plain.came.find("second") < plain.came.find("third"));
}

BOOST_AUTO_TEST_CASE(AThousandCallsWaitAndOthersAreServedMeanwhile) {
  constexpr std::size_t kMany = 1000;
  WatchStand stand;
  std::list<Plain> many;
  for (std::size_t i = 1; i <= kMany; ++i) {
    many.emplace_back(stand.loop.get(), stand.door.port()).Write(kWatchCall);
    stand.Take(i);
  }
  Plain other(stand.loop.get(), stand.door.port());
  other.Write(kReadCall);
  stand.Take(kMany + 1);
  stand.door.Reply(stand.calls.back().id, 200, "read");
  BOOST_REQUIRE(stand.loop.Until([&] { return Stand::Heads(other) == 1; }));
  for (std::size_t i = 0; i < kMany; i += 2) stand.door.Reply(stand.calls[i].id, 200, "{}");
  std::size_t answered = 0;
  BOOST_REQUIRE(stand.loop.Until([&] {
    answered = 0;
    for (const Plain& each : many) answered += Stand::Heads(each);
    return answered == kMany / 2;
  }));
  many.clear();
  BOOST_REQUIRE(stand.loop.Until([&] { return stand.door.connections() == 1; }));
  BOOST_TEST(stand.left.size() == kMany / 2);
}

}  // namespace
}  // namespace curlewdoor::system
