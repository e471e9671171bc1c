// Declares the gateway's state and the functions that logic.cpp defines. Contains no decisions.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "logic.hpp"
#include "logic/leases.hpp"
#include "logic_records.hpp"
#include "util/hash.hpp"

namespace curlewdoor {

using namespace records;  // internal to the module

// Implementation of Gateway; logic.cpp has the details.
class Gateway::Impl : public Leases::Port {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::make_shared<Settings>(std::move(settings))), rng_(seed), leases_(*this, rng_) {}
  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions);
  std::size_t EjectedHosts(TimePoint now) {
    now_ = std::max(now_, now);
    return CountEjected(MaxEjection());
  }
  GatewaySnapshot ExportState();
  void ImportState(const GatewaySnapshot& state);
  void ResumeServing(TimePoint now);

 private:
  std::shared_ptr<const Plan> FindPlan(const std::string& name) const;
  void ApplySettings(std::shared_ptr<const Settings> settings);
  void On(const SettingsChanged& event) { ApplySettings(event.settings); }
  Customer* FindCustomer(const RequestArrived& event);
  // Callbacks of Leases.
  void Admit(Claim& claim) override;
  void Deny(Claim& claim, Duration retry_after) override;
  void Add(const std::string&, const AddToCounter& call) override { Emit(call); }
  void StartTimer(const SetTimer& timer) override { Emit(timer); }
  void WriteLog(const WriteLogLine& line) override { Emit(line); }
  bool WithinConcurrencyLimit(Request& r);
  // Hosts.
  void On(const HostList& event);
  void SelectSubset();
  bool IsCold(const Host& h) const;
  double ColdCapacity(const Host& h) const;  // lower bound of its fraction of full capacity
  double RefillColdBudget(Host& h);
  bool IsEjected(const Host& h, Duration longest) const;
  std::size_t CountEjected(Duration longest) const;
  Duration MaxEjection() const;
  double Capacity(const Host& h) const;
  double ExpectedDelay(const Host& h) const;
  bool MayRetryOn(const Request& r, const Host& h) const;  // rule 2
  Host* ChooseHost(const Request& r);
  void RecordFailure(Host& h);
  void RecordSlowness(Host& h, double slowness);
  void RecordLate(Host& h);  // an attempt exceeded its late threshold, finished or not
  void MarkOverdue();        // records hanging attempts as late when due, not at their end
  void RecordOutcome(Host& h, const Request& r, const Attempt& attempt, const AttemptEnded& event);
  void UpdateWarmRate(const Host& h);  // reference for what a cold host may receive
  int Gateways() const { return std::max(1, settings_->gateways); }
  double EvenShare(double each) const;
  double ConcurrencyShare(double per_host) const;
  void AdjustLimit(double step, double least);
  double ExpectedTime(const Request& r) const;     // seconds, by class and units; 0: unknown
  Duration LateThreshold(const Request& r) const;  // part of the target, plus time for a large request
  bool Send(Request& r, Host& h);
  TimePoint AttemptExpiry(const Request& r) const;
  void Dispatch(Request& r);
  bool MayRefuse(const Request& r) const;  // rule 2: a refusal implies that a retry is safe
  void Finish(Request& r, bool refuse, Duration retry_after);  // the only place that answers
  void On(const AttemptEnded& event);
  void On(const AttemptStarted& event);
  bool Retry(Request& r);
  void CancelPending(Request& r);
  void EraseIfDone(RequestId id);
  double ValueDensity(const Request& r);  // worth per second of host time
  bool FitsCapacity(const Request& r);
  Duration RetryAdvice(const Request& r);  // spread, so that refused clients do not return together
  void On(const RequestArrived& event);
  void On(const RequestAbandoned& event);
  void On(const TimerFired& event);
  void On(const CounterReply& event) { leases_.OnCounterReply(now_, event); }
  void On(const CounterPartition& event) { leases_.OnCounterPartition(now_, event); }
  void On(const ProbeEnded&) {}  // unused: the gateway sends no probes or peer messages
  void On(const PeerMessage&) {}
  template <typename A>
  void Emit(A action) {
    actions_->push_back(std::move(action));
  }
  double Random() { return Fraction(rng_()); }

  std::shared_ptr<const Settings> settings_;
  LoadState load_;
  std::mt19937_64 rng_;
  Leases leases_;
  TimePoint now_;
  bool started_ = false;
  std::vector<Action>* actions_ = nullptr;
  std::unordered_map<RequestId, Request, IdHash> requests_;
  std::map<HostId, Host> hosts_;
  std::vector<Host*> ready_;                                  // in order of id
  std::vector<Host*> subset_;                                 // the part of ready_ that this gateway prefers
  double total_capacity_ = 0;                                 // of ready_ in total
  std::map<std::string, std::shared_ptr<ClassState>> stats_;  // by class
  double pending_work_ = 0;                                   // in mean requests
};

}  // namespace curlewdoor
