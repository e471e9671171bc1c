// Randomized simulation, by seed, of what registry_replication/ and directory/ guarantee about forgotten
// leaves: a gateway whose list is proved lists no host whose leave was acknowledged, however long ago and
// whichever process returns. Processes are stopped or cut off for 30 s to 10 minutes, crash, lose disks and
// are replaced; heartbeats arrive late. Mutants show that the search detects violations.
//
// CURLEWDOOR_SEARCH_SEEDS=N runs the seeds 1 to N.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "registry_replication/lease.hpp"
#include "registry_replication/replica.hpp"
#include "registry_replication/watermark.hpp"
#include "service_registry/codec.hpp"
#include "service_registry/service_registry.hpp"
#include "simulated_agreement.hpp"
#include "system/pause_watch.hpp"

namespace curlewdoor::registry_replication {
namespace {

using namespace std::chrono_literals;
using service_registry::ServiceRegistry;

enum class Mutant {
  kNone,
  kForgetsLeaves,       // forgets leaves after a minute
  kTakesOldClaims,      // accepts claims of unknown hosts whatever their stamp
  kStampsAtReceipt,     // stamps a claim by its receiver instead of the reader of the heartbeat
  kReadsOldHeartbeats,  // accepts heartbeats that arrived while the process was paused
  kWatermarkOffDisk     // a restarted member begins with the first watermark
};

constexpr Duration kStep = 100ms;
constexpr Duration kPeriod = 20s;
constexpr Duration kStreamTimeout = 1100ms;
constexpr int kMembers = 4, kSize = 3, kProcesses = 7;  // possible members, members per epoch, all processes
constexpr int kNoProcess = -1;

struct Message {
  enum class Kind { kHosts, kRefreshed, kReplicate, kVote, kQuery, kAnswer } kind = Kind::kHosts;
  std::string batch{};                        // encoded host entries
  std::string id{};                           // of a host
  std::uint64_t sequence = 0, watermark = 0;  // the watermark of the querying process
  Time asked_at{};
  MemberStatus status{};
};

// A host's heartbeat call, in the socket of the process that it was sent to.
struct HeartbeatCall {
  Time arrives_at{};
  service_registry::Heartbeat heartbeat{};
};

struct SimulatedHost {
  std::string id{};
  std::string address{};
  std::uint64_t sequence = 0;
  Time next_heartbeat{}, leaves{};
  std::optional<Time> leaving_since{};  // it has announced that it leaves
  std::optional<Time> acknowledged{};
  int asked_process = kNoProcess;  // the process that is to acknowledge the leave
  Time next_ask{};
};

struct Stream {
  std::deque<std::pair<Time, Message>> in_transit{};
  Time last{};
};

struct Process {
  std::unique_ptr<ServiceRegistry> hosts;
  std::unique_ptr<Watermark> watermark;
  std::unique_ptr<RegistryLease> lease;
  std::unique_ptr<RegistryReplica> replica;
  std::unique_ptr<system::PauseWatch> pause_watch;
  std::uint64_t incarnation = 0;
  bool up = true;
  Duration clock{};  // offset ahead of the other clocks
  Time paused_until{}, paused_at{};
  Membership known_membership{};
  std::deque<HeartbeatCall> calls;
  std::map<std::string, LeaveVotes> replications;
  // The state on a member's disk.
  Membership disk_membership{};
  bool sealed = false;
  ReplicaRecord disk_record{};
  std::string disk_leaves{}, disk_hosts{};
  struct Write {
    Time done{};
    ReplicaRecord record{};
    std::string leaves{};
    std::vector<std::pair<int, std::string>> pending_votes{};  // recipient, host
  };
  std::optional<Write> write;
  std::vector<std::pair<int, std::string>> pending_votes;
};

class ReturnSearch {
 public:
  ReturnSearch(std::uint64_t seed, Mutant mutant) : random_(seed), mutant_(mutant) {
    for (int p = 0; p < kProcesses; ++p) {
      processes_[p].clock = 1h * static_cast<int>(random_() % 100);
      if (p < kMembers) processes_[p].incarnation = ++incarnations_;
    }
    agreement_.Begin(kSize);
    for (int p = 0; p < kProcesses; ++p) Restart(p);
  }

