// The first start: which machines are the members of epoch 1. Single-decree Paxos whose acceptors are the
// seeds of the settings file and whose value is the list of members. Pure, as the rest of this package.
//
// Why no two cores are founded. (1) All processes of a first start have the same seeds, and an acceptor
// answers only to messages that carry its own. (2) A list is chosen once more than half of the seeds have
// accepted it under one ballot. (3) A proposer learns from more than half of the seeds what they have
// accepted before it proposes, and proposes the one of the highest ballot; these have promised to accept
// nothing older. Two majorities share a seed, so once a list is chosen every later ballot proposes that list.
// (4) No acceptor answers twice from different memories: one with a disk answers after the sync; one without
// answers only in the process that began with the whole system (`bootstrap`), and is an acceptor that has
// stopped after that. Views, clocks and pauses only decide who proposes, when, and how many members.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "agreement/bootstrap_message.hpp"
#include "agreement/core.hpp"

namespace curlewdoor::agreement::founding {

struct Options {
  std::size_t least_members = 1;                            // 2f+1 is right
  Duration settle = std::chrono::milliseconds(1200);        // the view stands still so long ...
  Duration prepare_after = std::chrono::milliseconds(600);  // ... and the first phase is run meanwhile
  Duration least_wait = std::chrono::seconds(15);           // then fewer than least_members do
  Duration next_in_line = std::chrono::milliseconds(700);   // each further machine waits so much longer
  Duration resend = std::chrono::milliseconds(150);         // to seeds that haven't answered
  Duration give_way = std::chrono::milliseconds(150);       // after a refusal; grows up to kMostPauses times
  Duration write_again = std::chrono::milliseconds(200);    // after a disk's refusal
  /// For tests of the tests: founders that do something wrong.
  enum class Fault : std::uint8_t {
    kNone,
    kMajorityOfSeen,   // more than half of the seeds that the view shows
    kReplyBeforeSync,  // a promise is told before the disk holds it
    kIgnoreAccepted,   // a proposer proposes its own list, whatever it is told
    kAcceptOlder       // an acceptor accepts under a ballot below the one it has promised
  } fault = Fault::kNone;
};

/// A request to the seed of this address.
struct ToSeed {
  std::uint32_t seed = 0;
  Message message;
};
/// A reply, by the connection that its request came by.
struct ToPeer {
  std::uint64_t peer = 0;
  Message message;
};
struct ToMember {
  Member member;
  Message message;
};

/// Everything is added at the end.
struct Out {
  std::vector<ToSeed> requests;
  std::vector<ToPeer> replies;
  std::vector<ToMember> announcements;
  std::optional<State> write;                  // to be synced; the next one comes after OnWritten()
  std::optional<std::vector<Member>> founded;  // the members of epoch 1: for Core::Found()
};

class Founding {
 public:
  /// `ip` is this process's own address, `state` what its disk holds or, at the first start, the electorate
  /// alone. `durable`: what an acceptor says waits for the disk. `seed`: random, another one in each process.
  Founding(std::uint32_t ip, State state, bool durable, Options options, std::uint64_t seed);

  /// This process may be a member: it proposes from now on, until it knows of an epoch.
  void SetCandidate(Time now, Member self);
  /// All machines that may be members and stand in the view now; the own one may be among them.
  void OnView(Time now, const std::vector<Seen>& view);
  /// `peer` names the connection that it came by, and isn't kSelf.
  void OnMessage(Time now, std::uint64_t peer, const Message& message, Out& out);
  /// The disk has synced the state, or has refused it; it is tried again.
  void OnWritten(Time now, bool ok, Out& out);
  /// About every 50 ms.
  void Tick(Time now, Out& out);
  /// The core has an epoch: nothing is proposed any more. What was promised is still told.
  void StopProposing();

  bool proposes() const { return proposes_; }
  bool is_acceptor() const { return SeedBit(ip_) != 0; }
  const State& state() const { return state_; }
  std::uint64_t dropped() const { return dropped_; }  // messages of another electorate, and unusable ones

  static constexpr std::uint64_t kSelf = 0;

 private:
  friend struct FoundingProbe;  // tests/agreement/bootstrap_model_check_test.cpp
  struct Attempt {
    Ballot ballot;
    bool accepting = false;  // the second phase
    std::uint32_t votes = 0;
    std::vector<Member> members;
    std::optional<Accepting> best;  // of the highest ballot that was told of
    Time next{};
  };
  struct Waiting {
    std::uint64_t version = 0;
    ToPeer reply;
  };

  // Acceptor.
  void OnPrepare(std::uint64_t peer, const Prepare& prepare, Out& out);
  void OnAccept(std::uint64_t peer, const Accept& accept, Out& out);
  void Reply(std::uint64_t peer, Body body, Out& out);  // once the state as it is now is synced
  void Deliver(ToPeer reply, Out& out);
  void StartWrite(Time now, Out& out);

  // Proposer.
  void OnPromise(Time now, const Promise& promise, Out& out);
  void OnAccepted(Time now, const Accepted& accepted, Out& out);
  void OnChosen(const Chosen& chosen, Out& out);
  void TickProposer(Time now, Out& out);
  bool MayPrepare(Time now) const;
  bool MayAccept(Time now) const;
  bool HasEnough(Time now) const;
  Duration Still(Time now) const;  // for how long the view has stood as it is
  void Begin(Time now, Out& out);
  void TryAccept(Time now, Out& out);
  void GiveWay(Time now);
  void SendAttempt(Time now, Out& out);
  void Found(std::vector<Member> members, Out& out);

  void Handle(Time now, std::uint64_t peer, const Body& body, Out& out);
  void Settle(Time now, Out& out);
  std::uint32_t SeedBit(std::uint32_t seed) const;  // 0: none of the electorate
  bool IsMajority(std::uint32_t votes) const;
  std::size_t SeedsSeen() const;

  const std::uint32_t ip_;
  const bool durable_;
  const Options options_;
  std::mt19937_64 random_;

  State state_;
  std::uint64_t state_version_ = 0, writing_version_ = 0, written_version_ = 0;
  bool writing_ = false;
  Time write_after_{};
  std::deque<Waiting> waiting_;
  std::deque<Body> local_;  // to itself

  std::optional<Member> self_;  // where it may be a member
  bool proposes_ = false;
  Time began_{}, still_since_{}, begin_after_{};
  std::vector<Member> view_;  // those that are alive, itself included, by address
  std::optional<Attempt> attempt_;
  std::uint64_t highest_round_ = 0;
  int refusals_ = 0;  // in a row
  std::uint64_t dropped_ = 0;
};

}  // namespace curlewdoor::agreement::founding
