// What a gateway that was told to end still answers: requests at all moments after its SIGTERM, on
// connections that never carried one, behind another answer, and with a body that is still coming. Real
// processes, judged from outside.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "logs_on_failure.hpp"
#include "stand_caller.hpp"
#include "systemkit/environment.hpp"
#include "systemkit/world.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr int kCore = 3, kOthers = 1;
constexpr double kSoon = 20;
constexpr double kGrace = 6;         // seconds of grace_s
constexpr double kListens = 2.4;     // ... after SIGTERM while new connections are taken
constexpr double kOpenBefore = 0.5;  // ... from connecting to the first request, where that is possible
constexpr int kSlowMs = 3000, kLongDeadlineMs = 5000;

// Some bytes of a client, so many seconds after the SIGTERM.
struct Piece {
  double at = 0;
  std::string bytes;
};
// A connection and the requests that are sent on it, by their ids.
struct Client {
  std::string name;
  double opens_at = 0;
  std::vector<Piece> pieces;
  std::vector<std::string> ids;
  std::unique_ptr<system::Caller> caller;
  std::size_t sent = 0;  // pieces
};

class PlannedEnd {
 public:
  PlannedEnd() : world(Options()) {}

  std::string NextId() { return "end-" + std::to_string(++last_id_); }
  static std::string Request(const std::string& id, const std::string& route, int work_ms, int deadline_ms,
                             std::size_t body_size = 0) {
    const bool reads = route == "read";
    const Clients::Kind kind = reads ? Reads(0) : Writes(0);
    return fmt::format(
        "{} /{}/x?work_ms={} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Remaining: {}\r\n"
        "Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
        reads ? "GET" : "POST", route, work_ms, kind.host, id, deadline_ms, kind.key, body_size);
  }
  // One request on a connection of its own.
  void Add(double at, const std::string& route, int work_ms, int deadline_ms) {
    const std::string id = NextId();
    AddClient(fmt::format("{} at {} s, work {} ms, deadline {} ms", route, at, work_ms, deadline_ms),
              {{at, Request(id, route, work_ms, deadline_ms)}}, {id});
  }
  Client& AddClient(std::string name, std::vector<Piece> pieces, std::vector<std::string> ids) {
    const double opens_at = std::min(pieces.front().at - kOpenBefore, kListens);
    clients.push_back({std::move(name), opens_at, std::move(pieces), std::move(ids), nullptr, 0});
    return clients.back();
  }

  // Plays all clients around the SIGTERM of a machine, up to its end.
  void Play(int machine) {
    constexpr double kFirst = 1;  // seconds before the SIGTERM, for those that come before it
    const double term_at = world.pace.Now() + kFirst;
    bool told = false;
    const bool ended = world.Until(
        [&] {
          const double since = world.pace.Now() - term_at;
          if (!told && since >= 0) {
            world.machines.Signal(machine, SIGTERM);
            told = true;
          }
          for (Client& client : clients) Step(client, machine, since);
          return told && !world.machines.Running(machine);
        },
        kFirst + kGrace + 1);
    BOOST_TEST(ended, "the process has not ended by itself");
    BOOST_TEST(world.pace.Now() - term_at < kGrace);
    world.For(0.2);  // what was on its way
  }
  // LOST: passed on to a host, or read whole, and ended without an answer. A promise: it has not run.
  void Judge() {
    std::set<std::string> passed_on, ran;
    for (const Run& run : world.sightings.runs()) {
      passed_on.insert(run.id);
      if (run.ran) ran.insert(run.id);
    }
    for (const Client& client : clients) {
      const auto answers = AnswersOf(client);
      for (std::size_t i = 0; i < client.ids.size(); ++i) {
        if (i < answers.size()) {
          if (answers[i].status == 503)
            BOOST_TEST(!ran.contains(client.ids[i]), client.name << " is answered 503 and has run");
          continue;
        }
        const bool behind = i > 0;  // it counts as not read
        const bool lost =
            passed_on.contains(client.ids[i]) || (!behind && client.sent == client.pieces.size());
        BOOST_TEST(!lost, "LOST: " << client.name << " gets no answer, "
                                   << (passed_on.contains(client.ids[i]) ? "passed on" : "not passed on"));
      }
    }
  }
  static std::vector<system::Answer> AnswersOf(const Client& client) {
    if (client.caller == nullptr) return {};
    return system::Split(client.caller->came, client.caller->over).whole;
  }
  static int StatusOf(const Client& client) {
    const auto answers = AnswersOf(client);
    return answers.empty() ? 0 : answers.front().status;
  }

  World world;
  std::vector<Client> clients;

 private:
  static Machines::Options Options() {
    Machines::Options options;
    options.program = ProgramToPlay(CURLEWDOOR_PROGRAM);
    options.core = kCore;
    options.others = kOthers;
    return options;
  }
  void Step(Client& client, int machine, double since) {
    if (client.caller == nullptr && since >= client.opens_at)
      client.caller = std::make_unique<system::Caller>(world.owner.loop, world.machines.data_plane(machine));
    while (client.caller != nullptr && !client.caller->over && client.sent < client.pieces.size() &&
           since >= client.pieces[client.sent].at)
      client.caller->Write(client.pieces[client.sent++].bytes);
  }

  const LogsOnFailure logs_{world.machines};
  int last_id_ = 0;
};

