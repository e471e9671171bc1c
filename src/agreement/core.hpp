// The core: epochs of voters, and the record (the configuration and what became of the last orders) that a
// majority of them keeps. Pure: messages, views, time and the disk's answers go in; messages, writes and the
// ends of calls come out.
//
// Inside an epoch the record is a register that is decided by ballots (CASPaxos). A proposer takes a fresh
// ballot, hears from a majority what it holds, takes the record of the highest ballot, works out its orders
// on it in turn, and has the result accepted by a majority: then it is chosen, and then the orders are
// answered.
//
// Why nothing chosen is lost, and no number belongs to two contents. (1) Inside an epoch: two majorities
// share a member; its promise keeps a lower ballot out, and what it accepted is told to the higher one. So a
// record proposed after another was chosen is made from it, and holds its outcomes: a number that was decided
// is found there. (2) A member seals epoch e when it accepts a successor (Paxos among e's voters), and
// promises and accepts nothing in e's register from then on; the successor is chosen once a majority S has
// sealed. A majority M that chose a record shares a member with S. It accepted before it sealed, and tells
// its highest record when it seals; and the highest one that S tells was proposed under the same or a higher
// ballot. So every InstallEpoch of e+1, by whichever proposer, holds what was chosen; and a member enters e+1
// only by one. Members may begin e+1 with different records, so none of those counts as chosen before a
// ballot of e+1 has chosen one. (3) A read in e needs a majority of members that aren't sealed; once e+1 can
// choose anything, S exists, and no such majority does. (4) Votes are counted by life: a wiped disk has
// another life, which is among no epoch's voters until a successor made it one. (5) Replies wait until the
// disk has synced what they say. Views only decide when something is proposed. docs/control.md has it at
// length.
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

struct Options {
  Duration call_timeout = std::chrono::milliseconds(800);  // of a Put or Get
  Duration again = std::chrono::milliseconds(150);         // what has no answer is sent again
  Duration ping = std::chrono::milliseconds(250);          // members ask each other; others four times slower
  Duration heard_for = std::chrono::milliseconds(1000);    // see majority()
  Duration dead_for = std::chrono::milliseconds(2500);     // then a dead member is swapped or taken out
  Duration grow_after = std::chrono::milliseconds(3000);   // then one that is there is added
  Duration settle = std::chrono::milliseconds(1200);       // the first view stands still so long
  Duration least_wait = std::chrono::seconds(15);          // ... and holds `least_members` until then
  Duration seeds_wait = std::chrono::seconds(60);     // ... and the seeds, if it is smaller; see OnSeeds()
  std::size_t least_members = 1;                      // of the first roster; 2f+1 is right
  Duration unbound_after = std::chrono::seconds(10);  // an offer of one that has not been seen for so long
  Duration forget_for = std::chrono::seconds(5);      // an operator's order to forget a member holds so long
  Duration read_pause = std::chrono::milliseconds(40);  // a read that finds a ballot at work asks again then
  int read_rounds = 2;                                  // ... so often, and then takes a ballot itself
  Duration duel_pause = std::chrono::milliseconds(10);  // after a ballot was refused; doubles, at random
  // The loss of so many zones, or of so many regions, is to leave a majority wherever the machines allow it.
  Spread spread{};
  // Members without disks: a machine's later life has a higher number, and proves that the earlier one and
  // all that it kept are gone. Then all that are left are enough, be they fewer than a majority (IsQuorum).
  bool lives_end = false;
  // The next change of the roster waits until members that SetComplete() names make up a quorum.
  bool waits_for_complete = false;
  // For tests of the tests: a core that does something wrong.
  enum class Fault : std::uint8_t {
    kNone,
    kAckBeforeSync,
    kAnyDisk,
    kAcceptWhileSealed,
    kEpochAlone,      // a successor by its proposer's own vote
    kMajorityOfSeen,  // ... of those of the roster that the view shows
    kReadOne,
    kBallotForgotten,   // what was promised isn't written
    kConfirmSecond,     // a second content under a number that is taken
    kForgetOutcomes,    // a snapshot without them
    kBehind,            // orders are worked out on what the proposer holds itself
    kChangeEarly,       // the next change begins before a majority holds this epoch
    kChangeIncomplete,  // ... or is complete in it (waits_for_complete)
    kLeaveEarly         // hands over nothing
  } fault = Fault::kNone;
};

