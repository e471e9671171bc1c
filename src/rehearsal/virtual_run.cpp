#include "rehearsal/virtual_run.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace curlewdoor::rehearsal {
namespace {

using standin::FromSeconds;
using standin::JobId;
using standin::NodeSays;
using std::chrono::milliseconds;

// A fixed instant, so that windows of quotas fall the same way in every run.
constexpr TimePoint kStart{std::chrono::seconds(1'700'000'000)};
constexpr Duration kResent = milliseconds(200);         // what is lost comes this much later
constexpr Duration kFrontNotices = milliseconds(2000);  // that a gateway does not answer
constexpr Duration kFrontTakesIn = milliseconds(500);   // one that is ready again
constexpr Duration kClientWaits = milliseconds(600);    // beyond its time, to see an answer that is late
constexpr int kStuckAfter = 8;                          // as the daemon's connections to the counter
constexpr Duration kHouseEvery = milliseconds(250);
constexpr Duration kPlaysOn = std::chrono::seconds(4);  // after the end, for what is still open

// A job is one attempt; ids of requests are new with each try.
JobId JobOf(AttemptId attempt) {
  return attempt.request.value << 6 | static_cast<std::uint64_t>(attempt.number);
}

}  // namespace

VirtualRun::VirtualRun(const Scenario& scenario, std::uint64_t seed, bool by_second,
                       GatewayCoreFactory make_core)
    : scenario_(scenario),
      make_core_(std::move(make_core)),
      stage_(scenario, seed, kStart),
      record_(stage_, by_second),
      random_(standin::MakeRandom(seed, "network")),
      now_(kStart),
      gateways_(static_cast<std::size_t>(scenario.gateways)) {}

VirtualRun::~VirtualRun() = default;

void VirtualRun::At(TimePoint at, What what, int a, int b, std::uint64_t x, double d) {
  queue_.push({std::max(at, now_), order_++, what, a, b, x, d});
}

Duration VirtualRun::Way(Duration distance, double loss) {
  const double factor = 1 + scenario_.network.jitter * standin::Uniform(random_, -1, 1);
  const auto way = std::chrono::duration_cast<Duration>(distance * factor);
  return standin::Chance(random_, loss) ? way + kResent : way;
}

RunResult VirtualRun::Play() {
  const nlohmann::json known{{"rev", 0}, {"all", true}, {"targets", nlohmann::json::array()}};
  for (std::size_t n = 0; n < stage_.nodes.size(); ++n) NodeStarts(static_cast<int>(n));
  for (int g = 0; g < scenario_.gateways; ++g) {
    // Through the daemon's own reading, so that both ways of playing have the same settings.
    const auto json = GatewayConfig(scenario_, g, 0, {"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"}, known);
    std::string error;
    GatewayAt(g).config = config::ParseConfig(json.dump(), {}, error);
    if (!GatewayAt(g).config) throw std::runtime_error(error);
    GatewayStarts(g);
  }
  At(stage_.start, What::kCrowd);
  if (const auto step = stage_.NextStep()) At(*step, What::kStep);
  const TimePoint until = stage_.end + kPlaysOn;
  while (!queue_.empty() && queue_.top().at <= until) {
    const Happening next = queue_.top();
    queue_.pop();
    now_ = next.at;
    Take(next);
  }
  return record_.Finish(Playing::kVirtual);
}

void VirtualRun::Take(const Happening& next) {
  switch (next.what) {
    case What::kStep:
      stage_.DoSteps(now_, *this, record_);
      if (const auto step = stage_.NextStep()) At(*step, What::kStep);
      return;
    case What::kCrowd:
      return TakeCrowd();
    case What::kWake: {
      VirtualGateway& gateway = GatewayAt(next.a);
      if (gateway.life != next.b || gateway.wakes != next.at) return;
      gateway.wakes = TimePoint::max();
      const auto due = gateway.core != nullptr ? gateway.core->NextDue() : std::nullopt;
      if (due && *due <= now_) return Post(next.a, TimePassed{});
      return Settle(next.a);
    }
    case What::kNode:
      return TakeNode(next.a);
    case What::kAskArrives:
      return TakeAsk(next.x);
    case What::kAnswerArrives:
      return TakeAnswer(next);
    case What::kGiveUp:
      return TakeGiveUp(next.x);
    case What::kConnected:
      return TakeConnected(next.x, false);
    case What::kConnectFails:
      return TakeConnected(next.x, true);
    case What::kAttemptArrives:
      return TakeAttempt(next.x);
    case What::kDropArrives:
      return TakeDrop(next.x);
    case What::kAttemptBack:
      return TakeAttemptBack(next.x, static_cast<NodeSays>(next.a));
    case What::kCallArrives:
      return TakeCall(next.x);
    case What::kCallBack:
      return TakeCallBack(next.x, false);
    case What::kCallStuck:
      return TakeCallBack(next.x, true);
    case What::kNews:
      return TakeNews(next.a);
    case What::kFrontSees:
      return stage_.crowd.SetDown(next.a, next.b != 0);
  }
}

// ---- Gateways -----------------------------------------------------------------------------------------

void VirtualRun::GatewayStarts(int g) {
  VirtualGateway& gateway = GatewayAt(g);
  if (gateway.core != nullptr) GatewayDies(g);  // it had not ended yet
  ++gateway.life;
  gateway.ending = false;
  gateway.core = make_core_(gateway.config->settings, GatewaySeed(stage_.seed, g, gateway.life));
  gateway.wakes = TimePoint::max();
  gateway.kept.assign(stage_.nodes.size(), 0);
  gateway.connecting.clear();
  record_.GatewayStarted(now_, g);
  const standin::ListAnswer first = stage_.FirstList();
  gateway.version = first.version;
  TellMembers(g, first, true);
  gateway.watching = true;
  TakeNews(g);
  At(now_ + kFrontTakesIn, What::kFrontSees, g, 0);
}

void VirtualRun::GatewayDies(int g) {
  VirtualGateway& gateway = GatewayAt(g);
  if (gateway.core == nullptr) return;
  record_.GatewayDied(now_, g);
  gateway.core.reset();
  At(now_ + kFrontNotices, What::kFrontSees, g, 1);
  // Its connections end: nodes give up its work, and clients see a reset.
  std::vector<JobId> jobs;
  for (const auto& [id, job] : jobs_)
    if (job.gateway == g && job.life == gateway.life && !job.dropped) jobs.push_back(id);
  std::sort(jobs.begin(), jobs.end());  // the table's order is nobody's business
  for (JobId id : jobs) {
    VirtualJob& job = jobs_.at(id);
    job.dropped = true;
    At(std::max(job.arrives, now_ + stage_.Distance(g, job.node)), What::kDropArrives, 0, 0, id);
  }
  for (std::size_t n = 0; n < gateway.kept.size(); ++n)
    for (int i = 0; i < gateway.kept[n]; ++i) stage_.nodes[n].machine->Disconnect();
  std::vector<std::uint64_t> asks;
  for (const auto& [id, live] : asks_)
    if (live.ask.gateway == g && live.life == gateway.life && !live.over && !live.answering)
      asks.push_back(id);
  std::sort(asks.begin(), asks.end());
  for (std::uint64_t id : asks) {
    LiveAsk& live = asks_.at(id);
    live.over = true;
    record_.Unanswered(now_, live.ask, true);
    stage_.crowd.Ended(now_, live.ask, standin::Ending::kBroken, {});
  }
  TakeCrowd();
}

// From here on it takes nothing new, and ends once nothing is owed.
void VirtualRun::GatewayEnds(int g) {
  GatewayAt(g).ending = true;
  At(now_ + kFrontNotices, What::kFrontSees, g, 1);
  Settle(g);
}

void VirtualRun::Post(int g, Input input) {
  inputs_.emplace_back(g, std::move(input));
  if (std::exchange(handling_, true)) return;
  while (!inputs_.empty()) {
    auto [to, next] = std::move(inputs_.front());
    inputs_.pop_front();
    VirtualGateway& gateway = GatewayAt(to);
    if (gateway.core == nullptr) continue;
    gateway.core->Handle(now_, std::move(next), effects_);
    for (const Effect& effect : effects_) std::visit([&](const auto& each) { Apply(to, each); }, effect);
    effects_.clear();
    if (inputs_.empty() || inputs_.front().first != to) Settle(to);
  }
  handling_ = false;
}

// Sees to it that the gateway wakes when something is due, and that one that is ending ends.
void VirtualRun::Settle(int g) {
  VirtualGateway& gateway = GatewayAt(g);
  if (gateway.core == nullptr) return;
  if (gateway.ending && gateway.core->open_requests() == 0) return GatewayDies(g);
  const auto due = gateway.core->NextDue();
  if (!due || *due >= gateway.wakes) return;
  gateway.wakes = std::max(now_, *due);
  At(gateway.wakes, What::kWake, g, gateway.life);
}

// ---- Clients ------------------------------------------------------------------------------------------

void VirtualRun::TakeCrowd() {
  new_asks_.clear();
  stage_.crowd.Advance(now_, new_asks_);
  const std::vector<standin::Ask> asks = new_asks_;
  for (const standin::Ask& ask : asks) {
    record_.Asked(ask);
    asks_[ask.id] = LiveAsk{ask};
    At(ask.due + Way(scenario_.network.client), What::kAskArrives, 0, 0, ask.id);
    At(ask.due + ask.patience + kClientWaits, What::kGiveUp, 0, 0, ask.id);
  }
  const auto due = stage_.crowd.NextDue();
  if (!due || (crowd_wakes_ > now_ && crowd_wakes_ <= *due)) return;
  crowd_wakes_ = *due;
  At(*due, What::kCrowd);
}

void VirtualRun::TakeAsk(std::uint64_t id) {
  LiveAsk& live = asks_.at(id);
  VirtualGateway& gateway = GatewayAt(live.ask.gateway);
  if (gateway.core == nullptr || gateway.ending) {
    live.over = true;
    stage_.crowd.Ended(now_, live.ask, standin::Ending::kNotReached, {});
    return TakeCrowd();
  }
  live.life = gateway.life;
  record_.Taken(now_, live.ask);
  const standin::Customer& customer = stage_.crowd.customers()[static_cast<std::size_t>(live.ask.customer)];
  RequestArrived request;
  request.id = RequestId{id};
  request.customer = customer.name;
  request.plan = scenario_.plans[static_cast<std::size_t>(customer.plan)].crowd.name;
  request.request_class = scenario_.classes[static_cast<std::size_t>(live.ask.request_class)].asked.name;
  request.units = live.ask.units;
  request.set_size = customer.set_size;
  request.set_first = customer.set_first;
  request.time_left = live.ask.patience;
  Post(live.ask.gateway, RequestRead{std::move(request)});
}

void VirtualRun::Answer(RequestId request, AnswerKind kind, int status, Duration retry_after) {
  if (const auto it = asks_.find(request.value); it != asks_.end()) it->second.answering = true;
  At(now_ + Way(scenario_.network.client), What::kAnswerArrives, static_cast<int>(kind), status,
     request.value, standin::Seconds(retry_after));
}

void VirtualRun::Apply(int, const DeliverAnswer& effect) {
  Answer(effect.attempt.request, AnswerKind::kServed, 200, {});
}
void VirtualRun::Apply(int, const RespondRefused& effect) {
  Answer(effect.request, AnswerKind::kRefused, 429, effect.retry_after);
}
void VirtualRun::Apply(int, const RespondFailed& effect) {
  Answer(effect.request, AnswerKind::kFailed, 502, {});
}

// a: the kind of answer; b: its status; x: the request; d: seconds to come back.
void VirtualRun::TakeAnswer(const Happening& happening) {
  const auto it = asks_.find(happening.x);
  if (it == asks_.end()) return;
  LiveAsk& live = it->second;
  const auto kind = static_cast<AnswerKind>(happening.a);
  record_.Answered(now_, live.ask, kind, happening.b, true);
  if (std::exchange(live.over, true)) return;
  const auto ending = kind == AnswerKind::kServed    ? standin::Ending::kServed
                      : kind == AnswerKind::kRefused ? standin::Ending::kRefused
                                                     : standin::Ending::kFailed;
  stage_.crowd.Ended(now_, live.ask, ending, FromSeconds(happening.d));
  TakeCrowd();
}

void VirtualRun::TakeGiveUp(std::uint64_t id) {
  const auto it = asks_.find(id);
  if (it == asks_.end()) return;
  const LiveAsk live = it->second;
  asks_.erase(it);
  if (live.over) return;
  record_.Unanswered(now_, live.ask, false);
  Post(live.ask.gateway, ClientDisconnected{RequestId{id}});
  stage_.crowd.Ended(now_, live.ask, standin::Ending::kFailed, {});
  TakeCrowd();
}

// ---- Attempts -----------------------------------------------------------------------------------------

int VirtualRun::NodeOf(HostId host) const {
  const auto it = node_of_.find(host);
  return it == node_of_.end() ? -1 : it->second;
}

int& VirtualRun::Kept(int g, int node) {
  std::vector<int>& kept = GatewayAt(g).kept;
  if (kept.size() <= static_cast<std::size_t>(node)) kept.resize(static_cast<std::size_t>(node) + 1);
  return kept[static_cast<std::size_t>(node)];
}

void VirtualRun::Apply(int g, const StartAttempt& effect) {
  const int node = NodeOf(effect.host);
  const JobId id = JobOf(effect.attempt);
  VirtualJob job;
  job.attempt = effect.attempt;
  job.gateway = g;
  job.life = GatewayAt(g).life;
  job.node = node;
  job.arrives = now_;
  VirtualJob& placed = jobs_[id] = job;
  if (Kept(g, node) > 0) {
    --Kept(g, node);
    return Send(id, placed);
  }
  placed.connecting = placed.fresh = true;
  GatewayAt(g).connecting.push_back(id);
  const NetworkTrouble& net = stage_.network(g);
  const standin::Node& machine = *stage_.nodes[static_cast<std::size_t>(node)].machine;
  const Duration there_and_back = Way(2 * stage_.Distance(g, node), net.loss);
  const bool heard = machine.reachable() && !net.cut;
  const bool refused = !machine.up() && !net.cut;
  if (heard || refused)
    return At(now_ + there_and_back, heard ? What::kConnected : What::kConnectFails, 0, 0, id);
  At(now_ + GatewayAt(g).config->settings.limits.connect_timeout, What::kConnectFails, 0, 0, id);
}

void VirtualRun::TakeConnected(JobId id, bool failed) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  VirtualJob& job = it->second;
  std::erase(GatewayAt(job.gateway).connecting, id);
  if (job.dropped) return void(jobs_.erase(it));
  job.connecting = false;
  if (!failed) stage_.nodes[static_cast<std::size_t>(job.node)].machine->Connect();
  const bool too_late = job.stop_by && now_ > *job.stop_by;
  if (!failed && !too_late) return Send(id, job);
  if (!failed) stage_.nodes[static_cast<std::size_t>(job.node)].machine->Disconnect();
  const VirtualJob gone = job;
  jobs_.erase(it);
  Post(gone.gateway, AttemptFailed{gone.attempt});
}

// The last byte is handed to the system, and travels.
void VirtualRun::Send(JobId id, VirtualJob& job) {
  const NetworkTrouble& net = stage_.network(job.gateway);
  job.arrives = now_ + Way(stage_.Distance(job.gateway, job.node), net.loss);
  if (!net.cut) At(job.arrives, What::kAttemptArrives, 0, 0, id);
  Post(job.gateway, AttemptWritten{job.attempt});
}

void VirtualRun::TakeAttempt(JobId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const VirtualJob job = it->second;
  standin::Node& machine = *stage_.nodes[static_cast<std::size_t>(job.node)].machine;
  if (!machine.up()) return SendJobBack(id, NodeSays::kReset);
  if (!machine.reachable()) return;
  record_.AttemptBegins(now_, job.node, job.gateway, job.attempt.request.value);
  record_.AttemptWhole(now_, job.node, job.gateway, job.attempt.request.value);
  const auto ask = asks_.find(job.attempt.request.value);
  standin::Job work;
  work.id = id;
  work.request = job.attempt.request.value;
  work.work_class = ask != asks_.end() ? ask->second.ask.request_class : 0;
  work.gateway = job.gateway;
  work.new_connection = job.fresh;
  outputs_.clear();
  machine.Advance(now_, outputs_);
  machine.Take(now_, work, outputs_);
  TakeOutputs(job.node, outputs_);
  if (const auto fall = machine.TakeFall()) record_.NodeFell(now_, job.node, fall->work_by_gateway);
  if (!machine.up()) NodeDies(job.node, {});
}

void VirtualRun::TakeNode(int node) {
  if (node_wakes_[static_cast<std::size_t>(node)] != now_) return;  // it was set anew meanwhile
  node_wakes_[static_cast<std::size_t>(node)] = TimePoint::max();
  outputs_.clear();
  stage_.nodes[static_cast<std::size_t>(node)].machine->Advance(now_, outputs_);
  TakeOutputs(node, outputs_);
}

void VirtualRun::TakeOutputs(int node, const std::vector<standin::NodeOutput>& outputs) {
  for (const standin::NodeRan& ran : stage_.nodes[static_cast<std::size_t>(node)].machine->TakeRan())
    record_.Ran(ran.at, node, ran.request);
  for (const standin::NodeOutput& output : outputs) SendJobBack(output.job, output.says);
  WatchNode(node);
}

void VirtualRun::SendJobBack(JobId id, NodeSays says) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const NetworkTrouble& net = stage_.network(it->second.gateway);
  if (net.cut) return;
  At(now_ + Way(stage_.Distance(it->second.gateway, it->second.node), net.loss), What::kAttemptBack,
     static_cast<int>(says), 0, id);
}

