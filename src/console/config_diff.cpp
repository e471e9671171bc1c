#include "console/config_diff.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

#include "console/table.hpp"

namespace curlewdoor::console {

namespace {

struct Item {
  std::vector<std::pair<std::string, std::string>> fields;
  std::set<std::string> keys;  // never shown
};
using Items = std::map<std::string, Item>;

Items Routes(const policy::Policy& policy) {
  Items items;
  for (const policy::Route& route : policy.routes())
    items[RouteName(route)].fields = {{"name", route.name},
                                      {"service", ServicesOf(policy, route)},
                                      {"route_type", RepeatText(route.type)},
                                      {"timeout_ms", std::to_string(route.timeout.count())},
                                      {"target_latency_ms", std::to_string(route.target_latency.count())},
                                      {"priority", std::to_string(route.priority)},
                                      {"max_attempts", std::to_string(route.max_attempts)},
                                      {"public_access", route.public_access ? "yes" : "no"}};
  return items;
}

Items Services(const policy::Policy& policy) {
  Items items;
  for (const policy::Service& service : policy.services())
    items[service.name].fields = {{"health_check", service.health_check},
                                  {"max_connections", std::to_string(service.max_connections)},
                                  {"protocol", service.protocol},
                                  {"tls_enabled", service.tls_enabled ? "yes" : "no"}};
  return items;
}

Items Tenants(const policy::Policy& policy) {
  Items items;
  for (const policy::Tenant& tenant : policy.tenants()) {
    Item& item = items[tenant.name];
    item.fields = {{"priority", tenant.priority ? std::to_string(*tenant.priority) : "-"},
                   {"rate_per_s", NumberText(tenant.rate_per_s)},
                   {"burst_size", NumberText(tenant.burst_size)}};
    item.keys.insert(tenant.api_keys.begin(), tenant.api_keys.end());
  }
  return items;
}

Items LimitsOf(const policy::Policy& policy) {
  const policy::Limits& limits = policy.limits();
  Items items;
  items["limits"].fields = {{"max_header_bytes", std::to_string(limits.max_header_bytes)},
                            {"max_body_bytes", std::to_string(limits.max_body_bytes)},
                            {"header_timeout_ms", std::to_string(limits.header_timeout.count())},
                            {"idle_timeout_ms", std::to_string(limits.idle_timeout.count())},
                            {"keys_needed", policy.has_tenants() ? "yes" : "no"}};
  return items;
}

// "2 removed" to "1 added".
std::array<std::string, 3> ChangedKeys(const std::set<std::string>& before,
                                       const std::set<std::string>& after) {
  std::vector<std::string> removed, added;
  std::set_difference(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(removed));
  std::set_difference(after.begin(), after.end(), before.begin(), before.end(), std::back_inserter(added));
  return {"api_keys", std::to_string(removed.size()) + " removed", std::to_string(added.size()) + " added"};
}

ChangedItem CompareItem(const std::string& name, const Item& before, const Item& after) {
  ChangedItem changed{name, {}};
  for (std::size_t i = 0; i < after.fields.size(); ++i) {
    const auto& [field, now] = after.fields[i];
    if (before.fields[i].second != now) changed.fields.push_back({field, before.fields[i].second, now});
  }
  if (before.keys != after.keys) changed.fields.push_back(ChangedKeys(before.keys, after.keys));
  return changed;
}

Difference Compare(const Items& before, const Items& after) {
  Difference difference;
  for (const auto& [name, item] : before)
    if (!after.contains(name)) difference.removed.push_back(name);
  for (const auto& [name, item] : after) {
    const auto found = before.find(name);
    if (found == before.end()) {
      difference.added.push_back(name);
      continue;
    }
    ChangedItem changed = CompareItem(name, found->second, item);
    if (!changed.fields.empty()) difference.changed.push_back(std::move(changed));
  }
  return difference;
}

}  // namespace

std::string ServicesOf(const policy::Policy& policy, const policy::Route& route) {
  std::string text;
  for (const policy::WeightedService& part : route.split) {
    if (!text.empty()) text += ",";
    text += policy.services()[part.service].name;
    if (route.split.size() > 1) text += ":" + NumberText(part.weight);
  }
  return text;
}

std::string RouteName(const policy::Route& route) { return route.host + route.prefix; }

std::string RepeatText(policy::RouteType repeat) {
  return repeat == policy::RouteType::kIdempotent ? "idempotent" : "non_idempotent";
}

Differences CompareConfigs(const policy::Policy* before, const policy::Policy& after) {
  using Pick = Items (*)(const policy::Policy&);
  const std::vector<std::pair<const char*, Pick>> kinds{
      {"route", &Routes}, {"service", &Services}, {"tenant", &Tenants}, {"limits", &LimitsOf}};
  Differences differences;
  for (const auto& [kind, pick] : kinds)
    differences.emplace_back(kind, Compare(before != nullptr ? pick(*before) : Items{}, pick(after)));
  return differences;
}

}  // namespace curlewdoor::console
