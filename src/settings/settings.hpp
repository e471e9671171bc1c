// The settings file of a process (YAML): what it is told about its machine. Fields that are not named here
// are ignored at every level. A field that isn't marked as required may be absent or null and then has the
// value that stands here.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "util/address.hpp"

namespace curlewdoor::settings {

// All times of the file, of whole or fractional seconds and milliseconds, at most 10^9 s. Rounded to nearest.
using Time = std::chrono::microseconds;

struct ListenAddresses {  // each port at least 1
  std::optional<Address> data_plane;
  std::optional<Address> readiness;
  std::optional<Address> control_plane;
  bool operator==(const ListenAddresses&) const = default;
};

struct PortRange {  // 1 <= first <= last
  std::uint16_t first = 0;
  std::uint16_t last = 0;
  bool operator==(const PortRange&) const = default;
};

struct Limits {
  double cpu_share = 0.35;  // of a core, above 0
  double cpu_cores = 1;     // above 0
  double memory_mb = 260;   // above 0
  std::uint32_t fd_limit = 4100;
  double link_mbps = 1000;  // above 0
  double disk_mb = 64;      // says nothing where data_directory is empty
  bool operator==(const Limits&) const = default;
};

// What may be lost at once with all rules kept.
struct FaultTolerance {
  std::uint32_t machine_failures = 1;
  std::uint32_t zones = 0;
  std::uint32_t region_failures = 0;
  bool operator==(const FaultTolerance&) const = default;
};

// Figures of the rules; none is negative.
struct Bounds {
  Time seed_lag = std::chrono::seconds(3);
  Time reuse_delay = std::chrono::seconds(2);
  Time contact = std::chrono::milliseconds(3000);
  Time ack = std::chrono::milliseconds(4000);
  Time sync_time = std::chrono::seconds(4);
  Time drain = std::chrono::milliseconds(2000);
  Time grace = std::chrono::seconds(6);
  Time loss_slack = std::chrono::milliseconds(200);
  Time config_apply = std::chrono::milliseconds(2000);
  Time revert_slack = std::chrono::milliseconds(250);
  Time max_stretch = std::chrono::milliseconds(5000);
  bool revocation_strict = false;
  Time revoke = std::chrono::milliseconds(5000);
  double retry_budget_ratio = 0.2;               // of first tries
  Time retry_window = std::chrono::seconds(10);  // above 0
  double retry_slack = 62;                       // tries
  Time quota_window = std::chrono::seconds(5);   // above 0
  double quota_overrun = 0.1;                    // of a quota
  double quota_slack = 20;                       // requests
  Time recovery = std::chrono::seconds(15);
  Time history = std::chrono::seconds(20);  // that watches may go back
  bool operator==(const Bounds&) const = default;
};

struct NodeSettings {
  std::string node_name;  // required
  std::string node_role;
  std::string machine_class;
  std::vector<std::string> served_roles;
  std::uint32_t ip_address = 0;  // required; IPv4, host order, as in Address
  // Where the internal ports are bound, and what peer connections come from, if others reach this machine
  // at `ip_address` only through a translation or a relay. 0: at `ip_address` itself.
  std::uint32_t internal_bind_address = 0;
  std::string zone;  // required
  std::string region;
  std::map<std::string, std::string> zones;  // zone -> region
  ListenAddresses listen_addresses;          // required; each address in it is optional
  PortRange internal_ports;                  // required; both ends included
  std::vector<Address> seed_nodes;
  bool bootstrap = false;
  bool quorum_member = false;
  Limits limits;
  std::string data_directory;  // empty: no disk
  std::string discovery_source = "self_register";
  std::string entry_mode = "virtual_ip";
  Time heartbeat = std::chrono::milliseconds(1500);  // above 0
  // How often the registry's watermark rises (registry_replication/watermark.hpp), and by that how long what
  // has left is remembered: about nine of these. Above 0. The same on all machines; shorter ones are for
  // rehearsals.
  Time registry_period = std::chrono::seconds(20);
  std::set<std::string> active_contracts;
  FaultTolerance fault_tolerance;
  Bounds bounds;
  std::string config_mode = "highest";

  bool operator==(const NodeSettings&) const = default;

  std::uint32_t InternalBindIp() const {
    return internal_bind_address != 0 ? internal_bind_address : ip_address;
  }
  bool Serves(std::string_view who) const;         // "edge", "control"
  bool Active(const std::string& contract) const;  // "drain", "quota", ...
};

// `/etc/x.yaml:12: limits.memory_mb: a number above 0 expected, found "many"`. The line of a missing field
// is that of the map that it is missing from.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Both throw SettingsError. `file` is only named in errors.
NodeSettings ReadSettings(std::string_view yaml_text, const std::string& file);
NodeSettings LoadSettings(const std::string& path);

}  // namespace curlewdoor::settings
