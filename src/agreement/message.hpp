// The messages between members of the core, and the state that each keeps on its disk.
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

constexpr std::size_t kMaxMembers = 31;
constexpr std::size_t kMaxTextBytes = 8u << 20;  // of a value
constexpr std::size_t kMaxNameBytes = 255;       // of a node's name and of an address
constexpr std::size_t kMaxOutcomesPerBallot = 64;

// The identity of a member: the name of its machine, and a random number drawn when its disk was empty. A
// machine with a wiped disk is another incarnation.
struct Incarnation {
  std::string node;
  std::uint64_t number = 0;
  auto operator<=>(const Incarnation&) const = default;
};

// An incarnation and where it is reached.
struct Member {
  Incarnation incarnation;
  std::string address;  // "ip:port"; only compared here
  bool operator==(const Member&) const = default;
};

// The voters of an epoch.
struct Membership {
  std::uint64_t epoch = 0;  // 0: none yet
  std::vector<Member> members;
  std::uint32_t initial_size = 0;  // number of members of epoch 1
  bool operator==(const Membership&) const = default;
};

// Identifies one attempt at choosing a successor epoch or a record. The tag is random, so no two attempts
// share a ballot.
struct Ballot {
  std::uint64_t round = 0, tag = 0;
  auto operator<=>(const Ballot&) const = default;
};

// The number of a new incarnation without a disk: taken from the clock, but above every known number of this
// node, because clocks may be set back.
inline std::uint64_t NextIncarnationNumber(std::uint64_t by_clock, const std::string& node,
                                           const std::vector<Incarnation>& known) {
  std::uint64_t number = by_clock;
  for (const Incarnation& each : known)
    if (each.node == node && each.number >= number) number = each.number + 1;
  return number;
}

// Identifies a record by the epoch and the ballot under which it was proposed. Two records with the same
// stamp are equal. Epoch 0: a value from the format without ballots, ordered by LegacyStamp.
struct Stamp {
  std::uint64_t epoch = 0;
  Ballot ballot;
  auto operator<=>(const Stamp&) const = default;
};
inline Stamp LegacyStamp(const ConfigValue& value) {
  return value.version == 0 ? Stamp{} : Stamp{0, {value.version, StableHash(value.text)}};
}

// A proposed list of members and the ballot under which an acceptor accepted it.
struct AcceptedProposal {
  Ballot ballot;
  std::vector<Member> members;
  bool operator==(const AcceptedProposal&) const = default;
};

// All that a member has promised and accepted. Synced before any reply that depends on it.
struct CoreState {
  Membership membership;  // the newest known; in force here if it contains this incarnation
  Ballot promised;        // for the successor of `membership`
  std::optional<AcceptedProposal> accepted;     // ... once set, the epoch is sealed here
  std::vector<Incarnation> accepted_proposers;  // epoch 0: proposers of the offers accepted here
  Ballot register_promised;                     // in the epoch of `membership`
  Stamp stamp;                                  // of the record accepted last
  ConfigValue value;                            // the record: its value and its outcomes
  OutcomeLog outcome_log;
  bool operator==(const CoreState&) const = default;
};

// Epoch 0: epoch 1 starts once all of `members` have accepted this offer.
struct MembershipOffer {
  std::vector<Member> members;
  bool operator==(const MembershipOffer&) const = default;
};
struct MembershipOfferReply {
  bool offer_accepted = false;
  bool never_participates = false;  // the sender takes no part in a first start
  bool operator==(const MembershipOfferReply&) const = default;
};

// Installs the epoch of the message header: its voters, and the record that it begins with. Also sent to a
// process that is behind, so that it catches up.
struct InstallEpoch {
  std::vector<Member> members;
  std::uint32_t initial_size = 0;
  Stamp stamp;
  std::optional<Record> record;  // none: the receiver has reported that it holds the record of this stamp
  bool operator==(const InstallEpoch&) const = default;
};

// Asks what the receiver holds; also serves as the ping.
struct StatusQuery {
  Stamp committed;  // the newest that the sender knows to be chosen
  bool operator==(const StatusQuery&) const = default;
};
struct StatusReply {
  bool sealed = false;
  std::uint64_t installed_epoch = 0;  // of the membership that is synced to disk
  Stamp held;                         // of the record that is synced to disk
  Stamp committed;
  bool operator==(const StatusReply&) const = default;
};

// Asks for a whole record, by its stamp.
struct RecordRequest {
  Stamp stamp;
  bool operator==(const RecordRequest&) const = default;
};
struct RecordReply {
  Stamp stamp;
  bool chosen = false;  // the sender knows that it is chosen
  Record record;
  bool operator==(const RecordReply&) const = default;
};

// Phase 1 of a register ballot.
struct RegisterPrepare {
  Ballot ballot;
  bool operator==(const RegisterPrepare&) const = default;
};
struct RegisterPromise {
  bool ok = false;
  Ballot promised;  // the highest ballot promised by the sender
  Stamp held;
  bool operator==(const RegisterPromise&) const = default;
};
// Phase 2 of a register ballot: the new record as a change of its base record.
struct RegisterAccept {
  Ballot ballot;
  Stamp base;                              // the record that is changed
  std::vector<PutOutcome> added_outcomes;  // ... by appending these outcomes
  std::optional<ConfigValue> value;        // ... and replacing the value, if it changes
  std::optional<Record> snapshot;          // the whole record, for a member that doesn't hold the base
  bool operator==(const RegisterAccept&) const = default;
};
struct RegisterAccepted {
  bool ok = false;
  bool needs_snapshot = false;  // the sender doesn't hold the base
  Ballot promised;
  bool operator==(const RegisterAccepted&) const = default;
};

// Phase 1 of a ballot for the successor of an epoch.
struct EpochPrepare {
  Ballot ballot;
  bool operator==(const EpochPrepare&) const = default;
};
struct EpochPromise {
  bool ok = false;
  Ballot ballot;  // the highest ballot promised by the sender
  std::optional<AcceptedProposal> accepted;
  bool operator==(const EpochPromise&) const = default;
};
// Phase 2 of a ballot for the successor of an epoch.
struct EpochAccept {
  Ballot ballot;
  std::vector<Member> members;
  bool operator==(const EpochAccept&) const = default;
};
struct EpochAccepted {
  bool ok = false;
  Ballot ballot;
  Stamp held;  // the sender has sealed the epoch with this record
  bool operator==(const EpochAccepted&) const = default;
};

using CoreMessageBody =
    std::variant<MembershipOffer, MembershipOfferReply, InstallEpoch, StatusQuery, StatusReply, RecordRequest,
                 RecordReply, RegisterPrepare, RegisterPromise, RegisterAccept, RegisterAccepted,
                 EpochPrepare, EpochPromise, EpochAccept, EpochAccepted>;

// A message between two processes of the core.
struct CoreMessage {
  Member from;
  std::uint64_t id = 0;  // a reply carries the id of its request
  std::uint64_t epoch = 0;
  CoreMessageBody body;
  bool operator==(const CoreMessage&) const = default;
};

}  // namespace curlewdoor::agreement
