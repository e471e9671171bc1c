#include "system/node.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <set>
#include <stdexcept>
#include <utility>

#include "agreement/codec.hpp"
#include "directory/codec.hpp"
#include "events/events.hpp"
#include "storage/memory_storage.hpp"
#include "system/headers.hpp"
#include "util/hash.hpp"

namespace curlewdoor::system {
namespace {

using events::Event;
using events::Say;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kFleetName[] = "curlewdoor";
// What a member of the core says of itself in the fleet view, before its life.
const std::string kOnDisk = "core:", kInMemory = "mem:";
constexpr milliseconds kConsiderAfter{1200};  // until then a machine with a disk has been seen
constexpr std::size_t kMostInMemory = 9;      // members of a core without disks
constexpr milliseconds kTick{50};
constexpr milliseconds kProbe{500};  // of the fleet's view
constexpr int kRefreshTicks = 6;     // beats that say nothing new are told together
constexpr int kSecondTicks = 20;
constexpr milliseconds kCallEnds{900};   // operators and hosts go elsewhere after a second of silence
constexpr milliseconds kPassAgain{300};  // then another core member is asked
constexpr milliseconds kTellEnds{700};
constexpr milliseconds kTellAgain{200};  // then all core members are told
constexpr int kMostStrayed = 2;          // digests in a row: news may just be on its way
constexpr milliseconds kAddEnds{400};
constexpr milliseconds kMostAstray{
    200};  // of a gateway's idea of a holder's clock, its message's way included
constexpr std::size_t kMostPending = 256, kMostTellings = 1024, kMostAddings = 4096;
constexpr double kSilentBeats = 3.5;  // a host that has missed so many is silent
constexpr milliseconds kStopListening{
    2600};                               // after SIGTERM: the platform has seen by then that we don't serve
constexpr milliseconds kEndMargin{350};  // before the platform's SIGKILL
constexpr seconds kAwayFor{60};          // a gateway that isn't heard may go on by its share
constexpr std::size_t kMostConfig = 3 * 1024 * 1024;  // the shelf takes many times that: 64 MB are granted
constexpr char kHostsKey[] = "hosts", kGatewaysKey[] = "gateways";
constexpr seconds kGatherAtMost{10};  // by then a view is as whole as it gets
constexpr int kMostGateways = 10'000;
constexpr std::uint64_t kHostsWrite = ~std::uint64_t{0};  // never an id of the agreement's writes
constexpr int kReserved = 300;  // descriptors: files, the loop's own, what the platform keeps

std::int64_t StampOf(const std::string& path) {
  struct stat st {};
  if (::stat(path.c_str(), &st) != 0) return 0;
  return st.st_mtim.tv_sec * 1'000'000'000LL + st.st_mtim.tv_nsec;
}

std::uint64_t BootNow() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

// Of members without disks: numbered by the time when they began, so a later one's is higher.
constexpr std::uint64_t kLivesAtOnce = 1u << 20;
std::uint64_t FirstLife(std::uint64_t boot) { return boot * kLivesAtOnce; }

std::string Hex(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

std::int64_t Microseconds(std::chrono::steady_clock::time_point at) {
  return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
}

int Descriptors(const settings::NodeSettings& settings) {
  return std::max(256, static_cast<int>(settings.limits.fd_limit) - kReserved);
}

}  // namespace

Node::Node(struct ev_loop* loop, settings::NodeSettings settings, std::string settings_path,
           std::uint64_t seed)
    : loop_(loop),
      settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      settings_stamp_(StampOf(settings_path_)),
      rng_(seed),
      fleet_address_{settings_.ip_address, settings_.internal_ports.first},
      link_address_{settings_.ip_address, static_cast<std::uint16_t>(settings_.internal_ports.first + 1)},
      front_descriptors_(Descriptors(settings_) * 7 / 10),
      link_descriptors_(Descriptors(settings_) * 3 / 10, false, false, true),
      fleet_link_(loop, link_descriptors_, *this),
      fleet_timer_(loop,
                   [this](int) {
                     fleet::Out out;
                     fleet_->Tick(Now(), out);
                     Carry(std::move(out));
                   }),
      link_(loop, link_descriptors_, *this, {}, seed),
      front_(
          loop, settings_, front_descriptors_, rng_(),
          [this](const std::string& tenant, const AddCount& call) { AddToCount(tenant, call); },
          [this](const std::string& tenant) { return ClockOffset(tenant); }),
      control_(
          loop, link_descriptors_, [this](CallDoor::Call call) { OnCall(std::move(call)); }, kMostConfig),
      readiness_(
          loop, link_descriptors_,
          [this](CallDoor::Call call) {
            const bool asked = call.path == kReadinessPath;
            readiness_.Reply(call.id, !asked ? 404 : ready_ && !leaving_ ? 200 : 503);
          },
          1024),
      started_at_(Now()),
      house_timer_(loop, [this](int) { KeepHouse(); }),
      reap_(loop,
            [this](int) {
              front_.ReapAll();
              control_.Reap();
              readiness_.Reap();
            }),
      term_(loop, SIGTERM, [this](int) { OnTerm(); }),
      interrupt_(loop, SIGINT, [this](int) { OnTerm(); }),
      hang_up_(loop, SIGHUP, [this](int) { LookAtSettings(); }) {
  const auto open = [](const auto& listen) {
    std::string error;
    if (!listen(error)) throw std::runtime_error(error);
  };
  TryOpenCore();
  open([&](std::string& error) { return link_.Listen(link_address_, error); });
  open([&](std::string& error) { return fleet_link_.Open(fleet_address_, error); });
  const auto& listen = settings_.listen_addresses;
  if (listen.control_plane)
    open([&](std::string& error) { return control_.Listen(*listen.control_plane, error); });
  if (listen.readiness) open([&](std::string& error) { return readiness_.Listen(*listen.readiness, error); });
  if (listen.data_plane) open([&](std::string& error) { return front_.Listen(*listen.data_plane, error); });
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
  fleet::Options options;
  options.fleet = kFleetName;
  options.name = settings_.node_name;
  options.boot = BootNow();
  options.address = fleet_address_;
  options.about = (core_ ? (in_memory_ ? kInMemory : kOnDisk) + Hex(disk_) : "-") + " " + settings_.zone;
  options.about.resize(std::min(options.about.size(), fleet::kMostAbout));
  options.probe = kProbe;
  for (const Address& seed_node : settings_.seed_nodes)
    options.seeds.push_back({seed_node.ip, fleet_address_.port});
  // A core member that comes back knows its companions, wherever the seeds have gone meanwhile.
  for (const CoreMember& member : members_)
    if (member.address.ip != settings_.ip_address)
      options.seeds.push_back({member.address.ip, fleet_address_.port});
  std::erase(options.seeds, fleet_address_);
  fleet_ = std::make_unique<fleet::Machine>(options, StableHash(options.name, options.boot));
  seen_view_ = 0;
  fleet::Out out;
  fleet_->Start(Now(), out);
  Carry(std::move(out));
}

// ---- Fleet --------------------------------------------------------------------------------------------

void Node::OnDatagram(std::string_view bytes) {
  auto why = fleet::Drop::kNone;
  const auto message = fleet::Decode(bytes, kFleetName, why);
  if (!message || message->kind == fleet::Kind::kExchange || message->kind == fleet::Kind::kExchangeReply)
    return;
  fleet::Out out;
  fleet_->OnMessage(Now(), *message, out);
  Carry(std::move(out));
}

std::string Node::OnExchange(std::string_view bytes) {
  auto why = fleet::Drop::kNone;
  const auto message = fleet::Decode(bytes, kFleetName, why);
  if (!message || message->kind != fleet::Kind::kExchange) return {};
  const std::string answer = fleet::Encode(fleet_->Full(fleet::Kind::kExchangeReply), kFleetName);
  fleet::Out out;
  fleet_->OnMessage(Now(), *message, out);
  Carry(std::move(out));
  return answer;
}

void Node::OnExchangeEnd(const Address& with, std::string_view bytes) {
  auto why = fleet::Drop::kNone;
  fleet::Out out;
  const auto message = bytes.empty() ? std::nullopt : fleet::Decode(bytes, kFleetName, why);
  if (message && message->kind == fleet::Kind::kExchangeReply) {
    fleet_->OnMessage(Now(), *message, out);
  } else {
    fleet_->OnExchangeFailed(Now(), with, out);
  }
  Carry(std::move(out));
}

void Node::Carry(fleet::Out out) {
  for (const auto& [to, message] : out.datagrams) fleet_link_.Send(to, fleet::Encode(message, kFleetName));
  for (const auto& [with, message] : out.exchanges)
    fleet_link_.Exchange(with, fleet::Encode(message, kFleetName));
  for (const fleet::Change& change : out.changes) {
    if (change.kind != fleet::Change::Kind::kMember) continue;
    Say(change.member.present() ? Event::kMemberSeen : Event::kMemberLost,
        change.member.name + " " + std::string(fleet::Word(change.member.state)) + " " + change.member.about);
  }
  fleet_timer_.Stop();
  if (const auto due = fleet_->NextDue()) {
    ev_now_update(loop_);
    fleet_timer_.StartIn(std::max(fleet::Duration::zero(), *due - Now()));
  }
  if (std::exchange(seen_view_, fleet_->version()) != fleet_->version()) OnView();
}

void Node::OnView() {
  std::vector<Address> targets;
  std::vector<agreement::Seen> counted;
  const auto look = [&](const fleet::Record& record) {
    const bool of_roster = std::any_of(members_.begin(), members_.end(),
                                       [&](const CoreMember& each) { return each.name == record.name; });
    // The lives of a machine's earlier processes are gone, and all of them are once it has left.
    if (in_memory_ && of_roster && (!IsOfCore(record) || record.state == fleet::State::kLeft))
      counted.push_back(
          {{{record.name, FirstLife(record.boot + (record.state == fleet::State::kLeft))}, {}}, false});
    if (!IsOfCore(record)) return;
    const Address address{record.address.ip, link_address_.port};
    const std::uint64_t disk = std::strtoull(record.about.c_str() + record.about.find(':') + 1, nullptr, 16);
    counted.push_back({{{record.name, disk}, address.ToText()}, record.present()});
    if (record.present() && address != link_address_) targets.push_back(address);
  };
  look(fleet_->self());
  for (const auto& [name, member] : fleet_->others()) look(member.record);
  for (const CoreMember& member : members_)
    if (member.address != link_address_) targets.push_back(member.address);
  if (targets.empty())  // nobody is known yet: a seed is of the core or knows it
    for (const Address& seed : settings_.seed_nodes)
      if (seed.ip != settings_.ip_address) targets.push_back({seed.ip, link_address_.port});
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  link_.SetTargets(targets);
  // Each zone's gateways in the order of their names: the same for all who see the same.
  std::size_t index = 0, in_zone = 1;
  const auto zone_of = [](const fleet::Record& record) {
    return record.about.substr(record.about.find(' ') + 1);
  };
  for (const auto& [name, member] : fleet_->others()) {
    if (!member.record.present() || zone_of(member.record) != zone_of(fleet_->self())) continue;
    ++in_zone;
    index += name < settings_.node_name;
  }
  // Those that a cut hides are at work and spend their part: a gateway behind one doesn't take it for its
  // own.
  int gateways = 1;
  for (const auto& [name, member] : fleet_->others()) gateways += MayBeAtWork(member);
  gateways_ = AtLeast(gateways);
  if (front_.SetGateways(gateways_, index, in_zone)) front_.SetHosts(by_service_);
  if (!core_) return;
  core_->OnSeeds(SeesSeeds());
  agreement::Out out;
  core_->OnView(Now(), counted, out);
  CarryCore(std::move(out));
}

// Who is back sees the others one by one, and has its part of all quotas at once: until its view stands still
// it divides by as many as there were.
int Node::AtLeast(int gateways) {
  gathered_ = gathered_ || fleet_->settled() || Now() - started_at_ > kGatherAtMost;
  return gathered_ ? gateways : std::max(gateways, least_gateways_);
}

// More than half of them, itself among them where it is one.
bool Node::SeesSeeds() const {
  std::set<std::uint32_t> seeds, seen;
  for (const Address& seed : settings_.seed_nodes) seeds.insert(seed.ip);
  if (seeds.contains(settings_.ip_address)) seen.insert(settings_.ip_address);
  for (const auto& [name, member] : fleet_->others())
    if (member.record.present() && seeds.contains(member.record.address.ip))
      seen.insert(member.record.address.ip);
  return 2 * seen.size() > seeds.size() || seeds.empty();
}

bool Node::IsOfCore(const fleet::Record& record) {
  return record.about.starts_with(kOnDisk) || record.about.starts_with(kInMemory);
}

// Where no machine has a disk that counts, the core is of those that serve control, in memory: the first ones
// by address, while the whole system starts, or where others are so already.
void Node::ConsiderCore() {
  if (core_ || settings_.quorum_member || !settings_.listen_addresses.control_plane) return;
  if (!fleet_->joined()) return;
  // Once there is a core, who is back takes its place at once: in a roll the view never settles.
  if (epoch_ == 0 && (!fleet_->settled() || Now() - started_at_ < kConsiderAfter)) return;
  std::size_t before = 0, in_memory = 0;
  for (const auto& [name, member] : fleet_->others()) {
    if (member.record.about.starts_with(kOnDisk)) return;
    if (!member.record.present()) continue;
    in_memory += member.record.about.starts_with(kInMemory);
    before += member.record.address < fleet_address_;
  }
  if (before >= kMostInMemory || (!settings_.bootstrap && in_memory == 0)) return;
  volunteers_ = true;
  TryOpenCore();
}

// ---- Link ---------------------------------------------------------------------------------------------

void Node::Broadcast(const Message& message) {
  const std::string frame = Encode(message);
  link_.ForEach([&](Link::Stream& stream) {
    if (stream.subscribed) stream.Send(frame);
  });
}

void Node::ToCore(const Message& message) {
  const std::string frame = Encode(message);
  link_.ForEach([&](Link::Stream& stream) {
    if (stream.dialled() && stream.counted) stream.Send(frame);
  });
}

void Node::OnUp(Link::Stream& stream) {
  stream.Send(Encode(Hello{settings_.node_name, core_.has_value()}));
  if (!stream.dialled()) return;
  Say(Event::kLinkUp, stream.to().ToText());
  stream.Send(
      Encode(Clock{std::chrono::duration_cast<std::chrono::microseconds>(Now().time_since_epoch()).count()}));
}

// A stream that was dialled here wants all news from now on, and begins with all that there is.
void Node::Take(Link::Stream& stream, Hello& message) {
  stream.name = message.name;
  stream.counted = message.counted;
  if (stream.dialled()) {
    offsets_.erase(stream.name);
    AskClock(stream);
    if (directory_.size() > 0) stream.Send(Encode(Hosts{directory::Encode(directory_.All(), Now())}));
    return;
  }
  if (!core_) {  // a seed that isn't of the core knows who is
    if (epoch_ > 0) stream.Send(Encode(MembersNow()));
    return;
  }
  stream.subscribed = true;
  if (epoch_ > 0) stream.Send(Encode(MembersNow()));
  if (directory_.size() > 0) stream.Send(Encode(Hosts{directory::Encode(directory_.All(), Now())}));
  if (had_majority_ && core_->committed().version > 0) stream.Send(Encode(ConfigNow()));
}

void Node::OnDown(Link::Stream& stream) {
  if (stream.dialled()) Say(Event::kLinkDown, stream.to().ToText() + " " + stream.name);
  std::vector<CountName> lost;
  for (auto it = addings_.begin(); it != addings_.end();) {
    const bool of_it = it->second.stream == stream.number;
    if (of_it) lost.push_back(it->second.name);
    it = of_it ? addings_.erase(it) : std::next(it);
  }
  for (const CountName name : lost) front_.OnCount({name, Outcome::kTimeout, 0, kAddEnds});
  for (auto& [number, pending] : pending_)
    if (pending.stream == stream.number) pending.next = Now();
}

void Node::OnFrame(Link::Stream& stream, std::string_view frame) {
  auto message = Decode(frame);
  if (!message && IsOfLaterKind(frame)) {  // in the middle of an upgrade; once of each stream is enough
    if (!std::exchange(stream.told_later, true))
      Say(Event::kMessageRefused,
          "from " + stream.to().ToText() + " of a kind that a later version has; passed over");
    return;
  }
  if (!message) {
    Say(Event::kMessageRefused,
        "from " + stream.to().ToText() + " " + std::to_string(frame.size()) + " bytes");
    return stream.Close();
  }
  std::visit([&](auto& each) { Take(stream, each); }, *message);
}

void Node::AskClock(Link::Stream& stream) { stream.Send(Encode(Clock{Microseconds(Now())})); }

void Node::Take(Link::Stream& stream, Clock& message) {
  const auto now = Now();
  const std::int64_t now_us = Microseconds(now);
  if (message.told_us < 0) return stream.Send(Encode(Clock{message.asked_us, now_us}));
  const Duration round_trip = std::chrono::microseconds(now_us - message.asked_us);
  const Duration offset = std::chrono::microseconds(message.told_us - (now_us + message.asked_us) / 2);
  Offset& known = offsets_[stream.name];
  // The quickest of late is the most exact; clocks drift, so it doesn't count for ever. One that differs by
  // more than both may be wrong is of another clock: the machine began anew.
  const bool other = std::chrono::abs(offset - known.offset) > round_trip + known.round_trip;
  if (known.at == Steady{} || other || round_trip <= known.round_trip || now - known.at > seconds(20))
    known = {offset, round_trip, now};
}

// What a core member tells it tells to all: it isn't told on once more.
void Node::Take(Link::Stream& stream, Hosts& message) {
  if (stream.dialled() && stream.counted && told_hosts_ != directory_.version()) PublishHosts();
  MergeBatch(message.batch);
  if (!stream.dialled() || !stream.counted) return;
  told_hosts_ = directory_.version();
  if (by_service_.Fold(directory_)) front_.SetHosts(by_service_);
}

void Node::Take(Link::Stream& stream, Refreshed& message) {
  for (auto& [id, sequence] : message.beats) {
    directory_.Refresh(Now(), id, sequence);
    // One core member hears of a beat and tells the others.
    if (!stream.counted && refreshed_.size() < kMostRefreshed)
      refreshed_.emplace_back(std::move(id), sequence);
  }
}

void Node::Take(Link::Stream& stream, Tell& message) {
  MergeBatch(message.batch);
  owed_told_.emplace_back(stream.number, message.number);
}

void Node::Take(Link::Stream& stream, Digest& message) {
  stream.strayed = message.hosts == HostsDigest() ? 0 : stream.strayed + 1;
  if (stream.strayed < kMostStrayed) return;
  stream.strayed = 0;
  stream.Send(Encode(Hosts{directory::Encode(directory_.All(), Now())}));
  stream.Send(Encode(AskHosts{}));
}

void Node::Take(Link::Stream& stream, AskHosts&) {
  stream.Send(Encode(Hosts{directory::Encode(directory_.All(), Now())}));
}

Link::Stream* Node::NearCore() {
  Link::Stream* best = nullptr;
  Duration best_time = Duration::max();
  link_.ForEach([&](Link::Stream& stream) {
    if (!stream.dialled() || !stream.counted) return;
    const auto known = offsets_.find(stream.name);
    const Duration time = known != offsets_.end() ? known->second.round_trip : Duration(milliseconds(100));
    if (best != nullptr && time >= best_time) return;
    best = &stream;
    best_time = time;
  });
  return best;
}

void Node::Take(Link::Stream&, Told& message) {
  const auto it = tellings_.find(message.number);
  if (it == tellings_.end()) return;
  const RequestId call = it->second.call;
  tellings_.erase(it);
  ReplyBeat(call);
}

std::function<void(int, std::string)> Node::AnswerTo(const Link::Stream& stream, std::uint64_t number) {
  return [this, number, from = stream.number](int status, const std::string& body) {
    link_.ForEach([&](Link::Stream& each) {
      if (each.number == from) each.Send(Encode(Done{number, status, body}));
    });
  };
}

std::function<void(int, std::string)> Node::AnswerCall(RequestId id) {
  return [this, id](int status, const std::string& body) {
    control_.Reply(id, status, body, "application/json");
  };
}

void Node::Take(Link::Stream& stream, Put& message) {
  Pending pending;
  pending.is_put = true;
  pending.version = message.version;
  pending.text = std::move(message.text);
  pending.ends = Now() + kCallEnds;
  pending.answer = AnswerTo(stream, message.number);
  if (!core_member()) return pending.answer(503, {});
  Ask(std::move(pending));
}

void Node::Take(Link::Stream& stream, Get& message) {
  Pending pending;
  pending.ends = Now() + kCallEnds;
  pending.answer = AnswerTo(stream, message.number);
  if (!core_member()) return pending.answer(503, {});
  Ask(std::move(pending));
}

void Node::Take(Link::Stream& stream, Done& message) {
  const auto it = pending_.find(message.number);
  if (it == pending_.end()) return;
  if (message.status == 503) {  // another member may do better
    if (it->second.stream == stream.number) PassOn(it->first, it->second);
    return;
  }
  Answer(message.number, message.status, std::move(message.body));
}

void Node::Take(Link::Stream&, Config& message) { SetInForce(message.version, message.text); }

void Node::Take(Link::Stream&, Members& message) {
  std::vector<CoreMember> members;
  for (const auto& [name, disk, text] : message.members)
    if (const auto address = ParseAddress(text)) members.push_back({name, disk, *address});
  least_gateways_ =
      std::max(least_gateways_, static_cast<int>(std::min<std::uint32_t>(kMostGateways, message.gateways)));
  OnRoster(message.epoch, std::move(members));
  if (!gathered_ && least_gateways_ > gateways_) OnView();
}

void Node::Take(Link::Stream& stream, AddUnits& message) {
  // Whoever goes by another clock goes by other windows: its units would be counted apart from all others'.
  const bool in_step =
      std::abs(message.clock_us - Microseconds(Now())) <= kMostAstray / std::chrono::microseconds(1);
  const auto total = !in_step ? std::nullopt
                              : AddHere(message.tenant, stream.name, CountName{message.count},
                                        std::chrono::microseconds(message.lifetime_us), message.amount);
  stream.Send(Encode(Total{message.number, total.has_value(), total.value_or(0)}));
}

void Node::Take(Link::Stream&, Total& message) {
  const auto it = addings_.find(message.number);
  if (it == addings_.end()) return;
  const Adding adding = it->second;
  addings_.erase(it);
  const Duration latency = Now() - (adding.ends - kAddEnds);
  front_.OnCount(
      {adding.name, message.counted ? Outcome::kOk : Outcome::kConnectFailed, message.total, latency});
}

void Node::Take(Link::Stream&, CoreBytes& message) {
  if (!core_) return;
  const auto decoded = agreement::DecodeMessage(message.bytes);
  if (!decoded) return Say(Event::kMessageRefused, "of the core");
  agreement::Out out;
  core_->OnMessage(Now(), *decoded, out);
  CarryCore(std::move(out));
}

// ---- Calls from outside -------------------------------------------------------------------------------

void Node::OnCall(CallDoor::Call call) {
  try {
    if (const auto report = DecodeReport(call.method, call.path))
      return std::visit([&](const auto& each) { Run(call.id, each); }, *report);
    auto command = directory::Decode(call.method, call.path, std::move(call.body));
    std::visit([&](auto& each) { Run(call.id, each); }, command);
  } catch (const directory::CallError& error) {
    Say(Event::kBeatRefused, call.path + ": " + error.text);
    control_.Reply(call.id, error.status, error.text + "\n", "text/plain");
  }
}

void Node::ReplyBeat(RequestId id) { control_.Reply(id, 200, "{}", "application/json"); }

void Node::Run(RequestId id, const directory::Beat& beat) {
  const auto* known = directory_.Find(beat.id);
  const bool news = directory_.Apply(Now(), beat) || known == nullptr;
  if (!news && !beat.draining) {
    if (refreshed_.size() < kMostRefreshed) refreshed_.emplace_back(beat.id, beat.sequence);
    return ReplyBeat(id);
  }
  TellHost(id, beat.id);
}

void Node::Run(RequestId id, const directory::Leave& leave) {
  directory_.Apply(Now(), leave);
  TellHost(id, leave.id);
}

// Acknowledged once a core member has passed it on: every gateway in touch has it on its way then.
void Node::TellHost(RequestId id, const std::string& host) {
  const auto* entry = directory_.Find(host);
  if (entry == nullptr || tellings_.size() + owed_beats_.size() >= kMostTellings)
    return control_.Reply(id, 503);
  if (core_ && had_majority_) return owed_beats_.push_back(id);
  Link::Stream* near = NearCore();
  if (near == nullptr) return control_.Reply(id, 503);
  const std::uint64_t number = next_number_++;
  Telling& telling = tellings_[number];
  telling = {id, Now() + kTellEnds, Now() + kTellAgain, directory::Encode({*entry}, Now())};
  near->Send(Encode(Tell{number, telling.batch}));
}

void Node::Run(RequestId id, directory::PutConfig& put) {
  Pending pending;
  try {
    const auto policy = policy::Policy::Read(put.text);
    pending.version = policy->version();
  } catch (const policy::PolicyError& error) {
    Say(Event::kConfigRefused, error.what());
    return control_.Reply(id, 400, std::string(error.what()) + "\n", "text/plain");
  }
  Say(Event::kConfigTaken, "version " + std::to_string(pending.version));
  pending.is_put = true;
  pending.text = std::move(put.text);
  pending.ends = Now() + kCallEnds;
  pending.answer = AnswerCall(id);
  Ask(std::move(pending));
}

void Node::Run(RequestId id, const directory::ReadConfig&) {
  Pending pending;
  pending.ends = Now() + kCallEnds;
  pending.answer = AnswerCall(id);
  Ask(std::move(pending));
}

void Node::Ask(Pending pending) {
  if (pending_.size() >= kMostPending) return pending.answer(503, {});
  const std::uint64_t number = next_number_++;
  Pending& kept = pending_[number] = std::move(pending);
  if (core_member()) {
    kept.next = kept.ends;
    agreement::Out out;
    if (kept.is_put) {
      core_->Put(Now(), number, {kept.version, std::move(kept.text)}, out);
    } else {
      core_->Get(Now(), number, out);
    }
    return CarryCore(std::move(out));
  }
  PassOn(number, kept);
}

// To a core member that wasn't asked yet; when all were, to the first again.
void Node::PassOn(std::uint64_t number, Pending& pending) {
  Link::Stream* next = nullptr;
  link_.ForEach([&](Link::Stream& stream) {
    const bool member = std::any_of(members_.begin(), members_.end(),
                                    [&](const CoreMember& each) { return each.address == stream.to(); });
    const bool asked =
        std::find(pending.asked.begin(), pending.asked.end(), stream.to()) != pending.asked.end();
    if (stream.dialled() && member && !asked && next == nullptr) next = &stream;
  });
  pending.next = Now() + kPassAgain;
  if (next == nullptr) {
    pending.asked.clear();
    pending.stream = 0;
    pending.next = Now() + kPassAgain / 2;
    return;
  }
  pending.asked.push_back(next->to());
  pending.stream = next->number;
  next->Send(pending.is_put ? Encode(Put{number, pending.version, pending.text}) : Encode(Get{number}));
}

void Node::Answer(std::uint64_t number, int status, std::string body) {
  const auto it = pending_.find(number);
  if (it == pending_.end()) return;
  const auto answer = std::move(it->second.answer);
  pending_.erase(it);
  answer(status, std::move(body));
}

// ---- Directory ----------------------------------------------------------------------------------------

void Node::MergeBatch(const std::string& batch) {
  const auto entries = directory::Decode(batch, Now());
  if (!entries) return Say(Event::kMessageRefused, "hosts");
  for (const directory::Entry& entry : *entries) directory_.Merge(Now(), entry);
}

std::uint64_t Node::HostsDigest() const {
  std::uint64_t digest = 0;
  for (const auto& [service, entries] : by_service_.all())
    for (const directory::Entry& entry : entries)
      digest +=
          StableHash(entry.id, StableHash(service, entry.draining)) ^ StableHash(entry.address, entry.silent);
  return digest;
}

void Node::PublishHosts() {
  std::map<std::string, directory::Entry> latest;
  std::vector<directory::Entry> changed;
  if (const auto news = directory_.journal().Since(told_hosts_)) {
    for (const directory::Event& event : *news) {
      if (event.kind == directory::Event::Kind::kForgotten) continue;
      latest[event.entry.id] = event.entry;
      const auto& entry = event.entry;
      Say(entry.gone()     ? Event::kHostGone
          : entry.silent   ? Event::kHostSilent
          : entry.draining ? Event::kHostDraining
                           : Event::kHostSeen,
          entry.id + " " + entry.service + " " + entry.address);
    }
  } else {
    changed = directory_.All();
  }
  for (auto& [id, entry] : latest) changed.push_back(std::move(entry));
  told_hosts_ = directory_.version();
  if (core_ && !changed.empty()) Broadcast(Hosts{directory::Encode(changed, Now())});
  if (by_service_.Fold(directory_)) front_.SetHosts(by_service_);
  for (const RequestId call : std::exchange(owed_beats_, {})) ReplyBeat(call);
  if (owed_told_.empty()) return;
  const auto owed = std::exchange(owed_told_, {});
  link_.ForEach([&](Link::Stream& stream) {
    for (const auto& [to, number] : owed)
      if (stream.number == to) stream.Send(Encode(Told{number}));
  });
}

// ---- Core ---------------------------------------------------------------------------------------------

void Node::TryOpenCore() {
  open_again_ = false;
  if (!settings_.quorum_member && !volunteers_) return;
  try {
    OpenCore();
    if (fleet_ == nullptr) return;
    StartFleet();  // others are to see that it is of the core now, and to ask it for news
    link_.ForEach([](Link::Stream& stream) { stream.Close(); });
  } catch (const std::exception& error) {
    Say(Event::kStorageFailed, std::string(error.what()) + "; it is tried again, without a core meanwhile");
    shelf_.reset();
    open_again_ = true;
  }
}

void Node::OpenCore() {
  // Without a disk of its own a member's life ends with the process.
  in_memory_ = settings_.data_directory.empty();
  const std::string directory = in_memory_ ? "memory" : settings_.data_directory + "/core";
  const bool empty = in_memory_ || storage::StorageEmpty(directory);
  if (in_memory_) {
    shelf_ = std::make_unique<storage::MemoryStorage>();
  } else {
    shelf_ = storage::OpenStorage(directory);
  }
  Say(Event::kStorageOpened, directory + (empty ? " (empty)" : ""));
  const auto life = shelf_->Read("life");
  agreement::State state;
  bool first = settings_.bootstrap;
  // A life that began with the whole system may still found it, whatever the settings say by now.
  const bool known = life && (life->size() == 16 || life->size() == 17);
  const auto read =
      known ? agreement::DecodeState(shelf_->Read(agreement::kStateKey), shelf_->Read(agreement::kValueKey))
            : std::nullopt;
  if (known && read) {
    life_ = *life;
    life_kept_ = true;
    first = life_.size() == 17;
    disk_ = std::strtoull(life_.substr(0, 16).c_str(), nullptr, 16);
    state = *read;
    if (const auto gateways = shelf_->Read(kGatewaysKey))
      least_gateways_ = std::clamp(std::atoi(gateways->c_str()), 0, kMostGateways);
    if (const auto hosts = shelf_->Read(kHostsKey))
      if (const auto entries = directory::Decode(*hosts, Now()))
        for (const directory::Entry& entry : *entries) directory_.Merge(Now(), entry);
  } else {
    // What can't be read is forgotten: another life, that has promised nothing and must be taken in first.
    if (known) Say(Event::kStorageDamaged, directory + ": its state can't be read; it begins another life");
    if (known) first = false;
    if (!first) Say(Event::kWipedDisk, directory);
    disk_ = in_memory_ ? FirstLife(BootNow()) + rng_() % kLivesAtOnce : rng_() | 1;
    life_ = Hex(disk_) + (first ? "b" : "");
    // A member without a disk may be the last one that knows what was acknowledged.
    if (const auto& policy = front_.policy(); in_memory_ && policy != nullptr)
      state.value = {policy->version(), policy->text()};
    shelf_->Write(0, {{"life", life_},
                      {agreement::kStateKey, agreement::EncodeState(state)},
                      {agreement::kValueKey, agreement::EncodeValue(state.value)}});
  }
  agreement::Options options;
  options.least_members = 2 * settings_.fault_tolerance.machine_failures + 1;
  options.lives_end = in_memory_;
  core_.emplace(agreement::Member{{settings_.node_name, disk_}, link_address_.ToText()}, first,
                std::move(state), options, rng_());
  if (core_->roster().epoch > epoch_) {
    epoch_ = core_->roster().epoch;
    members_.clear();
    for (const agreement::Member& member : core_->roster().members)
      if (const auto address = ParseAddress(member.address))
        members_.push_back({member.life.node, member.life.disk, *address});
  }
  shelf_io_ = std::make_unique<net::IoWatcher>(loop_, [this](int) { OnShelf(); });
  shelf_io_->Want(shelf_->fd(), EV_READ);
}

void Node::OnShelf() {
  for (const storage::Result& result : shelf_->Drain()) {
    if (!result.ok) Say(Event::kStorageFailed, result.error);
    if (result.ok && result.id != kHostsWrite) life_kept_ = true;
    if (result.id == kHostsWrite) {
      keeping_hosts_ = false;
      continue;
    }
    agreement::Out out;
    core_->OnWritten(Now(), result.id, result.ok, out);
    CarryCore(std::move(out));
  }
}

void Node::CarryCore(agreement::Out out) {
  for (const std::string& note : out.notes) Say(Event::kSuccessorProposed, note);
  for (agreement::Write& write : out.writes) {
    // Where the first write was refused: nothing may be kept without the life that promised it.
    if (!life_kept_) write.records.emplace_back("life", life_);
    if (shelf_->Write(write.id, std::move(write.records))) continue;
    agreement::Out failed;
    core_->OnWritten(Now(), write.id, false, failed);
    CarryCore(std::move(failed));
  }
  for (const agreement::Sending& sending : out.sends) {
    const auto address = ParseAddress(sending.to.address);
    Link::Stream* stream = address ? link_.To(*address) : nullptr;
    if (stream != nullptr) stream->Send(Encode(CoreBytes{agreement::Encode(sending.message)}));
  }
  if (out.roster_changed) {
    std::vector<CoreMember> members;
    for (const agreement::Member& member : core_->roster().members)
      if (const auto address = ParseAddress(member.address))
        members.push_back({member.life.node, member.life.disk, *address});
    OnRoster(core_->roster().epoch, std::move(members));
    OnView();
  }
  LookAtMajority();
  // Before any acknowledgement: what it acknowledges is then on its way to all.
  if (out.committed_changed) {
    SetInForce(core_->committed().version, core_->committed().text);
    if (had_majority_) Broadcast(ConfigNow());
  }
  for (agreement::Done& done : out.done) {
    const auto it = pending_.find(done.call);
    if (it == pending_.end()) continue;
    const bool put = it->second.is_put;
    const bool good = done.outcome == agreement::Outcome::kKept || done.outcome == agreement::Outcome::kOlder;
    if (!good) {
      Answer(done.call, 503, {});
    } else if (put) {
      if (done.outcome == agreement::Outcome::kOlder)
        Say(Event::kConfigOvertaken, "by " + std::to_string(done.value.version));
      Answer(done.call, 200, "{}");
    } else if (done.value.version == 0) {
      Answer(done.call, 404, "{}");
    } else {
      Answer(done.call, 200, std::move(done.value.text));
    }
  }
}

void Node::KeepHosts() {
  if (!shelf_ || keeping_hosts_ || (kept_hosts_ == directory_.version() && kept_gateways_ == gateways_))
    return;
  std::vector<directory::Entry> entries;
  for (directory::Entry& entry : directory_.All())
    if (!entry.gone()) entries.push_back(std::move(entry));
  if (!shelf_->Write(kHostsWrite, {{kHostsKey, directory::Encode(entries, Now())},
                                   {kGatewaysKey, std::to_string(gateways_)}}))
    return;
  keeping_hosts_ = true;
  kept_hosts_ = directory_.version();
  kept_gateways_ = gateways_;
}

void Node::LookAtMajority() {
  const bool majority = core_member() && core_->learned() && core_->majority(Now());
  if (majority == had_majority_) return;
  had_majority_ = majority;
  Say(majority ? Event::kMajorityBack : Event::kNoMajority, "epoch " + std::to_string(epoch_));
  if (!majority) return counts_.Stop();
  counts_.Begin(Net(Now()));
  Say(Event::kCountBegun, "epoch " + std::to_string(epoch_));
  Broadcast(MembersNow());
  if (core_->committed().version > 0) Broadcast(ConfigNow());
}

Message Node::ConfigNow() const { return Config{core_->committed().version, core_->committed().text}; }

Message Node::MembersNow() const {
  Members message{epoch_, {}, static_cast<std::uint32_t>(gateways_)};
  for (const CoreMember& member : members_)
    message.members.emplace_back(member.name, member.disk, member.address.ToText());
  return message;
}

void Node::SetInForce(std::uint64_t version, const std::string& text) {
  const auto& now = front_.policy();
  if (version == 0) return;
  // Two texts under one number: the same one goes before the other everywhere.
  if (now != nullptr &&
      agreement::RankOf({version, text}) <= agreement::RankOf({now->version(), now->text()}))
    return;
  try {
    front_.SetPolicy(policy::Policy::Read(text));
    in_force_at_ = std::chrono::system_clock::now();
    Say(Event::kConfigInForce, "version " + std::to_string(version));
  } catch (const policy::PolicyError& error) {
    Say(Event::kConfigRefused, std::string("kept by the core: ") + error.what());
  }
  SetReady();
}

void Node::OnRoster(std::uint64_t epoch, std::vector<CoreMember> members) {
  if (epoch <= epoch_) return;
  epoch_ = epoch;
  members_ = std::move(members);
  std::string names;
  for (const CoreMember& member : members_) names += " " + member.name;
  Say(Event::kRosterInForce, "epoch " + std::to_string(epoch) + names);
  // Tenants' counts may have moved here, and nothing is known of what was added elsewhere: LookAtMajority()
  // begins them anew once the core has learned what is kept.
  OnView();
}

// ---- Count --------------------------------------------------------------------------------------------

const Node::CoreMember* Node::Holder(const std::string& tenant) const {
  const CoreMember* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const CoreMember& member : members_) {
    const std::uint64_t rank = StableHash(tenant, StableHash(member.name, member.disk));
    if (best != nullptr && rank <= best_rank) continue;
    best = &member;
    best_rank = rank;
  }
  return best;
}

std::optional<double> Node::AddHere(const std::string& tenant, const std::string& gateway, CountName name,
                                    Duration lifetime, double amount) {
  const CoreMember* holder = Holder(tenant);
  const bool here = holder != nullptr && holder->name == settings_.node_name && holder->disk == disk_;
  if (!here || !had_majority_) return std::nullopt;
  const auto plan = front_.PlanOf(tenant);
  return counts_.Add(Net(Now()), {tenant, gateway, name, lifetime, amount, plan != nullptr ? plan->burst : 0,
                                  plan != nullptr && plan->tight});
}

// It has not said that it leaves, and was there not long ago.
bool Node::MayBeAtWork(const fleet::Member& member) {
  if (member.record.present()) return true;
  return member.record.state != fleet::State::kLeft && Now() - member.since <= kAwayFor;
}

// Gateways that were there not long ago and have not said that they leave, and that can't be heard here.
void Node::LookWhoIsAway() {
  std::set<std::string> heard;
  link_.ForEach([&](Link::Stream& stream) {
    if (stream.subscribed) heard.insert(stream.name);
  });
  std::set<std::string> away, all{settings_.node_name};
  for (const auto& [name, member] : fleet_->others()) {
    if (!MayBeAtWork(member)) continue;
    all.insert(name);
    if (!heard.contains(name)) away.insert(name);
  }
  counts_.SetAway(Net(Now()), away, std::move(all));
}

void Node::AddToCount(const std::string& tenant, const AddCount& call) {
  const CoreMember* holder = Holder(tenant);
  Link::Stream* stream = nullptr;
  const bool here = holder != nullptr && holder->name == settings_.node_name;
  if (holder != nullptr && !here) stream = link_.To(holder->address);
  const auto offset = holder != nullptr ? offsets_.find(holder->name) : offsets_.end();
  if (stream != nullptr && offset != offsets_.end() && addings_.size() < kMostAddings) {
    const std::uint64_t number = next_number_++;
    addings_[number] = {call.name, stream->number, Now() + kAddEnds};
    const auto lifetime = std::chrono::duration_cast<std::chrono::microseconds>(call.lifetime).count();
    return stream->Send(Encode(AddUnits{number, tenant, call.name.value, lifetime, call.amount,
                                        Microseconds(Now() + offset->second.offset)}));
  }
  // Answered from the loop, never from within.
  const auto total =
      here ? AddHere(tenant, settings_.node_name, call.name, call.lifetime, call.amount) : std::nullopt;
  front_.CountLater(
      {call.name, total ? Outcome::kOk : Outcome::kConnectFailed, total.value_or(0), Duration{}});
}

Duration Node::ClockOffset(const std::string& tenant) const {
  const CoreMember* holder = Holder(tenant);
  if (holder == nullptr || holder->name == settings_.node_name) return {};
  const auto it = offsets_.find(holder->name);
  return it != offsets_.end() ? it->second.offset : Duration{};
}

// ---- Life ---------------------------------------------------------------------------------------------

void Node::SetReady() {
  const bool ready = front_.policy() != nullptr && !leaving_;
  if (ready == ready_) return;
  ready_ = ready;
  Say(ready ? Event::kReady : Event::kNotReady, settings_.node_name);
}

void Node::KeepHouse() {
  const Steady now = Now();
  ++ticks_;
  link_.KeepHouse();
  fleet_link_.Reap();
  if (core_) {
    agreement::Out out;
    core_->Tick(now, out);
    CarryCore(std::move(out));
  }
  if (core_ && ticks_ % 10 == 0) OnView();
  if (ticks_ % 2 == 0) front_.KeepHouse();
  if (ticks_ % 5 == 0) {
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
  if (ticks_ % 4 == 0) ConsiderCore();
  if (had_majority_ && ticks_ % 4 == 0) LookWhoIsAway();
  // Silence is said by who hears the core, and not before it has listened for long enough.
  const auto silent = std::chrono::duration_cast<directory::Duration>(settings_.heartbeat * kSilentBeats);
  if (had_majority_ && ticks_ % 4 == 0 && now - started_at_ > silent) {
    directory_.Silence(now, silent);
  }
  std::vector<std::uint64_t> over;
  for (auto& [number, pending] : pending_) {
    if (now >= pending.ends) {
      over.push_back(number);
    } else if (now >= pending.next) {
      PassOn(number, pending);
    }
  }
  for (const std::uint64_t number : over) Answer(number, 503, {});
  over.clear();
  for (auto& [number, telling] : tellings_) {
    if (now >= telling.ends) {
      over.push_back(number);
    } else if (now >= telling.again) {  // the one that was told may be gone: to all
      telling.again = telling.ends;
      ToCore(Tell{number, telling.batch});
    }
  }
  for (const std::uint64_t number : over) {
    control_.Reply(tellings_.at(number).call, 503);
    tellings_.erase(number);
  }
  std::vector<CountName> unanswered;
  for (auto it = addings_.begin(); it != addings_.end();) {
    const bool late = now >= it->second.ends;
    if (late) unanswered.push_back(it->second.name);
    it = late ? addings_.erase(it) : std::next(it);
  }
  for (const CountName name : unanswered) front_.OnCount({name, Outcome::kTimeout, 0, kAddEnds});
  if (ticks_ % kSecondTicks == 0) {
    directory_.Forget(now);
    KeepHosts();
    if (open_again_) TryOpenCore();
    if (had_majority_ && ticks_ % (2 * kSecondTicks) == 0) Broadcast(Digest{HostsDigest()});
    LookAtSettings();
    events::SayLeftOut();
    ToCore(Clock{Microseconds(now)});
  }
  if (told_hosts_ != directory_.version() || !owed_beats_.empty() || !owed_told_.empty()) PublishHosts();
  if (!leaving_) return;
  const auto since = now - term_at_;
  if (since >= kStopListening) front_.StopListening();
  if ((since >= kStopListening && !front_.owes_anything()) || since >= settings_.bounds.grace - kEndMargin)
    End();
}

void Node::LookAtSettings() {
  const std::int64_t stamp = StampOf(settings_path_);
  if (stamp == settings_stamp_) return;
  settings_stamp_ = stamp;
  try {
    settings_ = settings::LoadSettings(settings_path_);
    Say(Event::kSettingsChanged, settings_path_);
  } catch (const settings::SettingsError& error) {
    Say(Event::kSettingsRefused, error.what());
  }
}

void Node::OnTerm() {
  if (leaving_) return;
  leaving_ = true;
  term_at_ = Now();
  Say(Event::kTermReceived, settings_.node_name);
  SetReady();
  front_.Drain();
}

void Node::End() {
  fleet::Out out;
  fleet_->Leave(Now(), out);
  Carry(std::move(out));
  Say(front_.owes_anything() ? Event::kDrainCutShort : Event::kDrained, settings_.node_name);
  ev_break(loop_, EVBREAK_ALL);
}

}  // namespace curlewdoor::system
