#include "playing/socket_run.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/socket_io.hpp"
#include "util/loopback.hpp"

namespace curlewdoor::playing {
namespace {

using std::chrono::milliseconds;

constexpr Duration kPlaysOn = milliseconds(3500);  // after the end, for what is still open
constexpr Duration kLooksEvery = milliseconds(100);

// The gateway that is to listen there starts later: the port must not be given to another process meanwhile.
Address FreeAddress() {
  Address bound;
  std::string error;
  const int fd = net::ListenOn(Address{OwnLoopbackNetwork() | 1, 0}, bound, error);
  if (fd < 0) throw std::runtime_error(error);
  ::close(fd);
  return bound;
}

}  // namespace

std::string GatewayProgramBeside(const std::string& own_path) {
  std::error_code ignored;
  const auto own = std::filesystem::read_symlink("/proc/self/exe", ignored);
  const auto folder = own.empty() ? std::filesystem::path(own_path).parent_path() : own.parent_path();
  return (folder / "curlewdoor").string();
}

SocketRun::Loop::Loop() : loop(ev_loop_new(unsigned{EVBACKEND_EPOLL} | unsigned{EVFLAG_NOENV})) {}
SocketRun::Loop::~Loop() { ev_loop_destroy(loop); }

SocketRun::SocketRun(const rehearsal::Scenario& scenario, std::uint64_t seed, SocketOptions options)
    : scenario_(scenario),
      seed_(seed),
      options_(std::move(options)),
      processes_(static_cast<std::size_t>(scenario.gateways)) {
  std::signal(SIGPIPE, SIG_IGN);
}

SocketRun::~SocketRun() {
  for (Process& process : processes_) process.Kill();
}

rehearsal::RunResult SocketRun::Play() {
  std::error_code error;
  if (!options_.log_folder.empty()) std::filesystem::create_directories(options_.log_folder, error);
  if (error)
    throw std::runtime_error(
        fmt::format("can't make the folder {}: {}", options_.log_folder, error.message()));
  AwaitGateways();
  world_->At(world_->stage().start, [this] { world_->Begin(); });
  Watchdog();
  world_->At(world_->stage().end, [this] { world_->StopAsking(); });
  world_->At(world_->stage().end + kPlaysOn, [this] { ev_break(loop_.loop, EVBREAK_ALL); });
  ev_run(loop_.loop, 0);
  return world_->Finish();
}

// The scenario's times are of day, as the gateways' are, so it can't be held up once it is laid out: where
// the machine is too busy for the gateways to be ready by its first request, all begins anew with a longer
// lead.
void SocketRun::AwaitGateways() {
  constexpr Duration kMostLead = std::chrono::seconds(24);
  for (Duration lead = SocketWorld::kUsualLead; lead <= kMostLead; lead *= 2) {
    if (StartAll(lead)) return;
    if (AnyHasEnded()) throw std::runtime_error("a gateway ended before it was ready; see its log");
  }
  throw std::runtime_error("a gateway was not ready in time; see its log");
}

bool SocketRun::StartAll(Duration lead) {
  for (Process& process : processes_) process.Kill();
  SocketWorld::Keeper& keeper = *this;
  world_ = std::make_unique<SocketWorld>(scenario_, seed_, loop_.loop, keeper, lead);
  std::vector<Address> listen;
  for (int g = 0; g < scenario_.gateways; ++g) listen.push_back(FreeAddress());
  world_->Open(listen);
  for (int g = 0; g < scenario_.gateways; ++g) StartGateway(g);
  return world_->AwaitReady([this] { return AnyHasEnded(); });
}

bool SocketRun::AnyHasEnded() {
  return std::any_of(processes_.begin(), processes_.end(),
                     [](Process& process) { return !process.running(); });
}

// A look at the processes.
void SocketRun::Watchdog() {
  for (int g = 0; g < scenario_.gateways; ++g) {
    Process& process = processes_[static_cast<std::size_t>(g)];
    if (!world_->gone(g) && !process.running()) world_->Ended(g, process.exit_code());
  }
  const TimePoint now = world_->Now();
  if (options_.on_progress) options_.on_progress(standin::Seconds(now - world_->stage().start));
  world_->At(now + kLooksEvery, [this] { Watchdog(); });
}

void SocketRun::WriteConfig(int g) {
  folder_.Write(rehearsal::GatewayName(g) + ".json", world_->ConfigOf(g).dump());
}

void SocketRun::StartGateway(int g) {
  Process& process = processes_[static_cast<std::size_t>(g)];
  process.Kill();
  world_->Started(g);
  WriteConfig(g);
  const std::string name = rehearsal::GatewayName(g);
  const std::string logs = options_.log_folder.empty() ? folder_.path() : options_.log_folder;
  std::string error;
  auto started = Process::Start(options_.gateway_program, folder_.path() + "/" + name + ".json",
                                logs + "/" + name + ".log", error);
  if (!started) throw std::runtime_error(error);
  process = std::move(*started);
}

void SocketRun::KillGateway(int g) {
  processes_[static_cast<std::size_t>(g)].Kill();
  world_->Killed(g);
}

void SocketRun::EndGateway(int g) {
  world_->Ending(g);
  processes_[static_cast<std::size_t>(g)].Signal(SIGTERM);
}

// Never in its first second, as the platform promises: before it has set its handler, SIGHUP would end it
// (found by a rehearsal that moved the counter as a gateway was starting again).
void SocketRun::HangUpGateway(int g) {
  world_->At(std::max(world_->Now(), world_->MayHangUp(g)), [this, g, life = world_->life(g)] {
    if (world_->life(g) == life && !world_->gone(g)) processes_[static_cast<std::size_t>(g)].Signal(SIGHUP);
  });
}

void SocketRun::Reconfigure(int g) {
  WriteConfig(g);
  HangUpGateway(g);
}

}  // namespace curlewdoor::playing
