// The core of the control plane: a replicated register that keeps the configuration in force and the outcomes
// of recent puts (the record), held by a majority of the voters of the current epoch. Pure logic: messages,
// views, time and storage completions go in; messages, writes and call results come out.
//
// Inside an epoch the record is a register decided by ballots (CASPaxos). A proposer picks a fresh ballot,
// learns from a majority which records they hold, takes the record with the highest ballot, applies the
// pending puts to it in order, and has a majority accept the result. The record is then chosen, and only then
// are the puts answered.
//
// Why no chosen record is lost and no version number ever belongs to two contents:
// (1) Inside an epoch any two majorities share a member. Its promise keeps lower ballots out, and it reports
//     what it accepted to higher ones. A record proposed after another was chosen is therefore derived from
//     it and contains its outcomes, so a version that was decided is found there.
// (2) A member seals epoch e when it accepts a successor (Paxos among the voters of e), and from then on
//     promises and accepts nothing in the register of e. The successor is chosen once a majority S has
//     sealed. A majority M that chose a record shares a member with S. That member accepted the record before
//     it sealed and reports its highest record when it seals; the highest record reported by S was proposed
//     under the same ballot or a higher one. So every InstallEpoch of e+1, from whichever proposer, contains
//     what was chosen, and a member enters e+1 only through an InstallEpoch. Members may enter e+1 with
//     different records, so none of those counts as chosen before a ballot of e+1 has chosen one.
// (3) A read in e needs a majority of unsealed members. Once e+1 can choose anything, S exists and no such
//     majority does.
// (4) Votes are counted by incarnation: a wiped disk is a new incarnation, which is not a voter of any epoch
//     until a successor makes it one.
// (5) Replies are held back until the disk has synced what they state.
// Views only decide when something is proposed. docs/control.md explains this at length.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "agreement/message.hpp"
#include "agreement/placement.hpp"

