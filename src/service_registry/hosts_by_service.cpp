#include "service_registry/hosts_by_service.hpp"

#include <algorithm>

namespace curlewdoor::service_registry {
namespace {

auto LowerBound(std::vector<HostEntry>& entries, const std::string& id) {
  return std::lower_bound(
      entries.begin(), entries.end(), id,
      [](const HostEntry& entry, const std::string& wanted) { return entry.id < wanted; });
}

}  // namespace

bool HostsByService::Update(const ServiceRegistry& registry) {
  if (applied_version_ == registry.version()) return false;
  if (const auto events = registry.journal().Since(applied_version_)) {
    for (const HostEvent& event : *events) {
      Remove(event.entry.id);
      if (event.kind != HostEvent::Kind::kPurged) Add(event.entry);
    }
  } else {
    services_.clear();
    service_of_.clear();
    for (const HostEntry& entry : registry.All()) Add(entry);
  }
  applied_version_ = registry.version();
  return true;
}

const std::vector<HostEntry>& HostsByService::HostsOf(const std::string& service) const {
  static const std::vector<HostEntry> kNone;
  const auto found = services_.find(service);
  return found == services_.end() ? kNone : found->second;
}

void HostsByService::Remove(const std::string& id) {
  const auto known = service_of_.find(id);
  if (known == service_of_.end()) return;
  const auto service = services_.find(known->second);
  service->second.erase(LowerBound(service->second, id));
  if (service->second.empty()) services_.erase(service);
  service_of_.erase(known);
}

void HostsByService::Add(const HostEntry& entry) {
  if (entry.removed()) return;
  auto& entries = services_[entry.service];
  entries.insert(LowerBound(entries, entry.id), entry);
  service_of_[entry.id] = entry.service;
}

}  // namespace curlewdoor::service_registry
