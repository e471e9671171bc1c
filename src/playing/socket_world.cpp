#include "playing/socket_world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "playing/messages.hpp"

namespace curlewdoor::playing {
namespace {

using rehearsal::AnswerKind;
using standin::NodeSays;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr Duration kClientWaits = milliseconds(600);
constexpr Duration kFrontNotices = milliseconds(2000);
constexpr Duration kFrontTakesUp = milliseconds(500);
constexpr Duration kOldAddressStays = milliseconds(1500);
// Beyond these the kit itself was late, and what it saw says little about the gateways.
constexpr double kMostLatenessP99Ms = 20, kMostLatenessMs = 400;
constexpr int kDescriptors = 100'000;

constexpr std::string_view kNoise = "HTTP/1.1 2OO what\r\nContent-Length: -7\r\n\r\n\x01\x02";

std::unique_ptr<HttpServer> Opened(std::unique_ptr<HttpServer> server) {
  std::string error;
  if (!server->Listen(Address{kLoopback, 0}, error)) throw std::runtime_error(error);
  return server;
}

}  // namespace

SocketWorld::SocketWorld(const rehearsal::Scenario& scenario, std::uint64_t seed, struct ev_loop* loop,
                         Keeper& keeper, Duration lead)
    : scenario_(scenario),
      seed_(seed),
      loop_(loop),
      keeper_(keeper),
      descriptors_(kDescriptors),
      stage_(scenario, seed, clock_.Now() + lead),
      record_(stage_, true),
      timer_(loop_, [](int) {}),  // only wakes the loop
      before_wait_(loop_,
                   [this](int) {
                     RunDue();
                     for (Gate& gate : gates_)
                       if (gate.clients) gate.clients->Reap();
                   }),
      gates_(static_cast<std::size_t>(scenario.gateways)) {}

SocketWorld::~SocketWorld() {
  gates_.clear();
  node_servers_.clear();
  timer_.Stop();
  before_wait_.Stop();
}

// ---- Time ---------------------------------------------------------------------------------------------

void SocketWorld::At(TimePoint at, std::function<void()> what) { due_.Add(at, std::move(what)); }

void SocketWorld::RunDue() {
  while (auto what = due_.PopDue(Now())) (*what)();
  Arm();
}

void SocketWorld::Arm() {
  timer_.Stop();
  const auto next = due_.NextDue();
  if (!next) return;
  ev_now_update(loop_);
  timer_.StartIn(std::max(Duration::zero(), *next - Now()));
}

// ---- The run ------------------------------------------------------------------------------------------

void SocketWorld::Open(const std::vector<Address>& gateways) {
  for (std::size_t n = 0; n < stage_.nodes.size(); ++n) NodeStarts(static_cast<int>(n));
  for (int g = 0; g < scenario_.gateways; ++g) {
    Gate& gate = gates_[static_cast<std::size_t>(g)];
    gate.listen = gateways[static_cast<std::size_t>(g)];
    gate.counter = OpenCounter(g);
    gate.discovery = OpenDiscovery(g);
    SocketClients::Handler handler;
    handler.on_written = [this](std::uint64_t id) { OnAskWritten(id); };
    handler.on_end = [this](std::uint64_t id, const ClientAnswer& answer) { OnAskEnd(id, answer); };
    gate.clients = std::make_unique<SocketClients>(loop_, gate.listen, descriptors_, std::move(handler));
  }
  before_wait_.Start();
}

// What was due while nobody was there to ask is left out: nobody has asked it.
void SocketWorld::Begin() {
  std::vector<standin::Ask> passed;
  stage_.crowd.Advance(Now(), passed);
  asking_ = true;
  TakeCrowd();
  LookAtSteps();
}

rehearsal::RunResult SocketWorld::Finish() {
  rehearsal::RunResult result = record_.Finish(rehearsal::Playing::kSockets);
  result.crash = crashed_;
  result.lateness_p99_ms = lateness_.Quantile(0.99);
  result.lateness_most_ms = 1e3 * standin::Seconds(latest_);
  if (result.lateness_p99_ms > kMostLatenessP99Ms || result.lateness_most_ms > kMostLatenessMs)
    result.not_judged =
        fmt::format("the kit was late by {:.0f} ms (99%) and {:.0f} ms (most): the machine is too slow",
                    result.lateness_p99_ms, result.lateness_most_ms);
  return result;
}

// The faults' steps.
void SocketWorld::LookAtSteps() {
  const TimePoint now = Now();
  if (const auto step = stage_.NextStep(); step && *step <= now) stage_.DoSteps(now, *this, record_);
  if (const auto step = stage_.NextStep()) At(*step, [this] { LookAtSteps(); });
}

// Until every gateway answers its health check with 200.
bool SocketWorld::AwaitReady(const std::function<bool()>& failed) {
  std::vector<char> ready(gates_.size());
  std::vector<std::unique_ptr<SocketClients>> askers(gates_.size());
  std::function<void(std::size_t)> ask = [&](std::size_t g) {
    askers[g]->Ask(0, [] { return std::string("GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n"); });
  };
  for (std::size_t g = 0; g < gates_.size(); ++g) {
    SocketClients::Handler handler;
    handler.on_written = [](std::uint64_t) {};
    handler.on_end = [&, g](std::uint64_t, const ClientAnswer& answer) {
      ready[g] = answer.end == ClientEnd::kAnswered && answer.status == 200;
      if (!ready[g] && Now() < stage_.start) At(Now() + milliseconds(50), [&, g] { ask(g); });
    };
    askers[g] = std::make_unique<SocketClients>(loop_, gates_[g].listen, descriptors_, std::move(handler));
    ask(g);
  }
  const auto all = [&] { return std::all_of(ready.begin(), ready.end(), [](char r) { return r != 0; }); };
  while (!all() && Now() < stage_.start && !failed()) ev_run(loop_, EVRUN_ONCE);
  const bool done = all();
  // What was due for those that were not ready must not outlive them.
  if (!done) due_ = {};
  return done;
}

// ---- Gateways -----------------------------------------------------------------------------------------

nlohmann::json SocketWorld::MembersJson(int g, const standin::ListAnswer& list) const {
  nlohmann::json targets = nlohmann::json::array();
  for (const standin::ListedNode& listed : list.nodes) {
    const rehearsal::StagedNode& staged = stage_.nodes[static_cast<std::size_t>(listed.node)];
    const char* state = listed.state == HostState::kReady      ? "active"
                        : listed.state == HostState::kDraining ? "leaving"
                                                               : "left";
    targets.push_back({{"uid", staged.name},
                       {"endpoint", node_servers_.at({staged.place, g})->address().ToText()},
                       {"az", rehearsal::ZoneName(staged.zone)},
                       {"state", state},
                       {"boot_ms", listed.started.time_since_epoch() / milliseconds(1)}});
  }
  return {{"rev", list.version}, {"all", list.all}, {"targets", targets}};
}

nlohmann::json SocketWorld::ConfigOf(int g) const {
  const Gate& gate = gates_[static_cast<std::size_t>(g)];
  const rehearsal::GatewayAddresses addresses{gate.listen.ToText(), gate.discovery->address().ToText(),
                                              gate.counter->address().ToText()};
  return rehearsal::GatewayConfig(scenario_, g, rehearsal::GatewaySeed(seed_, g, gate.life), addresses,
                                  MembersJson(g, stage_.FirstList()));
}

void SocketWorld::Started(int g) {
  Gate& gate = gates_[static_cast<std::size_t>(g)];
  ++gate.life;
  gate.ending = gate.gone = gate.crashed = false;
  gate.started = Now();
  record_.GatewayStarted(gate.started, g);
  At(Now() + kFrontTakesUp, [this, g] { SetDownUnlessThere(g); });
}

void SocketWorld::Killed(int g) {
  Gate& gate = gates_[static_cast<std::size_t>(g)];
  if (std::exchange(gate.stopped, false)) record_.GatewayContinued(Now(), g);
  gate.gone = true;
  record_.GatewayDied(Now(), g);
  At(Now() + kFrontNotices, [this, g] { SetDownUnlessThere(g); });
}

void SocketWorld::Ending(int g) {
  gates_[static_cast<std::size_t>(g)].ending = true;
  At(Now() + kFrontNotices, [this, g] { SetDownUnlessThere(g); });
}

void SocketWorld::Ended(int g, int exit_code) {
  Gate& gate = gates_[static_cast<std::size_t>(g)];
  if (gate.gone) return;
  gate.gone = true;
  record_.GatewayDied(Now(), g);
  gate.crashed = !gate.ending;
  if (gate.crashed && crashed_.empty())
    crashed_ = fmt::format("{} ended by itself with {}", rehearsal::GatewayName(g), exit_code);
}

void SocketWorld::Stopped(int g) {
  gates_[static_cast<std::size_t>(g)].stopped = true;
  record_.GatewayStopped(Now(), g);
}

void SocketWorld::Continued(int g) {
  gates_[static_cast<std::size_t>(g)].stopped = false;
  record_.GatewayContinued(Now(), g);
  At(Now() + kFrontTakesUp, [this, g] { SetDownUnlessThere(g); });
}

TimePoint SocketWorld::MayHangUp(int g) const {
  return gates_[static_cast<std::size_t>(g)].started + seconds(1);
}

void SocketWorld::Absent(int g) { stage_.crowd.SetDown(g, true); }

void SocketWorld::SetDownUnlessThere(int g) {
  const Gate& gate = gates_[static_cast<std::size_t>(g)];
  stage_.crowd.SetDown(g, gate.life == 0 || gate.gone || gate.ending || gate.stopped);
}

// ---- Clients ------------------------------------------------------------------------------------------

void SocketWorld::TakeCrowd() {
  if (!asking_) return;
  std::vector<standin::Ask> asks;
  stage_.crowd.Advance(Now(), asks);
  for (const standin::Ask& ask : asks) Ask(ask);
  if (const auto due = stage_.crowd.NextDue()) At(*due, [this] { TakeCrowd(); });
}

void SocketWorld::Ask(const standin::Ask& ask) {
  const Duration late = Now() - ask.due;
  lateness_.Add(late);
  latest_ = std::max(latest_, late);
  record_.Asked(ask);
  asks_[ask.id] = LiveAsk{ask, 0};
  At(ask.due + ask.patience + kClientWaits, [this, id = ask.id] { GiveUp(id); });
  // Its time counts from when it was due, and so does what it tells the gateway.
  gates_[static_cast<std::size_t>(ask.gateway)].clients->Ask(ask.id, [this, told = ask]() mutable {
    told.patience = std::max<Duration>(milliseconds(1), told.due + told.patience - Now());
    told.due = Now();
    return RequestText(scenario_, stage_.crowd.customers()[static_cast<std::size_t>(told.customer)], told);
  });
}

void SocketWorld::OnAskWritten(std::uint64_t id) {
  const auto it = asks_.find(id);
  if (it == asks_.end() || it->second.life != 0) return;
  it->second.life = gates_[static_cast<std::size_t>(it->second.ask.gateway)].life;
  record_.Taken(Now(), it->second.ask);
}

void SocketWorld::OnAskEnd(std::uint64_t id, const ClientAnswer& answer) {
  const auto it = asks_.find(id);
  if (it == asks_.end()) return;
  const standin::Ask ask = it->second.ask;
  if (answer.end == ClientEnd::kNotReached) return End(id, standin::Ending::kNotReached, {});
  if (answer.end == ClientEnd::kBroken) {
    // Held by a gateway that was killed, it is the client's to ask again.
    Gate& gate = gates_[static_cast<std::size_t>(ask.gateway)];
    const bool excused = (gate.gone && !gate.crashed && !gate.ending) || it->second.life != gate.life;
    record_.Unanswered(Now(), ask, excused);
    return End(id, standin::Ending::kBroken, {});
  }
  const AnswerKind kind = answer.status == 200                           ? AnswerKind::kServed
                          : answer.status == 429 || answer.status == 503 ? AnswerKind::kRefused
                                                                         : AnswerKind::kFailed;
  record_.Answered(Now(), ask, kind, answer.status, kind != AnswerKind::kServed || IsBodyOf(id, answer.body));
  End(id,
      kind == AnswerKind::kServed    ? standin::Ending::kServed
      : kind == AnswerKind::kRefused ? standin::Ending::kRefused
                                     : standin::Ending::kFailed,
      ReadRetryAfter(answer.retry_after));
}

void SocketWorld::GiveUp(std::uint64_t id) {
  const auto it = asks_.find(id);
  if (it == asks_.end()) return;
  const int g = it->second.ask.gateway;
  Gate& gate = gates_[static_cast<std::size_t>(g)];
  gate.clients->Drop(id);
  // The system takes connections for a process that stands still, or that is not there any more.
  const bool excused =
      it->second.life == 0 || it->second.life != gate.life || (gate.gone && !gate.crashed && !gate.ending);
  record_.Unanswered(Now(), it->second.ask, excused);
  if (gate.stopped) stage_.crowd.SetDown(g, true);  // the front goes elsewhere after a try that broke
  End(id, standin::Ending::kFailed, {});
}

void SocketWorld::End(std::uint64_t id, standin::Ending ending, Duration retry_after) {
  const standin::Ask ask = asks_.at(id).ask;
  asks_.erase(id);
  stage_.crowd.Ended(Now(), ask, ending, retry_after);
  // A further try may be due before the next new request.
  if (const auto due = stage_.crowd.NextDue())
    At(*due, [this] {
      if (const auto next = stage_.crowd.NextDue(); next && *next <= Now()) TakeCrowd();
    });
}

// ---- Nodes --------------------------------------------------------------------------------------------

void SocketWorld::OpenNode(int node) {
  const int place = stage_.nodes[static_cast<std::size_t>(node)].place;
  for (int g = 0; g < scenario_.gateways; ++g) {
    HttpServer::Handler handler;
    const auto standing = [this, place] { return node_at_[static_cast<std::size_t>(place)]; };
    handler.on_open = [this, standing](HttpServer&, ConnectionId) {
      if (standing() >= 0) stage_.nodes[static_cast<std::size_t>(standing())].machine->Connect();
    };
    handler.on_request = [this, standing, g](HttpServer&, ConnectionId c, const http::Message& m) {
      if (standing() >= 0) OnNodeRequest(standing(), g, c, m);
    };
    handler.on_close = [this, standing, place, g](HttpServer&, ConnectionId c) {
      const auto it = job_on_.find({place, g, c});
      if (it != job_on_.end() && standing() >= 0) {
        stage_.nodes[static_cast<std::size_t>(standing())].machine->Drop(Now(), it->second);
        jobs_.erase(it->second);
        WatchNode(standing());
      }
      if (it != job_on_.end()) job_on_.erase(it);
      if (standing() >= 0) stage_.nodes[static_cast<std::size_t>(standing())].machine->Disconnect();
    };
    auto& server = node_servers_[{place, g}];
    std::string error;
    if (server == nullptr) {
      server = Opened(std::make_unique<HttpServer>(loop_, std::move(handler)));
    } else if (!server->Listen(server->address(), error)) {
      throw std::runtime_error(error);
    }
    server->SetDeaf(false);
  }
}

void SocketWorld::NodeStarts(int node) {
  const auto place = static_cast<std::size_t>(stage_.nodes[static_cast<std::size_t>(node)].place);
  if (node_at_.size() <= place) node_at_.resize(place + 1, -1);
  if (node_wakes_.size() <= static_cast<std::size_t>(node))
    node_wakes_.resize(static_cast<std::size_t>(node) + 1, TimePoint::max());
  node_at_[place] = node;
  OpenNode(node);
}

void SocketWorld::NodeDies(int node, const std::vector<standin::NodeOutput>& resets) {
  const int place = stage_.nodes[static_cast<std::size_t>(node)].place;
  for (const standin::NodeOutput& reset : resets) jobs_.erase(reset.job);
  std::erase_if(job_on_, [&](const auto& entry) { return std::get<0>(entry.first) == place; });
  node_at_[static_cast<std::size_t>(place)] = -1;
  for (int g = 0; g < scenario_.gateways; ++g) {
    HttpServer& server = *node_servers_.at({place, g});
    server.StopListening();
    server.ResetAll();
  }
}

void SocketWorld::NodeChanges(int node) {
  const rehearsal::StagedNode& staged = stage_.nodes[static_cast<std::size_t>(node)];
  if (node_at_[static_cast<std::size_t>(staged.place)] != node) return;
  const bool deaf = staged.machine->up() && !staged.machine->reachable();
  for (int g = 0; g < scenario_.gateways; ++g) {
    HttpServer& server = *node_servers_.at({staged.place, g});
    if (server.deaf() && !deaf) ForgetUnheard(node, g);
    server.SetDeaf(deaf);
  }
  WatchNode(node);
}

// What came while the node was cut off never reached it. Read late, it would look like a request that was
// sent late (three-at-once, seed 1: "sent 4587 ms after its final answer").
void SocketWorld::ForgetUnheard(int node, int g) {
  const rehearsal::StagedNode& staged = stage_.nodes[static_cast<std::size_t>(node)];
  std::erase_if(job_on_, [&](const auto& entry) {
    if (std::get<0>(entry.first) != staged.place || std::get<1>(entry.first) != g) return false;
    staged.machine->Drop(Now(), entry.second);
    jobs_.erase(entry.second);
    return true;
  });
  HttpServer& server = *node_servers_.at({staged.place, g});
  for (std::size_t i = server.connections(); i > 0; --i) staged.machine->Disconnect();
  server.ResetAll();
}

void SocketWorld::OnNodeRequest(int node, int g, ConnectionId connection, const http::Message& request) {
  const int place = stage_.nodes[static_cast<std::size_t>(node)].place;
  HttpServer& server = *node_servers_.at({place, g});
  const std::string_view target = request.target();
  if (target == "/ping" || target == "/_load") return server.Send(connection, AnswerText(200, ""));
  const auto id = ReadRequestId(request);
  if (!id) return server.Send(connection, AnswerText(404, ""));
  const TimePoint now = Now();
  record_.AttemptBegins(now, node, g, *id);
  record_.AttemptWhole(now, node, g, *id);
  standin::Job job;
  job.id = next_job_++;
  job.request = *id;
  job.work_class = ReadClass(scenario_, request);
  job.gateway = g;
  jobs_[job.id] = NodeJob{node, g, connection, *id};
  job_on_[{place, g, connection}] = job.id;
  standin::Node& machine = *stage_.nodes[static_cast<std::size_t>(node)].machine;
  std::vector<standin::NodeOutput> outputs;
  machine.Advance(now, outputs);
  machine.Take(now, job, outputs);
  const auto fall = machine.TakeFall();
  if (fall) record_.NodeFell(now, node, fall->work_by_gateway);
  TakeOutputs(node, outputs);
  if (fall) NodeDies(node, {});
}

void SocketWorld::WatchNode(int node) {
  const auto due = stage_.nodes[static_cast<std::size_t>(node)].machine->NextDue();
  TimePoint& wakes = node_wakes_[static_cast<std::size_t>(node)];
  if (!due || (wakes > Now() && wakes <= *due)) return;
  wakes = *due;
  At(*due, [this, node, at = *due] {
    if (node_wakes_[static_cast<std::size_t>(node)] != at) return;  // set anew meanwhile
    node_wakes_[static_cast<std::size_t>(node)] = TimePoint::max();
    std::vector<standin::NodeOutput> outputs;
    stage_.nodes[static_cast<std::size_t>(node)].machine->Advance(Now(), outputs);
    TakeOutputs(node, outputs);
  });
}

void SocketWorld::TakeOutputs(int node, const std::vector<standin::NodeOutput>& outputs) {
  for (const standin::NodeRan& ran : stage_.nodes[static_cast<std::size_t>(node)].machine->TakeRan())
    record_.Ran(ran.at, node, ran.request);
  for (const standin::NodeOutput& output : outputs) {
    const auto it = jobs_.find(output.job);
    if (it == jobs_.end()) continue;
    const NodeJob job = it->second;
    jobs_.erase(it);
    Say(job, output.job, output.says);
  }
  WatchNode(node);
}

void SocketWorld::Say(const NodeJob& job, standin::JobId id, NodeSays says) {
  const int place = stage_.nodes[static_cast<std::size_t>(job.node)].place;
  HttpServer& server = *node_servers_.at({place, job.gateway});
  job_on_.erase({place, job.gateway, job.connection});
  switch (says) {
    case NodeSays::kAnswer:
      return server.Send(job.connection, AnswerText(200, NodeBody(job.request, id)));
    case NodeSays::kTurnedAway:
      return server.Send(job.connection, AnswerText(503, "", "X-Not-Processed: 1\r\n"));
    case NodeSays::kError:
      return server.Send(job.connection, AnswerText(500, ""));
    case NodeSays::kSpoilt:
      return server.Send(job.connection, kNoise);
    case NodeSays::kReset:
      server.Reset(job.connection);
      stage_.nodes[static_cast<std::size_t>(job.node)].machine->Disconnect();
      return;
  }
}

// ---- The counter --------------------------------------------------------------------------------------

std::unique_ptr<HttpServer> SocketWorld::OpenCounter(int g) {
  HttpServer::Handler handler;
  handler.on_request = [this, g](HttpServer& server, ConnectionId c, const http::Message& m) {
    OnCall(g, server, c, m);
  };
  handler.on_close = [this, g](HttpServer& server, ConnectionId c) {
    gates_[static_cast<std::size_t>(g)].counter_lines.erase({&server, c});
  };
  return Opened(std::make_unique<HttpServer>(loop_, std::move(handler)));
}

void SocketWorld::OnCall(int g, HttpServer& server, ConnectionId connection, const http::Message& request) {
  const auto call = ReadCounterCall(request);
  if (!call) return server.Send(connection, AnswerText(404, ""));
  record_.Called(Now(), g);
  CounterLine& line = gates_[static_cast<std::size_t>(g)].counter_lines[{&server, connection}];
  const auto answer = stage_.counter.Add(Now(), g, call->name, call->amount, call->keep);
  line.stuck = line.stuck || !answer;  // what comes behind an answer that never comes, never comes
  if (line.stuck) return;
  line.last = std::max(line.last, answer->at);
  std::string text = answer->status != 200 ? AnswerText(answer->status, "")
                     : answer->total       ? AnswerText(200, fmt::format("{:.7g}", *answer->total))
                                           : AnswerText(200, "noise");
  At(line.last, [this, g, server = &server, connection, text = std::move(text)] {
    Gate& gate = gates_[static_cast<std::size_t>(g)];
    if (server == gate.counter.get() || server == gate.old_counter.get()) server->Send(connection, text);
  });
}

void SocketWorld::CounterMoves() {
  for (int g = 0; g < scenario_.gateways; ++g) {
    Gate& gate = gates_[static_cast<std::size_t>(g)];
    gate.old_counter = std::move(gate.counter);
    gate.old_counter->StopListening();
    gate.counter = OpenCounter(g);
    keeper_.Reconfigure(g);
    At(Now() + kOldAddressStays, [this, g] {
      Gate& moved = gates_[static_cast<std::size_t>(g)];
      std::erase_if(moved.counter_lines,
                    [&](const auto& e) { return e.first.first == moved.old_counter.get(); });
      moved.old_counter.reset();
    });
  }
}

// ---- Discovery ----------------------------------------------------------------------------------------

std::unique_ptr<HttpServer> SocketWorld::OpenDiscovery(int g) {
  HttpServer::Handler handler;
  handler.on_request = [this, g](HttpServer& server, ConnectionId c, const http::Message& m) {
    OnList(g, server, c, m);
  };
  handler.on_close = [this, g](HttpServer&, ConnectionId c) {
    std::erase_if(gates_[static_cast<std::size_t>(g)].watching,
                  [&](const Watching& w) { return w.connection == c; });
  };
  return Opened(std::make_unique<HttpServer>(loop_, std::move(handler)));
}

void SocketWorld::OnList(int g, HttpServer& server, ConnectionId connection, const http::Message& request) {
  Gate& gate = gates_[static_cast<std::size_t>(g)];
  const auto call = ReadListCall(request);
  if (!call) return server.Send(connection, AnswerText(404, ""));
  if (const auto list = stage_.discovery.Read(Now(), g, call->from)) return AnswerList(g, connection, *list);
  if (!call->from || &server != gate.discovery.get()) return;  // silent, or about to go
  gate.watching.push_back({connection, *call->from, Now() + call->hold});
  At(Now() + call->hold, [this, g] { LookAtWatches(g); });
  if (const auto news = stage_.discovery.NextNews(g, *call->from)) At(*news, [this, g] { LookAtWatches(g); });
}

void SocketWorld::AnswerList(int g, ConnectionId connection, const standin::ListAnswer& list) {
  for (const standin::ListedNode& listed : list.nodes) record_.Told(Now(), g, listed.node, listed.state);
  gates_[static_cast<std::size_t>(g)].discovery->Send(connection,
                                                      AnswerText(200, MembersJson(g, list).dump()));
}

void SocketWorld::LookAtWatches(int g) {
  if (stage_.discovery.silent()) return;
  const std::vector<Watching> watching = std::exchange(gates_[static_cast<std::size_t>(g)].watching, {});
  for (const Watching& watch : watching) {
    if (const auto list = stage_.discovery.Read(Now(), g, watch.from)) {
      AnswerList(g, watch.connection, *list);
    } else if (watch.until <= Now()) {
      AnswerList(g, watch.connection, {watch.from, false, {}});
    } else {
      gates_[static_cast<std::size_t>(g)].watching.push_back(watch);
    }
  }
}

void SocketWorld::DiscoveryChanges() {
  for (int g = 0; g < scenario_.gateways; ++g) {
    LookAtWatches(g);
    for (const Watching& watch : gates_[static_cast<std::size_t>(g)].watching)
      if (const auto news = stage_.discovery.NextNews(g, watch.from))
        At(*news, [this, g] { LookAtWatches(g); });
  }
}

void SocketWorld::DiscoveryMoves() {
  for (int g = 0; g < scenario_.gateways; ++g) {
    Gate& gate = gates_[static_cast<std::size_t>(g)];
    gate.old_discovery = std::move(gate.discovery);
    gate.old_discovery->StopListening();
    gate.watching.clear();
    gate.discovery = OpenDiscovery(g);
    keeper_.Reconfigure(g);
    At(Now() + kOldAddressStays, [this, g] { gates_[static_cast<std::size_t>(g)].old_discovery.reset(); });
  }
}

}  // namespace curlewdoor::playing
