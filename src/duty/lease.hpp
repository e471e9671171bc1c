// Leases for duties, which at most one gateway holds at a time: a voter promises a duty to one candidate, and
// a candidate holds the lease once a majority of voters has granted it. Pure: each side passes in its own
// monotonic time, and clocks of different gateways are never compared. docs/duties.md proves that two
// gateways never hold a duty together and lists the assumptions. src/duty/duty_manager sends the messages and
// keeps the timers.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace curlewdoor::duty {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

// Parameters of a lease, equal for all gateways of a fleet.
struct LeaseTerms {
  // Duration of a promise (L), on the voter's clock, from the moment of the grant.
  Duration lease = std::chrono::seconds(3);
  // Clock error (e): every clock runs at between 1 - e and 1 + e of true time. Below 1.
  double clock_bound = 0.01;
  std::size_t voters = 3;  // an odd number
  // Lists of voter indices while the voters change; a majority of each list is required. Empty: a single list
  // of all voters.
  std::vector<std::vector<std::size_t>> voter_lists{};

  std::size_t majority() const { return voters / 2 + 1; }
  bool IsMajority(const std::set<std::size_t>& granting) const {
    if (voter_lists.empty()) return granting.size() >= majority();
    for (const std::vector<std::size_t>& list : voter_lists) {
      std::size_t votes = 0;
      for (std::size_t voter : list) votes += granting.count(voter);
      if (2 * votes <= list.size()) return false;
    }
    return true;
  }
  // How long a holder may act, on its own clock and from before it sent the request. Ends before any voter's
  // promise does.
  Duration hold_time() const { return Scaled((1 - clock_bound) / (1 + clock_bound)); }
  // How long a restarted voter abstains, on its own clock. Every promise of its previous incarnation has
  // expired by then.
  Duration restart_wait() const { return Scaled((1 + clock_bound) / (1 - clock_bound)); }

 private:
  Duration Scaled(double factor) const {
    return Duration(static_cast<Duration::rep>(static_cast<double>(lease.count()) * factor));
  }
};

// Identifies one incarnation of a gateway, as membership tells them apart.
using Incarnation = std::uint64_t;

// Asks a voter for a promise, or for the renewal of one.
struct LeaseRequest {
  std::uint64_t request_id = 0;  // increases with each request of this candidate
  Incarnation candidate = 0;
  std::uint64_t token = 0;
};

// Vote on a LeaseRequest.
struct LeaseReply {
  std::uint64_t request_id = 0;
  bool granted = false;
  // Highest token that the voter has seen; a refused candidate continues above it.
  std::uint64_t highest_token = 0;
};

// Promises a duty to at most one candidate at a time.
class Voter {
 public:
  // `floor`: no earlier incarnation can have granted a token above it (docs/duties.md, "Tokens rise").
  Voter(const LeaseTerms& terms, Time started, std::uint64_t floor)
      : lease_(terms.lease), votes_from_(started + terms.restart_wait()), highest_token_(floor) {}

  // Grants the request if no other candidate holds a promise and the token is either new or the one already
  // granted to this incarnation.
  LeaseReply OnRequest(Time now, const LeaseRequest& request) {
    const bool free = now >= promised_until_ || promised_to_ == request.candidate;
    const bool renewed = own_token_ && promised_to_ == request.candidate && request.token == highest_token_ &&
                         now < promised_until_;
    if (now < votes_from_ || !free || (request.token <= highest_token_ && !renewed))
      return {request.request_id, false, highest_token_};
    promised_to_ = request.candidate;
    own_token_ = true;
    highest_token_ = request.token;
    promised_until_ = now + lease_;
    return {request.request_id, true, highest_token_};
  }

  // Passes the promise of the holder, which stopped acting before it sent this, to the incarnation `to`, or
  // releases it (0). A late or repeated transfer finds another token or holder and has no effect.
  bool OnTransfer(Time now, Incarnation from, std::uint64_t token, Incarnation to) {
    if (now < votes_from_ || now >= promised_until_ || promised_to_ != from || token != highest_token_)
      return false;
    if (to == 0) promised_until_ = now;
    promised_to_ = to;
    // Prevents the next holder from renewing its predecessor's token, if it had requested the same number and
    // its request arrives only now (found by the model check).
    own_token_ = false;
    return true;
  }
  // How long no other candidate can receive a promise; zero: the duty is free.
  Duration RemainingPromise(Time now) const {
    return std::max({Duration::zero(), promised_until_ - now, votes_from_ - now});
  }

