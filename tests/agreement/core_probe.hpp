// All interleavings, to a depth, of real cores: three members, a machine that may replace one, changes of the
// voters by any member at any time, orders (also two contents under one number, and one order twice), reads,
// lost disks, members that leave, crashes with and without the write that isn't synced, disks that hang. A
// message that was sent may arrive at any time, often, or never, so losses, copies, late ones and machines
// that stand still need no steps of their own. Time stands still: nothing that must hold rests on it, and
// views and timers only decide when a member proposes; here it may always.
//
// Taken out as it makes no difference to promises: the members' pings; replies to a request that has ended
// and requests of a read that has ended; messages to one whose disk knows a newer roster. Machines are told
// apart by what they may do (who puts, reads, proposes), which collapses most of their symmetry.
//
// The cores of a state are shared with other states, and what one input does to one core is worked out once.
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
    bytes += m.life.node;
    Append(bytes, m.life.disk);
  }
}

}  // namespace

struct CoreProbe {
  // How much of what the others have told is part of a state; the rest is taken as known or unknown.
  enum class Told { kNothing, kInstalled, kAll };

  // Takes out what differs without a meaning: times, counters, and the state of the random numbers, which
  // become a function of `run` (unlike in each life of a process) and of the rounds.
  static void Plain(Core& core, std::uint64_t run, std::optional<Write>& write, Told told) {
    core.peers_.clear();
    core.pings_.clear();
    core.learned_ = false;
    core.dropped_ = 0;
    core.spares_next_ = {};
    core.committed_before_.clear();
    core.refusals_ = 0;
    core.propose_after_ = {};
    if (core.attempt_after_ != Time{}) core.attempt_after_ = kNow + std::chrono::hours(1);
    core.sealed_since_.reset();
    core.wish_since_.reset();
    core.random_.seed((run * 1000 + core.highest_round_) * 1000 + core.register_round_);
    std::uint64_t base = core.written_version_;
    core.state_version_ -= base;
    core.written_version_ = 0;
    core.writing_version_ = write ? core.writing_version_ - base : 0;
    for (auto& waiting : core.waiting_) waiting.version -= base;
    core.write_id_ = write ? 1 : 0;
    if (write) write->id = 1;
    if (!write) core.writing_stamp_ = core.written_stamp_;
    if (!write) core.writing_epoch_ = core.written_epoch_;
    if (told == Told::kNothing) core.holdings_.clear();
    constexpr Stamp kNobodys{0, {1, 1}};
    for (const Member& m : core.state_.roster.members) {
      auto& holding = core.holdings_[m.life];
      if (told != Told::kAll) holding.stamp = kNobodys;
      holding.epoch = std::max<std::uint64_t>(holding.epoch, 1);  // that one holds epoch 1 is known
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
      for (const auto& [index, stamp] : call.told) {
        agreement::Append(bytes, static_cast<std::uint64_t>(index));
        Append(bytes, stamp);
      }
    }
  }
  static void AppendAttempt(std::string& bytes, const Core& core) {
    agreement::Append(bytes, core.attempt_after_ > kNow ? 1 : 0);
    if (!core.attempt_) return;
    const auto& attempt = *core.attempt_;
    for (std::uint64_t word : {attempt.ballot.round, attempt.ballot.tag, attempt.request,
                               std::uint64_t{attempt.votes}, static_cast<std::uint64_t>(attempt.phase)})
      agreement::Append(bytes, word);
    Append(bytes, attempt.best);
    bytes += attempt.best_from ? attempt.best_from->address : "";
    if (attempt.next) bytes += EncodeValue(attempt.next->value);
    for (const auto& [key, verdict] : attempt.verdicts) {
      agreement::Append(bytes, key);
      agreement::Append(bytes, static_cast<std::uint64_t>(verdict));
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
  static std::string Key(const Core& core) {
    std::string bytes = EncodeState(core.state_, core.held_->ledger) + EncodeValue(core.held_->value);
    for (const auto& [key, page] : EncodePages(core.held_->ledger, 0)) bytes += page;
    for (std::uint64_t word : {core.state_version_, core.writing_version_, core.written_epoch_,
                               core.writing_epoch_, core.dirty_from_, core.next_id_, core.highest_round_,
                               core.register_round_, std::uint64_t{core.value_dirty_}})
      agreement::Append(bytes, word);
    Append(bytes, core.writing_stamp_);
    Append(bytes, core.written_stamp_);
    Append(bytes, core.committed_stamp_);
    agreement::Append(bytes, core.waiting_.size());
    for (const auto& waiting : core.waiting_) {
      agreement::Append(bytes, waiting.version);
      bytes += waiting.sending.to.address + Encode(waiting.sending.message);
    }
    AppendCalls(bytes, core);
    AppendAttempt(bytes, core);
    AppendProposal(bytes, core);
    for (const auto& [life, watch] : core.watch_) agreement::Append(bytes, watch.alive ? 1 : 0);
    for (const auto& [life, holding] : core.holdings_) {
      agreement::Append(bytes, holding.epoch);
      Append(bytes, holding.stamp);
    }
    return bytes;
  }

  static bool MayPropose(const Core& core) {
    return core.member() && !core.proposal_ && (core.sealed() || core.Installed());
  }
  static const State& StateOf(const Core& core) { return core.state_; }
  static const Record& HeldOf(const Core& core) { return *core.held_; }
  static void Propose(Core& core, std::vector<Member> members, Out& out) {
    if (core.sealed()) members = core.state_.accepted->members;
    core.Propose(kNow, std::move(members), out);
    core.Settle(kNow, out);
  }
  static void Ping(Core& core, Out& out) { core.Ping(kNow, out); }
  static bool IsPing(const Core& core, std::uint64_t id) {
    return std::any_of(core.pings_.begin(), core.pings_.end(), [id](const auto& p) { return p.first == id; });
  }
  static bool Awaits(const Core& core, std::uint64_t request) {
    if (core.proposal_ && core.proposal_->request == request) return true;
    if (core.attempt_ && core.attempt_->request == request) return true;
    return std::any_of(core.calls_.begin(), core.calls_.end(),
                       [request](const auto& call) { return call.request == request; });
  }
  static bool MayRetry(const Core& core) { return core.attempt_after_ > kNow && !core.attempt_; }
  static void Retry(Core& core, Out& out) {
    core.attempt_after_ = {};
    core.Settle(kNow, out);
  }
  // With all that are there answering.
  static bool HandedOver(Core core) {
    for (const Member& m : core.state_.roster.members) {
      core.peers_[m.life].answered = kNow;
      core.peers_[m.life].epoch = core.state_.roster.epoch;
    }
    return core.member() && core.HandedOver(kNow);
  }
  static bool KnowsHolding(const Core& core, const Life& life, std::uint64_t epoch, const Stamp& stamp) {
    const auto holding = core.holdings_.find(life);
    return holding != core.holdings_.end() && holding->second.epoch >= epoch &&
           holding->second.stamp >= stamp;
  }
};

}  // namespace curlewdoor::agreement
