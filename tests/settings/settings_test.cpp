#include "settings/settings.hpp"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>

using namespace curlewdoor;
using namespace curlewdoor::settings;
using namespace std::chrono_literals;

namespace {

const std::string kWhole = R"(node_name: "edge-lund-2"
node_role: "gateway"
machine_class: "edge"
served_roles:
  - "edge"
  - "control"
ip_address: "10.8.0.31"
zone: "lund"
region: "skane"
zones:
  lund: "skane"
  visby: "gotland"
listen_addresses:
  data_plane: "10.8.0.31:8145"
  readiness: "10.8.0.31:8148"
  control_plane: "10.8.0.31:8142"
internal_port_range:
  - 7200
  - 7215
seed_nodes:
  - "10.8.0.31:8142"
  - "10.9.0.27:8142"
bootstrap: true
quorum_member: true
limits:
  cpu_share: 0.5
  cpu_cores: 2
  memory_mb: 300
  fd_limit: 5000
  link_mbps: 900.0
  disk_mb: 48
data_directory: "/data/gateway"
discovery_source: "given"
entry_mode: "by_name"
heartbeat_ms: 1200
active_contracts:
  - "base"
  - "quota"
fault_tolerance:
  machine_failures: 2
  zones: 1
  region_failures: 0
bounds:
  seed_lag_s: 4
  reuse_delay_s: 2.5
  contact_ms: 3100
  ack_ms: 4100
  sync_time_s: 5
  drain_ms: 2100
  grace_s: 7
  loss_slack_ms: 210.5
  config_apply_ms: 2200
  revert_slack_ms: 260
  max_stretch_ms: 5100
  revocation_strict: true
  revoke_ms: 5200
  retry_budget_ratio: 0.25
  retry_window_s: 11
  retry_slack: 63
  quota_window_s: 6
  quota_overrun: 0.15
  quota_slack: 21
  recovery_s: 16
  history_s: 17
config_mode: "other"
)";

const std::string kLeast = R"(node_name: a
ip_address: 10.0.0.1
zone: z
listen_addresses:
  readiness: 10.0.0.1:80
internal_port_range: [7000, 7000]
)";

Address At(const char* text) { return *ParseAddress(text); }

NodeSettings Read(const std::string& text) { return ReadSettings(text, "x.yaml"); }