  std::string Run(Duration duration) {  // returns the first violation, empty if none
    for (const Time ends = now_ + duration; now_ < ends && violation_.empty(); now_ += kStep) Step();
    return violation_;
  }
  int acknowledged() const { return acknowledged_; }
  std::uint64_t epoch() const { return agreement_.membership().epoch; }
  std::uint64_t highest_watermark() const {
    std::uint64_t highest = 0;
    for (const auto& [p, process] : processes_) highest = std::max(highest, process.watermark->value());
    return highest;
  }
  // The share of checks in which a process with a proved list did not list a running host.
  double missing_share() const { return checks_ == 0 ? 1 : static_cast<double>(missing_) / checks_; }

 private:
  bool Chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
  int Pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }
  Duration LongOutage() { return 30s + 1s * Pick(Chance(0.5) ? 120 : 570); }
  Duration RandomDelay() { return Chance(0.02) ? 100ms * Pick(10) : 1ms * Pick(20); }
  static bool IsMember(int p) { return p < kMembers; }
  MemberId Id(int m) const { return agreement_.Id(m); }
  Time Local(int p) const { return now_ + processes_.at(p).clock; }
  bool Runs(int p) const { return processes_.at(p).up && processes_.at(p).paused_until <= now_; }

  // ---- Processes
  void Restart(int p) {
    Process& process = processes_[p];
    process.up = true;
    process.paused_until = {};
    using Fault = ServiceRegistry::InjectedFault;
    const Fault fault = mutant_ == Mutant::kForgetsLeaves    ? Fault::kPurgesDeparturesEarly
                        : mutant_ == Mutant::kTakesOldClaims ? Fault::kAcceptsStaleClaims
                                                             : Fault::kNone;
    process.hosts = std::make_unique<ServiceRegistry>(fault);
    process.watermark = std::make_unique<Watermark>(kPeriod);
    process.lease = std::make_unique<RegistryLease>(RegistryLease::OptionsFor(2s));
    process.pause_watch = std::make_unique<system::PauseWatch>(Local(p));
    process.known_membership = {};
    process.write.reset();
    process.pending_votes.clear();
    process.replications.clear();
    process.calls.clear();
    if (IsMember(p)) RestoreDisk(p);
    for (int other = 0; other < kProcesses; ++other)
      if (other != p) Connect(p, other);
  }
  void RestoreDisk(int m) {
    Process& process = processes_[m];
    process.known_membership = process.disk_membership;
    process.replica = std::make_unique<RegistryReplica>(Id(m));
    MergeBatch(m, process.disk_hosts);
    MergeBatch(m, process.disk_leaves);
    ReplicaRecord record = process.disk_record;
    if (mutant_ == Mutant::kWatermarkOffDisk) record.watermark = 1;
    process.replica->Restore(record);
    RaiseWatermark(m, record.watermark);
    process.replica->Adopt(Local(m), process.known_membership);
    process.lease->SetMembership(process.known_membership);
  }
  void Wipe(int m) {
    Process& process = processes_[m];
    process.incarnation = ++incarnations_;
    process.disk_leaves.clear();
    process.disk_hosts.clear();
    process.disk_record = {};
    process.disk_membership = {};
    process.sealed = false;
    Restart(m);
  }
  void RaiseWatermark(int p, std::uint64_t received) {
    Process& process = processes_[p];
    if (process.watermark->Adopt(Local(p), received)) OnWatermark(process);
  }
  static void OnWatermark(Process& process) {
    if (process.replica) process.replica->SetWatermark(process.watermark->value());
    process.hosts->RaiseWatermark(process.watermark->value());
  }