namespace curlewdoor::agreement {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Timeouts, limits and modes of a Core.
struct CoreOptions {
  Duration call_timeout = std::chrono::milliseconds(800);     // of a Put or Get
  Duration resend_interval = std::chrono::milliseconds(150);  // for requests without a reply
  Duration ping_interval = std::chrono::milliseconds(250);  // between members; others wait four times as long
  Duration response_window = std::chrono::milliseconds(1000);  // how recent a reply must be for majority()
  // A member that has been dead for so long is replaced or removed.
  Duration replace_dead_after = std::chrono::milliseconds(2500);
  Duration grow_after = std::chrono::milliseconds(3000);  // a spare must be present for so long to be added
  Duration view_settle_time = std::chrono::milliseconds(1200);  // the first view must be stable for this long
  // How long the first epoch waits for min_members machines to appear in the view; then fewer will do.
  Duration undersized_start_after = std::chrono::seconds(15);
  // How long an undersized first epoch also waits for a majority of the seeds; see OnSeedMajorityVisible().
  Duration seedless_start_after = std::chrono::seconds(60);
  std::size_t min_members = 1;  // of the first epoch; should be 2f+1
  // An accepted offer lapses once its proposer has not been seen for this long.
  Duration offer_release_after = std::chrono::seconds(10);
  Duration forget_timeout = std::chrono::seconds(5);             // validity of a request to forget a member
  Duration read_retry_interval = std::chrono::milliseconds(40);  // after a read that met a ballot in progress
  int max_read_rounds = 2;  // ... after so many, the read starts its own ballot
  Duration ballot_backoff = std::chrono::milliseconds(10);  // after a refused ballot; doubled and randomized
  // How many zones or regions may fail at once with a majority left, wherever the machines allow it.
  FaultTolerance wanted_tolerance{};
  // Members without disks: a higher incarnation number of a machine proves that the earlier incarnation and
  // all its state are gone. The remaining members then suffice, even if they are fewer than a majority
  // (IsQuorum).
  bool volatile_members = false;
  // The next membership change waits until the members named by SetCompleteMembers() form a quorum.
  bool wait_for_complete = false;
  // Deliberate bugs that the tests must detect.
  enum class Fault : std::uint8_t {
    kNone,
    kAckBeforeSync,
    kIgnoreIncarnation,
    kAcceptWhileSealed,
    kEpochWithoutQuorum,  // chooses a successor with the proposer's own vote
    kMajorityOfVisible,   // counts only the voters that the view shows
    kReadWithoutQuorum,
    kPromiseNotPersisted,    // does not write a promise to disk
    kConfirmConflictingPut,  // confirms a second content for a version in use
    kSnapshotWithoutOutcomes,
    kProposeFromLocalRecord,  // applies puts to the proposer's own record
    kChangeBeforeInstall,     // starts the next change before a majority has this epoch on disk
    kChangeBeforeComplete,    // ... or before a quorum is complete in it (wait_for_complete)
    kLeaveBeforeHandover
  } fault = Fault::kNone;
};

// A machine that is eligible as a voter (it has a disk), as shown by the fleet view.
struct ObservedMachine {
  Member member;
  bool alive = false;
  Location location{};
};

// How a Put or Get ended.
enum class CallOutcome : std::uint8_t {
  kInForce,     // Put: this content is in force. Get: `value` is the newest
  kSuperseded,  // Put: confirmed, but `value`, with a higher version, is in force; this put changes nothing
                // now
  kConflict,    // Put: the version permanently belongs to another content; `value` is in force
  kUncertain,   // Put: it may take effect now, later or never; repeating the same put finds out
  kNoMajority,  // no majority replied and nothing was done, or this process is not a member
  kFailed,      // nothing was done: too many calls at once, or the value is too large
};

// The result of one Put or Get.
struct CallResult {
  std::uint64_t call = 0;
  CallOutcome outcome = CallOutcome::kFailed;
  ConfigValue value;  // in force
  Digest digest;      // of its text
};

// The result of an operator's request to remove a member.
enum class ForgetResult : std::uint8_t {
  kProposed,    // a successor without it is being proposed, for forget_timeout at most
  kNoMember,    // no member has that name
  kNoMajority,  // this process is not a member, has no majority, or another change is in progress
  kItself,      // the request must go to another member
  kAlive,       // the member responds, or the view shows it
  kTooFew       // not forced: another member is unresponsive, or too few would remain
};

// The redundancy of the core, as reported to operators.
struct CoreStatus {
  struct Voter {
    Member member;
    bool responsive = false;  // replied recently
    bool caught_up = false;   // has this epoch and the newest chosen record on disk, and is complete
  };
  std::uint64_t epoch = 0;
  std::vector<Voter> voters;
  // Caught-up voters that may still be lost with all guarantees kept; below 0: there is no majority.
  int further_losses = 0;
  FaultTolerance tolerance{};  // of this membership
  FaultTolerance wanted{};
};

// A message and its receiver.
struct OutgoingMessage {
  Member to;
  CoreMessage message;
};

// Records to be stored and synced atomically.
struct StorageWrite {
  std::uint64_t id = 0;
  std::vector<std::pair<std::string, std::string>> records;  // key, bytes
};

// What the caller must carry out after an input. The core only appends, and only sets flags.
struct CoreOutput {
  std::vector<OutgoingMessage> sends;
  std::vector<StorageWrite> writes;  // one at a time: the next one comes after OnWritten()
  std::vector<CallResult> results;
  bool committed_changed = false, membership_changed = false;
  std::vector<std::string> log_messages;
};

// One process's part in the agreement: proposer, acceptor and learner.
class Core {
 public:
  // `from_disk` is what the disk of `self.incarnation` held (DecodeState), empty for a new disk. `seed` must
  // be random and differ between processes.
  Core(Member self, bool bootstrap, CoreState from_disk, CoreOptions options, std::uint64_t seed);

