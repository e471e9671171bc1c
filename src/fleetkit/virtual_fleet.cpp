#include "fleetkit/virtual_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "duty/view.hpp"
#include "util/hash.hpp"

namespace curlewdoor::fleetkit {
namespace {

using fleet::GossipMessage;
using fleet::MembershipProtocol;
using fleet::ProtocolOutput;

constexpr double kWayLeast_s = 0.0002, kWayMost_s = 0.001;  // one way of a datagram
constexpr double kReorder_s = 0.3;
constexpr double kExchangeTimeout_s = 2;
constexpr double kLookEvery_s = 0.01;
constexpr std::size_t kSocketHolds = 200;  // datagrams that wait for a stopped process
constexpr std::uint32_t kFirstIp = 0x7f010001;
constexpr std::uint16_t kPort = 7000;
constexpr std::uint64_t kFirstBoot = 1'700'000'000'000;  // milliseconds
const fleet::Time kStart{std::chrono::seconds(100'000)};

}  // namespace

VirtualFleet::VirtualFleet(const Scenario& scenario, std::uint64_t seed, Mutant mutant)
    : scenario_(scenario),
      mutant_(mutant),
      seed_(seed),
      random_(standin::MakeRandom(seed, "fleet network")),
      stage_(scenario, seed),
      gateways_(static_cast<std::size_t>(scenario.processes())),
      seen_(static_cast<std::size_t>(scenario.processes())) {
  for (int voter = 0; scenario.duties && voter < scenario.duties->voters; ++voter)
    voters_.push_back(NameOf(voter));
  for (Gateway& gateway : gateways_) {
    gateway.rate = 1 + standin::Uniform(random_, -scenario.clock_rate, scenario.clock_rate);
    gateway.offset = standin::Uniform(random_, 0, scenario.clock_offset_s);
  }
}

VirtualFleet::~VirtualFleet() = default;

Address VirtualFleet::AddressOf(int process) {
  return Address{kFirstIp + static_cast<std::uint32_t>(process), kPort};
}
int VirtualFleet::ProcessAt(const Address& address) { return static_cast<int>(address.ip - kFirstIp); }

// ---- Time ---------------------------------------------------------------------------------------------

fleet::Time VirtualFleet::Local(const Gateway& gateway) const {
  return kStart + standin::FromSeconds(now_ * gateway.rate + gateway.offset);
}

double VirtualFleet::TrueTime(const Gateway& gateway, fleet::Time local) const {
  return (standin::Seconds(local - kStart) - gateway.offset) / gateway.rate;
}

void VirtualFleet::At(double at, std::function<void()> what) {
  events_.push({at, next_order_++, std::move(what)});
}

Result VirtualFleet::Play(double seconds) {
  const auto look = [this](auto& self) -> void {
    Look();
    if (!stage_.done()) At(now_ + kLookEvery_s, [&self] { self(self); });
  };
  At(0, [&look] { look(look); });
  double ends = -1;
  // A machine that is due again at once without end would hold the queue for good: the play ends, and says
  // so.
  const std::uint64_t most_at_once = 5'000 + 200 * gateways_.size();  // events of one look
  std::uint64_t at_once = 0;
  double since = 0;
  while (!events_.empty() && at_once < most_at_once) {
    at_once = now_ < since + kLookEvery_s ? at_once + 1 : 0;
    if (at_once == 0) since = now_;
    if (stage_.done()) {
      if (ends < 0) ends = now_ + seconds;
      if (events_.top().at > ends) break;
    }
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.what();
  }
  // Who stands still to the end is asked when its lease was over: nobody else knows it as exactly.
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    Gateway& gateway = gateways_[g];
    if (!gateway.up || !gateway.stopped || !gateway.duties) continue;
    duty::DutyOutput out;
    gateway.duties->Tick(Local(gateway), out);
    CarryDuties(static_cast<int>(g), std::move(out));
  }
  return stage_.Finish(now_, false);
}

void VirtualFleet::Look() {
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    const Gateway& gateway = gateways_[g];
    Seen& seen = seen_[g];
    seen = {};
    if (!gateway.up || gateway.stopped) continue;
    const MembershipProtocol& machine = *gateway.machine;
    seen = {true, machine.settled(), !machine.rejection().empty(), machine.self().boot,
            machine.Fingerprint()};
    if (gateway.lowest_token != 0) seen.holds = 1;
    if (!gateway.duties || mutant_ == Mutant::kLowestName) continue;
    for (const duty::DutyStatus& standing : gateway.duties->Statuses(Local(gateway)))
      seen.holds += standing.lease_left > duty::Duration::zero() ? 1 : 0;
  }
  stage_.Look(now_, seen_, *this);
}

std::string VirtualFleet::Views() const {
  constexpr std::size_t kShown = 20;
  std::string text;
  for (const Gateway& gateway : gateways_) {
    if (!gateway.up || gateways_.size() > kShown) continue;
    const MembershipProtocol& machine = *gateway.machine;
    text += fmt::format("    {} (boot {}, incarnation {}{}{}, health {}):", gateway.name,
                        machine.self().boot % 1'000'000, machine.self().incarnation,
                        gateway.stopped ? ", stopped" : "", machine.joined() ? "" : ", not joined",
                        machine.health());
    for (const auto& [name, member] : machine.others())
      text +=
          fmt::format(" {}={}/{}/{}", name.substr(name.rfind('-') + 1), fleet::StateName(member.record.state),
                      member.record.boot % 1'000'000, member.record.incarnation);
    text += '\n';
  }
  return text;
}

// ---- Processes ----------------------------------------------------------------------------------------

fleet::MembershipOptions VirtualFleet::OptionsOf(int process) const {
  const Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  fleet::MembershipOptions options;
  options.fleet = "virtual";
  options.name = gateway.name;
  options.boot = kFirstBoot + static_cast<std::uint64_t>(1000 * (now_ + gateway.offset));
  options.address = AddressOf(process);
  options.metadata = scenario_.duties ? "version:0,duties" : "zone:a,version:0";
  for (int seed = 0; seed < scenario_.seeds; ++seed) options.seeds.push_back(AddressOf(seed));
  options.probe_period = std::chrono::duration_cast<fleet::Duration>(
      std::chrono::duration<double, std::milli>(scenario_.probe_ms));
  options.lifeguard = scenario_.lifeguard;
  if (mutant_ == Mutant::kOneBoot) options.boot = 1;
  return options;
}

void VirtualFleet::Start(int process, const std::string& name) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  gateway.name = name;
  ++gateway.life;
  gateway.up = true;
  gateway.stopped = false;
  gateway.wake = -1;
  gateway.held.clear();
  const std::uint64_t seed = StableHash(name, seed_ + static_cast<std::uint64_t>(gateway.life) * 1'000'003 +
                                                  static_cast<std::uint64_t>(process));
  gateway.machine = std::make_unique<MembershipProtocol>(OptionsOf(process), seed);
  StartDuties(process);
  WithMachine(process, [](MembershipProtocol& machine, fleet::Time now, ProtocolOutput& out) {
    machine.Start(now, out);
  });
}

