// Model check of real cores over all interleavings up to a depth: three members, a machine that may replace
// one, membership changes proposed by any member at any time, puts (also two contents under one version, and
// one put twice), reads, lost disks, members that leave, crashes with and without the unsynced write, and
// disks that stall. A sent message may arrive at any time, repeatedly, or never, so loss, duplication, delay
// and paused machines need no actions of their own. Time does not advance: no guarantee depends on it, and
// views and timers only decide when a member proposes, which is always allowed here.
//
// Left out, because it cannot affect the guarantees: pings among members, replies to requests that have
// ended, requests of reads that have ended, and messages to a machine with a newer membership on disk.
// Machines differ in what they may do (put, read, propose), which removes most of the symmetry.
//
// Cores are shared between states, and the effect of one input on one core is computed once.
#pragma once

#include <array>
#include <chrono>
#include <cstdlib>
#include <map>
#include <sstream>
#include <unordered_map>

#include "../seen_states.hpp"
#include "agreement/codec.hpp"
#include "agreement/core.hpp"

namespace curlewdoor::agreement {

namespace {

const Time kNow = Time{} + std::chrono::hours(1);

void Append(std::string& bytes, std::uint64_t value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
}
void Append(std::string& bytes, const std::vector<Member>& members) {
  Append(bytes, members.size());
  for (const Member& m : members) {
    bytes += m.incarnation.node;
    Append(bytes, m.incarnation.number);
  }
}

}  // namespace

// Access to the private state of a core.
struct CoreProbe {
  // How much of what the other machines have reported is part of a state; the rest is fixed.
  enum class Tracked { kNothing, kInstalled, kAll };

  // Removes differences without meaning: times, counters, and the state of the random generator, which
  // becomes a function of `run` (different in each incarnation of a process) and of the rounds.
  static void Normalize(Core& core, std::uint64_t run, std::optional<StorageWrite>& write, Tracked tracked) {
    core.peers_.clear();
    core.pings_.clear();
    core.learned_ = false;
    core.dropped_ = 0;
    core.next_spare_ping_at_ = {};
    core.recent_committed_.clear();
    core.consecutive_refusals_ = 0;
    core.next_proposal_at_ = {};
    if (core.next_attempt_at_ != Time{}) core.next_attempt_at_ = kNow + std::chrono::hours(1);
    core.sealed_since_.reset();
    core.change_wanted_since_.reset();
    core.random_.seed((run * 1000 + core.highest_round_) * 1000 + core.register_round_);
    std::uint64_t base = core.written_version_;
    core.state_version_ -= base;
    core.written_version_ = 0;
    core.writing_version_ = write ? core.writing_version_ - base : 0;
    for (auto& waiting : core.pending_replies_) waiting.version -= base;
    core.write_id_ = write ? 1 : 0;
    if (write) write->id = 1;
    if (!write) core.writing_stamp_ = core.written_stamp_;
    if (!write) core.writing_epoch_ = core.written_epoch_;
    if (tracked == Tracked::kNothing) core.reported_records_.clear();
    constexpr Stamp kNobodys{0, {1, 1}};
    for (const Member& m : core.state_.membership.members) {
      auto& holding = core.reported_records_[m.incarnation];
      if (tracked != Tracked::kAll) holding.stamp = kNobodys;
      holding.epoch = std::max<std::uint64_t>(holding.epoch, 1);  // it is known that each holds epoch 1
    }
  }