// A machine that counts (it has a disk and may be a member), as the fleet view shows it.
struct Seen {
  Member member;
  bool alive = false;
  Place place{};
};

enum class Outcome : std::uint8_t {
  kKept,        // Put: this content is in force. Get: `value` is the newest
  kOlder,       // Put: confirmed, and `value`, a higher one, is in force; this one changes nothing now
  kConflict,    // Put: its number belongs to another content for good; `value` is in force
  kUncertain,   // Put: it may be kept now, or later, or never; the same order again finds out
  kNoMajority,  // no answer of a majority, and nothing was done; or this one is no member
  kFailed,      // nothing was done: too many calls at once, or the value is too large
};

struct Done {
  std::uint64_t call = 0;
  Outcome outcome = Outcome::kFailed;
  Value value;    // in force
  Digest digest;  // of its text
};

// Of an operator's order to take a member out.
enum class Forgetting : std::uint8_t {
  kProposed,    // a successor without it is proposed, for forget_for at most
  kNoMember,    // none of that name is in the roster
  kNoMajority,  // this one is no member, or has no majority, or another successor is under way
  kItself,      // another member has to be told
  kAlive,       // it answers, or the view shows it
  kTooFew       // not forced: another one is away, or the rest can't bear what it should
};

// What an operator is told of the core's redundancy.
struct CoreStatus {
  struct Voter {
    Member member;
    bool answers = false;    // of late
    bool caught_up = false;  // holds this epoch and the newest chosen record, synced, and is complete
  };
  std::uint64_t epoch = 0;
  std::vector<Voter> voters;
  int further_losses = 0;  // of those that are caught up, with all promises kept; below 0: no majority is
  Spread spread{};         // that this roster bears, and that it should
  Spread wanted{};
};

struct Sending {
  Member to;
  Message message;
};

struct Write {
  std::uint64_t id = 0;
  std::vector<std::pair<std::string, std::string>> records;  // key, bytes: all at once, synced, or none
};

// Everything is added at the end; flags are only set.
struct Out {
  std::vector<Sending> sends;
  std::vector<Write> writes;  // one at a time: the next comes after OnWritten()
  std::vector<Done> done;
  bool committed_changed = false, roster_changed = false;
  std::vector<std::string> notes;  // for the log
};

class Core {
 public:
  // `from_disk` is what the disk of `self.life` held (DecodeState), empty for a new disk. `seed`: random,
  // another one in each process.
  Core(Member self, bool bootstrap, State from_disk, Options options, std::uint64_t seed);

  // All machines that count and stand in the view now; the own one may be among them.
  void OnView(Time now, const std::vector<Seen>& view, Out& out);
  // Whether more than half of the seeds stand in the view. All have the same ones at the first start, so of
  // two sides of a cut one at most sees them, and only that one founds a core while it may be a cut.
  void OnSeeds(bool seen) { seeds_seen_ = seen; }
  // These members of `epoch` hold, synced, all else that goes from epoch to epoch beside the record (the
  // service registry). Nothing where another epoch is the present one.
  void SetComplete(std::uint64_t epoch, std::vector<Life> members);
  // Epoch 1 has these voters: the same ones at all, decided outside. Nothing where an epoch is known already.
  void Found(Time now, std::vector<Member> members, Out& out);
  void OnMessage(Time now, const Message& message, Out& out);
  // The disk has synced this write, or has refused it; it is tried again.
  void OnWritten(Time now, std::uint64_t write, bool ok, Out& out);
  // About every 50 ms.
  void Tick(Time now, Out& out);

  // Each ends in one Done with this number, at once or within call_timeout (by Tick). At most kMostCalls at
  // once.
  static constexpr std::size_t kMostCalls = 64;
  void Put(Time now, std::uint64_t call, Value value, Out& out);
  void Get(Time now, std::uint64_t call, Out& out);