// ---- Duties -------------------------------------------------------------------------------------------

duty::DutyOptions VirtualFleet::DutyOptionsOf(int process) const {
  duty::DutyOptions options;
  options.name = gateways_[static_cast<std::size_t>(process)].name;
  options.voters = voters_;
  options.voters_before = voters_before_;
  options.duties = {"record"};
  options.lease = standin::FromSeconds(scenario_.duties->lease_ms / 1000);
  options.clock_bound = scenario_.duties->clock_bound;
  return options;
}

void VirtualFleet::StartDuties(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  gateway.told_view = gateway.lowest_token = 0;
  if (!scenario_.duties) return;
  const std::uint64_t boot = gateway.machine->self().boot;
  gateway.duties = std::make_unique<duty::DutyManager>(DutyOptionsOf(process), boot << 20,
                                                       StableHash(gateway.name, seed_ + boot));
  const bool silent = mutant_ != Mutant::kVoterNotSilent || gateway.life == 1;
  gateway.duties->Start(Local(gateway) - (silent ? fleet::Duration{} : std::chrono::hours(1)));
  At(now_, [this, process, life = gateway.life] { Act(process, life); });
}

// What the daemon does every `record_ms` while it holds the duty.
void VirtualFleet::Act(int process, int life) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  if (!gateway.up || gateway.life != life) return;
  At(now_ + scenario_.duties->record_ms / 1000, [this, process, life] { Act(process, life); });
  if (gateway.stopped) return;
  auto token = gateway.duties->AuthorizeAct(Local(gateway), "record");
  if (mutant_ == Mutant::kLowestName) {
    const auto& others = gateway.machine->others();
    const bool lowest = std::none_of(others.begin(), others.end(), [&](const auto& other) {
      return other.second.record.present() && other.first < gateway.name;
    });
    if (lowest && gateway.lowest_token == 0) {
      gateway.lowest_token = static_cast<std::uint64_t>(1e6 * now_) + 1;
      stage_.duties().Gained(now_, process, "record", gateway.lowest_token);
    } else if (!lowest && gateway.lowest_token != 0) {
      stage_.duties().Ended(now_, process, "record", std::exchange(gateway.lowest_token, 0));
    }
    token = lowest ? std::optional(gateway.lowest_token) : std::nullopt;
  }
  if (!token) return;
  const standin::Ledger::Call call{"record", gateway.name, *token};
  if (gateway.ledger_held) return gateway.on_the_way.push_back(call);
  At(now_ + standin::Uniform(random_, kWayLeast_s, kWayMost_s), [this, call] { Append(call); });
}