  // State passed to the new process of an upgrade, which continues as the same voter. Times are on the clock
  // of this machine.
  struct Promise {
    Time votes_from{}, promised_until{};
    Incarnation promised_to = 0;
    std::uint64_t highest_token = 0;
    bool own_token = false;
  };
  Promise ExportState() const {
    return {votes_from_, promised_until_, promised_to_, highest_token_, own_token_};
  }
  void ImportState(const Promise& promise) {
    votes_from_ = promise.votes_from;
    promised_until_ = promise.promised_until;
    promised_to_ = promise.promised_to;
    own_token_ = promise.own_token && promise.highest_token >= highest_token_;
    highest_token_ = std::max(highest_token_, promise.highest_token);
  }
  void SetLease(Duration lease) { lease_ = lease; }
  // Abstains until then: promises that this voter does not know of may have been made in its name.
  void AbstainUntil(Time until) { votes_from_ = std::max(votes_from_, until); }

  Time votes_from() const { return votes_from_; }
  Time promised_until() const { return promised_until_; }
  Incarnation promised_to() const { return promised_to_; }
  std::uint64_t highest_token() const { return highest_token_; }

 private:
  Duration lease_;
  Time votes_from_, promised_until_{};
  Incarnation promised_to_ = 0;
  // Whether promised_to_ requested highest_token_ itself, rather than inheriting it from the previous holder.
  bool own_token_ = false;
  std::uint64_t highest_token_;
};

// Requests a duty and holds its lease while a majority of voters has promised it.
class Candidate {
 public:
  Candidate(const LeaseTerms& terms, Incarnation incarnation) : terms_(terms), incarnation_(incarnation) {}

  // Starts a new request to all voters. A holder asks for the same token again, which renews the lease.
  LeaseRequest BeginRequest(Time now) {
    if (!IsHolding(now)) token_ = ++highest_token_;
    requested_at_ = now;
    granted_by_.clear();
    return {++request_id_, incarnation_, token_};
  }
  // Counts each voter once and ignores replies to earlier requests.
  void OnReply(std::size_t voter, const LeaseReply& reply) {
    if (reply.request_id != request_id_ || voter >= terms_.voters) return;
    if (reply.highest_token > highest_token_) highest_token_ = reply.highest_token;
    if (!reply.granted) return;
    granted_by_.insert(voter);
    if (!terms_.IsMajority(granted_by_)) return;
    held_until_ = requested_at_ + terms_.hold_time();
    held_token_ = token_;
  }

  // Releases the duty. Replies that are still in flight no longer count.
  void Release() {
    held_until_ = {};
    requested_at_ = {};
    ++request_id_;
    granted_by_.clear();
  }
  // Records a token that a voter reported outside of a reply to a request.
  void ObserveToken(std::uint64_t token) { highest_token_ = std::max(highest_token_, token); }
  void SetTerms(const LeaseTerms& terms) { terms_ = terms; }

  // State passed to the new process of an upgrade, which continues as the same candidate.
  struct Snapshot {
    std::uint64_t request_id = 0, token = 0, highest_token = 0, held_token = 0;
    Time requested_at{}, held_until{};
  };
  Snapshot ExportState() const {
    return {request_id_, token_, highest_token_, held_token_, requested_at_, held_until_};
  }
  void ImportState(const Snapshot& snapshot) {
    // Replies to requests of the other process must not count here.
    request_id_ = snapshot.request_id + 1;
    token_ = snapshot.token;
    highest_token_ = snapshot.highest_token;
    held_token_ = snapshot.held_token;
    requested_at_ = snapshot.requested_at;
    held_until_ = snapshot.held_until;
    granted_by_.clear();
  }

  // Must be checked before each action; the action carries token().
  bool IsHolding(Time now) const { return now < held_until_; }
  std::uint64_t token() const { return held_token_; }
  Time held_until() const { return held_until_; }
  Time requested_at() const { return requested_at_; }
  std::uint64_t request_id() const { return request_id_; }
  std::uint64_t requested_token() const { return token_; }
  std::uint64_t highest_token() const { return highest_token_; }
  const std::set<std::size_t>& granted_by() const { return granted_by_; }
  // The target of an action rejected the token and reported the highest one it has seen.
  void OnTokenRejected(std::uint64_t highest_token) {
    if (highest_token > highest_token_) highest_token_ = highest_token;
    held_until_ = {};
  }

 private:
  LeaseTerms terms_;
  Incarnation incarnation_;
  std::uint64_t request_id_ = 0, token_ = 0, highest_token_ = 0, held_token_ = 0;
  Time requested_at_{}, held_until_{};
  std::set<std::size_t> granted_by_;
};

}  // namespace curlewdoor::duty
