#include "playing/stand.hpp"

#include <ev.h>
#include <fmt/format.h>

#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_map>

#include "core/timers.hpp"
#include "playing/http_server.hpp"
#include "playing/messages.hpp"

namespace curlewdoor::playing {
namespace {

// What all three share: the server, the clock, and things to do later.
class Standing {
 public:
  Standing(struct ev_loop* loop, const StandOptions& options, HttpServer::Handler handler)
      : server(loop, std::move(handler)), timer_(loop, [this](int) { RunDue(); }), loop_(loop) {
    std::string error;
    if (!server.Listen(options.listen, error)) throw std::runtime_error(error);
    fmt::print("{} listens on {}\n", options.what, server.address().ToText());
    std::fflush(stdout);
  }
  TimePoint Now() { return clock_.Now(); }
  void At(TimePoint at, std::function<void()> what) {
    due_.Add(at, std::move(what));
    Arm();
  }

  HttpServer server;

 private:
  void RunDue() {
    while (auto what = due_.PopDue(Now())) (*what)();
    Arm();
  }
  void Arm() {
    const auto next = due_.NextDue();
    if (!next) return;
    ev_now_update(loop_);
    timer_.StartIn(std::max(Duration::zero(), *next - Now()));
  }

  WallClock clock_;
  TimerQueue<std::function<void()>> due_;
  net::TimerWatcher timer_;
  struct ev_loop* loop_;
};

class StandingNode {
 public:
  StandingNode(struct ev_loop* loop, const StandOptions& options)
      : at_once_(options.work.mean <= Duration::zero()),
        machine_(options.node, {options.work}, 1, options.seed),
        standing_(loop, options, MakeHandler()) {
    machine_.Start(standing_.Now(), false);
  }

 private:
  HttpServer::Handler MakeHandler() {
    HttpServer::Handler handler;
    handler.on_open = [this](HttpServer&, ConnectionId) { machine_.Connect(); };
    handler.on_request = [this](HttpServer& server, ConnectionId c, const http::Message& m) {
      OnRequest(server, c, m);
    };
    handler.on_close = [this](HttpServer&, ConnectionId c) {
      machine_.Disconnect();
      std::erase_if(jobs_, [&](const auto& entry) {
        if (entry.second.first != c) return false;
        machine_.Drop(standing_.Now(), entry.first);
        return true;
      });
    };
    return handler;
  }
  void OnRequest(HttpServer& server, ConnectionId connection, const http::Message& request) {
    if (request.target() == "/ping" || request.target() == "/_load")
      return server.Send(connection, AnswerText(200, ""));
    const auto id = ReadRequestId(request);
    if (!id) return server.Send(connection, AnswerText(404, ""));
    const standin::JobId job = next_job_++;
    if (at_once_) return server.Send(connection, AnswerText(200, NodeBody(*id, job)));
    jobs_[job] = {connection, *id};
    standin::Job work;
    work.id = job;
    work.request = *id;
    std::vector<standin::NodeOutput> outputs;
    machine_.Advance(standing_.Now(), outputs);
    machine_.Take(standing_.Now(), work, outputs);
    Say(outputs);
  }
  void Say(const std::vector<standin::NodeOutput>& outputs) {
    machine_.TakeRan();  // nobody judges here
    for (const standin::NodeOutput& output : outputs) {
      const auto it = jobs_.find(output.job);
      if (it == jobs_.end()) continue;
      const auto [connection, id] = it->second;
      jobs_.erase(it);
      if (output.says == standin::NodeSays::kTurnedAway)
        standing_.server.Send(connection, AnswerText(503, "", "X-Not-Processed: 1\r\n"));
      else if (output.says == standin::NodeSays::kAnswer)
        standing_.server.Send(connection, AnswerText(200, NodeBody(id, output.job)));
      else
        standing_.server.Send(connection, AnswerText(500, ""));
    }
    if (const auto due = machine_.NextDue())
      standing_.At(*due, [this] {
        std::vector<standin::NodeOutput> later;
        machine_.Advance(standing_.Now(), later);
        if (!later.empty()) Say(later);
      });
  }