void VirtualFleet::Append(const standin::Ledger::Call& call) {
  const auto answer = ledger_.Append(call);
  stage_.duties().Appended(now_, call.duty, call.token, call.entry, answer.taken);
  if (answer.taken) return;
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    Gateway& gateway = gateways_[g];
    if (gateway.name != call.entry || !gateway.up || gateway.stopped) continue;
    duty::DutyOutput out;
    gateway.duties->OnTokenRejected(Local(gateway), call.duty, answer.number, out);
    CarryDuties(static_cast<int>(g), std::move(out));
  }
}

void VirtualFleet::HoldLedger(int process, bool on) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  gateway.ledger_held = on;
  if (on) return;
  for (const auto& call : std::exchange(gateway.on_the_way, {})) Append(call);
}

void VirtualFleet::SetVoters(const std::vector<int>& voters, const std::vector<int>& before) {
  voters_ = NamesOf(voters);
  voters_before_ = NamesOf(before);
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    Gateway& gateway = gateways_[g];
    const int process = static_cast<int>(g);
    if (!gateway.up || gateway.stopped ||
        !gateway.duties->ReconfigureError(Local(gateway), DutyOptionsOf(process)).empty())
      continue;
    duty::DutyOutput out;
    gateway.duties->Reconfigure(Local(gateway), DutyOptionsOf(process), out);
    CarryDuties(process, std::move(out));
  }
}

void VirtualFleet::HandOver(int holder, int to) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(holder)];
  if (!gateway.up || gateway.stopped) return;
  duty::DutyOutput out;
  gateway.duties->Transfer(Local(gateway), "record", NameOf(to), out);
  CarryDuties(holder, std::move(out));
}

// What the view and other gateways tell, after each call of the view's machine.
void VirtualFleet::TellDuties(int process, const ProtocolOutput& told) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  if (!gateway.duties) return;
  duty::DutyOutput out;
  if (std::exchange(gateway.told_view, gateway.machine->version()) != gateway.machine->version())
    gateway.duties->OnView(Local(gateway), duty::FleetViewOf(*gateway.machine), out);
  for (const fleet::ReceivedPayload& payload : told.payloads)
    if (const auto message = duty::Decode(payload.bytes); message && payload.channel == duty::kDutyChannel)
      gateway.duties->OnMessage(Local(gateway), payload.from, duty::IncarnationOf(payload.from, payload.boot),
                                *message, out);
  CarryDuties(process, std::move(out));
}

void VirtualFleet::CarryDuties(int process, duty::DutyOutput out) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  for (const duty::DutyChange& change : out.changes) {
    Mix(StableHash(change.duty, change.token + static_cast<std::uint64_t>(change.kind)));
    if (mutant_ == Mutant::kLowestName) continue;
    if (change.kind == duty::DutyChange::Kind::kGained) {
      stage_.duties().Gained(now_, process, change.duty, change.token);
    } else {
      stage_.duties().Ended(std::min(now_, TrueTime(gateway, change.until)), process, change.duty,
                            change.token, change.kind == duty::DutyChange::Kind::kTransferred);
    }
  }
  ProtocolOutput sent;
  for (duty::OutgoingMessage& sending : out.messages)
    gateway.machine->SendPayload(sending.to, duty::kDutyChannel, std::move(sending.bytes), sent);
  for (const fleet::OutgoingMessage& sending : sent.datagrams) SendDatagram(process, sending);
  Arm(process);
}

void VirtualFleet::Kill(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  if (gateway.up && scenario_.duties) stage_.duties().Gone(now_, process);
  gateway.up = false;
  gateway.held.clear();
}

// What is owed is soon answered here: the process ends a second later.
void VirtualFleet::Term(int process) {
  if (Gateway& gateway = gateways_[static_cast<std::size_t>(process)]; gateway.duties) {
    duty::DutyOutput out;
    gateway.duties->Leave(Local(gateway), out);
    CarryDuties(process, std::move(out));
  }
  WithMachine(process, [](MembershipProtocol& machine, fleet::Time now, ProtocolOutput& out) {
    machine.Leave(now, out);
  });
  At(now_ + 1, [this, process, life = gateways_[static_cast<std::size_t>(process)].life] {
    if (gateways_[static_cast<std::size_t>(process)].life == life) Kill(process);
  });
}