  // An operator says that the member of this name is gone for good: this one proposes a successor without it,
  // with none in its place. It is taken as every successor is, by a majority of the present roster, whatever
  // `forced` says; that only lets the rest be fewer than `least_members`, or another one be away.
  Forgetting Forget(Time now, const std::string& node, bool forced, Out& out);

  const Roster& roster() const { return state_.roster; }  // the newest known
  // The highest known to be chosen; never goes back.
  const Value& committed() const { return committed_->value; }
  const Record& committed_record() const { return *committed_; }
  const Stamp& committed_stamp() const { return committed_stamp_; }
  bool member() const { return Index(self_.life) >= 0; }  // of the roster
  bool learned() const { return learned_; }  // committed() has been asked of a majority in this epoch
  // A majority of the roster, itself included, has answered what it was asked within heard_for. Members only.
  bool majority(Time now) const;
  const Member& self() const { return self_; }
  bool sealed() const { return state_.accepted.has_value(); }
  // Whoever leaves may go: every other voter that answers holds the newest chosen record, synced, and so many
  // do that the rest bear what the core bears.
  bool HandedOver(Time now) const;
  // It is going to, for good or not. It votes until the others have nearly what it holds, and takes no more
  // ballots from then on, so that HandedOver() soon holds.
  void Leave() { leaving_ = true; }
  CoreStatus Status(Time now) const;
  std::uint64_t ballots_refused() const { return ballots_refused_; }  // of its own, for another one's
  std::uint64_t dropped() const { return dropped_; }  // messages of nobody's that is known, and unusable ones

 private:
  friend struct CoreProbe;  // tests/agreement/model_check_test.cpp
  using RecordPtr = std::shared_ptr<const Record>;

  enum class Phase : std::uint8_t { kQuery, kFetch, kBallot };
  // A Put, a Get, or its own learning of what is chosen.
  struct Call {
    std::uint64_t call = 0, key = 0, request = 0;
    bool internal = false, put = false;
    Phase phase = Phase::kQuery;
    Value order;
    Digest digest;  // of the order's text
    Time deadline{}, next{};
    std::uint32_t votes = 0;
    std::map<int, Stamp> told;
    int rounds = 0;
    Stamp target;  // kFetch: it is chosen
  };
  // The ballot of the register that this one has under way.
  struct Attempt {
    Ballot ballot;
    std::uint64_t request = 0;
    Phase phase = Phase::kQuery;  // kQuery: prepares; kFetch: gets the record; kBallot: has it accepted
    std::uint32_t votes = 0;
    Stamp best;
    std::optional<Member> best_from;
    RecordPtr base, next;
    std::vector<OrderOutcome> added;
    std::vector<std::uint64_t> reads;                         // calls that began before it
    std::vector<std::pair<std::uint64_t, Verdict>> verdicts;  // by call
    Time deadline{}, again{};
  };
  struct Proposal {
    Ballot ballot;
    std::uint64_t request = 0;
    bool accepting = false, fetching = false;
    std::vector<Member> members;
    std::optional<Accepting> best;
    Stamp held;  // the highest told
    std::optional<Member> held_by;
    std::uint32_t votes = 0;
    Time deadline{}, next{};
  };
  struct Offering {
    std::uint64_t request = 0;
    std::vector<Member> members;
    std::uint32_t votes = 0;
    Time deadline{}, next{};
  };
  struct Peer {
    Time heard{}, answered{}, brought{}, told{}, fetched{}, asked{};
    std::uint64_t epoch = 0;
    bool brought_short = false;
  };
  // What a machine has said to hold, synced.
  struct Holding {
    std::uint64_t epoch = 0;
    Stamp stamp;
  };
  struct Watch {
    Member member;
    bool alive = false;
    Time since{};
    Place place{};
  };

