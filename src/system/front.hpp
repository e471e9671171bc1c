// The data plane: takes clients' requests, finds route and tenant, asks the count, sends to a host of the
// route's service and passes the answer on. Decides nothing itself: policy says where and who, Leases whether
// within the quota, Chooser which host, trying what follows.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "load_balancing/load_balancer.hpp"
#include "logic/leases.hpp"
#include "net/door.hpp"
#include "net/drain_schedule.hpp"
#include "net/uploads.hpp"
#include "net/upstream.hpp"
#include "policy/policy.hpp"
#include "policy/split_sequence.hpp"
#include "quota/priority_throttle.hpp"
#include "registry_replication/lease.hpp"
#include "retry/attempt.hpp"
#include "service_registry/hosts_by_service.hpp"
#include "settings/settings.hpp"
#include "util/hash.hpp"

namespace curlewdoor::system {

class Front : public net::Door, net::Inputs, net::Uploads::Owner, net::Dialect, Leases::Port {
 public:
  // Adds to the tenant's count, wherever it stands; the answer comes by OnCount().
  using AddToCount = std::function<void(const std::string& tenant, const AddToCounter& call)>;
  using OffsetOf = std::function<Duration(const std::string& tenant)>;

  // Whether what is known here may be gone by: the list of hosts, and the configuration in force. Empty:
  // always.
  struct Knowledge {
    const registry_replication::RegistryLease* hosts = nullptr;
    std::function<bool()> config_is_current{};
  };
  Front(struct ev_loop* loop, const settings::NodeSettings& settings, net::Descriptors& descriptors,
        std::uint64_t seed, AddToCount add, OffsetOf offset, Knowledge knowledge);
  Front(struct ev_loop* loop, const settings::NodeSettings& settings, net::Descriptors& descriptors,
        std::uint64_t seed, AddToCount add, OffsetOf offset)
      : Front(loop, settings, descriptors, seed, std::move(add), std::move(offset), Knowledge{}) {}
  ~Front() override;

  // Only forward: an older version than the one in force changes nothing.
  void SetPolicy(std::shared_ptr<const policy::Policy> policy);
  const std::shared_ptr<const policy::Policy>& policy() const { return policy_; }
  void SetHosts(const service_registry::HostsByService& hosts);
  // How many there are, and which this one is of those in its zone.
  // Tells whether that is another part of the hosts than before.
  bool SetGateways(int gateways, std::size_t index, std::size_t in_zone);
  // Of a tenant in force; nullptr: it isn't known.
  std::shared_ptr<const Plan> PlanOf(const std::string& tenant) const;
  // Requests that wait until what is known here is proved go on, if it is, or if that is done without.
  void SendWaiting();
  void OnCount(const CounterReply& answer);
  void CountLater(const CounterReply& answer);  // the same from within AddToCount: from the loop

  // The process has been told to end: from now on requests are passed on only as the schedule allows, and
  // connections end with their request.
  void BeginShutdown(const net::DrainSchedule& schedule);
  // Declines what can no longer be answered in time and is at no host. Regularly during the shutdown.
  void DeclineUnfinishable();
  // The process ends at once: nothing more is passed on.
  void EndShutdown();

  // What is to be done now and then: times, idle connections.
  void KeepHouse();
  // Closes what holds too much, and frees what was closed. Not from within an event of a connection.
  void ReapAll();
  std::size_t open_requests() const { return requests_.size(); }
  // Requests that wait for their answer.
  struct OpenWork {
    std::size_t requests = 0;
    std::size_t at_hosts = 0;  // of these, written whole to a host
    TimePoint last_arrival{};  // of the youngest
  };
  OpenWork CountOpenWork() const;