void VirtualRun::WatchNode(int node) {
  const auto due = stage_.nodes[static_cast<std::size_t>(node)].machine->NextDue();
  TimePoint& wakes = node_wakes_[static_cast<std::size_t>(node)];
  if (!due) return void(wakes = TimePoint::max());
  if (wakes == *due) return;
  wakes = std::max(now_, *due);
  At(wakes, What::kNode, node);
}

void VirtualRun::TakeAttemptBack(JobId id, NodeSays says) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.dropped) return;
  const VirtualJob job = it->second;
  jobs_.erase(it);
  standin::Node& machine = *stage_.nodes[static_cast<std::size_t>(job.node)].machine;
  const bool ends = says == NodeSays::kReset || says == NodeSays::kSpoilt;
  if (ends || !machine.up()) {
    if (machine.up()) machine.Disconnect();
  } else {
    ++Kept(job.gateway, job.node);
  }
  if (ends) return Post(job.gateway, AttemptFailed{job.attempt});
  const int status = says == NodeSays::kAnswer ? 200 : says == NodeSays::kTurnedAway ? 503 : 500;
  Post(job.gateway, AttemptAnswered{job.attempt, status, says == NodeSays::kTurnedAway, {}});
}

void VirtualRun::Apply(int g, const DropAttempt& effect) {
  const auto it = jobs_.find(JobOf(effect.attempt));
  if (it == jobs_.end()) return;
  VirtualJob& job = it->second;
  job.dropped = true;
  if (job.connecting) return;  // ends when the connection would have come up
  const TimePoint arrives = std::max(job.arrives, now_ + Way(stage_.Distance(g, job.node)));
  At(arrives, What::kDropArrives, 0, 0, it->first);
}