void VirtualFleet::Stop(int process) { gateways_[static_cast<std::size_t>(process)].stopped = true; }

void VirtualFleet::Continue(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  if (!gateway.up || !std::exchange(gateway.stopped, false)) return;
  auto held = std::move(gateway.held);
  gateway.held.clear();
  for (auto& what : held) what();
  Arm(process);
}

void VirtualFleet::Upgrade(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  const std::string duties = gateway.duties ? gateway.duties->ExportState() : "";
  const auto records = gateway.machine->ExportState();
  gateway.machine = std::make_unique<MembershipProtocol>(OptionsOf(process),
                                                         StableHash(gateway.name, seed_ + 77 + next_order_));
  if (gateway.duties) {
    gateway.duties = std::make_unique<duty::DutyManager>(DutyOptionsOf(process), records.front().boot << 20,
                                                         StableHash(gateway.name, seed_ + 78 + next_order_));
    gateway.duties->ImportState(Local(gateway), duties);
    gateway.duties->Start(Local(gateway));
    gateway.told_view = 0;
  }
  WithMachine(process, [&](MembershipProtocol& machine, fleet::Time now, ProtocolOutput& out) {
    machine.ImportState(now, records);
    machine.Start(now, out);
  });
}

// ---- Machines -----------------------------------------------------------------------------------------

void VirtualFleet::Run(int process, std::function<void()> what) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  if (!gateway.up) return;
  if (!gateway.stopped) return what();
  if (gateway.held.size() < kSocketHolds) gateway.held.push_back(std::move(what));
}

void VirtualFleet::WithMachine(
    int process, const std::function<void(MembershipProtocol&, fleet::Time, ProtocolOutput&)>& call) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  ProtocolOutput out;
  call(*gateway.machine, Local(gateway), out);
  Carry(process, std::move(out));
  Arm(process);
}

void VirtualFleet::Arm(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  auto due = gateway.machine->NextDue();
  if (const auto duty = gateway.duties ? gateway.duties->NextDue() : std::nullopt)
    due = due ? std::min(*due, *duty) : duty;
  if (!due) return;
  const double local = standin::Seconds(*due - kStart);
  const double at = std::max(now_, (local - gateway.offset) / gateway.rate + 1e-9);
  if (gateway.wake >= now_ && gateway.wake <= at) return;  // called before that anyway
  gateway.wake = at;
  At(at, [this, process, life = gateway.life, at] {
    Gateway& it = gateways_[static_cast<std::size_t>(process)];
    if (it.wake == at) it.wake = -1;
    if (!it.up || it.stopped || it.life != life) return;
    if (const auto duty = it.duties ? it.duties->NextDue() : std::nullopt; duty && *duty <= Local(it)) {
      duty::DutyOutput out;
      it.duties->Tick(Local(it), out);
      CarryDuties(process, std::move(out));
    }
    const auto next = it.machine->NextDue();
    if (next && *next <= Local(it)) {
      WithMachine(process, [](MembershipProtocol& machine, fleet::Time now, ProtocolOutput& out) {
        machine.Tick(now, out);
      });
    } else {
      Arm(process);
    }
  });
}

void VirtualFleet::Carry(int process, ProtocolOutput out) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  for (const fleet::MembershipChange& change : out.changes) {
    Mix(static_cast<std::uint64_t>(change.kind) + static_cast<std::uint64_t>(1e6 * now_));
    if (change.kind != fleet::MembershipChange::Kind::kMemberChanged) continue;
    Mix(StableHash(change.member.name, static_cast<std::uint64_t>(change.member.state)));
    const int of = ProcessAt(change.member.address);
    if (change.member.state == fleet::MemberState::kDead && stage_.running(of) && !stage_.stopped(of))
      ++told_dead_;
    stage_.Told(now_, process, change.member.name, fleet::StateName(change.member.state));
  }
  if (!gateway.up) return;
  for (const fleet::OutgoingMessage& sending : out.datagrams) SendDatagram(process, sending);
  for (const fleet::OutgoingMessage& sending : out.exchanges) SendExchange(process, sending);
  TellDuties(process, out);
}

void VirtualFleet::Mutate(int process, GossipMessage& message) const {
  if (mutant_ == Mutant::kNeverRefutes) message.sender.incarnation = 0;
  if (mutant_ == Mutant::kOneBoot) message.sender.boot = 1;
  for (fleet::MemberRecord& rumour : message.rumours)
    if (mutant_ == Mutant::kOneBoot) rumour.boot = 1;
  for (fleet::MemberRecord& rumour : message.rumours)
    if (mutant_ == Mutant::kNeverRefutes && rumour.name == gateways_[static_cast<std::size_t>(process)].name)
      rumour.incarnation = 0;
}

