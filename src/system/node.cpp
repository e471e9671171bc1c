// Start and periodic work of a Node.
#include "system/node.hpp"

#include <algorithm>
#include <csignal>
#include <set>
#include <stdexcept>
#include <utility>

#include "system/headers.hpp"
#include "system/node_limits.hpp"
#include "util/hash.hpp"

namespace curlewdoor::system {
namespace {

Link::Options LinkOptions(const settings::NodeSettings& settings) {
  Link::Options options;
  options.from_ip = settings.internal_bind_address;
  return options;
}

}  // namespace

Node::Node(struct ev_loop* loop, settings::NodeSettings settings, std::string settings_path,
           std::uint64_t seed)
    : loop_(loop),
      settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      settings_stamp_(StampOf(settings_path_)),
      bootstrap_(settings_.bootstrap),
      rng_(seed),
      fleet_address_{settings_.ip_address, settings_.internal_ports.first},
      link_address_{settings_.ip_address, static_cast<std::uint16_t>(settings_.internal_ports.first + 1)},
      memory_(MemoryOf(settings_)),
      front_descriptors_(Descriptors(settings_) * 7 / 10, false, false, false, &memory_),
      link_descriptors_(Descriptors(settings_) * 3 / 10, net::Descriptors::WithCalls{}, memory_),
      fleet_link_(loop, link_descriptors_, *this),
      fleet_timer_(loop,
                   [this](int) {
                     fleet::ProtocolOutput out;
                     fleet_->Tick(Now(), out);
                     ExecuteFleet(out);
                   }),
      link_(loop, link_descriptors_, *this, LinkOptions(settings_), seed),
      watermark_(std::max(settings_.registry_period, settings_.heartbeat)),
      registry_lease_(registry_replication::RegistryLease::OptionsFor(settings_.bounds.drain)),
      feed_(FeedOptions(settings_)),
      front_(
          loop, settings_, front_descriptors_, rng_(),
          [this](const std::string& tenant, const AddToCounter& call) { AddToCount(tenant, call); },
          [this](const std::string& tenant) { return ClockOffset(tenant); },
          {&registry_lease_, [this] { return !resumed_at_; }}),
      control_(
          loop, link_descriptors_, [this](CallDoor::Call call) { OnCall(std::move(call)); }, kMostConfig,
          net::Use::kControl),
      readiness_(
          loop, link_descriptors_,
          [this](const CallDoor::Call& call) {
            const bool asked = call.path == kReadinessPath;
            readiness_.Reply(call.id, !asked ? 404 : ready_ && !leaving_ ? 200 : 503);
          },
          1024, net::Use::kReadiness),
      started_at_(Now()),
      house_timer_(loop, [this](int) { KeepHouse(); }),
      reap_(loop,
            [this](int) {
              pause_watch_.OnTurn(Now());
              call_pause_watch_.OnTurn(Now());
              front_.ReapAll();
              link_.RelieveMemory();
              for (CallDoor* door : {&control_, &readiness_}) {
                door->RelieveMemory();
                door->Reap();
              }
            }),
      term_(loop, SIGTERM, [this](int) { OnTerm(); }),
      interrupt_(loop, SIGINT, [this](int) { OnTerm(); }),
      hang_up_(loop, SIGHUP, [this](int) { LookAtSettings(); }) {
  const auto open = [](const auto& listen) {
    std::string error;
    if (!listen(error)) throw std::runtime_error(error);
  };
  // A seed answers from its memory where it has no disk that counts.
  if (bootstrap_ && (!settings_.quorum_member || settings_.data_directory.empty()))
    founding_ = MakeFounding(FoundingHost::FirstState(settings_), false);
  TryOpenCore();
  const std::uint32_t bind_ip = settings_.InternalBindIp();
  open([&](std::string& error) { return link_.Listen({bind_ip, link_address_.port}, error); });
  open([&](std::string& error) { return fleet_link_.Open({bind_ip, fleet_address_.port}, error); });
  const auto& listen = settings_.listen_addresses;
  if (listen.control_plane)
    open([&](std::string& error) { return control_.Listen(*listen.control_plane, error); });
  if (listen.readiness) open([&](std::string& error) { return readiness_.Listen(*listen.readiness, error); });
  if (listen.data_plane) open([&](std::string& error) { return front_.Listen(*listen.data_plane, error); });
  control_.SetOnLeft([this](RequestId id) {
    const auto waiting = coordination_numbers_.extract(id);
    if (!waiting) return;
    ++coordination_ends_.left;
    watches_.erase(id);
    coordination_calls_.Forget(waiting.mapped());
  });
  control_.StartAccepting();
  readiness_.StartAccepting();
  front_.StartAccepting();
  reap_.Start();
  PublishHosts();
  house_timer_.StartIn(kTick, kTick);
  StartFleet();
  Say(Event::kStarted, settings_.node_name + " zone " + settings_.zone + (core_ ? " core" : ""));
}

Node::~Node() = default;

// Also anew, when the core could be opened late: the same name in a later life.
void Node::StartFleet() {
  fleet::MembershipOptions options;
  options.fleet = kFleetName;
  options.name = settings_.node_name;
  options.boot = BootNow();
  options.address = fleet_address_;
  options.metadata = (core_ ? (in_memory_ ? kInMemory : kOnDisk) + Hex(disk_) : "-") + " " + settings_.zone;
  options.metadata.resize(std::min(options.metadata.size(), fleet::kMaxMetadataBytes));
  options.probe_period = kProbe;
  options.seek_missing_seeds = true;
  options.seeds = FleetSeeds();
  fleet_ = std::make_unique<fleet::MembershipProtocol>(options, StableHash(options.name, options.boot));
  seen_view_ = 0;
  fleet::ProtocolOutput out;
  fleet_->Start(Now(), out);
  ExecuteFleet(out);
}

// A core member that comes back knows its companions, wherever the seeds have gone meanwhile; a gateway
// without a disk those that it last heard of.
std::vector<Address> Node::FleetSeeds() const {
  std::vector<Address> seeds;
  for (const Address& seed_node : settings_.seed_nodes) seeds.push_back({seed_node.ip, fleet_address_.port});
  for (const CoreMember& member : members_)
    if (member.address.ip != settings_.ip_address) seeds.push_back({member.address.ip, fleet_address_.port});
  std::erase(seeds, fleet_address_);
  return seeds;
}

// Nobody else is seen, and nobody of the core is reached, though there should be somebody.
void Node::LookWhetherAlone() {
  const bool alone =
      fleet_->alive() <= 1 && !InContact() && !FleetSeeds().empty() && Now() - started_at_ > kContactFresh;
  if (std::exchange(alone_, alone) == alone) return;
  Say(alone ? Event::kAlone : Event::kNotAlone, settings_.node_name);
}

void Node::SetReady() {
  const bool ready = front_.policy() != nullptr && !leaving_;
  if (ready == ready_) return;
  ready_ = ready;
  Say(ready ? Event::kReady : Event::kNotReady, settings_.node_name);
}

// The loop turns at least once a tick: a long way from one to the next says that the process stood still.
void Node::NoticePause(Steady now) {
  const Duration away = now - std::exchange(ticked_at_, now);
  if (away >= kPauseNoticed) {
    Say(Event::kProcessPaused, std::to_string(away / milliseconds(1)) + " ms");
    resumed_at_ = now;
  }
  if (!resumed_at_) return;
  if (ConfirmedSince(*resumed_at_) || now - *resumed_at_ >= kConfirmAtMost) return resumed_at_.reset();
  if (!feed_.asking()) feed_.OnMember(now);  // contact is to be confirmed anew
}

// A majority of the core has told since then which configuration is the newest, and that one is in force.
bool Node::ConfirmedSince(Steady then) const {
  if (had_majority_) return Now() - then >= kMajorityTells && source_.newest() <= in_force_;
  return feed_.contact() && *feed_.contact() >= then;
}

void Node::KeepHouse() {
  const Steady now = Now();
  ++ticks_;
  NoticePause(now);
  link_.KeepHouse();
  fleet_link_.Reap();
  if (core_) {
    agreement::CoreOutput out;
    core_->Tick(now, out);
    ExecuteCore(std::move(out));
  }
  if (founding_) founding_->Tick();
  if ((core_ || !InContact()) && ticks_ % 10 == 0) OnView();
  if (ticks_ % 2 == 0) front_.KeepHouse();
  if (ticks_ % 2 == 0) {
    control_.CheckTimes();
    readiness_.CheckTimes();
  }
  if (ticks_ % kRefreshTicks == 0 && !refreshed_.empty()) {
    const Message beats{Refreshed{std::exchange(refreshed_, {})}};
    if (core_) {
      ToCore(beats);
    } else if (Link::Stream* near = NearCore()) {
      near->Send(Encode(beats));
    }
  }
  AnnounceConfig();
  ApplyCommitted();
  FetchConfig();
  if (ticks_ % 4 == 0) ConsiderCore();
  if (ticks_ % 4 == 0) LookAtRedundancy();
  if (had_majority_ && ticks_ % 4 == 0) LookWhoIsAway();
  // Silence is said by who hears the core, and not before it has listened for long enough.
  const auto silent =
      std::chrono::duration_cast<service_registry::Duration>(settings_.heartbeat * kSilentBeats);
  if (had_majority_ && ticks_ % 4 == 0 && now - started_at_ > silent) {
    directory_.MarkUnresponsive(now, silent);
  }
  core_calls_.Tick(now);
  TickCoordination();
  TickReplications();
  FailAdds([now](const Adding& adding) { return now >= adding.ends; });
  if (ticks_ % kSecondTicks == 0) {
    trimmer_.Look(memory_.held());
    if (const auto proved = registry_lease_.proved_at()) directory_.ConfirmDepartures(*proved);
    directory_.PurgeExpired(now);
    KeepHosts();
    if (open_again_) TryOpenCore();
    if (had_majority_ && ticks_ % (2 * kSecondTicks) == 0) Broadcast(Digest{HostsDigest()});
    LookAtSettings();
    LookWhetherAlone();
    events::SayLeftOut();
    ToCore(Clock{Microseconds(now)});
  }
  if (told_hosts_ != directory_.version() || !owed_beats_.empty()) PublishHosts();
  KeepLeaves();
  TickLease();
  if (leaving_) AdvanceShutdown(now);
}

void Node::LookAtSettings() {
  const std::int64_t stamp = StampOf(settings_path_);
  if (stamp == settings_stamp_) return;
  settings_stamp_ = stamp;
  try {
    const std::vector<Address> seeds =
        std::exchange(settings_, settings::LoadSettings(settings_path_)).seed_nodes;
    Say(Event::kSettingsChanged, settings_path_);
    if (seeds == settings_.seed_nodes) return;
    fleet_->SetSeeds(Now(), FleetSeeds());
    OnView();
  } catch (const settings::SettingsError& error) {
    Say(Event::kSettingsRefused, error.what());
  }
}

}  // namespace curlewdoor::system
