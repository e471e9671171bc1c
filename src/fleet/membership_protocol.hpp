// One gateway's view of its fleet, as a state machine: messages and time go in, messages and changes come
// out. Implements SWIM with the Lifeguard extensions (Dadgar, Phillips, Currey, 2018): each period a random
// member is pinged, other members ping it indirectly before it is suspected, a suspect has time to refute
// that shrinks with each independent confirmation, and a gateway that is itself slow waits longer before it
// suspects others. Pure: the daemon, the simulation in virtual time and the fuzzer run the same code.
// docs/fleet-view.md describes the design and derives the bounds.
//
// The view only tells which members are probably alive and may be wrong at any moment. No safety property may
// rest on it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/member.hpp"
#include "fleet/message.hpp"

namespace curlewdoor::fleet {

// Configuration of one member.
struct MembershipOptions {
  std::string fleet;  // name of the fleet: 1 to kMaxNameBytes bytes
  std::string name;   // name of this gateway, unique within the fleet: 1 to kMaxNameBytes bytes
  // Identifies this start of the process. Should exceed the values of earlier starts; if it does not, because
  // a clock was set back, a higher value is learnt from other members.
  std::uint64_t boot = 1;
  Address address;             // where others reach this gateway
  std::string metadata;        // at most kMaxMetadataBytes bytes
  std::vector<Address> seeds;  // contacted at the start, and again while no present member has that address
  Duration probe_period = std::chrono::milliseconds(500);  // 20 ms to 60 s
  // Contact seeds that are missing from the view soon after joining, then at growing intervals. Where all
  // gateways start at once, those that joined through different seeds form separate groups until one of them
  // contacts a seed of another group.
  bool seek_missing_seeds = false;
  bool lifeguard = true;  // false: plain SWIM, the baseline of the measurements
};

// A message to be sent to an address.
struct OutgoingMessage {
  Address to;
  GossipMessage message;
};

// Changes for the user of the protocol, in the order in which they happened.
struct MembershipChange {
  enum class Kind : std::uint8_t {
    kMemberChanged,
    kSettled,
    kRejected,
    kStalled
  } kind = Kind::kMemberChanged;
  MemberRecord member;  // kMemberChanged: the new state
  bool is_new = false;  // kMemberChanged: first seen, or a new boot
  std::string text;     // for kRejected and kStalled
};

// Message of another subsystem, received from a member.
struct ReceivedPayload {
  std::string from;
  std::uint64_t boot = 0;
  std::uint8_t channel = 0;
  std::string bytes;
};

// Results of a call: messages to send, changes and payloads to deliver.
struct ProtocolOutput {
  std::vector<OutgoingMessage> datagrams;  // at most kMaxDatagramBytes bytes each
  std::vector<OutgoingMessage> exchanges;  // to be sent by TCP; the reply is passed to OnMessage()
  std::vector<MembershipChange> changes;
  std::vector<ReceivedPayload> payloads;
};

// A member as seen by this gateway.
struct Member {
  MemberRecord record;
  Time state_since;  // when the state last changed, on the clock of this gateway
};

// State machine for the membership of one gateway.
class MembershipProtocol {
 public:
  MembershipProtocol(MembershipOptions options, std::uint64_t seed);

  // Continues as the same member after an upgrade. `records`: result of ExportState() of the previous
  // process, its own record first.
  void ImportState(Time now, const std::vector<MemberRecord>& records);
  void Start(Time now, ProtocolOutput& out);
  // Replaces the seeds; the new ones are contacted soon.
  void SetSeeds(Time now, std::vector<Address> seeds);

  // Must be called at NextDue(); may be called at any other time. A call that is much too late is taken as
  // evidence that this process was stopped.
  void Tick(Time now, ProtocolOutput& out);
  std::optional<Time> NextDue() const;

  void OnMessage(Time now, const GossipMessage& message, ProtocolOutput& out);
  // The exchange with this address failed.
  void OnExchangeFailed(Time now, const Address& with, ProtocolOutput& out);

  // Announces that this gateway leaves, which is the final state of this boot.
  void Leave(Time now, ProtocolOutput& out);
  // Stops sending and returns the state for the process that takes over, own record first.
  std::vector<MemberRecord> ExportState();
  // The process that was to take over died: resumes sending.
  void Resume(Time now);

  // The full state, for the other side of an exchange.
  GossipMessage FullState(MessageKind kind) const;

  // ---- The view ----
  const MemberRecord& self() const { return self_; }
  const std::map<std::string, Member>& others() const { return members_; }
  std::uint64_t version() const { return version_; }  // increases with each change
  std::size_t alive() const;                          // present members, including this gateway
  std::size_t suspects() const { return suspicions_.size(); }
  std::size_t rumours() const { return rumours_.size(); }  // rumours that are still being sent
  bool settled() const { return settled_; }
  bool joined() const { return joined_; }
  bool left() const { return self_.state == MemberState::kLeft; }
  // Why this gateway stays outside the fleet; empty: it does not.
  const std::string& rejection() const { return rejection_; }
  int health() const { return health_; }  // local health penalty: 0 (healthy) to 8
  // Whether more than half of a fleet of `configured` gateways is present. Never relative to the gateways
  // that happen to be in the view.
  bool HasQuorum(std::size_t configured) const { return 2 * alive() > configured; }
  // Equal for all gateways whose views hold the same members and boots; for operators and tests.
  std::uint64_t Fingerprint() const;
  // Number of failed attempts to contact a seed before joining, for operators.
  int failed_joins() const { return failed_joins_; }

  // Sends a message of another subsystem; the datagram carries rumours too.
  void SendPayload(const std::string& name, std::uint8_t channel, std::string payload, ProtocolOutput& out);

