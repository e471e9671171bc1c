#include "settings/settings.hpp"

#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <fstream>
#include <iterator>

#include "util/number.hpp"

namespace curlewdoor::settings {
namespace {

constexpr double kMostSeconds = 1e9;

[[noreturn]] void Refuse(const std::string& file, int line, const std::string& what) {
  throw SettingsError(file + ":" + std::to_string(line) + ": " + what);
}

int LineOf(const YAML::Mark& mark) { return mark.is_null() ? 1 : mark.line + 1; }

// A node that may be absent, with its key for errors.
class Field {
 public:
  Field(YAML::Node node, std::string key, int line, const std::string& file)
      : node_(node), key_(std::move(key)), line_(line), file_(file) {}

  bool present() const { return node_.IsDefined() && !node_.IsNull(); }

  [[noreturn]] void Expected(const std::string& what) const {
    std::string found = "nothing";
    if (node_.IsDefined()) {
      if (node_.IsScalar()) found = "\"" + node_.Scalar() + "\"";
      if (node_.IsMap()) found = "a map";
      if (node_.IsSequence()) found = "a list";
    }
    Refuse(file_, line_, key_ + ": " + what + " expected, found " + found);
  }

  // A member of this map; absent if this is. Refuses what is no map.
  Field At(const std::string& name) const {
    const std::string key = key_.empty() ? name : key_ + "." + name;
    if (!present()) return Field(YAML::Node(YAML::NodeType::Undefined), key, line_, file_);
    if (!node_.IsMap()) Expected("a map");
    for (const auto& member : node_)
      if (member.first.IsScalar() && member.first.Scalar() == name)
        return Field(member.second, key, LineOf(member.first.Mark()), file_);
    return Field(YAML::Node(YAML::NodeType::Undefined), key, line_, file_);
  }

  std::vector<Field> Items() const {
    std::vector<Field> items;
    if (!present()) return items;
    if (!node_.IsSequence()) Expected("a list");
    for (const YAML::Node& item : node_)
      items.emplace_back(item, key_ + "[" + std::to_string(items.size()) + "]", LineOf(item.Mark()), file_);
    return items;
  }

  std::vector<std::pair<std::string, Field>> Members() const {
    std::vector<std::pair<std::string, Field>> members;
    if (!present()) return members;
    if (!node_.IsMap()) Expected("a map");
    for (const auto& member : node_) {
      const YAML::Node name = member.first;
      if (!name.IsScalar()) Field(name, key_, LineOf(name.Mark()), file_).Expected("a text as a key");
      const std::string key = key_ + "." + name.Scalar();
      members.emplace_back(name.Scalar(), Field(member.second, key, LineOf(name.Mark()), file_));
    }
    return members;
  }

  std::string Text() const {
    if (!present() || !node_.IsScalar() || node_.Scalar().empty()) Expected("a text");
    return node_.Scalar();
  }

  // In the units of the file.
  double Number(bool above_zero, double most = 1e15) const {
    double value = 0;
    if (!Parsed(value) || value > most || (above_zero ? value <= 0 : value < 0))
      Expected(above_zero ? "a number above 0" : "a number of at least 0");
    return value;
  }

  template <typename T>
  T Whole(T least) const {
    T value = 0;
    if (!Parsed(value) || value < least) Expected("a whole number of at least " + std::to_string(least));
    return value;
  }

  std::uint16_t Port() const {
    std::uint16_t port = 0;
    if (!Parsed(port) || port == 0) Expected("a port (1 to 65535)");
    return port;
  }

  Address AddressAndPort() const {
    const auto address = present() && node_.IsScalar() ? ParseAddress(node_.Scalar()) : std::nullopt;
    if (!address || address->port == 0) Expected("an IPv4 address with a port");
    return *address;
  }

  std::uint32_t Ip() const {
    in_addr ip{};
    if (!present() || !node_.IsScalar() || inet_pton(AF_INET, node_.Scalar().c_str(), &ip) != 1)
      Expected("an IPv4 address");
    return ntohl(ip.s_addr);
  }

  bool Flag() const {
    bool value = false;
    if (!present() || !node_.IsScalar() || !YAML::convert<bool>::decode(node_, value))
      Expected("true or false");
    return value;
  }

  void Into(std::string& value) const {
    if (!present()) return;
    if (!node_.IsScalar()) Expected("a text");
    value = node_.Scalar();
  }
  void Into(bool& value) const {
    if (present()) value = Flag();
  }
  void Into(double& value, bool above_zero = false) const {
    if (present()) value = Number(above_zero);
  }
  void Into(std::uint32_t& value, std::uint32_t least = 0) const {
    if (present()) value = Whole<std::uint32_t>(least);
  }
  void Into(std::optional<Address>& value) const {
    if (present()) value = AddressAndPort();
  }
  void Seconds(Time& value, bool above_zero = false) const { ReadTime(value, 1, above_zero); }
  void Millis(Time& value, bool above_zero = false) const { ReadTime(value, 1000, above_zero); }

 private:
  template <typename T>
  bool Parsed(T& value) const {
    return present() && node_.IsScalar() && ParseNumber(node_.Scalar(), value);
  }

  void ReadTime(Time& value, double units_a_second, bool above_zero) const {
    if (!present()) return;
    const double seconds = Number(above_zero, kMostSeconds * units_a_second) / units_a_second;
    value = Time(std::llround(seconds * 1e6));
    if (above_zero) value = std::max(value, Time(1));
  }

