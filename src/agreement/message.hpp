// What the members of the core say to each other, and what each keeps on its disk.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "util/hash.hpp"

namespace curlewdoor::agreement {

constexpr std::size_t kMostMembers = 31;
constexpr std::size_t kMostText = 8u << 20;  // bytes of a value
constexpr std::size_t kMostName = 255;       // bytes of a node's name and of an address

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

struct Roster {
  std::uint64_t epoch = 0;  // 0: none yet
  std::vector<Member> members;
  std::uint32_t first_size = 0;  // members of epoch 1
  bool operator==(const Roster&) const = default;
};

// The configuration. Version 0: none.
struct Value {
  std::uint64_t version = 0;
  std::string text;
  bool operator==(const Value&) const = default;
};

// The order of values: by version; two texts under one number are put in some order that all share.
struct Rank {
  std::uint64_t version = 0, hash = 0;
  auto operator<=>(const Rank&) const = default;
};
inline Rank RankOf(const Value& value) {
  return value.version == 0 ? Rank{} : Rank{value.version, StableHash(value.text)};
}

// One attempt at a successor; the tag is random, so that no two attempts share a ballot.
struct Ballot {
  std::uint64_t round = 0, tag = 0;
  auto operator<=>(const Ballot&) const = default;
};

struct Accepting {
  Ballot ballot;
  std::vector<Member> members;
  bool operator==(const Accepting&) const = default;
};

// All that a member has promised. Synced before anything is said that rests on it.
struct State {
  Roster roster;                      // the newest known; in force here when the own life is in it
  Value value;                        // the highest seen
  Ballot promised;                    // for the successor of `roster`
  std::optional<Accepting> accepted;  // ... and then the epoch is sealed here
  std::vector<Life> bound;            // epoch 0: proposers whose offers were taken
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
// The header's epoch has this roster. Also brings up who is behind.
struct Start {
  std::vector<Member> members;
  std::uint32_t first_size = 0;
  Value value;
  bool operator==(const Start&) const = default;
};
struct Store {
  Value value;
  bool operator==(const Store&) const = default;
};
struct Stored {
  bool taken = false;  // false: sealed
  Rank held;
  bool operator==(const Stored&) const = default;
};
struct Ask {
  Rank above;      // the value is told when it is above this
  Rank committed;  // the highest that the sender knows to be committed
  bool operator==(const Ask&) const = default;
};
struct Told {
  bool sealed = false;
  Rank kept;  // on the disk, synced
  Rank committed;
  std::optional<Value> value;
  bool operator==(const Told&) const = default;
};
struct Prepare {
  Ballot ballot;
  bool operator==(const Prepare&) const = default;
};
struct Promised {
  bool ok = false;
  Ballot ballot;  // the one promised here
  std::optional<Accepting> accepted;
  bool operator==(const Promised&) const = default;
};
struct Accept {
  Ballot ballot;
  std::vector<Member> members;
  Rank above;
  bool operator==(const Accept&) const = default;
};
struct Accepted {
  bool ok = false;
  Ballot ballot;
  std::optional<Value> value;  // the held one, when it is above what was asked
  bool operator==(const Accepted&) const = default;
};
using Body =
    std::variant<Offer, OfferTaken, Start, Store, Stored, Ask, Told, Prepare, Promised, Accept, Accepted>;

struct Message {
  Member from;
  std::uint64_t id = 0;  // a reply carries its request's
  std::uint64_t epoch = 0;
  Body body;
  bool operator==(const Message&) const = default;
};

}  // namespace curlewdoor::agreement
