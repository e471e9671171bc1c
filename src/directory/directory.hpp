// Which hosts there are, merged from beats, from the hosts' last calls and from what other gateways tell.
// Pure.
//
// An entry is one life of a host, named by its id. What is known of a life is joined from three parts, each
// of which only grows, so neither the order nor the repetition of what is heard matters:
//   - what it said (service, address, zone, slots, draining), of the highest sequence; draining if equal;
//   - whether it is here, silent, or gone without a word, of the highest sequence; the worse if equal;
//   - whether it has left in words (deregistered), which is final.
// The one thing that depends on the order is whose an address is: the life that came to it last here. The
// other is gone; should it beat again, with a higher sequence, then the address is its own again.
//
// What is forgotten must not come back from a process that was stopped or cut off meanwhile. So each entry
// bears a stamp: the registry's watermark (registry_replication/watermark.hpp) when a beat of that life was
// read last, or when a list with it was proved. An id that isn't known is taken only if its stamp is at most
// kValidPeriods behind the watermark here, and an entry whose stamp falls further behind is dropped. A life
// that has said that it leaves is kept until every claim of it is too old in that sense: docs/registry.md,
// "What is forgotten".
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

#include "directory/command.hpp"
#include "directory/journal.hpp"

namespace curlewdoor::directory {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

inline constexpr std::size_t kMostEntries = 16'384;   // gone ones included
inline constexpr std::size_t kMostEvents = 4096;      // in the journal
inline constexpr std::chrono::seconds kKeepGone{60};  // gone without a word
inline constexpr std::chrono::seconds kKeepSilent{120};
// Periods of the watermark: how far a stamp may be behind it, and how far the watermark must have gone beyond
// a leave's before that is forgotten.
inline constexpr std::uint64_t kValidPeriods = 6;
inline constexpr std::uint64_t kForgetPeriods = kValidPeriods + 3;
// A host's call is read so long after it was sent at most, or it isn't taken (system/pause_watch.hpp).
inline constexpr std::chrono::seconds kMostCallDelay{15};

enum class HostState : std::uint8_t { kReady, kDraining, kGone };

struct Entry {
  std::string id{}, service{}, address{}, zone{};  // all but id are empty if only its Leave was heard
  int slots = 1;
  HostState state = HostState::kReady;
  bool draining = false;       // what it said last, also while it is kGone
  bool left = false;           // deregistered: then kGone, for good
  bool silent = false;         // at `sequence`; never set while kGone
  std::uint64_t sequence = 0;  // the highest heard
  std::uint64_t said_at = 0;   // of the beat that said service, address, zone, slots, draining; <= sequence
  Time warm_at{};              // by this process's clock: when it is no longer slow from its start
  Time heard{};                // here, when `sequence` rose last
  Time since{};                // here, when it fell silent or went; else unused
  std::uint64_t stamp = 0;     // the watermark when it was known to be here; 0: not told (earlier versions)
  // Of a life that leaves: no claim that it is here bears a stamp more than one above this; 0: not known yet.
  std::uint64_t leave_watermark = 0;
  Time leaving_since{};  // here, when it was first known to leave; else unused

  bool gone() const { return state == HostState::kGone; }
  bool leaves() const { return draining || left; }  // it has said so, in either way
  enum DropRank { kGoneRank, kSilentRank, kHereRank, kLeavingRank };
  // Those that may be dropped for want of room come first: gone, silent; within one, the oldest. The rest
  // stays.
  std::pair<DropRank, Time> drop_order() const {
    if (leaves()) return {kLeavingRank, leaving_since};
    if (gone()) return {kGoneRank, since};
    return silent ? std::pair{kSilentRank, since} : std::pair{kHereRank, Time{}};
  }
};

// Something that others must know, or (kForgotten) that it is no longer listed.
struct Event {
  enum class Kind : std::uint8_t { kNew, kChanged, kForgotten };
  Kind kind = Kind::kNew;
  Entry entry{};  // as it is after it; with kForgotten, as it was
};

class Directory {
 public:
  // For tests of the tests: leaves are forgotten like those gone without a word, or claims are taken however
  // old they are.
  enum class Fault : std::uint8_t { kNone, kForgetsLeaves, kTakesOldClaims };
  explicit Directory(Fault fault = Fault::kNone) : fault_(fault) {}