 private:
  struct Probe {
    std::string name;
    std::uint32_t sequence = 0;
    Time indirect_due{};
    bool acked = false, indirect_sent = false;
    int helpers = 0, nacks = 0;
  };
  struct Suspicion {
    Time began, ends;
    std::set<std::string> confirmed_by;  // independent reporters, the first one included
    int pings = 0;                       // pings sent to the suspect since the suspicion began
  };
  struct Rumour {
    MemberRecord record;
    int sent = 0;
    std::uint64_t order = 0;
  };
  struct RelayedPing {  // ping on behalf of another member
    Address requester;
    std::uint32_t sequence = 0;
    std::string target;
    Time nack_at, ends;
    bool nacked = false;
  };
  bool muted() const { return !rejection_.empty() || exported_; }
  bool IsPresent(std::string_view name) const;
  Duration Scaled(Duration of) const { return of * (1 + health_); }
  Duration CurrentPeriod() const { return Scaled(options_.probe_period); }
  void RaiseHealthPenalty(int by);
  void LowerHealthPenalty();
  std::uint64_t RandomBelow(std::uint64_t bound);
  bool RandomChance(double part);
  Duration Jittered(Duration of);  // 0.75 to 1.25 times the value

  void DetectStall(Time now, ProtocolOutput& out);  // whether this process was stopped for a while
  void BeginPeriod(Time now, ProtocolOutput& out);
  std::optional<std::string> NextToProbe();
  void NewProbeRound();
  void StartProbe(Time now, const std::string& name, ProtocolOutput& out);
  void EndProbe(Time now, ProtocolOutput& out);
  void SendPingRequests(ProtocolOutput& out);
  void PingDeadMember(Time now, ProtocolOutput& out);
  void SendGossip(ProtocolOutput& out);
  void TryJoin(Time now, ProtocolOutput& out);
  void CompleteJoin(Time now, ProtocolOutput& out);
  void StartExchange(const Address& with, ProtocolOutput& out);
  void CheckSettled(Time now, ProtocolOutput& out);

  void MergeRecord(Time now, MemberRecord update, ProtocolOutput& out);
  void MergeOwnRecord(Time now, const MemberRecord& update, ProtocolOutput& out);
  void MergeSenderRecord(Time now, const MemberRecord& sender, ProtocolOutput& out);
  void CompareFingerprints(Time now, const GossipMessage& message, ProtocolOutput& out);
  void ApplyRecord(Time now, const MemberRecord& update, ProtocolOutput& out);
  void Suspect(Time now, const std::string& name, const std::string& by, ProtocolOutput& out);
  void StartSuspicion(Time now, const MemberRecord& update);
  void ConfirmSuspicion(const MemberRecord& update);
  double FewMembersChance() const;
  void ShortenSuspicion(Time now, const std::string& name);
  Duration SuspicionTimeout(std::size_t confirmations) const;
  void PingSuspects(Time now, ProtocolOutput& out);
  std::optional<Time> NextSuspectPing(const Suspicion& suspicion) const;
  void ExpireSuspicions(Time now, ProtocolOutput& out);
  void PurgeAbsent(Time now);
  bool MakeRoom();
  void AnnounceSelf();  // queues the record of this gateway as a rumour
  void Reject(Time now, const MemberRecord& name_holder, ProtocolOutput& out);
  void NoteChange(Time now, const MemberRecord& record, bool is_new, ProtocolOutput& out);

  void QueueRumour(const MemberRecord& record);
  void DropRumour(const std::string& name);
  void AttachRumours(GossipMessage& message, std::string_view receiver);
  void Send(const Address& to, std::string_view receiver, GossipMessage message, ProtocolOutput& out);
  int RumourLimit() const;
  // Returns the sequence that the answer will carry.
  std::uint32_t Ping(const Address& to, const std::string& target, ProtocolOutput& out);
  std::vector<std::string> RandomPresent(std::size_t count, std::string_view except);

  MembershipOptions options_;
  std::mt19937_64 random_;
  MemberRecord self_;
  std::map<std::string, Member> members_;
  std::size_t present_ = 0;                // members that are alive or suspect
  std::uint64_t members_fingerprint_ = 0;  // their part of the fingerprint
  std::uint64_t version_ = 1;
  std::map<std::string, Suspicion> suspicions_;
  std::map<std::string, Rumour> rumours_;
  std::set<std::pair<std::pair<int, std::uint64_t>, std::string>> rumours_by_sent_;  // least sent first
  std::uint64_t next_order_ = 0;
  std::vector<std::string> probe_round_;  // members to ping in this round, in random order
  std::size_t probe_index_ = 0;
  std::vector<std::string> urgent_probes_;  // to be pinged next, out of turn
  std::optional<Probe> probe_;
  std::map<std::uint32_t, RelayedPing> relayed_pings_;
  std::uint32_t next_sequence_ = 1;
  int health_ = 0;
  bool started_ = false, joined_ = false, settled_ = false, exported_ = false;
  // This process was stopped recently and suspects nobody until a ping has been answered.
  bool recovering_ = false;
  Time recovering_until_;
  // Another gateway uses this name: how long to wait for its answer.
  std::optional<Time> name_conflict_until_;
  std::string rejection_;
  Time period_due_, gossip_due_, join_due_, exchange_due_, next_compare_exchange_, changed_at_, due_before_;
  // When another process that uses this name may be notified again.
  Time name_taken_due_;
  int join_backoff_ = 0, failed_joins_ = 0;
  std::size_t next_seed_ = 0;
};

}  // namespace curlewdoor::fleet
