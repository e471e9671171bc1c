#include "app/duties.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

#include "app/words.hpp"
#include "duty/view.hpp"
#include "util/hash.hpp"

namespace curlewdoor::app {
namespace {

using Kind = duty::DutyChange::Kind;

duty::Time Now() { return std::chrono::steady_clock::now(); }

// Above all tokens that voters of earlier lives can have said yes to, while clocks are not set back between.
std::uint64_t FloorOf(std::uint64_t boot) { return boot << 20; }

duty::DutyOptions OptionsOf(const config::Config& config) {
  const config::Duty& duty = *config.duty;
  return {config.name, duty.voters, duty.voters_before, duty.names, duty.lease, duty.clock_bound};
}

std::int64_t Milliseconds(duty::Duration of) { return of / std::chrono::milliseconds(1); }
std::int64_t Nanoseconds(duty::Time at) { return at.time_since_epoch().count(); }

template <typename List>
std::string Joined(const List& list) {
  return list.empty() ? std::string("-") : fmt::format("{}", fmt::join(list, ","));
}

}  // namespace

Duties::Duties(struct ev_loop* loop, const config::Config& config, std::uint64_t boot,
               net::Descriptors& descriptors, log::Logger& logger, Ground& ground)
    : loop_(loop),
      record_every_(config.duty->record_every),
      logger_(logger),
      ground_(ground),
      machine_(OptionsOf(config), FloorOf(boot), StableHash(config.name, config.seed ^ boot ^ 0xd07)),
      timer_(loop,
             [this](int) {
               duty::DutyOutput out;
               machine_.Tick(Now(), out);
               Carry(std::move(out));
             }),
      record_timer_(loop, [this](int) { RecordDue(); }) {
  if (config.duty->ledger)
    ledger_.emplace(loop, descriptors, *config.duty->ledger, static_cast<net::Ledger::Owner&>(*this));
}

Duties::~Duties() = default;

void Duties::Start() {
  if (std::exchange(started_, true)) return;
  machine_.Start(Now());
  const duty::DutyOptions& options = machine_.options();
  logger_.Info("duty: event=open duties={} voters={} before={} votes={} silent_ms={}", Joined(options.duties),
               Joined(options.voters), Joined(options.voters_before), YesNo(machine_.votes()),
               Milliseconds(machine_.abstains_for(Now())));
  if (ledger_) record_timer_.StartIn(record_every_, record_every_);
  Arm();
}

void Duties::OnView(const fleet::MembershipProtocol& machine) {
  duty::DutyOutput out;
  machine_.OnView(Now(), duty::FleetViewOf(machine), out);
  Carry(std::move(out));
}

void Duties::OnPayload(const fleet::ReceivedPayload& payload) {
  if (payload.channel == duty::kUsageChannel) {
    if (const auto use = duty::DecodeUsage(payload.bytes)) uses_.Report(Now(), payload.from, *use);
    return;
  }
  if (payload.channel != duty::kDutyChannel) return;
  const auto message = duty::Decode(payload.bytes);
  if (!message) {
    ++dropped_;
    return;
  }
  duty::DutyOutput out;
  machine_.OnMessage(Now(), payload.from, duty::IncarnationOf(payload.from, payload.boot), *message, out);
  Carry(std::move(out));
}

void Duties::Leave() {
  duty::DutyOutput out;
  machine_.Leave(Now(), out);
  Carry(std::move(out));
}

std::string Duties::HandOn() {
  timer_.Stop();
  record_timer_.Stop();
  started_ = false;
  return machine_.ExportState();
}

void Duties::TakeOver(std::string_view bytes) {
  if (machine_.ImportState(Now(), bytes)) return logger_.Info("duty: event=taken_over");
  logger_.Warning("duty: event=not_taken_over reason=\"what came is cut or changed\"; it keeps silent first");
}

void Duties::Resume() {
  duty::DutyOutput out;
  machine_.Resume(Now(), out);
  Carry(std::move(out));
  Start();
}

std::string Duties::WhyNot(const config::Config& next) const {
  return machine_.ReconfigureError(Now(), OptionsOf(next));
}

void Duties::Retune(const config::Config& next) {
  duty::DutyOutput out;
  machine_.Reconfigure(Now(), OptionsOf(next), out);
  Carry(std::move(out));
}

// ---- Between the machine and the link -----------------------------------------------------------------

void Duties::Carry(duty::DutyOutput out) {
  for (const duty::DutyChange& change : out.changes) Tell(change);
  for (duty::OutgoingMessage& sending : out.messages)
    ground_.SendPayload(sending.to, duty::kDutyChannel, std::move(sending.bytes));
  Arm();
}

void Duties::Arm() {
  timer_.Stop();
  const auto due = machine_.NextDue();
  if (!due || !started_) return;
  ev_now_update(loop_);
  timer_.StartIn(std::max(duty::Duration::zero(), *due - Now()));
}

void Duties::Tell(const duty::DutyChange& change) {
  const std::int64_t now = Nanoseconds(Now()), until = Nanoseconds(change.until);
  if (change.kind == Kind::kGained)
    return logger_.Info("duty: event=gained duty={} token={} at_ns={} until_ns={}", change.duty, change.token,
                        now, until);
  const std::string_view what = change.kind == Kind::kLost          ? "lost"
                                : change.kind == Kind::kTransferred ? "handed_on"
                                                                    : "refused";
  logger_.Warning("duty: event={} duty={} token={} at_ns={} until_ns={} reason=\"{}\"", what, change.duty,
                  change.token, now, std::min(now, until),
                  change.kind == Kind::kLost          ? "its lease has run out"
                  : change.kind == Kind::kTransferred ? "to " + change.text
                                                      : change.text);
}

// ---- The duty `record` --------------------------------------------------------------------------------

// Each gateway tells the holder what it has done; the holder writes the sum.
void Duties::RecordDue() {
  for (const duty::DutyStatus& standing : machine_.Statuses(Now())) {
    if (standing.duty != kRecord) continue;
    if (standing.state == "holding") {
      uses_.Report(Now(), machine_.options().name, ground_.OwnUse());
      ledger_->Append();
    } else if (!standing.holder.empty()) {
      ground_.SendPayload(standing.holder, duty::kUsageChannel, duty::Encode(ground_.OwnUse()));
    }
  }
}

// At the moment of writing: whoever stood still since it was asked for finds out here.
std::optional<std::string> Duties::OnReady() {
  const auto token = machine_.AuthorizeAct(Now(), kRecord);
  if (!token) return std::nullopt;
  constexpr int kFreshIntervals = 5;
  const auto sum = uses_.Total(Now(), kFreshIntervals * record_every_);
  return fmt::format("append {} {} gateways={} served={} refused={} failed={} by={}", kRecord, *token,
                     sum.gateways, sum.usage.served, sum.usage.refused, sum.usage.failed,
                     machine_.options().name);
}

void Duties::OnTaken(std::uint64_t) {
  ++taken_;
  failing_ = false;
}

void Duties::OnStale(std::uint64_t highest) {
  logger_.Warning("duty: event=stale duty={} highest={}", kRecord, highest);
  duty::DutyOutput out;
  machine_.OnTokenRejected(Now(), kRecord, highest, out);
  Carry(std::move(out));
}

void Duties::OnFailed(const std::string& why) {
  ++failed_;
  if (!std::exchange(failing_, true)) logger_.Warning("duty: event=ledger_failed reason=\"{}\"", why);
}

// ---- For operators ------------------------------------------------------------------------------------

std::string Duties::Describe() const {
  const duty::Time now = Now();
  const duty::DutyOptions& options = machine_.options();
  std::string text = fmt::format(
      "duties name={} voters={} before={} votes={} silent_ms={} lease_ms={} behind={}\n", options.name,
      Joined(options.voters), Joined(options.voters_before), YesNo(machine_.votes()),
      Milliseconds(machine_.abstains_for(now)), Milliseconds(options.lease), Joined(machine_.VotersBehind()));
  for (const duty::DutyStatus& standing : machine_.Statuses(now))
    text += fmt::format("duty name={} state={} holder={} token={} left_ms={} for_ms={} voters_heard={}\n",
                        standing.duty, standing.state, OrDash(standing.holder), standing.token,
                        Milliseconds(standing.lease_left), Milliseconds(now - standing.since),
                        standing.granted_votes);
  return text + "END\n";
}

std::string Duties::HandOver(const std::string& duty, const std::string& to) {
  duty::DutyOutput out;
  const std::string why = machine_.Transfer(Now(), duty, to, out);
  Carry(std::move(out));
  return why;
}

std::vector<std::pair<std::string, std::uint64_t>> Duties::Figures() const {
  std::vector<std::pair<std::string, std::uint64_t>> figures{
      {"duty.dropped", dropped_}, {"duty.ledger_taken", taken_}, {"duty.ledger_failed", failed_}};
  for (const duty::DutyStatus& standing : machine_.Statuses(Now())) {
    const std::string head = "duty." + standing.duty;
    figures.emplace_back(head + ".held", standing.state == "holding" ? 1 : 0);
    figures.emplace_back(head + ".changes", standing.changes);
    figures.emplace_back(head + ".acts", standing.acts);
    figures.emplace_back(head + ".stale_refused", standing.stale);
  }
  return figures;
}

}  // namespace curlewdoor::app