  YAML::Node node_;
  std::string key_;
  int line_;
  const std::string& file_;
};

void ReadLimits(const Field& from, Limits& limits) {
  from.At("cpu_share").Into(limits.cpu_share, true);
  from.At("cpu_cores").Into(limits.cpu_cores, true);
  from.At("memory_mb").Into(limits.memory_mb, true);
  from.At("fd_limit").Into(limits.fd_limit, 1);
  from.At("link_mbps").Into(limits.link_mbps, true);
  from.At("disk_mb").Into(limits.disk_mb);
}

void ReadBounds(const Field& from, Bounds& bounds) {
  from.At("seed_lag_s").Seconds(bounds.seed_lag);
  from.At("reuse_delay_s").Seconds(bounds.reuse_delay);
  from.At("contact_ms").Millis(bounds.contact);
  from.At("ack_ms").Millis(bounds.ack);
  from.At("sync_time_s").Seconds(bounds.sync_time);
  from.At("drain_ms").Millis(bounds.drain);
  from.At("grace_s").Seconds(bounds.grace);
  from.At("loss_slack_ms").Millis(bounds.loss_slack);
  from.At("config_apply_ms").Millis(bounds.config_apply);
  from.At("revert_slack_ms").Millis(bounds.revert_slack);
  from.At("max_stretch_ms").Millis(bounds.max_stretch);
  from.At("revocation_strict").Into(bounds.revocation_strict);
  from.At("revoke_ms").Millis(bounds.revoke);
  from.At("retry_budget_ratio").Into(bounds.retry_budget_ratio);
  from.At("retry_window_s").Seconds(bounds.retry_window, true);
  from.At("retry_slack").Into(bounds.retry_slack);
  from.At("quota_window_s").Seconds(bounds.quota_window, true);
  from.At("quota_overrun").Into(bounds.quota_overrun);
  from.At("quota_slack").Into(bounds.quota_slack);
  from.At("recovery_s").Seconds(bounds.recovery);
  from.At("history_s").Seconds(bounds.history);
}

PortRange ReadPorts(const Field& from) {
  if (!from.present()) from.Expected("a list of two ports");
  const auto ports = from.Items();
  if (ports.size() != 2) from.Expected("a list of two ports");
  const PortRange range{ports[0].Port(), ports[1].Port()};
  if (range.first > range.last) ports[1].Expected("a port of at least " + std::to_string(range.first));
  return range;
}

NodeSettings ReadNode(const Field& root) {
  NodeSettings node;
  node.node_name = root.At("node_name").Text();
  root.At("node_role").Into(node.node_role);
  root.At("machine_class").Into(node.machine_class);
  for (const Field& role : root.At("served_roles").Items()) node.served_roles.push_back(role.Text());
  node.ip_address = root.At("ip_address").Ip();
  if (const Field bind = root.At("internal_bind_address"); bind.present())
    node.internal_bind_address = bind.Ip();
  node.zone = root.At("zone").Text();
  root.At("region").Into(node.region);
  for (const auto& [zone, region] : root.At("zones").Members()) node.zones[zone] = region.Text();

  const Field listen = root.At("listen_addresses");
  if (!listen.present()) listen.Expected("a map");
  listen.At("data_plane").Into(node.listen_addresses.data_plane);
  listen.At("readiness").Into(node.listen_addresses.readiness);
  listen.At("control_plane").Into(node.listen_addresses.control_plane);
  node.internal_ports = ReadPorts(root.At("internal_port_range"));
  for (const Field& seed : root.At("seed_nodes").Items()) node.seed_nodes.push_back(seed.AddressAndPort());

  root.At("bootstrap").Into(node.bootstrap);
  root.At("quorum_member").Into(node.quorum_member);
  ReadLimits(root.At("limits"), node.limits);
  root.At("data_directory").Into(node.data_directory);
  root.At("discovery_source").Into(node.discovery_source);
  root.At("entry_mode").Into(node.entry_mode);
  root.At("heartbeat_ms").Millis(node.heartbeat, true);
  root.At("registry_period_ms").Millis(node.registry_period, true);
  for (const Field& contract : root.At("active_contracts").Items())
    node.active_contracts.insert(contract.Text());

  const Field tolerance = root.At("fault_tolerance");
  tolerance.At("machine_failures").Into(node.fault_tolerance.machine_failures);
  tolerance.At("zones").Into(node.fault_tolerance.zones);
  tolerance.At("region_failures").Into(node.fault_tolerance.region_failures);
  ReadBounds(root.At("bounds"), node.bounds);
  root.At("config_mode").Into(node.config_mode);
  return node;
}

}  // namespace

bool NodeSettings::Serves(std::string_view who) const {
  return std::find(served_roles.begin(), served_roles.end(), who) != served_roles.end();
}

bool NodeSettings::Active(const std::string& contract) const { return active_contracts.contains(contract); }

NodeSettings ReadSettings(std::string_view yaml_text, const std::string& file) {
  try {
    const YAML::Node root = YAML::Load(std::string(yaml_text));
    if (!root.IsMap()) Refuse(file, 1, "a map expected");
    return ReadNode(Field(root, "", 1, file));
  } catch (const YAML::Exception& error) {
    Refuse(file, LineOf(error.mark), "not YAML: " + error.msg);
  }
}

NodeSettings LoadSettings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError(path + ": " + std::strerror(errno));
  const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  if (in.bad()) throw SettingsError(path + ": can't be read");
  return ReadSettings(text, path);
}

}  // namespace curlewdoor::settings
