#include "systemkit/hollow.hpp"

#include <fmt/format.h>

#include <csignal>
#include <memory>
#include <stdexcept>
#include <vector>

#include "events/events.hpp"
#include "net/watcher.hpp"
#include "settings/settings.hpp"
#include "system/node.hpp"
#include "systemkit/pace.hpp"

namespace curlewdoor::systemkit {
namespace {

// Of a machine, from its first port on: data plane, readiness, control, then the internal ones.
constexpr std::uint16_t kControlPort = 2, kInternalPorts = 3, kInternalCount = 16;
// Never a file: the settings of hollow gateways don't change.
constexpr char kNoSettingsFile[] = "/nonexistent/hollow.yaml";

std::uint16_t FirstPort(const HollowOptions& options) {
  return static_cast<std::uint16_t>(options.seed.port - kControlPort);
}

settings::NodeSettings SettingsOf(const HollowOptions& options, int which) {
  const std::uint16_t first = FirstPort(options);
  const auto port = [&](int offset) { return static_cast<std::uint16_t>(first + offset); };
  settings::NodeSettings settings;
  settings.ip_address = options.first_ip + static_cast<std::uint32_t>(which);
  settings.node_name = fmt::format("hollow-{:08x}", settings.ip_address);
  settings.served_roles = {"edge", "control"};
  settings.zone = "here";
  settings.region = "loopback";
  settings.zones = {{"here", "loopback"}};
  settings.listen_addresses = {Address{settings.ip_address, port(0)}, Address{settings.ip_address, port(1)},
                               Address{settings.ip_address, port(kControlPort)}};
  settings.internal_ports = {port(kInternalPorts), port(kInternalPorts + kInternalCount - 1)};
  settings.seed_nodes = {options.seed};
  settings.heartbeat = std::chrono::milliseconds(options.heartbeat_ms);
  settings.fault_tolerance.machine_failures = static_cast<std::uint32_t>(options.machine_failures);
  return settings;
}

}  // namespace

Address HollowControl(const HollowOptions& options, int which) {
  return {options.first_ip + static_cast<std::uint32_t>(which), options.seed.port};
}

void RunHollow(const HollowOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  events::Begin("warn");
  struct ev_loop* loop = ev_default_loop(EVFLAG_AUTO);
  if (loop == nullptr) throw std::runtime_error("no event loop");
  Pace pace(loop);
  std::vector<std::unique_ptr<system::Node>> nodes;
  for (int which = 0; which < options.count; ++which)
    pace.After(options.start_within_s * which / options.count, [&, which] {
      nodes.push_back(std::make_unique<system::Node>(loop, SettingsOf(options, which), kNoSettingsFile,
                                                     static_cast<std::uint64_t>(which) + 1));
    });
  pace.After(options.ends_after_s, [loop] { ev_break(loop, EVBREAK_ALL); });
  ev_run(loop, 0);
}

}  // namespace curlewdoor::systemkit