  // Sending and the disk (core.cpp).
  void BeginWithValue();
  void Send(const Member& to, std::uint64_t id, Body body, Out& out);
  void SendAll(std::uint64_t id, const Body& body, Out& out);
  void Reply(const Message& to, Body body, Out& out);  // once the disk holds the state as it is now
  void SendSynced(const Member& to, std::uint64_t id, Body body, Out& out);
  void Flush(Out& out);
  void Changed() { ++state_version_; }
  void Settle(Time now, Out& out);
  void StartWrite(Out& out);
  void Sample(Time now);
  void Hold(RecordPtr record, const Stamp& stamp, std::uint64_t unchanged_below, bool value_changed);

  // Messages (core.cpp).
  void Handle(Time now, const Message& m, Out& out);
  bool HandleOther(Time now, const Message& m, Out& out);
  void HandleVote(Time now, const Message& m, Out& out);
  void Ping(Time now, Out& out);
  QueryReply Told() const;
  void TellInstalled(Out& out);

  // Snapshots: a whole record, or an epoch with one (snapshots.cpp).
  void Bring(Time now, const Member& to, Out& out);
  void OnInstall(Time now, const Message& m, const InstallEpoch& install, Out& out);
  void OnFetch(Time now, const Message& m, const Fetch& fetch, Out& out);
  void OnFetched(Time now, const Message& m, const Fetched& fetched, Out& out);
  void Note(Time now, const Member& from, const Stamp& committed, Out& out);
  void Commit(RecordPtr record, const Stamp& stamp, Out& out);
  void Replace(RecordPtr record, const Stamp& stamp);
  RecordPtr Snapshot(RecordPtr record) const;

  // Calls and reads (reads.cpp).
  void TickCalls(Time now, Out& out);
  void Begin(Time now, Call call, Out& out);
  void Restart(Time now, Call& call, Out& out);
  void SendQuery(Time now, Call& call, Out& out);
  void SendFetch(Time now, Call& call, Out& out);
  void OnQuery(Time now, const Message& m, const Query& query, Out& out);
  void OnQueryReply(Time now, const Message& m, const QueryReply& reply, Out& out);
  void Weigh(Time now, Call& call, Out& out);
  void Resolve(Time now, std::uint64_t key, Out& out);
  void Answer(std::uint64_t key, Verdict verdict, Out& out);
  void Finish(std::uint64_t key, Outcome outcome, Out& out);
  Call* FindCall(std::uint64_t key);
  std::optional<Outcome> WhyNot(Time now) const;
  void AskAgain(Time now, Call& call, Out& out);

  // The register's ballots (register.cpp).
  bool StartAttempt(Time now, Out& out);
  void TickAttempt(Time now, Out& out);
  void SendAttempt(Time now, Out& out);
  void FailAttempt(Time now);
  void OnPrepare(const Message& m, const Prepare& prepare, Out& out);
  void OnPromised(Time now, const Message& m, const Promised& promised, Out& out);
  void Evaluate(Time now, RecordPtr base, Out& out);
  void Conclude(Time now, Out& out);
  void OnAccept(const Message& m, const Accept& accept, Out& out);
  void OnAccepted(Time now, const Message& m, const Accepted& accepted, Out& out);
  bool TakeAccept(const Accept& accept);

  // Epochs (membership.cpp).
  void Adopt(Time now, Roster roster, RecordPtr record, const Stamp& stamp, Out& out);
  void OnPrepareEpoch(const Message& m, const PrepareEpoch& prepare, Out& out);
  void OnEpochPromised(Time now, const Message& m, const EpochPromised& promised, Out& out);
  void OnAcceptEpoch(Time now, const Message& m, const AcceptEpoch& accept, Out& out);
  void OnEpochAccepted(Time now, const Message& m, const EpochAccepted& accepted, Out& out);
  void ChooseEpoch(Time now, RecordPtr record, const Stamp& stamp, Out& out);
  void TickProposal(Time now, Out& out);
  void SendProposal(Time now, Out& out);
  void FailProposal(Time now);
  void Propose(Time now, std::vector<Member> members, Out& out);
  bool Answers(Time now, const Life& life) const;  // in this epoch, of late
  bool HasTold(const Life& life,
               const Stamp& stamp) const;  // that it holds this or a later one in this epoch, synced
  bool CaughtUp(const Life& life) const;   // ... what was chosen a moment ago
  bool HandedOver(Time now, const Stamp& stamp) const;
  void NoteHolding(const Life& life, const Stamp& stamp);
  bool Installed() const;  // a majority of the roster holds this epoch, synced
  bool IsComplete(const Life& life) const;
  bool CompleteAmong(std::uint32_t answering) const;  // a quorum of those is
  std::optional<std::vector<Member>> WithoutForgotten(Time now) const;
  std::optional<std::vector<Member>> Wish(Time now) const;
  struct Situation;  // of the roster and the spares, as Wish() sees them
  Situation Look(Time now) const;
  std::optional<std::vector<Member>> WishForSpread(Time now, const Situation& seen) const;
  std::vector<Place> Places() const;  // of the roster's members