std::string ErrorOf(const std::string& text) {
  try {
    Read(text);
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "no error";
}

// `text` with its first `from` made `to`.
std::string With(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
  return text.replace(at, from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_CASE(EveryFieldIsRead) {
  NodeSettings want;
  want.node_name = "edge-lund-2";
  want.node_role = "gateway";
  want.machine_class = "edge";
  want.served_roles = {"edge", "control"};
  want.ip_address = At("10.8.0.31:1").ip;
  want.zone = "lund";
  want.region = "skane";
  want.zones = {{"lund", "skane"}, {"visby", "gotland"}};
  want.listen_addresses = {At("10.8.0.31:8145"), At("10.8.0.31:8148"), At("10.8.0.31:8142")};
  want.internal_ports = {7200, 7215};
  want.seed_nodes = {At("10.8.0.31:8142"), At("10.9.0.27:8142")};
  want.bootstrap = true;
  want.quorum_member = true;
  want.limits = {0.5, 2, 300, 5000, 900, 48};
  want.data_directory = "/data/gateway";
  want.discovery_source = "given";
  want.entry_mode = "by_name";
  want.heartbeat = 1200ms;
  want.active_contracts = {"base", "quota"};
  want.fault_tolerance = {2, 1, 0};
  want.bounds = {4s,   2500ms, 3100ms, 4100ms, 5s, 2100ms, 7s,   210500us, 2200ms, 260ms, 5100ms,
                 true, 5200ms, 0.25,   11s,    63, 6s,     0.15, 21,       16s,    17s};
  want.config_mode = "other";
  BOOST_TEST(want.InternalBindIp() == want.ip_address);
  const NodeSettings bound = Read(kWhole + "internal_bind_address: 10.8.1.31\n");
  BOOST_TEST(bound.InternalBindIp() == At("10.8.1.31:1").ip);
  BOOST_TEST(bound.ip_address == want.ip_address);
  const NodeSettings read = Read(kWhole);
  BOOST_TEST((read == want));
  BOOST_TEST(read.Serves("control"));
  BOOST_TEST(!read.Serves("nobody"));
  BOOST_TEST(read.Active("quota"));
  BOOST_TEST(!read.Active("drain"));
}

BOOST_AUTO_TEST_CASE(WhatIsAbsentHasItsDefault) {
  NodeSettings want;
  want.node_name = "a";
  want.ip_address = At("10.0.0.1:1").ip;
  want.zone = "z";
  want.listen_addresses.readiness = At("10.0.0.1:80");
  want.internal_ports = {7000, 7000};
  BOOST_TEST((Read(kLeast) == want));
  BOOST_TEST(
      (Read(kLeast + "data_directory: \"\"\nlimits:\nbounds: {}\nseed_nodes: []\nbootstrap: ~\n") == want));
  BOOST_TEST(want.data_directory.empty());
  BOOST_TEST((want.bounds.recovery == 15s));
}

BOOST_AUTO_TEST_CASE(UnknownFieldsAreIgnored) {
  const std::string more = With(With(With(kWhole, "limits:\n", "limits:\n  gpu: {a: [many]}\n"), "bounds:\n",
                                     "bounds:\n  quiet_s: -3\n"),
                                "listen_addresses:\n", "listen_addresses:\n  debug: nowhere\n");
  BOOST_TEST((Read("colour: [red, {deep: 1}]\n" + more) == Read(kWhole)));
}

BOOST_AUTO_TEST_CASE(ErrorsNameLineKeyAndWhatIsExpected) {
  const struct {
    const char *from, *to, *error;
  } cases[] = {
      {"memory_mb: 300", "memory_mb: many",
       "28: limits.memory_mb: a number above 0 expected, found \"many\""},
      {"memory_mb: 300", "memory_mb: nan", "28: limits.memory_mb: a number above 0 expected, found \"nan\""},
      {"cpu_share: 0.5", "cpu_share: 0", "26: limits.cpu_share: a number above 0 expected, found \"0\""},
      {"fd_limit: 5000", "fd_limit: 1.5",
       "29: limits.fd_limit: a whole number of at least 1 expected, found \"1.5\""},
      {"node_name: \"edge-lund-2\"", "name: x", "1: node_name: a text expected, found nothing"},
      {"\"10.8.0.31\"", "\"10.8.0.310\"", "7: ip_address: an IPv4 address expected, found \"10.8.0.310\""},
      {"zone: \"lund\"", "zone: [lund]", "8: zone: a text expected, found a list"},
      {"zone: \"lund\"", "internal_bind_address: here",
       "8: internal_bind_address: an IPv4 address expected, found \"here\""},
      {"visby: \"gotland\"", "visby: {}", "12: zones.visby: a text expected, found a map"},
      {"10.8.0.31:8145", "10.8.0.31:0",
       "14: listen_addresses.data_plane: an IPv4 address with a port expected, found \"10.8.0.31:0\""},
      {"10.8.0.31:8148", "10.8.0.31",
       "15: listen_addresses.readiness: an IPv4 address with a port expected, found \"10.8.0.31\""},
      {"- 7215", "- 70000", "19: internal_port_range[1]: a port (1 to 65535) expected, found \"70000\""},
      {"- 7215", "- 7199", "19: internal_port_range[1]: a port of at least 7200 expected, found \"7199\""},
      {"  - 7215\n", "", "17: internal_port_range: a list of two ports expected, found a list"},
      {"10.9.0.27:8142", "host:8142",
       "22: seed_nodes[1]: an IPv4 address with a port expected, found \"host:8142\""},
      {"bootstrap: true", "bootstrap: perhaps", "23: bootstrap: true or false expected, found \"perhaps\""},
      {"heartbeat_ms: 1200", "heartbeat_ms: 0", "35: heartbeat_ms: a number above 0 expected, found \"0\""},
      {"machine_failures: 2", "machine_failures: -1",
       "40: fault_tolerance.machine_failures: a whole number of at least 0 expected, found \"-1\""},
      {"drain_ms: 2100", "drain_ms: -2100",
       "49: bounds.drain_ms: a number of at least 0 expected, found \"-2100\""},
      {"grace_s: 7", "grace_s: 1e300",
       "50: bounds.grace_s: a number of at least 0 expected, found \"1e300\""},
      {"revocation_strict: true", "revocation_strict: 7",
       "55: bounds.revocation_strict: true or false expected, found \"7\""},
      {"limits:\n", "limits: 3\nmore:\n", "25: limits: a map expected, found \"3\""},
  };
  for (const auto& one : cases)
    BOOST_TEST(ErrorOf(With(kWhole, one.from, one.to)) == std::string("x.yaml:") + one.error);
}

BOOST_AUTO_TEST_CASE(WhatIsMissingOrNoYaml) {
  BOOST_TEST(ErrorOf("") == "x.yaml:1: a map expected");
  BOOST_TEST(ErrorOf("- a") == "x.yaml:1: a map expected");
  BOOST_TEST(ErrorOf("a: 1\nb: [1, 2").starts_with("x.yaml:2: not YAML: "));
  BOOST_TEST(ErrorOf(With(kLeast, "zone: z\n", "")) == "x.yaml:1: zone: a text expected, found nothing");
  BOOST_TEST(ErrorOf(With(kLeast, "  readiness: 10.0.0.1:80\n", "")) ==
             "x.yaml:4: listen_addresses: a map expected, found nothing");
  BOOST_TEST(ErrorOf(With(kLeast, "internal_port_range: [7000, 7000]\n", "")) ==
             "x.yaml:1: internal_port_range: a list of two ports expected, found nothing");
}

BOOST_AUTO_TEST_CASE(AFileIsLoaded) {
  char path[] = "/tmp/settings_testXXXXXX";
  const int file = mkstemp(path);
  BOOST_REQUIRE(file >= 0);
  close(file);
  std::ofstream(path) << kWhole;
  BOOST_TEST((LoadSettings(path) == Read(kWhole)));
  unlink(path);
  BOOST_CHECK_EXCEPTION(LoadSettings(path), SettingsError, [&](const SettingsError& error) {
    return std::string(error.what()).starts_with(path);
  });
}
