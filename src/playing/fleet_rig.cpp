#include "playing/fleet_rig.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/socket_io.hpp"
#include "rehearsal/scenario.hpp"
#include "util/hash.hpp"
#include "util/loopback.hpp"

namespace curlewdoor::playing {
namespace {

constexpr std::chrono::milliseconds kLookEvery{25};
constexpr int kFewProcesses = 24;            // with more, each is asked less often
constexpr std::uint32_t kRelays = 128;       // of each address's last part: relays from here on
constexpr std::uint64_t kMetricsEvery = 10;  // calls of a gateway: one METRICS, the others FLEET
constexpr std::string_view kFleetName = "rig";
constexpr double kPlaysOn_s = 3.5;  // for answers that are still due

double Steady() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// The value behind `key=` in a line of key=value pairs.
std::string_view Value(std::string_view line, std::string_view key) {
  const std::string sought = " " + std::string(key) + "=";
  const auto at = line.find(sought);
  if (at == std::string_view::npos) return {};
  const auto from = at + sought.size();
  return line.substr(from, line.find_first_of(" \n", from) - from);
}

std::uint64_t Number(std::string_view text, int base = 10) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, base);
  return value;
}

// A deployment of one class without hosts: what is rehearsed is how gateways get along.
nlohmann::json PlainConfig(const Address& listen, std::uint64_t seed) {
  rehearsal::Scenario plain;
  plain.gateways = 1;
  plain.has_counter = false;
  plain.classes.resize(1);
  plain.classes[0].asked.name = "read";
  plain.classes[0].asked.aim = std::chrono::milliseconds(400);
  plain.classes[0].asked.deadline = std::chrono::milliseconds(1500);
  plain.plans.resize(1);
  plain.plans[0].crowd.name = "open";
  return rehearsal::GatewayConfig(plain, 0, seed, {listen.ToText(), "127.0.0.1:1", ""},
                                  {{"rev", 0}, {"all", true}, {"targets", nlohmann::json::array()}});
}

rehearsal::Scenario LoadOf(const fleetkit::Scenario& scenario) {
  rehearsal::Scenario load = scenario.load.value_or(rehearsal::Scenario{});
  load.gateways = scenario.gateways;
  return load;
}

}  // namespace

FleetRig::FleetRig(const fleetkit::Scenario& scenario, std::uint64_t seed, RigOptions options)
    : scenario_(scenario),
      seed_(seed),
      options_(std::move(options)),
      logs_(options_.log_folder.empty() ? folder_.path() : options_.log_folder),
      loop_(ev_loop_new(unsigned{EVBACKEND_EPOLL} | unsigned{EVFLAG_NOENV})),
      stage_(scenario, seed),
      gateways_(static_cast<std::size_t>(scenario.processes())),
      load_(LoadOf(scenario)),
      seen_(gateways_.size()),
      timer_(loop_, [this](int) { Look(); }) {
  std::signal(SIGPIPE, SIG_IGN);
  for (int voter = 0; scenario_.duties && voter < scenario_.duties->voters; ++voter)
    voters_.push_back(fleetkit::NameOf(voter));
}

FleetRig::~FleetRig() {
  for (Gateway& gateway : gateways_) {
    gateway.process.Kill();
    gateway.older.Kill();
    gateway.asking.io.reset();
    for (int fd : {gateway.asking.fd, gateway.listen_fd})
      if (fd >= 0) ::close(fd);
  }
  gateways_.clear();
  world_.reset();
  timer_.Stop();
  ev_loop_destroy(loop_);
}

double FleetRig::Now() const { return Steady() - began_; }

// Addresses of this run alone: other runs beside it, of other processes, have others.
std::uint32_t FleetRig::Ip(int process, bool relay) const {
  return OwnLoopbackNetwork() | (static_cast<std::uint32_t>(process) + 1 + (relay ? kRelays : 0));
}

// ---- Processes ----------------------------------------------------------------------------------------

