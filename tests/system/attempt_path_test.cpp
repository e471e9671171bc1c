// A real Front on loopback: requests that are half written, answers that are nobody's, statuses, how often a
// try is sent on, and connections of clients that rest.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "kitchen.hpp"
#include "system/call_door.hpp"

namespace curlewdoor::system {
namespace {

// A request whose body comes in two parts, and what became of its first attempt on the way.
struct Upload {
  Upload(Kitchen& kitchen, bool repeatable, bool chunked, int left = 4000)
      : kitchen(kitchen), caller(kitchen.loop.get(), kitchen.front->port()) {
    for (auto& host : kitchen.hosts) {
      host->accepted = [this](StandHost::Link&) { ++accepted; };
      host->came = [this](StandHost::Link& link, std::size_t bytes) {
        if (accepted == 1 && bytes > 1'000) half = &link;  // the head and something of the body
      };
    }
    const std::string body = Text(100'000, 1);
    const std::string framing = chunked ? "Transfer-Encoding: chunked\r\n"
                                        : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const auto part = [&](std::string_view bytes) {
      return chunked ? http::ChunkLine(bytes.size()) + std::string(bytes) + "\r\n" : std::string(bytes);
    };
    // Chunks begin to be passed on only once as much is here as is held.
    const std::size_t first = chunked ? 70'000 : 9'000;
    caller.Write(Kitchen::Ask(repeatable ? "/read/x" : "/write/x", "a", framing, "key-a1", "POST", "", left) +
                 part(body.substr(0, first)));
    rest = part(body.substr(first)) + (chunked ? "0\r\n\r\n" : "");
    BOOST_REQUIRE(kitchen.Until([&] { return half != nullptr; }));
  }
  int Status() {
    BOOST_REQUIRE(kitchen.Until([&] { return caller.over || !Split(caller.came, false).whole.empty(); }));
    const Answers answers = Split(caller.came, caller.over);
    return answers.whole.empty() ? 0 : answers.whole[0].status;
  }

  Kitchen& kitchen;
  Caller caller;
  std::string rest;
  int accepted = 0;
  StandHost::Link* half = nullptr;
};

// Its host may work on what it has got: it is neither sent again nor promised that it hasn't run.
BOOST_AUTO_TEST_CASE(AHalfWrittenBodyMayHaveRun) {
  for (const bool chunked : {false, true})
    for (const bool reset : {false, true}) {
      BOOST_TEST_CONTEXT("chunked " << chunked << " reset " << reset) {
        Kitchen kitchen;
        Upload upload(kitchen, false, chunked);
        reset ? upload.half->Reset() : upload.half->Close();
        BOOST_TEST(kitchen.Until([&] { return upload.caller.came.find("HTTP/1.1 ") == 0; }));
        upload.caller.Write(upload.rest);
        BOOST_TEST(upload.Status() == 502);
        BOOST_TEST(upload.accepted == 1);
      }
    }
}

BOOST_AUTO_TEST_CASE(AHalfWrittenBodyThatMayRunTwiceIsSentAgain) {
  Kitchen kitchen;
  Upload upload(kitchen, true, false);
  upload.half->Reset();
  BOOST_REQUIRE(kitchen.Until([&] { return upload.accepted == 2; }));
  upload.caller.Write(upload.rest);
  BOOST_TEST(upload.Status() == 200);
  BOOST_TEST(kitchen.seen.back().body.size() == 100'000u);
}

BOOST_AUTO_TEST_CASE(SilenceInTheMiddleOfABodyIsNoPromise) {
  Kitchen kitchen;
  Upload upload(kitchen, false, false, 200);
  BOOST_TEST(upload.Status() == 504);
  BOOST_TEST(upload.accepted == 1);
  BOOST_TEST(kitchen.Until([&] { return kitchen.front->host_connections() == 0; }));
}

// Before the body is whole: an answer that serves goes on, one that refuses lets another host have it; no
// connection is used again that still owes bytes.
BOOST_AUTO_TEST_CASE(EarlyAnswers) {
  for (const Way way : {Way::kGood, Way::kNotRun503, Way::kOwn503}) {
    BOOST_TEST_CONTEXT("way " << static_cast<int>(way)) {
      Kitchen kitchen;
      Upload upload(kitchen, false, false);
      kitchen.Do(*upload.half, "a", way);
      if (way == Way::kNotRun503) BOOST_REQUIRE(kitchen.Until([&] { return upload.accepted == 2; }));
      upload.caller.Write(upload.rest);
      BOOST_TEST(upload.Status() == (way == Way::kOwn503 ? 502 : 200));
      BOOST_TEST(upload.accepted == (way == Way::kNotRun503 ? 2 : 1));
      BOOST_TEST(kitchen.front->host_connections() == (way == Way::kNotRun503 ? 1u : 0u));
    }
  }
}

// Without its id an answer tells nothing of this request, whatever it says.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutItsIdIsNobodys) {
  for (const std::string answer :
       {"200 OK\r\nX-Response-Seal: s", "421 Misdirected Request\r\nX-Not-Executed: 1",
        "503 Service Unavailable\r\nX-Not-Executed: 1", "404 Not Found", "429 Too Many Requests"})
    for (const bool repeatable : {false, true}) {
      BOOST_TEST_CONTEXT(answer << " repeatable " << repeatable) {
        Kitchen kitchen;
        int came = 0;
        for (auto& host : kitchen.hosts)
          host->handle = [&](StandHost::Link& link, const StandHost::Request&) {
            if (++came > 1) return kitchen.Do(link, "a", Way::kGood);
            link.Write("HTTP/1.1 " + answer + "\r\nContent-Length: 2\r\n\r\nhm");
          };
        const Answers answers = kitchen.Call(Kitchen::Ask(repeatable ? "/read/x" : "/write/x", "a"));
        BOOST_REQUIRE_EQUAL(answers.whole.size(), 1u);
        BOOST_TEST(answers.whole[0].status == (repeatable ? 200 : 502));
        BOOST_TEST(came == (repeatable ? 2 : 1));
        BOOST_TEST(kitchen.front->host_connections() == (repeatable ? 1u : 0u));  // the first one is closed
      }
    }
}

// A host's seal stands under that host's status, or not at all.
BOOST_AUTO_TEST_CASE(ASealGoesWithItsStatus) {
  int number = 0;
  for (const std::size_t size : {0ul, 2ul, 100'000ul})
    for (const int status :
         {200, 201, 202, 203, 206, 226, 300, 301, 302, 303, 307, 400, 402, 403, 404, 405, 406, 408,
          409, 410, 412, 413, 418, 421, 422, 425, 428, 429, 431, 451, 500, 501, 502, 503, 504, 507})
      for (const bool repeatable : {false, true}) {
        BOOST_TEST_CONTEXT("status " << status << " size " << size << " repeatable " << repeatable) {
          Kitchen kitchen(1, static_cast<std::uint64_t>(++number));
          kitchen.hosts[0]->handle = [&](StandHost::Link& link, const StandHost::Request&) {
            link.Write(Ended("a", std::to_string(status) + " Told", kSeal, Text(size, 1)));
          };
          const Answers answers = kitchen.Call(Kitchen::Ask(repeatable ? "/read/x" : "/write/x", "a"));
          BOOST_REQUIRE_EQUAL(answers.whole.size(), 1u);
          const auto& answer = answers.whole[0];
          if (answer.Find("X-Response-Seal").empty()) {
            BOOST_TEST(answer.status >= 500);
            BOOST_TEST(answer.body.empty());
          } else {
            BOOST_TEST(answer.status == status);
            BOOST_TEST(answer.body == Text(size, 1));
          }
          // What may have run is promised nothing; what a client can use isn't kept from it.
          if (Promise(answer.status)) BOOST_TEST(status == 421);
          if (status < 300 && size < 100'000) BOOST_TEST(answer.status == status);
        }
      }
}

// Guards against a request that reaches a host when its client waits no longer, with a deadline of 0 ms.
BOOST_AUTO_TEST_CASE(NoHostSeesARequestWithoutTimeLeft) {
  for (const int left_ms : {0, 1})
    for (const bool repeatable : {false, true}) {
      BOOST_TEST_CONTEXT("left " << left_ms << " ms, repeatable " << repeatable) {
        Kitchen kitchen;
        const std::string path = repeatable ? "/read/x" : "/write/x";
        const Answers answers = kitchen.Call(Kitchen::Ask(path, "a", "", "key-a1", "GET", "", left_ms));
        BOOST_REQUIRE_EQUAL(answers.whole.size(), 1u);
        BOOST_TEST(answers.whole[0].status == 503);
        BOOST_TEST(kitchen.seen.empty());
      }
    }
}

// The same when the process has stood still between the connect and its end.
BOOST_AUTO_TEST_CASE(NoHostSeesARequestWhoseConnectionCameTooLate) {
  constexpr milliseconds kLeft(100);
  Kitchen kitchen;
  Caller caller(kitchen.loop.get(), kitchen.front->port());
  const auto sent = std::chrono::steady_clock::now();
  caller.Write(Kitchen::Ask("/write/x", "a", "", "key-a1", "GET", "", static_cast<int>(kLeft.count())));
  BOOST_REQUIRE(kitchen.Until([&] { return kitchen.front->host_connections() == 1; }));
  std::this_thread::sleep_until(sent + kLeft + milliseconds(5));
  BOOST_REQUIRE(kitchen.Until([&] { return !Split(caller.came, false).whole.empty(); }));
  BOOST_TEST(Split(caller.came, false).whole[0].status == 503);
  BOOST_TEST(kitchen.seen.empty());
}

// One try goes to so many hosts at the most, each another one, however they end.
BOOST_AUTO_TEST_CASE(ATryGoesToNoMoreHostsThanItsRouteAllows) {
  for (const Way way : {Way::kNotRun503, Way::kNotRun421, Way::kResetUnread, Way::kOwn500, Way::kResetRead}) {
    BOOST_TEST_CONTEXT("way " << static_cast<int>(way)) {
      Kitchen kitchen(8);
      Play(kitchen, "a", true, {way, way, way, way, way, way, way, way});
      BOOST_TEST(kitchen.attempts["a"] == 3u);
      std::set<std::string> instances;
      for (const StandHost::Request& request : kitchen.seen)
        instances.insert(request.Find("X-Target-Instance"));
      if (way != Way::kResetUnread) BOOST_TEST(instances.size() == 3u);
    }
  }
}

// `max_body_bytes` holds for a length that is told and for one that isn't; hosts never see a whole one
// beyond.
BOOST_AUTO_TEST_CASE(BodiesBeyondTheLimitAre413) {
  for (const std::size_t limit : {1'000ul, 200'000ul})
    for (const std::size_t size : {limit, limit + 1, 4 * limit})
      for (const bool chunked : {false, true}) {
        BOOST_TEST_CONTEXT("limit " << limit << " size " << size << " chunked " << chunked) {
          Kitchen kitchen;
          std::string policy(kPolicy);
          policy.replace(policy.find("67108864"), 8, std::to_string(limit));
          policy.replace(policy.find("\"config_version\":1"), 18, "\"config_version\":2");
          kitchen.front->SetPolicy(policy::Policy::Read(policy));
          const std::string body = Text(size, 1);
          std::string bytes = body;
          if (chunked) bytes = http::ChunkLine(size) + body + "\r\n0\r\n\r\n";
          const std::string framing =
              chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(size) + "\r\n";
          const Answers answers =
              kitchen.Call(Kitchen::Ask("/write/x", "a", framing, "key-a1", "POST") + bytes);
          BOOST_REQUIRE_EQUAL(answers.whole.size(), 1u);
          BOOST_TEST(answers.whole[0].status == (size > limit ? 413 : 200));
          BOOST_TEST(kitchen.seen.size() == (size > limit ? 0u : 1u));
          BOOST_TEST(kitchen.front->open_requests() == 0u);
        }
      }
}

// A gateway may serve clients and control: long bodies at both doors at once, in pieces by turns.
BOOST_AUTO_TEST_CASE(TwoDoorsTakeLongBodiesAtOnce) {
  constexpr std::size_t kLong = 3 * 1024 * 1024, kPiece = 40'000;
  const std::string order = Text(kLong, 1), request = Text(kLong, 2);
  for (const bool chunked : {false, true}) {
    BOOST_TEST_CONTEXT("chunked " << chunked) {
      Kitchen kitchen;
      std::string path, body;
      std::unique_ptr<CallDoor> control;
      control = std::make_unique<CallDoor>(
          kitchen.loop.get(), kitchen.descriptors,
          [&](CallDoor::Call call) {
            path = call.path;
            body = std::move(call.body);
            control->Reply(call.id, 200, "{}");
          },
          kLong);
      std::string error;
      BOOST_REQUIRE(control->Listen({0x7f000001, 0}, error));
      control->StartAccepting();
      const auto framed = [&](const std::string& text) {
        return chunked ? http::ChunkLine(text.size()) + text + "\r\n0\r\n\r\n" : text;
      };
      const std::string framing =
          chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(kLong) + "\r\n";
      const std::string calls =
          "POST /v1/config/replace HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n" + framed(order);
      const std::string clients = Kitchen::Ask("/write/x", "a", framing, "key-a1", "POST") + framed(request);
      Caller operators(kitchen.loop.get(), control->port()),
          client(kitchen.loop.get(), kitchen.front->port());
      for (std::size_t at = 0; at < std::max(calls.size(), clients.size()); at += kPiece) {
        operators.Write(std::string_view(calls).substr(std::min(at, calls.size()), kPiece));
        client.Write(std::string_view(clients).substr(std::min(at, clients.size()), kPiece));
        ev_run(kitchen.loop.get(), EVRUN_NOWAIT);
      }
      BOOST_REQUIRE(kitchen.Until([&] {
        return !Split(operators.came, false).whole.empty() && !Split(client.came, false).whole.empty();
      }));
      BOOST_TEST(path == "/v1/config/replace");
      BOOST_TEST((body == order));
      BOOST_TEST(Split(client.came, false).whole[0].status == 200);
      BOOST_TEST((kitchen.seen.back().body == request));
      BOOST_TEST(control->held() == 0u);
    }
  }
}

// ---- Clients' connections -----------------------------------------------------------------------------

// A door whose time is told, with the least that answers.
struct RestingDoor : net::Door, net::Inputs {
  RestingDoor(struct ev_loop* loop, net::Descriptors& descriptors) : Door(loop, descriptors, *this, 1024) {}
  void OnRequest(net::Client& client) override { client.Answer(200, {}, "well"); }
  void OnLeft(RequestId) override {}
  using Door::OnAnswerRoom;
  using Door::OnUpload;
  void OnUpload(RequestId) override {}
  void OnAnswerRoom(RequestId) override {}
  void Post(Input) override {}
  TimePoint Now() override { return now; }
  Duration Unseen(int) override { return {}; }
  net::ClientTimes times() const override { return {std::chrono::seconds(3), std::chrono::seconds(15)}; }

  TimePoint now{std::chrono::seconds(1000)};
};

// `idle_timeout_ms` holds from the end of the last answer on; none is told a shorter one by Keep-Alive.
BOOST_AUTO_TEST_CASE(AConnectionMayRestForItsIdleTime) {
  Loop loop;
  net::Descriptors descriptors{64};
  RestingDoor door(loop.get(), descriptors);
  std::string error;
  BOOST_REQUIRE(door.Listen({0x7f000001, 0}, error));
  door.StartAccepting();
  Plain plain(loop.get(), door.port());
  const std::string ask = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  std::size_t bytes = 0;
  for (int i = 0; i < 4; ++i) {
    plain.Write(ask);
    BOOST_REQUIRE(loop.Until([&] { return plain.came.size() > bytes && plain.came.ends_with("well"); }));
    bytes = plain.came.size();
    BOOST_TEST(plain.came.find("Keep-Alive") == std::string::npos);
    door.now += std::chrono::milliseconds(12'000);  // four fifths
    door.CheckTimes();
    BOOST_TEST(door.connections() == 1u);
  }
  door.now += std::chrono::milliseconds(3'001);
  door.CheckTimes();
  BOOST_TEST(loop.Until([&] { return plain.over; }));
  BOOST_TEST(!plain.reset);
}

// `header_timeout_ms`: a head that doesn't end is 408 at its end, not before.
BOOST_AUTO_TEST_CASE(AHeadMayTakeItsTime) {
  Loop loop;
  net::Descriptors descriptors{64};
  RestingDoor door(loop.get(), descriptors);
  std::string error;
  BOOST_REQUIRE(door.Listen({0x7f000001, 0}, error));
  door.StartAccepting();
  for (const int taken_ms : {2'900, 3'001}) {
    Plain plain(loop.get(), door.port());
    plain.Write("GET / HTTP/1.1\r\nHo");
    BOOST_REQUIRE(loop.Until([&] { return door.owed() == 1; }));
    door.now += std::chrono::milliseconds(taken_ms);
    door.CheckTimes();
    if (taken_ms < 3'000) plain.Write("st: x\r\n\r\n");
    BOOST_REQUIRE(loop.Until([&] { return plain.came.find("\r\n\r\n") != std::string::npos; }));
    BOOST_TEST(plain.came.starts_with(taken_ms < 3'000 ? "HTTP/1.1 200 " : "HTTP/1.1 408 "));
  }
}

}  // namespace
}  // namespace curlewdoor::system
