// Node: the service registry, its digest and its news.
#include <algorithm>
#include <map>
#include <utility>

#include "service_registry/codec.hpp"
#include "system/node.hpp"
#include "system/node_limits.hpp"
#include "util/hash.hpp"

namespace curlewdoor::system {

Node::Merged Node::MergeBatch(const std::string& batch) {
  const auto entries = service_registry::Decode(batch, Now());
  if (!entries) {
    Say(Event::kMessageRefused, "hosts");
    return Merged::kUnreadable;
  }
  bool any_leave = false, all_held = true;
  for (const service_registry::HostEntry& entry : *entries) {
    directory_.Merge(Now(), entry);
    any_leave = any_leave || entry.departing();
    const bool owed = entry.departing() ? !directory_.CanPurge(entry) : !entry.removed();
    all_held = all_held && (!owed || directory_.Find(entry.id) != nullptr);
  }
  if (!all_held) return Merged::kNotTaken;
  return any_leave ? Merged::kLeave : Merged::kNews;
}

// To all that want news from here: the leaves among what has changed after that event of the journal.
void Node::RelayLeaves(std::uint64_t after) {
  if (!core_ || directory_.version() == after) return;
  std::vector<service_registry::HostEntry> leaves;
  if (const auto events = directory_.journal().Since(after)) {
    for (const service_registry::HostEvent& event : *events)
      if (event.kind != service_registry::HostEvent::Kind::kPurged && event.entry.departing())
        leaves.push_back(event.entry);
  } else {
    leaves = directory_.All();
  }
  if (!leaves.empty()) Broadcast(Hosts{service_registry::Encode(leaves, Now())});
}

std::uint64_t Node::HostsDigest() const {
  std::uint64_t digest = 0;
  for (const auto& [service, entries] : by_service_.all())
    for (const service_registry::HostEntry& entry : entries)
      digest += StableHash(entry.id, StableHash(service, entry.draining)) ^
                StableHash(entry.address, entry.unresponsive);
  return digest;
}

void Node::PublishHosts() {
  std::map<std::string, service_registry::HostEntry> latest;
  std::vector<service_registry::HostEntry> changed;
  if (const auto news = directory_.journal().Since(told_hosts_)) {
    for (const service_registry::HostEvent& event : *news) {
      if (event.kind == service_registry::HostEvent::Kind::kPurged) continue;
      latest[event.entry.id] = event.entry;
      const auto& entry = event.entry;
      Say(entry.removed()      ? Event::kHostGone
          : entry.unresponsive ? Event::kHostSilent
          : entry.draining     ? Event::kHostDraining
                               : Event::kHostSeen,
          entry.id + " " + entry.service + " " + entry.address);
    }
  } else {
    changed = directory_.All();
  }
  for (auto& [id, entry] : latest) changed.push_back(std::move(entry));
  told_hosts_ = directory_.version();
  if (core_ && !changed.empty()) Broadcast(Hosts{service_registry::Encode(changed, Now())});
  if (by_service_.Update(directory_)) front_.SetHosts(by_service_);
  for (const RequestId call : std::exchange(owed_beats_, {})) ReplyBeat(call);
}

}  // namespace curlewdoor::system
