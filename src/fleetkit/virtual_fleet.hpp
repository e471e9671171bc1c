// Plays a rehearsal of several gateways in virtual time: the machines that the daemon runs, their messages as
// the bytes that pass between daemons, a network and clocks of our own, one queue. The same seed gives the
// same events.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "duty/duty_manager.hpp"
#include "fleet/membership_protocol.hpp"
#include "fleetkit/stage.hpp"
#include "standin/ledger.hpp"

namespace curlewdoor::fleetkit {

// What a mutant does wrong on purpose: each must be caught by a judge. For proofs only.
enum class Mutant {
  kNone,
  kNeverRefutes,
  kOneBoot,
  kDeadNotAsked,
  kLowestName,      // holds what nobody in its view with a lower name could hold
  kVoterNotSilent,  // after a restart
};

struct Traffic {
  std::uint64_t datagrams = 0, bytes = 0;
};

class VirtualFleet : Hand {
 public:
  VirtualFleet(const Scenario& scenario, std::uint64_t seed, Mutant mutant = Mutant::kNone);
  ~VirtualFleet() override;

  // To be called once. `seconds` above 0: plays on for so long behind the last fault.
  Result Play(double seconds = 0);

  double now() const { return now_; }
  const Traffic& traffic() const { return traffic_; }
  std::uint64_t hash() const { return hash_; }            // of all that was sent and told, in its order
  std::uint64_t told_dead() const { return told_dead_; }  // of members that were there, over all gateways
  std::string Views() const;  // what each gateway sees, a line each: for the report of a failure

 private:
  struct Gateway {
    std::unique_ptr<fleet::MembershipProtocol> machine;
    std::unique_ptr<duty::DutyManager> duties;  // where the scenario has them
    std::uint64_t told_view = 0;                // version of the view that they know
    std::uint64_t lowest_token = 0;             // of kLowestName, while it holds
    bool ledger_held = false;
    std::deque<standin::Ledger::Call> on_the_way;
    int life = 0;
    bool up = false, stopped = false;
    double rate = 1, offset = 0;
    double wake = -1;                        // when it is to be called, of the true time
    std::deque<std::function<void()>> held;  // what came while it was stopped
    std::string name;
  };
  struct Event {
    double at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void Start(int process, const std::string& name) override;
  void Kill(int process) override;
  void Term(int process) override;
  void Stop(int process) override;
  void Continue(int process) override;
  void Upgrade(int process) override;

  void HandOver(int holder, int to) override;
  void HoldLedger(int process, bool on) override;
  void SetVoters(const std::vector<int>& voters, const std::vector<int>& before) override;

  void StartDuties(int process);
  void CarryDuties(int process, duty::DutyOutput out);
  void TellDuties(int process, const fleet::ProtocolOutput& out);
  void Act(int process, int life);
  void Append(const standin::Ledger::Call& call);
  duty::DutyOptions DutyOptionsOf(int process) const;
  double TrueTime(const Gateway& gateway, fleet::Time local) const;

  fleet::Time Local(const Gateway& gateway) const;
  void At(double at, std::function<void()> what);
  void WithMachine(
      int process,
      const std::function<void(fleet::MembershipProtocol&, fleet::Time, fleet::ProtocolOutput&)>& call);
  void Carry(int process, fleet::ProtocolOutput out);
  void Mutate(int process, fleet::GossipMessage& message) const;
  void SendDatagram(int from, const fleet::OutgoingMessage& sending);
  void SendExchange(int from, const fleet::OutgoingMessage& sending);
  void Deliver(int to, std::string bytes);
  void Run(int process, std::function<void()> what);
  void Arm(int process);
  void Look();
  fleet::MembershipOptions OptionsOf(int process) const;
  static Address AddressOf(int process);
  static int ProcessAt(const Address& address);
  void Mix(std::uint64_t value) { hash_ = (hash_ ^ value) * 0x9e3779b97f4a7c15ull; }

  const Scenario scenario_;
  const Mutant mutant_;
  const std::uint64_t seed_;
  standin::Random random_;
  Stage stage_;
  std::vector<Gateway> gateways_;
  std::vector<Seen> seen_;
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  double now_ = 0;
  bool look_due_ = true;
  std::vector<std::string> voters_, voters_before_;
  standin::Ledger ledger_;
  Traffic traffic_;
  std::uint64_t hash_ = 0, told_dead_ = 0;
};

}  // namespace curlewdoor::fleetkit