  // Each of these tells whether something that others must know has changed: a new id, its state, service,
  // address, zone or slots, or silence said or ended. What has changed stands in the journal, also a life
  // whose address was taken over by that. False too if it was refused: full of hosts that are ready.
  bool Apply(Time now, const Beat& beat);
  bool Apply(Time now, const Leave& leave);
  bool Merge(Time now, const Entry& told);

  enum class Refreshed : std::uint8_t {
    kUnknown,  // nothing known of that id here: the whole entry is wanted
    kSame,
    kChanged  // it was silent, or gone without a word
  };
  // A told beat that said what the teller knew already: only the time heard and the sequence go on.
  Refreshed Refresh(Time now, const std::string& id, std::uint64_t sequence);

  // Marks those not heard for `after` as silent, and returns them. Only while this process may judge.
  std::vector<Entry> Silence(Time now, Duration after);

  // To be called now and then: silent for kKeepSilent is gone, gone for kKeepGone is forgotten, and a leave
  // kForgetPeriods after its watermark.
  void Forget(Time now);

  // The registry's watermark, which only rises. Entries whose stamps are too far behind it are dropped, but
  // for those that leave.
  void Raise(std::uint64_t watermark);
  std::uint64_t watermark() const { return watermark_; }
  // A majority has proved the list as of `proved`, and the watermark here is no lower than theirs: the leaves
  // that were known kMostCallDelay before get theirs.
  void ConfirmLeaves(Time proved);
  // A majority has proved the list as of a time when the watermark here was this: all that it says to be here
  // is as good as a beat read then.
  void ConfirmHosts(std::uint64_t watermark);
  // A leave that no claim can contradict any more, as each is too old.
  bool Forgettable(const Entry& entry) const;

  // Calls f(const Entry&) for those of a service that are not gone, silent ones too. f changes nothing here.
  template <class F>
  void ForEachOf(const std::string& service, F f) const {
    const auto& index = entries_.template get<ServiceTag>();
    auto [it, end] = index.equal_range(service);
    for (; it != end; ++it) {
      if (!it->gone()) f(*it);
    }
  }

  // Calls f(const Entry&) for all, gone ones included. f changes nothing here.
  template <class F>
  void ForEach(F f) const {
    for (const Entry& entry : entries_) f(entry);
  }

  // nullptr if it isn't known. Valid until the next change.
  const Entry* Find(const std::string& id) const;
  // Who has this address now; nullptr if nobody.
  const Entry* At(const std::string& address) const;
  // All, gone ones included, with the stamps that others may go by: the snapshot that belongs to version().
  std::vector<Entry> All() const;
  std::size_t size() const { return entries_.size(); }
  std::uint64_t refused() const { return refused_; }  // new ids, because of kMostEntries

  // Rises with each change; beats that change nothing leave it.
  std::uint64_t version() const { return journal_.last(); }
  const Journal<Event>& journal() const { return journal_; }

 private:
  struct IdTag {};
  struct AddressTag {};
  struct ServiceTag {};
  struct DropTag {};
  using Entries = boost::multi_index_container<
      Entry,
      boost::multi_index::indexed_by<
          boost::multi_index::hashed_unique<boost::multi_index::tag<IdTag>,
                                            boost::multi_index::member<Entry, std::string, &Entry::id>>,
          boost::multi_index::hashed_non_unique<
              boost::multi_index::tag<AddressTag>,
              boost::multi_index::member<Entry, std::string, &Entry::address>>,
          boost::multi_index::hashed_non_unique<
              boost::multi_index::tag<ServiceTag>,
              boost::multi_index::member<Entry, std::string, &Entry::service>>,
          boost::multi_index::ordered_non_unique<
              boost::multi_index::tag<DropTag>,
              boost::multi_index::const_mem_fun<Entry, std::pair<Entry::DropRank, Time>,
                                                &Entry::drop_order>>>>;
  using Place = Entries::iterator;

  bool Take(Time now, Entry told);
  bool TooOld(const Entry& entry, std::uint64_t stamp) const;
  bool MakeRoom(const Entry& incoming);
  void Drop(Place place);
  void SetGone(Time now, Place place);
  void ForgetLeaves(Time now);
  void Put(Place place, Entry next, bool changed);
  void Settle(Time now, const std::string& id);

  const Fault fault_;
  Entries entries_;
  Journal<Event> journal_{kMostEvents};
  std::uint64_t watermark_ = 1, confirmed_ = 0;  // the latter: no stamp counts as lower
  std::uint64_t refused_ = 0;
};

}  // namespace curlewdoor::directory
