// A real Front on loopback beside hosts that end attempts in every way that the protocol names.
#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

#include "service_registry/hosts_by_service.hpp"
#include "stand_caller.hpp"
#include "stand_host.hpp"
#include "system/front.hpp"

namespace curlewdoor::system {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::string_view kPolicy =
    R"({"config_version":1,"services":[)"
    R"({"name":"soup","health_check":"/well","max_connections":90,"protocol":"h1","tls_enabled":false}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"anna","api_keys":["key-a1","key-a2"]},{"name":"berta","api_keys":["key-b1"]}],)"
    R"("backend_hosts":[{"host":"kitchen.example","url_paths":[)"
    R"({"name":"r-read","path_prefix":"/read/","route_type":"idempotent","timeout_ms":5000,)"
    R"("target_latency_ms":200,"service":"soup","max_attempts":3,"public_access":false},)"
    R"({"name":"r-write","path_prefix":"/write/","route_type":"non_idempotent","timeout_ms":5000,)"
    R"("target_latency_ms":200,"service":"soup","max_attempts":3,"public_access":false},)"
    R"({"name":"r-open","path_prefix":"/open/","route_type":"idempotent","timeout_ms":5000,)"
    R"("target_latency_ms":200,"service":"soup","max_attempts":3,"public_access":true}]}]})";

// How a host ends an attempt.
enum class Way {
  kGood,
  kInterim,        // a 1xx before its answer
  kLeaving,        // with `Connection: close`
  kLongGood,       // some 200 KB in chunks
  kNoLength,       // 200, up to the end of its connection
  kLongNoLength,   // the same, some 200 KB
  kMoreBehind,     // bytes behind its answer that belong to nothing
  kSurplusFirst,   // another's answer, then its own
  kNotRun503,      // X-Not-Executed
  kNotRun429,      // the same
  kNotRun421,      // the same
  kBare421,        // without
  kOwn500,         // it ran, or may have
  kOwn504,         //
  kOwn503,         // no X-Not-Executed
  kOwn429,         //
  kOwn408,         //
  kNoSeal,         // 200
  kLongNoSeal,     // the same, too long to be held
  kNoLengthReset,  // the same as kNoLength, and the connection is reset before its end
  kSurplusOnly,    // another's answer, then a reset
  kGarbage,        //
  kCutHead,        // ends within its head
  kCutBody,        // ends within its body
  kCutLongBody,    // the same when much of it has been passed on
  kCoded,          // Content-Encoding
  kResetUnread,    // as soon as it is connected
  kResetRead,      // once the request is read
  kCloseRead,      //
  kSilent,         // reads it, and says nothing
  kUnread,         // reads it only when the client has its answer
  kLast = kUnread,
};

constexpr bool Runs(Way way) {
  return way != Way::kNotRun503 && way != Way::kNotRun429 && way != Way::kNotRun421 && way != Way::kBare421 &&
         way != Way::kResetUnread;
}
constexpr bool Serves(Way way) { return way <= Way::kSurplusFirst; }
inline bool Promise(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

inline std::string Text(std::size_t size, std::size_t seed) {
  std::string text(size, ' ');
  for (std::size_t i = 0; i < size; ++i)
    text[i] = static_cast<char>('a' + (i * 31 + i / 977 + seed * 7) % 26);
  return text;
}

inline std::string Ended(const std::string& id, std::string_view status, std::string_view lines,
                         std::string_view body) {
  return "HTTP/1.1 " + std::string(status) + "\r\nX-Attempt-Id: " + id + "\r\n" + std::string(lines) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

inline constexpr std::string_view kSeal = "X-Response-Seal: s\r\n";

// Its body ends with its connection.
inline std::string UpToTheEnd(const std::string& id, std::string_view body) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n" + std::string(kSeal) + "\r\n" + std::string(body);
}

struct Kitchen {
  explicit Kitchen(std::size_t count = 3, std::uint64_t seed = 1) {
    settings.node_name = "g1";
    settings.zone = "here";
    settings.region = "land";
    settings.zones = {{"here", "land"}};
    settings.bootstrap = true;
    settings.bounds.retry_slack = 1e6;
    front = std::make_unique<Front>(
        loop.get(), settings, descriptors, seed, [](const std::string&, const AddToCounter&) {},
        [](const std::string&) { return Duration(); });
    std::string error;
    BOOST_REQUIRE_MESSAGE(front->Listen({0x7f000001, 0}, error), error);
    front->StartAccepting();
    front->SetPolicy(policy::Policy::Read(std::string(kPolicy)));
    for (std::size_t i = 0; i < count; ++i) {
      hosts.push_back(std::make_unique<StandHost>(loop.get()));
      StandHost& host = *hosts.back();
      host.handle = [this](StandHost::Link& link, const StandHost::Request& request) {
        Serve(link, request);
      };
      host.accepted = [this](StandHost::Link& link) {
        const Way way = next_way ? next_way() : Way::kGood;
        if (way == Way::kResetUnread) {
          ++attempts[connecting];
          link.Reset();
        } else if (way == Way::kUnread) {
          link.Pause();
          paused.push_back(&link);
        }
      };
      service_registry::Heartbeat beat;
      beat.id = "i-" + std::to_string(i);
      beat.service = "soup";
      beat.address = host.address().ToText();
      beat.zone = "here";
      beat.slots = 4;
      beat.sequence = 1;
      known.Apply(service_registry::Time::clock::now(), beat);
    }
    by_service.Update(known);
    front->SetHosts(by_service);
  }

  // What comes to a host.
  void Serve(StandHost::Link& link, const StandHost::Request& request) {
    const std::string id = request.Find("X-Attempt-Id");
    seen.push_back(request);
    const std::size_t attempt = attempts[id]++;
    const std::vector<Way>& of = ways[id];
    Way way = attempt < of.size() ? of[attempt] : Way::kGood;
    if (Runs(way)) ++runs[id];
    Do(link, id, way);
  }
  void Do(StandHost::Link& link, const std::string& id, Way way) {
    const std::string good = Ended(id, "200 OK", kSeal, "body of " + id);
    const auto say = [&](std::string_view status, std::string_view lines) {
      link.Write(Ended(id, status, lines, "not it"));
    };
    switch (way) {
      case Way::kGood:
        return link.Write(good);
      case Way::kInterim:
        return link.Write("HTTP/1.1 102 Processing\r\n\r\n" + good);
      case Way::kLeaving:
        link.Write(Ended(id, "200 OK", std::string(kSeal) + "Connection: close\r\n", "body of " + id));
        return link.Close();
      case Way::kLongGood: {
        link.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n" + std::string(kSeal) +
                   "Transfer-Encoding: chunked\r\n\r\n");
        for (std::size_t i = 0; i < 20; ++i) {
          const std::string part = Text(10'000, i);
          link.Write(http::ChunkLine(part.size()) + part + "\r\n");
        }
        return link.Write("0\r\n\r\n");
      }
      case Way::kMoreBehind:
        return link.Write(good + "and some more that nobody wants\r\n\r\n");
      case Way::kSurplusFirst:
        return link.Write(Ended("another", "200 OK", kSeal, "another's") + good);
      case Way::kNotRun503:
        return say("503 Service Unavailable", "X-Not-Executed: 1\r\nRetry-After: 0.1\r\n");
      case Way::kNotRun429:
        return say("429 Too Many Requests", "X-Not-Executed: 1\r\n");
      case Way::kNotRun421:
        return say("421 Misdirected Request", "X-Not-Executed: 1\r\n");
      case Way::kBare421:
        return say("421 Misdirected Request", "");
      case Way::kOwn500:
        return say("500 Internal Server Error", kSeal);
      case Way::kOwn504:
        return say("504 Gateway Timeout", kSeal);
      case Way::kOwn503:
        return say("503 Service Unavailable", "");
      case Way::kOwn429:
        return say("429 Too Many Requests", kSeal);
      case Way::kOwn408:
        return say("408 Request Timeout", "");
      case Way::kNoSeal:
        return say("200 OK", "");
      case Way::kLongNoSeal:
        return link.Write(Ended(id, "200 OK", "", Text(100'000, 1)));
      case Way::kNoLength:
        link.Write(UpToTheEnd(id, "body of " + id));
        return link.Close();
      case Way::kLongNoLength:
        link.Write(UpToTheEnd(id, Text(200'000, 2)));
        return link.Close();
      case Way::kNoLengthReset:
        link.Write(UpToTheEnd(id, "body of "));
        return link.Reset();
      case Way::kSurplusOnly:
        link.Write(Ended("another", "200 OK", kSeal, "another's"));
        return link.Close();
      case Way::kGarbage:
        return link.Write("\x15\x03\x01 what is this\r\n\r\n");
      case Way::kCutHead:
        link.Write(good.substr(0, 30));
        return link.Close();
      case Way::kCutBody:
        link.Write(good.substr(0, good.size() - 3));
        return link.Close();
      case Way::kCutLongBody:
        link.Write(Ended(id, "200 OK", kSeal, Text(100'000, 1)).substr(0, 90'000));
        return link.Close();
      case Way::kCoded:
        return say("200 OK", std::string(kSeal) + "Content-Encoding: gzip\r\n");
      case Way::kResetUnread:
      case Way::kResetRead:
        return link.Reset();
      case Way::kCloseRead:
        return link.Close();
      case Way::kSilent:
      case Way::kUnread:
        return;
    }
  }

  static std::string Ask(std::string_view path, const std::string& id, std::string_view lines = "",
                         std::string_view key = "key-a1", std::string_view method = "GET",
                         std::string_view body = "", int left = 4000) {
    std::string text(method);
    text.append(" ").append(path).append(" HTTP/1.1\r\nHost: kitchen.example\r\nX-Attempt-Id: ").append(id);
    text += "\r\nX-Deadline-Remaining: " + std::to_string(left) + "\r\n";
    if (!key.empty()) text.append("Authorization: Bearer ").append(key).append("\r\n");
    if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text.append(lines).append("\r\n").append(body);
  }
  bool Until(const std::function<bool()>& holds) {
    return loop.Until(holds, [&] {
      front->KeepHouse();
      front->ReapAll();
    });
  }
  // The whole answers that came, and what of one that is none.
  Answers Call(const std::string& request, std::size_t count = 1) {
    Caller caller(loop.get(), front->port());
    caller.Write(request);
    BOOST_REQUIRE(Until([&] { return caller.over || Split(caller.came, false).whole.size() >= count; }));
    return Split(caller.came, caller.over);
  }
  // What hosts have not read yet they read now: nothing promised may run any more.
  void ReadLate() {
    for (StandHost::Link* link : std::exchange(paused, {})) link->GoOn();
    for (int i = 0; i < 8; ++i) ev_run(loop.get(), EVRUN_NOWAIT);
  }

  Loop loop;
  net::Descriptors descriptors{256};
  settings::NodeSettings settings;
  service_registry::ServiceRegistry known;
  service_registry::HostsByService by_service;
  std::vector<std::unique_ptr<StandHost>> hosts;
  std::unique_ptr<Front> front;
  std::map<std::string, std::vector<Way>> ways;  // of each attempt, by the request's id; then it is good
  std::map<std::string, std::size_t> attempts, runs;
  std::vector<StandHost::Request> seen;
  std::function<Way()> next_way;  // of who connects just now ...
  std::string connecting;         // ... for this request
  std::vector<StandHost::Link*> paused;
};

// One request, whose first attempts end in these ways. Tells the status; 0: closed without a whole answer.
inline int Play(Kitchen& kitchen, const std::string& id, bool repeatable, const std::vector<Way>& ways,
                std::string_view method = "GET") {
  kitchen.ways[id] = ways;
  kitchen.connecting = id;
  kitchen.next_way = [&kitchen, &ways, id] {
    const std::size_t at = kitchen.attempts[id];
    return at < ways.size() ? ways[at] : Way::kGood;
  };
  const bool waits = std::any_of(ways.begin(), ways.end(),
                                 [](Way way) { return way == Way::kSilent || way == Way::kUnread; });
  const std::string body = method == "GET" ? "" : "some body";
  const Answers answers = kitchen.Call(
      Kitchen::Ask(repeatable ? "/read/x" : "/write/x", id, "", "key-a1", method, body, waits ? 250 : 4000));
  kitchen.next_way = {};
  kitchen.ReadLate();
  const int status = answers.whole.empty() ? 0 : answers.whole[0].status;
  if (status == 200) {
    std::string long_body;
    for (std::size_t i = 0; i < 20; ++i) long_body += Text(10'000, i);
    const std::string& came = answers.whole[0].body;
    BOOST_TEST((came == "body of " + id || came == long_body || came == Text(200'000, 2)));
    BOOST_TEST(answers.whole[0].Find("X-Response-Seal") == "s");
    BOOST_TEST(answers.whole[0].Find("X-Attempt-Id") == id);
    BOOST_TEST(kitchen.runs[id] >= 1u);
  }
  // A failure that bears a seal is a host's own, with the status that one of them gave.
  if (status >= 300 && !answers.whole[0].Find("X-Response-Seal").empty()) {
    const auto gave = [&](Way way, int own) {
      return status == own && std::find(ways.begin(), ways.end(), way) != ways.end();
    };
    BOOST_TEST((gave(Way::kOwn500, 500) || gave(Way::kOwn504, 504) || gave(Way::kOwn429, 429)));
  }
  if (Promise(status)) BOOST_TEST(kitchen.runs[id] == 0u);
  if (!repeatable) BOOST_TEST(kitchen.runs[id] <= 1u);
  BOOST_TEST(kitchen.attempts[id] <= 3u);
  BOOST_TEST(answers.whole.size() <= 1u);
  return status;
}

}  // namespace curlewdoor::system
