// Registry of backend hosts, merged from heartbeats, deregistrations and the reports of other gateways. Pure.
//
// An entry describes one incarnation of a host, identified by its id. It is merged from three parts, each of
// which only grows, so that neither the order nor the repetition of reports matters:
//   - the details that it reported (service, address, zone, slots, draining), from the highest sequence; if
//     equal, draining wins;
//   - whether it is present, unresponsive or removed without deregistration, from the highest sequence; if
//     equal, the worse state wins;
//   - whether it has deregistered, which is final.
// Only the owner of an address depends on the order: it is the host that appeared there last, as seen by this
// gateway. The other host is removed; a heartbeat of it with a higher sequence takes the address back.
//
// A purged entry must not be brought back by a process that was stopped or cut off in the meantime. Each
// entry therefore carries a stamp: the registry's watermark (registry_replication/watermark.hpp) when a
// heartbeat of that host was last received, or when a list with the entry was confirmed by a majority. An
// unknown id is accepted only if its stamp is at most kClaimValidPeriods behind the local watermark, and an
// entry whose stamp falls further behind is dropped. A departing host is kept until every claim that it is
// present is too old in this sense; see docs/registry.md, "What is forgotten".
#pragma once

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/mem_fun.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "service_registry/command.hpp"
#include "service_registry/journal.hpp"

namespace curlewdoor::service_registry {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

inline constexpr std::size_t kMaxEntries = 16'384;  // including removed hosts
inline constexpr std::size_t kMaxJournalEvents = 4096;
inline constexpr std::chrono::seconds kRemovedRetention{60};  // of hosts removed without deregistration
inline constexpr std::chrono::seconds kUnresponsiveRetention{120};
// In periods of the watermark: how far a stamp may be behind it, and how far it must be beyond the watermark
// of a departure before that is purged.
inline constexpr std::uint64_t kClaimValidPeriods = 6;
inline constexpr std::uint64_t kDeparturePurgePeriods = kClaimValidPeriods + 3;
// Longest time between sending and reading a call of a host; later calls are rejected
// (system/pause_watch.hpp).
inline constexpr std::chrono::seconds kMaxCallDelay{15};

enum class HostState : std::uint8_t { kReady, kDraining, kRemoved };

// State of one incarnation of a host.
struct HostEntry {
  // All except `id` are empty if only the deregistration was received.
  std::string id{}, service{}, address{}, zone{};
  int slots = 1;
  HostState state = HostState::kReady;
  bool draining = false;       // as last reported, also while kRemoved
  bool deregistered = false;   // final; the state is then kRemoved
  bool unresponsive = false;   // as of `sequence`; never set while kRemoved
  std::uint64_t sequence = 0;  // highest one received
  // Sequence of the heartbeat that reported service, address, zone, slots and draining; <= sequence.
  std::uint64_t details_sequence = 0;
  Time warm_at{};     // end of the warm-up, on the clock of this process
  Time last_heard{};  // when `sequence` last increased here
  // When it became unresponsive or was removed here; otherwise unused.
  Time unavailable_since{};
  // Watermark when the host was last known to be present; 0: not sent (earlier versions).
  std::uint64_t stamp = 0;
  // For a departing host: no claim that it is present carries a stamp more than one above this. 0: not known
  // yet.
  std::uint64_t departure_watermark = 0;
  Time departing_since{};  // when the departure was first known here; otherwise unused

  bool removed() const { return state == HostState::kRemoved; }
  bool departing() const { return draining || deregistered; }  // it announced its departure
  enum EvictionRank { kRemovedRank, kUnresponsiveRank, kPresentRank, kDepartingRank };
  // Entries that may be evicted for lack of space come first: removed, then unresponsive ones, each oldest
  // first. Others are not evicted.
  std::pair<EvictionRank, Time> eviction_order() const {
    if (departing()) return {kDepartingRank, departing_since};
    if (removed()) return {kRemovedRank, unavailable_since};
    return unresponsive ? std::pair{kUnresponsiveRank, unavailable_since} : std::pair{kPresentRank, Time{}};
  }
};

// A change that other gateways must learn about, or (kPurged) the removal of an entry from the registry.
struct HostEvent {
  enum class Kind : std::uint8_t { kAdded, kChanged, kPurged };
  Kind kind = Kind::kAdded;
  HostEntry entry{};  // state after the event; with kPurged, before it
};

// The hosts known to this gateway, with a journal of changes.
class ServiceRegistry {
 public:
  // Faults for tests of the checkers: departures are purged like other removals, or stale claims are
  // accepted.
  enum class InjectedFault : std::uint8_t { kNone, kPurgesDeparturesEarly, kAcceptsStaleClaims };
  explicit ServiceRegistry(InjectedFault injected_fault = InjectedFault::kNone)
      : injected_fault_(injected_fault) {}

