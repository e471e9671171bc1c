// Bootstrap: decides which machines are the members of epoch 1. Single-decree Paxos with the seeds of the
// settings file as acceptors and the list of members as the value. Pure logic, like the rest of this package.
//
// Why no two cores can start:
// (1) All processes of a first start have the same seeds, and an acceptor answers only messages that carry
//     its own acceptor set.
// (2) A list is chosen once more than half of the seeds have accepted it under one ballot.
// (3) A proposer learns from more than half of the seeds what they have accepted before it proposes, and
//     proposes the list of the highest ballot; these seeds have promised to accept nothing older. Any two
//     majorities share a seed, so once a list is chosen, every later ballot proposes that list.
// (4) No acceptor answers after losing its memory. One with a disk answers after the sync. One without a disk
//     answers only in the process that started with the whole system (`bootstrap`); after that it counts as
//     an acceptor that has stopped.
// Views, clocks and pauses only decide which process proposes, when, and how many members.
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

namespace curlewdoor::agreement::bootstrap {

// Timeouts and limits of a Bootstrapper.
struct BootstrapOptions {
  std::size_t min_members = 1;                                  // should be 2f+1
  Duration view_settle_time = std::chrono::milliseconds(1200);  // the view must be unchanged for so long ...
  Duration prepare_after = std::chrono::milliseconds(600);      // ... phase 1 runs meanwhile, after so long
  Duration undersized_start_after = std::chrono::seconds(15);   // then fewer than min_members suffice
  Duration rank_delay = std::chrono::milliseconds(700);         // extra wait per machine of a lower address
  Duration resend_interval = std::chrono::milliseconds(150);    // to seeds without a reply
  Duration backoff = std::chrono::milliseconds(150);  // after a refusal; grows up to kMaxBackoffSteps times
  Duration write_retry_interval = std::chrono::milliseconds(200);  // after a failed write
  // Deliberate bugs that the tests must detect.
  enum class Fault : std::uint8_t {
    kNone,
    kMajorityOfVisible,  // counts only the seeds that the view shows
    kReplyBeforeSync,    // sends a promise before it is on disk
    kIgnoreAccepted,     // a proposer proposes its own list whatever the acceptors report
    kAcceptOlder         // an acceptor accepts a ballot below the one it has promised
  } fault = Fault::kNone;
};

// A request to the seed of this address.
struct SeedRequest {
  std::uint32_t seed = 0;
  BootstrapMessage message;
};
// A reply, sent over the connection that its request came from.
struct PeerReply {
  std::uint64_t peer = 0;
  BootstrapMessage message;
};
// The chosen list, for one of the members.
struct MemberAnnouncement {
  Member member;
  BootstrapMessage message;
};

// What the caller must carry out after an input. The bootstrapper only appends.
struct BootstrapOutput {
  std::vector<SeedRequest> requests;
  std::vector<PeerReply> replies;
  std::vector<MemberAnnouncement> announcements;
  std::optional<BootstrapState> write;                // to be synced; the next one comes after OnWritten()
  std::optional<std::vector<Member>> chosen_members;  // of epoch 1: for Core::BeginFirstEpoch()
};

// One process's part in a bootstrap: acceptor if it is a seed, proposer if it may be a member.
class Bootstrapper {
 public:
  // `ip` is the address of this process; `state` is what its disk holds or, at the first start, the acceptor
  // set alone. `durable`: replies of the acceptor wait for the disk. `seed` must be random and differ
  // between processes.
  Bootstrapper(std::uint32_t ip, BootstrapState state, bool durable, BootstrapOptions options,
               std::uint64_t seed);