  // ---- Streams: between members and all processes
  bool AreConnected(int a, int b) const { return IsMember(a) || IsMember(b); }
  bool IsCut(int a, int b) const { return cuts_.contains({std::min(a, b), std::max(a, b)}); }
  // A stream to a paused process times out and is closed on this side.
  bool IsStreamTimedOut(int p) const {
    const Process& process = processes_.at(p);
    return process.paused_until > now_ && now_ - process.paused_at > kStreamTimeout;
  }
  void Send(int from, int to, Message message) {
    if (!AreConnected(from, to) || IsCut(from, to) || !processes_[to].up || IsStreamTimedOut(to)) return;
    Stream& stream = streams_[{from, to}];
    stream.last = std::max(stream.last, now_ + RandomDelay());
    stream.in_transit.emplace_back(stream.last, std::move(message));
  }
  void Connect(int a, int b) {
    if (!AreConnected(a, b)) return;
    streams_[{a, b}] = streams_[{b, a}] = {};
    SendAllHosts(a, b);
    SendAllHosts(b, a);
  }
  void SendAllHosts(int from, int to) {
    if (Runs(from) && processes_[from].hosts)
      Send(from, to, HostsMessage(from, processes_[from].hosts->All()));
  }
  Message HostsMessage(int p, const std::vector<service_registry::HostEntry>& entries) const {
    Message message;
    message.batch = service_registry::Encode(entries, Local(p));
    return message;
  }
  void SendToOthers(int p, const Message& message) {
    for (int other = 0; other < kProcesses; ++other)
      if (other != p) Send(p, other, message);
  }
  void MergeBatch(int p, const std::string& batch) {
    if (batch.empty()) return;
    auto entries = service_registry::Decode(batch, Local(p));
    BOOST_REQUIRE(entries.has_value());
    for (service_registry::HostEntry& entry : *entries) {
      if (mutant_ == Mutant::kStampsAtReceipt) entry.stamp = processes_[p].watermark->value();
      processes_[p].hosts->Merge(Local(p), entry);
    }
  }
  // Forwards the changes that a member has taken in to all others.
  void SendUpdates(int m, std::uint64_t before) {
    const auto events = processes_[m].hosts->journal().Since(before);
    std::vector<service_registry::HostEntry> changed;
    if (!events) return SendToOthers(m, HostsMessage(m, processes_[m].hosts->All()));
    for (const service_registry::HostEvent& event : *events)
      if (event.kind != service_registry::HostEvent::Kind::kPurged) changed.push_back(event.entry);
    if (!changed.empty()) SendToOthers(m, HostsMessage(m, changed));
  }
  void Deliver() {
    for (auto& [direction, stream] : streams_) {
      const auto [from, to] = direction;
      if (!Runs(to)) continue;
      while (!stream.in_transit.empty() && stream.in_transit.front().first <= now_) {
        const Message message = stream.in_transit.front().second;
        stream.in_transit.pop_front();
        Handle(to, from, message);
      }
    }
  }
  void Handle(int p, int from, const Message& message) {
    Process& process = processes_[p];
    const std::uint64_t before = process.hosts->version();
    switch (message.kind) {
      case Message::Kind::kHosts:
        MergeBatch(p, message.batch);
        if (IsMember(p)) SendUpdates(p, before);
        return;
      case Message::Kind::kRefreshed:
        process.hosts->Refresh(Local(p), message.id, message.sequence);
        if (IsMember(p) && !IsMember(from)) SendToMembers(p, message);
        return;
      case Message::Kind::kReplicate:
        MergeBatch(p, message.batch);
        SendUpdates(p, before);
        process.pending_votes.emplace_back(from, message.id);
        return;
      case Message::Kind::kVote:
        if (const auto it = process.replications.find(message.id);
            it != process.replications.end() && message.status.votes)
          it->second.Add(message.status.member, message.status.epoch);
        return;
      case Message::Kind::kQuery:
        return Answer(p, from, message);
      case Message::Kind::kAnswer:
        RaiseWatermark(p, message.status.watermark);
        process.lease->OnAnswer(Local(p), message.asked_at, message.status);
        if (!process.replica) return;
        process.watermark->OnAnswer(message.status);
        process.replica->OnAnswer(message.asked_at, message.status);
        return;
    }
  }
  void Answer(int m, int to, const Message& query) {
    RaiseWatermark(m, query.watermark);
    if (!IsMember(m)) return;
    Message answer{Message::Kind::kAnswer};
    answer.asked_at = query.asked_at;
    answer.status = processes_[m].replica->status();
    Send(m, to, answer);
  }
  void SendToMembers(int p, const Message& message) {
    const int target = Pick(kMembers);  // other processes send to one member, members to each other
    for (int m = 0; m < kMembers; ++m)
      if (m != p && (IsMember(p) || m == target)) Send(p, m, message);
  }