void FleetRig::Prepare(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  std::string error;
  const std::uint32_t ip = Ip(process, false);
  const auto take = [&](Address& address) {
    const int fd = net::ListenOn(Address{ip, 0}, address, error);
    if (fd < 0) throw std::runtime_error(error);
    return fd;
  };
  gateway.listen_fd = take(gateway.listen);
  // Ports that were just free on an address that nobody else uses.
  const int admin = take(gateway.admin), fleet = take(gateway.fleet);
  ::close(admin);
  ::close(fleet);
  const auto who = [this](std::uint32_t from) {
    const auto g = static_cast<int>((from & 255) - 1);
    return g >= 0 && g < static_cast<int>(gateways_.size()) && Ip(g, false) == from ? g : -1;
  };
  const auto link = [this](int from, int to) -> const fleetkit::LinkTrouble& {
    return stage_.link(from, to);
  };
  gateway.relay = std::make_unique<Relay>(loop_, process, who, link, seed_);
  if (!gateway.relay->Open(Ip(process, true), error)) throw std::runtime_error(error);
  gateway.relay->LeadTo(gateway.fleet);
  if (!scenario_.duties) return;
  gateway.ledger =
      std::make_unique<LedgerDoor>(loop_, [this](std::string_view line) { return OnLedgerLine(line); });
  if (!gateway.ledger->Open(Address{Ip(process, true), 0}, error)) throw std::runtime_error(error);
}

// Its place is free again for nobody else: the address is this run's alone.
void FleetRig::LetGo(Gateway& gateway) {
  if (world_ && gateway.listen_fd >= 0) ::close(std::exchange(gateway.listen_fd, -1));
}

bool FleetRig::ListenAgain(Gateway& gateway) {
  std::string error;
  if (gateway.listen_fd < 0) gateway.listen_fd = net::ListenOn(gateway.listen, gateway.listen, error);
  return gateway.listen_fd >= 0;
}

nlohmann::json FleetRig::ConfigOf(int process) const {
  const Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  nlohmann::json seeds = nlohmann::json::array();
  for (int seed = 0; seed < scenario_.seeds; ++seed)
    seeds.push_back(gateways_[static_cast<std::size_t>(seed)].relay->address().ToText());
  auto config =
      world_ ? world_->ConfigOf(process)
             : PlainConfig(gateway.listen,
                           StableHash(gateway.name, seed_ + static_cast<std::uint64_t>(gateway.lives)));
  config["name"] = gateway.name;
  config["admin"] = gateway.admin.ToText();
  config["fleet"] = {{"name", kFleetName},     {"listen", gateway.fleet.ToText()},
                     {"seeds", seeds},         {"advertise", gateway.relay->address().ToText()},
                     {"size", scenario_.size}, {"probe_ms", scenario_.probe_ms}};
  if (scenario_.duties) {
    config["duty"] = {{"voters", voters_},
                      {"voters_before", voters_before_},
                      {"names", {"record"}},
                      {"lease_ms", scenario_.duties->lease_ms},
                      {"clock_bound", scenario_.duties->clock_bound},
                      {"ledger", gateway.ledger->address().ToText()},
                      {"record_ms", scenario_.duties->record_ms}};
  }
  return config;
}

std::string FleetRig::WriteConfig(int process) const {
  const std::string file = PlaceOf(process) + ".json";
  std::ofstream(file + ".next") << ConfigOf(process).dump(1) << '\n';
  std::filesystem::rename(file + ".next", file);
  return file;
}

std::string FleetRig::PlaceOf(int process) const {
  const std::string& name = gateways_[static_cast<std::size_t>(process)].name;
  return fmt::format("{}/{}{}", logs_, name, process >= scenario_.gateways ? "-twin" : "");
}

void FleetRig::Reconfigure(int process) {
  WriteConfig(process);
  world_->At(std::max(world_->Now(), world_->MayHangUp(process)),
             [this, process, life = world_->life(process)] {
               if (world_->life(process) == life && stage_.running(process))
                 gateways_[static_cast<std::size_t>(process)].process.Signal(SIGHUP);
             });
}

void FleetRig::Launch(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  const std::string file = WriteConfig(process);
  gateway.log = PlaceOf(process) + ".log";
  // What an earlier run has left in the folder says nothing of this one.
  std::error_code none;
  if (gateway.lives == 0)
    gateway.log_read =
        std::filesystem::exists(gateway.log, none) ? std::filesystem::file_size(gateway.log, none) : 0;
  ++gateway.lives;
  std::string error;
  auto started = Process::Start(options_.program, file, gateway.log, error, gateway.listen_fd,
                                {{"TMPDIR", folder_.path()}});
  if (!started) throw std::runtime_error(error);
  gateway.process = std::move(*started);
  gateway.ending = false;
}

void FleetRig::Start(int process, const std::string& name) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  gateway.name = name;
  // One that got SIGTERM may still answer what it owes: the next life calls elsewhere, as after an upgrade.
  if (gateway.ending) gateway.older = std::move(gateway.process);
  if (gateway.lives > 0) MoveAdmin(process);
  gateway.to_start = true;
  StartWhereFree(process);
}

// Where clients ask, the place of the one before must be free: one that drains still takes what comes.
void FleetRig::StartWhereFree(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  if (!gateway.to_start || !ListenAgain(gateway)) return;
  gateway.to_start = false;
  if (world_) world_->Started(process);
  Launch(process);
}

