// The operator's configuration. What is taken is checked against PROTOCOL.md's clauses a second time, from
// another reader's tree of the document (nlohmann's).
#include "policy/policy.hpp"

#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "target.hpp"

namespace curlewdoor::policy {
namespace {

using nlohmann::json;

// A tree of the document; none where the two readers may rightly differ: a member that stands twice in one
// object, a number beyond a double, text that isn't UTF-8.
class OtherReader {
 public:
  explicit OtherReader(const std::string& text) {
    std::vector<std::set<std::string>> names;
    const json::parser_callback_t look = [&](int, json::parse_event_t event, json& parsed) {
      if (event == json::parse_event_t::object_start) names.emplace_back();
      if (event == json::parse_event_t::object_end) names.pop_back();
      if (event == json::parse_event_t::key) twice_ |= !names.back().insert(parsed.get<std::string>()).second;
      return true;
    };
    try {
      tree_ = json::parse(text, look);
    } catch (const json::parse_error& error) {
      const std::string what = error.what();
      beyond_ = what.find("UTF-8") != std::string::npos;
      FUZZ_REQUIRE(beyond_);  // anything else is no JSON
    } catch (const json::out_of_range& error) {
      FUZZ_REQUIRE(error.id == 406);  // a number
      beyond_ = true;
    }
  }
  bool comparable() const { return !twice_ && !beyond_; }
  const json& tree() const { return tree_; }

 private:
  json tree_;
  bool twice_ = false, beyond_ = false;
};

void CheckRoute(const json& route, const std::set<std::string>& services) {
  const std::string prefix = route.at("path_prefix");
  FUZZ_REQUIRE(prefix.starts_with('/') && prefix.ends_with('/'));
  const std::string kind = route.at("route_type");
  FUZZ_REQUIRE(kind == "idempotent" || kind == "non_idempotent");
  const double timeout = route.at("timeout_ms");
  FUZZ_REQUIRE(timeout > 0);
  if (route.contains("target_latency_ms"))
    FUZZ_REQUIRE(route.at("target_latency_ms").get<double>() - timeout < 60'000);
  FUZZ_REQUIRE(route.at("max_attempts").get<double>() >= 1);
  FUZZ_REQUIRE(route.contains("service") != route.contains("traffic_split"));
  if (route.contains("service")) FUZZ_REQUIRE(services.contains(route.at("service").get<std::string>()));
  double weights = 0;
  if (route.contains("traffic_split"))
    for (const json& part : route.at("traffic_split")) {
      FUZZ_REQUIRE(services.contains(part.at("service").get<std::string>()));
      const double weight = part.at("weight");
      FUZZ_REQUIRE(weight >= 0);
      weights += weight;
    }
  FUZZ_REQUIRE(route.contains("service") || weights > 0);
}

void CheckDocument(const json& document, const Policy& policy) {
  FUZZ_REQUIRE(document.at("config_version").get<double>() == static_cast<double>(policy.version()));
  std::set<std::string> services;
  for (const json& service : document.at("services"))
    FUZZ_REQUIRE(services.insert(service.at("name").get<std::string>()).second);
  FUZZ_REQUIRE(services.size() == policy.services().size());

  std::map<std::string, std::string> holders;  // of keys
  std::size_t tenants = 0;
  FUZZ_REQUIRE(document.contains("tenants") == policy.has_tenants());
  if (document.contains("tenants"))
    for (const json& tenant : document.at("tenants")) {
      ++tenants;
      const std::string name = tenant.at("name");
      if (!tenant.contains("api_keys")) continue;
      for (const json& key : tenant.at("api_keys")) {
        const auto [holder, fresh] = holders.emplace(key.get<std::string>(), name);
        FUZZ_REQUIRE(holder->second == name);
        const Tenant* found = policy.FindKey(key.get<std::string>());
        FUZZ_REQUIRE(found != nullptr && found->name == name);
      }
    }
  FUZZ_REQUIRE(tenants == policy.tenants().size());

  std::size_t routes = 0;
  for (const json& host : document.at("backend_hosts"))
    for (const json& route : host.at("url_paths")) {
      CheckRoute(route, services);
      ++routes;
    }
  FUZZ_REQUIRE(routes == policy.routes().size());
}

// What the pages say of a policy's parts.
void CheckParts(const Policy& policy) {
  const Limits& limits = policy.limits();
  FUZZ_REQUIRE(limits.max_header_bytes > 0 && limits.header_timeout.count() > 0);
  FUZZ_REQUIRE(limits.idle_timeout.count() > 0 && limits.idle_timeout <= kMaxDuration);
  for (std::size_t i = 0; i < policy.services().size(); ++i) {
    const Service& service = policy.services()[i];
    FUZZ_REQUIRE(!service.name.empty() && policy.FindService(service.name) == i);
    FUZZ_REQUIRE(service.max_connections >= 0);
    FUZZ_REQUIRE(service.health_check.find_first_of(" \r\n\t") == std::string::npos);
  }
  for (const Tenant& tenant : policy.tenants()) {
    FUZZ_REQUIRE(!tenant.name.empty() && tenant.name.find_first_of("\r\n") == std::string::npos);
    FUZZ_REQUIRE(std::isfinite(tenant.rate_per_s) && tenant.rate_per_s >= 0);
    FUZZ_REQUIRE(std::isfinite(tenant.burst_size) && tenant.burst_size >= 0);
  }
  for (const Route& route : policy.routes()) {
    FUZZ_REQUIRE(route.timeout.count() >= 1 && route.timeout <= kMaxDuration);
    FUZZ_REQUIRE(route.target_latency.count() >= 0 && route.target_latency <= kMaxDuration);
    FUZZ_REQUIRE(route.max_attempts >= 1 && !route.split.empty());
    for (const WeightedService& part : route.split) FUZZ_REQUIRE(part.service < policy.services().size());
    for (const double point : {0.0, 0.618, std::nextafter(1.0, 0.0)})
      FUZZ_REQUIRE(route.ServiceAt(point) < policy.services().size());
    // Its own prefix leads to it, or the host's name is one that no Host header can give.
    const Route* found = policy.FindRoute(route.host, route.prefix);
    const bool plain =
        route.host.find(':') == std::string::npos && route.prefix.find('?') == std::string::npos;
    if (plain) FUZZ_REQUIRE(found == &route);
  }
}

}  // namespace

void Check(std::string_view bytes) {
  const std::string text(bytes);
  std::shared_ptr<const Policy> policy;
  try {
    policy = Policy::Read(text);
  } catch (const PolicyError& error) {
    FUZZ_REQUIRE(std::string(error.what()).find(": ") != std::string::npos);
    return;
  }
  FUZZ_REQUIRE(policy->text() == text);
  CheckParts(*policy);
  const OtherReader other(text);
  if (other.comparable()) CheckDocument(other.tree(), *policy);
}

}  // namespace curlewdoor::policy

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  curlewdoor::policy::Check(curlewdoor::fuzz::View(data, size));
  return 0;
}