  struct Figures {
    std::uint64_t requests = 0, passed = 0, declined = 0, beyond_quota = 0, failed = 0, again = 0;
    std::uint64_t no_route = 0, no_key = 0, expired = 0, left = 0;
    std::uint64_t waited = 0;    // until what is known here was proved
    std::uint64_t unproved = 0;  // attempts sent though it couldn't be had
    std::uint64_t too_late = 0;  // declined because the process is about to end
    // Attempts written to a host although the list says that it leaves, or is neither proved nor given up:
    // none, unless the process is paused in the microseconds between the choice and the write.
    std::uint64_t written_to_leaving = 0;
  };
  const Figures& figures() const { return figures_; }
  std::uint64_t opened() const { return upstream_.opened(); }
  std::uint64_t host_connections_evicted() const { return upstream_.evicted(); }
  std::size_t host_connections() const { return upstream_.connections(); }
  const Leases::Figures& quota_figures() const { return leases_.figures(); }
  std::vector<Leases::CustomerView> LookAtTenants() { return leases_.ListCustomers(Now()); }  // for operators

 private:
  // What no configuration's limit goes beyond here; the limit in force is looked at with each request.
  static constexpr std::uint64_t kLargestOfAll = std::uint64_t{1} << 30;
  // A host's own answer at the deadline goes first.
  static constexpr Duration kExpiryMargin = std::chrono::milliseconds(20);
  // Hosts are told whole milliseconds, counted as the request is written.
  static constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(2);
  static constexpr Duration kExpiredRetryAfter = std::chrono::milliseconds(50);

  struct Service {
    std::string name;
    load_balancing::LoadBalancer chooser;
    retry::RetryBudget budget;
    std::map<std::string, double> means;  // seconds that answers take, by route
    bool known = true;
  };
  struct Request {
    RequestId id;
    std::shared_ptr<const policy::Policy> policy;  // from its arrival to its end
    const policy::Route* route = nullptr;
    Service* service = nullptr;
    std::string tenant, wire_id;
    retry::AttemptSequence course;  // of its attempts at hosts
    Leases::Claim claim;
    bool held_open = false;  // its customer's `open` counts it
    Duration spent{};        // that its client has waited already
    int rank = 0;            // of its route among all, 0 is the highest
    int steps = 0;           // behind what goes first where its tenant is beyond its quota
    TimePoint arrived, expires;
    std::vector<HostId> tried;
    HostId host;  // of the latest attempt
    std::string instance;
    TimePoint sent;
  };
  struct HostInfo {
    std::string instance, service;
    Address address;
    bool leaves = false;
  };

  // Door.
  void OnRequest(net::Client& client) override;
  void OnLeft(RequestId id) override;
  net::ClientTimes times() const override { return times_; }
  std::size_t pipelined() const override;
  bool MayGoAhead(const http::Message& message) const override;
  std::uint64_t largest_body() const override { return kLargestOfAll; }
  std::uint64_t LargestBody() const override { return kLargestOfAll; }
  // Inputs.
  void Post(Input input) override;
  TimePoint Now() override;
  Duration Unseen(int) override { return {}; }
  using Door::OnAnswerRoom;
  using Door::OnUpload;
  void OnUpload(RequestId id) override;
  void OnAnswerRoom(RequestId request) override { upstream_.ReadOn(request); }
  void OnAnswerLost(RequestId request) override { upstream_.DropStream(request); }
  bool WantsAnswer(RequestId request) override { return WantsBytes(request); }
  void OnAnswerBytes(RequestId request, std::string_view bytes) override { DeliverBytes(request, bytes); }
  void OnAnswerEnd(RequestId request, bool whole) override { EndDelivery(request, whole); }
  void OnBytesSent(const AttemptId& attempt) override;
  // Uploads.
  void OnWhole(RequestId) override {}
  void OnBound(const AttemptId& attempt) override;
  // Dialect.
  std::initializer_list<std::string_view> Dropped() const override;
  bool MaySend(const AttemptId& attempt, Duration left) const override;
  void AppendLines(const AttemptId& attempt, Duration left, std::string& out) const override;
  net::Whose Belongs(const AttemptId& attempt, const http::Message& answer) const override;
  bool NotRun(const http::Message& answer) const override;
  std::string_view ProbeHead(bool) const override { return {}; }
  Duration KeepAlive(const http::Message& answer) const override;
  Duration Unacknowledged() const override;
  // Leases.
  void Admit(Leases::Claim& claim) override;
  void Deny(Leases::Claim& claim, Duration retry_after) override;
  void Add(const std::string& customer, const AddToCounter& call) override { add_(customer, call); }
  void StartTimer(const SetTimer& timer) override;
  void WriteLog(const WriteLogLine& line) override;
  Duration ClockOffset(const std::string& customer) const override { return offset_(customer); }