// What an earlier process has answered says nothing of the one to come.
void FleetRig::MoveAdmin(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  std::string error;
  const int fd = net::ListenOn(Address{gateway.admin.ip, 0}, gateway.admin, error);
  if (fd >= 0) ::close(fd);
  Forget(process);
}

void FleetRig::Forget(int process) {
  Asking& asking = gateways_[static_cast<std::size_t>(process)].asking;
  seen_[static_cast<std::size_t>(process)] = {};
  asking.io.reset();
  if (asking.fd >= 0) ::close(std::exchange(asking.fd, -1));
}

void FleetRig::Kill(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  gateway.process.Kill();
  LetGo(gateway);
  if (world_) world_->Killed(process);
}

void FleetRig::Term(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  gateway.ending = true;
  LetGo(gateway);
  if (world_) world_->Ending(process);
  gateway.process.Signal(SIGTERM);
}
void FleetRig::Stop(int process) {
  gateways_[static_cast<std::size_t>(process)].process.Signal(SIGSTOP);
  if (world_) world_->Stopped(process);
}
void FleetRig::Continue(int process) {
  Forget(process);
  if (world_) world_->Continued(process);
  gateways_[static_cast<std::size_t>(process)].process.Signal(SIGCONT);
}

// The new process finds the old one by the clients' address and takes over; the old one ends once it owes
// nothing. Operators' calls reach the new one at an address of its own.
void FleetRig::Upgrade(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  gateway.older = std::move(gateway.process);
  MoveAdmin(process);
  Launch(process);
  gateway.upgrading = true;
}

// By SIGHUP to each, one after the other, as operators do.
void FleetRig::SetVoters(const std::vector<int>& voters, const std::vector<int>& before) {
  voters_ = fleetkit::NamesOf(voters);
  voters_before_ = fleetkit::NamesOf(before);
  for (int g = 0; g < scenario_.gateways; ++g) {
    if (!stage_.running(g)) continue;
    WriteConfig(g);
    gateways_[static_cast<std::size_t>(g)].process.Signal(SIGHUP);
  }
}

void FleetRig::HandOver(int holder, int to) {
  gateways_[static_cast<std::size_t>(holder)].to_call =
      fmt::format("HANDOVER record {}\n", fleetkit::NameOf(to));
}

void FleetRig::HoldLedger(int process, bool on) {
  gateways_[static_cast<std::size_t>(process)].ledger->Hold(on);
}

std::string FleetRig::OnLedgerLine(std::string_view line) {
  const auto call = standin::Ledger::Read(line);
  if (!call) return "ERR no append";
  const auto answer = ledger_.Append(*call);
  stage_.duties().Appended(Now(), call->duty, call->token, std::string(Value(call->entry, "by")),
                           answer.taken);
  return standin::Ledger::Text(answer);
}

// ---- Looking ------------------------------------------------------------------------------------------

fleetkit::Result FleetRig::Play() {
  std::error_code error;
  std::filesystem::create_directories(logs_, error);
  if (error) throw std::runtime_error(fmt::format("can't make the folder {}: {}", logs_, error.message()));
  if (scenario_.processes() > fleetkit::kMostProcesses)
    throw std::runtime_error(
        fmt::format("{} processes are more than the {} that can be played with real ones",
                    scenario_.processes(), fleetkit::kMostProcesses));
  for (int g = 0; g < scenario_.processes(); ++g) Prepare(g);
  PrepareLoad();
  began_ = Steady();
  timer_.StartIn(std::chrono::milliseconds(0), kLookEvery);
  while (!stage_.done()) ev_run(loop_, EVRUN_ONCE);
  JudgeLoad();
  LetStoppedTell();
  ReadLogs();
  std::uint64_t datagrams = 0, bytes = 0;
  double cpu = 0;
  int counted = 0;
  const double seconds = Now();
  for (Gateway& gateway : gateways_) {
    if (!gateway.counted || gateway.lives != 1 || !gateway.process.running()) continue;
    cpu += UseOf(gateway.process.pid()).cpu_s;
    datagrams += gateway.datagrams;
    bytes += gateway.bytes;
    ++counted;
  }
  if (counted > 0) {
    stage_.AddFigure("datagrams out a second a gateway", static_cast<double>(datagrams) / counted / seconds);
    stage_.AddFigure("bytes out a second a gateway", static_cast<double>(bytes) / counted / seconds);
    stage_.AddFigure("% of a core a gateway", 100 * cpu / counted / seconds);
  }
  return stage_.Finish(Now(), true);
}