  // ---- One simulation step
  void Step() {
    Resume();
    Deliver();
    InjectFaults();
    for (int p = 0; p < kProcesses; ++p)
      if (Runs(p)) StepProcess(p);
    for (SimulatedHost& host : hosts_) StepHost(host);
    std::erase_if(hosts_, [this](const SimulatedHost& host) { return host.leaves + 15min < now_; });
    if (hosts_.size() < 200 && Chance(0.02)) AddHost();
    PropagateEpochs();
    if (Chance(0.2)) CheckInvariant();
  }
  // A resumed process reads what arrived during its pause. Streams that others closed meanwhile are
  // re-established.
  void Resume() {
    for (auto& [p, process] : processes_) {
      if (process.paused_at == Time{} || process.paused_until > now_) continue;
      const bool streams_broke = now_ - process.paused_at > kStreamTimeout;
      process.paused_at = process.paused_until = {};
      if (!process.up) continue;
      for (HeartbeatCall& call : process.calls)
        call.arrives_at = std::max(call.arrives_at, now_ + 100ms * Pick(20));
      for (int other = 0; other < kProcesses; ++other) {
        auto& old = streams_[{other, p}].in_transit;
        for (const auto& [at, message] : std::exchange(old, {})) Handle(p, other, message);
        if (streams_broke) Connect(p, other);
      }
    }
  }
  void StepProcess(int p) {
    Process& process = processes_[p];
    process.pause_watch->OnTurn(Local(p));
    TakeCalls(p);
    const Time local = Local(p);
    if (IsMember(p)) StepMember(p);
    if (process.lease->Tick(local)) {
      process.lease->OnQuerySent(local);
      Message query{Message::Kind::kQuery};
      query.asked_at = local;
      query.watermark = process.watermark->value();
      for (int m = 0; m < kMembers; ++m)
        if (m != p) Send(p, m, query);
    }
    if (const auto proved = process.lease->proved_at()) {
      process.hosts->ConfirmDepartures(*proved);
      if (*proved >= process.watermark->since()) process.hosts->ConfirmHosts(process.watermark->value());
    }
    process.hosts->PurgeExpired(local);
    if (IsMember(p) && Chance(0.01)) process.hosts->MarkUnresponsive(local, 6s);
    if (Chance(0.005)) SendAllHosts(p, Pick(kMembers));
  }
  void StepMember(int m) {
    Process& process = processes_[m];
    RegistryReplica& replica = *process.replica;
    if (process.write && process.write->done <= now_) {
      const Process::Write write = *std::exchange(process.write, std::nullopt);
      process.disk_leaves = write.leaves;
      process.disk_record = write.record;
      replica.OnWritten(write.record);
      Message vote{Message::Kind::kVote};
      vote.status = replica.status();
      for (const auto& [to, host] : write.pending_votes) {
        vote.id = host;
        to == m ? Handle(m, m, vote) : Send(m, to, vote);
      }
    }
    if (!process.write && (!process.pending_votes.empty() || replica.Dirty())) {
      std::vector<service_registry::HostEntry> leaves;
      process.hosts->ForEach([&](const service_registry::HostEntry& entry) {
        if (entry.departing()) leaves.push_back(entry);
      });
      process.write = Process::Write{now_ + 10ms + RandomDelay(), replica.Record(),
                                     service_registry::Encode(leaves, Local(m)),
                                     std::exchange(process.pending_votes, {})};
    }
    if (Chance(0.1)) {
      std::vector<service_registry::HostEntry> here;
      for (service_registry::HostEntry& entry : process.hosts->All())
        if (!entry.removed()) here.push_back(std::move(entry));
      process.disk_hosts = service_registry::Encode(here, Local(m));
    }
    const MemberStatus own_status = replica.status();
    if (own_status.votes) process.lease->OnAnswer(Local(m), Local(m), own_status);
    if (process.watermark->Tick(Local(m), process.known_membership, own_status)) OnWatermark(process);
    if (process.known_membership.epoch > process.disk_membership.epoch && Chance(0.5)) {
      process.disk_membership = process.known_membership;
      process.sealed = false;
    }
  }