  // The first epoch (bootstrap.cpp).
  void OnOffer(Time now, const Message& m, const Offer& offer, Out& out);
  void OnOfferTaken(Time now, const Message& m, const OfferTaken& taken, Out& out);
  void TickOffer(Time now, Out& out);
  std::vector<Member> First() const;

  int Index(const Life& life) const;  // in the roster; -1: not there
  bool IsMajority(std::size_t votes) const;
  bool IsGone(const Life& life) const;
  bool IsQuorum(std::uint32_t votes) const;  // a bit a member of the roster
  Peer* FindPeer(const Life& life);
  bool Alive(const Life& life) const;
  Time HeardFrom(const Life& life) const;
  bool Does(Options::Fault fault) const { return options_.fault == fault; }

  const Member self_;
  const bool bootstrap_;
  const Options options_;
  std::mt19937_64 random_;

  State state_;     // without the record, which is `held_`
  RecordPtr held_;  // of state_.stamp
  std::uint64_t state_version_ = 0, writing_version_ = 0, written_version_ = 0;
  Stamp writing_stamp_, written_stamp_;
  std::uint64_t writing_epoch_ = 0, written_epoch_ = 0;
  // What of the record the disk doesn't hold yet: outcomes from this number on, and the value.
  std::uint64_t dirty_from_ = kClean, writing_from_ = kClean;
  bool value_dirty_ = false, writing_value_ = false;
  static constexpr std::uint64_t kClean = ~std::uint64_t{0};
  std::uint64_t write_id_ = 0;
  bool writing_ = false;
  Time write_after_{};
  struct Waiting {
    std::uint64_t version;
    Sending sending;
  };
  std::deque<Waiting> waiting_;
  std::deque<Message> local_;  // to itself

  RecordPtr committed_;
  Stamp committed_stamp_;
  std::deque<Stamp> committed_before_;  // oldest first, some two seconds
  std::optional<Time> asks_since_;      // in this epoch, of the others whether they are there
  bool learned_ = false, leaving_ = false, retired_ = false;
  Time learn_next_{}, ping_next_{};
  std::deque<std::pair<std::uint64_t, Time>> pings_;
  Time spares_next_{}, sample_next_{};
  std::vector<Call> calls_;
  std::uint64_t next_id_;

  std::optional<Attempt> attempt_;
  std::uint64_t register_round_ = 0;
  Time attempt_after_{};
  int refusals_ = 0;  // of attempts, in a row

  std::map<Life, Peer> peers_;
  std::map<Life, Holding> holdings_;
  struct Completeness {
    std::uint64_t epoch = 0;
    std::vector<Life> members;
  };
  Completeness complete_;
  std::map<Life, Watch> watch_;
  Place place_;             // its own
  std::vector<Life> gone_;  // of the roster, where lives end

  std::optional<Proposal> proposal_;
  std::uint64_t highest_round_ = 0;
  std::optional<Time> sealed_since_, wish_since_;
  Time propose_after_{};
  struct Forgotten {
    Life life;
    bool forced = false;
    Time until{};
  };
  std::optional<Forgotten> forgotten_;

  std::optional<Offering> offering_;
  std::vector<Member> first_view_;
  std::optional<Time> first_seen_;
  Time first_since_{};
  std::vector<Life> never_;
  bool seeds_seen_ = true;
  std::uint64_t dropped_ = 0, ballots_refused_ = 0;
};

}  // namespace curlewdoor::agreement