void FleetRig::PrepareLoad() {
  if (!scenario_.load) return;
  world_ = std::make_unique<SocketWorld>(load_, seed_, loop_, static_cast<SocketWorld::Keeper&>(*this),
                                         SocketWorld::kUsualLead);
  std::vector<Address> listen;
  for (int g = 0; g < scenario_.gateways; ++g)
    listen.push_back(gateways_[static_cast<std::size_t>(g)].listen);
  world_->Open(listen);
  for (int g = scenario_.started; g < scenario_.gateways; ++g) world_->Absent(g);
}

// Who stands still to the end is let go on, so that it tells when its lease was over: from outside that is
// known to a renewal only.
void FleetRig::LetStoppedTell() {
  for (int g = 0; scenario_.duties && g < scenario_.gateways; ++g) {
    if (!stage_.running(g) || !stage_.stopped(g) || !stage_.duties().Holds(g)) continue;
    Gateway& gateway = gateways_[static_cast<std::size_t>(g)];
    gateway.process.Signal(SIGCONT);
    const double ends = Now() + kPlaysOn_s;
    while (stage_.duties().Holds(g) && gateway.process.running() && Now() < ends) {
      ev_run(loop_, EVRUN_ONCE);
      ReadLogs();
    }
  }
}

// The five rules beside those of the fleet.
void FleetRig::JudgeLoad() {
  if (!world_) return;
  world_->StopAsking();
  const double ends = Now() + kPlaysOn_s;
  while (world_->owes_answers() && Now() < ends) ev_run(loop_, EVRUN_ONCE);
  const rehearsal::RunResult load = world_->Finish();
  for (const rehearsal::RuleVerdict& rule : load.verdicts)
    stage_.Judged({std::string(rehearsal::RuleName(rule.rule)),
                   rule.first ? fmt::format("{} at {:.2f} s of the load, {} in all", rule.first->what,
                                            rule.first->at, rule.breaches)
                              : ""});
  if (!load.not_judged.empty()) stage_.Judged({"load", load.not_judged});
  stage_.AddFigure("requests", static_cast<double>(load.totals.offered));
  stage_.AddFigure("service", load.totals.Service());
  stage_.AddFigure("due while a gateway stood still", static_cast<double>(load.held_up));
  stage_.AddFigure("p99, ms", load.totals.p99_ms);
}

void FleetRig::Look() {
  Watch();
  ReadLogs();
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    gateways_[g].relay->Reap();
    if (gateways_[g].ledger) gateways_[g].ledger->Reap();
    const int process = static_cast<int>(g);
    if (!stage_.running(process) || stage_.stopped(process)) seen_[g] = {};
  }
  stage_.Look(Now(), seen_, *this);
  if (world_ && stage_.under_way() && !std::exchange(asking_, true)) world_->Begin();
  for (Gateway& gateway : gateways_) gateway.relay->LinksChanged();
  // So that an answer is seen soon after it changes, and the asking itself costs the machine little.
  ++turn_;
  const std::size_t every = gateways_.size() > kFewProcesses ? gateways_.size() / kFewProcesses + 1 : 1;
  for (std::size_t g = 0; g < gateways_.size(); ++g)
    if ((turn_ + g) % every == 0) Ask(static_cast<int>(g));
}

void FleetRig::Watch() {
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    Gateway& gateway = gateways_[g];
    gateway.older.running();
    StartWhereFree(static_cast<int>(g));
    if (world_ && gateway.ending && !gateway.to_start && gateway.lives > 0 && !gateway.process.running())
      world_->Ended(static_cast<int>(g), gateway.process.exit_code());
    if (gateway.lives == 0 || gateway.to_start || gateway.process.running() || gateway.ending ||
        !stage_.running(static_cast<int>(g)))
      continue;
    gateway.ending = true;
    if (world_) world_->Ended(static_cast<int>(g), gateway.process.exit_code());
    stage_.Crashed(Now(), static_cast<int>(g),
                   fmt::format("exit code {}; see {}", gateway.process.exit_code(), gateway.log));
  }
}

