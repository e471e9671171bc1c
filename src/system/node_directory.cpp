// Node: the service registry, its digest and its news.
#include <map>
#include <utility>

#include "directory/codec.hpp"
#include "system/node.hpp"
#include "system/node_limits.hpp"
#include "util/hash.hpp"

namespace curlewdoor::system {

void Node::MergeBatch(const std::string& batch) {
  const auto entries = directory::Decode(batch, Now());
  if (!entries) return Say(Event::kMessageRefused, "hosts");
  for (const directory::Entry& entry : *entries) directory_.Merge(Now(), entry);
}

std::uint64_t Node::HostsDigest() const {
  std::uint64_t digest = 0;
  for (const auto& [service, entries] : by_service_.all())
    for (const directory::Entry& entry : entries)
      digest +=
          StableHash(entry.id, StableHash(service, entry.draining)) ^ StableHash(entry.address, entry.silent);
  return digest;
}

void Node::PublishHosts() {
  std::map<std::string, directory::Entry> latest;
  std::vector<directory::Entry> changed;
  if (const auto news = directory_.journal().Since(told_hosts_)) {
    for (const directory::Event& event : *news) {
      if (event.kind == directory::Event::Kind::kForgotten) continue;
      latest[event.entry.id] = event.entry;
      const auto& entry = event.entry;
      Say(entry.gone()     ? Event::kHostGone
          : entry.silent   ? Event::kHostSilent
          : entry.draining ? Event::kHostDraining
                           : Event::kHostSeen,
          entry.id + " " + entry.service + " " + entry.address);
    }
  } else {
    changed = directory_.All();
  }
  for (auto& [id, entry] : latest) changed.push_back(std::move(entry));
  told_hosts_ = directory_.version();
  if (core_ && !changed.empty()) Broadcast(Hosts{directory::Encode(changed, Now())});
  if (by_service_.Fold(directory_)) front_.SetHosts(by_service_);
  const std::string holder = settings_.node_name + (had_majority_ ? "" : " without a majority");
  for (const RequestId call : std::exchange(owed_beats_, {})) {
    Say(Event::kLeaveAcknowledged, "held by " + holder);
    ReplyBeat(call);
  }
  if (owed_told_.empty()) return;
  const auto owed = std::exchange(owed_told_, {});
  Say(Event::kLeaveHeld, holder);
  link_.ForEach([&](Link::Stream& stream) {
    for (const auto& [to, number] : owed)
      if (stream.number == to) stream.Send(Encode(Told{number}));
  });
}

}  // namespace curlewdoor::system
