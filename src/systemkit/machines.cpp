#include "systemkit/machines.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "net/socket_io.hpp"
#include "util/loopback.hpp"

namespace curlewdoor::systemkit {
namespace {

constexpr int kInternal = 16;               // ports of internal_port_range
constexpr int kPlaces = 40;                 // port ranges that are looked at
constexpr std::uint32_t kFirstBound = 201;  // last part of the addresses behind relays

std::string IpText(std::uint32_t ip) {
  const std::string text = Address{ip, 1}.ToText();
  return text.substr(0, text.find(':'));
}

}  // namespace

Machines::Machines(const Options& options) : options_(options) {
  std::signal(SIGPIPE, SIG_IGN);
  // A network of this process alone, as other tests may run beside it; and ports below those that the system
  // gives to whoever connects.
  static std::uint32_t run = 0;
  const auto pid = static_cast<std::uint32_t>(::getpid());
  network_ = OwnLoopbackNetwork();
  machines_.resize(static_cast<std::size_t>(options.core + options.others + options.spares));
  for (std::size_t m = 0; m < machines_.size(); ++m) {
    machines_[m].name = fmt::format("gateway-{}", m);
    const int place = static_cast<int>(m);
    machines_[m].disk = place < options.core || place >= options.core + options.others;
  }
  for (int place = 0; place < kPlaces && first_port_ == 0; ++place) {
    const auto first = static_cast<std::uint16_t>(20'000 + (run++ * 32 + pid % 7) % 10'000);
    bool free = true;
    for (int m = 0; m < count() && free; ++m)
      for (int port = 0; port < kDoors + 2 && free; ++port) {
        Address bound;
        std::string error;
        const std::uint32_t ip = network_ + 1 + static_cast<std::uint32_t>(m);
        const int fd = net::ListenOn(Address{ip, static_cast<std::uint16_t>(first + port)}, bound, error);
        free = fd >= 0;
        if (fd >= 0) ::close(fd);
      }
    if (free) first_port_ = first;
  }
  if (first_port_ == 0) throw std::runtime_error("no free ports");
  for (int m = 0; m < std::min(3, options.core + options.others); ++m) seeds_.push_back(control(m));
}

Address Machines::At(int machine, int port) const {
  return {network_ + 1 + static_cast<std::uint32_t>(machine), static_cast<std::uint16_t>(first_port_ + port)};
}

std::uint32_t Machines::BoundIp(int machine) const {
  return network_ + kFirstBound + static_cast<std::uint32_t>(machine);
}

std::vector<Relays::Ends> Machines::ends() const {
  std::vector<Relays::Ends> ends;
  for (int m = 0; m < count(); ++m) ends.push_back({At(m, 0).ip, BoundIp(m)});
  return ends;
}

std::string Machines::DiskOf(int machine) const { return fmt::format("{}/disk-{}", folder_.path(), machine); }

int Machines::exit_code(int machine) const {
  return machines_.at(static_cast<std::size_t>(machine)).process.exit_code();
}
int Machines::pid(int machine) const { return machines_.at(static_cast<std::size_t>(machine)).process.pid(); }
int Machines::life(int machine) const { return machines_.at(static_cast<std::size_t>(machine)).life; }

std::vector<int> Machines::all() const {
  std::vector<int> all;
  for (int m = 0; m < options_.core + options_.others; ++m) all.push_back(m);
  return all;
}

std::string Machines::SettingsOf(int machine, bool bootstrap) const {
  const Machine& own = machines_[static_cast<std::size_t>(machine)];
  std::string text = fmt::format(
      "node_name: \"{}\"\nnode_role: \"gateway\"\nmachine_class: \"edge\"\n"
      "served_roles:\n  - \"edge\"\n  - \"control\"\n"
      "ip_address: \"{}\"\nzone: \"here\"\nregion: \"loopback\"\nzones:\n  here: \"loopback\"\n"
      "listen_addresses:\n  data_plane: \"{}\"\n  readiness: \"{}\"\n  control_plane: \"{}\"\n"
      "internal_port_range:\n  - {}\n  - {}\nseed_nodes:\n",
      own.name, IpText(At(machine, 0).ip), data_plane(machine).ToText(), readiness(machine).ToText(),
      control(machine).ToText(), first_port_ + kDoors, first_port_ + kDoors + kInternal - 1);
  for (const Address& seed : seeds_) text += fmt::format("  - \"{}\"\n", seed.ToText());
  if (options_.relayed) text += fmt::format("internal_bind_address: \"{}\"\n", IpText(BoundIp(machine)));
  text += fmt::format("bootstrap: {}\nquorum_member: {}\n", bootstrap, own.disk);
  if (own.disk) text += fmt::format("data_directory: \"{}\"\n", DiskOf(machine));
  text += fmt::format(
      "limits:\n  cpu_share: 0.35\n  cpu_cores: 1\n  memory_mb: {}\n  fd_limit: {}\n"
      "  link_mbps: 1000.0\n  disk_mb: 64\n"
      "discovery_source: \"self_register\"\nentry_mode: \"virtual_ip\"\nheartbeat_ms: {}\n"
      "registry_period_ms: {}\n"
      "active_contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"retry\"\n  - \"recover\"\n"
      "  - \"tenants\"\n  - \"quota\"\n{}"
      "fault_tolerance:\n  machine_failures: {}\n  zones: 0\n  region_failures: 0\n"
      "bounds:\n  drain_ms: 2000\n  grace_s: {}\n  config_apply_ms: 2000\n  quota_window_s: {}\n"
      "  quota_overrun: 0.1\n  quota_slack: 20\nconfig_mode: \"highest\"\n",
      options_.memory_mb, options_.fd_limit, options_.heartbeat_ms, options_.registry_period_ms,
      options_.coordinates ? "  - \"coord\"\n" : "", options_.machine_failures, options_.grace_s,
      options_.quota_window_s);
  return text;
}

void Machines::Start(int machine, bool bootstrap) {
  Machine& own = machines_.at(static_cast<std::size_t>(machine));
  if (own.disk) std::filesystem::create_directories(DiskOf(machine));
  folder_.Write(own.name + ".yaml", SettingsOf(machine, bootstrap));
  std::string error;
  auto process = playing::Process::StartWith(
      options_.program, {"run", "gateway"}, folder_.path() + "/" + own.name + ".log", error, -1,
      {{"CURLEWDOOR_NODE_FILE", folder_.path() + "/" + own.name + ".yaml"}});
  if (!process) throw std::runtime_error(error);
  own.process = std::move(*process);
  ++own.life;
}

void Machines::ChangeSettings(int machine) {
  folder_.Write(name(machine) + ".yaml", SettingsOf(machine, false));
}

void Machines::Signal(int machine, int signal) {
  machines_.at(static_cast<std::size_t>(machine)).process.Signal(signal);
}

void Machines::Kill(const std::vector<int>& machines) {
  for (const int m : machines) Signal(m, SIGKILL);
  for (const int m : machines) machines_.at(static_cast<std::size_t>(m)).process.Kill();
}

void Machines::WipeDisk(int machine) { std::filesystem::remove_all(DiskOf(machine)); }

std::string Machines::Logs(std::size_t lines) const {
  std::string text;
  for (const Machine& machine : machines_) {
    std::ifstream log(folder_.path() + "/" + machine.name + ".log");
    std::deque<std::string> last;
    for (std::string line; std::getline(log, line);) {
      last.push_back(line);
      if (last.size() > lines) last.pop_front();
    }
    text += "--- " + machine.name + "\n";
    for (const std::string& line : last) text += line + "\n";
  }
  return text;
}

}  // namespace curlewdoor::systemkit