  // All eligible machines in the current view; this one may be among them.
  void OnView(Time now, const std::vector<ObservedMachine>& view, CoreOutput& out);
  // Whether the view shows more than half of the seeds. All processes have the same seeds at the first
  // start, so at most one side of a partition sees a majority of them, and only that side starts a core
  // while there may be a partition.
  void OnSeedMajorityVisible(bool seen) { seed_majority_visible_ = seen; }
  // Names the members of `epoch` that have synced all other state that is carried from epoch to epoch (the
  // service registry). Ignored if `epoch` is not the current one.
  void SetCompleteMembers(std::uint64_t epoch, std::vector<Incarnation> members);
  // Starts epoch 1 with these voters, which were decided outside and are the same at all processes. Ignored
  // if an epoch is already known.
  void BeginFirstEpoch(Time now, std::vector<Member> members, CoreOutput& out);
  void OnMessage(Time now, const CoreMessage& message, CoreOutput& out);
  // The disk has synced this write, or has failed it; a failed write is retried.
  void OnWritten(Time now, std::uint64_t write, bool ok, CoreOutput& out);
  // Call about every 50 ms.
  void Tick(Time now, CoreOutput& out);

  // Put and Get each end in one CallResult with this call number, immediately or within call_timeout (from
  // Tick). At most kMaxCalls may be in progress.
  static constexpr std::size_t kMaxCalls = 64;
  void Put(Time now, std::uint64_t call, ConfigValue value, CoreOutput& out);
  void Get(Time now, std::uint64_t call, CoreOutput& out);

  // An operator states that the member of this name is permanently lost: proposes a successor without it and
  // without a replacement. As for every successor, a majority of the current voters must accept it, whatever
  // `forced` says; `forced` only allows fewer than `min_members` voters, or another unresponsive one.
  ForgetResult Forget(Time now, const std::string& node, bool forced, CoreOutput& out);

  const Membership& membership() const { return state_.membership; }  // the newest known
  // The highest record known to be chosen; never goes back.
  const ConfigValue& committed() const { return committed_->value; }
  const Record& committed_record() const { return *committed_; }
  const Stamp& committed_stamp() const { return committed_stamp_; }
  bool member() const { return MemberIndex(self_.incarnation) >= 0; }  // a voter of the current epoch
  bool learned() const { return learned_; }  // committed() was confirmed by a majority of this epoch
  // A majority of the voters, including this one, has replied to a ping within response_window. False on
  // processes that are not members.
  bool majority(Time now) const;
  const Member& self() const { return self_; }
  bool sealed() const { return state_.accepted.has_value(); }
  // A leaving member may stop: every other responsive voter has the newest chosen record on disk, and enough
  // of them do for the remaining voters to tolerate what the core tolerates.
  bool HandedOver(Time now) const;
  // This member is going to stop, permanently or not. It votes until the others have almost all that it
  // holds, and then takes part in no further ballots, so that HandedOver() soon holds.
  void Leave() { leaving_ = true; }
  CoreStatus Status(Time now) const;
  std::uint64_t ballots_refused() const { return ballots_refused_; }  // own ballots, for a competing one
  std::uint64_t dropped() const { return dropped_; }  // messages from unknown senders, and unusable ones

 private:
  friend struct CoreProbe;  // tests/agreement/model_check_test.cpp
  using RecordPtr = std::shared_ptr<const Record>;

