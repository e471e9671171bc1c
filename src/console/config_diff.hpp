// What two configurations differ in, part by part. Tenants' keys are compared and never named. Pure.
#pragma once

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "policy/policy.hpp"

namespace curlewdoor::console {

struct ChangedItem {
  std::string name;
  std::vector<std::array<std::string, 3>> fields;  // field, from, to
};

struct Difference {
  std::vector<std::string> added, removed;
  std::vector<ChangedItem> changed;
  bool empty() const { return added.empty() && removed.empty() && changed.empty(); }
};

// "route", "service", "tenant" and "limits", each with its difference. `before`: nullptr for none.
using Differences = std::vector<std::pair<const char*, Difference>>;
Differences CompareConfigs(const policy::Policy* before, const policy::Policy& after);

// A route's services by name, with their weights where there are several.
std::string ServicesOf(const policy::Policy& policy, const policy::Route& route);
std::string RepeatText(policy::RouteType repeat);
std::string RouteName(const policy::Route& route);

}  // namespace curlewdoor::console