  // These return whether anything changed that other gateways must learn about: a new id, its state, service,
  // address, zone or slots, or whether it is unresponsive. The journal records the changes, including the
  // removal of a host that lost its address. They also return false if the entry was rejected because the
  // registry is full of ready hosts.
  bool Apply(Time now, const Heartbeat& heartbeat);
  bool Apply(Time now, const Deregistration& deregistration);
  bool Merge(Time now, const HostEntry& reported);

  enum class RefreshResult : std::uint8_t {
    kUnknown,  // unknown id: the full entry is needed
    kUnchanged,
    kChanged  // it was unresponsive, or removed without deregistration
  };
  // Handles a forwarded heartbeat without new details: only the sequence and the time of the last heartbeat
  // advance.
  RefreshResult Refresh(Time now, const std::string& id, std::uint64_t sequence);

  // Marks hosts without a heartbeat for `after` as unresponsive and returns them. To be called only while
  // this process can judge that.
  std::vector<HostEntry> MarkUnresponsive(Time now, Duration after);

  // To be called periodically. Removes hosts that were unresponsive for kUnresponsiveRetention, purges hosts
  // removed for kRemovedRetention, and purges departures kDeparturePurgePeriods after their watermark.
  void PurgeExpired(Time now);

  // Sets the watermark of the registry, which only rises. Entries with stamps too far behind it are dropped,
  // except departing ones.
  void RaiseWatermark(std::uint64_t watermark);
  std::uint64_t watermark() const { return watermark_; }
  // A majority has confirmed the list as of `confirmed_at`, and the local watermark is not lower than theirs:
  // departures known kMaxCallDelay earlier receive their watermark.
  void ConfirmDepartures(Time confirmed_at);
  // A majority has confirmed the list as of a time when the local watermark had this value: every host listed
  // as present counts as if a heartbeat had been received then.
  void ConfirmHosts(std::uint64_t watermark);
  // Whether every claim that could contradict the departure is too old.
  bool CanPurge(const HostEntry& entry) const;

  // Calls f(const HostEntry&) for the hosts of a service that are not removed, including unresponsive ones. f
  // must not change the registry.
  template <class F>
  void ForEachHostOf(const std::string& service, F f) const {
    const auto& index = entries_.template get<ServiceTag>();
    auto [it, end] = index.equal_range(service);
    for (; it != end; ++it) {
      if (!it->removed()) f(*it);
    }
  }

  // Calls f(const HostEntry&) for all hosts, including removed ones. f must not change the registry.
  template <class F>
  void ForEach(F f) const {
    for (const HostEntry& entry : entries_) f(entry);
  }

  // Returns nullptr for an unknown id. Valid until the next change.
  const HostEntry* Find(const std::string& id) const;
  // The host that owns this address; nullptr if there is none.
  const HostEntry* FindByAddress(const std::string& address) const;
  // All entries, including removed ones, with the stamps that other gateways may rely on: the snapshot for
  // version().
  std::vector<HostEntry> All() const;
  std::size_t size() const { return entries_.size(); }
  std::uint64_t refused() const { return refused_; }  // new ids rejected because of kMaxEntries

  // Increases with each change; heartbeats without changes do not affect it.
  std::uint64_t version() const { return journal_.last(); }
  const Journal<HostEvent>& journal() const { return journal_; }

 private:
  struct IdTag {};
  struct AddressTag {};
  struct ServiceTag {};
  struct EvictionTag {};
  using Entries = boost::multi_index_container<
      HostEntry,
      boost::multi_index::indexed_by<
          boost::multi_index::hashed_unique<
              boost::multi_index::tag<IdTag>,
              boost::multi_index::member<HostEntry, std::string, &HostEntry::id>>,
          boost::multi_index::hashed_non_unique<
              boost::multi_index::tag<AddressTag>,
              boost::multi_index::member<HostEntry, std::string, &HostEntry::address>>,
          boost::multi_index::hashed_non_unique<
              boost::multi_index::tag<ServiceTag>,
              boost::multi_index::member<HostEntry, std::string, &HostEntry::service>>,
          boost::multi_index::ordered_non_unique<
              boost::multi_index::tag<EvictionTag>,
              boost::multi_index::const_mem_fun<HostEntry, std::pair<HostEntry::EvictionRank, Time>,
                                                &HostEntry::eviction_order>>>>;
  using Position = Entries::iterator;

  bool MergeReport(Time now, HostEntry reported);
  bool IsStale(const HostEntry& entry, std::uint64_t stamp) const;
  bool MakeRoom(const HostEntry& incoming);
  void Erase(Position position);
  void MarkRemoved(Time now, Position position);
  void PurgeDepartures(Time now);
  void Replace(Position position, HostEntry next, bool changed);
  void ResolveAddressConflict(Time now, const std::string& id);

  const InjectedFault injected_fault_;
  Entries entries_;
  Journal<HostEvent> journal_{kMaxJournalEvents};
  // No stamp counts as lower than `confirmed_`.
  std::uint64_t watermark_ = 1, confirmed_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace curlewdoor::service_registry