  enum class Phase : std::uint8_t { kQuery, kFetch, kBallot };
  // A Put, a Get, or an internal read that learns what is chosen.
  struct Call {
    std::uint64_t call = 0, key = 0, request = 0;
    bool internal = false, put = false;
    Phase phase = Phase::kQuery;
    ConfigValue put_value;
    Digest digest;  // of the text of put_value
    Time deadline{}, next_send_at{};
    std::uint32_t votes = 0;
    std::map<int, Stamp> reported;
    int rounds = 0;
    Stamp target;  // kFetch: the chosen record that is being fetched
  };
  // The register ballot that this process has in progress.
  struct BallotAttempt {
    Ballot ballot;
    std::uint64_t request = 0;
    Phase phase = Phase::kQuery;  // kQuery: prepare; kFetch: fetch the base record; kBallot: accept
    std::uint32_t votes = 0;
    Stamp best;
    std::optional<Member> best_from;
    RecordPtr base_record, next_record;
    std::vector<PutOutcome> added_outcomes;
    std::vector<std::uint64_t> reads;                              // calls that began before it
    std::vector<std::pair<std::uint64_t, PutDecision>> decisions;  // by call
    Time deadline{}, resend_at{};
  };
  // The proposal of a successor epoch that this process has in progress.
  struct EpochProposal {
    Ballot ballot;
    std::uint64_t request = 0;
    bool accepting = false, fetching = false;
    std::vector<Member> members;
    std::optional<AcceptedProposal> best;
    Stamp held;  // the highest reported
    std::optional<Member> held_by;
    std::uint32_t votes = 0;
    Time deadline{}, next_send_at{};
  };
  // The offer of a first epoch that this process has in progress.
  struct PendingOffer {
    std::uint64_t request = 0;
    std::vector<Member> members;
    std::uint32_t votes = 0;
    Time deadline{}, next_send_at{};
  };
  // When messages were last exchanged with a machine; `*_sent_at` limits the rate of replies to it.
  struct Peer {
    Time last_heard{}, last_answered{}, install_sent_at{}, status_sent_at{}, record_sent_at{},
        record_requested_at{};
    std::uint64_t epoch = 0;
    bool install_without_record = false;
  };
  // What a machine has reported to have on disk.
  struct ReportedRecord {
    std::uint64_t epoch = 0;
    Stamp stamp;
  };
  // A machine in the view, and since when its state is unchanged.
  struct ObservedPeer {
    Member member;
    bool alive = false;
    Time since{};
    Location location{};
  };

  // Sending and storage (core.cpp).
  void InitLegacyRecord();
  void Send(const Member& to, std::uint64_t id, CoreMessageBody body, CoreOutput& out);
  void SendAll(std::uint64_t id, const CoreMessageBody& body, CoreOutput& out);
  void Reply(const CoreMessage& to, CoreMessageBody body,
             CoreOutput& out);  // once the current state is synced
  void SendSynced(const Member& to, std::uint64_t id, CoreMessageBody body, CoreOutput& out);
  void SendSyncedReplies(CoreOutput& out);
  void MarkStateChanged() { ++state_version_; }
  void ProcessPending(Time now, CoreOutput& out);
  void StartWrite(CoreOutput& out);
  void SampleCommitted(Time now);
  void SetHeldRecord(RecordPtr record, const Stamp& stamp, std::uint64_t unchanged_below, bool value_changed);

  // Messages (core.cpp).
  void HandleMessage(Time now, const CoreMessage& m, CoreOutput& out);
  bool HandlePeerMessage(Time now, const CoreMessage& m, CoreOutput& out);
  void HandleVoterMessage(Time now, const CoreMessage& m, CoreOutput& out);
  void Ping(Time now, CoreOutput& out);
  StatusReply MakeStatusReply() const;
  void AnnounceInstalledEpoch(CoreOutput& out);

  // Snapshots: a whole record, or an epoch with one (snapshots.cpp).
  void SendInstallEpoch(Time now, const Member& to, CoreOutput& out);
  void OnInstallEpoch(Time now, const CoreMessage& m, const InstallEpoch& install, CoreOutput& out);
  void OnRecordRequest(Time now, const CoreMessage& m, const RecordRequest& fetch, CoreOutput& out);
  void OnRecordReply(Time now, const CoreMessage& m, const RecordReply& fetched, CoreOutput& out);
  void OnCommittedReport(Time now, const Member& from, const Stamp& committed, CoreOutput& out);
  void Commit(RecordPtr record, const Stamp& stamp, CoreOutput& out);
  void ReplaceHeldRecord(RecordPtr record, const Stamp& stamp);
  RecordPtr Snapshot(RecordPtr record) const;