  // ---- Hosts
  void AddHost() {
    SimulatedHost host;
    host.id = "h" + std::to_string(++hosts_started_);
    host.address = "10.0.0.1:" + std::to_string(1 + hosts_started_ % 60'000);
    host.next_heartbeat = now_;
    host.leaves = now_ + 20s + 1s * Pick(200);
    hosts_.push_back(std::move(host));
  }
  void StepHost(SimulatedHost& host) {
    if (host.acknowledged) return;
    if (now_ >= host.leaves) return Leave(host);
    if (now_ < host.next_heartbeat) return;
    host.next_heartbeat = now_ + 1500ms;
    HeartbeatCall call;
    call.arrives_at = now_ + (Chance(0.05) ? 100ms * Pick(100) : 0ms);
    call.heartbeat.id = host.id;
    call.heartbeat.service = "s";
    call.heartbeat.address = host.address;
    call.heartbeat.sequence = ++host.sequence;
    // A host sends to a process that answers, but some heartbeats wait in the socket of a paused process.
    int to = Pick(kProcesses);
    for (int i = 0; i < 5 && !Runs(to) && Chance(0.7); ++i) to = Pick(kProcesses);
    if (processes_[to].up) processes_[to].calls.push_back(std::move(call));
  }
  void TakeCalls(int p) {
    Process& process = processes_[p];
    const std::uint64_t before = process.hosts->version();
    std::deque<HeartbeatCall> not_arrived;
    for (const HeartbeatCall& call : std::exchange(process.calls, {})) {
      if (call.arrives_at > now_) {
        not_arrived.push_back(call);
        continue;
      }
      const bool reads_old = mutant_ == Mutant::kReadsOldHeartbeats;
      if (!reads_old && process.pause_watch->InputMayBeOld(Local(p))) continue;
      const bool was_listed = process.hosts->Find(call.heartbeat.id) != nullptr;
      const bool changed = process.hosts->Apply(Local(p), call.heartbeat) || !was_listed;
      const auto* entry = process.hosts->Find(call.heartbeat.id);
      if (entry == nullptr) continue;
      if (changed && !IsMember(p)) {
        for (int m = 0; m < kMembers; ++m) Send(p, m, HostsMessage(p, {*entry}));
      } else if (!changed) {
        Message refreshed{Message::Kind::kRefreshed};
        refreshed.id = call.heartbeat.id;
        refreshed.sequence = call.heartbeat.sequence;
        SendToMembers(p, refreshed);
      }
    }
    process.calls = std::move(not_arrived);
    if (IsMember(p)) SendUpdates(p, before);
  }
  void Leave(SimulatedHost& host) {
    if (!host.leaving_since) host.leaving_since = now_;
    if (host.asked_process != kNoProcess && Runs(host.asked_process)) {
      Process& asked = processes_[host.asked_process];
      const auto votes = asked.replications.find(host.id);
      if (votes != asked.replications.end() && votes->second.HasMajority(asked.known_membership)) {
        host.acknowledged = now_;
        ++acknowledged_;
        asked.replications.erase(votes);
        return;
      }
    }
    if (now_ < host.next_ask) return;
    if (host.asked_process != kNoProcess) processes_[host.asked_process].replications.erase(host.id);
    host.asked_process = kNoProcess;
    const int p = Pick(kProcesses);
    if (!Runs(p)) return;
    host.asked_process = p;
    host.next_ask = now_ + 700ms;
    Process& process = processes_[p];
    const std::uint64_t before = process.hosts->version();
    process.hosts->Apply(Local(p), service_registry::Deregistration{host.id});
    process.replications[host.id];
    const auto* entry = process.hosts->Find(host.id);
    Message replicate = HostsMessage(p, {*entry});
    replicate.kind = Message::Kind::kReplicate;
    replicate.id = host.id;
    for (int m = 0; m < kMembers; ++m)
      if (m != p) Send(p, m, replicate);
    if (!IsMember(p)) return;
    SendUpdates(p, before);
    process.pending_votes.emplace_back(p, host.id);
  }

  // ---- Fault injection
  void InjectFaults() {
    for (auto it = cuts_.begin(); it != cuts_.end();) {
      const auto [endpoints, until] = *it;
      it = until <= now_ ? cuts_.erase(it) : std::next(it);
      if (until <= now_) Connect(endpoints.first, endpoints.second);
    }
    if (Chance(0.0008)) Pause(Pick(kProcesses), LongOutage());
    if (Chance(0.003)) Pause(Pick(kProcesses), 100ms * Pick(60));
    if (Chance(0.0008)) Partition(Pick(kProcesses), LongOutage());
    if (Chance(0.003)) Partition(Pick(kProcesses), 100ms * Pick(60));
    if (Chance(0.003)) Crash(Pick(kProcesses));
    if (Chance(0.0002))
      for (int p = 0; p < kProcesses; ++p) Restart(p);
    for (int p = 0; p < kProcesses; ++p)
      if (!processes_[p].up && Chance(0.01)) Restart(p);
  }
  void Pause(int p, Duration validity) {
    Process& process = processes_[p];
    if (!Runs(p)) return;
    process.paused_at = now_;
    process.paused_until = now_ + validity;
  }
  void Partition(int p, Duration validity) {
    const bool from_all = Chance(0.5);
    for (int other = 0; other < kProcesses; ++other) {
      if (other == p || (!from_all && Chance(0.4))) continue;
      const auto endpoints = std::pair{std::min(p, other), std::max(p, other)};
      cuts_[endpoints] = std::max(cuts_[endpoints], now_ + validity);
      streams_[{p, other}] = streams_[{other, p}] = {};
    }
  }
  void Crash(int p) {
    if (IsMember(p) && agreement_.membership().Contains(Id(p)) && agreement_.CountLost() > 0) return;
    processes_[p].up = false;
    processes_[p].paused_at = processes_[p].paused_until = {};
    if (IsMember(p) && Chance(0.3)) Wipe(p);
  }

  // ---- Propagation of new epochs
  void PropagateEpochs() {
    agreement_.Step();
    const Membership& newest = agreement_.membership();
    for (int p = 0; p < kProcesses; ++p) {
      Process& process = processes_[p];
      if (!Runs(p) || process.known_membership.epoch >= newest.epoch || !Chance(0.1)) continue;
      process.known_membership =
          IsMember(p) ? agreement_.MembershipAfter(process.known_membership.epoch) : newest;
      if (process.replica) process.replica->Adopt(Local(p), process.known_membership);
      process.lease->SetMembership(process.known_membership);
    }
  }
  // ---- The checked invariant
  void CheckInvariant() {
    for (int p = 0; p < kProcesses; ++p) {
      if (!Runs(p) || !processes_[p].lease->IsProved(Local(p))) continue;
      for (const SimulatedHost& host : hosts_) CheckHost(p, host);
    }
  }
  void CheckHost(int p, const SimulatedHost& host) {
    const auto* entry = processes_[p].hosts->Find(host.id);
    const bool listed = entry != nullptr && !entry->departing() && !entry->removed();
    if (host.acknowledged && listed && now_ - *host.acknowledged >= RegistryLease::OptionsFor(2s).validity) {
      violation_ = "process " + std::to_string(p) + " lists " + host.id + ", whose leave was acknowledged " +
                   std::to_string((now_ - *host.acknowledged) / 1s) + " s ago";
      return;
    }
    constexpr Duration kMinAge = 10s;
    if (host.leaving_since || host.sequence * 1500ms < kMinAge) return;
    ++checks_;
    missing_ += listed ? 0 : 1;
  }

  std::mt19937_64 random_;
  const Mutant mutant_;
  Time now_{std::chrono::hours(1000)};
  std::uint64_t incarnations_ = 0;
  std::map<int, Process> processes_;
  std::map<std::pair<int, int>, Stream> streams_;
  std::map<std::pair<int, int>, Time> cuts_;  // by endpoints, the lower one first
  SimulatedAgreement<Process> agreement_{processes_,
                                         kMembers,
                                         {0.1, 0.3},
                                         [this](int m) { return Runs(m); },
                                         [this](double part) { return Chance(part); }};
  std::vector<SimulatedHost> hosts_;
  int hosts_started_ = 0, acknowledged_ = 0;
  std::uint64_t checks_ = 0, missing_ = 0;
  std::string violation_;
};

BOOST_AUTO_TEST_CASE(nobody_brings_back_a_host_whose_leave_was_acknowledged) {
  constexpr auto kSimulatedTime = 30min;
  int acknowledged = 0;
  double missing = 0;
  std::uint64_t epochs = 0, periods = 0;
  const int seeds = Seeds(10);
  for (int seed = 1; seed <= seeds; ++seed) {
    ReturnSearch search(static_cast<std::uint64_t>(seed), Mutant::kNone);
    const std::string violation = search.Run(kSimulatedTime);
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    acknowledged += search.acknowledged();
    epochs += search.epoch();
    periods += search.highest_watermark();
    missing += search.missing_share();
  }
  BOOST_TEST_MESSAGE(acknowledged << " leaves acknowledged, " << epochs << " epochs, " << periods
                                  << " periods, " << missing / seeds << " of running hosts not listed");
  BOOST_TEST(acknowledged > 100 * seeds);
  BOOST_TEST(epochs > 2U * static_cast<unsigned>(seeds));
  BOOST_TEST(periods > 40U * static_cast<unsigned>(seeds));  // of 90 in 30 minutes
  BOOST_TEST(missing / seeds < 0.02);
}

BOOST_AUTO_TEST_CASE(each_mutant_is_found) {
  for (const Mutant mutant : {Mutant::kForgetsLeaves, Mutant::kTakesOldClaims, Mutant::kStampsAtReceipt,
                              Mutant::kReadsOldHeartbeats, Mutant::kWatermarkOffDisk}) {
    const auto [seed, violation] =
        FirstViolation(40, [&](std::uint64_t each) { return ReturnSearch(each, mutant).Run(30min); });
    BOOST_TEST(!violation.empty(), "mutant " << static_cast<int>(mutant) << " is not detected");
    BOOST_TEST_MESSAGE("mutant " << static_cast<int>(mutant) << ": seed " << seed << ", " << violation);
  }
}

}  // namespace
}  // namespace curlewdoor::registry_replication