void VirtualRun::TakeDrop(JobId id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const int node = it->second.node;
  jobs_.erase(it);
  standin::Node& machine = *stage_.nodes[static_cast<std::size_t>(node)].machine;
  if (!machine.up()) return;
  machine.Disconnect();
  outputs_.clear();
  machine.Advance(now_, outputs_);
  machine.Drop(now_, id);
  TakeOutputs(node, outputs_);
}

void VirtualRun::Apply(int g, const CloseIdleConnections& effect) {
  const int node = NodeOf(effect.host);
  if (node < 0) return;
  for (int& kept = Kept(g, node); kept > 0; --kept)
    stage_.nodes[static_cast<std::size_t>(node)].machine->Disconnect();
}

void VirtualRun::Apply(int g, const StopSending& effect) {
  const int node = NodeOf(effect.host);
  for (JobId id : GatewayAt(g).connecting)
    if (VirtualJob& job = jobs_.at(id); job.node == node) job.stop_by = effect.deadline;
}

void VirtualRun::Apply(int g, const StartProbe& effect) {
  const int node = NodeOf(effect.host);
  const bool up = node >= 0 && stage_.nodes[static_cast<std::size_t>(node)].machine->reachable();
  // The network's way is left out: a probe is not what rehearsals are about.
  if (up) return Post(g, ProbeAnswered{effect.probe, 200, {}});
  Post(g, ProbeFailed{effect.probe});
}

