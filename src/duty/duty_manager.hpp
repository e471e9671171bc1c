// One gateway's part in the duties of its fleet, as a state machine. It votes if the configuration names it
// as a voter, requests duties that nobody holds, and holds, renews and transfers leases. Inputs are messages,
// the membership view and time; outputs are messages and changes. Pure: the daemon and the simulation in
// virtual time run the same code.
//
// Safety (at most one holder at a time) rests on a majority of the configured voters, on monotonic clocks
// within a bounded error and on tokens (src/duty/lease.hpp, docs/duties.md). It never rests on the membership
// view, which only tells which gateways to contact and whether a request can succeed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "duty/lease.hpp"
#include "duty/message.hpp"

namespace curlewdoor::duty {

inline constexpr std::size_t kMaxVoters = 7;

// Configuration of the duties of one gateway.
struct DutyOptions {
  std::string name;                        // of this gateway, as in the membership
  std::vector<std::string> voters;         // 1, 3, 5 or 7 names
  std::vector<std::string> voters_before;  // the previous list while the voters change; else empty
  std::vector<std::string> duties;         // 1 to kMaxDuties distinct names
  Duration lease = std::chrono::seconds(3);
  double clock_bound = 0.01;
  bool operator==(const DutyOptions&) const = default;
};

// Identifies one start of a gateway; another start under the same name has another value.
Incarnation IncarnationOf(std::string_view name, std::uint64_t boot);

// What the membership reports. A hint which gateways to contact; safety does not rest on it.
struct FleetView {
  Incarnation incarnation = 0;  // of this gateway
  struct Peer {
    Incarnation incarnation = 0;
    bool accepts_duties = false;
  };
  std::map<std::string, Peer> others;  // present members other than this gateway
};

// An encoded message to another gateway.
struct OutgoingMessage {
  std::string to;  // name of the member
  std::string bytes;
};

// A change of a lease of this gateway.
struct DutyChange {
  enum class Kind : std::uint8_t {
    kGained,
    kLost,          // the lease expired
    kTransferred,   // `text`: the successor
    kTokenRejected  // the target of an action rejected the token
  } kind = Kind::kGained;
  std::string duty;
  std::uint64_t token = 0;
  std::string text;
  // The last moment at which this gateway may have acted under the token.
  Time until{};
};

// Results of a call: messages to send and changes to report.
struct DutyOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<DutyChange> changes;
};

// State of one duty, for operators and tests. `acts` counts authorized actions, `stale` rejected tokens.
struct DutyStatus {
  std::string duty;
  std::string_view state;  // waiting, asking, holding, passing
  std::string holder;      // as last reported by voters, or this gateway; empty: none known
  std::uint64_t token = 0;
  Duration lease_left{};          // of this gateway
  Time since{};                   // start of the current state
  std::size_t granted_votes = 0;  // votes for the latest request
  std::uint64_t changes = 0, acts = 0, stale = 0;
};

// State machine for the duties of one gateway.
class DutyManager {
 public:
  // `floor`: no earlier incarnation of the voter on this gateway can have granted a token above it: boot *
  // 2^20.
  DutyManager(DutyOptions options, std::uint64_t floor, std::uint64_t seed);

  // From now on the voter on this gateway abstains for the longest time that an earlier incarnation may have
  // promised.
  void Start(Time now);
  // Must be called at NextDue(); may be called at any other time.
  void Tick(Time now, DutyOutput& out);
  std::optional<Time> NextDue() const;
  void OnView(Time now, FleetView view, DutyOutput& out);
  void OnMessage(Time now, const std::string& from, Incarnation incarnation, const DutyMessage& message,
                 DutyOutput& out);

  // ---- Acting ----
  // Must be called right before each action; returns the token that the action carries, or nullopt if the
  // lease is not held.
  std::optional<std::uint64_t> AuthorizeAct(Time now, std::string_view duty);
  // The target of an action rejected the token and has seen `highest_token`. The duty is released before
  // anything else happens.
  void OnTokenRejected(Time now, std::string_view duty, std::uint64_t highest_token, DutyOutput& out);

  // ---- Transfer ----
  // Starts a transfer and returns an empty string, or returns the reason why not and changes nothing. `to`
  // empty: the gateway that holds the fewest duties.
  std::string Transfer(Time now, std::string_view duty, std::string to, DutyOutput& out);
  // Transfers all duties and requests no more. The voter keeps voting as long as the process runs.
  void Leave(Time now, DutyOutput& out);

