// What the members of the core say to each other, and what each keeps on its disk.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "agreement/outcome_log.hpp"
#include "util/hash.hpp"

namespace curlewdoor::agreement {

constexpr std::size_t kMostMembers = 31;
constexpr std::size_t kMostText = 8u << 20;  // bytes of a value
constexpr std::size_t kMostName = 255;       // bytes of a node's name and of an address
constexpr std::size_t kMostAdded = 64;       // outcomes that one ballot adds

// A member's identity: its machine's name and the life of its disk, a random number made on an empty disk.
struct Life {
  std::string node;
  std::uint64_t disk = 0;
  auto operator<=>(const Life&) const = default;
};

struct Member {
  Life life;
  std::string address;  // "ip:port"; only compared here
  bool operator==(const Member&) const = default;
};

// The voters of an epoch.
struct Roster {
  std::uint64_t epoch = 0;  // 0: none yet
  std::vector<Member> members;
  std::uint32_t first_size = 0;  // members of epoch 1
  bool operator==(const Roster&) const = default;
};

// One attempt at a successor, or at the register; the tag is random, so that no two attempts share a ballot.
struct Ballot {
  std::uint64_t round = 0, tag = 0;
  auto operator<=>(const Ballot&) const = default;
};

// The number of a new life in memory: by the clock, and above each that is known of its name, as clocks step.
inline std::uint64_t NextLife(std::uint64_t by_clock, const std::string& node,
                              const std::vector<Life>& known) {
  std::uint64_t number = by_clock;
  for (const Life& each : known)
    if (each.node == node && each.disk >= number) number = each.disk + 1;
  return number;
}

// Names a record: the epoch and the ballot under which it was proposed. Two records of one stamp are equal.
// Epoch 0: a value from before there were ballots, in their order (LegacyStamp).
struct Stamp {
  std::uint64_t epoch = 0;
  Ballot ballot;
  auto operator<=>(const Stamp&) const = default;
};
inline Stamp LegacyStamp(const Value& value) {
  return value.version == 0 ? Stamp{} : Stamp{0, {value.version, StableHash(value.text)}};
}

struct Accepting {
  Ballot ballot;
  std::vector<Member> members;
  bool operator==(const Accepting&) const = default;
};

// All that a member has promised. Synced before anything is said that rests on it.
struct State {
  Roster roster;                      // the newest known; in force here when the own life is in it
  Ballot promised;                    // for the successor of `roster`
  std::optional<Accepting> accepted;  // ... and then the epoch is sealed here
  std::vector<Life> bound;            // epoch 0: proposers whose offers were taken
  Ballot register_promised;           // in the roster's epoch
  Stamp stamp;                        // of the record that was accepted last
  Value value;                        // the record
  Ledger ledger;
  bool operator==(const State&) const = default;
};

// Epoch 0: all of `members` are to take it; then epoch 1 starts.
struct Offer {
  std::vector<Member> members;
  bool operator==(const Offer&) const = default;
};
struct OfferTaken {
  bool taken = false;
  bool never = false;  // this one doesn't take part in a first start
  bool operator==(const OfferTaken&) const = default;
};

// The header's epoch has these voters and begins with this record. Also brings up who is behind.
struct InstallEpoch {
  std::vector<Member> members;
  std::uint32_t first_size = 0;
  Stamp stamp;
  std::optional<Record> record;  // none: the receiver has said that it holds the one of this stamp
  bool operator==(const InstallEpoch&) const = default;
};

// What the receiver holds, and whether it answers at all.
struct Query {
  Stamp committed;  // the newest that the sender knows to be chosen
  bool operator==(const Query&) const = default;
};
struct QueryReply {
  bool sealed = false;
  std::uint64_t installed = 0;  // epoch of the roster on the disk, synced
  Stamp held;                   // on the disk, synced
  Stamp committed;
  bool operator==(const QueryReply&) const = default;
};

// A whole record, by its stamp.
struct Fetch {
  Stamp stamp;
  bool operator==(const Fetch&) const = default;
};
struct Fetched {
  Stamp stamp;
  bool chosen = false;  // known to be chosen
  Record record;
  bool operator==(const Fetched&) const = default;
};

// The ballots of the register.
struct Prepare {
  Ballot ballot;
  bool operator==(const Prepare&) const = default;
};
struct Promised {
  bool ok = false;
  Ballot promised;  // here
  Stamp held;
  bool operator==(const Promised&) const = default;
};
struct Accept {
  Ballot ballot;
  Stamp base;                       // the record that this one changes
  std::vector<OrderOutcome> added;  // ... by these outcomes
  std::optional<Value> value;       // ... and this value, where it changes
  std::optional<Record> whole;      // all of it, to one that doesn't hold the base
  bool operator==(const Accept&) const = default;
};
struct Accepted {
  bool ok = false;
  bool needs_whole = false;  // the base isn't held here
  Ballot promised;
  bool operator==(const Accepted&) const = default;
};

// The ballots for an epoch's successor.
struct PrepareEpoch {
  Ballot ballot;
  bool operator==(const PrepareEpoch&) const = default;
};
struct EpochPromised {
  bool ok = false;
  Ballot ballot;  // the one promised here
  std::optional<Accepting> accepted;
  bool operator==(const EpochPromised&) const = default;
};
struct AcceptEpoch {
  Ballot ballot;
  std::vector<Member> members;
  bool operator==(const AcceptEpoch&) const = default;
};
struct EpochAccepted {
  bool ok = false;
  Ballot ballot;
  Stamp held;  // the epoch is sealed here with this record
  bool operator==(const EpochAccepted&) const = default;
};

using Body =
    std::variant<Offer, OfferTaken, InstallEpoch, Query, QueryReply, Fetch, Fetched, Prepare, Promised,
                 Accept, Accepted, PrepareEpoch, EpochPromised, AcceptEpoch, EpochAccepted>;

struct Message {
  Member from;
  std::uint64_t id = 0;  // a reply carries its request's
  std::uint64_t epoch = 0;
  Body body;
  bool operator==(const Message&) const = default;
};

}  // namespace curlewdoor::agreement