  template <typename Do>
  void Run(Do&& act);  // and all that is posted meanwhile
  void Handle(const Input& input);
  Request* Find(RequestId id);
  void Hear(const AttemptId& attempt, retry::AttemptEvent::Kind kind);
  void HearAnswer(const AttemptAnswered& answered);
  void GiveUp(Request& request, load_balancing::AttemptFeedback end);
  void RefuseBody(Request& request);  // longer than its configuration allows
  void Begin(RequestId id);
  void Dispatch(Request& request);
  void Attempt(Request& request);
  bool MayFinish(const Request& request);
  bool IsUnfinishable(const Request& request);
  void ConcludeTooLate(Request& request);
  void Expire(Request& request);  // its client waits no longer
  bool MaySendToHost(const Request& request) const;
  void FailWhatBlocksAnswers();
  bool MaySendNow() const { return knowledge_.hosts == nullptr || knowledge_.hosts->MaySend(RegistryNow()); }
  bool MayTakeIn() const {
    return MaySendNow() && (!knowledge_.config_is_current || knowledge_.config_is_current());
  }
  void TakeIn(RequestId id, TimePoint arrived);
  static registry_replication::Time RegistryNow() { return std::chrono::steady_clock::now(); }
  void EndAttempt(Request& request, const retry::AttemptOutcome& ending, const http::Message* answer);
  void Conclude(Request& request, Duration retry_after, int status);
  Duration ComeBack(const Request& request);
  void Forget(Request& request);
  void Refuse(Request& request, Duration retry_after);  // beyond its tenant's quota
  void ArmTimer();
  void OnTimer();
  Service& ServiceOf(const std::string& name);
  double Mean(const Request& request) const;
  double Random() { return Fraction(rng_()); }  // 0 to 1

  struct ev_loop* loop_;
  const settings::NodeSettings settings_;
  const AddToCount add_;
  const std::function<Duration(const std::string&)> offset_;
  const Knowledge knowledge_;
  std::mt19937_64 rng_;
  curlewdoor::Settings upstream_settings_;
  net::Upstream upstream_;
  net::Uploads uploads_;
  Leases leases_;
  quota::PriorityThrottle pressure_;
  std::shared_ptr<const policy::Policy> policy_;
  std::unordered_map<std::string, std::shared_ptr<const Plan>> plans_;  // of the policy in force, by tenant
  std::vector<int> ranks_;  // priorities that routes of the policy in force have, the highest first
  std::map<std::string, std::unique_ptr<Service>> services_;
  std::unordered_map<std::string, HostId> ids_;  // by instance
  std::unordered_map<HostId, HostInfo, IdHash> hosts_;
  std::uint64_t next_host_ = 1;
  std::unordered_map<RequestId, Request, IdHash> requests_;
  struct Arrived {
    RequestId id;
    TimePoint at;
  };
  // Until what is known here is proved; some may have ended. Not looked at yet, and without a host.
  std::deque<Arrived> not_taken_in_;
  std::deque<RequestId> waiting_;
  std::set<std::pair<TimePoint, RequestId>> deadlines_;
  std::set<std::pair<TimePoint, std::uint64_t>> count_timers_;  // by token
  net::TimerWatcher timer_, count_timer_;
  std::vector<CounterReply> counted_;
  std::deque<Input> inputs_queue_;
  bool running_ = false;
  std::optional<net::DrainSchedule> drain_schedule_;  // once the process has been told to end
  int gateways_ = 1;
  std::size_t index_ = 0, in_zone_ = 1;
  const std::uint64_t salt_;
  policy::SplitSequence split_sequence_{salt_};
  const bool fresh_;
  net::ClientTimes times_;
  mutable Figures figures_;  // the check at the write counts too
};

template <typename Do>
void Front::Run(Do&& act) {
  if (running_) return act();
  running_ = true;
  act();
  while (!inputs_queue_.empty()) {
    const Input next = std::move(inputs_queue_.front());
    inputs_queue_.pop_front();
    Handle(next);
  }
  running_ = false;
}

}  // namespace curlewdoor::system