// Around the SIGTERM of a gateway without a disk, then of a member of the core: the clients that `add` adds
// beside one that keeps the gateway at work until shortly before its end. `look` has further looks at their
// answers.
void PlayAll(const std::function<void(PlannedEnd&)>& add, const std::function<void(PlannedEnd&)>& look = {}) {
  PlannedEnd end;
  BOOST_REQUIRE(end.world.Start({.timeout_ms = 10'000}));
  for (const int machine : {3, 1}) {
    end.clients.clear();
    end.Add(-0.3, "read", 5500, 9000);
    add(end);
    end.Play(machine);
    end.Judge();
    if (look) look(end);
  }
}

// Guards against requests that a leaving gateway passes on and leaves without an answer (LOST, planned work).
BOOST_AUTO_TEST_CASE(a_request_after_a_sigterm_is_answered_or_declined_whenever_it_comes) {
  PlayAll(
      [](PlannedEnd& end) {
        for (const double at : {0.6, 1.5, 2.1, 2.6, 3.2, 3.8, 4.4, 5.0, 5.2})
          for (const char* route : {"read", "write"}) end.Add(at, route, kSlowMs, kLongDeadlineMs);
      },
      [](PlannedEnd& end) {
        BOOST_TEST(PlannedEnd::StatusOf(end.clients[0]) == 200);
        BOOST_TEST(PlannedEnd::StatusOf(end.clients[1]) == 200);  // at 0.6 s: there is time enough
        BOOST_TEST(PlannedEnd::StatusOf(end.clients[2]) == 200);
      });
}

// Guards against a leaving gateway that declines what it could have finished.
BOOST_AUTO_TEST_CASE(a_request_after_a_sigterm_that_can_be_finished_is_served) {
  PlayAll(
      [](PlannedEnd& end) {
        for (const double at : {0.6, 2.1, 3.2, 4.4})
          for (const char* route : {"read", "write"}) end.Add(at, route, 100, 900);
      },
      [](PlannedEnd& end) {
        for (const Client& client : end.clients)
          BOOST_TEST(PlannedEnd::StatusOf(client) == 200, client.name << " isn't served");
      });
}

// Guards against the same loss where a body is still coming at the SIGTERM or long after it.
BOOST_AUTO_TEST_CASE(a_request_whose_body_comes_during_the_shutdown_is_answered_or_declined) {
  PlayAll([](PlannedEnd& end) {
    constexpr std::size_t kShort = 400, kLong = 400'000;
    for (const std::size_t size : {kShort, kLong}) {
      for (const auto& [begins, goes_on] : {std::pair(-0.2, 2.0), std::pair(1.0, 3.2), std::pair(2.3, 4.5)}) {
        const std::string id = end.NextId(), half(size / 2, 'b');
        end.AddClient(
            fmt::format("a body of {} bytes from {} s to {} s", size, begins, goes_on),
            {{begins, PlannedEnd::Request(id, "write", kSlowMs, 8000, size) + half}, {goes_on, half}}, {id});
      }
    }
  });
}

// Guards against the same loss of requests that were sent ahead or behind an answer under way.
BOOST_AUTO_TEST_CASE(requests_behind_another_answer_are_answered_or_not_read) {
  PlayAll([](PlannedEnd& end) {
    for (const auto& [first, second] : {std::pair(-0.2, -0.1), std::pair(-0.2, 3.2), std::pair(0.7, 3.4)}) {
      const std::string one = end.NextId(), other = end.NextId();
      end.AddClient(fmt::format("a request at {} s behind one at {} s", second, first),
                    {{first, PlannedEnd::Request(one, "read", kSlowMs, kLongDeadlineMs)},
                     {second, PlannedEnd::Request(other, "read", kSlowMs, kLongDeadlineMs)}},
                    {one, other});
    }
  });
}

// Guards against answers that are lost behind one that outlasts the process (LOST): their own hosts were
// done.
BOOST_AUTO_TEST_CASE(answers_behind_one_that_outlasts_the_process_are_delivered) {
  constexpr int kOutlastsMs = 9000, kQuickMs = 100;
  PlayAll(
      [](PlannedEnd& end) {
        for (const char* first : {"read", "write"}) {
          std::vector<std::string> ids{end.NextId(), end.NextId(), end.NextId()};
          std::vector<Piece> pieces{{-0.3, PlannedEnd::Request(ids[0], first, kOutlastsMs, kOutlastsMs)},
                                    {-0.2, PlannedEnd::Request(ids[1], "read", kQuickMs, kOutlastsMs)},
                                    {-0.1, PlannedEnd::Request(ids[2], "read", kQuickMs, kOutlastsMs)}};
          end.AddClient(fmt::format("two requests behind a {} that outlasts the process", first),
                        std::move(pieces), std::move(ids));
        }
      },
      [](PlannedEnd& end) {
        for (std::size_t i = 1; i < end.clients.size(); ++i) {
          const auto answers = PlannedEnd::AnswersOf(end.clients[i]);
          BOOST_TEST(answers.size() == 3U, end.clients[i].name << ": " << answers.size() << " answers");
          for (std::size_t behind = 1; behind < answers.size(); ++behind)
            BOOST_TEST(answers[behind].status == 200);
        }
      });
}

}  // namespace
}  // namespace curlewdoor::systemkit