void FleetRig::Ask(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  if (!stage_.running(process) || stage_.stopped(process) || gateway.asking.fd >= 0) return;
  Asking& asking = gateway.asking;
  asking.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in to = gateway.admin.ToSocket();
  if (asking.fd < 0) return;
  // From an address of this run: ports of 127.0.0.1 are left to rehearsals beside it, which look for free
  // ones there.
  const sockaddr_in from = Address{Ip(process, true), 0}.ToSocket();
  ::bind(asking.fd, reinterpret_cast<const sockaddr*>(&from), sizeof from);
  ::connect(asking.fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  asking.got.clear();
  asking.io = std::make_unique<net::IoWatcher>(loop_, [this, process](int) { OnAnswer(process); });
  asking.io->Want(asking.fd, EV_WRITE);
}

// METRICS now and then, for what was sent; FLEET otherwise.
void FleetRig::OnAnswer(int process) {
  Gateway& gateway = gateways_[static_cast<std::size_t>(process)];
  Asking& asking = gateway.asking;
  const auto end = [&] {
    asking.io->Stop();
    ::close(std::exchange(asking.fd, -1));
  };
  if (asking.got.empty()) {
    const std::uint64_t turn = gateway.asked++;
    const std::string usual = turn % kMetricsEvery == 0           ? "METRICS\n"
                              : scenario_.duties && turn % 2 == 1 ? "DUTIES\n"
                                                                  : "FLEET\n";
    const std::string call = gateway.to_call.empty() ? usual : std::exchange(gateway.to_call, "");
    if (::send(asking.fd, call.data(), call.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(call.size())) {
      asking.got = " ";
      return asking.io->Want(asking.fd, EV_READ);
    }
    seen_[static_cast<std::size_t>(process)] = {};
    return end();
  }
  char bytes[16 * 1024];
  const ssize_t count = ::recv(asking.fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count > 0) asking.got.append(bytes, static_cast<std::size_t>(count));
  const bool word = asking.got.starts_with(" OK") || asking.got.starts_with(" ERR");
  if (count > 0 && !asking.got.ends_with(word ? "\n" : "END\n")) return;
  // The platform's order of an upgrade: the old process gets SIGTERM once the new one answers.
  if (std::exchange(gateway.upgrading, false)) gateway.older.Signal(SIGTERM);
  fleetkit::Seen& seen = seen_[static_cast<std::size_t>(process)];
  const std::string_view text = asking.got;
  if (text.ends_with("END\n") && text.starts_with(" fleet ")) {
    const std::string_view line = text.substr(0, text.find('\n'));
    const std::size_t holds = seen.holds;
    seen = {true, Value(line, "settled") == "yes", text.find("\nrefused ") != std::string_view::npos,
            0,    Number(Value(line, "view"), 16), holds};
    const std::string own = fmt::format("member name={} ", gateway.name);
    if (const auto at = text.find(own); at != std::string_view::npos)
      seen.boot = Number(Value(text.substr(at, text.find('\n', at) - at), "boot"));
  } else if (text.starts_with(" duties ") && text.ends_with("END\n")) {
    seen.holds = text.find(" state=holding ") != std::string_view::npos ? 1 : 0;
  } else if (word) {
    if (text.starts_with(" ERR")) gateway.to_call.clear();
  } else if (text.ends_with("END\n")) {
    std::string spaced(text);
    std::replace(spaced.begin(), spaced.end(), '\n', ' ');
    gateway.datagrams = Number(Value(spaced, "relay.fleet.datagrams_out"));
    gateway.bytes = Number(Value(spaced, "relay.fleet.bytes_out"));
    gateway.counted = true;
  } else {
    seen = {};
  }
  end();
}

// When it gained or gave up a duty, by the clock that all processes of a machine share.
void FleetRig::ReadDutyLine(int process, std::string_view line) {
  const std::string_view event = Value(line, "event");
  const std::string duty(Value(line, "duty"));
  const std::uint64_t token = Number(Value(line, "token"));
  const auto at = [&](std::string_view key) {
    return 1e-9 * static_cast<double>(Number(Value(line, key))) - began_;
  };
  if (event == "gained") {
    stage_.duties().Gained(at("at_ns"), process, duty, token);
  } else if (event == "lost" || event == "handed_on" || event == "refused") {
    stage_.duties().Ended(at("until_ns"), process, duty, token, event == "handed_on");
  }
}

// What gateways have said of one another since the last look.
void FleetRig::ReadLogs() {
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    Gateway& gateway = gateways_[g];
    if (gateway.lives == 0) continue;
    std::ifstream in(gateway.log, std::ios::binary);
    in.seekg(static_cast<std::streamoff>(gateway.log_read));
    std::string line;
    while (std::getline(in, line)) {
      if (in.eof()) break;  // its end is still to come
      gateway.log_read += line.size() + 1;
      if (scenario_.duties && line.find(" duty: event=") != std::string::npos)
        ReadDutyLine(static_cast<int>(g), line);
      if (line.find("fleet: event=member") == std::string::npos) continue;
      stage_.Told(Now(), static_cast<int>(g), std::string(Value(line, "member")), Value(line, "state"));
    }
  }
}

}  // namespace curlewdoor::playing