// ---- Nodes --------------------------------------------------------------------------------------------

void VirtualRun::NodeStarts(int node) {
  node_of_[stage_.nodes[static_cast<std::size_t>(node)].id()] = node;
  if (node_wakes_.size() <= static_cast<std::size_t>(node))
    node_wakes_.resize(static_cast<std::size_t>(node) + 1, TimePoint::max());
  WatchNode(node);
}

void VirtualRun::NodeDies(int node, const std::vector<standin::NodeOutput>& resets) {
  TakeOutputs(node, resets);
  for (VirtualGateway& gateway : gateways_)
    if (gateway.kept.size() > static_cast<std::size_t>(node))
      gateway.kept[static_cast<std::size_t>(node)] = 0;
}

// ---- The counter --------------------------------------------------------------------------------------

void VirtualRun::Apply(int g, const StartCall& effect) {
  const std::uint64_t key = next_call_++;
  calls_[key] = VirtualCall{effect.call,     g, GatewayAt(g).life, effect.name.value, effect.amount,
                            effect.lifetime, 0, std::nullopt};
  At(now_ + Way(scenario_.network.same), What::kCallArrives, 0, 0, key);
  Post(g, CallWritten{effect.call});
}

void VirtualRun::TakeCall(std::uint64_t key) {
  VirtualCall& call = calls_.at(key);
  record_.Called(now_, call.gateway);
  const auto answer = stage_.counter.Add(now_, call.gateway, call.name, call.amount, call.keep);
  if (!answer)
    return At(now_ + kStuckAfter * scenario_.counter_timeout + kHouseEvery, What::kCallStuck, 0, 0, key);
  call.status = answer->status;
  call.total = answer->total;
  At(answer->at + Way(scenario_.network.same), What::kCallBack, 0, 0, key);
}