  // Calls and reads (calls.cpp).
  void TickCalls(Time now, CoreOutput& out);
  void StartCall(Time now, Call call, CoreOutput& out);
  void RestartCall(Time now, Call& call, CoreOutput& out);
  void SendStatusQuery(Time now, Call& call, CoreOutput& out);
  void SendRecordRequest(Time now, Call& call, CoreOutput& out);
  void OnStatusQuery(Time now, const CoreMessage& m, const StatusQuery& query, CoreOutput& out);
  void OnStatusReply(Time now, const CoreMessage& m, const StatusReply& reply, CoreOutput& out);
  void EvaluateStatusReplies(Time now, Call& call, CoreOutput& out);
  void ResolveCall(Time now, std::uint64_t key, CoreOutput& out);
  void AnswerPut(std::uint64_t key, PutDecision decision, CoreOutput& out);
  void FinishCall(std::uint64_t key, CallOutcome outcome, CoreOutput& out);
  Call* FindCall(std::uint64_t key);
  std::optional<CallOutcome> RejectionReason(Time now) const;
  void RetryCall(Time now, Call& call, CoreOutput& out);

  // The register's ballots (register.cpp).
  bool StartAttempt(Time now, CoreOutput& out);
  void TickAttempt(Time now, CoreOutput& out);
  void SendAttempt(Time now, CoreOutput& out);
  void FailAttempt(Time now);
  void OnRegisterPrepare(const CoreMessage& m, const RegisterPrepare& prepare, CoreOutput& out);
  void OnRegisterPromise(Time now, const CoreMessage& m, const RegisterPromise& promised, CoreOutput& out);
  void ProposeNextRecord(Time now, RecordPtr base, CoreOutput& out);
  void CompleteAttempt(Time now, CoreOutput& out);
  void OnRegisterAccept(const CoreMessage& m, const RegisterAccept& accept, CoreOutput& out);
  void OnRegisterAccepted(Time now, const CoreMessage& m, const RegisterAccepted& accepted, CoreOutput& out);
  bool StoreAcceptedRecord(const RegisterAccept& accept);

  // Epochs (membership.cpp).
  void EnterEpoch(Time now, Membership membership, RecordPtr record, const Stamp& stamp, CoreOutput& out);
  void OnEpochPrepare(const CoreMessage& m, const EpochPrepare& prepare, CoreOutput& out);
  void OnEpochPromise(Time now, const CoreMessage& m, const EpochPromise& promised, CoreOutput& out);
  void OnEpochAccept(Time now, const CoreMessage& m, const EpochAccept& accept, CoreOutput& out);
  void OnEpochAccepted(Time now, const CoreMessage& m, const EpochAccepted& accepted, CoreOutput& out);
  void ChooseEpoch(Time now, RecordPtr record, const Stamp& stamp, CoreOutput& out);
  void TickProposal(Time now, CoreOutput& out);
  void SendProposal(Time now, CoreOutput& out);
  void FailProposal(Time now);
  void Propose(Time now, std::vector<Member> members, CoreOutput& out);
  bool IsResponsive(Time now, const Incarnation& incarnation) const;  // replied recently, in this epoch
  // Whether it has this record or a later one on disk in this epoch, by its own report.
  bool HasReported(const Incarnation& incarnation, const Stamp& stamp) const;
  bool CaughtUp(const Incarnation& incarnation) const;  // ... the record that was chosen a moment ago
  bool HandedOver(Time now, const Stamp& stamp) const;
  void UpdateReportedRecord(const Incarnation& incarnation, const Stamp& stamp);
  bool IsEpochInstalled() const;  // a quorum of the voters has this epoch on disk
  bool IsComplete(const Incarnation& incarnation) const;
  bool HasCompleteQuorum(
      std::uint32_t responsive_voters) const;  // the complete ones among these form a quorum
  std::optional<std::vector<Member>> MembersWithoutForgotten(Time now) const;
  std::optional<std::vector<Member>> DesiredMembers(Time now) const;
  struct MembershipSurvey;  // the state of the voters and spares that DesiredMembers() decides by
  MembershipSurvey SurveyMembership(Time now) const;
  std::optional<std::vector<Member>> DesiredMembersForTolerance(Time now, const MembershipSurvey& seen) const;
  std::vector<Location> MemberLocations() const;