  const bool at_once_;
  standin::Node machine_;
  std::unordered_map<standin::JobId, std::pair<ConnectionId, std::uint64_t>> jobs_;
  standin::JobId next_job_ = 1;
  Standing standing_;
};

class StandingCounter {
 public:
  StandingCounter(struct ev_loop* loop, const StandOptions& options)
      : counter_(options.counter, 1, options.seed), standing_(loop, options, MakeHandler()) {}

 private:
  HttpServer::Handler MakeHandler() {
    HttpServer::Handler handler;
    handler.on_request = [this](HttpServer& server, ConnectionId connection, const http::Message& request) {
      const auto call = ReadCounterCall(request);
      if (!call) return server.Send(connection, AnswerText(404, ""));
      const auto answer = counter_.Add(standing_.Now(), 0, call->name, call->amount, call->keep);
      const std::string body = answer->total ? fmt::format("{:.7g}", *answer->total) : "";
      const std::string text = AnswerText(answer->status, body);
      if (answer->at <= standing_.Now()) return server.Send(connection, text);
      TimePoint& last = last_[connection];
      last = std::max(last, answer->at);
      standing_.At(last, [this, connection, text] { standing_.server.Send(connection, text); });
    };
    handler.on_close = [this](HttpServer&, ConnectionId connection) { last_.erase(connection); };
    return handler;
  }

  standin::Counter counter_;
  std::unordered_map<ConnectionId, TimePoint> last_;
  Standing standing_;
};

// A list that never changes: watches wait until their hold is over.
class StandingDiscovery {
 public:
  StandingDiscovery(struct ev_loop* loop, const StandOptions& options)
      : standing_(loop, options, MakeHandler()) {
    nlohmann::json targets = nlohmann::json::array();
    for (std::size_t i = 0; i < options.nodes.size(); ++i)
      targets.push_back({{"uid", fmt::format("node-{}", i)},
                         {"endpoint", options.nodes[i].ToText()},
                         {"az", "zone-a"},
                         {"state", "active"},
                         {"boot_ms", 0}});
    whole_ = nlohmann::json{{"rev", 1}, {"all", true}, {"targets", targets}}.dump();
  }

 private:
  HttpServer::Handler MakeHandler() {
    HttpServer::Handler handler;
    handler.on_request = [this](HttpServer& server, ConnectionId connection, const http::Message& request) {
      const auto call = ReadListCall(request);
      if (!call) return server.Send(connection, AnswerText(404, ""));
      if (!call->from || *call->from != 1) return server.Send(connection, AnswerText(200, whole_));
      standing_.At(standing_.Now() + call->hold, [this, connection] {
        standing_.server.Send(connection, AnswerText(200, R"({"rev":1,"all":false,"targets":[]})"));
      });
    };
    return handler;
  }

  std::string whole_;
  Standing standing_;
};

template <typename What>
void ServeUntilSignal(const StandOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  struct ev_loop* loop = ev_loop_new(unsigned{EVBACKEND_EPOLL} | unsigned{EVFLAG_NOENV});
  {
    net::SignalWatcher term(loop, SIGTERM, [loop](int) { ev_break(loop, EVBREAK_ALL); });
    net::SignalWatcher interrupt(loop, SIGINT, [loop](int) { ev_break(loop, EVBREAK_ALL); });
    What what(loop, options);
    ev_run(loop, 0);
  }
  ev_loop_destroy(loop);
}

}  // namespace

void Stand(const StandOptions& options) {
  if (options.what == "node") return ServeUntilSignal<StandingNode>(options);
  if (options.what == "counter") return ServeUntilSignal<StandingCounter>(options);
  if (options.what == "discovery") return ServeUntilSignal<StandingDiscovery>(options);
  throw std::runtime_error(fmt::format("no stand-in \"{}\": node, counter or discovery", options.what));
}

}  // namespace curlewdoor::playing