  static void Append(std::string& bytes, const Stamp& stamp) {
    agreement::Append(bytes, stamp.epoch);
    agreement::Append(bytes, stamp.ballot.round);
    agreement::Append(bytes, stamp.ballot.tag);
  }
  static void AppendCalls(std::string& bytes, const Core& core) {
    agreement::Append(bytes, core.calls_.size());
    for (const auto& call : core.calls_) {
      for (std::uint64_t word : {call.call, call.key, call.request, std::uint64_t{call.votes}})
        agreement::Append(bytes, word);
      agreement::Append(bytes, static_cast<std::uint64_t>(call.phase));
      Append(bytes, call.target);
      for (const auto& [index, stamp] : call.reported) {
        agreement::Append(bytes, static_cast<std::uint64_t>(index));
        Append(bytes, stamp);
      }
    }
  }
  static void AppendAttempt(std::string& bytes, const Core& core) {
    agreement::Append(bytes, core.next_attempt_at_ > kNow ? 1 : 0);
    if (!core.attempt_) return;
    const auto& attempt = *core.attempt_;
    for (std::uint64_t word : {attempt.ballot.round, attempt.ballot.tag, attempt.request,
                               std::uint64_t{attempt.votes}, static_cast<std::uint64_t>(attempt.phase)})
      agreement::Append(bytes, word);
    Append(bytes, attempt.best);
    bytes += attempt.best_from ? attempt.best_from->address : "";
    if (attempt.next_record) bytes += EncodeValue(attempt.next_record->value);
    for (const auto& [key, decision] : attempt.decisions) {
      agreement::Append(bytes, key);
      agreement::Append(bytes, static_cast<std::uint64_t>(decision));
    }
    for (std::uint64_t key : attempt.reads) agreement::Append(bytes, key);
  }
  static void AppendProposal(std::string& bytes, const Core& core) {
    if (!core.proposal_) return;
    const auto& proposal = *core.proposal_;
    for (std::uint64_t word : {proposal.ballot.round, proposal.ballot.tag, proposal.request})
      agreement::Append(bytes, word);
    agreement::Append(bytes,
                      (proposal.accepting ? 1u : 0u) + (proposal.fetching ? 2u : 0u) + 4 * proposal.votes);
    agreement::Append(bytes, proposal.members);
    agreement::Append(bytes, proposal.best ? proposal.best->ballot.tag : 0);
    Append(bytes, proposal.held);
  }
  static std::string StateKey(const Core& core) {
    std::string bytes =
        EncodeState(core.state_, core.held_record_->outcome_log) + EncodeValue(core.held_record_->value);
    for (const auto& [key, page] : EncodePages(core.held_record_->outcome_log, 0)) bytes += page;
    for (std::uint64_t word : {core.state_version_, core.writing_version_, core.written_epoch_,
                               core.writing_epoch_, core.dirty_from_, core.next_id_, core.highest_round_,
                               core.register_round_, std::uint64_t{core.value_dirty_}})
      agreement::Append(bytes, word);
    Append(bytes, core.writing_stamp_);
    Append(bytes, core.written_stamp_);
    Append(bytes, core.committed_stamp_);
    agreement::Append(bytes, core.pending_replies_.size());
    for (const auto& waiting : core.pending_replies_) {
      agreement::Append(bytes, waiting.version);
      bytes += waiting.sending.to.address + Encode(waiting.sending.message);
    }
    AppendCalls(bytes, core);
    AppendAttempt(bytes, core);
    AppendProposal(bytes, core);
    for (const auto& [incarnation, watch] : core.observed_) agreement::Append(bytes, watch.alive ? 1 : 0);
    for (const auto& [incarnation, holding] : core.reported_records_) {
      agreement::Append(bytes, holding.epoch);
      Append(bytes, holding.stamp);
    }
    return bytes;
  }

  static bool MayPropose(const Core& core) {
    return core.member() && !core.proposal_ && (core.sealed() || core.IsEpochInstalled());
  }
  static const CoreState& StateOf(const Core& core) { return core.state_; }
  static const Record& HeldOf(const Core& core) { return *core.held_record_; }
  static void Propose(Core& core, std::vector<Member> members, CoreOutput& out) {
    if (core.sealed()) members = core.state_.accepted->members;
    core.Propose(kNow, std::move(members), out);
    core.ProcessPending(kNow, out);
  }
  static void Ping(Core& core, CoreOutput& out) { core.Ping(kNow, out); }
  static bool IsPing(const Core& core, std::uint64_t id) {
    return std::any_of(core.pings_.begin(), core.pings_.end(), [id](const auto& p) { return p.first == id; });
  }
  static bool AwaitsReply(const Core& core, std::uint64_t request) {
    if (core.proposal_ && core.proposal_->request == request) return true;
    if (core.attempt_ && core.attempt_->request == request) return true;
    return std::any_of(core.calls_.begin(), core.calls_.end(),
                       [request](const auto& call) { return call.request == request; });
  }
  static bool MayRetry(const Core& core) { return core.next_attempt_at_ > kNow && !core.attempt_; }
  static void Retry(Core& core, CoreOutput& out) {
    core.next_attempt_at_ = {};
    core.ProcessPending(kNow, out);
  }
  // Assumes that all present members respond.
  static bool HandedOver(Core core) {
    for (const Member& m : core.state_.membership.members) {
      core.peers_[m.incarnation].last_answered = kNow;
      core.peers_[m.incarnation].epoch = core.state_.membership.epoch;
    }
    return core.member() && core.HandedOver(kNow);
  }
  static bool KnowsHolding(const Core& core, const Incarnation& incarnation, std::uint64_t epoch,
                           const Stamp& stamp) {
    const auto holding = core.reported_records_.find(incarnation);
    return holding != core.reported_records_.end() && holding->second.epoch >= epoch &&
           holding->second.stamp >= stamp;
  }
};

}  // namespace curlewdoor::agreement
