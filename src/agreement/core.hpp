// The core: a roster of members by epochs, and the configuration that a majority of them keeps. Pure:
// messages, views, time and the disk's answers go in; messages, writes and the ends of calls come out.
//
// Why nothing acknowledged is lost. (1) A value is acknowledged in epoch e once a majority M of e's roster
// has synced it or a higher one while not sealed. (2) A member seals e when it accepts a successor (Paxos
// among e's roster), and takes no more stores in e from then on; the successor is chosen once a majority S
// has sealed. M and S share a member; it took the value before it sealed, and tells its highest when it
// accepts. So every Start of e+1, by whichever proposer, holds the value or a higher one, and a member enters
// e+1 only by a Start (or by what a member of e+1 holds). By induction it holds for all later epochs. (3) A
// read in e needs a majority of members that are not sealed; once e+1 can acknowledge anything, S exists, and
// no such majority does. (4) Votes are counted by life: a wiped disk has another life, which is in no roster
// until a Start made it a member. (5) Replies wait until the disk has synced what they say. Views only decide
// when something is proposed.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "agreement/message.hpp"

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
  // Members without disks: a machine's later life has a higher number, and proves that the earlier one and
  // all that it kept are gone. Then all that are left are enough, be they fewer than a majority (IsQuorum).
  bool lives_end = false;
  // For tests of the tests: a core that does something wrong.
  enum class Fault : std::uint8_t {
    kNone,
    kAckBeforeSync,
    kAnyDisk,
    kStoreWhileSealed,
    kRosterAlone,     // a successor by its proposer's own vote
    kMajorityOfSeen,  // ... of those of the roster that the view shows
    kReadOne,
    kBallotForgotten  // what was promised isn't written
  } fault = Fault::kNone;
};

// A machine that counts (it has a disk and may be a member), as the fleet view shows it.
struct Seen {
  Member member;
  bool alive = false;
};

enum class Outcome : std::uint8_t {
  kKept,        // Put: it is kept. Get: `value` is the newest
  kOlder,       // Put: kept is a higher one, `value`; this one is acknowledged too and changes nothing
  kNoMajority,  // the outcome is unknown; or this one is no member
  kFailed,      // nothing was done: too many calls at once, or the value is too large
};

struct Done {
  std::uint64_t call = 0;
  Outcome outcome = Outcome::kFailed;
  Value value;
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
  const Value& committed() const {
    return committed_;
  }  // the highest known to be on a majority; never goes back
  bool member() const { return Index(self_.life) >= 0; }  // of the roster
  bool learned() const { return learned_; }  // committed() has been asked of a majority in this epoch
  // A majority of the roster, itself included, has answered what it was asked within heard_for. Members only.
  bool majority(Time now) const;
  const Member& self() const { return self_; }
  bool sealed() const { return state_.accepted.has_value(); }
  std::uint64_t dropped() const { return dropped_; }  // messages of nobody's that is known, and unusable ones

 private:
  friend struct CoreProbe;  // tests/agreement/model_check_test.cpp
  struct Call {
    std::uint64_t call = 0, request = 0;
    bool internal = false, put = false, storing = false;
    bool higher = false;  // a vote told of one above `value`
    Value put_value, value;
    Rank rank;  // of `value`
    Time deadline{}, next{};
    std::uint32_t votes = 0;
    std::map<int, Rank> kept;
  };
  struct Proposal {
    Ballot ballot;
    std::uint64_t request = 0;
    bool accepting = false;
    std::vector<Member> members;
    std::optional<Accepting> best;
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
    Time heard{}, answered{}, brought{}, told{};
    std::uint64_t epoch = 0;
  };
  struct Watch {
    Member member;
    bool alive = false;
    Time since{};
  };

  // Sending (core.cpp).
  void Send(const Member& to, std::uint64_t id, Body body, Out& out);
  void SendAll(std::uint64_t id, const Body& body, Out& out);
  void Reply(const Message& to, Body body, Out& out);  // once the disk holds the state as it is now
  void SendSynced(const Member& to, std::uint64_t id, Body body, Out& out);
  void Flush(Out& out);
  void Changed() { ++state_version_; }
  void Settle(Time now, Out& out);
  void StartWrite(Out& out);

  // Messages.
  void Handle(Time now, const Message& m, Out& out);
  void OnAsk(Time now, const Message& m, const Ask& ask, Out& out);
  void OnTold(Time now, const Message& m, const Told& told, Out& out);
  void OnStore(const Message& m, const Store& store, Out& out);
  void OnStored(Time now, const Message& m, const Stored& stored, Out& out);
  void Bring(Time now, const Member& to, Out& out);
  void Ping(Time now, Out& out);

  // Values and calls.
  void TakeValue(const Value& value, Rank rank);
  void Note(Rank committed, Out& out);
  void Commit(const Value& value, Rank rank, Out& out);
  void Begin(Time now, Call call, Out& out);
  void Restart(Time now, Call& call, Out& out);
  void SendCall(Time now, Call& call, Out& out);
  void Finish(std::uint64_t request, Outcome outcome, const Value& value, Out& out);
  Call* FindCall(std::uint64_t request);

  // Rosters (proposing.cpp).
  void Adopt(Time now, std::uint64_t epoch, std::vector<Member> members, std::uint32_t first, Out& out);
  void OnOffer(Time now, const Message& m, const Offer& offer, Out& out);
  void OnOfferTaken(Time now, const Message& m, const OfferTaken& taken, Out& out);
  void OnPrepare(const Message& m, const Prepare& prepare, Out& out);
  void OnPromised(Time now, const Message& m, const Promised& promised, Out& out);
  void OnAccept(Time now, const Message& m, const Accept& accept, Out& out);
  void OnAccepted(Time now, const Message& m, const Accepted& accepted, Out& out);
  void TickOffer(Time now, Out& out);
  void TickProposal(Time now, Out& out);
  void Propose(Time now, std::vector<Member> members, Out& out);
  bool Answers(Time now, const Life& life) const;  // in this epoch, of late
  std::optional<std::vector<Member>> WithoutForgotten(Time now) const;
  std::optional<std::vector<Member>> Wish(Time now) const;
  std::vector<Member> First() const;

  int Index(const Life& life) const;  // in the roster; -1: not there
  bool IsMajority(std::size_t votes) const;
  bool IsGone(const Life& life) const;
  bool IsQuorum(std::uint32_t votes) const;  // a bit a member of the roster
  Peer* FindPeer(const Life& life);
  bool Alive(const Life& life) const;
  Time HeardFrom(const Life& life) const;

  const Member self_;
  const bool bootstrap_;
  const Options options_;
  std::mt19937_64 random_;

  State state_;
  Rank rank_;  // of state_.value
  std::uint64_t state_version_ = 0, writing_version_ = 0, written_version_ = 0;
  Rank writing_rank_, written_rank_;
  std::uint64_t write_id_ = 0;
  bool writing_ = false;
  Time write_after_{};
  struct Waiting {
    std::uint64_t version;
    Sending sending;
  };
  std::deque<Waiting> waiting_;
  std::deque<Message> local_;  // to itself

  Value committed_;
  Rank committed_rank_, wanted_;
  bool learned_ = false;
  Time learn_next_{}, ping_next_{};
  std::deque<std::pair<std::uint64_t, Time>> pings_;
  std::vector<Call> calls_;
  std::uint64_t next_id_;

  std::map<Life, Peer> peers_;
  std::map<Life, Watch> watch_;
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
  std::uint64_t dropped_ = 0;
};

}  // namespace curlewdoor::agreement
