// A real Front on loopback against hosts that end attempts in every way that the protocol names: what runs
// how often, what the client is told, and what hosts get to see.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "kitchen.hpp"

namespace curlewdoor::system {
namespace {

BOOST_AUTO_TEST_CASE(EveryWayOnce) {
  int number = 0;
  for (int way = 0; way <= static_cast<int>(Way::kLast); ++way)
    for (const bool repeatable : {true, false})
      for (const char* method : {"GET", "POST"}) {
        // Connections that are kept would hide how new ones end.
        Kitchen fresh(3, static_cast<std::uint64_t>(++number));
        const Way what = static_cast<Way>(way);
        BOOST_TEST_CONTEXT("way " << way << " repeatable " << repeatable << " " << method) {
          const std::string id = "id-" + std::to_string(number);
          const int status = Play(fresh, id, repeatable, {what}, method);
          const bool waits = what == Way::kSilent || what == Way::kUnread;
          if (Serves(what)) {
            BOOST_TEST(status == 200);
            BOOST_TEST(fresh.attempts[id] == 1u);
          } else if (waits) {
            BOOST_TEST(status == 504);
            BOOST_TEST(fresh.attempts[id] == 1u);
          } else if (what == Way::kCutLongBody) {
            BOOST_TEST(status == 0);  // most of it was passed on
          } else if (repeatable) {
            BOOST_TEST(status == 200);
            BOOST_TEST(fresh.attempts[id] == 2u);
          } else if (what == Way::kResetUnread) {  // it may have been read, for all that is known
            BOOST_TEST((status == 200 || status == 502));
          } else if (!Runs(what)) {
            BOOST_TEST(status == 200);
            BOOST_TEST(fresh.runs[id] == 1u);
          } else {
            BOOST_TEST((status == 500 || status == 502 || status == 504));
            BOOST_TEST(fresh.attempts[id] == 1u);
          }
        }
      }
}

// Of an answer without a length much has been passed on when its connection is reset: it must not look whole.
BOOST_AUTO_TEST_CASE(AResetEndsAnAnswerWithoutALength) {
  Kitchen kitchen(1);
  StandHost::Link* serving = nullptr;
  kitchen.hosts[0]->handle = [&](StandHost::Link& link, const StandHost::Request& request) {
    serving = &link;
    link.Write(UpToTheEnd(request.Find("X-Attempt-Id"), Text(100'000, 3)));
  };
  Caller caller(kitchen.loop.get(), kitchen.front->port());
  caller.Write(Kitchen::Ask("/read/x", "a"));
  BOOST_REQUIRE(kitchen.Until([&] { return caller.came.size() > 50'000; }));
  serving->Reset();
  BOOST_REQUIRE(kitchen.Until([&] { return caller.over; }));
  BOOST_TEST(Split(caller.came, true).whole.empty());
}

// All that are tried turn it away: a promise, which holds. Or one of them may have run it: none.
BOOST_AUTO_TEST_CASE(PromisesAreTrue) {
  int number = 0;
  for (const Way first : {Way::kNotRun503, Way::kNotRun429, Way::kNotRun421, Way::kBare421, Way::kOwn503})
    for (const Way last : {Way::kNotRun503, Way::kNotRun429, Way::kBare421, Way::kOwn500, Way::kOwn503,
                           Way::kOwn429, Way::kOwn408, Way::kResetRead, Way::kNoSeal, Way::kUnread})
      for (const bool repeatable : {true, false}) {
        Kitchen kitchen(3, static_cast<std::uint64_t>(++number));
        const std::string id = "id-" + std::to_string(number);
        BOOST_TEST_CONTEXT("first " << static_cast<int>(first) << " last " << static_cast<int>(last)
                                    << " repeatable " << repeatable) {
          const int status = Play(kitchen, id, repeatable, {first, Way::kNotRun503, last});
          if (!Runs(first) && !Runs(last)) BOOST_TEST(Promise(status));
          if (Runs(first) && !repeatable) BOOST_TEST(kitchen.attempts[id] == 1u);
          if (Runs(first) || Runs(last)) BOOST_TEST((!Promise(status) && status != 200));
        }
      }
}

BOOST_AUTO_TEST_CASE(WhoRefusesConnectionsIsPassedOver) {
  Kitchen kitchen;
  kitchen.hosts[0]->Refuse();
  kitchen.hosts[1]->Refuse();
  for (int i = 0; i < 30; ++i) {
    const std::string id = "id-" + std::to_string(i);
    BOOST_TEST(Play(kitchen, id, i % 2 == 0, {}) == 200);
    BOOST_TEST(kitchen.runs[id] == 1u);
  }
  kitchen.hosts[2]->Refuse();
  Kitchen none;
  for (auto& host : none.hosts) host->Refuse();
  for (int i = 0; i < 4; ++i) BOOST_TEST(Promise(Play(none, "id-" + std::to_string(i), i % 2 == 0, {})));
}

// Many requests one behind another over connections that are kept, whose attempts end in any way.
BOOST_AUTO_TEST_CASE(AnyWaysBySeed) {
#ifdef __SANITIZE_ADDRESS__
  constexpr int kSeeds = 4;
#else
  constexpr int kSeeds = 20;
#endif
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937_64 rng(seed);
      Kitchen kitchen(4, seed);
      for (int i = 0; i < 60; ++i) {
        std::vector<Way> ways;
        bool runs_early = false, cut = false;
        for (int k = 0; k < 3; ++k) {
          // Those that take until the deadline are for the other cases.
          auto way = static_cast<Way>(rng() % static_cast<int>(Way::kSilent));
          if (way == Way::kResetUnread) way = Way::kResetRead;
          if (rng() % 3 == 0) way = Way::kGood;
          ways.push_back(way);
        }
        const bool repeatable = rng() % 2 == 0;
        const bool good = std::any_of(ways.begin(), ways.end(), [&](Way way) {
          cut = cut || way == Way::kCutLongBody;
          const bool serves = Serves(way) && !runs_early && !cut;
          runs_early = runs_early || (Runs(way) && !repeatable);
          return serves;
        });
        const std::string id = std::to_string(seed) + "-" + std::to_string(i);
        BOOST_TEST_CONTEXT("request " << i << " ways " << static_cast<int>(ways[0]) << " "
                                      << static_cast<int>(ways[1]) << " " << static_cast<int>(ways[2])
                                      << " repeatable " << repeatable) {
          const int status = Play(kitchen, id, repeatable, ways, rng() % 2 == 0 ? "GET" : "POST");
          if (good) BOOST_TEST(status == 200);
        }
      }
    }
}

// ---- Keys and headers ---------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(KeysStayHere) {
  Kitchen kitchen;
  const std::string evil = "X-Tenant-Name: evil\r\nx-tenant-name: worse\r\nX-Target-Instance: i-none\r\n";
  const auto status = [&](const std::string& request) {
    const Answers answers = kitchen.Call(request);
    return answers.whole.empty() ? 0 : answers.whole[0].status;
  };
  BOOST_TEST(status(Kitchen::Ask("/read/x", "a", evil)) == 200);
  BOOST_TEST(kitchen.seen.back().Find("X-Tenant-Name") == "anna");
  BOOST_TEST(status(Kitchen::Ask("/read/x", "b", evil, "key-b1")) == 200);
  BOOST_TEST(kitchen.seen.back().Find("X-Tenant-Name") == "berta");
  BOOST_TEST(status(Kitchen::Ask("/read/x", "c", evil + "authorization: bearer key-b1\r\n", "")) == 200);
  BOOST_TEST(kitchen.seen.back().Find("X-Tenant-Name") == "berta");
  BOOST_TEST(status(Kitchen::Ask("/read/x", "d", "AUTHORIZATION: Basic eHg=\r\n")) == 200);
  BOOST_TEST(status(Kitchen::Ask("/write/x", "e", evil, "key-a2", "POST", "a body")) == 200);
  BOOST_TEST(kitchen.seen.back().Find("X-Tenant-Name") == "anna");
  BOOST_TEST(kitchen.seen.back().body == "a body");
  BOOST_TEST(status(Kitchen::Ask("/open/x", "f", evil, "")) == 200);
  BOOST_TEST(kitchen.seen.back().Find("X-Tenant-Name") == "");
  BOOST_TEST(status(Kitchen::Ask("/open/x", "g", evil, "key-a1")) == 200);
  BOOST_TEST(kitchen.seen.back().Find("X-Tenant-Name") == "anna");
  BOOST_TEST(status(Kitchen::Ask("/open/x", "h", evil, "key-none")) == 200);
  BOOST_TEST(kitchen.seen.back().Find("X-Tenant-Name") == "");
  // In a trailer, and named as of one hop.
  BOOST_TEST(status("POST /write/x HTTP/1.1\r\nHost: kitchen.example\r\nX-Attempt-Id: i\r\n"
                    "Authorization: Bearer key-a1\r\nTransfer-Encoding: chunked\r\n"
                    "Connection: keep-alive, X-Attempt\r\n\r\n"
                    "2\r\nhi\r\n0\r\nAuthorization: Bearer key-b1\r\nX-Tenant-Name: evil\r\n\r\n") == 200);
  BOOST_TEST(kitchen.seen.back().Find("X-Tenant-Name") == "anna");
  BOOST_TEST(kitchen.seen.back().body == "hi");
  const std::size_t served = kitchen.seen.size();
  for (const StandHost::Request& request : kitchen.seen) {
    BOOST_TEST(request.Find("Authorization") == "");
    BOOST_TEST(request.head.find("key-") == std::string::npos);
    BOOST_TEST(request.head.find("evil") == std::string::npos);
    BOOST_TEST(request.head.find("i-none") == std::string::npos);
  }
  BOOST_TEST(status(Kitchen::Ask("/read/x", "j", "", "")) == 401);
  BOOST_TEST(status(Kitchen::Ask("/read/x", "k", evil, "key-none")) == 401);
  BOOST_TEST(status(Kitchen::Ask("/write/x", "l", "", "key-a1x")) == 401);
  BOOST_TEST(status(Kitchen::Ask("/read/x", "m", "Authorization: Basic key-a1\r\n", "")) == 401);
  BOOST_TEST(status(Kitchen::Ask("/read/x", "n", "Authorization: key-a1\r\n", "")) == 401);
  BOOST_TEST(status(Kitchen::Ask("/none/x", "o")) == 404);
  BOOST_TEST(status(Kitchen::Ask("/read", "p")) == 404);
  BOOST_TEST(status("GET /read/x HTTP/1.1\r\nHost: other.example\r\n\r\n") == 404);
  BOOST_TEST(kitchen.seen.size() == served);
}

// Each of those that are sent ahead by its own key, in order.
BOOST_AUTO_TEST_CASE(KeysOfThoseSentAhead) {
  Kitchen kitchen;
  const Answers answers = kitchen.Call(
      Kitchen::Ask("/read/1", "1") + Kitchen::Ask("/read/2", "2", "", "key-none") +
          Kitchen::Ask("/read/3", "3", "", "key-b1") + Kitchen::Ask("/none/4", "4") +
          Kitchen::Ask("/write/5", "5", "", "key-a2", "POST", "body") + Kitchen::Ask("/open/6", "6", "", ""),
      6);
  BOOST_REQUIRE_EQUAL(answers.whole.size(), 6u);
  const int statuses[] = {200, 401, 200, 404, 200, 200};
  for (std::size_t i = 0; i < 6; ++i) {
    BOOST_TEST(answers.whole[i].status == statuses[i]);
    if (statuses[i] == 200) BOOST_TEST(answers.whole[i].body == "body of " + std::to_string(i + 1));
  }
  for (const StandHost::Request& request : kitchen.seen) {
    const std::string id = request.Find("X-Attempt-Id");
    BOOST_TEST(request.Find("X-Tenant-Name") == (id == "3" ? "berta" : id == "6" ? "" : "anna"));
    BOOST_TEST(kitchen.runs[id] == 1u);
  }
}

// What is left falls from attempt to attempt, and each names the host that it is sent to.
BOOST_AUTO_TEST_CASE(TheDeadlineFalls) {
  Kitchen kitchen;
  std::vector<StandHost::Request> seen;
  std::unique_ptr<net::TimerWatcher> later;
  for (auto& host : kitchen.hosts)
    host->handle = [&](StandHost::Link& link, const StandHost::Request& request) {
      seen.push_back(request);
      later = std::make_unique<net::TimerWatcher>(kitchen.loop.get(), [&](int) {
        kitchen.Do(link, seen.back().Find("X-Attempt-Id"), seen.size() < 3 ? Way::kNotRun503 : Way::kGood);
      });
      later->StartIn(milliseconds(40));
    };
  const Answers answers = kitchen.Call(Kitchen::Ask("/read/x", "a"));
  BOOST_REQUIRE_EQUAL(answers.whole.size(), 1u);
  BOOST_TEST(answers.whole[0].status == 200);
  BOOST_REQUIRE_EQUAL(seen.size(), 3u);
  int before = 4001;
  std::set<std::string> instances;
  for (const StandHost::Request& request : seen) {
    const int left = std::atoi(request.Find("X-Deadline-Remaining").c_str());
    BOOST_TEST(left <= before - (before <= 4000 ? 35 : 0));
    BOOST_TEST(left > 0);
    before = left;
    instances.insert(request.Find("X-Target-Instance"));
  }
  BOOST_TEST(instances.size() == 3u);
  // The route's own time is the most.
  kitchen.Call(
      "GET /read/x HTTP/1.1\r\nHost: kitchen.example\r\nX-Attempt-Id: b\r\n"
      "X-Deadline-Remaining: 99999\r\nAuthorization: Bearer key-a1\r\n\r\n");
  BOOST_TEST(std::atoi(seen.back().Find("X-Deadline-Remaining").c_str()) <= 5000);
}

// ---- Clients that go ---------------------------------------------------------------------------------

// A client that resets just as its long answer begins leaves no connection behind that nobody reads.
BOOST_AUTO_TEST_CASE(AClientGoneAsItsAnswerBegins) {
  for (const auto& [ahead, chunked] :
       {std::pair(false, false), std::pair(false, true), std::pair(true, false), std::pair(true, true)}) {
    Kitchen kitchen;
    std::vector<StandHost::Link*> links;
    for (auto& host : kitchen.hosts)
      host->handle = [&](StandHost::Link& link, const StandHost::Request&) { links.push_back(&link); };
    Caller caller(kitchen.loop.get(), kitchen.front->port());
    caller.Write(Kitchen::Ask("/read/x", "a") + (ahead ? Kitchen::Ask("/read/x", "a") : ""));
    BOOST_REQUIRE(kitchen.Until([&] { return links.size() == (ahead ? 2u : 1u); }));
    for (StandHost::Link* link : links)
      chunked ? kitchen.Do(*link, "a", Way::kLongGood)
              : link->Write(Ended("a", "200 OK", kSeal, Text(1'000'000, 1)));
    caller.Reset();
    BOOST_TEST(kitchen.Until([&] { return kitchen.front->host_connections() == 0; }));
    BOOST_TEST(kitchen.front->connections() == 0u);
    BOOST_TEST(kitchen.front->open_requests() == 0u);
  }
}

}  // namespace
}  // namespace curlewdoor::system
