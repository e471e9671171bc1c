// Front: the configuration in force and the hosts of its services.
#include <algorithm>

#include "quota/quota_plan.hpp"
#include "system/front.hpp"

namespace curlewdoor::system {

void Front::SetPolicy(std::shared_ptr<const policy::Policy> policy) {
  if (policy == nullptr || (policy_ != nullptr && policy->version() < policy_->version())) return;
  policy_ = std::move(policy);
  split_sequence_.OnPolicy(*policy_);
  std::unordered_map<std::string, std::shared_ptr<const Plan>> plans;
  for (const policy::Tenant& tenant : policy_->tenants()) {
    auto plan = std::make_shared<const Plan>(quota::MakePlan(tenant.name, tenant.rate_per_s,
                                                             tenant.burst_size, settings_.bounds.quota_window,
                                                             settings_.bounds.quota_slack));
    const auto known = plans_.find(tenant.name);
    plans[tenant.name] = known != plans_.end() && *known->second == *plan ? known->second : std::move(plan);
  }
  plans_.swap(plans);
  ranks_.clear();
  for (const policy::Route& route : policy_->routes()) ranks_.push_back(route.priority);
  std::sort(ranks_.begin(), ranks_.end());
  ranks_.erase(std::unique(ranks_.begin(), ranks_.end()), ranks_.end());
  leases_.UpdatePlans(Now(), [this](const std::string& name) {
    const auto it = plans_.find(name);
    return it != plans_.end() ? it->second : nullptr;
  });
  http::SetMostHead(policy_->limits().max_header_bytes);
  times_.slowest_request = policy_->limits().header_timeout;
  times_.longest_idle = policy_->limits().idle_timeout;
}

std::shared_ptr<const Plan> Front::PlanOf(const std::string& tenant) const {
  const auto it = plans_.find(tenant);
  return it != plans_.end() ? it->second : nullptr;
}

Front::Service& Front::ServiceOf(const std::string& name) {
  auto& service = services_[name];
  if (service == nullptr) {
    const retry::RetryBudget::Options budget{settings_.bounds.retry_budget_ratio,
                                             settings_.bounds.retry_slack, settings_.bounds.retry_window,
                                             gateways_};
    service = std::make_unique<Service>(Service{
        name, load_balancing::LoadBalancer({}, rng_()), retry::RetryBudget(budget, fresh_, Now()), {}, true});
  }
  return *service;
}

void Front::SetHosts(const service_registry::HostsByService& hosts) {
  const TimePoint now = Now();
  std::unordered_map<HostId, HostInfo, IdHash> known;
  std::unordered_map<std::string, HostId> ids;
  for (auto& [name, service] : services_) service->known = false;
  for (const auto& [name, entries] : hosts.all()) {
    std::vector<load_balancing::BackendHost> usable;
    for (const service_registry::HostEntry& entry : entries) {
      const auto found = ids_.find(entry.id);
      const HostId id = found != ids_.end() ? found->second : HostId{next_host_++};
      const auto address = ParseAddress(entry.address);
      if (!address) continue;
      ids.emplace(entry.id, id);
      const bool leaves = entry.state != service_registry::HostState::kReady;
      known[id] = HostInfo{entry.id, name, *address, leaves};
      if (leaves) {
        // What waits for a connection to it goes elsewhere: nothing new arrives there.
        upstream_.StopSendingTo(id, now);
        upstream_.CloseKeptTo(id);
        continue;
      }
      usable.push_back({id, std::max(1, entry.slots), entry.zone == settings_.zone, 0, entry.unresponsive,
                        TimePoint(entry.warm_at.time_since_epoch())});
    }
    const auto near =
        std::count_if(usable.begin(), usable.end(), [](const auto& host) { return host.same_zone; });
    const auto own = load_balancing::ApertureShares(static_cast<std::size_t>(near), index_, in_zone_);
    std::size_t at = 0;
    for (load_balancing::BackendHost& host : usable)
      if (host.same_zone) host.aperture_share = own[at++];
    Service& service = ServiceOf(name);
    service.known = true;
    service.chooser.SetHosts(now, usable);
  }
  for (const auto& [id, info] : hosts_)
    if (!known.contains(id)) {
      upstream_.StopSendingTo(id, now);
      upstream_.CloseKeptTo(id);
    }
  for (auto& [name, service] : services_)
    if (!service->known) service->chooser.SetHosts(now, {});
  hosts_.swap(known);
  ids_.swap(ids);
}

}  // namespace curlewdoor::system