  // This process may be a member: it proposes from now on, until it knows of an epoch.
  void SetCandidate(Time now, Member self);
  // All machines in the view that may be members; this one may be among them.
  void OnView(Time now, const std::vector<ObservedMachine>& view);
  // `peer` identifies the connection of the message, and is not kSelf.
  void OnMessage(Time now, std::uint64_t peer, const BootstrapMessage& message, BootstrapOutput& out);
  // The disk has synced the state, or has failed the write; a failed write is retried.
  void OnWritten(Time now, bool ok, BootstrapOutput& out);
  // Call about every 50 ms.
  void Tick(Time now, BootstrapOutput& out);
  // The core has an epoch: stops proposing. The acceptor still answers.
  void StopProposing();

  bool proposes() const { return proposes_; }
  bool is_acceptor() const { return AcceptorBit(ip_) != 0; }
  const BootstrapState& state() const { return state_; }
  std::uint64_t dropped() const { return dropped_; }  // messages of another acceptor set, and unusable ones

  static constexpr std::uint64_t kSelf = 0;

 private:
  friend struct BootstrapperProbe;  // tests/agreement/bootstrap_model_check_test.cpp
  // The ballot that this process has in progress.
  struct Attempt {
    Ballot ballot;
    bool accepting = false;  // the second phase
    std::uint32_t votes = 0;
    std::vector<Member> members;
    std::optional<AcceptedProposal> best;  // the reported one with the highest ballot
    Time next{};
  };
  // A reply that waits until this state version is synced.
  struct PendingReply {
    std::uint64_t version = 0;
    PeerReply reply;
  };

  // Acceptor.
  void OnPrepare(std::uint64_t peer, const BootstrapPrepare& prepare, BootstrapOutput& out);
  void OnAccept(std::uint64_t peer, const BootstrapAccept& accept, BootstrapOutput& out);
  void Reply(std::uint64_t peer, BootstrapMessageBody body,
             BootstrapOutput& out);  // once the current state is synced
  void Deliver(PeerReply reply, BootstrapOutput& out);
  void StartWrite(Time now, BootstrapOutput& out);

  // Proposer.
  void OnPromise(Time now, const BootstrapPromise& promise, BootstrapOutput& out);
  void OnAccepted(Time now, const BootstrapAccepted& accepted, BootstrapOutput& out);
  void OnChosen(const BootstrapChosen& chosen, BootstrapOutput& out);
  void TickProposer(Time now, BootstrapOutput& out);
  bool MayPrepare(Time now) const;
  bool MayAccept(Time now) const;
  bool HasEnoughMembers(Time now) const;
  Duration ViewStableFor(Time now) const;  // for how long the view is unchanged
  void StartAttempt(Time now, BootstrapOutput& out);
  void TryAccept(Time now, BootstrapOutput& out);
  void BackOff(Time now);
  void SendAttempt(Time now, BootstrapOutput& out);
  void Finish(std::vector<Member> members, BootstrapOutput& out);

  void Handle(Time now, std::uint64_t peer, const BootstrapMessageBody& body, BootstrapOutput& out);
  void ProcessPending(Time now, BootstrapOutput& out);
  std::uint32_t AcceptorBit(std::uint32_t seed) const;  // 0: not an acceptor
  bool IsMajority(std::uint32_t votes) const;
  std::size_t VisibleSeeds() const;

  const std::uint32_t ip_;
  const bool durable_;
  const BootstrapOptions options_;
  std::mt19937_64 random_;

  BootstrapState state_;
  std::uint64_t state_version_ = 0, writing_version_ = 0, written_version_ = 0;
  bool writing_ = false;
  Time next_write_at_{};
  std::deque<PendingReply> pending_replies_;
  std::deque<BootstrapMessageBody> loopback_;  // messages of this process to itself

  std::optional<Member> self_;  // if it may be a member
  bool proposes_ = false;
  Time started_at_{}, view_stable_since_{}, next_attempt_at_{};
  std::vector<Member> view_;  // machines that are alive, including this one, sorted by address
  std::optional<Attempt> attempt_;
  std::uint64_t highest_round_ = 0;
  int consecutive_refusals_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace curlewdoor::agreement::bootstrap