// ---- The network --------------------------------------------------------------------------------------

void VirtualFleet::SendDatagram(int from, const fleet::OutgoingMessage& sending) {
  const int to = ProcessAt(sending.to);
  if (to < 0 || to >= static_cast<int>(gateways_.size())) return;
  const LinkTrouble& link = stage_.link(from, to);
  if (mutant_ == Mutant::kDeadNotAsked && sending.message.kind == fleet::MessageKind::kPing) {
    const auto& others = gateways_[static_cast<std::size_t>(from)].machine->others();
    const auto it = others.find(sending.message.target);
    if (it != others.end() && !it->second.record.present()) return;
  }
  GossipMessage message = sending.message;
  if (mutant_ != Mutant::kNone) Mutate(from, message);
  std::string bytes = fleet::Encode(message, "virtual");
  ++traffic_.datagrams;
  traffic_.bytes += bytes.size();
  Mix(StableHash(bytes));
  if (link.cut || standin::Chance(random_, link.loss)) return;
  if (standin::Chance(random_, link.corrupt))
    bytes[standin::Below(random_, bytes.size())] ^= static_cast<char>(1 + standin::Below(random_, 255));
  const int copies = standin::Chance(random_, link.repeat) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    double way = standin::Uniform(random_, kWayLeast_s, kWayMost_s) + link.delay_s;
    if (standin::Chance(random_, link.reorder)) way += standin::Uniform(random_, 0, kReorder_s);
    At(now_ + way, [this, to, bytes] { Run(to, [this, to, bytes] { Deliver(to, bytes); }); });
  }
}

void VirtualFleet::Deliver(int to, std::string bytes) {
  fleet::DropReason why;
  const auto message = fleet::Decode(bytes, "virtual", why);
  if (!message) return;
  WithMachine(to, [&](MembershipProtocol& machine, fleet::Time now, ProtocolOutput& out) {
    machine.OnMessage(now, *message, out);
  });
}

// By TCP: whole or not at all, and an end is noticed in two seconds at the latest.
void VirtualFleet::SendExchange(int from, const fleet::OutgoingMessage& sending) {
  const int to = ProcessAt(sending.to);
  const Address with = sending.to;
  const int life = gateways_[static_cast<std::size_t>(from)].life;
  const auto fail = [this, from, with, life](double after) {
    At(now_ + after, [this, from, with, life] {
      Run(from, [this, from, with, life] {
        if (gateways_[static_cast<std::size_t>(from)].life != life) return;
        WithMachine(from, [&](MembershipProtocol& machine, fleet::Time now, ProtocolOutput& out) {
          machine.OnExchangeFailed(now, with, out);
        });
      });
    });
  };
  if (to < 0 || to >= static_cast<int>(gateways_.size()) || !gateways_[static_cast<std::size_t>(to)].up)
    return fail(kWayMost_s);
  const LinkTrouble &forth = stage_.link(from, to), &back = stage_.link(to, from);
  if (forth.cut || back.cut || gateways_[static_cast<std::size_t>(to)].stopped)
    return fail(kExchangeTimeout_s);
  const double way = 2 * standin::Uniform(random_, kWayLeast_s, kWayMost_s) + forth.delay_s;
  GossipMessage question = sending.message;
  if (mutant_ != Mutant::kNone) Mutate(from, question);
  At(now_ + way, [this, from, to, life, question, back] {
    Run(to, [this, from, to, life, question, back] {
      GossipMessage answer =
          gateways_[static_cast<std::size_t>(to)].machine->FullState(fleet::MessageKind::kExchangeReply);
      if (mutant_ != Mutant::kNone) Mutate(to, answer);
      WithMachine(to, [&](MembershipProtocol& machine, fleet::Time now, ProtocolOutput& out) {
        machine.OnMessage(now, question, out);
      });
      if (stage_.link(to, from).cut) return;
      At(now_ + standin::Uniform(random_, kWayLeast_s, kWayMost_s) + back.delay_s,
         [this, from, life, answer] {
           Run(from, [this, from, life, answer] {
             if (gateways_[static_cast<std::size_t>(from)].life != life) return;
             WithMachine(from, [&](MembershipProtocol& machine, fleet::Time now, ProtocolOutput& out) {
               machine.OnMessage(now, answer, out);
             });
           });
         });
    });
  });
}

}  // namespace curlewdoor::fleetkit
