#include "app/service.hpp"

#include <csignal>
#include <utility>

namespace curlewdoor::app {
namespace {

constexpr Duration kHouseEvery = std::chrono::milliseconds(250);  // what it looks after is in seconds
constexpr Duration kFiguresEvery = std::chrono::seconds(10);
constexpr int kTrimTurns = 4;  // of KeepHouse
constexpr std::size_t kMiB = 1024 * 1024;

// What is held of one long body: a fourth of the memory, shared out over as many clients as there may be.
std::size_t Ahead(const config::Config& config, const net::Descriptors& descriptors) {
  constexpr std::size_t kLeast = 8 * 1024;
  const auto clients = static_cast<std::size_t>(std::max(1, descriptors.most(net::Use::kClient)));
  return std::clamp(static_cast<std::size_t>(config.memory_mb) * kMiB / 4 / clients, kLeast, http::kMostBody);
}

// Where another process of this gateway is found: one that listens on the same address.
std::string HandoverPath(const config::Config& config) {
  return config.scratch + "/curlewdoor-" + config.listen.ToText() + ".sock";
}

}  // namespace

Service::Service(struct ev_loop* loop, const config::Config& config, Reload reload, log::Logger& logger,
                 const GatewayCoreFactory& make_core)
    : loop_(loop),
      config_(config),
      reload_(std::move(reload)),
      logger_(logger),
      memory_(static_cast<std::size_t>(config.memory_mb) * kMiB),
      descriptors_(config.sockets, config.admin.has_value(), config.listen_fd && !config.scratch.empty(),
                   config.fleet.has_value(), &memory_),
      reducer_(make_core(config_.settings, config_.seed)),
      listener_(loop, config_.settings, descriptors_, *this, Ahead(config, descriptors_)),
      upstream_(loop, config_.settings, descriptors_, *this, dialect_),
      counter_(loop, config_.settings, config_.counter, descriptors_, *this),
      discovery_(loop, config_.settings, config_.discovery,
                 config_.settings.discovery == curlewdoor::DiscoveryMode::kPush,
                 config_.known ? std::optional(config_.known->version) : std::nullopt, descriptors_, *this,
                 logger_),
      admin_(loop, descriptors_, *this, [this](std::string_view line) { return AnswerCall(line); }),
      peers_(config_.fleet ? std::make_unique<Peers>(
                                 loop, config_, descriptors_, logger,
                                 [this] {
                                   return duty::UsageCounts{counts_.served, counts_.refused, counts_.failed};
                                 })
                           : nullptr),
      handing_({loop, *this, descriptors_, listener_, upstream_, *reducer_, by_hand_, logger,
                [this](handover::Kind kind, HostId host) { CallByHand(kind, host); },
                [this] { return shutdown_.begun(); }, peers_.get()}),
      shutdown_(
          loop, listener_, *this, [this] { return handing_.handed_on() && handing_.flushed(); },
          [this] {
            // Where a next process is about to take over, this one's part in the fleet goes on in that.
            if (peers_ && !handing_.next_is_near()) peers_->Leave();
          }),
      hang_up_(loop, SIGHUP, [this](int) { OnHangUp(); }),
      before_wait_(loop, [this](int) { BeforeWait(); }),
      after_wait_(loop, [this](int) { stalls_.AfterWake(clock_.Now()); }),
      due_timer_(loop, [](int) {}),  // only wakes the loop
      house_timer_(loop, [this](int) { KeepHouse(); }),
      figures_timer_(loop, [this](int) { LogFigures(); }) {}

Service::~Service() = default;

bool Service::Start(std::string& error) {
  before_wait_.Start();
  after_wait_.GoFirst();  // all that is read next is as old as this says
  after_wait_.Start();
  house_due_ = clock_.Now() + kHouseEvery;
  house_timer_.StartIn(kHouseEvery, kHouseEvery);
  figures_timer_.StartIn(kFiguresEvery, kFiguresEvery);
  MembersReceived known{config_.known.value_or(MemberList{}), true};
  Post(std::move(known));
  if (config_.settings.discovery == curlewdoor::DiscoveryMode::kPush) discovery_.Watch(true);
  listener_.NameClasses();
  if (config_.admin && !admin_.Listen(*config_.admin, error)) return false;
  if (config_.listen_fd) {
    if (!listener_.ListenOnInherited(*config_.listen_fd, config_.listen, error)) return false;
  } else if (!listener_.Listen(config_.listen, error)) {
    return false;
  }
  const bool shared = config_.listen_fd && !config_.scratch.empty();
  handing_.Begin(shared ? HandoverPath(config_) : "");
  return true;
}

void Service::Post(Input input) {
  if (auto* told = std::get_if<MembersReceived>(&input)) {
    if (!told->cached) handing_.NoteListTold();
    told->members = by_hand_.ApplyOverrides(std::move(told->members));
  }
  Handle(std::move(input));
}

void Service::Handle(Input input) {
  inputs_.push_back(std::move(input));
  if (std::exchange(handling_, true)) return;
  while (!inputs_.empty()) {
    Input next = std::move(inputs_.front());
    inputs_.pop_front();
    reducer_->Handle(clock_.Now(), std::move(next), effects_);
    for (const Effect& effect : effects_) std::visit([this](const auto& each) { Apply(each); }, effect);
    effects_.clear();
  }
  handling_ = false;
}

void Service::Apply(const StartAttempt& effect) {
  if (!uploads_.Start(effect)) return Post(AttemptFailed{effect.attempt});
  ++counts_.attempts;
}

void Service::Apply(const DeliverAnswer& effect) {
  ++counts_.served;
  uploads_.Forget(effect.attempt.request);
  if (upstream_.stream_begins()) {
    listener_.BeginDelivery(effect.attempt.request, *upstream_.current_answer());
    // Unless its client was found gone just now.
    if (listener_.delivers(effect.attempt.request)) upstream_.StreamTo(effect.attempt.request);
    return;
  }
  listener_.Deliver(effect.attempt.request, *upstream_.current_answer());
}

void Service::Apply(const RespondRefused& effect) {
  ++counts_.refused;
  uploads_.Forget(effect.request);
  listener_.Refuse(effect.request, effect.retry_after);
}

void Service::Apply(const RespondFailed& effect) {
  ++counts_.failed;
  uploads_.Forget(effect.request);
  listener_.Fail(effect.request);
}

void Service::Apply(const StartCall& effect) {
  ++counts_.calls;
  counter_.Start(effect);
}

// ---- Operators' calls ---------------------------------------------------------------------------------

std::string Service::AnswerCall(std::string_view line) {
  return std::visit([this](const auto& call) { return Answer(call); },
                    admin::ParseCall(line, peers_ != nullptr, duties() != nullptr));
}

std::string Service::Answer(const admin::Status&) {
  if (shutdown_.begun()) return admin::No("draining");
  if (!handing_.served()) return admin::No("starting: the old process serves");
  return reducer_->knows_hosts() ? admin::Yes() : admin::No("starting: no hosts known yet");
}

std::string Service::Answer(const admin::Metrics&) {
  admin::Figures figures;
  figures.classes = listener_.by_class();
  figures.forwards = upstream_.written();
  // Taken once its last byte has come, ended once the last of its answer has gone.
  figures.outstanding = reducer_->open_requests() - listener_.uploads() + listener_.deliveries();
  figures.discovered = by_hand_.listed_count();
  figures.ejected = by_hand_.listed_suspended_count() + reducer_->ejected_hosts(clock_.Now());
  figures.sighup_applied = counts_.reloads;
  figures.sighup_rejected = counts_.bad_reloads;
  if (peers_) figures.more = peers_->Figures();
  return admin::Tell(figures);
}

std::string Service::Answer(const admin::Fleet&) { return peers_->Describe(); }

std::string Service::Answer(const admin::Suspend& call) {
  return AnswerByHand(handover::Kind::kSuspend, call.host, "suspended");
}

std::string Service::Answer(const admin::Restore& call) {
  return AnswerByHand(handover::Kind::kRestore, call.host, "restored");
}

std::string Service::Answer(const admin::Duties&) { return duties()->Describe(); }

std::string Service::Answer(const admin::HandOver& call) {
  const std::string why = duties()->HandOver(call.duty, call.to);
  return why.empty() ? admin::Yes("handing on") : admin::No(why);
}

std::string Service::Answer(const admin::Bad& call) { return admin::No(call.reason); }

std::string Service::AnswerByHand(handover::Kind kind, const std::string& name, std::string_view what) {
  const HostId host = host_overrides::HostIdFromUid(name);
  const auto answer = CallByHand(kind, host);
  if (answer == host_overrides::HostOverrides::Result::kUnknownHost) return admin::No("unknown host");
  if (answer == host_overrides::HostOverrides::Result::kLimitReached)
    return admin::No("too many hosts are out by hand");
  logger_.Info("host {} {} by hand", name, what);
  handing_.Mirror(kind, host);
  return admin::Yes(what);
}

// The core is told before the answer is given: the yes binds from then on.
host_overrides::HostOverrides::Result Service::CallByHand(handover::Kind kind, HostId host) {
  std::optional<MemberList> change;
  const auto answer =
      kind == handover::Kind::kSuspend ? by_hand_.Suspend(host, change) : by_hand_.Restore(host, change);
  if (change) Handle(MembersReceived{std::move(*change)});
  return answer;
}

void Service::OnHangUp() {
  std::string error;
  auto next = reload_(config_, error);
  if (next && next->duty && duties() != nullptr) {
    error = duties()->WhyNot(*next);
    if (!error.empty()) next.reset();
  }
  if (!next) {
    ++counts_.bad_reloads;
    return logger_.Error("reload: {}; the old configuration stays", error);
  }
  ++counts_.reloads;
  discovery_.MoveTo(next->discovery);
  if (config_.settings.counter.available && next->settings.counter.available) counter_.MoveTo(next->counter);
  logger_.Info("reload: discovery {}, counter {}", next->discovery.ToText(), next->counter.ToText());
  for (const std::string& key : config::NeedRestart(config_, *next))
    logger_.Warning("reload: {} differs: needs a restart", key);
  // Parts that do I/O read the settings in force; open requests hold their own.
  config_.settings = config::Retuned(config_, *next);
  config_.keys = std::move(next->keys);
  if (next->duty && duties() != nullptr) duties()->Retune(*next);
  listener_.NameClasses();
  Handle(SettingsReloaded{std::make_shared<Settings>(config_.settings)});
  logger_.Info("reload: {} classes, {} plans, {} attempts at the most", config_.settings.classes.size(),
               config_.settings.plans.size(), config_.settings.limits.max_attempts);
}

// Runs before each wait: frees what was closed, and sees to it that the loop wakes when something is due.
void Service::BeforeWait() {
  handing_.Look();
  listener_.RelieveMemory();
  upstream_.RelieveMemory();
  listener_.Reap();
  upstream_.Reap();
  counter_.Reap();
  discovery_.Reap();
  admin_.Reap();
  if (peers_) peers_->Reap();
  listener_.SetHealthy(reducer_->knows_hosts());
  auto due = reducer_->NextDue();
  if (due && *due <= clock_.Now()) {
    Post(TimePassed{});
    due = reducer_->NextDue();
  }
  due_timer_.Stop();
  const TimePoint now = clock_.Now();
  stalls_.BeforeWait(now, due ? std::min(*due, house_due_) : house_due_);
  if (!due) return;
  ev_now_update(loop_);
  due_timer_.StartIn(std::max(Duration::zero(), *due - now));
}

void Service::KeepHouse() {
  house_due_ = clock_.Now() + kHouseEvery;
  listener_.CheckTimes();
  upstream_.CloseIdle();
  counter_.CheckTimes();
  admin_.CheckTimes();
  if (++house_turns_ % kTrimTurns == 0) trimmer_.Look(memory_.held());
}

void Service::LogFigures() {
  const net::Listener::Counts& clients = listener_.counts();
  logger_.Info(
      "figures: requests {} rejected {} served {} refused {} failed {} attempts {} calls {}; open {} out {} "
      "on sockets {}; "
      "clients {} accepted {} shed {}; hosts' connections {} opened {}; counter's {}; log lines dropped {}",
      clients.requests, clients.rejected, counts_.served, counts_.refused, counts_.failed, counts_.attempts,
      counts_.calls, reducer_->open_requests(), reducer_->attempts_in_flight(), upstream_.attempts(),
      listener_.connections(), clients.accepted, clients.shed, upstream_.connections(), upstream_.opened(),
      counter_.connections(), logger_.dropped());
}

}  // namespace curlewdoor::app
