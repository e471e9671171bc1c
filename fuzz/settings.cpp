// The settings file: what is taken is within the bounds that settings.hpp states.
#include "settings/settings.hpp"

#include <string>

#include "target.hpp"

namespace curlewdoor::settings {

void Check(std::string_view text) {
  NodeSettings node;
  try {
    node = ReadSettings(text, "file");
  } catch (const SettingsError& error) {
    const std::string what = error.what();
    FUZZ_REQUIRE(what.starts_with("file:"));  // names the line
    return;
  }
  FUZZ_REQUIRE(!node.node_name.empty() && !node.zone.empty());
  FUZZ_REQUIRE(node.internal_ports.first >= 1 && node.internal_ports.first <= node.internal_ports.last);
  for (const auto& address : {node.listen_addresses.data_plane, node.listen_addresses.readiness,
                              node.listen_addresses.control_plane})
    FUZZ_REQUIRE(!address || address->port != 0);
  for (const Address& seed : node.seed_nodes) FUZZ_REQUIRE(seed.port != 0);
  const Limits& limits = node.limits;
  FUZZ_REQUIRE(limits.cpu_share > 0 && limits.cpu_cores > 0 && limits.memory_mb > 0);
  FUZZ_REQUIRE(limits.fd_limit >= 1 && limits.link_mbps > 0 && limits.disk_mb >= 0);
  FUZZ_REQUIRE(node.heartbeat > Time(0));
  const Bounds& bounds = node.bounds;
  constexpr Time kMost = std::chrono::seconds(1'000'000'000);
  for (const Time time :
       {bounds.seed_lag, bounds.reuse_delay, bounds.contact, bounds.ack, bounds.sync_time, bounds.drain,
        bounds.grace, bounds.loss_slack, bounds.config_apply, bounds.revert_slack, bounds.max_stretch,
        bounds.revoke, bounds.retry_window, bounds.quota_window, bounds.recovery, node.heartbeat})
    FUZZ_REQUIRE(time >= Time(0) && time <= kMost);
  FUZZ_REQUIRE(bounds.retry_window > Time(0) && bounds.quota_window > Time(0));
  FUZZ_REQUIRE(bounds.retry_budget_ratio >= 0 && bounds.retry_slack >= 0);
  FUZZ_REQUIRE(bounds.quota_overrun >= 0 && bounds.quota_slack >= 0);
  FUZZ_REQUIRE(ReadSettings(text, "file") == node);
}

}  // namespace curlewdoor::settings

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::settings::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
