#include "service_registry/by_service.hpp"

#include <algorithm>

namespace curlewdoor::service_registry {
namespace {

auto Lower(std::vector<Entry>& entries, const std::string& id) {
  return std::lower_bound(entries.begin(), entries.end(), id,
                          [](const Entry& entry, const std::string& wanted) { return entry.id < wanted; });
}

}  // namespace

bool ByService::Fold(const Directory& directory) {
  if (number_ == directory.version()) return false;
  if (const auto events = directory.journal().Since(number_)) {
    for (const Event& event : *events) {
      Remove(event.entry.id);
      if (event.kind != Event::Kind::kForgotten) Add(event.entry);
    }
  } else {
    services_.clear();
    service_of_.clear();
    for (const Entry& entry : directory.All()) Add(entry);
  }
  number_ = directory.version();
  return true;
}

const std::vector<Entry>& ByService::Of(const std::string& service) const {
  static const std::vector<Entry> kNone;
  const auto found = services_.find(service);
  return found == services_.end() ? kNone : found->second;
}

void ByService::Remove(const std::string& id) {
  const auto known = service_of_.find(id);
  if (known == service_of_.end()) return;
  const auto service = services_.find(known->second);
  service->second.erase(Lower(service->second, id));
  if (service->second.empty()) services_.erase(service);
  service_of_.erase(known);
}

void ByService::Add(const Entry& entry) {
  if (entry.gone()) return;
  auto& entries = services_[entry.service];
  entries.insert(Lower(entries, entry.id), entry);
  service_of_[entry.id] = entry.service;
}

}  // namespace curlewdoor::service_registry