void VirtualRun::TakeCallBack(std::uint64_t key, bool stuck) {
  const VirtualCall call = calls_.at(key);
  calls_.erase(key);
  if (GatewayAt(call.gateway).life != call.life) return;
  if (stuck) return Post(call.gateway, CallFailed{call.call});
  Post(call.gateway, CallAnswered{call.call, call.status, call.total});
}

// ---- Discovery ----------------------------------------------------------------------------------------

void VirtualRun::TellMembers(int g, const standin::ListAnswer& list, bool cached) {
  MembersReceived told;
  told.cached = cached;
  told.members.version = list.version;
  told.members.all = list.all;
  for (const standin::ListedNode& listed : list.nodes) {
    const StagedNode& staged = stage_.nodes[static_cast<std::size_t>(listed.node)];
    Member member;
    member.entry.host = staged.id();
    member.entry.zone = ZoneName(staged.zone);
    member.entry.state = listed.state;
    member.entry.started = listed.started;
    member.address = Address{0x7f000001, static_cast<std::uint16_t>(staged.place + 1)};
    told.members.members.push_back(std::move(member));
    if (!cached) record_.Told(now_, g, listed.node, listed.state);
  }
  Post(g, std::move(told));
}

void VirtualRun::DiscoveryChanges() {
  for (int g = 0; g < scenario_.gateways; ++g) TakeNews(g);
}

void VirtualRun::TakeNews(int g) {
  VirtualGateway& gateway = GatewayAt(g);
  if (gateway.core == nullptr || !gateway.watching) return;
  if (const auto list = stage_.discovery.Read(now_, g, gateway.version)) {
    gateway.version = list->version;
    TellMembers(g, *list, false);
  }
  if (const auto news = stage_.discovery.NextNews(g, gateway.version); news && *news > now_)
    At(*news, What::kNews, g);
}

void VirtualRun::Apply(int g, const WatchMembers& effect) {
  GatewayAt(g).watching = effect.on;
  if (effect.on) TakeNews(g);
}

void VirtualRun::Apply(int g, const FetchMembers&) {
  const auto list = stage_.discovery.Read(now_, g, std::nullopt);
  if (!list) return Post(g, MembersFetchFailed{});
  GatewayAt(g).version = list->version;
  TellMembers(g, *list, false);
}

}  // namespace curlewdoor::rehearsal