  // ---- Configuration changes ----
  // Empty: `next` may replace the current options. Otherwise the offending key and the problem.
  std::string ReconfigureError(Time now, const DutyOptions& next) const;
  void Reconfigure(Time now, DutyOptions next, DutyOutput& out);

  // ---- Upgrade: both processes act as one voter and one candidate, on the clock of one machine ----
  std::string ExportState();
  bool ImportState(Time now, std::string_view bytes);
  // The new process died. What it promised or held in the meantime is unknown here.
  void Resume(Time now, DutyOutput& out);

  std::vector<DutyStatus> Statuses(Time now) const;
  const DutyOptions& options() const { return options_; }
  bool votes() const;
  // Voters that, as last reported, do not apply the same voter lists as this gateway.
  std::vector<std::string> VotersBehind() const;
  Duration abstains_for(Time now) const;

 private:
  enum class State { kWaiting, kRequesting, kHolding, kTransferring };
  struct Duty {
    Voter voter;
    std::string promised_to;  // name of the gateway that the voter promised the duty to
    Candidate candidate;
    State state = State::kWaiting;
    Time since{}, due{};    // `due`: the next request, retry or renewal
    Time deadline{};        // of the current request or transfer
    DutyMessage pending{};  // resent to voters that have not replied
    std::set<std::size_t> replied{};
    std::set<std::size_t> refused_by{};  // voters that refused the request
    int failed_requests = 0;             // consecutive requests without success
    std::string holder{};                // as last reported
    std::uint64_t holder_token = 0;
    std::string successor{};
    std::uint64_t transferred_token = 0;
    std::uint64_t changes = 0, acts = 0, stale = 0;
  };
  struct VoterReport {
    std::map<std::string, DutyEntry> by_duty;
  };
  struct Survey {
    std::uint32_t round = 0;
    Time deadline{};
    std::size_t duties = 0;                      // number of duties queried
    std::map<std::size_t, VoterReport> reports;  // by voter index
  };
  struct ReportedLists {  // latest voter lists that a voter reported
    VoterLists lists;
    Time since{};
  };

  void UpdateVoters();
  LeaseTerms CurrentTerms() const;
  DutyMessage NewMessage(MessageKind kind) const;
  void Send(const std::string& to, const DutyMessage& message, DutyOutput& out);
  void SendToVoters(const DutyMessage& message, const std::set<std::size_t>& except, DutyOutput& out);
  void DeliverToSelf(Time now, DutyOutput& out);
  void HandleMessage(Time now, const std::string& from, Incarnation incarnation, const DutyMessage& message,
                     DutyOutput& out);
  bool AcceptsListsOf(const DutyMessage& message) const;

  void TickDuty(Time now, const std::string& name, Duty& duty, DutyOutput& out);
  void StartSurvey(Time now, DutyOutput& out);
  void EndSurvey(Time now, DutyOutput& out);
  bool SurveyComplete() const;
  void RequestLease(Time now, const std::string& name, Duty& duty, DutyOutput& out);
  bool MajorityUnreachable(const Duty& duty) const;
  void AbandonRequest(Time now, const std::string& name, Duty& duty, DutyOutput& out);
  void LoseLease(Time now, const std::string& name, Duty& duty, DutyOutput& out);
  void EnterState(Duty& duty, State state, Time now);
  std::string BeginTransfer(Time now, const std::string& name, Duty& duty, std::string to, DutyOutput& out);
  void EndTransfer(Time now, Duty& duty, DutyOutput& out);
  std::optional<std::size_t> VoterIndex(std::string_view voter) const;
  bool MajorityPresent() const;
  std::size_t held_count() const;
  Duration RandomWait(int failed_requests = 0);  // random delay before a request
  Duration LeaseFraction(double of_lease) const;
  static DutyEntry EntryFor(const std::string& duty) {
    DutyEntry entry;
    entry.duty = duty;
    return entry;
  }

  DutyOptions options_;
  const std::uint64_t floor_;
  std::mt19937_64 random_;
  FleetView view_;
  std::vector<std::string> voters_;  // of both lists; positions are voter indices
  std::map<std::string, Duty, std::less<>> duties_;
  std::map<std::string, ReportedLists> reported_lists_;
  std::optional<Survey> survey_;
  std::uint32_t survey_round_ = 0;
  std::vector<DutyMessage> to_self_;
  bool started_ = false, leaving_ = false, exported_ = false, delivering_ = false;
};

}  // namespace curlewdoor::duty
