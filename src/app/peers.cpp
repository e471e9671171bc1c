#include "app/peers.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "app/words.hpp"
#include "duty/view.hpp"
#include "util/bytes.hpp"
#include "util/hash.hpp"

#ifndef CURLEWDOOR_VERSION
#define CURLEWDOOR_VERSION "?"
#endif

namespace curlewdoor::app {
namespace {

using fleet::MemberRecord;
using fleet::MembershipProtocol;

fleet::Time Now() { return std::chrono::steady_clock::now(); }

// Of a later life above those of earlier ones, as long as the system's clock is not set back in between;
// where it was, this life learns so from the others and goes above what they know.
std::uint64_t BootNow() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

fleet::MembershipOptions OptionsOf(const config::Config& config) {
  fleet::MembershipOptions options;
  options.fleet = config.fleet->name;
  options.name = config.name;
  options.boot = BootNow();
  options.address = config.fleet->advertise;
  // What others act upon comes first: the rest is for people, and may be cut.
  options.metadata = fmt::format("version:{}{},zone:{}", CURLEWDOOR_VERSION,
                                 config.duty ? duty::kDutiesTag : "", config.settings.zone);
  options.metadata.resize(std::min(options.metadata.size(), fleet::kMaxMetadataBytes));
  std::replace(options.metadata.begin(), options.metadata.end(), ' ', '_');
  options.seeds = config.fleet->seeds;
  options.probe_period = config.fleet->probe;
  return options;
}

std::string Line(const MemberRecord& record, fleet::Duration since) {
  return fmt::format("member name={} state={} for_ms={} boot={} incarnation={} address={} by={} about={}\n",
                     record.name, fleet::StateName(record.state), since / std::chrono::milliseconds(1),
                     record.boot, record.incarnation, record.address.ToText(), OrDash(record.reported_by),
                     OrDash(record.metadata));
}

}  // namespace

Peers::Peers(struct ev_loop* loop, const config::Config& config, net::Descriptors& descriptors,
             log::Logger& logger, std::function<duty::UsageCounts()> own_use)
    : loop_(loop),
      config_(*config.fleet),
      logger_(logger),
      machine_(OptionsOf(config), StableHash(config.name, config.seed ^ BootNow())),
      link_(loop, descriptors, *this),
      timer_(loop,
             [this](int) {
               fleet::ProtocolOutput out;
               machine_.Tick(Now(), out);
               Carry(std::move(out));
             }),
      open_timer_(loop, [this](int) { Open(); }),
      own_use_(std::move(own_use)) {
  if (config.duty)
    duties_.emplace(loop, config, machine_.self().boot, descriptors, logger,
                    static_cast<Duties::Ground&>(*this));
}

Peers::~Peers() = default;

void Peers::Start() { Open(); }

void Peers::Open() {
  std::string error;
  open_timer_.Stop();
  if (!link_.Open(config_.listen, error)) {
    if (!std::exchange(told_open_, true)) logger_.Warning("fleet: event=not_open error=\"{}\"", error);
    ev_now_update(loop_);
    return open_timer_.StartIn(config_.probe);
  }
  logger_.Info("fleet: event=open fleet={} name={} listen={} advertise={} boot={} size={}", config_.name,
               machine_.self().name, config_.listen.ToText(), config_.advertise.ToText(),
               machine_.self().boot, config_.size);
  if (duties_) duties_->Start();
  fleet::ProtocolOutput out;
  machine_.Start(Now(), out);
  Carry(std::move(out));
}

void Peers::SendPayload(const std::string& to, std::uint8_t channel, std::string bytes) {
  fleet::ProtocolOutput out;
  machine_.SendPayload(to, channel, std::move(bytes), out);
  Carry(std::move(out));
}

// Duties are handed on first: who has left is not listened to any more.
void Peers::Leave() {
  if (duties_) duties_->Leave();
  fleet::ProtocolOutput out;
  machine_.Leave(Now(), out);
  if (!out.datagrams.empty()) logger_.Info("fleet: event=leave told={}", out.datagrams.size());
  Carry(std::move(out));
}

std::string Peers::HandOn() {
  Writer writer;
  const std::string duties = duties_ ? duties_->HandOn() : std::string();
  const std::string records = fleet::EncodeRecords(machine_.ExportState());
  writer(records, duties);
  timer_.Stop();
  open_timer_.Stop();
  link_.Close();
  logger_.Info("fleet: event=handed_on");
  return std::move(writer.bytes);
}

void Peers::TakeOver(std::string_view bytes) {
  Reader reader(bytes);
  std::string known, duties;
  reader(known, duties);
  const auto records = reader.ok() ? fleet::DecodeRecords(known) : std::nullopt;
  if (!records)
    return logger_.Warning("fleet: event=not_taken_over reason=\"the records are cut or changed\"");
  machine_.ImportState(Now(), *records);
  logger_.Info("fleet: event=taken_over members={}", records->size());
  if (duties_) duties_->TakeOver(duties);
}

void Peers::Resume() {
  machine_.Resume(Now());
  std::string error;
  if (duties_) duties_->Resume();
  if (link_.Open(config_.listen, error)) return Arm();
  logger_.Warning("fleet: event=not_open error=\"{}\"", error);
}

// ---- Between the machine and the link -----------------------------------------------------------------

std::optional<fleet::GossipMessage> Peers::Decode(std::string_view bytes, std::size_t most) {
  auto why = fleet::DropReason::kTooLong;
  int major = 0;
  std::optional<fleet::GossipMessage> message;
  if (bytes.size() <= most) message = fleet::Decode(bytes, config_.name, why, &major);
  if (!message) ++dropped_[static_cast<std::size_t>(why)];
  if (why == fleet::DropReason::kVersion && !std::exchange(told_version_, true))
    logger_.Warning("fleet: event=refused reason=\"messages of version {}; this gateway speaks {}\"", major,
                    fleet::kMajorVersion);
  return message;
}

void Peers::OnDatagram(std::string_view bytes) {
  const auto message = Decode(bytes, fleet::kMaxDatagramBytes);
  if (!message || message->kind == fleet::MessageKind::kExchange ||
      message->kind == fleet::MessageKind::kExchangeReply)
    return;
  fleet::ProtocolOutput out;
  machine_.OnMessage(Now(), *message, out);
  Carry(std::move(out));
}

std::string Peers::OnExchange(std::string_view bytes) {
  const auto message = Decode(bytes, fleet::kMaxExchangeBytes);
  if (!message || message->kind != fleet::MessageKind::kExchange) return {};
  const std::string answer =
      fleet::Encode(machine_.FullState(fleet::MessageKind::kExchangeReply), config_.name);
  fleet::ProtocolOutput out;
  machine_.OnMessage(Now(), *message, out);
  Carry(std::move(out));
  return answer;
}

void Peers::OnExchangeEnd(const Address& with, std::string_view bytes) {
  fleet::ProtocolOutput out;
  const auto message = bytes.empty() ? std::nullopt : Decode(bytes, fleet::kMaxExchangeBytes);
  if (message && message->kind == fleet::MessageKind::kExchangeReply) {
    machine_.OnMessage(Now(), *message, out);
  } else {
    machine_.OnExchangeFailed(Now(), with, out);
    if (!machine_.joined() && !std::exchange(told_seeds_, true))
      logger_.Warning("fleet: event=seed_silent seed={}; it is tried again", with.ToText());
  }
  Carry(std::move(out));
}

void Peers::Carry(fleet::ProtocolOutput out) {
  for (const fleet::MembershipChange& change : out.changes) Tell(change);
  for (const auto& [to, message] : out.datagrams) link_.Send(to, fleet::Encode(message, config_.name));
  for (const auto& [with, message] : out.exchanges)
    link_.Exchange(with, fleet::Encode(message, config_.name));
  Arm();
  if (!duties_) return;
  if (std::exchange(told_version_of_view_, machine_.version()) != machine_.version())
    duties_->OnView(machine_);
  for (const fleet::ReceivedPayload& payload : out.payloads) duties_->OnPayload(payload);
}

void Peers::Arm() {
  timer_.Stop();
  const auto due = machine_.NextDue();
  if (!due || !link_.open()) return;
  ev_now_update(loop_);
  timer_.StartIn(std::max(fleet::Duration::zero(), *due - Now()));
}

// ---- For operators ------------------------------------------------------------------------------------

void Peers::Tell(const fleet::MembershipChange& change) {
  using Kind = fleet::MembershipChange::Kind;
  const MemberRecord& member = change.member;
  if (change.kind == Kind::kMemberChanged) {
    ++changes_;
    logger_.Info(
        "fleet: event=member member={} state={} boot={} incarnation={} address={} by={} new={} version={}",
        member.name, fleet::StateName(member.state), member.boot, member.incarnation, member.address.ToText(),
        OrDash(member.reported_by), YesNo(change.is_new), machine_.version());
  } else if (change.kind == Kind::kSettled) {
    logger_.Info("fleet: event=settled alive={} of={} quorum={} version={} view={:016x}", machine_.alive(),
                 config_.size, YesNo(machine_.HasQuorum(config_.size)), machine_.version(),
                 machine_.Fingerprint());
  } else if (change.kind == Kind::kRejected) {
    logger_.Error("fleet: event=refused reason=\"{}\"", change.text);
  } else if (change.kind == Kind::kStalled) {
    ++stalls_;
    logger_.Warning("fleet: event=stalled ms={}; it accuses nobody before it has been answered", change.text);
  }
}

std::vector<std::pair<std::string, std::uint64_t>> Peers::Figures() const {
  auto figures = FleetFigures();
  if (!duties_) return figures;
  for (auto& figure : duties_->Figures()) figures.push_back(std::move(figure));
  return figures;
}

std::string Peers::Describe() const {
  const MemberRecord& self = machine_.self();
  std::string text = fmt::format(
      "fleet name={} self={} version={} settled={} joined={} alive={} of={} quorum={} suspect={} health={} "
      "seeds_failed={} view={:016x}\n",
      config_.name, self.name, machine_.version(), YesNo(machine_.settled()), YesNo(machine_.joined()),
      machine_.alive(), config_.size, YesNo(machine_.HasQuorum(config_.size)), machine_.suspects(),
      machine_.health(), machine_.failed_joins(), machine_.Fingerprint());
  if (!machine_.rejection().empty()) text += fmt::format("refused {}\n", machine_.rejection());
  const fleet::Time now = Now();
  if (machine_.rejection().empty()) text += Line(self, {});
  for (const auto& [name, member] : machine_.others()) text += Line(member.record, now - member.state_since);
  return text + "END\n";
}

std::vector<std::pair<std::string, std::uint64_t>> Peers::FleetFigures() const {
  const net::FleetLink::Counts& link = link_.counts();
  const auto dropped = [&](fleet::DropReason why) { return dropped_[static_cast<std::size_t>(why)]; };
  return {{"fleet.alive", machine_.alive()},
          {"fleet.suspect", machine_.suspects()},
          {"fleet.changes", changes_},
          {"fleet.version", machine_.version()},
          {"fleet.settled", machine_.settled() ? 1 : 0},
          {"fleet.stalls", stalls_},
          {"fleet.health", static_cast<std::uint64_t>(machine_.health())},
          {"fleet.datagrams_out", link.sent},
          {"fleet.datagrams_in", link.got},
          {"fleet.bytes_out", link.sent_bytes},
          {"fleet.bytes_in", link.got_bytes},
          {"fleet.exchanges", link.exchanges},
          {"fleet.exchanges_failed", link.failed_exchanges},
          {"fleet.dropped.not_sent", link.not_sent},
          {"fleet.dropped.malformed", dropped(fleet::DropReason::kMalformed)},
          {"fleet.dropped.foreign", dropped(fleet::DropReason::kForeign)},
          {"fleet.dropped.version", dropped(fleet::DropReason::kVersion)},
          {"fleet.dropped.too_long", dropped(fleet::DropReason::kTooLong)},
          {"fleet.dropped.exchanges", link.refused_exchanges}};
}

}  // namespace curlewdoor::app
