// A fleet-wide budget divided among gateways: the allocation of one gateway, and the divider that grants
// allocations on request. Allocations are leases: a grant counts against the whole until the gateway reports
// a smaller one in force, or until the lease ends by the divider's own, longer timer. Pure; each side passes
// its own monotonic time. docs/budgets.md has the proof that allocations in force never sum to more than the
// whole, and its assumptions. Not used by the daemon yet. Based on Google's Doorman (capacity leases, a wait
// of one lease for a new master, safe capacity).
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "duty/lease.hpp"

namespace curlewdoor::budget {

using duty::Duration;
using duty::Incarnation;
using duty::Time;

// Units of the budget: concurrent requests, or thousandths of a rate. Integers, so that sums are exact.
using Units = std::int64_t;

// Parameters of one budget, equal on both sides.
struct BudgetTerms {
  Units whole = 0;           // above 0
  Units reserve = 0;         // part of it, reserved for unreachable gateways; 0 to whole
  std::size_t gateways = 1;  // configured fleet size, never the number that is reachable
  duty::LeaseTerms lease{};  // duration of an allocation, and the bound on clock differences

  Units divided() const { return whole - reserve; }
  // Units that each gateway may use without a grant.
  Units safe() const { return reserve / static_cast<Units>(std::max<std::size_t>(1, gateways)); }
};

// A gateway's request to the divider.
struct AllocationRequest {
  std::uint64_t sequence = 0;  // of this incarnation; increases
  Incarnation requester = 0;
  std::uint64_t token = 0;  // the divider's token, as far as the gateway knows
  Units part = 0;           // in force at the time of the request, from any divider
  Units want = 0;
};

// The divider's response.
struct AllocationGrant {
  std::uint64_t sequence = 0;
  Incarnation requester = 0;  // the requester: another incarnation restarts its sequence
  std::uint64_t token = 0;    // fencing token of the divider
  bool accepted = true;       // false: the request had another token; request again with this one
  Units part = 0;
};

// The gateway side of one budget.
class Allocation {
 public:
  Allocation(const BudgetTerms& terms, Incarnation incarnation) : terms_(terms), incarnation_(incarnation) {}

  // Creates a request; responses to earlier requests are ignored from now on.
  AllocationRequest Ask(Time now, Units want) {
    asked_at_ = now;
    return {++sequence_, incarnation_, divider_, Granted(now), std::max<Units>(0, want)};
  }
  // Records the current divider's token; a request with a token was made after that divider started.
  void ObserveDivider(std::uint64_t token) { divider_ = std::max(divider_, token); }
  // False: the grant is late, repeated, or from a superseded divider.
  bool OnGrant(Time now, const AllocationGrant& grant) {
    ObserveDivider(grant.token);
    if (!grant.accepted || grant.requester != incarnation_ || grant.sequence != sequence_ ||
        grant.token < token_ || answered_ == std::pair(sequence_, grant.token))
      return false;
    const Time until = asked_at_ + terms_.lease.hold_time();
    if (now >= until) return false;
    token_ = grant.token;
    answered_ = {sequence_, grant.token};
    part_ = std::max<Units>(0, grant.part);
    until_ = until;
    return true;
  }

  Units Granted(Time now) const { return now < until_ ? part_ : 0; }
  // Units that may be used now; check at each use.
  Units Allowed(Time now) const { return terms_.safe() + Granted(now); }
  Time until() const { return until_; }
  Time asked_at() const { return asked_at_; }
  std::uint64_t sequence() const { return sequence_; }
  std::uint64_t token() const { return token_; }
  std::uint64_t divider() const { return divider_; }

 private:
  BudgetTerms terms_;
  Incarnation incarnation_;
  std::uint64_t sequence_ = 0, token_ = 0, divider_ = 0;
  std::pair<std::uint64_t, std::uint64_t> answered_{};  // sequence and token of the last accepted grant
  Units part_ = 0;
  Time asked_at_{}, until_{};
};

// Max-min fair division: wants below the even share are met, and the others share the rest evenly. Remainders
// go to the first in the order of `wants`. The sum never exceeds `whole`.
std::vector<Units> DivideFairly(Units whole, const std::vector<Units>& wants);

// The divider side of one budget, for one term of holding the duty.
class Divider {
 public:
  static constexpr std::size_t kMaxAccounts = 2048;  // twice the members of a fleet view

  // `gained`: when it acquired the duty; `token`: the fencing token of that term.
  Divider(const BudgetTerms& terms, std::uint64_t token, Time gained)
      : terms_(terms), token_(token), grants_from_(gained + terms.lease.restart_wait()) {}

  // Until grants of earlier dividers have expired, a gateway gets at most what it reports as in force, and
  // only for requests with this term's token: units in force before may have been granted to another gateway
  // since (the model check found a late request that was renewed beside the earlier divider's new grant).
  AllocationGrant OnRequest(Time now, const AllocationRequest& want);

  // Units that may be in force anywhere, as far as this divider knows.
  Units Committed(Time now) const;
  std::size_t incarnations() const { return accounts_.size(); }
  Time grants_from() const { return grants_from_; }
  // What the divider knows of one gateway incarnation.
  struct Account {
    std::uint64_t sequence = 0;
    Units reported = 0;  // reported as in force by the last request
    Units granted = 0;   // in response to it
    Units want = 0;
    Time ends{};  // expiry of both
  };
  const std::map<Incarnation, Account>& accounts() const { return accounts_; }

 private:
  Units Target(Time now, Incarnation requester) const;

  BudgetTerms terms_;
  std::uint64_t token_;
  Time grants_from_;
  std::map<Incarnation, Account> accounts_;
};

}  // namespace curlewdoor::budget