  // The first epoch (initial_epoch.cpp).
  void OnOffer(Time now, const CoreMessage& m, const MembershipOffer& offer, CoreOutput& out);
  void OnOfferReply(Time now, const CoreMessage& m, const MembershipOfferReply& offer_reply, CoreOutput& out);
  void TickOffer(Time now, CoreOutput& out);
  std::vector<Member> OfferedMembers() const;

  int MemberIndex(const Incarnation& incarnation) const;  // among the voters; -1: not a voter
  bool IsMajority(std::size_t votes) const;
  bool HasEnded(const Incarnation& incarnation) const;
  bool IsQuorum(std::uint32_t votes) const;  // one bit per voter
  Peer* FindPeer(const Incarnation& incarnation);
  bool IsAlive(const Incarnation& incarnation) const;
  Time LastHeardFrom(const Incarnation& incarnation) const;
  bool HasFault(CoreOptions::Fault fault) const { return options_.fault == fault; }

  const Member self_;
  const bool bootstrap_;
  const CoreOptions options_;
  std::mt19937_64 random_;

  CoreState state_;        // without the record, which is `held_record_`
  RecordPtr held_record_;  // of state_.stamp
  std::uint64_t state_version_ = 0, writing_version_ = 0, written_version_ = 0;
  Stamp writing_stamp_, written_stamp_;
  std::uint64_t writing_epoch_ = 0, written_epoch_ = 0;
  // The part of the record that is not on disk yet: outcomes from this number on, and the value.
  std::uint64_t dirty_from_ = kNothingDirty, writing_from_ = kNothingDirty;
  bool value_dirty_ = false, writing_value_ = false;
  static constexpr std::uint64_t kNothingDirty = ~std::uint64_t{0};
  std::uint64_t write_id_ = 0;
  bool writing_ = false;
  Time next_write_at_{};
  // A reply that waits until this state version is synced.
  struct PendingReply {
    std::uint64_t version;
    OutgoingMessage sending;
  };
  std::deque<PendingReply> pending_replies_;
  std::deque<CoreMessage> loopback_;  // messages of this process to itself

  RecordPtr committed_;
  Stamp committed_stamp_;
  std::deque<Stamp> recent_committed_;  // samples of the last two seconds or so, oldest first
  std::optional<Time> asking_since_;    // since when the other voters of this epoch are pinged
  bool learned_ = false, leaving_ = false, retired_ = false;
  Time next_learn_at_{}, next_ping_at_{};
  std::deque<std::pair<std::uint64_t, Time>> pings_;
  Time next_spare_ping_at_{}, next_sample_at_{};
  std::vector<Call> calls_;
  std::uint64_t next_id_;

  std::optional<BallotAttempt> attempt_;
  std::uint64_t register_round_ = 0;
  Time next_attempt_at_{};
  int consecutive_refusals_ = 0;  // of ballots

  std::map<Incarnation, Peer> peers_;
  std::map<Incarnation, ReportedRecord> reported_records_;
  struct CompleteMembers {
    std::uint64_t epoch = 0;
    std::vector<Incarnation> members;
  };
  CompleteMembers complete_members_;
  std::map<Incarnation, ObservedPeer> observed_;
  Location location_;               // of this machine
  std::vector<Incarnation> ended_;  // voters known to have ended, with volatile_members

  std::optional<EpochProposal> proposal_;
  std::uint64_t highest_round_ = 0;
  std::optional<Time> sealed_since_, change_wanted_since_;
  Time next_proposal_at_{};
  // An operator's request to remove a member.
  struct ForgetOrder {
    Incarnation incarnation;
    bool forced = false;
    Time until{};
  };
  std::optional<ForgetOrder> forget_order_;

  std::optional<PendingOffer> pending_offer_;
  std::vector<Member> offered_view_;
  std::optional<Time> started_at_;
  Time view_stable_since_{};
  std::vector<Incarnation> non_participants_;
  bool seed_majority_visible_ = true;
  std::uint64_t dropped_ = 0, ballots_refused_ = 0;
};

}  // namespace curlewdoor::agreement
